// Package quota divides a team's share of the cluster among accounts, nested up to MaxDepth levels. It
// decides which work may start, which work has to stop, and which account may borrow what another does not
// use. The package does no input or output: a Tree holds the operators' settings, a Ledger counts use along
// the tree's paths, and the decisions are functions of both. docs/design-quotas.md compares the alternatives.
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

// Limits on the size of a tree.
const (
	MaxDepth    = 8
	MaxAccounts = 10_000
)

// Account is a node of a tree, as operators set it.
type Account struct {
	// Name is the path from the team down, such as hosting/songshan/gate-7. A name without a slash is the
	// team's root account.
	Name string `json:"name"`
	// Guarantee is the amount that the account gets whenever it asks; Limit is the amount that it never
	// exceeds. Both are in CPUs, GPUs and GB of RAM. A limit of 0 means no limit. An account whose limit is
	// above its guarantee may borrow what others leave unused.
	Guarantee protocol.Room `json:"guarantee"`
	Limit     protocol.Room `json:"limit"`
	// Weight is the account's weight when capacity is divided among siblings; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Team returns the team that the account belongs to.
func (a *Account) Team() string { return TeamOf(a.Name) }

// TeamOf returns the team at the head of an account's name.
func TeamOf(name string) string {
	team, _, _ := strings.Cut(name, "/")
	return team
}

// Parent returns the name of the parent account, or "" for a team's root account.
func Parent(name string) string {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return ""
}

// AccountError reports an invalid account in a list.
type AccountError struct {
	// Index is the account's position in the list, Name its name.
	Index int
	Name  string
	Err   error
}

// Error names the account and the cause.
func (e *AccountError) Error() string { return fmt.Sprintf("account %q: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *AccountError) Unwrap() error { return e.Err }

// Causes of an AccountError.
var (
	ErrInvalidName           = errors.New("the name must be a team's, or a path below it of parts of a to z, 0 to 9, dots, dashes and underlines")
	ErrTooDeep               = fmt.Errorf("accounts may be nested %d deep at most", MaxDepth)
	ErrDuplicate             = errors.New("it is there twice")
	ErrNoParent              = errors.New("the account above it is missing")
	ErrUnknownTeam           = errors.New("the platform knows no such team")
	ErrInvalidAmount         = errors.New("amounts and weights must not be negative")
	ErrGuaranteeAboveLimit   = errors.New("its guarantee is above its limit")
	ErrGuaranteesAboveParent = errors.New("with its siblings it is guaranteed more than the account above")
	ErrTooManyAccounts       = fmt.Errorf("there may be %d accounts at most", MaxAccounts)
)

// elementPattern matches one element of an account's path.
var elementPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,60}$`)

// Tree is a valid set of accounts. It is immutable.
type Tree struct {
	// accounts is sorted by name, so that each account follows its parent.
	accounts []Account
	index    map[string]int
	parent   []int
	children [][]int
}

// NewTree builds a tree from a list of accounts. Its error is an *AccountError for the first invalid account.
// knownTeam reports whether the platform has a team. A team has quotas if its root account is in the list.
func NewTree(list []Account, knownTeam func(name string) bool) (*Tree, error) {
	if len(list) > MaxAccounts {
		return nil, &AccountError{MaxAccounts, list[MaxAccounts].Name, ErrTooManyAccounts}
	}
	positions := make(map[string]int, len(list))
	invalid := func(i int, err error) (*Tree, error) { return nil, &AccountError{i, list[i].Name, err} }
	for i := range list {
		a := &list[i]
		elements := strings.Split(a.Name, "/")
		switch _, duplicate := positions[a.Name]; {
		case len(elements) > MaxDepth:
			return invalid(i, ErrTooDeep)
		case slices.ContainsFunc(elements, func(p string) bool { return !elementPattern.MatchString(p) }):
			return invalid(i, ErrInvalidName)
		case !knownTeam(elements[0]):
			return invalid(i, ErrUnknownTeam)
		case duplicate:
			return invalid(i, ErrDuplicate)
		case a.Weight < 0 || !allAmounts(a.Guarantee, func(v float64) bool { return v >= 0 && v <= 1e9 }) || !allAmounts(a.Limit, func(v float64) bool { return v >= 0 && v <= 1e9 }):
			return invalid(i, ErrInvalidAmount)
		case !withinLimit(a.Guarantee, a.Limit):
			return invalid(i, ErrGuaranteeAboveLimit)
		}
		positions[a.Name] = i
	}
	t := &Tree{accounts: slices.Clone(list), index: make(map[string]int, len(list))}
	slices.SortFunc(t.accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	t.parent, t.children = make([]int, len(list)), make([][]int, len(list))
	guaranteed := make([]protocol.Room, len(list))
	for i := range t.accounts {
		a := &t.accounts[i]
		t.index[a.Name], t.parent[i] = i, -1
		if parent := Parent(a.Name); parent != "" {
			p, ok := t.index[parent]
			if !ok {
				return invalid(positions[a.Name], ErrNoParent)
			}
			t.parent[i], t.children[p] = p, append(t.children[p], i)
			guaranteed[p] = guaranteed[p].Add(a.Guarantee)
			if !t.accounts[p].Guarantee.Fits(guaranteed[p]) {
				return invalid(positions[a.Name], ErrGuaranteesAboveParent)
			}
		}
		if a.Weight == 0 {
			a.Weight = 1
		}
	}
	return t, nil
}

// allAmounts reports whether ok holds for every amount of a room.
func allAmounts(room protocol.Room, ok func(float64) bool) bool {
	return ok(room.Cores) && ok(room.Accels) && ok(room.RAM)
}

// withinLimit reports whether a use is within a limit; an amount of 0 in the limit means no limit.
func withinLimit(use, limit protocol.Room) bool {
	const slack = 1e-6
	return (limit.Cores <= 0 || use.Cores <= limit.Cores+slack) && (limit.Accels <= 0 || use.Accels <= limit.Accels+slack) &&
		(limit.RAM <= 0 || use.RAM <= limit.RAM+slack)
}

// Accounts returns the accounts sorted by name.
func (t *Tree) Accounts() []Account {
	if t == nil {
		return nil
	}
	return slices.Clone(t.accounts)
}

// Find returns the account with a name, and false if there is none.
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

// HasTeam reports whether a team has quotas.
func (t *Tree) HasTeam(team string) bool {
	_, ok := t.Find(team)
	return ok
}

// Teams returns the teams that have quotas.
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

// NeverFits reports whether need exceeds a limit on the account's path by itself, so that it can never start,
// and returns the account with that limit.
func (t *Tree) NeverFits(name string, need protocol.Room) (limitedBy string, never bool) {
	for i, ok := t.index[name]; ok && i >= 0; i = t.parent[i] {
		if !withinLimit(need, t.accounts[i].Limit) {
			return t.accounts[i].Name, true
		}
	}
	return "", false
}

// With returns a copy of the tree in which the accounts in set are added or replaced, and the accounts in
// drop are removed with all accounts below them. It applies the whole change or none of it.
func (t *Tree) With(set []Account, drop []string, knownTeam func(string) bool) (*Tree, error) {
	list := slices.DeleteFunc(t.Accounts(), func(a Account) bool {
		return slices.ContainsFunc(drop, func(d string) bool { return a.Name == d || strings.HasPrefix(a.Name, d+"/") }) ||
			slices.ContainsFunc(set, func(s Account) bool { return s.Name == a.Name })
	})
	for _, d := range drop {
		if _, ok := t.Find(d); !ok {
			return nil, &AccountError{0, d, errors.New("there is no such account")}
		}
	}
	return NewTree(append(list, set...), knownTeam)
}
