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

// Dependencies of a submitted job. What follows from them for other jobs is worked out with the replica
// (package bookkeeping).

// urgencyOf is the urgency of a job by itself, without the jobs that need it.
func urgencyOf(c *config.Config, j *bookkeeping.Job) bookkeeping.Urgency {
	u := bookkeeping.Urgency{Rank: j.Spec.Priority.Rank(), Filler: c.Filler(j.Spec)}
	if due, ok := j.Spec.Deadline(); ok {
		u.Deadline = j.Accepted.Add(due)
	}
	return u
}

// errUnsatisfiable: the jobs that a submission names can never all be done.
var errUnsatisfiable = errors.New("awaits")

// needsTimeout bounds the lookup of a submission's dependencies; after it the user is told to retry.
const needsTimeout = 2500 * time.Millisecond

// resolveNeeds looks up the jobs that a submission names, and keeps in it only those that are not final: a
// done job need not be waited for, and every starting controller would have to look it up. cancelledWith names
// a cancelled one. What was found is kept for a retry, since a long list of final jobs may take several.
func (k *Controller) resolveNeeds(ctx context.Context, spec *protocol.JobSpec) (cancelledWith string, err error) {
	if len(spec.Needs) == 0 {
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, needsTimeout)
	defer cancel()
	known, ok := askFor(ctx, &k.owner.actor, func() map[string]*bookkeeping.Job {
		for _, p := range k.owner.peers {
			if p.generation == 1 {
				// A controller of the version before dependencies may own the job and would run it at once.
				// This check can go once no such version is left.
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
		return "", ErrRetryLater
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
			cancelledWith = cmp.Or(j.CancelledWith, id)
		case j.State != protocol.Done:
			unfinished = append(unfinished, id)
		}
	}
	spec.Needs = unfinished
	return cancelledWith, nil
}

// readUnknownNeeds reads the named jobs that are not known, most of them long final. It lists several records
// per request, more where many of the listed ones are named. That a job was never accepted is proved by reads
// that begin after the submission.
func (k *Controller) readUnknownNeeds(ctx context.Context, spec *protocol.JobSpec, known map[string]*bookkeeping.Job) error {
	pageSize := 1
	for _, id := range spec.Needs { // sorted, as the records are
		if known[id] != nil || id == spec.ID {
			continue
		}
		listed, err := k.store.ListArchived(ctx, id, pageSize)
		if err == nil && listed[id] == nil {
			listed[id], err = k.store.ReadJob(ctx, id)
		}
		if err != nil {
			return ErrRetryLater
		}
		if listed[id] == nil {
			return nil // the submission is refused for this job alone
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

// addFinalJob adds a final job that the replica does not have.
func (k *Controller) addFinalJob(j *bookkeeping.Job) {
	j.RingPosition = SeatFor(k.cfg, j.Spec)
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

// memberChanged records the generation of a sibling's software.
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
