package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// What a holder knows of a machine, its worker and the tasks on it, and what time changes about them.

type worker struct {
	id, addr, machineType, zone string
	spot                        bool
	slot                        *heldSlot
	session, ticket             uint64
	tokenSeq                    uint64
	// highestToken is the highest token that it reported since its lease last surely ended; askedAfter
	// the ticket last heard when the direct command under way was sent.
	highestToken protocol.Token
	ticketAtSend uint64
	// restartToken was told to a worker that may have begun anew, and to nobody else; 0: none was.
	restartToken protocol.Token
	// verified: a report under this slot's term has come (invariant 3).
	verified   bool
	firstHeard time.Time
	lastHeard  time.Time
	reported   time.Time // when its last report came: direct answers count as heard, too
	// lastAnswer is when the last 200 was given that it may have heard: all later ones are
	// known not to have reached it. unackedAnswer is that of the newest, with its token, of which
	// nothing is known yet; see noteAck.
	lastAnswer, unackedAnswer time.Time
	unackedAnswerToken        protocol.Token
	ack                       ackState
	// probeDue: it is to be asked, whatever is wanted of it; probed is when it last was.
	probeDue bool
	probedAt time.Time
	// lapsed: the lease of session lapsedIn and all before surely ended.
	lapsedIn        uint64
	lapsed          bool
	reclaimNotice   bool
	entries         map[string]*entry
	cachedImages    []image // most recently used last
	readyImages     map[string]bool
	commandInFlight bool // a direct command is under way
	// openStarts are direct commands to start that were not answered, by task: they may still be
	// carried out.
	openStarts       map[string]openStart
	commandHasStarts bool // the direct command under way, or the last one, carries starts
	settled          bool // nothing is wanted of it until something changes
	backoffUntil     time.Time
	drainUntil       time.Time
	drainWish        uint64 // since which it is kept free without a break
	vacating         bool   // what is on it is to be moved elsewhere
	unresponsive     bool
	reportsLost      bool            // it answers directly, but its reports don't come
	failedJobs       map[string]bool // jobs that failed here since the last success
	lastSuccess      time.Time       // when something last succeeded
	quarantinedSince time.Time       // since when it is left alone, not to be told yet why
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
	// startToken is that of the start command, as long as its outcome is open.
	startToken    protocol.Token
	expiresAt     time.Time // end of a reservation, of waiting for room, or of a place that is kept
	reservedAhead bool      // reserved before there is room for it
	stopRequested bool
	graceS        float64
	lastSentAt    time.Time // when the last stop or forget was sent
	// unanswered: the last direct command for it was, so that answers to reports repeat it.
	unanswered      bool
	forgetRequested bool
	keepRoom        bool // once it is forgotten its place is reserved for the same attempt
	// runningSince is since when it runs, if it was seen to begin; proven that it runs
	// for long enough to show that it can.
	runningSince time.Time
	proven       bool
}

// openStart is a direct command to start an attempt of a task whose outcome is not known.
type openStart struct {
	attempt uint64
	// expiresAt is when it is taken not to be under way any more.
	expiresAt time.Time
}

func (e *entry) unconfirmed() bool { return board.Unconfirmed(e.state) }

func (e *entry) exited() bool { return e.state == protocol.TaskExited }

// takesRoom tells whether nothing else may have its room: it is or may be there, or its place is
// kept.
func (e *entry) takesRoom() bool { return !e.exited() || !e.expiresAt.IsZero() }

// unresponsiveAfter is when a worker's silence tells of trouble: two regular reports
// and the time to find another controller have passed.
func (h *Holder) unresponsiveAfter() time.Duration {
	return min(h.cfg.ReportEvery()*8/3, h.cfg.WorkerLease()/2)
}

// reconcileWorker finds out what time has changed about a worker, and has it do what is wanted.
func (h *Holder) reconcileWorker(w *worker, now time.Time, lease time.Duration) {
	if !w.lapsed && now.Sub(w.lastPossibleRenewal()) > lease {
		h.markLapsed(w)
	}
	if w.lapsed && !w.verified && w.slot.ready && h.registry[w.id] == nil {
		// Nobody registered it, and it never took a word of ours: mostly an old message
		// of a machine that was returned. It was shown as silent for ever.
		h.dropWorker(w.id)
		return
	}
	h.expireOpenStarts(w, now)
	if !w.quarantinedSince.IsZero() {
		h.judge(w)
	}
	h.noteResponsiveness(w, now)
	if w.settled && len(h.changedJobs) == 0 {
		return
	}
	h.reconcileEntries(w, now)
	if !w.settled {
		h.sendCommands(w)
	}
}

// markLapsed takes in that a worker's lease surely ended, and with it all that was on its machine.
func (h *Holder) markLapsed(w *worker) {
	w.lapsed, w.lapsedIn = true, w.session
	// Should it have begun anew: whatever it shows from now on is newer than all before.
	w.highestToken, w.tokenSeq = 0, w.tokenSeq+1
	for _, e := range w.entries {
		w.dropEntry(e, time.Now(), !h.isJobOver(e.job))
	}
	h.markChanged(w)
	slog.Info("lease lapsed", "machine", w.id)
}

// dropEntry drops a task that is not on its machine any more, unless a direct command to start it may
// still arrive: a higher token and a later session keep such a command from being carried out only
// until the machine begins anew and remembers neither. wanted tells whether it is still to run. It
// reports whether the entry was dropped or changed.
//
// Once a start that was held up on its way was taken for void as soon as its machine had shown a higher
// token. The task was started elsewhere, the machine rebooted, and then the command arrived: the
// machine accepted it, and the task ran in two places (trace rebooted-while-commands-are-held).
func (w *worker) dropEntry(e *entry, now time.Time, wanted bool) (changed bool) {
	open, isOpen := w.openStarts[e.task]
	if !isOpen || open.attempt != e.attempt || !now.Before(open.expiresAt) || !wanted || e.cause == protocol.CauseDone {
		delete(w.entries, e.task)
		return true
	}
	if e.state == board.TaskStarting {
		return false
	}
	lost := &entry{task: e.task, job: e.job, index: e.index, attempt: e.attempt, state: protocol.TaskExited, cause: board.CauseLost}
	changed = e.cause != lost.cause
	w.entries[e.task] = lost
	return changed
}

// expireOpenStarts forgets direct commands to start that are not under way any more. Where the lease has
// lapsed, nothing else kept the tasks that they start; otherwise the next report tells.
func (h *Holder) expireOpenStarts(w *worker, now time.Time) {
	for task, open := range w.openStarts {
		if now.Before(open.expiresAt) {
			continue
		}
		delete(w.openStarts, task)
		if e := w.entries[task]; w.lapsed && e != nil && e.attempt == open.attempt {
			delete(w.entries, task)
			h.markChanged(w)
		}
	}
}

// noteResponsiveness finds out whether a worker is silent, or answers directly while its reports don't come.
func (h *Holder) noteResponsiveness(w *worker, now time.Time) {
	// While this controller answeringFor nobody, nobody is silent: after an outage of the
	// state service, a small fleet's machines were given back as lost, with their results.
	answeringFor := min(now.Sub(w.slot.adopted), now.Sub(h.lastNotAnswering))
	sinceHeard := min(now.Sub(w.lastHeard), answeringFor)
	unresponsive := sinceHeard > h.unresponsiveAfter() || w.ack.isOverdue(now, h.unresponsiveAfter())
	reportsLost := !unresponsive && min(now.Sub(w.reported), answeringFor) > h.unresponsiveAfter()
	if unresponsive != w.unresponsive || reportsLost != w.reportsLost {
		w.unresponsive, w.reportsLost = unresponsive, reportsLost
		h.markChanged(w)
	}
	if !unresponsive && !w.lapsed && sinceHeard > 2*h.cfg.ReportEvery() {
		h.probeWorker(w) // it may be that its reports alone don't come
	}
}

// reconcileEntries drops reservations and kept places whose time is over, and has commands repeated
// for jobs that changed.
func (h *Holder) reconcileEntries(w *worker, now time.Time) {
	for name, e := range w.entries {
		if h.changedJobs[e.job] {
			e.lastSentAt, w.settled = time.Time{}, false // what was sent may no longer be what is wanted
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
