package bookkeeping

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
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

// ---- jobs

// userPatience is how long a user's request may wait for the state service.
const userPatience = 1700 * time.Millisecond

// CreateJob records a job as accepted, cancelled from the start if one that it
// needs was: with names that. ErrConflict: the id is known already.
func (s *Store) CreateJob(ctx context.Context, spec *protocol.JobSpec, with string) error {
	rec := &jobRecord{Spec: spec, State: protocol.Pending, AcceptedMs: time.Now().UnixMilli()}
	if with != "" {
		now := time.Now()
		rec = s.brief((&Job{Spec: spec, Accepted: now}).ended(protocol.Cancelled, with, now))
	}
	if !s.fits(rec) {
		parts, sum, err := s.divide(spec)
		if err == nil {
			err = s.writeParts(ctx, spec.ID, sum, parts)
		}
		if err != nil {
			return err
		}
		rec.Spec, rec.Parts, rec.Sum = nil, len(parts), sum
	}
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
		if err == nil && r != nil {
			err = s.whole(ctx, id, r)
		}
		if err != nil {
			return nil, err
		}
		if r != nil && r.Spec == nil {
			return nil, fmt.Errorf("record %s describes no job", key)
		}
		if r != nil {
			j := (*Job)(nil).withRecord(r, version)
			j.Ready, j.Archived = j.Accepted, key == overKey(id)
			return j, nil
		}
	}
	return nil, nil
}

// ReadOver reads the record of a job that is probably long over, by one request
// if it is.
func (s *Store) ReadOver(ctx context.Context, id string) (*Job, error) {
	r, version, err := get[jobRecord](ctx, s, transport.Urgent, userPatience, overKey(id))
	if err != nil || r == nil || r.Spec == nil {
		if err == nil {
			return s.ReadJob(ctx, id)
		}
		return nil, err
	}
	j := (*Job)(nil).withRecord(r, version)
	j.Archived = true
	return j, nil
}

// ListOver reads records of jobs that are over, so many at most, in the order of
// their ids and from the one given on. Whoever looks for many that lie close
// together needs few requests.
func (s *Store) ListOver(ctx context.Context, from string, most int) (map[string]*Job, error) {
	last := len(from) - 1
	page, err := s.state.List(ctx, transport.Urgent, overPrefix, overKey(from[:last])+string(from[last]-1)+"~", most)
	if err != nil {
		return nil, err
	}
	out := map[string]*Job{}
	for _, p := range page.Pairs {
		id, _ := under(p.Key, overPrefix)
		if r := parse[jobRecord](p.Key, p.Value, false); r != nil && r.Spec != nil {
			j := (*Job)(nil).withRecord(r, p.Version)
			j.Archived = true
			out[id] = j
		}
	}
	return out, nil
}

// over is the one change that ends a job. It is made in place: moving the
// record to those that are over takes two changes more, which may wait until
// there is nothing better to write (Archive).
func (s *Store) over(j *Job, state string) protocol.Change {
	return set(jobKey(j.Spec.ID), s.brief(j.ended(state, "", time.Now())), 0)
}

// Archive moves jobs that are over to where a controller that starts does not
// read them, and drops their results. A job whose record changed meanwhile
// fails only those written with it. For a job that was cancelled with another
// one it is the first record that says so.
func (s *Store) Archive(ctx context.Context, jobs []*Job) {
	var conds []protocol.Condition
	var then []protocol.Change
	write := func() bool {
		err := s.commit(ctx, transport.Deferred, 10*time.Second, conds, then...)
		conds, then = nil, nil
		return err == nil
	}
	for _, j := range jobs {
		drops := dropsOf(j)
		// A job of a great many tasks has more results than a transaction takes.
		for ; len(drops) > s.txnOps-2; drops = drops[s.txnOps-2:] {
			if s.commit(ctx, transport.Deferred, 10*time.Second, nil, drops[:s.txnOps-2]...) != nil {
				return
			}
		}
		if len(then)+len(drops)+2 > s.txnOps && !write() {
			return
		}
		ended := j.Ended
		if j.Record == protocol.Pending {
			ended = time.Now()
		}
		id, rec := j.Spec.ID, j.ended(j.State, j.With, ended)
		if ended.IsZero() {
			rec.EndedMs = 0 // the version before chains did not say
		}
		rec.Parts, rec.Sum = 0, ""
		conds = append(conds, protocol.Condition{Key: jobKey(id), Version: j.Version})
		then = append(then, set(overKey(id), s.brief(rec), 0), protocol.Change{Drop: jobKey(id)})
		then = append(then, drops...)
	}
	if len(then) > 0 {
		write()
	}
}

// CancelJob makes a job cancelled unless it is over already; the job that
// it gives back is as it stands afterwards, nil if it was never accepted.
// Those that need it are cancelled by the same record (chains).
func (s *Store) CancelJob(ctx context.Context, id string) (*Job, error) {
	for range 4 {
		j, err := s.ReadJob(ctx, id)
		if err != nil || j == nil || j.Final() {
			return j, err
		}
		err = s.commit(ctx, transport.Vital, userPatience, []protocol.Condition{{Key: jobKey(id), Version: j.Version}},
			s.over(j, protocol.Cancelled))
		if err == nil {
			j.Record, j.State = protocol.Cancelled, protocol.Cancelled
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
	ends := o.Finishes()
	for c := range byChunk {
		if !ends && len(byChunk) > s.txnOps {
			delete(byChunk, c) // a transaction takes no more; the rest comes next
		}
	}
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
	if ends {
		for c, ch := range o.Job.Results {
			if byChunk[c] == nil {
				conds = append(conds, protocol.Condition{Key: resultKey(id, c), Version: ch.Version})
			}
		}
		then = []protocol.Change{s.over(o.Job, protocol.Done)}
	}
	return conds, then
}

// MostOutcomes is for how many jobs results should be written at once.
func (s *Store) MostOutcomes() int { return s.txnOps }

// Record writes outcomes, as many in one transaction as it may hold. A
// condition that fails fails all of them: then each is tried alone.
func (s *Store) Record(ctx context.Context, u transport.Urgency, outcomes []Outcome) {
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
		if err := s.commit(ctx, u, 3*time.Second, conds, then...); errors.Is(err, ErrConflict) && n > 1 {
			for _, o := range batch {
				s.Record(ctx, u, []Outcome{o})
			}
		}
	}
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

// ---- machines

// Machines reads the registry afresh.
func (s *Store) Machines(ctx context.Context) ([]*Machine, error) {
	var out []*Machine
	from := ""
	for {
		page, err := s.state.List(ctx, transport.Vital, lotPrefix, from, transport.MaxPage)
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
	for part, l := range s.divided(name, l) {
		err := s.commit(ctx, u, 4*time.Second, []protocol.Condition{{Key: lotKey(part)}}, set(lotKey(part), l, 0))
		// One that is there already was written by an earlier try.
		if err != nil && !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return nil
}

// DropMachines takes machines that are gone out of the lots given, as these
// were last seen. A lot that changed meanwhile fails only those written with it.
func (s *Store) DropMachines(ctx context.Context, ids map[string]bool, lots map[string]*Lot) error {
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
	for _, name := range slices.Sorted(maps.Keys(lots)) {
		l := *lots[name]
		seen := protocol.Condition{Key: lotKey(name), Version: l.Version}
		l.Machines = slices.DeleteFunc(slices.Clone(l.Machines), func(id string) bool { return ids[id] })
		change := set(lotKey(name), l, 0)
		if rest := l.Machines; len(rest) > 0 && !s.fits(l) {
			// It was stored when values could be larger. The rest is registered
			// anew first: a machine that no lot names counts as gone.
			if err := s.AddLot(ctx, transport.Ordinary, name+"."+rest[0], l); err != nil {
				failed = err
				continue
			}
			l.Machines = nil
		}
		if len(l.Machines) == 0 {
			change = protocol.Change{Drop: lotKey(name)}
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
