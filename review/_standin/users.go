package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// users sends the requests of users to the controllers, as a load balancer would pass them on.
type users struct {
	*record
	nodes *controllers
}

// send sends a request to a controller and returns the status and the body; the status is 0 if no answer came
// within the time that users wait.
func (u *users) send(n int, method, path string, body []byte, wait time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.nodes.fronts[n]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// awaitHealthy waits until all controllers are healthy.
func (u *users) awaitHealthy(ctx context.Context) error {
	return until(ctx, 30*time.Second, "all controllers are healthy", func() bool {
		for n := range u.nodes.fronts {
			if status, _ := u.send(n, http.MethodGet, "/healthz", nil, time.Second); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// request repeats a request of a user after a second, at the next controller, until the answer is final, for up
// to a minute.
func (u *users) request(ctx context.Context, method, path string, body []byte) (status int, raw []byte, err error) {
	for tries := range 60 {
		status, raw = u.send(tries%len(u.nodes.fronts), method, path, body, 5*time.Second)
		u.add("user: %s %s %s -> %d %s", method, path, body, status, raw)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests {
			return status, raw, nil
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-time.After(time.Second):
		}
	}
	return 0, nil, errors.New("the request got no final answer")
}

// submit submits a job, which has to be accepted.
func (u *users) submit(ctx context.Context, job map[string]any) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	status, raw, err := u.request(ctx, http.MethodPost, "/v1/jobs", body)
	if err == nil && status != http.StatusCreated && status != http.StatusOK {
		err = fmt.Errorf("job not accepted: %d %s", status, raw)
	}
	return err
}

// newJob is a submission of the class stall-labels.
func newJob(id string, passes int, rigs ...string) map[string]any {
	job := map[string]any{"id": id, "laneClass": "stall-labels", "crew": "hosting", "shape": "array", "urgency": "normal",
		"passes": passes, "cores": 5.0, "accelerators": 1.0, "ramGb": 18.0, "build": "img-07", "pullGb": 0.5, "rigs": nil,
		"plaza": nil, "oneZone": false, "scatter": false, "standby": true, "expectedS": 100.0, "snapshotS": 30.0,
		"flushS": 2.0, "dueS": nil}
	if len(rigs) > 0 {
		job["rigs"] = rigs
	}
	return job
}
