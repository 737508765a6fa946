package quota

import "daledyke/internal/protocol"

// Change is a change of accounts by operators, applied as a whole or not at all.
type Change struct {
	// Revision is the revision that the operator saw. The change is refused if the current revision differs,
	// because someone else changed accounts meanwhile.
	Revision uint64
	Set      []Account
	// Drop lists accounts to remove with all accounts below them.
	Drop   []string
	By     string
	Why    string
	DryRun bool
}

// Outcome is the result of a change.
type Outcome struct {
	// Revision is the new revision; in a dry run, the current one.
	Revision uint64
	// Refused is the reason why nothing was changed, or "" if the change was accepted.
	Refused string
	// Shrinks lists the accounts in which work has to stop, Over the accounts whose protected services alone
	// use more than their limit.
	Shrinks []Shrunk
	Over    []string
}

// Shrunk is the work that stops in one account.
type Shrunk struct {
	Account string
	Tasks   int // a gang counts once
	Room    protocol.Room
}

// ByAccount totals the plan's stops by account.
func (p *Plan) ByAccount() (totals []Shrunk) {
	indexes := map[string]int{}
	for _, w := range p.Stop {
		k, ok := indexes[w.Account]
		if !ok {
			k = len(totals)
			indexes[w.Account] = k
			totals = append(totals, Shrunk{Account: w.Account})
		}
		totals[k].Tasks++
		totals[k].Room = totals[k].Room.Add(w.Need)
	}
	return totals
}
