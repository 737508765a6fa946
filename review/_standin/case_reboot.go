package main

import (
	"context"
	"time"
)

func init() { cases["reboot"] = play{hosting, rebootedMachine} }

// rebootedMachine: the network between three machines and everything else is interrupted for longer than the
// lease, and holds what is sent there: among it the command to start a task. One machine reboots meanwhile. When the
// interruption ends, the held command arrives at a worker that has begun anew.
func rebootedMachine(ctx context.Context, s *setup) (bool, error) {
	first, late := newJob("wk-000398", 9, "jade-node"), newJob("wk-000412", 1, "jade-node")
	for _, j := range []map[string]any{first, late} {
		if err := s.cloud.upload(j, 90*time.Second); err != nil {
			return false, err
		}
	}
	s.cloud.with(func() { s.cloud.capacity["jade-node"] = 5 })
	if err := s.users.submit(ctx, first); err != nil {
		return false, err
	}
	if err := until(ctx, 40*time.Second, "the first job runs", func() bool { return s.runningOf("hosting") == 9 }); err != nil {
		return false, err
	}
	time.Sleep(1200 * time.Millisecond) // all have reported that
	var cut []*machine
	s.cloud.with(func() {
		cut = append(cut, s.cloud.machines...)
		if !s.calm {
			for _, m := range cut {
				m.setCut(true)
			}
		}
		s.cloud.capacity["jade-node"] = 12
	})
	if err := s.users.submit(ctx, late); err != nil {
		return false, err
	}
	if err := until(ctx, 50*time.Second, "the second job runs", func() bool { return s.running("wk-000412/0") }); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	s.cloud.with(func() {
		for _, m := range cut {
			if !s.calm && !m.gone {
				if len(m.held) > 0 {
					m.reboot()
				}
				m.setCut(false)
			}
		}
	})
	time.Sleep(6 * time.Second)
	return len(s.cloud.violations()) > 0, nil
}
