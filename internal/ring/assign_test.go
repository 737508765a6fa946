package ring

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/bookkeeping"
)

// When two of five controllers are away, for example after a zone is cut off, their slots go
// evenly to the other three instead of mostly to the first. The slots return once their home
// holders are back.
func TestSlotsOfLostHoldersAreSpreadEvenly(t *testing.T) {
	names := []string{"c0", "c1", "c2", "c3", "c4"}
	all, _ := assign(nil, names, names, Load{})
	cur := &bookkeeping.Window{Assignment: all}
	reachable := []string{"c1", "c2", "c4"}
	spread, moved := assign(cur, names, reachable, Load{})
	slotCounts := map[string]int{}
	for _, n := range spread {
		slotCounts[n]++
	}
	if len(slotCounts) != 3 || slotCounts["c1"] > 7 || slotCounts["c2"] > 7 || slotCounts["c4"] > 7 || moved != nil {
		t.Errorf("slots by holder: %v, moved: %v", slotCounts, moved)
	}
	again, _ := assign(&bookkeeping.Window{Assignment: spread}, names, reachable, Load{})
	if !slices.Equal(again, spread) {
		t.Error("slots changed holder although no controller came or went")
	}
	if home, _ := assign(&bookkeeping.Window{Assignment: spread}, names, names, Load{}); !slices.Equal(home, all) {
		t.Error("slots did not return to their home holders")
	}
}

// For any load and any set of reachable controllers: slots are assigned only to reachable
// controllers. A move for balance moves one slot, never to an unresponsive controller, and only
// from a holder whose load exceeds the limits, without raising the highest load. Without further
// changes the moves end: then no single move would lower the highest load by a tenth of the mean.
func TestRebalancing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "controllers")
		var names []string
		for k := range n {
			names = append(names, fmt.Sprintf("c%d", k))
		}
		load := Load{Slots: make([]float64, SlotCount(n)), Unresponsive: map[string]bool{}, MayRebalance: true}
		for s := range load.Slots {
			load.Slots[s] = float64(rapid.IntRange(0, 60).Draw(t, "load"))
		}
		away := rapid.SliceOfDistinct(rapid.IntRange(0, n-2), rapid.ID[int]).Draw(t, "away")
		reachable := slices.DeleteFunc(slices.Clone(names), func(c string) bool { return slices.ContainsFunc(away, func(k int) bool { return names[k] == c }) })
		if k := rapid.IntRange(-1, n-1).Draw(t, "doubted"); k >= 0 {
			load.Unresponsive[names[k]] = true
		}
		start, moved := assign(nil, names, names, Load{})
		cur := &bookkeeping.Window{Assignment: start, Moved: moved}
		base, moved := assign(cur, names, reachable, Load{Slots: load.Slots})
		cur = &bookkeeping.Window{Assignment: base, Moved: moved}
		highestAndMean := func(assignment []string) (highestLoad, mean float64) {
			loads := map[string]float64{}
			for s, c := range assignment {
				loads[c] += load.Slots[s]
				mean += load.Slots[s] / float64(len(reachable))
			}
			for _, c := range reachable {
				highestLoad = max(highestLoad, loads[c])
			}
			return highestLoad, mean
		}
		for step := 0; ; step++ {
			if step > 4*len(load.Slots) {
				t.Fatal("rebalancing does not end")
			}
			next, moved := assign(cur, names, reachable, load)
			changed := 0
			for s := range next {
				if !slices.Contains(reachable, next[s]) {
					t.Fatalf("slot %d is assigned to %s, which its workers cannot reach", s, next[s])
				}
				if next[s] != cur.Assignment[s] {
					changed++
					if load.Unresponsive[next[s]] {
						t.Fatalf("slot %d is moved to %s, which is unresponsive", s, next[s])
					}
				}
			}
			before, mean := highestAndMean(cur.Assignment)
			after, _ := highestAndMean(next)
			if changed > 1 || changed == 1 && (before <= max(ImbalanceFactor*mean, mean+minExcess) || after > before) {
				t.Fatalf("%d slots were moved; the highest load went from %.0f to %.0f with a mean of %.0f", changed, before, after, mean)
			}
			cur = &bookkeeping.Window{Assignment: next, Moved: moved}
			if changed == 0 {
				break
			}
		}
	})
}

// A slot that was moved for balance stays with its holder from window to window. It returns to its
// home holder when that holder is lost, or when the current window lists no moved slots, as a window
// published by a leader of the previous version does.
func TestMovedSlotsStayWithTheirHolder(t *testing.T) {
	m := members(controllers...)
	load := Load{Slots: []float64{90, 30, 30, 90, 30, 30}, MayRebalance: true}
	now := time.UnixMilli(1_000_000)
	next := func(cur *bookkeeping.Window, load Load, m map[string]*bookkeeping.Member) *bookkeeping.Window {
		now = now.Add(6 * time.Second)
		return NextWindow(cur, m, controllers, load, now, 10*time.Second, 5*time.Second)
	}
	w := next(nil, Load{}, m)
	w = next(w, load, m)
	if w == nil || len(w.Moved) != 1 || w.Assignment[w.Moved[0]] == "c0" || w.Moved[0]%3 != 0 {
		t.Fatalf("one slot of c0 must be moved: %+v", w)
	}
	holder := w.Assignment[w.Moved[0]]
	if again := next(w, Load{Slots: load.Slots}, m); again == nil || !slices.Equal(again.Assignment, w.Assignment) || len(again.Moved) != 1 {
		t.Errorf("the moved slot must stay with its holder: %+v", again)
	}
	remaining := members(controllers...)
	delete(remaining, holder)
	if lost := next(w, Load{Slots: load.Slots}, remaining); lost.Assignment[w.Moved[0]] != "c0" || lost.Moved != nil {
		t.Errorf("the slot of a lost holder must return home: %+v", lost)
	}
	withoutMoved := *w
	withoutMoved.Moved = nil
	if home := next(&withoutMoved, Load{Slots: load.Slots}, m); home == nil || home.Assignment[w.Moved[0]] != "c0" {
		t.Errorf("a slot not listed as moved must return home: %+v", home)
	}
}
