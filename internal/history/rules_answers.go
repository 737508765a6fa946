package history

import (
	"time"

	"daledyke/internal/protocol"
)

// Rules on the answers that users receive.

// LongestUnanswered is the longest time without an answer to polls for one accepted job since the last
// fault ended.
func (c *Checker) LongestUnanswered() time.Duration { return c.longestUnanswered }

// answer checks an answer that a user received.
func (c *Checker) answer(e Event) {
	j := c.jobs[e.Job]
	ok := e.Code == 200 || e.Code == 201
	if j == nil {
		if ok {
			c.violate(Invented, "%s, which nobody submitted, is called %s", e.Job, e.Status)
		}
		return
	}
	if e.Kind == Polled {
		c.polled(j, e)
	}
	switch {
	case ok && e.Kind == Answered:
		j.accepted = true
	case e.Kind == Answered && j.accepted && (e.Code == 400 || e.Code == 422):
		c.violate(Forgotten, "%s was accepted, and a repeated submission is answered %d", e.Job, e.Code)
	case e.Kind != Answered && j.accepted && e.Code == 404:
		c.violate(Forgotten, "%s was accepted, and is not known any more", e.Job)
	}
	if !ok {
		return
	}
	if j.finalStatus != "" && e.Status != j.finalStatus {
		c.violate(WentBack, "%s was called %s, and is called %s", e.Job, j.finalStatus, e.Status)
		return
	}
	switch e.Status {
	case protocol.Done:
		if len(j.done) < j.spec.Tasks && j.finalStatus == "" {
			c.violate(NotDone, "%s is called done with %d of %d tasks", e.Job, len(j.done), j.spec.Tasks)
		}
		j.finalStatus = protocol.Done
	case protocol.Cancelled:
		if !c.cancelledByUser(j, map[*job]bool{}) {
			c.violate(WentBack, "%s is called cancelled, and its user did not cancel it", e.Job)
		}
		if j.finalStatus == "" {
			j.cancelled = e.At
		}
		j.finalStatus = protocol.Cancelled
	}
}

// cancelledByUser reports whether the user cancelled the job or a job that it depends on. seen holds the jobs
// already visited.
func (c *Checker) cancelledByUser(j *job, seen map[*job]bool) bool {
	if j.cancelAsked || seen[j] {
		return j.cancelAsked
	}
	seen[j] = true
	for _, id := range j.spec.Needs {
		if n := c.jobs[id]; n != nil && c.cancelledByUser(n, seen) {
			return true
		}
	}
	return false
}

// polled processes the answer to a status poll and checks how long polls for the job have failed.
func (c *Checker) polled(j *job, e Event) {
	if j.accepted && j.unansweredSince >= 0 && len(c.activeFaults) == 0 {
		c.longestUnanswered = max(c.longestUnanswered, e.At-max(j.unansweredSince, c.faultFreeSince))
	}
	if e.Code == 200 || e.Code == 404 {
		c.answered++
		j.unansweredSince = -1
		return
	}
	c.failed++
	switch {
	case !j.accepted:
	case j.unansweredSince < 0:
		j.unansweredSince, j.answeredBefore, j.failedBefore = e.At, c.answered, c.failed
	case e.At-j.unansweredSince > unanswered && c.answered-j.answeredBefore > c.failed-j.failedBefore:
		c.violate(Forgotten, "no poll for %s is answered for %v, while most others are", e.Job, e.At-j.unansweredSince)
		j.unansweredSince = e.At // repeat the violation only after the same interval
	case !j.cancelAsked && len(c.activeFaults) == 0 && e.At-max(j.unansweredSince, c.faultFreeSince) > unansweredNoFaults:
		c.violate(Forgotten, "no poll for %s is answered for %v, and nothing is amiss", e.Job, e.At-max(j.unansweredSince, c.faultFreeSince))
		j.unansweredSince = e.At
	}
}
