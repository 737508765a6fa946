package main

import (
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

func init() { cases["marker"] = emptyGang }

// emptyGang: a user submits a gang of very many tasks that take nothing.
func emptyGang(s *stage) (int, string) {
	if err := s.start(); err != nil {
		return cantRun, err.Error()
	}
	specs := map[string]*protocol.JobSpec{}
	need := func(job string) protocol.Room { return specs[job].Need() }
	first := array("wk-000001", "axle-tagging", "support", 4, 2, 60)
	specs[first.ID] = first
	if !s.submitAll([]*protocol.JobSpec{first}, 20*time.Second) {
		return cantRun, "the first job was not accepted"
	}
	if !s.await(20*time.Second, func() bool { return len(s.placed(first.ID)) == first.Tasks }) {
		return cantRun, "the first job did not start"
	}
	if s.trouble {
		g := array("wk-000500", "fare-model-train", "vision", 100_000, 0, 30)
		g.Shape = protocol.Gang
		specs[g.ID] = g
		if status, _ := s.submit(g, func(int) time.Duration { return 30 * time.Second }); status != http.StatusCreated {
			return cantRun, "the gang was not accepted"
		}
	}
	s.sleep(6 * time.Second)
	var small []*protocol.JobSpec
	for n := range 9 {
		j := array(fmt.Sprintf("wk-%06d", 700+11*n), "axle-tagging", "support", 1, 1, 10)
		specs[j.ID] = j
		small = append(small, j)
	}
	if !s.submitAll(small, 10*time.Second) {
		return cantRun, "a small job was not accepted"
	}
	waiting, withRoom := s.watchSmall(small, need)
	for _, node := range s.d.names {
		s.poll(node, first.ID)
		status, _ := s.request(node, http.MethodGet, "/healthz", nil, time.Second)
		s.log("load balancer: asks %s whether it is healthy: %d", node, status)
	}
	switch {
	case len(waiting) == 0:
		return held, "all small jobs have begun"
	case withRoom == 0 || s.ctx.Err() != nil:
		return cantRun, "no machine had room at some time, so the small jobs had to wait"
	}
	return broken, fmt.Sprintf("%d of %d small jobs have not begun after more than %.0f s, while at least %d machines had room", len(waiting), len(small), leftWaiting.Seconds(), withRoom)
}
