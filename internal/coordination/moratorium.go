package coordination

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/membership"
	"daledyke/internal/transport"
)

// Riding out an outage of the state service: a holder whose session is no longer sure goes on
// answering its workers, so that their leases live, for as long as every sibling grants it a
// moratorium: not to take over its slots (invariant 2, docs/design-recovery.md). It stops what it
// knows to be cancelled and does nothing else: nothing is started, rented or recorded. With its
// grant each sibling reports which cancellations it knows, without which nothing is answered for
// long (invariant 9). On the wire a moratorium is a "promise", and what a former process may have
// granted is "owed".

// PromiseArgs request a moratorium of a sibling, and which cancellations it knows.
type PromiseArgs struct {
	Caller string
	// Term is the caller's incarnation.
	Term uint64
	// ForMs is for how long; 0, from the version before, is membership.BriefMoratoriumFor.
	ForMs int64
	// SinceMs is how long ago the caller's watermark was: older cancellations are known to it.
	SinceMs int64
}

// PromiseReply tells whether the moratorium is granted, and is the sibling's report of
// cancellations; the version before gives none, which is one that is not complete.
type PromiseReply struct {
	Given           bool
	AgeMs, SyncedMs int64
	Whole           bool
	Cancelled       []string
}

// report is what the reply says of cancellations, once the sibling was asked for a moratorium of
// some length.
func (r *PromiseReply) report(requestedFor time.Duration) membership.CancellationReport {
	report := membership.CancellationReport{
		ProcessAge: time.Duration(r.AgeMs) * time.Millisecond,
		RecordsAge: time.Duration(r.SyncedMs) * time.Millisecond,
		Complete:   r.Whole,
	}
	if r.Given {
		report.SilentFor = requestedFor
	}
	return report
}

// OwedArgs ask a sibling which moratorium the caller's former process may have granted to it.
type OwedArgs struct{ Caller string }

// OwedReply tells for how long that may still bind.
type OwedReply struct{ ForMs int64 }

// MoratoriumCaller reaches a sibling that may grant a moratorium, and may have been granted one.
type MoratoriumCaller interface {
	Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error
	Owed(ctx context.Context, a OwedArgs, reply *OwedReply) error
}

// holderPeer reaches a sibling over net/rpc, on a connection on which no request of another
// kind is waited for.
type holderPeer struct{ *transport.Peer }

func (p holderPeer) Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error {
	return p.Call(ctx, membership.RequestTimeout, rpcName+".Promise", a, reply)
}

func (p holderPeer) Owed(ctx context.Context, a OwedArgs, reply *OwedReply) error {
	return p.Call(ctx, membership.RequestTimeout, rpcName+".Owed", a, reply)
}

// Owed answers a controller that has just started.
func (r HolderRPC) Owed(_ OwedArgs, reply *OwedReply) error {
	owed, ok := askFor(r.h.ctx, &r.h.actor, func() time.Duration { return membership.Outstanding(r.h.moratoriumRequested, time.Now()) })
	if !ok {
		return errNotNow
	}
	reply.ForMs = owed.Milliseconds() + 1
	return nil
}

// learnOutstanding finds out which moratoria the process before this one may have granted that
// still bind: from each sibling that tells. (Without it every restart would cost its users
// thirteen seconds in which no cancellation is confirmed, and nothing of others is taken over.)
func (h *Holder) learnOutstanding() {
	told := make([]bool, len(h.moratoriumPeers))
	longest := time.Duration(0)
	for h.ctx.Err() == nil && time.Since(h.started) < membership.RecoveryPeriod {
		replies := h.askOutstanding(told)
		for k, reply := range replies {
			if reply != nil {
				told[k] = true
				longest = max(longest, time.Since(h.started)+time.Duration(reply.ForMs)*time.Millisecond)
			}
		}
		if !slices.Contains(told, false) {
			h.tell(func() { h.boundUntil = h.started.Add(min(longest, membership.RecoveryPeriod)) })
			return
		}
		pause(h.ctx, outstandingEvery)
	}
}

// askOutstanding asks the siblings that have not told yet; the reply is nil where none came.
func (h *Holder) askOutstanding(told []bool) []*OwedReply {
	replies := make([]*OwedReply, len(h.moratoriumPeers))
	var all sync.WaitGroup
	for k, peer := range h.moratoriumPeers {
		if told[k] {
			continue
		}
		all.Go(func() {
			var reply OwedReply
			if peer.Owed(h.ctx, OwedArgs{Caller: h.cfg.Name}, &reply) == nil {
				replies[k] = &reply
			}
		})
	}
	all.Wait()
	return replies
}

// outstandingEvery is how often siblings that did not answer are asked again.
const outstandingEvery = 500 * time.Millisecond

// Promise answers a holder that requests a moratorium.
func (r HolderRPC) Promise(a PromiseArgs, reply *PromiseReply) error {
	granted, ok := askFor(r.h.ctx, &r.h.actor, func() PromiseReply { return r.h.grantMoratorium(&a) })
	if !ok {
		return errNotNow
	}
	*reply = granted
	return nil
}

// mostSince bounds how far back a sibling is told what is cancelled: nobody who may still act
// asks for more.
const mostSince = 24 * time.Hour

func (h *Holder) grantMoratorium(a *PromiseArgs) PromiseReply {
	now := time.Now()
	member := h.members[a.Caller]
	grantor := membership.Grantor{
		RecordsLoaded:  !h.syncedAt.IsZero(),
		RequesterAlive: member != nil && member.Term == a.Term,
	}
	if h.served != nil {
		grantor.Unserved = now.Sub(h.served())
	}
	reply := PromiseReply{Given: grantor.Grants(), AgeMs: now.Sub(h.started).Milliseconds()}
	if reply.Given {
		more := min(max(membership.BriefMoratoriumFor, time.Duration(a.ForMs)*time.Millisecond), membership.MoratoriumFor)
		h.granted[a.Caller] = h.granted[a.Caller].Extend(now, more)
	}
	// The request was under way for no longer than its caller waits.
	behind := min(max(0, time.Duration(a.SinceMs)*time.Millisecond), mostSince)
	since := now.Add(-config.Surely(behind) - membership.RequestTimeout)
	var complete bool
	reply.Cancelled, complete = h.cancelled.Since(since)
	reply.Whole = complete && a.SinceMs > 0
	if grantor.RecordsLoaded && !since.Before(h.follows) {
		reply.SyncedMs = now.Sub(h.syncedAt).Milliseconds() + 1
	}
	return reply
}

// mayTakeOver tells whether this process may take slots that the named controller holds.
func (h *Holder) mayTakeOver(holder string) bool {
	now := time.Now()
	return holder == "" || holder == h.cfg.Name || membership.MayTakeOver(h.boundUntil, h.granted[holder].Until, now)
}

// entitled tells whether this holder is surely the only one entitled to its workers.
func (h *Holder) entitled() bool { return h.session.Valid() || time.Now().Before(h.moratoriumUntil) }

// mayAnswer tells whether reports may be answered: nobody else may, and nothing that an answer
// renews outlives a cancellation.
func (h *Holder) mayAnswer() bool {
	return h.entitled() && membership.MayRenew(h.watermark.Time(), h.cfg.RenewFor(), time.Now())
}

// mayConfirm tells whether users may be told that a job is cancelled, as this controller now
// knows.
func (h *Holder) mayConfirm(job string) bool {
	now := time.Now()
	h.cancelled.Learn(job, now)
	return membership.MayConfirm(h.cancelled.KnownSince(job), h.boundUntil, h.granted, now)
}

// requestMoratorium asks all siblings for a moratorium while the session is about to be no longer
// sure, or is not, and for their cancellations also while the watermark lies back.
func (h *Holder) requestMoratorium(now time.Time) {
	behind := now.Sub(h.watermark.Time())
	ending := h.session.Left() <= min(membership.RequestFrom, h.cfg.SessionTTL()/3)
	if !ending && behind < h.cfg.RenewFor()/3 || !h.mayRequest(now) {
		return
	}
	supported, lasts := h.moratoriumSupport()
	h.requestingMoratorium, h.moratoriumRequested = true, now
	args := PromiseArgs{Caller: h.cfg.Name, Term: h.session.Term(), ForMs: lasts.Milliseconds(), SinceMs: behind.Milliseconds() + 1}
	go func() {
		replies := h.askMoratorium(args)
		h.tell(func() {
			h.requestingMoratorium = false
			grantedByAll := ending && supported
			for k, reply := range replies {
				grantedByAll = grantedByAll && reply.Given
				h.observeReport(h.cfg.Siblings[k].Name, &reply, now, lasts)
			}
			h.extendEntitlement(args.Term, now, grantedByAll, lasts)
		})
	}()
}

// mayRequest tells whether moratoria may be requested now, whatever for.
func (h *Holder) mayRequest(now time.Time) bool {
	return !h.requestingMoratorium && len(h.moratoriumPeers) > 0 && now.Sub(h.moratoriumRequested) >= membership.RequestEvery &&
		!h.watermark.ByRecords.IsZero() && h.entitled()
}

// moratoriumSupport tells whether the versions of all siblings know moratoria, and how long one
// lasts that all of them grant. A sibling that is not there may come back as it was before an
// upgrade, and would not wait.
func (h *Holder) moratoriumSupport() (supported bool, lasts time.Duration) {
	supported, lasts = true, membership.MoratoriumFor
	for _, sibling := range h.cfg.Siblings {
		member := h.members[sibling.Name]
		if member == nil || member.Generation < bookkeeping.GenerationPromises {
			supported = false
		}
		if member == nil || member.Generation < bookkeeping.GenerationLongPromises {
			lasts = membership.BriefMoratoriumFor
		}
	}
	return supported, lasts
}

// askMoratorium asks all siblings at once; one that does not answer grants and reports nothing.
func (h *Holder) askMoratorium(args PromiseArgs) []PromiseReply {
	replies := make([]PromiseReply, len(h.moratoriumPeers))
	var all sync.WaitGroup
	for k, peer := range h.moratoriumPeers {
		all.Go(func() {
			if err := peer.Promise(h.ctx, args, &replies[k]); err != nil {
				slog.Debug("no promise", "err", err)
				replies[k] = PromiseReply{}
			}
		})
	}
	all.Wait()
	return replies
}

// observeReport takes in which cancellations a sibling knows that was asked at a time. (They are
// never unlearnt, so that the report means what it says whatever became of the session since.)
func (h *Holder) observeReport(name string, r *PromiseReply, asked time.Time, lasts time.Duration) {
	now := time.Now()
	h.learnCancelled(r.Cancelled, now)
	h.watermark.ObserveReport(name, r.report(lasts), asked, now)
}

// extendEntitlement takes in whether all siblings granted the moratorium that was requested at a
// time, for so long.
func (h *Holder) extendEntitlement(term uint64, requested time.Time, grantedByAll bool, lasts time.Duration) {
	if h.session.Term() != term {
		return
	}
	now := time.Now()
	until := now.Add(h.session.Left())
	if h.moratoriumUntil.After(until) {
		until = h.moratoriumUntil
	}
	extended := membership.ExtendEntitlement(until, requested, grantedByAll, config.SurelyWithin(lasts), now)
	if !extended.After(until) {
		return
	}
	if h.moratoriumUntil.Before(now) {
		slog.Info("riding on promises")
	}
	h.moratoriumUntil = extended
}
