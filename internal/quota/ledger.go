package quota

import (
	"daledyke/internal/protocol"
)

// rankCount is the number of priority ranks.
const rankCount = 4

// Ledger counts, for every account of a tree, the use in it and below it, and the claims that wait. The cost
// of an update or a decision grows with the depth of the account, not with the number of accounts. A Ledger
// is not safe for concurrent use.
type Ledger struct {
	tree  *Tree
	nodes []ledgerNode
}

// ledgerNode is the state of one account.
type ledgerNode struct {
	// use is the use of the account and all accounts below it.
	use protocol.Room
	// Each reserve is indexed by rank: reserve[k] is the amount that a claim of rank k beyond its guarantees
	// has to leave free. ownReserve is for claims that have precedence at this account itself. childReserve
	// is the sum of the children's parentReserve. parentReserve is the amount reserved here that also has to
	// stay free in the parent: as much of the first two as this account's own limit would let start.
	ownReserve, childReserve, parentReserve [rankCount]protocol.Room
}

// NewLedger returns an empty ledger of a tree.
func NewLedger(t *Tree) *Ledger { return &Ledger{tree: t, nodes: make([]ledgerNode, len(t.accounts))} }

// Tree returns the tree that the ledger counts by.
func (l *Ledger) Tree() *Tree { return l.tree }

// nearestAccount returns the index of the account with a name, or else of its nearest ancestor in the tree,
// or -1 if there is none.
func (l *Ledger) nearestAccount(name string) int {
	for ; name != ""; name = Parent(name) {
		if i, ok := l.tree.index[name]; ok {
			return i
		}
	}
	return -1
}

// AddUse adds delta, which may be negative, to the use of an account. An account that is not in the tree
// counts for its nearest ancestor there.
func (l *Ledger) AddUse(name string, delta protocol.Room) {
	for i := l.nearestAccount(name); i >= 0; i = l.tree.parent[i] {
		l.nodes[i].use = l.nodes[i].use.Add(delta)
		l.updateReserve(i)
	}
}

// updateReserve recomputes the parentReserve of an account, and its parent's childReserve with it.
func (l *Ledger) updateReserve(i int) {
	n, p := &l.nodes[i], l.tree.parent[i]
	headroom := nonNegative(unlimitedIfZero(l.tree.accounts[i].Limit).Sub(n.use))
	for k := range rankCount {
		reserve := minimum(n.ownReserve[k].Add(n.childReserve[k]), headroom)
		if p >= 0 {
			l.nodes[p].childReserve[k] = l.nodes[p].childReserve[k].Add(reserve).Sub(n.parentReserve[k])
		}
		n.parentReserve[k] = reserve
	}
}

// minimum returns the smaller of two amounts, resource by resource.
func minimum(a, b protocol.Room) protocol.Room {
	return protocol.Room{Cores: min(a.Cores, b.Cores), Accels: min(a.Accels, b.Accels), RAM: min(a.RAM, b.RAM)}
}

// nonNegative replaces negative amounts by 0.
func nonNegative(a protocol.Room) protocol.Room {
	return protocol.Room{Cores: max(a.Cores, 0), Accels: max(a.Accels, 0), RAM: max(a.RAM, 0)}
}

// Used returns the use of an account and all accounts below it.
func (l *Ledger) Used(name string) protocol.Room {
	if i, ok := l.tree.index[name]; ok {
		return l.nodes[i].use
	}
	return protocol.Room{}
}

// Claim is work that waits for quota.
type Claim struct {
	Account string
	Need    protocol.Room // of all tasks that must start together
	Rank    int           // rank of its priority, 0 to 3
	// guaranteedBy is the index of the lowest account on the path whose guarantee covered the claim when it
	// was last reserved for, or -1 if there was none.
	guaranteedBy int
}

// Reserve registers a claim as waiting: claims that come after it in order have to leave room for it. Claims
// within guarantees come first, then higher priorities; claims of equal order don't reserve against each
// other. Across accounts, guarantees and priorities can make claims reserve against each other in a cycle,
// and a large claim may never fit. Callers therefore have to Release each claim from time to time, so that
// others can start.
func (l *Ledger) Reserve(c *Claim) {
	c.guaranteedBy = l.guaranteedBy(c.Account, c.Need)
	l.addReserve(c, c.Need)
}

// Release undoes Reserve.
func (l *Ledger) Release(c *Claim) { l.addReserve(c, protocol.Room{}.Sub(c.Need)) }

// addReserve adds delta to the reserves that a claim causes along its path.
func (l *Ledger) addReserve(c *Claim, delta protocol.Room) {
	account := l.nearestAccount(c.Account)
	if account < 0 {
		return
	}
	// At the claim's own account, claims of lower ranks have to leave room for it. At precedenceAt claims of
	// all ranks have to. That is the claim's own account if it guarantees the claim, else the parent of the
	// account that does, where that account competes with its siblings for the limit.
	precedenceAt := -1
	if c.guaranteedBy >= 0 {
		if precedenceAt = l.tree.parent[c.guaranteedBy]; c.guaranteedBy == account {
			precedenceAt = account
		}
	}
	for i := account; i >= 0; i = l.tree.parent[i] {
		for k := range rankCount {
			if i == account && (k < c.Rank || precedenceAt == account) || i == precedenceAt && i != account && k >= c.Rank {
				l.nodes[i].ownReserve[k] = l.nodes[i].ownReserve[k].Add(delta)
			}
		}
		l.updateReserve(i)
	}
}

// guaranteedBy returns the index of the lowest account on a path whose guarantee covers need on top of the
// present use, or -1 if there is none.
func (l *Ledger) guaranteedBy(name string, need protocol.Room) int {
	for i := l.nearestAccount(name); i >= 0; i = l.tree.parent[i] {
		if withinGuarantee(l.tree.accounts[i].Guarantee, l.nodes[i].use.Add(need), need) {
			return i
		}
	}
	return -1
}

// withinGuarantee reports whether a use is within a guarantee in every resource that need takes. A guarantee
// of 0 CPUs or GPUs covers nothing; a guarantee of 0 RAM does not restrict.
func withinGuarantee(guarantee, use, need protocol.Room) bool {
	const slack = 1e-6
	covers := func(guarantee, use, need float64) bool { return need <= 0 || guarantee > 0 && use <= guarantee+slack }
	return covers(guarantee.Cores, use.Cores, need.Cores) && covers(guarantee.Accels, use.Accels, need.Accels) && (guarantee.RAM <= 0 || covers(guarantee.RAM, use.RAM, need.RAM))
}

// Admits reports whether a claim may start now, and if not, the account whose limit prevents it.
//
// On every account of the path, the use with the claim has to be within the limit. The claim also has to
// leave free what is reserved for claims that come first, so that borrowed use is not lent again while its
// owner asks for it. This second condition applies from the claim's account up to and including the account
// that guarantees the claim, or up to the root if there is none. It does not apply at all if the claim's own
// account guarantees it.
func (l *Ledger) Admits(c *Claim) (limitedBy string, ok bool) {
	guaranteedBy := l.guaranteedBy(c.Account, c.Need)
	account := l.nearestAccount(c.Account)
	guaranteed := guaranteedBy == account
	for i := account; i >= 0; i = l.tree.parent[i] {
		n, a := &l.nodes[i], &l.tree.accounts[i]
		use := n.use.Add(c.Need)
		if !guaranteed {
			use = use.Add(n.ownReserve[c.Rank]).Add(n.childReserve[c.Rank])
		}
		// A resource that the claim does not take can't prevent it.
		if !withinLimit(restrictTo(use, c.Need), a.Limit) {
			return a.Name, false
		}
		guaranteed = guaranteed || i == guaranteedBy
	}
	return "", true
}

// Excess returns the part of a use above an amount, resource by resource.
func Excess(use, amount protocol.Room) protocol.Room { return nonNegative(use.Sub(amount)) }

// restrictTo returns a use with the resources that need does not take set to 0.
func restrictTo(use, need protocol.Room) protocol.Room {
	restrict := func(use, need float64) float64 {
		if need > 0 {
			return use
		}
		return 0
	}
	return protocol.Room{Cores: restrict(use.Cores, need.Cores), Accels: restrict(use.Accels, need.Accels), RAM: restrict(use.RAM, need.RAM)}
}
