package main

import (
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

func init() { cases["scarce"] = keptMachine }

// keptMachine: a service could run on a machine of a type that another class can't do without, and the cloud has
// no other machine.
func keptMachine(s *stage) (int, string) {
	d := &s.d
	d.zones = []string{"taoyuan", "songshan", "kaohsiung"}
	d.types = []protocol.MachineType{
		{Name: "jade-node", Cores: 12, Accels: 2, RAM: 72, CacheGB: 100, FetchRate: 0.5, Price: 5.03, SpotPrice: 1.89, BootS: 40, Zones: d.zones},
		{Name: "peak-node", Cores: 24, Accels: 4, RAM: 96, CacheGB: 100, FetchRate: 0.5, Price: 11.46, SpotPrice: 4.1, BootS: 25, Zones: d.zones},
	}
	d.capacity, d.maxByType = 3, map[string]int{"jade-node": 2, "peak-node": 1}
	d.leaseS, d.cancelS, d.rps, d.writeRPS, d.txnOps, d.restartDelay = 18, 38, 250, 100, 48, 8*time.Second
	d.objectives = "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"gate-vision\"\nwithin_s = 70.0\nshare = 0.8\n"
	if err := s.start(); err != nil {
		return cantRun, err.Error()
	}
	specs := map[string]*protocol.JobSpec{}
	need := func(job string) protocol.Room { return specs[job].Need() }
	accept := func(j *protocol.JobSpec, run time.Duration) bool {
		specs[j.ID] = j
		status, _ := s.submit(j, func(int) time.Duration { return run })
		return status == http.StatusCreated || status == http.StatusOK
	}
	// A task that fits on a peak-node alone.
	large := array("wk-000100", "rate-train", "lanes", 1, 14, 600)
	large.Accels, large.RAM = 1, 30
	if !accept(large, 10*time.Minute) {
		return cantRun, "a job was not accepted"
	}
	service := func(n int) *protocol.JobSpec {
		j := array(fmt.Sprintf("wk-%06d", 200+n), "gate-vision", "lanes", 1, 4, 0)
		j.Shape, j.Priority, j.Accels, j.RAM, j.Image, j.ImageGB = protocol.Service, "critical", 1, 14, "img-06", 6
		return j
	}
	for n := range 4 {
		if !accept(service(n), 0) {
			return cantRun, "a service was not accepted"
		}
	}
	if !s.await(30*time.Second, func() bool {
		for id := range specs {
			if len(s.starts(id)) != 1 {
				return false
			}
		}
		return true
	}) {
		return cantRun, "the first jobs did not start"
	}
	if !s.trouble {
		return held, "all services of the usual load have been started"
	}
	last := service(4)
	if !accept(last, 0) {
		return cantRun, "a service was not accepted"
	}
	waiting, withRoom := s.watchSmall([]*protocol.JobSpec{last}, need)
	switch {
	case len(waiting) == 0:
		return held, "the service has begun"
	case len(s.starts(last.ID)) > 0:
		return held, "the service has been started"
	case withRoom == 0 || s.ctx.Err() != nil:
		return cantRun, "no machine had room at some time, so the service had to wait"
	}
	return broken, fmt.Sprintf("the service has not been started after more than %.0f s, while a machine had room for it", leftWaiting.Seconds())
}
