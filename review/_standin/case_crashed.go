package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

func init() { cases["crashed"] = play{hosting, allEndWhileHeld} }

// allEndWhileHeld: commands to start the five tasks of a job, one on each of five machines, are held up on their
// way. All controllers end right after, and are back at once. The tasks are then started on other machines. One of
// the five reboots 15 s after the commands were sent, and then they arrive.
func allEndWhileHeld(ctx context.Context, s *setup) (bool, error) {
	const machines = 5
	first, late := newJob("wk-000398", machines, "jade-node"), newJob("wk-000412", machines, "jade-node")
	first["cores"] = 7.0
	urgent := newJob("wk-000420", machines, "jade-node")
	urgent["urgency"] = "critical"
	for _, j := range []map[string]any{first, late, urgent} {
		if err := s.cloud.upload(j, 90*time.Second); err != nil {
			return false, err
		}
	}
	s.cloud.with(func() { s.cloud.capacity["jade-node"] = machines })
	if err := s.users.submit(ctx, first); err != nil {
		return false, err
	}
	if err := until(ctx, 30*time.Second, "the first job runs", func() bool { return s.runningOf("hosting") == machines }); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	hold := func(on bool) {
		s.cloud.with(func() {
			for _, m := range s.cloud.machines {
				m.holdStarts = on && !s.calm
			}
		})
	}
	hold(true)
	held := time.Now()
	if err := s.users.submit(ctx, late); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	if !s.calm {
		for n := range s.nodes.cmds {
			s.nodes.kill(n)
		}
		hold(false)
		time.Sleep(300 * time.Millisecond)
		for n := range s.nodes.cmds {
			if err := s.nodes.start(n); err != nil {
				return false, err
			}
		}
	}
	// Urgent work takes the room of the five machines, so that the tasks are started on others.
	s.cloud.with(func() { s.cloud.capacity["jade-node"] = 2 * machines })
	if err := s.users.submit(ctx, urgent); err != nil {
		return false, err
	}
	time.Sleep(time.Until(held.Add(15 * time.Second)))
	if late := time.Since(held); late > 16*time.Second {
		return false, fmt.Errorf("the commands would be held for %v", late)
	}
	var moved *machine
	s.cloud.with(func() {
		for _, m := range s.cloud.machines {
			s.add("%s: held commands start %v", m.id, m.heldStarts)
			for _, pass := range m.heldStarts {
				if on := s.cloud.jobs["wk-000412"].on[pass]; on != nil && on != m {
					moved = m
				}
			}
		}
		if moved == nil {
			return
		}
		moved.reboot()
		for _, m := range s.cloud.machines {
			m.deliver()
		}
	})
	if moved == nil && !s.calm {
		return false, errors.New("each task was started where its held command goes")
	}
	time.Sleep(6 * time.Second)
	return len(s.cloud.violations()) > 0, nil
}
