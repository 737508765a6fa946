package coordination

import (
	"context"
	"net/http"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// The ways in which a task could run in two places at once (docs/incidents/ran-twice.md), each with a state
// written by hand.

// firstReportAfterRestart is the first report of the tests' machine after a restart.
func firstReportAfterRestart() *protocol.Report { return testReport(1, 1, 0) }

// An answer that starts a task is on its way. Whatever else is heard of the machine directly, the task counts as
// there until the machine shows that it never took the answer, or a later session.
func TestStartInFlightKeepsItsTask(t *testing.T) {
	withUnseenStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.ReportAnswer) {
		direct := testReport(1, 7, sent.Token)
		if h.commandAnswered(w, protocol.Orders{Session: 1}, direct, true, nil); w.entries["wk-1/0"] == nil {
			t.Fatal("dropped by what was heard while the answer was on its way")
		}
		w.entries["wk-1/0"].expiresAt = time.Now() // no answer repeats the start
		_, body := h.Report(testReport(1, 8, sent.Token))
		if w.entries["wk-1/0"] == nil {
			t.Fatal("dropped under a token that the machine may have had before the answer")
		}
		if h.Report(testReport(1, 9, body.(protocol.ReportAnswer).Token)); w.entries["wk-1/0"] != nil {
			t.Errorf("its entry is kept for ever: %+v", w.entries["wk-1/0"])
		}
	})
	withUnseenStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.ReportAnswer) {
		if h.Report(testReport(2, 7, sent.Token)); w.entries["wk-1/0"] != nil {
			t.Error("kept although the worker drops answers to an earlier session")
		}
	})
}

// A machine that appears to have restarted is given a token at once: until then it would carry out any
// command sent to it before.
func TestRestartedMachineGetsTokenAtOnce(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		before := testReport(1, 50, protocol.NewToken(7, 1))
		before.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}}
		h.Report(before)
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		shown := protocol.NewToken(7, w.tokenSeq)
		time.Sleep(2 * time.Second)
		late := firstReportAfterRestart() // an earlier command has already started a task there
		late.Tasks = []protocol.TaskReport{{Task: "wk-1/1", Attempt: 2, State: protocol.TaskPulling}}
		status, body := h.Report(late)
		answer, _ := body.(protocol.ReportAnswer)
		if stopped := carriedTasks(body, protocol.VerbStop); status != http.StatusOK || answer.Token <= shown || len(stopped) != 1 || stopped[0] != "wk-1/1" {
			t.Fatalf("answered %d %+v", status, body)
		}
		if w.ticket != 50 || w.entries["wk-1/0"] == nil {
			t.Errorf("its report was accepted: %+v", w)
		}
		if !h.startable(w) || time.Since(w.lastPossibleRenewal()) > 0 {
			t.Errorf("a possible copy makes the machine unusable, or does not count as a renewal: %+v", w)
		}
		// If it shows the token, it did restart, and its former tasks are gone.
		acknowledging := testReport(1, 2, answer.Token)
		if status, _ := h.Report(acknowledging); status != http.StatusOK || w.ticket != 2 || w.entries["wk-1/0"] != nil {
			t.Errorf("answered %d, %+v", status, w)
		}
		if w.tokenSeq <= uint64(answer.Token)&(1<<32-1) {
			t.Error("other messages may use the same token")
		}
	})
}

// newTestOwner returns an owner of all jobs, with one slot, that does not know yet what others have started
// of wk-1.
func newTestOwner(t *testing.T) (*Owner, *jobState) {
	o := &Owner{actor: newActor(context.Background()), cfg: &config.Config{}, board: board.New(), slots: 1, session: &Session{base: time.Now()},
		peers: map[string]*peerState{"c1": {}, "c2": {}}, unresolved: map[string]*jobState{}, active: map[string]*jobState{}, jobs: map[string]*jobState{}, unmetNeeds: map[needKind]unmetNeed{}}
	o.session.term.Store(1)
	js := &jobState{job: pendingJob("wk-1"), pending: map[int]*pendingStart{}, firstSeen: time.Now().Add(-time.Minute)}
	js.ownedBlocks = []*ownedBlock{{end: 1, ownership: &ownership{gainWindow: 4, completeSlots: map[int]bool{}}}}
	o.unresolved["wk-1"], o.active["wk-1"], o.jobs["wk-1"] = js, js, js
	return o, js
}

// holderNews returns the news of a holder that has the slot under a term, with one machine and its tasks.
func holderNews(term uint64, complete bool, tasks ...board.TaskView) *board.News {
	return &board.News{Incarnation: term, Version: term, Window: 4, Valid: true,
		Slots:    []board.SlotView{{Slot: 0, Term: term, Complete: complete}},
		Machines: []board.MachineView{{ID: "host-000004", Slot: 0, Term: term, Tasks: tasks}}}
}

// Tasks as the machine's holder shows them.
var (
	runningTask0 = board.TaskView{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}
	runningTask1 = board.TaskView{Task: "wk-1/1", Attempt: 4, State: protocol.TaskRunning}
)

// A holder that was stopped, or cut off from the state service, has lost its slot to another and still
// reports that it knows all of it. A controller that has just become a job's owner must not rely on that:
// only the slot's newest holder knows what runs there.
func TestPriorStartsAreKnownFromNewestHolderOnly(t *testing.T) {
	o, js := newTestOwner(t)
	request := &FeedArgs{Fence: protocol.NewToken(1, 0), Window: 4}
	o.applyNews("c2", request, holderNews(9, false), time.Now())
	o.applyNews("c1", request, holderNews(5, true), time.Now())
	if js.ownedBlocks[0].priorStartsKnown {
		t.Fatal("prior starts count as known by news of a former holder")
	}
	o.applyNews("c2", request, holderNews(9, true, runningTask0), time.Now())
	if !js.ownedBlocks[0].priorStartsKnown || o.board.Tasks["wk-1"][0] == nil {
		t.Errorf("prior starts are not known by news of the newest holder, or its task is unknown: %+v", o.board.Tasks)
	}
}

// News of a holder that is not entitled to its slots are not applied: the holder may count a machine's lease as
// lapsed although the slot's next holder, whose feed has not arrived yet, has renewed it.
func TestNewsOfUnentitledHolderAreIgnored(t *testing.T) {
	o, js := newTestOwner(t)
	request := &FeedArgs{Fence: protocol.NewToken(1, 0), Window: 4}
	if !o.applyNews("c1", request, holderNews(5, false, runningTask0), time.Now()) {
		t.Fatal("news of an entitled holder are not applied")
	}
	stale := holderNews(5, true)
	stale.Valid, stale.Full = false, true
	if o.applyNews("c1", request, stale, time.Now()) || js.ownedBlocks[0].priorStartsKnown || o.board.Tasks["wk-1"][0] == nil {
		t.Errorf("applied: prior starts known %v, tasks %v", js.ownedBlocks[0].priorStartsKnown, o.board.Tasks)
	}
	stale.Entitled = true // all siblings granted it a moratorium
	if !o.applyNews("c1", request, stale, time.Now()) || !js.ownedBlocks[0].priorStartsKnown || o.board.Tasks["wk-1"] != nil {
		t.Errorf("not applied: prior starts known %v, tasks %v", js.ownedBlocks[0].priorStartsKnown, o.board.Tasks)
	}
}

// An unregistered machine went silent and was dropped; then it came back, with tasks. A controller that
// learns both at once keeps it.
func TestReturningMachineIsNotRemoved(t *testing.T) {
	b := board.New()
	r := holderNews(5, true, runningTask0)
	r.Gone = []string{"host-000004"}
	b.Apply("c1", r, time.Now(), time.Now())
	if b.Machines["host-000004"] == nil || b.Tasks["wk-1"][0] == nil {
		t.Error("the machine is gone, with its tasks")
	}
}

// A request under one term of a slot is void under the next: its owner may have learned the request's outcome
// from the news of the next term, and have started the task elsewhere.
func TestStartIsValidForOneSlotTerm(t *testing.T) {
	withUnseenStart(t, func(t *testing.T, h *Holder, w *worker, _ protocol.ReportAnswer) {
		h.jobs["wk-2"] = pendingJob("wk-2")
		h.window = &bookkeeping.Window{Number: 4, Owners: []string{"c0"}}
		h.machineTypes = map[string]protocol.MachineType{"small": {Name: "small", Cores: 8, Accels: 2, RAM: 64}}
		w.ack = ackState{}
		ask := func(term uint64) string {
			return h.admitStart(&AskArgs{Caller: "c0", Window: 4}, Start{Task: "wk-2/0", Attempt: 9, Machine: w.id, Term: term}, time.Now())
		}
		if why := ask(6); why == "" || w.entries["wk-2/0"] != nil {
			t.Error("accepted under a later term")
		}
		if why := ask(7); why != "" {
			t.Errorf("refused under its own term: %s", why)
		}
		delete(w.entries, "wk-2/0")
		if why := ask(0); why != "" {
			t.Errorf("a request without a term is refused: %s", why)
		}
	})
}

// A slot's record shows that another controller has taken it, while this holder has not noticed yet that its
// session ended: it stops acting for the slot at once.
func TestTakenSlotIsGivenUpAtOnce(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, s *heldSlot) {
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.slotChanged(s.slot, &bookkeeping.Slot{Holder: "c0", Term: 7})
		if h.slots[s.slot] != s {
			t.Fatal("it gave the slot up for its own record")
		}
		h.slotChanged(s.slot, &bookkeeping.Slot{Holder: "c1", Term: 8})
		if h.slots[s.slot] != nil || h.workersByID["host-000004"] != nil {
			t.Error("it still acts for the slot")
		}
		if status, _ := h.Report(testReport(1, 6, protocol.NewToken(7, 1))); status == http.StatusOK {
			t.Error("it still answers the slot's machines")
		}
	})
}

// Slots were taken for a session that ended before the answer came, while the next one has not begun: this
// holder does not act for them, since others may take them.
func TestSlotsTakenForLostSessionAreNotHeld(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		before := h.sessionsLost
		h.dropAllSlots()
		h.claimsTaken([]bookkeeping.Claim{{Slot: 3}}, 8, before)
		if len(h.slots) != 0 || h.adopting {
			t.Errorf("held: %v", h.slots)
		}
	})
}

// A start was in flight when its machine changed hands, and the next holder does not see the task there. If the
// former holder's version sends direct commands, the machine may still carry the start out if it restarts: the task
// is not started elsewhere for as long as the command may be in flight.
func TestOpenStartOutlivesItsHolder(t *testing.T) {
	b, now := board.New(), time.Now()
	b.StartCommandLifetime = 20 * time.Second
	starting := board.TaskView{Task: "wk-1/0", Attempt: 3, State: board.TaskStarting}
	b.Apply("c1", holderNews(5, true, starting, runningTask1), now, now)
	b.Apply("c2", holderNews(9, true), now, now)
	if lost := b.Tasks["wk-1"][0]; len(lost) != 1 || !lost[0].Exited() || lost[0].Cause != board.CauseLost || b.Tasks["wk-1"][1] != nil {
		t.Fatalf("%+v", b.Tasks)
	}
	b.Apply("c2", holderNews(9, true), now, now.Add(10*time.Second))
	if b.ExpireLost(now.Add(19 * time.Second)); b.Tasks["wk-1"][0] == nil {
		t.Error("dropped while the command may be in flight")
	}
	if b.ExpireLost(now.Add(21 * time.Second)); b.Tasks["wk-1"] != nil || b.Machines["host-000004"].EmptySince.IsZero() {
		t.Errorf("kept for ever: %+v", b.Tasks)
	}
	// A holder that starts tasks by its answers alone leaves nothing that may arrive later.
	byAnswers := holderNews(12, true, starting)
	byAnswers.StartsByAnswers = true
	answered := board.New()
	answered.StartCommandLifetime = b.StartCommandLifetime
	answered.Apply("c1", byAnswers, now, now)
	if answered.Apply("c2", holderNews(13, true), now, now); answered.Tasks["wk-1"] != nil {
		t.Errorf("kept although no command can be in flight: %+v", answered.Tasks)
	}
	// If the task shows up after all, what its holder reports counts.
	b.Apply("c1", holderNews(10, true, starting), now, now)
	b.Apply("c2", holderNews(11, true, runningTask0), now, now)
	if there := b.Tasks["wk-1"][0]; len(there) != 1 || there[0].State != protocol.TaskRunning {
		t.Errorf("%+v", there)
	}
}

// A machine that restarted is known again by its answer to a direct command. A copy of an earlier report
// shows the token that only this machine was given, but is a copy nevertheless: tasks started since are not
// gone.
func TestCopyOfFirstReportIsNoRestart(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		h.Report(testReport(1, 2, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		_, body := h.Report(firstReportAfterRestart())
		restartToken := body.(protocol.ReportAnswer).Token
		w.tokenSeq++
		direct := testReport(1, 3, protocol.NewToken(7, w.tokenSeq))
		direct.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}}
		h.commandAnswered(w, protocol.Orders{Session: 1}, direct, true, nil)
		if w.entries["wk-1/0"] == nil {
			t.Fatalf("direct answer not accepted: %+v", w)
		}
		if h.Report(testReport(1, 2, restartToken)); w.entries["wk-1/0"] == nil || w.ticket != 3 {
			t.Errorf("task dropped because of a copy: %+v", w)
		}
	})
}

// A worker refuses a start because another attempt of the task is there, and lists both. The attempt that is
// there counts, in either order, until it has ended; then its result does.
func TestRefusedAttemptHidesNoOther(t *testing.T) {
	there := protocol.TaskReport{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}
	refused := protocol.TaskReport{Task: "wk-1/0", Attempt: 9, State: protocol.TaskExited, Cause: "in_use"}
	done := protocol.TaskReport{Task: "wk-1/0", Attempt: 3, State: protocol.TaskExited, Cause: protocol.CauseDone}
	for _, listed := range [][]protocol.TaskReport{{there, refused}, {refused, there}, {done, refused}, {refused, done}} {
		withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
			h.jobs["wk-1"] = pendingJob("wk-1")
			rep := testReport(1, 5, protocol.NewToken(7, 1))
			rep.Tasks = listed
			h.Report(rep)
			if e := h.workersByID["host-000004"].entries["wk-1/0"]; e == nil || e.attempt != 3 || e.state == protocol.TaskExited && e.cause != protocol.CauseDone {
				t.Errorf("%+v of %+v", e, listed)
			}
		})
	}
}

// A holder that is not entitled to its slots reports nothing about them, and leaves the caller at its version: a
// caller of an older version, which applies all news, is not misled, and misses none once they are reported
// again.
func TestUnentitledHolderReportsNoMachines(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		request := FeedArgs{Caller: "c1", Incarnation: h.session.Term(), Since: 1}
		if r := h.newsSince(request); !r.Entitled || len(r.Slots) != 1 || len(r.Machines) != 1 || r.Version == request.Since {
			t.Fatalf("%+v", r)
		}
		h.session.validUntil.Store(0)
		if r := h.newsSince(request); r.Entitled || r.Valid || len(r.Slots)+len(r.Machines)+len(r.Gone) != 0 || r.Version != request.Since || r.Incarnation != request.Incarnation {
			t.Errorf("%+v", r)
		}
		request.Incarnation = 1 // of a former session
		if r := h.newsSince(request); r.Full || r.Incarnation != 1 {
			t.Errorf("%+v", r)
		}
	})
}
