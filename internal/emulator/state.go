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

// State is the state service. Its loop owns the store and all troubles.
type State struct {
	loop    *loop
	store   *store
	disk    *disk
	limits  Limits
	reads   *rate.Limiter
	writes  *rate.Limiter
	changed chan struct{} // closed at the next change
	down    bool
	refuses map[string]bool
	// starved are controllers whose renewals of leases are refused for the rate.
	starved map[string]bool
	lags    map[string]time.Duration
	slow    time.Duration
	late    time.Duration
	unheard float64 // share of transactions whose answers are lost
	// losesNext are the prefixes of keys of which a controller's next change is carried out and its
	// answer lost.
	losesNext map[string]string
	rng       *rand.Rand
	page      int
	counts    StateCounts
	// unsaved are changes that go with the next commit, which closes next; current
	// is closed by the commit under way. Each is nil if there is none.
	unsaved       []record
	next, current chan struct{}
}

// StateCounts are what the state service was asked. Changes are those that were made.
type StateCounts struct {
	Requests, Changes, Malformed, Refused int
}

// expiryEvery is how often leases are looked at: they may end 100 ms late.
const expiryEvery = 50 * time.Millisecond

// NewState makes a state service that lives as long as ctx. With a directory it goes
// on with the state that is kept there.
func NewState(ctx context.Context, l Limits, dir string) (*State, error) {
	s := &State{store: newStore(), changed: make(chan struct{}), refuses: map[string]bool{}, starved: map[string]bool{}, losesNext: map[string]string{}, lags: map[string]time.Duration{}, page: pageKeys, rng: rand.New(rand.NewPCG(0, 0x57a7e))}
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
	s.limit(l)
	s.loop = newLoop(ctx)
	if s.disk != nil {
		context.AfterFunc(ctx, func() { s.disk.close() })
	}
	s.loop.do(s.expire)
	return s, nil
}

func (s *State) limit(l Limits) {
	s.limits, s.reads, s.writes = l, bucket(l.RPS, 1), bucket(l.WriteRPS, 1)
}

// bucket bounds a rate, with bursts of so many seconds' worth; 0 does not.
func bucket(perSecond, burstS float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstS*perSecond)))
}

// SetLimits sets the limits that hold from now on.
func (s *State) SetLimits(l Limits) { s.loop.do(func() { s.limit(l) }) }

// SetOutage takes the service away from all, or gives it back: then all leases get their
// full time again.
func (s *State) SetOutage(down bool) {
	s.loop.do(func() {
		if s.down && !down {
			s.store.renewAll(time.Now())
			s.wake()
		}
		s.down = down
	})
}

// SetRefused has one controller get 503 while the others are served.
func (s *State) SetRefused(node string, refuse bool) {
	s.loop.do(func() { s.refuses[node] = refuse; s.wake() })
}

// RefuseRenewals has a controller's renewals of leases refused for the rate, while all else it asks is served.
func (s *State) RefuseRenewals(node string, starve bool) {
	s.loop.do(func() { s.starved[node] = starve })
}

// DelayWatches has a controller's watches tell it of changes so much later.
func (s *State) DelayWatches(node string, by time.Duration) { s.loop.do(func() { s.lags[node] = by }) }

// DelayAnswers has all answers take so long.
func (s *State) DelayAnswers(by time.Duration) { s.loop.do(func() { s.slow = by }) }

// DelayTransactions has transactions applied so much later, without an answer to their sender; 0
// ends it.
func (s *State) DelayTransactions(by time.Duration) { s.loop.do(func() { s.late = by }) }

// DropAnswers has that share of transactions carried out at once, and their answers lost; 0 ends
// it.
func (s *State) DropAnswers(share float64) { s.loop.do(func() { s.unheard = share }) }

// DropNextAnswer has the next transaction of a controller that changes a key with the prefix carried out at
// once, and its answer lost.
func (s *State) DropNextAnswer(node, prefix string) { s.loop.do(func() { s.losesNext[node] = prefix }) }

// SetPageSize bounds the keys on a page of a listing.
func (s *State) SetPageSize(most int) { s.loop.do(func() { s.page = most }) }

// Counts are what the service was asked so far.
func (s *State) Counts() (c StateCounts) {
	s.loop.do(func() { c = s.counts; c.Changes = s.store.changes })
	return c
}

// Edit changes values as another version of a program would have left them: f is given
// each key with the prefix and its value as JSON, and gives the changes.
func (s *State) Edit(prefix string, f func(key string, value json.RawMessage, lease uint64) ([]protocol.Change, error)) (err error) {
	s.loop.do(func() {
		for _, p := range s.store.list(prefix, "", pageKeys).Pairs {
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

// expire ends the leases that are over, and looks again.
func (s *State) expire() {
	if !s.down {
		for _, id := range s.store.overdue(time.Now()) {
			s.end(id)
		}
	}
	s.loop.after(expiryEvery, s.expire)
}

// end ends a lease, on the loop.
func (s *State) end(id uint64) {
	drops := s.store.endLease(id)
	r := record{revision: s.store.revision, lease: id, ttl: -1}
	for _, d := range drops {
		r.drops = append(r.drops, d.Drop)
	}
	s.keep(r)
	if len(drops) > 0 {
		s.wake()
	}
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply makes changes whose conditions held, on the loop.
func (s *State) apply(puts []put) {
	if len(puts) == 0 {
		return
	}
	s.store.apply(puts)
	s.applied(puts)
}

// applied notes changes that were made.
func (s *State) applied(puts []put) {
	r := record{revision: s.store.revision}
	for _, c := range puts {
		if c.Drop != "" {
			r.drops = append(r.drops, c.Drop)
			continue
		}
		r.pairs = append(r.pairs, protocol.Pair{Key: c.Set, Value: c.Value, Version: s.store.revision, Lease: c.Lease})
	}
	s.keep(r)
	s.wake()
}

// keep has a record written. While one commit is under way, more are gathered for the
// next, so that a slow disk costs no more than two commits of waiting.
func (s *State) keep(r record) {
	if s.disk == nil {
		return
	}
	if s.unsaved = append(s.unsaved, r); s.next == nil {
		s.next = make(chan struct{})
	}
	s.save()
}

func (s *State) save() {
	if s.current != nil || len(s.unsaved) == 0 {
		return
	}
	records := s.unsaved
	s.current, s.unsaved, s.next = s.next, nil, nil
	go func() {
		err := s.disk.write(records)
		if err != nil {
			slog.Error("the state service can't write: it answers nothing more", "err", err)
			return
		}
		s.loop.do(func() {
			close(s.current)
			s.current = nil
			s.save()
		})
	}()
}

// kept is closed once all that was changed until now is on the disk; nil if it is.
func (s *State) kept() <-chan struct{} {
	if s.next != nil {
		return s.next
	}
	return s.current
}

// The least and the most that a lease may last.
const (
	leastTTL = 100 * time.Millisecond
	mostTTL  = 600 * time.Second
)
