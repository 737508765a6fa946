package bookkeeping

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Operations on machines and the catalogue.

// Machines reads the machine registry from the state service.
func (s *Store) Machines(ctx context.Context) ([]*Machine, error) {
	var out []*Machine
	from := ""
	for {
		page, err := s.state.List(ctx, transport.Vital, batchPrefix, from, transport.MaxPage)
		if err != nil {
			return nil, err
		}
		for _, p := range page.Pairs {
			if batch := parse[RentalBatch](p.Key, p.Value, false); batch != nil {
				for _, id := range batch.Machines {
					out = append(out, batch.Machine(id))
				}
			}
			from = p.Key
		}
		if !page.More || len(page.Pairs) == 0 {
			return out, nil
		}
	}
}

// AddRentalBatch registers machines under a batch name that was never used before.
func (s *Store) AddRentalBatch(ctx context.Context, u transport.Urgency, name string, batch RentalBatch) error {
	for part, record := range s.splitBatch(name, batch) {
		err := s.commit(ctx, u, 4*time.Second, []protocol.Condition{{Key: batchKey(part)}}, set(batchKey(part), record, 0))
		// An existing record was written by an earlier attempt.
		if err != nil && !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return nil
}

// DropMachines removes machines that are gone from the given batches, as last seen. A batch that changed
// meanwhile fails only the batches in the same transaction.
func (s *Store) DropMachines(ctx context.Context, ids map[string]bool, batches map[string]*RentalBatch) error {
	var failed error
	var conds []protocol.Condition
	var then []protocol.Change
	flush := func() {
		if len(then) == 0 {
			return
		}
		if err := s.commit(ctx, transport.Ordinary, 4*time.Second, conds, then...); err != nil {
			failed = err
		}
		conds, then = nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(batches)) {
		batch := *batches[name]
		seen := protocol.Condition{Key: batchKey(name), Version: batch.Version}
		batch.Machines = slices.DeleteFunc(slices.Clone(batch.Machines), func(id string) bool { return ids[id] })
		change := set(batchKey(name), batch, 0)
		if remaining := batch.Machines; len(remaining) > 0 && !s.fits(batch) {
			// The batch was stored under a higher limit on values. The remaining machines are registered in new
			// records first, since a machine that no batch names counts as gone.
			if err := s.AddRentalBatch(ctx, transport.Ordinary, name+"."+remaining[0], batch); err != nil {
				failed = err
				continue
			}
			batch.Machines = nil
		}
		if len(batch.Machines) == 0 {
			change = protocol.Change{Drop: batchKey(name)}
		}
		if len(then) == s.txnOps {
			flush()
		}
		conds, then = append(conds, seen), append(then, change)
	}
	flush()
	return failed
}

// SaveCatalog records the catalogue, so that a controller that starts while the cloud is unreachable knows the
// machine types.
func (s *Store) SaveCatalog(ctx context.Context, c protocol.Catalog) error {
	recs := s.catalogRecords(c, time.Now().UnixMilli())
	for _, r := range recs {
		key := keyCatalog
		if r.PartCount > 0 {
			key = fmt.Sprintf("%s%03d", catalogPrefix, r.Part)
		}
		if err := s.commit(ctx, transport.Ordinary, 3*time.Second, nil, set(key, r, 0)); err != nil {
			return err
		}
	}
	return nil
}
