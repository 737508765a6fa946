package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
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

// Lately is how many tasks of each team were placed lately: each counts half as much a
// half-life later. A team that has none worth a tenth is forgotten.
type Lately struct {
	HalfLife time.Duration
	placed   map[string]float64
	at       time.Time
}

// Placed counts a task of a team.
func (l *Lately) Placed(team string, now time.Time) {
	l.age(now)
	if l.placed == nil {
		l.placed = map[string]float64{}
	}
	l.placed[team]++
}

func (l *Lately) age(now time.Time) {
	if past := now.Sub(l.at); past > 0 && l.HalfLife > 0 {
		for team := range l.placed {
			if l.placed[team] *= math.Exp2(-past.Seconds() / l.HalfLife.Seconds()); l.placed[team] < 0.1 {
				delete(l.placed, team)
			}
		}
		l.at = now
	}
}

// TakeTurns puts jobs, which stand in the order of what is due, in that in which they are
// placed: within a level each team has up to turnTasks tasks placed, what it had lately
// among them, before the next has its turn. A team that sends ten times its usual then
// waits behind its own work, and not the others behind it. What it had lately counts, since
// room comes free a task or two at a time: without it the hot team, whose jobs are due
// first, took each of them.
func TakeTurns[T any](jobs []T, of func(T) Waiting, lately *Lately, now time.Time) {
	lately.age(now)
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
		places[i] = place{j, w.Level, (before[t] + int(lately.placed[w.Team])) / turnTasks}
		before[t] += min(w.Tasks, turnTasks)
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.turn, b.turn)) })
	for i := range places {
		jobs[i] = places[i].job
	}
}
