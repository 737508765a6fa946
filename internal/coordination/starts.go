package coordination

import (
	"net/http"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// Starts of tasks. A task is started by the answer to a report of its machine and by nothing else. A worker
// carries out an answer within seconds of its report or never, and its next report shows the outcome. A direct
// command may arrive at any later time: token and session fence it only until the machine restarts and forgets
// both, so no controller could ever tell that the task will not start there any more (invariant 4).

// reportAnswer is the answer to a worker's report.
type reportAnswer struct {
	status int
	body   any
}

// unavailable sends a worker to the next controller.
var unavailable = reportAnswer{status: http.StatusServiceUnavailable}

// pendingAnswer is a report whose answer is held back, since tasks may soon be started with it.
type pendingAnswer struct {
	report *protocol.Report
	answer chan<- reportAnswer // has room for one
}

// busyAnswerDelay is how long the answer to a machine with room is held back while tasks are on the machine: time
// for owners to learn of room that came free and to ask for starts. Workers leave half a second between two
// reports, so that news of its tasks are hardly delayed.
const busyAnswerDelay = 750 * time.Millisecond

// idleAnswerDelay is how long the answer to an empty machine is held back. Together with the longest interval
// between two reports it is less than the silence by which a worker counts as silent (checkReachability), and
// workers give a report up only after 4 s.
func (h *Holder) idleAnswerDelay() time.Duration {
	return min(h.cfg.ReportEvery()*3/8, 2500*time.Millisecond)
}

// HandleReport processes a worker's report and sends the answer to a channel with room for it, after a while if the
// machine has room for tasks.
func (h *Holder) HandleReport(rep *protocol.Report, answer chan<- reportAnswer) {
	w, refusal := h.acceptReport(rep)
	if w == nil {
		answer <- refusal
		return
	}
	now := time.Now()
	delay := h.answerDelay(w, now)
	if delay == 0 || w.hasUnseenStart() || len(h.queuedStarts(w, now)) > 0 {
		answer <- h.answerReport(w, rep, now)
		return
	}
	p := &pendingAnswer{rep, answer}
	w.pendingAnswer = p
	time.AfterFunc(delay, func() { h.tell(func() { h.completeAnswer(w, p) }) })
}

// answerDelay is how long the answer to a machine's report is held back unless a task is to be started there. A
// machine that is not in its slot's roster yet is about to become usable.
func (h *Holder) answerDelay(w *worker, now time.Time) time.Duration {
	if !w.verified || w.ack.awaitsAck() || w.reclaimNotice || w.suspect || now.Before(w.drainUntil) || !h.session.Valid() {
		return 0
	}
	if room := h.freeRoom(w, false); room.Cores <= 0 || room.RAM <= 0 {
		return 0
	}
	for _, e := range w.entries {
		if !e.exited() && !e.unconfirmed() {
			return busyAnswerDelay
		}
	}
	return h.idleAnswerDelay()
}

// completeAnswer gives an answer that was held back, unless it was given already.
func (h *Holder) completeAnswer(w *worker, p *pendingAnswer) {
	if w.pendingAnswer != p {
		return
	}
	w.pendingAnswer = nil
	if h.workersByID[w.id] != w || h.slots[w.slot.slot] != w.slot || w.session != p.report.Session || !h.mayAnswer() {
		p.answer <- unavailable
		return
	}
	p.answer <- h.answerReport(w, p.report, time.Now())
}

// completeIfStartsDue gives an answer that was held back if it starts tasks.
func (h *Holder) completeIfStartsDue(w *worker, now time.Time) {
	if w.pendingAnswer != nil && len(h.queuedStarts(w, now)) > 0 {
		h.completeAnswer(w, w.pendingAnswer)
	}
}

// dropPendingAnswer gives up an answer that its worker no longer waits for.
func (w *worker) dropPendingAnswer() {
	if w.pendingAnswer != nil {
		w.pendingAnswer.answer <- unavailable
		w.pendingAnswer = nil
	}
}

// hasUnseenStart reports whether an answer started a task there and no report shows the outcome.
func (w *worker) hasUnseenStart() bool {
	for _, e := range w.entries {
		if e.state == board.TaskStarting {
			return true
		}
	}
	return false
}

// queuedStarts returns the tasks that wait to be started on a machine and for which there is room.
func (h *Holder) queuedStarts(w *worker, now time.Time) (queued []*entry) {
	if !w.verified || w.ack.awaitsAck() {
		return nil
	}
	room, tasksLeft := h.freeRoom(w, false), protocol.MaxTasksPerMachine-w.listedTasks()
	for _, e := range w.entries {
		if need := h.need(e); e.state == board.TaskQueued && len(queued) < tasksLeft && h.mayStart(w, e, now) && room.Fits(need) {
			room = room.Sub(need)
			queued = append(queued, e)
		}
	}
	return queued
}

// listedTasks is how many tasks the machine's reports list, or will list once all starts in flight have arrived.
func (w *worker) listedTasks() (n int) {
	for _, e := range w.entries {
		if e.state != board.TaskQueued && e.state != board.TaskReserved {
			n++
		}
	}
	return n
}

// mayStart reports whether a task that was admitted is still to be started: by what is known now, and for as
// long as it may wait.
func (h *Holder) mayStart(w *worker, e *entry, now time.Time) bool {
	return h.session.Valid() && h.usable(w) && !e.stopRequested && h.jobs[e.job] != nil && !h.isJobOver(e.job) && now.Sub(h.syncedAt) <= maxRecordsAge && now.Before(e.expiresAt)
}

// startCommands returns the starts for the answer to a report, at most limit: again of tasks that an earlier answer
// started and the report does not show, and of those that wait and for which there is room. The others go with the
// next answer. A worker has one report in flight, so an answer whose starts the report does not show was lost. This one
// then gets a higher token: if the next report shows it without the task, the task was not started.
func (h *Holder) startCommands(w *worker, now time.Time, limit int) (commands []protocol.Command) {
	queued := h.queuedStarts(w, now)
	if w.hasUnseenStart() {
		w.requireAck(now)
		h.markChanged(w)
	}
	var due []*entry
	for _, e := range w.entries {
		if e.state == board.TaskStarting && h.mayStart(w, e, now) {
			due = append(due, e)
		}
	}
	due = append(due, queued...)
	due = due[:min(limit, len(due))]
	for _, e := range due {
		e.state, e.startToken = board.TaskStarting, w.token()
		commands = append(commands, protocol.Command{Verb: protocol.VerbStart, Task: e.task, Attempt: e.attempt})
	}
	if len(due) > 0 {
		h.markChanged(w)
	}
	return commands
}

// dropUnstartable drops the tasks that wait for room on a machine on which they may not be started any more.
func (h *Holder) dropUnstartable(w *worker) {
	if !w.verified || !h.session.Valid() || !h.mayAnswer() {
		return
	}
	for _, e := range w.entries {
		if e.state == board.TaskQueued && (h.jobs[e.job] == nil || h.isJobOver(e.job) || !h.startable(w)) {
			delete(w.entries, e.task)
			h.markChanged(w)
		}
	}
}

// needsReport reports whether a worker should be made to report, since tasks are to be started there and no
// report waits for its answer. A higher token does so, at most once per half lease. While an answer may be on its
// way a higher token could void it.
func (h *Holder) needsReport(w *worker, now time.Time) bool {
	return w.pendingAnswer == nil && !w.hasUnseenStart() && now.Sub(w.tokenRaisedAt) > h.tokenReportInterval() && len(h.queuedStarts(w, now)) > 0
}

// tokenReportInterval is the least time after which a higher token makes a worker report once more.
func (h *Holder) tokenReportInterval() time.Duration {
	return config.LocalUpperBound(h.cfg.WorkerLease() / 2)
}

// tokenToSend returns the token of a message to a worker, and notes when it makes the worker report.
func (h *Holder) tokenToSend(w *worker, now time.Time) protocol.Token {
	token := w.token()
	if token > w.tokenSent && now.Sub(w.tokenRaisedAt) > h.tokenReportInterval() {
		w.tokenRaisedAt = now
	}
	w.tokenSent = max(w.tokenSent, token)
	return token
}
