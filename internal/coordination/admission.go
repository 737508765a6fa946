package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// What a holder does for owners: the admission check.

// startable tells whether tasks may be started on a machine.
func (h *Holder) startable(w *worker) bool { return h.usable(w) && !w.ack.awaitsAck() }

// usable tells whether tasks may be started on a machine that hears.
func (h *Holder) usable(w *worker) bool {
	return w.verified && w.slot.ready && !w.lapsed && !w.unresponsive && !w.reportsLost && !w.notice && w.doubted.IsZero() && !w.suspect && h.registry[w.id] != nil &&
		w.slot.roster[protocol.MachineNumber(w.id)] && time.Now().After(w.drainTill)
}

// maxStale bounds how old the holder's picture of job states may be when it
// starts a task.
const maxStale = 10 * time.Second

// serve carries out an owner's request: the admission check (invariant 5).
func (h *Holder) serve(a *AskArgs) (r AskReply, ok bool) {
	h.obeyUpTo(a.Window)
	if a.ID < h.fences[a.Caller] || h.window == nil || a.Window > h.window.Number || !h.session.Valid() {
		return r, false
	}
	if a.Window < h.ownersSince {
		// A caller that was cut off may still go by a window from before it
		// lost its range, and have got the range back since: what it knows
		// leaves out what others started in between.
		return r, false
	}
	for _, st := range a.Stops {
		h.stop(a, st)
	}
	now := time.Now()
	for _, st := range a.Starts {
		why := h.start(a, st, now)
		r.Refused = append(r.Refused, why)
		if why != "" {
			slog.Debug("start refused", "task", st.Task, "machine", st.Machine, "why", why)
		}
	}
	touched := map[string]bool{}
	for _, st := range a.Starts {
		touched[st.Machine] = true
	}
	for _, st := range a.Stops {
		touched[st.Machine] = true
	}
	for id := range touched {
		if w := h.byID[id]; w != nil {
			h.touch(w)
			h.sendCommands(w)
		}
	}
	r.Incarnation, r.Version = h.session.Term(), h.version
	return r, true
}

// start admits a task to a machine, or tells why not.
func (h *Holder) start(a *AskArgs, st Start, now time.Time) (refusal string) {
	w := h.byID[st.Machine]
	jobID, index, ok := protocol.SplitTask(st.Task)
	if !ok || w == nil || h.slots[w.slot.slot] != w.slot {
		return "not held here"
	}
	j := h.jobs[jobID]
	if refusal := h.refusesJob(a.Caller, j, index, now); refusal != "" {
		return refusal
	}
	reserved := w.entries[st.Task]
	if refusal := h.refusesMachine(w, j, st, reserved); refusal != "" {
		return refusal
	}
	// What was reserved had its permit.
	if team := j.Spec.Team; reserved == nil && h.quotas.HasTeam(team) && !h.acceptsPermit(st.Permit, team) {
		return "no permit"
	}
	delete(w.entries, st.Task)
	// What was reserved was granted; its room may still be in use by tasks that
	// were told to make way.
	if ahead := st.Reserve && st.Ahead; ahead && w.keptAhead(st.Task) {
		return "kept for another"
	} else if reserved == nil && !ahead && !h.roomFor(w, st).Fits(j.Spec.Need()) {
		return "no room"
	}
	h.evict(w, st.Evict)
	e := &entry{task: st.Task, job: jobID, index: index, attempt: st.Attempt, state: board.TaskQueued, until: now.Add(queuedFor)}
	if st.Reserve {
		e.state, e.until, e.ahead = board.TaskReserved, now.Add(reservedFor), st.Ahead
	}
	w.entries[st.Task] = e
	return ""
}

// queuedFor is for how long a task that was admitted waits for room to come free.
const queuedFor = 20 * time.Second

// refusesJob tells why a task of a job is not to be started for a caller, wherever.
func (h *Holder) refusesJob(caller string, j *bookkeeping.Job, index int, now time.Time) string {
	switch {
	case j == nil || h.over(j.Spec.ID) || index >= j.Spec.Tasks || j.TaskDone(index):
		return "not to be run"
	case j.WaitingOn > 0:
		return "waits for other jobs" // what is not known to be done is not
	case h.window.OwnerOf(j, index) != caller:
		return "not the owner"
	case now.Sub(h.syncedAt) > maxStale:
		return "records too old"
	}
	return ""
}

// refusesMachine tells why a task is not to be started on a machine, where its room may be reserved.
func (h *Holder) refusesMachine(w *worker, j *bookkeeping.Job, st Start, reserved *entry) string {
	switch {
	case st.Term != 0 && st.Term != w.slot.term:
		return "asked for under another term"
	case !h.startable(w):
		return "machine not usable"
	case !j.Spec.Allows(w.rig, w.zone, w.spot):
		return "machine not allowed"
	case reserved != nil && !(reserved.state == board.TaskReserved && reserved.attempt == st.Attempt):
		return "already there"
	case !st.Reserve && h.isElsewhere(w, st.Task):
		// Room may be reserved for a task that runs elsewhere and is about to be moved: nothing
		// starts by that. Before it does, the task must be gone from there.
		return "elsewhere here"
	}
	return ""
}

// isElsewhere tells whether a task may be on another machine of this holder's.
func (h *Holder) isElsewhere(w *worker, task string) bool {
	for _, other := range h.byID {
		if e := other.entries[task]; other != w && e != nil && !e.exited() && e.state != board.TaskReserved {
			return true
		}
	}
	return false
}

// roomFor is the room on a machine once the tasks that are to make way for a start are gone.
func (h *Holder) roomFor(w *worker, st Start) protocol.Room {
	room := h.free(w, true)
	for _, name := range st.Evict {
		if v := w.entries[name]; v != nil && !v.exited() && !v.unconfirmed() {
			room = room.Add(h.need(v))
		}
	}
	return room
}

// evict has tasks make way, with the time that they need to save.
func (h *Holder) evict(w *worker, tasks []string) {
	for _, name := range tasks {
		v := w.entries[name]
		if v == nil || v.stop {
			continue
		}
		v.stop = true
		if vj := h.jobs[v.job]; vj != nil {
			v.grace = vj.Spec.SaveS * 2
		}
	}
}

// keptAhead tells whether what comes free on a machine is kept for another task already.
func (w *worker) keptAhead(task string) bool {
	for name, e := range w.entries {
		if name != task && e.ahead && e.state == board.TaskReserved {
			return true
		}
	}
	return false
}

func (h *Holder) stop(a *AskArgs, st Stop) {
	w := h.byID[st.Machine]
	if w == nil {
		return
	}
	e := w.entries[st.Task]
	if e == nil || e.attempt != st.Attempt {
		return
	}
	if j := h.jobs[e.job]; j != nil && h.window.OwnerOf(j, e.index) != a.Caller {
		return
	}
	switch {
	case st.Forget:
		e.reap, e.keep = true, st.Keep && e.exited()
		if !e.keep && e.exited() {
			e.until = time.Time{}
		}
	case e.state == board.TaskReserved || e.state == board.TaskQueued:
		delete(w.entries, st.Task)
	default:
		e.stop, e.grace = true, st.GraceS
	}
}
