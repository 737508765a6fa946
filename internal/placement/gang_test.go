package placement

import (
	"testing"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// instancesIn gives a gang's tasks one instance each in the given states, "" for none; an exit is given by
// its cause.
func instancesIn(states ...string) map[int][]*board.Instance {
	all := map[int][]*board.Instance{}
	for index, state := range states {
		i := &board.Instance{TaskView: board.TaskView{Attempt: 7, State: state}}
		switch state {
		case "":
			continue
		case protocol.CauseIncomplete, "peers":
			i.State, i.Cause = protocol.TaskExited, state
		}
		all[index] = []*board.Instance{i}
	}
	return all
}

// A gang that gave up waiting for its peers keeps its places only while every other task has one, and restarts
// there.
func TestGangCanAssemble(t *testing.T) {
	const r, p, w, run, incomplete = board.TaskReserved, protocol.TaskPulling, protocol.TaskWaiting, protocol.TaskRunning, protocol.CauseIncomplete
	none, lastTask := func(int) bool { return false }, func(index int) bool { return index == 2 }
	for _, c := range []struct {
		instances   map[int][]*board.Instance
		requested   func(int) bool
		canAssemble bool
		step        GangStep
	}{
		{instancesIn(w, p, p), none, true, GangNoAction},
		{instancesIn(incomplete, p, w), none, true, GangNoAction}, // the machine still remembers the exited attempt
		{instancesIn(r, p, w), none, true, GangReplaceMissing},    // the exited task is to restart in its place
		{instancesIn(r, r, w), none, true, GangReplaceMissing},
		{instancesIn(incomplete, incomplete, incomplete), none, true, GangClearExited},
		{instancesIn(r, r, r), none, true, GangStart},
		{instancesIn(incomplete, p, ""), none, false, GangNoAction},    // one task has no place: the others give up theirs
		{instancesIn(incomplete, p, ""), lastTask, true, GangNoAction}, // a place for the last task was just requested
		{instancesIn(w, p, ""), none, false, GangReplaceMissing},
		{instancesIn(r, r, ""), none, false, GangReleaseAll},
		{instancesIn(incomplete, run, run), none, false, GangBroken}, // the gang ran
		{instancesIn("peers", p, w), none, false, GangNoAction},      // the gang is being stopped, or is broken
	} {
		if got := GangCanAssemble(c.instances, 3, c.requested); got != c.canAssemble {
			t.Errorf("%v can assemble: %v", c.instances, got)
		}
		if got := NextGangStep(c.instances, 3); got.Step != c.step {
			t.Errorf("%v: step %v, want %v", c.instances, got.Step, c.step)
		}
	}
}
