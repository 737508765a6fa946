package coordination

import (
	"log/slog"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

// Acknowledgement of answers. That a report arrived does not show that its worker receives answers
// and commands. The highest token in it does: a worker has one report in flight at a time and drops
// answers after 4 s, so a report with a lower token than that of the answer to the previous report
// proves that this answer was not received and never will be.

// ackState tracks whether a worker receives what it is sent. The zero value shows no sign of trouble.
type ackState struct {
	// requiredToken is the token that a report must show before the worker is used again, and
	// requiredSince the time from which it is required.
	requiredToken protocol.Token
	requiredSince time.Time
	// unacked counts the answers in a row that were not received.
	unacked int
}

// maxUnackedAnswers is how many answers in a row may be lost before the worker gets no more until it
// acknowledges one: each further answer might renew its lease, which would then never surely lapse.
const maxUnackedAnswers = 3

// requireAck makes the worker show a token before it is used again. It reports whether no acknowledgement was
// required before.
func (a *ackState) requireAck(token protocol.Token, now time.Time) (first bool) {
	if first = a.requiredSince.IsZero(); first {
		a.requiredSince = now
	}
	a.requiredToken = token
	return first
}

// token is the newest token for the worker.
func (w *worker) token() protocol.Token { return protocol.NewToken(w.slot.term, w.tokenSeq) }

// requireAck makes the worker show a token that is new from here on before it is used again. It reports whether no
// acknowledgement was required before.
func (w *worker) requireAck(now time.Time) (first bool) {
	w.tokenSeq++
	return w.ack.requireAck(w.token(), now)
}

// observe records the token of a report. It reports whether this was the required acknowledgement.
func (a *ackState) observe(token protocol.Token) (acked bool) {
	if a.requiredSince.IsZero() || token < a.requiredToken {
		return false
	}
	*a = ackState{}
	return true
}

// awaitsAck reports whether an acknowledgement is required.
func (a *ackState) awaitsAck() bool { return !a.requiredSince.IsZero() }

// isOverdue reports whether an acknowledgement has been required for longer than after, so that the worker
// counts as silent.
func (a *ackState) isOverdue(now time.Time, after time.Duration) bool {
	return a.awaitsAck() && now.Sub(a.requiredSince) > after
}

// ignoresAnswers reports whether so many answers in a row were lost that the worker gets no more.
func (a *ackState) ignoresAnswers() bool { return a.unacked >= maxUnackedAnswers }

// noteAck records what a report shows about the answer to the previous report of the same session.
func (h *Holder) noteAck(w *worker, shown protocol.Token) {
	if w.unackedAnswer.IsZero() {
		return
	}
	if shown < w.unackedAnswerToken {
		// The answer renewed nothing (invariant 4).
		w.ack.unacked++
		if w.ack.requireAck(w.unackedAnswerToken, time.Now()) {
			h.markChanged(w)
		}
	} else {
		w.lastAnswer = w.unackedAnswer
	}
	w.unackedAnswer = time.Time{}
}

// lastPossibleRenewal is the latest time at which an answer may have renewed the machine's lease: one of this
// holder's, or one of a former holder's until this one took the slot.
func (w *worker) lastPossibleRenewal() time.Time {
	at := w.slot.adopted
	for _, t := range []time.Time{w.lastAnswer, w.unackedAnswer} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

// probeInterval is the shortest time between two probes of a machine.
const probeInterval = 5 * time.Second

// probeWorker asks a machine directly for a report, which is newer than all that came before.
func (h *Holder) probeWorker(w *worker) {
	if time.Since(w.probedAt) >= probeInterval {
		w.probeDue = true
		h.sendCommands(w)
	}
}

// answerStaleReport answers a report whose session, ticket or token is lower than the newest received. It is a
// copy, or was delayed so that nobody receives its answer, or its worker restarted and counts from the
// beginning. A
// restarted worker accepts any earlier command until it gets a token of this holder, so the answer gives it
// one at once. No other message uses this token: if the next report shows it, the worker restarted; until
// then the report is ignored. Tasks in the report that are not expected there were started by an earlier
// answer and are stopped.
func (h *Holder) answerStaleReport(w *worker, rep *protocol.Report) reportAnswer {
	slog.Debug("stale report", "machine", w.id, "session", rep.Session, "ticket", rep.Ticket, "token", rep.Token, "newest session", w.session, "newest ticket", w.ticket)
	commands, known := h.cancellationStops(w, rep)
	if !known || w.ack.ignoresAnswers() {
		return unavailable
	}
	for _, t := range rep.Tasks {
		e := w.entries[t.Task]
		if t.State != protocol.TaskExited && (e == nil || e.attempt != t.Attempt) {
			commands = append(commands, stopCommand(t.Task, t.Attempt, 0))
		}
	}
	w.tokenSeq++
	w.restartToken = w.token()
	w.tokenSeq++ // no other message uses that token
	w.lastAnswer = time.Now()
	return reportAnswer{http.StatusOK, protocol.ReportAnswer{Token: w.restartToken, Commands: commands}}
}

// noteRestart records that a machine restarted and counts from the beginning: its direct answer has lower
// numbers than its newest report although nothing arrived since the command was sent, or it shows a token
// that only a restarted worker was given. Its lease may count from any time before now. (If it counted from
// the last answer, it could end for this holder while tasks started since still run.) Before the machine is
// used again it must show a token newer than all before.
func (h *Holder) noteRestart(w *worker, rep *protocol.Report) {
	slog.Info("machine began anew", "machine", w.id, "was", w.session, "is", rep.Session)
	now := time.Now()
	w.session, w.ticket, w.highestToken, w.lapsedIn, w.restartToken = rep.Session, rep.Ticket-1, 0, 0, 0
	w.lastAnswer, w.unackedAnswer = now, time.Time{}
	w.requireAck(now)
	h.markChanged(w)
}
