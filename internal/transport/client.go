// Package transport holds the network clients and servers of a controller: clients of the state service,
// the cloud and the workers, the HTTP server for users and workers, and net/rpc between controllers. Every
// call has a timeout, and calls to the shared services have a rate limit.
package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// ErrRefused means that the request was not executed: the other side said so, or it was never sent.
var ErrRefused = errors.New("refused, not executed")

// ErrUnknown means that no valid response arrived: the request may have been executed, or may still be
// executed later.
var ErrUnknown = errors.New("no answer, outcome unknown")

// ErrInvalid means that the other side rejected the request as malformed, so a retry can't succeed.
var ErrInvalid = errors.New("refused as malformed")

// Counts holds a client's request counters by outcome. It is safe for concurrent use.
type Counts struct {
	Requests, Refused, Unanswered, NoBudget atomic.Int64
	// answered is when the last response arrived, served when the last response other than a refusal
	// arrived, both in Unix milliseconds.
	answered, served atomic.Int64
}

// LastAnswered is when the last response arrived, whatever its outcome.
func (c *Counts) LastAnswered() time.Time { return time.UnixMilli(c.answered.Load()) }

// LastServed is when the last response other than a refusal arrived.
func (c *Counts) LastServed() time.Time { return time.UnixMilli(c.served.Load()) }

// record counts a request by its outcome.
func (c *Counts) record(err error) {
	c.Requests.Add(1)
	now := time.Now().UnixMilli()
	switch {
	case err == nil:
		c.answered.Store(now)
		c.served.Store(now)
	case errors.Is(err, ErrRefused):
		c.answered.Store(now)
		c.Refused.Add(1)
	case errors.Is(err, ErrUnknown):
		c.Unanswered.Add(1)
	}
}

// Dialer opens connections; tests replace it by in-memory pipes.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// NetDialer dials TCP with a timeout.
func NetDialer() Dialer {
	d := &net.Dialer{Timeout: 1500 * time.Millisecond, KeepAlive: -1}
	return d.DialContext
}

func newHTTPClient(dial Dialer, perHost int, idle time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: perHost, MaxConnsPerHost: perHost,
			IdleConnTimeout: idle, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// maxResponseBytes bounds how much of a response body is read.
const maxResponseBytes = 16 << 20

// Call makes one request, with body encoded as JSON if it is not nil. A nil error means that a complete
// response arrived.
func Call(ctx context.Context, c *http.Client, method, url string, body any) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		// net/http retries on a stale connection only for idempotent methods, so a POST is sent once.
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return resp.StatusCode, raw, nil
}

// Urgency ranks requests that share a rate budget.
type Urgency int

const (
	// Deferred requests may wait while more urgent ones use the budget.
	Deferred Urgency = iota
	// Ordinary requests use at most 70 % of this controller's share of the rate.
	Ordinary
	// Urgent requests may use the whole share, and more than that while the share doesn't suffice and the service
	// refuses nothing.
	Urgent
	// Vital requests are few and everything else depends on them, for example lease renewals.
	Vital
)

// rateBudget divides a rate by urgency: the less urgent a request, the smaller the part of the rate that it
// may use. Each urgency has a limiter of its own, so that urgent requests never queue behind others: a large
// transaction of results would delay a user's submission by a second. The limiters together may exceed this
// controller's share, since the other controllers seldom use all of theirs; the service refuses the excess
// without executing it. After such a refusal, deferred requests are throttled for a moment.
type rateBudget struct {
	tiers [Vital + 1]*rate.Limiter
	// share is this controller's part of the service's rate, in requests a second.
	share float64
	// throttledUntilMs is until when deferred requests are throttled, raisedAtMs when the limit of urgent
	// requests was last raised, both in Unix milliseconds.
	throttledUntilMs, raisedAtMs atomic.Int64
}

// When an urgent request finds no budget and the service has refused nothing lately, the limit of urgent
// requests rises above the share: after many controllers have failed at once, those that return first serve
// all users. The limit is multiplied by raiseFactor at most once every raiseInterval, up to maxShares times the
// share, and falls back to the share at the first refusal.
const (
	raiseFactor   = 1.2
	raiseInterval = 100 * time.Millisecond
	maxShares     = 4
)

// throttleTime is for how long deferred requests are throttled after the service has refused a request
// because of its rate limit; throttledCostFactor multiplies their cost meanwhile.
const (
	throttleTime        = time.Second
	throttledCostFactor = 3
)

func newRateBudget(perSecond float64) *rateBudget {
	b := &rateBudget{share: perSecond}
	for i, part := range [Vital + 1]float64{0.25, 0.7, 1, 1} {
		r := perSecond * part
		b.tiers[i] = rate.NewLimiter(rate.Limit(r), max(1, int(r)))
	}
	return b
}

// recordRefusal throttles deferred requests and resets the urgent limit, after the service has refused a
// request because of its rate limit.
func (b *rateBudget) recordRefusal() {
	b.throttledUntilMs.Store(time.Now().Add(throttleTime).UnixMilli())
	b.setUrgentRate(b.share)
}

func (b *rateBudget) setUrgentRate(perSecond float64) {
	b.tiers[Urgent].SetLimit(rate.Limit(perSecond))
	b.tiers[Urgent].SetBurst(max(1, int(perSecond)))
}

// recordShortage raises the urgent limit after an urgent request found no budget.
func (b *rateBudget) recordShortage() {
	now, last := time.Now().UnixMilli(), b.raisedAtMs.Load()
	if now >= b.throttledUntilMs.Load() && now-last >= raiseInterval.Milliseconds() && b.raisedAtMs.CompareAndSwap(last, now) {
		b.setUrgentRate(min(float64(b.tiers[Urgent].Limit())*raiseFactor, b.share*maxShares))
	}
}

// wait blocks until the budget admits n requests of this urgency, or ctx ends. All n are charged, also where
// n exceeds the burst, as a large transaction does with a small share; otherwise the controllers together
// would exceed the rate.
func (b *rateBudget) wait(ctx context.Context, u Urgency, n int) error {
	if u == Deferred && time.Now().UnixMilli() < b.throttledUntilMs.Load() {
		n *= throttledCostFactor
	}
	for l := b.tiers[u]; n > 0; n -= l.Burst() {
		if l.WaitN(ctx, min(n, l.Burst())) != nil {
			if u == Urgent {
				b.recordShortage()
			}
			return fmt.Errorf("%w: no budget in time", ErrRefused)
		}
	}
	return nil
}
