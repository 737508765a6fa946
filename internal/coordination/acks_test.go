package coordination

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/emulator"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// newTestHolder returns a holder with one slot, that of a machine, just taken under a term. The machine's
// tasks are not known yet.
func newTestHolder(ctx context.Context, c *config.Config, dial transport.Dialer, term uint64, machine string) (*Holder, *heldSlot) {
	h := NewHolder(ctx, c, &Session{base: time.Now()}, nil, transport.NewWorkers(dial, c.MaxWorkerConnections()))
	h.session.validUntil.Store(int64(time.Hour))
	s := &heldSlot{slot: h.slotOf(machine), term: term, adopted: time.Now(), ready: true, roster: bookkeeping.Roster{protocol.MachineNumber(machine): true},
		awaited: map[string]bool{machine: true}}
	h.slots[s.slot] = s
	h.synced(time.Now())
	h.registeredMachines[machine] = &bookkeeping.Machine{ID: machine}
	return h, s
}

func refuseDial(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }

// serveWorker serves a machine's direct commands with do, until end is called. A holder reaches the machine
// by dial.
func serveWorker(do http.HandlerFunc) (ctx context.Context, dial transport.Dialer, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	pipes := emulator.NewPipes(ctx)
	l, _ := pipes.Listen("worker-x")
	srv := &http.Server{Handler: do}
	go srv.Serve(l)
	return ctx, pipes.Dialer("c0"), func() {
		srv.Close()
		cancel()
		time.Sleep(time.Minute)
	}
}

// runQueuedAndTick runs the functions queued on the holder and one tick, with records that are up to date.
func (h *Holder) runQueuedAndTick() {
	h.synced(time.Now())
	synctest.Wait()
	for len(h.inbox) > 0 {
		(<-h.inbox)()
	}
	h.tick()
}

// Report processes a worker's report and returns the answer to it, which is not held back.
func (h *Holder) Report(rep *protocol.Report) (status int, body any) {
	w, a := h.acceptReport(rep)
	if w != nil {
		a = h.answerReport(w, rep, time.Now())
	}
	return a.status, a.body
}

func testReport(session, ticket uint64, token protocol.Token) *protocol.Report {
	return &protocol.Report{Machine: "host-000004", Addr: "worker-x:1", Type: "small", Zone: "a", Session: session, Ticket: ticket, Token: token}
}

// withHolder runs a test in virtual time with such a holder, which reaches no machine.
func withHolder(t *testing.T, run func(t *testing.T, c *config.Config, h *Holder, s *heldSlot)) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h, s := newTestHolder(ctx, c, refuseDial, 7, "host-000004")
		run(t, c, h, s)
	})
}

// A new holder answers a machine's first report and receives no further one. The machine may have received
// the answer and keep its tasks for a lease from then on, while all others are surely empty a lease after the
// slot was taken. It must not count as empty together with them.
func TestPossiblyReceivedAnswerExtendsLease(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		lease := config.LocalUpperBound(c.WorkerLease())
		time.Sleep(6 * time.Second)
		if status, _ := h.Report(testReport(3, 50, protocol.NewToken(6, 9))); status != http.StatusOK {
			t.Fatal(status)
		}
		time.Sleep(lease - 2*time.Second)
		if h.runQueuedAndTick(); s.complete {
			t.Error("slot complete while the machine may still run its tasks")
		}
		time.Sleep(3 * time.Second)
		h.runQueuedAndTick()
		if h.runQueuedAndTick(); !s.complete {
			t.Error("slot incomplete after every lease has lapsed")
		}
	})
}

// A machine whose reports arrive but which receives no answers is awaited no longer than its answers could
// have renewed its lease, rather than for as long as its reports arrive.
func TestUnreceivedAnswersDoNotRenewLease(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		for n := range uint64(40) {
			h.Report(testReport(3, 50+n, protocol.NewToken(6, 9)))
			time.Sleep(3 * time.Second)
			if h.runQueuedAndTick(); s.complete {
				if now, least := time.Since(s.adopted), c.WorkerLease(); now < least || now > 3*least {
					t.Errorf("complete after %v", now)
				}
				return
			}
		}
		t.Error("the slot never became complete")
	})
}

// A session that is first seen in a direct answer has its whole lease ahead.
func TestNewSessionGetsFullLease(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		time.Sleep(3 * c.WorkerLease())
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		h.commandAnswered(w, protocol.Orders{}, testReport(2, 9, protocol.NewToken(7, 1)), false, nil)
		if h.runQueuedAndTick(); w.lapsed || w.session != 2 {
			t.Errorf("%+v", w)
		}
		if status, _ := h.Report(testReport(2, 10, protocol.NewToken(7, 1))); status != http.StatusOK || s.term != 7 {
			t.Error("report refused:", status)
		}
	})
}

// A machine that restarted unnoticed is first heard by its answer to a direct command, which starts a task
// there. Its lease counts from the restart, which may be a moment ago, and not from earlier answers.
func TestRestartedMachineGetsFullLease(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		h.Report(testReport(2, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		time.Sleep(7 * time.Second)
		w.commandInFlight, w.ticketAtSend, w.ack = true, w.ticket, ackState{}
		o := protocol.Orders{Token: protocol.NewToken(7, 9), Session: 2, Commands: []protocol.Command{{Verb: protocol.VerbStart, Task: "wk-1/0", Attempt: 3}}}
		w.tokenSeq = 9
		// Refused, since the machine has another session: the next command names that one.
		h.commandAnswered(w, o, testReport(1, 2, 0), false, nil)
		if w.session != 1 || h.startable(w) {
			t.Errorf("used before it acknowledged an answer: %+v", w)
		}
		w.tokenSeq++
		o = protocol.Orders{Token: protocol.NewToken(7, w.tokenSeq), Session: 1, Commands: o.Commands}
		w.commandInFlight, w.ticketAtSend = true, w.ticket
		w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 3, state: board.TaskStarting, startToken: o.Token}
		running := testReport(1, 3, o.Token)
		running.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}}
		h.commandAnswered(w, o, running, true, nil)
		time.Sleep(c.WorkerLease() - time.Second)
		if h.runQueuedAndTick(); w.lapsed || w.entries["wk-1/0"] == nil {
			t.Errorf("its task was dropped: %+v", w)
		}
		time.Sleep(2 * time.Second)
		if h.runQueuedAndTick(); !w.lapsed {
			t.Error("the lease has not lapsed")
		}
	})
}

// A command that was never sent, for want of a connection, is no evidence about its machine: the tasks to be
// started wait on, and no acknowledgement is required. (Otherwise, when many silent machines hold all
// connections, healthy machines count as receiving nothing.)
func TestUnsentCommandRequiresNoAck(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, s *heldSlot) {
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		w.ack, w.commandInFlight = ackState{}, true
		o := protocol.Orders{Token: protocol.NewToken(7, 9), Commands: []protocol.Command{stopCommand("wk-1/1", 3, 0)}}
		w.queueStart()
		h.commandAnswered(w, o, nil, false, fmt.Errorf("%w: no connection", transport.ErrRefused))
		if e := w.entries["wk-1/0"]; e == nil || e.state != board.TaskQueued || w.ack.awaitsAck() || w.commandInFlight {
			t.Errorf("never sent: %+v of %+v", e, w)
		}
		h.Report(testReport(1, 6, protocol.NewToken(7, 1)))
		w.commandInFlight, w.tokenSeq = true, 9
		w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 3, state: board.TaskStarting, expiresAt: time.Now().Add(queueTimeout), startToken: o.Token}
		h.commandAnswered(w, o, nil, false, fmt.Errorf("%w: no answer", transport.ErrUnknown))
		if e := w.entries["wk-1/0"]; e == nil || e.state != board.TaskStarting || !w.ack.awaitsAck() {
			t.Errorf("unanswered: %+v of %+v", e, w)
		}
		// The command may be carried out late, until the machine has seen a higher token.
		h.jobs["wk-1"] = pendingJob("wk-1")
		if _, body := h.Report(testReport(1, 7, protocol.NewToken(7, 1))); body.(protocol.ReportAnswer).Token <= o.Token {
			t.Errorf("the next answer does not fence the command: %+v after %d", body, o.Token)
		}
	})
}

// A machine in its third session restarts and counts from the beginning. Its next holder knows its tasks by
// then. A report from before the restart that arrives only now has a higher session but is older, as its
// token shows: it does not prove that a task ended. If it did, the tasks would be started again elsewhere
// while they still run.
func TestStaleCopyAfterRestartDropsNoTask(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		h.Report(testReport(1, 3, protocol.NewToken(6, 2)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		running := testReport(1, 4, protocol.NewToken(7, w.tokenSeq))
		running.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 1, State: protocol.TaskRunning}}
		if status, _ := h.Report(running); status != http.StatusOK || w.entries["wk-1/0"] == nil {
			t.Fatal("report not accepted:", status)
		}
		answered := w.lastPossibleRenewal()
		time.Sleep(time.Second)
		for _, old := range []*protocol.Report{testReport(3, 50, protocol.NewToken(5, 9)), testReport(1, 50, protocol.NewToken(5, 9))} {
			// Only a worker that restarted once more would receive the answer. It contains a token, and the
			// machine's lease counts as renewed; it starts nothing and has no other effect.
			_, body := h.Report(old)
			if len(carriedTasks(body, protocol.VerbStart)) != 0 || w.entries["wk-1/0"] == nil || w.session != 1 || w.ticket != 4 || !h.startable(w) || w.lastPossibleRenewal().Before(answered) {
				t.Errorf("session %d: %+v, %+v", old.Session, body, w)
			}
		}
		// The machine's own next report counts as before.
		running.Ticket++
		if status, _ := h.Report(running); status != http.StatusOK {
			t.Error("report refused:", status)
		}
		// So does a report after a session that ended, also if the machine restarted unnoticed: whatever it
		// shows from then on is newer than all before.
		shown := w.tokenSeq
		time.Sleep(config.LocalUpperBound(c.WorkerLease()) + time.Second)
		if h.runQueuedAndTick(); !w.lapsed {
			t.Fatal("the lease has not lapsed")
		}
		w.lastHeard = time.Now() // as after a report whose answer was lost
		if status, body := h.Report(testReport(2, 3, 0)); status != http.StatusOK || body.(protocol.ReportAnswer).Token <= protocol.NewToken(7, shown) {
			t.Error("report refused, or answered without a new token:", status, body)
		}
	})
}

// A machine whose reports do not arrive, but which answers directly, is alive: it is not returned with its
// tasks, and gets no new ones, since its lease may end.
func TestMachineWithLostReportsIsNeitherUsedNorReturned(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		ticket, probes := uint64(5), 0
		for begin := time.Now(); time.Since(begin) < c.WorkerLease()-time.Second; time.Sleep(250 * time.Millisecond) {
			h.runQueuedAndTick()
			if w.probedAt.After(begin.Add(2*c.ReportEvery())) && time.Since(w.probedAt) < 250*time.Millisecond {
				ticket, probes = ticket+1, probes+1
				h.commandAnswered(w, protocol.Orders{Session: 1}, testReport(1, ticket, protocol.NewToken(7, w.tokenSeq)), true, nil)
			}
			if since := time.Since(begin); w.unresponsive || h.machineView(w).Silent || since > h.unresponsiveAfter()+time.Second && h.startable(w) {
				t.Fatalf("after %v: silent %v, usable %v", since, w.unresponsive, h.startable(w))
			}
		}
		if probes < 2 || probes > 6 {
			t.Errorf("probed %d times", probes)
		}
		if status, _ := h.Report(testReport(1, ticket+1, protocol.NewToken(7, w.tokenSeq))); status != http.StatusOK {
			t.Error("report refused:", status)
		}
		if h.runQueuedAndTick(); w.reportsLost || w.unresponsive {
			t.Errorf("its reports still count as lost: %+v", w)
		}
	})
}

// A restarted machine, which counts from the beginning, is probed once two of its reports were missed, and
// its answer makes it known again: this does not wait until its numbers have caught up.
func TestRestartedMachineIsProbed(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.Report(testReport(3, 50, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w, begin := h.workersByID["host-000004"], time.Now()
		for ticket := uint64(1); w.session == 3 && time.Since(begin) < c.WorkerLease(); ticket++ {
			// The answer contains a token, in case the machine receives it, and starts nothing; the report is
			// ignored.
			if _, body := h.Report(testReport(1, ticket, 0)); len(carriedTasks(body, protocol.VerbStart)) != 0 || w.session != 3 || w.ticket != 50 {
				t.Fatalf("its report was accepted: %+v", w)
			}
			time.Sleep(time.Second)
			h.runQueuedAndTick()
			if w.probedAt.After(begin.Add(2 * c.ReportEvery())) {
				w.commandInFlight, w.ticketAtSend = true, w.ticket
				h.commandAnswered(w, protocol.Orders{Session: 3}, testReport(1, ticket+1, 0), false, nil)
			}
		}
		if since := time.Since(begin); w.session != 1 || w.lapsed || since > h.unresponsiveAfter()+time.Second {
			t.Errorf("after %v: %+v", since, w)
		}
		if status, _ := h.Report(testReport(1, 100, 0)); status != http.StatusOK {
			t.Error("report refused:", status)
		}
	})
}

// A sibling's notice of a report counts as evidence that machines report elsewhere only if the report is newer
// than those the holder received and was made since it took the slot; copies of old reports do not count. A
// sibling whose version sends no such notices is assumed to have received such a report.
func TestCopiedReportsDoNotCountAsMisrouted(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, s *heldSlot) {
		h.Report(testReport(2, 5, protocol.NewToken(7, 1)))
		time.Sleep(5 * time.Second)
		for _, c := range []struct {
			name     string
			stray    board.Stray
			detailed bool
			counts   bool
		}{
			{"nothing", board.Stray{}, true, false},
			{"a copy", board.Stray{Machine: "host-000004", Session: 2, Ticket: 5}, true, false},
			{"of a former session", board.Stray{Machine: "host-000004", Session: 1, Ticket: 9}, true, false},
			{"before the slot was taken", board.Stray{Machine: "host-000004", Session: 2, Ticket: 6, AgoMs: 6000}, true, false},
			{"a new report", board.Stray{Machine: "host-000004", Session: 2, Ticket: 6, AgoMs: 1000}, true, true},
			{"an older version", board.Stray{}, false, true},
		} {
			h.reportedElsewhereAt = time.Time{}
			if h.noteMisrouted(c.stray, c.detailed, time.Now()); !h.reportedElsewhereAt.IsZero() != c.counts {
				t.Errorf("%s: %v", c.name, h.reportedElsewhereAt)
			}
		}
		h.reportedElsewhereAt = time.Time{}
		delete(h.slots, s.slot)
		if h.noteMisrouted(board.Stray{Machine: "host-000004", Session: 2, Ticket: 6}, true, time.Now()); !h.reportedElsewhereAt.IsZero() {
			t.Error("counted for a slot that is no longer held")
		}
	})
}

// A machine that left a command unanswered is probed soon after, so that the command's outcome is known
// before the next reports. A machine that leaves the probe unanswered as well is not probed over and over.
func TestUnansweredCommandIsProbedOnce(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.Report(testReport(1, 5, protocol.NewToken(7, 1)))
		h.runQueuedAndTick()
		w := h.workersByID["host-000004"]
		lost := protocol.Orders{Token: protocol.NewToken(7, w.tokenSeq), Session: 1, Commands: []protocol.Command{{Verb: protocol.VerbStop, Task: "wk-1/0", Attempt: 1}}}
		h.commandAnswered(w, lost, nil, false, errors.New("no answer"))
		if !w.ack.awaitsAck() || !w.probeDue {
			t.Fatalf("no probe is due: %+v", w)
		}
		was := w.tokenSeq
		for range 8 { // the actor does the rest
			time.Sleep(250 * time.Millisecond)
			h.runQueuedAndTick()
		}
		if w.tokenSeq == was || w.probeDue {
			t.Errorf("not probed within 2 s: %+v", w)
		}
		w.commandInFlight = false
		h.commandAnswered(w, protocol.Orders{Token: protocol.NewToken(7, w.tokenSeq), Session: 1}, nil, false, errors.New("no answer"))
		if w.probeDue {
			t.Error("a second probe is due at once")
		}
		answer := testReport(1, 9, protocol.NewToken(7, w.tokenSeq))
		h.commandAnswered(w, protocol.Orders{Session: 1}, answer, true, nil)
		if w.ack.awaitsAck() {
			t.Error("its answer is no acknowledgement")
		}
	})
}
