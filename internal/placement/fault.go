package placement

import "time"

// Verdict says whether a job whose tasks failed is itself at fault.
//
// A faulty machine fails the tasks of every job, and a faulty job fails on every machine. Both show as a
// task that ends in an error as soon as it has its image.
type Verdict int

// The verdicts.
const (
	Undecided  Verdict = iota
	AtFault            // the job fails on every machine
	NotAtFault         // the job succeeds elsewhere
)

// How long observations count, and how many failed jobs are reported.
const (
	// ProvenAfter is how long a task must run to count as a success: a faulty one fails at once.
	ProvenAfter = 5 * time.Second
	// SoundFor is how long a success shows that a machine is sound.
	SoundFor = 3 * time.Minute
	// maxQuarantine is how long a machine gets no tasks while it is undecided whether it is at fault.
	maxQuarantine = time.Minute
	// AvoidFor is how long after its last failure a job avoids the machines on which its tasks failed. Longer,
	// and a job could wait for ever where no other machine is to be had, though its machine is well again.
	AvoidFor = time.Minute
	// MaxFailedJobs bounds the failed jobs that a machine's view names.
	MaxFailedJobs = 8
)

// JudgeJob judges a job by whether any of its tasks succeeded, and by the machines on which its tasks failed.
// failedOn tells for each of these machines whether it is sound: whether another task succeeded there recently.
// The job is at fault after failures on two sound machines, or on three about which nothing is known: three
// machines are seldom faulty at once.
func JudgeJob(failedOn map[string]bool, succeeded bool) Verdict {
	if succeeded {
		return NotAtFault
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

// JudgeMachine judges a machine by the verdicts on the jobs that failed on it since its last success. It is
// suspect if two of them are not at fault, or if three are not known to be at fault; with two of the latter
// it is quarantined, and becomes suspect after maxQuarantine.
func JudgeMachine(verdicts []Verdict, quarantinedFor time.Duration) (quarantine, suspect bool) {
	notAtFault, undecided := 0, 0
	for _, v := range verdicts {
		switch v {
		case NotAtFault:
			notAtFault++
		case Undecided:
			undecided++
		}
	}
	if notAtFault >= 2 || notAtFault+undecided >= 3 {
		return true, true
	}
	quarantine = notAtFault+undecided >= 2
	return quarantine, quarantine && quarantinedFor > maxQuarantine
}

// A job at fault is retried after MinRetryBackoff; the backoff doubles with each retry up to MaxRetryBackoff.
const (
	MinRetryBackoff = 10 * time.Second
	MaxRetryBackoff = 2 * time.Minute
)

// RetryBackoff is the backoff before the next retry of a job at fault that was retried so many times.
func RetryBackoff(retries int) time.Duration {
	return min(MaxRetryBackoff, MinRetryBackoff<<min(retries, 8))
}
