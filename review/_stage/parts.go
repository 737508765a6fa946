package main

import (
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

func init() { cases["parts"] = storedInParts }

// storedInParts: a job whose description is stored in parts has some results when all controllers crash.
func storedInParts(s *stage) (int, string) {
	// The limits that the state service will have, as on the recorded days with "the state service lowers its
	// limits". The limits in force stay the higher ones here.
	s.d.nextSettings = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 28.0"
	if err := s.start(); err != nil {
		return cantRun, err.Error()
	}
	// A chain: many short jobs, and one that awaits them all.
	const parts = 150
	var needs []string
	results := make(chan int, parts)
	for n := range parts {
		id := fmt.Sprintf("wk-%06d", 100+n)
		needs = append(needs, id)
		go func() {
			status, _ := s.submit(array(id, "clip-extract", "data", 1, 1, 12), func(int) time.Duration { return 12 * time.Second })
			results <- status
		}()
		s.sleep(45 * time.Millisecond)
	}
	for range parts {
		if status := <-results; status != http.StatusCreated && status != http.StatusOK {
			return cantRun, "a job of the chain was not accepted"
		}
	}
	last := array("wk-000900", "axle-tagging", "support", 4, 2, 10)
	last.Needs = needs
	short, long := 2*time.Second, 22*time.Second
	if status, _ := s.submit(last, func(task int) time.Duration {
		if task < 2 {
			return short
		}
		return long
	}); status != http.StatusCreated && status != http.StatusOK {
		return cantRun, "the last job of the chain was not accepted"
	}
	completed := func() map[string]bool {
		tasks := map[string]bool{}
		for _, e := range s.seen(func(e history.Event) bool { return e.Kind == history.TaskStopped && e.Cause == protocol.CauseDone }) {
			if id, _, _ := protocol.SplitTask(e.Task); id == last.ID {
				tasks[e.Task] = true
			}
		}
		return tasks
	}
	if !s.await(60*time.Second, func() bool { st := s.poll("bollard-0", last.ID); return st != nil && st.Done != nil && *st.Done >= 2 }) {
		return cantRun, "the first two tasks were not done in time"
	}
	s.sleep(time.Second)
	if s.trouble {
		if err := s.crash(s.d.names...); err != nil {
			return cantRun, err.Error()
		}
		if err := s.awaitHealthy(20 * time.Second); err != nil {
			return cantRun, err.Error()
		}
	}
	if !s.await(45*time.Second, func() bool { return len(completed()) == last.Tasks }) {
		return cantRun, fmt.Sprintf("only %d of %d tasks were completed", len(completed()), last.Tasks)
	}
	s.log("all tasks of %s are completed", last.ID)
	since := time.Now()
	told := ""
	if s.await(40*time.Second, func() bool {
		for _, node := range s.d.names {
			if st := s.poll(node, last.ID); st != nil {
				if told = st.Status; told == protocol.Done {
					return true
				}
			}
		}
		s.sleep(800 * time.Millisecond)
		return false
	}) {
		return held, fmt.Sprintf("the job was called done %.1f s after its last task was", time.Since(since).Seconds())
	}
	if told == "" {
		return cantRun, "no controller answered after the last task was completed"
	}
	return broken, fmt.Sprintf("all tasks of the job were completed %.0f s ago, no trouble is left, and it is called %q", time.Since(since).Seconds(), told)
}
