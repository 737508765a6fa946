// Package fleet plans the machines: what to rent for what has none, what nothing
// needs any more, and when one that is late is not counted on. All of it are pure
// functions of a snapshot; the leader asks, and acts on the answer.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Demand is a number of alike tasks that need machines.
type Demand struct {
	Spec  *protocol.JobSpec
	Count int
	// Raised is the rank of the priority that the job has for others.
	Raised int
	// Spare: for work that is expected, not there yet. Room that can be had
	// by preemption will do if Preempt is set.
	Spare   bool
	Preempt bool
	// Left is how much time the users' aim leaves for the tasks to start.
	Left time.Duration
	// Filler: work that nobody waits for.
	Filler bool
	// dear are types on which it costs far more than elsewhere (placement.Dear); onlyDear: no
	// others are to be had. makesWay: work of lower priority has to go for it.
	dear               map[string]bool
	onlyDear, makesWay bool
	// ZoneLeft is how many of the tasks each zone may still take, nil if all may
	// go anywhere.
	ZoneLeft map[string]int
}

func (d *Demand) rank() int { return max(d.Spec.Priority.Rank(), d.Raised) }

// Machine is a machine as renting sees it, there or booting.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Booting        bool
	// class is that of the jobs that a machine still to be rented is for.
	class string
	Free  protocol.Room
	// ByRank is the room held by tasks of each priority, Yields that of filler
	// work, which makes way for any other of higher priority.
	ByRank [4]protocol.Room
	Yields protocol.Room
	// fillers: it is there, or on its way, for filler work alone.
	fillers bool
	// Idle is for how long it has had no task.
	Idle time.Duration
	// Drains: it is not counted on.
	Drains bool
	Used   bool // there are tasks, or some were packed into it
	// Pinned: there are tasks that won't end by themselves.
	Pinned bool
	// Fresh: it came up less than FreshFor ago.
	Fresh bool
	// Live are the services' replicas on it, Others tells that there are other tasks, and
	// Images are those that it has.
	Live   []Replica
	Others bool
	Images []string
	// Packed: a plan counts on room that it has.
	Packed bool
}

// Replica is a service's task on a machine, and for how long it is seen to run.
type Replica struct {
	Spec *protocol.JobSpec
	Ran  time.Duration
}

// Input is the snapshot that renting is decided by.
type Input struct {
	Types    map[string]protocol.MachineType
	Machines []*Machine
	Demands  []Demand
	// Refused tells whether the cloud had none of a kind a while ago.
	Refused func(kind Kind) bool
	// IdleAfter is how long a machine may stand idle.
	IdleAfter time.Duration
	// Scarce are types that some class cannot do without.
	Scarce map[string]bool
}

// Rental is a number of machines of a kind to rent.
type Rental struct {
	Kind
	Count int
	Class string // of the jobs that need it
}

// Plan packs what has no machine into the room there is and will be,
// and says what to rent for the rest and which machines nothing needs.
func Plan(in *Input) (rent []Rental, idle []string) {
	last := func(a, b bool) int { // those that are come last
		switch {
		case a == b:
			return 0
		case a:
			return 1
		}
		return -1
	}
	slices.SortStableFunc(in.Demands, func(a, b Demand) int {
		return cmp.Or(last(a.Filler, b.Filler), last(a.Spare, b.Spare), cmp.Compare(b.rank(), a.rank()),
			cmp.Compare(b.Spec.Accels, a.Spec.Accels), cmp.Compare(b.Spec.Cores, a.Spec.Cores))
	})
	slices.SortFunc(in.Machines, func(a, b *Machine) int { return cmp.Compare(a.ID, b.ID) })
	p := packing{in: in, bins: in.Machines, perZone: map[string]int{}, forFiller: in.markFillers()}
	for _, b := range p.bins {
		p.perZone[b.Zone]++
	}
	// What filler work would like to have must not keep a machine: it is seen to
	// once it is known which ones go.
	filler := len(in.Demands)
	if k := slices.IndexFunc(in.Demands, func(d Demand) bool { return d.Filler }); k >= 0 {
		filler = k
	}
	p.pack(in.Demands[:filler])
	p.pack(misplaced(in))
	for _, m := range in.Machines {
		if !m.Used && !m.Booting && m.Idle > in.IdleAfter {
			idle = append(idle, m.ID)
			m.Drains = true
		}
	}
	idle = append(idle, surplus(in)...)
	p.pack(in.Demands[filler:])
	return p.rentals(), idle
}

// mostMisplaced bounds for how many replicas at a time room is kept that costs less.
const mostMisplaced = 32

// misplaced are services on machines where they cost far more than elsewhere: room that costs
// less is kept ready for them, as far as it can be had, and they move there.
func misplaced(in *Input) (demands []Demand) {
	at := map[string]int{} // by job
	dear := placement.DearFor(in.Types)
	n := 0
	for _, m := range in.Machines {
		if m.Others {
			continue
		}
		for _, r := range m.Live {
			if !dear(r.Spec)[m.Type] {
				continue
			}
			job := r.Spec.ID
			k, known := at[job]
			if !known {
				k, at[job] = len(demands), len(demands)
				d := Demand{Spec: r.Spec, Spare: true, Left: time.Hour}
				if r.Spec.OneZone {
					d.ZoneLeft = in.noZones()
				}
				demands = append(demands, d)
			}
			if demands[k].Count++; demands[k].ZoneLeft != nil {
				demands[k].ZoneLeft[m.Zone]++
			}
			if n++; n == mostMisplaced {
				return demands
			}
		}
	}
	return demands
}

// noZones lets a demand into no zone that a type is had in.
func (in *Input) noZones() map[string]int {
	left := map[string]int{}
	for _, t := range in.Types {
		for _, z := range t.Zones {
			left[z] = 0
		}
	}
	return left
}

// markFillers finds the machines that are there for filler work alone and tells
// how many there may be: a tenth of the others. Where it has no room at all it
// would never be done, and it must not cost more than that.
func (in *Input) markFillers() int {
	others := 0
	for _, m := range in.Machines {
		t := in.Types[m.Type]
		m.fillers = !m.Booting && !m.Pinned && m.Yields != (protocol.Room{}) && t.Room().Sub(m.Free).Sub(m.Yields).Share(t.Room()) < 1e-6
		if !m.fillers {
			others++
		}
	}
	return max(2, others/10)
}

// Fillers is how many of the machines are there for filler work alone.
func Fillers(bins []*Machine) (n int) {
	for _, b := range bins {
		if b.fillers {
			n++
		}
	}
	return n
}

// FreshFor is for how long a machine that came up is left for what it was rented
// for. It is empty at first, and was given back at once, and another one rented,
// over and over, where others of its type hold only filler work (hunt-cc4e-31).
const FreshFor = 3 * time.Second

// RoomKept is the part of the machines of a type whose room is kept for what
// comes, beside what is known, before any are given back at once.
const RoomKept = 0.12

// surplus chooses, and marks, the machines without tasks that need not stand
// idle for a while first: as many of each type as the others have room for, and some more.
// Machines with tasks are not emptied for it: tried, and no cheaper.
func surplus(in *Input) (empty []string) {
	room, count := map[string]float64{}, map[string]int{} // by type, in whole machines
	for _, m := range in.Machines {
		if t := in.Types[m.Type]; !m.Booting && !m.Drains {
			room[m.Type] += 1 - min(1, t.Room().Sub(m.Free).Sub(m.Yields).Share(t.Room()))
			count[m.Type]++
		}
	}
	for _, m := range in.Machines {
		if m.Used || m.Booting || m.Drains || m.Fresh || room[m.Type]-1 < max(1, RoomKept*float64(count[m.Type])) {
			continue
		}
		room[m.Type]--
		m.Drains = true
		empty = append(empty, m.ID)
	}
	return empty
}

// chooseZone settles on one zone for tasks that must share one: that which
// takes most of them as it is.
func (d *Demand) chooseZone(in *Input, bins []*Machine) {
	fit := map[string]int{}
	for _, b := range bins {
		if !b.Drains && d.allows(b) {
			fit[b.Zone] += b.room(d).Times(d.Spec.Need(), d.Count)
		}
	}
	best, most := "", -1
	for zone, left := range d.ZoneLeft {
		n := min(fit[zone], d.Count)
		if n < d.Count && !d.rentable(in, zone) {
			n = 0
		}
		if left > 0 && (n > most || n == most && zone < best) {
			best, most = zone, n
		}
	}
	for zone := range d.ZoneLeft {
		if zone != best {
			d.ZoneLeft[zone] = 0
		}
	}
}

// ToBeHad tells whether the cloud may have machines that a job may run on, of kinds that serve.
func ToBeHad(types map[string]protocol.MachineType, s *protocol.JobSpec, serves func(Kind) bool) bool {
	for _, t := range types {
		if !t.Takes(s) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				if s.Allows(t.Name, zone, spot) && serves(Kind{t.Name, zone, spot}) {
					return true
				}
			}
		}
	}
	return false
}

// rentable tells whether the cloud may have machines for the demand in a zone.
func (d *Demand) rentable(in *Input, zone string) bool {
	return ToBeHad(in.Types, d.Spec, func(k Kind) bool { return k.Zone == zone && !in.Refused(k) })
}
