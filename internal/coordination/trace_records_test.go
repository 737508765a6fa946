package coordination

import (
	"encoding/json"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Trace steps that give records the form that other versions write.

// dropRosters removes the fields that only this version writes from the records of slots.
func (w *world) dropRosters() error {
	return w.em.State.Edit(bookkeeping.Root+"s/", func(key string, value json.RawMessage, lease uint64) ([]protocol.Change, error) {
		var rec bookkeeping.Slot
		err := json.Unmarshal(value, &rec)
		rec.Roster, rec.RosterKnown = nil, false
		return []protocol.Change{{Set: key, Value: rec, Lease: lease}}, err
	})
}

// dropFields removes fields from all records with a key prefix, as the version before chains does when it
// writes them: it drops the fields that it does not know.
func (w *world) dropFields(prefix string, fields ...string) error {
	return w.em.State.Edit(bookkeeping.Root+prefix, func(key string, value json.RawMessage, lease uint64) ([]protocol.Change, error) {
		var rec map[string]any
		err := json.Unmarshal(value, &rec)
		for _, field := range fields {
			delete(rec, field)
		}
		return []protocol.Change{{Set: key, Value: rec, Lease: lease}}, err
	})
}

// archiveRecord moves the record of a job to the archive of finished jobs, in the given state.
func (w *world) archiveRecord(id, state string) error {
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
