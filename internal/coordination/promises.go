package coordination

import (
	"context"
	"log/slog"
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

// PromiseArgs ask a sibling not to take the caller's slots for membership.PromiseFor, and
// which cancellations it knows.
type PromiseArgs struct {
	Caller string
	// Term is the caller's incarnation.
	Term uint64
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

func (r *PromiseReply) word() membership.Word {
	return membership.Word{Age: time.Duration(r.AgeMs) * time.Millisecond, Synced: time.Duration(r.SyncedMs) * time.Millisecond, Whole: r.Whole, Quiet: r.Given}
}

// PromiseCaller reaches a sibling that may promise.
type PromiseCaller interface {
	Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error
}

// promisePeer reaches a sibling over net/rpc, on a connection on which no request of another
// kind is waited for.
type promisePeer struct{ *transport.Peer }

func (p promisePeer) Promise(ctx context.Context, a PromiseArgs, reply *PromiseReply) error {
	return p.Call(ctx, membership.AskWithin, rpcName+".Promise", a, reply)
}

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
		h.giving[a.Caller] = h.giving[a.Caller].Again(now)
	}
	if g.Loaded {
		r.SyncedMs = now.Sub(h.syncedAt).Milliseconds() + 1
	}
	since := min(max(0, time.Duration(a.SinceMs)*time.Millisecond), mostSince)
	// The question was under way for no longer than it is waited for.
	r.Cancelled, r.Whole = h.cancelled.Since(now.Add(-config.Surely(since) - membership.AskWithin))
	r.Whole = r.Whole && a.SinceMs > 0
	return r
}

// mayTake tells whether this process may take slots that the named controller holds.
func (h *Holder) mayTake(holder string) bool {
	now := time.Now()
	return holder == "" || holder == h.cfg.Name || membership.MayTake(now.Sub(h.started), h.giving[holder].Until, now)
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
	return membership.MayConfirm(h.cancelled.Known(job), h.started, h.giving, now)
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
	rides := ending
	for _, s := range h.cfg.Siblings {
		// One that is not there may come back as it was before an upgrade, without waiting.
		if m := h.members[s.Name]; m == nil || m.Generation < bookkeeping.GenerationPromises {
			rides = false
		}
	}
	h.consulting, h.consulted = true, now
	args := PromiseArgs{Caller: h.cfg.Name, Term: h.session.Term(), SinceMs: behind.Milliseconds() + 1}
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
				h.hearWord(h.cfg.Siblings[k].Name, &r, now)
			}
			h.promisedBy(args.Term, now, given)
		})
	}()
}

// hearWord takes in what a sibling that was asked at a time knows to be cancelled. (That is
// never unlearnt, so that its word means what it says whatever became of the session since.)
func (h *Holder) hearWord(name string, r *PromiseReply, asked time.Time) {
	now := time.Now()
	for _, job := range r.Cancelled {
		if h.cancelled.Learn(job, now) {
			h.changedJobs[job] = true
		}
	}
	h.horizon.Hear(name, r.word(), asked, now)
}

// promisedBy takes in whether all siblings promised what they were asked for at a time.
func (h *Holder) promisedBy(term uint64, asked time.Time, all bool) {
	if h.session.Term() != term {
		return
	}
	now := time.Now()
	until := now.Add(h.session.Left())
	if h.promisedTo.After(until) {
		until = h.promisedTo
	}
	if extended := membership.Extend(until, asked, all, config.SurelyWithin(membership.PromiseFor), now); extended.After(h.promisedTo) && extended.After(until) {
		if h.promisedTo.Before(now) {
			slog.Info("riding on promises")
		}
		h.promisedTo = extended
	}
}
