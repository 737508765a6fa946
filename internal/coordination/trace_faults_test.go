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

// moreMachinesWithin is for how long a step of a trace waits for as many machines as it strikes.
const moreMachinesWithin = 30 * time.Second

// strikeSome has something happen to so many machines that run (0: to all), or ends it for those
// that were struck last. Who restarts when decides how many machines that hung for a while are given
// up: where too few run at the moment, it waits until those that replace them are up.
func (w *world) strikeSome(count int, trouble emulator.MachineFault) error {
	switch trouble {
	case emulator.RestoreInbound, emulator.RestoreOutbound, emulator.Resume, emulator.Rejoin:
		for _, id := range w.some {
			w.em.InjectFault(id, trouble) // it may have been returned meanwhile
		}
		return nil
	}
	for waited := time.Duration(0); w.em.RunningMachines() < count && waited < moreMachinesWithin; waited += time.Second {
		time.Sleep(time.Second)
	}
	anywhere := func(string, bool) bool { return true }
	w.some = w.em.InjectFaults(cmp.Or(count, w.em.RunningMachines()), trouble, anywhere)
	if count > 0 && len(w.some) != count {
		return fmt.Errorf("%d machines", len(w.some))
	}
	return nil
}

// strikeHome has something happen to all machines with tasks whose slots are a controller's if all
// controllers are there.
func (w *world) strikeHome(controller string, trouble emulator.MachineFault) error {
	var ids []string
	w.em.WithChecker(func(r *history.Checker) {
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
		failed = errors.Join(failed, w.em.InjectFault(id, trouble))
	}
	return failed
}

func (w *world) cut(args []string) {
	if args[0] == "off" {
		w.net.Partition(func(string, string) bool { return false })
		return
	}
	name, what := args[0], args[2]
	w.net.Partition(func(from, to string) bool {
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
	w.net.Partition(func(from, to string) bool {
		name := strings.TrimSuffix(to, ":1")
		for _, role := range []string{"front-", "inner-", "worker-"} { // of the services none belongs to a zone
			name = strings.TrimPrefix(name, role)
		}
		return isInside(from) != isInside(name)
	})
}

// strike does something to the machine that a task is on.
func (w *world) strike(task, how string) error {
	job, index, _ := protocol.SplitTask(task)
	id := ""
	w.em.WithChecker(func(r *history.Checker) { id = r.Machines(job)[index] })
	if ends := emulator.MachineFault(how); ends == emulator.Resume || ends == emulator.Rejoin {
		w.em.InjectFault(w.struck[task], ends) // it may have been returned meanwhile
		return nil
	}
	w.struck[task] = id
	return w.em.InjectFault(id, emulator.MachineFault(how))
}
