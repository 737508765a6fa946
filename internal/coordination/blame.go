package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/protocol"
)

// Who is to blame when tasks fail. A faulty machine fails the tasks of every
// job, a job that was submitted with a mistake fails on every machine; both
// show as a task that ends in an error as soon as it has its image. Holders
// say which jobs failed on a machine since something last succeeded there;
// every controller judges the jobs by that, and each holder its machines.

// opinion is what is thought of a job that failed somewhere.
type opinion int

const (
	undecided opinion = iota
	atFault           // it fails wherever it is started
	innocent          // it succeeds elsewhere
)

const (
	// provenAfter is how long a task must run to show that it can: one that
	// fails does so at once.
	provenAfter = 5 * time.Second
	// soundFor is how long a success vouches for a machine.
	soundFor = 3 * time.Minute
	// mostDoubt is how long a machine is left alone while it is not clear
	// whether the fault is its own.
	mostDoubt = time.Minute
	// maxFailed bounds the jobs that a machine's view names as failed there.
	maxFailed = 8
)

// judgeJob judges a job by the machines on which its tasks failed, each with
// whether something else succeeded there lately, and by whether any task of
// the job succeeded. Two sound machines tell against the job, or three of which
// nothing is known: that many are seldom faulty at once.
func judgeJob(failedOn map[string]bool, succeeded bool) opinion {
	if succeeded {
		return innocent
	}
	weight := 0
	for _, sound := range failedOn {
		weight += 2
		if sound {
			weight++
		}
	}
	if weight >= 6 {
		return atFault
	}
	return undecided
}

// judgeMachine judges a machine by what is thought of the jobs that failed on
// it since the last success. Two that are innocent, or three that may be, tell
// against it; with two that may be it is left alone, but not for ever.
func judgeMachine(by []opinion, doubted time.Duration) (doubt, suspect bool) {
	clean, open := 0, 0
	for _, o := range by {
		switch o {
		case innocent:
			clean++
		case undecided:
			open++
		}
	}
	if clean >= 2 || clean+open >= 3 {
		return true, true
	}
	doubt = clean+open >= 2
	return doubt, doubt && doubted > mostDoubt
}

// ---- the holder's side: machines

// failed notes that a job's task failed on a machine, succeeded that one
// of a job's tasks ran or was completed.
func (h *Holder) failed(w *worker, job string) {
	w.errorsBy[job] = true
	h.judge(w)
}

func (h *Holder) succeeded(w *worker) {
	w.soundAt = time.Now()
	clear(w.errorsBy)
	h.judge(w)
}

// judge brings up to date what is thought of a machine.
func (h *Holder) judge(w *worker) {
	var by []opinion
	for job := range w.errorsBy {
		j, o := h.jobs[job], h.opinions[job]
		switch {
		case j != nil && j.State == protocol.Done:
			o = innocent
		case j != nil && j.Final():
			delete(w.errorsBy, job) // cancelled: it will never be known
			continue
		}
		by = append(by, o)
	}
	doubted := time.Duration(0)
	if !w.doubted.IsZero() {
		doubted = time.Since(w.doubted)
	}
	doubt, suspect := judgeMachine(by, doubted)
	if doubt != !w.doubted.IsZero() {
		w.doubted = time.Time{}
		if doubt {
			w.doubted = time.Now()
		}
		h.touch(w)
	}
	if suspect != w.suspect {
		w.suspect = suspect
		h.touch(w)
		slog.Info("machine judged", "machine", w.id, "suspect", suspect, "failed", len(by))
	}
}

// hearOpinion takes in what is thought of a job.
func (h *Holder) hearOpinion(job string, o opinion) {
	if j := h.jobs[job]; j == nil || j.Final() {
		return
	}
	h.opinions[job] = o
	for _, w := range h.byID {
		if w.errorsBy[job] {
			h.judge(w)
		}
	}
}

// ---- the owner's side: jobs

// noteFailures takes in which jobs failed on a machine.
func (o *Owner) noteFailures(v *MachineView) {
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
		if was == innocent {
			continue
		}
		js.opinion = judgeJob(js.badOn, o.succeeded(js, now))
		if js.opinion == was {
			continue
		}
		if js.opinion == atFault {
			slog.Info("job fails everywhere", "job", id, "machines", len(js.badOn))
			js.trials, js.trialAt = 0, now.Add(trialAfter)
		} else if was == atFault {
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
	for _, list := range o.board.tasks[js.job.Spec.ID] {
		for _, i := range list {
			if i.exited() && i.Cause == protocol.CauseDone || i.running() && now.Sub(i.ran) >= provenAfter {
				return true
			}
		}
	}
	return false
}

// trialAfter is how long a job at fault is left alone first; the pause doubles
// with each trial, up to trialMost.
const (
	trialAfter = 10 * time.Second
	trialMost  = 2 * time.Minute
)

// onTrial tells whether a job at fault may be tried now: one task at a time
// (all of a gang), more and more rarely.
func (o *Owner) onTrial(js *jobState, now time.Time) bool {
	if js.opinion != atFault {
		return true
	}
	there := len(js.pending) > 0
	for _, list := range o.board.tasks[js.job.Spec.ID] {
		for _, i := range list {
			there = there || !i.exited()
		}
	}
	if js.job.Spec.Shape == protocol.Gang && there {
		return true // its trial is under way
	}
	return !there && !now.Before(js.trialAt)
}

// tried puts the next trial off.
func (js *jobState) tried(now time.Time) {
	js.trialAt = now.Add(min(trialMost, trialAfter<<min(js.trials, 8)))
	js.trials++
}
