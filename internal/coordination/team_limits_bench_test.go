package coordination

import (
	"fmt"
	"testing"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/protocoltest"
)

// BenchmarkTeamUsage measures what the owner of a large team sums up in a planning round: 1,500 machines with
// 13,000 tasks in 1,300 jobs, and 260 starts in flight.
func BenchmarkTeamUsage(b *testing.B) {
	o := &Owner{board: board.New(), jobs: map[string]*jobState{}, active: map[string]*jobState{}, unresolved: map[string]*jobState{}}
	tasksByMachine := make([][]board.TaskView, 1500)
	for n := range 1300 {
		spec := protocoltest.Job(func(s *protocol.JobSpec) { s.ID, s.Team, s.Tasks = fmt.Sprint("wk-", n), "bound", 12 })
		js := &jobState{job: &bookkeeping.Job{Spec: spec}, pending: map[int]*pendingStart{}}
		o.jobs[spec.ID], o.active[spec.ID] = js, js
		for index := range 10 {
			at := (n*10 + index) % len(tasksByMachine)
			tasksByMachine[at] = append(tasksByMachine[at], board.TaskView{Task: protocol.TaskName(spec.ID, index), Attempt: 1, State: protocol.TaskRunning})
		}
		if n%10 == 0 {
			js.pending[10], js.pending[11] = &pendingStart{attempt: 2}, &pendingStart{attempt: 3}
			o.unresolved[spec.ID] = js
		}
	}
	news := &board.News{Full: true, Slots: []board.SlotView{{Term: 1, Complete: true}}}
	for at, tasks := range tasksByMachine {
		news.Machines = append(news.Machines, board.MachineView{ID: fmt.Sprintf("host-%06d", at), Term: 1, Tasks: tasks})
	}
	o.board.Apply("c1", news, o.plannedAt, o.plannedAt)
	for b.Loop() {
		o.teamUsageCache = nil
		if o.currentTeamUsage().hasUnknownJobs {
			b.Fatal("unknown jobs")
		}
	}
}
