package main

import (
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

func init() { cases["image"] = waitsForImage }

// waitsForImage: a task could start on a machine that lacks its image, while others with that image run longer than
// their owner estimated.
func waitsForImage(s *stage) (int, string) {
	// One type of machine, and two machines.
	s.d.types, s.d.capacity = s.d.types[:1], 2
	s.d.objectives = "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"toll-reconcile\"\nwithin_s = 8.0\nshare = 0.82\n"
	if err := s.start(); err != nil {
		return cantRun, err.Error()
	}
	specs := map[string]*protocol.JobSpec{}
	need := func(job string) protocol.Room { return specs[job].Need() }
	add := func(j *protocol.JobSpec, image string, gb float64) *protocol.JobSpec {
		specs[j.ID], j.Image, j.ImageGB = j, image, gb
		return j
	}
	// Tasks that fill the first machine. They run for 150 s.
	const runs = 150.0
	estimate := runs
	if s.trouble {
		estimate = runs / 2 // "often wrong by half"
	}
	long := add(array("wk-000100", "axle-tagging", "billing", 64, 0.5, estimate), "img-01", 3)
	accept := func(j *protocol.JobSpec, run time.Duration) bool {
		status, _ := s.submit(j, func(int) time.Duration { return run })
		return status == http.StatusCreated || status == http.StatusOK
	}
	if !accept(long, runs*time.Second) {
		return cantRun, "a job was not accepted"
	}
	if !s.await(20*time.Second, func() bool { return len(s.starts(long.ID)) == long.Tasks }) {
		return cantRun, "the tasks that fill a machine did not start"
	}
	// A service and another job fill the second machine.
	reader := add(array("wk-000200", "plate-reader", "lanes", 1, 5, 0), "img-02", 0.5)
	reader.Shape, reader.Priority, reader.Accels, reader.RAM = protocol.Service, "critical", 1, 38
	other := add(array("wk-000300", "clip-extract", "data", 1, 27, 60), "img-02", 0.5)
	if !accept(reader, 0) || !accept(other, time.Minute) {
		return cantRun, "a job was not accepted"
	}
	if !s.await(20*time.Second, func() bool { return len(s.starts(reader.ID)) == 1 && len(s.starts(other.ID)) == 1 }) {
		return cantRun, "the jobs that fill the second machine did not start"
	}
	waits := add(array("wk-000400", "toll-reconcile", "billing", 1, 0.5, 20), "img-01", 3)
	if !accept(waits, 10*time.Second) {
		return cantRun, "a job was not accepted"
	}
	s.sleep(9 * time.Second)
	if len(s.starts(waits.ID)) > 0 {
		return cantRun, "the job did not have to wait at first"
	}
	if len(s.placed(long.ID)) < long.Tasks {
		return cantRun, "the tasks that fill a machine don't run"
	}
	s.log("user calls off %s, which makes room on the second machine", other.ID)
	if s.cancel(other.ID, 20*time.Second) != protocol.Cancelled || !s.await(5*time.Second, func() bool { return len(s.placed(other.ID)) == 0 }) {
		return cantRun, "the second machine got no room"
	}
	waiting, withRoom := s.watchSmall([]*protocol.JobSpec{waits}, need)
	switch {
	case len(waiting) == 0:
		return held, "the job has begun"
	case withRoom == 0 || s.ctx.Err() != nil:
		return cantRun, "no machine had room at some time, so the job had to wait"
	}
	return broken, fmt.Sprintf("the job has not begun after more than %.0f s, while a machine had room for it", leftWaiting.Seconds())
}
