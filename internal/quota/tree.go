// Package quota divides what a team may use among accounts, nested to any depth
// up to MaxDepth: who may start, who has to shrink, who lends to whom. All of it is
// pure: a Tree is what the operators set, a Ledger counts use along its paths, and
// decisions are functions of both. docs/design-quotas.md tells the ways weighed.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"daledyke/internal/protocol"
)

// Bounds of a tree.
const (
	MaxDepth    = 8
	MaxAccounts = 10_000
)

// Account is a node of a tree as the operators set it.
type Account struct {
	// Name is the path from the team down: hosting/songshan/gate-7. A name
	// without a slash is a team's own node.
	Name string `json:"name"`
	// Guarantee is what the account gets whenever it asks, Limit what it never
	// exceeds, each in CPUs, GPUs and GB of RAM. A limit of 0 is none; where the
	// limit is above the guarantee, the account borrows what others don't use.
	Guarantee protocol.Room `json:"guarantee"`
	Limit     protocol.Room `json:"limit"`
	// Weight is its part where there is not enough for all, 1 if it is 0.
	Weight float64 `json:"weight,omitempty"`
}

// Team is the name of the platform's team that the account is under.
func (a *Account) Team() string { return TeamOf(a.Name) }

// TeamOf is the team that an account's name begins with.
func TeamOf(name string) string {
	team, _, _ := strings.Cut(name, "/")
	return team
}

// Parent is the name of the account above, "" for a team's own node.
func Parent(name string) string {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return ""
}

// Fault is what is wrong with one account of a list.
type Fault struct {
	// Index is its place in the list, Name its name.
	Index int
	Name  string
	Err   error
}

// Error names the account and the fault.
func (f *Fault) Error() string { return fmt.Sprintf("account %q: %v", f.Name, f.Err) }

// Unwrap gives the fault itself.
func (f *Fault) Unwrap() error { return f.Err }

// Faults of accounts.
var (
	ErrName      = errors.New("the name must be a team's, or a path below it of parts of a to z, 0 to 9, dots, dashes and underlines")
	ErrDeep      = fmt.Errorf("accounts may be nested %d deep at most", MaxDepth)
	ErrTwice     = errors.New("it is there twice")
	ErrNoParent  = errors.New("the account above it is missing")
	ErrNoTeam    = errors.New("the platform knows no such team")
	ErrAmount    = errors.New("amounts and weights must not be negative")
	ErrGuarantee = errors.New("its guarantee is above its limit")
	ErrParent    = errors.New("with its siblings it is guaranteed more than the account above")
	ErrMany      = fmt.Errorf("there may be %d accounts at most", MaxAccounts)
)

var part = regexp.MustCompile(`^[A-Za-z0-9._-]{1,60}$`)

// Tree is a sound set of accounts. It does not change once it is made.
type Tree struct {
	// Accounts in the order of their names, so that each comes after the one above.
	accounts []Account
	index    map[string]int
	parent   []int
	children [][]int
}

// NewTree makes a tree of accounts, or tells the first fault (a *Fault). Teams
// tells the platform's teams; a team has a tree if its own node is among them.
func NewTree(list []Account, teams func(name string) bool) (*Tree, error) {
	if len(list) > MaxAccounts {
		return nil, &Fault{MaxAccounts, list[MaxAccounts].Name, ErrMany}
	}
	seen := make(map[string]int, len(list))
	fault := func(i int, err error) (*Tree, error) { return nil, &Fault{i, list[i].Name, err} }
	for i := range list {
		a := &list[i]
		parts := strings.Split(a.Name, "/")
		switch _, twice := seen[a.Name]; {
		case len(parts) > MaxDepth:
			return fault(i, ErrDeep)
		case slices.ContainsFunc(parts, func(p string) bool { return !part.MatchString(p) }):
			return fault(i, ErrName)
		case !teams(parts[0]):
			return fault(i, ErrNoTeam)
		case twice:
			return fault(i, ErrTwice)
		case a.Weight < 0 || !some(a.Guarantee, func(v float64) bool { return v >= 0 && v <= 1e9 }) || !some(a.Limit, func(v float64) bool { return v >= 0 && v <= 1e9 }):
			return fault(i, ErrAmount)
		case !within(a.Guarantee, a.Limit):
			return fault(i, ErrGuarantee)
		}
		seen[a.Name] = i
	}
	t := &Tree{accounts: slices.Clone(list), index: make(map[string]int, len(list))}
	slices.SortFunc(t.accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	t.parent, t.children = make([]int, len(list)), make([][]int, len(list))
	guaranteed := make([]protocol.Room, len(list))
	for i := range t.accounts {
		a := &t.accounts[i]
		t.index[a.Name], t.parent[i] = i, -1
		if above := Parent(a.Name); above != "" {
			p, ok := t.index[above]
			if !ok {
				return fault(seen[a.Name], ErrNoParent)
			}
			t.parent[i], t.children[p] = p, append(t.children[p], i)
			guaranteed[p] = guaranteed[p].Add(a.Guarantee)
			if !t.accounts[p].Guarantee.Fits(guaranteed[p]) {
				return fault(seen[a.Name], ErrParent)
			}
		}
		if a.Weight == 0 {
			a.Weight = 1
		}
	}
	return t, nil
}

// some tells whether all amounts of a room pass.
func some(r protocol.Room, ok func(float64) bool) bool {
	return ok(r.Cores) && ok(r.Accels) && ok(r.RAM)
}

// within tells whether an amount lies within a limit, of which zeros mean none.
func within(use, limit protocol.Room) bool {
	const slack = 1e-6
	return (limit.Cores <= 0 || use.Cores <= limit.Cores+slack) && (limit.Accels <= 0 || use.Accels <= limit.Accels+slack) &&
		(limit.RAM <= 0 || use.RAM <= limit.RAM+slack)
}

// Accounts lists the accounts by their names.
func (t *Tree) Accounts() []Account {
	if t == nil {
		return nil
	}
	return slices.Clone(t.accounts)
}

// Find gives an account, false if there is none of the name.
func (t *Tree) Find(name string) (Account, bool) {
	if t == nil {
		return Account{}, false
	}
	i, ok := t.index[name]
	if !ok {
		return Account{}, false
	}
	return t.accounts[i], true
}

// Has tells whether a team has a tree.
func (t *Tree) Has(team string) bool {
	_, ok := t.Find(team)
	return ok
}

// Teams are the teams that have trees.
func (t *Tree) Teams() (teams []string) {
	if t == nil {
		return nil
	}
	for i := range t.accounts {
		if t.parent[i] < 0 {
			teams = append(teams, t.accounts[i].Name)
		}
	}
	return teams
}

// Never tells whether so much at once can never be started in the account, and
// which node on its path forbids it.
func (t *Tree) Never(name string, need protocol.Room) (binds string, never bool) {
	for i, ok := t.index[name]; ok && i >= 0; i = t.parent[i] {
		if !within(need, t.accounts[i].Limit) {
			return t.accounts[i].Name, true
		}
	}
	return "", false
}

// With gives the tree with some accounts set anew, and some taken out with all
// below them. A change is taken whole, or not at all.
func (t *Tree) With(set []Account, drop []string, teams func(string) bool) (*Tree, error) {
	list := slices.DeleteFunc(t.Accounts(), func(a Account) bool {
		return slices.ContainsFunc(drop, func(d string) bool { return a.Name == d || strings.HasPrefix(a.Name, d+"/") }) ||
			slices.ContainsFunc(set, func(s Account) bool { return s.Name == a.Name })
	})
	for _, d := range drop {
		if _, ok := t.Find(d); !ok {
			return nil, &Fault{0, d, errors.New("there is no such account")}
		}
	}
	return NewTree(append(list, set...), teams)
}
