package main

import (
	"context"
	"net/http"
	"time"
)

func init() { cases["fields"] = play{hosting, unknownField} }

// unknownField: a user's submission has one more field, which the protocol doesn't know and a receiver therefore
// must ignore: "Id", with the user's own reference. Then the user asks about the job.
func unknownField(ctx context.Context, s *setup) (bool, error) {
	if err := until(ctx, 20*time.Second, "the machine types are known", func() bool {
		status, _ := s.users.send(0, http.MethodPost, "/v1/jobs", []byte(`{"id":"wk-000001"}`), 5*time.Second)
		return status == http.StatusBadRequest
	}); err != nil {
		return false, err
	}
	job := newJob("wk-000412", 1)
	// JSON objects are unordered; this one is written out so that the field comes after "id".
	body := `{"id":"wk-000412","laneClass":"stall-labels","crew":"hosting","shape":"array","urgency":"normal","passes":1,"cores":5.0,` +
		`"accelerators":1.0,"ramGb":18.0,"build":"img-07","pullGb":0.5,"rigs":null,"plaza":null,"oneZone":false,"scatter":false,` +
		`"standby":true,"expectedS":100.0,"snapshotS":30.0,"flushS":2.0,"dueS":null`
	if !s.calm {
		body += `,"Id":"wk-770001"`
	}
	if err := s.cloud.upload(job, 100*time.Second); err != nil {
		return false, err
	}
	status, _, err := s.users.request(ctx, http.MethodPost, "/v1/jobs", []byte(body+"}"))
	if err != nil {
		return false, err
	}
	if status != http.StatusCreated && status != http.StatusOK {
		s.add("the submission was not accepted: %d", status)
		return !s.calm, nil
	}
	known, _, err := s.users.request(ctx, http.MethodGet, "/v1/jobs/wk-000412", nil)
	if err != nil {
		return false, err
	}
	other, _, err := s.users.request(ctx, http.MethodGet, "/v1/jobs/wk-770001", nil)
	if err != nil {
		return false, err
	}
	if known == http.StatusNotFound {
		s.add("RULE BROKEN: forgotten: wk-000412 was accepted and gets 404")
	}
	if other == http.StatusOK {
		s.add("RULE BROKEN: invented: nobody submitted wk-770001, and it gets 200")
	}
	return known == http.StatusNotFound || other == http.StatusOK, nil
}
