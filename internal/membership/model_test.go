package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An explicit-state model of one slot, its holder H and two siblings that may take it, over a
// state service that is away, that refuses one of them alone, and that carries requests out
// late. A step is half a second; the daemon's own decisions are called. Every state that can be
// reached within the depth is visited; in none may two be entitled to the slot's workers.

const (
	step    = 500 * time.Millisecond
	session = 5 // steps for which a lease in the state service lives
	surely  = 4 // steps of it that surely live by the holder's clock
)

// model is one state. Times count down in steps, and are bounded, so that there are finitely many.
type model struct {
	lease      int8    // of H in the state service; 0: it ended, for good
	holder     int8    // by the slot's record: 0 is H, 1 and 2 the siblings
	until      int8    // steps for which H may still act
	served     [3]bool // by the state service, now
	since      [3]int8 // steps since each was served
	sees       [3]bool // by its records H's session lives
	loaded     [3]bool
	moratorium [3]int8 // steps for which each has granted
	age        [3]int8
	claim      [3]bool // a request to take the slot is under way, and may be carried out late
	down       [3]bool
	asked      int8 // steps since H last asked for moratoria
}

// seeded are mistakes put in: the model has to see each.
type seeded struct{ givesDead, regains, forgetsGrant, takesYoung, oneIsEnough, nothingOutstanding bool }

func steps(d time.Duration) int8 { return int8(d / step) }

func (m model) entitled() (n int) {
	if m.until > 0 {
		n++
	}
	if m.holder != 0 {
		n++ // a taker acts from the moment that the record says so
	}
	return n
}

// next are the states that may follow: time passes by a step, and any of the rest may happen.
func (m model) next(bad seeded) (all []model) {
	add := func(n model) { all = append(all, n) }
	// Time.
	t := m
	down := func(v *int8) {
		if *v > 0 {
			*v--
		}
	}
	up := func(v *int8, most int8) {
		if *v < most {
			*v++
		}
	}
	anybody := m.served[0] || m.served[1] || m.served[2]
	if anybody { // leases stand still while the service is away for all, and get their full time after it
		down(&t.lease)
	} else if t.lease > 0 {
		t.lease = session
	}
	down(&t.until)
	up(&t.asked, steps(MoratoriumDuration)+1)
	for k := range 3 {
		down(&t.moratorium[k])
		if !m.down[k] {
			up(&t.age[k], steps(RecoveryPeriod)+1)
			if up(&t.since[k], steps(MinUnservedToGrant)+1); m.served[k] {
				t.since[k] = 0
			}
		}
	}
	add(t)
	// The state service serves all, none, or all but one.
	for _, s := range [][3]bool{{true, true, true}, {}, {false, true, true}, {true, false, true}} {
		if s != m.served {
			n := m
			n.served = s
			add(n)
		}
	}
	// H renews its session.
	if m.served[0] && m.lease > 0 {
		n := m
		n.lease, n.until, n.since[0] = session, surely, 0
		add(n)
	}
	// H asks for moratoria.
	if m.until > 0 && time.Duration(m.until)*step <= RequestThreshold {
		n, given := m, 0
		n.asked = 0
		for k := 1; k < 3; k++ {
			g := Grantor{Unserved: time.Duration(m.since[k]) * step, RecordsLoaded: m.loaded[k], RequesterAlive: m.sees[k]}
			if bad.givesDead {
				g.RequesterAlive = true
			}
			if !m.down[k] && g.MayGrant() {
				given++
				if !bad.forgetsGrant {
					n.moratorium[k] = steps(MoratoriumDuration)
				}
			}
		}
		now := time.Unix(1000, 0)
		until := now.Add(time.Duration(m.until) * step)
		until = ExtendEntitlement(until, now, given == 2 || bad.oneIsEnough && given > 0, MoratoriumDuration-step, now)
		n.until = steps(until.Sub(now))
		add(n)
	}
	if bad.regains && m.until == 0 && m.holder == 0 {
		ok := true
		for k := 1; k < 3; k++ {
			ok = ok && !m.down[k] && (Grantor{Unserved: time.Duration(m.since[k]) * step, RecordsLoaded: m.loaded[k], RequesterAlive: m.sees[k]}).MayGrant()
		}
		if ok {
			n := m
			n.until = steps(MoratoriumDuration) - 1
			for k := 1; k < 3; k++ {
				n.moratorium[k] = steps(MoratoriumDuration)
			}
			add(n)
		}
	}
	for k := 1; k < 3; k++ {
		// A sibling reads the records.
		if !m.down[k] && m.served[k] {
			n := m
			n.loaded[k], n.sees[k], n.since[k] = true, m.lease > 0, 0
			add(n)
		}
		// It asks for the slot: only where it saw the session end.
		now := time.Unix(1000, 0)
		may := MayTakeOver(now.Add(RecoveryPeriod-time.Duration(m.age[k])*step), now.Add(time.Duration(m.moratorium[k])*step), now)
		if bad.takesYoung {
			may = m.moratorium[k] == 0
		}
		if !m.down[k] && m.loaded[k] && !m.sees[k] && may && !m.claim[k] && m.holder == 0 {
			n := m
			n.claim[k] = true
			add(n)
		}
		// The request is carried out, at any later time: its condition is that the record is as
		// it was and the session over.
		if m.claim[k] && anybody {
			n := m
			n.claim[k] = false
			if m.holder == 0 && m.lease == 0 {
				n.holder = int8(k)
			}
			add(n)
		}
		// H tells a young one what was granted to it, or that nothing was.
		if owed := RemainingMoratorium(now.Add(-time.Duration(m.asked)*step), now); !m.down[k] && int(m.age[k]) < int(steps(RecoveryPeriod)) && (owed == 0 || bad.nothingOutstanding) {
			n := m
			n.age[k] = steps(RecoveryPeriod) + 1
			add(n)
		}
		// It ends and is started again; what it had asked for is still on its way.
		n := m
		if n.down[k] = !m.down[k]; n.down[k] {
			n.loaded[k], n.sees[k], n.moratorium[k], n.age[k], n.since[k] = false, false, 0, 0, steps(MinUnservedToGrant)
		}
		add(n)
	}
	return all
}

// start is where all is well.
var start = model{lease: session, until: surely, served: [3]bool{true, true, true}, sees: [3]bool{true, true, true}, loaded: [3]bool{true, true, true},
	age: [3]int8{steps(RecoveryPeriod) + 1, steps(RecoveryPeriod) + 1, steps(RecoveryPeriod) + 1}, asked: steps(MoratoriumDuration) + 1}

// away is amid an outage, in which H renewed last 3 s ago.
var away = model{lease: session, until: 2, sees: [3]bool{true, true, true}, loaded: [3]bool{true, true, true}, since: [3]int8{6, 6, 6},
	age: start.age, asked: start.asked}

// explore visits so many states, the nearest first, and gives the first in which two are
// entitled.
func explore(start model, bad seeded, most int) (states int, two *model) {
	seen := map[model]bool{start: true}
	queue := []model{start}
	for len(queue) > 0 && len(seen) < most {
		m := queue[0]
		queue = queue[1:]
		for _, n := range m.next(bad) {
			if seen[n] {
				continue
			}
			if n.entitled() > 1 {
				return len(seen), &n
			}
			seen[n] = true
			queue = append(queue, n)
		}
	}
	return len(seen), nil
}

// walk goes at random through so many states of the model, and gives the first in which two are
// entitled. Most steps let time pass, so that moratoria, leases and youth end.
func walk(bad seeded, seed uint64, most int) (states int, two *model) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for states < most {
		m := start
		for range 120 {
			states++
			next := m.next(bad)
			m = next[0] // time passes
			if rng.IntN(3) > 0 {
				m = next[rng.IntN(len(next))]
			}
			if m.entitled() > 1 {
				return states, &m
			}
		}
	}
	return states, nil
}

// Nobody is entitled beside another, whatever happens; and each mistake that is put in is seen.
// (That one which is served, or saw the session end, grants nothing is not needed for that, as
// long as what lapsed is not regained: it is what lets a successor take over. Seen with it.)
func TestNeverTwoEntitled(t *testing.T) {
	for _, from := range []model{start, away} {
		if n, two := explore(from, seeded{}, 150_000); two != nil {
			t.Fatalf("after %d states two are entitled: %+v", n, *two)
		}
	}
	if n, two := walk(seeded{}, 1, 3_000_000); two != nil {
		t.Fatalf("on a walk of %d states two are entitled: %+v", n, *two)
	}
	for name, bad := range map[string]seeded{"what lapsed is regained": {regains: true}, "the grantor forgets": {forgetsGrant: true}, "a young process takes": {takesYoung: true},
		"nothing is said to be outstanding": {nothingOutstanding: true}, "one moratorium is enough": {oneIsEnough: true}, "who saw the session end grants, and what lapsed is regained": {givesDead: true, regains: true}, "a young process takes, one moratorium is enough": {takesYoung: true, oneIsEnough: true}} {
		n, two := explore(away, bad, 150_000)
		if two == nil {
			n, two = walk(bad, 2, 3_000_000)
		}
		if two == nil {
			t.Errorf("%s: not seen", name)
		} else {
			t.Logf("%s: seen after %d states", name, n)
		}
	}
}
