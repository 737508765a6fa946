package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// An explicit-state model of one holder and its siblings, over a state service that is away,
// or refuses one of them alone; of processes that end and begin again; of cancellations that are
// recorded, answered or not, and confirmed; and of questions and answers that are slow, lost
// or never asked. A step is a second; the daemon's own decisions are called. In no state may a
// cancellation that was confirmed before the watermark be unknown to the holder, nor may it
// answer what outlives one: less by as much as its acknowledgement is waited for.

const (
	tick     = time.Second
	beyond   = 16 // ages are told apart up to here; older states are not followed
	never    = int8(-1)
	renewFor = 12 // ticks
	waitFor  = 5  // ticks for which acknowledgements are waited for, by who waits
)

type question struct {
	asked    int8 // how long ago; never: none is under way
	since    int8
	answered bool
	// What the answer says: of the process then.
	age, synced  int8
	given, names bool
}

type sibling struct {
	served, down bool
	unserved     int8 // for how long
	age          int8 // of its process
	bound        int8 // for how much longer it is by what the one before granted
	asked        int8 // how long ago the holder last asked it
	synced       int8 // how long ago its records were as new as that; never: none read
	known        int8 // how long ago it came to know of the cancellation; never
	acknowledged bool // the holder acknowledged the cancellation to it
	until, named int8 // what it granted: for how much longer, and named how long ago
	// What the holder knows of it: ages; quiet may lie ahead.
	told, quiet int8
	q           question
}

type world struct {
	recorded, knows bool // in the state service; by the holder
	confirmed       int8 // how long ago; never
	served          bool // the holder is
	records         int8 // the holder's records are as new as that
	reading         int8 // it reads since; never
	read            bool // what it will have read
	s               [2]sibling
}

type mistakes struct {
	renewalProves, believesYoung, neverQuiet, confirmsYoung, boundDropped, fromTheAnswer, forgetsToName, nothingOutstanding, tellsAtOnce, countsAnyone bool
	// waits: acknowledgements are waited for, unlike by the version before. No mistake.
	waits bool
}

// waitFor is for how many ticks acknowledgements are waited for.
func (m *mistakes) waitFor() int8 {
	if m.waits {
		return waitFor
	}
	return 0
}

var noon = time.Unix(1_000_000, 0)

func ago(age int8) time.Time { return noon.Add(-time.Duration(age) * tick) }

func (w *world) watermark(n int) (h Watermark) {
	h = Watermark{RecordsThrough: ago(w.records), BySibling: map[string]PeerKnowledge{}}
	for k := range n {
		h.BySibling[fmt.Sprint(k)] = PeerKnowledge{KnownThrough: ago(w.s[k].told), SilentUntil: ago(w.s[k].quiet)}
	}
	return h
}

func age(t time.Time) int8 {
	// What lies between two ticks counts as the earlier: less is known.
	d := noon.Sub(t)
	a := d / tick
	if d > 0 && d%tick != 0 {
		a++
	}
	return int8(min(a, beyond+1))
}

// wrong tells what may not be.
func (w *world) wrong(n int, bad mistakes) string {
	if w.confirmed == never || w.knows {
		return ""
	}
	h := w.watermark(n)
	if ago(w.confirmed).Before(h.Time()) {
		return "confirmed before the watermark, and not known"
	}
	if (MayRenew(h.Time(), renewFor*tick, noon) || bad.boundDropped) && w.confirmed > renewFor-bad.waitFor() {
		return "what is answered outlives it"
	}
	return ""
}

// pass lets a tick pass.
func (w *world) pass(n int) {
	older := func(a *int8) {
		if *a != never && *a <= beyond {
			*a++
		}
	}
	older(&w.confirmed)
	older(&w.records)
	older(&w.reading)
	for k := range n {
		s := &w.s[k]
		for _, a := range []*int8{&s.synced, &s.known, &s.named, &s.told, &s.q.asked, &s.asked} {
			older(a)
		}
		if s.quiet <= beyond {
			s.quiet++
		}
		if s.until > 0 {
			s.until--
		}
		if s.bound > 0 {
			s.bound--
		}
		if s.age <= beyond && !s.down {
			s.age++
		}
		if s.served {
			s.unserved = 0
		} else if s.unserved <= beyond {
			s.unserved++
		}
		if s.q.asked != never && time.Duration(s.q.asked)*tick > RequestTimeout {
			s.q = question{asked: never} // it is not waited for any more
		}
	}
}

func (s *sibling) giving() map[string]Grant {
	return map[string]Grant{"h": {Until: noon.Add(time.Duration(s.until) * tick), ReportedAt: ago(s.named)}}
}

// next are all states that may follow.
func (w world) next(n int, bad mistakes) (all []world) {
	add := func(change func(*world)) {
		c := w
		change(&c)
		if c != w {
			all = append(all, c)
		}
	}
	add(func(c *world) { c.pass(n) })
	for _, away := range []bool{true, false} { // for all, for the holder alone, or for nobody
		add(func(c *world) {
			c.served = !away
			for k := range n {
				c.s[k].served = !away
			}
		})
	}
	add(func(c *world) { c.served = false })
	add(func(c *world) { c.s[0].served = false })
	if w.served {
		if w.reading == never {
			add(func(c *world) { c.reading, c.read = 0, c.recorded })
		}
		if bad.renewalProves {
			add(func(c *world) { c.records = 0 })
		}
	}
	if w.reading != never {
		add(func(c *world) {
			h := c.watermark(n)
			h.ObserveRecords(ago(c.reading))
			c.records, c.knows = age(h.RecordsThrough), c.knows || c.read
			c.reading, c.read = never, false
		})
		add(func(c *world) { c.reading, c.read = never, false })
	}
	for k := range n {
		s := w.s[k]
		// It ends, and begins again.
		add(func(c *world) {
			s := &c.s[k]
			if s.down {
				s.down = false
				return
			}
			s.down, s.age, s.synced, s.known, s.until, s.named, s.unserved = true, 0, never, never, 0, 0, int8(MinUnservedToGrant/tick)
			s.acknowledged = false
			s.bound = int8(RecoveryPeriod / tick)
			if !s.q.answered {
				s.q = question{asked: never}
			}
		})
		if s.down {
			continue
		}
		if s.bound > 0 { // the holder tells it what was granted
			add(func(c *world) {
				owed := RemainingMoratorium(ago(s.asked), noon)
				if bad.nothingOutstanding {
					owed = 0
				}
				c.s[k].bound = int8(min(RecoveryPeriod, owed+tick-1) / tick)
			})
		}
		if s.served {
			add(func(c *world) { // it reads
				s := &c.s[k]
				if s.synced, s.unserved = 0, 0; c.recorded && s.known == never {
					s.known = 0
				}
			})
			if !w.recorded {
				add(func(c *world) { c.recorded = true }) // its user cancels, and it hears no answer
				add(func(c *world) { c.recorded, c.s[k].known = true, 0 })
			}
		}
		if bad.waits && s.known != never && !s.acknowledged {
			add(func(c *world) { c.s[k].acknowledged, c.knows = true, true }) // it announces it
			if bad.countsAnyone {
				add(func(c *world) { c.s[k].acknowledged = true }) // another sibling's report is taken for the holder's
			}
		}
		if s.known != never && w.confirmed == never && (bad.tellsAtOnce || AnnouncementDone(ago(s.known), s.acknowledged, time.Duration(bad.waitFor())*tick, noon)) {
			bound := ago(-s.bound)
			if bad.confirmsYoung {
				bound = noon
			}
			if bad.neverQuiet || MayConfirm(ago(s.known), bound, s.giving(), noon) {
				add(func(c *world) { c.confirmed = 0 })
			}
		}
		if s.q.asked == never {
			add(func(c *world) {
				h := c.watermark(n)
				c.s[k].q, c.s[k].asked = question{asked: 0, since: age(h.Time())}, 0
			})
		} else if !s.q.answered {
			add(func(c *world) {
				s := &c.s[k]
				s.q.answered, s.q.age, s.q.synced = true, s.age, s.synced
				s.q.given = Grantor{Unserved: time.Duration(s.unserved) * tick, RecordsLoaded: s.synced != never, RequesterAlive: true}.MayGrant()
				s.q.names = s.known != never && time.Duration(s.known-s.q.since)*tick <= RequestTimeout && !bad.forgetsToName
				if s.q.given {
					g := s.giving()["h"].Extend(noon, MoratoriumDuration)
					s.until, s.named = int8(g.Until.Sub(noon)/tick), age(g.ReportedAt)
				}
			})
		} else {
			add(func(c *world) {
				s := &c.s[k]
				c.knows = c.knows || s.q.names
				h, asked := c.watermark(n), ago(s.q.asked)
				if bad.fromTheAnswer {
					asked = noon
				}
				report := CancellationReport{ProcessAge: time.Duration(s.q.age) * tick, Complete: true}
				if s.q.given {
					report.SilentFor = MoratoriumDuration
				}
				if s.q.synced != never {
					report.RecordsAge = time.Duration(s.q.synced)*tick + time.Millisecond
				}
				if bad.believesYoung {
					report.ProcessAge = time.Hour
				}
				h.ObserveReport(fmt.Sprint(k), report, asked, noon)
				heard := h.BySibling[fmt.Sprint(k)]
				c.records, s.told, s.quiet = age(h.RecordsThrough), age(heard.KnownThrough), age(heard.SilentUntil)
				s.q = question{asked: never}
			})
			add(func(c *world) { c.s[k].q = question{asked: never} }) // lost
		}
	}
	return all
}

func calm() (w world) {
	w = world{confirmed: never, served: true, reading: never}
	for k := range w.s {
		w.s[k] = sibling{served: true, age: beyond + 1, asked: beyond + 1, known: never, told: 1, quiet: 1, q: question{asked: never}}
	}
	return w
}

// amid is where the service has been away for a while, and the sibling has just been asked.
func amid() (w world) {
	w = calm()
	w.served, w.records = false, 4
	for k := range w.s {
		w.s[k].served, w.s[k].unserved, w.s[k].synced, w.s[k].told, w.s[k].quiet = false, 4, 4, 4, 4
		w.s[k].q, w.s[k].asked = question{since: 4}, 0
	}
	return w
}

// followed tells whether a state is within what ages tell apart.
func (w *world) followed(n int) bool {
	if w.records > beyond || w.confirmed > beyond {
		return false
	}
	for k := range n {
		if w.s[k].told > beyond || w.s[k].synced > beyond {
			return false
		}
	}
	return true
}

// all visits every state that can be reached with so many siblings, so many states at most.
func all(from world, n int, bad mistakes, most int) (states int, what string) {
	seen := map[world]bool{from: true}
	queue := []world{from}
	for len(queue) > 0 && len(seen) < most {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, c := range w.next(n, bad) {
			if seen[c] || !c.followed(n) {
				continue
			}
			if what := c.wrong(n, bad); what != "" {
				return len(seen), fmt.Sprintf("%s: %+v", what, c)
			}
			seen[c] = true
			queue = append(queue, c)
		}
	}
	return len(seen), ""
}

// wander goes through so many states at random.
func wander(from world, n int, bad mistakes, seed uint64, most int) (states int, what string) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for states < most {
		w := from
		for range 40 {
			states++
			next := w.next(n, bad)
			if w = next[rng.IntN(len(next))]; rng.IntN(3) == 0 {
				w.pass(n)
			}
			if !w.followed(n) {
				break
			}
			if what := w.wrong(n, bad); what != "" {
				return states, fmt.Sprintf("%s: %+v", what, w)
			}
		}
	}
	return states, ""
}

// Whatever is confirmed before the watermark is known, and nothing that is answered outlives it;
// each mistake that is put in is seen.
func TestNoCancellationIsOutlived(t *testing.T) {
	for _, none := range []mistakes{{}, {waits: true}} {
		n, what := all(calm(), 1, none, 200_000)
		if what != "" {
			t.Fatalf("one sibling, waits %v, after %d states: %s", none.waits, n, what)
		}
		t.Logf("one sibling, waits %v: %d states", none.waits, n)
		if n, what := wander(amid(), 2, none, 1, 400_000); what != "" {
			t.Fatalf("two siblings, waits %v, on a walk of %d states: %s", none.waits, n, what)
		}
	}
	for name, bad := range map[string]mistakes{"a renewal is taken for proof": {renewalProves: true}, "a young process speaks for the one before": {believesYoung: true},
		"what was granted is confirmed": {neverQuiet: true}, "a young process confirms": {confirmsYoung: true}, "the bound is dropped": {boundDropped: true},
		"the watermark counts from the answer": {fromTheAnswer: true}, "what is known is not named": {forgetsToName: true}, "nothing is said to be outstanding": {nothingOutstanding: true},
		"users are told at once": {waits: true, tellsAtOnce: true}, "an acknowledgement of another counts": {waits: true, countsAnyone: true}} {
		n, what := wander(amid(), 1, bad, 8, 1_000_000)
		if what == "" {
			t.Errorf("%s: not seen", name)
		} else {
			t.Logf("%s: seen after %d states", name, n)
		}
	}
}

// The report of one sibling proves nothing while another never spoke, and records do without any.
func TestAllSiblingsSpeakOrNone(t *testing.T) {
	h := NewWatermark([]string{"a", "b", "c"})
	h.ObserveRecords(ago(60))
	report := CancellationReport{ProcessAge: time.Hour, Complete: true}
	h.ObserveReport("a", report, ago(3), ago(2))
	h.ObserveReport("c", report, ago(5), ago(4))
	if at := h.Time(); !at.Equal(ago(60)) {
		t.Errorf("two of three spoke: %v before", noon.Sub(at))
	}
	h.ObserveReport("b", CancellationReport{ProcessAge: time.Hour}, ago(2), ago(1)) // of the version before: it names nothing
	if at := h.Time(); !at.Equal(ago(60)) {
		t.Errorf("one gives no report: %v before", noon.Sub(at))
	}
	h.ObserveReport("b", report, ago(4), ago(4))
	if at := h.Time(); !at.Equal(ago(5)) {
		t.Errorf("all spoke: %v before", noon.Sub(at))
	}
	h.ObserveReport("b", CancellationReport{ProcessAge: time.Hour, RecordsAge: time.Second, Complete: true}, noon, noon)
	if at := h.Time(); !at.After(ago(2)) || !at.Before(noon) {
		t.Errorf("one knows the records: %v before", noon.Sub(at))
	}
	alone := NewWatermark(nil)
	if alone.ObserveRecords(ago(7)); !alone.Time().Equal(ago(7)) {
		t.Errorf("without siblings: %v before", noon.Sub(alone.Time()))
	}
}

// Of the jobs that are known to be cancelled those of late are named; when too many came, that
// is said.
func TestCancellationsAreNamedWhole(t *testing.T) {
	var c Cancellations
	for k := range maxCancellations {
		c.Learn(fmt.Sprintf("wk-%d", k), noon.Add(time.Duration(k)*time.Millisecond))
	}
	last := noon.Add((maxCancellations - 1) * time.Millisecond)
	if jobs, whole := c.Since(last.Add(-time.Millisecond)); !whole || !slices.Equal(jobs, []string{"wk-8191", "wk-8190"}) {
		t.Errorf("%v %v", jobs, whole)
	}
	if c.Learn("wk-0", last) {
		t.Error("learnt twice")
	}
	c.Learn("wk-9000", last.Add(time.Second))
	if jobs, whole := c.Since(noon); whole || len(jobs) != maxCancellations || c.Has("wk-0") || !c.Has("wk-9000") {
		t.Errorf("%d jobs, whole %v", len(jobs), whole)
	}
}
