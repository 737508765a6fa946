package fleet

import (
	"cmp"
	"math"
	"slices"

	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// packing packs demands into the present machines and into those to be rented.
type packing struct {
	in            *Input
	bins          []*Machine
	perZone       map[string]int
	maxFillerOnly int // bounds the machines for filler work alone
}

func (p *packing) pack(demands []Demand) {
	for i := range demands {
		d := &demands[i]
		d.expensive = placement.ExpensiveTypes(d.Spec, p.in.Types)
		d.onlyExpensive = d.expensive != nil && !AnyRentable(p.in.Types, d.Spec, func(k Kind) bool { return !d.expensive[k.Type] && !p.in.Refused(k) })
		if d.Spec.OneZone && d.Count > 1 && !d.Spare {
			d.chooseZone(p.in, p.bins)
		}
		left := d.fill(p.in, p.bins, d.Count)
		if left > 0 && d.onlyExpensive && d.rank() >= placement.MinPreemptingRank {
			// Renting an expensive machine for a service, which keeps it indefinitely, costs more than evicting
			// work that ends elsewhere.
			d.preemptLower = true
			left = d.fill(p.in, p.bins, left)
		}
		for left > 0 {
			if d.Filler && CountFillerOnly(p.bins) >= p.maxFillerOnly {
				break
			}
			b := chooseRental(p.in, p.perZone, len(p.bins), d, left)
			if b == nil {
				break
			}
			left -= b.take(d, left)
			p.bins = append(p.bins, b)
			p.perZone[b.Zone]++
		}
	}
}

// rentals counts the machines to be rented by kind and class.
func (p *packing) rentals() (rent []Rental) {
	for _, b := range p.bins[len(p.in.Machines):] {
		k := slices.IndexFunc(rent, func(r Rental) bool {
			return r.Kind == (Kind{b.Type, b.Zone, b.Spot}) && r.Class == b.class && r.Count < protocol.MaxRent
		})
		if k < 0 {
			rent = append(rent, Rental{Kind{b.Type, b.Zone, b.Spot}, 0, b.class})
			k = len(rent) - 1
		}
		rent[k].Count++
	}
	return rent
}

func (b *Machine) room(d *Demand) protocol.Room {
	r := b.Free
	switch {
	case d.preemptLower:
		for rank := range min(d.rank(), placement.MinPreemptingRank) {
			r = r.Add(b.RoomByRank[rank])
		}
	case !d.Spare || !d.AllowPreemption:
		if d.rank() >= placement.MinPreemptingRank {
			r = r.Add(b.FillerRoom)
		}
	default:
		for rank := range d.rank() {
			r = r.Add(b.RoomByRank[rank])
		}
	}
	return r
}

// TasksLeft is how many more tasks the machine may have. Tasks that may be evicted count as staying.
func (b *Machine) TasksLeft() int { return max(0, protocol.MaxTasksPerMachine-b.Tasks) }

// take packs up to left tasks into the machine and returns how many fit.
func (b *Machine) take(d *Demand, left int) int {
	if zone, bound := d.ZoneLeft[b.Zone]; bound {
		left = min(left, zone)
	}
	n := b.room(d).CountFits(d.Spec.Need(), min(left, b.TasksLeft()))
	if n == 0 {
		return 0
	}
	b.fillerOnly = b.fillerOnly || d.Filler && b.Booting && !b.Used
	b.Used, b.Packed = true, true
	b.Tasks += n
	for range n {
		b.Free = b.Free.Sub(d.Spec.Need())
	}
	if d.ZoneLeft != nil {
		d.ZoneLeft[b.Zone] -= n
	}
	return n
}

func (d *Demand) allows(b *Machine) bool {
	if _, avoided := d.Avoid[b.ID]; avoided || !d.Spec.Allows(b.Type, b.Zone, b.Spot) {
		return false
	}
	left, bound := d.ZoneLeft[b.Zone]
	return !bound || left > 0
}

// fill packs up to count tasks into the machines, the tightest fit first, and returns how many are left.
func (d *Demand) fill(in *Input, bins []*Machine, count int) int {
	type fit struct {
		bin   *Machine
		score float64
	}
	var fits []fit
	need := d.Spec.Need()
	avoidScarce := d.Spec.Shape == protocol.Service && placement.HasNonScarceType(d.Spec, in.Types, in.Scarce)
	avoidExpensive := d.expensive != nil && !d.onlyExpensive
	for _, b := range bins {
		room := b.room(d)
		if b.Draining || avoidScarce && in.Scarce[b.Type] || avoidExpensive && d.expensive[b.Type] || b.TasksLeft() == 0 || !room.Fits(need) || !d.allows(b) {
			continue
		}
		t := in.Types[b.Type]
		score := room.Sub(need).DominantShare(t.Room())
		if in.Scarce[b.Type] {
			score++
		}
		if d.expensive[b.Type] {
			score += 2
		}
		if b.Booting {
			score += 0.5
		}
		fits = append(fits, fit{b, score})
	}
	slices.SortStableFunc(fits, func(a, b fit) int { return cmp.Compare(a.score, b.score) })
	left := count
	for _, f := range fits {
		if left == 0 {
			break
		}
		left -= f.bin.take(d, left)
	}
	return left
}

// chooseRental selects what to rent for a demand with left tasks to place: the kind whose usable room costs
// least. It returns nil if there is none.
func chooseRental(in *Input, perZone map[string]int, total int, d *Demand, left int) *Machine {
	var best *Machine
	bestPrice := math.Inf(1)
	for _, t := range in.Types {
		if d.Spare && d.expensive[t.Name] {
			continue // no spare room on expensive types
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				b := &Machine{Type: t.Name, Zone: zone, Spot: spot, Booting: true, class: d.Spec.Class, Free: t.Room()}
				if !d.allows(b) || in.Refused(Kind{t.Name, zone, spot}) {
					continue
				}
				fitting := t.Room().CountFits(d.Spec.Need(), min(left, b.TasksLeft()))
				if fitting == 0 {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * 1.2 // a surcharge, because the cloud may reclaim a spot machine
				}
				// Only the share of the machine that a task takes counts, since other work can use the rest, but
				// at least 60% of the machine is charged to the tasks of this demand that fit.
				price *= max(d.Spec.Need().DominantShare(t.Room()), 0.6/float64(fitting))
				if in.Scarce[t.Name] && fitting < left {
					price *= 1.1
				}
				// The delay beyond the start-time target raises the price that counts.
				delay := protocol.Seconds(1.3*t.BootS) + t.FetchTime(d.Spec.ImageGB) - d.TimeLeft
				price *= 1 + 0.015*max(0, delay.Seconds())
				price *= 1 + 0.1*float64(perZone[zone])/float64(total+1)
				if price < bestPrice {
					best, bestPrice = b, price
				}
			}
		}
	}
	return best
}
