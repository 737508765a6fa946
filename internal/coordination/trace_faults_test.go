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

// Trace steps that inject faults.

// runningMachinesTimeout is how long a step waits until as many machines run as it injects a fault into.
const runningMachinesTimeout = 30 * time.Second

// faultRandomMachines injects a fault into count running machines drawn at random (0: all), or ends it for
// the machines drawn last. Which controllers restart, and when, determines how many machines that hung for a
// while are given up; if too few machines run at the moment, the step waits until replacements are up.
func (w *world) faultRandomMachines(count int, trouble emulator.MachineFault) error {
	switch trouble {
	case emulator.RestoreInbound, emulator.RestoreOutbound, emulator.Resume, emulator.Rejoin:
		for _, id := range w.randomMachines {
			w.em.InjectFault(id, trouble) // the machine may have been returned since
		}
		return nil
	}
	for waited := time.Duration(0); w.em.RunningMachines() < count && waited < runningMachinesTimeout; waited += time.Second {
		time.Sleep(time.Second)
	}
	anyMachine := func(string, bool) bool { return true }
	w.randomMachines = w.em.InjectFaults(cmp.Or(count, w.em.RunningMachines()), trouble, anyMachine)
	if count > 0 && len(w.randomMachines) != count {
		return fmt.Errorf("%d machines", len(w.randomMachines))
	}
	return nil
}

// faultMachinesOf injects a fault into all machines with tasks whose slots the controller holds when all
// controllers are up.
func (w *world) faultMachinesOf(controller string, trouble emulator.MachineFault) error {
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
		return errors.New("the controller has no machines with tasks")
	}
	var failed error
	for _, id := range ids {
		failed = errors.Join(failed, w.em.InjectFault(id, trouble))
	}
	return failed
}

// keepRebooting reboots all machines that have tasks of a job now, at once and then regularly for a while.
func (w *world) keepRebooting(job string, every, during time.Duration) error {
	var ids []string
	w.em.WithChecker(func(r *history.Checker) {
		for _, id := range r.Machines(job) {
			ids = append(ids, id)
		}
	})
	if len(ids) == 0 {
		return errors.New("the job has no tasks on machines")
	}
	for after := time.Duration(0); after < during; after += every {
		time.AfterFunc(after, func() {
			for _, id := range ids {
				w.em.InjectFault(id, emulator.Reboot) // the machine may have been returned since
			}
		})
	}
	return nil
}

// cutController cuts the connections of a controller to the given peers, or ends all cuts.
func (w *world) cutController(args []string) {
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

// cutZone isolates the machines of a zone, together with one controller, from everything outside the zone.
func (w *world) cutZone(zone, controller string) {
	isInside := func(host string) bool {
		return host == controller || strings.HasPrefix(host, "host-") && w.em.ZoneOf(host) == zone
	}
	w.net.Partition(func(from, to string) bool {
		name := strings.TrimSuffix(to, ":1")
		for _, role := range []string{"front-", "inner-", "worker-"} { // the services belong to no zone
			name = strings.TrimPrefix(name, role)
		}
		return isInside(from) != isInside(name)
	})
}

// faultMachineOfTask injects a fault into the machine that a task is on, or ends it.
func (w *world) faultMachineOfTask(task, how string) error {
	job, index, _ := protocol.SplitTask(task)
	id := ""
	w.em.WithChecker(func(r *history.Checker) { id = r.Machines(job)[index] })
	if ends := emulator.MachineFault(how); ends == emulator.Resume || ends == emulator.Rejoin {
		w.em.InjectFault(w.faulted[task], ends) // the machine may have been returned since
		return nil
	}
	w.faulted[task] = id
	return w.em.InjectFault(id, emulator.MachineFault(how))
}
