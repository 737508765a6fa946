package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// HuntOptions are the options of Hunt.
type HuntOptions struct {
	Seed   uint64
	Runs   int
	Length time.Duration
	// Printf reports progress.
	Printf func(format string, args ...any)
}

// Random returns a random experiment: a small deployment, some load, and faults that may overlap.
func Random(seed uint64, length time.Duration) *Experiment {
	rng := randomSource(seed, "hunt")
	e := &Experiment{Name: fmt.Sprintf("hunt-%d", seed), Controllers: 3 + rng.IntN(3), Machines: 8 + rng.IntN(40), Length: length, Rest: 4 * time.Minute,
		Seeds: []uint64{seed}, Scale: 1}
	pick := func(kinds ...string) string { return kinds[rng.IntN(len(kinds))] }
	e.Classes = []Class{
		{Name: "proof", Teams: []string{pick("desk", "plates")}, Shape: protocol.Service, Priority: "critical", Arrivals: []Arrivals{{Kind: "start", Count: 2 + rng.IntN(6)}},
			Tasks: Distribution{Kind: "uniform", A: 1, B: 5}, Run: Distribution{Kind: "const", A: 1}, Cores: 4, RAM: 8, Image: "proof", ImageGB: 2, Scatter: rng.IntN(2) == 0, Cancelled: 0.1},
		{Name: "render", Teams: []string{pick("desk", "archive")}, Shape: protocol.Array, Priority: protocol.Priority(pick("normal", "high")),
			Arrivals: []Arrivals{{Kind: "poisson", Gap: time.Duration(4+rng.IntN(20)) * time.Second}}, Tasks: Distribution{Kind: "uniform", A: 1, B: 8},
			Run: Distribution{Kind: "lognormal", A: 25, B: 0.7}, Error: 0.4, Cores: 4, RAM: 12, Image: "render", ImageGB: 4, Spot: rng.IntN(2) == 0,
			Cancelled: 0.1, Chained: 0.15, Mistaken: 0.03},
		{Name: "learn", Teams: []string{"plates"}, Shape: protocol.Gang, Priority: "normal", Arrivals: []Arrivals{{Kind: "poisson", Gap: time.Duration(20+rng.IntN(50)) * time.Second}},
			Tasks: Distribution{Kind: "uniform", A: 2, B: 6}, Run: Distribution{Kind: "lognormal", A: 60, B: 0.5}, Error: 0.4, Cores: 8, RAM: 32, Image: "learn", ImageGB: 6,
			CheckpointEvery: 20 * time.Second, CheckpointTime: 3 * time.Second, Spot: true, OneZone: rng.IntN(2) == 0, Cancelled: 0.1},
	}
	if rng.IntN(3) == 0 {
		zonedDeployment(e, rng)
	}
	d := e.deployment()
	for range 1 + rng.IntN(6) {
		e.Faults = append(e.Faults, randomFault(rng, &d, length))
	}
	// Up to three combinations of faults, which may overlap: violations arise where faults coincide.
	for range rng.IntN(4) {
		combined := combinedFaults(rng, &d, length)
		e.Faults = append(e.Faults, combined...)
		if rng.IntN(4) > 0 {
			e.Faults = append(e.Faults, cancellationNear(rng, &d, combined[0].At))
		}
	}
	slices.SortFunc(e.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return e
}

// zonedDeployment gives the experiment controllers in one zone and machines in four, small and large machine
// types of which one is missing from a zone, and teams that are all limited in one resource.
func zonedDeployment(e *Experiment, rng *rand.Rand) {
	zones := []string{"inner", "outer", "north", "mole"}
	n := float64(e.Machines)
	e.Overrides = Overrides{Zones: zones, ControlZones: zones[:1], CloudRPS: 2, ListLag: 8 * time.Second,
		Types: []protocol.MachineType{
			{Name: "small", Cores: 4, RAM: 16, CacheGB: 50, FetchRate: 0.4, Price: 0.3, SpotPrice: 0.11, BootS: 25},
			{Name: "mid", Cores: 24, Accels: 2, RAM: 192, CacheGB: 70, FetchRate: 1, Price: 7.5, SpotPrice: 2.7, BootS: 25},
			{Name: "wide", Cores: 96, Accels: 8, RAM: 384, CacheGB: 100, FetchRate: 1, Price: 26, SpotPrice: 10, BootS: 50, Zones: zones[1:]}},
		MaxByType: map[string]int{"small": 2 * e.Machines / 3},
		Teams:     []config.Team{{Name: "desk", Accels: 2, AccelsMax: n}, {Name: "plates", Accels: 4, AccelsMax: 2 * n}, {Name: "archive", Accels: 1, AccelsMax: 4}}}
	if rng.IntN(2) == 0 { // one class uses the limited resource, the others do not
		e.Classes[2].Accels = 2
	}
}

// cancellationNear returns a fault that cancels running jobs within some seconds of a time. In most cases
// some of their machines hang from then on: for less than a lease, for about a lease, or for longer than
// cancelled tasks may remain.
func cancellationNear(rng *rand.Rand, d *Deployment, at time.Duration) Fault {
	const spread = 6 * time.Second
	at += time.Duration(rng.Int64N(int64(2*spread))) - spread/2
	hang := []time.Duration{0, d.Lease/4 + time.Duration(rng.Int64N(int64(d.Lease/2))), d.Lease - time.Duration(rng.Int64N(int64(3*time.Second))),
		d.CancelWithin + time.Duration(rng.Int64N(int64(20*time.Second)))}[rng.IntN(4)]
	f := Fault{At: max(0, at).Round(100 * time.Millisecond), Kind: "cancel-now", Args: []string{fmt.Sprint(2 + rng.IntN(10))}}
	if hang > 0 {
		f.Args = append(f.Args, hang.Round(100*time.Millisecond).String())
	}
	return f
}

// combinedFaults returns faults that nearly coincide. Each kind alone does no harm; together they separate the
// component that learns of a change, the one that may act on it, and the one that is informed.
func combinedFaults(rng *rand.Rand, d *Deployment, length time.Duration) []Fault {
	at := time.Duration(rng.Int64N(int64(length * 7 / 10)))
	node, other := d.Controllers[rng.IntN(len(d.Controllers))], d.Controllers[rng.IntN(len(d.Controllers))]
	// nextTime returns a time up to maxDelay after the previous one; about returns a duration near a nominal
	// one.
	nextTime := func(maxDelay time.Duration) time.Duration {
		at += time.Duration(rng.Int64N(int64(maxDelay)))
		return at.Round(100 * time.Millisecond)
	}
	about := func(nominal time.Duration) string {
		return (nominal/2 + time.Duration(rng.Int64N(int64(nominal)))).Round(100 * time.Millisecond).String()
	}
	crash := func(name string) Fault {
		downTime := []string{"200ms", "700ms", "5s", "20s"}[rng.IntN(4)]
		return Fault{At: nextTime(4 * time.Second), Kind: "crash", Args: []string{downTime, name}}
	}
	count := fmt.Sprint(2 + rng.IntN(8))
	switch rng.IntN(11) {
	case 0: // the state service refuses one controller, then is unavailable to all; another controller may crash
		all := []Fault{{At: nextTime(time.Second), Kind: "state-refuses", Args: []string{about(d.Lease / 2), node}},
			{At: nextTime(8 * time.Second), Kind: "state-outage", Args: []string{about(d.CancelWithin * 3 / 2)}}}
		if rng.IntN(2) == 0 {
			all = append(all, crash(other))
		}
		return all
	case 1: // one controller reaches only its workers and users, and another crashes
		return []Fault{{At: nextTime(time.Second), Kind: "cut", Args: []string{about(d.CancelWithin), node, "services"}}, crash(other)}
	case 2: // machines do not hear or reach the successor of a crashed controller
		return []Fault{{At: nextTime(time.Second), Kind: "machines", Args: []string{[]string{"deafen", "hold", "hang", "mute"}[rng.IntN(4)], count, about(d.Lease)}}, crash(node), crash(other)}
	case 3: // the state service is slow before it becomes unavailable
		return []Fault{{At: nextTime(time.Second), Kind: "state-slow", Args: []string{about(10 * time.Second), about(time.Second)}},
			{At: nextTime(10 * time.Second), Kind: "state-outage", Args: []string{about(d.CancelWithin)}}}
	case 4: // all controllers crash, and one crashes again after its restart
		return []Fault{{At: nextTime(time.Second), Kind: "crash", Args: []string{about(4 * time.Second), "all"}}, crash(node), crash(node)}
	case 5: // transactions are applied late while controllers crash
		return []Fault{{At: nextTime(time.Second), Kind: "state-late", Args: []string{about(12 * time.Second), about(6 * time.Second)}}, crash(node), crash(other)}
	case 6: // commands are delayed while machines change holders, and some machines do not hear
		return []Fault{{At: nextTime(time.Second), Kind: "late-commands", Args: []string{about(d.Lease * 2), "0.5"}}, crash(node),
			{At: nextTime(5 * time.Second), Kind: "machines", Args: []string{[]string{"deafen", "hold", "hang", "mute"}[rng.IntN(4)], count, about(d.Lease)}}, crash(other)}
	case 7: // transactions are applied without a response, and the requesting controller crashes
		return []Fault{{At: nextTime(time.Second), Kind: "state-unheard", Args: []string{about(20 * time.Second), "0.4"}}, crash(node), crash(other)}
	case 8: // copies of reports are kept and reach controllers that have just started
		return []Fault{{At: nextTime(time.Second), Kind: "kept-reports", Args: []string{about(d.Lease / 2)}}, crash(node), crash(other)}
	case 9: // machines reboot while commands are delayed, and the senders of the commands crash
		reboot := func() Fault {
			return Fault{At: nextTime(6 * time.Second), Kind: "machines", Args: []string{"reboot", count}}
		}
		return []Fault{{At: nextTime(time.Second), Kind: "late-commands", Args: []string{about(d.Lease * 2), "0.5"}}, reboot(), crash(node), reboot(), crash(other), reboot()}
	default: // copies of old reports and requests reach controllers and machines that have just started
		start, args := nextTime(time.Second), []string{about(d.Lease * 2), about(d.Lease)}
		return []Fault{{At: start, Kind: "echoes", Args: args}, {At: start, Kind: "repeats", Args: args}, crash(node),
			{At: nextTime(5 * time.Second), Kind: "machines", Args: []string{"reboot", count}}}
	}
}

func randomFault(rng *rand.Rand, d *Deployment, length time.Duration) Fault {
	duration := func(maximum time.Duration) string {
		return (time.Second + time.Duration(rng.Int64N(int64(maximum)))).Round(100 * time.Millisecond).String()
	}
	shortDuration := func() string { // back before its absence is detected
		return (50*time.Millisecond + time.Duration(rng.Int64N(int64(450*time.Millisecond)))).Round(time.Millisecond).String()
	}
	node := d.Controllers[rng.IntN(len(d.Controllers))]
	f := Fault{At: time.Duration(rng.Int64N(int64(length * 9 / 10))).Round(100 * time.Millisecond)}
	kinds := []func(){
		func() { f.Kind, f.Args = "state-outage", []string{duration(2 * d.Lease)} },
		func() { f.Kind, f.Args = "state-refuses", []string{duration(3 * d.Lease), node} },
		func() { f.Kind, f.Args = "state-slow", []string{duration(time.Minute), duration(2 * time.Second)} },
		func() { f.Kind, f.Args = "state-late", []string{duration(30 * time.Second), duration(time.Minute)} },
		func() {
			f.Kind, f.Args = "state-lags", []string{duration(time.Minute), node, duration(5 * time.Second)}
		},
		func() {
			f.Kind, f.Args = "state-writes", []string{duration(2 * time.Minute), fmt.Sprintf("%.2f", 0.1+0.4*rng.Float64())}
		},
		func() { f.Kind, f.Args = "cloud-outage", []string{duration(2 * time.Minute)} },
		func() { f.Kind, f.Args = "cloud-late", []string{duration(30 * time.Second), duration(time.Minute)} },
		func() {
			f.Kind, f.Args = "capacity", []string{duration(2 * time.Minute), fmt.Sprintf("%.2f", rng.Float64())}
		},
		func() { f.Kind, f.Args = "crash", []string{duration(time.Minute), node} },
		func() { f.Kind, f.Args = "crash", []string{duration(20 * time.Second), node} },
		func() { f.Kind, f.Args = "crash", []string{duration(30 * time.Second), "all"} },
		func() { f.Kind, f.Args = "crash", []string{shortDuration(), []string{node, "all"}[rng.IntN(2)]} },
		func() {
			f.Kind, f.Args = "cut", []string{duration(2 * time.Minute), node, []string{"workers", "siblings", "services", "all"}[rng.IntN(4)]}
		},
		func() {
			f.Kind, f.Args = "cut", []string{duration(2 * time.Minute), node, "services"}
		},
		func() { f.Kind, f.Args = "echoes", []string{duration(2 * time.Minute), duration(3 * d.Lease)} },
		func() {
			f.Kind, f.Args = "machines", []string{[]string{"deafen", "hold", "mute"}[rng.IntN(3)], fmt.Sprint(1 + rng.IntN(10)), duration(3 * d.Lease)}
		},
		func() { f.Kind, f.Args = "machines", []string{"reboot", fmt.Sprint(1 + rng.IntN(6))} },
		func() {
			f.Kind, f.Args = "cut-zone", []string{duration(2 * time.Minute), d.Zones[rng.IntN(len(d.Zones))]}
		},
		func() {
			f.Kind, f.Args = "machines", []string{[]string{"die", "sicken", "slow", "leave", "taken"}[rng.IntN(5)], fmt.Sprint(1 + rng.IntN(4))}
		},
		func() {
			f.Kind, f.Args = "machines", []string{"hang", fmt.Sprint(1 + rng.IntN(4)), duration(2 * d.Lease)}
		},
		func() { f.Kind, f.Args = "spot-wave", []string{fmt.Sprintf("%.2f", 0.2+0.8*rng.Float64())} },
	}
	kinds[rng.IntN(len(kinds))]()
	return f
}

// Reductions returns the experiments that result from one reduction of an experiment, the largest reductions
// first.
func Reductions(e *Experiment) (all []*Experiment) {
	add := func(change func(*Experiment)) {
		c := *e
		c.Faults, c.Classes = slices.Clone(e.Faults), slices.Clone(e.Classes)
		change(&c)
		if c.validate() == nil {
			all = append(all, &c)
		}
	}
	if n := len(e.Faults); n > 2 {
		add(func(c *Experiment) { c.Faults = c.Faults[:n/2] })
		add(func(c *Experiment) { c.Faults = c.Faults[n/2:] })
	}
	for i := range e.Faults {
		add(func(c *Experiment) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if len(e.Classes) > 1 {
		for i := range e.Classes {
			add(func(c *Experiment) { c.Classes = slices.Delete(c.Classes, i, i+1) })
		}
	}
	if e.Length >= time.Minute {
		add(func(c *Experiment) {
			c.Length = (c.Length / 2).Round(time.Second)
			c.Faults = slices.DeleteFunc(c.Faults, func(f Fault) bool { return f.At >= c.Length })
		})
	}
	if e.Scale > 0.05 {
		add(func(c *Experiment) { c.Scale /= 2 })
	}
	if e.Machines > 3 {
		add(func(c *Experiment) { c.Machines = c.Machines * 2 / 3 })
	}
	for i, c := range e.Classes {
		if c.Cancelled+c.Chained+c.Mistaken > 0 {
			add(func(x *Experiment) {
				x.Classes[i].Cancelled, x.Classes[i].Chained, x.Classes[i].Mistaken = 0, 0, 0
			})
		}
	}
	return all
}

// Shrink reduces an experiment as long as breaks still reports a violation, with at most the given number of
// tries.
func Shrink(e *Experiment, tries int, breaks func(*Experiment) (bool, error)) (*Experiment, error) {
	for progressed := true; progressed; {
		progressed = false
		for _, smaller := range Reductions(e) {
			if tries--; tries < 0 {
				return e, nil
			}
			broken, err := breaks(smaller)
			if err != nil {
				return e, err
			}
			if broken {
				e, progressed = smaller, true
				break
			}
		}
	}
	return e, nil
}

// shrinkTries bounds the number of runs for shrinking one experiment.
const shrinkTries = 60

// Finding is an experiment that violates a rule.
type Finding struct {
	Experiment *Experiment
	Broken     []history.Violation
	File       string
}

// Hunt runs random experiments and shrinks each that violates a rule. Every other experiment is a mutation of
// one in which the tasks of a cancelled job remained longest. Findings are saved as files in the runner's
// directory.
func Hunt(ctx context.Context, r *Runner, o HuntOptions) (found []Finding, err error) {
	dir := r.Dir
	var misses nearMisses
	for n := range o.Runs {
		seed := o.Seed*1_000_003 + uint64(n)
		e := Random(seed, o.Length)
		if base := misses.pick(randomSource(seed, "like")); base != nil && n%2 == 1 {
			e = Mutate(base, seed)
		}
		broken, share, err := r.findViolations(ctx, e, filepath.Join(dir, e.Name))
		if err != nil {
			return found, err
		}
		if len(broken) == 0 {
			misses.add(e, share)
			o.Printf("%s: sound, cancelled work gone within %.2f of its time (%d controllers, %d machines; %s)", e.Name, share, e.Controllers, e.Machines, faultList(e))
			if err := os.RemoveAll(filepath.Join(dir, e.Name)); err != nil {
				return found, err
			}
			continue
		}
		o.Printf("%s: BROKEN: %v (%s)", e.Name, broken[0], faultList(e))
		rule, tried := broken[0].Rule, 0
		violations := broken
		shrunk, err := Shrink(e, shrinkTries, func(c *Experiment) (bool, error) {
			tried++
			at := filepath.Join(dir, fmt.Sprintf("%s-try%d", e.Name, tried))
			defer os.RemoveAll(at)
			again, _, err := r.findViolations(ctx, c, at)
			still := slices.ContainsFunc(again, func(v history.Violation) bool { return v.Rule == rule })
			if still {
				violations = again
			}
			return still, err
		})
		f := Finding{Experiment: shrunk, Broken: violations, File: filepath.Join(dir, e.Name+".edn")}
		text := fmt.Sprintf("; %s\n; made smaller in %d tries\n%s", f.Broken[0], tried, shrunk)
		if werr := os.WriteFile(f.File, []byte(text), 0o600); werr != nil {
			return found, werr
		}
		found = append(found, f)
		o.Printf("saved as %s: %d classes; %s", f.File, len(shrunk.Classes), faultList(shrunk))
		if err != nil {
			return found, err
		}
	}
	o.Printf("%d experiments, %d of them broke a rule", o.Runs, len(found))
	return found, nil
}

func faultList(e *Experiment) string {
	var all []string
	for _, f := range e.Faults {
		all = append(all, fmt.Sprintf("%v %s", f.At, f))
	}
	return strings.Join(all, ", ")
}

// findViolations runs an experiment and returns the violations of rules, and the longest time that the tasks
// of a cancelled job took to end as a share of the time allowed.
func (r *Runner) findViolations(ctx context.Context, e *Experiment, dir string) (broken []history.Violation, share float64, err error) {
	runner := *r
	runner.Dir, runner.Progress = dir, nil
	result, err := runner.Run(ctx, e)
	if err != nil {
		return nil, 0, err
	}
	for _, s := range result.Runs {
		broken = append(broken, s.Broken...)
		share = max(share, s.Cancelled.WorstShare)
	}
	return broken, share, nil
}
