package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// What a holder knows of a machine, its worker and its tasks, and how that changes with time.

type worker struct {
	id, addr, machineType, zone string
	spot                        bool
	slot                        *heldSlot
	session, ticket             uint64
	tokenSeq                    uint64
	// highestToken is the highest token that the worker showed since its lease last surely lapsed.
	// ticketAtSend is the newest ticket received when the direct command in flight was sent.
	highestToken protocol.Token
	ticketAtSend uint64
	// restartToken was given only to this worker, which may have restarted; 0: none was.
	restartToken protocol.Token
	// verified: a report under this slot's term has arrived (invariant 3).
	verified     bool
	firstHeard   time.Time
	lastHeard    time.Time
	lastReported time.Time // arrival of its last report; lastHeard counts direct answers, too
	// lastAnswer is when the newest answer with status 200 that the worker may have received was given: the
	// later ones are known to be lost. unackedAnswer and unackedAnswerToken are time and token of the newest
	// answer, while it is unknown whether it arrived; see noteAck.
	lastAnswer, unackedAnswer time.Time
	unackedAnswerToken        protocol.Token
	ack                       ackState
	// probeDue: the worker is to be asked directly, even without a command. probedAt is when it last was.
	probeDue bool
	probedAt time.Time
	// lapsed: the leases of session lapsedIn and of all earlier ones have surely ended.
	lapsedIn        uint64
	lapsed          bool
	reclaimNotice   bool
	entries         map[string]*entry
	cachedImages    []image // most recently used last
	readyImages     map[string]bool
	commandInFlight bool // a direct command is in flight
	// pendingAnswer is the report whose answer is held back; nil if there is none.
	pendingAnswer *pendingAnswer
	// tokenSent is the highest token sent to the worker, and tokenRaisedAt when a higher token last made it
	// report.
	tokenSent        protocol.Token
	tokenRaisedAt    time.Time
	reconciled       bool // no command is due until something changes
	backoffUntil     time.Time
	drainUntil       time.Time
	drainSequence    uint64 // of the drain request since which it has been kept free without a break
	vacating         bool   // its tasks are to be moved elsewhere
	unresponsive     bool
	reportsLost      bool            // it answers directly, but its reports do not arrive
	failedJobs       map[string]bool // jobs that failed here since the last success
	lastSuccess      time.Time       // when a task last succeeded here
	quarantinedSince time.Time       // out of use until it is clear whether the machine or the jobs cause the failures
	suspect          bool
	version          uint64
}

type image struct {
	name string
	gb   float64
}

// entry is a task that is, or may be, on a machine.
type entry struct {
	task    string
	job     string
	index   int
	attempt uint64
	state   string
	cause   string
	saved   bool
	// startToken is the token of the answer that starts the task while its outcome is unknown.
	startToken    protocol.Token
	expiresAt     time.Time // of a reservation, of the wait for room, or of an exited task's kept room
	reservedAhead bool      // reserved while its room is still in use
	stopRequested bool
	graceS        float64
	lastSentAt    time.Time // when the last stop or forget was sent
	// unanswered: the last direct command for it got no answer, so answers to reports repeat the command.
	unanswered      bool
	forgetRequested bool
	keepRoom        bool // once it is forgotten its room is reserved for the same attempt
	// runningSince is set if the task was seen to begin to run. proven: it ran long enough to show that it
	// can.
	runningSince time.Time
	proven       bool
}

func (e *entry) unconfirmed() bool { return board.Unconfirmed(e.state) }

func (e *entry) exited() bool { return e.state == protocol.TaskExited }

// takesRoom reports whether its room is unavailable to others: it is or may be on the machine, or its room is
// kept.
func (e *entry) takesRoom() bool { return !e.exited() || !e.expiresAt.IsZero() }

// unresponsiveAfter is the silence after which a worker counts as unresponsive: two regular reports and the
// time to find another controller.
func (h *Holder) unresponsiveAfter() time.Duration {
	return min(h.cfg.ReportEvery()*8/3, h.cfg.WorkerLease()/2)
}

// reconcileWorker updates what time has changed about a worker and sends it the commands that are due.
func (h *Holder) reconcileWorker(w *worker, now time.Time, lease time.Duration) {
	if !w.lapsed && now.Sub(w.lastPossibleRenewal()) > lease {
		h.markLapsed(w)
	}
	if w.lapsed && !w.verified && w.slot.ready && h.registeredMachines[w.id] == nil {
		// The machine is not registered and has shown no token of this holder. Mostly its report is an old one, of
		// a machine that was returned. If the worker were kept, it would be shown as silent for ever.
		h.dropWorker(w.id)
		return
	}
	if !w.quarantinedSince.IsZero() {
		h.judgeMachine(w)
	}
	h.noteResponsiveness(w, now)
	if w.reconciled && len(h.changedJobs) == 0 {
		return
	}
	h.reconcileEntries(w, now)
	if !w.reconciled {
		h.sendCommands(w)
	}
}

// markLapsed notes that a worker's lease has surely ended, and with it all tasks on its machine.
func (h *Holder) markLapsed(w *worker) {
	w.lapsed, w.lapsedIn = true, w.session
	// In case the machine restarts: whatever it shows from now on is newer than all before.
	w.highestToken, w.tokenSeq = 0, w.tokenSeq+1
	for _, e := range w.entries {
		delete(w.entries, e.task)
	}
	h.markChanged(w)
	slog.Info("lease lapsed", "machine", w.id)
}

// noteResponsiveness updates whether a worker is unresponsive, or answers directly while its reports do not
// arrive.
func (h *Holder) noteResponsiveness(w *worker, now time.Time) {
	// While this controller answers no reports, no worker counts as silent. Otherwise, after an outage of the
	// state service, a small fleet's machines were returned as lost, with their results.
	answeringFor := min(now.Sub(w.slot.adopted), now.Sub(h.lastNotAnswering))
	sinceHeard := min(now.Sub(w.lastHeard), answeringFor)
	unresponsive := sinceHeard > h.unresponsiveAfter() || w.ack.isOverdue(now, h.unresponsiveAfter())
	reportsLost := !unresponsive && min(now.Sub(w.lastReported), answeringFor) > h.unresponsiveAfter()
	if unresponsive != w.unresponsive || reportsLost != w.reportsLost {
		w.unresponsive, w.reportsLost = unresponsive, reportsLost
		h.markChanged(w)
	}
	if !unresponsive && !w.lapsed && sinceHeard > 2*h.cfg.ReportEvery() {
		h.probeWorker(w) // perhaps only its reports do not arrive
	}
}

// reconcileEntries drops expired reservations and kept room, and has commands repeated for jobs that changed.
func (h *Holder) reconcileEntries(w *worker, now time.Time) {
	for name, e := range w.entries {
		if h.changedJobs[e.job] {
			e.lastSentAt, w.reconciled = time.Time{}, false // the command sent may no longer be the desired one
		}
		if (e.state == board.TaskReserved || e.state == board.TaskQueued) && now.After(e.expiresAt) {
			delete(w.entries, name)
			h.markChanged(w)
		}
		if e.exited() && !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			e.expiresAt = time.Time{}
			h.markChanged(w)
		}
	}
}
