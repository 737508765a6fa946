package coordination

import (
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Guards against a job that waits for ever where no other machine is to be had: it avoids the machines on which it
// failed for a while after its last failure, also if it fails there again, and then no longer.
func TestJobAvoidsMachinesForAWhile(t *testing.T) {
	o, js := newTestOwner(t)
	js.failedOn, o.failingJobs = map[string]bool{}, map[string]*jobState{}
	begin := time.Now()
	failed := board.MachineView{ID: "host-000004", Failed: []string{"wk-1"}}
	o.noteFailedJobs(&failed, begin)
	if _, avoided := js.avoidedMachines(begin)["host-000004"]; !avoided {
		t.Error("not avoided after a failure")
	}
	if over := begin.Add(placement.AvoidFor); js.avoidedMachines(over) != nil {
		t.Error("avoided for ever")
	}
	again := begin.Add(placement.AvoidFor)
	failed.Tasks = []board.TaskView{{Task: "wk-1/0", Attempt: 9, State: protocol.TaskExited, Cause: protocol.CauseError}}
	if o.noteFailedJobs(&failed, again); js.avoidedMachines(again.Add(time.Second)) == nil {
		t.Error("not avoided after another failure there")
	}
	if js.verdict = placement.AtFault; js.avoidedMachines(again) != nil {
		t.Error("a job at fault avoids machines")
	}
}
