package history

import (
	"fmt"
	"testing"
	"time"
)

// cancelledOnce is what must be said of the one cancelled job in each kept history: the time until
// the last of its tasks was gone, the starts after the answer and how many were sent after it.
var cancelledOnce = map[string]struct {
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

// TestCancellationsAreMeasured replays kept histories of one cancelled job each: the measure must
// tell a job whose tasks were gone at once from one that lasted to just within the bound, and a
// command that was held up on its way from one that was sent by who had not heard.
func TestCancellationsAreMeasured(t *testing.T) {
	for name, want := range cancelledOnce {
		t.Run(name, func(t *testing.T) {
			var c Cancellations
			end := readKept(t, fmt.Sprintf("testdata/cancelled/%s.history", name), c.Note)
			all := c.At(end)
			if len(all) != 1 {
				t.Fatalf("%d cancelled jobs", len(all))
			}
			got := all[0]
			if got.Told != 5*time.Second || got.Took != want.took || got.LastStart != want.lastStart || got.Task != want.task || got.Machine != want.machine || got.Cause != want.cause ||
				got.StartedAfter != want.started || got.SentAfter != want.sentAfter || got.Remaining != want.remaining {
				t.Errorf("%+v", got)
			}
			if got.Lasted() != max(want.took, want.lastStart) {
				t.Errorf("lasted %v", got.Lasted())
			}
		})
	}
}
