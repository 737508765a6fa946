package quota

import (
	"cmp"
	"math"
	"slices"

	"daledyke/internal/protocol"
)

// Part is one who takes part in a division: between Low and High, by Weight.
type Part struct {
	Weight, Low, High float64
}

// Divide gives each part its weighted max-min fair share of a capacity: no share
// can grow but at the cost of one that is, by weight, no larger. No share is
// below Low, whatever the capacity, nor above High.
func Divide(capacity float64, parts []Part) []float64 {
	share := func(p Part, level float64) float64 { return max(p.Low, min(p.High, p.Weight*level)) }
	total := func(level float64) (sum float64) {
		for _, p := range parts {
			sum += share(p, level)
		}
		return sum
	}
	// The total rises with the level, straight between the levels at which some
	// part leaves its Low or reaches its High.
	levels := []float64{0}
	for _, p := range parts {
		levels = append(levels, p.Low/p.Weight, p.High/p.Weight)
	}
	slices.Sort(levels)
	k, _ := slices.BinarySearchFunc(levels, capacity, func(level, capacity float64) int { return cmp.Compare(total(level), capacity) })
	level := math.Inf(1)
	switch {
	case k == 0:
		level = 0
	case k < len(levels):
		a, b := levels[k-1], levels[k]
		from, to := total(a), total(b)
		level = b
		if to > from {
			level = a + (b-a)*(capacity-from)/(to-from)
		}
	}
	out := make([]float64, len(parts))
	for i, p := range parts {
		out[i] = share(p, level)
	}
	return out
}

// Work is a task, or a gang that must go as a whole, that runs in an account.
type Work struct {
	ID      string
	Account string
	Need    protocol.Room
	Rank    int // of its priority
	// Live: a task of a service. At the highest priority it stays while anything
	// else can go.
	Live bool
	// Loss is what stopping it costs, in seconds' worth.
	Loss float64
}

// stays tells whether work is only stopped by its users.
func (w *Work) stays() bool { return w.Live && w.Rank == ranks-1 }

// Plan says what to stop so that no account uses more than its limit.
type Plan struct {
	Stop []Work
	// Over are accounts whose live services alone use more than the limit:
	// nothing is stopped there, and nothing more starts.
	Over []string
}

// Shrink works out what has to stop after limits fell: from the team down, each
// node that uses too much divides what it may use among the accounts below and its
// own work, weighted and max-min fair, never below what live services use, and not
// below a guarantee as long as that can be had. In an account the lowest priority
// goes first, then what loses least.
func Shrink(t *Tree, work []Work) (p Plan) {
	s := shrinking{t: t, own: make([][]Work, len(t.accounts)), use: make([]protocol.Room, len(t.accounts)), live: make([]protocol.Room, len(t.accounts))}
	l := Ledger{tree: t}
	for _, w := range work {
		at := l.home(w.Account)
		if at < 0 {
			continue
		}
		s.own[at] = append(s.own[at], w)
		for i := at; i >= 0; i = t.parent[i] {
			s.use[i] = s.use[i].Add(w.Need)
			if w.stays() {
				s.live[i] = s.live[i].Add(w.Need)
			}
		}
	}
	for i := range t.accounts {
		if t.parent[i] < 0 {
			s.node(i, unbounded, &p)
		}
	}
	return p
}

var unbounded = protocol.Room{Cores: math.Inf(1), Accels: math.Inf(1), RAM: math.Inf(1)}

type shrinking struct {
	t         *Tree
	own       [][]Work
	use, live []protocol.Room
}

// node brings an account and all below it within an amount that the one above
// allots, and within its limit.
func (s *shrinking) node(i int, allotted protocol.Room, p *Plan) {
	a := &s.t.accounts[i]
	allotted = least(allotted, orNone(a.Limit))
	if allotted.Fits(s.use[i]) {
		for _, c := range s.t.children[i] {
			s.node(c, unbounded, p) // its own limit may have fallen
		}
		return
	}
	if !allotted.Fits(s.live[i]) {
		p.Over = append(p.Over, a.Name)
		allotted = protocol.Room{Cores: max(allotted.Cores, s.live[i].Cores), Accels: max(allotted.Accels, s.live[i].Accels), RAM: max(allotted.RAM, s.live[i].RAM)}
	}
	// The account's own work takes part like an account below it without a
	// guarantee.
	children := s.t.children[i]
	ownUse, ownLive := s.use[i], s.live[i]
	for _, c := range children {
		ownUse, ownLive = ownUse.Sub(s.use[c]), ownLive.Sub(s.live[c])
	}
	targets := make([]protocol.Room, len(children)+1)
	for _, of := range []func(*protocol.Room) *float64{
		func(r *protocol.Room) *float64 { return &r.Cores }, func(r *protocol.Room) *float64 { return &r.Accels }, func(r *protocol.Room) *float64 { return &r.RAM }} {
		parts := []Part{{1, max(0, *of(&ownLive)), max(0, *of(&ownUse))}}
		floors := *of(&ownLive)
		for _, c := range children {
			acc := s.t.accounts[c]
			low := max(*of(&s.live[c]), min(*of(&s.use[c]), *of(&acc.Guarantee)))
			parts = append(parts, Part{acc.Weight, low, *of(&s.use[c])})
			floors += low
		}
		if floors > *of(&allotted) { // the guarantees can't all be kept
			for k, c := range children {
				parts[k+1].Low = *of(&s.live[c])
			}
		}
		for k, share := range Divide(*of(&allotted), parts) {
			*of(&targets[k]) = share
		}
	}
	for k, c := range children {
		s.node(c, targets[k+1], p)
	}
	own := slices.Clone(s.own[i])
	slices.SortFunc(own, func(a, b Work) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range own {
		if targets[0].Fits(ownUse) {
			break
		}
		if !w.stays() && over(ownUse, targets[0], w.Need) {
			ownUse = ownUse.Sub(w.Need)
			p.Stop = append(p.Stop, w)
		}
	}
}

// orNone reads a limit of 0 as none.
func orNone(l protocol.Room) protocol.Room {
	for _, v := range []*float64{&l.Cores, &l.Accels, &l.RAM} {
		if *v <= 0 {
			*v = math.Inf(1)
		}
	}
	return l
}

// over tells whether a use exceeds a target in something that need takes of.
func over(use, target, need protocol.Room) bool {
	const slack = 1e-6
	return need.Cores > 0 && use.Cores > target.Cores+slack || need.Accels > 0 && use.Accels > target.Accels+slack || need.RAM > 0 && use.RAM > target.RAM+slack
}

// Reclaim works out what has to stop so that a claim which lies within its
// guarantees can start: work of a lower priority in accounts that use more than they
// are guaranteed, beside the claim's own below the node that binds. Nothing, if
// that is not enough.
func Reclaim(l *Ledger, c *Claim, binds string, work []Work) (stop []Work) {
	node, ok := l.tree.index[binds]
	if owed := l.owed(c.Account, c.Need); !ok || owed < 0 || owed == node && owed != l.home(c.Account) || !l.under(l.tree.accounts[owed].Name, node) {
		return nil
	}
	limit := orNone(l.tree.accounts[node].Limit)
	use := l.nodes[node].use.Add(c.Need)
	// lent is how much more than guaranteed each account uses.
	lent := map[int]protocol.Room{}
	var can []Work
	for _, w := range work {
		if w.Rank < c.Rank && !w.stays() && l.under(w.Account, node) {
			can = append(can, w)
		}
	}
	slices.SortFunc(can, func(a, b Work) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range can {
		if limit.Fits(use) {
			break
		}
		at := l.home(w.Account)
		if at < 0 || !over(use, limit, w.Need) {
			continue
		}
		borrows := at == node // its own work has no guarantee of its own
		for i := at; i >= 0 && i != node; i = l.tree.parent[i] {
			if _, seen := lent[i]; !seen {
				lent[i] = l.nodes[i].use
			}
			borrows = borrows || over(lent[i], l.tree.accounts[i].Guarantee, w.Need)
		}
		if !borrows {
			continue
		}
		for i := at; i >= 0 && i != node; i = l.tree.parent[i] {
			lent[i] = lent[i].Sub(w.Need)
		}
		use = use.Sub(w.Need)
		stop = append(stop, w)
	}
	if !limit.Fits(use) {
		return nil
	}
	return stop
}

// under tells whether an account is a node, or below it.
func (l *Ledger) under(name string, node int) bool {
	for i := l.home(name); i >= 0; i = l.tree.parent[i] {
		if i == node {
			return true
		}
	}
	return false
}
