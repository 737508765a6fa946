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

// Reconciling a job with the board: results, exits, tasks that must stop.

// lookUpUnknownJobs reads jobs that have tasks on machines and are missing from the replica. A starting
// controller does not read final jobs, yet their remaining tasks take room and must be stopped and forgotten.
func (o *Owner) lookUpUnknownJobs() {
	if o.lookingUp || len(o.board.Tasks) == 0 {
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
	o.lookingUp = true
	go func() {
		for _, id := range unknown {
			j, err := o.store.ReadJob(o.ctx, id)
			if err != nil {
				break
			}
			if j != nil && j.Final() { // active jobs come through the replica
				o.addFinalJob(j)
			}
		}
		pause(o.ctx, time.Second)
		o.tell(func() { o.lookingUp = false })
	}()
}

// archiveInterval is how often records of final jobs are archived, archiveBatchSize how many at a time.
const (
	archiveInterval  = time.Second
	archiveBatchSize = 32
)

// archiveJobs moves the records of this range's final jobs to where a starting controller does not read them.
// It uses what is left of the state service's request budget.
func (o *Owner) archiveJobs() {
	if o.archiving || len(o.unarchived) == 0 || !o.session.Valid() {
		return
	}
	var jobs []*bookkeeping.Job
	for _, j := range o.unarchived {
		// A job that unfinished jobs need stays where a starting controller reads it.
		if o.window().OwnerOfBlock(j, 0) == o.cfg.Name && !j.HasDependents {
			if jobs = append(jobs, j); len(jobs) == archiveBatchSize {
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
		pause(o.ctx, archiveInterval)
		o.tell(func() { o.archiving = false })
	}()
}

// partialResultsInterval is how often results that do not finish a job are written: users and other jobs wait
// only for the last results.
const partialResultsInterval = time.Second

// recordOutcomes writes results; a worker may forget a result only afterwards. Results that end jobs are
// awaited by users and by dependent jobs, so they are not queued behind others. Among the others, jobs with
// the most results come first.
func (o *Owner) recordOutcomes(outcomes []bookkeeping.Outcome) {
	var finishing, partial []bookkeeping.Outcome
	for _, out := range outcomes {
		if out.Finishes() {
			finishing = append(finishing, out)
		} else {
			partial = append(partial, out)
		}
	}
	slices.SortFunc(partial, func(a, b bookkeeping.Outcome) int { return cmp.Compare(len(b.Tasks), len(a.Tasks)) })
	o.writeOutcomes(&o.writingFinal, transport.Urgent, finishing)
	o.writeOutcomes(&o.writingPartial, transport.Ordinary, partial)
}

// writeOutcomes writes outcomes of one kind, at most one batch at a time: busy is set while a batch is being
// written.
func (o *Owner) writeOutcomes(busy *bool, u transport.Urgency, outcomes []bookkeeping.Outcome) {
	if len(outcomes) == 0 || *busy {
		return
	}
	outcomes = outcomes[:min(len(outcomes), o.store.MaxOutcomes())]
	for _, out := range outcomes {
		o.active[out.Job.Spec.ID].recordedAt = time.Now()
	}
	*busy = true
	go func() {
		o.store.Record(o.ctx, u, outcomes)
		// The written records come back through the replica.
		pause(o.ctx, 100*time.Millisecond)
		o.tell(func() { *busy, o.dirty = false, true })
	}()
}

// reconcile compares a job with the board: results to record, exited attempts to forget, tasks that must stop.
func (o *Owner) reconcile(js *jobState, now time.Time, rq requests) (out bookkeeping.Outcome) {
	j := js.job
	out.Job = j
	for _, owned := range js.ownedBlocks {
		owned.missing = owned.end - owned.first - j.DoneIn(owned.first, owned.end)
	}
	for index := range js.pending {
		if owned := js.ownedBlockOf(index); owned != nil {
			owned.missing--
		}
	}
	for index, list := range o.board.Tasks[j.Spec.ID] {
		owned := js.ownedBlockOf(index)
		if begun := j.Spec.Shape != protocol.Gang || list[0].Begun(); owned != nil && begun && !j.TaskDone(index) && js.pending[index] == nil {
			owned.missing--
		}
		var oldest *board.Instance
		for _, i := range list {
			if i.Exited() {
				if i.Cause == protocol.CauseDone {
					// The holder has the attempt forgotten once the result is recorded.
					if js.gainWindow != 0 && !j.TaskDone(index) {
						out.Tasks = append(out.Tasks, index)
						o.noteRunTime(js, i, now)
					}
				} else if owned != nil {
					o.handleExit(js, index, i, now, rq)
				}
				continue
			}
			if i.State != board.TaskReserved && (oldest == nil || i.FirstSeen.Before(oldest.FirstSeen)) {
				oldest = i
			}
		}
		for _, i := range list {
			// The protocol never starts a task twice; if two instances exist nevertheless, the younger one is
			// stopped.
			if owned != nil && !i.Exited() && i.State != board.TaskReserved && (i != oldest && len(list) > 1 || j.TaskDone(index)) {
				o.requestStop(i, 0, now, rq)
			}
		}
	}
	js.missing = 0
	for _, owned := range js.ownedBlocks {
		if owned.priorStartsKnown {
			js.missing += owned.missing
		}
	}
	o.saveOnLeavingMachines(js, now, rq)
	o.moveReplica(js, now, rq)
	if j.Spec.Shape == protocol.Gang && len(out.Tasks) > 0 {
		out.Tasks = out.Tasks[:0]
		for t := range j.Spec.Tasks {
			out.Tasks = append(out.Tasks, t) // a gang completes as a whole
		}
	}
	return out
}

// noteRunTime records how long a task ran, once.
func (o *Owner) noteRunTime(js *jobState, i *board.Instance, now time.Time) {
	if !i.RunningSince.IsZero() {
		o.runTimes.Record(js.job.Spec.Class, now.Sub(i.RunningSince))
		i.RunningSince = time.Time{}
	}
}

// saveOnLeavingMachines has tasks save their progress on machines that are being taken away; the tasks
// of a gang must all save.
func (o *Owner) saveOnLeavingMachines(js *jobState, now time.Time, rq requests) {
	s := js.job.Spec
	if !s.Checkpoints() {
		return
	}
	for index, list := range o.board.Tasks[s.ID] {
		if !js.owns(index) {
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
			o.requestStop(i, 2*s.SaveS, now, rq)
		}
	}
}

// handleExit has the holder forget an attempt that ended unsuccessfully, and sets when to retry the task.
func (o *Owner) handleExit(js *jobState, index int, i *board.Instance, now time.Time, rq requests) {
	if now.Sub(i.StopRequestedAt) < 2*time.Second {
		return
	}
	if i.StopRequestedAt.IsZero() {
		delay := time.Duration(0)
		switch i.Cause {
		case protocol.CauseError:
			js.errorCount++
			if len(js.failedOn) >= 3 { // mostly the machine is at fault: retry elsewhere at once
				delay = min(30*time.Second, 500*time.Millisecond<<min(js.errorCount, 7))
			}
		case "no_room", "in_use", "unknown":
			delay = time.Second
		}
		js.retryAt[index] = now.Add(delay)
		slog.Info("task exited", "task", i.Task, "machine", i.Machine.ID, "cause", i.Cause)
	}
	i.StopRequestedAt = now
	a := o.requestFor(rq, i.Machine)
	keep := i.Cause == protocol.CauseIncomplete && o.account(js) == "" && placement.GangCanAssemble(o.board.Tasks[i.Job], js.job.Spec.Tasks, func(index int) bool { return js.pending[index] != nil })
	a.Stops = append(a.Stops, Stop{Task: i.Task, Attempt: i.Attempt, Machine: i.Machine.ID, Forget: true, Keep: keep})
}

func (o *Owner) requestStop(i *board.Instance, grace float64, now time.Time, rq requests) {
	if now.Sub(i.StopRequestedAt) < 2*time.Second {
		return
	}
	i.StopRequestedAt = now
	a := o.requestFor(rq, i.Machine)
	a.Stops = append(a.Stops, Stop{Task: i.Task, Attempt: i.Attempt, Machine: i.Machine.ID, GraceS: grace})
}
