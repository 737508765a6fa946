package emulator

import (
	"fmt"
	"time"

	"daledyke/internal/protocol"
)

// MachineFault is what can happen to a machine.
type MachineFault string

// The troubles of machines.
const (
	Hang              MachineFault = "hangs"    // it does nothing, until it resumes
	Resume            MachineFault = "resumes"  // it goes on, if its lease still lives
	Crash             MachineFault = "dies"     // it stops on its own
	FailTasks         MachineFault = "sickens"  // all tasks on it fail
	SlowDown          MachineFault = "slows"    // it runs at a quarter of its speed
	ReclaimWithNotice MachineFault = "leaves"   // the cloud takes it after a notice of 20 s
	Reclaim           MachineFault = "taken"    // the cloud takes it without a notice
	DropInbound       MachineFault = "deafens"  // its reports arrive, but answers and commands don't reach it
	HoldInbound       MachineFault = "holds"    // the same, and commands are held and arrive once it hears
	RestoreInbound    MachineFault = "hears"    // it hears again
	BlockOutbound     MachineFault = "mutes"    // it can't open connections to any controller; direct commands reach it
	RestoreOutbound   MachineFault = "speaks"   // it can again
	Isolate           MachineFault = "isolates" // nothing leaves it; commands are held, and arrive once it rejoins
	Rejoin            MachineFault = "rejoins"  // it is reached, and reaches others, again
	Reboot            MachineFault = "reboots"  // it is back at once, without its tasks, and its worker begins anew
)

// notice is how long a spot notice is.
const notice = 20 * time.Second

// InjectFault has something happen to a machine; it is an error if there is none.
func (w *World) InjectFault(id string, t MachineFault) (err error) {
	w.loop.do(func() { err = w.strike(id, t) })
	return err
}

// InjectFaults has something happen to so many machines that run, chosen by chance among
// those that fit; it gives their names.
func (w *World) InjectFaults(n int, t MachineFault, fits func(zone string, spot bool) bool) (ids []string) {
	w.loop.do(func() {
		var up []string
		for _, m := range w.order {
			if m.runs() && fits(m.kind.Zone, m.kind.Spot) {
				up = append(up, m.id)
			}
		}
		w.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
		for _, id := range up[:min(n, len(up))] {
			if w.strike(id, t) == nil {
				ids = append(ids, id)
			}
		}
	})
	return ids
}

// RunningMachines counts the machines that run: those among which StrikeSome chooses.
func (w *World) RunningMachines() (count int) {
	w.loop.do(func() {
		for _, m := range w.order {
			if m.runs() {
				count++
			}
		}
	})
	return count
}

// runs tells whether a machine has booted and neither died nor hangs.
func (m *machine) runs() bool { return m.up && !m.dead && !m.frozen }

func (w *World) strike(id string, t MachineFault) error {
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
		for _, t := range m.sorted() {
			t.exit(protocol.CauseError)
		}
		m.triggerReport()
	case SlowDown:
		m.slowDown(0.25)
	case ReclaimWithNotice:
		at := time.Now().Add(notice)
		m.reclaimAt = &at
		m.triggerReport()
		w.loop.after(notice, func() { m.remove("taken") })
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
