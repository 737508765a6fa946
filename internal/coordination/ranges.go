package coordination

import (
	"cmp"
	"log/slog"
	"slices"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// The jobs and blocks of tasks that an owner owns, and the windows since which it owns them.

// SeatFor returns the position of a job on the ring. A job that uses a resource in which its team is limited
// is placed as a whole at the position of the team, so that one controller grants everything that the team
// may use (invariant 7). A job that uses no such resource needs no grant and is placed by its id: when such
// jobs were placed at the position of their team too and every team had a GPU limit, all work was at six
// positions, including work without GPUs.
func SeatFor(c *config.Config, s *protocol.JobSpec) bookkeeping.RingPosition {
	t, teamToken := c.Team(s.Team), protocol.RingToken(s.Team)
	if t != nil && t.LimitAppliesTo(s.Need()) {
		return bookkeeping.RingPosition{Token: teamToken, Blocks: 1}
	}
	return bookkeeping.RingPosition{Token: protocol.RingToken(s.ID), Blocks: bookkeeping.BlockCount(s), TeamFallback: t != nil && t.HasLimit(), TeamToken: teamToken}
}

// ownership is a period during which this controller owns blocks of a job without interruption.
type ownership struct {
	// gainWindow is the window with which the period began.
	gainWindow uint64
	// priorStartsKnown: every task that may still be left from starts of former owners is known. Until then,
	// completeSlots are the slots that were seen complete since the gain.
	priorStartsKnown bool
	completeSlots    map[int]bool
}

// ownedBlock is a block of the tasks of a job that this controller places.
type ownedBlock struct {
	block      int
	first, end int // its tasks, end excluded
	*ownership
	// missing is how many tasks of the block the last reconciliation found neither done nor started nor
	// requested. All tasks before doneBefore are done.
	missing, doneBefore int
}

// ownedBlockOf returns the owned block that holds a task, nil if this controller does not own the task.
func (js *jobState) ownedBlockOf(index int) *ownedBlock {
	if len(js.ownedBlocks) == 0 {
		return nil
	}
	block := js.job.BlockOf(index)
	at, found := slices.BinarySearchFunc(js.ownedBlocks, block, func(s *ownedBlock, block int) int { return cmp.Compare(s.block, block) })
	if !found {
		return nil
	}
	return js.ownedBlocks[at]
}

// owns reports whether this controller places a task.
func (js *jobState) owns(index int) bool { return js.ownedBlockOf(index) != nil }

func (o *Owner) window() *bookkeeping.Window {
	if len(o.windows) == 0 {
		return nil
	}
	return o.windows[len(o.windows)-1]
}

func (o *Owner) windowChanged(w *bookkeeping.Window) {
	if o.latestWindow == nil || w.Number > o.latestWindow.Number {
		if o.latestWindow != nil && (o.window() == nil || o.latestWindow.Number > o.window().Number) {
			o.adoptWindow(o.latestWindow) // it was superseded before it was adopted here
		}
		o.latestWindow = w
	}
}

// adoptWindow adopts a window and determines which blocks this controller owns and since when.
func (o *Owner) adoptWindow(w *bookkeeping.Window) {
	current := o.window()
	if current != nil && w.Number != current.Number+1 {
		o.windows = nil // the windows between are unknown
	}
	if n := len(o.windows); n > 0 && o.windows[n-1].SameOwners(w) {
		// No owner changes. The first of several equal windows is kept too, since gains are counted from it.
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
		o.updateOwnedBlocks(js)
	}
	o.logLimitedTeams()
	o.dirty = true
}

// tokenGainWindow returns the number of the window since which this controller owns a token without
// interruption, 0 if it does not own it.
func (o *Owner) tokenGainWindow(token int64) uint64 {
	return o.unbrokenSince(func(w *bookkeeping.Window) bool { return w.Owner(token) == o.cfg.Name })
}

// unbrokenSince returns the number of the first window of the unbroken run up to the current one for which a
// condition holds, 0 if it does not hold now.
func (o *Owner) unbrokenSince(holds func(*bookkeeping.Window) bool) uint64 {
	since := uint64(0)
	for i := len(o.windows) - 1; i >= 0 && holds(o.windows[i]); i-- {
		since = o.windows[i].Number
	}
	return since
}

// updateOwnedBlocks determines which blocks of a job this controller owns, and since when.
func (o *Owner) updateOwnedBlocks(js *jobState) {
	var blocks []*ownedBlock
	gained := map[uint64]*ownership{} // blocks gained in the same window share one
	changed := false
	for block := range max(1, js.job.Blocks) {
		gain := o.unbrokenSince(func(w *bookkeeping.Window) bool { return w.OwnerOfBlock(js.job, block) == o.cfg.Name })
		first, end := js.job.BlockRange(block)
		old := js.ownedBlockOf(first)
		switch {
		case gain == 0:
			changed = changed || old != nil
		case old != nil && (gain == old.gainWindow || gain > old.gainWindow && len(o.windows) > 1):
			blocks = append(blocks, old) // unchanged, or only older windows were dropped from memory
		default:
			changed = true
			if gained[gain] == nil {
				revision := o.newJobRevision(gain)
				gained[gain] = &ownership{gainWindow: gain, completeSlots: map[int]bool{}, priorStartsKnown: revision != 0 && js.job.Created > revision}
			}
			if !gained[gain].priorStartsKnown {
				o.unresolved[js.job.Spec.ID] = js
			}
			blocks = append(blocks, &ownedBlock{block: block, first: first, end: end, ownership: gained[gain], doneBefore: first})
		}
	}
	if !changed {
		return
	}
	js.ownedBlocks, js.gainWindow, js.stale = blocks, 0, true
	if len(blocks) > 0 && blocks[0].block == 0 {
		js.gainWindow = blocks[0].gainWindow
	}
}

// allPriorStartsKnown reports whether every task that may run in the owned blocks of the job is known.
func (js *jobState) allPriorStartsKnown() bool {
	return !slices.ContainsFunc(js.ownedBlocks, func(s *ownedBlock) bool { return !s.priorStartsKnown })
}

// noteCompleteSlots records which slots are complete according to news that were requested after the job was
// known.
func (o *Owner) noteCompleteSlots(js *jobState, args *FeedArgs, news *board.News) {
	var last *ownership
	for _, owned := range js.ownedBlocks {
		if owned.priorStartsKnown || owned.ownership == last { // blocks gained in the same window are mostly adjacent
			continue
		}
		last = owned.ownership
		for _, s := range news.Slots {
			if s.Complete && news.Window >= owned.gainWindow && args.Fence.Term() == o.session.Term() && o.board.MatchesTerm(&s) {
				owned.completeSlots[s.Slot] = true
			}
		}
		if owned.priorStartsKnown = len(owned.completeSlots) >= o.slots; owned.priorStartsKnown {
			js.stale = true
		}
	}
}

// ownersUnchangedSince returns the first window of the unbroken run with the current owners, 0 if there is no
// window yet.
func (o *Owner) ownersUnchangedSince() uint64 {
	return o.unbrokenSince(o.window().SameOwners)
}

// learnNewJobRevision reads the revision after which every created job is new to all controllers, because by
// then all holders accepted requests of the current owners only. It does so for the first window with these
// owners, since no part of a range was gained later.
func (o *Owner) learnNewJobRevision() {
	window := o.ownersUnchangedSince()
	if window == 0 || o.gainRevisions[window] != 0 || o.fetchingRevision[window] || !o.board.AllComplete(o.slots, window) {
		return
	}
	o.fetchingRevision[window] = true
	go func() {
		revision, err := o.store.Revision(o.ctx)
		o.tell(func() {
			delete(o.fetchingRevision, window)
			if err == nil {
				if len(o.gainRevisions) > 64 {
					clear(o.gainRevisions)
				}
				o.gainRevisions[window] = revision
				slog.Info("all starts of former owners are known", "window", window, "revision", revision)
			}
		})
	}()
}

// newJobRevision returns a revision after which created jobs are new to all controllers, for jobs owned since
// the given window; 0 if none is known yet.
func (o *Owner) newJobRevision(gain uint64) uint64 {
	best := uint64(0)
	for window, revision := range o.gainRevisions {
		if window >= gain && (best == 0 || revision < best) {
			best = revision
		}
	}
	return best
}
