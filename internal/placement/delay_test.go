package placement

import (
	"math"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Running tasks on machines with the image count as releasing room, at a rate given by their run times. Services,
// tasks on machines that still fetch the image, and tasks whose end would not free enough room do not count.
func TestReleaseRate(t *testing.T) {
	machineWith := func(free float64, image string, pulling bool, means ...time.Duration) *board.Machine {
		m := &board.Machine{Current: true, MachineView: board.MachineView{Type: "box", Zone: "a", Usable: true, Free: protocol.Room{Cores: free, Accels: 4, RAM: 256}, Images: []string{image}}}
		if pulling {
			m.Pulling = m.Images
		}
		for _, mean := range means {
			m.Instances = append(m.Instances, &board.Instance{TaskView: board.TaskView{State: protocol.TaskRunning, Attempt: uint64(mean)}, Machine: m})
		}
		return m
	}
	withMoreImages := func(m *board.Machine) *board.Machine {
		m.Images = []string{"x", "y", "z"}
		return m
	}
	p := &Placer{Spec: &protocol.JobSpec{Cores: 4, Accels: 1, RAM: 8, Image: "x"}, Types: benchTypes}
	estimate := func(i *board.Instance) RunEstimate {
		return RunEstimate{Need: protocol.Room{Cores: 4, Accels: 1, RAM: 8}, Mean: time.Duration(i.Attempt)}
	}
	for _, c := range []struct {
		name     string
		machines []*board.Machine
		want     float64
	}{
		{"two tasks of 20 s and one of 10", []*board.Machine{machineWith(0, "x", false, 20*time.Second, 20*time.Second), machineWith(0, "x", false, 10*time.Second)}, 0.2},
		{"shared with another wanted image", []*board.Machine{withMoreImages(machineWith(0, "x", false, 20*time.Second))}, 0.025},
		{"another image", []*board.Machine{machineWith(0, "y", false, 20*time.Second)}, 0},
		{"image still being fetched", []*board.Machine{machineWith(0, "x", true, 20*time.Second)}, 0},
		{"services never end", []*board.Machine{machineWith(0, "x", false, 0)}, 0},
		{"one task's end frees too little", []*board.Machine{machineWith(-2, "x", false, 20*time.Second, 20*time.Second)}, 0},
	} {
		if got := p.ReleaseRate(c.machines, map[string]bool{"x": true, "y": true}, estimate); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v a second, want %v", c.name, got, c.want)
		}
	}
}

func TestTasksToDelay(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name                       string
		rate                       float64
		othersWaiting              int
		fetch, waited, startTarget time.Duration
		want                       int
	}{
		{"half a fetch of 8 s at two a second", 2, 0, 8 * s, 0, 300 * s, 8},
		{"5 s at most", 2, 0, 50 * s, 0, 300 * s, 10},
		{"other tasks wait", 2, 7, 50 * s, 0, 300 * s, 3},
		{"many other tasks wait", 2, 100, 50 * s, 0, 300 * s, 0},
		{"the start target leaves 3 s", 2, 0, 50 * s, 37 * s, 100 * s, 6},
		{"an immediate fetch meets the target, a later one does not", 2, 0, 50 * s, 45 * s, 100 * s, 0},
		{"the target is missed already", 2, 0, 50 * s, 150 * s, 100 * s, 10},
		{"a short fetch is not worth a delay", 2, 0, s / 2, 0, 100 * s, 0},
	} {
		if got := TasksToDelay(0.5, c.rate, c.othersWaiting, c.fetch, c.waited, c.startTarget); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if got := TasksToDelay(0, 10, 0, 50*s, 0, 300*s); got != 0 {
		t.Errorf("with a fetch share of 0, %d tasks are delayed", got)
	}
}
