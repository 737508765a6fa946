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

// What the store does with machines and the catalogue.

// Machines reads the registry afresh.
func (s *Store) Machines(ctx context.Context) ([]*Machine, error) {
	var out []*Machine
	from := ""
	for {
		page, err := s.state.List(ctx, transport.Vital, batchPrefix, from, transport.MaxPage)
		if err != nil {
			return nil, err
		}
		for _, p := range page.Pairs {
			if l := parse[RentalBatch](p.Key, p.Value, false); l != nil {
				for _, id := range l.Machines {
					out = append(out, l.Machine(id))
				}
			}
			from = p.Key
		}
		if !page.More || len(page.Pairs) == 0 {
			return out, nil
		}
	}
}

// AddRentalBatch registers machines under a batch's name that was never used.
func (s *Store) AddRentalBatch(ctx context.Context, u transport.Urgency, name string, l RentalBatch) error {
	for part, l := range s.divided(name, l) {
		err := s.commit(ctx, u, 4*time.Second, []protocol.Condition{{Key: batchKey(part)}}, set(batchKey(part), l, 0))
		// One that is there already was written by an earlier try.
		if err != nil && !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return nil
}

// DropMachines takes machines that are gone out of the batches given, as these
// were last seen. A batch that changed meanwhile fails only those written with it.
func (s *Store) DropMachines(ctx context.Context, ids map[string]bool, batches map[string]*RentalBatch) error {
	var failed error
	var conds []protocol.Condition
	var then []protocol.Change
	write := func() {
		if len(then) == 0 {
			return
		}
		if err := s.commit(ctx, transport.Ordinary, 4*time.Second, conds, then...); err != nil {
			failed = err
		}
		conds, then = nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(batches)) {
		l := *batches[name]
		seen := protocol.Condition{Key: batchKey(name), Version: l.Version}
		l.Machines = slices.DeleteFunc(slices.Clone(l.Machines), func(id string) bool { return ids[id] })
		change := set(batchKey(name), l, 0)
		if rest := l.Machines; len(rest) > 0 && !s.fits(l) {
			// It was stored when values could be larger. The rest is registered
			// anew first: a machine that no batch names counts as gone.
			if err := s.AddRentalBatch(ctx, transport.Ordinary, name+"."+rest[0], l); err != nil {
				failed = err
				continue
			}
			l.Machines = nil
		}
		if len(l.Machines) == 0 {
			change = protocol.Change{Drop: batchKey(name)}
		}
		if len(then) == s.txnOps {
			write()
		}
		conds, then = append(conds, seen), append(then, change)
	}
	write()
	return failed
}

// SaveCatalog records the catalogue, so that a controller that starts while
// the cloud is silent knows the machine types.
func (s *Store) SaveCatalog(ctx context.Context, c protocol.Catalog) error {
	recs := s.catalogRecords(c, time.Now().UnixMilli())
	for _, r := range recs {
		key := keyCatalog
		if r.Of > 0 {
			key = fmt.Sprintf("%s%03d", catalogPrefix, r.Part)
		}
		if err := s.commit(ctx, transport.Ordinary, 3*time.Second, nil, set(key, r, 0)); err != nil {
			return err
		}
	}
	return nil
}
