package coordination

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// What a holder has its workers do.

func (h *Holder) need(e *entry) protocol.Room {
	if j := h.jobs[e.job]; j != nil {
		return j.Spec.Need()
	}
	return protocol.Room{}
}

// freeRoom is the room left beside all that is or may be on the machine; queued
// tells whether tasks that wait for room count too.
func (h *Holder) freeRoom(w *worker, queued bool) protocol.Room {
	t, ok := h.machineTypes[w.machineType]
	if !ok {
		return protocol.Room{}
	}
	r := t.Room()
	for _, e := range w.entries {
		if e.takesRoom() && (queued || e.state != board.TaskQueued) {
			if h.jobs[e.job] == nil {
				return protocol.Room{} // what it takes will be known soon
			}
			r = r.Sub(h.need(e))
		}
	}
	return r
}

// stopCommand stops a task, which has so many seconds to save. It shares nothing with what the
// holder keeps: commands are written by other goroutines.
func stopCommand(task string, attempt uint64, graceS float64) protocol.Command {
	return protocol.Command{Verb: protocol.VerbStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// desiredCommands works out which commands lead from what is on a machine to what should be. A holder
// that may not act as usual stops what nobody is to run any more, and no more: whoever is
// entitled to a machine may, since such commands are fenced by the slot's term as all are, and
// undo no others.
func (h *Holder) desiredCommands(w *worker, now time.Time, mayAct bool) []protocol.Command {
	var out []protocol.Command
	for _, e := range w.entries {
		j := h.jobs[e.job]
		over := h.isJobOver(e.job)
		switch {
		case e.exited():
			// A result is kept on the machine until it is recorded.
			if mayAct && (e.forgetRequested || over || e.cause == protocol.CauseDone && j != nil && j.TaskDone(e.index)) && now.Sub(e.lastSentAt) > 2*time.Second {
				e.lastSentAt = now
				out = append(out, protocol.Command{Verb: protocol.VerbForget, Task: e.task, Attempt: e.attempt})
			}
		case e.unconfirmed():
		case over || mayAct && e.stopRequested:
			grace := e.graceS
			if over {
				grace = 0
			}
			if now.Sub(e.lastSentAt) > 3*time.Second && (e.state != protocol.TaskFlushing || grace == 0 || over) {
				e.lastSentAt = now
				out = append(out, stopCommand(e.task, e.attempt, grace))
			}
		}
	}
	if !mayAct {
		return out
	}
	room := h.freeRoom(w, false)
	for _, e := range w.entries {
		if e.state != board.TaskQueued {
			continue
		}
		if h.jobs[e.job] == nil || h.isJobOver(e.job) || !h.startable(w) {
			delete(w.entries, e.task)
			continue
		}
		if need := h.need(e); room.Fits(need) {
			room = room.Sub(need)
			e.state = board.TaskStarting
			out = append(out, protocol.Command{Verb: protocol.VerbStart, Task: e.task, Attempt: e.attempt})
		}
	}
	return out
}

// isSettled tells whether no command to the worker is due, or will be before
// something changes.
func (h *Holder) isSettled(w *worker) bool {
	for _, e := range w.entries {
		if e.stopRequested || e.unconfirmed() || e.exited() || h.isJobOver(e.job) {
			return false
		}
	}
	return true
}

// cancellationStops are the commands that an answer to a report carries along, so that it renews
// nothing that is known to be cancelled (invariant 9): a worker that takes the answer in
// carries them out with it, and one that does not lives by what it heard before. known is
// false if a task runs there of which it is not known whether it is cancelled. The commands
// may be repeated and come late, as any that stop; starts that are under way of such tasks
// are fenced by a higher token.
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
	fence := false
	for _, e := range w.entries {
		if !h.isJobOver(e.job) || e.exited() || e.state == board.TaskReserved || e.state == board.TaskQueued {
			continue
		}
		if e.unconfirmed() {
			fence = true
		}
		stop(e.task, e.attempt) // it may have started since the report was sent
	}
	if fence {
		w.tokenSeq++
	}
	return stops, true
}

// sendCommands sends a worker the commands it needs. One direct command is under way
// at a time; each has a token of its own, so that a report with a higher one
// proves that it was carried out or never will be.
func (h *Holder) sendCommands(w *worker) {
	now := time.Now()
	if w.commandInFlight || w.lapsed || w.session == 0 || now.Before(w.backoffUntil) || !h.entitled() || h.slots[w.slot.slot] != w.slot {
		return
	}
	mayAct := h.session.Valid() && h.mayAnswer()
	var cmds []protocol.Command
	if w.verified {
		if cmds = h.desiredCommands(w, now, mayAct); len(cmds) == 0 && !(mayAct && w.probeDue) {
			w.settled = mayAct && h.isSettled(w)
			return
		}
	} else if !mayAct {
		return
	}
	w.tokenSeq++
	orders := protocol.Orders{Token: protocol.NewToken(w.slot.term, w.tokenSeq), Session: w.session, Commands: cmds}
	w.noteStarts(orders, now.Add(commandLifetime(h.cfg)))
	w.commandInFlight, w.ticketAtSend, w.probeDue, w.probedAt = true, w.ticket, false, now
	h.markChanged(w)
	addr := w.addr
	go func() {
		rep, executed, err := h.workers.Do(h.ctx, addr, orders)
		h.tell(func() { h.commandAnswered(w, orders, rep, executed, err) })
	}()
}

// commandLifetime is how long after it was sent a direct command that was not answered is taken to be
// under way. The protocol gives no bound; this is one for machines that begin anew, without which
// the machine's token and session are proof enough.
func commandLifetime(c *config.Config) time.Duration { return config.Surely(c.WorkerLease()) }

// noteStarts takes in that a direct command is sent, which is taken to be under way until a time unless
// it is answered.
func (w *worker) noteStarts(o protocol.Orders, until time.Time) {
	w.commandHasStarts = false
	for _, c := range o.Commands {
		if c.Verb == protocol.VerbStart {
			w.entries[c.Task].startToken = o.Token
			w.openStarts[c.Task] = openStart{c.Attempt, until}
			w.commandHasStarts = true
		}
	}
}

// closeStarts takes in that the outcome of a direct command is known.
func (w *worker) closeStarts(o protocol.Orders) {
	for _, c := range o.Commands {
		if c.Verb == protocol.VerbStart && w.openStarts[c.Task].attempt == c.Attempt {
			delete(w.openStarts, c.Task)
		}
	}
}

// startingEntries are the tasks that an order starts, as far as nothing else is known of them.
func (w *worker) startingEntries(o protocol.Orders) (starting []*entry) {
	for _, c := range o.Commands {
		if e := w.entries[c.Task]; c.Verb == protocol.VerbStart && e != nil && e.state == board.TaskStarting && e.startToken == o.Token {
			starting = append(starting, e)
		}
	}
	return starting
}

// noteUnanswered marks what a direct command was for that got no answer.
func (w *worker) noteUnanswered(o protocol.Orders) {
	for _, c := range o.Commands {
		if e := w.entries[c.Task]; e != nil && e.attempt == c.Attempt {
			e.unanswered = true
		}
	}
}

// repeatUnanswered are the commands that an answer to a report carries along since no direct
// command for them was answered: direct ones may be held up on their way for long, while an answer
// is taken in at once or never. All of them may be repeated. A start gets the answer's token, which
// is a new one, so that the former command can't be carried out after it and the next report
// tells what became of it.
func (h *Holder) repeatUnanswered(w *worker, now time.Time) (commands []protocol.Command) {
	if !w.verified || !h.session.Valid() {
		return nil
	}
	var starts []*entry
	for _, e := range w.entries {
		switch {
		case !e.unanswered:
		case e.state == board.TaskStarting:
			starts = append(starts, e)
		case e.exited() && e.forgetRequested:
			commands = append(commands, protocol.Command{Verb: protocol.VerbForget, Task: e.task, Attempt: e.attempt})
		case !e.exited() && e.stopRequested && !h.isJobOver(e.job) && (e.state != protocol.TaskFlushing || e.graceS == 0):
			commands = append(commands, stopCommand(e.task, e.attempt, e.graceS))
		}
	}
	if len(starts) == 0 || w.commandInFlight && w.commandHasStarts {
		return commands
	}
	w.tokenSeq++
	for _, e := range starts {
		if h.mayRepeatStart(w, e, now) {
			e.startToken = protocol.NewToken(w.slot.term, w.tokenSeq)
			commands = append(commands, protocol.Command{Verb: protocol.VerbStart, Task: e.task, Attempt: e.attempt})
		}
	}
	return commands
}

// mayRepeatStart tells whether a task whose start was not answered is still to be started: by
// what is known now, and for as long as it might have waited for room.
func (h *Holder) mayRepeatStart(w *worker, e *entry, now time.Time) bool {
	return h.usable(w) && !e.stopRequested && h.jobs[e.job] != nil && !h.isJobOver(e.job) && now.Sub(h.syncedAt) <= maxRecordsAge && now.Before(e.expiresAt)
}

// unresponsiveBackoff is how long a machine that is silent is left alone after a command in vain.
const unresponsiveBackoff = 8 * time.Second

func (h *Holder) commandAnswered(w *worker, o protocol.Orders, rep *protocol.Report, executed bool, err error) {
	w.commandInFlight = false
	if h.workersByID[w.id] != w || h.slots[w.slot.slot] != w.slot {
		return
	}
	if err == nil || errors.Is(err, transport.ErrRefused) {
		w.closeStarts(o)
	}
	if errors.Is(err, transport.ErrRefused) {
		// Nothing was sent, which says nothing of the machine: what was to be started waits on.
		for _, e := range w.startingEntries(o) {
			e.state, e.startToken = board.TaskQueued, 0
		}
		w.backoffUntil = time.Now().Add(time.Second)
		return
	}
	if err != nil {
		// Unknown: the next answer's higher token fences what is in flight, and shows
		// whether the machine hears. It is asked for one, once: that comes sooner than by reports,
		// and until then nothing more is started there.
		w.noteUnanswered(o)
		w.tokenSeq++
		w.probeDue = len(o.Commands) > 0
		w.backoffUntil = time.Now().Add(time.Second)
		if w.unresponsive { // many may be, and each attempt holds a connection until it is given up
			w.backoffUntil = time.Now().Add(unresponsiveBackoff)
		}
		if w.ack.requireAck(protocol.NewToken(w.slot.term, w.tokenSeq), time.Now()) {
			h.markChanged(w)
		}
		slog.Debug("direct command unanswered", "machine", w.id, "err", err)
		return
	}
	if !executed {
		// Refused for good: the starts in it will never happen.
		for _, e := range w.startingEntries(o) {
			delete(w.entries, e.task)
		}
		w.backoffUntil = time.Now().Add(500 * time.Millisecond)
	}
	if rep.Machine == w.id && rep.Token.Term() <= w.slot.term {
		w.ack = ackState{} // it answered
		if !w.isNewer(rep) && w.session == o.Session && w.ticket == w.ticketAtSend {
			h.noteRestart(w, rep)
		}
		h.applyReport(w, rep)
	}
	h.markChanged(w)
	h.sendCommands(w)
}
