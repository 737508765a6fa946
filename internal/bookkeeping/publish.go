package bookkeeping

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"daledyke/internal/protocol"
)

// How the replica publishes changed records to its listener.

// applyRentalBatch publishes a batch and the machines that were added or removed with it.
func (r *Replica) applyRentalBatch(name string, batch *RentalBatch) {
	old := r.batches[name]
	if batch != nil && old != nil && batch.Version <= old.Version {
		return
	}
	r.listener.RentalBatchChanged(name, batch)
	if batch == nil {
		delete(r.batches, name)
	} else {
		r.batches[name] = batch
		for _, id := range batch.Machines {
			if old == nil || !slices.Contains(old.Machines, id) {
				r.batchCounts[id]++
				r.listener.MachineChanged(id, batch.Machine(id))
			}
		}
	}
	if old == nil {
		return
	}
	for _, id := range old.Machines {
		if batch != nil && slices.Contains(batch.Machines, id) {
			continue
		}
		if r.batchCounts[id]--; r.batchCounts[id] <= 0 {
			delete(r.batchCounts, id)
			r.listener.MachineChanged(id, nil)
		}
	}
}

// updateJob takes in a job as its record has it, and publishes it with all jobs whose dependency state changes.
// Results may have been listed before their job.
func (r *Replica) updateJob(id string, j *Job) {
	old := r.jobs[id]
	if j == old {
		return
	}
	if old == nil {
		j.RingPosition = r.positionOf(j.Spec)
		for c, chunk := range r.earlyResults[id] {
			j = j.withChunk(c, chunk)
		}
		delete(r.earlyResults, id)
	} else if !final(old.RecordedState) && final(j.RecordedState) && j.Ended.IsZero() {
		j.Ended = time.Now() // a version without EndedMs wrote the record
	}
	if from := j.EarliestStart(); from.After(time.Now()) && !final(j.RecordedState) {
		r.delayed[id] = from
	}
	others := r.dependencies.update(j, func(id string) *Job { return r.jobs[id] })
	r.dependencies.applyTo(j)
	r.publishJob(j, old)
	r.republish(others)
}

// publishDue publishes delayed jobs whose earliest start has come. It runs each time the watch returns, so at
// least once per defaultWatchTimeout.
func (r *Replica) publishDue(now time.Time) {
	for id, from := range r.delayed {
		if !from.After(now) || r.jobs[id] == nil || r.jobs[id].Final() {
			delete(r.delayed, id)
			r.republish([]string{id})
		}
	}
}

// republish publishes jobs whose dependency state changed.
func (r *Replica) republish(ids []string) {
	for _, id := range ids {
		if old := r.jobs[id]; old != nil {
			j := *old
			r.dependencies.applyTo(&j)
			r.publishJob(&j, old)
		}
	}
}

// publishJob publishes a job in place of its previously published version, if any.
func (r *Replica) publishJob(j, old *Job) {
	id := j.Spec.ID
	r.jobs[id] = j
	r.listener.JobChanged(j)
	if !j.Final() || old != nil && old.Final() {
		return
	}
	r.finished = append(r.finished, id)
	for range min(2, max(0, len(r.finished)-maxFinishedJobs)) {
		oldest := r.finished[0]
		r.finished = r.finished[1:]
		if j := r.jobs[oldest]; j != nil && j.HasDependents {
			r.finished = append(r.finished, oldest) // the listener must be notified when no job needs it any more
			continue
		}
		delete(r.jobs, oldest)
	}
}

func (r *Replica) applyResult(id string, i int, c Chunk) {
	if j := r.jobs[id]; j != nil {
		r.updateJob(id, j.withChunk(i, c))
		return
	}
	if r.earlyResults[id] == nil {
		r.earlyResults[id] = map[int]Chunk{}
	}
	r.earlyResults[id][i] = c
}

// maxFinishedJobs is how many jobs that are over the replica keeps. Others are read from the state service on
// demand.
const maxFinishedJobs = 2000

// parseResultKey splits the key of a chunk of results into job id and chunk number.
func parseResultKey(key string) (id string, chunk int, ok bool) {
	rest, ok := keySuffix(key, resultPrefix)
	id, num, _ := strings.Cut(rest, "/")
	chunk, err := strconv.Atoi(num)
	return id, chunk, ok && err == nil && chunk >= 0 && chunk <= protocol.MaxTasks/ChunkTasks
}
