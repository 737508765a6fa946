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
	w.noteStarts(o, time.Now().Add(commandLifetime(h.cfg)))
	w.commandInFlight = true
	h.commandAnswered(w, o, nil, false, fmt.Errorf("%w: no answer", transport.ErrUnknown))
	return o
}

// withUnansweredStart runs a test with a usable machine that left a start of wk-1/0 unanswered.
func withUnansweredStart(t *testing.T, run func(t *testing.T, h *Holder, w *worker, sent protocol.Orders)) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		w.ack = ackState{}
		if !h.startable(w) {
			t.Fatalf("the machine is not usable: %+v", w)
		}
		w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 3, state: board.TaskStarting, expiresAt: time.Now().Add(20 * time.Second)}
		sent := h.sendUnanswered(w, protocol.Command{Verb: protocol.VerbStart, Task: "wk-1/0", Attempt: 3})
		w.backoffUntil = time.Now().Add(time.Hour) // no more direct commands
		run(t, h, w, sent)
	})
}

// A start whose direct command got no answer is repeated by the next answer to a report, under a token that
// voids the earlier command, and by each further answer until a report shows the outcome.
func TestUnansweredStartIsRepeatedInNextAnswer(t *testing.T) {
	withUnansweredStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.Orders) {
		last := sent.Token
		for ticket := range uint64(2) {
			status, body := h.Report(testReport(1, 6+ticket, sent.Token-1))
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
// owner withdrew it, the records are old, or it waited for too long. The answer voids the earlier command all
// the same.
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
			withUnansweredStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.Orders) {
				event(h, w)
				status, body := h.Report(testReport(1, 6, sent.Token-1))
				answer, _ := body.(protocol.ReportAnswer)
				if status != http.StatusOK || len(carriedTasks(body, protocol.VerbStart)) != 0 || answer.Token <= sent.Token {
					t.Errorf("%d %+v after %d", status, body, sent.Token)
				}
			})
		})
	}
}

// While another direct command with starts is in flight, no answer voids it.
func TestAnswerDoesNotFenceStartsInFlight(t *testing.T) {
	withUnansweredStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.Orders) {
		w.commandInFlight, w.commandHasStarts = true, true
		inFlight := protocol.NewToken(w.slot.term, w.tokenSeq)
		if _, body := h.Report(testReport(1, 6, sent.Token-1)); body.(protocol.ReportAnswer).Token != inFlight {
			t.Errorf("the answer voids %d: %+v", inFlight, body)
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
