package ring

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/bookkeeping"
)

// After a cut of a zone two of five are away: the slots of both go to the other three
// alike, not mostly to the first. Once their homes are back they go home.
func TestHeirsShareAlike(t *testing.T) {
	names := []string{"c0", "c1", "c2", "c3", "c4"}
	all, _ := assign(nil, names, names, Load{})
	cur := &bookkeeping.Window{Assignment: all}
	hearing := []string{"c1", "c2", "c4"}
	got, moved := assign(cur, names, hearing, Load{})
	count := map[string]int{}
	for _, n := range got {
		count[n]++
	}
	if len(count) != 3 || count["c1"] > 7 || count["c2"] > 7 || count["c4"] > 7 || moved != nil {
		t.Errorf("%v, moved %v", count, moved)
	}
	again, _ := assign(&bookkeeping.Window{Assignment: got}, names, hearing, Load{})
	if !slices.Equal(again, got) {
		t.Error("what heirs hold changes hands for nothing")
	}
	if home, _ := assign(&bookkeeping.Window{Assignment: got}, names, names, Load{}); !slices.Equal(home, all) {
		t.Error("slots don't go home")
	}
}

// Whatever the slots carry and whoever comes and goes: slots are assigned to those who hear,
// for balance one at a time, never to one that is doubted, and only if it is worth it; where
// nothing changes it ends, and then no single move would lower the highest load by a tenth
// of the mean.
func TestHoldersAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "controllers")
		var names []string
		for k := range n {
			names = append(names, fmt.Sprintf("c%d", k))
		}
		load := Load{Slots: make([]float64, SlotCount(n)), Doubted: map[string]bool{}, MayMove: true}
		for s := range load.Slots {
			load.Slots[s] = float64(rapid.IntRange(0, 60).Draw(t, "load"))
		}
		away := rapid.SliceOfDistinct(rapid.IntRange(0, n-2), rapid.ID[int]).Draw(t, "away")
		hearing := slices.DeleteFunc(slices.Clone(names), func(c string) bool { return slices.ContainsFunc(away, func(k int) bool { return names[k] == c }) })
		if k := rapid.IntRange(-1, n-1).Draw(t, "doubted"); k >= 0 {
			load.Doubted[names[k]] = true
		}
		start, moved := assign(nil, names, names, Load{})
		cur := &bookkeeping.Window{Assignment: start, Moved: moved}
		base, moved := assign(cur, names, hearing, Load{Slots: load.Slots})
		cur = &bookkeeping.Window{Assignment: base, Moved: moved}
		highest := func(d []string) (most, mean float64) {
			carries := map[string]float64{}
			for s, c := range d {
				carries[c] += load.Slots[s]
				mean += load.Slots[s] / float64(len(hearing))
			}
			for _, c := range hearing {
				most = max(most, carries[c])
			}
			return most, mean
		}
		for step := 0; ; step++ {
			if step > 4*len(load.Slots) {
				t.Fatal("it does not end")
			}
			next, moved := assign(cur, names, hearing, load)
			changed := 0
			for s := range next {
				if !slices.Contains(hearing, next[s]) {
					t.Fatalf("slot %d is assigned to %s, who does not hear", s, next[s])
				}
				if next[s] != cur.Assignment[s] {
					changed++
					if load.Doubted[next[s]] {
						t.Fatalf("slot %d is moved to %s, who is doubted", s, next[s])
					}
				}
			}
			was, mean := highest(cur.Assignment)
			now, _ := highest(next)
			if changed > 1 || changed == 1 && (was <= max(Uneven*mean, mean+leastExcess) || now > was) {
				t.Fatalf("%d slots are moved, %.0f to %.0f of a mean of %.0f", changed, was, now, mean)
			}
			cur = &bookkeeping.Window{Assignment: next, Moved: moved}
			if changed == 0 {
				break
			}
		}
	})
}

// A slot that was moved for balance stays moved from window to window, goes home when its
// holder is lost, and is assigned home by a leader of the version before.
func TestMovedSlotsStay(t *testing.T) {
	m := members(controllers...)
	load := Load{Slots: []float64{90, 30, 30, 90, 30, 30}, MayMove: true}
	now := time.UnixMilli(1_000_000)
	next := func(cur *bookkeeping.Window, l Load, m map[string]*bookkeeping.Member) *bookkeeping.Window {
		now = now.Add(6 * time.Second)
		return NextWindow(cur, m, controllers, l, now, 10*time.Second, 5*time.Second)
	}
	w := next(nil, Load{}, m)
	w = next(w, load, m)
	if w == nil || len(w.Moved) != 1 || w.Assignment[w.Moved[0]] == "c0" || w.Moved[0]%3 != 0 {
		t.Fatalf("%+v", w)
	}
	to := w.Assignment[w.Moved[0]]
	if again := next(w, Load{Slots: load.Slots}, m); again == nil || !slices.Equal(again.Assignment, w.Assignment) || len(again.Moved) != 1 {
		t.Errorf("%+v", again)
	}
	left := members(controllers...)
	delete(left, to)
	if lost := next(w, Load{Slots: load.Slots}, left); lost.Assignment[w.Moved[0]] != "c0" || lost.Moved != nil {
		t.Errorf("%+v", lost)
	}
	before := *w
	before.Moved = nil
	if home := next(&before, Load{Slots: load.Slots}, m); home == nil || home.Assignment[w.Moved[0]] != "c0" {
		t.Errorf("%+v", home)
	}
}
