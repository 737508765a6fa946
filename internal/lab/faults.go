package lab

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/history"
)

// What can fail, and with which arguments. A TIME is how long it lasts.
var faultParameters = map[string]string{
	"state-outage":  "TIME",            // the state service is away for all
	"state-refuses": "TIME NODE",       // one controller gets 503
	"state-slow":    "TIME BY",         // answers take so long
	"state-late":    "TIME BY",         // transactions are applied so much later, unanswered
	"state-unheard": "TIME SHARE",      // that share of transactions is carried out, and the answer lost
	"state-lags":    "TIME NODE BY",    // one controller hears of changes late
	"state-writes":  "TIME SHARE",      // its rate of changes falls to a share
	"cloud-outage":  "TIME",            // the cloud is away
	"cloud-late":    "TIME BY",         // rentals and returns are carried out so much later, unanswered
	"capacity":      "TIME SHARE",      // there are so many of the machines
	"boots":         "TIME FACTOR",     // machines rented meanwhile boot so much slower; 0: at once
	"crash":         "TIME NODE",       // killed, and started again after TIME; all: all of them
	"hangs":         "TIME NODE",       // stopped, and let go on (real time)
	"cut":           "TIME NODE WHAT",  // from workers, siblings, services (the state service and siblings) or all (virtual time)
	"cut-zone":      "TIME ZONE",       // what is in it from all else (virtual time)
	"echoes":        "TIME BY",         // copies of reports come so much later
	"late-commands": "TIME SHARE",      // that share of direct commands is held up for seconds, unanswered
	"kept-reports":  "TIME",            // copies of reports are kept, and then reach every controller at once
	"machines":      "TROUBLE N [FOR]", // N of them die, hang, deafen, hold or mute FOR, sicken, slow, reboot, leave or are taken
	"spot-wave":     "SHARE",           // so many spot machines leave at once
	"cancel-now":    "N [FOR]",         // users cancel N jobs that run; up to eight of their machines hang FOR
}

var machineTroubles = map[string]emulator.Trouble{"die": emulator.Dies, "hang": emulator.Hangs, "sicken": emulator.Sickens, "slow": emulator.Slows,
	"leave": emulator.Leaves, "taken": emulator.Taken, "deafen": emulator.Deafens, "hold": emulator.Holds, "mute": emulator.Mutes, "reboot": emulator.Reboots}

// ends are what ends a trouble that lasts.
var troubleEnds = map[string]emulator.Trouble{"hang": emulator.Resumes, "deafen": emulator.Hears, "hold": emulator.Hears, "mute": emulator.Speaks}

// check tells what is senseless about a fault.
func (f Fault) validate(e *Experiment, d *Deployment) error {
	form, known := faultParameters[f.Kind]
	if !known {
		return errors.New("there is no such fault")
	}
	parameters := strings.Fields(form)
	required := len(parameters)
	if strings.HasPrefix(parameters[required-1], "[") {
		required--
	}
	if len(f.Args) < required || len(f.Args) > len(parameters) {
		return fmt.Errorf("it takes %s", form)
	}
	for n, arg := range f.Args {
		var err error
		switch strings.Trim(parameters[n], "[]") {
		case "TIME", "BY", "FOR":
			_, err = parseDuration(arg)
		case "SHARE":
			_, err = parseFloat(arg, 0, 1)
		case "FACTOR":
			_, err = parseFloat(arg, 0, 100)
		case "N":
			_, err = parseInt(arg, 1, 20000)
		case "NODE":
			if !slices.Contains(d.Controllers, arg) && !(arg == "all" && f.Kind == "crash") {
				err = fmt.Errorf("there is no controller %s: they are %s", arg, strings.Join(d.Controllers, ", "))
			}
		case "ZONE":
			if !slices.Contains(d.Zones, arg) {
				err = fmt.Errorf("there is no zone %s: they are %s", arg, strings.Join(d.Zones, ", "))
			}
		case "WHAT":
			if !slices.Contains([]string{"workers", "siblings", "services", "all"}, arg) {
				err = fmt.Errorf("workers, siblings, services or all, not %s", arg)
			}
		case "TROUBLE":
			if machineTroubles[arg] == "" {
				err = fmt.Errorf("machines don't do that: %s", arg)
			}
		}
		if err != nil {
			return err
		}
	}
	if e.RealTime && strings.HasPrefix(f.Kind, "cut") {
		return errors.New("connections are cut in virtual time alone")
	}
	if !e.RealTime && f.Kind == "hangs" {
		return errors.New("controllers hang in real time alone")
	}
	return nil
}

// breaker carries faults out. Faults of the same kind may overlap: what they set counts
// how many are under way, so that the first to end does not end the others.
type faultInjector struct {
	deployment *Deployment
	world      *emulator.World
	net        *emulator.Pipes // nil in real time
	launcher   launcher
	active     map[string]int
	cuts       map[string]func(from, to string) bool
	note       func(history.Event)
	fail       func(error)
	// cancel has the user of a job cancel it; draw draws what is chosen by chance.
	cancel func(job string)
	rng    *rand.Rand
}

// Users who cancel at once do so within cancelSpread; of the machines of their jobs at most
// mostHung hang.
const (
	cancelSpread = 200 * time.Millisecond
	maxHung      = 8
)

// cancelNow has users cancel n of the jobs that run; it gives the machines of theirs that hang
// from now on, none unless hang is set.
func (b *faultInjector) cancelNow(n int, hang bool, after func(time.Duration, func())) (hung []string) {
	var jobs, machines []string
	b.world.Rules(func(r *history.Checker) {
		jobs = r.Running()
		b.rng.Shuffle(len(jobs), func(i, k int) { jobs[i], jobs[k] = jobs[k], jobs[i] })
		jobs = jobs[:min(n, len(jobs))]
		for _, id := range jobs {
			machines = append(machines, slices.Sorted(maps.Values(r.Machines(id)))...)
		}
	})
	for _, id := range jobs {
		after(time.Duration(b.rng.Int64N(int64(cancelSpread))), func() { b.cancel(id) })
	}
	if !hang {
		return nil
	}
	b.rng.Shuffle(len(machines), func(i, k int) { machines[i], machines[k] = machines[k], machines[i] })
	for _, id := range machines {
		if len(hung) < maxHung && !slices.Contains(hung, id) && b.world.Strike(id, emulator.Hangs) == nil {
			hung = append(hung, id)
		}
	}
	return hung
}

// on is a value while something lasts, and none once it is over.
func valueIf[T any](condition bool, v T) (result T) {
	if condition {
		result = v
	}
	return result
}

func (b *faultInjector) setCrashed(name string, crashed bool) {
	kind, change := history.NodeUp, b.launcher.start
	if crashed {
		kind, change = history.NodeDown, b.launcher.kill
	}
	if err := change(name); err != nil {
		b.fail(err)
	}
	b.note(history.Event{Kind: kind, Node: name})
}

// zones tells the zone of every host by its name.
func (b *faultInjector) zoneLookup() func(host string) string {
	return func(host string) string {
		if zone := b.deployment.zone(host); zone != "" {
			return zone
		}
		return b.world.ZoneOf(host)
	}
}

// cut sets or clears one cut among those that may hold.
func (b *faultInjector) setCut(name string, active bool, separates func(from, to string) bool) {
	delete(b.cuts, name)
	if active {
		b.cuts[name] = separates
	}
	predicates := make([]func(from, to string) bool, 0, len(b.cuts))
	for _, c := range b.cuts {
		predicates = append(predicates, c)
	}
	b.net.Sever(func(from, to string) bool {
		return slices.ContainsFunc(predicates, func(c func(from, to string) bool) bool { return c(from, to) })
	})
}

// host is the host that an address on pipes belongs to, and the role it is reached in.
func splitAddress(address string) (role, name string) {
	address = strings.TrimSuffix(address, ":1")
	for _, role := range []string{"front", "inner", "worker", "state"} {
		if name, ok := strings.CutPrefix(address, role+"-"); ok {
			return role, name
		}
	}
	return address, ""
}

// cutNode cuts a controller from its workers, its siblings, these and the state service, or
// all but the users.
func nodeCut(node, what string) func(from, to string) bool {
	return func(from, to string) bool {
		role, name := splitAddress(to)
		isWorker := role == "worker" || strings.HasPrefix(from, "host-")
		switch {
		case from != node && name != node || role == "state" && from != node:
			return false
		case what == "workers":
			return isWorker
		case what == "siblings":
			return role == "inner"
		case what == "services":
			return role == "inner" || role == "state"
		}
		return from != usersHost
	}
}

// cutZone cuts what is in a zone from all that is not: the services and the users belong
// to none.
func zoneCut(zone string, zoneOf func(host string) string) func(from, to string) bool {
	return func(from, to string) bool {
		_, name := splitAddress(to)
		toZone := ""
		if role, _ := splitAddress(to); role != "state" && name != "" {
			toZone = zoneOf(name)
		}
		return (zoneOf(from) == zone) != (toZone == zone)
	}
}
