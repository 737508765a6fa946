package main

import (
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

func init() { cases["gangs"] = waitingGangs }

// submitAll submits jobs one after another; each task runs for the given time. It reports whether all were accepted.
func (s *stage) submitAll(jobs []*protocol.JobSpec, run time.Duration) bool {
	answers := make(chan int, len(jobs))
	for _, j := range jobs {
		go func() {
			status, _ := s.submit(j, func(int) time.Duration { return run })
			answers <- status
		}()
		s.sleep(50 * time.Millisecond)
	}
	ok := true
	for range jobs {
		if status := <-answers; status != http.StatusCreated && status != http.StatusOK {
			ok = false
		}
	}
	return ok
}

// leftWaiting is how long a job may wait while a machine that fits has room and no trouble is left.
const leftWaiting = 90 * time.Second

// watchSmall polls small jobs until all have begun or waited for too long, counted from now. It returns those that
// have not begun, and the least number of machines that had room for one of them at any look.
func (s *stage) watchSmall(small []*protocol.JobSpec, need func(job string) protocol.Room) (waiting map[string]bool, withRoom int) {
	began := time.Now()
	waiting, withRoom = map[string]bool{}, s.d.capacity
	for _, j := range small {
		waiting[j.ID] = true
	}
	for time.Since(began) < leftWaiting+time.Second && s.ctx.Err() == nil && len(waiting) > 0 {
		for n, j := range small {
			if !waiting[j.ID] {
				continue
			}
			if st := s.poll(s.d.names[n%len(s.d.names)], j.ID); st != nil && st.Status != protocol.Pending {
				delete(waiting, j.ID)
			}
		}
		fit := 0
		for _, room := range s.freeRoom(need) {
			if room.Fits(small[0].Need()) {
				fit++
			}
		}
		s.log("%d machines run, %d have room for a small job", s.world.RunningMachines(), fit)
		withRoom = min(withRoom, fit)
		s.sleep(2 * time.Second)
	}
	return waiting, withRoom
}

// waitingGangs: more urgent gangs wait than there is room for, and small jobs come for which there is room.
func waitingGangs(s *stage) (int, string) {
	if err := s.start(); err != nil {
		return cantRun, err.Error()
	}
	specs := map[string]*protocol.JobSpec{}
	need := func(job string) protocol.Room { return specs[job].Need() }
	first := array("wk-000001", "axle-tagging", "support", 4, 2, 60)
	specs[first.ID] = first
	var gangs, small []*protocol.JobSpec
	for n := range 50 {
		g := array(fmt.Sprintf("wk-%06d", 2000+37*n), "plate-model-train", "vision", 64, 4, 600)
		g.Shape, g.Priority, g.Accels, g.RAM = protocol.Gang, "high", 1, 32
		specs[g.ID] = g
		gangs = append(gangs, g)
	}
	for n := range 9 {
		j := array(fmt.Sprintf("wk-%06d", 700+11*n), "axle-tagging", "support", 1, 1, 10)
		specs[j.ID] = j
		small = append(small, j)
	}
	// A first job, so that machines run.
	if !s.submitAll([]*protocol.JobSpec{first}, 5*time.Minute) {
		return cantRun, "the first job was not accepted"
	}
	if !s.await(20*time.Second, func() bool { return len(s.placed(first.ID)) == first.Tasks }) {
		return cantRun, "the first job did not start"
	}
	if s.trouble && !s.submitAll(gangs, 10*time.Minute) {
		return cantRun, "a gang was not accepted"
	}
	s.sleep(3 * time.Second)
	if !s.submitAll(small, 10*time.Second) {
		return cantRun, "a small job was not accepted"
	}
	s.log("all small jobs are accepted; no trouble follows")
	waiting, withRoom := s.watchSmall(small, need)
	switch {
	case len(waiting) == 0:
		return held, "all small jobs have begun"
	case withRoom == 0 || s.ctx.Err() != nil:
		return cantRun, "no machine had room at some time, so the small jobs had to wait"
	}
	return broken, fmt.Sprintf("%d of %d small jobs have not begun after more than %.0f s, while at least %d machines had room", len(waiting), len(small), leftWaiting.Seconds(), withRoom)
}
