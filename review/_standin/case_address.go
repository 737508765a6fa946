package main

import (
	"context"
	"time"
)

func init() { cases["address"] = play{hosting, reusedAddress} }

// reusedAddress: a spot machine is taken back without notice, and a new machine of another type, which boots at
// that time, gets its address. A job that may run on machines of the first type only is submitted right after.
func reusedAddress(ctx context.Context, s *setup) (bool, error) {
	first, second := newJob("wk-000398", 1, "jade-node"), newJob("wk-000405", 2, "peak-node")
	late := newJob("wk-000412", 1, "jade-node")
	for _, j := range []map[string]any{first, second, late} {
		if err := s.cloud.upload(j, 80*time.Second); err != nil {
			return false, err
		}
	}
	var old, young *machine
	s.cloud.with(func() {
		s.cloud.numberStep = 6
		s.cloud.capacity["jade-node"] = 1
		boot := s.cloud.boot
		s.cloud.boot = func(m *machine) (time.Duration, string) {
			if m.typ.Name == "jade-node" {
				old = m
				return boot(m)
			}
			young = m
			return 15 * time.Second, "" // replaced when it comes up
		}
	})
	if err := s.users.submit(ctx, first); err != nil {
		return false, err
	}
	if err := until(ctx, 30*time.Second, "the first job runs", func() bool { return s.running("wk-000398/0") }); err != nil {
		return false, err
	}
	// The controllers close idle connections to a machine within 20 s.
	time.Sleep(22 * time.Second)
	came := make(chan struct{})
	s.cloud.with(func() {
		s.cloud.capacity["peak-node"] = 1
		s.cloud.boot = func(m *machine) (time.Duration, string) {
			young = m
			time.AfterFunc(15*time.Second, func() {
				addr := ""
				s.cloud.with(func() {
					if !s.calm {
						s.add("cloud: %s is taken back without notice", old.id)
						addr = old.addr
						old.remove()
					}
				})
				time.Sleep(700 * time.Millisecond)
				m.comeUp(addr)
				close(came)
			})
			return time.Hour, ""
		}
	})
	if err := s.users.submit(ctx, second); err != nil {
		return false, err
	}
	select {
	case <-came:
	case <-time.After(40 * time.Second):
	case <-ctx.Done():
	}
	if err := until(ctx, 4*time.Second, "the second job runs", func() bool { return s.running("wk-000405/0") }); err != nil {
		s.add("%v", err)
	}
	if err := s.users.submit(ctx, late); err != nil {
		return false, err
	}
	time.Sleep(15 * time.Second)
	_ = young
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
