// Package membership decides what controllers may do about one another while it is not known
// which of them the state service still has a session for. All of it is pure functions of a
// snapshot; holders ask, and act on the answer (docs/design-recovery.md).
//
// A holder may answer its workers as long as nobody else can be entitled to them. Somebody else
// becomes so in one way: by taking over its slots in the state service after its session ended
// there. A peer that grants a takeover moratorium gives up that right for a while. It needs no
// agreement with others, since it limits the grantor alone, and any grant may be lost.
package membership

import "time"

const (
	// MoratoriumFor is how long a moratorium lasts from when it was requested: longer than a
	// controller takes to restart, so that the others ride on while one is away. It costs nothing
	// after an outage, since sessions have their full time again then, which is longer.
	// BriefMoratoriumFor is what the version before grants.
	MoratoriumFor      = 12 * time.Second
	BriefMoratoriumFor = 5 * time.Second
	// RequestFrom is how much of its session a holder has left when it begins to request
	// moratoria, RequestEvery how often it does so then, and RequestTimeout how long it waits for
	// the replies.
	RequestFrom    = 4 * time.Second
	RequestEvery   = 1500 * time.Millisecond
	RequestTimeout = time.Second
	// GrantAfterUnserved is for how long the state service must have failed a controller before
	// it grants a moratorium: one that is served has no reason to.
	GrantAfterUnserved = 3 * time.Second
	// RecoveryPeriod is for how long after its start a process is bound by what the process
	// before it may have granted, unless all siblings tell it what that is (Outstanding).
	RecoveryPeriod = 13 * time.Second
)

// Grantor is what a controller knows when a moratorium is requested of it.
type Grantor struct {
	// Unserved is for how long the state service has not done what it asked.
	Unserved time.Duration
	// RecordsLoaded tells that it has read the records, and RequesterAlive that by them the
	// requester's session lives.
	RecordsLoaded, RequesterAlive bool
}

// Grants tells whether it grants the moratorium. A controller that is served, or that saw the
// requester's session end, is to take over and refuses: it may have asked for the slots already.
// One that has read no records yet can't have.
func (g Grantor) Grants() bool {
	return g.Unserved >= GrantAfterUnserved && (!g.RecordsLoaded || g.RequesterAlive)
}

// MayTakeOver tells whether a process may take over slots that another holds: boundUntil is the
// end of what the process before it may have granted, grantedUntil of what it granted itself.
func MayTakeOver(boundUntil, grantedUntil, now time.Time) bool {
	return !now.Before(boundUntil) && !now.Before(grantedUntil)
}

// Outstanding is for how long a restarted controller may still be bound by what its former
// process granted to this holder, which requested moratoria last at a time (zero: never). A
// moratorium counts from its request, and a process that ended grants no more.
func Outstanding(requested, now time.Time) time.Duration {
	if requested.IsZero() {
		return 0
	}
	return max(0, longer(MoratoriumFor)-now.Sub(requested))
}

// ExtendEntitlement is until when a holder may act that may do so until a time, after it
// requested a moratorium of all siblings and the replies have come. Entitlement that lapsed once
// is not regained: only a renewed session proves that nobody took over meanwhile. surely is how
// much of a moratorium surely holds by the holder's own clock.
func ExtendEntitlement(until, requested time.Time, grantedByAll bool, surely time.Duration, now time.Time) time.Time {
	if end := requested.Add(surely); grantedByAll && now.Before(until) && end.After(until) {
		return end
	}
	return until
}
