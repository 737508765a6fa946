package coordination

import (
	"context"
	"time"

	"daledyke/internal/bookkeeping"
)

// The state of jobs, as reported to users and other parts of the controller.

// jobStatus is what a controller knows of a job.
type jobStatus struct {
	job     *bookkeeping.Job
	running int
	// reason is why no task runs, and startsIn the seconds until one is expected to, if known.
	reason   string
	startsIn *float64
}

// Known returns the job as this controller knows it, nil if it does not.
func (o *Owner) Known(ctx context.Context, id string) *bookkeeping.Job {
	j, _ := askFor(ctx, &o.actor, func() *bookkeeping.Job {
		if js := o.jobs[id]; js != nil {
			return js.job
		}
		return nil
	})
	return j
}

// Status returns what this controller knows of a job, nil if nothing.
func (o *Owner) Status(ctx context.Context, id string) *jobStatus {
	st, _ := askFor(ctx, &o.actor, func() *jobStatus {
		js := o.jobs[id]
		if js == nil {
			return nil
		}
		st := &jobStatus{job: js.job}
		if _, st.running = o.countTasks(id); st.running == 0 && !js.job.Final() {
			reason, in := o.waitReason(js, time.Now())
			st.reason, st.startsIn = reason, seconds(in)
		}
		return st
	})
	return st
}

// countTasks returns how many of a job's tasks are on machines, and how many of those run.
func (o *Owner) countTasks(id string) (placed, running int) {
	for _, list := range o.board.Tasks[id] {
		for _, i := range list {
			if !i.Exited() {
				placed++
			}
			if i.Running() {
				running++
			}
		}
	}
	return placed, running
}
