package coordination

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/transport"
)

// Session keeps a controller's lease in the state service. The controller may act while the lease has
// certainly not expired. The lease counts from when the last successful renewal was sent, by the controller's
// monotonic clock, less drift and a margin (invariant 2).
type Session struct {
	name  string
	ttl   time.Duration
	store *bookkeeping.Store
	base  time.Time
	// validUntil is the end of validity in nanoseconds after base.
	validUntil         atomic.Int64
	term               atomic.Uint64
	lease              atomic.Uint64
	workersUnreachable atomic.Bool
	// onLost is called after a session ended and before the next one begins.
	onLost func()
}

// NewSession returns a session; Run opens it.
func NewSession(c *config.Config, store *bookkeeping.Store, lost func()) *Session {
	return &Session{name: c.Name, ttl: c.SessionTTL(), store: store, base: time.Now(), onLost: lost}
}

// Valid reports whether the controller may act now.
func (s *Session) Valid() bool { return int64(time.Since(s.base)) < s.validUntil.Load() }

// Left is how long the controller may act without another renewal.
func (s *Session) Left() time.Duration {
	return max(0, time.Duration(s.validUntil.Load())-time.Since(s.base))
}

// Term is the incarnation of this controller, 0 before its first session.
func (s *Session) Term() uint64 { return s.term.Load() }

// Lease is the id of the lease on which the session depends.
func (s *Session) Lease() uint64 { return s.lease.Load() }

func (s *Session) extend(sent time.Time) {
	s.validUntil.Store(int64(sent.Add(config.LocalLowerBound(s.ttl)).Sub(s.base)))
}

// Run opens sessions and renews them until ctx ends.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term, lease, sent, err := s.store.Join(ctx, s.name, s.ttl)
		if err != nil {
			slog.Info("cannot open a session", "err", err)
			pause(ctx, 400*time.Millisecond)
			continue
		}
		s.lease.Store(lease)
		s.workersUnreachable.Store(false) // the new member record does not contain the mark
		s.term.Store(term)
		s.extend(sent)
		slog.Info("session opened", "term", term)
		s.renew(ctx, lease)
		s.validUntil.Store(0)
		s.onLost()
		slog.Info("session lost", "term", term)
	}
}

// renew returns once the lease is known to have ended.
func (s *Session) renew(ctx context.Context, lease uint64) {
	interval := s.ttl / 6
	wait := interval
	for ctx.Err() == nil {
		pause(ctx, wait)
		sent := time.Now()
		err := s.store.Renew(ctx, time.Second, lease)
		switch {
		case err == nil:
			s.extend(sent)
			wait = interval
		case errors.Is(err, transport.ErrNoLease):
			return
		default:
			slog.Debug("renewal failed", "err", err)
			wait = min(interval, 500*time.Millisecond)
		}
	}
}

// WorkersUnreachable reports whether the newest write of the member record, which may have failed, shows that
// workers can't reach this controller.
func (s *Session) WorkersUnreachable() bool { return s.workersUnreachable.Load() }

// SetWorkersUnreachable records, for the other controllers, whether workers can reach this one. After an error
// the record may or may not have changed, and the caller tries again.
func (s *Session) SetWorkersUnreachable(ctx context.Context, unreachable bool) error {
	if !s.Valid() {
		return errNoSession
	}
	s.workersUnreachable.Store(unreachable)
	return s.store.UpdateMember(ctx, s.name, bookkeeping.Member{Term: s.Term(), WorkersUnreachable: unreachable}, s.Lease())
}

// errNoSession means that the controller has no session under which it may act.
var errNoSession = errors.New("no session")
