package placement

import (
	"testing"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// there are a gang's tasks by their states, "" for none; one of an exit names its cause.
func there(states ...string) map[int][]*board.Instance {
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

// What waited for its gang in vain keeps its place only while all others have theirs, and is
// started again there.
func TestGangThatAssembles(t *testing.T) {
	const r, p, w, run, in = board.TaskReserved, protocol.TaskPulling, protocol.TaskWaiting, protocol.TaskRunning, protocol.CauseIncomplete
	nobody, last := func(int) bool { return false }, func(index int) bool { return index == 2 }
	for _, c := range []struct {
		there     map[int][]*board.Instance
		asked     func(int) bool
		assembles bool
		step      GangStep
	}{
		{there(w, p, p), nobody, true, GangRests},
		{there(in, p, w), nobody, true, GangRests},       // it is being forgotten
		{there(r, p, w), nobody, true, GangCompletes},    // and starts where it was
		{there(r, r, w), nobody, true, GangCompletes},    //
		{there(in, in, in), nobody, true, GangClears},    //
		{there(r, r, r), nobody, true, GangStarts},       //
		{there(in, p, ""), nobody, false, GangRests},     // one has no place: none is kept
		{there(in, p, ""), last, true, GangRests},        // but it was just asked for
		{there(w, p, ""), nobody, false, GangCompletes},  //
		{there(r, r, ""), nobody, false, GangYields},     //
		{there(in, run, run), nobody, false, GangBroke},  // it ran
		{there("peers", p, w), nobody, false, GangRests}, // it is being stopped, or broke
	} {
		if got := GangAssembles(c.there, 3, c.asked); got != c.assembles {
			t.Errorf("%v assembles: %v", c.there, got)
		}
		if got := NextOfGang(c.there, 3); got.Step != c.step {
			t.Errorf("%v: step %v, not %v", c.there, got.Step, c.step)
		}
	}
}
