package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/protocol"
)

// site has the settings of a small deployment with three controllers.
type site struct {
	// zones are those of the controllers, all those of the machines.
	zones, all  []string
	reportEvery time.Duration
	lease       time.Duration
	cancelS     int
	listLag     time.Duration
	teams       []team
	// objectives are in the form of the settings file.
	objectives string
	limits     emulator.Limits
	cloudRPS   float64
	node       string
	types      []protocol.MachineType
}

// team is a team with the GPUs that are guaranteed to it, and its limit.
type team struct {
	name         string
	gpus, atMost float64
}

// hosting is the hosting site at its small size (BRIEF-daledyke.md, kit/sites/lanyu-hosted.toml).
func hosting() site {
	zones := []string{"taoyuan", "songshan", "kaohsiung"}
	return site{zones: zones, all: zones, reportEvery: 3 * time.Second, lease: 18 * time.Second, cancelS: 38, listLag: 8 * time.Second,
		teams:      []team{{"hosting", 0, 0}},
		objectives: "\n[[deployment.objectives]]\nkind = \"finished\"\nclass = \"stall-labels\"\nwithin_s = 250.0\nshare = 0.8\n",
		limits:     emulator.Limits{RPS: 250, WriteRPS: 100, ValueKB: 8, TxnOps: 48}, cloudRPS: 8,
		node: "cores = 0.18\nmem_mb = 125.0\nfd_limit = 1200\n",
		types: []protocol.MachineType{
			{Name: "jade-node", Cores: 12, Accels: 2, RAM: 72, CacheGB: 100, FetchRate: 1, Price: 5.03, SpotPrice: 1.89, BootS: 40, Zones: zones},
			{Name: "peak-node", Cores: 24, Accels: 4, RAM: 96, CacheGB: 100, FetchRate: 1, Price: 11.46, SpotPrice: 4.1, BootS: 25, Zones: zones},
		}}
}

// startState starts the emulator's state service, with an address for each controller.
func startState(ctx context.Context, p *site) (addrs []string, err error) {
	state, err := emulator.NewState(ctx, p.limits, "")
	if err != nil {
		return nil, err
	}
	for n := range p.zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go (&http.Server{Handler: state.Handler(nodeName(n)), ReadHeaderTimeout: time.Minute}).Serve(l)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

func nodeName(n int) string { return fmt.Sprintf("bollard-%d", n) }

// controllers are the controllers' processes.
type controllers struct {
	*record
	run    []string
	files  []string
	fronts []string
	cmds   []*exec.Cmd
	// exited has a channel for each process, closed once it has ended.
	exited []chan struct{}
}

// randomHost returns a loopback address of this run's own, so that nothing else takes its ports meanwhile.
func randomHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddrs returns unused addresses on a host.
func freeAddrs(host string, n int) (addrs []string, err error) {
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// startControllers writes the settings and starts a process for each controller.
func startControllers(p *site, dir string, run, state []string, cloud string, r *record) (*controllers, error) {
	if len(run) == 0 {
		return nil, errors.New("no command is given that runs a controller")
	}
	addrs, err := freeAddrs(randomHost(), 2*len(p.zones))
	if err != nil {
		return nil, err
	}
	c := &controllers{record: r, run: run, fronts: addrs[:len(p.zones)], cmds: make([]*exec.Cmd, len(p.zones)), exited: make([]chan struct{}, len(p.zones))}
	inner := addrs[len(p.zones):]
	for n := range p.zones {
		c.files = append(c.files, filepath.Join(dir, nodeName(n)+".toml"))
		if err := os.WriteFile(c.files[n], []byte(p.settings(n, c.fronts, inner, state[n], cloud)), 0o600); err != nil {
			return nil, err
		}
	}
	for n := range p.zones {
		if err := c.start(n); err != nil {
			c.killAll()
			return nil, err
		}
	}
	return c, nil
}

// start starts the process of a controller.
func (c *controllers) start(n int) error {
	cmd := exec.Command(c.run[0], append(c.run[1:len(c.run):len(c.run)], c.files[n])...)
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, nodeName(n)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		cmd.Stderr = f
	}
	// No process outlives this one, however it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	c.cmds[n], c.exited[n] = cmd, exited
	c.add("%s starts (process %d, front %s)", nodeName(n), cmd.Process.Pid, c.fronts[n])
	return nil
}

// kill kills the process of a controller. It reports whether the process had ended by itself before.
func (c *controllers) kill(n int) (ended bool) {
	cmd := c.cmds[n]
	if cmd == nil {
		return false
	}
	select {
	case <-c.exited[n]:
		ended = true
	default:
		cmd.Process.Kill()
		<-c.exited[n]
		c.add("%s is killed", nodeName(n))
	}
	c.cmds[n] = nil
	return ended
}

// killAll kills all processes, and names one that had ended by itself, if any had.
func (c *controllers) killAll() (ended string) {
	for n := range c.cmds {
		if c.kill(n) {
			ended = nodeName(n)
		}
	}
	return ended
}

// settings is the settings file of a controller.
func (p *site) settings(n int, fronts, inner []string, state, cloud string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\nzone = %q\nfront = %q\ninternal_addr = %q\n", nodeName(n), p.zones[n], fronts[n], inner[n])
	for k := range p.zones {
		if k != n {
			fmt.Fprintf(&b, "\n[[siblings]]\nhost_name = %q\nzone = %q\npeer_addr = %q\n", nodeName(k), p.zones[k], inner[k])
		}
	}
	fmt.Fprintf(&b, "\n[services]\ncloud = %q\nstate = %q\n", cloud, state)
	fmt.Fprintf(&b, "\n[deployment]\nsize = %d\nzones = [\"%s\"]\nclock_off_ms = 1000.0\n", len(p.zones), strings.Join(slices.Sorted(slices.Values(p.all)), "\", \""))
	for _, t := range p.teams {
		fmt.Fprintf(&b, "\n[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n", t.name, t.gpus, t.atMost)
	}
	b.WriteString(p.objectives)
	fmt.Fprintf(&b, "\n[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 4.0\ncancel_s = %d.0\n", p.reportEvery.Seconds(), p.lease.Seconds(), p.cancelS)
	fmt.Fprintf(&b, "\n[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", p.limits.RPS, p.limits.WriteRPS, p.limits.ValueKB, p.limits.TxnOps)
	fmt.Fprintf(&b, "\n[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", p.cloudRPS, p.listLag.Seconds())
	b.WriteString("\n[deployment.machine_limits]\n" + p.node)
	return b.String()
}
