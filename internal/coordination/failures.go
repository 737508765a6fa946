package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Judging whether the job or the machine is at fault when tasks fail (placement.JudgeJob, JudgeMachine).
// Holders report which jobs failed on a machine since a task last succeeded there; every controller judges the
// jobs by these reports, and each holder its machines.

// ---- the holder's side: machines

// noteFailure records that a job's task failed on a machine.
func (h *Holder) noteFailure(w *worker, job string) {
	w.failedJobs[job] = true
	h.judgeMachine(w)
}

func (h *Holder) noteSuccess(w *worker) {
	w.lastSuccess = time.Now()
	clear(w.failedJobs)
	h.judgeMachine(w)
}

// judgeMachine updates whether a machine is quarantined and whether it is suspect.
func (h *Holder) judgeMachine(w *worker) {
	var verdicts []placement.Verdict
	for job := range w.failedJobs {
		j, verdict := h.jobs[job], h.verdicts[job]
		switch {
		case j != nil && j.State == protocol.Done:
			verdict = placement.NotAtFault
		case j != nil && j.Final():
			delete(w.failedJobs, job) // cancelled: its verdict will never be known
			continue
		}
		verdicts = append(verdicts, verdict)
	}
	quarantinedFor := time.Duration(0)
	if !w.quarantinedSince.IsZero() {
		quarantinedFor = time.Since(w.quarantinedSince)
	}
	quarantine, suspect := placement.JudgeMachine(verdicts, quarantinedFor)
	if quarantine != !w.quarantinedSince.IsZero() {
		w.quarantinedSince = time.Time{}
		if quarantine {
			w.quarantinedSince = time.Now()
		}
		h.markChanged(w)
	}
	if suspect != w.suspect {
		w.suspect = suspect
		h.markChanged(w)
		slog.Info("machine judged", "machine", w.id, "suspect", suspect, "failed", len(verdicts))
	}
}

// setVerdict stores the verdict on a job and judges the machines where it failed again.
func (h *Holder) setVerdict(job string, verdict placement.Verdict) {
	if j := h.jobs[job]; j == nil || j.Final() {
		return
	}
	h.verdicts[job] = verdict
	for _, w := range h.workersByID {
		if w.failedJobs[job] {
			h.judgeMachine(w)
		}
	}
}

// ---- the owner's side: jobs

// noteFailedJobs records which jobs failed on a machine.
func (o *Owner) noteFailedJobs(v *board.MachineView, now time.Time) {
	for _, t := range v.Tasks {
		id, _, _ := protocol.SplitTask(t.Task)
		if js := o.active[id]; js != nil && t.Exited() && t.Cause == protocol.CauseError {
			js.lastFailedAt = now
		}
	}
	for _, id := range v.Failed {
		js := o.active[id]
		if js == nil || len(js.failedOn) >= 64 {
			continue
		}
		if _, known := js.failedOn[v.ID]; !known {
			js.failedOn[v.ID], js.lastFailedAt = v.Sound, now
			o.failingJobs[id] = js
		}
	}
}

// avoidedMachines are the machines on which a job's tasks are not placed for now, since tasks of the job failed
// there lately. For a job at fault no machine is to blame.
func (js *jobState) avoidedMachines(now time.Time) map[string]bool {
	if js.verdict == placement.AtFault || now.Sub(js.lastFailedAt) >= placement.AvoidFor {
		return nil
	}
	return js.failedOn
}

// judgeJobs updates the verdicts on the failing jobs.
func (o *Owner) judgeJobs(now time.Time) {
	for id, js := range o.failingJobs {
		if o.active[id] != js {
			delete(o.failingJobs, id)
			continue
		}
		previous := js.verdict
		if previous == placement.NotAtFault {
			continue
		}
		js.verdict = placement.JudgeJob(js.failedOn, o.hasSucceeded(js, now))
		if js.verdict == previous {
			continue
		}
		if js.verdict == placement.AtFault {
			slog.Info("job fails everywhere", "job", id, "machines", len(js.failedOn))
			js.trialCount, js.nextTrialAt = 0, now.Add(placement.MinRetryBackoff)
		} else if previous == placement.AtFault {
			slog.Info("job fails no longer", "job", id)
		}
		js.stale = true
		o.publishVerdict(id, js.verdict)
	}
}

// hasSucceeded reports whether a task of the job was completed, or has run for long enough.
func (o *Owner) hasSucceeded(js *jobState, now time.Time) bool {
	if js.job.DoneCount() > 0 {
		return true
	}
	for _, list := range o.board.Tasks[js.job.Spec.ID] {
		for _, i := range list {
			if i.Exited() && i.Cause == protocol.CauseDone || i.Running() && now.Sub(i.RunningSince) >= placement.ProvenAfter {
				return true
			}
		}
	}
	return false
}

// trialAllowed reports whether tasks of a job may be started now: of a job at fault one at a time (all of a
// gang), at growing intervals.
func (o *Owner) trialAllowed(js *jobState, now time.Time) bool {
	if js.verdict != placement.AtFault {
		return true
	}
	anyInstance := len(js.pending) > 0
	for _, list := range o.board.Tasks[js.job.Spec.ID] {
		for _, i := range list {
			anyInstance = anyInstance || !i.Exited()
		}
	}
	if js.job.Spec.Shape == protocol.Gang && anyInstance {
		return true // its trial is in progress
	}
	return !anyInstance && !now.Before(js.nextTrialAt)
}

// scheduleNextTrial sets when the job may be tried again.
func (js *jobState) scheduleNextTrial(now time.Time) {
	js.nextTrialAt = now.Add(placement.RetryBackoff(js.trialCount))
	js.trialCount++
}
