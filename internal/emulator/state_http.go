package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"daledyke/internal/protocol"
)

// HTTP API of the state service.

// nodeHandler serves the state service's API to one node.
type nodeHandler struct {
	*State
	node string
}

// dropsAnswer reports whether the answer to a transaction is dropped; it runs on the loop.
func (s nodeHandler) dropsAnswer(t *txn) bool {
	if prefix, next := s.dropNextPrefix[s.node]; next && slices.ContainsFunc(t.Then, func(c put) bool { return strings.HasPrefix(c.Set, prefix) && prefix != "" }) {
		delete(s.dropNextPrefix, s.node)
		return true
	}
	return s.dropShare > 0 && s.rng.Float64() < s.dropShare
}

// serve runs f on the loop, unless the node is refused, and writes f's answer once all changes that the
// answer reflects are on disk.
func (s nodeHandler) serve(w http.ResponseWriter, r *http.Request, f func() (status int, body any)) {
	status, body, delay := http.StatusServiceUnavailable, any(nil), time.Duration(0)
	var kept <-chan struct{}
	s.loop.do(func() {
		if status, body = s.admit(); status == 0 {
			status, body = f()
		}
		kept, delay = s.persisted(), s.answerDelay
	})
	if kept != nil {
		select {
		case <-kept:
		case <-r.Context().Done():
			return
		}
	}
	if delay > 0 && !Sleep(r.Context(), delay) {
		return
	}
	answer(w, status, body)
}

// admit counts a request; a status other than 0 refuses it. It runs on the loop.
func (s nodeHandler) admit() (int, any) {
	s.counts.Requests++
	switch {
	case s.down || s.refused[s.node]:
		s.counts.Refused++
		return http.StatusServiceUnavailable, nil
	case !s.reads.Allow():
		s.counts.Refused++
		return http.StatusTooManyRequests, nil
	}
	return 0, nil
}

func (s nodeHandler) malformed(err error) (int, any) {
	s.counts.Malformed++
	return http.StatusBadRequest, problem(err.Error())
}

func (s nodeHandler) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("limit"))
	s.serve(w, r, func() (int, any) {
		if most <= 0 {
			most = maxPageKeys
		}
		return http.StatusOK, s.store.list(q.Get("prefix"), q.Get("from"), min(most, s.maxPage))
	})
}

func (s nodeHandler) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	key := strings.TrimPrefix(p.ByName("key"), "/")
	s.serve(w, r, func() (int, any) {
		if pair, ok := s.store.get(key); ok {
			return http.StatusOK, *pair
		}
		return http.StatusNotFound, map[string]uint64{"ledger": s.store.revision}
	})
}

func (s nodeHandler) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	t := &txn{}
	err := read(r, t)
	var late time.Duration
	unheard := false
	s.loop.do(func() { late, unheard = s.txnDelay, s.dropsAnswer(t) })
	if late > 0 && err == nil { // applied after the delay; the sender gets no answer
		s.loop.do(func() {
			s.loop.after(late, func() {
				if status, _ := s.admit(); status == 0 {
					s.transact(t)
				}
			})
		})
		Sleep(r.Context(), time.Minute)
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
		Sleep(r.Context(), time.Minute)
		panic(http.ErrAbortHandler)
	}
}

// transact carries out a transaction; it runs on the loop.
func (s nodeHandler) transact(t *txn) (int, any) {
	if err := t.validate(s.limits); err != nil {
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
		s.recordChanges(t.Then)
	}
	return http.StatusOK, protocol.TxnAnswer{Revision: s.store.revision}
}

func (s nodeHandler) open(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q protocol.LeaseRequest
	err := read(r, &q)
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.serve(w, r, func() (int, any) {
		if err != nil || ttl < minTTL || ttl > maxTTL {
			return s.malformed(errMalformed)
		}
		id := s.store.openLease(ttl, time.Now())
		s.persist(record{revision: s.store.revision, lease: id, ttl: ttl})
		return http.StatusOK, protocol.LeaseAnswer{Lease: id}
	})
}

func (s nodeHandler) touch(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, err := strconv.ParseUint(p.ByName("id"), 10, 64)
	s.serve(w, r, func() (int, any) {
		if s.renewalsRefused[s.node] {
			s.counts.Refused++
			return http.StatusTooManyRequests, nil
		}
		if err != nil || !s.store.renew(id, time.Now()) {
			return http.StatusNotFound, problem(errNoLease.Error())
		}
		return http.StatusOK, struct{}{}
	})
}

func (s nodeHandler) end(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, err := strconv.ParseUint(p.ByName("id"), 10, 64)
	s.serve(w, r, func() (int, any) {
		if err != nil || s.store.leases[id] == nil {
			return http.StatusNotFound, problem(errNoLease.Error())
		}
		s.State.endLease(id)
		return http.StatusOK, struct{}{}
	})
}

func (s nodeHandler) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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
			if changed, lag, kept = s.changed, s.watchDelays[s.node]+s.answerDelay, s.persisted(); s.down || s.refused[s.node] {
				silent = true // keep waiting, as in an outage
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
			if lag <= 0 || Sleep(r.Context(), lag) {
				answer(w, http.StatusOK, found)
			}
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
			if silent { // the outage outlasts the watch: no answer
				panic(http.ErrAbortHandler)
			}
		case <-r.Context().Done():
			return
		}
	}
}

// Handler returns the API for one controller, or for any other client called node.
func (s *State) Handler(node string) http.Handler {
	r := httprouter.New()
	r.RedirectTrailingSlash = false
	q := nodeHandler{s, node}
	r.GET("/keys", q.list)
	r.GET("/keys/*key", q.get)
	r.POST("/multi", q.commit)
	r.POST("/leases", q.open)
	r.POST("/leases/:id/touch", q.touch)
	r.DELETE("/leases/:id", q.end)
	r.GET("/changes", q.watch)
	return s.copies.repeat(r)
}

// Sleep waits for d; it returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func problem(what string) map[string]string { return map[string]string{"error": what} }

// answer writes a response. Write errors are ignored: the client sees a broken connection.
func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}

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

// maxRequest limits a request body.
const maxRequest = protocol.MaxBody + 1

// deafWriter discards an answer that is dropped.
type deafWriter struct{ http.ResponseWriter }

func (deafWriter) WriteHeader(int)               {}
func (deafWriter) Write(raw []byte) (int, error) { return len(raw), nil }

// mostBlock limits how long a watch waits.
const mostBlock = time.Minute
