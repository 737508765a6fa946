package membership

import (
	"maps"
	"slices"
	"time"
)

// Announcements are the cancellations that users are about to be told of, and which siblings have
// not acknowledged them yet. A sibling that acknowledged one stops the job's tasks and renews none
// of them any more, so that they live for a lease at most from then. The zero value is empty.
//
// Nothing depends on an acknowledgement alone: a sibling that can't be reached may not hold up
// users for long (MayTell), and its own bound (MayRenew) holds whatever was announced.
type Announcements struct {
	missing map[string]map[string]bool // siblings by job
}

// mostAnnounced bounds how many jobs are named to a sibling at a time.
const mostAnnounced = 1024

// Begin has a job announced to siblings; it tells whether that is new.
func (a *Announcements) Begin(job string, siblings []string) bool {
	if a.missing[job] != nil {
		return false
	}
	if a.missing == nil {
		a.missing = map[string]map[string]bool{}
	}
	a.missing[job] = make(map[string]bool, len(siblings))
	for _, name := range siblings {
		a.missing[job][name] = true
	}
	return true
}

// Due are the jobs that a sibling has not acknowledged, in order, as many as are named at a time.
func (a *Announcements) Due(sibling string) []string {
	var jobs []string
	for job, missing := range a.missing {
		if missing[sibling] {
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	return jobs[:min(len(jobs), mostAnnounced)]
}

// Acknowledge takes in that a sibling knows of jobs.
func (a *Announcements) Acknowledge(sibling string, jobs []string) {
	for _, job := range jobs {
		delete(a.missing[job], sibling)
	}
}

// Complete tells whether a job was announced to all siblings that may still act; those whose
// sessions ended may not.
func (a *Announcements) Complete(job string, mayAct func(sibling string) bool) bool {
	missing, begun := a.missing[job]
	if !begun {
		return false
	}
	for name := range missing {
		if mayAct(name) {
			return false
		}
	}
	return true
}

// Forget drops the jobs that need not be announced any more.
func (a *Announcements) Forget(done func(job string) bool) {
	maps.DeleteFunc(a.missing, func(job string, _ map[string]bool) bool { return done(job) })
}

// MayTell tells whether users may be told of a cancellation that this process came to know at a
// time, as far as siblings are concerned: all that may act have acknowledged it, or they were waited
// for long enough.
func MayTell(knownSince time.Time, complete bool, waitFor time.Duration, now time.Time) bool {
	return complete || now.Sub(knownSince) >= waitFor
}
