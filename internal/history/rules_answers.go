package history

import (
	"time"

	"daledyke/internal/protocol"
)

// The rules on what users are told.

// Unanswered is the longest time for which questions about one accepted job went
// unanswered since the last trouble was over.
func (c *Checker) Unanswered() time.Duration { return c.longest }

// answer judges what a user is told.
func (c *Checker) answer(e Event) {
	j := c.jobs[e.Job]
	ok := e.Code == 200 || e.Code == 201
	if j == nil {
		if ok {
			c.breaks(Invented, "%s, which nobody submitted, is called %s", e.Job, e.Status)
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
		c.breaks(Forgotten, "%s was accepted, and a repeated submission is answered %d", e.Job, e.Code)
	case e.Kind != Answered && j.accepted && e.Code == 404:
		c.breaks(Forgotten, "%s was accepted, and is not known any more", e.Job)
	}
	if !ok {
		return
	}
	if j.told != "" && e.Status != j.told {
		c.breaks(WentBack, "%s was called %s, and is called %s", e.Job, j.told, e.Status)
		return
	}
	switch e.Status {
	case protocol.Done:
		if len(j.done) < j.spec.Tasks && j.told == "" {
			c.breaks(NotDone, "%s is called done with %d of %d tasks", e.Job, len(j.done), j.spec.Tasks)
		}
		j.told = protocol.Done
	case protocol.Cancelled:
		if !c.mayBeCancelled(j, map[*job]bool{}) {
			c.breaks(WentBack, "%s is called cancelled, and its user did not cancel it", e.Job)
		}
		if j.told == "" {
			j.cancelled = e.At
		}
		j.told = protocol.Cancelled
	}
}

// mayBeCancelled: a job is cancelled by its user, or with one that it needs. seen are those
// that were looked at.
func (c *Checker) mayBeCancelled(j *job, seen map[*job]bool) bool {
	if j.asked || seen[j] {
		return j.asked
	}
	seen[j] = true
	for _, id := range j.spec.Needs {
		if n := c.jobs[id]; n != nil && c.mayBeCancelled(n, seen) {
			return true
		}
	}
	return false
}

// polled follows for how long a job's polls fail.
func (c *Checker) polled(j *job, e Event) {
	if j.accepted && j.silent >= 0 && len(c.troubles) == 0 {
		c.longest = max(c.longest, e.At-max(j.silent, c.calm))
	}
	if e.Code == 200 || e.Code == 404 {
		c.answered++
		j.silent = -1
		return
	}
	c.failed++
	switch {
	case !j.accepted:
	case j.silent < 0:
		j.silent, j.polls, j.failed = e.At, c.answered, c.failed
	case e.At-j.silent > unanswered && c.answered-j.polls > c.failed-j.failed:
		c.breaks(Forgotten, "no poll for %s is answered for %v, while most others are", e.Job, e.At-j.silent)
		j.silent = e.At // once in so long
	case !j.asked && len(c.troubles) == 0 && e.At-max(j.silent, c.calm) > unansweredCalm:
		c.breaks(Forgotten, "no poll for %s is answered for %v, and nothing is amiss", e.Job, e.At-max(j.silent, c.calm))
		j.silent = e.At
	}
}
