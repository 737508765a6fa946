package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/fleet"
	"daledyke/internal/protocol"
)

var types = map[string]protocol.MachineType{
	"box":  {Name: "box", Cores: 8, Accels: 4, RAM: 64, Price: 4, SpotPrice: 1, Zones: []string{"a", "b"}},
	"rack": {Name: "rack", Cores: 32, Accels: 16, RAM: 256, Price: 20, SpotPrice: 6, Zones: []string{"a", "b"}},
}

// fleetOf draws a fleet that runs services and other work.
func fleetOf(t *rapid.T) *fleet.Input {
	in := &fleet.Input{Types: types, Scarce: map[string]bool{}}
	for k := range rapid.IntRange(2, 60).Draw(t, "machines") {
		m := &fleet.Machine{ID: fmt.Sprintf("m%02d", k), Type: rapid.SampledFrom([]string{"box", "box", "box", "rack"}).Draw(t, "type"), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")}
		whole := types[m.Type]
		m.Free = whole.Room()
		for n := range rapid.IntRange(0, 4).Draw(t, "tasks") {
			s := &protocol.JobSpec{ID: fmt.Sprintf("wk-%d-%d", k, n), Shape: protocol.Service, Tasks: 2, Cores: 2, Accels: 1, RAM: 8, Image: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image"),
				Scatter: rapid.Bool().Draw(t, "scatter")}
			m.Free, m.Used, m.Pinned = m.Free.Sub(s.Need()), true, true
			m.Images = append(m.Images, s.Image)
			m.Replicas = append(m.Replicas, fleet.Replica{Spec: s, RunningFor: time.Duration(rapid.IntRange(0, 100).Draw(t, "ran")) * time.Second})
		}
		m.OtherTasks = len(m.Replicas) < 4 && rapid.IntRange(0, 5).Draw(t, "others") == 0
		in.Machines = append(in.Machines, m)
	}
	return in
}

// For any fleet a plan moves no replica that has not settled and no more than the budget allows, empties no
// machine that receives replicas, and finds room for all replicas that it moves.
func TestVacatePlanIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := fleetOf(t)
		free := map[string]protocol.Room{}
		byID := map[string]*fleet.Machine{}
		for _, m := range in.Machines {
			free[m.ID], byID[m.ID] = m.Free, m
		}
		moveBudget := rapid.IntRange(0, 12).Draw(t, "move budget")
		chosen := Vacate(in, nil, nil, moveBudget)
		moved, movedRoom := 0, protocol.Room{}
		emptied := map[string]bool{}
		for _, id := range chosen {
			emptied[id] = true
			for _, r := range byID[id].Replicas {
				moved++
				movedRoom = movedRoom.Add(r.Spec.Need())
				if r.RunningFor < SettledAfter {
					t.Fatalf("%s moves after %v", r.Spec.ID, r.RunningFor)
				}
			}
			if byID[id].OtherTasks {
				t.Fatalf("%s has tasks of other jobs", id)
			}
		}
		if moved > moveBudget {
			t.Fatalf("%d moves with a budget of %d", moved, moveBudget)
		}
		receivedRoom := protocol.Room{}
		for _, m := range in.Machines {
			if m.Free != free[m.ID] {
				if emptied[m.ID] {
					t.Fatalf("%s is emptied and receives services", m.ID)
				}
				if !m.Free.Fits(protocol.Room{}) {
					t.Fatalf("%s is overfull: %v", m.ID, m.Free)
				}
				receivedRoom = receivedRoom.Add(free[m.ID].Sub(m.Free))
			}
		}
		if d := receivedRoom.Sub(movedRoom); d.Cores > 1e-9 || d.Cores < -1e-9 {
			t.Fatalf("services with %v are moved to room of %v", movedRoom, receivedRoom)
		}
	})
}

// When each plan is carried out before the next is made, the plans end: services are not moved in circles.
func TestVacateConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := fleetOf(t)
		for _, m := range in.Machines {
			for k := range m.Replicas {
				m.Replicas[k].RunningFor = time.Hour
			}
		}
		for round := 0; ; round++ {
			if round > 2*len(in.Machines) {
				t.Fatal("plans do not converge")
			}
			copied := *in
			copied.Machines = nil
			for _, m := range in.Machines {
				n := *m
				copied.Machines = append(copied.Machines, &n)
			}
			emptied := Vacate(&copied, nil, nil, 1000)
			byID := map[string]*fleet.Machine{}
			for _, m := range in.Machines {
				byID[m.ID] = m
			}
			if len(emptied) == 0 {
				return
			}
			// Carry out the plan: the emptied machines are returned, others receive their services.
			var remaining []*fleet.Machine
			for i, m := range copied.Machines {
				if n := in.Machines[i]; m.Free != n.Free {
					m.Replicas = append(m.Replicas[:len(m.Replicas):len(m.Replicas)], fleet.Replica{Spec: &protocol.JobSpec{ID: "wk-moved", Shape: protocol.Service, Tasks: 1, Cores: n.Free.Sub(m.Free).Cores,
						Accels: n.Free.Sub(m.Free).Accels, RAM: n.Free.Sub(m.Free).RAM, Image: "x"}, RunningFor: time.Hour})
				}
			}
			for _, m := range copied.Machines {
				isEmptied := false
				for _, id := range emptied {
					isEmptied = isEmptied || id == m.ID
				}
				if !isEmptied {
					remaining = append(remaining, m)
				}
			}
			in = &fleet.Input{Types: in.Types, Scarce: in.Scarce, Machines: remaining}
		}
	})
}

// One small snapshot for each rule.
func TestVacate(t *testing.T) {
	type testMachine struct {
		replicas   int
		image      string
		runningFor time.Duration
		otherTasks bool
		packed     bool
		zone       string
		scatter    bool
	}
	for _, c := range []struct {
		name       string
		fleet      []testMachine
		grown      bool
		vacating   []string
		moveBudget int
		want       string
	}{
		{name: "a half-empty fleet is consolidated", fleet: []testMachine{{replicas: 1}, {replicas: 2}, {replicas: 2}, {replicas: 2}}, moveBudget: 9, want: "[m0]"},
		{name: "at most two machines at a time", fleet: []testMachine{{replicas: 1}, {replicas: 1}, {replicas: 1}, {replicas: 1}, {replicas: 1}, {replicas: 1}, {replicas: 1}}, moveBudget: 9, want: "[m0 m2]"},
		{name: "too little room elsewhere", fleet: []testMachine{{replicas: 3}, {replicas: 3}, {replicas: 3}}, moveBudget: 9, want: "[]"},
		{name: "nothing while the type has grown", fleet: []testMachine{{replicas: 1}, {replicas: 2}, {replicas: 2}, {replicas: 2}}, grown: true, moveBudget: 9, want: "[]"},
		{name: "recently moved replicas stay", fleet: []testMachine{{replicas: 1, runningFor: 20 * time.Second}, {replicas: 2, runningFor: 20 * time.Second}, {replicas: 2, runningFor: 20 * time.Second}, {replicas: 2, runningFor: 20 * time.Second}}, moveBudget: 9, want: "[]"},
		{name: "no move budget", fleet: []testMachine{{replicas: 1}, {replicas: 2}, {replicas: 2}, {replicas: 2}}, moveBudget: 0, want: "[]"},
		{name: "a machine being vacated goes on without a budget", fleet: []testMachine{{replicas: 1}, {replicas: 2}, {replicas: 2}, {replicas: 2}}, vacating: []string{"m0"}, moveBudget: 0, want: "[m0]"},
		{name: "a machine with other tasks is not vacated", fleet: []testMachine{{replicas: 1, otherTasks: true}, {replicas: 2}, {replicas: 2}, {replicas: 2}}, moveBudget: 9, want: "[m1]"},
		{name: "room that the plan uses is not counted on", fleet: []testMachine{{replicas: 1, packed: true}, {replicas: 2, packed: true}, {replicas: 2, packed: true}, {replicas: 2, packed: true}}, moveBudget: 9, want: "[]"},
		{name: "only to machines with the image", fleet: []testMachine{{replicas: 1, image: "odd"}, {replicas: 2}, {replicas: 2}, {replicas: 2}}, moveBudget: 9, want: "[m1]"},
		{name: "a replica of a scattered service stays in its zone", fleet: []testMachine{{replicas: 1, scatter: true}, {replicas: 2, zone: "b", scatter: true}, {replicas: 2, zone: "b", scatter: true}, {replicas: 2, zone: "b", scatter: true}}, moveBudget: 9, want: "[m1]"},
	} {
		in := &fleet.Input{Types: types, Scarce: map[string]bool{}}
		for k, g := range c.fleet {
			box := types["box"]
			m := &fleet.Machine{ID: fmt.Sprintf("m%d", k), Type: "box", Zone: g.zone, OtherTasks: g.otherTasks, Packed: g.packed, Free: box.Room()}
			if m.Zone == "" {
				m.Zone = "a"
			}
			if g.image == "" {
				g.image = "x"
			}
			if g.runningFor == 0 {
				g.runningFor = time.Hour
			}
			m.Images = []string{g.image}
			for range g.replicas {
				s := &protocol.JobSpec{Shape: protocol.Service, Cores: 2, Accels: 1, RAM: 8, Image: g.image, Scatter: g.scatter}
				m.Replicas, m.Free = append(m.Replicas, fleet.Replica{Spec: s, RunningFor: g.runningFor}), m.Free.Sub(s.Need())
			}
			in.Machines = append(in.Machines, m)
		}
		vacating := map[string]bool{}
		for _, id := range c.vacating {
			vacating[id] = true
		}
		if got := fmt.Sprint(Vacate(in, map[string]bool{"box": c.grown}, vacating, c.moveBudget)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Services move away from types on which they cost far more than elsewhere, even to machines that no service
// keeps and that lack their image, and never to machines on which they cost more. The test guards against moves
// of replicas from small machines that they fill to large machines, which are then kept for them.
func TestServicesMoveToCheaperMachines(t *testing.T) {
	small := map[string]protocol.MachineType{
		"box":  {Name: "box", Cores: 4, RAM: 16, Price: 1, FetchRate: 1, BootS: 20, Zones: []string{"a"}},
		"rack": {Name: "rack", Cores: 64, Accels: 8, RAM: 512, Price: 80, FetchRate: 1, BootS: 20, Zones: []string{"a"}},
	}
	replica := func(id string) fleet.Replica {
		return fleet.Replica{Spec: &protocol.JobSpec{ID: id, Shape: protocol.Service, Tasks: 2, Cores: 4, RAM: 8, Image: "x", ImageGB: 1}, RunningFor: time.Hour}
	}
	machine := func(id, machineType string, replicas ...fleet.Replica) *fleet.Machine {
		whole := small[machineType]
		m := &fleet.Machine{ID: id, Type: machineType, Zone: "a", Free: whole.Room(), Replicas: replicas, Pinned: len(replicas) > 0, Used: len(replicas) > 0, Images: []string{"x"}}
		for _, r := range replicas {
			m.Free = m.Free.Sub(r.Spec.Need())
		}
		return m
	}
	vacated := func(machines ...*fleet.Machine) []string {
		return Vacate(&fleet.Input{Types: small, Machines: machines}, map[string]bool{"rack": true}, nil, 60)
	}
	if got := vacated(machine("b1", "box", replica("wk-1")), machine("b2", "box", replica("wk-2")), machine("b3", "box", replica("wk-3")),
		machine("r1", "rack", replica("wk-4"))); len(got) > 0 {
		t.Errorf("%v were emptied into a rack", got)
	}
	fresh := machine("b9", "box")
	fresh.Images = nil
	if got := vacated(machine("r1", "rack", replica("wk-4")), fresh); !slices.Equal(got, []string{"r1"}) {
		t.Errorf("%v were emptied, want the rack", got)
	}
	if got := vacated(machine("r1", "rack", replica("wk-4"), replica("wk-5")), fresh); len(got) > 0 {
		t.Errorf("%v were emptied although one more box is needed", got)
	}
}
