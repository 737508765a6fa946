// Package board is what a controller knows of all machines and of what may be
// on them, put together from their holders' news: the snapshot that placing and
// renting are decided by.
package board

import (
	"slices"
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
	// StartsLastFor is how long a command to start may be on its way: so long a task that was about to
	// be started when its machine changed hands is kept as lost there, unless it is seen.
	StartsLastFor time.Duration
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
	// lostUntil is until when it is kept though its machine's holder does not show it; zero: it does.
	lostUntil time.Time
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
	old, handedOver := m.Instances, m.Term < v.Term
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
		b.link(n, touched)
	}
	m.Tasks = nil
	for _, o := range old {
		if until := b.keptUntil(o, handedOver, now); now.Before(until) && !m.has(o.Task) {
			lost := TaskView{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskExited, Cause: CauseLost}
			b.link(&Instance{TaskView: lost, Job: o.Job, Index: o.Index, Machine: m, Since: o.Since, Asked: o.Asked, lostUntil: until}, touched)
		}
	}
	m.noteEmpty(now)
}

// keptUntil is until when an instance is kept that its machine's newest view may lack, after the
// machine changed hands or not. A command of the former holder's to start it may be on its way: the
// new holder's token voids it, unless the machine begins anew and forgets the token.
func (b *Board) keptUntil(i *Instance, handedOver bool, now time.Time) time.Time {
	if handedOver && i.State == TaskStarting {
		return now.Add(b.StartsLastFor)
	}
	return i.lostUntil
}

// has tells whether an instance of a task is shown on the machine.
func (m *Machine) has(task string) bool {
	return slices.ContainsFunc(m.Instances, func(i *Instance) bool { return i.Task == task })
}

// noteEmpty notes since when nothing is on the machine.
func (m *Machine) noteEmpty(now time.Time) {
	switch {
	case len(m.Instances) > 0:
		m.EmptySince = time.Time{}
	case m.EmptySince.IsZero():
		m.EmptySince = now
	}
}

// DropLost drops the instances that were kept as lost for long enough, and tells of which jobs.
func (b *Board) DropLost(now time.Time) (touched map[string]bool) {
	touched = map[string]bool{}
	for _, m := range b.Machines {
		m.Instances = slices.DeleteFunc(m.Instances, func(i *Instance) bool {
			over := !i.lostUntil.IsZero() && !now.Before(i.lostUntil)
			if over {
				b.unlink(i, touched)
			}
			return over
		})
		m.noteEmpty(now)
	}
	return touched
}

// link adds an instance to its machine and to its job's tasks.
func (b *Board) link(i *Instance, touched map[string]bool) {
	i.Machine.Instances = append(i.Machine.Instances, i)
	if b.Tasks[i.Job] == nil {
		b.Tasks[i.Job] = map[int][]*Instance{}
	}
	b.Tasks[i.Job][i.Index] = append(b.Tasks[i.Job][i.Index], i)
	touched[i.Job] = true
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
