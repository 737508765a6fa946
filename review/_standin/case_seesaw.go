package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["seesaw"] = play{harbour, guaranteedJobStopped} }

// guaranteedJobStopped: six jobs of ferry-ops, of two GPUs each and of priority high, run: four within its guarantee of 8
// GPUs, two beyond. Then one job of gatehouse comes, of priority normal. It is the only one of its team, and takes the
// 2 GPUs that are guaranteed to it. The cloud has machines for six such jobs, else for twenty.
//
// The rule counts as broken if the job of gatehouse was stopped three times or more while ferry-ops used more
// than its guarantee, and is not done 75 s after its submission. It runs for 20 s.
func guaranteedJobStopped(ctx context.Context, s *setup) (bool, error) {
	const (
		ferries, guaranteed = 6, 4
		machines, fewer     = 20, 6
		leastStops          = 3
		watched             = 75 * time.Second
	)
	gate := trainJob("wk-000201", "gatehouse")
	gate["urgency"], gate["expectedS"], gate["plaza"] = "normal", 20.0, "lorient"
	if err := s.cloud.upload(gate, 20*time.Second); err != nil {
		return false, err
	}
	var ferry []map[string]any
	for n := range ferries {
		ferry = append(ferry, trainJob(fmt.Sprintf("wk-%06d", 101+n), "ferry-ops"))
		ferry[n]["plaza"] = "lorient"
		if err := s.cloud.upload(ferry[n], 120*time.Second); err != nil {
			return false, err
		}
	}
	stops, counted, lost := map[string]int{}, 0, 0.0
	s.cloud.with(func() {
		s.cloud.capacity["dolmen-node"] = machines
		if !s.calm {
			s.cloud.capacity["dolmen-node"] = fewer
		}
		s.cloud.stopped = func(m *machine, t *task) {
			team, ran := t.job.spec.Team, time.Since(t.began).Seconds()
			s.add("%s of %s is stopped on %s after %.1f s, its work is lost", t.Task, team, m.id, ran)
			stops[team]++
			lost += ran
			if team == "gatehouse" && s.on("ferry-ops") > guaranteed {
				counted++
			}
		}
	})
	for _, j := range ferry {
		if err := s.users.submit(ctx, j); err != nil {
			return false, err
		}
	}
	if err := until(ctx, 25*time.Second, "the jobs of ferry-ops run", func() bool { return s.runningOf("ferry-ops") == ferries }); err != nil {
		return false, err
	}
	if err := s.users.submit(ctx, gate); err != nil {
		return false, err
	}
	submitted := time.Now()
	answer := struct{ Status string }{}
	for answer.Status != "done" && time.Since(submitted) < watched {
		time.Sleep(5 * time.Second)
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		status, raw, err := s.users.request(ctx, http.MethodGet, "/v1/jobs/wk-000201", nil)
		if err == nil && status == http.StatusOK {
			err = json.Unmarshal(raw, &answer)
		}
		if err != nil {
			return false, err
		}
	}
	broken := false
	s.cloud.with(func() {
		broken = answer.Status != "done" && counted >= leastStops
		s.add("after %.0f s the job of gatehouse is %s", time.Since(submitted).Seconds(), answer.Status)
		s.add("stopped: %d tasks of ferry-ops, %d of gatehouse, of these %d while ferry-ops used more than its guarantee; %.0f s of work are lost", stops["ferry-ops"], stops["gatehouse"], counted, lost)
	})
	if broken {
		s.add("RULE BROKEN: guarantee: a job within its team's guarantee waits for another team's work beyond its own")
	}
	return broken, nil
}
