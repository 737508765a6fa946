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

// Run is one run of an experiment: one version, one seed, and one value of each setting that varies.
type Run struct {
	Name       string             `json:"name"`
	Experiment string             `json:"experiment"` // as text
	Version    Version            `json:"version"`
	Seed       uint64             `json:"seed"`
	Settings   map[string]float64 `json:"settings"`
}

// Runs returns all runs of an experiment: every combination of settings, version and seed.
func (e *Experiment) Runs() (runs []Run) {
	versions := e.Versions
	if len(versions) == 0 {
		versions = []Version{{Name: "this"}}
	}
	grid := []map[string]float64{{}}
	for _, v := range e.Vary {
		var next []map[string]float64
		for _, partial := range grid {
			for _, value := range v.Values {
				point := map[string]float64{v.Name: value}
				for name, otherValue := range partial {
					point[name] = otherValue
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

// withSettings returns the run's experiment with the run's settings applied.
func (r *Run) withSettings() (*Experiment, error) {
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
	return e, e.validate()
}

// File names in the directories of runs and results.
const (
	runFile     = "run.json"
	eventsFile  = "events.jsonl.gz"
	summaryFile = "summary.json"
	resultFile  = "result.json"
	logFile     = "log.txt"
)

// sampleInterval is the interval between samples of the emulated world's state.
const sampleInterval = 5 * time.Second

// settleTime is the virtual time that goroutines get at the end of a run to notice the shutdown and return.
const settleTime = 5 * time.Minute

// ExecuteRun executes the run in a directory: it reads run.json and writes the events and the summary. For
// virtual time it must be called in a testing/synctest bubble.
func ExecuteRun(ctx context.Context, dir string, progress func(share float64)) error {
	r, err := readRun(dir)
	if err != nil {
		return err
	}
	e, err := r.withSettings()
	if err != nil {
		return err
	}
	w, err := history.Create(filepath.Join(dir, eventsFile))
	if err != nil {
		return err
	}
	s, err := execute(ctx, e, r.Version.Path, r.Seed, dir, w.Write, progress)
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

// writeJSON writes a file atomically: under a temporary name first, then renamed.
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

// testbed is the environment of a run: the emulated world, the network and the controllers.
type testbed struct {
	deployment *Deployment
	world      *emulator.World
	pipes      *emulator.Pipes // nil in real time, on loopback
	dial       transport.Dialer
	launcher   launcher
	addresses  Addresses
}

// execute runs an experiment, passes each event to record, and returns the summary.
func execute(ctx context.Context, e *Experiment, program string, seed uint64, dir string, record func(history.Event), progress func(float64)) (summary Summary, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := false
	deployment := e.deployment()
	setup := deployment.Setup(seed, true)
	meter := NewMeter(setup.Limits(), deployment.CancelWithin)
	setup.Record = func(ev history.Event) {
		if !finished { // read and written on the world's goroutine only
			meter.Note(ev)
			record(ev)
		}
	}
	bed, err := newTestbed(ctx, e, &deployment, setup, program, dir)
	if err != nil {
		return summary, err
	}
	shutDown := func() {
		bed.launcher.stop()
		bed.world.Close()
		cancel()
		if !e.RealTime {
			time.Sleep(settleTime) // goroutines notice the shutdown and return
		}
	}
	defer shutDown()
	for _, name := range deployment.Controllers {
		if err := bed.launcher.start(name); err != nil {
			return summary, err
		}
		bed.world.RecordEvent(history.Event{Kind: history.NodeUp, Node: name})
	}
	users, stopUsers := context.WithCancel(ctx)
	defer stopUsers()
	if err := bed.runWorkload(users, e, seed, progress); err != nil {
		return summary, err
	}
	stopUsers()
	length := e.Length + e.Rest
	var violations []history.Violation
	var longestUnanswered time.Duration
	bed.world.WithChecker(func(r *history.Checker) {
		r.End(bed.world.Elapsed())
		violations, longestUnanswered = r.Violations(), r.LongestUnanswered()
		finished = true
	})
	summary, err = meter.Summary()
	violations = append(violations, summary.violationsBelow(e.MinServed)...)
	summary.Broken, summary.Length, summary.Unanswered = violations, max(summary.Length, length), longestUnanswered
	return summary, err
}

// violationsBelow returns a violation for each class, team and group of largest jobs whose served share is
// below the minimum.
func (s *Summary) violationsBelow(minimum float64) (violations []history.Violation) {
	for _, check := range []struct {
		shares map[string]float64
		format string
	}{{s.ServedClasses, "class %s is served by %.2f of its work"}, {s.ServedTeams, "team %s is served by %.2f of its work"},
		{s.ServedLargest, "the largest jobs of class %s are served by %.2f of their work"},
		{s.BegunLargest, "of the largest jobs of class %s %.2f began within " + history.BeginWithin.String()}} {
		for _, name := range slices.Sorted(maps.Keys(check.shares)) {
			if share := check.shares[name]; share < minimum {
				violations = append(violations, history.Violation{At: s.Length, Rule: history.Unserved, What: fmt.Sprintf(check.format, name, share)})
			}
		}
	}
	return violations
}

func newTestbed(ctx context.Context, e *Experiment, deployment *Deployment, setup emulator.Setup, program, dir string) (bed *testbed, err error) {
	bed = &testbed{deployment: deployment}
	var network emulator.Network = emulator.Loopback{}
	if !e.RealTime {
		bed.pipes = emulator.NewPipes(ctx)
		network = bed.pipes
		deployment.assignPipes(&bed.addresses)
	} else if err := deployment.assignLoopback(&bed.addresses); err != nil {
		return nil, err
	}
	if bed.world, err = emulator.New(ctx, network, setup); err != nil {
		return nil, err
	}
	if bed.addresses.Cloud, bed.addresses.State, err = bed.world.Serve(); err != nil {
		return nil, err
	}
	files, err := deployment.WriteSettings(dir, bed.addresses)
	if err != nil {
		return nil, err
	}
	bed.world.SetControllerAddrs(bed.addresses.Front)
	bed.dial = network.Dialer(usersHost)
	if !e.RealTime {
		bed.launcher = &inProcessLauncher{net: bed.pipes, files: files, stops: map[string]func(){}}
		return bed, nil
	}
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	bed.launcher = &processLauncher{program: program, files: files, logs: dir, running: map[string]*process{}, exited: func(name string, err error) {
		bed.world.RecordEvent(history.Event{Kind: history.NodeDown, Node: name, Cause: fmt.Sprint("ended by itself: ", err)})
		slog.Error("controller exited unexpectedly", "name", name, "err", err)
	}}
	return bed, nil
}

// runWorkload submits the jobs and injects the faults at their times, and returns at the end of the experiment.
func (bed *testbed) runWorkload(ctx context.Context, e *Experiment, seed uint64, progress func(float64)) error {
	balancer := emulator.NewBalancer(ctx, bed.dial, bed.deployment.Controllers, bed.addresses.Front, seed)
	client := &http.Client{Transport: &http.Transport{DialContext: balancer.Dial, MaxIdleConnsPerHost: maxUserConnections, MaxConnsPerHost: maxUserConnections, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	actions := make(chan func())
	after := func(d time.Duration, f func()) {
		time.AfterFunc(d, func() {
			select {
			case actions <- f:
			case <-ctx.Done():
			}
		})
	}
	var failed error
	injector := &faultInjector{deployment: bed.deployment, world: bed.world, net: bed.pipes, launcher: bed.launcher, active: map[string]int{}, cuts: map[string]func(string, string) bool{},
		note: bed.world.RecordEvent, fail: func(err error) { failed = errors.Join(failed, err) }, rng: randomSource(seed, "faults"),
		cancel: func(job string) {
			u := &user{plannedJob: plannedJob{spec: &protocol.JobSpec{ID: job}}, http: client, world: bed.world, rng: randomSource(seed, "cancels "+job)}
			go u.cancel(ctx)
		}}
	began := time.Now()
	for _, f := range e.Faults {
		if f.At < e.Length {
			after(f.At, func() { injector.inject(f, after) })
		}
	}
	for n, o := range e.plannedJobs(seed) {
		u := &user{plannedJob: o, http: client, world: bed.world, rng: randomSource(seed, fmt.Sprint("user ", n))}
		time.AfterFunc(o.submitAt, func() {
			if ctx.Err() == nil {
				u.run(ctx)
			}
		})
	}
	total := e.Length + e.Rest
	end := time.After(total)
	ticks := time.NewTicker(sampleInterval)
	defer ticks.Stop()
	for {
		select {
		case f := <-actions:
			if f(); failed != nil {
				return failed
			}
		case <-ticks.C:
			bed.world.Sample()
			progress(math.Min(1, time.Since(began).Seconds()/total.Seconds()))
		case <-end:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
