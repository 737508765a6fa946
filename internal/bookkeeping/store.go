package bookkeeping

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// ErrConflict: the records are no longer what the change was based on.
var ErrConflict = errors.New("record changed meanwhile")

// Store writes and reads records in the state service. It keeps nothing.
type Store struct {
	state  *transport.State
	txnOps int
	// counts are the changes asked for, by kind of record.
	counts map[string]*atomic.Int64
}

// NewStore makes a store.
func NewStore(s *transport.State, txnOps int) *Store {
	counts := map[string]*atomic.Int64{}
	for _, kind := range kinds {
		counts[kind.name] = &atomic.Int64{}
	}
	return &Store{state: s, txnOps: txnOps, counts: counts}
}

// try makes a transaction and counts what it would change.
func (s *Store) try(ctx context.Context, u transport.Urgency, timeout time.Duration, conds []protocol.Condition, then []protocol.Change) (protocol.TxnAnswer, bool, error) {
	for _, c := range then {
		s.counts[kindOf(c.Set+c.Drop)].Add(1)
	}
	return s.state.Commit(ctx, u, timeout, protocol.Txn{If: conds, Then: then})
}

// Changes is how many changes were asked for so far, by kind of record.
func (s *Store) Changes() map[string]int64 {
	out := make(map[string]int64, len(s.counts))
	for kind, n := range s.counts {
		out[kind] = n.Load()
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

// ---- jobs

// userPatience is how long a user's request may wait for the state service.
const userPatience = 1700 * time.Millisecond

// CreateJob records a job as accepted. ErrConflict: the id is known already.
func (s *Store) CreateJob(ctx context.Context, spec *protocol.JobSpec) error {
	rec := &jobRecord{Spec: spec, State: protocol.Pending, AcceptedMs: time.Now().UnixMilli()}
	return s.commit(ctx, transport.Urgent, userPatience, []protocol.Condition{{Key: jobKey(spec.ID)}, {Key: overKey(spec.ID)}},
		set(jobKey(spec.ID), rec, 0))
}

// ReadJob reads a job's record afresh; nil without an error means that the
// job was never accepted.
func (s *Store) ReadJob(ctx context.Context, id string) (*Job, error) {
	// A job that ends moves from one key to the other at once: if the first
	// is empty now, the second is not, unless there was never such a job.
	for _, key := range []string{jobKey(id), overKey(id)} {
		r, version, err := get[jobRecord](ctx, s, transport.Urgent, userPatience, key)
		if err != nil {
			return nil, err
		}
		if r != nil {
			return (*Job)(nil).withRecord(r, version), nil
		}
	}
	return nil, nil
}

// over is the one change that ends a job. It is made in place: moving the
// record to those that are over takes two changes more, which may wait until
// there is nothing better to write (Archive).
func over(j *Job, state string) protocol.Change {
	return set(jobKey(j.Spec.ID), &jobRecord{Spec: j.Spec, State: state, AcceptedMs: j.Accepted.UnixMilli()}, 0)
}

// Archive moves jobs that are over to where a controller that starts does not
// read them, and drops their results. A job whose record changed meanwhile
// fails only those written with it.
func (s *Store) Archive(ctx context.Context, jobs []*Job) {
	var conds []protocol.Condition
	var then []protocol.Change
	write := func() bool {
		err := s.commit(ctx, transport.Deferred, 10*time.Second, conds, then...)
		conds, then = nil, nil
		return err == nil
	}
	for _, j := range jobs {
		var drops []protocol.Change
		for c, ch := range j.Results {
			if ch.Version > 0 {
				drops = append(drops, protocol.Change{Drop: resultKey(j.Spec.ID, c)})
			}
		}
		// A job of a great many tasks has more results than a transaction takes.
		for ; len(drops) > s.txnOps-2; drops = drops[s.txnOps-2:] {
			if s.commit(ctx, transport.Deferred, 10*time.Second, nil, drops[:s.txnOps-2]...) != nil {
				return
			}
		}
		if len(then)+len(drops)+2 > s.txnOps && !write() {
			return
		}
		id := j.Spec.ID
		conds = append(conds, protocol.Condition{Key: jobKey(id), Version: j.Version})
		then = append(then, set(overKey(id), &jobRecord{Spec: j.Spec, State: j.State, AcceptedMs: j.Accepted.UnixMilli()}, 0),
			protocol.Change{Drop: jobKey(id)})
		then = append(then, drops...)
	}
	if len(then) > 0 {
		write()
	}
}

// CancelJob makes a job cancelled unless it is over already; the job that
// it gives back is as it stands afterwards, nil if it was never accepted.
func (s *Store) CancelJob(ctx context.Context, id string) (*Job, error) {
	for range 4 {
		j, err := s.ReadJob(ctx, id)
		if err != nil || j == nil || j.Final() {
			return j, err
		}
		err = s.commit(ctx, transport.Urgent, userPatience, []protocol.Condition{{Key: jobKey(id), Version: j.Version}},
			over(j, protocol.Cancelled))
		if err == nil {
			j.State = protocol.Cancelled
			return j, nil
		}
		if !errors.Is(err, ErrConflict) {
			return nil, err
		}
	}
	return nil, ErrConflict
}

// Outcome is a set of results of one job that are to be recorded.
type Outcome struct {
	Job   *Job
	Tasks []int
}

// Finishes tells whether the job is complete with the outcome's results.
func (o *Outcome) Finishes() bool {
	n := o.Job.DoneCount()
	for _, t := range o.Tasks {
		if !o.Job.TaskDone(t) {
			n++
		}
	}
	return n >= o.Job.Spec.Tasks
}

// changes are the conditions and changes that record the outcome.
func (s *Store) changes(o *Outcome) (conds []protocol.Condition, then []protocol.Change) {
	byChunk := map[int][]int{}
	for _, t := range o.Tasks {
		byChunk[t/ChunkTasks] = append(byChunk[t/ChunkTasks], t)
	}
	id := o.Job.Spec.ID
	for c, tasks := range byChunk {
		var old Chunk
		if c < len(o.Job.Results) {
			old = o.Job.Results[c]
		}
		conds = append(conds, protocol.Condition{Key: resultKey(id, c), Version: old.Version})
		then = append(then, set(resultKey(id, c), chunkRecord{Bits: marked(old.Bits, tasks)}, 0))
	}
	conds = append(conds, protocol.Condition{Key: jobKey(id), Version: o.Job.Version})
	// All chunks must be the ones counted: guard those not written as well.
	if o.Finishes() {
		for c, ch := range o.Job.Results {
			if byChunk[c] == nil {
				conds = append(conds, protocol.Condition{Key: resultKey(id, c), Version: ch.Version})
			}
		}
		then = []protocol.Change{over(o.Job, protocol.Done)}
	}
	return conds, then
}

// MostOutcomes is for how many jobs results should be written at once.
func (s *Store) MostOutcomes() int { return s.txnOps }

// Record writes outcomes, as many in one transaction as it may hold. A
// condition that fails fails all of them: then each is tried alone. It gives
// back the jobs whose outcome is recorded for certain.
func (s *Store) Record(ctx context.Context, outcomes []Outcome) (recorded []string) {
	for len(outcomes) > 0 {
		var conds []protocol.Condition
		var then []protocol.Change
		n := 0
		for n < len(outcomes) {
			c, t := s.changes(&outcomes[n])
			if n > 0 && (len(then)+len(t) > s.txnOps || len(conds)+len(c) > 4*s.txnOps || n >= 16) {
				break
			}
			conds, then = append(conds, c...), append(then, t...)
			n++
		}
		batch := outcomes[:n]
		outcomes = outcomes[n:]
		err := s.commit(ctx, transport.Ordinary, 3*time.Second, conds, then...)
		switch {
		case err == nil:
			for _, o := range batch {
				recorded = append(recorded, o.Job.Spec.ID)
			}
		case errors.Is(err, ErrConflict) && n > 1:
			for _, o := range batch {
				recorded = append(recorded, s.Record(ctx, []Outcome{o})...)
			}
		}
	}
	return recorded
}

// present asks for the present revision, and which of the jobs named have a
// record, whether they are over or not. No more of them may be named than
// mostUnknown.
func (s *Store) present(ctx context.Context, timeout time.Duration, ids []string) (revision uint64, recorded map[string]bool, err error) {
	var conds []protocol.Condition
	for _, id := range ids {
		conds = append(conds, protocol.Condition{Key: jobKey(id)}, protocol.Condition{Key: overKey(id)})
	}
	ans, _, err := s.try(ctx, transport.Urgent, timeout, conds, nil)
	if err != nil {
		return 0, nil, err
	}
	recorded = map[string]bool{}
	for _, key := range ans.Failed {
		id, ok := under(key, jobPrefix)
		if !ok {
			id, _ = under(key, overPrefix)
		}
		recorded[id] = true
	}
	return ans.Revision, recorded, nil
}

// mostUnknown is how many jobs one comparison can ask for, by both their keys.
func (s *Store) mostUnknown() int { return 2 * s.txnOps }

// ---- terms, members, slots, windows

// termTries is how often a term is tried for while others take terms too, and
// termPause how long at most the first wait between tries is.
const (
	termTries = 6
	termPause = 60 * time.Millisecond
)

// TakeTerm takes a new term from the counter and makes the changes that need
// it in the same transaction. When all controllers start at once they take
// their terms at once: whoever is late only because of the counter tries again.
func (s *Store) TakeTerm(ctx context.Context, conds []protocol.Condition, with func(term uint64) []protocol.Change) (uint64, error) {
	for try := 1; ; try++ {
		c, version, err := get[Counter](ctx, s, transport.Urgent, 3*time.Second, keyTerm)
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
		ans, ok, err := s.try(ctx, transport.Urgent, 3*time.Second,
			append(slices.Clone(conds), protocol.Condition{Key: keyTerm, Version: version}), then)
		switch {
		case err != nil || ok:
			return next.Term, err
		case try == termTries || !slices.Equal(ans.Failed, []string{keyTerm}):
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
	term, err = s.TakeTerm(ctx, nil, func(term uint64) []protocol.Change {
		return []protocol.Change{set(memberKey(name), Member{Term: term}, lease)}
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
	return s.commit(ctx, transport.Ordinary, 3*time.Second, []protocol.Condition{c}, set(keyLeader, me, lease))
}

// PublishWindow writes the next window, provided that the leader's record is
// still the one given and the last window is still the one seen.
func (s *Store) PublishWindow(ctx context.Context, leader *Leader, seen *Window, w Window) error {
	conds := []protocol.Condition{{Key: keyLeader, Version: leader.Version}, {Key: keyWindow}}
	if seen != nil {
		conds[1].Version = seen.Version
	}
	return s.commit(ctx, transport.Urgent, 3*time.Second, conds, set(keyWindow, w, 0))
}

// ReadWindow reads the newest window afresh.
func (s *Store) ReadWindow(ctx context.Context) (*Window, error) {
	w, version, err := get[Window](ctx, s, transport.Urgent, 3*time.Second, keyWindow)
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

// MostClaims is how many slots can be taken at once: a transaction holds no
// more, beside the term's counter.
func (s *Store) MostClaims() int { return s.txnOps - 1 }

// TakeSlots takes slots under one new term, with their rosters.
func (s *Store) TakeSlots(ctx context.Context, name string, incarnation uint64, claims []Claim) (uint64, error) {
	var conds []protocol.Condition
	guarded := map[string]bool{}
	for _, c := range claims {
		cond := protocol.Condition{Key: slotKey(c.Slot)}
		if c.Seen != nil {
			cond.Version = c.Seen.Version
		}
		conds = append(conds, cond)
		if c.Former != "" && !guarded[c.Former] {
			guarded[c.Former] = true
			conds = append(conds, protocol.Condition{Key: memberKey(c.Former), Version: c.FormerVersion})
		}
	}
	return s.TakeTerm(ctx, conds, func(term uint64) []protocol.Change {
		var then []protocol.Change
		for _, c := range claims {
			rec := Slot{Holder: name, Incarnation: incarnation, Term: term, Listed: c.Listed()}
			if c.Seen != nil {
				rec.Roster = c.Seen.Roster
			}
			then = append(then, set(slotKey(c.Slot), rec, 0))
		}
		return then
	})
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
		then = append(then, set(slotKey(c.Slot), c.To, 0))
	}
	return s.commit(ctx, u, 3*time.Second, conds, then...)
}

// Revision asks for the present revision.
func (s *Store) Revision(ctx context.Context) (uint64, error) {
	ans, _, err := s.try(ctx, transport.Ordinary, 3*time.Second, nil, nil)
	return ans.Revision, err
}

// ---- machines

// Machines reads the registry afresh.
func (s *Store) Machines(ctx context.Context) ([]*Machine, error) {
	var out []*Machine
	from := ""
	for {
		page, err := s.state.List(ctx, transport.Urgent, lotPrefix, from)
		if err != nil {
			return nil, err
		}
		for _, p := range page.Pairs {
			if l := parse[Lot](p.Key, p.Value, false); l != nil {
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

// AddLot registers machines under a lot's name that was never used.
func (s *Store) AddLot(ctx context.Context, u transport.Urgency, name string, l Lot) error {
	return s.commit(ctx, u, 4*time.Second, []protocol.Condition{{Key: lotKey(name)}}, set(lotKey(name), l, 0))
}

// DropMachines takes machines that are gone out of the lots given, as these
// were last seen. A lot that changed meanwhile fails only those written with it.
func (s *Store) DropMachines(ctx context.Context, ids map[string]bool, lots map[string]*Lot) error {
	var failed error
	for names := range slices.Chunk(slices.Sorted(maps.Keys(lots)), s.txnOps) {
		var conds []protocol.Condition
		var then []protocol.Change
		for _, name := range names {
			l := *lots[name]
			conds = append(conds, protocol.Condition{Key: lotKey(name), Version: l.Version})
			l.Machines = slices.DeleteFunc(slices.Clone(l.Machines), func(id string) bool { return ids[id] })
			if len(l.Machines) == 0 {
				then = append(then, protocol.Change{Drop: lotKey(name)})
			} else {
				then = append(then, set(lotKey(name), l, 0))
			}
		}
		if err := s.commit(ctx, transport.Ordinary, 4*time.Second, conds, then...); err != nil {
			failed = err
		}
	}
	return failed
}

// SaveCatalog records the catalogue, so that a controller that starts while
// the cloud is silent knows the machine types.
func (s *Store) SaveCatalog(ctx context.Context, c protocol.Catalog) error {
	return s.commit(ctx, transport.Ordinary, 3*time.Second, nil, set(keyCatalog, c, 0))
}
