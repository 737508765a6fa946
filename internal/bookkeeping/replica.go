package bookkeeping

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Listener receives every change of the records, in order, on the replica's goroutine. It must not block on the
// replica.
type Listener interface {
	JobChanged(*Job)
	MemberChanged(name string, m *Member)
	LeaderChanged(*Leader)
	WindowChanged(*Window)
	SlotChanged(slot int, s *Slot)
	RentalBatchChanged(name string, batch *RentalBatch)
	MachineChanged(id string, m *Machine)
	CatalogChanged(*protocol.Catalog)
	QuotasChanged(*Quotas)
	// Synced: the replica has applied all changes made before now, which is the time at which the last
	// successful read of the changes was sent.
	Synced(now time.Time)
}

// Replica follows the records in the state service and notifies a listener. It is an actor.
type Replica struct {
	store     *Store
	listener  Listener
	jobs      map[string]*Job
	finished  []string        // jobs that are over, in the order in which this replica learned of it
	knownKeys map[string]bool // existing keys of records other than jobs and results
	batches   map[string]*RentalBatch
	// batchCounts is the number of batches that contain a machine. It exceeds one if several controllers
	// found the machine at once.
	batchCounts map[string]int
	// earlyResults are results of jobs that are not known yet: their records or descriptions have not arrived.
	earlyResults map[string]map[int]Chunk
	// dependencies is the graph of jobs that name one another.
	dependencies *dependencyGraph
	// incomplete are the jobs whose descriptions are stored in parts that are not read yet.
	incomplete map[string]incompleteJob
	// lookupActive: jobs are being looked up in the state service; lookups receives the results.
	lookupActive bool
	nextLookup   time.Time
	lookups      chan []lookupResult
	catalog      catalogAssembler
	// delayed are the jobs whose earliest start lies in the future.
	delayed map[string]time.Time
	quotas  quotaAssembler
	// caughtUp is told the revision up to which the listener has been notified.
	caughtUp func(revision uint64)
	// positionOf returns a job's position on the ring.
	positionOf func(*protocol.JobSpec) RingPosition
	// WatchTimeout limits one wait for changes; 0 means the default.
	WatchTimeout time.Duration
}

// NewReplica returns a replica; urgencyOf returns a job's own urgency.
func NewReplica(store *Store, positionOf func(*protocol.JobSpec) RingPosition, urgencyOf func(*Job) Urgency, listener Listener, caughtUp func(uint64)) *Replica {
	return &Replica{
		store:        store,
		listener:     listener,
		positionOf:   positionOf,
		caughtUp:     caughtUp,
		jobs:         map[string]*Job{},
		knownKeys:    map[string]bool{},
		batches:      map[string]*RentalBatch{},
		batchCounts:  map[string]int{},
		earlyResults: map[string]map[int]Chunk{},
		incomplete:   map[string]incompleteJob{},
		delayed:      map[string]time.Time{},
		dependencies: newDependencyGraph(urgencyOf),
		lookups:      make(chan []lookupResult, 1),
	}
}

// defaultWatchTimeout limits one wait for changes, and so how stale a replica can be while it considers itself
// up to date.
const defaultWatchTimeout = 3 * time.Second

// Run follows the records until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var from uint64
	loaded := false
	for ctx.Err() == nil {
		sent := time.Now()
		var err error
		if loaded {
			from, err = r.watch(ctx, from)
		} else {
			from, err = r.load(ctx)
			loaded = err == nil
		}
		if errors.Is(err, transport.ErrTooOld) {
			loaded = false
			continue
		}
		if err != nil {
			slog.Debug("replica can't read changes", "err", err)
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		select {
		case found := <-r.lookups:
			r.applyLookups(found)
		default:
		}
		r.publishDue(time.Now())
		r.caughtUp(from)
		r.listener.Synced(sent)
	}
}

// watch waits for changes after a revision, takes them in, and returns the revision up to which they go.
func (r *Replica) watch(ctx context.Context, from uint64) (uint64, error) {
	timeout := cmp.Or(r.WatchTimeout, defaultWatchTimeout)
	if r.startLookups(ctx) {
		timeout = lookupWatchTimeout
	}
	changes, err := r.store.state.Watch(ctx, Root, from, timeout)
	if err != nil {
		return from, err
	}
	for _, e := range changes.Events {
		r.apply(e.Set+e.Drop, e.Drop != "", e.Value, e.Version)
	}
	return max(from, changes.Revision), nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// load reads all records except the archive, which grows without bound. Watching continues from the revision of
// the first page, so that changes made between pages are not missed.
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
			if _, over := keySuffix(p.Key, archivePrefix); over {
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
	r.dropLeftoverResults()
	if err := r.applyEndedMeanwhile(ctx, seen); err != nil {
		return 0, err
	}
	for key := range r.knownKeys {
		if !seen[key] {
			r.apply(key, true, nil, first)
		}
	}
	return first, nil
}

// applyEndedMeanwhile takes in the records of jobs that ended while the replica was disconnected: those that it took
// for unfinished and that were not among the records seen in a load.
func (r *Replica) applyEndedMeanwhile(ctx context.Context, seen map[string]bool) error {
	unfinished := slices.Collect(maps.Keys(r.incomplete))
	for id, j := range r.jobs {
		if !final(j.RecordedState) {
			unfinished = append(unfinished, id)
		}
	}
	for _, id := range unfinished {
		if seen[jobKey(id)] {
			continue
		}
		p, found, err := r.store.state.Get(ctx, transport.Vital, 3*time.Second, archiveKey(id))
		if err != nil {
			return err
		}
		if found {
			r.apply(p.Key, false, p.Value, p.Version)
		}
	}
	return nil
}

// dropLeftoverResults drops the results of jobs that ended with more chunks than one transaction drops. Every job
// that has not ended is listed by now, but its description may still have to be read.
func (r *Replica) dropLeftoverResults() {
	for id := range r.earlyResults {
		if _, waits := r.incomplete[id]; !waits {
			delete(r.earlyResults, id)
		}
	}
}

func parse[T any](key string, raw json.RawMessage, dropped bool) *T {
	if dropped {
		return nil
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		slog.Error("malformed record", "key", key, "err", err)
		return nil
	}
	return v
}

// apply takes in a change of one record.
func (r *Replica) apply(key string, dropped bool, raw json.RawMessage, version uint64) {
	if id, ok := keySuffix(key, jobPrefix); ok {
		r.applyJob(key, id, false, parse[jobRecord](key, raw, dropped), version)
		return
	}
	if id, ok := keySuffix(key, archivePrefix); ok {
		r.applyJob(key, id, true, parse[jobRecord](key, raw, dropped), version)
		return
	}
	if id, i, ok := parseResultKey(key); ok {
		if rec := parse[chunkRecord](key, raw, dropped); rec != nil {
			r.applyResult(id, i, Chunk{Bits: rec.Bits, Version: version})
		}
		return
	}
	if dropped {
		delete(r.knownKeys, key)
	} else {
		r.knownKeys[key] = true
	}
	r.applyShared(key, dropped, raw, version)
}

// applyJob takes in a job's record. A nil record was dropped, which needs no action: the job is over, and its
// archive record was written in the same transaction.
func (r *Replica) applyJob(key, id string, archived bool, rec *jobRecord, version uint64) {
	switch {
	case rec == nil:
	case rec.Spec == nil && r.jobs[id] == nil && rec.PartCount > 0:
		r.keepIncomplete(id, rec, version)
	case rec.Spec == nil && r.jobs[id] == nil:
		slog.Error("malformed record", "key", key)
	default:
		delete(r.incomplete, id)
		j := r.jobs[id].withRecord(rec, version)
		if archived && !j.Archived {
			moved := *j
			moved.Archived, j = true, &moved
		}
		r.updateJob(id, j)
	}
}

// applyShared takes in a record that all controllers share: sessions, slots, batches, the leader, the window,
// quotas and the catalogue.
func (r *Replica) applyShared(key string, dropped bool, raw json.RawMessage, version uint64) {
	if name, ok := keySuffix(key, memberPrefix); ok {
		r.applyMember(name, parse[Member](key, raw, dropped), version)
	} else if number, ok := keySuffix(key, slotPrefix); ok {
		r.applySlot(number, parse[Slot](key, raw, dropped), version)
	} else if name, ok := keySuffix(key, batchPrefix); ok {
		r.applyBatchRecord(name, parse[RentalBatch](key, raw, dropped), dropped, version)
	} else if key == keyLeader {
		r.applyLeader(parse[Leader](key, raw, dropped), version)
	} else if key == keyWindow {
		r.applyWindow(parse[Window](key, raw, dropped), version)
	} else if key == keyQuotas || strings.HasPrefix(key, quotaPrefix) {
		if q := r.quotas.update(key, raw, version, dropped); q != nil {
			r.listener.QuotasChanged(q)
		}
	} else if key == keyCatalog || strings.HasPrefix(key, catalogPrefix) {
		r.applyCatalog(parse[catalogRecord](key, raw, dropped), version)
	}
}

// applyMember takes in the record of a controller's session, nil if it was dropped.
func (r *Replica) applyMember(name string, m *Member, version uint64) {
	if m != nil {
		m.Version = version
	}
	r.listener.MemberChanged(name, m)
}

// applySlot takes in the record of a slot. Slots are never dropped.
func (r *Replica) applySlot(number string, s *Slot, version uint64) {
	slot, err := strconv.Atoi(number)
	if s == nil || err != nil {
		return
	}
	s.unpackRoster()
	s.Version = version
	r.listener.SlotChanged(slot, s)
}

// applyBatchRecord takes in the record of a batch of machines; a nil one that was not dropped is malformed.
func (r *Replica) applyBatchRecord(name string, batch *RentalBatch, dropped bool, version uint64) {
	if batch != nil {
		batch.Version = version
	}
	if batch != nil || dropped {
		r.applyRentalBatch(name, batch)
	}
}

// applyLeader takes in the leader's record, nil if it was dropped.
func (r *Replica) applyLeader(l *Leader, version uint64) {
	if l != nil {
		l.Version = version
	}
	r.listener.LeaderChanged(l)
}

// applyWindow takes in the record of the newest window, which is never dropped.
func (r *Replica) applyWindow(w *Window, version uint64) {
	if w == nil {
		return
	}
	w.Version = version
	r.listener.WindowChanged(w)
}

// applyCatalog takes in the catalogue or a part of it.
func (r *Replica) applyCatalog(record *catalogRecord, version uint64) {
	if record == nil {
		return
	}
	if c := r.catalog.add(*record, version); c != nil {
		r.listener.CatalogChanged(c)
	}
}
