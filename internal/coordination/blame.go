package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Who is to blame when tasks fail (placement.JudgeJob, JudgeMachine). Holders
// say which jobs failed on a machine since something last succeeded there;
// every controller judges the jobs by that, and each holder its machines.

// ---- the holder's side: machines

// failed notes that a job's task failed on a machine, succeeded that one
// of a job's tasks ran or was completed.
func (h *Holder) failed(w *worker, job string) {
	w.failedJobs[job] = true
	h.judge(w)
}

func (h *Holder) succeeded(w *worker) {
	w.lastSuccess = time.Now()
	clear(w.failedJobs)
	h.judge(w)
}

// judge brings up to date what is thought of a machine.
func (h *Holder) judge(w *worker) {
	var by []placement.Opinion
	for job := range w.failedJobs {
		j, o := h.jobs[job], h.opinions[job]
		switch {
		case j != nil && j.State == protocol.Done:
			o = placement.Innocent
		case j != nil && j.Final():
			delete(w.failedJobs, job) // cancelled: it will never be known
			continue
		}
		by = append(by, o)
	}
	doubted := time.Duration(0)
	if !w.quarantinedSince.IsZero() {
		doubted = time.Since(w.quarantinedSince)
	}
	doubt, suspect := placement.JudgeMachine(by, doubted)
	if doubt != !w.quarantinedSince.IsZero() {
		w.quarantinedSince = time.Time{}
		if doubt {
			w.quarantinedSince = time.Now()
		}
		h.markChanged(w)
	}
	if suspect != w.suspect {
		w.suspect = suspect
		h.markChanged(w)
		slog.Info("machine judged", "machine", w.id, "suspect", suspect, "failed", len(by))
	}
}

// hearOpinion takes in what is thought of a job.
func (h *Holder) hearOpinion(job string, o placement.Opinion) {
	if j := h.jobs[job]; j == nil || j.Final() {
		return
	}
	h.opinions[job] = o
	for _, w := range h.workersByID {
		if w.failedJobs[job] {
			h.judge(w)
		}
	}
}

// ---- the owner's side: jobs

// noteFailures takes in which jobs failed on a machine.
func (o *Owner) noteFailures(v *board.MachineView) {
	for _, id := range v.Failed {
		js := o.active[id]
		if js == nil || len(js.badOn) >= 64 {
			continue
		}
		if _, known := js.badOn[v.ID]; !known {
			js.badOn[v.ID] = v.Sound
			o.failing[id] = js
		}
	}
}

// judgeJobs brings up to date what is thought of the jobs that failed.
func (o *Owner) judgeJobs(now time.Time) {
	for id, js := range o.failing {
		if o.active[id] != js {
			delete(o.failing, id)
			continue
		}
		was := js.opinion
		if was == placement.Innocent {
			continue
		}
		js.opinion = placement.JudgeJob(js.badOn, o.succeeded(js, now))
		if js.opinion == was {
			continue
		}
		if js.opinion == placement.AtFault {
			slog.Info("job fails everywhere", "job", id, "machines", len(js.badOn))
			js.trials, js.trialAt = 0, now.Add(placement.TrialAfter)
		} else if was == placement.AtFault {
			slog.Info("job fails no longer", "job", id)
		}
		js.stale = true
		o.think(id, js.opinion)
	}
}

// succeeded tells whether a task of the job was completed, or runs.
func (o *Owner) succeeded(js *jobState, now time.Time) bool {
	if js.job.DoneCount() > 0 {
		return true
	}
	for _, list := range o.board.Tasks[js.job.Spec.ID] {
		for _, i := range list {
			if i.Exited() && i.Cause == protocol.CauseDone || i.Running() && now.Sub(i.Ran) >= placement.ProvenAfter {
				return true
			}
		}
	}
	return false
}

// onTrial tells whether a job at fault may be tried now: one task at a time
// (all of a gang), more and more rarely.
func (o *Owner) onTrial(js *jobState, now time.Time) bool {
	if js.opinion != placement.AtFault {
		return true
	}
	there := len(js.pending) > 0
	for _, list := range o.board.Tasks[js.job.Spec.ID] {
		for _, i := range list {
			there = there || !i.Exited()
		}
	}
	if js.job.Spec.Shape == protocol.Gang && there {
		return true // its trial is under way
	}
	return !there && !now.Before(js.trialAt)
}

// tried puts the next trial off.
func (js *jobState) tried(now time.Time) {
	js.trialAt = now.Add(placement.NextTrial(js.trials))
	js.trials++
}
