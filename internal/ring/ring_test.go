package ring

import (
	"daledyke/internal/bookkeeping"
	"slices"
	"testing"
	"time"
)

var controllers = []string{"c0", "c1", "c2"}

func members(names ...string) map[string]*bookkeeping.Member {
	out := map[string]*bookkeeping.Member{}
	for i, n := range names {
		out[n] = &bookkeeping.Member{Term: uint64(i + 1)}
	}
	return out
}

func TestNextWindow(t *testing.T) {
	const every, offset = 10 * time.Second, 5 * time.Second
	at := time.UnixMilli(1_000_000)
	next := func(cur *bookkeeping.Window, m map[string]*bookkeeping.Member, now time.Time) *bookkeeping.Window {
		return NextWindow(cur, m, controllers, Load{}, now, every, offset)
	}
	first := next(nil, members("c0", "c1", "c2"), at)
	if first == nil || first.Number != 1 || !slices.Equal(first.Owners, controllers) || len(first.Assignment) != 6 {
		t.Fatalf("first window: %+v", first)
	}
	if w := next(first, members("c0", "c1", "c2"), at.Add(4*time.Second)); w != nil {
		t.Errorf("published before the middle: %+v", w)
	}
	w := next(first, members("c0", "c1", "c2"), at.Add(5*time.Second))
	if w == nil || w.Number != 2 || w.StartMs != first.StartMs+every.Milliseconds() {
		t.Errorf("published in the middle: %+v", w)
	}
	lost := next(first, members("c0", "c2"), at.Add(time.Second))
	if lost == nil || !slices.Equal(lost.Owners, []string{"c0", "c2"}) || slices.Contains(lost.Assignment, "c1") {
		t.Errorf("a lost controller must be replaced at once: %+v", lost)
	}
	if !slices.Contains(lost.Assignment[1:2], "c0") && !slices.Contains(lost.Assignment[4:5], "c0") || lost.Assignment[1] == lost.Assignment[4] {
		t.Errorf("the workers of the lost controller go to one heir alone: %v", lost.Assignment)
	}
	deaf := members("c0", "c1", "c2")
	deaf["c1"].WorkersUnreachable = true
	if w := next(first, deaf, at); w == nil || slices.Contains(w.Assignment, "c1") || len(w.Owners) != 3 {
		t.Errorf("a deaf controller keeps its range but gets no workers: %+v", w)
	}
}

// Blocks of jobs have owners of their own only once every controller was seen to know of
// them: one that is away may come back as it was before an upgrade, and would place all of
// a job of which others place blocks.
func TestJobsAreDividedOnceAllKnow(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	know := func(names ...string) map[string]*bookkeeping.Member {
		m := members(names...)
		for _, x := range m {
			x.Generation = bookkeeping.GenerationBlocks
		}
		return m
	}
	w := &bookkeeping.Window{Number: 1, StartMs: now.UnixMilli(), Owners: controllers, Assignment: nil}
	next := func(m map[string]*bookkeeping.Member) {
		if n := NextWindow(w, m, controllers, Load{}, now, 10*time.Second, 5*time.Second); n != nil {
			w = n
		}
	}
	older := know("c0", "c1", "c2")
	older["c1"].Generation = bookkeeping.GenerationBlocks - 1
	for i, step := range []struct {
		m    map[string]*bookkeeping.Member
		want bool
	}{
		{members("c0", "c1", "c2"), false},
		{know("c0", "c2"), false},
		{older, false},
		{know("c0", "c1", "c2"), true},
		{know("c0", "c2"), true}, // c1 was seen to know
		{older, false},
		{know("c0", "c2"), false},
	} {
		before := w
		if next(step.m); w.BlockOwners != step.want || w.OwnPositions {
			t.Errorf("step %d: divided is %v, apart %v", i, w.BlockOwners, w.OwnPositions)
		}
		if w.BlockOwners != before.BlockOwners && w == before {
			t.Errorf("step %d: nobody was told", i)
		}
	}
	all := know("c0", "c1", "c2")
	for _, m := range all {
		m.Generation = bookkeeping.GenerationOwnPositions
	}
	if next(all); !w.OwnPositions || !w.BlockOwners {
		t.Errorf("all know of both: %+v", w)
	}
}
