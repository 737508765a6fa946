package placement

import (
	"cmp"
	"slices"
)

// turnTasks is how many tasks a team has placed before others' of the same level come
// again.
const turnTasks = 32

// Waiting is a job with tasks to place, as the order among jobs sees it.
type Waiting struct {
	// Level: lower ones come first, whatever the team. Within one, teams take turns.
	Level int
	Team  string
	Tasks int
}

// TakeTurns puts jobs, which stand in the order of what is due, in that in which they are
// placed: within a level each team has up to turnTasks tasks placed before the next has its
// turn. A team that sends ten times its usual then waits behind its own work, and not the
// others behind it.
func TakeTurns[T any](jobs []T, of func(T) Waiting) {
	type place struct {
		job         T
		level, turn int
	}
	type team struct {
		level int
		name  string
	}
	places, before := make([]place, len(jobs)), map[team]int{}
	for i, j := range jobs {
		w := of(j)
		t := team{w.Level, w.Team}
		places[i] = place{j, w.Level, before[t] / turnTasks}
		before[t] += min(w.Tasks, turnTasks)
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.turn, b.turn)) })
	for i := range places {
		jobs[i] = places[i].job
	}
}
