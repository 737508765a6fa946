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
		return NextWindow(cur, m, controllers, now, every, offset)
	}
	first := next(nil, members("c0", "c1", "c2"), at)
	if first == nil || first.Number != 1 || !slices.Equal(first.Owners, controllers) || len(first.Deal) != 6 {
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
	if lost == nil || !slices.Equal(lost.Owners, []string{"c0", "c2"}) || slices.Contains(lost.Deal, "c1") {
		t.Errorf("a lost controller must be replaced at once: %+v", lost)
	}
	if !slices.Contains(lost.Deal[1:2], "c0") && !slices.Contains(lost.Deal[4:5], "c0") || lost.Deal[1] == lost.Deal[4] {
		t.Errorf("the workers of the lost controller go to one heir alone: %v", lost.Deal)
	}
	deaf := members("c0", "c1", "c2")
	deaf["c1"].Deaf = true
	if w := next(first, deaf, at); w == nil || slices.Contains(w.Deal, "c1") || len(w.Owners) != 3 {
		t.Errorf("a deaf controller keeps its range but gets no workers: %+v", w)
	}
}
