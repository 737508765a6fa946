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
	const r, p, w, run, in = board.TaskReserved, protocol.TaskPulling, protocol.TaskWaiting, protocol.TaskRunning, protocol.CauseIncomplete
	nobody, last := func(int) bool { return false }, func(index int) bool { return index == 2 }
	for _, c := range []struct {
		instances map[int][]*board.Instance
		requested func(int) bool
		assembles bool
		step      GangStep
	}{
		{instancesIn(w, p, p), nobody, true, GangNoAction},
		{instancesIn(in, p, w), nobody, true, GangNoAction},        // the exited attempt is being forgotten
		{instancesIn(r, p, w), nobody, true, GangReplaceMissing},   // and restarts in its place
		{instancesIn(r, r, w), nobody, true, GangReplaceMissing},   //
		{instancesIn(in, in, in), nobody, true, GangClearExited},   //
		{instancesIn(r, r, r), nobody, true, GangStart},            //
		{instancesIn(in, p, ""), nobody, false, GangNoAction},      // one has no place: the others give theirs up
		{instancesIn(in, p, ""), last, true, GangNoAction},         // but one was just requested
		{instancesIn(w, p, ""), nobody, false, GangReplaceMissing}, //
		{instancesIn(r, r, ""), nobody, false, GangReleaseAll},     //
		{instancesIn(in, run, run), nobody, false, GangBroken},     // it ran
		{instancesIn("peers", p, w), nobody, false, GangNoAction},  // it is being stopped, or is broken
	} {
		if got := GangCanAssemble(c.instances, 3, c.requested); got != c.assembles {
			t.Errorf("%v can assemble: %v", c.instances, got)
		}
		if got := NextGangStep(c.instances, 3); got.Step != c.step {
			t.Errorf("%v: step %v, want %v", c.instances, got.Step, c.step)
		}
	}
}
