package fleet

import (
	"testing"
	"time"

	"daledyke/internal/protocol"
)

// A service's replica fills a box that costs 1 an hour, or a sixteenth of a rack that costs 80.
func TestServicesAvoidExpensiveTypes(t *testing.T) {
	types := map[string]protocol.MachineType{
		"box":  {Name: "box", Cores: 4, RAM: 16, Price: 1, FetchRate: 1, BootS: 20, Zones: []string{"a", "b"}},
		"rack": {Name: "rack", Cores: 64, Accels: 8, RAM: 512, Price: 80, FetchRate: 1, BootS: 20, Zones: []string{"a"}},
	}
	gate := &protocol.JobSpec{ID: "wk-1", Shape: protocol.Service, Priority: "critical", Tasks: 3, Cores: 4, RAM: 8, Image: "x", ImageGB: 1}
	refused := false
	plan := func(machines []*Machine, ds ...Demand) map[string]int {
		rent, _ := Plan(&Input{Types: types, Machines: machines, Demands: ds, IdleAfter: time.Minute, Refused: func(k Kind) bool { return refused && k.Type == "box" }})
		n := map[string]int{}
		for _, r := range rent {
			n[r.Type] += r.Count
		}
		return n
	}
	rack := func() *Machine {
		return &Machine{ID: "m1", Type: "rack", Zone: "a", Used: true, Free: protocol.Room{Cores: 40, Accels: 4, RAM: 300}, RoomByRank: [4]protocol.Room{0: {Cores: 24, Accels: 4, RAM: 212}}}
	}
	fullBox := func() *Machine {
		return &Machine{ID: "m2", Type: "box", Zone: "a", Used: true, OtherTasks: true, RoomByRank: [4]protocol.Room{1: {Cores: 4, RAM: 16}}}
	}
	if n := plan([]*Machine{rack()}, Demand{Spec: gate, Count: 3}); n["box"] != 3 || n["rack"] != 0 {
		t.Errorf("free room on a rack must not be used while boxes can be rented: %v", n)
	}
	if n := plan([]*Machine{{ID: "m1", Type: "rack", Zone: "a", Used: true, Free: protocol.Room{Cores: 60, Accels: 8, RAM: 500}, Replicas: []Replica{{Spec: gate, RunningFor: time.Hour}, {Spec: gate, RunningFor: time.Hour}}}}); n["box"] != 2 {
		t.Errorf("boxes must be rented for the replicas on a rack: %v", n)
	}
	refused = true
	if n := plan([]*Machine{rack()}, Demand{Spec: gate, Count: 3}); len(n) != 0 {
		t.Errorf("without boxes, free room on a rack must be used: %v", n)
	}
	if n := plan([]*Machine{fullBox()}, Demand{Spec: gate, Count: 1}); len(n) != 0 {
		t.Errorf("other work must be evicted from a box before a rack is rented: %v", n)
	}
	if n := plan(nil, Demand{Spec: gate, Count: 1}); n["rack"] != 1 {
		t.Errorf("without any other machine a rack must be rented: %v", n)
	}
	if n := plan(nil, Demand{Spec: gate, Count: 4, Spare: true, TimeLeft: time.Hour}); len(n) != 0 {
		t.Errorf("a rack must not be kept ready: %v", n)
	}
}
