package emulator

import (
	"fmt"
	"time"

	"daledyke/internal/protocol"
)

// MachineFault is a fault that can be injected into a machine, or a recovery from one.
type MachineFault string

// The faults and recoveries of machines.
const (
	Hang              MachineFault = "hangs"    // the machine freezes until it resumes
	Resume            MachineFault = "resumes"  // the machine continues, if its lease is still valid
	Crash             MachineFault = "dies"     // the machine stops without the cloud's doing
	FailTasks         MachineFault = "sickens"  // all tasks on the machine fail
	SlowDown          MachineFault = "slows"    // the machine runs at a quarter of its speed
	ReclaimWithNotice MachineFault = "leaves"   // the cloud reclaims the machine after a notice of 20 s
	Reclaim           MachineFault = "taken"    // the cloud reclaims the machine without notice
	DropInbound       MachineFault = "deafens"  // reports are delivered, but answers and commands to the machine are dropped
	HoldInbound       MachineFault = "holds"    // as DropInbound, but commands are held and delivered after RestoreInbound
	RestoreInbound    MachineFault = "hears"    // answers and commands are delivered again
	BlockOutbound     MachineFault = "mutes"    // the machine cannot open connections to any controller; direct commands reach it
	RestoreOutbound   MachineFault = "speaks"   // the machine can open connections again
	Isolate           MachineFault = "isolates" // nothing leaves the machine; commands are held and delivered after Rejoin
	Rejoin            MachineFault = "rejoins"  // the machine is reachable and reaches others again
	Reboot            MachineFault = "reboots"  // the machine restarts at once without its tasks, and its worker without its state
)

// reclaimNotice is how long before a reclaim the cloud announces it.
const reclaimNotice = 20 * time.Second

// InjectFault injects a fault into a machine; it returns an error if there is no such running machine.
func (w *World) InjectFault(id string, t MachineFault) (err error) {
	w.loop.do(func() { err = w.inject(id, t) })
	return err
}

// InjectFaults injects a fault into up to n running machines, chosen at random among those that fit, and
// returns their names.
func (w *World) InjectFaults(n int, t MachineFault, fits func(zone string, spot bool) bool) (ids []string) {
	w.loop.do(func() {
		var up []string
		for _, m := range w.machineList {
			if m.isRunning() && fits(m.kind.Zone, m.kind.Spot) {
				up = append(up, m.id)
			}
		}
		w.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
		for _, id := range up[:min(n, len(up))] {
			if w.inject(id, t) == nil {
				ids = append(ids, id)
			}
		}
	})
	return ids
}

// RunningMachines counts the running machines, among which InjectFaults chooses.
func (w *World) RunningMachines() (count int) {
	w.loop.do(func() {
		for _, m := range w.machineList {
			if m.isRunning() {
				count++
			}
		}
	})
	return count
}

// isRunning reports whether a machine has booted and has neither stopped nor frozen.
func (m *machine) isRunning() bool { return m.up && !m.dead && !m.frozen }

func (w *World) inject(id string, t MachineFault) error {
	m := w.machines[id]
	if m == nil || m.dead || !m.up {
		return fmt.Errorf("machine %q is not there", id)
	}
	switch t {
	case Hang:
		m.freeze()
	case Resume:
		m.resume()
	case Crash:
		m.crash()
	case FailTasks:
		m.faulty = true
		for _, t := range m.sortedTasks() {
			t.exit(protocol.CauseError)
		}
		m.triggerReport()
	case SlowDown:
		m.slowDown(0.25)
	case ReclaimWithNotice:
		at := time.Now().Add(reclaimNotice)
		m.reclaimAt = &at
		m.triggerReport()
		w.loop.after(reclaimNotice, func() { m.remove("taken") })
	case Reclaim:
		m.remove("taken")
	case DropInbound, HoldInbound:
		m.dropInbound(t == HoldInbound)
	case RestoreInbound:
		m.restoreInbound()
	case BlockOutbound, RestoreOutbound:
		m.outboundBlocked = t == BlockOutbound
	case Isolate:
		m.outboundBlocked = true
		m.dropInbound(true)
	case Rejoin:
		m.outboundBlocked = false
		m.restoreInbound()
	case Reboot:
		m.reboot()
	default:
		return fmt.Errorf("machines don't do that: %s", t)
	}
	return nil
}
