package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"daledyke/internal/protocol"
)

// UserClient is a client of the controllers' API for users. It retries a request that can't be accepted now,
// at the next address if there are several, until a total timeout.
type UserClient struct {
	http      *http.Client
	addresses []string
	// TotalTimeout bounds all tries of one request together.
	TotalTimeout time.Duration
}

// The backoff between two tries doubles with each try, with a jitter of a quarter, and is no shorter than the
// controller's Retry-After.
const (
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
	tryTimeout     = 5 * time.Second
)

// NewUserClient makes a client of the controllers at the given addresses.
func NewUserClient(dial Dialer, addresses []string) *UserClient {
	return &UserClient{http: newHTTPClient(dial, 1, time.Second), addresses: addresses, TotalTimeout: time.Minute}
}

// Backoff is the wait before the next try after the given number of tries. retryAfter is the controller's
// Retry-After, jitter a random number from 0 to 1.
func Backoff(tries int, retryAfter time.Duration, jitter float64) time.Duration {
	backoff := min(maxBackoff, initialBackoff<<min(tries, 10))
	backoff += time.Duration((jitter - 0.5) / 2 * float64(backoff))
	return max(backoff, min(retryAfter, maxBackoff))
}

// isFinal reports whether a response is final rather than a request to retry.
func isFinal(status int) bool {
	return status < 500 && status != http.StatusTooManyRequests
}

// requestWithRetry sends a request until a final response arrives or the total timeout expires.
func (u *UserClient) requestWithRetry(ctx context.Context, method, path string, header http.Header, body []byte) (status int, raw []byte, err error) {
	if len(u.addresses) == 0 {
		return 0, nil, errors.New("no controller is named")
	}
	ctx, cancel := context.WithTimeout(ctx, u.TotalTimeout)
	defer cancel()
	lastFailure := ""
	for tries := 0; ; tries++ {
		address := u.addresses[tries%len(u.addresses)]
		status, retryAfter, raw, err := u.requestOnce(ctx, method, "http://"+address+path, header, body)
		switch {
		case err == nil && isFinal(status):
			return status, raw, nil
		case err == nil:
			lastFailure = fmt.Sprintf("%s answers %d", address, status)
		case lastFailure == "" || ctx.Err() == nil:
			lastFailure = fmt.Sprintf("no answer from %s", address)
		}
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("given up after %v and %d tries: %s", u.TotalTimeout, tries+1, lastFailure)
		case <-time.After(Backoff(tries, retryAfter, rand.Float64())):
		}
	}
}

func (u *UserClient) requestOnce(ctx context.Context, method, url string, header http.Header, body []byte) (status int, retryAfter time.Duration, raw []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return RequestOnce(ctx, u.http, method, url, header, body)
}

// RequestOnce makes one request without retries; retryAfter is the response's Retry-After, 0 if it has none.
func RequestOnce(ctx context.Context, c *http.Client, method, url string, header http.Header, body []byte) (status int, retryAfter time.Duration, raw []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, 0, nil, err
	}
	if header != nil {
		req.Header = header.Clone()
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, 0, nil, err
	}
	defer resp.Body.Close()
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		retryAfter = time.Duration(s) * time.Second
	}
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, retryAfter, raw, err
}

// refusalError is the error text of a controller's refusal.
func refusalError(status int, raw []byte) error {
	var e struct{ Error string }
	if json.Unmarshal(raw, &e) != nil || e.Error == "" {
		e.Error = fmt.Sprintf("the controller answers %d: is it a front door?", status)
	}
	return errors.New(e.Error)
}

// SubmitScript submits a batch script under an idempotency key: a retry with the same key submits the same job.
func (u *UserClient) SubmitScript(ctx context.Context, key, options, script string) (taken protocol.ScriptAccepted, err error) {
	header := http.Header{"Content-Type": {"text/plain"}, idempotencyHeader: {key}}
	status, raw, err := u.requestWithRetry(ctx, http.MethodPost, pathScripts+"?options="+url.QueryEscape(options), header, []byte(script))
	switch {
	case err != nil:
		return taken, err
	case status != http.StatusOK && status != http.StatusCreated:
		return taken, refusalError(status, raw)
	}
	return taken, json.Unmarshal(raw, &taken)
}

// Cancel cancels a job and returns its status after that.
func (u *UserClient) Cancel(ctx context.Context, id string) (st protocol.JobStatus, err error) {
	return st, u.requestJSON(ctx, http.MethodPost, "/v1/jobs/"+id+"/cancel", &st)
}

// Hold holds a job if held is true, and releases it otherwise.
func (u *UserClient) Hold(ctx context.Context, id string, held bool) (a protocol.HoldAnswer, err error) {
	path := pathRelease
	if held {
		path = pathHold
	}
	return a, u.requestJSON(ctx, http.MethodPost, "/v1/jobs/"+id+path, &a)
}

// View fetches the state of a job.
func (u *UserClient) View(ctx context.Context, id string) (v protocol.JobView, err error) {
	return v, u.requestJSON(ctx, http.MethodGet, pathJobView+id, &v)
}

// maxPages bounds the pages that are fetched of one list.
const maxPages = 100

// Jobs lists the jobs that match a filter, as known to one controller.
func (u *UserClient) Jobs(ctx context.Context, f protocol.JobFilter) (jobs []protocol.JobView, err error) {
	for range maxPages {
		q := url.Values{}
		for name, v := range map[string]string{"queue": f.Queue, "account": f.Account, "name": f.Name, "class": f.Class, "team": f.Team, "after": f.After} {
			if v != "" {
				q.Set(name, v)
			}
		}
		for name, set := range map[string]bool{"over": f.Over, "batch": f.Batch} {
			if set {
				q.Set(name, "")
			}
		}
		var l protocol.JobList
		if err := u.requestJSON(ctx, http.MethodGet, pathJobs+"?"+q.Encode(), &l); err != nil {
			return nil, err
		}
		jobs = append(jobs, l.Jobs...)
		if !l.More || len(l.Jobs) == 0 {
			break
		}
		f.After = l.Jobs[len(l.Jobs)-1].ID
	}
	return jobs, nil
}

func (u *UserClient) requestJSON(ctx context.Context, method, path string, into any) error {
	status, raw, err := u.requestWithRetry(ctx, method, path, http.Header{}, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNoSuchJob
	case status != http.StatusOK:
		return refusalError(status, raw)
	}
	return json.Unmarshal(raw, into)
}

// SplitAddresses splits a comma-separated list of addresses.
func SplitAddresses(list string) (addresses []string) {
	for _, d := range strings.Split(list, ",") {
		if d = strings.TrimSpace(d); d != "" {
			addresses = append(addresses, d)
		}
	}
	return addresses
}
