package coordination

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Whether workers can reach this controller: one that has lost them gives its slots up to others.

// probeEvery is how often a controller that lost its workers tries whether
// they can be reached again; longestUnreachable is when it asks for workers all the
// same, since those it knew may be gone.
const (
	probeEvery         = 5 * time.Second
	longestUnreachable = 4 * time.Minute
)

// listen finds out whether workers can still reach this controller. One that
// has lost them alone would let their leases run out, all the while answering
// to the state service and its siblings as if nothing were wrong.
func (h *Holder) listen(now time.Time) {
	if !h.mayAnswer() {
		h.lastNotAnswering = now
	}
	// Workers that were answered 503 for want of a session have tried others
	// meanwhile: once, an outage of the state service had all controllers call
	// themselves deaf together, and their slots change hands.
	if h.session.WorkersUnreachable() || now.Sub(h.lastNotAnswering) < h.cfg.ReportEvery()*3 {
		return
	}
	total, quiet := 0, 0
	for _, s := range h.slots {
		total += len(s.awaited)
		if now.Sub(s.adopted) > h.unresponsiveAfter() {
			quiet += len(s.awaited)
		}
	}
	var addrs []string
	for _, w := range h.workersByID {
		if !w.verified || w.lapsed {
			continue
		}
		total++
		if now.Sub(w.lastHeard) > h.cfg.ReportEvery()*5/3 && now.Sub(w.slot.adopted) > h.cfg.ReportEvery()*3 {
			quiet++
			addrs = append(addrs, w.addr)
		}
	}
	// They report elsewhere, or can't be reached themselves: else it is they who reach nobody,
	// and handing them over helps none. (Once all controllers took themselves for deaf together,
	// and all slots changed hands, as often as machines had been mute for a moment.)
	elsewhere := now.Sub(h.reportedElsewhereAt) < h.misroutedRecently()
	if total < 3 || 3*quiet <= 2*total || h.checkingReachability || !elsewhere && len(addrs) == 0 {
		return
	}
	h.checkingReachability = true
	go func() {
		if !elsewhere && h.reachable(addrs) {
			slog.Info("machines can't reach any controller", "silent", quiet, "of", total)
			pause(h.ctx, probeEvery)
			h.tell(func() { h.checkingReachability = false })
			return
		}
		slog.Info("workers can't reach this controller", "silent", quiet, "of", total)
		h.awaitWorkers(addrs, now.Add(longestUnreachable))
		h.tell(func() { h.checkingReachability = false })
	}()
}

// awaitWorkers has the others take over while workers can't reach this controller, until one of them
// answers again or the time is over. What the record says of it is written again until it is known to be
// there: once the answer was lost, and the record went on saying that no worker can reach a controller
// which had forgotten that it had said so, for as long as its session lived.
func (h *Holder) awaitWorkers(addrs []string, until time.Time) {
	told := h.session.SetWorkersUnreachable(h.ctx, true)
	for h.ctx.Err() == nil && time.Now().Before(until) {
		pause(h.ctx, probeEvery)
		if len(addrs) > 0 && h.workers.Reachable(h.ctx, addrs[rand.IntN(len(addrs))]) {
			break
		}
		if told != nil {
			told = h.session.SetWorkersUnreachable(h.ctx, true)
		}
	}
	for h.ctx.Err() == nil && h.session.SetWorkersUnreachable(h.ctx, false) != nil {
		pause(h.ctx, time.Second)
	}
}

// mostAsked is how many of the machines that went silent are asked whether they can be reached.
const mostAsked = 3

// reachable tells whether any of some machines, drawn by chance, answers a direct request.
func (h *Holder) reachable(addrs []string) bool {
	answers := make(chan bool, mostAsked)
	asked := min(mostAsked, len(addrs))
	for _, k := range rand.Perm(len(addrs))[:asked] {
		go func() { answers <- h.workers.Reachable(h.ctx, addrs[k]) }()
	}
	reached := false
	for range asked {
		reached = <-answers || reached
	}
	return reached
}

// misroutedReport is a report that came here though another holds its machine.
type misroutedReport struct {
	board.Stray
	at time.Time
}

// misroutedRecently is for how long a misrouted report says something of whom its machine can reach.
func (h *Holder) misroutedRecently() time.Duration { return 2 * h.cfg.ReportEvery() }

// noteMisrouted takes in what a sibling says of this holder's machines that reported to it. Only what
// was not heard here says something: copies of old reports go anywhere.
func (h *Holder) noteMisrouted(n board.Stray, told bool, heard time.Time) {
	if !told {
		h.reportedElsewhereAt = heard // the version before doesn't tell: as if they did
		return
	}
	s := h.slots[h.slotOf(n.Machine)]
	if n.Machine == "" || s == nil {
		return
	}
	rep := protocol.Report{Session: n.Session, Ticket: n.Ticket}
	if w := h.workersByID[n.Machine]; w != nil && !rep.Newer(w.session, w.ticket) {
		return
	}
	if at := heard.Add(-time.Duration(n.AgoMs) * time.Millisecond); at.After(s.adopted) && at.After(h.reportedElsewhereAt) {
		h.reportedElsewhereAt = at
	}
}
