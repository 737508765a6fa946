package coordination

import (
	"cmp"
	"slices"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// Which jobs are an owner's, and since when.

// Place is where a job stands on the ring. One that takes of what its team is limited in
// stands, whole, where the team's name does, so that one controller grants all that the team
// may use (invariant 7). What takes nothing of it needs no grant: where every team had a limit
// of GPUs all work stood at six places, also what takes none.
func Place(c *config.Config, s *protocol.JobSpec) bookkeeping.Seat {
	t, joint := c.Team(s.Team), protocol.RingToken(s.Team)
	if t != nil && t.LimitAppliesTo(s.Need()) {
		return bookkeeping.Seat{Token: joint, Blocks: 1}
	}
	return bookkeeping.Seat{Token: protocol.RingToken(s.ID), Blocks: bookkeeping.BlocksOf(s), Joint: t != nil && t.HasLimit(), JointToken: joint}
}

// tenure is a time for which blocks of a job are this controller's without a break.
type tenure struct {
	// gain is the window that it began with.
	gain uint64
	// settled: all that may be left of former owners' starts is known; until then seen are
	// the slots that were seen complete since the gain.
	settled bool
	seen    map[int]bool
}

// share is a block of a job's tasks that is this controller's to place.
type share struct {
	block    int
	from, to int // its tasks: from the first up to, not with, the second
	*tenure
	// left is how many of its tasks reconciling last found neither done nor begun nor asked
	// for, and low a task before which all are done.
	left, low int
}

// shareOf is the share that a task is in, nil if it is not ours.
func (js *jobState) shareOf(index int) *share {
	if len(js.shares) == 0 {
		return nil
	}
	block := js.job.BlockOf(index)
	at, found := slices.BinarySearchFunc(js.shares, block, func(s *share, block int) int { return cmp.Compare(s.block, block) })
	if !found {
		return nil
	}
	return js.shares[at]
}

// mine tells whether a task is this controller's to place.
func (js *jobState) mine(index int) bool { return js.shareOf(index) != nil }

func (o *Owner) window() *bookkeeping.Window {
	if len(o.windows) == 0 {
		return nil
	}
	return o.windows[len(o.windows)-1]
}

func (o *Owner) windowChanged(w *bookkeeping.Window) {
	if o.latestWindow == nil || w.Number > o.latestWindow.Number {
		if o.latestWindow != nil && (o.window() == nil || o.latestWindow.Number > o.window().Number) {
			o.obey(o.latestWindow) // it was superseded before it began here
		}
		o.latestWindow = w
	}
}

// obey adopts a window and works out which jobs are ours, since when.
func (o *Owner) obey(w *bookkeeping.Window) {
	cur := o.window()
	if cur != nil && w.Number != cur.Number+1 {
		o.windows = nil // what happened in between is not known
	}
	if n := len(o.windows); n > 0 && o.windows[n-1].SameOwners(w) {
		// Nothing changes hands: keep the first of equal windows as well,
		// since it is the one that gains count from.
		if n > 1 && o.windows[n-2].SameOwners(w) {
			o.windows[n-1] = w
		} else {
			o.windows = append(o.windows, w)
		}
	} else {
		o.windows = append(o.windows, w)
	}
	if len(o.windows) > 16 {
		o.windows = slices.Clone(o.windows[len(o.windows)-16:])
	}
	for _, js := range o.active {
		o.settle(js)
	}
	o.dirty = true
}

// gainOf is the number of the window since which a token is ours without a
// break, 0 if it isn't.
func (o *Owner) gainOf(token int64) uint64 {
	return o.since(func(w *bookkeeping.Window) bool { return w.Owner(token) == o.cfg.Name })
}

// since is the number of the first of the windows in a row, up to the present one, for
// which something holds; 0 if it doesn't hold now.
func (o *Owner) since(holds func(*bookkeeping.Window) bool) uint64 {
	since := uint64(0)
	for i := len(o.windows) - 1; i >= 0 && holds(o.windows[i]); i-- {
		since = o.windows[i].Number
	}
	return since
}

// settle brings up to date which blocks of a job are ours, and since when.
func (o *Owner) settle(js *jobState) {
	var shares []*share
	begun := map[uint64]*tenure{} // blocks that are gained together share one
	changed := false
	for block := range max(1, js.job.Blocks) {
		gain := o.since(func(w *bookkeeping.Window) bool { return w.OwnerOfBlock(js.job, block) == o.cfg.Name })
		from, to := js.job.Block(block)
		old := js.shareOf(from)
		switch {
		case gain == 0:
			changed = changed || old != nil
		case old != nil && (gain == old.gain || gain > old.gain && len(o.windows) > 1):
			shares = append(shares, old) // unchanged, or only the memory of windows was cut
		default:
			changed = true
			if begun[gain] == nil {
				born := o.bornBy(gain)
				begun[gain] = &tenure{gain: gain, seen: map[int]bool{}, settled: born != 0 && js.job.Created > born}
			}
			if !begun[gain].settled {
				o.unresolved[js.job.Spec.ID] = js
			}
			shares = append(shares, &share{block: block, from: from, to: to, tenure: begun[gain], low: from})
		}
	}
	if !changed {
		return
	}
	js.shares, js.gainWindow, js.stale = shares, 0, true
	if len(shares) > 0 && shares[0].block == 0 {
		js.gainWindow = shares[0].gain
	}
}

// allSettled tells whether all that may run of a job's blocks that are ours is known.
func (js *jobState) allSettled() bool {
	return !slices.ContainsFunc(js.shares, func(s *share) bool { return !s.settled })
}

// settles takes in which slots are known from news that were asked for after the job
// was known.
func (o *Owner) settles(js *jobState, a *FeedArgs, r *board.News) {
	var last *tenure
	for _, sh := range js.shares {
		if sh.settled || sh.tenure == last { // those gained together are mostly neighbours
			continue
		}
		last = sh.tenure
		for _, s := range r.Slots {
			if s.Complete && r.Window >= sh.gain && a.Fence.Term() == o.session.Term() && o.board.MatchesTerm(&s) {
				sh.seen[s.Slot] = true
			}
		}
		if sh.settled = len(sh.seen) >= o.slots; sh.settled {
			js.stale = true
		}
	}
}

// presentSince is the first window in a row with the present owners, 0 if
// there is none yet.
func (o *Owner) presentSince() uint64 {
	return o.since(o.window().SameOwners)
}

// learnBorn finds out from which revision on jobs are surely new to all: all
// holders had promised to obey only the present owners. It does so for the
// first window with these owners, since no part of a range was gained later.
func (o *Owner) learnBorn() {
	g := o.presentSince()
	if g == 0 || o.gainRevisions[g] != 0 || o.fetchingRevision[g] || !o.board.AllComplete(o.slots, g) {
		return
	}
	o.fetchingRevision[g] = true
	go func() {
		rev, err := o.store.Revision(o.ctx)
		o.tell(func() {
			delete(o.fetchingRevision, g)
			if err == nil {
				if len(o.gainRevisions) > 64 {
					clear(o.gainRevisions)
				}
				o.gainRevisions[g] = rev
			}
		})
	}()
}

// bornBy is a revision after which created jobs are new to everyone, for jobs
// that are ours since the window given; 0 if none is known yet.
func (o *Owner) bornBy(gain uint64) uint64 {
	best := uint64(0)
	for g, rev := range o.gainRevisions {
		if g >= gain && (best == 0 || rev < best) {
			best = rev
		}
	}
	return best
}
