package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

func init() { cases["sick"] = play{hosting, failedOnce} }

// failedOnce: one machine runs a task and has room for another. For some seconds it fails every task that it
// starts, among them the only task of a second job. Then the machine is well again, and nothing else happens.
//
// The rule counts as broken if the second job has not started 90 s after that, while a machine on which it may run
// had room for it all the time.
func failedOnce(ctx context.Context, s *setup) (bool, error) {
	const sickFor, watched = 4 * time.Second, 90 * time.Second
	first, second := newJob("wk-000398", 1, "jade-node"), newJob("wk-000412", 1, "jade-node")
	if err := s.cloud.upload(first, 300*time.Second); err != nil {
		return false, err
	}
	if err := s.cloud.upload(second, 10*time.Second); err != nil {
		return false, err
	}
	s.cloud.with(func() { s.cloud.capacity["jade-node"] = 4 })
	if err := s.users.submit(ctx, first); err != nil {
		return false, err
	}
	if err := until(ctx, 15*time.Second, "the first job runs", func() bool { return s.running("wk-000398/0") }); err != nil {
		return false, err
	}
	sick := func(on bool) {
		s.cloud.with(func() {
			for _, m := range s.cloud.machines {
				m.sick = on && !s.calm
				s.add("%s is sick: %v", m.id, m.sick)
			}
		})
	}
	sick(true)
	if err := s.users.submit(ctx, second); err != nil {
		return false, err
	}
	time.Sleep(sickFor)
	sick(false)
	failed, startedSince := false, false
	s.cloud.with(func() {
		failed = s.cloud.jobs["wk-000412"].failed
		s.cloud.jobs["wk-000412"].failed, s.cloud.jobs["wk-000412"].started = false, false
	})
	if !s.calm && !failed {
		return false, errors.New("the second job did not fail on the machine while it was sick")
	}
	well, hadRoom := time.Now(), true
	answer := struct{ Status, Reason string }{}
	for answer.Status != "done" && time.Since(well) < watched+time.Second {
		time.Sleep(5 * time.Second)
		s.cloud.with(func() { hadRoom = hadRoom && s.cloud.hasRoom(s.cloud.jobs["wk-000412"]) })
		status, raw, err := s.users.request(ctx, http.MethodGet, "/v1/jobs/wk-000412", nil)
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(raw, &answer)
		}
		if err != nil {
			return false, err
		}
	}
	s.cloud.with(func() { startedSince = s.cloud.jobs["wk-000412"].started })
	s.add("%.0f s after the machine was well again the job is %s (%s); started since: %v; a machine had room all the time: %v", time.Since(well).Seconds(), answer.Status, answer.Reason, startedSince, hadRoom)
	if ctx.Err() != nil {
		return false, fmt.Errorf("not watched to the end: %w", ctx.Err())
	}
	if startedSince || answer.Status == "done" || !hadRoom {
		return false, nil
	}
	s.add("RULE BROKEN: a job is left waiting for 90 s while a machine that fits has room")
	return true, nil
}

// hasRoom reports whether a machine that is up and well has room for a task of a job; the caller holds the lock.
func (c *cloud) hasRoom(j *job) bool {
	for _, m := range c.machines {
		room := m.typ.Room()
		for _, t := range m.tasks {
			if t.State != protocol.TaskExited {
				room = room.Sub(t.job.spec.Need())
			}
		}
		if m.up && !m.gone && !m.sick && j.spec.Allows(m.typ.Name, m.plaza, m.spot) && room.Fits(j.spec.Need()) {
			return true
		}
	}
	return false
}
