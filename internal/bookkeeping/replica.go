package bookkeeping

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Listener hears of every change of the records, in order, on the replica's
// goroutine; it must pass it on without waiting for the replica.
type Listener interface {
	JobChanged(*Job)
	MemberChanged(name string, m *Member)
	LeaderChanged(*Leader)
	WindowChanged(*Window)
	SlotChanged(slot int, s *Slot)
	RentalBatchChanged(name string, l *RentalBatch)
	MachineChanged(id string, m *Machine)
	CatalogChanged(*protocol.Catalog)
	QuotasChanged(*Quotas)
	// Synced: the replica held all changes up to now, where now is when the
	// request was sent that showed it.
	Synced(now time.Time)
}

// Replica follows the records and tells listeners. It is an actor of its own.
type Replica struct {
	store   *Store
	to      Listener
	jobs    map[string]*Job
	over    []string        // jobs that are over, in the order in which they ended
	known   map[string]bool // other keys that exist
	batches map[string]*RentalBatch
	// homes is in how many batches a machine stands: more than one if it was
	// found by several at once.
	homes map[string]int
	early map[string]map[int]Chunk
	// chains are the jobs that name one another.
	chains *chains
	// divided are jobs whose descriptions stand in parts that are not read yet.
	divided map[string]bool
	// finding: what the records don't tell is being read; found are answers.
	finding  bool
	findFrom time.Time
	found    chan []finding
	catalog  catalogParts
	// delayed are jobs whose time has not come.
	delayed map[string]time.Time
	quotas  quotaParts
	// caught hears up to which revision the listeners were told everything.
	caught func(revision uint64)
	// placeOf gives a job its place on the ring.
	placeOf func(*protocol.JobSpec) Seat
	// Block is how long one wait for changes may last; 0 is as usual.
	Block time.Duration
}

// NewReplica makes a replica; weigh gives a job's own urgency.
func NewReplica(st *Store, placeOf func(*protocol.JobSpec) Seat, weigh func(*Job) Urgency, to Listener, caught func(uint64)) *Replica {
	return &Replica{store: st, to: to, caught: caught, jobs: map[string]*Job{}, known: map[string]bool{}, batches: map[string]*RentalBatch{},
		homes: map[string]int{}, early: map[string]map[int]Chunk{}, placeOf: placeOf, chains: newChains(weigh),
		divided: map[string]bool{}, delayed: map[string]time.Time{}, found: make(chan []finding, 1)}
}

// watchBlock bounds one wait for changes, unless Block does, and so how stale a replica can be
// while it believes to be fresh.
const watchBlock = 3 * time.Second

// Run follows the records until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var from uint64
	loaded := false
	for ctx.Err() == nil {
		sent := time.Now()
		var err error
		if !loaded {
			from, err = r.load(ctx)
			loaded = err == nil
		} else {
			var ev protocol.Events
			block := cmp.Or(r.Block, watchBlock)
			if r.find(ctx) {
				block = findBlock
			}
			ev, err = r.store.state.Watch(ctx, Root, from, block)
			if err == nil {
				for _, e := range ev.Events {
					r.apply(e.Set+e.Drop, e.Drop != "", e.Value, e.Version)
				}
				from = max(from, ev.Revision)
			} else if errors.Is(err, transport.ErrTooOld) {
				loaded = false
				continue
			}
		}
		if err != nil {
			slog.Debug("replica cannot follow", "err", err)
			pause(ctx, 300*time.Millisecond)
			continue
		}
		select {
		case found := <-r.found:
			r.learn(found)
		default:
		}
		r.due(time.Now())
		r.caught(from)
		r.to.Synced(sent)
	}
}

// What the records at hand don't tell is read a few jobs at a time, beside the
// watch, which meanwhile waits for no longer than findBlock. findAgain is when
// what could not be found out is asked for again.
const (
	findBlock = 100 * time.Millisecond
	findMost  = 8
	findAgain = 500 * time.Millisecond
)

// finding is what was read of a job, nil if it was never accepted.
type finding struct {
	id  string
	job *Job
	err error
}

// find has jobs looked up that others name and that the replica doesn't have,
// being long over, and such whose descriptions stand in parts. It tells whether
// an answer is due soon.
func (r *Replica) find(ctx context.Context) bool {
	ids := r.chains.lookUps(findMost)
	for id := range r.divided {
		if len(ids) == 2*findMost {
			break
		}
		ids = append(ids, id)
	}
	if len(ids) == 0 || r.finding || time.Now().Before(r.findFrom) {
		return r.finding
	}
	r.finding = true
	go func() {
		var out []finding
		for _, id := range ids {
			j, err := r.store.ReadOver(ctx, id)
			out = append(out, finding{id, j, err})
		}
		r.found <- out // there is room: nothing else is asked for meanwhile
	}()
	return true
}

// learn takes in what was found.
func (r *Replica) learn(found []finding) {
	r.finding = false
	for _, f := range found {
		switch {
		case f.err != nil:
			r.findFrom = time.Now().Add(findAgain)
			slog.Debug("job not looked up", "job", f.id, "err", f.err)
		case r.divided[f.id] && f.job != nil:
			delete(r.divided, f.id)
			if r.jobs[f.id] == nil {
				r.put(f.id, f.job)
			}
		case f.job != nil && !f.job.Final():
			r.findFrom = time.Now().Add(findAgain) // it is about to come by the watch
		default:
			if f.job == nil {
				slog.Error("a record names a job that was never accepted", "job", f.id)
			}
			r.publish(r.chains.learn(f.id, f.job))
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// load reads all records but those of jobs that are over, which only grow in
// number. Watching goes on from the first page's revision, so that no change
// is missed between pages.
func (r *Replica) load(ctx context.Context) (uint64, error) {
	var first uint64
	from := ""
	seen := map[string]bool{}
	for {
		page, err := r.store.state.List(ctx, transport.Vital, Root, from, transport.MaxPage)
		if err != nil {
			return 0, err
		}
		if from == "" {
			first = page.Revision
		}
		end := !page.More || len(page.Pairs) == 0
		for _, p := range page.Pairs {
			if _, over := under(p.Key, overPrefix); over {
				end = true
				break
			}
			seen[p.Key] = true
			r.apply(p.Key, false, p.Value, p.Version)
			from = p.Key
		}
		if end {
			break
		}
	}
	clear(r.early) // results that a job of a great many tasks left behind
	for id, j := range r.jobs {
		if final(j.Record) || seen[jobKey(id)] {
			continue
		}
		// It ended while the replica could not follow.
		p, found, err := r.store.state.Get(ctx, transport.Vital, 3*time.Second, overKey(id))
		if err != nil {
			return 0, err
		}
		if found {
			r.apply(p.Key, false, p.Value, p.Version)
		}
	}
	for key := range r.known {
		if !seen[key] {
			r.apply(key, true, nil, first)
		}
	}
	return first, nil
}

func parse[T any](key string, raw json.RawMessage, dropped bool) *T {
	if dropped {
		return nil
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		slog.Error("senseless record", "key", key, "err", err)
		return nil
	}
	return v
}

// apply takes in a change of a record.
func (r *Replica) apply(key string, dropped bool, raw json.RawMessage, version uint64) {
	if id, ok := under(key, jobPrefix); ok {
		r.applyJob(key, id, false, parse[jobRecord](key, raw, dropped), version)
		return
	}
	if id, ok := under(key, overPrefix); ok {
		r.applyJob(key, id, true, parse[jobRecord](key, raw, dropped), version)
		return
	}
	if id, i, ok := splitResult(key); ok {
		if rec := parse[chunkRecord](key, raw, dropped); rec != nil {
			r.result(id, i, Chunk{Bits: rec.Bits, Version: version})
		}
		return
	}
	if dropped {
		delete(r.known, key)
	} else {
		r.known[key] = true
	}
	r.applyShared(key, dropped, raw, version)
}

// applyJob takes in a job's record, nil if it was dropped: that says nothing, since the job is over
// and the record that says so came with it.
func (r *Replica) applyJob(key, id string, archived bool, rec *jobRecord, version uint64) {
	switch {
	case rec == nil:
	case rec.Spec == nil && r.jobs[id] == nil && rec.Parts > 0:
		r.divided[id] = true
	case rec.Spec == nil && r.jobs[id] == nil:
		slog.Error("senseless record", "key", key)
	default:
		delete(r.divided, id)
		j := r.jobs[id].withRecord(rec, version)
		if archived && !j.Archived {
			moved := *j
			moved.Archived, j = true, &moved
		}
		r.put(id, j)
	}
}

// applyShared takes in a record that all controllers go by: sessions, slots, batches, the leader, the
// window, accounts and the catalogue.
func (r *Replica) applyShared(key string, dropped bool, raw json.RawMessage, version uint64) {
	if name, ok := under(key, memberPrefix); ok {
		m := parse[Member](key, raw, dropped)
		if m != nil {
			m.Version = version
		}
		r.to.MemberChanged(name, m)
	} else if num, ok := under(key, slotPrefix); ok {
		slot, err := strconv.Atoi(num)
		s := parse[Slot](key, raw, dropped)
		if s != nil && err == nil {
			s.unpack()
			s.Version = version
			r.to.SlotChanged(slot, s)
		}
	} else if name, ok := under(key, batchPrefix); ok {
		l := parse[RentalBatch](key, raw, dropped)
		if l != nil {
			l.Version = version
		}
		if l != nil || dropped {
			r.applyRentalBatch(name, l)
		}
	} else if key == keyLeader {
		l := parse[Leader](key, raw, dropped)
		if l != nil {
			l.Version = version
		}
		r.to.LeaderChanged(l)
	} else if key == keyWindow {
		if w := parse[Window](key, raw, dropped); w != nil {
			w.Version = version
			r.to.WindowChanged(w)
		}
	} else if key == keyQuotas || strings.HasPrefix(key, quotaPrefix) {
		if q := r.quotas.take(key, raw, version, dropped); q != nil {
			r.to.QuotasChanged(q)
		}
	} else if key == keyCatalog || strings.HasPrefix(key, catalogPrefix) {
		if rec := parse[catalogRecord](key, raw, dropped); rec != nil {
			if c := r.catalog.take(*rec, version); c != nil {
				r.to.CatalogChanged(c)
			}
		}
	}
}
