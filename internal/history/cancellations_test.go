package history

import (
	"fmt"
	"testing"
	"time"
)

// wantCancellations is the expected result for the one cancelled job in each recorded history.
var wantCancellations = map[string]struct {
	took, lastStart               time.Duration
	started, sentAfter, remaining int
	task, machine, cause          string
}{
	"hung":              {took: 31 * time.Second, task: "wk-1/0", machine: "m1", cause: "killed"},
	"moved":             {took: 12 * time.Second, task: "wk-1/0", machine: "m2", cause: "halted"},
	"never_started":     {},
	"polled_first":      {took: 8 * time.Second, task: "wk-1/0", machine: "m1", cause: "halted"},
	"remains":           {took: 25 * time.Second, task: "wk-1/1", machine: "m2", remaining: 1},
	"started_late":      {took: 21 * time.Second, lastStart: 16 * time.Second, started: 1, task: "wk-1/0", machine: "m1", cause: "halted"},
	"started_unknowing": {took: 9 * time.Second, lastStart: 5 * time.Second, started: 2, sentAfter: 1, task: "wk-1/1", machine: "m2", cause: "halted"},
}

// TestCancellations replays recorded histories of one cancelled job each. Cancellations must
// distinguish a job whose tasks stopped at once from one that lasted almost to the limit, and a command that
// was delayed in transit from one sent by an owner that did not know of the cancellation.
func TestCancellations(t *testing.T) {
	for name, want := range wantCancellations {
		t.Run(name, func(t *testing.T) {
			var c Cancellations
			end := replay(t, fmt.Sprintf("testdata/cancelled/%s.history", name), c.Observe)
			all := c.Snapshot(end)
			if len(all) != 1 {
				t.Fatalf("%d cancelled jobs, want 1", len(all))
			}
			got := all[0]
			if got.AnsweredAt != 5*time.Second || got.Took != want.took || got.LastStart != want.lastStart || got.Task != want.task || got.Machine != want.machine || got.Cause != want.cause ||
				got.StartedAfter != want.started || got.SentAfter != want.sentAfter || got.Remaining != want.remaining {
				t.Errorf("%+v", got)
			}
			if got.Duration() != max(want.took, want.lastStart) {
				t.Errorf("duration %v", got.Duration())
			}
		})
	}
}
