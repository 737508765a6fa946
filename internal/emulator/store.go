package emulator

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/google/btree"

	"daledyke/internal/protocol"
)

// maxEvents is the number of changes that the state service keeps for watches.
const maxEvents = 10_000

// Limits of one page of a listing.
const (
	maxPageKeys  = 1000
	maxPageBytes = 512 << 10
)

// Limits are the limits that the state service enforces; they may change at any time.
type Limits struct {
	// RPS and WriteRPS limit requests and changes per second; 0 is unlimited.
	RPS, WriteRPS float64
	// ValueKB limits the size of a value, TxnOps the changes of a transaction.
	ValueKB float64
	TxnOps  int
}

var (
	errNoLease   = errors.New("no such lease")
	errMalformed = errors.New("malformed")
	errTooOld    = errors.New("changes no longer kept")
)

// store is the deterministic state machine of the state service: its behaviour depends only on its inputs
// and on the times passed to it.
type store struct {
	keys           *btree.BTreeG[*protocol.Pair]
	revision       uint64
	events         []protocol.Event // the newest maxEvents, possibly some more
	oldestRevision uint64           // watches from before this revision fail
	leases         map[uint64]*lease
	lastID         uint64
	changes        int
}

// lease is a lease and the keys bound to it.
type lease struct {
	ttl    time.Duration
	expiry time.Time
	keys   map[string]bool
}

func newStore() *store {
	return &store{keys: btree.NewG(32, func(a, b *protocol.Pair) bool { return a.Key < b.Key }), leases: map[uint64]*lease{}}
}

func (s *store) get(key string) (*protocol.Pair, bool) { return s.keys.Get(&protocol.Pair{Key: key}) }

// list returns a page of the keys with a prefix that come after the key from.
func (s *store) list(prefix, from string, most int) protocol.Page {
	if most <= 0 || most > maxPageKeys {
		most = maxPageKeys
	}
	page := protocol.Page{Pairs: []protocol.Pair{}, Revision: s.revision}
	size := 0
	s.keys.AscendGreaterOrEqual(&protocol.Pair{Key: max(prefix, from)}, func(p *protocol.Pair) bool {
		if p.Key == from {
			return true
		}
		if !strings.HasPrefix(p.Key, prefix) {
			return false
		}
		if len(page.Pairs) == most || size > 0 && size+len(p.Value) > maxPageBytes {
			page.More = true
			return false
		}
		page.Pairs = append(page.Pairs, *p)
		size += len(p.Key) + len(p.Value) + 50
		return true
	})
	return page
}

// txn is a transaction as it was received.
type txn struct {
	If   []protocol.Condition `json:"if"`
	Then []put                `json:"then"`
}

// put is one change, its value as it was received.
type put struct {
	Set   string          `json:"set"`
	Value json.RawMessage `json:"value"`
	Lease uint64          `json:"permit"`
	Drop  string          `json:"drop"`
}

func validKey(key string) bool {
	return len(key) >= 1 && len(key) <= 200 && !strings.ContainsAny(key, " ")
}

// validate returns an error if a transaction is malformed.
func (t *txn) validate(l Limits) error {
	if l.TxnOps > 0 && (len(t.Then) > l.TxnOps || len(t.If) > 4*l.TxnOps) {
		return errors.New("too many operations")
	}
	for _, c := range t.If {
		if !validKey(c.Key) {
			return errMalformed
		}
	}
	seen := map[string]bool{}
	for _, c := range t.Then {
		key := c.Set + c.Drop
		if c.Set != "" && c.Drop != "" || !validKey(key) || seen[key] {
			return errMalformed
		}
		seen[key] = true
		if l.ValueKB > 0 && float64(len(c.Value)) > l.ValueKB*1024 {
			return errors.New("value too large")
		}
		if c.Set != "" && (len(c.Value) == 0 || !json.Valid(c.Value)) {
			return errMalformed
		}
	}
	return nil
}

// commit applies a transaction if its conditions hold; failed are the keys whose conditions do not hold.
func (s *store) commit(t *txn, now time.Time) (failed []string, err error) {
	for _, c := range t.Then {
		if g := s.leases[c.Lease]; c.Lease != 0 && (g == nil || !now.Before(g.expiry)) {
			return nil, errNoLease
		}
	}
	for _, c := range t.If {
		version := uint64(0)
		if p, ok := s.get(c.Key); ok {
			version = p.Version
		}
		if version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed == nil && len(t.Then) > 0 {
		s.apply(t.Then)
	}
	return failed, nil
}

// apply makes changes under one new revision.
func (s *store) apply(changes []put) {
	s.revision++
	for _, c := range changes {
		s.detach(c.Set + c.Drop)
		if c.Drop != "" {
			if _, was := s.keys.Delete(&protocol.Pair{Key: c.Drop}); was {
				s.events = append(s.events, protocol.Event{Drop: c.Drop, Version: s.revision})
			}
			continue
		}
		s.keys.ReplaceOrInsert(&protocol.Pair{Key: c.Set, Value: c.Value, Version: s.revision, Lease: c.Lease})
		if g := s.leases[c.Lease]; g != nil {
			g.keys[c.Set] = true
		}
		s.events = append(s.events, protocol.Event{Set: c.Set, Value: c.Value, Version: s.revision})
	}
	s.changes += len(changes)
	if extra := len(s.events) - maxEvents; extra > maxEvents/4 { // trims rarely, many at once
		s.oldestRevision = s.events[extra-1].Version
		s.events = slices.Clone(s.events[extra:])
	}
}

func (s *store) detach(key string) {
	if p, ok := s.get(key); ok {
		if g := s.leases[p.Lease]; g != nil {
			delete(g.keys, key)
		}
	}
}

// since returns the changes of keys with a prefix after a revision.
func (s *store) since(prefix string, from uint64) ([]protocol.Event, error) {
	if from < s.oldestRevision {
		return nil, errTooOld
	}
	at, _ := slices.BinarySearchFunc(s.events, from+1, func(e protocol.Event, v uint64) int {
		if e.Version < v {
			return -1
		}
		return 1
	})
	found := []protocol.Event{}
	for _, e := range s.events[at:] {
		if strings.HasPrefix(e.Set+e.Drop, prefix) {
			found = append(found, e)
		}
	}
	return found, nil
}

func (s *store) openLease(ttl time.Duration, now time.Time) uint64 {
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, expiry: now.Add(ttl), keys: map[string]bool{}}
	return s.lastID
}

// renew renews a lease; it returns false if the lease has ended.
func (s *store) renew(id uint64, now time.Time) bool {
	g := s.leases[id]
	if g == nil || !now.Before(g.expiry) {
		return false
	}
	g.expiry = now.Add(g.ttl)
	return true
}

// endLease ends a lease, drops its keys and returns these changes.
func (s *store) endLease(id uint64) (drops []put) {
	g := s.leases[id]
	if g == nil {
		return nil
	}
	for key := range g.keys {
		drops = append(drops, put{Drop: key})
	}
	slices.SortFunc(drops, func(a, b put) int { return strings.Compare(a.Drop, b.Drop) })
	if len(drops) > 0 {
		s.apply(drops)
	}
	delete(s.leases, id)
	return drops
}

// expired returns the leases that have ended by a time.
func (s *store) expired(now time.Time) (ids []uint64) {
	for id, g := range s.leases {
		if !now.Before(g.expiry) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// renewAll gives all leases their full TTL again.
func (s *store) renewAll(now time.Time) {
	for _, g := range s.leases {
		g.expiry = now.Add(g.ttl)
	}
}
