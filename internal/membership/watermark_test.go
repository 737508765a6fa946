package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// An explicit-state model of one holder, its siblings and one cancellation. The state service may be
// unavailable to all controllers or to one of them; processes end and restart; the cancellation is
// recorded, with or without a reply, and confirmed; report requests and replies are delayed, lost or
// never sent. A step is a second. The model calls the decisions of this package. In no state may the
// holder lack a cancellation that was confirmed before its watermark, or answer a report such that a
// task outlives its cancellation. Time spent waiting for acknowledgements shortens the allowed time.

const (
	tick            = time.Second
	maxAge          = 16 // greatest age that is distinguished; states with greater ages are not explored
	never           = int8(-1)
	maxLagTicks     = 12 // ticks
	ackTimeoutTicks = 5  // ticks after which a version that waits for acknowledgements stops waiting
)

// reportRequest is a request of the holder for a sibling's report, and its reply.
type reportRequest struct {
	askedAge     int8 // ticks since it was sent; never: none is in flight
	watermarkAge int8
	answered     bool
	// Contents of the reply, as of the time of the reply.
	processAge, recordsAge     int8
	granted, namesCancellation bool
}

// siblingState is a sibling in the model.
type siblingState struct {
	served, down           bool
	unserved               int8 // ticks since the sibling was served
	processAge             int8 // of the sibling's process
	boundFor               int8 // remaining ticks for which grants of the predecessor process bind it
	askedAge               int8 // ticks since the holder last requested its report
	recordsAge             int8 // age of its records; never: none read
	knownAge               int8 // ticks since it learned of the cancellation; never: unknown to it
	acknowledged           bool // the holder acknowledged the cancellation to the sibling
	grantLeft, reportedAge int8 // its grant: remaining ticks, and ticks since its first report
	// What the holder knows about the sibling, as ages; a silentUntilAge in the future is negative.
	knownThroughAge, silentUntilAge int8
	request                         reportRequest
}

// watermarkModel is one state of the model.
type watermarkModel struct {
	recorded, knows     bool // the cancellation is recorded in the state service; the holder knows it
	confirmedAge        int8 // ticks since the cancellation was confirmed; never: not confirmed
	served              bool // the state service serves the holder
	recordsAge          int8 // age of the holder's records
	readAge             int8 // ticks since its current read began; never: none is in progress
	readHasCancellation bool // the read will return the cancellation
	siblings            [2]siblingState
}

// watermarkFaults are deliberate faults in the decisions; the model must detect each.
type watermarkFaults struct {
	renewalAdvancesWatermark, trustsYoungProcess, confirmsDuringGrant, confirmsInRecovery, ignoresMaxLag, countsFromReply, omitsKnown, reportsNothingOutstanding, skipsAcknowledgement, countsAnySibling bool
	// waitsForAcks is not a fault: acknowledgements are waited for, which the previous version does not do.
	waitsForAcks bool
}

// ackTimeout returns for how many ticks acknowledgements are waited for.
func (m *watermarkFaults) ackTimeout() int8 {
	if m.waitsForAcks {
		return ackTimeoutTicks
	}
	return 0
}

var noon = time.Unix(1_000_000, 0)

func ago(age int8) time.Time { return noon.Add(-time.Duration(age) * tick) }

func (w *watermarkModel) watermark(n int) (h Watermark) {
	h = Watermark{RecordsThrough: ago(w.recordsAge), BySibling: map[string]PeerKnowledge{}}
	for k := range n {
		h.BySibling[fmt.Sprint(k)] = PeerKnowledge{KnownThrough: ago(w.siblings[k].knownThroughAge), SilentUntil: ago(w.siblings[k].silentUntilAge)}
	}
	return h
}

func ageOf(t time.Time) int8 {
	// A time between two ticks counts as the earlier tick, which claims less knowledge.
	d := noon.Sub(t)
	a := d / tick
	if d > 0 && d%tick != 0 {
		a++
	}
	return int8(min(a, maxAge+1))
}

// violation describes which invariant the state violates, "" if none.
func (w *watermarkModel) violation(n int, faults watermarkFaults) string {
	if w.confirmedAge == never || w.knows {
		return ""
	}
	h := w.watermark(n)
	if ago(w.confirmedAge).Before(h.Time()) {
		return "a cancellation was confirmed before the watermark but is unknown to the holder"
	}
	if (MayRenew(h.Time(), maxLagTicks*tick, noon) || faults.ignoresMaxLag) && w.confirmedAge > maxLagTicks-faults.ackTimeout() {
		return "a renewed task outlives its cancellation"
	}
	return ""
}

// advance lets a tick pass.
func (w *watermarkModel) advance(n int) {
	grow := func(a *int8) {
		if *a != never && *a <= maxAge {
			*a++
		}
	}
	grow(&w.confirmedAge)
	grow(&w.recordsAge)
	grow(&w.readAge)
	for k := range n {
		s := &w.siblings[k]
		for _, a := range []*int8{&s.recordsAge, &s.knownAge, &s.reportedAge, &s.knownThroughAge, &s.request.askedAge, &s.askedAge} {
			grow(a)
		}
		if s.silentUntilAge <= maxAge {
			s.silentUntilAge++
		}
		if s.grantLeft > 0 {
			s.grantLeft--
		}
		if s.boundFor > 0 {
			s.boundFor--
		}
		if s.processAge <= maxAge && !s.down {
			s.processAge++
		}
		if s.served {
			s.unserved = 0
		} else if s.unserved <= maxAge {
			s.unserved++
		}
		if s.request.askedAge != never && time.Duration(s.request.askedAge)*tick > RequestTimeout {
			s.request = reportRequest{askedAge: never} // the request timed out
		}
	}
}

func (s *siblingState) grants() map[string]Grant {
	return map[string]Grant{"h": {Until: noon.Add(time.Duration(s.grantLeft) * tick), ReportedAt: ago(s.reportedAge)}}
}

// next returns the possible successor states.
func (w watermarkModel) next(n int, faults watermarkFaults) (all []watermarkModel) {
	add := func(change func(*watermarkModel)) {
		c := w
		change(&c)
		if c != w {
			all = append(all, c)
		}
	}
	add(func(c *watermarkModel) { c.advance(n) })
	for _, unavailable := range []bool{true, false} { // the service is unavailable to all or to none; below, to the holder or one sibling alone
		add(func(c *watermarkModel) {
			c.served = !unavailable
			for k := range n {
				c.siblings[k].served = !unavailable
			}
		})
	}
	add(func(c *watermarkModel) { c.served = false })
	add(func(c *watermarkModel) { c.siblings[0].served = false })
	if w.served {
		if w.readAge == never {
			add(func(c *watermarkModel) { c.readAge, c.readHasCancellation = 0, c.recorded })
		}
		if faults.renewalAdvancesWatermark {
			add(func(c *watermarkModel) { c.recordsAge = 0 })
		}
	}
	if w.readAge != never {
		add(func(c *watermarkModel) {
			h := c.watermark(n)
			h.ObserveRecords(ago(c.readAge))
			c.recordsAge, c.knows = ageOf(h.RecordsThrough), c.knows || c.readHasCancellation
			c.readAge, c.readHasCancellation = never, false
		})
		add(func(c *watermarkModel) { c.readAge, c.readHasCancellation = never, false })
	}
	for k := range n {
		s := w.siblings[k]
		// The sibling ends or starts again.
		add(func(c *watermarkModel) {
			s := &c.siblings[k]
			if s.down {
				s.down = false
				return
			}
			s.down, s.processAge, s.recordsAge, s.knownAge, s.grantLeft, s.reportedAge, s.unserved = true, 0, never, never, 0, 0, int8(MinUnservedToGrant/tick)
			s.acknowledged = false
			s.boundFor = int8(RecoveryPeriod / tick)
			if !s.request.answered {
				s.request = reportRequest{askedAge: never}
			}
		})
		if s.down {
			continue
		}
		if s.boundFor > 0 { // the holder reports what remains of the predecessor's grant
			add(func(c *watermarkModel) {
				remaining := RemainingMoratorium(ago(s.askedAge), noon)
				if faults.reportsNothingOutstanding {
					remaining = 0
				}
				c.siblings[k].boundFor = int8(min(RecoveryPeriod, remaining+tick-1) / tick)
			})
		}
		if s.served {
			add(func(c *watermarkModel) { // the sibling reads the records
				s := &c.siblings[k]
				if s.recordsAge, s.unserved = 0, 0; c.recorded && s.knownAge == never {
					s.knownAge = 0
				}
			})
			if !w.recorded {
				add(func(c *watermarkModel) { c.recorded = true }) // the sibling's user cancels, and the sibling receives no reply
				add(func(c *watermarkModel) { c.recorded, c.siblings[k].knownAge = true, 0 })
			}
		}
		if faults.waitsForAcks && s.knownAge != never && !s.acknowledged {
			add(func(c *watermarkModel) { c.siblings[k].acknowledged, c.knows = true, true }) // the sibling announces the cancellation
			if faults.countsAnySibling {
				add(func(c *watermarkModel) { c.siblings[k].acknowledged = true }) // another sibling's acknowledgement is taken for the holder's
			}
		}
		if s.knownAge != never && w.confirmedAge == never && (faults.skipsAcknowledgement || AnnouncementDone(ago(s.knownAge), s.acknowledged, time.Duration(faults.ackTimeout())*tick, noon)) {
			boundUntil := ago(-s.boundFor)
			if faults.confirmsInRecovery {
				boundUntil = noon
			}
			if faults.confirmsDuringGrant || MayConfirm(ago(s.knownAge), boundUntil, s.grants(), noon) {
				add(func(c *watermarkModel) { c.confirmedAge = 0 })
			}
		}
		if s.request.askedAge == never {
			add(func(c *watermarkModel) {
				h := c.watermark(n)
				c.siblings[k].request, c.siblings[k].askedAge = reportRequest{askedAge: 0, watermarkAge: ageOf(h.Time())}, 0
			})
		} else if !s.request.answered {
			add(func(c *watermarkModel) {
				s := &c.siblings[k]
				s.request.answered, s.request.processAge, s.request.recordsAge = true, s.processAge, s.recordsAge
				s.request.granted = Grantor{Unserved: time.Duration(s.unserved) * tick, RecordsLoaded: s.recordsAge != never, RequesterAlive: true}.MayGrant()
				s.request.namesCancellation = s.knownAge != never && time.Duration(s.knownAge-s.request.watermarkAge)*tick <= RequestTimeout && !faults.omitsKnown
				if s.request.granted {
					g := s.grants()["h"].Extend(noon, MoratoriumDuration)
					s.grantLeft, s.reportedAge = int8(g.Until.Sub(noon)/tick), ageOf(g.ReportedAt)
				}
			})
		} else {
			add(func(c *watermarkModel) {
				s := &c.siblings[k]
				c.knows = c.knows || s.request.namesCancellation
				h, askedAt := c.watermark(n), ago(s.request.askedAge)
				if faults.countsFromReply {
					askedAt = noon
				}
				report := CancellationReport{ProcessAge: time.Duration(s.request.processAge) * tick, Complete: true}
				if s.request.granted {
					report.SilentFor = MoratoriumDuration
				}
				if s.request.recordsAge != never {
					report.RecordsAge = time.Duration(s.request.recordsAge)*tick + time.Millisecond
				}
				if faults.trustsYoungProcess {
					report.ProcessAge = time.Hour
				}
				h.ObserveReport(fmt.Sprint(k), report, askedAt, noon)
				peer := h.BySibling[fmt.Sprint(k)]
				c.recordsAge, s.knownThroughAge, s.silentUntilAge = ageOf(h.RecordsThrough), ageOf(peer.KnownThrough), ageOf(peer.SilentUntil)
				s.request = reportRequest{askedAge: never}
			})
			add(func(c *watermarkModel) { c.siblings[k].request = reportRequest{askedAge: never} }) // the reply is lost
		}
	}
	return all
}

// normalState is the state without any failure.
func normalState() (w watermarkModel) {
	w = watermarkModel{confirmedAge: never, served: true, readAge: never}
	for k := range w.siblings {
		w.siblings[k] = siblingState{served: true, processAge: maxAge + 1, askedAge: maxAge + 1, knownAge: never, knownThroughAge: 1, silentUntilAge: 1, request: reportRequest{askedAge: never}}
	}
	return w
}

// outageState is a state during an outage, in which the holder has just requested the siblings' reports.
func outageState() (w watermarkModel) {
	w = normalState()
	w.served, w.recordsAge = false, 4
	for k := range w.siblings {
		w.siblings[k].served, w.siblings[k].unserved, w.siblings[k].recordsAge, w.siblings[k].knownThroughAge, w.siblings[k].silentUntilAge = false, 4, 4, 4, 4
		w.siblings[k].request, w.siblings[k].askedAge = reportRequest{watermarkAge: 4}, 0
	}
	return w
}

// withinBounds reports whether all ages of a state are within the distinguished range.
func (w *watermarkModel) withinBounds(n int) bool {
	if w.recordsAge > maxAge || w.confirmedAge > maxAge {
		return false
	}
	for k := range n {
		if w.siblings[k].knownThroughAge > maxAge || w.siblings[k].recordsAge > maxAge {
			return false
		}
	}
	return true
}

// exploreWatermark visits up to maxStates reachable states with n siblings, depth-first, and describes the
// first violation.
func exploreWatermark(from watermarkModel, n int, faults watermarkFaults, maxStates int) (states int, description string) {
	seen := map[watermarkModel]bool{from: true}
	queue := []watermarkModel{from}
	for len(queue) > 0 && len(seen) < maxStates {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, c := range w.next(n, faults) {
			if seen[c] || !c.withinBounds(n) {
				continue
			}
			if description := c.violation(n, faults); description != "" {
				return len(seen), fmt.Sprintf("%s: %+v", description, c)
			}
			seen[c] = true
			queue = append(queue, c)
		}
	}
	return len(seen), ""
}

// walkWatermark visits about maxStates states on random walks and describes the first violation.
func walkWatermark(from watermarkModel, n int, faults watermarkFaults, seed uint64, maxStates int) (states int, description string) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for states < maxStates {
		w := from
		for range 40 {
			states++
			next := w.next(n, faults)
			if w = next[rng.IntN(len(next))]; rng.IntN(3) == 0 {
				w.advance(n)
			}
			if !w.withinBounds(n) {
				break
			}
			if description := w.violation(n, faults); description != "" {
				return states, fmt.Sprintf("%s: %+v", description, w)
			}
		}
	}
	return states, ""
}

// A holder knows every cancellation that was confirmed before its watermark, and no task that it renews
// outlives its cancellation. The model detects each injected fault.
func TestNoTaskOutlivesItsCancellation(t *testing.T) {
	for _, faultless := range []watermarkFaults{{}, {waitsForAcks: true}} {
		n, description := exploreWatermark(normalState(), 1, faultless, 200_000)
		if description != "" {
			t.Fatalf("one sibling, waits %v, after %d states: %s", faultless.waitsForAcks, n, description)
		}
		t.Logf("one sibling, waits %v: %d states", faultless.waitsForAcks, n)
		if n, description := walkWatermark(outageState(), 2, faultless, 1, 400_000); description != "" {
			t.Fatalf("two siblings, waits %v, after a random walk of %d states: %s", faultless.waitsForAcks, n, description)
		}
	}
	for name, faults := range map[string]watermarkFaults{"a session renewal advances the watermark": {renewalAdvancesWatermark: true}, "a new process reports for its predecessor": {trustsYoungProcess: true},
		"a cancellation is confirmed during a grant": {confirmsDuringGrant: true}, "a process confirms during its recovery period": {confirmsInRecovery: true}, "the lag limit is ignored": {ignoresMaxLag: true},
		"the watermark counts from the reply": {countsFromReply: true}, "a known cancellation is omitted": {omitsKnown: true}, "nothing is reported as outstanding": {reportsNothingOutstanding: true},
		"users are told without acknowledgement": {waitsForAcks: true, skipsAcknowledgement: true}, "an acknowledgement of another sibling counts": {waitsForAcks: true, countsAnySibling: true}} {
		n, description := walkWatermark(outageState(), 1, faults, 8, 1_000_000)
		if description == "" {
			t.Errorf("%s: not detected", name)
		} else {
			t.Logf("%s: detected after %d states", name, n)
		}
	}
}

// Reports advance the watermark only once all siblings have reported; records advance it without reports.
func TestWatermarkNeedsReportsOfAllSiblings(t *testing.T) {
	h := NewWatermark([]string{"a", "b", "c"})
	h.ObserveRecords(ago(60))
	report := CancellationReport{ProcessAge: time.Hour, Complete: true}
	h.ObserveReport("a", report, ago(3), ago(2))
	h.ObserveReport("c", report, ago(5), ago(4))
	if at := h.Time(); !at.Equal(ago(60)) {
		t.Errorf("two of three reported: the watermark lags by %v", noon.Sub(at))
	}
	h.ObserveReport("b", CancellationReport{ProcessAge: time.Hour}, ago(2), ago(1)) // from the previous version, which names no cancellations
	if at := h.Time(); !at.Equal(ago(60)) {
		t.Errorf("one report is incomplete: the watermark lags by %v", noon.Sub(at))
	}
	h.ObserveReport("b", report, ago(4), ago(4))
	if at := h.Time(); !at.Equal(ago(5)) {
		t.Errorf("all reported: the watermark lags by %v", noon.Sub(at))
	}
	h.ObserveReport("b", CancellationReport{ProcessAge: time.Hour, RecordsAge: time.Second, Complete: true}, noon, noon)
	if at := h.Time(); !at.After(ago(2)) || !at.Before(noon) {
		t.Errorf("one reported its records: the watermark lags by %v", noon.Sub(at))
	}
	alone := NewWatermark(nil)
	if alone.ObserveRecords(ago(7)); !alone.Time().Equal(ago(7)) {
		t.Errorf("without siblings: the watermark lags by %v", noon.Sub(alone.Time()))
	}
}

// Since returns the cancellations learned since a time, and reports the list as incomplete once some of
// them have been forgotten.
func TestCancellationsSinceReportsCompleteness(t *testing.T) {
	var c Cancellations
	for k := range maxCancellations {
		c.Learn(fmt.Sprintf("wk-%d", k), noon.Add(time.Duration(k)*time.Millisecond))
	}
	last := noon.Add((maxCancellations - 1) * time.Millisecond)
	if jobs, complete := c.Since(last.Add(-time.Millisecond)); !complete || !slices.Equal(jobs, []string{"wk-8191", "wk-8190"}) {
		t.Errorf("got %v, complete %v", jobs, complete)
	}
	if c.Learn("wk-0", last) {
		t.Error("a known cancellation was learned again")
	}
	c.Learn("wk-9000", last.Add(time.Second))
	if jobs, complete := c.Since(noon); complete || len(jobs) != maxCancellations || c.Has("wk-0") || !c.Has("wk-9000") {
		t.Errorf("%d jobs, complete %v", len(jobs), complete)
	}
}
