package membership

import "time"

// skew is more than twice the rate at which two steady clocks may drift apart.
const skew = 0.002

// shorter and longer turn a duration by one clock into one that is surely within it, or beyond it,
// by another.
func shorter(d time.Duration) time.Duration { return d - drift(d) }
func longer(d time.Duration) time.Duration  { return d + drift(d) }

func drift(d time.Duration) time.Duration { return time.Duration(skew * float64(d)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
