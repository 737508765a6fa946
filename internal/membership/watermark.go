package membership

import (
	"slices"
	"time"
)

// Which cancellations a holder surely knows of, and so for how long it may renew the leases of
// what runs (invariant 9, docs/design-recovery.md).
//
// An answer to a report has all that runs there live for another lease, and whatever is said
// later may not reach the machine. So an answer is given only if nothing that it renews can
// outlive a cancellation that some controller confirmed to a user. What the holder knows to be
// cancelled, the answer itself stops. Of the rest it knows that it was confirmed after its
// watermark: a time, by the holder's own clock, up to which it knows every cancellation that
// anyone confirmed. That its session was renewed is no proof of one, since what it reads may
// lag. Proofs are records that are as new as a read which began then, and, while nothing is
// served, the reports of all siblings.

// CancellationReport is what a controller tells about the cancellations that it knows.
type CancellationReport struct {
	// ProcessAge is for how long its process has lived at least. RecordsAge is how long ago at
	// most the read began that its records are as new as; 0: it has read none.
	ProcessAge, RecordsAge time.Duration
	// Complete: it named all that it came to know since the time asked for.
	Complete bool
	// SilentFor is for how long from when it was asked it confirms none beyond these.
	SilentFor time.Duration
}

// PeerKnowledge is what a holder knows of a sibling: all that any process of its knew up to
// KnownThrough, and that none confirms anything more up to SilentUntil.
type PeerKnowledge struct{ KnownThrough, SilentUntil time.Time }

// Watermark is how far a holder's knowledge of cancellations reaches: ByRecords is by records,
// its own or those of a sibling that told what is in them. All siblings stand in BySibling, also
// those that never reported.
type Watermark struct {
	ByRecords time.Time
	BySibling map[string]PeerKnowledge
}

// NewWatermark is that of a holder which knows nothing yet and has these siblings.
func NewWatermark(siblings []string) Watermark {
	w := Watermark{BySibling: make(map[string]PeerKnowledge, len(siblings))}
	for _, name := range siblings {
		w.BySibling[name] = PeerKnowledge{}
	}
	return w
}

// ObserveRecords takes in that the records at hand are as new as a read that began then.
func (w *Watermark) ObserveRecords(began time.Time) { w.ByRecords = later(w.ByRecords, began) }

// Time is the watermark itself: by records, or by the reports of all siblings.
func (w *Watermark) Time() time.Time {
	through := make([]time.Time, 0, len(w.BySibling))
	for _, peer := range w.BySibling {
		through = append(through, peer.KnownThrough)
	}
	if len(through) == 0 {
		return w.ByRecords
	}
	return later(w.ByRecords, slices.MinFunc(through, time.Time.Compare))
}

// ObserveReport takes in a sibling's report, whose cancellations are known by now: it was asked
// at a time for what it knows since the watermark of then, and the reply came at another.
//
// A process speaks for the one before it only where that one surely knew nothing that it had
// not told: it has ended by the time at which this one began, at the latest received less its
// age. If that is after all that was told and granted, a cancellation may have been confirmed
// that no living process knows of; only records tell then.
func (w *Watermark) ObserveReport(name string, r CancellationReport, asked, received time.Time) {
	if !r.Complete {
		return
	}
	peer := w.BySibling[name]
	if r.RecordsAge > 0 {
		w.ObserveRecords(asked.Add(-longer(r.RecordsAge)))
	}
	began := received.Add(-shorter(r.ProcessAge))
	vouchedFor := later(peer.KnownThrough, later(peer.SilentUntil, w.ByRecords))
	if !began.After(vouchedFor) {
		peer.KnownThrough = later(peer.KnownThrough, asked)
		peer.SilentUntil = later(peer.SilentUntil, asked.Add(shorter(r.SilentFor)))
	}
	w.BySibling[name] = peer
}

// MayRenew tells whether a report may be answered: what the answer renews is gone, at the
// latest, within cancel of anything that was confirmed after the watermark. renewFor is how much
// longer a cancellation may take than a lease lasts, by whatever clock.
func MayRenew(watermark time.Time, renewFor time.Duration, now time.Time) bool {
	return now.Sub(watermark) <= renewFor
}
