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
// answering its workers, so that their leases live, for as long as every sibling promises not
// to take its slots (invariant 2, docs/design-recovery.md). It stops what it knows to be
// cancelled and does nothing else: nothing is started, rented or recorded. With its promise
// each sibling says which cancellations it knows, without which nothing is answered for long
// (invariant 9).

// PromiseArgs ask a sibling not to take the caller's slots for a while, and which
// cancellations it knows.
type PromiseArgs struct {
	Caller string
	// Term is the caller's incarnation.
	Term uint64
	// ForMs is for how long; 0, from the version before, is membership.BriefFor.
	ForMs int64
	// SinceMs is how long ago the caller's horizon was: older cancellations are known to it.
	SinceMs int64
}

// PromiseReply tells whether it is promised, and is the sibling's word; the version before
// gives none, which is one that is not whole.
type PromiseReply struct {
	Given           bool
	AgeMs, SyncedMs int64
	Whole           bool
	Cancelled       []string
}

// word is the sibling's word, after it was asked to promise for so long.
func (r *PromiseReply) word(asked time.Duration) membership.Word {
	w := membership.Word{Age: time.Duration(r.AgeMs) * time.Millisecond, Synced: time.Duration(r.SyncedMs) * time.Millisecond, Whole: r.Whole}
	if r.Given {
		w.Quiet = asked
	}
	return w
}

// OwedArgs ask a sibling what the caller's former process may have promised to it.
type OwedArgs struct{ Caller string }

// OwedReply tells for how long that may still bind.
type OwedReply struct{ ForMs int64 }

// PromiseCaller reaches a sibling that may promise, and may have been promised something.
type PromiseCaller interface {
	Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error
	Owed(ctx context.Context, a OwedArgs, reply *OwedReply) error
}

// promisePeer reaches a sibling over net/rpc, on a connection on which no request of another
// kind is waited for.
type promisePeer struct{ *transport.Peer }

func (p promisePeer) Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error {
	return p.Call(ctx, membership.AskWithin, rpcName+".Promise", a, reply)
}

func (p promisePeer) Owed(ctx context.Context, a OwedArgs, reply *OwedReply) error {
	return p.Call(ctx, membership.AskWithin, rpcName+".Owed", a, reply)
}

// Owed answers a controller that has just started.
func (r HolderRPC) Owed(_ OwedArgs, reply *OwedReply) error {
	owed, ok := askFor(r.h.ctx, &r.h.actor, func() time.Duration { return membership.Owed(r.h.consulted, time.Now()) })
	if !ok {
		return errNotNow
	}
	reply.ForMs = owed.Milliseconds() + 1
	return nil
}

// learnOwed finds out by what the process before this one is bound, for as long as it may be:
// from each sibling that tells. (Without it every restart would cost its users thirteen seconds
// in which no cancellation is told, and nothing of others is taken.)
func (h *Holder) learnOwed() {
	told := make([]bool, len(h.promisers))
	most := time.Duration(0)
	for h.ctx.Err() == nil && time.Since(h.started) < membership.YoungFor {
		replies := make([]OwedReply, len(h.promisers))
		errs := make([]error, len(h.promisers))
		var all sync.WaitGroup
		for k, p := range h.promisers {
			if !told[k] {
				all.Go(func() { errs[k] = p.Owed(h.ctx, OwedArgs{Caller: h.cfg.Name}, &replies[k]) })
			}
		}
		all.Wait()
		for k := range told {
			if !told[k] && errs[k] == nil {
				told[k] = true
				most = max(most, time.Since(h.started)+time.Duration(replies[k].ForMs)*time.Millisecond)
			}
		}
		if !slices.Contains(told, false) {
			h.tell(func() { h.bound = h.started.Add(min(most, membership.YoungFor)) })
			return
		}
		pause(h.ctx, owedEvery)
	}
}

// owedEvery is how often siblings that did not answer are asked again.
const owedEvery = 500 * time.Millisecond

// Promise answers a holder that asks.
func (r HolderRPC) Promise(a PromiseArgs, reply *PromiseReply) error {
	word, ok := askFor(r.h.ctx, &r.h.actor, func() PromiseReply { return r.h.promise(&a) })
	if !ok {
		return errNotNow
	}
	*reply = word
	return nil
}

// mostSince bounds how far back a sibling is told what is cancelled: nobody who may still act
// asks for more.
const mostSince = 24 * time.Hour

func (h *Holder) promise(a *PromiseArgs) PromiseReply {
	now := time.Now()
	m := h.members[a.Caller]
	g := membership.Giver{Loaded: !h.syncedAt.IsZero(), Alive: m != nil && m.Term == a.Term}
	if h.served != nil {
		g.Unserved = now.Sub(h.served())
	}
	r := PromiseReply{Given: g.Gives(), AgeMs: now.Sub(h.started).Milliseconds()}
	if r.Given {
		more := min(max(membership.BriefFor, time.Duration(a.ForMs)*time.Millisecond), membership.PromiseFor)
		h.giving[a.Caller] = h.giving[a.Caller].Again(now, more)
	}
	// The question was under way for no longer than it is waited for.
	since := now.Add(-config.Surely(min(max(0, time.Duration(a.SinceMs)*time.Millisecond), mostSince)) - membership.AskWithin)
	r.Cancelled, r.Whole = h.cancelled.Since(since)
	if g.Loaded && !since.Before(h.follows) {
		r.SyncedMs = now.Sub(h.syncedAt).Milliseconds() + 1
	}
	r.Whole = r.Whole && a.SinceMs > 0
	return r
}

// mayTake tells whether this process may take slots that the named controller holds.
func (h *Holder) mayTake(holder string) bool {
	now := time.Now()
	return holder == "" || holder == h.cfg.Name || membership.MayTake(h.bound, h.giving[holder].Until, now)
}

// entitled tells whether this holder is surely the only one entitled to its workers.
func (h *Holder) entitled() bool { return h.session.Valid() || time.Now().Before(h.promisedTo) }

// mayAnswer tells whether reports may be answered: nobody else may, and nothing that an answer
// renews outlives a cancellation.
func (h *Holder) mayAnswer() bool {
	return h.entitled() && membership.Renews(h.horizon.At(), h.cfg.RenewFor(), time.Now())
}

// mayConfirm tells whether users may be told that a job is cancelled, as this controller now
// knows.
func (h *Holder) mayConfirm(job string) bool {
	now := time.Now()
	h.cancelled.Learn(job, now)
	return membership.MayConfirm(h.cancelled.Known(job), h.bound, h.giving, now)
}

// consult asks all siblings for promises while the session is about to be no longer sure, or
// is not, and for their word also while what is known of cancellations grows old.
func (h *Holder) consult(now time.Time) {
	behind := now.Sub(h.horizon.At())
	ending := h.session.Left() <= min(membership.AskFrom, h.cfg.SessionTTL()/3)
	if h.consulting || len(h.promisers) == 0 || now.Sub(h.consulted) < membership.AskEvery || h.horizon.Records.IsZero() || !h.entitled() ||
		!ending && behind < h.cfg.RenewFor()/3 {
		return
	}
	rides, lasts := ending, membership.PromiseFor
	for _, s := range h.cfg.Siblings {
		// One that is not there may come back as it was before an upgrade, without waiting.
		m := h.members[s.Name]
		if m == nil || m.Generation < bookkeeping.GenerationPromises {
			rides = false
		}
		if m == nil || m.Generation < bookkeeping.GenerationLonger {
			lasts = membership.BriefFor
		}
	}
	h.consulting, h.consulted = true, now
	args := PromiseArgs{Caller: h.cfg.Name, Term: h.session.Term(), ForMs: lasts.Milliseconds(), SinceMs: behind.Milliseconds() + 1}
	go func() {
		replies := make([]PromiseReply, len(h.promisers))
		var all sync.WaitGroup
		for k, p := range h.promisers {
			all.Go(func() {
				if err := p.Promise(h.ctx, args, &replies[k]); err != nil {
					slog.Debug("no promise", "err", err)
					replies[k] = PromiseReply{}
				}
			})
		}
		all.Wait()
		h.tell(func() {
			h.consulting = false
			given := rides
			for k, r := range replies {
				given = given && r.Given
				h.hearWord(h.cfg.Siblings[k].Name, &r, now, lasts)
			}
			h.promisedBy(args.Term, now, given, lasts)
		})
	}()
}

// hearWord takes in what a sibling that was asked at a time, to promise for so long, knows to be
// cancelled. (That is never unlearnt, so that its word means what it says whatever became of the
// session since.)
func (h *Holder) hearWord(name string, r *PromiseReply, asked time.Time, lasts time.Duration) {
	now := time.Now()
	h.learnCancelled(r.Cancelled, now)
	h.horizon.Hear(name, r.word(lasts), asked, now)
}

// promisedBy takes in whether all siblings promised what they were asked for at a time, for so long.
func (h *Holder) promisedBy(term uint64, asked time.Time, all bool, lasts time.Duration) {
	if h.session.Term() != term {
		return
	}
	now := time.Now()
	until := now.Add(h.session.Left())
	if h.promisedTo.After(until) {
		until = h.promisedTo
	}
	if extended := membership.Extend(until, asked, all, config.SurelyWithin(lasts), now); extended.After(h.promisedTo) && extended.After(until) {
		if h.promisedTo.Before(now) {
			slog.Info("riding on promises")
		}
		h.promisedTo = extended
	}
}
