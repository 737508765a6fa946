package bookkeeping

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Operations on jobs and their results.

// userTimeout limits how long a user's request waits for the state service.
const userTimeout = 1700 * time.Millisecond

// CreateJob records a job as accepted. A non-empty cancelledWith names a cancelled job that this one needs:
// the job is then cancelled from the start. ErrConflict means that the id is already in use.
func (s *Store) CreateJob(ctx context.Context, spec *protocol.JobSpec, cancelledWith string) error {
	now := time.Now()
	rec := &jobRecord{Spec: spec, State: protocol.Pending, AcceptedMs: now.UnixMilli()}
	rec.Held = spec.Batch != nil && spec.Batch.Hold
	if cancelledWith != "" {
		rec = s.trimToFit((&Job{Spec: spec, Accepted: now}).endedRecord(protocol.Cancelled, cancelledWith, now))
	}
	if !s.fits(rec) {
		parts, sum, err := s.splitValue(spec)
		if err == nil {
			err = s.writeParts(ctx, spec.ID, sum, parts)
		}
		if err != nil {
			return err
		}
		rec.Spec, rec.PartCount, rec.Sum = nil, len(parts), sum
	}
	return s.commit(ctx, transport.Urgent, userTimeout, []protocol.Condition{{Key: jobKey(spec.ID)}, {Key: archiveKey(spec.ID)}},
		set(jobKey(spec.ID), rec, 0))
}

// ReadJob reads a job's record from the state service. A nil job without an error was never accepted.
func (s *Store) ReadJob(ctx context.Context, id string) (*Job, error) {
	// Archiving moves a job from the first key to the second atomically. If the first is empty when read,
	// the second is not, unless the job was never accepted.
	for _, key := range []string{jobKey(id), archiveKey(id)} {
		r, version, err := get[jobRecord](ctx, s, transport.Urgent, userTimeout, key)
		if err == nil && r != nil {
			err = s.loadSpec(ctx, id, r)
		}
		if err != nil {
			return nil, err
		}
		if r != nil && r.Spec == nil {
			return nil, fmt.Errorf("record %s describes no job", key)
		}
		if r != nil {
			j := (*Job)(nil).withRecord(r, version)
			j.Ready, j.Archived = j.Accepted, key == archiveKey(id)
			return j, nil
		}
	}
	return nil, nil
}

// ReadArchived reads the record of a job that is probably archived, with a single request if it is.
func (s *Store) ReadArchived(ctx context.Context, id string) (*Job, error) {
	r, version, err := get[jobRecord](ctx, s, transport.Urgent, userTimeout, archiveKey(id))
	switch {
	case err != nil:
		return nil, err
	case r == nil || r.Spec == nil:
		return s.ReadJob(ctx, id)
	}
	return archivedJob(r, version), nil
}

// ListArchived reads up to limit archived records, in the order of their ids, starting at the given id. It saves
// requests when many jobs with adjacent ids are looked up.
func (s *Store) ListArchived(ctx context.Context, from string, limit int) (map[string]*Job, error) {
	last := len(from) - 1
	page, err := s.state.List(ctx, transport.Urgent, archivePrefix, archiveKey(from[:last])+string(from[last]-1)+"~", limit)
	if err != nil {
		return nil, err
	}
	out := map[string]*Job{}
	for _, p := range page.Pairs {
		id, _ := keySuffix(p.Key, archivePrefix)
		if r := parse[jobRecord](p.Key, p.Value, false); r != nil && r.Spec != nil {
			out[id] = archivedJob(r, p.Version)
		}
	}
	return out, nil
}

// finishChange returns the single change that ends a job. It rewrites the record in place: moving the record
// to the archive takes two more changes, which can wait until no more important writes are pending (Archive).
func (s *Store) finishChange(j *Job, state string) protocol.Change {
	return set(jobKey(j.Spec.ID), s.trimToFit(j.endedRecord(state, "", time.Now())), 0)
}

// Archive moves the records of jobs that are over to the archive, which a starting controller does not read,
// and drops their results. A record that changed meanwhile fails only the jobs in the same transaction. For a
// job that was cancelled with another one, the archive record is the first to record the cancellation.
func (s *Store) Archive(ctx context.Context, jobs []*Job) {
	var conds []protocol.Condition
	var then []protocol.Change
	bytes := 0
	flush := func() bool {
		if len(then) == 0 {
			return true
		}
		err := s.commit(ctx, transport.Deferred, 10*time.Second, conds, then...)
		conds, then, bytes = nil, nil, 0
		return err == nil
	}
	for _, j := range jobs {
		drops := attachedDrops(j)
		if j.RecordedState == protocol.Pending && len(drops) > s.txnOps-2 {
			// The pending record still needs its description, and dropping that takes several transactions.
			// So the final state is recorded first; a later call archives the job.
			if s.commit(ctx, transport.Deferred, 10*time.Second, []protocol.Condition{{Key: jobKey(j.Spec.ID), Version: j.Version}},
				set(jobKey(j.Spec.ID), s.trimToFit(j.endedRecord(j.State, j.CancelledWith, time.Now())), 0)) != nil {
				return
			}
			continue
		}
		// A job of very many tasks has more chunks of results than one transaction can drop.
		for ; len(drops) > s.txnOps-2; drops = drops[s.txnOps-2:] {
			if s.commit(ctx, transport.Deferred, 10*time.Second, nil, drops[:s.txnOps-2]...) != nil {
				return
			}
		}
		cond, changes := s.archiveChanges(j, drops)
		more := transactionBytes([]protocol.Condition{cond}, changes)
		if (len(then)+len(changes) > s.txnOps || bytes+more > maxTransactionBytes) && !flush() {
			return
		}
		conds, then, bytes = append(conds, cond), append(then, changes...), bytes+more
	}
	flush()
}

// archiveChanges returns the condition and the changes that move a job's record to the archive, with the given drops
// of what is stored beside it.
func (s *Store) archiveChanges(j *Job, drops []protocol.Change) (protocol.Condition, []protocol.Change) {
	ended := j.Ended
	if j.RecordedState == protocol.Pending {
		ended = time.Now()
	}
	id, rec := j.Spec.ID, j.endedRecord(j.State, j.CancelledWith, ended)
	rec.PartCount, rec.Sum = 0, ""
	changes := []protocol.Change{set(archiveKey(id), s.trimToFit(rec), 0), {Drop: jobKey(id)}}
	return protocol.Condition{Key: jobKey(id), Version: j.Version}, append(changes, drops...)
}

// CancelJob cancels a job unless it is already over. It returns the resulting job, nil if it was never accepted.
// The same record also cancels the jobs that need it (dependencyGraph).
func (s *Store) CancelJob(ctx context.Context, id string) (*Job, error) {
	for range 4 {
		j, err := s.ReadJob(ctx, id)
		if err != nil || j == nil || j.Final() {
			return j, err
		}
		err = s.commit(ctx, transport.Vital, userTimeout, []protocol.Condition{{Key: jobKey(id), Version: j.Version}},
			s.finishChange(j, protocol.Cancelled))
		if err == nil {
			j.RecordedState, j.State = protocol.Cancelled, protocol.Cancelled
			return j, nil
		}
		if !errors.Is(err, ErrConflict) {
			return nil, err
		}
	}
	return nil, ErrConflict
}

// HoldJob holds or releases a job. It returns the resulting job, nil if it was never accepted. changed reports
// whether this call changed the job: of several concurrent releases exactly one does.
func (s *Store) HoldJob(ctx context.Context, id string, held bool) (j *Job, changed bool, err error) {
	for range 4 {
		r, version, err := get[jobRecord](ctx, s, transport.Urgent, userTimeout, jobKey(id))
		if err != nil {
			return nil, false, err
		}
		if r == nil || final(r.State) || r.Held == held {
			j, err := s.ReadJob(ctx, id)
			return j, false, err
		}
		if r.Held = held; !held {
			r.ReleasedMs = time.Now().UnixMilli()
		}
		err = s.commit(ctx, transport.Urgent, userTimeout, []protocol.Condition{{Key: jobKey(id), Version: version}}, set(jobKey(id), r, 0))
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

// Outcome is a set of results of one job to be recorded.
type Outcome struct {
	Job   *Job
	Tasks []int
}

// Finishes reports whether all tasks of the job are done with these results.
func (o *Outcome) Finishes() bool {
	n := o.Job.DoneCount()
	for _, t := range o.Tasks {
		if !o.Job.TaskDone(t) {
			n++
		}
	}
	return n >= o.Job.Spec.Tasks
}

// changes returns the conditions and changes that record the outcome.
func (s *Store) changes(o *Outcome) (conds []protocol.Condition, then []protocol.Change) {
	byChunk := map[int][]int{}
	for _, t := range o.Tasks {
		byChunk[t/ChunkTasks] = append(byChunk[t/ChunkTasks], t)
	}
	id := o.Job.Spec.ID
	finishes := o.Finishes()
	for c := range byChunk {
		if !finishes && len(byChunk) > s.txnOps {
			delete(byChunk, c) // exceeds one transaction; recorded next time
		}
	}
	for c, tasks := range byChunk {
		var old Chunk
		if c < len(o.Job.Results) {
			old = o.Job.Results[c]
		}
		conds = append(conds, protocol.Condition{Key: resultKey(id, c), Version: old.Version})
		then = append(then, set(resultKey(id, c), chunkRecord{Bits: withTaskBits(old.Bits, tasks)}, 0))
	}
	conds = append(conds, protocol.Condition{Key: jobKey(id), Version: o.Job.Version})
	// All counted chunks must be current, so chunks that are not written are conditions as well.
	if finishes {
		for c, ch := range o.Job.Results {
			if byChunk[c] == nil {
				conds = append(conds, protocol.Condition{Key: resultKey(id, c), Version: ch.Version})
			}
		}
		then = []protocol.Change{s.finishChange(o.Job, protocol.Done)}
	}
	return conds, then
}

// MaxOutcomes is the number of jobs whose results should be written at once.
func (s *Store) MaxOutcomes() int { return s.txnOps }

// Record writes outcomes, as many as fit in each transaction. A failed condition fails the whole transaction;
// its outcomes are then written one by one.
func (s *Store) Record(ctx context.Context, u transport.Urgency, outcomes []Outcome) {
	for len(outcomes) > 0 {
		var conds []protocol.Condition
		var then []protocol.Change
		n, bytes := 0, 0
		for n < len(outcomes) {
			c, t := s.changes(&outcomes[n])
			more := transactionBytes(c, t)
			if n > 0 && (len(then)+len(t) > s.txnOps || len(conds)+len(c) > 4*s.txnOps || n >= 16 || bytes+more > maxTransactionBytes) {
				break
			}
			conds, then, bytes = append(conds, c...), append(then, t...), bytes+more
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

// checkRecorded returns the current revision and which of the given jobs have a record, archived or not. It
// takes at most maxRecordedChecks ids.
func (s *Store) checkRecorded(ctx context.Context, timeout time.Duration, ids []string) (revision uint64, recorded map[string]bool, err error) {
	var conds []protocol.Condition
	for _, id := range ids {
		conds = append(conds, protocol.Condition{Key: jobKey(id)}, protocol.Condition{Key: archiveKey(id)})
	}
	ans, _, err := s.transact(ctx, transport.Urgent, timeout, conds, nil)
	if err != nil {
		return 0, nil, err
	}
	recorded = map[string]bool{}
	for _, key := range ans.Failed {
		id, ok := keySuffix(key, jobPrefix)
		if !ok {
			id, _ = keySuffix(key, archivePrefix)
		}
		recorded[id] = true
	}
	return ans.Revision, recorded, nil
}

// maxRecordedChecks is the number of jobs that one transaction can check, with two keys each.
func (s *Store) maxRecordedChecks() int { return 2 * s.txnOps }
