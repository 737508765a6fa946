package history

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Cancellation is what became of a cancelled job's tasks after the first answer that called it
// cancelled.
type Cancellation struct {
	Job string `json:"job"`
	// Told is when that answer came.
	Told time.Duration `json:"told"`
	// Took is from then until the last of its tasks was off its machine, whether it was waiting,
	// running or saving, or its machine hung or could not be reached; 0 if none was on one.
	Took time.Duration `json:"took"`
	// Task was the last one, on Machine, and Cause is how it ended; "" while it is still there.
	Task    string `json:"task,omitempty"`
	Machine string `json:"machine,omitempty"`
	Cause   string `json:"cause,omitempty"`
	// Remaining is how many tasks are still there.
	Remaining int `json:"remaining,omitempty"`
	// StartedAfter is how many commands to start its tasks were carried out after the answer,
	// SentAfter how many of those had also been sent after it. LastStart is from the answer to
	// the last of them.
	StartedAfter int           `json:"startedAfter,omitempty"`
	SentAfter    int           `json:"sentAfter,omitempty"`
	LastStart    time.Duration `json:"lastStart,omitempty"`
}

// Lasted is the time from the answer until nothing of the job was or began anywhere.
func (c *Cancellation) Lasted() time.Duration { return max(c.Took, c.LastStart) }

// Cancellations follows what becomes of cancelled jobs, from events that come in their order: how
// much of the time that the rule RanCancelled allows was used, not only whether it was exceeded.
// The zero value is ready.
type Cancellations struct {
	jobs map[string]*trackedJob
	told []*trackedJob // in the order in which they were told
}

// trackedJob is a job whose tasks are followed, cancelled or not.
type trackedJob struct {
	Cancellation
	cancelled bool
	on        map[string]string // machines by task
}

// Note takes the next event.
func (c *Cancellations) Note(e Event) {
	switch e.Kind {
	case Answered, Polled, CancelTold:
		c.answer(e)
	case Told, On, Off:
		id, _, ok := protocol.SplitTask(e.Task)
		if !ok {
			return
		}
		j := c.job(id)
		switch e.Kind {
		case Told:
			j.commanded(e)
		case On:
			j.on[e.Task] = e.Machine
		default:
			j.off(e)
		}
	}
}

func (c *Cancellations) job(id string) *trackedJob {
	j := c.jobs[id]
	if j == nil {
		j = &trackedJob{Cancellation: Cancellation{Job: id}, on: map[string]string{}}
		if c.jobs == nil {
			c.jobs = map[string]*trackedJob{}
		}
		c.jobs[id] = j
	}
	return j
}

func (c *Cancellations) answer(e Event) {
	if e.Code != 200 && e.Code != 201 || e.Status != protocol.Cancelled {
		return
	}
	j := c.job(e.Job)
	if j.cancelled {
		return
	}
	j.cancelled, j.Told = true, e.At
	c.told = append(c.told, j)
}

// commanded notes that a worker carried out a command to start one of its tasks.
func (j *trackedJob) commanded(e Event) {
	if !j.cancelled {
		return
	}
	j.StartedAfter++
	j.LastStart = e.At - j.Told
	if e.Sent > j.Told {
		j.SentAfter++
	}
}

func (j *trackedJob) off(e Event) {
	if j.on[e.Task] != e.Machine {
		return
	}
	delete(j.on, e.Task)
	if j.cancelled {
		j.Took, j.Task, j.Machine, j.Cause = e.At-j.Told, e.Task, e.Machine, e.Cause
	}
}

// At is what became of all jobs that were called cancelled, as it is at a time, the slowest first.
func (c *Cancellations) At(now time.Duration) []Cancellation {
	all := make([]Cancellation, 0, len(c.told))
	for _, j := range c.told {
		all = append(all, j.at(now))
	}
	slices.SortStableFunc(all, func(a, b Cancellation) int { return cmp.Compare(b.Lasted(), a.Lasted()) })
	return all
}

func (j *trackedJob) at(now time.Duration) Cancellation {
	is := j.Cancellation
	if len(j.on) == 0 {
		return is
	}
	is.Took, is.Cause, is.Remaining = now-j.Told, "", len(j.on)
	is.Task = slices.Min(slices.Collect(maps.Keys(j.on)))
	is.Machine = j.on[is.Task]
	return is
}
