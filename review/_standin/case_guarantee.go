package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/protocol"
)

func init() { cases["guarantee"] = play{harbour, guaranteeOverdrawn} }

// harbour is the harbour site at its small size (kit/added/LATER.md, kit/added/korvanel-havres.toml), with the
// machines that its training jobs need.
func harbour() site {
	all := []string{"saint-malo", "roscoff", "lorient", "quiberon"}
	return site{zones: []string{"saint-malo", "saint-malo", "saint-malo"}, all: all, reportEvery: 5 * time.Second, lease: 29 * time.Second, cancelS: 54, listLag: 8 * time.Second,
		teams:      []team{{"gatehouse", 2, 16}, {"ferry-ops", 8, 64}, {"ticketing", 8, 64}, {"quayside", 2, 16}, {"tide-models", 2, 24}, {"harbour-desk", 8, 56}},
		objectives: "\n[[deployment.objectives]]\nkind = \"wait\"\nclass = \"sailing-queue-train\"\nwithin_s = 20.0\nshare = 0.8\n",
		limits:     emulator.Limits{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 24}, cloudRPS: 2,
		node:  "cores = 0.24\nmem_mb = 179.0\nfd_limit = 1800\n",
		types: []protocol.MachineType{{Name: "dolmen-node", Cores: 24, Accels: 2, RAM: 192, CacheGB: 70, FetchRate: 1, Price: 7.49, SpotPrice: 2.72, BootS: 25, Zones: all}}}
}

// trainJob is a job of the class sailing-queue-train that never saves.
func trainJob(id, crew string) map[string]any {
	return map[string]any{"id": id, "laneClass": "sailing-queue-train", "crew": crew, "shape": "ensemble", "urgency": "high",
		"passes": 1, "cores": 21.0, "accelerators": 2.0, "ramGb": 150.0, "build": "img-03", "pullGb": 5.0, "rigs": nil,
		"plaza": nil, "oneZone": true, "scatter": false, "standby": false, "expectedS": 120.0, "snapshotS": 0.0,
		"flushS": 0.0, "dueS": nil}
}

// guaranteeOverdrawn: the cloud has six machines, of two GPUs each. Six jobs of ferry-ops, of two GPUs each, run
// there: four within its guarantee of 8 GPUs, two beyond. Then three jobs of gatehouse come, of the same
// priority, of which one lies within its guarantee of 2 GPUs. In a burst they come at once, else one by one.
//
// No machine is a spot machine, none is returned or replaced, and no job is cancelled or has a higher priority, so
// that tasks of ferry-ops may only be stopped to give gatehouse its guarantee: one. Counted are the stops until
// the first task of gatehouse is stopped; what is stopped later may follow from these.
func guaranteeOverdrawn(ctx context.Context, s *setup) (bool, error) {
	const ferries, gates, allowed = 6, 3, 1
	var ferry, gate []map[string]any
	for n := range ferries {
		ferry = append(ferry, trainJob(fmt.Sprintf("wk-%06d", 101+n), "ferry-ops"))
	}
	for n := range gates {
		gate = append(gate, trainJob(fmt.Sprintf("wk-%06d", 201+n), "gatehouse"))
	}
	for _, j := range slices.Concat(ferry, gate) {
		if err := s.cloud.upload(j, 120*time.Second); err != nil {
			return false, err
		}
	}
	stops, counted := map[string]int{}, 0
	s.cloud.with(func() {
		s.cloud.capacity["dolmen-node"] = ferries
		s.cloud.stopped = func(m *machine, t *task) {
			team := t.job.spec.Team
			s.add("%s of %s is stopped on %s after %.1f s, its work is lost", t.Task, team, m.id, time.Since(t.began).Seconds())
			if stops[team]++; team == "ferry-ops" && stops["gatehouse"] == 0 {
				counted++
			}
		}
	})
	for _, j := range ferry {
		if err := s.users.submit(ctx, j); err != nil {
			return false, err
		}
	}
	if err := until(ctx, 45*time.Second, "the jobs of ferry-ops run", func() bool { return s.runningOf("ferry-ops") == ferries }); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var all sync.WaitGroup
	for n, j := range gate {
		if s.calm && n > 0 {
			time.Sleep(20 * time.Second)
		}
		all.Go(func() {
			if err := s.users.submit(ctx, j); err != nil {
				s.add("%v", err)
			}
		})
	}
	all.Wait()
	least := ferries
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		least = min(least, s.runningOf("ferry-ops"))
	}
	broken := false
	s.cloud.with(func() {
		broken = counted > allowed
		s.add("stopped until the first task of gatehouse was stopped: %d tasks of ferry-ops; to give gatehouse its guarantee: %d", counted, allowed)
		s.add("stopped in all: %d tasks of ferry-ops, %d of gatehouse; ferry-ops had %d GPUs at the least, its guarantee is 8", stops["ferry-ops"], stops["gatehouse"], 2*least)
	})
	if broken {
		s.add("RULE BROKEN: Preemption: work was stopped for work of the same priority beyond its team's guarantee")
	}
	return broken, nil
}

// runningOf counts the tasks of a team that are on machines.
func (s *setup) runningOf(team string) (n int) {
	s.cloud.with(func() { n = s.on(team) })
	return n
}

// on counts the tasks of a team that are on machines; the caller holds the lock.
func (s *setup) on(team string) (n int) {
	for _, j := range s.cloud.jobs {
		if j.spec.Team == team {
			n += len(j.on)
		}
	}
	return n
}
