package bookkeeping

import (
	"context"
	"math/rand/v2"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Operations on terms, sessions, slots and windows.

// maxTermAttempts limits the attempts to take a term while other controllers take terms too. termRetryDelay is
// the maximum wait after the first attempt; the maximum grows linearly.
const (
	maxTermAttempts = 6
	termRetryDelay  = 60 * time.Millisecond
)

// TakeTerm takes a new term from the counter, and makes the changes that depend on it in the same transaction.
// Controllers that start at once compete for the counter; an attempt that loses is retried.
func (s *Store) TakeTerm(ctx context.Context, changes func(term uint64) []protocol.Change) (uint64, error) {
	for attempt := 1; ; attempt++ {
		c, version, err := get[TermCounter](ctx, s, transport.Vital, 3*time.Second, keyTerm)
		if err != nil {
			return 0, err
		}
		next := TermCounter{Term: 1}
		if c != nil {
			next.Term = c.Term + 1
		}
		then := []protocol.Change{set(keyTerm, next, 0)}
		if changes != nil {
			then = append(then, changes(next.Term)...)
		}
		_, ok, err := s.transact(ctx, transport.Vital, 3*time.Second, []protocol.Condition{{Key: keyTerm, Version: version}}, then)
		switch {
		case err != nil || ok:
			return next.Term, err
		case attempt == maxTermAttempts:
			return 0, ErrConflict
		}
		sleep(ctx, rand.N(time.Duration(attempt)*termRetryDelay))
	}
}

// Join opens a session: it takes a new term and writes a member record under a new lease.
func (s *Store) Join(ctx context.Context, name string, ttl time.Duration) (term, lease uint64, sent time.Time, err error) {
	sent = time.Now()
	if lease, err = s.state.OpenLease(ctx, ttl); err != nil {
		return 0, 0, sent, err
	}
	term, err = s.TakeTerm(ctx, func(term uint64) []protocol.Change {
		return []protocol.Change{set(memberKey(name), Member{Term: term, Generation: Generation}, lease)}
	})
	return term, lease, sent, err
}

// Renew renews the session's lease.
func (s *Store) Renew(ctx context.Context, timeout time.Duration, lease uint64) error {
	return s.state.TouchLease(ctx, timeout, lease)
}

// UpdateMember rewrites this controller's own member record if the record still belongs to the same process.
// A delayed update that is applied after a restart must not replace the session of the new process.
func (s *Store) UpdateMember(ctx context.Context, name string, m Member, lease uint64) error {
	m.Generation = Generation
	seen, version, err := get[Member](ctx, s, transport.Ordinary, 3*time.Second, memberKey(name))
	if err != nil {
		return err
	}
	if seen == nil || seen.Term != m.Term {
		return ErrConflict
	}
	return s.commit(ctx, transport.Ordinary, 3*time.Second, []protocol.Condition{{Key: memberKey(name), Version: version}},
		set(memberKey(name), m, lease))
}

// Lead tries to become leader, replacing the last seen record (nil: none).
func (s *Store) Lead(ctx context.Context, seen *Leader, me Leader, lease uint64) error {
	c := protocol.Condition{Key: keyLeader}
	if seen != nil {
		c.Version = seen.Version
	}
	return s.commit(ctx, transport.Vital, 3*time.Second, []protocol.Condition{c}, set(keyLeader, me, lease))
}

// PublishWindow writes the next window if the given leader record and the last seen window are still current.
func (s *Store) PublishWindow(ctx context.Context, leader *Leader, seen *Window, w Window) error {
	conds := []protocol.Condition{{Key: keyLeader, Version: leader.Version}, {Key: keyWindow}}
	if seen != nil {
		conds[1].Version = seen.Version
	}
	return s.commit(ctx, transport.Vital, 3*time.Second, conds, set(keyWindow, w, 0))
}

// ReadWindow reads the newest window from the state service.
func (s *Store) ReadWindow(ctx context.Context) (*Window, error) {
	w, version, err := get[Window](ctx, s, transport.Vital, 3*time.Second, keyWindow)
	if w != nil {
		w.Version = version
	}
	return w, err
}

// Claim is a slot to be taken. Seen is the slot's last seen record (nil: none). Former and FormerVersion are a
// condition on the former holder's session; an empty Former means that there is no condition.
type Claim struct {
	Slot int
	Seen *Slot
	// Former is the former holder; its member record must have FormerVersion (0: must not exist).
	Former        string
	FormerVersion uint64
}

// RosterKnown reports whether the slot's roster names all machines that may have tasks. It does not if a version
// that keeps no rosters wrote the record.
func (c *Claim) RosterKnown() bool { return c.Seen == nil || c.Seen.RosterKnown }

// MaxClaims is the maximum number of slots that can be taken or rewritten at once.
func (s *Store) MaxClaims() int { return s.txnOps }

// TakeSlots takes slots under one new term and keeps their rosters. The term is taken in a transaction of its
// own: many controllers that start together compete for the counter, and a failed transaction is charged for
// all its changes. The terms of a slot still increase, since the replaced record must be the one seen, with an
// older term.
func (s *Store) TakeSlots(ctx context.Context, name string, incarnation uint64, claims []Claim) (uint64, error) {
	term, err := s.TakeTerm(ctx, nil)
	if err != nil {
		return 0, err
	}
	var conds []protocol.Condition
	var then []protocol.Change
	guarded := map[string]bool{}
	for _, c := range claims {
		cond, rec := protocol.Condition{Key: slotKey(c.Slot)}, Slot{Holder: name, Incarnation: incarnation, Term: term, RosterKnown: c.RosterKnown()}
		if c.Seen != nil {
			if c.Seen.Term >= term {
				return 0, ErrConflict
			}
			cond.Version, rec.Roster = c.Seen.Version, c.Seen.Roster
		}
		conds, then = append(conds, cond), append(then, set(slotKey(c.Slot), s.packRoster(rec), 0))
		if c.Former != "" && !guarded[c.Former] {
			guarded[c.Former] = true
			conds = append(conds, protocol.Condition{Key: memberKey(c.Former), Version: c.FormerVersion})
		}
	}
	return term, s.commit(ctx, transport.Vital, 3*time.Second, conds, then...)
}

// SlotChange is a new value for a slot's record, conditional on the version last seen.
type SlotChange struct {
	Slot        int
	SeenVersion uint64 // version of the record
	Record      Slot
}

// ChangeSlots rewrites the records of slots that this controller holds, or that it held and no longer acts for.
// It takes at most MaxClaims changes.
func (s *Store) ChangeSlots(ctx context.Context, u transport.Urgency, changes []SlotChange) error {
	var conds []protocol.Condition
	var then []protocol.Change
	for _, c := range changes {
		conds = append(conds, protocol.Condition{Key: slotKey(c.Slot), Version: c.SeenVersion})
		then = append(then, set(slotKey(c.Slot), s.packRoster(c.Record), 0))
	}
	return s.commit(ctx, u, 3*time.Second, conds, then...)
}

// Revision reads the current revision of the state service.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	ans, _, err := s.transact(ctx, transport.Ordinary, 3*time.Second, nil, nil)
	return ans.Revision, err
}
