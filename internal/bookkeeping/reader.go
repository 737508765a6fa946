package bookkeeping

import (
	"context"
	"errors"
	"time"
)

// Reader tells whether the replica is as new as a question. Users ask about
// their jobs far more often than jobs change: one read of the state service
// that begins after their questions came answers all of them, so that what
// asking costs grows with time and not with the number of users. It is an
// actor of its own.
type Reader struct {
	store *Store
	// Found is given the jobs that are over and had to be read; it may be nil.
	Found  func(*Job)
	asks   chan question
	caught chan uint64
	read   chan reading

	waiting  []question // for the next read
	behind   []question // for the replica to catch up
	revision uint64     // that the replica has reached
	inFlight int
	begun    time.Time // the last read
}

// question is one that waits for an answer; id is set if the replica knows
// nothing of the job.
type question struct {
	id     string
	came   time.Time
	needs  uint64 // the revision that the replica must reach
	answer chan<- verdict
}

type verdict struct {
	job *Job
	err error
}

type reading struct {
	of       []question
	revision uint64
	recorded map[string]bool
	err      error
}

const (
	// readEvery is how far apart reads begin at least: ten a second and
	// controller, however many users ask.
	readEvery = 100 * time.Millisecond
	// readPatience bounds a read, and FreshWithin a question in all, well
	// below the two seconds that users wait.
	readPatience = 800 * time.Millisecond
	FreshWithin  = 1400 * time.Millisecond
	// maxReads is how many reads may hang at a time, maxWaiting how many
	// questions may wait.
	maxReads   = 9
	maxWaiting = 4096
)

// ErrBusy says that too many questions wait already.
var ErrBusy = errors.New("too many questions at a time")

// NewReader makes a reader.
func NewReader(s *Store) *Reader {
	return &Reader{store: s, asks: make(chan question), caught: make(chan uint64), read: make(chan reading)}
}

// Caught is told how far the replica has come.
func (r *Reader) Caught(ctx context.Context, revision uint64) {
	select {
	case r.caught <- revision:
	case <-ctx.Done():
	}
}

// Fresh waits until the replica holds all that was recorded before the call.
func (r *Reader) Fresh(ctx context.Context) error {
	_, err := r.ask(ctx, "")
	return err
}

// Find looks for a job that the replica did not have when it was asked; nil
// without an error means that it was never accepted.
func (r *Reader) Find(ctx context.Context, id string) (*Job, error) { return r.ask(ctx, id) }

func (r *Reader) ask(ctx context.Context, id string) (*Job, error) {
	answer := make(chan verdict, 1)
	select {
	case r.asks <- question{id: id, came: time.Now(), answer: answer}:
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

// Run answers questions until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-r.asks:
			if len(r.waiting) >= maxWaiting {
				q.answer <- verdict{err: ErrBusy}
				continue
			}
			r.waiting = append(r.waiting, q)
		case r.revision = <-r.caught:
			r.catchUp()
		case res := <-r.read:
			r.inFlight--
			r.take(ctx, res)
		case <-next.C:
		}
		if wait := readEvery - time.Since(r.begun); len(r.waiting) > 0 && r.inFlight < maxReads {
			if wait <= 0 {
				r.begin(ctx)
			} else {
				next.Reset(wait)
			}
		}
	}
}

// begin starts one read for all that wait; of those that the replica knows
// nothing of, as many as one comparison takes.
func (r *Reader) begin(ctx context.Context) {
	var of, later []question
	var ids []string
	for _, q := range r.waiting {
		switch {
		case time.Since(q.came) > FreshWithin: // nobody waits for it any more
		case q.id == "":
			of = append(of, q)
		case len(ids) < r.store.mostUnknown():
			of, ids = append(of, q), append(ids, q.id)
		default:
			later = append(later, q)
		}
	}
	r.waiting = later
	if len(of) == 0 {
		return
	}
	r.begun = time.Now()
	r.inFlight++
	go func() {
		res := reading{of: of}
		res.revision, res.recorded, res.err = r.store.present(ctx, readPatience, ids)
		select {
		case r.read <- res:
		case <-ctx.Done():
		}
	}()
}

// take gives a read's answers.
func (r *Reader) take(ctx context.Context, res reading) {
	for _, q := range res.of {
		switch {
		case res.err != nil:
			q.answer <- verdict{err: res.err}
		case q.id == "":
			q.needs = res.revision
			r.behind = append(r.behind, q)
		case res.recorded[q.id]:
			go r.readJob(ctx, q)
		default:
			q.answer <- verdict{}
		}
	}
	r.catchUp()
}

// readJob reads the record of a job that the replica does not have. One that is over stays at hand, also
// if it was read too late for who asked: once, after a restart, nobody was ever answered about such
// jobs while the state service was slow.
func (r *Reader) readJob(ctx context.Context, q question) {
	j, err := r.store.ReadJob(ctx, q.id)
	if err == nil && j != nil && j.Archived && r.Found != nil {
		r.Found(j)
	}
	q.answer <- verdict{j, err}
}

// catchUp answers those for whom the replica is new enough by now.
func (r *Reader) catchUp() {
	left := r.behind[:0]
	for _, q := range r.behind {
		switch {
		case q.needs <= r.revision:
			q.answer <- verdict{}
		case time.Since(q.came) < FreshWithin:
			left = append(left, q)
		}
	}
	clear(r.behind[len(left):])
	r.behind = left
}
