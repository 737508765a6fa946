package lab

import (
	"os"
	"path/filepath"
	"testing"
)

// teamLimitSoakSeeds are the seeds of the soak in CI; the experiment names more for a longer one by hand.
var teamLimitSoakSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// oneProcessorCommand is commandOfThisTest on one processor: the race detector may crash when two threads use the
// timers of a synctest bubble at the same time.
var oneProcessorCommand = []string{"/bin/sh", "-c", runDirVariable + `="$1" GOMAXPROCS=1 exec "$0"`, os.Args[0]}

// Soak of two teams at their limits.
func TestTeamsStayWithinTheirLimitsWhileJobsEndAmidTheirStarts(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/lab/team-limits.edn")
	if err != nil {
		t.Fatal(err)
	}
	experiment, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	experiment.Seeds = teamLimitSoakSeeds
	runner := &Runner{Dir: filepath.Join(t.TempDir(), "result"), Command: oneProcessorCommand}
	result, err := runner.Run(t.Context(), experiment)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Runs) != len(teamLimitSoakSeeds) {
		t.Errorf("%d runs", len(result.Runs))
	}
	for _, run := range result.Runs {
		if len(run.Broken) > 0 || run.Starts == 0 {
			t.Errorf("%s: %d starts, broken: %v", run.Run, run.Starts, run.Broken)
		}
	}
}
