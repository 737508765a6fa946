package coordination

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Chains of jobs, as a submission sees them. What follows for a job from the
// others is worked out with the replica (bookkeeping, chains.go).

// urgencyOf is how much the end of a job is wanted for its own sake.
func urgencyOf(c *config.Config, j *bookkeeping.Job) bookkeeping.Urgency {
	u := bookkeeping.Urgency{Rank: j.Spec.Priority.Rank(), Filler: c.Filler(j.Spec)}
	if due, ok := j.Spec.Deadline(); ok {
		u.End = j.Accepted.Add(due)
	}
	return u
}

// errUnsatisfiable: the jobs that a submission names can't all be done some day.
var errUnsatisfiable = errors.New("awaits")

// needsTimeout bounds how long a submission's names are looked up, before its
// user is told to come again.
const needsTimeout = 2500 * time.Millisecond

// resolveNeeds finds out what became of the jobs that a submission names, and leaves
// in it those that are not over: what is done resolveNeeds not be waited for, and
// would have to be looked up by every controller that starts. with is one that
// was cancelled. What is found is kept for a retry: a list of jobs long over
// may take several.
func (k *Controller) resolveNeeds(ctx context.Context, spec *protocol.JobSpec) (cancelledWith string, err error) {
	if len(spec.Needs) == 0 {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, needsTimeout)
	defer cancel()
	known, ok := askFor(ctx, &k.owner.actor, func() map[string]*bookkeeping.Job {
		for _, p := range k.owner.peers {
			if p.generation == 1 {
				// A controller of the version before chains may own the job, and
				// would run it at once. Once no such version is left, this can go.
				return nil
			}
		}
		out := make(map[string]*bookkeeping.Job, len(spec.Needs))
		for _, id := range spec.Needs {
			if js := k.owner.jobs[id]; js != nil {
				out[id] = js.job
			}
		}
		return out
	})
	if !ok || known == nil {
		return "", ErrLater
	}
	if err := k.readUnknownNeeds(ctx, spec, known); err != nil {
		return "", err
	}
	var unfinished []string
	for _, id := range spec.Needs {
		j := known[id]
		switch {
		case id == spec.ID || j == nil:
			return "", fmt.Errorf("%w: %s was never accepted", errUnsatisfiable, id)
		case j.Spec.Shape == protocol.Service:
			return "", fmt.Errorf("%w: %s is a service, which is never done", errUnsatisfiable, id)
		case j.State == protocol.Cancelled:
			cancelledWith = cmp.Or(j.With, id)
		case j.State != protocol.Done:
			unfinished = append(unfinished, id)
		}
	}
	spec.Needs = unfinished
	return cancelledWith, nil
}

// readUnknownNeeds reads the jobs that a submission names and that are not known, most
// of them long over. They are listed a few at a time, the more the closer together
// they turn out to lie. That one was never accepted is proved by reads that begin
// after the submission.
func (k *Controller) readUnknownNeeds(ctx context.Context, spec *protocol.JobSpec, known map[string]*bookkeeping.Job) error {
	pageSize := 1
	for _, id := range spec.Needs { // sorted, as the records are
		if known[id] != nil || id == spec.ID {
			continue
		}
		listed, err := k.store.ListOver(ctx, id, pageSize)
		if err == nil && listed[id] == nil {
			listed[id], err = k.store.ReadJob(ctx, id)
		}
		if err != nil {
			return ErrLater
		}
		if listed[id] == nil {
			return nil // nothing more need be known
		}
		hits := 0
		for _, id := range spec.Needs {
			if j := listed[id]; j != nil && known[id] == nil {
				known[id] = j
				hits++
				if j.Final() {
					k.addFinalJob(j) // for the retry
				}
			}
		}
		if 4*hits >= pageSize {
			pageSize = min(2*pageSize, transport.MaxPage)
		} else {
			pageSize = max(1, pageSize/2)
		}
	}
	return nil
}

// addFinalJob takes in a job that is over and that the replica does not have.
func (k *Controller) addFinalJob(j *bookkeeping.Job) {
	j.Seat = Place(k.cfg, j.Spec)
	k.holder.tell(func() {
		if k.holder.jobs[j.Spec.ID] == nil {
			k.holder.jobChanged(j)
		}
	})
	k.owner.tell(func() {
		if k.owner.jobs[j.Spec.ID] == nil {
			k.owner.jobChanged(j)
		}
	})
}

// memberChanged notes what a sibling's version understands.
func (o *Owner) memberChanged(name string, m *bookkeeping.Member) {
	p := o.peers[name]
	switch {
	case p == nil:
	case m == nil:
		p.generation = 0
	default:
		p.generation = max(1, m.Generation)
	}
}
