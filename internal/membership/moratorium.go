// Package membership decides how controllers may act towards one another while it is unknown which of
// them still have a session in the state service. All decisions are pure functions of a snapshot;
// holders apply their results (docs/design-recovery.md).
//
// A holder may answer its workers as long as no other controller can be entitled to them. Another
// controller becomes entitled in one way only: by taking over the holder's slots in the state service
// after the holder's session ended there. A peer that grants a takeover moratorium gives up that right
// for a limited time. A grant needs no agreement with others, since it limits only the grantor, and any
// grant may be lost.
package membership

import "time"

const (
	// MoratoriumDuration is how long a moratorium lasts from its request. It exceeds a controller's
	// restart time, so that the other controllers keep answering their workers while one restarts. It
	// adds no delay after an outage: sessions then start again with their full, longer duration.
	// LegacyMoratoriumDuration is what the previous version grants.
	MoratoriumDuration       = 12 * time.Second
	LegacyMoratoriumDuration = 5 * time.Second
	// RequestThreshold is the remaining session time at which a holder starts to request moratoria,
	// RequestInterval the time between requests, and RequestTimeout how long it waits for replies.
	RequestThreshold = 4 * time.Second
	RequestInterval  = 1500 * time.Millisecond
	RequestTimeout   = time.Second
	// MinUnservedToGrant is how long the state service must have failed a controller before that
	// controller grants a moratorium; a controller that is served has no reason to grant one.
	MinUnservedToGrant = 3 * time.Second
	// RecoveryPeriod is how long after its start a process is bound by the moratoria that its
	// predecessor may have granted, unless all siblings report what remains of them
	// (RemainingMoratorium).
	RecoveryPeriod = 13 * time.Second
)

// Grantor is what a controller knows when a moratorium is requested of it.
type Grantor struct {
	// Unserved is how long the state service has failed to serve the controller.
	Unserved time.Duration
	// RecordsLoaded reports that the controller has read the records, and RequesterAlive that they
	// contain the requester's session.
	RecordsLoaded, RequesterAlive bool
}

// MayGrant reports whether the controller may grant the moratorium. A controller that is served, or that
// saw the requester's session end, is expected to take over and refuses: it may already have requested
// the slots. A controller that has not read the records cannot have requested them.
func (g Grantor) MayGrant() bool {
	return g.Unserved >= MinUnservedToGrant && (!g.RecordsLoaded || g.RequesterAlive)
}

// MayTakeOver reports whether a process may take over another holder's slots. boundUntil is when the
// last moratorium that the predecessor process may have granted expires, grantedUntil when the
// process's own grant expires.
func MayTakeOver(boundUntil, grantedUntil, now time.Time) bool {
	return !now.Before(boundUntil) && !now.Before(grantedUntil)
}

// RemainingMoratorium returns how long a restarted controller may still be bound by a moratorium that
// its predecessor process granted to this holder, which last requested one at requestedAt (zero: never).
// A moratorium counts from its request, and a process that ended grants no more.
func RemainingMoratorium(requestedAt, now time.Time) time.Duration {
	if requestedAt.IsZero() {
		return 0
	}
	return max(0, upperBound(MoratoriumDuration)-now.Sub(requestedAt))
}

// ExtendEntitlement returns until when a holder that is entitled until a given time may act, after it
// requested a moratorium of all siblings and received the replies. guaranteed is the part of the
// moratorium that is certain to hold by the holder's own clock. Entitlement that lapsed is not regained:
// only a renewed session proves that no other controller took over meanwhile.
func ExtendEntitlement(until, requestedAt time.Time, grantedByAll bool, guaranteed time.Duration, now time.Time) time.Time {
	if end := requestedAt.Add(guaranteed); grantedByAll && now.Before(until) && end.After(until) {
		return end
	}
	return until
}
