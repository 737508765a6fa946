package bookkeeping

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// What the store does with jobs and their results.

// userPatience is how long a user's request may wait for the state service.
const userPatience = 1700 * time.Millisecond

// CreateJob records a job as accepted, cancelled from the start if one that it
// needs was: with names that. ErrConflict: the id is known already.
func (s *Store) CreateJob(ctx context.Context, spec *protocol.JobSpec, with string) error {
	now := time.Now()
	rec := &jobRecord{Spec: spec, State: protocol.Pending, AcceptedMs: now.UnixMilli()}
	rec.Held = spec.Batch != nil && spec.Batch.Hold
	if with != "" {
		rec = s.brief((&Job{Spec: spec, Accepted: now}).ended(protocol.Cancelled, with, now))
	}
	if !s.fits(rec) {
		parts, sum, err := s.divide(spec)
		if err == nil {
			err = s.writeParts(ctx, spec.ID, sum, parts)
		}
		if err != nil {
			return err
		}
		rec.Spec, rec.Parts, rec.Sum = nil, len(parts), sum
	}
	return s.commit(ctx, transport.Urgent, userPatience, []protocol.Condition{{Key: jobKey(spec.ID)}, {Key: overKey(spec.ID)}},
		set(jobKey(spec.ID), rec, 0))
}

// ReadJob reads a job's record afresh; nil without an error means that the
// job was never accepted.
func (s *Store) ReadJob(ctx context.Context, id string) (*Job, error) {
	// A job that ends moves from one key to the other at once: if the first
	// is empty now, the second is not, unless there was never such a job.
	for _, key := range []string{jobKey(id), overKey(id)} {
		r, version, err := get[jobRecord](ctx, s, transport.Urgent, userPatience, key)
		if err == nil && r != nil {
			err = s.whole(ctx, id, r)
		}
		if err != nil {
			return nil, err
		}
		if r != nil && r.Spec == nil {
			return nil, fmt.Errorf("record %s describes no job", key)
		}
		if r != nil {
			j := (*Job)(nil).withRecord(r, version)
			j.Ready, j.Archived = j.Accepted, key == overKey(id)
			return j, nil
		}
	}
	return nil, nil
}

// ReadOver reads the record of a job that is probably long over, by one request
// if it is.
func (s *Store) ReadOver(ctx context.Context, id string) (*Job, error) {
	r, version, err := get[jobRecord](ctx, s, transport.Urgent, userPatience, overKey(id))
	switch {
	case err != nil:
		return nil, err
	case r == nil || r.Spec == nil:
		return s.ReadJob(ctx, id)
	}
	return longOver(r, version), nil
}

// ListOver reads records of jobs that are over, so many at most, in the order of
// their ids and from the one given on. Whoever looks for many that lie close
// together needs few requests.
func (s *Store) ListOver(ctx context.Context, from string, most int) (map[string]*Job, error) {
	last := len(from) - 1
	page, err := s.state.List(ctx, transport.Urgent, overPrefix, overKey(from[:last])+string(from[last]-1)+"~", most)
	if err != nil {
		return nil, err
	}
	out := map[string]*Job{}
	for _, p := range page.Pairs {
		id, _ := under(p.Key, overPrefix)
		if r := parse[jobRecord](p.Key, p.Value, false); r != nil && r.Spec != nil {
			out[id] = longOver(r, p.Version)
		}
	}
	return out, nil
}

// over is the one change that ends a job. It is made in place: moving the
// record to those that are over takes two changes more, which may wait until
// there is nothing better to write (Archive).
func (s *Store) over(j *Job, state string) protocol.Change {
	return set(jobKey(j.Spec.ID), s.brief(j.ended(state, "", time.Now())), 0)
}

// Archive moves jobs that are over to where a controller that starts does not
// read them, and drops their results. A job whose record changed meanwhile
// fails only those written with it. For a job that was cancelled with another
// one it is the first record that says so.
func (s *Store) Archive(ctx context.Context, jobs []*Job) {
	var conds []protocol.Condition
	var then []protocol.Change
	write := func() bool {
		err := s.commit(ctx, transport.Deferred, 10*time.Second, conds, then...)
		conds, then = nil, nil
		return err == nil
	}
	for _, j := range jobs {
		drops := dropsOf(j)
		if j.Record == protocol.Pending && len(drops) > s.txnOps-2 {
			// Its record still needs its description, which several transactions would drop:
			// it says first what the job is. The rest comes with a later round.
			if s.commit(ctx, transport.Deferred, 10*time.Second, []protocol.Condition{{Key: jobKey(j.Spec.ID), Version: j.Version}},
				set(jobKey(j.Spec.ID), s.brief(j.ended(j.State, j.With, time.Now())), 0)) != nil {
				return
			}
			continue
		}
		// A job of a great many tasks has more results than a transaction takes.
		for ; len(drops) > s.txnOps-2; drops = drops[s.txnOps-2:] {
			if s.commit(ctx, transport.Deferred, 10*time.Second, nil, drops[:s.txnOps-2]...) != nil {
				return
			}
		}
		if len(then)+len(drops)+2 > s.txnOps && !write() {
			return
		}
		ended := j.Ended
		if j.Record == protocol.Pending {
			ended = time.Now()
		}
		id, rec := j.Spec.ID, j.ended(j.State, j.With, ended)
		rec.Parts, rec.Sum = 0, ""
		conds = append(conds, protocol.Condition{Key: jobKey(id), Version: j.Version})
		then = append(then, set(overKey(id), s.brief(rec), 0), protocol.Change{Drop: jobKey(id)})
		then = append(then, drops...)
	}
	if len(then) > 0 {
		write()
	}
}

// CancelJob makes a job cancelled unless it is over already; the job that
// it gives back is as it stands afterwards, nil if it was never accepted.
// Those that need it are cancelled by the same record (chains).
func (s *Store) CancelJob(ctx context.Context, id string) (*Job, error) {
	for range 4 {
		j, err := s.ReadJob(ctx, id)
		if err != nil || j == nil || j.Final() {
			return j, err
		}
		err = s.commit(ctx, transport.Vital, userPatience, []protocol.Condition{{Key: jobKey(id), Version: j.Version}},
			s.over(j, protocol.Cancelled))
		if err == nil {
			j.Record, j.State = protocol.Cancelled, protocol.Cancelled
			return j, nil
		}
		if !errors.Is(err, ErrConflict) {
			return nil, err
		}
	}
	return nil, ErrConflict
}

// HoldJob holds a job, or releases it. The job that it gives back is as it stands
// afterwards, nil if it was never accepted; changed tells whether this very request
// changed it: of several that release a job one does.
func (s *Store) HoldJob(ctx context.Context, id string, held bool) (j *Job, changed bool, err error) {
	for range 4 {
		r, version, err := get[jobRecord](ctx, s, transport.Urgent, userPatience, jobKey(id))
		if err != nil {
			return nil, false, err
		}
		if r == nil || final(r.State) || r.Held == held {
			j, err := s.ReadJob(ctx, id)
			return j, false, err
		}
		if r.Held = held; !held {
			r.FreedMs = time.Now().UnixMilli()
		}
		err = s.commit(ctx, transport.Urgent, userPatience, []protocol.Condition{{Key: jobKey(id), Version: version}}, set(jobKey(id), r, 0))
		if err == nil {
			j, err := s.ReadJob(ctx, id)
			return j, true, err
		}
		if !errors.Is(err, ErrConflict) {
			return nil, false, err
		}
	}
	return nil, false, ErrConflict
}

// Outcome is a set of results of one job that are to be recorded.
type Outcome struct {
	Job   *Job
	Tasks []int
}

// Finishes tells whether the job is complete with the outcome's results.
func (o *Outcome) Finishes() bool {
	n := o.Job.DoneCount()
	for _, t := range o.Tasks {
		if !o.Job.TaskDone(t) {
			n++
		}
	}
	return n >= o.Job.Spec.Tasks
}

// changes are the conditions and changes that record the outcome.
func (s *Store) changes(o *Outcome) (conds []protocol.Condition, then []protocol.Change) {
	byChunk := map[int][]int{}
	for _, t := range o.Tasks {
		byChunk[t/ChunkTasks] = append(byChunk[t/ChunkTasks], t)
	}
	id := o.Job.Spec.ID
	ends := o.Finishes()
	for c := range byChunk {
		if !ends && len(byChunk) > s.txnOps {
			delete(byChunk, c) // a transaction takes no more; the rest comes next
		}
	}
	for c, tasks := range byChunk {
		var old Chunk
		if c < len(o.Job.Results) {
			old = o.Job.Results[c]
		}
		conds = append(conds, protocol.Condition{Key: resultKey(id, c), Version: old.Version})
		then = append(then, set(resultKey(id, c), chunkRecord{Bits: marked(old.Bits, tasks)}, 0))
	}
	conds = append(conds, protocol.Condition{Key: jobKey(id), Version: o.Job.Version})
	// All chunks must be the ones counted: guard those not written as well.
	if ends {
		for c, ch := range o.Job.Results {
			if byChunk[c] == nil {
				conds = append(conds, protocol.Condition{Key: resultKey(id, c), Version: ch.Version})
			}
		}
		then = []protocol.Change{s.over(o.Job, protocol.Done)}
	}
	return conds, then
}

// MostOutcomes is for how many jobs results should be written at once.
func (s *Store) MostOutcomes() int { return s.txnOps }

// Record writes outcomes, as many in one transaction as it may hold. A
// condition that fails fails all of them: then each is tried alone.
func (s *Store) Record(ctx context.Context, u transport.Urgency, outcomes []Outcome) {
	for len(outcomes) > 0 {
		var conds []protocol.Condition
		var then []protocol.Change
		n := 0
		for n < len(outcomes) {
			c, t := s.changes(&outcomes[n])
			if n > 0 && (len(then)+len(t) > s.txnOps || len(conds)+len(c) > 4*s.txnOps || n >= 16) {
				break
			}
			conds, then = append(conds, c...), append(then, t...)
			n++
		}
		batch := outcomes[:n]
		outcomes = outcomes[n:]
		if err := s.commit(ctx, u, 3*time.Second, conds, then...); errors.Is(err, ErrConflict) && n > 1 {
			for _, o := range batch {
				s.Record(ctx, u, []Outcome{o})
			}
		}
	}
}

// present asks for the present revision, and which of the jobs named have a
// record, whether they are over or not. No more of them may be named than
// mostUnknown.
func (s *Store) present(ctx context.Context, timeout time.Duration, ids []string) (revision uint64, recorded map[string]bool, err error) {
	var conds []protocol.Condition
	for _, id := range ids {
		conds = append(conds, protocol.Condition{Key: jobKey(id)}, protocol.Condition{Key: overKey(id)})
	}
	ans, _, err := s.try(ctx, transport.Urgent, timeout, conds, nil)
	if err != nil {
		return 0, nil, err
	}
	recorded = map[string]bool{}
	for _, key := range ans.Failed {
		id, ok := under(key, jobPrefix)
		if !ok {
			id, _ = under(key, overPrefix)
		}
		recorded[id] = true
	}
	return ans.Revision, recorded, nil
}

// mostUnknown is how many jobs one comparison can ask for, by both their keys.
func (s *Store) mostUnknown() int { return 2 * s.txnOps }
