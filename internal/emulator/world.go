// Package emulator plays the world around daledyke by its published protocol: the
// state service, the cloud, the machines with their workers, and the load balancer that
// users come through. It runs over any network, in memory under virtual time as well as
// on loopback, and can be told to fail in all the ways that the protocol names. What
// happens is noted as events, over which the rules are checked at once.
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

// Variation is how far the world strays from its nominal values, as the protocol lets
// it. The zero value strays nowhere.
type Variation struct {
	// Boots: boot times are 0.6 to 1.5 times the nominal, some several times as long;
	// NeverUp is the share of machines that never come up.
	Boots   bool
	NeverUp float64
	// Speeds: machines are up to a tenth slower and fetch up to a third off their rate.
	Speeds bool
	// Reports come up to a quarter early or late.
	Reports bool
	// Prices of spot machines move by up to a third.
	Prices bool
	// ListLag is by how much the machine list is late; at times it is up to twice that.
	ListLag time.Duration
}

// Setup is what a world is made of.
type Setup struct {
	// Controllers are the names of the controllers, in the order workers know them.
	Controllers []string
	Types       []protocol.MachineType
	// Teams' limits bound what their tasks may use.
	Teams []config.Team
	// Capacity is how many machines there are at once, and Most how many of a type; a type
	// that is not in it has no bound of its own.
	Capacity  int
	MaxByType map[string]int
	// CloudRPS bounds the cloud's requests a second, 0 not at all.
	CloudRPS float64
	State    Limits
	// StateDir keeps the state service's state, "" in memory.
	StateDir string
	// The workers' times, as the settings have them.
	ReportEvery, Lease, GangWait, GangPeer, CancelWithin time.Duration
	Variation                                            Variation
	Seed                                                 uint64
	// Record is given every event, in its order, on the world's goroutine; it may be nil.
	Record func(history.Event)
}

// Limits are the most that each team's tasks may use at once, CPUs and GPUs; 0 is no limit.
func (s *Setup) Limits() map[string]protocol.Room {
	limits := map[string]protocol.Room{}
	for _, t := range s.Teams {
		limits[t.Name] = protocol.Room{Cores: t.CoresMax, Accels: t.AccelsMax}
	}
	return limits
}

// World is all that is around the controllers. Its loop owns all but the state service.
type World struct {
	State *State
	loop  *loop
	net   Network
	set   Setup
	rng   *rand.Rand
	types map[string]*protocol.MachineType
	rules *history.Checker
	works map[string]*job
	// The cloud.
	machines map[string]*machine
	order    []*machine // by name, gone ones among them while they are listed
	booked   map[string][]string
	made     int            // machines so far
	live     int            // machines that are charged
	lives    map[string]int // of them, by type
	capacity int
	down     bool
	// cloudLate is how much later rentals and returns are carried out, unanswered.
	cloudLate time.Duration
	bucket    *rate.Limiter
	prices    map[string]float64 // factors of spot prices, by type
	money     float64            // spent on machines that are gone
	hourly    float64            // what those that are charged cost an hour
	paidTo    time.Time
	boots     float64 // factor on boot times
	// Room in use and there.
	used, whole protocol.Room
	running     int
	// echo is how much later copies of all reports come, 0 for none.
	echo time.Duration
	// held is the share of direct commands that are held up; keeps: copies of reports are kept,
	// the first of each machine.
	held  float64
	keeps bool
	kept  map[string]protocol.Report
	// fronts are the addresses of the controllers' doors, by name.
	fronts map[string]string
	stops  []func()
}

// New makes a world on a network, which lives as long as ctx. Its services listen as
// cloud and state-CONTROLLER.
func New(ctx context.Context, n Network, set Setup) (*World, error) {
	w := &World{net: n, set: set, rng: rand.New(rand.NewPCG(set.Seed, 0x1dea)), types: map[string]*protocol.MachineType{}, works: map[string]*job{},
		machines: map[string]*machine{}, booked: map[string][]string{}, capacity: set.Capacity, prices: map[string]float64{}, lives: map[string]int{}, paidTo: time.Now(), boots: 1,
		fronts: map[string]string{}, bucket: bucket(set.CloudRPS, 2)}
	w.rules = history.NewChecker(history.Deployment{Limits: set.Limits(), CancelWithin: set.CancelWithin})
	for i := range set.Types {
		w.types[set.Types[i].Name] = &set.Types[i]
		w.prices[set.Types[i].Name] = 1
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

// Serve opens the cloud's and the state service's doors, and gives their addresses: the
// state service's by controller.
func (w *World) Serve() (cloud string, state map[string]string, err error) {
	if cloud, err = w.serve("cloud", w.cloudHandler()); err != nil {
		return "", nil, err
	}
	state = map[string]string{}
	for _, name := range w.set.Controllers {
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

// SetControllerAddrs tells the workers where the controllers' doors are.
func (w *World) SetControllerAddrs(addrs map[string]string) {
	w.loop.do(func() { maps.Copy(w.fronts, addrs) })
}

// Close takes all machines away and closes all doors.
func (w *World) Close() {
	var stops []func()
	w.loop.do(func() {
		for _, m := range w.order {
			m.remove("the world ends")
		}
		stops = w.stops
	})
	for _, stop := range stops {
		stop()
	}
}

// RecordEvent notes what happened outside of the world, such as what a user was told.
func (w *World) RecordEvent(e history.Event) { w.loop.do(func() { w.note(e) }) }

func (w *World) note(e history.Event) {
	e.At = w.loop.elapsed()
	w.rules.Observe(e)
	if w.set.Record != nil {
		w.set.Record(e)
	}
}

// WithChecker has f look at what the rules know, or change limits of accounts.
func (w *World) WithChecker(f func(*history.Checker)) { w.loop.do(func() { f(w.rules) }) }

// Elapsed is the time from the world's beginning.
func (w *World) Elapsed() time.Duration { return w.loop.elapsed() }

// Sample is the state of the world now; it is noted, too.
func (w *World) Sample() (s history.Sample) {
	state := w.State.Counts()
	w.loop.do(func() {
		w.accrueCost()
		s = history.Sample{Running: w.running, Waiting: w.rules.Waiting(), Machines: w.live, CoresUsed: w.used.Cores, Cores: w.whole.Cores,
			StateRequests: state.Requests, StateChanges: state.Changes, Money: w.money}
		w.note(history.Event{Kind: history.Sampled, Sample: &s})
	})
	return s
}

// RegisterJob tells the world of a job's image: how long its tasks run on a machine of
// nominal speed, and whether it was submitted with a mistake.
func (w *World) RegisterJob(spec *protocol.JobSpec, run func(task int) time.Duration, mistake bool) {
	w.loop.do(func() {
		if w.works[spec.ID] == nil {
			w.works[spec.ID] = &job{w: w, spec: spec, run: run, mistake: mistake, tasks: map[int]*progress{}, gangs: map[uint64]*gang{}}
			w.note(history.Event{Kind: history.Submitted, Job: spec.ID, Spec: spec})
		}
	})
}

// SetCapacity sets how many machines there can be at once.
func (w *World) SetCapacity(n int) { w.loop.do(func() { w.capacity = n }) }

// SetBootFactor sets a factor on the boot times of machines rented from now on; 0 has them up
// at once.
func (w *World) SetBootFactor(factor float64) { w.loop.do(func() { w.boots = factor }) }

// SetCloudOutage takes the cloud away, or gives it back.
func (w *World) SetCloudOutage(down bool) { w.loop.do(func() { w.down = down }) }

// DelayCloudRequests has rentals and returns carried out so much later, without an answer to their
// sender; 0 ends it.
func (w *World) DelayCloudRequests(by time.Duration) { w.loop.do(func() { w.cloudLate = by }) }

// DuplicateReports has a copy of every report come so much later, each at a controller drawn by chance,
// whatever became of the machine meanwhile; 0 ends it, but for those under way.
func (w *World) DuplicateReports(by time.Duration) { w.loop.do(func() { w.echo = by }) }

// DelayCommands has that share of direct commands held up on their way: unanswered, and carried
// out once, 2 to 16 s later, if token and session still match. 0 ends it, but for those under
// way.
func (w *World) DelayCommands(share float64) { w.loop.do(func() { w.held = share }) }

// ReplayReports has a copy kept of the next report of each machine; once it ends they reach every
// controller at once.
func (w *World) ReplayReports(on bool) {
	var all []protocol.Report
	var to []string
	w.loop.do(func() {
		if w.keeps = on; on {
			w.kept = map[string]protocol.Report{}
			return
		}
		for _, m := range w.order {
			if rep, kept := w.kept[m.id]; kept {
				all = append(all, rep)
			}
		}
		for _, name := range w.set.Controllers {
			to = append(to, w.fronts[name])
		}
	})
	go func() {
		c := &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer("copies"), DisableKeepAlives: true}}
		for _, rep := range all {
			for _, addr := range to {
				request(w.loop.ctx, c, http.MethodPost, "http://"+addr+"/checkin", rep, reportTimeout) // nobody hears the answer
			}
		}
	}()
}

// MachinesRented is how many machines were rented so far.
func (w *World) MachinesRented() (n int) {
	w.loop.do(func() { n = w.made })
	return n
}

// ZoneOf is the zone of a machine, "" if there is none of that name.
func (w *World) ZoneOf(id string) (zone string) {
	w.loop.do(func() {
		if m := w.machines[id]; m != nil {
			zone = m.kind.Zone
		}
	})
	return zone
}

// spread is a factor that lies between two values, by chance.
func (w *World) spread(low, high float64) float64 { return low + (high-low)*w.rng.Float64() }

// sorted lists a machine's tasks in the order of their names, so that a world repeats.
func (m *machine) sorted() []*task {
	return slices.SortedFunc(maps.Values(m.tasks), func(a, b *task) int { return cmp.Compare(a.Task, b.Task) })
}
