package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["fields"] = play{hosting, unknownField} }

// unknownField: a submission has one more field, "Passes", which the protocol doesn't know and a receiver must
// ignore: names of JSON fields are case-sensitive. The job has four tasks. Its user asks every second until the
// answer is done.
func unknownField(ctx context.Context, s *setup) (bool, error) {
	job := newJob("wk-000412", 4)
	if err := s.cloud.upload(job, 5*time.Second); err != nil {
		return false, err
	}
	s.cloud.with(func() { s.cloud.capacity["peak-node"] = 2 })
	body, err := json.Marshal(job)
	if err != nil {
		return false, err
	}
	if !s.calm {
		body = append(body[:len(body)-1], `,"Passes":1}`...)
	}
	status, raw, err := s.users.request(ctx, http.MethodPost, "/v1/jobs", body)
	if err != nil {
		return false, err
	}
	if status != http.StatusCreated && status != http.StatusOK {
		s.add("the submission is refused: %d %s", status, raw)
		return false, nil
	}
	answer := struct{ Status string }{}
	done := 0
	err = until(ctx, 60*time.Second, "the job is done", func() bool {
		time.Sleep(time.Second)
		s.cloud.with(func() { done = len(s.cloud.jobs["wk-000412"].done) }) // before the question
		status, raw, err := s.users.request(ctx, http.MethodGet, "/v1/jobs/wk-000412", nil)
		return err == nil && status == http.StatusOK && json.Unmarshal(raw, &answer) == nil && answer.Status == "done"
	})
	if err != nil {
		return false, err
	}
	// A task that completes between the count and the answer counts as done before it.
	s.cloud.with(func() { done = max(done, len(s.cloud.jobs["wk-000412"].done)) })
	s.add("the user is told done; tasks that completed: %d of 4", done)
	if done == 4 {
		return false, nil
	}
	s.add("RULE BROKEN: not_done: the job is called done before all of its tasks are")
	time.Sleep(10 * time.Second)
	s.cloud.with(func() { done = len(s.cloud.jobs["wk-000412"].done) })
	s.add("10 s later: %d of 4", done)
	return true, nil
}
