package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type waiting struct {
	name string
	Waiting
}

// A hot team's jobs come first by what is due; the others' come after its first turn all
// the same. Work of a higher level comes before all of it.
func TestTeamsTakeTurns(t *testing.T) {
	jobs := []waiting{{"gate", Waiting{0, "hot", 4}}}
	for n := range 5 {
		jobs = append(jobs, waiting{fmt.Sprint("hot", n), Waiting{1, "hot", 20}})
	}
	jobs = append(jobs, waiting{"census", Waiting{1, "guest", 100_000}}, waiting{"own", Waiting{1, "calm", 3}}, waiting{"last", Waiting{1, "guest", 1}})
	var lately Lately
	lately.HalfLife = 10 * time.Second
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		name string
		want []string
	}{
		{"nothing was placed lately", []string{"gate", "hot0", "hot1", "census", "own", "hot2", "hot3", "last", "hot4"}},
		{"the hot team had much", []string{"gate", "census", "own", "last", "hot0", "hot1", "hot2", "hot3", "hot4"}},
		{"that is long ago", []string{"gate", "hot0", "hot1", "census", "own", "hot2", "hot3", "last", "hot4"}},
	} {
		placed := slices.Clone(jobs)
		TakeTurns(placed, func(w waiting) Waiting { return w.Waiting }, &lately, now)
		var got []string
		for _, j := range placed {
			got = append(got, j.name)
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
		if now = now.Add(time.Minute); step.name == "nothing was placed lately" {
			for range 3 * turnTasks {
				lately.Placed("hot", now)
			}
		}
	}
}

// Whatever waits: levels stay apart, a team's own jobs keep their order, and before any
// job of a level there are at most two turns and a job more of any other team than of its own.
func TestTurnsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []waiting
		for n := range rapid.IntRange(0, 60).Draw(t, "jobs") {
			jobs = append(jobs, waiting{fmt.Sprintf("%03d", n), Waiting{rapid.IntRange(0, 2).Draw(t, "level"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.IntRange(1, 90).Draw(t, "tasks")}})
		}
		all := slices.Clone(jobs)
		TakeTurns(jobs, func(w waiting) Waiting { return w.Waiting }, &Lately{}, time.Time{})
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
				if n > before[j.Team]+2*turnTasks {
					t.Fatalf("%s waits for %d tasks of %s, with %d of its own", j.name, n, team, before[j.Team])
				}
			}
			last[j.Team] = j.name
			before[j.Team] += min(j.Tasks, turnTasks)
		}
		if len(jobs) != len(all) {
			t.Fatal("some are lost")
		}
	})
}
