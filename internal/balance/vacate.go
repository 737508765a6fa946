// Package balance decides which machines are vacated, that is, whose services are moved to other machines so
// that they can be returned. All decisions are pure functions of a snapshot; the leader calls them, and owners
// and holders act on the results.
package balance

import (
	"cmp"
	"slices"
	"time"

	"daledyke/internal/fleet"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

const (
	// SettledAfter is how long a replica must have run before it is moved, or moved again.
	SettledAfter = time.Minute
	// keepHorizon is for how long a machine is assumed to be kept if it is not vacated. Services run for
	// long, but other work may come to use the room.
	keepHorizon = 2 * time.Minute
	// moveDowntime is roughly how long a replica is down for a move to a machine that has its image: it
	// is stopped, forgotten and started, each by a command and a report of it.
	moveDowntime = 2 * time.Second
	// downtimeCost is the cost of a second without a replica, as a multiple of what its share of the
	// machine costs in that time.
	downtimeCost = 10
	// GrowthCooldown is for how long after machines of a type were rented none of that type are vacated:
	// other work needs the room then, and moves at such times saved no machine.
	GrowthCooldown = time.Minute
	// costTolerance: a replica may move to a machine where it costs up to this many times as much.
	costTolerance = 1.25
	// maxVacatedShare is the share of the fleet that is vacated at a time, or two machines if that is more.
	maxVacatedShare = 0.02
)

// Vacate selects machines to be emptied: those that only settled services keep, and whose services fit on
// machines that other services keep anyway and that have the images. It is called after fleet.Plan and does not
// count on room that the plan uses. grown holds the types of which machines were rented less than GrowthCooldown
// ago. vacating holds the machines selected before; for them the thresholds are lower, so that a move
// that has begun is seldom abandoned. moveBudget bounds how many more replicas may be moved.
func Vacate(in *fleet.Input, grown, vacating map[string]bool, moveBudget int) (chosen []string) {
	v := plan{in: in, expensiveTypes: placement.ExpensiveTypesCache(in.Types), freeRoom: map[string]float64{}, count: map[string]int{}, emptied: map[*fleet.Machine]bool{}, receives: map[*fleet.Machine]bool{}}
	for _, m := range in.Machines {
		if capacity := v.capacity(m); !m.Booting && !m.Draining {
			v.freeRoom[m.Type] += 1 - min(1, capacity.Sub(m.Free).Sub(m.FillerRoom).DominantShare(capacity))
			v.count[m.Type]++
		}
	}
	var candidates []*fleet.Machine
	for _, m := range in.Machines {
		// A machine that is being vacated remains a candidate after its last replica has left it.
		// Machines on which all services are too expensive are candidates even if their type has grown.
		if ok := len(m.Replicas) > 0 || vacating[m.ID]; ok && !m.Booting && !m.Draining && !m.OtherTasks && !m.Packed && (!grown[m.Type] || v.allExpensive(m)) && v.worthVacating(m) {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b *fleet.Machine) int {
		if x, y := vacating[a.ID], vacating[b.ID]; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(v.unusedCost(b), v.unusedCost(a)), cmp.Compare(a.ID, b.ID))
	})
	maxVacated := max(2, int(maxVacatedShare*float64(len(in.Machines))))
	for _, m := range candidates {
		if len(chosen) == maxVacated {
			break
		}
		continued := vacating[m.ID]
		if !continued && (len(m.Replicas) > moveBudget || slices.ContainsFunc(m.Replicas, func(r fleet.Replica) bool { return r.RunningFor < SettledAfter })) {
			continue
		}
		if v.receives[m] || !v.allExpensive(m) && v.freeRoom[m.Type]-1 < v.reservedRoom(m.Type, continued) || !v.move(m) {
			continue
		}
		if !continued {
			moveBudget -= len(m.Replicas)
		}
		chosen = append(chosen, m.ID)
	}
	return chosen
}

// plan is a set of moves under construction.
type plan struct {
	in *fleet.Input
	// expensiveTypes gives the types on which a service costs far more than elsewhere: it is moved away
	// from them as soon as possible.
	expensiveTypes func(*protocol.JobSpec) map[string]bool
	freeRoom       map[string]float64 // by type, in machines
	count          map[string]int     // machines by type
	// emptied are the machines to be emptied, receives those that take their services.
	emptied, receives map[*fleet.Machine]bool
}

// reservedRoom is how much room of a type is kept free for unexpected work. Half of that suffices to continue
// vacating a machine.
func (v *plan) reservedRoom(machineType string, continued bool) float64 {
	reserved := max(1, fleet.SpareRoomShare*float64(v.count[machineType]))
	if continued {
		reserved /= 2
	}
	return reserved
}

// price is what a machine costs an hour, by its nominal price.
func (v *plan) price(m *fleet.Machine) float64 {
	if m.Spot {
		return v.in.Types[m.Type].SpotPrice
	}
	return v.in.Types[m.Type].Price
}

// capacity is the room of a machine without tasks.
func (v *plan) capacity(m *fleet.Machine) protocol.Room {
	t := v.in.Types[m.Type]
	return t.Room()
}

// unusedCost is what the unused part of a machine costs an hour.
func (v *plan) unusedCost(m *fleet.Machine) float64 {
	return v.price(m) * m.Free.DominantShare(v.capacity(m))
}

// replicaCost is what the share of a machine that a replica takes costs an hour.
func (v *plan) replicaCost(m *fleet.Machine, s *protocol.JobSpec) float64 {
	return v.price(m) * s.Need().DominantShare(v.capacity(m))
}

// allExpensive reports whether all replicas on a machine cost far more there than elsewhere.
func (v *plan) allExpensive(m *fleet.Machine) bool {
	return len(m.Replicas) > 0 && !slices.ContainsFunc(m.Replicas, func(r fleet.Replica) bool { return !v.expensiveTypes(r.Spec)[m.Type] })
}

// worthVacating reports whether a machine costs more than moving its services does.
func (v *plan) worthVacating(m *fleet.Machine) bool {
	gain, cost := v.price(m)*keepHorizon.Seconds(), 0.0
	capacity := v.capacity(m)
	for _, r := range m.Replicas {
		downtime := moveDowntime
		if v.expensiveTypes(r.Spec)[m.Type] {
			_, fetch := fleet.FastestReady(v.in.Types, r.Spec, r.Spec.ImageGB)
			downtime += fetch
		}
		cost += v.price(m) * r.Spec.Need().DominantShare(capacity) * downtime.Seconds() * downtimeCost
	}
	return gain > cost
}

// move reserves room on other machines for all services of a machine, and reserves none if there is not
// enough.
func (v *plan) move(m *fleet.Machine) bool {
	var undos []func()
	rollback := func() bool {
		for _, f := range slices.Backward(undos) {
			f()
		}
		return false
	}
	for _, r := range m.Replicas {
		var best *fleet.Machine
		var bestScore float64
		expensive := v.expensiveTypes(r.Spec)
		// To leave an expensive type a replica may fetch its image, take a machine that no service keeps if
		// that is not expensive, and change its zone; the owner of its job knows this rule.
		leavesExpensive := expensive[m.Type]
		for _, t := range v.in.Machines {
			if t == m || v.emptied[t] || t.Booting || t.Draining || t.TasksLeft() == 0 || !t.Free.Fits(r.Spec.Need()) || !r.Spec.Allows(t.Type, t.Zone, t.Spot) {
				continue
			}
			if len(t.Replicas) == 0 && !(leavesExpensive && !expensive[t.Type]) || !leavesExpensive && !slices.Contains(t.Images, r.Spec.Image) || (r.Spec.Scatter && !leavesExpensive || r.Spec.OneZone) && t.Zone != m.Zone {
				continue
			}
			// Replicas are not moved to machines where they cost more: replicas that each filled a small machine
			// were moved to large ones, which were then kept for them at four times the price.
			if v.replicaCost(t, r.Spec) > v.replicaCost(m, r.Spec)*costTolerance {
				continue
			}
			// Services are not moved to machines that other work cannot do without.
			if v.in.Scarce[t.Type] && !v.in.Scarce[m.Type] && placement.HasNonScarceType(r.Spec, v.in.Types, v.in.Scarce) {
				continue
			}
			score := t.Free.Sub(r.Spec.Need()).DominantShare(v.capacity(t))
			if !slices.Contains(t.Images, r.Spec.Image) {
				score++
			}
			if best == nil || score < bestScore {
				best, bestScore = t, score
			}
		}
		if best == nil {
			return rollback()
		}
		free, tasks, took := best.Free, best.Tasks, v.receives[best]
		undos = append(undos, func() { best.Free, best.Tasks, v.receives[best] = free, tasks, took })
		best.Free, best.Tasks, v.receives[best] = free.Sub(r.Spec.Need()), tasks+1, true
	}
	v.emptied[m] = true
	v.freeRoom[m.Type]--
	return true
}
