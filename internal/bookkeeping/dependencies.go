package bookkeeping

import (
	"cmp"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Dependencies between jobs. No state derived from dependencies is recorded: every controller computes it by
// the same rules along the edges between jobs, so that the record of one cancelled job cancels any number of
// jobs that need it.

// Urgency is how urgently a job has to end.
type Urgency struct {
	Rank int // rank of the job's priority
	// Filler: nobody waits for the job.
	Filler bool
	// Deadline is when the job has to be over, zero if it has no deadline.
	Deadline time.Time
}

// DependencyState is what follows for a job from the jobs that it needs and from those that need it.
type DependencyState struct {
	// WaitingOn is the number of needed jobs that are not known to be done, plus one while the job is held
	// or delayed. NeedsUnknown: the state of at least one needed job is unknown to this controller.
	WaitingOn    int
	NeedsUnknown bool
	// Ready is when the last needed job ended, at the earliest when the job was accepted; zero while the job
	// waits.
	Ready time.Time
	// CancelledWith is the job whose cancellation cancelled this one.
	CancelledWith string
	// Urgency is the job's own, or that of unfinished jobs that need it.
	Urgency
	// HasDependents: at least one job whose own record is not final names this one as needed.
	HasDependents bool
	// WaitsFor are some of the jobs that this one waits for, NeededBy some of those that wait for it.
	WaitsFor, NeededBy []string
}

// maxListedJobs limits the jobs listed in WaitsFor and in NeededBy.
const maxListedJobs = 16

// Further values of node.state, for jobs that others name but that have no known record.
const (
	stateUnknown       = ""      // this replica knows nothing about the job
	stateNeverAccepted = "never" // the job was never accepted: the record that names it is invalid
)

// node is a job that names others or that others name.
type node struct {
	id string
	// job is the job as its record was last seen, nil if the replica does not have it.
	job *Job
	// state is the effective state, see Job.State.
	state         string
	cancelledWith string // the job whose cancellation cancelled this one
	ended         time.Time
	needs         []*node
	// dependents are the jobs that name this one and whose records are not final.
	dependents map[*node]bool
	// unmet is the number of needs that are not done, unknown the number of those whose state is unknown.
	// ready is when the last of the needs that are done ended.
	unmet, unknown      int
	ready               time.Time
	ownUrgency, urgency Urgency
}

func final(state string) bool { return state == protocol.Done || state == protocol.Cancelled }

// expectedDuration is how long a job is expected to take from when it can start.
func expectedDuration(j *Job) time.Duration { return j.Spec.Estimate() + interJobDelay }

// interJobDelay is the expected time from the end of one job to the start of the next: reporting results,
// writing records and placement.
const interJobDelay = 2 * time.Second

// dependencyGraph is the graph of jobs that name one another. Valid jobs name only jobs that were accepted
// earlier, so valid records form no cycles. All traversals are iterative, since dependency chains may be long.
type dependencyGraph struct {
	nodes map[string]*node
	// unknown are the jobs that others name and that the replica knows nothing about.
	unknown map[string]bool
	// urgencyOf returns a job's own urgency.
	urgencyOf func(*Job) Urgency
	// changed collects the jobs whose dependency state has changed.
	changed map[*node]bool
}

func newDependencyGraph(urgencyOf func(*Job) Urgency) *dependencyGraph {
	return &dependencyGraph{nodes: map[string]*node{}, unknown: map[string]bool{}, urgencyOf: urgencyOf, changed: map[*node]bool{}}
}

// update takes in a job as its record has it, and returns the other jobs whose dependency state changed. lookup
// returns the replica's version of a job.
func (g *dependencyGraph) update(j *Job, lookup func(id string) *Job) []string {
	id := j.Spec.ID
	n := g.nodes[id]
	switch {
	case n == nil && (len(j.Spec.Needs) == 0 || final(j.RecordedState)):
		return nil
	case n != nil && n.job != nil && n.job.RecordedState == j.RecordedState:
		n.job = j // only the results changed, or the record was archived
		return nil
	case n == nil:
		n = g.node(id)
	}
	isNew := n.job == nil
	n.job = j
	delete(g.unknown, id)
	switch {
	case final(j.RecordedState):
		g.setState(n, j.RecordedState, j.CancelledWith, j.Ended)
		g.disconnect(n)
	case isNew:
		n.ownUrgency = g.urgencyOf(j)
		g.connect(n, lookup)
		g.setState(n, protocol.Pending, "", time.Time{})
		n.urgency = g.effectiveUrgency(n)
		g.raiseNeeds(n)
	}
	return g.takeChanged(n)
}

// resolve takes in the result of looking up a job that the replica does not have. A nil job was never accepted.
func (g *dependencyGraph) resolve(id string, j *Job) []string {
	n := g.nodes[id]
	if n == nil || n.state != stateUnknown {
		delete(g.unknown, id)
		return nil
	}
	switch {
	case j == nil:
		delete(g.unknown, id)
		g.setState(n, stateNeverAccepted, "", time.Time{})
	case final(j.RecordedState):
		delete(g.unknown, id)
		g.setState(n, j.RecordedState, j.CancelledWith, j.Ended)
	}
	return g.takeChanged(nil)
}

// takeChanged returns the jobs whose dependency state changed, except the given one, and clears the set.
func (g *dependencyGraph) takeChanged(except *node) (ids []string) {
	for n := range g.changed {
		if n != except && n.job != nil {
			ids = append(ids, n.id)
		}
	}
	clear(g.changed)
	return ids
}

func (g *dependencyGraph) node(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id, dependents: map[*node]bool{}}
		g.nodes[id] = n
	}
	return n
}

// connect links a job to the jobs that it names.
func (g *dependencyGraph) connect(n *node, lookup func(id string) *Job) {
	for _, id := range n.job.Spec.Needs {
		need := g.nodes[id]
		if need == nil {
			need = g.node(id)
			if j := lookup(id); j != nil {
				need.job, need.state, need.cancelledWith, need.ended, need.ownUrgency = j, j.State, j.CancelledWith, j.Ended, g.urgencyOf(j)
				need.urgency = need.ownUrgency
			} else {
				g.unknown[id] = true
			}
		}
		n.needs = append(n.needs, need)
		need.dependents[n] = true
		g.changed[need] = true
		n.unmet++
		g.countNeed(n, need)
		if need.state == stateUnknown {
			n.unknown++
		}
	}
	for _, need := range n.needs {
		if need.state == protocol.Cancelled {
			g.setState(n, protocol.Cancelled, cmp.Or(need.cancelledWith, need.id), need.ended)
			return
		}
	}
}

// countNeed marks n as changed and, if the given needed job is done, counts that need as met.
func (g *dependencyGraph) countNeed(n, need *node) {
	if need.state == protocol.Done {
		n.unmet--
		if need.ended.After(n.ready) {
			n.ready = need.ended
		}
	}
	g.changed[n] = true
}

// setState sets the state of a job and propagates it to the jobs that name it. Final states never change.
func (g *dependencyGraph) setState(n *node, state, cancelledWith string, ended time.Time) {
	type step struct {
		n                    *node
		state, cancelledWith string
		ended                time.Time
	}
	for pending := []step{{n, state, cancelledWith, ended}}; len(pending) > 0; {
		s := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		n, was := s.n, s.n.state
		if final(was) || was == s.state {
			continue
		}
		n.state, n.ended = s.state, s.ended
		if n.state == protocol.Cancelled {
			n.cancelledWith = cmp.Or(s.cancelledWith, n.id)
		}
		g.changed[n] = true
		for dependent := range n.dependents {
			if was == stateUnknown {
				dependent.unknown--
			}
			g.countNeed(dependent, n)
			if n.state == protocol.Cancelled {
				pending = append(pending, step{dependent, protocol.Cancelled, n.cancelledWith, n.ended})
			}
		}
		if final(n.state) {
			for _, need := range n.needs {
				g.recomputeUrgency(need)
			}
		}
	}
}

// disconnect unlinks a job whose record is final from the jobs that it named, and removes nodes that no other
// job names any more.
func (g *dependencyGraph) disconnect(n *node) {
	for _, need := range n.needs {
		delete(need.dependents, n)
		g.changed[need] = true
		g.removeIfUnused(need)
	}
	n.needs = nil
	g.removeIfUnused(n)
}

func (g *dependencyGraph) removeIfUnused(n *node) {
	if len(n.dependents) == 0 && (n.job == nil || final(n.job.RecordedState) || len(n.job.Spec.Needs) == 0) {
		delete(g.nodes, n.id)
		delete(g.unknown, n.id)
	}
}

// propagates reports whether urgency propagates from a job to one that it names. It does not between jobs that
// are over, nor along an invalid record that names a younger job, which could form a cycle.
func propagates(from, to *node) bool {
	return from.state == protocol.Pending && !final(to.state) && to.job != nil && to.job.Created < from.job.Created
}

// raisedBy returns u raised to what the urgency of a dependent requires.
func (u Urgency) raisedBy(dependent *node) Urgency {
	u.Rank, u.Filler = max(u.Rank, dependent.urgency.Rank), u.Filler && dependent.urgency.Filler
	if !dependent.urgency.Deadline.IsZero() {
		if end := dependent.urgency.Deadline.Add(-expectedDuration(dependent.job)); u.Deadline.IsZero() || end.Before(u.Deadline) {
			u.Deadline = end
		}
	}
	return u
}

// effectiveUrgency is a job's own urgency, raised by the jobs that need it.
func (g *dependencyGraph) effectiveUrgency(n *node) Urgency {
	u := n.ownUrgency
	for dependent := range n.dependents {
		if propagates(dependent, n) {
			u = u.raisedBy(dependent)
		}
	}
	return u
}

// raiseNeeds propagates a job's urgency to all jobs that it needs, directly and indirectly.
func (g *dependencyGraph) raiseNeeds(n *node) {
	for pending := []*node{n}; len(pending) > 0; {
		n := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, need := range n.needs {
			if u := need.urgency.raisedBy(n); propagates(n, need) && u != need.urgency {
				need.urgency = u
				g.changed[need] = true
				pending = append(pending, need)
			}
		}
	}
}

// recomputeUrgency recomputes the urgency of a job, and of all that it needs, after a job that needs it ended.
func (g *dependencyGraph) recomputeUrgency(n *node) {
	for pending := []*node{n}; len(pending) > 0; {
		n := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if final(n.state) || n.job == nil {
			continue
		}
		if u := g.effectiveUrgency(n); u != n.urgency {
			n.urgency = u
			g.changed[n] = true
			pending = append(pending, n.needs...)
		}
	}
}

// applyTo sets the dependency state of a job that is not published yet.
func (g *dependencyGraph) applyTo(j *Job) {
	j.State = j.RecordedState
	defer j.applyHold()
	n := g.nodes[j.Spec.ID]
	if n == nil {
		j.DependencyState = DependencyState{Ready: j.Accepted, Urgency: g.urgencyOf(j), CancelledWith: j.CancelledWith}
		return
	}
	j.DependencyState = DependencyState{WaitingOn: n.unmet, NeedsUnknown: n.unknown > 0, Urgency: n.urgency, CancelledWith: n.cancelledWith, HasDependents: len(n.dependents) > 0}
	if final(n.state) {
		j.State = n.state
	}
	if n.cancelledWith == n.id {
		j.CancelledWith = ""
	}
	if n.unmet == 0 {
		if j.Ready = j.Accepted; n.ready.After(j.Ready) {
			j.Ready = n.ready
		}
	}
	for _, need := range n.needs {
		if need.state != protocol.Done && len(j.WaitsFor) < maxListedJobs {
			j.WaitsFor = append(j.WaitsFor, need.id)
		}
	}
	for dependent := range n.dependents {
		if len(j.NeededBy) == maxListedJobs {
			break
		}
		j.NeededBy = append(j.NeededBy, dependent.id)
	}
	slices.Sort(j.NeededBy)
}

// EarliestStart is the time before which no task of the job may start, zero if there is no such time.
func (j *Job) EarliestStart() time.Time {
	if j.Spec.Batch == nil || j.Spec.Batch.FromMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.Spec.Batch.FromMs)
}

// applyHold makes a job that is held or delayed wait as if it needed one more job, so that placement, renting
// and the holder's admission check treat a hold like an unmet need. Ready then counts from the release.
func (j *Job) applyHold() {
	from := j.EarliestStart()
	switch {
	case j.Final():
	case j.Held || from.After(time.Now()):
		j.WaitingOn, j.Ready = j.WaitingOn+1, time.Time{}
	case j.WaitingOn == 0 && from.After(j.Ready) && from.After(j.Released):
		j.Ready = from
	case j.WaitingOn == 0 && j.Released.After(j.Ready):
		j.Ready = j.Released
	}
}

// unknownJobs returns up to limit of the named jobs that the replica knows nothing about.
func (g *dependencyGraph) unknownJobs(limit int) (ids []string) {
	for id := range g.unknown {
		if len(ids) == limit {
			break
		}
		ids = append(ids, id)
	}
	return ids
}
