package main

import (
	"context"
	"errors"
	"time"
)

func init() { cases["address"] = play{hosting, reusedAddress} }

// reusedAddress: a spot machine is taken back without notice, and a new machine of another type, which boots at
// that time, gets its address. A job that may run on machines of the first type only is submitted right after.
func reusedAddress(ctx context.Context, s *setup) (bool, error) {
	first, others := newJob("wk-000398", 1, "jade-node"), newJob("wk-000399", 8, "peak-node")
	next, late := newJob("wk-000405", 2, "peak-node"), newJob("wk-000412", 1, "jade-node")
	for _, j := range []map[string]any{first, others, next, late} {
		if err := s.cloud.upload(j, 90*time.Second); err != nil {
			return false, err
		}
	}
	s.cloud.with(func() { s.cloud.capacity["jade-node"], s.cloud.capacity["peak-node"] = 1, 2 })
	if err := s.users.submit(ctx, first); err != nil {
		return false, err
	}
	if err := until(ctx, 30*time.Second, "the first job runs", func() bool { return s.runningOf("hosting") == 1 }); err != nil {
		return false, err
	}
	if err := s.users.submit(ctx, others); err != nil {
		return false, err
	}
	if err := until(ctx, 30*time.Second, "the other job runs", func() bool { return s.runningOf("hosting") == 9 }); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	came := make(chan struct{})
	s.cloud.with(func() {
		old := s.cloud.machines[0]
		s.cloud.capacity["peak-node"] = 3
		s.cloud.boot = func(m *machine) time.Duration {
			const boot = 15 * time.Second
			time.AfterFunc(boot, func() {
				defer close(came)
				addr := ""
				if !s.calm {
					s.cloud.with(func() {
						s.add("cloud: %s is taken back without notice", old.id)
						addr = old.addr
						old.remove()
					})
				}
				time.Sleep(700 * time.Millisecond)
				m.comeUp(addr)
			})
			return 0 // comes up by itself
		}
	})
	if err := s.users.submit(ctx, next); err != nil {
		return false, err
	}
	select {
	case <-came:
	case <-time.After(30 * time.Second):
		return false, errors.New("no third machine was rented")
	}
	if err := until(ctx, 4*time.Second, "the next job runs", func() bool { return s.running("wk-000405/0") }); err != nil {
		return false, err
	}
	if err := s.users.submit(ctx, late); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	return len(s.cloud.violations()) > 0, nil
}

// running reports whether a task is on a machine.
func (s *setup) running(pass string) (on bool) {
	s.cloud.with(func() {
		for _, j := range s.cloud.jobs {
			on = on || j.on[pass] != nil
		}
	})
	return on
}
