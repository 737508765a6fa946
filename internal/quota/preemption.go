package quota

import (
	"cmp"
	"math"
	"slices"

	"daledyke/internal/protocol"
)

// Participant is one of those that share a capacity: it gets between Min and Max, in proportion to Weight.
type Participant struct {
	Weight, Min, Max float64
}

// FairShares returns each participant's weighted max-min fair share of a capacity: a share can grow only at
// the cost of another that is, relative to its weight, no larger. No share is below Min, whatever the
// capacity, or above Max.
func FairShares(capacity float64, participants []Participant) []float64 {
	share := func(p Participant, level float64) float64 { return max(p.Min, min(p.Max, p.Weight*level)) }
	total := func(level float64) (sum float64) {
		for _, p := range participants {
			sum += share(p, level)
		}
		return sum
	}
	// The level is the share per unit of weight of all participants that are at neither their Min nor their
	// Max. The total of the shares rises with it, linearly between the levels at which some participant leaves
	// its Min or reaches its Max.
	levels := []float64{0}
	for _, p := range participants {
		levels = append(levels, p.Min/p.Weight, p.Max/p.Weight)
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
	shares := make([]float64, len(participants))
	for i, p := range participants {
		shares[i] = share(p, level)
	}
	return shares
}

// Workload is a task, or a gang that has to stop as a whole, that runs in an account.
type Workload struct {
	ID      string
	Account string
	Need    protocol.Room
	Rank    int // rank of its priority
	// Service marks a task of a service. At the highest priority it is never stopped to reduce or reclaim
	// use.
	Service bool
	// StopCost is the cost of stopping it, as seconds of work lost.
	StopCost float64
}

// protected reports whether only the workload's users may stop it.
func (w *Workload) protected() bool { return w.Service && w.Rank == rankCount-1 }

// Plan is the list of workloads to stop so that no account uses more than its limit.
type Plan struct {
	Stop []Workload
	// OverLimit lists the accounts whose protected services alone use more than the limit. Such a service is
	// not stopped, and nothing more starts in these accounts.
	OverLimit []string
}

// Shrink decides what has to stop after limits were lowered. It goes from the team down: each account that
// uses too much divides its limit between the accounts below it and its own work, by weighted max-min
// fairness. No share is below the use of protected services, and no share is below a guarantee unless the
// guarantees together exceed the limit. Within an account, the lowest priority stops first, then the lowest
// stop cost.
func Shrink(t *Tree, work []Workload) (p Plan) {
	s := shrinker{t: t, ownWork: make([][]Workload, len(t.accounts)), use: make([]protocol.Room, len(t.accounts)), protectedUse: make([]protocol.Room, len(t.accounts))}
	l := Ledger{tree: t}
	for _, w := range work {
		account := l.nearestAccount(w.Account)
		if account < 0 {
			continue
		}
		s.ownWork[account] = append(s.ownWork[account], w)
		for i := account; i >= 0; i = t.parent[i] {
			s.use[i] = s.use[i].Add(w.Need)
			if w.protected() {
				s.protectedUse[i] = s.protectedUse[i].Add(w.Need)
			}
		}
	}
	for i := range t.accounts {
		if t.parent[i] < 0 {
			s.fit(i, unbounded, &p)
		}
	}
	return p
}

var unbounded = protocol.Room{Cores: math.Inf(1), Accels: math.Inf(1), RAM: math.Inf(1)}

// shrinker holds, for each account by index, its own workloads, its use, and its use by protected services.
type shrinker struct {
	t                 *Tree
	ownWork           [][]Workload
	use, protectedUse []protocol.Room
}

// fit plans the stops that bring an account and all accounts below it within the amount allotted by its
// parent, and within its limit.
func (s *shrinker) fit(i int, allotted protocol.Room, p *Plan) {
	a := &s.t.accounts[i]
	allotted = minimum(allotted, unlimitedIfZero(a.Limit))
	if allotted.Fits(s.use[i]) {
		for _, c := range s.t.children[i] {
			s.fit(c, unbounded, p) // its own limit may have been lowered
		}
		return
	}
	if !allotted.Fits(s.protectedUse[i]) {
		p.OverLimit = append(p.OverLimit, a.Name)
		allotted = protocol.Room{Cores: max(allotted.Cores, s.protectedUse[i].Cores), Accels: max(allotted.Accels, s.protectedUse[i].Accels), RAM: max(allotted.RAM, s.protectedUse[i].RAM)}
	}
	// The account's own work takes part in the division like a child account without a guarantee.
	children := s.t.children[i]
	ownUse, ownProtected := s.use[i], s.protectedUse[i]
	for _, c := range children {
		ownUse, ownProtected = ownUse.Sub(s.use[c]), ownProtected.Sub(s.protectedUse[c])
	}
	targets := make([]protocol.Room, len(children)+1)
	for _, amount := range []func(*protocol.Room) *float64{
		func(r *protocol.Room) *float64 { return &r.Cores }, func(r *protocol.Room) *float64 { return &r.Accels }, func(r *protocol.Room) *float64 { return &r.RAM }} {
		participants := []Participant{{1, max(0, *amount(&ownProtected)), max(0, *amount(&ownUse))}}
		minimums := *amount(&ownProtected)
		for _, c := range children {
			child := s.t.accounts[c]
			low := max(*amount(&s.protectedUse[c]), min(*amount(&s.use[c]), *amount(&child.Guarantee)))
			participants = append(participants, Participant{child.Weight, low, *amount(&s.use[c])})
			minimums += low
		}
		if minimums > *amount(&allotted) { // the guarantees together exceed the allotment
			for k, c := range children {
				participants[k+1].Min = *amount(&s.protectedUse[c])
			}
		}
		for k, share := range FairShares(*amount(&allotted), participants) {
			*amount(&targets[k]) = share
		}
	}
	for k, c := range children {
		s.fit(c, targets[k+1], p)
	}
	own := slices.Clone(s.ownWork[i])
	slices.SortFunc(own, func(a, b Workload) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.StopCost, b.StopCost), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range own {
		if targets[0].Fits(ownUse) {
			break
		}
		if !w.protected() && exceeds(ownUse, targets[0], w.Need) {
			ownUse = ownUse.Sub(w.Need)
			p.Stop = append(p.Stop, w)
		}
	}
}

// unlimitedIfZero replaces each amount of 0 in a limit, which means no limit, by infinity.
func unlimitedIfZero(limit protocol.Room) protocol.Room {
	for _, amount := range []*float64{&limit.Cores, &limit.Accels, &limit.RAM} {
		if *amount <= 0 {
			*amount = math.Inf(1)
		}
	}
	return limit
}

// exceeds reports whether a use is above a target in some resource that need takes.
func exceeds(use, target, need protocol.Room) bool {
	const slack = 1e-6
	return need.Cores > 0 && use.Cores > target.Cores+slack || need.Accels > 0 && use.Accels > target.Accels+slack || need.RAM > 0 && use.RAM > target.RAM+slack
}

// Reclaim decides what has to stop so that a claim within its guarantees can start, where limitedBy is the
// account whose limit blocks the claim. Candidates are workloads of a lower priority that lie below that
// account, in accounts that use more than their guarantee. Reclaim returns nil if stopping all of them would
// not be enough.
func Reclaim(l *Ledger, c *Claim, limitedBy string, work []Workload) (stop []Workload) {
	node, ok := l.tree.index[limitedBy]
	if guaranteedBy := l.guaranteedBy(c.Account, c.Need); !ok || guaranteedBy < 0 || guaranteedBy == node && guaranteedBy != l.nearestAccount(c.Account) || !l.inSubtree(l.tree.accounts[guaranteedBy].Name, node) {
		return nil
	}
	limit := unlimitedIfZero(l.tree.accounts[node].Limit)
	use := l.nodes[node].use.Add(c.Need)
	// remaining is the use of each account after the stops decided so far.
	remaining := map[int]protocol.Room{}
	var candidates []Workload
	for _, w := range work {
		if w.Rank < c.Rank && !w.protected() && l.inSubtree(w.Account, node) {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, func(a, b Workload) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.StopCost, b.StopCost), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range candidates {
		if limit.Fits(use) {
			break
		}
		account := l.nearestAccount(w.Account)
		if account < 0 || !exceeds(use, limit, w.Need) {
			continue
		}
		borrows := account == node // work directly in the limiting account has no guarantee of its own
		for i := account; i >= 0 && i != node; i = l.tree.parent[i] {
			if _, known := remaining[i]; !known {
				remaining[i] = l.nodes[i].use
			}
			borrows = borrows || exceeds(remaining[i], l.tree.accounts[i].Guarantee, w.Need)
		}
		if !borrows {
			continue
		}
		for i := account; i >= 0 && i != node; i = l.tree.parent[i] {
			remaining[i] = remaining[i].Sub(w.Need)
		}
		use = use.Sub(w.Need)
		stop = append(stop, w)
	}
	if !limit.Fits(use) {
		return nil
	}
	return stop
}

// inSubtree reports whether an account is the node, or lies below it.
func (l *Ledger) inSubtree(name string, node int) bool {
	for i := l.nearestAccount(name); i >= 0; i = l.tree.parent[i] {
		if i == node {
			return true
		}
	}
	return false
}
