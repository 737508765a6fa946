package membership

import "time"

// maxDriftRate is more than twice the rate at which two monotonic clocks may drift apart.
const maxDriftRate = 0.002

// lowerBound and upperBound return the least and the greatest duration that another clock may show for
// a duration by this clock.
func lowerBound(d time.Duration) time.Duration { return d - maxDrift(d) }
func upperBound(d time.Duration) time.Duration { return d + maxDrift(d) }

func maxDrift(d time.Duration) time.Duration { return time.Duration(maxDriftRate * float64(d)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
