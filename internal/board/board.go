// Package board is a controller's view of the cluster: all machines and the tasks that may be on them,
// assembled from the news of the machines' holders. Placement and renting are decided on this snapshot.
package board

import (
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Board is a controller's view of all machines and of the tasks that may be on them, assembled from the news
// of the machines' holders. A single actor owns and changes it. Silence never removes anything from it: a task
// that may be on a machine stays until the holder under the slot's newest term reports the machine without it, or
// the machine is gone (docs/design.md, invariants 3 and 4).
type Board struct {
	// Machines by their ids.
	Machines map[string]*Machine
	// Slots by their numbers.
	Slots map[int]*Slot
	// Tasks by job and task index. A task has at most one instance unless something went wrong.
	Tasks map[string]map[int][]*Instance
	// StartCommandLifetime is how long a direct command to start a task counts as in transit. Holders of earlier
	// versions send them. A task that was about to be started so when its machine got a new holder is kept
	// there as lost for that long, unless it is reported.
	StartCommandLifetime time.Duration
}

// Machine is a machine as its holder last reported it.
type Machine struct {
	MachineView
	// Holder is the controller that reported it.
	Holder string
	// Current: the view was made under the slot's newest term.
	Current bool
	// startsDirectly: the holder may have sent direct commands to start tasks.
	startsDirectly bool
	EmptySince     time.Time // zero while there are tasks
	// FirstSeen is when the machine was first reported here.
	FirstSeen time.Time
	Instances []*Instance
	// RequestedRoom is the room of requested starts that the view does not show yet, RequestedTasks their number.
	RequestedRoom  protocol.Room
	RequestedTasks int
}

// FreeRoom is the room that is neither in use nor requested.
func (m *Machine) FreeRoom() protocol.Room { return m.Free.Sub(m.RequestedRoom) }

// TasksLeft is how many more tasks the machine may have, since its reports have to list them all.
func (m *Machine) TasksLeft() int {
	return protocol.MaxTasksPerMachine - len(m.Instances) - m.RequestedTasks
}

// HasRoomFor reports whether the machine has room for one more task.
func (m *Machine) HasRoomFor(need protocol.Room) bool {
	return m.TasksLeft() > 0 && m.FreeRoom().Fits(need)
}

// Request adds a requested start.
func (m *Machine) Request(need protocol.Room) {
	m.RequestedRoom = m.RequestedRoom.Add(need)
	m.RequestedTasks++
}

// Unrequest removes a requested start.
func (m *Machine) Unrequest(need protocol.Room) {
	m.RequestedRoom = m.RequestedRoom.Sub(need)
	m.RequestedTasks--
}

// ClearRequests removes all requested starts.
func (m *Machine) ClearRequests() { m.RequestedRoom, m.RequestedTasks = protocol.Room{}, 0 }

// Slot is one partition of the workers, as its newest holder reports it.
type Slot struct {
	Term     uint64
	Holder   string
	Complete bool
	Awaited  []string
	// Version is that of the holder's last reply that included the slot.
	Version uint64
	// RequestedAt is when that reply was requested.
	RequestedAt time.Time
	// Window is the newest window that the holder followed when it last reported the slot as complete.
	Window uint64
	// Machines are those of the slot; stale: some of them were last reported under an older term.
	Machines map[string]*Machine
	stale    bool
}

// Instance is a task that may be on a machine.
type Instance struct {
	TaskView
	Job             string
	Index           int
	Machine         *Machine
	FirstSeen       time.Time
	RunningSince    time.Time // when it was first seen to run
	StopRequestedAt time.Time // when a stop or forget was last requested
	// lostUntil is until when the instance is kept although its machine's holder does not report it;
	// zero if the holder does.
	lostUntil time.Time
}

// New makes an empty board.
func New() *Board {
	return &Board{Machines: map[string]*Machine{}, Slots: map[int]*Slot{}, Tasks: map[string]map[int][]*Instance{}}
}

// Apply applies a holder's news, requested at requestedAt, and returns the jobs whose tasks may have changed.
// Views made under an older term of a slot are ignored.
func (b *Board) Apply(holder string, news *News, requestedAt, now time.Time) (touched map[string]bool) {
	touched = map[string]bool{}
	for _, sv := range news.Slots {
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
		s.Holder, s.Complete, s.Awaited, s.Version, s.RequestedAt = holder, sv.Complete, sv.Awaited, news.Version, requestedAt
		if sv.Complete {
			s.Window = max(s.Window, news.Window)
		}
	}
	var inReply map[string]bool
	if news.Full {
		inReply = make(map[string]bool, len(news.Machines))
	}
	// A machine that was dropped may have returned since: then it is in news.Machines, too.
	for _, id := range news.Gone {
		b.Remove(id, touched)
	}
	for _, v := range news.Machines {
		s := b.Slots[v.Slot]
		if s == nil || v.Term < s.Term {
			continue
		}
		if news.Full {
			inReply[v.ID] = true
		}
		b.applyMachine(holder, v, !news.StartsByAnswers, now, touched)
	}
	for _, sv := range news.Slots {
		s := b.Slots[sv.Slot]
		if !sv.Complete || sv.Term != s.Term || !news.Full && !s.stale {
			continue
		}
		// The slot is complete: a machine that is not reported is gone.
		for id, m := range s.Machines {
			if !m.Current || news.Full && !inReply[id] {
				b.Remove(id, touched)
			}
		}
		s.stale = false
	}
	return touched
}

func (b *Board) applyMachine(holder string, v MachineView, startsDirectly bool, now time.Time, touched map[string]bool) {
	m := b.Machines[v.ID]
	if m == nil {
		m = &Machine{FirstSeen: now}
		b.Machines[v.ID] = m
		b.Slots[v.Slot].Machines[v.ID] = m
	}
	old, mayStillStart := m.Instances, m.Term < v.Term && m.startsDirectly
	for _, i := range old {
		b.unlink(i, touched)
	}
	m.MachineView, m.Holder, m.Current, m.startsDirectly, m.Instances = v, holder, true, startsDirectly, nil
	for _, t := range v.Tasks {
		job, index, ok := protocol.SplitTask(t.Task)
		if !ok {
			continue
		}
		n := &Instance{TaskView: t, Job: job, Index: index, Machine: m, FirstSeen: now}
		for _, o := range old {
			if o.Task == t.Task && o.Attempt == t.Attempt {
				n.FirstSeen, n.StopRequestedAt, n.RunningSince = o.FirstSeen, o.StopRequestedAt, o.RunningSince
				if o.State != t.State {
					n.StopRequestedAt = time.Time{}
				}
			}
		}
		if n.Running() && n.RunningSince.IsZero() {
			n.RunningSince = now
		}
		b.link(n, touched)
	}
	m.Tasks = nil
	for _, o := range old {
		if until := b.keepUntil(o, mayStillStart, now); now.Before(until) && !m.hasTask(o.Task) {
			lost := TaskView{Task: o.Task, Attempt: o.Attempt, State: protocol.TaskExited, Cause: CauseLost}
			b.link(&Instance{TaskView: lost, Job: o.Job, Index: o.Index, Machine: m, FirstSeen: o.FirstSeen, StopRequestedAt: o.StopRequestedAt, lostUntil: until}, touched)
		}
	}
	m.updateEmptySince(now)
}

// keepUntil returns until when an instance is kept if its machine's newest view does not list it; mayStillStart
// reports that a direct command of the machine's former holder may be in transit: the machine rejects it once it
// has the new holder's token, but a machine that restarts forgets the token.
func (b *Board) keepUntil(i *Instance, mayStillStart bool, now time.Time) time.Time {
	if mayStillStart && i.State == TaskStarting {
		return now.Add(b.StartCommandLifetime)
	}
	return i.lostUntil
}

// hasTask reports whether the machine has an instance of a task.
func (m *Machine) hasTask(task string) bool {
	return slices.ContainsFunc(m.Instances, func(i *Instance) bool { return i.Task == task })
}

// updateEmptySince records since when the machine has had no instance.
func (m *Machine) updateEmptySince(now time.Time) {
	switch {
	case len(m.Instances) > 0:
		m.EmptySince = time.Time{}
	case m.EmptySince.IsZero():
		m.EmptySince = now
	}
}

// ExpireLost drops lost instances that were kept for long enough, and returns the jobs that they belong to.
func (b *Board) ExpireLost(now time.Time) (touched map[string]bool) {
	touched = map[string]bool{}
	for _, m := range b.Machines {
		m.Instances = slices.DeleteFunc(m.Instances, func(i *Instance) bool {
			expired := !i.lostUntil.IsZero() && !now.Before(i.lostUntil)
			if expired {
				b.unlink(i, touched)
			}
			return expired
		})
		m.updateEmptySince(now)
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

// Remove drops a machine that is known to be gone, with all its instances.
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

// MatchesTerm reports whether the board has a slot under the term of the view; it does not if a newer holder's
// view was applied before.
func (b *Board) MatchesTerm(v *SlotView) bool {
	s := b.Slots[v.Slot]
	return s != nil && s.Term == v.Term
}

// AllComplete reports whether every slot is complete and its holder follows the given window or a later one.
func (b *Board) AllComplete(slots int, window uint64) bool {
	for s := range slots {
		if x := b.Slots[s]; x == nil || !x.Complete || x.Window < window {
			return false
		}
	}
	return true
}
