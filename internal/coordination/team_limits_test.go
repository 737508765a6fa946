package coordination

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

// request puts a start of a task in flight, as addStart and sendRequest do.
func (o limitedOwner) request(js *jobState, index int, attempt uint64) *pendingStart {
	m := o.board.Machines["host-000004"]
	ps := &pendingStart{attempt: attempt, machine: m.ID, holder: "c1", holderIncarnation: 5, slot: m.Slot, slotTerm: m.Term,
		need: js.job.Spec.Need(), requestID: protocol.NewToken(1, 7)}
	js.pending[index], o.unresolved[js.job.Spec.ID] = ps, js
	return ps
}

// end ends a job as its record does.
func (o limitedOwner) end(js *jobState, state string) {
	ended := *js.job
	ended.State = state
	o.jobChanged(&ended)
}

// expectRoom checks for how many more tasks of a job the team's limit has room.
func (o limitedOwner) expectRoom(js *jobState, want int, when string) {
	o.t.Helper()
	o.teamUsageCache = nil
	for n := 1; n <= want; n++ {
		if !o.teamLimitAllows(js, n) {
			o.t.Errorf("%s: no room for %d tasks", when, n)
		}
	}
	if o.teamLimitAllows(js, want+1) {
		o.t.Errorf("%s: room for %d tasks", when, want+1)
	}
}

// accepted is the reply of a holder that accepts a start and shows it from version 6 on.
var accepted = &AskReply{Incarnation: 5, Version: 6, Refused: []string{""}}

// newsOfVersion is what the machine's holder shows at a version of its feed.
func newsOfVersion(version uint64, tasks ...board.TaskView) *board.News {
	news := holderNews(5, true, tasks...)
	news.Version = version
	return news
}

// reply handles the answer to the request of a start.
func (o limitedOwner) reply(ps *pendingStart, reply *AskReply, err error) {
	request := &AskArgs{ID: ps.requestID, Starts: []Start{{Task: "wk-1/0", Attempt: ps.attempt, Machine: ps.machine}}}
	o.handleReply(ps.holder, request, []*pendingStart{ps}, reply, err)
}

// A start may be carried out although its job ended meanwhile.
func TestStartInFlightOfEndedJobCountsAgainstTeamLimit(t *testing.T) {
	running := board.TaskView{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}
	unanswered := errors.New("no answer")
	for _, c := range []struct {
		name string
		// counts are steps after which the start still counts, settles is the step that proves that it is over.
		counts  []func(o limitedOwner, ps *pendingStart)
		settles func(o limitedOwner, ps *pendingStart)
	}{
		{"refused", nil, func(o limitedOwner, ps *pendingStart) {
			o.reply(ps, &AskReply{Refused: []string{"not to be run"}}, nil)
		}},
		{"void", nil, func(o limitedOwner, ps *pendingStart) { o.reply(ps, nil, errRequestVoid) }},
		{"carried out and stopped", []func(limitedOwner, *pendingStart){
			func(o limitedOwner, ps *pendingStart) { o.reply(ps, accepted, nil) },
			func(o limitedOwner, _ *pendingStart) { o.apply(newsOfVersion(5)) },
			func(o limitedOwner, _ *pendingStart) { o.apply(newsOfVersion(6, running)) },
		}, func(o limitedOwner, _ *pendingStart) { o.apply(newsOfVersion(7)) }},
		{"carried out before the reply", []func(limitedOwner, *pendingStart){
			func(o limitedOwner, _ *pendingStart) { o.apply(newsOfVersion(6, running)) },
			func(o limitedOwner, ps *pendingStart) { o.reply(ps, accepted, nil) },
			func(o limitedOwner, ps *pendingStart) { o.reply(ps, accepted, nil) },
		}, func(o limitedOwner, _ *pendingStart) { o.apply(newsOfVersion(7)) }},
		{"unanswered and fenced", []func(limitedOwner, *pendingStart){
			func(o limitedOwner, ps *pendingStart) { o.reply(ps, nil, unanswered) },
		}, func(o limitedOwner, _ *pendingStart) { o.apply(newsOfVersion(7)) }},
		{"holder never returns", []func(limitedOwner, *pendingStart){
			func(o limitedOwner, ps *pendingStart) { o.reply(ps, nil, unanswered) },
			func(o limitedOwner, _ *pendingStart) { o.apply(holderNews(6, false)) },
		}, func(o limitedOwner, _ *pendingStart) { o.apply(holderNews(6, true)) }},
		{"machine gone for good", []func(limitedOwner, *pendingStart){
			func(o limitedOwner, ps *pendingStart) { o.reply(ps, nil, unanswered) },
		}, func(o limitedOwner, ps *pendingStart) { o.machineChanged(ps.machine, nil) }},
	} {
		for _, state := range []string{protocol.Cancelled, protocol.Done} {
			t.Run(c.name+"/"+state, func(t *testing.T) {
				o, first, second := newLimitedOwner(t)
				start := o.request(first, 0, 3)
				o.expectRoom(second, 1, "start in flight")
				o.end(first, state)
				o.expectRoom(second, 1, "job ended")
				for n, step := range c.counts {
					step(o, start)
					o.expectRoom(second, 1, fmt.Sprintf("step %d", n))
				}
				c.settles(o, start)
				o.expectRoom(second, 2, "settled")
				o.apply(newsOfVersion(8))
				if _, kept := o.unresolved["wk-1"]; kept {
					t.Error("the ended job is kept for ever")
				}
			})
		}
	}
}

// A job that is forgotten could not be told from one of another team.
func TestEndedJobIsKeptWhileItsStartsAreInFlight(t *testing.T) {
	o, first, _ := newLimitedOwner(t)
	start := o.request(first, 0, 3)
	o.end(first, protocol.Cancelled)
	o.evictFinalJobs()
	if o.jobs["wk-1"] == nil {
		t.Error("forgotten while a start is in flight")
	}
	o.reply(start, &AskReply{Refused: []string{"not to be run"}}, nil)
	o.apply(newsOfVersion(6))
	o.evictFinalJobs()
	if o.jobs["wk-1"] != nil {
		t.Error("kept for ever")
	}
}

// What former owners started of a job no longer matters once it has ended.
func TestEndedJobIsNotKeptForStartsOfFormerOwners(t *testing.T) {
	o, first, _ := newLimitedOwner(t)
	first.ownedBlocks[0].ownership = &ownership{gainWindow: 4, completeSlots: map[int]bool{}}
	o.unresolved["wk-1"] = first
	o.end(first, protocol.Cancelled)
	if o.unresolved["wk-1"] != nil {
		t.Error("kept for ever")
	}
}

// A start is no other attempt of its task: both take room.
func TestStartBesideAnotherAttemptCountsAgainstTeamLimit(t *testing.T) {
	o, first, second := newLimitedOwner(t)
	o.request(first, 0, 3)
	o.apply(newsOfVersion(6, board.TaskView{Task: "wk-1/0", Attempt: 2, State: protocol.TaskRunning}))
	o.expectRoom(second, 0, "another attempt runs")
	o.apply(newsOfVersion(7, board.TaskView{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}))
	o.expectRoom(second, 1, "the attempt runs")
}

// The command to start a task that its machine does not show may still be carried out there.
func TestLostTaskCountsAgainstTeamLimit(t *testing.T) {
	starting := board.TaskView{Task: "wk-1/0", Attempt: 3, State: board.TaskStarting}
	lost := board.TaskView{Task: "wk-1/0", Attempt: 3, State: protocol.TaskExited, Cause: board.CauseLost}
	t.Run("shown by its holder", func(t *testing.T) {
		o, _, second := newLimitedOwner(t)
		o.apply(newsOfVersion(6, starting))
		o.expectRoom(second, 1, "starting")
		o.apply(newsOfVersion(7, lost))
		o.expectRoom(second, 1, "lost")
		o.apply(newsOfVersion(8))
		o.expectRoom(second, 2, "no longer lost")
	})
	t.Run("machine with a new holder", func(t *testing.T) {
		o, _, second := newLimitedOwner(t)
		o.board.StartCommandLifetime = time.Minute
		o.apply(newsOfVersion(6, starting))
		o.apply(holderNews(7, true))
		o.expectRoom(second, 1, "lost")
		o.board.ExpireLost(time.Now().Add(time.Hour))
		o.expectRoom(second, 2, "no longer in transit")
	})
}

// As for team limits, in nested quotas.
func TestLostTaskKeepsItsQuota(t *testing.T) {
	o, first, _ := newLimitedOwner(t)
	tree, err := quota.NewTree([]quota.Account{{Name: "bound", Limit: protocol.Room{Cores: 8}}}, func(string) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	o.quotas = newQuotas(tree, nil)
	authority := quota.NewAuthority(tree)
	o.quotas.authorities["bound"] = authority
	for _, c := range []struct {
		task board.TaskView
		uses float64
	}{
		{board.TaskView{Task: "wk-1/0", Attempt: 3, State: board.TaskStarting}, 4},
		{board.TaskView{Task: "wk-1/0", Attempt: 3, State: protocol.TaskExited, Cause: board.CauseLost}, 4},
		{board.TaskView{Task: "wk-1/0", Attempt: 3, State: protocol.TaskExited, Cause: protocol.CauseError}, 0},
	} {
		o.apply(holderNews(5, true, c.task))
		if used := authority.Ledger().Used("bound").Cores; used != c.uses {
			t.Errorf("%s: %s of %s uses %v CPUs", first.job.Spec.ID, c.task.State, c.task.Cause, used)
		}
	}
}

// Replies to a start that is not pending, or to an earlier one, say nothing about the pending one.
func TestOtherRepliesLeaveAPendingStart(t *testing.T) {
	o, first, second := newLimitedOwner(t)
	start := o.request(first, 0, 3)
	earlier := *start
	earlier.attempt = 2
	refusal := &AskReply{Refused: []string{"no room"}}
	for _, end := range []bool{false, true} {
		if end {
			o.end(first, protocol.Cancelled)
		}
		o.reply(&earlier, refusal, nil)
		o.reply(&earlier, nil, errRequestVoid)
		unknown := &AskArgs{ID: start.requestID, Starts: []Start{{Task: "wk-9/0", Attempt: 3}, {Task: "no task", Attempt: 3}}}
		o.handleReply("c1", unknown, []*pendingStart{start, start}, refusal, nil)
		o.reply(start, &AskReply{Incarnation: 4, Version: 1}, nil) // the holder's process before
		o.apply(newsOfVersion(9))
		o.expectRoom(second, 1, fmt.Sprintf("job ended: %v", end))
	}
	o.apply(holderNews(6, true))
	o.expectRoom(second, 2, "slot complete at its next holder")
}

// A limit that falls below what is in flight lets nothing start; one that goes lets all start.
func TestLimitThatFallsOrGoesWhileStartsAreInFlight(t *testing.T) {
	o, first, second := newLimitedOwner(t)
	team := o.cfg.Team("bound")
	o.request(first, 0, 3)
	team.CoresMax = 2
	o.expectRoom(second, 0, "limit below one task")
	o.end(first, protocol.Cancelled)
	o.expectRoom(second, 0, "and its job ended")
	team.CoresMax = 0
	o.teamUsageCache = nil
	if !o.teamLimitAllows(second, 100) {
		t.Error("without a limit nothing may start")
	}
}
