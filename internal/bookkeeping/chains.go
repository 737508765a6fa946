package bookkeeping

import (
	"cmp"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Chains: what follows for a job from those that it needs and from those that
// need it. Nothing of it is recorded. It is worked out along the edges between
// jobs, by one rule on every controller, so that one record says of any number
// of jobs that they are cancelled.

// Urgency is how much a job's end is wanted.
type Urgency struct {
	Rank int // of its priority
	// Filler: nobody waits for it.
	Filler bool
	// End is when it has to be over, zero if nobody said.
	End time.Time
}

// Place is a job's place among others.
type Place struct {
	// Waits is how many jobs that it needs are not known to be done; of some
	// of them nothing at all is known here if Unclear is set.
	Waits   int
	Unclear bool
	// Ready is when the last of them ended, not before the job was accepted;
	// zero while it waits.
	Ready time.Time
	// With is the job that it was cancelled with.
	With string
	// Urgency is the job's own, or that of unfinished jobs that need it.
	Urgency
	// Needed: the record of some job that names this one does not say yet
	// that it is over.
	Needed bool
	// For and Behind are some of the jobs that it waits for, and of those that
	// wait for it.
	For, Behind []string
}

// maxNamed bounds the jobs that a place names.
const maxNamed = 16

// The states of a job that another one names, beside those of a job.
const (
	stateUnknown = ""      // nothing is known of it here
	stateNever   = "never" // it was never accepted: a senseless record names it
)

// link is a job that names others, or is named.
type link struct {
	id string
	// job is the record last seen, nil if the replica has none.
	job *Job
	// state is what the job is for all purposes.
	state string
	root  string // the job that it was cancelled with
	ended time.Time
	needs []*link
	// after are the jobs that name this one and whose records are not final.
	after map[*link]bool
	// open is how many of needs are not done, unclear of how many nothing is
	// known; ready is when the last of those that are done ended.
	open, unclear int
	ready         time.Time
	own, urgency  Urgency
}

func final(state string) bool { return state == protocol.Done || state == protocol.Cancelled }

// work is how long a job is expected to take once it can start.
func work(j *Job) time.Duration { return j.Spec.Estimate() + betweenJobs }

// betweenJobs is what passes between the end of one job and the start of the
// next: results, records, placing.
const betweenJobs = 2 * time.Second

// chains is the graph of jobs that name one another. A job names only such as
// were accepted before, so there are no cycles. Work is done by lists, never
// by recursion: chains may be long.
type chains struct {
	links map[string]*link
	// unknown are jobs that are named and of which the replica knows nothing.
	unknown map[string]bool
	// weigh gives a job's own urgency.
	weigh func(*Job) Urgency
	// changed collects the jobs whose place is not what it was.
	changed map[*link]bool
}

func newChains(weigh func(*Job) Urgency) *chains {
	return &chains{links: map[string]*link{}, unknown: map[string]bool{}, weigh: weigh, changed: map[*link]bool{}}
}

// take takes in a job as its record has it and names the others whose place
// changed. known finds what the replica has of a job.
func (c *chains) take(j *Job, known func(id string) *Job) []string {
	id := j.Spec.ID
	l := c.links[id]
	switch {
	case l == nil && (len(j.Spec.Needs) == 0 || final(j.Record)):
		return nil
	case l != nil && l.job != nil && l.job.Record == j.Record:
		l.job = j // results, or the record was moved
		return nil
	case l == nil:
		l = c.link(id)
	}
	fresh := l.job == nil
	l.job = j
	delete(c.unknown, id)
	switch {
	case final(j.Record):
		c.settle(l, j.Record, j.With, j.Ended)
		c.leave(l)
	case fresh:
		l.own = c.weigh(j)
		c.connect(l, known)
		c.settle(l, protocol.Pending, "", time.Time{})
		l.urgency = c.asked(l)
		c.raise(l)
	}
	return c.moved(l)
}

// learn takes in what was found out about a job that the replica does not have;
// nil: it was never accepted.
func (c *chains) learn(id string, j *Job) []string {
	l := c.links[id]
	if l == nil || l.state != stateUnknown {
		delete(c.unknown, id)
		return nil
	}
	switch {
	case j == nil:
		delete(c.unknown, id)
		c.settle(l, stateNever, "", time.Time{})
	case final(j.Record):
		delete(c.unknown, id)
		c.settle(l, j.Record, j.With, j.Ended)
	}
	return c.moved(nil)
}

// moved gives the jobs whose place changed, but for the one that is at hand.
func (c *chains) moved(at *link) (ids []string) {
	for l := range c.changed {
		if l != at && l.job != nil {
			ids = append(ids, l.id)
		}
	}
	clear(c.changed)
	return ids
}

func (c *chains) link(id string) *link {
	l := c.links[id]
	if l == nil {
		l = &link{id: id, after: map[*link]bool{}}
		c.links[id] = l
	}
	return l
}

// connect ties a job to those that it names.
func (c *chains) connect(l *link, known func(id string) *Job) {
	for _, id := range l.job.Spec.Needs {
		n := c.links[id]
		if n == nil {
			n = c.link(id)
			if j := known(id); j != nil {
				n.job, n.state, n.root, n.ended, n.own = j, j.State, j.With, j.Ended, c.weigh(j)
				n.urgency = n.own
			} else {
				c.unknown[id] = true
			}
		}
		l.needs = append(l.needs, n)
		n.after[l] = true
		c.changed[n] = true
		l.open++
		c.count(l, n)
		if n.state == stateUnknown {
			l.unclear++
		}
	}
	for _, n := range l.needs {
		if n.state == protocol.Cancelled {
			c.settle(l, protocol.Cancelled, cmp.Or(n.root, n.id), n.ended)
			return
		}
	}
}

// count takes in, for one that names n, what n is now.
func (c *chains) count(l, n *link) {
	if n.state == protocol.Done {
		l.open--
		if n.ended.After(l.ready) {
			l.ready = n.ended
		}
	}
	c.changed[l] = true
}

// settle gives a job its state and carries on to those that name it. Final
// states stay.
func (c *chains) settle(l *link, state, root string, ended time.Time) {
	type step struct {
		l           *link
		state, root string
		ended       time.Time
	}
	for todo := []step{{l, state, root, ended}}; len(todo) > 0; {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		l, was := s.l, s.l.state
		if final(was) || was == s.state {
			continue
		}
		l.state, l.ended = s.state, s.ended
		if l.state == protocol.Cancelled {
			l.root = cmp.Or(s.root, l.id)
		}
		c.changed[l] = true
		for a := range l.after {
			if was == stateUnknown {
				a.unclear--
			}
			c.count(a, l)
			if l.state == protocol.Cancelled {
				todo = append(todo, step{a, protocol.Cancelled, l.root, l.ended})
			}
		}
		if final(l.state) {
			for _, n := range l.needs {
				c.lower(n)
			}
		}
	}
}

// leave unties a job whose record is final from those that it named, and drops
// what nobody names any more.
func (c *chains) leave(l *link) {
	for _, n := range l.needs {
		delete(n.after, l)
		c.changed[n] = true
		c.drop(n)
	}
	l.needs = nil
	c.drop(l)
}

func (c *chains) drop(l *link) {
	if len(l.after) == 0 && (l.job == nil || final(l.job.Record) || len(l.job.Spec.Needs) == 0) {
		delete(c.links, l.id)
		delete(c.unknown, l.id)
	}
}

// passes tells whether urgency flows from a job back to one that it names: not
// between jobs that are over, nor along a senseless record that names a
// younger job, which might lead round in a circle.
func passes(from, to *link) bool {
	return from.state == protocol.Pending && !final(to.state) && to.job != nil && to.job.Created < from.job.Created
}

// with gives u raised by what the urgency of one that needs it asks for.
func (u Urgency) with(a *link) Urgency {
	u.Rank, u.Filler = max(u.Rank, a.urgency.Rank), u.Filler && a.urgency.Filler
	if !a.urgency.End.IsZero() {
		if end := a.urgency.End.Add(-work(a.job)); u.End.IsZero() || end.Before(u.End) {
			u.End = end
		}
	}
	return u
}

// asked is how urgent a job is, by itself and for those that need it.
func (c *chains) asked(l *link) Urgency {
	u := l.own
	for a := range l.after {
		if passes(a, l) {
			u = u.with(a)
		}
	}
	return u
}

// raise carries a job's urgency back to all that it needs.
func (c *chains) raise(l *link) {
	for todo := []*link{l}; len(todo) > 0; {
		l := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, n := range l.needs {
			if u := n.urgency.with(l); passes(l, n) && u != n.urgency {
				n.urgency = u
				c.changed[n] = true
				todo = append(todo, n)
			}
		}
	}
}

// lower works out anew how urgent a job is, after one that needs it ended, and
// all before it.
func (c *chains) lower(l *link) {
	for todo := []*link{l}; len(todo) > 0; {
		l := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if final(l.state) || l.job == nil {
			continue
		}
		if u := c.asked(l); u != l.urgency {
			l.urgency = u
			c.changed[l] = true
			todo = append(todo, l.needs...)
		}
	}
}

// place gives a job, which nobody else sees yet, its place.
func (c *chains) place(j *Job) {
	j.State = j.Record
	defer j.hold()
	l := c.links[j.Spec.ID]
	if l == nil {
		j.Place = Place{Ready: j.Accepted, Urgency: c.weigh(j), With: j.With}
		return
	}
	j.Place = Place{Waits: l.open, Unclear: l.unclear > 0, Urgency: l.urgency, With: l.root, Needed: len(l.after) > 0}
	if final(l.state) {
		j.State = l.state
	}
	if l.root == l.id {
		j.With = ""
	}
	if l.open == 0 {
		if j.Ready = j.Accepted; l.ready.After(j.Ready) {
			j.Ready = l.ready
		}
	}
	for _, n := range l.needs {
		if n.state != protocol.Done && len(j.For) < maxNamed {
			j.For = append(j.For, n.id)
		}
	}
	for a := range l.after {
		if len(j.Behind) == maxNamed {
			break
		}
		j.Behind = append(j.Behind, a.id)
	}
	slices.Sort(j.Behind)
}

// From is the time of day before which no task of the job starts, zero if any will do.
func (j *Job) From() time.Time {
	if j.Spec.Batch == nil || j.Spec.Batch.FromMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.Spec.Batch.FromMs)
}

// hold has a job that is held, or whose time has not come, wait as for one job more,
// so that placing, renting and the holder's admission check go by it as they do by needs;
// times count from its release.
func (j *Job) hold() {
	from := j.From()
	switch {
	case j.Final():
	case j.Held || from.After(time.Now()):
		j.Waits, j.Ready = j.Waits+1, time.Time{}
	case j.Waits == 0 && from.After(j.Ready) && from.After(j.Freed):
		j.Ready = from
	case j.Waits == 0 && j.Freed.After(j.Ready):
		j.Ready = j.Freed
	}
}

// lookUps gives some of the jobs of which nothing is known.
func (c *chains) lookUps(most int) (ids []string) {
	for id := range c.unknown {
		if len(ids) == most {
			break
		}
		ids = append(ids, id)
	}
	return ids
}
