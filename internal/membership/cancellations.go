package membership

import "time"

// Cancellations records which jobs a controller knows to be cancelled, and since when. The oldest
// entries are forgotten to bound memory. The zero value is empty.
type Cancellations struct {
	learnedAt map[string]time.Time
	order     []string
	// forgottenThrough is when the newest of the forgotten cancellations was learned.
	forgottenThrough time.Time
}

// maxCancellations bounds how many cancellations are remembered. It exceeds the number that the state
// service can accept in the time by which a watermark may lag.
const maxCancellations = 8192

// Learn records that a job is cancelled; it reports whether that is new.
func (c *Cancellations) Learn(job string, now time.Time) bool {
	if _, known := c.learnedAt[job]; known {
		return false
	}
	if c.learnedAt == nil {
		c.learnedAt = map[string]time.Time{}
	}
	if len(c.order) == maxCancellations {
		c.forgetOldest()
	}
	c.learnedAt[job] = now
	c.order = append(c.order, job)
	return true
}

func (c *Cancellations) forgetOldest() {
	oldest := c.order[0]
	c.forgottenThrough = c.learnedAt[oldest]
	delete(c.learnedAt, oldest)
	c.order = c.order[1:]
}

// Has reports whether a job is known to be cancelled.
func (c *Cancellations) Has(job string) bool {
	_, known := c.learnedAt[job]
	return known
}

// KnownSince returns when a job's cancellation was learned, zero if it is not known.
func (c *Cancellations) KnownSince(job string) time.Time { return c.learnedAt[job] }

// Since returns the jobs whose cancellation was learned at t or later; complete reports whether none of
// them has been forgotten.
func (c *Cancellations) Since(t time.Time) (jobs []string, complete bool) {
	for k := len(c.order) - 1; k >= 0 && !c.learnedAt[c.order[k]].Before(t); k-- {
		jobs = append(jobs, c.order[k])
	}
	return jobs, c.forgottenThrough.Before(t)
}
