package placement

import "time"

// Who is to blame when tasks fail. A faulty machine fails the tasks of every
// job, a job that was submitted with a mistake fails on every machine; both
// show as a task that ends in an error as soon as it has its image.

// Opinion is what is thought of a job that failed somewhere.
type Opinion int

// The opinions.
const (
	Undecided Opinion = iota
	AtFault           // it fails wherever it is started
	Innocent          // it succeeds elsewhere
)

// How long what was seen counts, and how much is named.
const (
	// ProvenAfter is how long a task must run to show that it can: one that
	// fails does so at once.
	ProvenAfter = 5 * time.Second
	// SoundFor is how long a success vouches for a machine.
	SoundFor = 3 * time.Minute
	// mostDoubt is how long a machine is left alone while it is not clear
	// whether the fault is its own.
	mostDoubt = time.Minute
	// MaxFailed bounds the jobs that a machine's view names as failed there.
	MaxFailed = 8
)

// JudgeJob judges a job by the machines on which its tasks failed, each with
// whether something else succeeded there lately, and by whether any task of
// the job succeeded. Two sound machines tell against the job, or three of which
// nothing is known: that many are seldom faulty at once.
func JudgeJob(failedOn map[string]bool, succeeded bool) Opinion {
	if succeeded {
		return Innocent
	}
	weight := 0
	for _, sound := range failedOn {
		weight += 2
		if sound {
			weight++
		}
	}
	if weight >= 6 {
		return AtFault
	}
	return Undecided
}

// JudgeMachine judges a machine by what is thought of the jobs that failed on
// it since the last success. Two that are innocent, or three that may be, tell
// against it; with two that may be it is left alone, but not for ever.
func JudgeMachine(by []Opinion, doubted time.Duration) (doubt, suspect bool) {
	clean, open := 0, 0
	for _, o := range by {
		switch o {
		case Innocent:
			clean++
		case Undecided:
			open++
		}
	}
	if clean >= 2 || clean+open >= 3 {
		return true, true
	}
	doubt = clean+open >= 2
	return doubt, doubt && doubted > mostDoubt
}

// A job at fault is left alone for TrialAfter first; the pause doubles with each
// trial, up to TrialMost.
const (
	TrialAfter = 10 * time.Second
	TrialMost  = 2 * time.Minute
)

// NextTrial is the pause before the next trial of a job at fault that had so
// many.
func NextTrial(trials int) time.Duration { return min(TrialMost, TrialAfter<<min(trials, 8)) }
