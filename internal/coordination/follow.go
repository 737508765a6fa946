package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// The feeds of the holders, as an owner follows them.

// followFeed requests the news of a holder again and again and applies them, until the context ends.
func (o *Owner) followFeed(name string, h HolderCaller) {
	var incarnation, since uint64
	for o.ctx.Err() == nil {
		var args FeedArgs
		if !o.ask(o.ctx, func() {
			args = FeedArgs{Caller: o.cfg.Name, Fence: protocol.NewToken(o.session.Term(), o.peers[name].fence),
				Incarnation: incarnation, Since: since, WaitMs: o.cfg.SummaryEvery.Milliseconds()}
			if w := o.window(); w != nil {
				args.Window = w.Number
			}
		}) {
			return
		}
		if o.session.Term() == 0 {
			pause(o.ctx, 100*time.Millisecond)
			continue
		}
		var news board.News
		sent := time.Now()
		if err := h.Feed(o.ctx, args, &news); err != nil {
			slog.Debug("feed request failed", "holder", name, "err", err)
			o.tell(func() { o.peers[name].sessionValid = false })
			pause(o.ctx, 300*time.Millisecond)
			continue
		}
		if name != o.cfg.Name && (news.Stray.Machine != "" || !news.TellsStrays) {
			o.handleMisrouted(news.Stray, news.TellsStrays, time.Now())
		}
		applied := false
		if !o.ask(o.ctx, func() { applied = o.applyNews(name, &args, &news, sent) }) {
			return
		}
		if !applied {
			pause(o.ctx, notEntitledPause)
			continue
		}
		incarnation, since = news.Incarnation, news.Version
		pause(o.ctx, 20*time.Millisecond)
	}
}

// notEntitledPause is the pause before the next request to a holder that is not entitled to its slots. A
// holder of an older version sends news even so; since they are not applied, it always has some to send.
const notEntitledPause = 300 * time.Millisecond

// applyNews applies the reply of a holder to a request sent at the given time. It reports whether it did: the
// news of a holder that is no longer entitled to its slots may be outdated, since other holders may hold the
// slots and have started tasks there. Such a holder goes on sending news until it learns that its session
// ended.
func (o *Owner) applyNews(name string, args *FeedArgs, news *board.News, sent time.Time) (applied bool) {
	p := o.peers[name]
	p.sessionValid, p.heardAt = news.Valid, time.Now()
	if news.ServedMs > 0 {
		p.servedAt = p.heardAt.Add(-time.Duration(news.ServedMs) * time.Millisecond)
	}
	if !news.Valid && !news.Entitled {
		return false
	}
	p.incarnation, p.version, p.answeredTerm = news.Incarnation, news.Version, args.Fence.Term()
	if w := o.window(); o.latestWindow != nil && news.Window == o.latestWindow.Number && w != nil && w.Number < news.Window {
		o.adoptWindow(o.latestWindow) // the holder has adopted it and refuses requests under older ones
	}
	kept := news.Machines[:0]
	for _, m := range news.Machines {
		if !o.removedMachines.has(m.ID) {
			kept = append(kept, m)
		}
	}
	news.Machines = kept
	for i := range news.Machines {
		o.noteFailedJobs(&news.Machines[i], time.Now())
	}
	o.markStale(o.board.Apply(name, news, sent, time.Now()))
	o.dropMetNeeds(news.Machines)
	o.dirty = true
	for _, js := range o.unresolved {
		for i, ps := range js.pending {
			if o.startResolved(ps, name, args, news) {
				delete(js.pending, i)
				js.stale = true
			}
		}
		if !js.job.Final() && !js.allPriorStartsKnown() && js.firstSeen.Before(sent) {
			o.noteCompleteSlots(js, args, news)
		} else {
			o.dropIfResolved(js)
		}
	}
	return true
}

// dropIfResolved drops a job from the unresolved ones if the outcome of each start is known and, unless the job
// has ended, all that former owners started.
func (o *Owner) dropIfResolved(js *jobState) {
	if len(js.pending) == 0 && (js.job.Final() || js.allPriorStartsKnown()) {
		delete(o.unresolved, js.job.Spec.ID)
	}
}

// markStale marks the jobs for which the board shows changes.
func (o *Owner) markStale(jobs map[string]bool) {
	for id := range jobs {
		if js := o.active[id]; js != nil {
			js.stale = true
		}
		o.updateRunning(id)
	}
}

// startResolved reports whether the board shows a requested start by now, or surely never will.
func (o *Owner) startResolved(ps *pendingStart, name string, args *FeedArgs, news *board.News) bool {
	s := o.board.Slots[ps.slot]
	if s != nil && s.Term > ps.slotTerm && s.Complete {
		return true // a new holder knows every task that is there
	}
	if name != ps.holder || !o.outcomeShown(ps, name, news.Incarnation, news.Version) {
		return false
	}
	// A start of unknown outcome is void once the holder has adopted a fence that refuses the request, unless
	// the board shows the start.
	return ps.acked || ps.outcomeUnknown && args.Fence > ps.requestID
}

// outcomeShown reports whether news that the holder sent while it still held the slot cover its answer to the
// start. A holder that accepts a start and then gives the slot up never shows it; only its successor will.
func (o *Owner) outcomeShown(ps *pendingStart, name string, incarnation, version uint64) bool {
	s := o.board.Slots[ps.slot]
	if s == nil || s.Holder != name || s.Term != ps.slotTerm || s.Version != version {
		return false
	}
	return ps.acked && incarnation == ps.ackIncarnation && version >= ps.ackVersion || !ps.acked && incarnation == ps.holderIncarnation
}
