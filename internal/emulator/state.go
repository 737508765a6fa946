package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"daledyke/internal/protocol"
)

// State is the state service. Its loop owns the store and all injected faults.
type State struct {
	loop    *loop
	store   *store
	disk    *disk
	limits  Limits
	reads   *rate.Limiter
	writes  *rate.Limiter
	changed chan struct{} // closed at the next change
	down    bool
	refused map[string]bool
	// renewalsRefused are the controllers whose lease renewals are refused as over the rate limit.
	renewalsRefused map[string]bool
	watchDelays     map[string]time.Duration
	answerDelay     time.Duration
	txnDelay        time.Duration
	dropShare       float64 // share of transactions whose answers are dropped
	// dropNextPrefix holds key prefixes by controller: the next transaction of the controller that sets such
	// a key is carried out, and its answer is dropped.
	dropNextPrefix map[string]string
	rng            *rand.Rand
	maxPage        int
	counts         StateCounts
	copies         *repeater
	// unwritten are changes that the next commit writes; that commit closes nextCommit. The commit in
	// progress closes currentCommit. Each channel is nil if there is no such commit.
	unwritten                 []record
	nextCommit, currentCommit chan struct{}
}

// StateCounts counts requests to the state service. Changes counts the changes that were applied.
type StateCounts struct {
	Requests, Changes, Malformed, Refused int
}

// RepeatRequests lets a copy of each request that may change something arrive once more after a delay. 0 ends it,
// except for copies that are already scheduled.
func (s *State) RepeatRequests(by time.Duration) { s.copies.setDelay(by) }

// expiryInterval is how often leases are checked for expiry; the protocol allows them to end 100 ms late.
const expiryInterval = 50 * time.Millisecond

// NewState returns a state service that runs until ctx ends. With a directory it starts from the state that
// is stored there, and stores its state there.
func NewState(ctx context.Context, l Limits, dir string) (*State, error) {
	s := &State{copies: &repeater{ctx: ctx}, store: newStore(), changed: make(chan struct{}), refused: map[string]bool{}, renewalsRefused: map[string]bool{}, dropNextPrefix: map[string]string{}, watchDelays: map[string]time.Duration{}, maxPage: maxPageKeys, rng: rand.New(rand.NewPCG(0, 0x57a7e))}
	if dir != "" {
		var err error
		if s.disk, err = openDisk(dir); err != nil {
			return nil, err
		}
		if s.store, err = s.disk.load(time.Now()); err != nil {
			s.disk.close()
			return nil, err
		}
	}
	s.applyLimits(l)
	s.loop = newLoop(ctx)
	if s.disk != nil {
		context.AfterFunc(ctx, func() { s.disk.close() })
	}
	s.loop.do(s.expire)
	return s, nil
}

func (s *State) applyLimits(l Limits) {
	s.limits, s.reads, s.writes = l, newLimiter(l.RPS, 1), newLimiter(l.WriteRPS, 1)
}

// newLimiter limits a rate, with bursts of burstS seconds' worth; 0 is unlimited.
func newLimiter(perSecond, burstS float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstS*perSecond)))
}

// SetLimits sets the limits that apply from now on.
func (s *State) SetLimits(l Limits) { s.loop.do(func() { s.applyLimits(l) }) }

// SetOutage makes the service unavailable to all controllers, or restores it. When it is restored, all
// leases get their full TTL again.
func (s *State) SetOutage(down bool) {
	s.loop.do(func() {
		if s.down && !down {
			s.store.renewAll(time.Now())
			s.wakeWatches()
		}
		s.down = down
	})
}

// SetRefused makes the service answer 503 to one controller while the others are served.
func (s *State) SetRefused(node string, refuse bool) {
	s.loop.do(func() { s.refused[node] = refuse; s.wakeWatches() })
}

// RefuseRenewals refuses a controller's lease renewals as over the rate limit while its other requests are
// served.
func (s *State) RefuseRenewals(node string, starve bool) {
	s.loop.do(func() { s.renewalsRefused[node] = starve })
}

// DelayWatches delays the changes that a controller's watches receive.
func (s *State) DelayWatches(node string, by time.Duration) {
	s.loop.do(func() { s.watchDelays[node] = by })
}

// DelayAnswers delays all answers.
func (s *State) DelayAnswers(by time.Duration) { s.loop.do(func() { s.answerDelay = by }) }

// DelayTransactions applies transactions after a delay and drops their answers; 0 ends it.
func (s *State) DelayTransactions(by time.Duration) { s.loop.do(func() { s.txnDelay = by }) }

// DropAnswers carries out a share of the transactions at once and drops their answers; 0 ends it.
func (s *State) DropAnswers(share float64) { s.loop.do(func() { s.dropShare = share }) }

// DropNextAnswer carries out the next transaction of a controller that sets a key with the prefix at once
// and drops its answer.
func (s *State) DropNextAnswer(node, prefix string) {
	s.loop.do(func() { s.dropNextPrefix[node] = prefix })
}

// SetPageSize limits the keys on a page of a listing.
func (s *State) SetPageSize(most int) { s.loop.do(func() { s.maxPage = most }) }

// Counts returns the counts so far.
func (s *State) Counts() (c StateCounts) {
	s.loop.do(func() { c = s.counts; c.Changes = s.store.changes })
	return c
}

// Edit changes values as another version of a program would have left them: f receives each key with the
// prefix and its value as JSON, and returns the changes.
func (s *State) Edit(prefix string, f func(key string, value json.RawMessage, lease uint64) ([]protocol.Change, error)) (err error) {
	s.loop.do(func() {
		for _, p := range s.store.list(prefix, "", maxPageKeys).Pairs {
			changes, bad := f(p.Key, p.Value, p.Lease)
			if err = errors.Join(err, bad); bad != nil {
				continue
			}
			var puts []put
			for _, c := range changes {
				raw, bad := json.Marshal(c.Value)
				err = errors.Join(err, bad)
				puts = append(puts, put{Set: c.Set, Value: raw, Lease: c.Lease, Drop: c.Drop})
			}
			s.apply(puts)
		}
	})
	return err
}

// expire ends the expired leases and schedules the next check.
func (s *State) expire() {
	if !s.down {
		for _, id := range s.store.expired(time.Now()) {
			s.endLease(id)
		}
	}
	s.loop.after(expiryInterval, s.expire)
}

// endLease ends a lease; it runs on the loop.
func (s *State) endLease(id uint64) {
	drops := s.store.endLease(id)
	r := record{revision: s.store.revision, lease: id, ttl: -1}
	for _, d := range drops {
		r.drops = append(r.drops, d.Drop)
	}
	s.persist(r)
	if len(drops) > 0 {
		s.wakeWatches()
	}
}

func (s *State) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply makes changes without checking conditions; it runs on the loop.
func (s *State) apply(puts []put) {
	if len(puts) == 0 {
		return
	}
	s.store.apply(puts)
	s.recordChanges(puts)
}

// recordChanges persists changes that were recordChanges and wakes the watches.
func (s *State) recordChanges(puts []put) {
	r := record{revision: s.store.revision}
	for _, c := range puts {
		if c.Drop != "" {
			r.drops = append(r.drops, c.Drop)
			continue
		}
		r.pairs = append(r.pairs, protocol.Pair{Key: c.Set, Value: c.Value, Version: s.store.revision, Lease: c.Lease})
	}
	s.persist(r)
	s.wakeWatches()
}

// persist queues a record for writing. Records that arrive during a commit are collected for the next one,
// so a slow disk delays an answer by at most two commits.
func (s *State) persist(r record) {
	if s.disk == nil {
		return
	}
	if s.unwritten = append(s.unwritten, r); s.nextCommit == nil {
		s.nextCommit = make(chan struct{})
	}
	s.startCommit()
}

func (s *State) startCommit() {
	if s.currentCommit != nil || len(s.unwritten) == 0 {
		return
	}
	records := s.unwritten
	s.currentCommit, s.unwritten, s.nextCommit = s.nextCommit, nil, nil
	go func() {
		err := s.disk.write(records)
		if err != nil {
			slog.Error("the state service can't write: it answers nothing more", "err", err)
			return
		}
		s.loop.do(func() {
			close(s.currentCommit)
			s.currentCommit = nil
			s.startCommit()
		})
	}()
}

// persisted returns a channel that closes once all changes until now are on disk; nil if they already are.
func (s *State) persisted() <-chan struct{} {
	if s.nextCommit != nil {
		return s.nextCommit
	}
	return s.currentCommit
}

// The range of lease TTLs.
const (
	minTTL = 100 * time.Millisecond
	maxTTL = 600 * time.Second
)
