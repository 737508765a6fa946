package placement

import (
	"daledyke/internal/board"
	"daledyke/internal/protocol"
	"daledyke/internal/protocoltest"
	"math"
	"math/rand/v2"
	"testing"
)

func machine(id, machineType string, free protocol.Room, images ...string) *board.Machine {
	return &board.Machine{Current: true, MachineView: board.MachineView{ID: id, Type: machineType, Zone: "a", Usable: true, Free: free, Images: images}}
}

func TestBestFit(t *testing.T) {
	p := &Placer{Spec: protocoltest.Job(nil), Types: protocoltest.Types(), Scarce: map[string]bool{"large": true}, SampleSize: 8, Rand: rand.New(rand.NewPCG(1, 2))}
	small, large := protocol.Room{Cores: 8, Accels: 2, RAM: 64}, protocol.Room{Cores: 32, Accels: 8, RAM: 256}
	half := protocol.Room{Cores: 4, Accels: 1, RAM: 32}
	unusable := machine("m9", "small", small, "img")
	unusable.Usable = false
	for name, c := range map[string]struct {
		machines []*board.Machine
		want     string
	}{
		"the fuller machine":             {[]*board.Machine{machine("m1", "small", small), machine("m2", "small", half)}, "m2"},
		"the machine that has the image": {[]*board.Machine{machine("m1", "small", small, "img"), machine("m2", "small", half)}, "m1"},
		"not the scarce type":            {[]*board.Machine{machine("m1", "large", large), machine("m2", "small", small)}, "m2"},
		"not the unusable machine":       {[]*board.Machine{unusable, machine("m2", "small", small)}, "m2"},
	} {
		p.FindCandidates(c.machines)
		got, ok := p.BestFit()
		if !ok || got.Machine.ID != c.want {
			t.Errorf("%s: %v, %v", name, got.Machine, ok)
		}
	}
	p.AvoidScarce = true
	p.FindCandidates([]*board.Machine{machine("m1", "large", large, "img")})
	if _, ok := p.BestFit(); ok {
		t.Error("a service was placed on a machine that other work can't do without")
	}
	p.AvoidScarce = false
	p.FindCandidates([]*board.Machine{machine("m1", "small", protocol.Room{Cores: 3, Accels: 2, RAM: 64})})
	if _, ok := p.BestFit(); ok {
		t.Error("placed where there is no room")
	}
}

// Guards against machines with more tasks than their reports can list: such a machine has no room, unless a task is
// evicted.
func TestFullMachineByNumberOfTasks(t *testing.T) {
	m := machine("m1", "small", protocol.Room{Cores: 8, Accels: 2, RAM: 64})
	m.Instances = make([]*board.Instance, protocol.MaxTasksPerMachine-1)
	for k := range m.Instances {
		m.Instances[k] = &board.Instance{TaskView: board.TaskView{Task: protocol.TaskName("wk-2", k)}}
	}
	p := &Placer{Spec: protocoltest.Job(nil), Types: protocoltest.Types(), SampleSize: 4, Rand: rand.New(rand.NewPCG(1, 2)), TasksByZone: map[string]int{}}
	machines := []*board.Machine{m}
	p.FindCandidates(machines)
	if _, ok := p.BestFit(); !ok {
		t.Error("the last task that a report can list finds no room")
	}
	if picks, _ := p.PickGang(2, nil); picks != nil || m.RequestedTasks != 0 {
		t.Errorf("a gang finds room beyond that: %+v", picks)
	}
	m.Request(p.Spec.Need())
	p.FindCandidates(machines)
	if c, ok := p.BestFit(); ok {
		t.Errorf("a task finds room beyond that: %+v", c)
	}
	evictable := func(i *board.Instance) (Victim, bool) { return Victim{Name: i.Task, Cost: 1}, true }
	if c, ok := p.Preempt(machines, math.Inf(1), evictable); !ok || len(c.Evict) != 1 {
		t.Errorf("one task is to be evicted, got %+v", c)
	}
}
