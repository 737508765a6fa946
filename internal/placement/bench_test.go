package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
	"daledyke/internal/protocoltest"
)

// BenchmarkRound measures what a placement round does for each task: it places one task on a fleet that is three
// quarters full, and finds what to evict for another that has no room.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{100, 400, 1400, 6000} {
		var machines []*board.Machine
		for k := range n {
			m := machine(fmt.Sprintf("m%05d", k), "large", protocol.Room{Cores: 8 * float64(k%2), Accels: 2 * float64(k%2), RAM: 64})
			for t := range 3 {
				m.Instances = append(m.Instances, &board.Instance{TaskView: board.TaskView{Task: fmt.Sprintf("wk-%d/%d", k, t), State: protocol.TaskRunning}, Job: fmt.Sprint("wk-", k), Machine: m})
			}
			machines = append(machines, m)
		}
		p := &Placer{Types: protocoltest.Types(), SampleSize: 6, Rand: rand.New(rand.NewPCG(1, 2))}
		b.Run(fmt.Sprintf("fit/%d", n), func(b *testing.B) {
			p.Spec = protocoltest.Job(nil)
			for b.Loop() {
				p.FindCandidates(machines)
				if _, ok := p.BestFit(); !ok {
					b.Fatal("no room")
				}
			}
		})
		b.Run(fmt.Sprintf("preempt/%d", n), func(b *testing.B) {
			p.Spec = protocoltest.Job(func(s *protocol.JobSpec) { s.Cores, s.Priority = 20, "critical" })
			victim, by := Claim{Spec: protocoltest.Job(nil), Rank: 1}, Claim{Spec: p.Spec, Rank: 3}
			now := time.Now()
			for b.Loop() {
				if _, ok := p.Preempt(machines, 1e9, func(i *board.Instance) (Victim, bool) { return EvictionCost(i, victim, by, now) }); !ok {
					b.Fatal("nothing to evict")
				}
			}
		})
	}
}
