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

// ErrConflict means that a record changed after the version that a change was based on.
var ErrConflict = errors.New("record changed meanwhile")

// Store writes and reads records in the state service. It is stateless apart from request statistics.
type Store struct {
	state *transport.State
	// txnOps and valueBytes are the smallest known limits on the number of changes in a transaction and on
	// the size of a value.
	txnOps, valueBytes int
	kinds              map[string]*kindStats
}

// kindStats counts the requested changes of one kind of record and remembers the last rejected value.
type kindStats struct {
	requested atomic.Int64
	// rejectedSize is the size of the largest value in the last rejected transaction; rejectedAtMs is when
	// it was rejected.
	rejectedSize, rejectedAtMs atomic.Int64
}

// NewStore returns a store with the given limits on transactions and values.
func NewStore(s *transport.State, txnOps, valueBytes int) *Store {
	counts := map[string]*kindStats{}
	for _, kind := range recordKinds {
		counts[kind.name] = &kindStats{}
	}
	return &Store{state: s, txnOps: txnOps, valueBytes: valueBytes, kinds: counts}
}

// rejectionBackoff is how long the store withholds values at least as large as one that the state service
// rejected as malformed.
const rejectionBackoff = 30 * time.Second

// transact runs a transaction and counts its changes. Callers retry without end, so a value that can't be stored
// is not sent at all, or not again until rejectionBackoff has passed.
func (s *Store) transact(ctx context.Context, u transport.Urgency, timeout time.Duration, conds []protocol.Condition, then []protocol.Change) (protocol.TxnAnswer, bool, error) {
	largestKind, largest := "", 0
	for _, c := range then {
		kind := recordKind(c.Set + c.Drop)
		s.kinds[kind].requested.Add(1)
		if n := encodedSize(c.Value); n > largest {
			largestKind, largest = kind, n
		}
	}
	var stats *kindStats
	if stats = s.kinds[largestKind]; stats != nil {
		rejected := stats.rejectedSize.Load() > 0 && int64(largest) >= stats.rejectedSize.Load()
		recent := time.Since(time.UnixMilli(stats.rejectedAtMs.Load())) < rejectionBackoff
		if rejected && recent {
			return protocol.TxnAnswer{}, false, transport.ErrInvalid
		}
		if largest > s.valueBytes {
			stats.recordRejection(largestKind, largest, errors.New("the value exceeds the configured limit"))
			return protocol.TxnAnswer{}, false, transport.ErrInvalid
		}
	}
	ans, ok, err := s.state.Commit(ctx, u, timeout, protocol.Txn{If: conds, Then: then})
	if errors.Is(err, transport.ErrInvalid) && stats != nil {
		stats.recordRejection(largestKind, largest, err)
	}
	return ans, ok, err
}

func (k *kindStats) recordRejection(kind string, size int, why error) {
	k.rejectedSize.Store(int64(size))
	k.rejectedAtMs.Store(time.Now().UnixMilli())
	slog.Error("the state service can't take a record", "kind", kind, "bytes", size, "err", why)
}

// Changes returns the number of changes requested so far, by kind of record.
func (s *Store) Changes() map[string]int64 {
	out := make(map[string]int64, len(s.kinds))
	for kind, n := range s.kinds {
		out[kind] = n.requested.Load()
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
	ans, ok, err := s.transact(ctx, u, timeout, conds, then)
	if err == nil && !ok {
		slog.Debug("records changed meanwhile", "keys", ans.Failed)
		err = ErrConflict
	}
	return err
}
