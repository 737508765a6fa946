package coordination

import (
	"slices"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// Which jobs are an owner's, and since when.

// Token is a job's place on the ring. Jobs of a team with a limit stand where
// the team's name does, so that one controller grants all that the team may
// use (invariant 7).
func Token(c *config.Config, s *protocol.JobSpec) int64 {
	if t := c.Team(s.Team); t != nil && t.Limited() {
		return protocol.RingToken(s.Team)
	}
	return protocol.RingToken(s.ID)
}

func (o *Owner) window() *bookkeeping.Window {
	if len(o.windows) == 0 {
		return nil
	}
	return o.windows[len(o.windows)-1]
}

func (o *Owner) windowChanged(w *bookkeeping.Window) {
	if o.latest == nil || w.Number > o.latest.Number {
		if o.latest != nil && (o.window() == nil || o.latest.Number > o.window().Number) {
			o.obey(o.latest) // it was superseded before it began here
		}
		o.latest = w
	}
}

// obey adopts a window and works out which jobs are ours, since when.
func (o *Owner) obey(w *bookkeeping.Window) {
	cur := o.window()
	if cur != nil && w.Number != cur.Number+1 {
		o.windows = nil // what happened in between is not known
	}
	if n := len(o.windows); n > 0 && slices.Equal(o.windows[n-1].Owners, w.Owners) {
		// Nothing changes hands: keep the first of equal windows as well,
		// since it is the one that gains count from.
		if n > 1 && slices.Equal(o.windows[n-2].Owners, w.Owners) {
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
	gain := uint64(0)
	for i := len(o.windows) - 1; i >= 0 && o.windows[i].Owner(token) == o.cfg.Name; i-- {
		gain = o.windows[i].Number
	}
	return gain
}

// settle brings up to date whether, and since when, a job is ours.
func (o *Owner) settle(js *jobState) {
	gain := o.gainOf(js.job.Token)
	if gain == js.gain || gain != 0 && js.gain != 0 && gain > js.gain && len(o.windows) > 1 {
		return // unchanged, or only the memory of windows was cut
	}
	js.gain, js.seen, js.stale = gain, map[int]bool{}, true
	born := o.bornBy(gain)
	js.settled = gain != 0 && born != 0 && js.job.Created > born
	if gain != 0 && !js.settled {
		o.unclear[js.job.Spec.ID] = js
	}
}

// presentSince is the first window in a row with the present owners, 0 if
// there is none yet.
func (o *Owner) presentSince() uint64 {
	since := uint64(0)
	for i := len(o.windows) - 1; i >= 0 && slices.Equal(o.windows[i].Owners, o.window().Owners); i-- {
		since = o.windows[i].Number
	}
	return since
}

// learnBorn finds out from which revision on jobs are surely new to all: all
// holders had promised to obey only the present owners. It does so for the
// first window with these owners, since no part of a range was gained later.
func (o *Owner) learnBorn() {
	g := o.presentSince()
	if g == 0 || o.born[g] != 0 || o.asking[g] || !o.board.AllComplete(o.slots, g) {
		return
	}
	o.asking[g] = true
	go func() {
		rev, err := o.store.Revision(o.ctx)
		o.tell(func() {
			delete(o.asking, g)
			if err == nil {
				if len(o.born) > 64 {
					clear(o.born)
				}
				o.born[g] = rev
			}
		})
	}()
}

// bornBy is a revision after which created jobs are new to everyone, for jobs
// that are ours since the window given; 0 if none is known yet.
func (o *Owner) bornBy(gain uint64) uint64 {
	best := uint64(0)
	for g, rev := range o.born {
		if g >= gain && (best == 0 || rev < best) {
			best = rev
		}
	}
	return best
}
