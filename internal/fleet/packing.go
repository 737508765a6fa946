package fleet

import (
	"cmp"
	"math"
	"slices"

	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// How demands are packed into machines, those that are there and those to be rented.

// packing packs demands into machines, those that are there and those that are
// to be rented.
type packing struct {
	in        *Input
	bins      []*Machine
	perZone   map[string]int
	forFiller int // how many machines there may be for filler work alone
}

func (p *packing) pack(demands []Demand) {
	for i := range demands {
		d := &demands[i]
		d.dear = placement.Dear(d.Spec, p.in.Types)
		d.onlyDear = d.dear != nil && !ToBeHad(p.in.Types, d.Spec, func(k Kind) bool { return !d.dear[k.Type] && !p.in.Refused(k) })
		if d.Spec.OneZone && d.Count > 1 && !d.Spare {
			d.chooseZone(p.in, p.bins)
		}
		left := d.fill(p.in, p.bins, d.Count)
		if left > 0 && d.onlyDear && d.rank() >= placement.Preempts {
			// A machine that costs far more, for good, is worth less than work that ends
			// elsewhere for it.
			d.makesWay = true
			left = d.fill(p.in, p.bins, left)
		}
		for left > 0 {
			if d.Filler && Fillers(p.bins) >= p.forFiller {
				break
			}
			b := newBin(p.in, p.perZone, len(p.bins), d, left)
			if b == nil {
				break
			}
			left -= b.take(d, left)
			p.bins = append(p.bins, b)
			p.perZone[b.Zone]++
		}
	}
}

// rentals sums up the machines to be rented.
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
	case d.makesWay:
		for rank := range min(d.rank(), placement.Preempts) {
			r = r.Add(b.ByRank[rank])
		}
	case !d.Spare || !d.Preempt:
		if d.rank() >= placement.Preempts {
			r = r.Add(b.Yields)
		}
	default:
		for rank := range d.rank() {
			r = r.Add(b.ByRank[rank])
		}
	}
	return r
}

// take packs up to so many tasks into the machine and tells how many fit.
func (b *Machine) take(d *Demand, left int) int {
	if zone, bound := d.ZoneLeft[b.Zone]; bound {
		left = min(left, zone)
	}
	n := b.room(d).Times(d.Spec.Need(), left)
	if n == 0 {
		return 0
	}
	b.fillers = b.fillers || d.Filler && b.Booting && !b.Used
	b.Used, b.Packed = true, true
	for range n {
		b.Free = b.Free.Sub(d.Spec.Need())
	}
	if d.ZoneLeft != nil {
		d.ZoneLeft[b.Zone] -= n
	}
	return n
}

func (d *Demand) allows(b *Machine) bool {
	if !d.Spec.Allows(b.Type, b.Zone, b.Spot) {
		return false
	}
	left, bound := d.ZoneLeft[b.Zone]
	return !bound || left > 0
}

// fill packs so many tasks into the machines as fit, the tightest fit first, and tells how
// many are left.
func (d *Demand) fill(in *Input, bins []*Machine, count int) int {
	type fit struct {
		bin  *Machine
		left float64
	}
	var fits []fit
	need := d.Spec.Need()
	keep := d.Spec.Shape == protocol.Service && placement.RunsOnOthers(d.Spec, in.Types, in.Scarce)
	shun := d.dear != nil && !d.onlyDear
	for _, b := range bins {
		room := b.room(d)
		if b.Drains || keep && in.Scarce[b.Type] || shun && d.dear[b.Type] || !room.Fits(need) || !d.allows(b) {
			continue
		}
		t := in.Types[b.Type]
		left := room.Sub(need).Share(t.Room())
		if in.Scarce[b.Type] {
			left++
		}
		if d.dear[b.Type] {
			left += 2
		}
		if b.Booting {
			left += 0.5
		}
		fits = append(fits, fit{b, left})
	}
	slices.SortStableFunc(fits, func(a, b fit) int { return cmp.Compare(a.left, b.left) })
	left := count
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
func newBin(in *Input, perZone map[string]int, total int, d *Demand, left int) *Machine {
	var best *Machine
	bestPrice := math.Inf(1)
	for _, t := range in.Types {
		if d.Spare && d.dear[t.Name] {
			continue // nothing is kept ready where it costs far more
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				b := &Machine{Type: t.Name, Zone: zone, Spot: spot, Booting: true, class: d.Spec.Class, Free: t.Room()}
				if !d.allows(b) || in.Refused(Kind{t.Name, zone, spot}) {
					continue
				}
				fit := t.Room().Times(d.Spec.Need(), left)
				if fit == 0 {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * 1.2 // it may be taken away
				}
				// What a task takes of a machine counts, not the whole of it,
				// as long as other work can use the rest.
				price *= max(d.Spec.Need().Share(t.Room()), 0.6/float64(fit))
				if in.Scarce[t.Name] && fit < left {
					price *= 1.1
				}
				// A machine that is ready too late is worth less, however cheap.
				late := protocol.Seconds(1.3*t.BootS) + t.FetchTime(d.Spec.ImageGB) - d.Left
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
