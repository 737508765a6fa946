package bookkeeping

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"daledyke/internal/protocol"
)

// What the replica tells its listeners once records changed.

// applyRentalBatch publishes a applyRentalBatch, and which machines came or went with it.
func (r *Replica) applyRentalBatch(name string, l *RentalBatch) {
	old := r.batches[name]
	if l != nil && old != nil && l.Version <= old.Version {
		return
	}
	r.to.RentalBatchChanged(name, l)
	if l == nil {
		delete(r.batches, name)
	} else {
		r.batches[name] = l
		for _, id := range l.Machines {
			if old == nil || !slices.Contains(old.Machines, id) {
				r.homes[id]++
				r.to.MachineChanged(id, l.Machine(id))
			}
		}
	}
	if old == nil {
		return
	}
	for _, id := range old.Machines {
		if l != nil && slices.Contains(l.Machines, id) {
			continue
		}
		if r.homes[id]--; r.homes[id] <= 0 {
			delete(r.homes, id)
			r.to.MachineChanged(id, nil)
		}
	}
}

// put takes in a job as its record has it, and publishes it with all whose
// place that changes. Results may have been listed before their job.
func (r *Replica) put(id string, j *Job) {
	old := r.jobs[id]
	if j == old {
		return
	}
	if old == nil {
		j.Seat = r.placeOf(j.Spec)
		for c, chunk := range r.early[id] {
			j = j.withChunk(c, chunk)
		}
		delete(r.early, id)
	} else if !final(old.Record) && final(j.Record) && j.Ended.IsZero() {
		j.Ended = time.Now() // the version before chains does not say
	}
	if from := j.From(); from.After(time.Now()) && !final(j.Record) {
		r.delayed[id] = from
	}
	others := r.chains.take(j, func(id string) *Job { return r.jobs[id] })
	r.chains.place(j)
	r.show(j, old)
	r.publish(others)
}

// due publishes jobs whose time has come; they are looked at as often as the watch
// answers, within watchBlock.
func (r *Replica) due(now time.Time) {
	for id, from := range r.delayed {
		if !from.After(now) || r.jobs[id] == nil || r.jobs[id].Final() {
			delete(r.delayed, id)
			r.publish([]string{id})
		}
	}
}

// publish publishes jobs whose place changed.
func (r *Replica) publish(ids []string) {
	for _, id := range ids {
		if old := r.jobs[id]; old != nil {
			j := *old
			r.chains.place(&j)
			r.show(&j, old)
		}
	}
}

// show publishes a job in place of what was published before, if anything.
func (r *Replica) show(j, old *Job) {
	id := j.Spec.ID
	r.jobs[id] = j
	r.to.JobChanged(j)
	if !j.Final() || old != nil && old.Final() {
		return
	}
	r.over = append(r.over, id)
	for range min(2, max(0, len(r.over)-maxOver)) {
		oldest := r.over[0]
		r.over = r.over[1:]
		if j := r.jobs[oldest]; j != nil && j.Needed {
			r.over = append(r.over, oldest) // it is to be told when nothing needs it any more
			continue
		}
		delete(r.jobs, oldest)
	}
}

func (r *Replica) result(id string, i int, c Chunk) {
	if j := r.jobs[id]; j != nil {
		r.put(id, j.withChunk(i, c))
		return
	}
	if r.early[id] == nil {
		r.early[id] = map[int]Chunk{}
	}
	r.early[id][i] = c
}

// maxOver is how many jobs that are over stay at hand; of others, the state
// service is asked.
const maxOver = 2000

// splitResult takes the key of a chunk of results apart.
func splitResult(key string) (id string, chunk int, ok bool) {
	rest, ok := under(key, resultPrefix)
	id, num, _ := strings.Cut(rest, "/")
	chunk, err := strconv.Atoi(num)
	return id, chunk, ok && err == nil && chunk >= 0 && chunk <= protocol.MaxTasks/ChunkTasks
}
