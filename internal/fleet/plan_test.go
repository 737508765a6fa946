package fleet

import (
	"daledyke/internal/protocol"
	"daledyke/internal/protocoltest"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func TestPlanFleet(t *testing.T) {
	refusedZone := ""
	plan := func(machines []*Machine, ds ...Demand) ([]Rental, []string) {
		return Plan(&Input{Types: protocoltest.Types(), Machines: machines, Demands: ds, IdleAfter: 20 * time.Second,
			Refused: func(k Kind) bool { return k.Zone == refusedZone }})
	}
	total := func(rs []Rental) (n int) {
		for _, r := range rs {
			n += r.Count
		}
		return n
	}
	if rent, _ := plan(nil, Demand{Spec: protocoltest.Job(nil), Count: 4}); total(rent) != 2 || rent[0].Type != "small" || rent[0].Spot {
		t.Errorf("four tasks need two small machines, got %+v", rent)
	}
	if rent, _ := plan(nil, Demand{Spec: protocoltest.Job(func(s *protocol.JobSpec) { s.Spot = true }), Count: 4}); total(rent) != 2 || !rent[0].Spot {
		t.Errorf("work that may use spot machines needs two of them, got %+v", rent)
	}
	booting := &Machine{ID: "m1", Type: "small", Zone: "a", Booting: true, Free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}
	if rent, _ := plan([]*Machine{booting}, Demand{Spec: protocoltest.Job(nil), Count: 2}); total(rent) != 0 {
		t.Errorf("booting machines must be counted, but rented %+v", rent)
	}
	refusedZone = "a"
	if rent, _ := plan(nil, Demand{Spec: protocoltest.Job(nil), Count: 2}); total(rent) != 1 || rent[0].Zone != "b" {
		t.Errorf("refused kinds must not be requested again at once: %+v", rent)
	}
	refusedZone = ""
	idle := func() *Machine {
		return &Machine{ID: "m2", Type: "small", Zone: "a", Free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}, Idle: time.Minute}
	}
	if _, returned := plan([]*Machine{idle()}); !slices.Equal(returned, []string{"m2"}) {
		t.Errorf("idle machines must be returned, got %v", returned)
	}
	if _, returned := plan([]*Machine{idle()}, Demand{Spec: protocoltest.Job(nil), Count: 1, Spare: true}); len(returned) != 0 {
		t.Errorf("idle machines kept ready must not be returned, got %v", returned)
	}
	idleWork := Demand{Spec: protocoltest.Job(func(s *protocol.JobSpec) { s.Spot, s.Priority = true, "idle" }), Count: 400, Filler: true}
	if rent, _ := plan(nil, idleWork); total(rent) != 2 || !rent[0].Spot {
		t.Errorf("filler work needs two spot machines and no more, got %+v", rent)
	}
	if rent, _ := plan([]*Machine{{ID: "m4", Type: "small", Zone: "a", FillerRoom: protocol.Room{Cores: 8, Accels: 2, RAM: 64}},
		{ID: "m5", Type: "small", Zone: "a", Booting: true, Free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}}, idleWork); total(rent) != 0 {
		t.Errorf("machines that run or boot for filler work must be counted, but rented %+v", rent)
	}
	if rent, _ := plan([]*Machine{idle()}, Demand{Spec: protocoltest.Job(nil), Count: 1, Avoid: map[string]bool{"m2": true}}); total(rent) != 1 {
		t.Errorf("room on a machine that the job avoids must not be counted, but rented %+v", rent)
	}
	tiny := Demand{Spec: protocoltest.Job(func(s *protocol.JobSpec) { s.Cores, s.Accels, s.RAM = 0.001, 0, 0.001 }), Count: 2 * protocol.MaxTasksPerMachine}
	almostFull := &Machine{ID: "m6", Type: "small", Zone: "a", Free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}, Tasks: protocol.MaxTasksPerMachine - 1}
	if rent, _ := plan([]*Machine{almostFull}, tiny); total(rent) != 2 {
		t.Errorf("tiny tasks need as many machines as can list them in their reports, got %+v", rent)
	}
	filled := &Machine{ID: "m3", Type: "small", Zone: "a", FillerRoom: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}
	high := protocoltest.Job(func(s *protocol.JobSpec) { s.Priority = "high" })
	for _, spare := range []bool{false, true} {
		// Filler work is evicted for expected work, too. Otherwise it repeatedly took the machines that had been
		// rented to be kept ready.
		filled.Free = protocol.Room{}
		if rent, _ := plan([]*Machine{filled}, Demand{Spec: high, Count: 2, Spare: spare}); total(rent) != 0 {
			t.Errorf("filler work must be evicted before renting, but rented %+v", rent)
		}
	}
	gang := protocoltest.Job(func(s *protocol.JobSpec) { s.Cores, s.Shape = 20, protocol.Gang })
	if rent, _ := plan(nil, Demand{Spec: gang, Count: 1}, Demand{Spec: protocoltest.Job(nil), Count: 2}); total(rent) != 1 || rent[0].Type != "large" {
		t.Errorf("small tasks must share the large task's machine, got %+v", rent)
	}
}

// The timeouts are raised where boot times of the type are long, but remain bounded, so that a machine that never
// boots is still returned.
func TestBootTimeouts(t *testing.T) {
	const boot = 40 * time.Second
	usualLate, usualNever := BootTimeouts(boot, nil)
	if usualLate != 77*time.Second || usualNever != 119*time.Second {
		t.Errorf("no boot times observed: %v, %v", usualLate, usualNever)
	}
	slow := []time.Duration{90 * time.Second, 95 * time.Second, 110 * time.Second, 100 * time.Second, 30 * time.Second}
	if late, never := BootTimeouts(boot, slow); late != 125*time.Second || never != 200*time.Second {
		t.Errorf("slow boots observed: %v, %v", late, never)
	}
	quick := []time.Duration{time.Second, time.Second, time.Second, time.Second, 300 * time.Second}
	if late, never := BootTimeouts(boot, quick); late != usualLate || never != usualNever {
		t.Errorf("mostly quick boots observed: %v, %v", late, never)
	}
}

// Short tasks share room one after the other if the start-time target leaves time for it.
func TestConcurrentTasks(t *testing.T) {
	for _, c := range []struct {
		tasks              int
		estimate, timeLeft time.Duration
		want               int
	}{
		{25, 35 * time.Second, 93 * time.Second, 25},
		{25000, 4 * time.Second, 320 * time.Second, 695},
		{25000, 4 * time.Second, 10 * time.Second, 25000},
		{3, time.Second, 400 * time.Second, 1},
		{7, time.Minute, -time.Second, 7},
	} {
		if got := ConcurrentTasks(c.tasks, c.estimate, c.timeLeft); got != c.want {
			t.Errorf("%d tasks of %v in %v: room for %d at a time", c.tasks, c.estimate, c.timeLeft, got)
		}
	}
}

// Machines without tasks are returned at once as long as the others have room for unexpected work; filler work is
// no reason to keep them.
func TestSurplusMachinesAreReturned(t *testing.T) {
	fleet := func(busy, empty int) (ms []*Machine) {
		for n := range busy + empty {
			m := &Machine{ID: fmt.Sprintf("m%02d", n), Type: "small", Zone: "a", Free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}
			if n < busy {
				m.Used, m.Free = true, protocol.Room{Cores: 4, Accels: 1, RAM: 32}
			}
			ms = append(ms, m)
		}
		return ms
	}
	fillerDemand := Demand{Spec: protocoltest.Job(func(s *protocol.JobSpec) { s.Priority = "idle" }), Count: 100, Filler: true}
	for _, c := range []struct {
		busy, empty, unneeded int
		demands               []Demand
	}{
		{20, 10, 10, nil},
		{20, 10, 10, []Demand{fillerDemand}},
		{20, 10, 0, []Demand{{Spec: protocoltest.Job(nil), Count: 34}}},
		{0, 3, 2, nil},
		{2, 1, 1, nil},
		{1, 1, 0, nil},
	} {
		if _, unneeded := Plan(&Input{Types: protocoltest.Types(), Machines: fleet(c.busy, c.empty), Demands: c.demands, IdleAfter: time.Minute,
			Refused: func(Kind) bool { return false }}); len(unneeded) != c.unneeded {
			t.Errorf("%d busy and %d empty: %v", c.busy, c.empty, unneeded)
		}
	}
}

// Room is kept ready only for tasks for which a rented machine would be late. The test guards against a third of
// the fleet being kept empty for a class whose image fetch alone takes nearly as long as its target.
func TestSpareTasks(t *testing.T) {
	now := time.Now()
	arrivals := func(image float64) *Class { // one a second
		c := &Class{Spec: protocoltest.Job(nil), ImageGB: image}
		for i := range MaxArrivals {
			c.Arrivals = append(c.Arrivals, now.Add(-time.Duration(i)*time.Second))
		}
		return c
	}
	for image, want := range map[float64]int{0.5: 5, 3: 8, 30: 38} { // start target 10 s, boot time 13 s
		if n, _ := SpareTasks(arrivals(image), protocoltest.Types(), 10*time.Second, 1, now, now.Add(-time.Hour)); n != want {
			t.Errorf("image of %v GB: room for %d tasks, want %d", image, n, want)
		}
	}
	if n, _ := SpareTasks(arrivals(3), protocoltest.Types(), math.MaxInt64, 1, now, now.Add(-time.Hour)); n != 0 {
		t.Errorf("room for %d tasks without a start target", n)
	}
}
