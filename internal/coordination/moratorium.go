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

// This file keeps a holder answering its workers during an outage of the state service, so that their
// leases do not expire. A holder whose session may have ended goes on answering for as long as every
// sibling grants it a moratorium, which is a commitment not to take over its slots (invariant 2,
// docs/design-recovery.md). Meanwhile the holder stops the tasks of jobs that it knows to be cancelled,
// and starts, rents and records nothing. With its grant each sibling reports which cancellations it
// knows; without these reports the holder soon has to stop answering (invariant 9). On the wire a
// moratorium is a "promise", and the remainder of a grant by a former process is "owed".

// PromiseArgs requests a moratorium of a sibling and the cancellations that the sibling knows.
type PromiseArgs struct {
	Caller string
	// Term is the caller's incarnation.
	Term uint64
	// ForMs is the requested duration; the previous version sends 0, which means
	// membership.LegacyMoratoriumDuration.
	ForMs int64
	// SinceMs is the age of the caller's watermark. The caller knows all cancellations confirmed before it.
	SinceMs int64
}

// PromiseReply contains whether the moratorium is granted, and the sibling's report of cancellations. The
// previous version sends no report, which counts as an incomplete one.
type PromiseReply struct {
	Given           bool
	AgeMs, SyncedMs int64
	Whole           bool
	Cancelled       []string
}

// cancellationReport returns the report of cancellations in the reply to a request for a moratorium of the
// given duration.
func (r *PromiseReply) cancellationReport(requested time.Duration) membership.CancellationReport {
	report := membership.CancellationReport{
		ProcessAge: time.Duration(r.AgeMs) * time.Millisecond,
		RecordsAge: time.Duration(r.SyncedMs) * time.Millisecond,
		Complete:   r.Whole,
	}
	if r.Given {
		report.SilentFor = requested
	}
	return report
}

// OwedArgs asks a sibling what remains of a moratorium that the caller's former process may have granted to
// that sibling.
type OwedArgs struct{ Caller string }

// OwedReply contains how long that moratorium may still apply to the caller.
type OwedReply struct{ ForMs int64 }

// MoratoriumCaller calls a sibling that may grant a moratorium or may hold one granted earlier.
type MoratoriumCaller interface {
	Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error
	Owed(ctx context.Context, a OwedArgs, reply *OwedReply) error
}

// holderPeer calls a sibling over net/rpc, on a connection used for no other kind of request, so that these
// calls do not queue behind others.
type holderPeer struct{ *transport.Peer }

func (p holderPeer) Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error {
	return p.Call(ctx, membership.RequestTimeout, holderServiceName+".Promise", a, reply)
}

func (p holderPeer) Owed(ctx context.Context, a OwedArgs, reply *OwedReply) error {
	return p.Call(ctx, membership.RequestTimeout, holderServiceName+".Owed", a, reply)
}

// Owed answers a recently started controller: it returns how long a moratorium that the controller's former
// process may have granted to this holder may still last.
func (r HolderRPC) Owed(_ OwedArgs, reply *OwedReply) error {
	remaining, ok := askFor(r.h.ctx, &r.h.actor, func() time.Duration { return membership.RemainingMoratorium(r.h.moratoriumRequested, time.Now()) })
	if !ok {
		return errControllerEnded
	}
	reply.ForMs = remaining.Milliseconds() + 1
	return nil
}

// learnOutstandingGrants asks each sibling how long the moratoria that the predecessor process may have
// granted still apply to this process. Without the replies, every restart would delay confirmations of
// cancellations and takeovers for the whole recovery period of 13 s.
func (h *Holder) learnOutstandingGrants() {
	answered := make([]bool, len(h.moratoriumPeers))
	longest := time.Duration(0)
	for h.ctx.Err() == nil && time.Since(h.started) < membership.RecoveryPeriod {
		replies := h.requestOutstandingGrants(answered)
		for k, reply := range replies {
			if reply != nil {
				answered[k] = true
				longest = max(longest, time.Since(h.started)+time.Duration(reply.ForMs)*time.Millisecond)
			}
		}
		if !slices.Contains(answered, false) {
			h.tell(func() { h.boundUntil = h.started.Add(min(longest, membership.RecoveryPeriod)) })
			return
		}
		pause(h.ctx, outstandingRetryInterval)
	}
}

// requestOutstandingGrants asks the siblings that have not answered yet; the reply of a sibling is nil if none
// arrived.
func (h *Holder) requestOutstandingGrants(answered []bool) []*OwedReply {
	replies := make([]*OwedReply, len(h.moratoriumPeers))
	var calls sync.WaitGroup
	for k, peer := range h.moratoriumPeers {
		if answered[k] {
			continue
		}
		calls.Go(func() {
			var reply OwedReply
			if peer.Owed(h.ctx, OwedArgs{Caller: h.cfg.Name}, &reply) == nil {
				replies[k] = &reply
			}
		})
	}
	calls.Wait()
	return replies
}

// outstandingRetryInterval is the delay before siblings that did not answer are asked again.
const outstandingRetryInterval = 500 * time.Millisecond

// Promise answers a holder's request for a moratorium.
func (r HolderRPC) Promise(a PromiseArgs, reply *PromiseReply) error {
	answer, ok := askFor(r.h.ctx, &r.h.actor, func() PromiseReply { return r.h.answerMoratoriumRequest(&a) })
	if !ok {
		return errControllerEnded
	}
	*reply = answer
	return nil
}

// maxWatermarkAge bounds how far back a sibling may request cancellations. A controller that may still act
// never requests more.
const maxWatermarkAge = 24 * time.Hour

// answerMoratoriumRequest decides on a sibling's request and reports the cancellations known here.
func (h *Holder) answerMoratoriumRequest(a *PromiseArgs) PromiseReply {
	now := time.Now()
	member := h.members[a.Caller]
	grantor := membership.Grantor{
		RecordsLoaded:  !h.syncedAt.IsZero(),
		RequesterAlive: member != nil && member.Term == a.Term,
	}
	if h.stateLastServed != nil {
		grantor.Unserved = now.Sub(h.stateLastServed())
	}
	reply := PromiseReply{Given: grantor.MayGrant(), AgeMs: now.Sub(h.started).Milliseconds()}
	if reply.Given {
		duration := min(max(membership.LegacyMoratoriumDuration, time.Duration(a.ForMs)*time.Millisecond), membership.MoratoriumDuration)
		h.grantedMoratoria[a.Caller] = h.grantedMoratoria[a.Caller].Extend(now, duration)
	}
	// The request was in flight for at most the time that its caller waits for the reply.
	watermarkAge := min(max(0, time.Duration(a.SinceMs)*time.Millisecond), maxWatermarkAge)
	since := now.Add(-config.LocalUpperBound(watermarkAge) - membership.RequestTimeout)
	var complete bool
	reply.Cancelled, complete = h.cancelled.Since(since)
	reply.Whole = complete && a.SinceMs > 0
	if grantor.RecordsLoaded && !since.Before(h.followedSince) {
		reply.SyncedMs = now.Sub(h.syncedAt).Milliseconds() + 1
	}
	return reply
}

// mayTakeOver reports whether this process may take over slots of the named holder.
func (h *Holder) mayTakeOver(holder string) bool {
	now := time.Now()
	return holder == "" || holder == h.cfg.Name || membership.MayTakeOver(h.boundUntil, h.grantedMoratoria[holder].Until, now)
}

// entitled reports whether this holder is certainly the only controller entitled to its workers.
func (h *Holder) entitled() bool { return h.session.Valid() || time.Now().Before(h.moratoriumUntil) }

// mayAnswer reports whether reports may be answered: no other controller may answer them, and no task that an
// answer renews can outlive its cancellation.
func (h *Holder) mayAnswer() bool {
	return h.entitled() && membership.MayRenew(h.watermark.Time(), h.cfg.MaxRenewalStaleness(), time.Now())
}

// mayConfirm records that a job is cancelled, and reports whether moratoria permit confirming the
// cancellation to users.
func (h *Holder) mayConfirm(job string) bool {
	now := time.Now()
	h.cancelled.Learn(job, now)
	return membership.MayConfirm(h.cancelled.KnownSince(job), h.boundUntil, h.grantedMoratoria, now)
}

// requestMoratorium requests a moratorium of all siblings while the session is near its end or may have
// ended. It also requests their cancellation reports while the watermark lags.
func (h *Holder) requestMoratorium(now time.Time) {
	watermarkAge := now.Sub(h.watermark.Time())
	ending := h.session.Left() <= min(membership.RequestThreshold, h.cfg.SessionTTL()/3)
	if !ending && watermarkAge < h.cfg.MaxRenewalStaleness()/3 || !h.mayRequestMoratorium(now) {
		return
	}
	supported, duration := h.moratoriumSupport()
	h.requestingMoratorium, h.moratoriumRequested = true, now
	args := PromiseArgs{Caller: h.cfg.Name, Term: h.session.Term(), ForMs: duration.Milliseconds(), SinceMs: watermarkAge.Milliseconds() + 1}
	go func() {
		replies := h.sendMoratoriumRequests(args)
		h.tell(func() {
			h.requestingMoratorium = false
			grantedByAll := ending && supported
			for k, reply := range replies {
				grantedByAll = grantedByAll && reply.Given
				h.observeCancellationReport(h.cfg.Siblings[k].Name, &reply, now, duration)
			}
			h.extendEntitlement(args.Term, now, grantedByAll, duration)
		})
	}()
}

// mayRequestMoratorium reports whether a request for moratoria or reports may be sent now.
func (h *Holder) mayRequestMoratorium(now time.Time) bool {
	return !h.requestingMoratorium && len(h.moratoriumPeers) > 0 && now.Sub(h.moratoriumRequested) >= membership.RequestInterval &&
		!h.watermark.RecordsThrough.IsZero() && h.entitled()
}

// moratoriumSupport reports whether the versions of all siblings support moratoria, and the longest duration
// that all of them grant. A sibling that is away may return in the version before an upgrade, which would not
// wait for the moratorium to end.
func (h *Holder) moratoriumSupport() (supported bool, duration time.Duration) {
	supported, duration = true, membership.MoratoriumDuration
	for _, sibling := range h.cfg.Siblings {
		member := h.members[sibling.Name]
		if member == nil || member.Generation < bookkeeping.GenerationPromises {
			supported = false
		}
		if member == nil || member.Generation < bookkeeping.GenerationLongPromises {
			duration = membership.LegacyMoratoriumDuration
		}
	}
	return supported, duration
}

// sendMoratoriumRequests calls all siblings concurrently. The reply of a sibling that does not answer is empty:
// it grants and reports nothing.
func (h *Holder) sendMoratoriumRequests(args PromiseArgs) []PromiseReply {
	replies := make([]PromiseReply, len(h.moratoriumPeers))
	var calls sync.WaitGroup
	for k, peer := range h.moratoriumPeers {
		calls.Go(func() {
			if err := peer.Promise(h.ctx, args, &replies[k]); err != nil {
				slog.Debug("moratorium request failed", "err", err)
				replies[k] = PromiseReply{}
			}
		})
	}
	calls.Wait()
	return replies
}

// observeCancellationReport applies a sibling's report of cancellations, which was requested at requestedAt. A
// known cancellation remains valid, so the report counts even if the session has changed since the request.
func (h *Holder) observeCancellationReport(name string, r *PromiseReply, requestedAt time.Time, duration time.Duration) {
	now := time.Now()
	h.learnCancelled(r.Cancelled, now)
	h.watermark.ObserveReport(name, r.cancellationReport(duration), requestedAt, now)
}

// extendEntitlement extends this holder's entitlement if all siblings granted the moratorium of the given
// duration that was requested at requestedAt in the session with the given term.
func (h *Holder) extendEntitlement(term uint64, requestedAt time.Time, grantedByAll bool, duration time.Duration) {
	if h.session.Term() != term {
		return
	}
	now := time.Now()
	until := now.Add(h.session.Left())
	if h.moratoriumUntil.After(until) {
		until = h.moratoriumUntil
	}
	extended := membership.ExtendEntitlement(until, requestedAt, grantedByAll, config.LocalLowerBound(duration), now)
	if !extended.After(until) {
		return
	}
	if h.moratoriumUntil.Before(now) {
		slog.Info("riding on promises")
	}
	h.moratoriumUntil = extended
}
