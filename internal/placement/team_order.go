package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// tasksPerTurn is how many tasks of one team are placed before those of other teams at the same level.
const tasksPerTurn = 32

// QueuedJob is a job with tasks to place, as the order among jobs sees it.
type QueuedJob struct {
	// Level: jobs of lower levels come first, whatever their team. Teams take turns within a level.
	Level int
	Team  string
	Tasks int
}

// RecentPlacements counts the tasks of each team that were placed recently; the counts decay with a half-life.
// A team whose count falls below 0.1 is dropped.
type RecentPlacements struct {
	HalfLife time.Duration
	placed   map[string]float64
	updated  time.Time
}

// Record counts one placed task of a team.
func (r *RecentPlacements) Record(team string, now time.Time) {
	r.decay(now)
	if r.placed == nil {
		r.placed = map[string]float64{}
	}
	r.placed[team]++
}

func (r *RecentPlacements) decay(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 && r.HalfLife > 0 {
		for team := range r.placed {
			if r.placed[team] *= math.Exp2(-elapsed.Seconds() / r.HalfLife.Seconds()); r.placed[team] < 0.1 {
				delete(r.placed, team)
			}
		}
		r.updated = now
	}
}

// InterleaveTeams reorders jobs, sorted by due time, into the order in which they are placed: within a level up
// to tasksPerTurn tasks of one team are placed before the next team has its turn. A team that submits ten
// times its usual load then delays its own jobs and not those of others. Recent placements count towards a
// turn, since room comes free a task or two at a time: otherwise the busy team, whose jobs are due first,
// took each of them.
func InterleaveTeams[T any](jobs []T, queued func(T) QueuedJob, recent *RecentPlacements, now time.Time) {
	recent.decay(now)
	type place struct {
		job         T
		level, turn int
	}
	type team struct {
		level int
		name  string
	}
	places, tasksBefore := make([]place, len(jobs)), map[team]int{}
	for i, j := range jobs {
		q := queued(j)
		t := team{q.Level, q.Team}
		places[i] = place{j, q.Level, (tasksBefore[t] + int(recent.placed[q.Team])) / tasksPerTurn}
		tasksBefore[t] += min(q.Tasks, tasksPerTurn)
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.turn, b.turn)) })
	for i := range places {
		jobs[i] = places[i].job
	}
}
