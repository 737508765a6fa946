package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An explicit-state model of one slot, its holder H and two siblings that may take the slot over. The
// state service may be unavailable to all controllers or to one of them, and may carry out requests
// late. A step is half a second. The model calls the decisions of this package. It visits the reachable
// states up to a limit; in none of them may two controllers be entitled to the slot's workers.

const (
	step       = 500 * time.Millisecond
	session    = 5 // steps that a lease in the state service lasts
	guaranteed = 4 // steps of that lease that are certain by the holder's clock
)

// slotModel is one state. Times are counted in steps and bounded, which keeps the number of states finite.
type slotModel struct {
	lease         int8    // of H's session in the state service; 0: it ended and cannot be renewed
	holder        int8    // according to the slot's record: 0 is H, 1 and 2 are the siblings
	entitledFor   int8    // steps for which H may still act
	served        [3]bool // whether the state service serves each controller now
	unservedFor   [3]int8 // steps since each controller was served
	seesSession   [3]bool // whether each controller's records contain H's session
	recordsLoaded [3]bool
	moratorium    [3]int8 // remaining steps of each controller's grant
	processAge    [3]int8
	claim         [3]bool // a takeover request is in flight and may be carried out late
	down          [3]bool
	sinceRequest  int8 // steps since H last requested moratoria
}

// injectedFaults are deliberate faults in the decisions; the model must detect each.
type injectedFaults struct{ grantsAfterSessionEnd, regainsLapsed, forgetsGrant, takesOverInRecovery, oneGrantSuffices, reportsNothingOutstanding bool }

func steps(d time.Duration) int8 { return int8(d / step) }

func (m slotModel) entitled() (n int) {
	if m.entitledFor > 0 {
		n++
	}
	if m.holder != 0 {
		n++ // a controller that took over acts as soon as the record names it
	}
	return n
}

// next returns the possible successor states: a step of time passes, or one event occurs.
func (m slotModel) next(faults injectedFaults) (all []slotModel) {
	add := func(n slotModel) { all = append(all, n) }
	// A step of time passes.
	t := m
	decrement := func(v *int8) {
		if *v > 0 {
			*v--
		}
	}
	increment := func(v *int8, limit int8) {
		if *v < limit {
			*v++
		}
	}
	anyServed := m.served[0] || m.served[1] || m.served[2]
	if anyServed { // leases do not expire while the service is unavailable to all, and get their full time afterwards
		decrement(&t.lease)
	} else if t.lease > 0 {
		t.lease = session
	}
	decrement(&t.entitledFor)
	increment(&t.sinceRequest, steps(MoratoriumDuration)+1)
	for k := range 3 {
		decrement(&t.moratorium[k])
		if !m.down[k] {
			increment(&t.processAge[k], steps(RecoveryPeriod)+1)
			if increment(&t.unservedFor[k], steps(MinUnservedToGrant)+1); m.served[k] {
				t.unservedFor[k] = 0
			}
		}
	}
	add(t)
	// The state service serves all controllers, none, or all but one.
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
		n.lease, n.entitledFor, n.unservedFor[0] = session, guaranteed, 0
		add(n)
	}
	// H requests moratoria.
	if m.entitledFor > 0 && time.Duration(m.entitledFor)*step <= RequestThreshold {
		n, granted := m, 0
		n.sinceRequest = 0
		for k := 1; k < 3; k++ {
			g := Grantor{Unserved: time.Duration(m.unservedFor[k]) * step, RecordsLoaded: m.recordsLoaded[k], RequesterAlive: m.seesSession[k]}
			if faults.grantsAfterSessionEnd {
				g.RequesterAlive = true
			}
			if !m.down[k] && g.MayGrant() {
				granted++
				if !faults.forgetsGrant {
					n.moratorium[k] = steps(MoratoriumDuration)
				}
			}
		}
		now := time.Unix(1000, 0)
		until := now.Add(time.Duration(m.entitledFor) * step)
		until = ExtendEntitlement(until, now, granted == 2 || faults.oneGrantSuffices && granted > 0, MoratoriumDuration-step, now)
		n.entitledFor = steps(until.Sub(now))
		add(n)
	}
	if faults.regainsLapsed && m.entitledFor == 0 && m.holder == 0 {
		ok := true
		for k := 1; k < 3; k++ {
			ok = ok && !m.down[k] && (Grantor{Unserved: time.Duration(m.unservedFor[k]) * step, RecordsLoaded: m.recordsLoaded[k], RequesterAlive: m.seesSession[k]}).MayGrant()
		}
		if ok {
			n := m
			n.entitledFor = steps(MoratoriumDuration) - 1
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
			n.recordsLoaded[k], n.seesSession[k], n.unservedFor[k] = true, m.lease > 0, 0
			add(n)
		}
		// The sibling requests the slot, only after its records showed the end of H's session.
		now := time.Unix(1000, 0)
		mayTakeOver := MayTakeOver(now.Add(RecoveryPeriod-time.Duration(m.processAge[k])*step), now.Add(time.Duration(m.moratorium[k])*step), now)
		if faults.takesOverInRecovery {
			mayTakeOver = m.moratorium[k] == 0
		}
		if !m.down[k] && m.recordsLoaded[k] && !m.seesSession[k] && mayTakeOver && !m.claim[k] && m.holder == 0 {
			n := m
			n.claim[k] = true
			add(n)
		}
		// The request is carried out at any later time, on condition that the record is unchanged and
		// H's session has ended.
		if m.claim[k] && anyServed {
			n := m
			n.claim[k] = false
			if m.holder == 0 && m.lease == 0 {
				n.holder = int8(k)
			}
			add(n)
		}
		// H reports to a recently started sibling that nothing granted to H is outstanding.
		if remaining := RemainingMoratorium(now.Add(-time.Duration(m.sinceRequest)*step), now); !m.down[k] && int(m.processAge[k]) < int(steps(RecoveryPeriod)) && (remaining == 0 || faults.reportsNothingOutstanding) {
			n := m
			n.processAge[k] = steps(RecoveryPeriod) + 1
			add(n)
		}
		// The sibling ends or starts again; a request that it had sent stays in flight.
		n := m
		if n.down[k] = !m.down[k]; n.down[k] {
			n.recordsLoaded[k], n.seesSession[k], n.moratorium[k], n.processAge[k], n.unservedFor[k] = false, false, 0, 0, steps(MinUnservedToGrant)
		}
		add(n)
	}
	return all
}

// initialSlot is the state without any failure.
var initialSlot = slotModel{lease: session, entitledFor: guaranteed, served: [3]bool{true, true, true}, seesSession: [3]bool{true, true, true}, recordsLoaded: [3]bool{true, true, true},
	processAge: [3]int8{steps(RecoveryPeriod) + 1, steps(RecoveryPeriod) + 1, steps(RecoveryPeriod) + 1}, sinceRequest: steps(MoratoriumDuration) + 1}

// outageSlot is a state during an outage, in which H last renewed its session 3 s ago.
var outageSlot = slotModel{lease: session, entitledFor: 2, seesSession: [3]bool{true, true, true}, recordsLoaded: [3]bool{true, true, true}, unservedFor: [3]int8{6, 6, 6},
	processAge: initialSlot.processAge, sinceRequest: initialSlot.sinceRequest}

// exploreSlot visits up to maxStates states breadth-first and returns the first in which two controllers
// are entitled.
func exploreSlot(start slotModel, faults injectedFaults, maxStates int) (states int, violation *slotModel) {
	seen := map[slotModel]bool{start: true}
	queue := []slotModel{start}
	for len(queue) > 0 && len(seen) < maxStates {
		m := queue[0]
		queue = queue[1:]
		for _, n := range m.next(faults) {
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

// walkSlot visits about maxStates states on random walks and returns the first in which two controllers
// are entitled. Many steps let time pass, so that moratoria, leases and recovery periods end.
func walkSlot(faults injectedFaults, seed uint64, maxStates int) (states int, violation *slotModel) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for states < maxStates {
		m := initialSlot
		for range 120 {
			states++
			next := m.next(faults)
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

// At most one controller is entitled to a slot's workers in every state, and the model detects each
// injected fault. A sibling that is served, or saw the session end, refuses a moratorium so that a
// successor can take over. Safety depends on that refusal only if lapsed entitlement can be regained, so
// grantsAfterSessionEnd is tested together with regainsLapsed.
func TestAtMostOneEntitled(t *testing.T) {
	for _, from := range []slotModel{initialSlot, outageSlot} {
		if n, violation := exploreSlot(from, injectedFaults{}, 150_000); violation != nil {
			t.Fatalf("after %d states two controllers are entitled: %+v", n, *violation)
		}
	}
	if n, violation := walkSlot(injectedFaults{}, 1, 3_000_000); violation != nil {
		t.Fatalf("after a random walk of %d states two controllers are entitled: %+v", n, *violation)
	}
	for name, faults := range map[string]injectedFaults{"lapsed entitlement is regained": {regainsLapsed: true}, "the grantor forgets its grant": {forgetsGrant: true}, "a process takes over during its recovery period": {takesOverInRecovery: true},
		"nothing is reported as outstanding": {reportsNothingOutstanding: true}, "one grant suffices": {oneGrantSuffices: true}, "grants after the session end, lapsed entitlement is regained": {grantsAfterSessionEnd: true, regainsLapsed: true}, "a process takes over during its recovery period, one grant suffices": {takesOverInRecovery: true, oneGrantSuffices: true}} {
		n, violation := exploreSlot(outageSlot, faults, 150_000)
		if violation == nil {
			n, violation = walkSlot(faults, 2, 3_000_000)
		}
		if violation == nil {
			t.Errorf("%s: not detected", name)
		} else {
			t.Logf("%s: detected after %d states", name, n)
		}
	}
}
