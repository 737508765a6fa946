package quota

import (
	"daledyke/internal/protocol"
)

// ranks is how many priorities there are.
const ranks = 4

// Ledger counts, for every account of a tree, what is used in it and below, and
// what waits. Each change and each decision costs as much as the account's path is
// deep, however many accounts there are. It has one owner.
type Ledger struct {
	tree  *Tree
	nodes []entry
}

type entry struct {
	// use is of the account and all below.
	use protocol.Room
	// direct waits in the account itself: for who asks with rank k, what goes
	// first; asked is the same of the accounts below, as far as they may ask, and
	// asks what this one asks of the one above.
	direct, asked, asks [ranks]protocol.Room
}

// NewLedger makes an empty ledger of a tree.
func NewLedger(t *Tree) *Ledger { return &Ledger{tree: t, nodes: make([]entry, len(t.accounts))} }

// Tree is what the ledger counts by.
func (l *Ledger) Tree() *Tree { return l.tree }

// home is the nearest account at or above a name that the tree has, -1 if none.
func (l *Ledger) home(name string) int {
	for ; name != ""; name = Parent(name) {
		if i, ok := l.tree.index[name]; ok {
			return i
		}
	}
	return -1
}

// Use adds to what is used in an account (takes away, if negative). Names that
// the tree does not have count for the nearest account above that it has.
func (l *Ledger) Use(name string, more protocol.Room) {
	for i := l.home(name); i >= 0; i = l.tree.parent[i] {
		l.nodes[i].use = l.nodes[i].use.Add(more)
		l.ask(i)
	}
}

// ask works out anew what a node asks the one above to keep for it: what waits, as
// far as the node's own limit would let it start.
func (l *Ledger) ask(i int) {
	n, p := &l.nodes[i], l.tree.parent[i]
	gap := most(orNone(l.tree.accounts[i].Limit).Sub(n.use))
	for k := range ranks {
		asks := least(n.direct[k].Add(n.asked[k]), gap)
		if p >= 0 {
			l.nodes[p].asked[k] = l.nodes[p].asked[k].Add(asks).Sub(n.asks[k])
		}
		n.asks[k] = asks
	}
}

// least and most bound amounts, resource by resource; most keeps them from being
// negative.
func least(a, b protocol.Room) protocol.Room {
	return protocol.Room{Cores: min(a.Cores, b.Cores), Accels: min(a.Accels, b.Accels), RAM: min(a.RAM, b.RAM)}
}

func most(a protocol.Room) protocol.Room {
	return protocol.Room{Cores: max(a.Cores, 0), Accels: max(a.Accels, 0), RAM: max(a.RAM, 0)}
}

// Used is what is used in an account and below.
func (l *Ledger) Used(name string) protocol.Room {
	if i, ok := l.tree.index[name]; ok {
		return l.nodes[i].use
	}
	return protocol.Room{}
}

// Claim is work that waits for a quota.
type Claim struct {
	Account string
	Need    protocol.Room // of all that must start at once
	Rank    int           // of its priority, 0 to 3
	// owed is the lowest account on its path within whose guarantee it lay when it
	// was last noted, -1 if none.
	owed int
}

// Wait notes a claim as waiting: others leave room for it that go after it. Those
// within guarantees go first, then by priority; claims that are alike don't wait
// for one another. Different accounts' guarantees and priorities can have claims
// leave room for each other in a circle, and a large claim may never fit: who notes
// claims has to take each back for a while after a time (Settle), which lets all
// others by.
func (l *Ledger) Wait(c *Claim) {
	c.owed = l.owed(c.Account, c.Need)
	l.waits(c, c.Need)
}

// Settle takes back what Wait noted.
func (l *Ledger) Settle(c *Claim) { l.waits(c, protocol.Room{}.Sub(c.Need)) }

func (l *Ledger) waits(c *Claim, more protocol.Room) {
	at := l.home(c.Account)
	if at < 0 {
		return
	}
	// Among what competes for an account's limit, higher priorities go first; what
	// lies within the guarantee of one below goes before all that does not.
	owedAt := -1
	if c.owed >= 0 {
		if owedAt = l.tree.parent[c.owed]; c.owed == at {
			owedAt = at
		}
	}
	for i := at; i >= 0; i = l.tree.parent[i] {
		for k := range ranks {
			if i == at && (k < c.Rank || owedAt == at) || i == owedAt && i != at && k >= c.Rank {
				l.nodes[i].direct[k] = l.nodes[i].direct[k].Add(more)
			}
		}
		l.ask(i)
	}
}

// owed is the lowest account on a path within whose guarantee so much more lies, -1
// if there is none.
func (l *Ledger) owed(name string, more protocol.Room) int {
	for i := l.home(name); i >= 0; i = l.tree.parent[i] {
		if guarantees(l.tree.accounts[i].Guarantee, l.nodes[i].use.Add(more), more) {
			return i
		}
	}
	return -1
}

// guarantees tells whether a use lies within a guarantee in all that more takes;
// a guarantee of nothing is none.
func guarantees(g, use, more protocol.Room) bool {
	const slack = 1e-6
	lies := func(g, use, more float64) bool { return more <= 0 || g > 0 && use <= g+slack }
	return lies(g.Cores, use.Cores, more.Cores) && lies(g.Accels, use.Accels, more.Accels) && (g.RAM <= 0 || lies(g.RAM, use.RAM, more.RAM))
}

// Admits tells whether a claim may start now, and if not, which node binds.
//
// On the way up, each node's limit must hold with what it takes. Beyond the
// guarantees so far it must also leave room for what goes first: what is lent is not
// lent again while its owner asks for it. Within them nothing stands in the way but
// limits.
func (l *Ledger) Admits(c *Claim) (binds string, ok bool) {
	owed := l.owed(c.Account, c.Need)
	at := l.home(c.Account)
	guaranteed := owed == at
	for i := at; i >= 0; i = l.tree.parent[i] {
		n, a := &l.nodes[i], &l.tree.accounts[i]
		use := n.use.Add(c.Need)
		if !guaranteed {
			use = use.Add(n.direct[c.Rank]).Add(n.asked[c.Rank])
		}
		// Only what the claim takes of can be short.
		if !within(only(use, c.Need), a.Limit) {
			return a.Name, false
		}
		guaranteed = guaranteed || i == owed
	}
	return "", true
}

// Beyond is what a use has more than an amount, resource by resource.
func Beyond(use, amount protocol.Room) protocol.Room { return most(use.Sub(amount)) }

// only leaves of a use what a need takes of.
func only(use, need protocol.Room) protocol.Room {
	pick := func(use, need float64) float64 {
		if need > 0 {
			return use
		}
		return 0
	}
	return protocol.Room{Cores: pick(use.Cores, need.Cores), Accels: pick(use.Accels, need.Accels), RAM: pick(use.RAM, need.RAM)}
}
