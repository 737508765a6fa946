// Package emulator emulates the environment of daledyke by its published protocol: the state service, the
// cloud, the machines with their workers, and the load balancer between users and controllers. It runs over
// any network, in memory under virtual time or on loopback, and can inject all faults that the protocol
// names. It records events and checks the rules on them as they occur.
package emulator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"daledyke/internal/config"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Variation is how far the world deviates from its nominal values, within the protocol's limits. The zero
// value does not deviate.
type Variation struct {
	// Boots: boot times are 0.6 to 1.5 times the nominal, and some several times as long; NeverUp is the
	// share of machines that never finish booting.
	Boots   bool
	NeverUp float64
	// Speeds: machines are up to a tenth slower, and their fetch rates vary by up to a third.
	Speeds bool
	// Reports: reports are sent up to a quarter early or late.
	Reports bool
	// Prices: spot prices vary by up to a third.
	Prices bool
	// ListLag is the delay of the machine list; at times it is up to twice as long.
	ListLag time.Duration
}

// Setup is the configuration of a world.
type Setup struct {
	// Controllers are the names of the controllers, in the order in which workers know them.
	Controllers []string
	Types       []protocol.MachineType
	// Teams sets the limits of what the teams' tasks may use.
	Teams []config.Team
	// Capacity limits the machines at one time, MaxByType those of a type; a type without an entry has no
	// limit of its own.
	Capacity  int
	MaxByType map[string]int
	// CloudRPS limits the cloud's requests per second; 0 is unlimited.
	CloudRPS float64
	State    Limits
	// StateDir is the directory of the state service's state; "" keeps it in memory.
	StateDir string
	// The workers' intervals and timeouts, as configured.
	ReportEvery, Lease, GangWait, GangPeer, CancelWithin time.Duration
	Variation                                            Variation
	Seed                                                 uint64
	// Record receives every event in order, on the world's goroutine; it may be nil.
	Record func(history.Event)
}

// Limits returns the most CPUs and GPUs that each team's tasks may use at once; 0 is unlimited.
func (s *Setup) Limits() map[string]protocol.Room {
	limits := map[string]protocol.Room{}
	for _, t := range s.Teams {
		limits[t.Name] = protocol.Room{Cores: t.CoresMax, Accels: t.AccelsMax}
	}
	return limits
}

// World is the environment of the controllers. Its loop owns all state except that of the state service.
type World struct {
	State *State
	loop  *loop
	net   Network
	setup Setup
	rng   *rand.Rand
	types map[string]*protocol.MachineType
	rules *history.Checker
	jobs  map[string]*job
	// State of the cloud.
	machines      map[string]*machine
	machineList   []*machine // by name, including removed machines while they are listed
	bookings      map[string][]string
	machinesMade  int            // machines rented so far
	charged       int            // machines that are charged
	chargedByType map[string]int // charged machines by type
	capacity      int
	cloudDown     bool
	// cloudDelay is how much later rentals and returns are carried out; their answers are dropped.
	cloudDelay    time.Duration
	cloudLimiter  *rate.Limiter
	spotFactors   map[string]float64 // factor on the spot price, by type
	cost          float64            // cost until costAccruedTo
	hourlyCost    float64            // hourly cost of the charged machines
	costAccruedTo time.Time
	bootFactor    float64 // factor on boot times
	// Resources in use, and of all running machines.
	usedRoom, totalRoom protocol.Room
	running             int
	// duplicateDelay is how much later copies of all reports are sent; 0 sends none.
	duplicateDelay time.Duration
	// copies repeats requests to the cloud and to workers.
	copies *repeater
	// delayedCommandShare is the share of direct commands that are delayed. While keepReports is set, the
	// first report of each machine is copied to keptReports.
	delayedCommandShare float64
	keepReports         bool
	keptReports         map[string]protocol.Report
	// controllerAddrs are the addresses of the controllers for workers, by controller.
	controllerAddrs map[string]string
	stops           []func()
}

// New returns a world on a network, which runs until ctx ends. Its services listen as cloud and
// state-CONTROLLER.
func New(ctx context.Context, n Network, set Setup) (*World, error) {
	w := &World{copies: &repeater{ctx: ctx}, net: n, setup: set, rng: rand.New(rand.NewPCG(set.Seed, 0x1dea)), types: map[string]*protocol.MachineType{}, jobs: map[string]*job{},
		machines: map[string]*machine{}, bookings: map[string][]string{}, capacity: set.Capacity, spotFactors: map[string]float64{}, chargedByType: map[string]int{}, costAccruedTo: time.Now(), bootFactor: 1,
		controllerAddrs: map[string]string{}, cloudLimiter: newLimiter(set.CloudRPS, 2)}
	w.rules = history.NewChecker(history.Deployment{Limits: set.Limits(), CancelWithin: set.CancelWithin})
	for i := range set.Types {
		w.types[set.Types[i].Name] = &set.Types[i]
		w.spotFactors[set.Types[i].Name] = 1
	}
	var err error
	if w.State, err = NewState(ctx, set.State, set.StateDir); err != nil {
		return nil, err
	}
	w.loop = newLoop(ctx)
	if set.Variation.Prices {
		w.loop.do(w.updateSpotPrices)
	}
	return w, nil
}

// Serve starts the cloud and the state service and returns their addresses, the state service's by
// controller.
func (w *World) Serve() (cloud string, state map[string]string, err error) {
	if cloud, err = w.serve("cloud", w.cloudHandler()); err != nil {
		return "", nil, err
	}
	state = map[string]string{}
	for _, name := range w.setup.Controllers {
		if state[name], err = w.serve("state-"+name, w.State.Handler(name)); err != nil {
			return "", nil, err
		}
	}
	return cloud, state, nil
}

func (w *World) serve(name string, h http.Handler) (addr string, err error) {
	l, err := w.net.Listen(name)
	if err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go srv.Serve(l)
	stop := func() { srv.Close() }
	if !w.loop.do(func() { w.stops = append(w.stops, stop) }) {
		stop()
	}
	return l.Addr().String(), nil
}

// SetControllerAddrs tells the workers the controllers' addresses.
func (w *World) SetControllerAddrs(addrs map[string]string) {
	w.loop.do(func() { maps.Copy(w.controllerAddrs, addrs) })
}

// Close removes all machines and stops all servers.
func (w *World) Close() {
	var stops []func()
	w.loop.do(func() {
		for _, m := range w.machineList {
			m.remove("the world ends")
		}
		stops = w.stops
	})
	for _, stop := range stops {
		stop()
	}
}

// RecordEvent records an event from outside the world, such as an answer to a user.
func (w *World) RecordEvent(e history.Event) { w.loop.do(func() { w.record(e) }) }

func (w *World) record(e history.Event) {
	e.At = w.loop.elapsed()
	w.rules.Observe(e)
	if w.setup.Record != nil {
		w.setup.Record(e)
	}
}

// WithChecker calls f with the rules' checker, to read its state or to change limits of accounts.
func (w *World) WithChecker(f func(*history.Checker)) { w.loop.do(func() { f(w.rules) }) }

// Elapsed returns the time since the world was created.
func (w *World) Elapsed() time.Duration { return w.loop.elapsed() }

// Sample returns the current state of the world and records it as an event.
func (w *World) Sample() (s history.Sample) {
	state := w.State.Counts()
	w.loop.do(func() {
		w.accrueCost()
		s = history.Sample{Running: w.running, Waiting: w.rules.Waiting(), Machines: w.charged, CoresUsed: w.usedRoom.Cores, Cores: w.totalRoom.Cores,
			StateRequests: state.Requests, StateChanges: state.Changes, Money: w.cost}
		w.record(history.Event{Kind: history.Sampled, Sample: &s})
	})
	return s
}

// RegisterJob registers a job's image: how long its tasks run on a machine of nominal speed, and whether it
// was submitted with a mistake.
func (w *World) RegisterJob(spec *protocol.JobSpec, run func(task int) time.Duration, mistake bool) {
	w.loop.do(func() {
		if w.jobs[spec.ID] == nil {
			w.jobs[spec.ID] = &job{w: w, spec: spec, run: run, mistake: mistake, tasks: map[int]*progress{}, gangs: map[uint64]*gang{}}
			w.record(history.Event{Kind: history.Submitted, Job: spec.ID, Spec: spec})
		}
	})
}

// SetCapacity sets how many machines there can be at one time.
func (w *World) SetCapacity(n int) { w.loop.do(func() { w.capacity = n }) }

// SetBootFactor sets a factor on the boot times of machines rented from now on; with 0 they start at once.
func (w *World) SetBootFactor(factor float64) { w.loop.do(func() { w.bootFactor = factor }) }

// SetCloudOutage makes the cloud unavailable, or restores it.
func (w *World) SetCloudOutage(down bool) { w.loop.do(func() { w.cloudDown = down }) }

// DelayCloudRequests carries out rentals and returns after a delay and drops their answers; 0 ends it.
func (w *World) DelayCloudRequests(by time.Duration) { w.loop.do(func() { w.cloudDelay = by }) }

// DuplicateReports sends a copy of every report after a delay, each to a random controller, whatever
// happened to the machine meanwhile. 0 ends it, except for copies that are already scheduled.
func (w *World) DuplicateReports(by time.Duration) { w.loop.do(func() { w.duplicateDelay = by }) }

// RepeatRequests lets a copy of each direct command, rental, return and request to the state service that may change
// something arrive once more after a delay. 0 ends it, except for copies that are already scheduled.
func (w *World) RepeatRequests(by time.Duration) {
	w.copies.setDelay(by)
	w.State.RepeatRequests(by)
}

// DelayCommands delays a share of the direct commands: each is unanswered and carried out once, 2 to 16 s
// later, if its token and session still match. 0 ends it, except for commands that are already delayed.
func (w *World) DelayCommands(share float64) { w.loop.do(func() { w.delayedCommandShare = share }) }

// ReplayReports keeps a copy of the next report of each machine; when it is turned off, all copies are sent
// to every controller at once.
func (w *World) ReplayReports(on bool) {
	var all []protocol.Report
	var to []string
	w.loop.do(func() {
		if w.keepReports = on; on {
			w.keptReports = map[string]protocol.Report{}
			return
		}
		for _, m := range w.machineList {
			if rep, kept := w.keptReports[m.id]; kept {
				all = append(all, rep)
			}
		}
		for _, name := range w.setup.Controllers {
			to = append(to, w.controllerAddrs[name])
		}
	})
	go func() {
		c := &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer("copies"), DisableKeepAlives: true}}
		for _, rep := range all {
			for _, addr := range to {
				request(w.loop.ctx, c, http.MethodPost, "http://"+addr+"/checkin", rep, reportTimeout) // the answer is dropped
			}
		}
	}()
}

// MachinesRented returns how many machines were rented so far.
func (w *World) MachinesRented() (n int) {
	w.loop.do(func() { n = w.machinesMade })
	return n
}

// ZoneOf returns the zone of a machine, "" if there is no such machine.
func (w *World) ZoneOf(id string) (zone string) {
	w.loop.do(func() {
		if m := w.machines[id]; m != nil {
			zone = m.kind.Zone
		}
	})
	return zone
}

// uniform returns a random factor between two values.
func (w *World) uniform(low, high float64) float64 { return low + (high-low)*w.rng.Float64() }

// sortedTasks returns a machine's tasks in the order of their names, so that runs are reproducible.
func (m *machine) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(m.tasks), func(a, b *task) int { return cmp.Compare(a.Task, b.Task) })
}
