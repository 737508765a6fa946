package membership

import (
	"slices"
	"time"
)

// This file decides which cancellations a holder is certain to know of, and therefore how long it may
// renew the leases of running tasks (invariant 9, docs/design-recovery.md).
//
// The answer to a report lets all tasks of that machine live for another lease, and a later message may
// not reach the machine. A holder therefore answers only if nothing that the answer renews can outlive a
// cancellation that some controller confirmed to a user. The answer itself stops the tasks of jobs that
// the holder knows to be cancelled. Any other confirmed cancellation was confirmed after the holder's
// watermark: the time, by the holder's own clock, up to which it knows every cancellation that any
// controller confirmed. A renewed session does not advance the watermark, because the records that the
// holder reads may lag. The watermark advances by records that are as new as a read which began at a
// known time and, while the state service is unavailable, by the reports of all siblings.

// CancellationReport is a controller's report on the cancellations that it knows.
type CancellationReport struct {
	// ProcessAge is the minimum age of the reporting process. RecordsAge is the maximum age of its
	// records, counted from the start of the read that they are as new as; 0 if it has read none.
	ProcessAge, RecordsAge time.Duration
	// Complete reports that the report names every cancellation learned since the requested time.
	Complete bool
	// SilentFor is how long after the request the controller confirms no cancellation beyond those named.
	SilentFor time.Duration
}

// PeerKnowledge is what a holder knows about a sibling. The holder knows every cancellation that any
// process of the sibling knew up to KnownThrough, and no such process confirms another one before
// SilentUntil.
type PeerKnowledge struct{ KnownThrough, SilentUntil time.Time }

// Watermark is the extent of a holder's knowledge of cancellations. RecordsThrough is the extent known
// from records, either its own or those of a sibling that reported their contents. BySibling contains
// every sibling, including those that never reported.
type Watermark struct {
	RecordsThrough time.Time
	BySibling      map[string]PeerKnowledge
}

// NewWatermark returns the watermark of a holder that has the given siblings and knows nothing yet.
func NewWatermark(siblings []string) Watermark {
	w := Watermark{BySibling: make(map[string]PeerKnowledge, len(siblings))}
	for _, name := range siblings {
		w.BySibling[name] = PeerKnowledge{}
	}
	return w
}

// ObserveRecords records that the holder's records are as new as a read that began at the given time.
func (w *Watermark) ObserveRecords(began time.Time) {
	w.RecordsThrough = later(w.RecordsThrough, began)
}

// Time returns the watermark: the later of that by records and that by the reports of all siblings.
func (w *Watermark) Time() time.Time {
	through := make([]time.Time, 0, len(w.BySibling))
	for _, peer := range w.BySibling {
		through = append(through, peer.KnownThrough)
	}
	if len(through) == 0 {
		return w.RecordsThrough
	}
	return later(w.RecordsThrough, slices.MinFunc(through, time.Time.Compare))
}

// ObserveReport applies a sibling's report. The holder requested the cancellations since its watermark
// at askedAt, received the reply at receivedAt, and has already learned the cancellations in it.
//
// The report of a process also covers the predecessor process only if the predecessor knew no
// cancellation beyond those it reported. The predecessor had ended when this process began, which was at
// the latest receivedAt minus the process age. If that is after everything that the sibling reported and
// granted, the predecessor may have confirmed a cancellation that no living process knows of; then only
// records advance the watermark.
func (w *Watermark) ObserveReport(name string, r CancellationReport, askedAt, receivedAt time.Time) {
	if !r.Complete {
		return
	}
	peer := w.BySibling[name]
	if r.RecordsAge > 0 {
		w.ObserveRecords(askedAt.Add(-upperBound(r.RecordsAge)))
	}
	began := receivedAt.Add(-lowerBound(r.ProcessAge))
	coveredUntil := later(peer.KnownThrough, later(peer.SilentUntil, w.RecordsThrough))
	if !began.After(coveredUntil) {
		peer.KnownThrough = later(peer.KnownThrough, askedAt)
		peer.SilentUntil = later(peer.SilentUntil, askedAt.Add(lowerBound(r.SilentFor)))
	}
	w.BySibling[name] = peer
}

// MayRenew reports whether a machine's report may be answered: every task that the answer renews ends
// within the cancellation deadline of any cancellation confirmed after the watermark. maxLag is the
// cancellation deadline minus the lease, allowing for clock drift.
func MayRenew(watermark time.Time, maxLag time.Duration, now time.Time) bool {
	return now.Sub(watermark) <= maxLag
}
