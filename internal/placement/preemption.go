package placement

import (
	"math"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Claim is a job as preemption compares it with another, as preemptor or as victim.
type Claim struct {
	Spec *protocol.JobSpec
	// Rank is the rank of the job's priority, or that of the jobs that depend on it if higher.
	Rank int
	// Filler: nobody waits for the job.
	Filler bool
	// WithinGuarantee: one more task of the job lies within its team's guarantee.
	WithinGuarantee bool
	// OverGuarantee: the team has a guarantee or a limit, and uses more than its guarantee.
	OverGuarantee bool
}

// MayPreempt reports whether a task of victim may be stopped for one of preemptor: victim has a lower
// priority, or its team runs it beyond its guarantee while preemptor lies within its own team's guarantee
// ("Preemption" of the users' protocol).
func MayPreempt(victim, preemptor Claim) bool {
	if victim.Rank < preemptor.Rank {
		return true
	}
	return preemptor.WithinGuarantee && victim.OverGuarantee && victim.Spec.Team != preemptor.Spec.Team
}

// EvictionCost is the cost, in seconds, of stopping a task of victim for one of preemptor, and false if it may
// not be stopped.
func EvictionCost(i *board.Instance, victim, preemptor Claim, now time.Time) (Victim, bool) {
	spec := victim.Spec
	if !MayPreempt(victim, preemptor) || i.Exited() || i.State == protocol.TaskFlushing || board.Unconfirmed(i.State) ||
		spec.Shape == protocol.Gang && spec.Tasks > 1 {
		return Victim{}, false
	}
	cost := 10 + 10*float64(victim.Rank)
	if victim.Filler {
		cost = 2
	}
	if !spec.Checkpoints() {
		cost += min(60, now.Sub(i.FirstSeen).Seconds())
	}
	if now.Sub(i.FirstSeen) < 30*time.Second {
		cost += 10
	}
	return Victim{i.Task, spec.Need(), cost}, true
}

// ScarceTypes are the types that some of the jobs cannot do without: each is the only type that takes some job.
func ScarceTypes(specs func(yield func(*protocol.JobSpec) bool), types map[string]protocol.MachineType) map[string]bool {
	out := map[string]bool{}
	for s := range specs {
		only := ""
		n := 0
		for _, t := range types {
			if t.CanRun(s) {
				only = t.Name
				n++
			}
		}
		if n == 1 {
			out[only] = true
		}
	}
	return out
}

// expensiveFactor: a type is expensive for a service if its share of a machine costs more than this many times
// the lowest cost on any type.
const expensiveFactor = 2

// ExpensiveTypes are the types on which the share of a machine that a service's replica takes costs more than
// twice what it costs on the cheapest type that takes it. A replica stays indefinitely and keeps its machine:
// without this rule hundreds of replicas sat on racks at four times the price of the boxes that were available.
// No type is expensive for other work, which ends by itself.
func ExpensiveTypes(s *protocol.JobSpec, types map[string]protocol.MachineType) (expensive map[string]bool) {
	if s.Shape != protocol.Service {
		return nil
	}
	lowest := math.Inf(1)
	costs := func(t *protocol.MachineType) float64 { return t.Price * s.Need().DominantShare(t.Room()) }
	for _, t := range types {
		if t.CanRun(s) {
			lowest = min(lowest, costs(&t))
		}
	}
	for _, t := range types {
		if t.CanRun(s) && costs(&t) > expensiveFactor*lowest {
			if expensive == nil {
				expensive = map[string]bool{}
			}
			expensive[t.Name] = true
		}
	}
	return expensive
}

// ExpensiveTypesCache returns a function that computes ExpensiveTypes once for each job, for the same types.
func ExpensiveTypesCache(types map[string]protocol.MachineType) func(*protocol.JobSpec) map[string]bool {
	cache := map[string]map[string]bool{}
	return func(s *protocol.JobSpec) map[string]bool {
		expensive, found := cache[s.ID]
		if !found {
			expensive = ExpensiveTypes(s, types)
			cache[s.ID] = expensive
		}
		return expensive
	}
}

// MinPreemptingRank is the lowest priority rank at which a job that is not within a guarantee preempts other work.
const MinPreemptingRank = 2
