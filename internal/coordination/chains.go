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

// urgency is how much the end of a job is wanted for its own sake.
func urgency(c *config.Config, j *bookkeeping.Job) bookkeeping.Urgency {
	u := bookkeeping.Urgency{Rank: j.Spec.Priority.Rank(), Filler: c.Filler(j.Spec)}
	if due, ok := j.Spec.Deadline(); ok {
		u.Deadline = j.Accepted.Add(due)
	}
	return u
}

// errNever: the jobs that a submission names can't all be done some day.
var errNever = errors.New("awaits")

// needsWithin bounds how long a submission's names are looked up, before its
// user is told to come again.
const needsWithin = 2500 * time.Millisecond

// needs finds out what became of the jobs that a submission names, and leaves
// in it those that are not over: what is done needs not be waited for, and
// would have to be looked up by every controller that starts. with is one that
// was cancelled. What is found is kept for a retry: a list of jobs long over
// may take several.
func (k *Controller) needs(ctx context.Context, spec *protocol.JobSpec) (with string, err error) {
	if len(spec.Needs) == 0 {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, needsWithin)
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
	if err := k.readNeeds(ctx, spec, known); err != nil {
		return "", err
	}
	var open []string
	for _, id := range spec.Needs {
		j := known[id]
		switch {
		case id == spec.ID || j == nil:
			return "", fmt.Errorf("%w: %s was never accepted", errNever, id)
		case j.Spec.Shape == protocol.Service:
			return "", fmt.Errorf("%w: %s is a service, which is never done", errNever, id)
		case j.State == protocol.Cancelled:
			with = cmp.Or(j.CancelledWith, id)
		case j.State != protocol.Done:
			open = append(open, id)
		}
	}
	spec.Needs = open
	return with, nil
}

// readNeeds reads the jobs that a submission names and that are not known, most
// of them long over. They are listed a few at a time, the more the closer together
// they turn out to lie. That one was never accepted is proved by reads that begin
// after the submission.
func (k *Controller) readNeeds(ctx context.Context, spec *protocol.JobSpec, known map[string]*bookkeeping.Job) error {
	most := 1
	for _, id := range spec.Needs { // sorted, as the records are
		if known[id] != nil || id == spec.ID {
			continue
		}
		listed, err := k.store.ListArchived(ctx, id, most)
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
					k.foundOver(j) // for the retry
				}
			}
		}
		if 4*hits >= most {
			most = min(2*most, transport.MaxPage)
		} else {
			most = max(1, most/2)
		}
	}
	return nil
}

// foundOver takes in a job that is over and that the replica does not have.
func (k *Controller) foundOver(j *bookkeeping.Job) {
	j.RingPosition = Place(k.cfg, j.Spec)
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
