package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/coordination"
	"daledyke/internal/emulator"
	"daledyke/internal/transport"
)

// hosts run the controllers of a deployment, so that each can be killed and started.
type hosts interface {
	start(name string) error
	kill(name string) error
	// hang stops a controller's execution, or lets it go on.
	hang(name string, on bool) error
	// stop ends all.
	stop()
}

// inside runs controllers in this process, over pipes.
type inside struct {
	net   *emulator.Pipes
	files map[string]string // settings
	own   string            // the operators' settings, "" for none
	ends  map[string]func()
}

func (h *inside) start(name string) error {
	c, err := config.Load(h.files[name], h.own)
	if err != nil {
		return err
	}
	h.ends[name], err = h.net.StartController(name, func(ctx context.Context, front, inner net.Listener) {
		coordination.NewController(ctx, c, h.net.Dialer(name)).Serve(ctx, front, inner, c.Connections())
	})
	return err
}

func (h *inside) kill(name string) error {
	if end := h.ends[name]; end != nil {
		end()
		delete(h.ends, name)
	}
	return nil
}

func (h *inside) hang(string, bool) error { return errors.New("controllers hang in real time alone") }

func (h *inside) stop() {
	for name := range h.ends {
		h.kill(name)
	}
}

// processes runs controllers as processes of a program, on loopback.
type processes struct {
	program string
	files   map[string]string
	own     string
	logs    string // directory
	running map[string]*process
	// ended is told of controllers that ended by themselves; it may be nil.
	ended func(name string, err error)
}

// process is a controller that runs.
type process struct {
	cmd    *exec.Cmd
	killed chan struct{} // closed before it is killed
	over   chan struct{}
}

func (h *processes) start(name string) error {
	args := []string{"--config", h.files[name]}
	if h.own != "" {
		args = append(args, "--settings", h.own)
	}
	said := filepath.Join(h.logs, name+".log")
	log, err := os.OpenFile(said, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	// A controller must not outlive whoever plays its world, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("%s: %w", name, err)
	}
	p := &process{cmd: cmd, killed: make(chan struct{}), over: make(chan struct{})}
	h.running[name] = p
	go func() {
		cmd.Wait()
		log.Close()
		close(p.over)
		select {
		case <-p.killed:
		default:
			if h.ended != nil {
				h.ended(name, fmt.Errorf("%v: %s", cmd.ProcessState, tail(said)))
			}
		}
	}()
	return nil
}

func (h *processes) kill(name string) error {
	p := h.running[name]
	if p == nil {
		return nil
	}
	delete(h.running, name)
	close(p.killed)
	p.cmd.Process.Kill()
	<-p.over
	return nil
}

func (h *processes) hang(name string, on bool) error {
	p := h.running[name]
	if p == nil {
		return fmt.Errorf("%s does not run", name)
	}
	signal := syscall.SIGCONT
	if on {
		signal = syscall.SIGSTOP
	}
	return p.cmd.Process.Signal(signal)
}

func (h *processes) stop() {
	for name := range h.running {
		h.kill(name)
	}
}

// freePorts gives addresses on loopback that nothing listens at now, and nothing else on this
// machine takes before a controller does, or while one is away: their host is drawn. Connections
// go out from 127.0.0.1, by ports that the kernel draws from those that are free; once, one of
// them had a controller's, which could not start.
func freePorts(n int) (addrs []string, err error) {
	host := netip.AddrFrom4([4]byte{127, byte(1 + rand.N(254)), byte(rand.N(256)), byte(1 + rand.N(254))})
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// onLoopback gives all controllers doors on loopback.
func (d *Deployment) onLoopback(a *Addresses) error {
	ports, err := freePorts(2 * len(d.Controllers))
	if err != nil {
		return err
	}
	a.Front, a.Inner = map[string]string{}, map[string]string{}
	for n, name := range d.Controllers {
		a.Front[name], a.Inner[name] = ports[2*n], ports[2*n+1]
	}
	return nil
}

// onPipes gives all controllers doors on pipes.
func (d *Deployment) onPipes(a *Addresses) {
	a.Front, a.Inner = map[string]string{}, map[string]string{}
	for _, name := range d.Controllers {
		a.Front[name], a.Inner[name] = "front-"+name+":1", "inner-"+name+":1"
	}
}

// Up is a deployment that runs on this machine: the world in this process, and each
// controller as a process.
type Up struct {
	// Door is the front door's address, that of the load balancer.
	Door      string
	Addresses Addresses
	Files     map[string]string
	World     *emulator.World
	balancer  *emulator.Balancer
	hosts     *processes
	names     []string
	cancel    context.CancelFunc
}

// UpOptions say how a deployment is brought up.
type UpOptions struct {
	// Program is the program of the controllers; Settings the operators' file, "" for none.
	Program, Settings string
	// Dir is for settings, logs and, if Keep is set, the state service's state.
	Dir  string
	Keep bool
	// Door is where the front door listens.
	Door string
	// Ended is told of controllers that ended by themselves.
	Ended func(name string, err error)
}

// BringUp starts a deployment on loopback.
func BringUp(ctx context.Context, d Deployment, o UpOptions) (up *Up, err error) {
	ctx, cancel := context.WithCancel(ctx)
	up = &Up{cancel: cancel, names: d.Controllers}
	defer func() {
		if err != nil {
			up.Close()
		}
	}()
	set := d.Setup(1, true)
	if o.Keep {
		set.StateDir = filepath.Join(o.Dir, "state")
	}
	if up.World, err = emulator.New(ctx, emulator.Loopback{}, set); err != nil {
		return up, err
	}
	if up.Addresses.Cloud, up.Addresses.State, err = up.World.Serve(); err != nil {
		return up, err
	}
	if err = d.onLoopback(&up.Addresses); err != nil {
		return up, err
	}
	if up.Files, err = d.WriteSettings(o.Dir, up.Addresses); err != nil {
		return up, err
	}
	c, err := config.Load(up.Files[d.Controllers[0]], o.Settings)
	if err != nil {
		return up, err
	}
	up.World.SetControllerAddrs(up.Addresses.Front)
	up.hosts = &processes{program: o.Program, files: up.Files, own: o.Settings, logs: o.Dir, running: map[string]*process{}, ended: o.Ended}
	for _, name := range d.Controllers {
		if err = up.hosts.start(name); err != nil {
			return up, err
		}
	}
	up.balancer = emulator.NewBalancer(ctx, transport.NetDialer(), d.Controllers, up.Addresses.Front, 1)
	door, err := net.Listen("tcp", o.Door)
	if err != nil {
		return up, fmt.Errorf("the front door: %w", err)
	}
	up.Door = door.Addr().String()
	h, err := newDoor(ctx, up.World, up.balancer, o.Dir, c.Queues)
	if err != nil {
		door.Close()
		return up, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { srv.Close() })
	go srv.Serve(door)
	return up, nil
}

// Ready waits until every controller takes requests.
func (up *Up) Ready(ctx context.Context) error {
	for {
		if len(up.balancer.Healthy()) == len(up.names) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("of %d controllers %d take requests: %w", len(up.names), len(up.balancer.Healthy()), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Close ends all of it.
func (up *Up) Close() {
	if up.hosts != nil {
		up.hosts.stop()
	}
	if up.World != nil {
		up.World.Close()
	}
	up.cancel()
}
