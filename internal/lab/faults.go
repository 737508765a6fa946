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
var faultArgs = map[string]string{
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

var troubles = map[string]emulator.MachineFault{"die": emulator.Crash, "hang": emulator.Hang, "sicken": emulator.FailTasks, "slow": emulator.SlowDown,
	"leave": emulator.ReclaimWithNotice, "taken": emulator.Reclaim, "deafen": emulator.DropInbound, "hold": emulator.HoldInbound, "mute": emulator.BlockOutbound, "reboot": emulator.Reboot}

// ends are what ends a trouble that lasts.
var ends = map[string]emulator.MachineFault{"hang": emulator.Resume, "deafen": emulator.RestoreInbound, "hold": emulator.RestoreInbound, "mute": emulator.RestoreOutbound}

// check tells what is senseless about a fault.
func (f Fault) check(e *Experiment, d *Deployment) error {
	form, known := faultArgs[f.Verb]
	if !known {
		return errors.New("there is no such fault")
	}
	need := strings.Fields(form)
	least := len(need)
	if strings.HasPrefix(need[least-1], "[") {
		least--
	}
	if len(f.Args) < least || len(f.Args) > len(need) {
		return fmt.Errorf("it takes %s", form)
	}
	for n, arg := range f.Args {
		var err error
		switch strings.Trim(need[n], "[]") {
		case "TIME", "BY", "FOR":
			_, err = duration(arg)
		case "SHARE":
			_, err = decimal(arg, 0, 1)
		case "FACTOR":
			_, err = decimal(arg, 0, 100)
		case "N":
			_, err = whole(arg, 1, 20000)
		case "NODE":
			if !slices.Contains(d.Controllers, arg) && !(arg == "all" && f.Verb == "crash") {
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
			if troubles[arg] == "" {
				err = fmt.Errorf("machines don't do that: %s", arg)
			}
		}
		if err != nil {
			return err
		}
	}
	if e.Real && strings.HasPrefix(f.Verb, "cut") {
		return errors.New("connections are cut in virtual time alone")
	}
	if !e.Real && f.Verb == "hangs" {
		return errors.New("controllers hang in real time alone")
	}
	return nil
}

// breaker carries faults out. Faults of the same kind may overlap: what they set counts
// how many are under way, so that the first to end does not end the others.
type breaker struct {
	d     *Deployment
	world *emulator.World
	net   *emulator.Pipes // nil in real time
	hosts hosts
	depth map[string]int
	cuts  map[string]func(from, to string) bool
	note  func(history.Event)
	fail  func(error)
	// cancel has the user of a job cancel it; draw draws what is chosen by chance.
	cancel func(job string)
	draw   *rand.Rand
}

// Users who cancel at once do so within cancelSpread; of the machines of their jobs at most
// mostHung hang.
const (
	cancelSpread = 200 * time.Millisecond
	mostHung     = 8
)

// cancelNow has users cancel n of the jobs that run; it gives the machines of theirs that hang
// from now on, none unless hang is set.
func (b *breaker) cancelNow(n int, hang bool, after func(time.Duration, func())) (hung []string) {
	var jobs, machines []string
	b.world.WithChecker(func(r *history.Checker) {
		jobs = r.Running()
		b.draw.Shuffle(len(jobs), func(i, k int) { jobs[i], jobs[k] = jobs[k], jobs[i] })
		jobs = jobs[:min(n, len(jobs))]
		for _, id := range jobs {
			machines = append(machines, slices.Sorted(maps.Values(r.Machines(id)))...)
		}
	})
	for _, id := range jobs {
		after(time.Duration(b.draw.Int64N(int64(cancelSpread))), func() { b.cancel(id) })
	}
	if !hang {
		return nil
	}
	b.draw.Shuffle(len(machines), func(i, k int) { machines[i], machines[k] = machines[k], machines[i] })
	for _, id := range machines {
		if len(hung) < mostHung && !slices.Contains(hung, id) && b.world.InjectFault(id, emulator.Hang) == nil {
			hung = append(hung, id)
		}
	}
	return hung
}

// on is a value while something lasts, and none once it is over.
func on[T any](yes bool, v T) (now T) {
	if yes {
		now = v
	}
	return now
}

func (b *breaker) crash(name string, yes bool) {
	kind, do := history.NodeUp, b.hosts.start
	if yes {
		kind, do = history.NodeDown, b.hosts.kill
	}
	if err := do(name); err != nil {
		b.fail(err)
	}
	b.note(history.Event{Kind: kind, Node: name})
}

// zones tells the zone of every host by its name.
func (b *breaker) zones() func(host string) string {
	return func(host string) string {
		if zone := b.d.zone(host); zone != "" {
			return zone
		}
		return b.world.ZoneOf(host)
	}
}

// cut sets or clears one cut among those that may hold.
func (b *breaker) cut(name string, yes bool, which func(from, to string) bool) {
	delete(b.cuts, name)
	if yes {
		b.cuts[name] = which
	}
	all := make([]func(from, to string) bool, 0, len(b.cuts))
	for _, c := range b.cuts {
		all = append(all, c)
	}
	b.net.Partition(func(from, to string) bool {
		return slices.ContainsFunc(all, func(c func(from, to string) bool) bool { return c(from, to) })
	})
}

// host is the host that an address on pipes belongs to, and the role it is reached in.
func host(addr string) (role, name string) {
	addr = strings.TrimSuffix(addr, ":1")
	for _, role := range []string{"front", "inner", "worker", "state"} {
		if name, ok := strings.CutPrefix(addr, role+"-"); ok {
			return role, name
		}
	}
	return addr, ""
}

// cutNode cuts a controller from its workers, its siblings, these and the state service, or
// all but the users.
func cutNode(node, what string) func(from, to string) bool {
	return func(from, to string) bool {
		role, name := host(to)
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
func cutZone(zone string, zoneOf func(host string) string) func(from, to string) bool {
	return func(from, to string) bool {
		_, name := host(to)
		there := ""
		if role, _ := host(to); role != "state" && name != "" {
			there = zoneOf(name)
		}
		return (zoneOf(from) == zone) != (there == zone)
	}
}
