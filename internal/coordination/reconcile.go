package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// What is there of a job: results, exits, tasks that must stop.

// lookUp asks for jobs of which machines have tasks and the replica knows
// nothing: a controller that starts does not read those that are over, yet
// what is left of them takes room, and must be stopped and forgotten.
func (o *Owner) lookUp() {
	if o.looking || len(o.board.Tasks) == 0 {
		return
	}
	var unknown []string
	for id := range o.board.Tasks {
		if o.jobs[id] == nil && len(unknown) < 16 {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) == 0 {
		return
	}
	o.looking = true
	go func() {
		for _, id := range unknown {
			j, err := o.store.ReadJob(o.ctx, id)
			if err != nil {
				break
			}
			if j != nil && j.Final() { // others come through the replica
				o.found(j)
			}
		}
		pause(o.ctx, time.Second)
		o.tell(func() { o.looking = false })
	}()
}

// archiveEvery is how often records of jobs that are over are moved, and
// archiveMost how many at a time.
const (
	archiveEvery = time.Second
	archiveMost  = 32
)

// archive has the records of this range's jobs that are over moved to where
// they are not read at a start. It takes what the state service's budget has
// to spare.
func (o *Owner) archive() {
	if o.archiving || len(o.ended) == 0 || !o.session.Valid() {
		return
	}
	var jobs []*bookkeeping.Job
	for _, j := range o.ended {
		// What unfinished jobs need stays where a controller that starts reads it.
		if o.window().OwnerOfBlock(j, 0) == o.cfg.Name && !j.HasDependents {
			if jobs = append(jobs, j); len(jobs) == archiveMost {
				break
			}
		}
	}
	if len(jobs) == 0 {
		return
	}
	o.archiving = true
	go func() {
		o.store.Archive(o.ctx, jobs)
		pause(o.ctx, archiveEvery)
		o.tell(func() { o.archiving = false })
	}()
}

// resultsEvery is how often results of a job are written that don't finish it:
// only the last ones are waited for.
const resultsEvery = time.Second

// record writes results; a worker may forget one only afterwards. What ends a
// job is waited for, by its users and by the jobs that need it: it does not
// stand in line behind results that end nothing. Of those, jobs with most to
// tell come first.
func (o *Owner) record(outcomes []bookkeeping.Outcome) {
	var ends, results []bookkeeping.Outcome
	for _, out := range outcomes {
		if out.Finishes() {
			ends = append(ends, out)
		} else {
			results = append(results, out)
		}
	}
	slices.SortFunc(results, func(a, b bookkeeping.Outcome) int { return cmp.Compare(len(b.Tasks), len(a.Tasks)) })
	o.write(&o.ending, transport.Urgent, ends)
	o.write(&o.recording, transport.Ordinary, results)
}

// write writes outcomes, one round at a time for those of a kind, as busy says.
func (o *Owner) write(busy *bool, u transport.Urgency, outcomes []bookkeeping.Outcome) {
	if len(outcomes) == 0 || *busy {
		return
	}
	outcomes = outcomes[:min(len(outcomes), o.store.MaxOutcomes())]
	for _, out := range outcomes {
		o.active[out.Job.Spec.ID].recorded = time.Now()
	}
	*busy = true
	go func() {
		o.store.Record(o.ctx, u, outcomes)
		// What was written comes back through the replica.
		pause(o.ctx, 100*time.Millisecond)
		o.tell(func() { *busy, o.dirty = false, true })
	}()
}

// reconcile looks at what is there of a job: results to record, exited attempts
// to forget, tasks that must stop.
func (o *Owner) reconcile(js *jobState, now time.Time, rq requests) (out bookkeeping.Outcome) {
	j := js.job
	out.Job = j
	for _, sh := range js.shares {
		sh.left = sh.to - sh.from - j.DoneIn(sh.from, sh.to)
	}
	for index := range js.pending {
		if sh := js.shareOf(index); sh != nil {
			sh.left--
		}
	}
	for index, list := range o.board.Tasks[j.Spec.ID] {
		sh := js.shareOf(index)
		if begun := j.Spec.Shape != protocol.Gang || list[0].Begun(); sh != nil && begun && !j.TaskDone(index) && js.pending[index] == nil {
			sh.left--
		}
		var keep *board.Instance
		for _, i := range list {
			if i.Exited() {
				if i.Cause == protocol.CauseDone {
					// The holder has it forgotten once the result is recorded.
					if js.gain != 0 && !j.TaskDone(index) {
						out.Tasks = append(out.Tasks, index)
						o.learn(js, i, now)
					}
				} else if sh != nil {
					o.handleExit(js, index, i, now, rq)
				}
				continue
			}
			if i.State != board.TaskReserved && (keep == nil || i.FirstSeen.Before(keep.FirstSeen)) {
				keep = i
			}
		}
		for _, i := range list {
			// Two of one task cannot be by our doing; should it happen, the
			// younger one goes.
			if sh != nil && !i.Exited() && i.State != board.TaskReserved && (i != keep && len(list) > 1 || j.TaskDone(index)) {
				o.askStop(i, 0, now, rq)
			}
		}
	}
	js.missing = 0
	for _, sh := range js.shares {
		if sh.settled {
			js.missing += sh.left
		}
	}
	o.rescue(js, now, rq)
	o.move(js, now, rq)
	if j.Spec.Shape == protocol.Gang && len(out.Tasks) > 0 {
		out.Tasks = out.Tasks[:0]
		for t := range j.Spec.Tasks {
			out.Tasks = append(out.Tasks, t) // a gang completes together
		}
	}
	return out
}

// learn notes how long a task ran, once.
func (o *Owner) learn(js *jobState, i *board.Instance, now time.Time) {
	if !i.RunningSince.IsZero() {
		o.runs.Record(js.job.Spec.Class, now.Sub(i.RunningSince))
		i.RunningSince = time.Time{}
	}
}

// rescue has tasks save what they can on machines that are being taken away;
// the tasks of a gang must all be told.
func (o *Owner) rescue(js *jobState, now time.Time, rq requests) {
	s := js.job.Spec
	if !s.Checkpoints() {
		return
	}
	for index, list := range o.board.Tasks[s.ID] {
		if !js.mine(index) {
			continue
		}
		for _, i := range list {
			if !i.Machine.Leaving || !i.Running() {
				continue
			}
			if s.Shape == protocol.Gang {
				o.stopGang(js, 2*s.SaveS, now, rq)
				return
			}
			o.askStop(i, 2*s.SaveS, now, rq)
		}
	}
}

// handleExit has an attempt forgotten that ended otherwise than done, and says when to try again.
func (o *Owner) handleExit(js *jobState, index int, i *board.Instance, now time.Time, rq requests) {
	if now.Sub(i.StopRequestedAt) < 2*time.Second {
		return
	}
	if i.StopRequestedAt.IsZero() {
		delay := time.Duration(0)
		switch i.Cause {
		case protocol.CauseError:
			js.errors++
			if len(js.badOn) >= 3 { // mostly it is the machine's fault: elsewhere at once
				delay = min(30*time.Second, 500*time.Millisecond<<min(js.errors, 7))
			}
		case "no_room", "in_use", "unknown":
			delay = time.Second
		}
		js.retryAt[index] = now.Add(delay)
		slog.Info("task exited", "task", i.Task, "machine", i.Machine.ID, "cause", i.Cause)
	}
	i.StopRequestedAt = now
	a := o.to(rq, i.Machine)
	keep := i.Cause == protocol.CauseIncomplete && o.account(js) == "" && placement.GangCanAssemble(o.board.Tasks[i.Job], js.job.Spec.Tasks, func(index int) bool { return js.pending[index] != nil })
	a.Stops = append(a.Stops, Stop{Task: i.Task, Attempt: i.Attempt, Machine: i.Machine.ID, Forget: true, Keep: keep})
}

func (o *Owner) askStop(i *board.Instance, grace float64, now time.Time, rq requests) {
	if now.Sub(i.StopRequestedAt) < 2*time.Second {
		return
	}
	i.StopRequestedAt = now
	a := o.to(rq, i.Machine)
	a.Stops = append(a.Stops, Stop{Task: i.Task, Attempt: i.Attempt, Machine: i.Machine.ID, GraceS: grace})
}
