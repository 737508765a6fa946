package quota

import "daledyke/internal/protocol"

// Change is what operators want changed at run time, all of it or nothing.
type Change struct {
	// Revision is the one that the change was decided by: another one means that
	// somebody else changed something meanwhile.
	Revision uint64
	Set      []Account
	// Drop takes accounts out with all below them.
	Drop   []string
	By     string
	Why    string
	DryRun bool
}

// Outcome is what became of a change.
type Outcome struct {
	// Revision is the new one; in a dry run the present.
	Revision uint64
	// Refused says why nothing was changed, "" if it was.
	Refused string
	// Shrinks are accounts that have to give something back, Over those whose live
	// services alone use more than their limit.
	Shrinks []Shrunk
	Over    []string
}

// Shrunk is what stops in one account.
type Shrunk struct {
	Account string
	Tasks   int // a gang of several counts once
	Room    protocol.Room
}

// Shrinks sums up a plan by account.
func (p *Plan) Shrinks() (out []Shrunk) {
	at := map[string]int{}
	for _, w := range p.Stop {
		k, ok := at[w.Account]
		if !ok {
			k = len(out)
			at[w.Account] = k
			out = append(out, Shrunk{Account: w.Account})
		}
		out[k].Tasks++
		out[k].Room = out[k].Room.Add(w.Need)
	}
	return out
}
