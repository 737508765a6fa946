package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// Admission: what a holder checks before it starts tasks for owners.

// startable reports whether tasks may be started on a machine.
func (h *Holder) startable(w *worker) bool { return h.usable(w) && !w.ack.awaitsAck() }

// usable reports whether tasks may be started on a machine, provided that it receives answers.
func (h *Holder) usable(w *worker) bool {
	return w.verified && w.slot.ready && !w.lapsed && !w.unresponsive && !w.reportsLost && !w.reclaimNotice && w.quarantinedSince.IsZero() && !w.suspect && h.registeredMachines[w.id] != nil &&
		w.slot.roster[protocol.MachineNumber(w.id)] && time.Now().After(w.drainUntil)
}

// maxRecordsAge bounds the age of the job records by which a holder starts a task.
const maxRecordsAge = 10 * time.Second

// handleAsk carries out an owner's request with the admission check (invariant 5); false if the request is
// void or the holder may not act. A request is void if one with the same or a higher number was carried out.
func (h *Holder) handleAsk(a *AskArgs) (r AskReply, ok bool) {
	h.adoptWindowUpTo(a.Window)
	if a.ID < h.fences[a.Caller] || h.window == nil || a.Window > h.window.Number || !h.session.Valid() {
		return r, false
	}
	if a.Window < h.ownersSince {
		// A caller that was cut off may still use a window from before it lost its range, even if it owns the
		// range again by now: it does not know what others started in between.
		return r, false
	}
	// Each request is carried out once: a copy of it may arrive when its tasks have ended here and run elsewhere.
	h.fences[a.Caller] = a.ID + 1
	for _, st := range a.Stops {
		h.handleStop(a, st)
	}
	now := time.Now()
	for _, st := range a.Starts {
		why := h.admitStart(a, st, now)
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
		if w := h.workersByID[id]; w != nil {
			h.markChanged(w)
			h.sendCommands(w)
		}
	}
	r.Incarnation, r.Version = h.session.Term(), h.version
	return r, true
}

// admitStart admits a task to a machine, or returns why not.
func (h *Holder) admitStart(a *AskArgs, st Start, now time.Time) (refusal string) {
	w := h.workersByID[st.Machine]
	jobID, index, ok := protocol.SplitTask(st.Task)
	if !ok || w == nil || h.slots[w.slot.slot] != w.slot {
		return "not held here"
	}
	j := h.jobs[jobID]
	if refusal := h.jobRefusal(a.Caller, j, index, now); refusal != "" {
		return refusal
	}
	reserved := w.entries[st.Task]
	if refusal := h.machineRefusal(w, j, st, reserved); refusal != "" {
		return refusal
	}
	// A reservation already had its permit.
	if team := j.Spec.Team; reserved == nil && h.quotas.HasTeam(team) && !h.acceptsPermit(st.Permit, team) {
		return "no permit"
	}
	delete(w.entries, st.Task)
	// The room of a reservation is already set aside, although evicted tasks may still occupy it.
	if ahead := st.Reserve && st.Ahead; ahead && w.hasReservedAhead(st.Task) {
		return "kept for another"
	} else if reserved == nil && !ahead && !h.fitsAfterEvictions(w, st, j.Spec.Need()) {
		return "no room"
	}
	h.evict(w, st.Evict)
	e := &entry{task: st.Task, job: jobID, index: index, attempt: st.Attempt, state: board.TaskQueued, expiresAt: now.Add(queueTimeout)}
	if st.Reserve {
		e.state, e.expiresAt, e.reservedAhead = board.TaskReserved, now.Add(reservationLifetime), st.Ahead
	}
	w.entries[st.Task] = e
	return ""
}

// queueTimeout is how long an admitted task waits for room.
const queueTimeout = 20 * time.Second

// jobRefusal returns why a task of a job may not be started for a caller on any machine, "" if it may.
func (h *Holder) jobRefusal(caller string, j *bookkeeping.Job, index int, now time.Time) string {
	switch {
	case j == nil || h.isJobOver(j.Spec.ID) || index >= j.Spec.Tasks || j.TaskDone(index):
		return "not to be run"
	case j.WaitingOn > 0:
		return "waits for other jobs" // a job counts as unfinished until it is known to be done
	case h.window.OwnerOf(j, index) != caller:
		return "not the owner"
	case now.Sub(h.syncedAt) > maxRecordsAge:
		return "records too old"
	}
	return ""
}

// machineRefusal returns why a task may not be started on a machine, "" if it may; reserved is its entry
// there, if any.
func (h *Holder) machineRefusal(w *worker, j *bookkeeping.Job, st Start, reserved *entry) string {
	switch {
	case st.Term != 0 && st.Term != w.slot.term:
		return "asked for under another term"
	case !h.startable(w):
		return "machine not usable"
	case !j.Spec.Allows(w.machineType, w.zone, w.spot):
		return "machine not allowed"
	case reserved != nil && !(reserved.state == board.TaskReserved && reserved.attempt == st.Attempt):
		return "already there"
	case !st.Reserve && h.isOnOtherWorker(w, st.Task):
		// Room may be reserved for a task that runs elsewhere and is about to be moved, since a reservation
		// starts nothing. Before the task is started here it must be gone from there.
		return "elsewhere here"
	}
	return ""
}

// isOnOtherWorker reports whether a task may be on another machine of this holder.
func (h *Holder) isOnOtherWorker(w *worker, task string) bool {
	for _, other := range h.workersByID {
		if e := other.entries[task]; other != w && e != nil && !e.exited() && e.state != board.TaskReserved {
			return true
		}
	}
	return false
}

// fitsAfterEvictions reports whether a machine has room for one more task once those that a start evicts are gone.
func (h *Holder) fitsAfterEvictions(w *worker, st Start, need protocol.Room) bool {
	room, tasksLeft := h.freeRoom(w, true), protocol.MaxTasksPerMachine-len(w.entries)
	for _, name := range st.Evict {
		if victim := w.entries[name]; victim != nil && !victim.exited() && !victim.unconfirmed() {
			room = room.Add(h.need(victim))
			tasksLeft++
		}
	}
	return tasksLeft > 0 && room.Fits(need)
}

// evict stops tasks to make room, with the time that they need to save.
func (h *Holder) evict(w *worker, tasks []string) {
	for _, name := range tasks {
		victim := w.entries[name]
		if victim == nil || victim.stopRequested {
			continue
		}
		victim.stopRequested = true
		if victimJob := h.jobs[victim.job]; victimJob != nil {
			victim.graceS = victimJob.Spec.SaveS * 2
		}
	}
}

// hasReservedAhead reports whether room that comes free on a machine is reserved for another task already.
func (w *worker) hasReservedAhead(task string) bool {
	for name, e := range w.entries {
		if name != task && e.reservedAhead && e.state == board.TaskReserved {
			return true
		}
	}
	return false
}

func (h *Holder) handleStop(a *AskArgs, st Stop) {
	w := h.workersByID[st.Machine]
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
		e.forgetRequested, e.keepRoom = true, st.Keep && e.exited()
		if !e.keepRoom && e.exited() {
			e.expiresAt = time.Time{}
		}
	case e.state == board.TaskReserved || e.state == board.TaskQueued:
		delete(w.entries, st.Task)
	default:
		e.stopRequested, e.graceS = true, st.GraceS
	}
}
