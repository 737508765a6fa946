package placement

import (
	"math"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// How often room comes free where the image is: of what runs there, by its run times; not
// of what never ends, of machines that still fetch it, or of tasks whose end would not be enough.
func TestEnds(t *testing.T) {
	m := func(free float64, image string, pulling bool, means ...time.Duration) *board.Machine {
		m := &board.Machine{Current: true, MachineView: board.MachineView{Type: "box", Zone: "a", Usable: true, Free: protocol.Room{Cores: free, Accels: 4, RAM: 256}, Images: []string{image}}}
		if pulling {
			m.Pulling = m.Images
		}
		for _, mean := range means {
			m.Instances = append(m.Instances, &board.Instance{TaskView: board.TaskView{State: protocol.TaskRunning, Attempt: uint64(mean)}, Machine: m})
		}
		return m
	}
	both := func(m *board.Machine) *board.Machine {
		m.Images = []string{"x", "y", "z"}
		return m
	}
	p := &Placing{Spec: &protocol.JobSpec{Cores: 4, Accels: 1, RAM: 8, Image: "x"}, Types: benchTypes}
	of := func(i *board.Instance) Ending {
		return Ending{Need: protocol.Room{Cores: 4, Accels: 1, RAM: 8}, Mean: time.Duration(i.Attempt)}
	}
	for _, c := range []struct {
		name     string
		machines []*board.Machine
		want     float64
	}{
		{"two tasks of 20 s and one of 10", []*board.Machine{m(0, "x", false, 20*time.Second, 20*time.Second), m(0, "x", false, 10*time.Second)}, 0.2},
		{"shared with another image that is wanted", []*board.Machine{both(m(0, "x", false, 20*time.Second))}, 0.025},
		{"another image", []*board.Machine{m(0, "y", false, 20*time.Second)}, 0},
		{"still fetched", []*board.Machine{m(0, "x", true, 20*time.Second)}, 0},
		{"services never end", []*board.Machine{m(0, "x", false, 0)}, 0},
		{"one is not enough", []*board.Machine{m(-2, "x", false, 20*time.Second, 20*time.Second)}, 0},
	} {
		if got := p.Ends(c.machines, map[string]bool{"x": true, "y": true}, of); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v a second, want %v", c.name, got, c.want)
		}
	}
}

func TestHold(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name                  string
		rate                  float64
		ahead                 int
		fetch, waited, within time.Duration
		want                  int
	}{
		{"half a fetch of 8 s at two a second", 2, 0, 8 * s, 0, 300 * s, 8},
		{"5 s at most", 2, 0, 50 * s, 0, 300 * s, 10},
		{"others are ahead", 2, 7, 50 * s, 0, 300 * s, 3},
		{"many are", 2, 100, 50 * s, 0, 300 * s, 0},
		{"the aim leaves 3 s for it", 2, 0, 50 * s, 37 * s, 100 * s, 6},
		{"fetched at once it is in time, later not", 2, 0, 50 * s, 45 * s, 100 * s, 0},
		{"late it is in any case", 2, 0, 50 * s, 150 * s, 100 * s, 10},
		{"a fetch of a moment is no reason to wait", 2, 0, s / 2, 0, 100 * s, 0},
	} {
		if got := Hold(0.5, c.rate, c.ahead, c.fetch, c.waited, c.within); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if got := Hold(0, 10, 0, 50*s, 0, 300*s); got != 0 {
		t.Errorf("without patience %d wait", got)
	}
}
