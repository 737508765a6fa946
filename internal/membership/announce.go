package membership

import (
	"maps"
	"slices"
	"time"
)

// Announcements tracks the cancellations that are announced to siblings before users are told of them,
// and which siblings have not acknowledged each one. A sibling that acknowledged a cancellation stops
// the job's tasks and renews none of them, so they live for at most one lease from then. The zero value
// is empty.
//
// Safety does not depend on acknowledgements: an unreachable sibling delays users for a bounded time
// (AnnouncementDone), and its own limit on renewals (MayRenew) holds whether or not it was told.
type Announcements struct {
	unacknowledged map[string]map[string]bool // siblings by job
}

// maxJobsPerAnnouncement bounds how many jobs one request to a sibling names.
const maxJobsPerAnnouncement = 1024

// Begin starts the announcement of a job to siblings; it reports whether the announcement is new.
func (a *Announcements) Begin(job string, siblings []string) bool {
	if a.unacknowledged[job] != nil {
		return false
	}
	if a.unacknowledged == nil {
		a.unacknowledged = map[string]map[string]bool{}
	}
	a.unacknowledged[job] = make(map[string]bool, len(siblings))
	for _, name := range siblings {
		a.unacknowledged[job][name] = true
	}
	return true
}

// Due returns the sorted jobs that a sibling has not acknowledged, at most as many as one request names.
func (a *Announcements) Due(sibling string) []string {
	var jobs []string
	for job, siblings := range a.unacknowledged {
		if siblings[sibling] {
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	return jobs[:min(len(jobs), maxJobsPerAnnouncement)]
}

// Acknowledge records that a sibling acknowledged jobs.
func (a *Announcements) Acknowledge(sibling string, jobs []string) {
	for _, job := range jobs {
		delete(a.unacknowledged[job], sibling)
	}
}

// Complete reports whether every sibling whose acknowledgement is required has acknowledged a job. A
// sibling whose session ended is not required.
func (a *Announcements) Complete(job string, required func(sibling string) bool) bool {
	siblings, begun := a.unacknowledged[job]
	if !begun {
		return false
	}
	for name := range siblings {
		if required(name) {
			return false
		}
	}
	return true
}

// Forget drops the jobs whose announcement is no longer needed.
func (a *Announcements) Forget(done func(job string) bool) {
	maps.DeleteFunc(a.unacknowledged, func(job string, _ map[string]bool) bool { return done(job) })
}

// AnnouncementDone reports whether siblings no longer prevent this process from telling users of a
// cancellation that it has known since knownSince: all required siblings acknowledged it, or ackTimeout
// has passed.
func AnnouncementDone(knownSince time.Time, complete bool, ackTimeout time.Duration, now time.Time) bool {
	return complete || now.Sub(knownSince) >= ackTimeout
}
