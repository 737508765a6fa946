package coordination

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
	"daledyke/internal/ring"
)

// Steps of traces that have something fail.

// runningMachinesTimeout is for how long a step of a trace waits for as many machines as it strikes.
const runningMachinesTimeout = 30 * time.Second

// faultRandomMachines has something happen to so many machines that run (0: to all), or ends it for those
// that were struck last. Who restarts when decides how many machines that hung for a while are given
// up: where too few run at the moment, it waits until those that replace them are up.
func (w *world) faultRandomMachines(count int, trouble emulator.Trouble) error {
	switch trouble {
	case emulator.Hears, emulator.Speaks, emulator.Resumes, emulator.Rejoins:
		for _, id := range w.randomMachines {
			w.em.Strike(id, trouble) // it may have been returned meanwhile
		}
		return nil
	}
	for waited := time.Duration(0); w.em.Running() < count && waited < runningMachinesTimeout; waited += time.Second {
		time.Sleep(time.Second)
	}
	anywhere := func(string, bool) bool { return true }
	w.randomMachines = w.em.StrikeSome(cmp.Or(count, w.em.Running()), trouble, anywhere)
	if count > 0 && len(w.randomMachines) != count {
		return fmt.Errorf("%d machines", len(w.randomMachines))
	}
	return nil
}

// faultMachinesOf has something happen to all machines with tasks whose slots are a controller's if all
// controllers are there.
func (w *world) faultMachinesOf(controller string, trouble emulator.Trouble) error {
	var ids []string
	w.em.Rules(func(r *history.Checker) {
		for _, job := range r.Running() {
			for _, id := range r.Machines(job) {
				home := w.names[ring.SlotOf(id, ring.SlotCount(len(w.names)))%len(w.names)]
				if home == controller && !slices.Contains(ids, id) {
					ids = append(ids, id)
				}
			}
		}
	})
	if len(ids) == 0 {
		return errors.New("it has no machines with tasks")
	}
	var failed error
	for _, id := range ids {
		failed = errors.Join(failed, w.em.Strike(id, trouble))
	}
	return failed
}

func (w *world) cutController(args []string) {
	if args[0] == "off" {
		w.net.Sever(func(string, string) bool { return false })
		return
	}
	name, what := args[0], args[2]
	w.net.Sever(func(from, to string) bool {
		mine := from == name || strings.HasSuffix(to, "-"+name+":1")
		other := to
		if from != name {
			other = from
		}
		isWorker := strings.HasPrefix(other, "host-") || strings.HasPrefix(other, "worker-")
		isSibling, isState := strings.HasPrefix(to, "inner-"), from == name && strings.HasPrefix(to, "state-")
		return mine && (what == "state+siblings" && (isSibling || isState)) || mine && (what == "all" && from != "user" || what == "workers" && isWorker || what == "siblings" && isSibling)
	})
}

// cutZone cuts the machines of a zone, and one controller with them, from all that is not there.
func (w *world) cutZone(zone, controller string) {
	isInside := func(host string) bool {
		return host == controller || strings.HasPrefix(host, "host-") && w.em.ZoneOf(host) == zone
	}
	w.net.Sever(func(from, to string) bool {
		name := strings.TrimSuffix(to, ":1")
		for _, role := range []string{"front-", "inner-", "worker-"} { // of the services none belongs to a zone
			name = strings.TrimPrefix(name, role)
		}
		return isInside(from) != isInside(name)
	})
}

// faultMachineOfTask does something to the machine that a task is on.
func (w *world) faultMachineOfTask(task, how string) error {
	job, index, _ := protocol.SplitTask(task)
	id := ""
	w.em.Rules(func(r *history.Checker) { id = r.Machines(job)[index] })
	if ends := emulator.Trouble(how); ends == emulator.Resumes || ends == emulator.Rejoins {
		w.em.Strike(w.faulted[task], ends) // it may have been returned meanwhile
		return nil
	}
	w.faulted[task] = id
	return w.em.Strike(id, emulator.Trouble(how))
}
