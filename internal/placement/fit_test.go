package placement

import (
	"daledyke/internal/board"
	"daledyke/internal/protocol"
	"daledyke/internal/protocoltest"
	"math/rand/v2"
	"testing"
)

func machine(id, rig string, free protocol.Room, images ...string) *board.Machine {
	return &board.Machine{Current: true, MachineView: board.MachineView{ID: id, Type: rig, Zone: "a", Usable: true, Free: free, Images: images}}
}

func TestBestFit(t *testing.T) {
	p := &Placing{Spec: protocoltest.Job(nil), Types: protocoltest.Types(), Scarce: map[string]bool{"large": true}, Sample: 8, Rand: rand.New(rand.NewPCG(1, 2))}
	small, large := protocol.Room{Cores: 8, Accels: 2, RAM: 64}, protocol.Room{Cores: 32, Accels: 8, RAM: 256}
	half := protocol.Room{Cores: 4, Accels: 1, RAM: 32}
	away := machine("m9", "small", small, "img")
	away.Usable = false
	for name, c := range map[string]struct {
		machines []*board.Machine
		want     string
	}{
		"the fuller machine":                {[]*board.Machine{machine("m1", "small", small), machine("m2", "small", half)}, "m2"},
		"the image at hand":                 {[]*board.Machine{machine("m1", "small", small, "img"), machine("m2", "small", half)}, "m1"},
		"large ones are kept whole":         {[]*board.Machine{machine("m1", "large", large), machine("m2", "small", small)}, "m2"},
		"one that can't be used is no good": {[]*board.Machine{away, machine("m2", "small", small)}, "m2"},
	} {
		p.Gather(c.machines)
		got, ok := p.BestFit()
		if !ok || got.Machine.ID != c.want {
			t.Errorf("%s: %v, %v", name, got.Machine, ok)
		}
	}
	p.Keep = true
	p.Gather([]*board.Machine{machine("m1", "large", large, "img")})
	if _, ok := p.BestFit(); ok {
		t.Error("a service was given a machine that other work can't do without")
	}
	p.Keep = false
	p.Gather([]*board.Machine{machine("m1", "small", protocol.Room{Cores: 3, Accels: 2, RAM: 64})})
	if _, ok := p.BestFit(); ok {
		t.Error("placed where there is no room")
	}
}
