// Package board is what a controller knows of all machines and of what may be
// on them, put together from their holders' news: the snapshot that placing and
// renting are decided by.
package board

import (
	"time"

	"daledyke/internal/protocol"
)

// Board is what a controller knows of all machines and of what may be on
// them, put together from their holders' news. It has one owner (an actor),
// who alone changes it. Nothing leaves it on silence: what may be on a machine
// stays until its holder's believed reports lack it or the machine is gone
// (docs/design.md, invariants 3 and 4).
type Board struct {
	// Machines by their names.
	Machines map[string]*Machine
	// Slots by their numbers.
	Slots map[int]*Slot
	// Tasks by job and task index. There is one instance of a task, or none,
	// unless something went wrong.
	Tasks map[string]map[int][]*Instance
}

// Machine is a machine as its holder last showed it.
type Machine struct {
	MachineView
	// Holder is the controller that showed it.
	Holder string
	// Current: the view was made under the slot's newest term.
	Current    bool
	EmptySince time.Time // zero while there are tasks
	// Known is when it was first shown here.
	Known     time.Time
	Instances []*Instance
	// Promised is the room of starts asked for that the view doesn't show.
	Promised protocol.Room
}

// Slot is a share of the workers, as its newest holder shows it.
type Slot struct {
	Term     uint64
	Holder   string
	Complete bool
	Awaited  []string
	// Version is that of the holder's last reply that had the slot.
	Version uint64
	// Asked is when that reply was asked for.
	Asked time.Time
	// Window is the newest window that the holder obeyed when it last said
	// that the slot is complete.
	Window uint64
	// Machines are those of the slot; stale tells that some of them were last
	// shown under an older term.
	Machines map[string]*Machine
	stale    bool
}

// Instance is a task that may be on a machine.
type Instance struct {
	TaskView
	Job     string
	Index   int
	Machine *Machine
	Since   time.Time
	Ran     time.Time // since when it is seen to run
	Asked   time.Time // when a stop or forget was last asked for
}

// New makes an empty board.
func New() *Board {
	return &Board{Machines: map[string]*Machine{}, Slots: map[int]*Slot{}, Tasks: map[string]map[int][]*Instance{}}
}

// Apply takes in a holder's news and tells which jobs it touches. What was
// made under an older term of a slot is passed over. asked is when the news were
// asked for.
func (b *Board) Apply(holder string, r *News, asked, now time.Time) (touched map[string]bool) {
	touched = map[string]bool{}
	for _, sv := range r.Slots {
		s := b.Slots[sv.Slot]
		if s == nil {
			s = &Slot{Machines: map[string]*Machine{}}
			b.Slots[sv.Slot] = s
		}
		if sv.Term < s.Term {
			continue
		}
		if sv.Term > s.Term {
			*s = Slot{Term: sv.Term, Machines: s.Machines, stale: len(s.Machines) > 0}
			for _, m := range s.Machines {
				m.Current = false
			}
		}
		s.Holder, s.Complete, s.Awaited, s.Version, s.Asked = holder, sv.Complete, sv.Awaited, r.Version, asked
		if sv.Complete {
			s.Window = max(s.Window, r.Window)
		}
	}
	var inReply map[string]bool
	if r.Full {
		inReply = make(map[string]bool, len(r.Machines))
	}
	// A machine that was dropped may have come back since: then it is shown, too.
	for _, id := range r.Gone {
		b.Remove(id, touched)
	}
	for _, v := range r.Machines {
		s := b.Slots[v.Slot]
		if s == nil || v.Term < s.Term {
			continue
		}
		if r.Full {
			inReply[v.ID] = true
		}
		b.put(holder, v, now, touched)
	}
	for _, sv := range r.Slots {
		s := b.Slots[sv.Slot]
		if !sv.Complete || sv.Term != s.Term || !r.Full && !s.stale {
			continue
		}
		// All that may be there is known: what is not is gone.
		for id, m := range s.Machines {
			if !m.Current || r.Full && !inReply[id] {
				b.Remove(id, touched)
			}
		}
		s.stale = false
	}
	return touched
}

func (b *Board) put(holder string, v MachineView, now time.Time, touched map[string]bool) {
	m := b.Machines[v.ID]
	if m == nil {
		m = &Machine{Known: now}
		b.Machines[v.ID] = m
		b.Slots[v.Slot].Machines[v.ID] = m
	}
	old := m.Instances
	for _, i := range old {
		b.unlink(i, touched)
	}
	m.MachineView, m.Holder, m.Current, m.Instances = v, holder, true, nil
	for _, t := range v.Tasks {
		job, index, ok := protocol.SplitTask(t.Task)
		if !ok {
			continue
		}
		n := &Instance{TaskView: t, Job: job, Index: index, Machine: m, Since: now}
		for _, o := range old {
			if o.Task == t.Task && o.Attempt == t.Attempt {
				n.Since, n.Asked, n.Ran = o.Since, o.Asked, o.Ran
				if o.State != t.State {
					n.Asked = time.Time{}
				}
			}
		}
		if n.Running() && n.Ran.IsZero() {
			n.Ran = now
		}
		m.Instances = append(m.Instances, n)
		if b.Tasks[job] == nil {
			b.Tasks[job] = map[int][]*Instance{}
		}
		b.Tasks[job][index] = append(b.Tasks[job][index], n)
		touched[job] = true
	}
	m.Tasks = nil
	switch {
	case len(m.Instances) > 0:
		m.EmptySince = time.Time{}
	case m.EmptySince.IsZero():
		m.EmptySince = now
	}
}

func (b *Board) unlink(i *Instance, touched map[string]bool) {
	list := b.Tasks[i.Job][i.Index]
	for k, o := range list {
		if o == i {
			list = append(list[:k:k], list[k+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(b.Tasks[i.Job], i.Index)
		if len(b.Tasks[i.Job]) == 0 {
			delete(b.Tasks, i.Job)
		}
	} else {
		b.Tasks[i.Job][i.Index] = list
	}
	touched[i.Job] = true
}

// Remove takes a machine that is known to be gone away with all that was on it.
func (b *Board) Remove(id string, touched map[string]bool) {
	m := b.Machines[id]
	if m == nil {
		return
	}
	for _, i := range m.Instances {
		b.unlink(i, touched)
	}
	delete(b.Machines, id)
	delete(b.Slots[m.Slot].Machines, id)
}

// Shows tells whether the board shows a slot as a view of it does: not if a newer holder's view came
// before.
func (b *Board) Shows(v *SlotView) bool {
	s := b.Slots[v.Slot]
	return s != nil && s.Term == v.Term
}

// AllComplete tells whether every slot is fully known from holders that obey
// at least this window.
func (b *Board) AllComplete(slots int, window uint64) bool {
	for s := range slots {
		if x := b.Slots[s]; x == nil || !x.Complete || x.Window < window {
			return false
		}
	}
	return true
}
