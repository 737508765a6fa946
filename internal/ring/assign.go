package ring

import (
	"slices"
	"strings"

	"daledyke/internal/bookkeeping"
)

// Load is what a leader knows of the load of the slots' holders.
type Load struct {
	// Slots is each slot's load, in machines' worth; nil if it is not known.
	Slots []float64
	// Doubted are controllers that were not heard of lately: nothing is moved to them.
	Doubted map[string]bool
	// MayMove: a slot may be moved for balance alone now, which is so once in BalanceEvery.
	MayMove bool
}

// LoadOf is the load of a number of machines with so many tasks: each machine keeps a
// connection and reports regularly, and reports grow with tasks.
func LoadOf(machines, tasks int) float64 { return float64(machines) + float64(tasks)/4 }

const (
	// Uneven is how many times the mean the most loaded holder may carry before a slot is
	// moved for balance alone, and worthwhile by how much of the mean that must lower it:
	// for up to a report interval nothing is started on the machines of a slot that moves.
	Uneven     = 1.3
	worthwhile = 0.1
	// leastExcess is by how much above the mean the most loaded holder must be: any
	// controller carries so much more with ease, and a small fleet's slots stay where they
	// are (once, one moved amid the only task of a trace, whose end was late for it).
	leastExcess = 32
)

func (l *Load) of(slot int) float64 {
	if slot < len(l.Slots) {
		return l.Slots[slot]
	}
	return 1
}

// assign says who is to hold each slot. It is its home's, as long as that hears its workers;
// what was moved from there for balance stays where it is as long as the holder does. The
// slots of those that are away stay with their heirs, and go to the least loaded of the
// others when they have none: once they went to the first in order, who had twice the load
// of the rest after a cut of a zone.
func assign(cur *bookkeeping.Window, names, hearing []string, load Load) (assignment []string, moved []int) {
	assignment = make([]string, SlotCount(len(names)))
	carries := map[string]float64{}
	had := func(s int) string {
		if cur != nil && s < len(cur.Assignment) && slices.Contains(hearing, cur.Assignment[s]) {
			return cur.Assignment[s]
		}
		return ""
	}
	give := func(s int, to string) { assignment[s] = to; carries[to] += load.of(s) }
	for s := range assignment {
		home := names[s%len(names)]
		switch at := had(s); {
		case slices.Contains(hearing, home) && at != "" && at != home && slices.Contains(cur.Moved, s):
			moved = append(moved, s)
			give(s, at)
		case slices.Contains(hearing, home):
			give(s, home)
		case at != "":
			give(s, at)
		}
	}
	least := func(of []string) string {
		return slices.MinFunc(of, func(a, b string) int {
			if d := carries[a] - carries[b]; d != 0 {
				if d < 0 {
					return -1
				}
				return 1
			}
			return strings.Compare(a, b)
		})
	}
	for s := range assignment {
		if assignment[s] == "" {
			give(s, least(hearing))
		}
	}
	if load.Slots == nil || !load.MayMove {
		return assignment, moved
	}
	sound := slices.DeleteFunc(slices.Clone(hearing), func(n string) bool { return load.Doubted[n] })
	if s, to := evener(assignment, names, hearing, sound, carries, load); s >= 0 {
		assignment[s] = to
		moved = slices.DeleteFunc(moved, func(m int) bool { return m == s })
		if to != names[s%len(names)] && slices.Contains(hearing, names[s%len(names)]) {
			moved = append(moved, s)
			slices.Sort(moved)
		}
	}
	return assignment, moved
}

// evener is the slot of the most loaded holder that is best moved, and to whom; -1 if none
// is worth it.
func evener(assignment, names, hearing, sound []string, carries map[string]float64, load Load) (slot int, to string) {
	slot = -1
	if len(hearing) < 2 || len(sound) == 0 {
		return slot, ""
	}
	total := 0.0
	most := hearing[0]
	for _, n := range hearing {
		total += carries[n]
		if carries[n] > carries[most] {
			most = n
		}
	}
	mean := total / float64(len(hearing))
	if carries[most] <= max(Uneven*mean, mean+leastExcess) {
		return slot, ""
	}
	best := carries[most] - worthwhile*mean
	for s, holder := range assignment {
		if holder != most {
			continue
		}
		for _, n := range sound {
			// What both then carry at most must be less by enough. Home comes first among equals.
			after := max(carries[most]-load.of(s), carries[n]+load.of(s))
			if n != most && (after < best || after == best && slot >= 0 && n == names[s%len(names)]) {
				slot, to, best = s, n, after
			}
		}
	}
	return slot, to
}
