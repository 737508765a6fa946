package emulator

import (
	"fmt"
	"time"

	"daledyke/internal/protocol"
)

// Trouble is what can happen to a machine.
type Trouble string

// The troubles of machines.
const (
	Hangs    Trouble = "hangs"    // it does nothing, until it resumes
	Resumes  Trouble = "resumes"  // it goes on, if its lease still lives
	Dies     Trouble = "dies"     // it stops on its own
	Sickens  Trouble = "sickens"  // all tasks on it fail
	Slows    Trouble = "slows"    // it runs at a quarter of its speed
	Leaves   Trouble = "leaves"   // the cloud takes it after a notice of 20 s
	Taken    Trouble = "taken"    // the cloud takes it without a notice
	Deafens  Trouble = "deafens"  // its reports arrive, but answers and commands don't reach it
	Holds    Trouble = "holds"    // the same, and commands are held and arrive once it hears
	Hears    Trouble = "hears"    // it hears again
	Mutes    Trouble = "mutes"    // it can't open connections to any controller; direct commands reach it
	Speaks   Trouble = "speaks"   // it can again
	Isolates Trouble = "isolates" // nothing leaves it; commands are held, and arrive once it rejoins
	Rejoins  Trouble = "rejoins"  // it is reached, and reaches others, again
	Reboots  Trouble = "reboots"  // it is back at once, without its tasks, and its worker begins anew
)

// notice is how long a spot notice is.
const notice = 20 * time.Second

// Strike has something happen to a machine; it is an error if there is none.
func (w *World) Strike(id string, t Trouble) (err error) {
	w.loop.do(func() { err = w.strike(id, t) })
	return err
}

// StrikeSome has something happen to so many machines that run, chosen by chance among
// those that fit; it gives their names.
func (w *World) StrikeSome(n int, t Trouble, fits func(zone string, spot bool) bool) (ids []string) {
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

// Running counts the machines that run: those among which StrikeSome chooses.
func (w *World) Running() (count int) {
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
func (m *machine) runs() bool { return m.up && !m.dead && !m.hung }

func (w *World) strike(id string, t Trouble) error {
	m := w.machines[id]
	if m == nil || m.dead || !m.up {
		return fmt.Errorf("machine %q is not there", id)
	}
	switch t {
	case Hangs:
		m.hang()
	case Resumes:
		m.resume()
	case Dies:
		m.fail()
	case Sickens:
		m.faulty = true
		for _, t := range m.sorted() {
			t.leave(protocol.CauseError)
		}
		m.say()
	case Slows:
		m.slowDown(0.25)
	case Leaves:
		at := time.Now().Add(notice)
		m.leaves = &at
		m.say()
		w.loop.after(notice, func() { m.vanish("taken") })
	case Taken:
		m.vanish("taken")
	case Deafens, Holds:
		m.deafen(t == Holds)
	case Hears:
		m.hear()
	case Mutes, Speaks:
		m.mute = t == Mutes
	case Isolates:
		m.mute = true
		m.deafen(true)
	case Rejoins:
		m.mute = false
		m.hear()
	case Reboots:
		m.reboot()
	default:
		return fmt.Errorf("machines don't do that: %s", t)
	}
	return nil
}
