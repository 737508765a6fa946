package membership

import "time"

// Cancellations are the jobs that a controller knows to be cancelled, and since when. The oldest
// are forgotten, so that memory is bounded. The zero value is empty.
type Cancellations struct {
	known map[string]time.Time
	order []string
	// forgottenThrough is when the newest of those that were forgotten came to be known.
	forgottenThrough time.Time
}

// mostCancellations bounds how many are remembered: more than the state service takes in the
// time by which a watermark may lie behind.
const mostCancellations = 8192

// Learn notes a job; it tells whether that is news.
func (c *Cancellations) Learn(job string, now time.Time) bool {
	if _, old := c.known[job]; old {
		return false
	}
	if c.known == nil {
		c.known = map[string]time.Time{}
	}
	if len(c.order) == mostCancellations {
		c.forgetOldest()
	}
	c.known[job] = now
	c.order = append(c.order, job)
	return true
}

func (c *Cancellations) forgetOldest() {
	oldest := c.order[0]
	c.forgottenThrough = c.known[oldest]
	delete(c.known, oldest)
	c.order = c.order[1:]
}

// Has tells whether a job is known to be cancelled.
func (c *Cancellations) Has(job string) bool {
	_, known := c.known[job]
	return known
}

// KnownSince is since when a job is known to be cancelled.
func (c *Cancellations) KnownSince(job string) time.Time { return c.known[job] }

// Since are the jobs that came to be known at a time or later; complete tells whether these are
// all.
func (c *Cancellations) Since(t time.Time) (jobs []string, complete bool) {
	for k := len(c.order) - 1; k >= 0 && !c.known[c.order[k]].Before(t); k-- {
		jobs = append(jobs, c.order[k])
	}
	return jobs, c.forgottenThrough.Before(t)
}
