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

// faultParameters lists the kinds of faults with their parameters. TIME is the duration of the fault.
var faultParameters = map[string]string{
	"state-outage":  "TIME",            // the state service is unavailable to all controllers
	"state-refuses": "TIME NODE",       // one controller gets 503 from the state service
	"state-slow":    "TIME BY",         // responses of the state service take BY
	"state-late":    "TIME BY",         // transactions are applied after BY, without a response
	"state-unheard": "TIME SHARE",      // this share of transactions is applied and the response lost
	"state-lags":    "TIME NODE BY",    // one controller receives change notifications BY late
	"state-writes":  "TIME SHARE",      // the state service's write rate falls to this share
	"cloud-outage":  "TIME",            // the cloud service is unavailable
	"cloud-late":    "TIME BY",         // rentals and returns are carried out after BY, without a response
	"capacity":      "TIME SHARE",      // only this share of the machines can be rented
	"boots":         "TIME FACTOR",     // machines rented meanwhile take FACTOR times as long to boot; 0: boot at once
	"crash":         "TIME NODE",       // the controller is killed and restarted after TIME; NODE all: every controller
	"hangs":         "TIME NODE",       // the controller's process is stopped and then resumed (real time only)
	"cut":           "TIME NODE WHAT",  // the controller is cut off from workers, siblings, services (the state service and siblings) or all (virtual time only)
	"cut-zone":      "TIME ZONE",       // the zone is cut off from everything outside it (virtual time only)
	"echoes":        "TIME BY",         // copies of reports arrive BY later
	"repeats":       "TIME BY",         // copies of direct commands, rentals, returns and changes of records arrive BY later
	"late-commands": "TIME SHARE",      // this share of direct commands is delayed for seconds, without a response
	"kept-reports":  "TIME",            // copies of reports are kept, then delivered to every controller at once
	"machines":      "TROUBLE N [FOR]", // N machines die, hang, deafen, hold or mute FOR, sicken, slow, reboot, leave or are taken
	"spot-wave":     "SHARE",           // this share of the spot machines leaves at once
	"cancel-now":    "N [FOR]",         // users cancel N running jobs; up to eight of the jobs' machines hang FOR
}

var machineTroubles = map[string]emulator.MachineFault{"die": emulator.Crash, "hang": emulator.Hang, "sicken": emulator.FailTasks, "slow": emulator.SlowDown,
	"leave": emulator.ReclaimWithNotice, "taken": emulator.Reclaim, "deafen": emulator.DropInbound, "hold": emulator.HoldInbound, "mute": emulator.BlockOutbound, "reboot": emulator.Reboot}

// troubleEnds maps each trouble with a duration to the one that ends it.
var troubleEnds = map[string]emulator.MachineFault{"hang": emulator.Resume, "deafen": emulator.RestoreInbound, "hold": emulator.RestoreInbound, "mute": emulator.RestoreOutbound}

// validate reports an unknown kind, wrong arguments, and a fault that the experiment's clock does not support.
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

// faultInjector injects faults. Faults of the same kind may overlap: active counts those in progress, and the
// effect ends with the last of them.
type faultInjector struct {
	deployment *Deployment
	world      *emulator.World
	net        *emulator.Pipes // nil in real time
	launcher   launcher
	active     map[string]int
	cuts       map[string]func(from, to string) bool
	note       func(history.Event)
	fail       func(error)
	// cancel cancels a job as its user; rng makes the random choices.
	cancel func(job string)
	rng    *rand.Rand
}

// The simultaneous cancellations of a cancel-now fault spread over cancelSpread; at most maxHung machines of
// the cancelled jobs hang.
const (
	cancelSpread = 200 * time.Millisecond
	maxHung      = 8
)

// cancelNow cancels n running jobs as their users. If hang is set, it hangs some of the machines of these
// jobs and returns them.
func (b *faultInjector) cancelNow(n int, hang bool, after func(time.Duration, func())) (hung []string) {
	var jobs, machines []string
	b.world.WithChecker(func(r *history.Checker) {
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
		if len(hung) < maxHung && !slices.Contains(hung, id) && b.world.InjectFault(id, emulator.Hang) == nil {
			hung = append(hung, id)
		}
	}
	return hung
}

// valueIf returns v if the condition holds, otherwise the zero value.
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

// zoneLookup returns a function from the name of a host to its zone.
func (b *faultInjector) zoneLookup() func(host string) string {
	return func(host string) string {
		if zone := b.deployment.zone(host); zone != "" {
			return zone
		}
		return b.world.ZoneOf(host)
	}
}

// setCut adds or removes one of the active network cuts.
func (b *faultInjector) setCut(name string, active bool, separates func(from, to string) bool) {
	delete(b.cuts, name)
	if active {
		b.cuts[name] = separates
	}
	predicates := make([]func(from, to string) bool, 0, len(b.cuts))
	for _, c := range b.cuts {
		predicates = append(predicates, c)
	}
	b.net.Partition(func(from, to string) bool {
		return slices.ContainsFunc(predicates, func(c func(from, to string) bool) bool { return c(from, to) })
	})
}

// splitAddress splits an address on pipes into the role of the endpoint and the name of its host.
func splitAddress(address string) (role, name string) {
	address = strings.TrimSuffix(address, ":1")
	for _, role := range []string{"front", "inner", "worker", "state"} {
		if name, ok := strings.CutPrefix(address, role+"-"); ok {
			return role, name
		}
	}
	return address, ""
}

// nodeCut returns the connections to cut for a controller: those with its workers, with its siblings, with its
// siblings and the state service, or all but those of the users.
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

// zoneCut returns the connections that cross the boundary of a zone. The services and the users belong to no
// zone.
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
