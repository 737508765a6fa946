package membership

import "time"

// Grant is the moratorium that a controller granted to a sibling: when it expires, and when the
// controller reported its cancellations to that sibling. While the grant is extended, ReportedAt stays
// the time of the first report, because a later report may not have arrived.
type Grant struct{ Until, ReportedAt time.Time }

// Extend returns the grant after another moratorium of the given duration is granted.
func (g Grant) Extend(now time.Time, duration time.Duration) Grant {
	if !now.Before(g.Until) {
		g.ReportedAt = now
	}
	return Grant{Until: later(g.Until, now.Add(duration)), ReportedAt: g.ReportedAt}
}

// MayConfirm reports whether a process may confirm to users a cancellation that it has known since
// knownSince. While a grant lasts, the sibling renews leases on the basis of the last report, so no
// cancellation learned after that report may be confirmed. No cancellation at all may be confirmed
// before boundUntil, when the last grant that the predecessor process may have given expires.
func MayConfirm(knownSince, boundUntil time.Time, grants map[string]Grant, now time.Time) bool {
	if now.Before(boundUntil) {
		return false
	}
	for _, g := range grants {
		if now.Before(g.Until) && knownSince.After(g.ReportedAt) {
			return false
		}
	}
	return true
}
