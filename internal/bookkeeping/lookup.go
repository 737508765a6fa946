package bookkeeping

import (
	"context"
	"log/slog"
	"time"

	"daledyke/internal/protocol"
)

// Lookups of what the replica lacks. Jobs and descriptions are looked up in the state service a few at a time, beside
// the watch, whose waits are limited to lookupWatchTimeout meanwhile. Failed lookups are retried after
// lookupRetryDelay.
const (
	lookupWatchTimeout = 100 * time.Millisecond
	maxLookups         = 8
	maxDescriptions    = 16
	lookupRetryDelay   = 500 * time.Millisecond
)

// incompleteJob is a job whose description is stored in parts that are not read yet. The listener learns of the job
// once they are; until then the replica keeps the newest record, and the job's results among the early ones.
type incompleteJob struct {
	record  *jobRecord
	version uint64
}

// lookupResult is the result of looking up a job or the description of an incomplete one.
type lookupResult struct {
	id string
	// job is nil if the job was never accepted.
	job *Job
	// description is set if the lookup was for a description.
	description *protocol.JobSpec
	err         error
}

// keepIncomplete keeps a record without its description, unless a newer one of the job is known.
func (r *Replica) keepIncomplete(id string, rec *jobRecord, version uint64) {
	if r.incomplete[id].version < version {
		r.incomplete[id] = incompleteJob{rec, version}
	}
}

// startLookups starts looking up jobs that others name but that the replica lacks since they ended long ago,
// and descriptions of incomplete jobs. It reports whether a lookup is in progress.
func (r *Replica) startLookups(ctx context.Context) bool {
	if r.lookupActive || time.Now().Before(r.nextLookup) {
		return r.lookupActive
	}
	lookups := r.dueLookups(ctx)
	if len(lookups) == 0 {
		return false
	}
	r.lookupActive = true
	go func() {
		var out []lookupResult
		for _, lookUp := range lookups {
			out = append(out, lookUp())
		}
		r.lookups <- out // never blocks: only one lookup runs at a time
	}()
	return true
}

// dueLookups returns the next lookups, of at most maxLookups jobs and maxDescriptions descriptions. They run beside the
// replica and share no memory with it.
func (r *Replica) dueLookups(ctx context.Context) (lookups []func() lookupResult) {
	for _, id := range r.dependencies.unknownJobs(maxLookups) {
		if _, incomplete := r.incomplete[id]; incomplete {
			continue // it will be known with its description
		}
		lookups = append(lookups, func() lookupResult {
			j, err := r.store.ReadArchived(ctx, id)
			return lookupResult{id: id, job: j, err: err}
		})
	}
	reads := 0
	for id, incomplete := range r.incomplete {
		if reads == maxDescriptions {
			break
		}
		reads++
		record := *incomplete.record
		lookups = append(lookups, func() lookupResult {
			err := r.store.loadSpec(ctx, id, &record)
			return lookupResult{id: id, description: record.Spec, err: err}
		})
	}
	return lookups
}

// applyLookups takes in the results of lookups.
func (r *Replica) applyLookups(found []lookupResult) {
	r.lookupActive = false
	for _, f := range found {
		switch {
		case f.err != nil:
			r.nextLookup = time.Now().Add(lookupRetryDelay)
			slog.Debug("job lookup failed", "job", f.id, "err", f.err)
		case f.description != nil:
			r.completeJob(f.id, f.description)
		case f.job != nil && !f.job.Final():
			r.nextLookup = time.Now().Add(lookupRetryDelay) // the watch will deliver it soon
		default:
			if f.job == nil {
				slog.Error("a record names a job that was never accepted", "job", f.id)
			}
			r.republish(r.dependencies.resolve(f.id, f.job))
		}
	}
}

// completeJob publishes an incomplete job by its newest record, now that its description is read. A job that was
// published meanwhile is no longer incomplete: the record that ended it has a description of its own.
func (r *Replica) completeJob(id string, description *protocol.JobSpec) {
	incomplete, ok := r.incomplete[id]
	if !ok {
		return
	}
	delete(r.incomplete, id)
	record := *incomplete.record
	record.Spec = description
	r.updateJob(id, (*Job)(nil).withRecord(&record, incomplete.version))
}
