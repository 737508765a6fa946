package coordination

import (
	"encoding/json"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Steps of traces that change records, as other versions leave them.

// olderRecords takes out of the slots' records what only this version writes.
func (w *world) olderRecords() error {
	return w.em.State.Edit(bookkeeping.Root+"s/", func(key string, value json.RawMessage, lease uint64) ([]protocol.Change, error) {
		var rec bookkeeping.Slot
		err := json.Unmarshal(value, &rec)
		rec.Roster, rec.Listed = nil, false
		return []protocol.Change{{Set: key, Value: rec, Lease: lease}}, err
	})
}

// rewrite changes the values of all keys with a prefix, as the version before chains
// leaves them: it drops what it doesn't know.
func (w *world) rewrite(prefix string, drop ...string) error {
	return w.em.State.Edit(bookkeeping.Root+prefix, func(key string, value json.RawMessage, lease uint64) ([]protocol.Change, error) {
		var rec map[string]any
		err := json.Unmarshal(value, &rec)
		for _, field := range drop {
			delete(rec, field)
		}
		return []protocol.Change{{Set: key, Value: rec, Lease: lease}}, err
	})
}

// archive puts a job's record where those of jobs long over stand, in a state.
func (w *world) archive(id, state string) error {
	if state == protocol.Cancelled { // as if by its user
		w.em.RecordEvent(history.Event{Kind: history.CancelAsked, Job: id})
	}
	to := bookkeeping.Root + "z/" + id
	for _, from := range []string{bookkeeping.Root + "j/" + id, to} {
		err := w.em.State.Edit(from, func(key string, value json.RawMessage, _ uint64) ([]protocol.Change, error) {
			var rec map[string]any
			err := json.Unmarshal(value, &rec)
			rec["state"] = state
			changes := []protocol.Change{{Set: to, Value: rec}}
			if key != to {
				changes = append(changes, protocol.Change{Drop: key})
			}
			return changes, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
