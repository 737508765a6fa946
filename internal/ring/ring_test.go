package ring

import (
	"daledyke/internal/bookkeeping"
	"slices"
	"testing"
	"time"
)

var controllers = []string{"c0", "c1", "c2"}

func members(names ...string) map[string]*bookkeeping.Member {
	members := map[string]*bookkeeping.Member{}
	for i, n := range names {
		members[n] = &bookkeeping.Member{Term: uint64(i + 1)}
	}
	return members
}

func TestNextWindow(t *testing.T) {
	const period, publishOffset = 10 * time.Second, 5 * time.Second
	at := time.UnixMilli(1_000_000)
	next := func(cur *bookkeeping.Window, m map[string]*bookkeeping.Member, now time.Time) *bookkeeping.Window {
		return NextWindow(cur, m, controllers, Load{}, now, period, publishOffset)
	}
	first := next(nil, members("c0", "c1", "c2"), at)
	if first == nil || first.Number != 1 || !slices.Equal(first.Owners, controllers) || len(first.Assignment) != 6 {
		t.Fatalf("first window: %+v", first)
	}
	if w := next(first, members("c0", "c1", "c2"), at.Add(4*time.Second)); w != nil {
		t.Errorf("published before the offset: %+v", w)
	}
	w := next(first, members("c0", "c1", "c2"), at.Add(5*time.Second))
	if w == nil || w.Number != 2 || w.StartMs != first.StartMs+period.Milliseconds() {
		t.Errorf("wrong window at the offset: %+v", w)
	}
	lost := next(first, members("c0", "c2"), at.Add(time.Second))
	if lost == nil || !slices.Equal(lost.Owners, []string{"c0", "c2"}) || slices.Contains(lost.Assignment, "c1") {
		t.Errorf("a lost controller must be replaced at once: %+v", lost)
	}
	if !slices.Contains(lost.Assignment[1:2], "c0") && !slices.Contains(lost.Assignment[4:5], "c0") || lost.Assignment[1] == lost.Assignment[4] {
		t.Errorf("the slots of the lost controller all went to one controller: %v", lost.Assignment)
	}
	unreachable := members("c0", "c1", "c2")
	unreachable["c1"].WorkersUnreachable = true
	if w := next(first, unreachable, at); w == nil || slices.Contains(w.Assignment, "c1") || len(w.Owners) != 3 {
		t.Errorf("a controller that its workers cannot reach must keep its range and get no slots: %+v", w)
	}
}

// Blocks of a job have their own owners only once all controllers were live together with
// support for blocks. A controller that is away may return in the version before an upgrade,
// and would then place all of a job whose blocks other controllers place.
func TestJobsAreDividedOnceAllControllersSupportIt(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	supporting := func(names ...string) map[string]*bookkeeping.Member {
		m := members(names...)
		for _, member := range m {
			member.Generation = bookkeeping.GenerationBlocks
		}
		return m
	}
	w := &bookkeeping.Window{Number: 1, StartMs: now.UnixMilli(), Owners: controllers, Assignment: nil}
	next := func(m map[string]*bookkeeping.Member) {
		if n := NextWindow(w, m, controllers, Load{}, now, 10*time.Second, 5*time.Second); n != nil {
			w = n
		}
	}
	older := supporting("c0", "c1", "c2")
	older["c1"].Generation = bookkeeping.GenerationBlocks - 1
	for i, step := range []struct {
		m    map[string]*bookkeeping.Member
		want bool
	}{
		{members("c0", "c1", "c2"), false},
		{supporting("c0", "c2"), false},
		{older, false},
		{supporting("c0", "c1", "c2"), true},
		{supporting("c0", "c2"), true}, // c1 was seen with support
		{older, false},
		{supporting("c0", "c2"), false},
	} {
		before := w
		if next(step.m); w.BlockOwners != step.want || w.OwnPositions {
			t.Errorf("step %d: Divided is %v, Apart is %v", i, w.BlockOwners, w.OwnPositions)
		}
		if w.BlockOwners != before.BlockOwners && w == before {
			t.Errorf("step %d: the change was not published", i)
		}
	}
	all := supporting("c0", "c1", "c2")
	for _, m := range all {
		m.Generation = bookkeeping.GenerationOwnPositions
	}
	if next(all); !w.OwnPositions || !w.BlockOwners {
		t.Errorf("all controllers support both: %+v", w)
	}
}
