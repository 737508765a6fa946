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

// ackState is what is known of whether a worker receives what it is sent. The zero value: nothing
// indicates that it does not.
type ackState struct {
	// requiredToken is the token that a report must show before the worker is used again, and
	// requiredSince the time from which it is required.
	requiredToken protocol.Token
	requiredSince time.Time
	// unacked counts the answers in a row that were not received.
	unacked int
}

// maxUnackedAnswers is how many answers in a row may go unreceived before the worker gets none until
// it acknowledges one: while answers are sent one of them might renew its lease, which would then
// never surely lapse.
const maxUnackedAnswers = 3

// requireAck has the worker show a token before it is used again. It reports whether none was
// required so far.
func (a *ackState) requireAck(token protocol.Token, now time.Time) (first bool) {
	if first = a.requiredSince.IsZero(); first {
		a.requiredSince = now
	}
	a.requiredToken = token
	return first
}

// observe takes in the token of a report. It reports whether that was the acknowledgement required.
func (a *ackState) observe(token protocol.Token) (acked bool) {
	if a.requiredSince.IsZero() || token < a.requiredToken {
		return false
	}
	*a = ackState{}
	return true
}

// awaitsAck reports whether an acknowledgement is required.
func (a *ackState) awaitsAck() bool { return !a.requiredSince.IsZero() }

// isOverdue reports whether an acknowledgement has been required for longer than a time, so that
// the worker counts as silent.
func (a *ackState) isOverdue(now time.Time, after time.Duration) bool {
	return a.awaitsAck() && now.Sub(a.requiredSince) > after
}

// ignoresAnswers reports whether answers are of no use.
func (a *ackState) ignoresAnswers() bool { return a.unacked >= maxUnackedAnswers }

// noteAck takes in what a report of the same session shows about the answer to the previous one.
func (h *Holder) noteAck(w *worker, shown protocol.Token) {
	if w.unackedAnswer.IsZero() {
		return
	}
	if shown < w.unackedAnswerToken {
		// It renewed nothing (invariant 4).
		w.ack.unacked++
		if w.ack.requireAck(w.unackedAnswerToken, time.Now()) {
			h.markChanged(w)
		}
	} else {
		w.lastAnswer = w.unackedAnswer
	}
	w.unackedAnswer = time.Time{}
}

// lastPossibleRenewal is when somebody lastPossibleRenewal to it last gave the machine an answer that may have
// renewed its lease, as far as this holder is concerned.
func (w *worker) lastPossibleRenewal() time.Time {
	at := w.slot.adopted
	for _, t := range []time.Time{w.lastAnswer, w.unackedAnswer} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

// probeInterval is how often a machine is asked at most for no other reason than its messages.
const probeInterval = 5 * time.Second

// probeWorker asks a machine directly: what it answers is newer than all that came before.
func (h *Holder) probeWorker(w *worker) {
	if time.Since(w.probedAt) >= probeInterval {
		w.probeDue = true
		h.sendCommands(w)
	}
}

// answerStaleReport answers a report that is older by its numbers than what was heard: a copy, or one that was
// held up on its way, whose answer nobody hears, or its worker began anew and counts from the
// beginning. Then it takes whatever was sent to it before until it is told a token of this holder's,
// so that is what it gets at once. A token that nobody else is told shows in its next report
// which of the two it was; until then the report is no news. What it runs that is not
// expected there was started by a command from before, and goes. While a direct command with
// starts is waited for, no new token is given out, since the next answer's would void it.
func (h *Holder) answerStaleReport(w *worker, rep *protocol.Report) (status int, body any) {
	commands, known := h.cancellationStops(w, rep)
	if !known || w.ack.ignoresAnswers() || w.commandInFlight && w.commandHasStarts {
		return http.StatusServiceUnavailable, nil
	}
	for _, t := range rep.Tasks {
		e := w.entries[t.Task]
		if t.State != protocol.TaskExited && (e == nil || e.attempt != t.Attempt) {
			commands = append(commands, stopCommand(t.Task, t.Attempt, 0))
		}
	}
	w.tokenSeq++
	w.restartToken = protocol.NewToken(w.slot.term, w.tokenSeq)
	w.tokenSeq++ // nothing else is sent under that token
	w.lastAnswer = time.Now()
	return http.StatusOK, protocol.ReportAnswer{Token: w.restartToken, Commands: commands}
}

// noteRestart takes in that a machine's direct answer has lower numbers than what was heard of it,
// though nothing came since it was asked, or that it shows a token which only a worker that
// remembers nothing was told: it counts from the beginning. Its lease may count from
// any time before now: counted from the last answer, it was once over for this holder and not for
// what had been started since. Before it is used again it shows a token newer than all before.
func (h *Holder) noteRestart(w *worker, rep *protocol.Report) {
	slog.Info("machine began anew", "machine", w.id, "was", w.session, "is", rep.Session)
	now := time.Now()
	w.session, w.ticket, w.highestToken, w.lapsedIn, w.restartToken = rep.Session, rep.Ticket-1, 0, 0, 0
	w.lastAnswer, w.unackedAnswer = now, time.Time{}
	w.tokenSeq++
	w.ack.requireAck(protocol.NewToken(w.slot.term, w.tokenSeq), now)
	h.markChanged(w)
}
