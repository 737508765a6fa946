package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/protocol"
)

// Whether machines hear, and which messages say something.
//
// That a report came says nothing about whether its machine hears answers and commands.
// What does is the highest token in it: a worker has one report in flight at a time and
// drops answers after 4 s, so a report whose token is lower than that in the answer to the
// one before proves that this answer did not reach it, and never will.

// hearing is what is known of whether a machine hears. The zero value: nothing speaks
// against it.
type hearing struct {
	// must is the token that a report has to show before the machine is used again, since
	// is from when on that is so.
	must  protocol.Token
	since time.Time
	// unheard is how many answers in a row are known not to have reached it.
	unheard int
}

// mostVain is after how many answers in a row that did not reach a machine it gets none
// until it shows that it hears: as long as they are given, one might, and its lease would
// never surely lapse.
const mostVain = 3

// doubt has the machine show a token; it tells whether it was in no doubt before.
func (g *hearing) doubt(must protocol.Token, now time.Time) (news bool) {
	if news = g.since.IsZero(); news {
		g.since = now
	}
	g.must = must
	return news
}

// shows takes in the token of a report; it tells whether that ended the doubt.
func (g *hearing) shows(t protocol.Token) (news bool) {
	if g.since.IsZero() || t < g.must {
		return false
	}
	*g = hearing{}
	return true
}

func (g *hearing) doubted() bool { return !g.since.IsZero() }

// lost tells whether the machine has not heard for so long that it counts as silent.
func (g *hearing) lost(now time.Time, after time.Duration) bool {
	return g.doubted() && now.Sub(g.since) > after
}

// vain tells whether answers are of no use.
func (g *hearing) vain() bool { return g.unheard >= mostVain }

// heeds takes in what a report of the same session says of the answer to the one before.
func (h *Holder) heeds(w *worker, shown protocol.Token) {
	if w.answered.IsZero() {
		return
	}
	if shown < w.answeredWith {
		// It renewed nothing (invariant 4).
		w.hearing.unheard++
		if w.hearing.doubt(w.answeredWith, time.Now()) {
			h.touch(w)
		}
	} else {
		w.lastAnswer = w.answered
	}
	w.answered = time.Time{}
}

// entitled is when somebody entitled to it last gave the machine an answer that may have
// renewed its lease, as far as this holder is concerned.
func (w *worker) entitled() time.Time {
	at := w.slot.adopted
	for _, t := range []time.Time{w.lastAnswer, w.answered} {
		if t.After(at) {
			at = t
		}
	}
	return at
}

// probeGap is how often a machine is asked at most for no other reason than its messages.
const probeGap = 5 * time.Second

// askItself asks a machine directly: what it answers is newer than all that came before.
func (h *Holder) askItself(w *worker) {
	if time.Since(w.probed) >= probeGap {
		w.probe = true
		h.pump(w)
	}
}

// beganAnew takes in that a machine's direct answer has lower numbers than what was heard of it,
// though nothing came since it was asked: it counts from the beginning. Its lease may count from
// any time before now: counted from the last answer, it was once over for this holder and not for
// what had been started since. Before it is used again it shows a token newer than all before.
func (h *Holder) beganAnew(w *worker, rep *protocol.Report) {
	slog.Info("machine began anew", "machine", w.id, "was", w.session, "is", rep.Session)
	now := time.Now()
	w.session, w.ticket, w.shown, w.lapsedIn = rep.Session, rep.Ticket-1, 0, 0
	w.lastAnswer, w.answered = now, time.Time{}
	w.seq++
	w.hearing.doubt(protocol.NewToken(w.slot.term, w.seq), now)
	h.touch(w)
}
