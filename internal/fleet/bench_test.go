package fleet

import (
	"fmt"
	"testing"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/protocoltest"
)

// BenchmarkPlan plans a fleet that is half used, for 60 waiting jobs.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{100, 400, 1400, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				in := &Input{Types: protocoltest.Types(), IdleAfter: time.Minute, Refused: func(Kind) bool { return false }}
				for k := range n {
					in.Machines = append(in.Machines, &Machine{ID: fmt.Sprintf("m%05d", k), Type: "large", Zone: "a", Used: k%2 == 0,
						Free: protocol.Room{Cores: float64(4 * (k % 8)), Accels: float64(k % 8), RAM: 128}})
				}
				for range 60 {
					in.Demands = append(in.Demands, Demand{Spec: protocoltest.Job(nil), Count: 20})
				}
				b.StartTimer()
				Plan(in)
			}
		})
	}
}
