package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"daledyke/internal/protocol"
)

// ErrTooOld means that the watch asked for changes that the service no longer keeps.
var ErrTooOld = errors.New("changes no longer kept")

// ErrNoLease means that the lease has ended.
var ErrNoLease = errors.New("no such lease")

// State is the client of the state service.
type State struct {
	http          *http.Client
	base          string
	requestBudget *rateBudget
	changeBudget  *rateBudget
	// Counts counts the requests by outcome.
	Counts Counts
}

// NewState makes a client that sends at most rps requests and writeRPS changes a second, its shares of the
// service's rates.
func NewState(dial Dialer, addr string, rps, writeRPS float64) *State {
	return &State{http: newHTTPClient(dial, 32, time.Minute), base: "http://" + addr,
		requestBudget: newRateBudget(rps), changeBudget: newRateBudget(writeRPS)}
}

func (s *State) call(ctx context.Context, u Urgency, timeout time.Duration, method, path string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.requestBudget.wait(ctx, u, 1); err != nil {
		s.Counts.NoBudget.Add(1)
		return 0, nil, err
	}
	code, raw, err := Call(ctx, s.http, method, s.base+path, body)
	if err == nil && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) {
		err = fmt.Errorf("%w: state service answers %d", ErrRefused, code)
	}
	s.Counts.record(err)
	return code, raw, err
}

func decode(raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: senseless answer: %v", ErrUnknown, err)
	}
	return nil
}

func unexpected(code int, raw []byte) error {
	return fmt.Errorf("%w: status %d %.80s", ErrUnknown, code, raw)
}

// Get reads a key; found is false if it does not exist.
func (s *State) Get(ctx context.Context, u Urgency, timeout time.Duration, key string) (p protocol.Pair, found bool, err error) {
	code, raw, err := s.call(ctx, u, timeout, http.MethodGet, "/keys/"+key, nil)
	switch {
	case err != nil:
		return p, false, err
	case code == http.StatusNotFound:
		return p, false, nil
	case code != http.StatusOK:
		return p, false, unexpected(code, raw)
	}
	return p, true, decode(raw, &p)
}

// MaxPage is the maximum number of keys in a page.
const MaxPage = 1000

// List reads a page of at most limit keys with a prefix, starting at from.
func (s *State) List(ctx context.Context, u Urgency, prefix, from string, limit int) (page protocol.Page, err error) {
	q := "?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if from != "" {
		q += "&from=" + url.QueryEscape(from)
	}
	code, raw, err := s.call(ctx, u, 5*time.Second, http.MethodGet, "/keys"+q, nil)
	if err == nil && code != http.StatusOK {
		err = unexpected(code, raw)
	}
	if err != nil {
		return page, err
	}
	return page, decode(raw, &page)
}

// Commit attempts a transaction; ok reports whether its conditions held.
func (s *State) Commit(ctx context.Context, u Urgency, timeout time.Duration, txn protocol.Txn) (ans protocol.TxnAnswer, ok bool, err error) {
	if txn.If == nil {
		txn.If = []protocol.Condition{}
	}
	if txn.Then == nil {
		txn.Then = []protocol.Change{}
	}
	if n := len(txn.Then); n > 0 {
		wctx, cancel := context.WithTimeout(ctx, timeout)
		err := s.changeBudget.wait(wctx, u, n)
		cancel()
		if err != nil {
			s.Counts.NoBudget.Add(1)
			return ans, false, err
		}
	}
	code, raw, err := s.call(ctx, u, timeout, http.MethodPost, "/multi", txn)
	if code == http.StatusTooManyRequests {
		s.changeBudget.recordRefusal()
	}
	switch {
	case err != nil:
		return ans, false, err
	case code == http.StatusOK || code == http.StatusConflict:
		return ans, code == http.StatusOK, decode(raw, &ans)
	case code == http.StatusBadRequest:
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &e) == nil && e.Error == "no such lease" {
			return ans, false, ErrNoLease
		}
		return ans, false, fmt.Errorf("%w: %.80s", ErrInvalid, raw)
	}
	return ans, false, unexpected(code, raw)
}

// OpenLease opens a lease.
func (s *State) OpenLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	code, raw, err := s.call(ctx, Vital, 3*time.Second, http.MethodPost, "/leases", protocol.LeaseRequest{TTLMs: ttl.Milliseconds()})
	if err == nil && code != http.StatusOK {
		err = unexpected(code, raw)
	}
	if err != nil {
		return 0, err
	}
	var a protocol.LeaseAnswer
	return a.Lease, decode(raw, &a)
}

// TouchLease renews a lease; ErrNoLease means that it has ended.
func (s *State) TouchLease(ctx context.Context, timeout time.Duration, lease uint64) error {
	code, raw, err := s.call(ctx, Vital, timeout, http.MethodPost, "/leases/"+strconv.FormatUint(lease, 10)+"/touch", nil)
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrNoLease
	case code != http.StatusOK:
		return unexpected(code, raw)
	}
	return nil
}

// Watch waits for changes after a revision.
func (s *State) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (ev protocol.Events, err error) {
	path := fmt.Sprintf("/changes?prefix=%s&from=%d&blockMs=%d", url.QueryEscape(prefix), from, block.Milliseconds())
	code, raw, err := s.call(ctx, Vital, block+2*time.Second, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return ev, err
	case code == http.StatusGone:
		return ev, ErrTooOld
	case code != http.StatusOK:
		return ev, unexpected(code, raw)
	}
	return ev, decode(raw, &ev)
}
