package coordination

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// carriedTasks returns the tasks of the commands of a kind in the answer to a report.
func carriedTasks(body any, verb string) (tasks []string) {
	answer, _ := body.(protocol.ReportAnswer)
	for _, c := range answer.Commands {
		if c.Verb == verb {
			tasks = append(tasks, c.Task)
		}
	}
	return tasks
}

// sendUnanswered sends a worker a direct command that gets no answer.
func (h *Holder) sendUnanswered(w *worker, commands ...protocol.Command) protocol.Orders {
	w.tokenSeq++
	o := protocol.Orders{Token: protocol.NewToken(w.slot.term, w.tokenSeq), Session: w.session, Commands: commands}
	w.commandInFlight = true
	h.commandAnswered(w, o, nil, false, fmt.Errorf("%w: no answer", transport.ErrUnknown))
	return o
}

// withUsableMachine runs a test with a machine on which tasks may be started.
func withUsableMachine(t *testing.T, run func(t *testing.T, h *Holder, w *worker)) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		h.machineTypes["small"] = protocol.MachineType{Name: "small", Cores: 8, RAM: 64}
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		w.ack, w.backoffUntil = ackState{}, time.Now().Add(time.Hour) // no direct commands
		if !h.startable(w) {
			t.Fatalf("the machine is not usable: %+v", w)
		}
		run(t, h, w)
	})
}

// queueStart admits wk-1/0 to a machine.
func (w *worker) queueStart() {
	w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 3, state: board.TaskQueued, expiresAt: time.Now().Add(queueTimeout)}
}

// withUnseenStart runs a test with a usable machine that got a start of wk-1/0 in the answer to its report of
// ticket 6. sent is that answer.
func withUnseenStart(t *testing.T, run func(t *testing.T, h *Holder, w *worker, sent protocol.ReportAnswer)) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		w.queueStart()
		_, body := h.Report(testReport(1, 6, protocol.NewToken(7, w.tokenSeq)))
		if len(carriedTasks(body, protocol.VerbStart)) != 1 {
			t.Fatalf("the answer starts nothing: %+v", body)
		}
		run(t, h, w, body.(protocol.ReportAnswer))
	})
}

// A start whose answer was lost is repeated by the next answer to a report, under a higher token, and by each
// further answer until a report shows the outcome.
func TestUnseenStartIsRepeatedInNextAnswer(t *testing.T) {
	withUnseenStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.ReportAnswer) {
		last := sent.Token
		for ticket := range uint64(2) {
			status, body := h.Report(testReport(1, 7+ticket, sent.Token))
			answer, _ := body.(protocol.ReportAnswer)
			if status != http.StatusOK || len(carriedTasks(body, protocol.VerbStart)) != 1 || answer.Token <= last {
				t.Fatalf("answer %d: %d %+v after %d", ticket, status, body, last)
			}
			last = answer.Token
			if e := w.entries["wk-1/0"]; e == nil || e.startToken != last {
				t.Errorf("the start is recorded under another token: %+v", e)
			}
			time.Sleep(time.Second)
		}
		taken := testReport(1, 9, last)
		taken.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 3, State: protocol.TaskPulling}}
		if _, body := h.Report(taken); len(carriedTasks(body, protocol.VerbStart)) != 0 {
			t.Errorf("a task that has started is started again: %+v", body)
		}
	})
}

// A start is not repeated once it is not to be carried out any more: its job is cancelled or not known, its
// owner withdrew it, the records are old, or it waited for too long. The answer has a higher token all the same,
// and once a report shows that, the task counts as not started.
func TestObsoleteStartIsNotRepeated(t *testing.T) {
	for name, event := range map[string]func(h *Holder, w *worker){
		"job cancelled":          func(h *Holder, _ *worker) { h.cancelled.Learn("wk-1", time.Now()) },
		"withdrawn by its owner": func(_ *Holder, w *worker) { w.entries["wk-1/0"].stopRequested = true },
		"waited too long":        func(_ *Holder, w *worker) { w.entries["wk-1/0"].expiresAt = time.Now() },
		"records too old":        func(h *Holder, _ *worker) { h.syncedAt = time.Now().Add(-maxRecordsAge - time.Second) },
		"job unknown":            func(h *Holder, _ *worker) { delete(h.jobs, "wk-1") },
		"machine drained":        func(_ *Holder, w *worker) { w.drainUntil = time.Now().Add(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			withUnseenStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.ReportAnswer) {
				event(h, w)
				status, body := h.Report(testReport(1, 7, sent.Token))
				answer, _ := body.(protocol.ReportAnswer)
				if status != http.StatusOK || len(carriedTasks(body, protocol.VerbStart)) != 0 || answer.Token <= sent.Token && w.entries["wk-1/0"] != nil {
					t.Errorf("%d %+v after %d", status, body, sent.Token)
				}
				h.Report(testReport(1, 8, answer.Token))
				if e := w.entries["wk-1/0"]; e != nil {
					t.Errorf("it is kept: %+v", e)
				}
			})
		})
	}
}

// Guards against tasks that run twice (incident ran-twice): a direct command may arrive after its machine
// restarted and forgot what fences it, so none starts a task, whatever is admitted while whatever is in flight.
func TestNoDirectCommandStartsTask(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		w.backoffUntil = time.Time{}
		w.queueStart()
		for range 2 * int(queueTimeout/time.Second) {
			for _, c := range h.desiredCommands(w, time.Now(), true) {
				if c.Verb == protocol.VerbStart {
					t.Fatalf("started directly: %+v", c)
				}
			}
			h.runQueuedAndTick()
			if e := w.entries["wk-1/0"]; e != nil && e.state != board.TaskQueued {
				t.Fatalf("started without a report: %+v", e)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if e := w.entries["wk-1/0"]; e != nil {
			t.Errorf("it waits for ever: %+v", e)
		}
	})
}

// The answer to a machine with room is held back. It is given as soon as a task is to be started there, and in
// time if there is none; while tasks are on the machine it is held back for less than the least time between
// two reports.
func TestAnswerWaitsForStarts(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		report := func(ticket uint64, tasks ...protocol.TaskReport) chan reportAnswer {
			answer := make(chan reportAnswer, 1)
			rep := testReport(1, ticket, protocol.NewToken(7, w.tokenSeq))
			rep.Tasks = tasks
			h.HandleReport(rep, answer)
			return answer
		}
		answer := report(6)
		time.Sleep(time.Second)
		if h.runQueuedAndTick(); len(answer) > 0 {
			t.Error("answered though no task is to be started")
		}
		w.queueStart()
		if h.sendCommands(w); len(answer) == 0 || len(carriedTasks((<-answer).body, protocol.VerbStart)) != 1 {
			t.Fatal("the held answer did not start the task")
		}
		answer = report(7, protocol.TaskReport{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning})
		time.Sleep(busyAnswerDelay + time.Millisecond)
		if h.runQueuedAndTick(); len(answer) == 0 {
			t.Error("the answer to a busy machine is held back for longer")
		}
		next := report(8)
		newest := report(9)
		if len(next) == 0 || (<-next).status != http.StatusServiceUnavailable {
			t.Error("a worker that reports again still waits for the answer before")
		}
		time.Sleep(h.idleAnswerDelay() + time.Millisecond)
		if h.runQueuedAndTick(); len(newest) == 0 || (<-newest).status != http.StatusOK {
			t.Error("not answered in time")
		}
		last := report(10)
		if h.forgetSlot(w.slot); len(last) == 0 || (<-last).status != http.StatusServiceUnavailable {
			t.Error("the worker waits for a holder that gave up its slot")
		}
	})
}

// Reports from before a machine restarted or its slot changed hands, late and repeated, with lower, equal and higher
// numbers, start nothing, however the answer is waited for; the machine's next report does.
func TestStaleReportsStartNothing(t *testing.T) {
	for name, c := range map[string]struct {
		session, ticket uint64
		term, seq       uint64
	}{
		"repeated":                             {1, 5, 7, 1},
		"from before the newest":               {1, 4, 7, 1},
		"of the first holder":                  {1, 3, 6, 9},
		"of a later session before a restart":  {4, 90, 6, 9},
		"of higher number before a restart":    {1, 90, 6, 9},
		"without a token":                      {1, 1, 0, 0},
		"of a later session, without a token":  {2, 1, 0, 0},
		"of the next holder":                   {1, 6, 8, 1},
		"of the next holder, of later session": {2, 9, 8, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
				shown := testReport(1, 5, protocol.NewToken(7, w.tokenSeq))
				shown.Ticket++
				h.Report(shown)
				w.queueStart()
				for range 2 {
					answer := make(chan reportAnswer, 1)
					h.HandleReport(testReport(c.session, c.ticket, protocol.NewToken(c.term, c.seq)), answer)
					time.Sleep(h.idleAnswerDelay() + time.Millisecond)
					h.runQueuedAndTick()
					if len(answer) == 0 {
						t.Fatal("no answer")
					}
					if a := <-answer; len(carriedTasks(a.body, protocol.VerbStart)) != 0 {
						t.Fatalf("starts a task: %+v", a)
					}
				}
				if w.entries["wk-1/0"] == nil {
					t.Fatal("the task does not wait any more")
				}
				if _, body := h.Report(testReport(1, 7, protocol.NewToken(7, w.tokenSeq))); len(carriedTasks(body, protocol.VerbStart)) != 1 {
					t.Errorf("the machine's own report starts nothing: %+v", body)
				}
			})
		})
	}
}

// An answer that was held back starts nothing once its holder may not answer any more, or the machine has moved on to
// another session, which drops it.
func TestHeldAnswerIsJudgedWhenGiven(t *testing.T) {
	for name, event := range map[string]func(h *Holder, w *worker){
		"session of the holder lost": func(h *Holder, _ *worker) { h.session.validUntil.Store(0) },
		"next session of the machine": func(h *Holder, w *worker) {
			h.commandAnswered(w, protocol.Orders{Session: 1}, testReport(2, 1, protocol.NewToken(7, w.tokenSeq)), false, nil)
			w.ack = ackState{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
				answer := make(chan reportAnswer, 1)
				h.HandleReport(testReport(1, 6, protocol.NewToken(7, w.tokenSeq)), answer)
				event(h, w)
				w.queueStart()
				time.Sleep(h.idleAnswerDelay() + time.Millisecond)
				if h.runQueuedAndTick(); len(answer) == 0 || (<-answer).status != http.StatusServiceUnavailable {
					t.Error("it was answered as if nothing had happened")
				}
			})
		})
	}
}

// A task that waits for room on a machine that may not be used any more is dropped, and its owner hears of it.
func TestDroppedStartIsReported(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		w.queueStart()
		w.suspect = true
		before := w.version
		if h.sendCommands(w); w.entries["wk-1/0"] != nil || w.version == before {
			t.Errorf("kept, or dropped without a word: %+v", w)
		}
	})
}

// A task is to be started on a machine whose report was answered already: a command with a higher token makes it
// report, at most once per half lease, and not while an answer is on its way, which it could void.
func TestMachineIsMadeToReportForStart(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		w.backoffUntil, w.tokenRaisedAt = time.Time{}, time.Time{}
		w.queueStart()
		before := w.tokenSeq
		if h.sendCommands(w); !w.commandInFlight || w.tokenSeq != before+1 {
			t.Fatalf("not asked: %+v", w)
		}
		h.commandAnswered(w, protocol.Orders{Session: 1}, testReport(1, 6, protocol.NewToken(7, w.tokenSeq)), true, nil)
		if h.sendCommands(w); w.commandInFlight {
			t.Error("asked twice")
		}
	})
	withUnseenStart(t, func(t *testing.T, h *Holder, w *worker, _ protocol.ReportAnswer) {
		w.backoffUntil, w.tokenRaisedAt = time.Time{}, time.Time{}
		w.entries["wk-1/1"] = &entry{task: "wk-1/1", job: "wk-1", index: 1, attempt: 3, state: board.TaskQueued, expiresAt: time.Now().Add(queueTimeout)}
		if h.sendCommands(w); w.commandInFlight {
			t.Error("asked while an answer may be on its way")
		}
	})
}

// Where a direct command got no answer, the answer to a report forgets a task that ended and stops one that
// is to stop. A task that is saving its progress gets no second stop.
func TestAnswerRepeatsUnansweredForgetAndStop(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		rep := runningReport(5, protocol.NewToken(7, 1), "wk-1/0", "wk-1/1", "wk-1/2")
		rep.Tasks[1].State, rep.Tasks[1].Cause = protocol.TaskExited, protocol.CauseError
		rep.Tasks[2].State = protocol.TaskFlushing
		h.Report(rep)
		w := h.workersByID["host-000004"]
		w.entries["wk-1/0"].stopRequested, w.entries["wk-1/1"].forgetRequested = true, true
		w.entries["wk-1/2"].stopRequested, w.entries["wk-1/2"].graceS = true, 10
		h.sendUnanswered(w, protocol.Command{Verb: protocol.VerbStop, Task: "wk-1/0", Attempt: 3}, protocol.Command{Verb: protocol.VerbForget, Task: "wk-1/1", Attempt: 3},
			protocol.Command{Verb: protocol.VerbStop, Task: "wk-1/2", Attempt: 3})
		w.backoffUntil = time.Now().Add(time.Hour)
		rep.Ticket++
		_, body := h.Report(rep)
		if stops, forgets := carriedTasks(body, protocol.VerbStop), carriedTasks(body, protocol.VerbForget); len(stops) != 1 || stops[0] != "wk-1/0" || len(forgets) != 1 || forgets[0] != "wk-1/1" {
			t.Errorf("stops %v, forgets %v", stops, forgets)
		}
		// Another goroutine encodes the answer: it shares no memory with the holder's state.
		w.entries["wk-1/0"].graceS = 7
		for _, c := range body.(protocol.ReportAnswer).Commands {
			if c.Verb == protocol.VerbStop && *c.GraceS != 0 {
				t.Errorf("the answer shares memory with the entry: %+v", c)
			}
		}
	})
}

// A task that ends soon after it was admitted leaves its room at once: the time for which it might have waited for
// room does not keep the room of the ended task, for which another machine was rented.
func TestEndedTaskLeavesItsRoom(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		j := pendingJob("wk-1")
		j.Spec.Cores = 8
		h.jobs["wk-1"], h.machineTypes["small"] = j, protocol.MachineType{Name: "small", Cores: 8, RAM: 64}
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		w := h.workersByID["host-000004"]
		w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 3, state: board.TaskStarting, expiresAt: time.Now().Add(queueTimeout)}
		running := runningReport(6, protocol.NewToken(7, 1), "wk-1/0")
		if h.Report(running); h.freeRoom(w, true).Cores != 0 {
			t.Errorf("room beside a running task: %+v", h.freeRoom(w, true))
		}
		time.Sleep(queueTimeout / 2)
		ended := runningReport(7, protocol.NewToken(7, 1), "wk-1/0")
		ended.Tasks[0].State, ended.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
		if h.Report(ended); h.freeRoom(w, true).Cores != 8 {
			t.Errorf("room after its end: %+v", h.freeRoom(w, true))
		}
	})
}

// manyTasks puts tasks of wk-1 in a state on a machine.
func (w *worker) manyTasks(from, to int, state string) {
	for index := from; index < to; index++ {
		task := protocol.TaskName("wk-1", index)
		w.entries[task] = &entry{task: task, job: "wk-1", index: index, attempt: 3, state: state, expiresAt: time.Now().Add(queueTimeout)}
	}
}

// Guards against answers to reports of more than 64 KiB: what does not fit goes with the next answer, and a task whose
// start went with none is not taken for started.
func TestAnswerStartsWhatFits(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		h.jobs["wk-1"].Spec.Tasks = 2000
		w.manyTasks(0, protocol.MaxCommands+100, board.TaskQueued)
		_, body := h.Report(testReport(1, 6, protocol.NewToken(7, w.tokenSeq)))
		if n := len(carriedTasks(body, protocol.VerbStart)); n != protocol.MaxCommands {
			t.Errorf("%d starts in one answer, want %d", n, protocol.MaxCommands)
		}
		queued := 0
		for _, e := range w.entries {
			if e.state == board.TaskQueued {
				queued++
			}
		}
		if queued != 100 {
			t.Errorf("%d tasks wait for the next answer, want 100", queued)
		}
	})
}

// Guards against answers that renew the lease of a cancelled task without its stop: an answer that can't contain all
// stops isn't given, and direct commands of a bounded size stop the tasks.
func TestTooManyCancelledTasksForOneAnswer(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		rep := testReport(1, 6, protocol.NewToken(7, w.tokenSeq))
		for index := range protocol.MaxTasksPerMachine + 1 {
			rep.Tasks = append(rep.Tasks, protocol.TaskReport{Task: protocol.TaskName("wk-1", index), Attempt: 3, State: protocol.TaskRunning})
		}
		h.Report(rep)
		h.cancelled.Learn("wk-1", time.Now())
		rep.Ticket++
		if status, body := h.Report(rep); status != http.StatusServiceUnavailable {
			t.Errorf("answer %d with %d stops", status, len(carriedTasks(body, protocol.VerbStop)))
		}
		for _, e := range w.entries {
			e.lastSentAt = time.Time{}
		}
		if n := len(h.desiredCommands(w, time.Now(), true)); n != protocol.MaxCommands {
			t.Errorf("a direct command has %d commands, want %d", n, protocol.MaxCommands)
		}
		if n := len(h.desiredCommands(w, time.Now(), true)); n != 1 {
			t.Errorf("the next direct command has %d commands, want 1", n)
		}
	})
}

// Guards against machines with more tasks than their reports can list.
func TestAdmissionBoundsTasksOnMachine(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		w.manyTasks(0, protocol.MaxTasksPerMachine-1, protocol.TaskRunning)
		tiny := protocol.Room{}
		if !h.fitsAfterEvictions(w, Start{}, tiny) {
			t.Error("the last task that a report can list is refused")
		}
		w.manyTasks(protocol.MaxTasksPerMachine-1, protocol.MaxTasksPerMachine, protocol.TaskExited)
		if h.fitsAfterEvictions(w, Start{}, tiny) {
			t.Error("a task that no report can list is admitted")
		}
		if !h.fitsAfterEvictions(w, Start{Evict: []string{"wk-1/0"}}, tiny) {
			t.Error("a task is refused though another one is evicted for it")
		}
		w.queueStart()
		w.entries["wk-1/0"].task = "wk-1/0"
		w.manyTasks(protocol.MaxTasksPerMachine, protocol.MaxTasksPerMachine+1, protocol.TaskRunning)
		if n := len(h.queuedStarts(w, time.Now())); n != 0 {
			t.Errorf("%d tasks are started beside as many as a report can list", n)
		}
	})
}
