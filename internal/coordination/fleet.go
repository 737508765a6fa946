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
		c.arrivals = append(c.arrivals, js.job.Ready)
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
	// raised is the rank of the priority that the job has for others.
	raised int
	// spare: for work that is expected, not there yet. Room that can be had
	// by preemption will do if preempt is set.
	spare   bool
	preempt bool
	// left is how much time the users' aim leaves for the tasks to start.
	left time.Duration
	// filler: work that nobody waits for.
	filler bool
	// zones that may not take more, and how many each may still take.
	zoneLeft map[string]int
}

func (d *demand) rank() int { return max(d.spec.Priority.Rank(), d.raised) }

// fleetMachine is a machine as renting sees it.
type fleetMachine struct {
	id, rig, zone string
	spot          bool
	booting       bool
	// class is that of the jobs that a machine still to be rented is for.
	class string
	free  protocol.Room
	// byRank is the room held by tasks of each priority, yields that of filler
	// work, which makes way for any other of higher priority.
	byRank [4]protocol.Room
	yields protocol.Room
	// fillers: it is there, or on its way, for filler work alone.
	fillers bool
	idle    time.Duration
	drains  bool
	used    bool // there are tasks, or some were packed into it
	// pinned: there are tasks that won't end by themselves.
	pinned bool
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
	class     string // of the jobs that need it
}

// planFleet packs what has no machine into the room there is and will be,
// and says what to rent for the rest and which machines nothing needs.
func planFleet(in *fleetInput) (rent []rental, idle []string) {
	last := func(a, b bool) int { // those that are come last
		switch {
		case a == b:
			return 0
		case a:
			return 1
		}
		return -1
	}
	slices.SortStableFunc(in.demands, func(a, b demand) int {
		return cmp.Or(last(a.filler, b.filler), last(a.spare, b.spare), cmp.Compare(b.rank(), a.rank()),
			cmp.Compare(b.spec.Accels, a.spec.Accels), cmp.Compare(b.spec.Cores, a.spec.Cores))
	})
	slices.SortFunc(in.machines, func(a, b *fleetMachine) int { return cmp.Compare(a.id, b.id) })
	p := packing{in: in, bins: in.machines, perZone: map[string]int{}, forFiller: in.markFillers()}
	for _, b := range p.bins {
		p.perZone[b.zone]++
	}
	// What filler work would like to have must not keep a machine: it is seen to
	// once it is known which ones go.
	filler := len(in.demands)
	if k := slices.IndexFunc(in.demands, func(d demand) bool { return d.filler }); k >= 0 {
		filler = k
	}
	p.pack(in.demands[:filler])
	for _, m := range in.machines {
		if !m.used && !m.booting && m.idle > in.idleAfter {
			idle = append(idle, m.id)
			m.drains = true
		}
	}
	idle = append(idle, surplus(in)...)
	p.pack(in.demands[filler:])
	return p.rentals(), idle
}

// packing packs demands into machines, those that are there and those that are
// to be rented.
type packing struct {
	in        *fleetInput
	bins      []*fleetMachine
	perZone   map[string]int
	forFiller int // how many machines there may be for filler work alone
}

func (p *packing) pack(demands []demand) {
	for i := range demands {
		d := &demands[i]
		if d.spec.OneZone && d.count > 1 && !d.spare {
			d.chooseZone(p.in, p.bins)
		}
		for left := d.fill(p.in, p.bins); left > 0; {
			if d.filler && fillersIn(p.bins) >= p.forFiller {
				break
			}
			b := newBin(p.in, p.perZone, len(p.bins), d, left)
			if b == nil {
				break
			}
			left -= b.take(d, left)
			p.bins = append(p.bins, b)
			p.perZone[b.zone]++
		}
	}
}

// rentals sums up the machines to be rented.
func (p *packing) rentals() (rent []rental) {
	for _, b := range p.bins[len(p.in.machines):] {
		k := slices.IndexFunc(rent, func(r rental) bool {
			return r.rig == b.rig && r.zone == b.zone && r.spot == b.spot && r.class == b.class && r.count < protocol.MaxRent
		})
		if k < 0 {
			rent = append(rent, rental{b.rig, b.zone, b.spot, 0, b.class})
			k = len(rent) - 1
		}
		rent[k].count++
	}
	return rent
}

// markFillers finds the machines that are there for filler work alone and tells
// how many there may be: a tenth of the others. Where it has no room at all it
// would never be done, and it must not cost more than that.
func (in *fleetInput) markFillers() int {
	others := 0
	for _, m := range in.machines {
		t := in.types[m.rig]
		m.fillers = !m.booting && !m.pinned && m.yields != (protocol.Room{}) && t.Room().Sub(m.free).Sub(m.yields).Share(t.Room()) < 1e-6
		if !m.fillers {
			others++
		}
	}
	return max(2, others/10)
}

func fillersIn(bins []*fleetMachine) (n int) {
	for _, b := range bins {
		if b.fillers {
			n++
		}
	}
	return n
}

// roomKept is the part of the machines of a type whose room is kept for what
// comes, beside what is known, before any are given back at once.
const roomKept = 0.12

// surplus chooses, and marks, the machines without tasks that need not stand
// idle for a while first: as many of each type as the others have room for, and some more.
// Machines with tasks are not emptied for it: tried, and no cheaper.
func surplus(in *fleetInput) (empty []string) {
	room, count := map[string]float64{}, map[string]int{} // by type, in whole machines
	for _, m := range in.machines {
		if t := in.types[m.rig]; !m.booting && !m.drains {
			room[m.rig] += 1 - min(1, t.Room().Sub(m.free).Sub(m.yields).Share(t.Room()))
			count[m.rig]++
		}
	}
	for _, m := range in.machines {
		if m.used || m.booting || m.drains || room[m.rig]-1 < max(1, roomKept*float64(count[m.rig])) {
			continue
		}
		room[m.rig]--
		m.drains = true
		empty = append(empty, m.id)
	}
	return empty
}

// chooseZone settles on one zone for tasks that must share one: that which
// takes most of them as it is.
func (d *demand) chooseZone(in *fleetInput, bins []*fleetMachine) {
	fit := map[string]int{}
	for _, b := range bins {
		if !b.drains && d.allows(b) {
			fit[b.zone] += b.room(d).Times(d.spec.Need(), d.count)
		}
	}
	best, most := "", -1
	for zone, left := range d.zoneLeft {
		n := min(fit[zone], d.count)
		if n < d.count && !d.rentable(in, zone) {
			n = 0
		}
		if left > 0 && (n > most || n == most && zone < best) {
			best, most = zone, n
		}
	}
	for zone := range d.zoneLeft {
		if zone != best {
			d.zoneLeft[zone] = 0
		}
	}
}

// rentable tells whether the cloud may have machines for the demand in a zone.
func (d *demand) rentable(in *fleetInput, zone string) bool {
	for _, t := range in.types {
		for _, spot := range []bool{false, true} {
			if slices.Contains(t.Zones, zone) && d.spec.Allows(t.Name, zone, spot) && !in.refused(t.Name, zone, spot) && t.Room().Fits(d.spec.Need()) {
				return true
			}
		}
	}
	return false
}

func (b *fleetMachine) room(d *demand) protocol.Room {
	r := b.free
	switch {
	case !d.spare || !d.preempt:
		if d.rank() >= preempts {
			r = r.Add(b.yields)
		}
	default:
		for rank := range d.rank() {
			r = r.Add(b.byRank[rank])
		}
	}
	return r
}

// take packs up to so many tasks into the machine and tells how many fit.
func (b *fleetMachine) take(d *demand, left int) int {
	if zone, bound := d.zoneLeft[b.zone]; bound {
		left = min(left, zone)
	}
	n := b.room(d).Times(d.spec.Need(), left)
	if n == 0 {
		return 0
	}
	b.fillers = b.fillers || d.filler && b.booting && !b.used
	b.used = true
	for range n {
		b.free = b.free.Sub(d.spec.Need())
	}
	if d.zoneLeft != nil {
		d.zoneLeft[b.zone] -= n
	}
	return n
}

func (d *demand) allows(b *fleetMachine) bool {
	if !d.spec.Allows(b.rig, b.zone, b.spot) {
		return false
	}
	left, bound := d.zoneLeft[b.zone]
	return !bound || left > 0
}

// fill packs as many tasks as fit into the machines, the tightest fit first,
// and tells how many are left.
func (d *demand) fill(in *fleetInput, bins []*fleetMachine) int {
	type fit struct {
		bin  *fleetMachine
		left float64
	}
	var fits []fit
	need := d.spec.Need()
	keep := d.spec.Shape == protocol.Service && runsOnOthers(d.spec, in.types, in.scarce)
	for _, b := range bins {
		room := b.room(d)
		if b.drains || keep && in.scarce[b.rig] || !room.Fits(need) || !d.allows(b) {
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
		fits = append(fits, fit{b, left})
	}
	slices.SortStableFunc(fits, func(a, b fit) int { return cmp.Compare(a.left, b.left) })
	left := d.count
	for _, f := range fits {
		if left == 0 {
			break
		}
		left -= f.bin.take(d, left)
	}
	return left
}

// newBin chooses what to rent for a demand with so many tasks left: the kind
// of which the room that is of use costs least.
func newBin(in *fleetInput, perZone map[string]int, total int, d *demand, left int) *fleetMachine {
	var best *fleetMachine
	bestPrice := math.Inf(1)
	for _, t := range in.types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				b := &fleetMachine{rig: t.Name, zone: zone, spot: spot, booting: true, class: d.spec.Class, free: t.Room()}
				if !d.allows(b) || in.refused(t.Name, zone, spot) {
					continue
				}
				fit := t.Room().Times(d.spec.Need(), left)
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
				// A machine that is ready too late is worth less, however cheap.
				late := protocol.Seconds(1.3*t.BootS) + t.FetchTime(d.spec.ImageGB) - d.left
				price *= 1 + 0.015*max(0, late.Seconds())
				price *= 1 + 0.1*float64(perZone[zone])/float64(total+1)
				if price < bestPrice {
					best, bestPrice = b, price
				}
			}
		}
	}
	return best
}
