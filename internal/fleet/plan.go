// Package fleet plans the machines: what to rent for tasks that have no machine, which machines are no longer
// needed, and when plans no longer count on a machine that boots late. All decisions are pure functions of a
// snapshot; the leader calls them and acts on the results.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Demand is a number of like tasks that need machines.
type Demand struct {
	Spec  *protocol.JobSpec
	Count int
	// RaisedRank is the rank of the priority that the job inherits from jobs that depend on it.
	RaisedRank int
	// Spare: the tasks are expected but not there yet. AllowPreemption: room that preemption can free
	// will do for them.
	Spare           bool
	AllowPreemption bool
	// TimeLeft is how much of the start-time target is left for the tasks.
	TimeLeft time.Duration
	// Filler: nobody waits for the tasks.
	Filler bool
	// expensive holds the types on which the tasks cost far more than elsewhere (placement.ExpensiveTypes);
	// onlyExpensive: no other types can be rented. preemptLower: work of lower priority is to be evicted for
	// the tasks.
	expensive                   map[string]bool
	onlyExpensive, preemptLower bool
	// Avoid holds the machines on which the tasks will not be placed, since tasks of the job failed there.
	Avoid map[string]bool
	// ZoneLeft is how many of the tasks each zone may still take, nil if all may go anywhere.
	ZoneLeft map[string]int
}

func (d *Demand) rank() int { return max(d.Spec.Priority.Rank(), d.RaisedRank) }

// Machine is a machine as the planning sees it: running, booting or still to be rented.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Booting        bool
	// class is the class of the jobs for which a machine is to be rented.
	class string
	Free  protocol.Room
	// Tasks is the number of tasks on the machine, of which it may have protocol.MaxTasksPerMachine.
	Tasks int
	// RoomByRank is the room held by tasks of each priority. FillerRoom is the room held by filler work,
	// which is evicted for any work of higher priority.
	RoomByRank [4]protocol.Room
	FillerRoom protocol.Room
	// fillerOnly: the machine is running, or booting, for filler work alone.
	fillerOnly bool
	// Idle is for how long the machine has had no task.
	Idle time.Duration
	// Draining: the plan does not count on the machine.
	Draining bool
	Used     bool // the machine has tasks, or the plan gives it some
	// Pinned: some tasks will not end by themselves.
	Pinned bool
	// Fresh: the machine came up less than FreshFor ago.
	Fresh bool
	// Replicas are the services' tasks on the machine; OtherTasks: there are other tasks, too. Images are
	// those that the machine has.
	Replicas   []Replica
	OtherTasks bool
	Images     []string
	// Packed: the plan uses room on the machine.
	Packed bool
}

// Replica is a service's task on a machine, and for how long it has been seen to run.
type Replica struct {
	Spec       *protocol.JobSpec
	RunningFor time.Duration
}

// Input is the snapshot on which a plan is based.
type Input struct {
	Types    map[string]protocol.MachineType
	Machines []*Machine
	Demands  []Demand
	// Refused reports whether the cloud recently had none of a kind.
	Refused func(kind Kind) bool
	// IdleAfter is how long a machine may stand idle.
	IdleAfter time.Duration
	// Scarce holds the types that some class of jobs cannot do without.
	Scarce map[string]bool
}

// Rental is a number of machines of a kind to rent.
type Rental struct {
	Kind
	Count int
	Class string // of the jobs that need it
}

// Plan packs the demands into the room on running and booting machines, and returns what to rent for the rest and
// which machines are unneeded.
func Plan(in *Input) (rent []Rental, unneeded []string) {
	last := func(a, b bool) int { // true sorts last
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
	p := packing{in: in, bins: in.Machines, perZone: map[string]int{}, maxFillerOnly: in.markFillerOnly()}
	for _, b := range p.bins {
		p.perZone[b.Zone]++
	}
	// Filler work is no reason to keep a machine, so its demands are packed after the unneeded machines are
	// determined.
	firstFiller := len(in.Demands)
	if k := slices.IndexFunc(in.Demands, func(d Demand) bool { return d.Filler }); k >= 0 {
		firstFiller = k
	}
	p.pack(in.Demands[:firstFiller])
	p.pack(misplaced(in))
	for _, m := range in.Machines {
		if !m.Used && !m.Booting && m.Idle > in.IdleAfter {
			unneeded = append(unneeded, m.ID)
			m.Draining = true
		}
	}
	unneeded = append(unneeded, surplus(in)...)
	p.pack(in.Demands[firstFiller:])
	return p.rentals(), unneeded
}

// maxMisplaced bounds how many replicas on expensive machines get cheaper room at a time, see misplaced.
const maxMisplaced = 32

// misplaced returns demands for the replicas that run on machines where they cost far more than elsewhere. Cheaper
// room is kept ready for them as far as it can be rented; package balance then moves them there.
func misplaced(in *Input) (demands []Demand) {
	demandOf := map[string]int{} // by job
	expensive := placement.ExpensiveTypesCache(in.Types)
	n := 0
	for _, m := range in.Machines {
		if m.OtherTasks {
			continue
		}
		for _, r := range m.Replicas {
			if !expensive(r.Spec)[m.Type] {
				continue
			}
			job := r.Spec.ID
			k, known := demandOf[job]
			if !known {
				k, demandOf[job] = len(demands), len(demands)
				d := Demand{Spec: r.Spec, Spare: true, TimeLeft: time.Hour}
				if r.Spec.OneZone {
					d.ZoneLeft = in.zeroZones()
				}
				demands = append(demands, d)
			}
			if demands[k].Count++; demands[k].ZoneLeft != nil {
				demands[k].ZoneLeft[m.Zone]++
			}
			if n++; n == maxMisplaced {
				return demands
			}
		}
	}
	return demands
}

// zeroZones returns a ZoneLeft that allows no task in any of the zones in which types are offered.
func (in *Input) zeroZones() map[string]int {
	left := map[string]int{}
	for _, t := range in.Types {
		for _, z := range t.Zones {
			left[z] = 0
		}
	}
	return left
}

// markFillerOnly marks the machines that run for filler work alone and returns how many there may be: a tenth
// of the number of other machines, but at least two. Without any machine of its own filler work might never
// finish; the bound limits what it costs.
func (in *Input) markFillerOnly() int {
	others := 0
	for _, m := range in.Machines {
		t := in.Types[m.Type]
		m.fillerOnly = !m.Booting && !m.Pinned && m.FillerRoom != (protocol.Room{}) && t.Room().Sub(m.Free).Sub(m.FillerRoom).DominantShare(t.Room()) < 1e-6
		if !m.fillerOnly {
			others++
		}
	}
	return max(2, others/10)
}

// CountFillerOnly is how many of the machines run for filler work alone.
func CountFillerOnly(bins []*Machine) (n int) {
	for _, b := range bins {
		if b.fillerOnly {
			n++
		}
	}
	return n
}

// FreshFor is how long a machine that came up is kept for the work for which it was rented. It is empty at
// first, and without this delay it was returned at once and another one rented, over and over, where other
// machines of its type hold only filler work (hunt-cc4e-31).
const FreshFor = 3 * time.Second

// SpareRoomShare is the part of a type's machines whose room is kept for unexpected work before any are
// returned at once.
const SpareRoomShare = 0.12

// surplus selects, and marks as draining, machines without tasks that are returned without standing idle first:
// as many of each type as the others have room for, less SpareRoomShare. Machines with tasks are not emptied
// for this purpose: doing so did not lower the cost.
func surplus(in *Input) (unneeded []string) {
	freeRoom, count := map[string]float64{}, map[string]int{} // by type, in machines
	for _, m := range in.Machines {
		if t := in.Types[m.Type]; !m.Booting && !m.Draining {
			freeRoom[m.Type] += 1 - min(1, t.Room().Sub(m.Free).Sub(m.FillerRoom).DominantShare(t.Room()))
			count[m.Type]++
		}
	}
	for _, m := range in.Machines {
		if m.Used || m.Booting || m.Draining || m.Fresh || freeRoom[m.Type]-1 < max(1, SpareRoomShare*float64(count[m.Type])) {
			continue
		}
		freeRoom[m.Type]--
		m.Draining = true
		unneeded = append(unneeded, m.ID)
	}
	return unneeded
}

// chooseZone restricts tasks that must share a zone to the zone whose machines take most of them.
func (d *Demand) chooseZone(in *Input, bins []*Machine) {
	fit := map[string]int{}
	for _, b := range bins {
		if !b.Draining && d.allows(b) {
			fit[b.Zone] += b.room(d).CountFits(d.Spec.Need(), min(d.Count, b.TasksLeft()))
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

// AnyRentable reports whether the cloud may have a machine of an acceptable kind that the job may run on.
func AnyRentable(types map[string]protocol.MachineType, s *protocol.JobSpec, acceptable func(Kind) bool) bool {
	for _, t := range types {
		if !t.CanRun(s) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				if s.Allows(t.Name, zone, spot) && acceptable(Kind{t.Name, zone, spot}) {
					return true
				}
			}
		}
	}
	return false
}

// rentable reports whether the cloud may have machines for the demand in a zone.
func (d *Demand) rentable(in *Input, zone string) bool {
	return AnyRentable(in.Types, d.Spec, func(k Kind) bool { return k.Zone == zone && !in.Refused(k) })
}
