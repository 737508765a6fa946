package coordination

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// The commands that a holder sends to its workers.

func (h *Holder) need(e *entry) protocol.Room {
	if j := h.jobs[e.job]; j != nil {
		return j.Spec.Need()
	}
	return protocol.Room{}
}

// freeRoom is the room left beside all that is or may be on the machine. If queued is set, tasks that wait for
// room count too.
func (h *Holder) freeRoom(w *worker, queued bool) protocol.Room {
	t, ok := h.machineTypes[w.machineType]
	if !ok {
		return protocol.Room{}
	}
	r := t.Room()
	for _, e := range w.entries {
		if e.takesRoom() && (queued || e.state != board.TaskQueued) {
			if h.jobs[e.job] == nil {
				return protocol.Room{} // the job, and so its need, will be known soon
			}
			r = r.Sub(h.need(e))
		}
	}
	return r
}

// stopCommand stops a task, which gets graceS seconds to save. The command shares no memory with the holder's
// state, because other goroutines encode it.
func stopCommand(task string, attempt uint64, graceS float64) protocol.Command {
	return protocol.Command{Verb: protocol.VerbStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// desiredCommands returns the commands that lead from what is on a machine to what should be, at most
// protocol.MaxCommands; the others follow once these are answered. A holder that
// may not act as usual (mayAct is false) only stops tasks that may not run any more. Any controller entitled
// to a machine may do that: such commands are fenced by the slot's term, as all are, and undo no others.
func (h *Holder) desiredCommands(w *worker, now time.Time, mayAct bool) []protocol.Command {
	var out []protocol.Command
	for _, e := range w.entries {
		if len(out) == protocol.MaxCommands {
			break
		}
		j := h.jobs[e.job]
		jobOver := h.isJobOver(e.job)
		switch {
		case e.exited():
			// A result stays on the machine until it is recorded.
			if mayAct && (e.forgetRequested || jobOver || e.cause == protocol.CauseDone && j != nil && j.TaskDone(e.index)) && now.Sub(e.lastSentAt) > 2*time.Second {
				e.lastSentAt = now
				out = append(out, protocol.Command{Verb: protocol.VerbForget, Task: e.task, Attempt: e.attempt})
			}
		case e.unconfirmed():
		case jobOver || mayAct && e.stopRequested:
			grace := e.graceS
			if jobOver {
				grace = 0
			}
			if now.Sub(e.lastSentAt) > 3*time.Second && (e.state != protocol.TaskFlushing || grace == 0 || jobOver) {
				e.lastSentAt = now
				out = append(out, stopCommand(e.task, e.attempt, grace))
			}
		}
	}
	return out
}

// isReconciled reports whether no command to the worker is due, or will be before something changes.
func (h *Holder) isReconciled(w *worker) bool {
	for _, e := range w.entries {
		if e.stopRequested || e.unconfirmed() || e.exited() || h.isJobOver(e.job) {
			return false
		}
	}
	return true
}

// cancellationStops returns the stops of cancelled tasks that the answer to a report contains. With them the
// answer renews nothing that is known to be cancelled (invariant 9): a worker that receives the answer carries
// out the stops, and one that does not gets no renewal. known is false if the report lists a running task of an
// unknown job, which may be cancelled. Like all stops, these may be repeated and may arrive late. Starts of
// cancelled tasks that are in flight are fenced by a higher token.
func (h *Holder) cancellationStops(w *worker, rep *protocol.Report) (stops []protocol.Command, known bool) {
	stops = []protocol.Command{}
	stop := func(task string, attempt uint64) {
		if !slices.ContainsFunc(stops, func(c protocol.Command) bool { return c.Task == task && c.Attempt == attempt }) {
			stops = append(stops, stopCommand(task, attempt, 0))
		}
	}
	for _, t := range rep.Tasks {
		id, _, _ := protocol.SplitTask(t.Task)
		switch {
		case t.State == protocol.TaskExited:
		case h.isJobOver(id):
			stop(t.Task, t.Attempt)
		case h.jobs[id] == nil:
			return nil, false
		}
	}
	needsFence := false
	for _, e := range w.entries {
		if !h.isJobOver(e.job) || e.exited() || e.state == board.TaskReserved || e.state == board.TaskQueued {
			continue
		}
		if e.unconfirmed() {
			needsFence = true
		}
		stop(e.task, e.attempt) // it may have started after the report was sent
	}
	if needsFence {
		w.tokenSeq++
	}
	return stops, true
}

// sendCommands sends a worker the commands that are due. One direct command is in flight at a time. A direct
// command stops and forgets tasks and never starts one: see starts.go.
func (h *Holder) sendCommands(w *worker) {
	now := time.Now()
	h.dropUnstartable(w)
	h.completeIfStartsDue(w, now)
	if w.commandInFlight || w.lapsed || w.session == 0 || now.Before(w.backoffUntil) || !h.entitled() || h.slots[w.slot.slot] != w.slot {
		return
	}
	mayAct := h.session.Valid() && h.mayAnswer()
	var cmds []protocol.Command
	if w.verified {
		cmds = h.desiredCommands(w, now, mayAct)
		if len(cmds) == 0 && mayAct && h.needsReport(w, now) {
			w.probeDue = true
		}
		if len(cmds) == 0 && !(mayAct && w.probeDue) {
			w.reconciled = mayAct && h.isReconciled(w)
			return
		}
	} else if !mayAct {
		return
	}
	if len(cmds) == 0 || w.probeDue {
		w.tokenSeq++ // a higher token makes the worker report
	}
	orders := protocol.Orders{Token: h.tokenToSend(w, now), Session: w.session, Commands: cmds}
	w.commandInFlight, w.ticketAtSend, w.probeDue, w.probedAt = true, w.ticket, false, now
	h.markChanged(w)
	addr := w.addr
	go func() {
		rep, executed, err := h.workers.Do(h.ctx, addr, orders)
		h.tell(func() { h.commandAnswered(w, orders, rep, executed, err) })
	}()
}

// noteUnanswered marks the tasks of a direct command that got no answer.
func (w *worker) noteUnanswered(orders protocol.Orders) {
	for _, c := range orders.Commands {
		if e := w.entries[c.Task]; e != nil && e.attempt == c.Attempt {
			e.unanswered = true
		}
	}
}

// repeatUnanswered returns the stops and forgets, at most limit, that an answer to a report repeats because the direct
// command for them was not answered: a direct command may be delayed for long, while an answer is received at once or
// never. Both may be repeated.
func (h *Holder) repeatUnanswered(w *worker, limit int) (commands []protocol.Command) {
	if !w.verified || !h.session.Valid() {
		return nil
	}
	for _, e := range w.entries {
		switch {
		case len(commands) == limit:
			return commands
		case !e.unanswered:
		case e.exited() && e.forgetRequested:
			commands = append(commands, protocol.Command{Verb: protocol.VerbForget, Task: e.task, Attempt: e.attempt})
		case !e.exited() && e.stopRequested && !h.isJobOver(e.job) && (e.state != protocol.TaskFlushing || e.graceS == 0):
			commands = append(commands, stopCommand(e.task, e.attempt, e.graceS))
		}
	}
	return commands
}

// unresponsiveBackoff is how long an unresponsive machine gets no command after an unanswered one.
const unresponsiveBackoff = 8 * time.Second

func (h *Holder) commandAnswered(w *worker, orders protocol.Orders, rep *protocol.Report, executed bool, err error) {
	w.commandInFlight = false
	if h.workersByID[w.id] != w || h.slots[w.slot.slot] != w.slot {
		return
	}
	if errors.Is(err, transport.ErrRefused) {
		// Nothing was sent, so nothing new is known of the machine.
		w.backoffUntil = time.Now().Add(time.Second)
		return
	}
	if err != nil {
		// The outcome is unknown. The next answer's higher token shows whether the machine receives answers. The
		// machine is probed once, which is faster than waiting for reports, and until it answers nothing more
		// is started there.
		w.noteUnanswered(orders)
		w.probeDue = len(orders.Commands) > 0
		w.backoffUntil = time.Now().Add(time.Second)
		if w.unresponsive { // many may be, and each attempt holds a connection until it is given up
			w.backoffUntil = time.Now().Add(unresponsiveBackoff)
		}
		if w.requireAck(time.Now()) {
			h.markChanged(w)
		}
		slog.Debug("direct command unanswered", "machine", w.id, "err", err)
		return
	}
	if !executed {
		w.backoffUntil = time.Now().Add(500 * time.Millisecond)
	}
	if rep.Machine == w.id && rep.Token.Term() <= w.slot.term {
		w.ack = ackState{} // it answered
		if !w.isNewer(rep) && w.session == orders.Session && w.ticket == w.ticketAtSend {
			h.noteRestart(w, rep)
		}
		h.applyReport(w, rep)
	}
	h.markChanged(w)
	h.sendCommands(w)
}
