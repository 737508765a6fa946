package bookkeeping

import (
	"context"
	"errors"
	"time"
)

// Reader waits until the replica is fresh enough to answer a query. Users ask about their jobs far more often
// than jobs change. One read of the state service that starts after a set of queries arrived serves all of
// them, so the rate of reads is bounded whatever the number of users. Reader is an actor.
type Reader struct {
	store *Store
	// OnArchived is called with each archived job that had to be read; it may be nil.
	OnArchived func(*Job)
	queries    chan query
	revisions  chan uint64
	results    chan readResult

	queued          []query // queries for the next read
	awaitingReplica []query // queries waiting for the replica to catch up
	revision        uint64  // revision that the replica has reached
	inFlight        int
	lastReadAt      time.Time // start of the last read
}

// query is a request that waits for an answer; id is set if it is about a job that the replica does not have.
type query struct {
	id          string
	received    time.Time
	minRevision uint64 // revision that the replica must reach
	answer      chan<- queryResult
}

type queryResult struct {
	job *Job
	err error
}

type readResult struct {
	queries  []query
	revision uint64
	recorded map[string]bool
	err      error
}

const (
	// readInterval is the minimum interval between the starts of reads: at most ten reads a second and
	// controller, for any number of users.
	readInterval = 100 * time.Millisecond
	// readTimeout limits one read, and FreshTimeout a whole query, well below the two seconds that users
	// wait.
	readTimeout  = 800 * time.Millisecond
	FreshTimeout = 1400 * time.Millisecond
	// maxConcurrentReads limits the reads in flight, maxQueuedQueries the queries that wait.
	maxConcurrentReads = 9
	maxQueuedQueries   = 4096
)

// ErrBusy means that too many queries are queued.
var ErrBusy = errors.New("too many questions at a time")

// NewReader returns a reader.
func NewReader(s *Store) *Reader {
	return &Reader{store: s, queries: make(chan query), revisions: make(chan uint64), results: make(chan readResult)}
}

// CaughtUp is called with the revision that the replica has reached.
func (r *Reader) CaughtUp(ctx context.Context, revision uint64) {
	select {
	case r.revisions <- revision:
	case <-ctx.Done():
	}
}

// WaitFresh waits until the replica holds everything that was recorded before the call.
func (r *Reader) WaitFresh(ctx context.Context) error {
	_, err := r.ask(ctx, "")
	return err
}

// Find looks up a job that the replica did not have when the caller asked it. A nil job without an error was
// never accepted.
func (r *Reader) Find(ctx context.Context, id string) (*Job, error) { return r.ask(ctx, id) }

func (r *Reader) ask(ctx context.Context, id string) (*Job, error) {
	answer := make(chan queryResult, 1)
	select {
	case r.queries <- query{id: id, received: time.Now(), answer: answer}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case v := <-answer:
		return v.job, v.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Run answers queries until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-r.queries:
			if len(r.queued) >= maxQueuedQueries {
				q.answer <- queryResult{err: ErrBusy}
				continue
			}
			r.queued = append(r.queued, q)
		case r.revision = <-r.revisions:
			r.answerCaughtUp()
		case res := <-r.results:
			r.inFlight--
			r.deliver(ctx, res)
		case <-next.C:
		}
		if wait := readInterval - time.Since(r.lastReadAt); len(r.queued) > 0 && r.inFlight < maxConcurrentReads {
			if wait <= 0 {
				r.startRead(ctx)
			} else {
				next.Reset(wait)
			}
		}
	}
}

// startRead starts one read for all queued queries. Queries about unknown jobs are limited to what one
// transaction can check.
func (r *Reader) startRead(ctx context.Context) {
	var batch, later []query
	var ids []string
	for _, q := range r.queued {
		switch {
		case time.Since(q.received) > FreshTimeout: // the caller has given up
		case q.id == "":
			batch = append(batch, q)
		case len(ids) < r.store.maxRecordedChecks():
			batch, ids = append(batch, q), append(ids, q.id)
		default:
			later = append(later, q)
		}
	}
	r.queued = later
	if len(batch) == 0 {
		return
	}
	r.lastReadAt = time.Now()
	r.inFlight++
	go func() {
		res := readResult{queries: batch}
		res.revision, res.recorded, res.err = r.store.checkRecorded(ctx, readTimeout, ids)
		select {
		case r.results <- res:
		case <-ctx.Done():
		}
	}()
}

// deliver processes the result of a read.
func (r *Reader) deliver(ctx context.Context, res readResult) {
	for _, q := range res.queries {
		switch {
		case res.err != nil:
			q.answer <- queryResult{err: res.err}
		case q.id == "":
			q.minRevision = res.revision
			r.awaitingReplica = append(r.awaitingReplica, q)
		case res.recorded[q.id]:
			go r.readJob(ctx, q)
		default:
			q.answer <- queryResult{}
		}
	}
	r.answerCaughtUp()
}

// readJob reads the record of a job that the replica does not have. OnArchived gets an archived job even if the
// read was too late for the caller. Without that, queries about such jobs were never answered after a restart
// while the state service was slow.
func (r *Reader) readJob(ctx context.Context, q query) {
	j, err := r.store.ReadJob(ctx, q.id)
	if err == nil && j != nil && j.Archived && r.OnArchived != nil {
		r.OnArchived(j)
	}
	q.answer <- queryResult{j, err}
}

// answerCaughtUp answers the queries for which the replica is now fresh enough.
func (r *Reader) answerCaughtUp() {
	remaining := r.awaitingReplica[:0]
	for _, q := range r.awaitingReplica {
		switch {
		case q.minRevision <= r.revision:
			q.answer <- queryResult{}
		case time.Since(q.received) < FreshTimeout:
			remaining = append(remaining, q)
		}
	}
	clear(r.awaitingReplica[len(remaining):])
	r.awaitingReplica = remaining
}
