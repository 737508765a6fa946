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

// launcher runs the controllers of a deployment; each can be killed and restarted.
type launcher interface {
	start(name string) error
	kill(name string) error
	// hang suspends a controller's execution or resumes it.
	hang(name string, on bool) error
	// stop ends all controllers.
	stop()
}

// inProcessLauncher runs controllers in this process, over pipes.
type inProcessLauncher struct {
	net              *emulator.Pipes
	files            map[string]string // settings files by controller
	operatorSettings string            // the operators' settings file, "" for none
	stops            map[string]func()
}

func (h *inProcessLauncher) start(name string) error {
	c, err := config.Load(h.files[name], h.operatorSettings)
	if err != nil {
		return err
	}
	h.stops[name], err = h.net.StartController(name, func(ctx context.Context, front, inner net.Listener) {
		coordination.NewController(ctx, c, h.net.Dialer(name)).Serve(ctx, front, inner, c.MaxFrontConnections())
	})
	return err
}

func (h *inProcessLauncher) kill(name string) error {
	if end := h.stops[name]; end != nil {
		end()
		delete(h.stops, name)
	}
	return nil
}

func (h *inProcessLauncher) hang(string, bool) error {
	return errors.New("controllers hang in real time alone")
}

func (h *inProcessLauncher) stop() {
	for name := range h.stops {
		h.kill(name)
	}
}

// processLauncher runs controllers as processes of a program, on loopback.
type processLauncher struct {
	program          string
	files            map[string]string
	operatorSettings string
	logs             string // directory
	running          map[string]*process
	// exited is called for each controller that exits without being killed; it may be nil.
	exited func(name string, err error)
}

// process is a running controller.
type process struct {
	cmd    *exec.Cmd
	killed chan struct{} // closed before the process is killed
	done   chan struct{}
}

func (h *processLauncher) start(name string) error {
	args := []string{"--config", h.files[name]}
	if h.operatorSettings != "" {
		args = append(args, "--settings", h.operatorSettings)
	}
	logName := filepath.Join(h.logs, name+".log")
	log, err := os.OpenFile(logName, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	// A controller must not outlive the process that emulates its world, however that process ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("%s: %w", name, err)
	}
	p := &process{cmd: cmd, killed: make(chan struct{}), done: make(chan struct{})}
	h.running[name] = p
	go func() {
		cmd.Wait()
		log.Close()
		close(p.done)
		select {
		case <-p.killed:
		default:
			if h.exited != nil {
				h.exited(name, fmt.Errorf("%v: %s", cmd.ProcessState, logTail(logName)))
			}
		}
	}()
	return nil
}

func (h *processLauncher) kill(name string) error {
	p := h.running[name]
	if p == nil {
		return nil
	}
	delete(h.running, name)
	close(p.killed)
	p.cmd.Process.Kill()
	<-p.done
	return nil
}

func (h *processLauncher) hang(name string, on bool) error {
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

func (h *processLauncher) stop() {
	for name := range h.running {
		h.kill(name)
	}
}

// freePorts returns unused loopback addresses on a random host other than 127.0.0.1, so that nothing else on
// this machine takes a controller's port before it starts or while it is down. Outgoing connections use
// 127.0.0.1 with ports that the kernel picks; with controllers on that host, an outgoing connection once held
// a controller's port, and the controller could not start.
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

// assignLoopback assigns loopback addresses to all controllers.
func (d *Deployment) assignLoopback(a *Addresses) error {
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

// assignPipes assigns addresses on pipes to all controllers.
func (d *Deployment) assignPipes(a *Addresses) {
	a.Front, a.Inner = map[string]string{}, map[string]string{}
	for _, name := range d.Controllers {
		a.Front[name], a.Inner[name] = "front-"+name+":1", "inner-"+name+":1"
	}
}

// LocalDeployment is a deployment running on this machine: the emulated world in this process, each controller
// in a process of its own.
type LocalDeployment struct {
	// Address is the address of the gateway, which forwards to the load balancer.
	Address     string
	Addresses   Addresses
	Files       map[string]string
	World       *emulator.World
	balancer    *emulator.Balancer
	launcher    *processLauncher
	controllers []string
	cancel      context.CancelFunc
}

// LocalOptions are the options of StartLocal.
type LocalOptions struct {
	// Program is the path of the controllers' program; Settings is the operators' settings file, "" for none.
	Program, Settings string
	// Dir holds the settings, the logs and, if Keep is set, the state of the state service.
	Dir  string
	Keep bool
	// Listen is the address at which the gateway listens.
	Listen string
	// Exited is called for each controller that exits without being killed.
	Exited func(name string, err error)
}

// StartLocal starts a deployment on loopback.
func StartLocal(ctx context.Context, d Deployment, o LocalOptions) (up *LocalDeployment, err error) {
	ctx, cancel := context.WithCancel(ctx)
	up = &LocalDeployment{cancel: cancel, controllers: d.Controllers}
	defer func() {
		if err != nil {
			up.Close()
		}
	}()
	setup := d.Setup(1, true)
	if o.Keep {
		setup.StateDir = filepath.Join(o.Dir, "state")
	}
	if up.World, err = emulator.New(ctx, emulator.Loopback{}, setup); err != nil {
		return up, err
	}
	if up.Addresses.Cloud, up.Addresses.State, err = up.World.Serve(); err != nil {
		return up, err
	}
	if err = d.assignLoopback(&up.Addresses); err != nil {
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
	up.launcher = &processLauncher{program: o.Program, files: up.Files, operatorSettings: o.Settings, logs: o.Dir, running: map[string]*process{}, exited: o.Exited}
	for _, name := range d.Controllers {
		if err = up.launcher.start(name); err != nil {
			return up, err
		}
	}
	up.balancer = emulator.NewBalancer(ctx, transport.NetDialer(), d.Controllers, up.Addresses.Front, 1)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return up, fmt.Errorf("the front door: %w", err)
	}
	up.Address = listener.Addr().String()
	gw, err := newGateway(ctx, up.World, up.balancer, o.Dir, c.Queues)
	if err != nil {
		listener.Close()
		return up, err
	}
	srv := &http.Server{Handler: gw, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { srv.Close() })
	go srv.Serve(listener)
	return up, nil
}

// Ready waits until every controller accepts requests.
func (up *LocalDeployment) Ready(ctx context.Context) error {
	for {
		if len(up.balancer.Healthy()) == len(up.controllers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("of %d controllers %d take requests: %w", len(up.controllers), len(up.balancer.Healthy()), ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Close stops the controllers and the emulated world.
func (up *LocalDeployment) Close() {
	if up.launcher != nil {
		up.launcher.stop()
	}
	if up.World != nil {
		up.World.Close()
	}
	up.cancel()
}
