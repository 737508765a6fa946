package bookkeeping

import (
	"context"
	"math/rand/v2"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// What the store does with terms, sessions, slots and windows.

// termTries is how often a term is tried for while others take terms too, and
// termPause how long at most the first wait between tries is.
const (
	termTries = 6
	termPause = 60 * time.Millisecond
)

// TakeTerm takes a new term from the counter and makes the changes that need
// it in the same transaction. When all controllers start at once they take
// their terms at once: whoever is late tries again.
func (s *Store) TakeTerm(ctx context.Context, with func(term uint64) []protocol.Change) (uint64, error) {
	for try := 1; ; try++ {
		c, version, err := get[Counter](ctx, s, transport.Vital, 3*time.Second, keyTerm)
		if err != nil {
			return 0, err
		}
		next := Counter{Term: 1}
		if c != nil {
			next.Term = c.Term + 1
		}
		then := []protocol.Change{set(keyTerm, next, 0)}
		if with != nil {
			then = append(then, with(next.Term)...)
		}
		_, ok, err := s.try(ctx, transport.Vital, 3*time.Second, []protocol.Condition{{Key: keyTerm, Version: version}}, then)
		switch {
		case err != nil || ok:
			return next.Term, err
		case try == termTries:
			return 0, ErrConflict
		}
		pause(ctx, rand.N(time.Duration(try)*termPause))
	}
}

// Join opens a session: a new term and a member record that lives with a
// fresh lease.
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

// UpdateMember rewrites this controller's own member record, if it is still
// that of the same process: applied late, after a restart, it must not put a
// dead process's session in place of the living one's.
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

// Lead tries to become leader, in place of the record last seen (nil: none).
func (s *Store) Lead(ctx context.Context, seen *Leader, me Leader, lease uint64) error {
	c := protocol.Condition{Key: keyLeader}
	if seen != nil {
		c.Version = seen.Version
	}
	return s.commit(ctx, transport.Vital, 3*time.Second, []protocol.Condition{c}, set(keyLeader, me, lease))
}

// PublishWindow writes the next window, provided that the leader's record is
// still the one given and the last window is still the one seen.
func (s *Store) PublishWindow(ctx context.Context, leader *Leader, seen *Window, w Window) error {
	conds := []protocol.Condition{{Key: keyLeader, Version: leader.Version}, {Key: keyWindow}}
	if seen != nil {
		conds[1].Version = seen.Version
	}
	return s.commit(ctx, transport.Vital, 3*time.Second, conds, set(keyWindow, w, 0))
}

// ReadWindow reads the newest window afresh.
func (s *Store) ReadWindow(ctx context.Context) (*Window, error) {
	w, version, err := get[Window](ctx, s, transport.Vital, 3*time.Second, keyWindow)
	if w != nil {
		w.Version = version
	}
	return w, err
}

// Claim is a slot that is to be taken: the record it stands on (nil: none)
// and, if the former holder must be without a session, what shows that.
type Claim struct {
	Slot int
	Seen *Slot
	// Former is the former holder; its member record must have FormerVersion
	// (0: must not exist).
	Former        string
	FormerVersion uint64
}

// Listed tells whether the slot's roster names all machines that may have
// tasks: not if the record is of a version that kept none.
func (c *Claim) Listed() bool { return c.Seen == nil || c.Seen.Listed }

// MostClaims is how many slots can be taken, or rewritten, at once.
func (s *Store) MostClaims() int { return s.txnOps }

// TakeSlots takes slots under one new term, with their rosters. The term is
// taken first, by itself: many controllers that start together compete for the
// counter, and what loses is charged for all its changes. A slot's terms rise
// all the same, since its record must be the one seen, of an older term.
func (s *Store) TakeSlots(ctx context.Context, name string, incarnation uint64, claims []Claim) (uint64, error) {
	term, err := s.TakeTerm(ctx, nil)
	if err != nil {
		return 0, err
	}
	var conds []protocol.Condition
	var then []protocol.Change
	guarded := map[string]bool{}
	for _, c := range claims {
		cond, rec := protocol.Condition{Key: slotKey(c.Slot)}, Slot{Holder: name, Incarnation: incarnation, Term: term, Listed: c.Listed()}
		if c.Seen != nil {
			if c.Seen.Term >= term {
				return 0, ErrConflict
			}
			cond.Version, rec.Roster = c.Seen.Version, c.Seen.Roster
		}
		conds, then = append(conds, cond), append(then, set(slotKey(c.Slot), s.packed(rec), 0))
		if c.Former != "" && !guarded[c.Former] {
			guarded[c.Former] = true
			conds = append(conds, protocol.Condition{Key: memberKey(c.Former), Version: c.FormerVersion})
		}
	}
	return term, s.commit(ctx, transport.Vital, 3*time.Second, conds, then...)
}

// SlotChange is a new value for a slot's record as it was last seen.
type SlotChange struct {
	Slot int
	Seen uint64 // its version
	To   Slot
}

// ChangeSlots rewrites records of slots that this controller holds, or has
// held and stopped acting for; no more of them than a transaction takes.
func (s *Store) ChangeSlots(ctx context.Context, u transport.Urgency, changes []SlotChange) error {
	var conds []protocol.Condition
	var then []protocol.Change
	for _, c := range changes {
		conds = append(conds, protocol.Condition{Key: slotKey(c.Slot), Version: c.Seen})
		then = append(then, set(slotKey(c.Slot), s.packed(c.To), 0))
	}
	return s.commit(ctx, u, 3*time.Second, conds, then...)
}

// Revision asks for the present revision.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	ans, _, err := s.try(ctx, transport.Ordinary, 3*time.Second, nil, nil)
	return ans.Revision, err
}
