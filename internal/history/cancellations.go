package history

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Cancellation describes what happened to a cancelled job's tasks after the first answer that reported
// the job as cancelled.
type Cancellation struct {
	Job string `json:"job"`
	// AnsweredAt is the time of that answer.
	AnsweredAt time.Duration `json:"told"`
	// Took is the time from that answer until the job's last task left its machine, whether the task was
	// waiting, running or saving, and also if its machine was frozen or unreachable; 0 if no task was on
	// a machine.
	Took time.Duration `json:"took"`
	// Task is the last task to leave, on Machine, and Cause is how it ended; "" while it is still there.
	Task    string `json:"task,omitempty"`
	Machine string `json:"machine,omitempty"`
	Cause   string `json:"cause,omitempty"`
	// Remaining is the number of tasks that are still on machines.
	Remaining int `json:"remaining,omitempty"`
	// StartedAfter counts the start commands for the job's tasks that were carried out after the answer,
	// SentAfter those that were also sent after it. LastStart is the time from the answer until the last
	// start command was carried out, 0 if none was.
	StartedAfter int           `json:"startedAfter,omitempty"`
	SentAfter    int           `json:"sentAfter,omitempty"`
	LastStart    time.Duration `json:"lastStart,omitempty"`
}

// Duration is the time from the answer until the job's last task left its machine or was started.
func (c *Cancellation) Duration() time.Duration { return max(c.Took, c.LastStart) }

// Cancellations tracks cancelled jobs from events in order of time: it reports how much of the time
// allowed by the rule RanCancelled was used, not only whether the limit was exceeded. The zero value is
// ready for use.
type Cancellations struct {
	jobs  map[string]*trackedJob
	order []*trackedJob // in the order of their AnsweredAt
}

// trackedJob is a job whose tasks are tracked, cancelled or not.
type trackedJob struct {
	Cancellation
	cancelled bool
	machineOf map[string]string // task -> machine
}

// Observe processes the next event.
func (c *Cancellations) Observe(e Event) {
	switch e.Kind {
	case Answered, Polled, CancelAnswered:
		c.answered(e)
	case StartReceived, TaskStarted, TaskStopped:
		id, _, ok := protocol.SplitTask(e.Task)
		if !ok {
			return
		}
		j := c.job(id)
		switch e.Kind {
		case StartReceived:
			j.startReceived(e)
		case TaskStarted:
			j.machineOf[e.Task] = e.Machine
		default:
			j.taskStopped(e)
		}
	}
}

func (c *Cancellations) job(id string) *trackedJob {
	j := c.jobs[id]
	if j == nil {
		j = &trackedJob{Cancellation: Cancellation{Job: id}, machineOf: map[string]string{}}
		if c.jobs == nil {
			c.jobs = map[string]*trackedJob{}
		}
		c.jobs[id] = j
	}
	return j
}

func (c *Cancellations) answered(e Event) {
	if e.Code != 200 && e.Code != 201 || e.Status != protocol.Cancelled {
		return
	}
	j := c.job(e.Job)
	if j.cancelled {
		return
	}
	j.cancelled, j.AnsweredAt = true, e.At
	c.order = append(c.order, j)
}

// startReceived records that a worker carried out a start command for one of the job's tasks.
func (j *trackedJob) startReceived(e Event) {
	if !j.cancelled {
		return
	}
	j.StartedAfter++
	j.LastStart = e.At - j.AnsweredAt
	if e.Sent > j.AnsweredAt {
		j.SentAfter++
	}
}

func (j *trackedJob) taskStopped(e Event) {
	if j.machineOf[e.Task] != e.Machine {
		return
	}
	delete(j.machineOf, e.Task)
	if j.cancelled {
		j.Took, j.Task, j.Machine, j.Cause = e.At-j.AnsweredAt, e.Task, e.Machine, e.Cause
	}
}

// Snapshot returns the state of all cancelled jobs at the given time, the slowest first.
func (c *Cancellations) Snapshot(now time.Duration) []Cancellation {
	all := make([]Cancellation, 0, len(c.order))
	for _, j := range c.order {
		all = append(all, j.snapshot(now))
	}
	slices.SortStableFunc(all, func(a, b Cancellation) int { return cmp.Compare(b.Duration(), a.Duration()) })
	return all
}

func (j *trackedJob) snapshot(now time.Duration) Cancellation {
	result := j.Cancellation
	if len(j.machineOf) == 0 {
		return result
	}
	result.Took, result.Cause, result.Remaining = now-j.AnsweredAt, "", len(j.machineOf)
	result.Task = slices.Min(slices.Collect(maps.Keys(j.machineOf)))
	result.Machine = j.machineOf[result.Task]
	return result
}
