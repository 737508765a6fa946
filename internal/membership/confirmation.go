package membership

import "time"

// Grant is what a controller has granted to a sibling: a moratorium until a time, and when it
// reported its cancellations to that sibling. While it grants again and again ReportedAt stays
// the first time: a later report may not have arrived.
type Grant struct{ Until, ReportedAt time.Time }

// Extend is the grant once the sibling is granted so much more at a time.
func (g Grant) Extend(now time.Time, more time.Duration) Grant {
	if !now.Before(g.Until) {
		g.ReportedAt = now
	}
	return Grant{Until: later(g.Until, now.Add(more)), ReportedAt: g.ReportedAt}
}

// MayConfirm tells whether a process may confirm to users a cancellation that it has known since
// a time. While a grant lasts its sibling renews leases by the last report, so that nothing
// learnt after it may be confirmed; nor may anything before boundUntil, the end of what the
// process before this one may have granted.
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
