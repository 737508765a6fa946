package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// How an owner learns what holders know.

func (o *Owner) follow(name string, h HolderCaller) {
	var inc, since uint64
	for o.ctx.Err() == nil {
		var a FeedArgs
		if !o.ask(o.ctx, func() {
			a = FeedArgs{Caller: o.cfg.Name, Fence: protocol.NewToken(o.session.Term(), o.peers[name].fence),
				Incarnation: inc, Since: since, WaitMs: o.cfg.SummaryEvery.Milliseconds()}
			if w := o.window(); w != nil {
				a.Window = w.Number
			}
		}) {
			return
		}
		if o.session.Term() == 0 {
			pause(o.ctx, 100*time.Millisecond)
			continue
		}
		var r board.News
		sent := time.Now()
		if err := h.Feed(o.ctx, a, &r); err != nil {
			slog.Debug("no feed", "holder", name, "err", err)
			o.tell(func() { o.peers[name].sessionValid = false })
			pause(o.ctx, 300*time.Millisecond)
			continue
		}
		if name != o.cfg.Name && (r.Stray.Machine != "" || !r.TellsStrays) {
			o.handleStray(r.Stray, r.TellsStrays, time.Now())
		}
		// The actor may do it after a controller that ends has stopped waiting: nothing is shared with it.
		if taken, _ := askFor(o.ctx, &o.actor, func() bool { return o.feed(name, &a, &r, sent) }); !taken {
			pause(o.ctx, notEntitledPause)
			continue
		}
		inc, since = r.Incarnation, r.Version
		pause(o.ctx, 20*time.Millisecond)
	}
}

// notEntitledPause is how long a holder that is not entitled to its slots is left alone: one of a
// version that tells its news all the same has always some, since none of them are taken in.
const notEntitledPause = 300 * time.Millisecond

// feed takes in a holder's reply to a request that was sent at the time. It reports whether it did: what
// a holder says that is not entitled to its slots any more may be long untrue, since others may hold
// them and have started tasks there. (It goes on saying so until it hears that its session ended.)
func (o *Owner) feed(name string, a *FeedArgs, r *board.News, sent time.Time) (taken bool) {
	p := o.peers[name]
	p.sessionValid, p.heardAt = r.Valid, time.Now()
	if r.ServedMs > 0 {
		p.servedAt = p.heardAt.Add(-time.Duration(r.ServedMs) * time.Millisecond)
	}
	if !r.Valid && !r.Entitled {
		return false
	}
	p.incarnation, p.version, p.answeredTerm = r.Incarnation, r.Version, a.Fence.Term()
	if w := o.window(); o.latestWindow != nil && r.Window == o.latestWindow.Number && w != nil && w.Number < r.Window {
		o.obey(o.latestWindow) // the holder obeys it already and refuses older ones
	}
	kept := r.Machines[:0]
	for _, m := range r.Machines {
		if !o.removedMachines.has(m.ID) {
			kept = append(kept, m)
		}
	}
	r.Machines = kept
	for i := range r.Machines {
		o.noteFailedJobs(&r.Machines[i])
	}
	o.touched(o.board.Apply(name, r, sent, time.Now()))
	o.dropMetNeeds(r.Machines)
	o.dirty = true
	for at, ps := range o.quotas.orphanedStarts {
		if o.resolved(ps, name, a, r) {
			delete(o.quotas.orphanedStarts, at)
		}
	}
	for id, js := range o.unresolved {
		for i, ps := range js.pending {
			if o.resolved(ps, name, a, r) {
				delete(js.pending, i)
				js.stale = true
			}
		}
		if js.allSettled() {
			if len(js.pending) == 0 {
				delete(o.unresolved, id)
			}
		} else if js.firstSeen.Before(sent) {
			o.settles(js, a, r)
		}
	}
	return true
}

// touched notes of which jobs the board shows something new.
func (o *Owner) touched(jobs map[string]bool) {
	for id := range jobs {
		if js := o.active[id]; js != nil {
			js.stale = true
		}
		o.updateRunning(id)
	}
}

// resolved tells whether a start that was asked for shows on the board by
// now, or never will.
func (o *Owner) resolved(ps *pendingStart, name string, a *FeedArgs, r *board.News) bool {
	s := o.board.Slots[ps.slot]
	if s != nil && s.Term > ps.slotTerm && s.Complete {
		return true // a new holder knows all that is there
	}
	if name != ps.holder || !o.shown(ps, name, r.Incarnation, r.Version) {
		return false
	}
	// Outcome unknown: void once the holder has promised so, unless shown.
	return ps.acked || ps.outcomeUnknown && a.Fence > ps.requestID
}

// shown tells whether the holder's news, of a time when it still held the
// machine, covers what it said of the start. A holder that takes a start on
// and then gives the slot up never shows it: only its successor will.
func (o *Owner) shown(ps *pendingStart, name string, incarnation, version uint64) bool {
	s := o.board.Slots[ps.slot]
	if s == nil || s.Holder != name || s.Term != ps.slotTerm || s.Version != version {
		return false
	}
	return ps.acked && incarnation == ps.ackIncarnation && version >= ps.ackVersion || !ps.acked && incarnation == ps.holderIncarnation
}
