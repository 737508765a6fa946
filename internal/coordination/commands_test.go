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

// carriedTasks are the commands of a kind that an answer to a report carries along.
func carriedTasks(body any, verb string) (tasks []string) {
	answer, _ := body.(protocol.ReportAnswer)
	for _, c := range answer.Commands {
		if c.Verb == verb {
			tasks = append(tasks, c.Task)
		}
	}
	return tasks
}

// sendUnanswered has a direct command be under way to the machine of the tests and be given up.
func (h *Holder) sendUnanswered(w *worker, commands ...protocol.Command) protocol.Orders {
	w.tokenSeq++
	o := protocol.Orders{Token: protocol.NewToken(w.slot.term, w.tokenSeq), Session: w.session, Commands: commands}
	w.noteStarts(o, time.Now().Add(commandLifetime(h.cfg)))
	w.commandInFlight = true
	h.commandAnswered(w, o, nil, false, fmt.Errorf("%w: no answer", transport.ErrUnknown))
	return o
}

// withUnansweredStart plays on a machine that may be used, to which a start of wk-1/0 went unanswered.
func withUnansweredStart(t *testing.T, play func(t *testing.T, h *Holder, w *worker, sent protocol.Orders)) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		w.ack = ackState{}
		if !h.startable(w) {
			t.Fatalf("the machine can't be used: %+v", w)
		}
		w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 3, state: board.TaskStarting, expiresAt: time.Now().Add(20 * time.Second)}
		sent := h.sendUnanswered(w, protocol.Command{Verb: protocol.VerbStart, Task: "wk-1/0", Attempt: 3})
		w.backoffUntil = time.Now().Add(time.Hour) // nothing more goes directly
		play(t, h, w, sent)
	})
}

// A start that no direct command was answered for goes with the next answer, under a token that
// voids the former command, and again with the one after that until a report shows what became
// of it.
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
				t.Errorf("the start counts as sent under another token: %+v", e)
			}
			time.Sleep(time.Second)
		}
		taken := testReport(1, 9, last)
		taken.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 3, State: protocol.TaskPulling}}
		if _, body := h.Report(taken); len(carriedTasks(body, protocol.VerbStart)) != 0 {
			t.Errorf("what has started is started again: %+v", body)
		}
	})
}

// A start is not repeated once it is not to be carried out any more: its job is cancelled or not
// known, its owner withdrew it, records are old, or it waited for too long. The answer voids the
// former command all the same.
func TestObsoleteStartIsNotRepeated(t *testing.T) {
	for name, happens := range map[string]func(h *Holder, w *worker){
		"its job is cancelled":      func(h *Holder, _ *worker) { h.cancelled.Learn("wk-1", time.Now()) },
		"its owner withdrew it":     func(_ *Holder, w *worker) { w.entries["wk-1/0"].stopRequested = true },
		"it waited for too long":    func(_ *Holder, w *worker) { w.entries["wk-1/0"].expiresAt = time.Now() },
		"records are old":           func(h *Holder, _ *worker) { h.syncedAt = time.Now().Add(-maxRecordsAge - time.Second) },
		"its job is not known":      func(h *Holder, _ *worker) { delete(h.jobs, "wk-1") },
		"the machine is left alone": func(_ *Holder, w *worker) { w.drainUntil = time.Now().Add(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			withUnansweredStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.Orders) {
				happens(h, w)
				status, body := h.Report(testReport(1, 6, sent.Token-1))
				answer, _ := body.(protocol.ReportAnswer)
				if status != http.StatusOK || len(carriedTasks(body, protocol.VerbStart)) != 0 || answer.Token <= sent.Token {
					t.Errorf("%d %+v after %d", status, body, sent.Token)
				}
			})
		})
	}
}

// While another direct command with starts is under way no answer voids it.
func TestAnswerDoesNotFenceStartsInFlight(t *testing.T) {
	withUnansweredStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.Orders) {
		w.commandInFlight, w.commandHasStarts = true, true
		under := protocol.NewToken(w.slot.term, w.tokenSeq)
		if _, body := h.Report(testReport(1, 6, sent.Token-1)); body.(protocol.ReportAnswer).Token != under {
			t.Errorf("the answer voids %d: %+v", under, body)
		}
	})
}

// A task that ended is forgotten, and one that is to stop is stopped, by an answer where no direct
// command was answered. What saves its progress is left to it.
func TestAnswerRepeatsUnansweredForgetAndStop(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		rep := running(5, protocol.NewToken(7, 1), "wk-1/0", "wk-1/1", "wk-1/2")
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
		// An answer is written by another goroutine: it has nothing in common with what the holder keeps.
		w.entries["wk-1/0"].graceS = 7
		for _, c := range body.(protocol.ReportAnswer).Commands {
			if c.Verb == protocol.VerbStop && *c.GraceS != 0 {
				t.Errorf("the answer changes with the entry: %+v", c)
			}
		}
	})
}
