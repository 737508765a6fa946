package ring

import (
	"slices"
	"strings"

	"daledyke/internal/bookkeeping"
)

// Load is what a leader knows of the load that each slot puts on its holder.
type Load struct {
	// Slots is the load of each slot, in units of one idle machine; nil if it is not known.
	Slots []float64
	// Unresponsive contains the controllers not heard from recently; no slot is moved to them for balance.
	Unresponsive map[string]bool
	// MayRebalance permits moving one slot solely to balance load. The leader limits how often it is set.
	MayRebalance bool
}

// LoadOf returns the load of machines that run tasks: each machine keeps a connection and reports
// regularly, and its reports grow with its tasks.
func LoadOf(machines, tasks int) float64 { return float64(machines) + float64(tasks)/4 }

const (
	// ImbalanceFactor is how many times the mean load the most loaded holder may carry before a slot is
	// moved solely for balance. minImprovement is the fraction of the mean by which the move must lower
	// the highest load, because no task is started on the machines of a moved slot for up to a report
	// interval.
	ImbalanceFactor = 1.3
	minImprovement  = 0.1
	// minExcess is by how much the load of the most loaded holder must exceed the mean. Any controller
	// can carry that much more. The bound also keeps slots from moving in a small fleet, where a move
	// delayed the end of a trace's only task.
	minExcess = 32
)

func (l *Load) of(slot int) float64 {
	if slot < len(l.Slots) {
		return l.Slots[slot]
	}
	return 1
}

// assign returns the holder of each slot, and the slots that were moved from their home holder for
// balance. A slot belongs to its home holder while the home holder's workers can reach it; a slot moved
// for balance stays with its holder while that holder's workers can reach it. A slot whose home holder
// is away stays with its present holder, or goes to the least loaded available controller if it has
// none. Assigning such slots to the first controller in order gave that controller twice the load of
// the others after a zone was cut off.
func assign(cur *bookkeeping.Window, names, reachable []string, load Load) (assignment []string, moved []int) {
	assignment = make([]string, SlotCount(len(names)))
	loads := map[string]float64{}
	presentHolder := func(s int) string {
		if cur != nil && s < len(cur.Assignment) && slices.Contains(reachable, cur.Assignment[s]) {
			return cur.Assignment[s]
		}
		return ""
	}
	assignTo := func(s int, holder string) { assignment[s] = holder; loads[holder] += load.of(s) }
	for s := range assignment {
		home := names[s%len(names)]
		switch present := presentHolder(s); {
		case slices.Contains(reachable, home) && present != "" && present != home && slices.Contains(cur.Moved, s):
			moved = append(moved, s)
			assignTo(s, present)
		case slices.Contains(reachable, home):
			assignTo(s, home)
		case present != "":
			assignTo(s, present)
		}
	}
	leastLoaded := func(candidates []string) string {
		return slices.MinFunc(candidates, func(a, b string) int {
			if d := loads[a] - loads[b]; d != 0 {
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
			assignTo(s, leastLoaded(reachable))
		}
	}
	if load.Slots == nil || !load.MayRebalance {
		return assignment, moved
	}
	candidates := slices.DeleteFunc(slices.Clone(reachable), func(n string) bool { return load.Unresponsive[n] })
	if s, to := bestMove(assignment, names, reachable, candidates, loads, load); s >= 0 {
		assignment[s] = to
		moved = slices.DeleteFunc(moved, func(m int) bool { return m == s })
		if to != names[s%len(names)] && slices.Contains(reachable, names[s%len(names)]) {
			moved = append(moved, s)
			slices.Sort(moved)
		}
	}
	return assignment, moved
}

// bestMove returns the slot of the most loaded holder whose move lowers the highest load most, and the
// candidate that receives it; the slot is -1 if no move improves the balance enough.
func bestMove(assignment, names, reachable, candidates []string, loads map[string]float64, load Load) (slot int, to string) {
	slot = -1
	if len(reachable) < 2 || len(candidates) == 0 {
		return slot, ""
	}
	total := 0.0
	mostLoaded := reachable[0]
	for _, n := range reachable {
		total += loads[n]
		if loads[n] > loads[mostLoaded] {
			mostLoaded = n
		}
	}
	mean := total / float64(len(reachable))
	if loads[mostLoaded] <= max(ImbalanceFactor*mean, mean+minExcess) {
		return slot, ""
	}
	best := loads[mostLoaded] - minImprovement*mean
	for s, holder := range assignment {
		if holder != mostLoaded {
			continue
		}
		for _, n := range candidates {
			// The higher of both loads after the move must be low enough. Among equals the home holder is preferred.
			after := max(loads[mostLoaded]-load.of(s), loads[n]+load.of(s))
			if n != mostLoaded && (after < best || after == best && slot >= 0 && n == names[s%len(names)]) {
				slot, to, best = s, n, after
			}
		}
	}
	return slot, to
}
