// Package placement decides on which machine a task starts, which tasks are evicted for it, what a gang
// needs next, and whether a job or a machine is at fault when tasks fail. All decisions are pure
// functions of a snapshot; actors call them and act on the results.
//
// Rules: best fit among a few sampled machines is "Rule" of the design; preemption follows "Preemption"
// of the users' protocol, gangs its "Gangs".
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Choice is the machine selected for a task.
type Choice struct {
	Machine *board.Machine
	// Evict names the tasks on the machine that must be evicted first.
	Evict []string
}

// Placer holds the inputs of the placement of one job's tasks.
type Placer struct {
	Spec *protocol.JobSpec
	// Zone is the only zone to search; empty means any.
	Zone string
	// Avoid holds the machines on which tasks of the job failed.
	Avoid map[string]bool
	Types map[string]protocol.MachineType
	// Scarce holds the machine types that some other class of jobs cannot do without.
	Scarce map[string]bool
	// SampleSize is how many candidates BestFit samples from the machines with room that have the image,
	// and again from those that lack it.
	SampleSize int
	Rand       *rand.Rand
	// AvoidScarce excludes machines of scarce types. A service would hold such a machine indefinitely
	// while work that fits nowhere else waits.
	AvoidScarce bool
	// Expensive holds the types on which a replica of a service costs far more than elsewhere, see
	// ExpensiveTypes; it is empty for other jobs. AvoidExpensive excludes these types.
	Expensive      map[string]bool
	AvoidExpensive bool
	// TasksByZone counts the job's tasks in each zone.
	TasksByZone map[string]int
	// withImage and withoutImage hold the candidates that FindCandidates found, by whether they have
	// the image.
	withImage, withoutImage []*board.Machine
}

func (p *Placer) allowed(m *board.Machine) bool {
	return m.Current && m.Usable && !p.avoids(m.ID) && !(p.AvoidScarce && p.Scarce[m.Type]) && !(p.AvoidExpensive && p.Expensive[m.Type]) && p.Spec.Allows(m.Type, m.Zone, m.Spot) && p.zoneAllowed(m.Zone)
}

// zoneAllowed reports whether the zone may take one more task.
func (p *Placer) zoneAllowed(zone string) bool {
	if p.Zone != "" && zone != p.Zone || p.Spec.OneZone && len(p.TasksByZone) > 0 && p.TasksByZone[zone] == 0 {
		return false
	}
	return !p.Spec.Scatter || p.TasksByZone[zone] < p.Spec.MaxPerZone()
}

func (p *Placer) avoids(machine string) bool {
	_, avoided := p.Avoid[machine]
	return avoided
}

// FindCandidates collects the machines with room for a task. Several tasks of a job can be placed on
// one set of candidates.
func (p *Placer) FindCandidates(machines []*board.Machine) {
	p.withImage, p.withoutImage = nil, nil
	for _, m := range machines {
		if !p.fits(m) {
			continue
		}
		if slices.Contains(m.Images, p.Spec.Image) {
			p.withImage = append(p.withImage, m)
		} else {
			p.withoutImage = append(p.withoutImage, m)
		}
	}
}

func (p *Placer) fits(m *board.Machine) bool {
	return m.HasRoomFor(p.Spec.Need()) && p.allowed(m)
}

// BestFit samples up to SampleSize candidates with the task's image and as many without it, and selects
// the one of lowest cost.
func (p *Placer) BestFit() (Choice, bool) {
	var best *board.Machine
	var bestCost float64
	for _, pool := range []*[]*board.Machine{&p.withImage, &p.withoutImage} {
		for k := 0; k < min(p.SampleSize, len(*pool)); {
			l := *pool
			i := k + p.Rand.IntN(len(l)-k)
			l[k], l[i] = l[i], l[k]
			m := l[k]
			if !p.fits(m) { // free room only shrinks while a job is placed
				last := len(l) - 1
				l[k] = l[last]
				*pool = l[:last]
				continue
			}
			k++
			if c := p.Cost(m); best == nil || c < bestCost {
				best, bestCost = m, c
			}
		}
	}
	return Choice{Machine: best}, best != nil
}

// Cost is the cost of placing the task on a machine, in seconds: the time to fetch the image, the room
// left unused, and penalties for scarce, expensive and non-spot machines.
func (p *Placer) Cost(m *board.Machine) float64 {
	t := p.Types[m.Type]
	capacity := t.Room()
	c := p.FetchTime(m).Seconds()
	left := m.FreeRoom().Sub(p.Spec.Need())
	c += 8 * left.DominantShare(capacity)
	if p.Scarce[t.Name] && HasNonScarceType(p.Spec, p.Types, p.Scarce) {
		c += 15 // keep scarce machines free for work that fits nowhere else
	}
	if p.Spec.Spot && !m.Spot {
		c += 4
	}
	if p.Expensive[m.Type] {
		c += expensiveTypePenalty
	}
	return c
}

// expensiveTypePenalty is the cost, in seconds, of placing a service on an expensive type.
const expensiveTypePenalty = 6

// HasNonScarceType reports whether a job can run on a type that is not scarce.
func HasNonScarceType(s *protocol.JobSpec, types map[string]protocol.MachineType, scarce map[string]bool) bool {
	for _, t := range types {
		if !scarce[t.Name] && t.CanRun(s) {
			return true
		}
	}
	return false
}

// FetchTime is how long a machine will take to have the task's image. Images that are fetched at the same
// time share the machine's fetch rate.
func (p *Placer) FetchTime(m *board.Machine) time.Duration {
	t := p.Types[m.Type]
	fetchAlone := t.FetchTime(p.Spec.ImageGB)
	switch {
	case slices.Contains(m.Pulling, p.Spec.Image):
		return fetchAlone / 2 * time.Duration(len(m.Pulling))
	case slices.Contains(m.Images, p.Spec.Image):
		return 0
	}
	return fetchAlone * time.Duration(1+len(m.Pulling))
}

// Victim is a task that preemption may evict, with the room that it frees and the cost of evicting it.
type Victim struct {
	Name string
	Need protocol.Room
	Cost float64
}

// Preempt selects the machine on which placing the task by evicting work of lower priority costs least,
// provided the cost is below maxCost, the cost of the best alternative. cost gives the cost of evicting
// a task, or false if it may not be evicted.
func (p *Placer) Preempt(machines []*board.Machine, maxCost float64, cost func(*board.Instance) (Victim, bool)) (Choice, bool) {
	var best Choice
	bestCost := maxCost
	need := p.Spec.Need()
	var candidates, victims []Victim // reused for each machine: there may be thousands
	for _, m := range machines {
		room, tasksLeft := m.FreeRoom(), m.TasksLeft()
		if tasksLeft > 0 && room.Fits(need) || !p.allowed(m) {
			continue // no eviction is needed, or none would help
		}
		if t := p.Types[m.Type]; !t.Room().Fits(need) {
			continue
		}
		total := p.Cost(m)
		if total >= bestCost {
			continue // evictions only add to the cost
		}
		candidates = candidates[:0]
		for _, i := range m.Instances {
			if e, ok := cost(i); ok {
				candidates = append(candidates, e)
			}
		}
		slices.SortFunc(candidates, func(a, b Victim) int {
			return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Name, b.Name))
		})
		n := 0
		for n < len(candidates) && !(tasksLeft > 0 && room.Fits(need)) && total < bestCost {
			room = room.Add(candidates[n].Need)
			tasksLeft++
			total += candidates[n].Cost
			n++
		}
		if tasksLeft > 0 && room.Fits(need) && total < bestCost {
			best.Machine, bestCost = m, total
			victims = append(victims[:0], candidates[:n]...)
		}
	}
	for _, e := range victims {
		best.Evict = append(best.Evict, e.Name)
	}
	return best, best.Machine != nil
}
