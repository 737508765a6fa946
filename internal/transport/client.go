// Package transport carries messages: clients of the state service, the cloud
// and the workers, the listeners for users and workers, and net/rpc between
// the controllers. Every call is bounded in time and in rate.
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

// ErrRefused says that the other side answered that it did not do it.
var ErrRefused = errors.New("refused, not executed")

// ErrUnknown says that no answer came: the request may have been done, or may yet be done later.
var ErrUnknown = errors.New("no answer, outcome unknown")

// ErrInvalid says that the other side calls the request malformed; it will never be
// carried out as it is.
var ErrInvalid = errors.New("refused as malformed")

// Counts are what a client's requests came to. They may be read at any time.
type Counts struct {
	Requests, Refused, Unanswered, NoBudget atomic.Int64
	// answered and served are when a request was last answered, and when other than that it
	// was refused, by the milliseconds.
	answered, served atomic.Int64
}

// Answered is when a request was last answered, in whatever way.
func (c *Counts) Answered() time.Time { return time.UnixMilli(c.answered.Load()) }

// Served is when a request was last answered other than that it was refused.
func (c *Counts) Served() time.Time { return time.UnixMilli(c.served.Load()) }

// note counts a request by how it ended.
func (c *Counts) note(err error) {
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

// Dialer opens connections; tests put in-memory pipes in its place.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// NetDialer dials TCP with a bounded wait.
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

// maxAnswer bounds what is read of any answer.
const maxAnswer = 16 << 20

// Call makes one request, with body as JSON if it is not nil. A nil error means that an
// answer came whole.
func Call(ctx context.Context, c *http.Client, method, url string, body any) (int, []byte, error) {
	var rd io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		rd = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		// net/http would send the request again on a stale connection only
		// for methods that may be repeated; POST is left alone.
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return resp.StatusCode, raw, nil
}

// Urgency of a request among those that share a budget.
type Urgency int

const (
	// Deferred requests may wait for as long as there is something better to do.
	Deferred Urgency = iota
	Ordinary
	Urgent
	// Vital requests are few, and all else depends on them.
	Vital
)

// budget shares a rate: the less urgent a request, the smaller the part of
// the rate that it may use. Urgent requests never queue behind others: a large
// transaction of results would hold a user's submission up for a second. All
// together may so ask for more than the share of one controller, of which the
// others seldom use all; what is too much is refused and not executed. When it
// is, the deferred ones give way for a moment.
type budget struct {
	tiers [Vital + 1]*rate.Limiter
	// share is this controller's part of the rate.
	share float64
	// pressed is until when deferred requests give way, raised when urgent ones
	// were last given more than their share, both by the milliseconds.
	pressed, raised atomic.Int64
}

// Urgent requests that find no budget get more than their share as long as
// nothing is refused: after many controllers ended at once, those that are back
// first have all the users. It grows by raiseBy every raiseEvery, up to
// mostShares, and falls back at the first refusal.
const (
	raiseBy    = 1.2
	raiseEvery = 100 * time.Millisecond
	mostShares = 4
)

// pressedFor is for how long a refusal for the rate has deferred requests give
// way, and pressedCost how many times they pay then.
const (
	pressedFor  = time.Second
	pressedCost = 3
)

func newBudget(perSecond float64) *budget {
	b := &budget{share: perSecond}
	for i, part := range [Vital + 1]float64{0.25, 0.7, 1, 1} {
		r := perSecond * part
		b.tiers[i] = rate.NewLimiter(rate.Limit(r), max(1, int(r)))
	}
	return b
}

// refused notes that the other side refused a request for the rate.
func (b *budget) refused() {
	b.pressed.Store(time.Now().Add(pressedFor).UnixMilli())
	b.allow(b.share)
}

func (b *budget) allow(perSecond float64) {
	b.tiers[Urgent].SetLimit(rate.Limit(perSecond))
	b.tiers[Urgent].SetBurst(max(1, int(perSecond)))
}

// starved notes that an urgent request found no budget.
func (b *budget) starved() {
	now, last := time.Now().UnixMilli(), b.raised.Load()
	if now >= b.pressed.Load() && now-last >= raiseEvery.Milliseconds() && b.raised.CompareAndSwap(last, now) {
		b.allow(min(float64(b.tiers[Urgent].Limit())*raiseBy, b.share*mostShares))
	}
}

// wait blocks until n requests of this urgency fit, or ctx ends. All of them are
// charged, also where a small share has a smaller burst than a transaction has
// changes: together the controllers would overdraw the rate.
func (b *budget) wait(ctx context.Context, u Urgency, n int) error {
	if u == Deferred && time.Now().UnixMilli() < b.pressed.Load() {
		n *= pressedCost
	}
	for l := b.tiers[u]; n > 0; n -= l.Burst() {
		if l.WaitN(ctx, min(n, l.Burst())) != nil {
			if u == Urgent {
				b.starved()
			}
			return fmt.Errorf("%w: no budget in time", ErrRefused)
		}
	}
	return nil
}
