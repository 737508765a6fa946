package main

import (
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

func init() { cases["claims"] = claims }

// claims: three jobs of a team come at once on a full fleet, and one of them is within the team's guarantee.
func claims(s *stage) (int, string) {
	d := &s.d
	d.types, d.capacity = d.types[:1], 2
	d.teams = []config.Team{{Name: "support", Accels: 4}, {Name: "vision", Accels: 2}}
	d.objectives = "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"fare-model-train\"\nwithin_s = 25.0\nshare = 0.82\n"
	if err := s.start(); err != nil {
		return cantRun, err.Error()
	}
	job := func(n int, class, team string) *protocol.JobSpec {
		j := array(fmt.Sprintf("wk-%06d", n), class, team, 1, 4, 60)
		j.Accels, j.RAM = 2, 60
		return j
	}
	var running []*protocol.JobSpec
	for n := range 4 {
		running = append(running, job(100+n, "axle-tagging", "support"))
	}
	if !s.submitAll(running, 10*time.Minute) {
		return cantRun, "a job was not accepted"
	}
	if !s.await(30*time.Second, func() bool {
		for _, j := range running {
			if len(s.placed(j.ID)) == 0 {
				return false
			}
		}
		return true
	}) {
		return cantRun, "the jobs that fill the fleet did not start"
	}
	s.sleep(3 * time.Second)
	var claimants []*protocol.JobSpec
	for n := range 3 {
		claimants = append(claimants, job(200+31*n, "fare-model-train", "vision"))
	}
	answers := make(chan int, len(claimants))
	for _, j := range claimants {
		submit := func() {
			status, _ := s.submit(j, func(int) time.Duration { return 10 * time.Minute })
			answers <- status
		}
		if s.trouble {
			go submit()
			continue
		}
		submit()
		s.sleep(18 * time.Second)
	}
	for range claimants {
		if status := <-answers; status != http.StatusCreated && status != http.StatusOK {
			return cantRun, "a job was not accepted"
		}
	}
	stops := func() []history.Event {
		return s.seen(func(e history.Event) bool {
			id, _, _ := protocol.SplitTask(e.Task)
			return e.Kind == history.TaskStopped && e.Cause == "halted" && (id == running[0].ID || id == running[1].ID || id == running[2].ID || id == running[3].ID)
		})
	}
	if !s.await(40*time.Second, func() bool { return len(stops()) > 0 }) {
		return cantRun, "no task was stopped for the guarantee"
	}
	first := stops()[0].At
	s.sleep(3 * time.Second)
	n := 0
	for _, e := range stops() {
		if s.trouble && e.At-first > 3*time.Second {
			continue
		}
		n++
	}
	if n > 1 {
		return broken, fmt.Sprintf("%d tasks of the other team were stopped at once, though the guarantee covers one job and the others may not stop work of their priority", n)
	}
	return held, "one task was stopped for the guarantee"
}
