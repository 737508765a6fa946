package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
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
	s := &State{store: newStore(), changed: make(chan struct{}), refuses: map[string]bool{}, losesNext: map[string]string{}, lags: map[string]time.Duration{}, page: pageKeys, rng: rand.New(rand.NewPCG(0, 0x57a7e))}
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

// Limit sets the limits that hold from now on.
func (s *State) Limit(l Limits) { s.loop.do(func() { s.limit(l) }) }

// Outage takes the service away from all, or gives it back: then all leases get their
// full time again.
func (s *State) Outage(down bool) {
	s.loop.do(func() {
		if s.down && !down {
			s.store.renewAll(time.Now())
			s.wake()
		}
		s.down = down
	})
}

// Refuse has one controller get 503 while the others are served.
func (s *State) Refuse(node string, refuse bool) {
	s.loop.do(func() { s.refuses[node] = refuse; s.wake() })
}

// Lag has a controller's watches tell it of changes so much later.
func (s *State) Lag(node string, by time.Duration) { s.loop.do(func() { s.lags[node] = by }) }

// Slow has all answers take so long.
func (s *State) Slow(by time.Duration) { s.loop.do(func() { s.slow = by }) }

// Late has transactions applied so much later, without an answer to their sender; 0
// ends it.
func (s *State) Late(by time.Duration) { s.loop.do(func() { s.late = by }) }

// Unheard has that share of transactions carried out at once, and their answers lost; 0 ends
// it.
func (s *State) Unheard(share float64) { s.loop.do(func() { s.unheard = share }) }

// LoseNext has the next transaction of a controller that changes a key with the prefix carried out at
// once, and its answer lost.
func (s *State) LoseNext(node, prefix string) { s.loop.do(func() { s.losesNext[node] = prefix }) }

// losesAnswer tells whether the answer to a transaction is lost, on the loop.
func (s stateDoor) losesAnswer(t *txn) bool {
	if prefix, next := s.losesNext[s.node]; next && slices.ContainsFunc(t.Then, func(c put) bool { return strings.HasPrefix(c.Set, prefix) && prefix != "" }) {
		delete(s.losesNext, s.node)
		return true
	}
	return s.unheard > 0 && s.rng.Float64() < s.unheard
}

// Pages bounds the keys on a page of a listing.
func (s *State) Pages(most int) { s.loop.do(func() { s.page = most }) }

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

// Handler serves one controller, or whoever else is called node.
func (s *State) Handler(node string) http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	q := stateDoor{s, node}
	r.GET("/keys", q.list)
	r.GET("/keys/*key", q.get)
	r.POST("/multi", q.multi)
	r.POST("/leases", q.open)
	r.POST("/leases/:id/touch", q.touch)
	r.DELETE("/leases/:id", q.end)
	r.GET("/changes", q.watch)
	return r
}

// stateDoor is the state service as one node reaches it.
type stateDoor struct {
	*State
	node string
}

// serve does f on the loop, if the node is served at all, and answers what it gives
// once all that the answer tells is on the disk.
func (s stateDoor) serve(w http.ResponseWriter, r *http.Request, f func() (status int, body any)) {
	status, body, delay := http.StatusServiceUnavailable, any(nil), time.Duration(0)
	var kept <-chan struct{}
	s.loop.do(func() {
		if status, body = s.admit(); status == 0 {
			status, body = f()
		}
		kept, delay = s.kept(), s.slow
	})
	if kept != nil {
		select {
		case <-kept:
		case <-r.Context().Done():
			return
		}
	}
	if delay > 0 && !Pause(r.Context(), delay) {
		return
	}
	answer(w, status, body)
}

// Pause waits, unless the context ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit counts a request; a status other than 0 refuses it. On the loop.
func (s stateDoor) admit() (int, any) {
	s.counts.Requests++
	switch {
	case s.down || s.refuses[s.node]:
		s.counts.Refused++
		return http.StatusServiceUnavailable, nil
	case !s.reads.Allow():
		s.counts.Refused++
		return http.StatusTooManyRequests, nil
	}
	return 0, nil
}

func (s stateDoor) malformed(err error) (int, any) {
	s.counts.Malformed++
	return http.StatusBadRequest, problem(err.Error())
}

func problem(what string) map[string]string { return map[string]string{"error": what} }

// answer writes a response; a body that can't be written is its reader's loss.
func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}

// maxRequest bounds a request body.
const maxRequest = protocol.MaxBody + 1

func read(r *http.Request, into any) error {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err == nil && len(raw) == maxRequest {
		err = errors.New("more than 64 KiB")
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func (s stateDoor) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("limit"))
	s.serve(w, r, func() (int, any) {
		if most <= 0 {
			most = pageKeys
		}
		return http.StatusOK, s.store.list(q.Get("prefix"), q.Get("from"), min(most, s.page))
	})
}

func (s stateDoor) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	key := strings.TrimPrefix(p.ByName("key"), "/")
	s.serve(w, r, func() (int, any) {
		if pair, ok := s.store.get(key); ok {
			return http.StatusOK, *pair
		}
		return http.StatusNotFound, map[string]uint64{"ledger": s.store.revision}
	})
}

func (s stateDoor) multi(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	t := &txn{}
	err := read(r, t)
	var late time.Duration
	unheard := false
	s.loop.do(func() { late, unheard = s.late, s.losesAnswer(t) })
	if late > 0 && err == nil { // it is under way for so long, and its sender hears nothing
		s.loop.do(func() {
			s.loop.after(late, func() {
				if status, _ := s.admit(); status == 0 {
					s.transact(t)
				}
			})
		})
		Pause(r.Context(), time.Minute)
		panic(http.ErrAbortHandler)
	}
	if unheard {
		w = deafWriter{w}
	}
	s.serve(w, r, func() (int, any) {
		if err != nil {
			return s.malformed(err)
		}
		return s.transact(t)
	})
	if unheard {
		Pause(r.Context(), time.Minute)
		panic(http.ErrAbortHandler)
	}
}

// deafWriter takes an answer that its receiver never hears.
type deafWriter struct{ http.ResponseWriter }

func (deafWriter) WriteHeader(int)               {}
func (deafWriter) Write(raw []byte) (int, error) { return len(raw), nil }

// transact carries a transaction out, on the loop.
func (s stateDoor) transact(t *txn) (int, any) {
	if err := t.check(s.limits); err != nil {
		return s.malformed(err)
	}
	if n := len(t.Then); n > 0 && !s.writes.AllowN(time.Now(), n) {
		s.counts.Refused++
		return http.StatusTooManyRequests, nil
	}
	failed, err := s.store.commit(t, time.Now())
	switch {
	case err != nil:
		return http.StatusBadRequest, problem(err.Error())
	case failed != nil:
		return http.StatusConflict, protocol.TxnAnswer{Revision: s.store.revision, Failed: failed}
	}
	if len(t.Then) > 0 {
		s.applied(t.Then)
	}
	return http.StatusOK, protocol.TxnAnswer{Revision: s.store.revision}
}

// The least and the most that a lease may last.
const (
	leastTTL = 100 * time.Millisecond
	mostTTL  = 600 * time.Second
)

func (s stateDoor) open(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q protocol.LeaseRequest
	err := read(r, &q)
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.serve(w, r, func() (int, any) {
		if err != nil || ttl < leastTTL || ttl > mostTTL {
			return s.malformed(errMalformed)
		}
		id := s.store.openLease(ttl, time.Now())
		s.keep(record{revision: s.store.revision, lease: id, ttl: ttl})
		return http.StatusOK, protocol.LeaseAnswer{Lease: id}
	})
}

func (s stateDoor) touch(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, err := strconv.ParseUint(p.ByName("id"), 10, 64)
	s.serve(w, r, func() (int, any) {
		if err != nil || !s.store.touch(id, time.Now()) {
			return http.StatusNotFound, problem(errNoLease.Error())
		}
		return http.StatusOK, struct{}{}
	})
}

func (s stateDoor) end(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, err := strconv.ParseUint(p.ByName("id"), 10, 64)
	s.serve(w, r, func() (int, any) {
		if err != nil || s.store.leases[id] == nil {
			return http.StatusNotFound, problem(errNoLease.Error())
		}
		s.State.end(id)
		return http.StatusOK, struct{}{}
	})
}

// mostBlock bounds how long a watch waits.
const mostBlock = time.Minute

func (s stateDoor) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.ParseInt(q.Get("blockMs"), 10, 64)
	status, body := http.StatusServiceUnavailable, any(nil)
	s.loop.do(func() {
		if status, body = s.admit(); status == 0 && err != nil {
			status, body = s.malformed(errMalformed)
		}
	})
	if status != 0 {
		answer(w, status, body)
		return
	}
	end := time.NewTimer(min(time.Duration(block)*time.Millisecond, mostBlock))
	defer end.Stop()
	for over := false; ; {
		var found protocol.Events
		var changed, kept <-chan struct{}
		var lag time.Duration
		silent := false
		if !s.loop.do(func() {
			if changed, lag, kept = s.changed, s.lags[s.node]+s.slow, s.kept(); s.down || s.refuses[s.node] {
				silent = true // it waits on, as in an outage
				return
			}
			found.Revision = s.store.revision
			found.Events, err = s.store.since(q.Get("prefix"), from)
		}) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			answer(w, http.StatusGone, problem(err.Error()))
			return
		}
		if len(found.Events) > 0 || over {
			if kept != nil {
				select {
				case <-kept:
				case <-r.Context().Done():
					return
				}
			}
			if lag <= 0 || Pause(r.Context(), lag) {
				answer(w, http.StatusOK, found)
			}
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
			if silent { // an outage outlasts the watch: it is told nothing
				panic(http.ErrAbortHandler)
			}
		case <-r.Context().Done():
			return
		}
	}
}
