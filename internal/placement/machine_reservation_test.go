package placement

import (
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Room is reserved on the machines that lack the least room, never where services hold the room, and on no
// machine if there are not enough machines for the whole gang.
func TestMachinesToReserve(t *testing.T) {
	types := map[string]protocol.MachineType{"box": {Name: "box", Cores: 8, RAM: 64}}
	machine := func(id string, cores ...float64) *board.Machine { // a negative number stands for a service
		m := &board.Machine{Current: true, MachineView: board.MachineView{ID: id, Type: "box", Zone: "a", Usable: true, Free: protocol.Room{Cores: 8, RAM: 64}}}
		for _, c := range cores {
			m.Free.Cores -= max(c, -c)
			m.Instances = append(m.Instances, &board.Instance{Index: int(c), Machine: m, TaskView: board.TaskView{State: protocol.TaskRunning}})
		}
		return m
	}
	estimate := func(i *board.Instance) RunEstimate {
		if i.Index < 0 {
			return RunEstimate{}
		}
		return RunEstimate{Need: protocol.Room{Cores: float64(i.Index)}, Mean: time.Minute}
	}
	machines := []*board.Machine{machine("full", 4, 4), machine("served", -2, 4), machine("half", 4), machine("also", 3)}
	reserved := func(tasks int) (ids string) {
		p := &Placer{Spec: &protocol.JobSpec{Cores: 8, RAM: 8}, Types: types, TasksByZone: map[string]int{}}
		for _, m := range p.MachinesToReserve(machines, tasks, estimate) {
			ids += m.ID + " "
		}
		return ids
	}
	if got := reserved(2); got != "also half " {
		t.Errorf("reserved on %s", got)
	}
	if got := reserved(3); got != "also half full " {
		t.Errorf("reserved on %s", got)
	}
	if got := reserved(4); got != "" {
		t.Errorf("reserved on %s, where a service that never ends holds room", got)
	}
}
