package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Run is one run of an experiment: one version, one seed, one value of each setting that
// varies.
type Run struct {
	Name       string             `json:"name"`
	Experiment string             `json:"experiment"` // as text
	Version    Version            `json:"version"`
	Seed       uint64             `json:"seed"`
	Settings   map[string]float64 `json:"settings"`
}

// Runs are all runs of an experiment, in their order.
func (e *Experiment) Runs() (runs []Run) {
	versions := e.Versions
	if len(versions) == 0 {
		versions = []Version{{Name: "this"}}
	}
	grid := []map[string]float64{{}}
	for _, v := range e.Vary {
		var next []map[string]float64
		for _, at := range grid {
			for _, value := range v.Values {
				point := map[string]float64{v.Name: value}
				for name, other := range at {
					point[name] = other
				}
				next = append(next, point)
			}
		}
		grid = next
	}
	text := e.String()
	for _, settings := range grid {
		for _, version := range versions {
			for _, seed := range e.Seeds {
				name := version.Name
				for _, v := range e.Vary {
					name += fmt.Sprintf("-%s%v", v.Name, settings[v.Name])
				}
				runs = append(runs, Run{Name: fmt.Sprintf("%s-seed%d", name, seed), Experiment: text, Version: version, Seed: seed, Settings: settings})
			}
		}
	}
	return runs
}

// apply gives the experiment as a run has it.
func (r *Run) apply() (*Experiment, error) {
	e, err := Parse([]byte(r.Experiment))
	if err != nil {
		return nil, err
	}
	for name, v := range r.Settings {
		switch name {
		case "controllers":
			e.Controllers = int(v)
		case "machines":
			e.Machines = int(v)
		case "scale":
			e.Scale = v
		case "size":
			e.Machines, e.Scale = int(float64(e.Machines)*v), e.Scale*v
		}
	}
	return e, e.check()
}

// The files of a run and of a result.
const (
	runFile     = "run.json"
	eventsFile  = "events.jsonl.gz"
	summaryFile = "summary.json"
	resultFile  = "result.json"
	logFile     = "log.txt"
)

// sampleEvery is how often the state of the world is noted.
const sampleEvery = 5 * time.Second

// settle is how long a world in virtual time is given to come to rest at its end.
const settle = 5 * time.Minute

// Play plays a run whose files are in a directory: it reads run.json and writes the
// events and the summary. For virtual time it must be called in a bubble of
// testing/synctest.
func Play(ctx context.Context, dir string, progress func(share float64)) error {
	r, err := readRun(dir)
	if err != nil {
		return err
	}
	e, err := r.apply()
	if err != nil {
		return err
	}
	w, err := history.Create(filepath.Join(dir, eventsFile))
	if err != nil {
		return err
	}
	s, err := play(ctx, e, r.Version.Path, r.Seed, dir, w.Write, progress)
	if err != nil {
		w.Discard()
		return err
	}
	if err := w.Close(s.Length); err != nil {
		return err
	}
	s.Experiment, s.Run, s.Version, s.Seed, s.Settings = e.Name, r.Name, r.Version.Name, r.Seed, r.Settings
	return writeJSON(filepath.Join(dir, summaryFile), s)
}

// writeJSON writes a file that has its name only once it is whole.
func writeJSON(name string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.WriteFile(name+".part", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(name+".part", name)
	}
	return err
}

// stage is where a run plays: the network, and the controllers.
type stage struct {
	d     *Deployment
	world *emulator.World
	pipes *emulator.Pipes // nil on loopback
	dial  transport.Dialer
	hosts hosts
	a     Addresses
}

// play plays an experiment and sums it up; every event is recorded.
func play(ctx context.Context, e *Experiment, program string, seed uint64, dir string, record func(history.Event), progress func(float64)) (sum Summary, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	over := false
	d := e.deployment()
	set := d.Setup(seed, true)
	meter := NewMeter(set.Limits(), d.CancelWithin)
	set.Record = func(ev history.Event) {
		if !over { // on the world's goroutine
			meter.Note(ev)
			record(ev)
		}
	}
	st, err := newStage(ctx, e, &d, set, program, dir)
	if err != nil {
		return sum, err
	}
	end := func() {
		st.hosts.stop()
		st.world.Close()
		cancel()
		if !e.Real {
			time.Sleep(settle) // all goroutines notice and end
		}
	}
	defer end()
	for _, name := range d.Controllers {
		if err := st.hosts.start(name); err != nil {
			return sum, err
		}
		st.world.RecordEvent(history.Event{Kind: history.NodeUp, Node: name})
	}
	users, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	if err := st.conduct(users, e, seed, progress); err != nil {
		return sum, err
	}
	stopUsers()
	length := e.Length + e.Rest
	var broken []history.Violation
	var unanswered time.Duration
	st.world.WithChecker(func(r *history.Checker) {
		r.End(st.world.Elapsed())
		broken, unanswered = r.Violations(), r.LongestUnanswered()
		over = true
	})
	sum, err = meter.Summary()
	broken = append(broken, sum.unserved(e.Served)...)
	sum.Broken, sum.Length, sum.Unanswered = broken, max(sum.Length, length), unanswered
	return sum, err
}

// unserved are the classes, teams and largest jobs of which less than a share is served.
func (s *Summary) unserved(least float64) (broken []history.Violation) {
	for _, of := range []struct {
		shares map[string]float64
		says   string
	}{{s.ServedClasses, "class %s is served by %.2f of its work"}, {s.ServedTeams, "team %s is served by %.2f of its work"},
		{s.ServedLargest, "the largest jobs of class %s are served by %.2f of their work"},
		{s.BegunLargest, "of the largest jobs of class %s %.2f began within " + history.BeginWithin.String()}} {
		for _, name := range slices.Sorted(maps.Keys(of.shares)) {
			if share := of.shares[name]; share < least {
				broken = append(broken, history.Violation{At: s.Length, Rule: history.Unserved, What: fmt.Sprintf(of.says, name, share)})
			}
		}
	}
	return broken
}

func newStage(ctx context.Context, e *Experiment, d *Deployment, set emulator.Setup, program, dir string) (st *stage, err error) {
	st = &stage{d: d}
	var network emulator.Network = emulator.Loopback{}
	if !e.Real {
		st.pipes = emulator.NewPipes(ctx)
		network = st.pipes
		d.onPipes(&st.a)
	} else if err := d.onLoopback(&st.a); err != nil {
		return nil, err
	}
	if st.world, err = emulator.New(ctx, network, set); err != nil {
		return nil, err
	}
	if st.a.Cloud, st.a.State, err = st.world.Serve(); err != nil {
		return nil, err
	}
	files, err := d.WriteSettings(dir, st.a)
	if err != nil {
		return nil, err
	}
	st.world.SetControllerAddrs(st.a.Front)
	st.dial = network.Dialer(usersHost)
	if !e.Real {
		st.hosts = &inside{net: st.pipes, files: files, ends: map[string]func(){}}
		return st, nil
	}
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	st.hosts = &processes{program: program, files: files, logs: dir, running: map[string]*process{}, ended: func(name string, err error) {
		st.world.RecordEvent(history.Event{Kind: history.NodeDown, Node: name, Cause: fmt.Sprint("ended by itself: ", err)})
		slog.Error("a controller ended by itself", "name", name, "err", err)
	}}
	return st, nil
}

// conduct has users come and things fail at their times, until the end.
func (st *stage) conduct(ctx context.Context, e *Experiment, seed uint64, progress func(float64)) error {
	balancer := emulator.NewBalancer(ctx, st.dial, st.d.Controllers, st.a.Front, seed)
	client := &http.Client{Transport: &http.Transport{DialContext: balancer.Dial, MaxIdleConnsPerHost: usersAtOnce, MaxConnsPerHost: usersAtOnce, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	todo := make(chan func())
	after := func(d time.Duration, f func()) {
		time.AfterFunc(d, func() {
			select {
			case todo <- f:
			case <-ctx.Done():
			}
		})
	}
	var failed error
	b := &breaker{d: st.d, world: st.world, net: st.pipes, hosts: st.hosts, depth: map[string]int{}, cuts: map[string]func(string, string) bool{},
		note: st.world.RecordEvent, fail: func(err error) { failed = errors.Join(failed, err) }, draw: source(seed, "faults"),
		cancel: func(job string) {
			u := &user{order: order{spec: &protocol.JobSpec{ID: job}}, http: client, world: st.world, rng: source(seed, "cancels "+job)}
			go u.cancel(ctx)
		}}
	began := time.Now()
	for _, f := range e.Faults {
		if f.At < e.Length {
			after(f.At, func() { b.begin(f, after) })
		}
	}
	for n, o := range e.orders(seed) {
		u := &user{order: o, http: client, world: st.world, rng: source(seed, fmt.Sprint("user ", n))}
		time.AfterFunc(o.at, func() {
			if ctx.Err() == nil {
				u.live(ctx)
			}
		})
	}
	total := e.Length + e.Rest
	over := time.After(total)
	ticks := time.NewTicker(sampleEvery)
	defer ticks.Stop()
	for {
		select {
		case f := <-todo:
			if f(); failed != nil {
				return failed
			}
		case <-ticks.C:
			st.world.Sample()
			progress(math.Min(1, time.Since(began).Seconds()/total.Seconds()))
		case <-over:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
