package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type namedJob struct {
	name string
	QueuedJob
}

// A busy team's jobs come first by due time, but the other teams' jobs come right after its first turn. Jobs
// of a lower level come before all of them.
func TestInterleaveTeams(t *testing.T) {
	jobs := []namedJob{{"gate", QueuedJob{0, "hot", 4}}}
	for n := range 5 {
		jobs = append(jobs, namedJob{fmt.Sprint("hot", n), QueuedJob{1, "hot", 20}})
	}
	jobs = append(jobs, namedJob{"census", QueuedJob{1, "guest", 100_000}}, namedJob{"own", QueuedJob{1, "calm", 3}}, namedJob{"last", QueuedJob{1, "guest", 1}})
	var recent RecentPlacements
	recent.HalfLife = 10 * time.Second
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		name string
		want []string
	}{
		{"nothing was placed recently", []string{"gate", "hot0", "hot1", "census", "own", "hot2", "hot3", "last", "hot4"}},
		{"the hot team had many placements", []string{"gate", "census", "own", "last", "hot0", "hot1", "hot2", "hot3", "hot4"}},
		{"its placements are long ago", []string{"gate", "hot0", "hot1", "census", "own", "hot2", "hot3", "last", "hot4"}},
	} {
		placed := slices.Clone(jobs)
		InterleaveTeams(placed, func(j namedJob) QueuedJob { return j.QueuedJob }, &recent, now)
		var got []string
		for _, j := range placed {
			got = append(got, j.name)
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
		if now = now.Add(time.Minute); step.name == "nothing was placed recently" {
			for range 3 * tasksPerTurn {
				recent.Record("hot", now)
			}
		}
	}
}

// For any queue: levels stay apart, a team's own jobs keep their order, and no job waits for more than two turns
// and one job more of another team than of its own.
func TestInterleaveTeamsIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []namedJob
		for n := range rapid.IntRange(0, 60).Draw(t, "jobs") {
			jobs = append(jobs, namedJob{fmt.Sprintf("%03d", n), QueuedJob{rapid.IntRange(0, 2).Draw(t, "level"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.IntRange(1, 90).Draw(t, "tasks")}})
		}
		all := slices.Clone(jobs)
		InterleaveTeams(jobs, func(j namedJob) QueuedJob { return j.QueuedJob }, &RecentPlacements{}, time.Time{})
		last, before, level := map[string]string{}, map[string]int{}, 0
		for _, j := range jobs {
			if j.Level < level {
				t.Fatalf("%s of level %d comes after level %d", j.name, j.Level, level)
			}
			if j.Level > level {
				level, last, before = j.Level, map[string]string{}, map[string]int{}
			}
			if last[j.Team] > j.name {
				t.Fatalf("%s comes after %s", j.name, last[j.Team])
			}
			for team, n := range before {
				if n > before[j.Team]+2*tasksPerTurn {
					t.Fatalf("%s waits for %d tasks of %s, with %d of its own", j.name, n, team, before[j.Team])
				}
			}
			last[j.Team] = j.name
			before[j.Team] += min(j.Tasks, tasksPerTurn)
		}
		if len(jobs) != len(all) {
			t.Fatal("jobs are missing")
		}
	})
}
