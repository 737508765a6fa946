package coordination

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// This file detects whether workers can reach this controller. A controller that they cannot reach gives up its
// slots to others.

// reachabilityProbeInterval is how often a controller that its workers cannot reach checks whether they are
// reachable again. After maxUnreachable it stops checking and counts as reachable, since the workers that it
// knew may be gone.
const (
	reachabilityProbeInterval = 5 * time.Second
	maxUnreachable            = 4 * time.Minute
)

// checkReachability checks whether workers can still reach this controller. A controller that has lost only its
// connections to workers would let their leases expire while the state service and its siblings see no fault.
func (h *Holder) checkReachability(now time.Time) {
	if !h.mayAnswer() {
		h.lastNotAnswering = now
	}
	// Workers that received 503 while this holder could not answer have tried other controllers. Without
	// this delay, an outage of the state service made all controllers declare themselves unreachable at the
	// same time and move their slots.
	if h.session.WorkersUnreachable() || now.Sub(h.lastNotAnswering) < h.cfg.ReportEvery()*3 {
		return
	}
	total, silent := 0, 0
	for _, s := range h.slots {
		total += len(s.awaited)
		if now.Sub(s.adopted) > h.unresponsiveAfter() {
			silent += len(s.awaited)
		}
	}
	var addrs []string
	for _, w := range h.workersByID {
		if !w.verified || w.lapsed {
			continue
		}
		total++
		if now.Sub(w.lastHeard) > h.cfg.ReportEvery()*5/3 && now.Sub(w.slot.adopted) > h.cfg.ReportEvery()*3 {
			silent++
			addrs = append(addrs, w.addr)
		}
	}
	// This controller is at fault only if its machines report to another controller or cannot be reached
	// from here. Otherwise the machines reach no controller, and moving their slots does not help. Without
	// this check, whenever machines briefly could not send, all controllers declared themselves unreachable
	// and all slots moved.
	reportedElsewhere := now.Sub(h.reportedElsewhereAt) < h.misroutedMaxAge()
	if total < 3 || 3*silent <= 2*total || h.checkingReachability || !reportedElsewhere && len(addrs) == 0 {
		return
	}
	h.checkingReachability = true
	go func() {
		if !reportedElsewhere && h.anyReachable(addrs) {
			slog.Info("machines can't reach any controller", "silent", silent, "of", total)
			pause(h.ctx, reachabilityProbeInterval)
			h.tell(func() { h.checkingReachability = false })
			return
		}
		slog.Info("workers can't reach this controller", "silent", silent, "of", total)
		h.declareUnreachable(addrs, now.Add(maxUnreachable))
		h.tell(func() { h.checkingReachability = false })
	}()
}

// declareUnreachable records that workers cannot reach this controller, so that other controllers take over its
// slots, until a worker answers again or the deadline passes. Each write to the record is repeated until it is
// confirmed. Without the repetition, a lost reply left the record marking the controller as unreachable for the
// rest of its session although the controller no longer considered itself so.
func (h *Holder) declareUnreachable(addrs []string, deadline time.Time) {
	err := h.session.SetWorkersUnreachable(h.ctx, true)
	for h.ctx.Err() == nil && time.Now().Before(deadline) {
		pause(h.ctx, reachabilityProbeInterval)
		if len(addrs) > 0 && h.workers.Reachable(h.ctx, addrs[rand.IntN(len(addrs))]) {
			break
		}
		if err != nil {
			err = h.session.SetWorkersUnreachable(h.ctx, true)
		}
	}
	for h.ctx.Err() == nil && h.session.SetWorkersUnreachable(h.ctx, false) != nil {
		pause(h.ctx, time.Second)
	}
}

// maxProbed is how many of the silent machines are probed.
const maxProbed = 3

// anyReachable reports whether any of up to maxProbed randomly drawn machines answers a direct request.
func (h *Holder) anyReachable(addrs []string) bool {
	answers := make(chan bool, maxProbed)
	probed := min(maxProbed, len(addrs))
	for _, k := range rand.Perm(len(addrs))[:probed] {
		go func() { answers <- h.workers.Reachable(h.ctx, addrs[k]) }()
	}
	reached := false
	for range probed {
		reached = <-answers || reached
	}
	return reached
}

// misroutedReport is a report that this controller received although another controller holds its machine.
type misroutedReport struct {
	board.Stray
	at time.Time
}

// misroutedMaxAge is how long a misrouted report counts as evidence of which controllers its machine can reach.
func (h *Holder) misroutedMaxAge() time.Duration { return 2 * h.cfg.ReportEvery() }

// noteMisrouted handles a sibling's notice of a report that it received from a machine of this holder. Only a
// report newer than those received here is evidence, because copies of old reports may arrive at any controller.
// detailed is false if the sibling's version sends no such notices.
func (h *Holder) noteMisrouted(stray board.Stray, detailed bool, receivedAt time.Time) {
	if !detailed {
		h.reportedElsewhereAt = receivedAt // the previous version sends no details: assume a newer report
		return
	}
	s := h.slots[h.slotOf(stray.Machine)]
	if stray.Machine == "" || s == nil {
		return
	}
	report := protocol.Report{Session: stray.Session, Ticket: stray.Ticket}
	if w := h.workersByID[stray.Machine]; w != nil && !report.Newer(w.session, w.ticket) {
		return
	}
	if at := receivedAt.Add(-time.Duration(stray.AgoMs) * time.Millisecond); at.After(s.adopted) && at.After(h.reportedElsewhereAt) {
		h.reportedElsewhereAt = at
	}
}
