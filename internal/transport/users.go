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

// Users speaks to controllers' front doors as users do: what can't be taken now is
// tried again, at another door if there is one, within a bound.
type Users struct {
	http  *http.Client
	doors []string
	// Patience bounds all tries of one request.
	Patience time.Duration
}

// The pauses between two tries: each is twice the one before, give or take a
// quarter, and no shorter than the controller asks for.
const (
	firstPause = time.Second
	longest    = 30 * time.Second
	oneTry     = 5 * time.Second
)

// NewUsers makes a client of the front doors at the addresses given.
func NewUsers(dial Dialer, doors []string) *Users {
	return &Users{http: newHTTPClient(dial, 1, time.Second), doors: doors, Patience: time.Minute}
}

// Pause is how long to wait before the next try, after so many; asked is what the
// controller asked for, chance from 0 to 1.
func Pause(tries int, asked time.Duration, chance float64) time.Duration {
	pause := min(longest, firstPause<<min(tries, 10))
	pause += time.Duration((chance - 0.5) / 2 * float64(pause))
	return max(pause, min(asked, longest))
}

// answered tells whether an answer is final: anything but a request to come again.
func answered(status int) bool {
	return status < 500 && status != http.StatusTooManyRequests
}

// try sends a request until it is answered for good.
func (u *Users) try(ctx context.Context, method, path string, header http.Header, body []byte) (status int, raw []byte, err error) {
	if len(u.doors) == 0 {
		return 0, nil, errors.New("no controller is named")
	}
	ctx, cancel := context.WithTimeout(ctx, u.Patience)
	defer cancel()
	last := ""
	for tries := 0; ; tries++ {
		door := u.doors[tries%len(u.doors)]
		status, asked, raw, err := u.once(ctx, method, "http://"+door+path, header, body)
		switch {
		case err == nil && answered(status):
			return status, raw, nil
		case err == nil:
			last = fmt.Sprintf("%s answers %d", door, status)
		case last == "" || ctx.Err() == nil:
			last = fmt.Sprintf("no answer from %s", door)
		}
		select {
		case <-ctx.Done():
			return 0, nil, fmt.Errorf("given up after %v and %d tries: %s", u.Patience, tries+1, last)
		case <-time.After(Pause(tries, asked, rand.Float64())):
		}
	}
}

func (u *Users) once(ctx context.Context, method, url string, header http.Header, body []byte) (status int, asked time.Duration, raw []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, oneTry)
	defer cancel()
	return Once(ctx, u.http, method, url, header, body)
}

// Once makes one request as users do; asked is how long the answer asks them to wait
// before they come again, 0 if it doesn't.
func Once(ctx context.Context, c *http.Client, method, url string, header http.Header, body []byte) (status int, asked time.Duration, raw []byte, err error) {
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
		asked = time.Duration(s) * time.Second
	}
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, asked, raw, err
}

// refusal is what a controller says of a request that it refuses.
func refusal(status int, raw []byte) error {
	var e struct{ Error string }
	if json.Unmarshal(raw, &e) != nil || e.Error == "" {
		e.Error = fmt.Sprintf("the controller answers %d: is it a front door?", status)
	}
	return errors.New(e.Error)
}

// SubmitScript submits a batch script under a key: tried again with the same key, it
// is the same job.
func (u *Users) SubmitScript(ctx context.Context, key, options, script string) (taken protocol.ScriptAccepted, err error) {
	header := http.Header{"Content-Type": {"text/plain"}, headerKey: {key}}
	status, raw, err := u.try(ctx, http.MethodPost, pathScripts+"?options="+url.QueryEscape(options), header, []byte(script))
	switch {
	case err != nil:
		return taken, err
	case status != http.StatusOK && status != http.StatusCreated:
		return taken, refusal(status, raw)
	}
	return taken, json.Unmarshal(raw, &taken)
}

// Cancel cancels a job and gives how it stands then.
func (u *Users) Cancel(ctx context.Context, id string) (st protocol.JobStatus, err error) {
	return st, u.ask(ctx, http.MethodPost, "/v1/jobs/"+id+"/cancel", &st)
}

// Hold holds a job, or releases it.
func (u *Users) Hold(ctx context.Context, id string, held bool) (a protocol.HoldAnswer, err error) {
	path := pathRelease
	if held {
		path = pathHold
	}
	return a, u.ask(ctx, http.MethodPost, "/v1/jobs/"+id+path, &a)
}

// View asks how a job stands.
func (u *Users) View(ctx context.Context, id string) (v protocol.JobView, err error) {
	return v, u.ask(ctx, http.MethodGet, pathJobView+id, &v)
}

// mostParts bounds the parts of a list that are asked for.
const mostParts = 100

// Jobs lists the jobs that a filter chooses, as one controller knows them.
func (u *Users) Jobs(ctx context.Context, f protocol.JobFilter) (jobs []protocol.JobView, err error) {
	for range mostParts {
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
		if err := u.ask(ctx, http.MethodGet, pathJobs+"?"+q.Encode(), &l); err != nil {
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

func (u *Users) ask(ctx context.Context, method, path string, into any) error {
	status, raw, err := u.try(ctx, method, path, http.Header{}, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNoSuchJob
	case status != http.StatusOK:
		return refusal(status, raw)
	}
	return json.Unmarshal(raw, into)
}

// Doors splits a list of addresses joined by commas.
func Doors(list string) (doors []string) {
	for _, d := range strings.Split(list, ",") {
		if d = strings.TrimSpace(d); d != "" {
			doors = append(doors, d)
		}
	}
	return doors
}
