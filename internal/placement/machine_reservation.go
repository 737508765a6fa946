package placement

import (
	"cmp"
	"slices"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// MachinesToReserve selects the machines, one for each task of a gang, on which room is to be reserved as it
// comes free; nil if there are not enough. It prefers the machines that lack the least room. Only tasks that
// end by themselves count as freeing room (estimate gives their run time; services never end).
func (p *Placer) MachinesToReserve(machines []*board.Machine, tasks int, estimate func(*board.Instance) RunEstimate) []*board.Machine {
	need := p.Spec.Need()
	type candidate struct {
		m         *board.Machine
		shortfall float64 // room that must still come free, as a share of the machine
	}
	var candidates []candidate
	for _, m := range machines {
		t := p.Types[m.Type]
		if !p.allowed(m) || !t.Room().Fits(need) {
			continue
		}
		free := m.FreeRoom()
		freeAfter := free
		for _, i := range m.Instances {
			if e := estimate(i); e.Mean > 0 && !board.Unconfirmed(i.State) {
				freeAfter = freeAfter.Add(e.Need)
			}
		}
		if freeAfter.Fits(need) {
			shortfall := protocol.Room{Cores: max(0, need.Cores-free.Cores), Accels: max(0, need.Accels-free.Accels), RAM: max(0, need.RAM-free.RAM)}
			candidates = append(candidates, candidate{m, shortfall.DominantShare(t.Room())})
		}
	}
	if len(candidates) < tasks {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.shortfall, b.shortfall), cmp.Compare(a.m.ID, b.m.ID))
	})
	out := make([]*board.Machine, 0, tasks)
	for _, c := range candidates {
		if p.Spec.Scatter && p.TasksByZone[c.m.Zone] >= p.Spec.MaxPerZone() {
			continue
		}
		p.TasksByZone[c.m.Zone]++
		if out = append(out, c.m); len(out) == tasks {
			return out
		}
	}
	return nil
}
