package bookkeeping

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// ErrConflict says that the records are no longer what the change was based on.
var ErrConflict = errors.New("record changed meanwhile")

// Store writes and reads records in the state service. It keeps nothing.
type Store struct {
	state *transport.State
	// txnOps and valueBytes are the smallest limits that are known: on the
	// changes of a transaction, and on a value.
	txnOps, valueBytes int
	kinds              map[string]*kindCount
}

// kindCount is what became of the changes of one kind of record.
type kindCount struct {
	asked atomic.Int64
	// refused is the size of the largest value in a transaction that the state
	// service called malformed, refusedAt when that was, by its milliseconds.
	refused, refusedAt atomic.Int64
}

// NewStore makes a store.
func NewStore(s *transport.State, txnOps, valueBytes int) *Store {
	counts := map[string]*kindCount{}
	for _, kind := range kinds {
		counts[kind.name] = &kindCount{}
	}
	return &Store{state: s, txnOps: txnOps, valueBytes: valueBytes, kinds: counts}
}

// refusalHolds is for how long a value is not sent that is as large as one that
// the state service called malformed.
const refusalHolds = 30 * time.Second

// try makes a transaction and counts what it would change. What can't be
// written as it is would be tried for ever by the loops above: it is not sent,
// or not again for a while.
func (s *Store) try(ctx context.Context, u transport.Urgency, timeout time.Duration, conds []protocol.Condition, then []protocol.Change) (protocol.TxnAnswer, bool, error) {
	large, largest := "", 0
	for _, c := range then {
		kind := kindOf(c.Set + c.Drop)
		s.kinds[kind].asked.Add(1)
		if n := size(c.Value); n > largest {
			large, largest = kind, n
		}
	}
	var k *kindCount
	if k = s.kinds[large]; k != nil {
		held := k.refused.Load() > 0 && int64(largest) >= k.refused.Load()
		recent := time.Since(time.UnixMilli(k.refusedAt.Load())) < refusalHolds
		if held && recent {
			return protocol.TxnAnswer{}, false, transport.ErrInvalid
		}
		if largest > s.valueBytes {
			k.refuse(large, largest, errors.New("it exceeds the limit that the settings name"))
			return protocol.TxnAnswer{}, false, transport.ErrInvalid
		}
	}
	ans, ok, err := s.state.Commit(ctx, u, timeout, protocol.Txn{If: conds, Then: then})
	if errors.Is(err, transport.ErrInvalid) && k != nil {
		k.refuse(large, largest, err)
	}
	return ans, ok, err
}

func (k *kindCount) refuse(kind string, size int, why error) {
	k.refused.Store(int64(size))
	k.refusedAt.Store(time.Now().UnixMilli())
	slog.Error("the state service can't take a record", "kind", kind, "bytes", size, "err", why)
}

// Changes is how many changes were asked for so far, by kind of record.
func (s *Store) Changes() map[string]int64 {
	out := make(map[string]int64, len(s.kinds))
	for kind, n := range s.kinds {
		out[kind] = n.asked.Load()
	}
	return out
}

func get[T any](ctx context.Context, s *Store, u transport.Urgency, timeout time.Duration, key string) (v *T, version uint64, err error) {
	p, found, err := s.state.Get(ctx, u, timeout, key)
	if err != nil || !found {
		return nil, 0, err
	}
	v = new(T)
	if err := json.Unmarshal(p.Value, v); err != nil {
		return nil, 0, fmt.Errorf("record %s: %w", key, err)
	}
	return v, p.Version, nil
}

func set(key string, v any, lease uint64) protocol.Change {
	return protocol.Change{Set: key, Value: v, Lease: lease}
}

func (s *Store) commit(ctx context.Context, u transport.Urgency, timeout time.Duration, conds []protocol.Condition, then ...protocol.Change) error {
	_, ok, err := s.try(ctx, u, timeout, conds, then)
	if err == nil && !ok {
		err = ErrConflict
	}
	return err
}
