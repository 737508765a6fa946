package fleet

import (
	"testing"

	"daledyke/internal/protocol"
)

// A team's jobs are together granted no more than its limit leaves, except for one gang that is next to start;
// resources without a limit do not bind.
func TestAllowance(t *testing.T) {
	job := func(shape protocol.Shape, accels float64) *protocol.JobSpec {
		return &protocol.JobSpec{Shape: shape, Cores: 4, Accels: accels, RAM: 1}
	}
	a := NewAllowance(protocol.Room{Accels: 10}, protocol.Room{Cores: 999, Accels: 3})
	for i, step := range []struct {
		s       *protocol.JobSpec
		missing int
		want    int
	}{
		{job(protocol.Array, 0), 500, 500}, // uses no limited resource
		{job(protocol.Gang, 2), 3, 3},
		{job(protocol.Array, 2), 2, 0}, // one GPU is left
		{job(protocol.Gang, 2), 4, 4},  // next to start
		{job(protocol.Gang, 2), 4, 0},
	} {
		if got := a.Take(step.s, step.missing); got != step.want {
			t.Errorf("step %d: %d, want %d", i, got, step.want)
		}
	}
	if got := NewAllowance(protocol.Room{Cores: 8}, protocol.Room{Cores: 20}).Take(job(protocol.Array, 0), 3); got != 0 {
		t.Errorf("a limit below the present use leaves %d", got)
	}
}
