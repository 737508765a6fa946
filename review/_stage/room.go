package main

import (
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// freeRoom returns the room that is free on each running machine that was rented, by the events of the
// environment. Tasks that wait for their image count: a start that a machine received takes its room.
func (s *stage) freeRoom(need func(job string) protocol.Room) map[string]protocol.Room {
	types := map[string]protocol.Room{}
	for _, t := range s.d.types {
		types[t.Name] = t.Room()
	}
	rented, free, tasks := map[string]string{}, map[string]protocol.Room{}, map[string]map[string]bool{}
	for _, e := range s.seen(func(history.Event) bool { return true }) {
		id, _, _ := protocol.SplitTask(e.Task)
		switch e.Kind {
		case history.MachineRented:
			rented[e.Machine] = e.Type
		case history.WorkerUp:
			free[e.Machine], tasks[e.Machine] = types[rented[e.Machine]], map[string]bool{}
		case history.MachineGone:
			delete(free, e.Machine)
		case history.StartReceived:
			if r, up := free[e.Machine]; up && e.Cause == "" && !tasks[e.Machine][e.Task] {
				tasks[e.Machine][e.Task] = true
				free[e.Machine] = r.Sub(need(id))
			}
		case history.TaskStopped, history.AttemptEnded:
			if r, up := free[e.Machine]; up && tasks[e.Machine][e.Task] {
				delete(tasks[e.Machine], e.Task)
				free[e.Machine] = r.Add(need(id))
			}
		}
	}
	return free
}

// starts returns the starts of a job's tasks that machines received.
func (s *stage) starts(id string) []history.Event {
	return s.seen(func(e history.Event) bool {
		job, _, _ := protocol.SplitTask(e.Task)
		return e.Kind == history.StartReceived && job == id
	})
}
