package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// classStats is what was seen of a class of jobs lately.
type classStats struct {
	spec     *protocol.JobSpec // of the newest job
	arrivals []time.Time       // of tasks, bounded
	image    float64           // average size of images
}

const (
	arrivalSpan = 4 * time.Minute
	maxArrivals = 256
)

func (o *Owner) countArrival(js *jobState) {
	s := js.job.Spec
	c := o.classes[s.Class]
	if c == nil {
		if len(o.classes) >= 64 {
			return
		}
		c = &classStats{image: s.ImageGB}
		o.classes[s.Class] = c
	}
	c.spec = s
	c.image += (s.ImageGB - c.image) / 8
	for range min(s.Tasks, 32) {
		c.arrivals = append(c.arrivals, js.job.Accepted)
	}
	if over := len(c.arrivals) - maxArrivals; over > 0 {
		c.arrivals = slices.Clone(c.arrivals[over:])
	}
}

// rate is how many tasks of the class arrive in a second. The jobs that are
// there at the very start are no measure of what follows.
func (c *classStats) rate(now, started time.Time) float64 {
	span := min(arrivalSpan, now.Sub(started))
	if span < 30*time.Second {
		return 0
	}
	n := 0
	for _, a := range c.arrivals {
		if now.Sub(a) < span-10*time.Second {
			n++
		}
	}
	return float64(n) / (span - 10*time.Second).Seconds()
}

// demand is a number of alike tasks that need machines.
type demand struct {
	spec  *protocol.JobSpec
	count int
	// spare: for work that is expected, not there yet. Room that can be had
	// by preemption will do if preempt is set.
	spare   bool
	preempt bool
	// zones that may not take more, and how many each may still take.
	zoneLeft map[string]int
}

// fleetMachine is a machine as renting sees it.
type fleetMachine struct {
	id, rig, zone string
	spot          bool
	booting       bool
	free          protocol.Room
	// byRank is the room held by tasks of each priority.
	byRank [4]protocol.Room
	idle   time.Duration
	drains bool
	used   bool
}

// fleetInput is the snapshot that renting is decided by.
type fleetInput struct {
	types    map[string]protocol.MachineType
	machines []*fleetMachine
	demands  []demand
	// refused tells whether the cloud had none of a kind a while ago.
	refused   func(rig, zone string, spot bool) bool
	idleAfter time.Duration
	scarce    map[string]bool
}

// rental is a number of machines of a kind to rent.
type rental struct {
	rig, zone string
	spot      bool
	count     int
}

// maxPacked bounds how many tasks one round of renting looks at.
const maxPacked = 300

// planFleet packs what has no machine into the room there is and will be,
// and says what to rent for the rest and which machines nothing needs.
func planFleet(in *fleetInput) (rent []rental, idle []string) {
	slices.SortStableFunc(in.demands, func(a, b demand) int {
		if a.spare != b.spare {
			if a.spare {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.spec.Priority.Rank(), a.spec.Priority.Rank()), cmp.Compare(b.spec.Accels, a.spec.Accels),
			cmp.Compare(b.spec.Cores, a.spec.Cores))
	})
	slices.SortStableFunc(in.machines, func(a, b *fleetMachine) int {
		if a.booting != b.booting {
			if b.booting {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.id, b.id)
	})
	bins := in.machines
	packed := 0
	for di := range in.demands {
		d := &in.demands[di]
		for left := d.count; left > 0 && packed < maxPacked; left-- {
			packed++
			if b := bestBin(in, bins, d); b != nil {
				b.take(d)
				continue
			}
			b := newBin(in, bins, d, left)
			if b == nil {
				break
			}
			b.take(d)
			bins = append(bins, b)
		}
	}
	for _, b := range bins[len(in.machines):] {
		k := slices.IndexFunc(rent, func(r rental) bool { return r.rig == b.rig && r.zone == b.zone && r.spot == b.spot })
		if k < 0 {
			rent = append(rent, rental{b.rig, b.zone, b.spot, 0})
			k = len(rent) - 1
		}
		rent[k].count = min(rent[k].count+1, protocol.MaxRent)
	}
	for _, m := range in.machines {
		if !m.used && !m.booting && m.idle > in.idleAfter {
			idle = append(idle, m.id)
		}
	}
	return rent, idle
}

func (b *fleetMachine) room(d *demand) protocol.Room {
	r := b.free
	if d.spare && d.preempt {
		for rank := range d.spec.Priority.Rank() {
			r = r.Add(b.byRank[rank])
		}
	}
	return r
}

func (b *fleetMachine) take(d *demand) {
	b.used = true
	need := d.spec.Need()
	b.free = b.free.Sub(need)
	if d.zoneLeft != nil {
		d.zoneLeft[b.zone]--
	}
}

func (d *demand) allows(b *fleetMachine) bool {
	if !d.spec.Allows(b.rig, b.zone, b.spot) {
		return false
	}
	left, bound := d.zoneLeft[b.zone]
	return !bound || left > 0
}

func bestBin(in *fleetInput, bins []*fleetMachine, d *demand) *fleetMachine {
	var best *fleetMachine
	bestLeft := math.Inf(1)
	need := d.spec.Need()
	for _, b := range bins {
		room := b.room(d)
		if b.drains || !d.allows(b) || !room.Fits(need) {
			continue
		}
		t := in.types[b.rig]
		left := room.Sub(need).Share(t.Room())
		if in.scarce[b.rig] {
			left++
		}
		if b.booting {
			left += 0.5
		}
		if left < bestLeft {
			best, bestLeft = b, left
		}
	}
	return best
}

// newBin chooses what to rent for a demand with so many tasks left: the kind
// of which the room that is of use costs least.
func newBin(in *fleetInput, bins []*fleetMachine, d *demand, left int) *fleetMachine {
	var best *fleetMachine
	bestPrice := math.Inf(1)
	perZone := map[string]int{}
	for _, b := range bins {
		perZone[b.zone]++
	}
	for _, t := range in.types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				b := &fleetMachine{rig: t.Name, zone: zone, spot: spot, booting: true, free: t.Room()}
				if !d.allows(b) || in.refused(t.Name, zone, spot) {
					continue
				}
				fit := 0
				for r := t.Room(); fit < left && r.Fits(d.spec.Need()); fit++ {
					r = r.Sub(d.spec.Need())
				}
				if fit == 0 {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * 1.2 // it may be taken away
				}
				// What a task takes of a machine counts, not the whole of it,
				// as long as other work can use the rest.
				price *= max(d.spec.Need().Share(t.Room()), 0.6/float64(fit))
				if in.scarce[t.Name] && fit < left {
					price *= 1.1
				}
				price *= 1 + 0.002*float64(perZone[zone])
				if price < bestPrice {
					best, bestPrice = b, price
				}
			}
		}
	}
	return best
}
