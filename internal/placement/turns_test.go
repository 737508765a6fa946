package placement

import (
	"fmt"
	"slices"
	"testing"

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
	TakeTurns(jobs, func(w waiting) Waiting { return w.Waiting })
	var got []string
	for _, j := range jobs {
		got = append(got, j.name)
	}
	if want := []string{"gate", "hot0", "hot1", "census", "own", "hot2", "hot3", "last", "hot4"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
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
		TakeTurns(jobs, func(w waiting) Waiting { return w.Waiting })
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
