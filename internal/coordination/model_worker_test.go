package coordination

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/board"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// A random test of a holder against a plain model of a machine.

// modelWorker is a machine with one task, by the protocol: a plain model of what may run.
type modelWorker struct {
	session, ticket uint64
	token           protocol.Token
	renewed         time.Time
	running         bool
	// receivesNothing: nothing reaches it; sendsNothing: nothing of its leaves it.
	receivesNothing, sendsNothing bool
	// restarted: it began anew, and no answer has come to it since.
	restarted   bool
	nextReport  time.Time // of its reports
	sentReports []protocol.Report
	// calls are direct commands, which the test's goroutine has the machine carry out.
	calls chan func()
	// delayedStart is a direct command to start that is delayedStart up on its way since heldAt; nil: none is.
	delayedStart *protocol.Orders
	delayedSince time.Time
}

// maxCommandDelay is how long a command of the model is held up at most, as on the users' bench.
const maxCommandDelay = 16 * time.Second

// deliverDelayedStart has the command that was held up deliverDelayedStart.
func (m *modelWorker) deliverDelayedStart() {
	if o := m.delayedStart; o.Token >= m.token && o.Session == m.session {
		m.token, m.running, m.nextReport = o.Token, true, time.Now()
	}
	m.delayedStart = nil
}

func (m *modelWorker) newReport() protocol.Report {
	m.ticket++
	r := *testReport(m.session, m.ticket, m.token)
	if m.running {
		r.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 1, State: protocol.TaskRunning}}
	}
	m.sentReports = append(m.sentReports, r)
	return r
}

// tick lets the lease lapse, and reports when it is time, to the holder that holds it now.
func (m *modelWorker) tick(h *Holder, lease, every time.Duration) {
	if now := time.Now(); now.Sub(m.renewed) > lease {
		m.running, m.session, m.renewed, m.nextReport = false, m.session+1, now, now
	}
	if time.Now().Before(m.nextReport) {
		return
	}
	at, rep := time.Now(), m.newReport()
	m.nextReport = at.Add(every)
	if m.sendsNothing {
		return
	}
	status, body := h.Report(&rep)
	if m.receivesNothing {
		m.nextReport = at.Add(2 * every) // it tries others meanwhile
		return
	}
	if a, ok := body.(protocol.ReportAnswer); ok && status == http.StatusOK && a.Token >= m.token && rep.Session == m.session {
		m.token, m.renewed, m.restarted = a.Token, at, false
	}
}

// handleCommand serves direct commands.
func (m *modelWorker) handleCommand(w http.ResponseWriter, r *http.Request) {
	var o protocol.Orders
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		panic(http.ErrAbortHandler)
	}
	var rep protocol.Report
	status, lost := http.StatusConflict, false
	done := make(chan struct{})
	m.calls <- func() {
		defer close(done)
		if lost = m.receivesNothing; lost {
			return
		}
		if o.Token >= m.token && o.Session == m.session {
			m.token, status = o.Token, http.StatusOK
		}
		rep, lost = m.newReport(), m.sendsNothing
	}
	select {
	case <-done:
	case <-r.Context().Done(): // the test is over
		lost = true
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(rep)
}

// runCalls has the machine carry out what was told it directly.
func (m *modelWorker) runCalls() {
	for synctest.Wait(); len(m.calls) > 0; synctest.Wait() {
		(<-m.calls)()
	}
}

// Whatever comes of reports, copies of them, answers, cuts in either direction, machines that
// begin anew, commands that are held up and holders that follow each other: no holder ever takes a
// task for gone that runs, or that a command of its own which is held up may still start, and once
// all is well it knows again what is there. (What a former holder sent is kept by the boards of
// owners.) Found by it with the mistake put in: numbers not compared, the newest answer not
// counted, reports believed under an older term, a start that may still arrive taken for void.
func TestRunningTaskIsNeverDropped(t *testing.T) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			m := &modelWorker{session: 1, token: protocol.NewToken(1, 5), renewed: time.Now(), running: true, calls: make(chan func(), 16)}
			ctx, dial, end := serveWorker(m.handleCommand)
			defer end()
			term := uint64(2)
			h, s := newTestHolder(ctx, c, dial, term, "host-000004")
			h.jobs["wk-1"] = pendingJob("wk-1")
			advance := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
					m.tick(h, c.WorkerLease(), c.ReportEvery())
					m.runCalls()
					h.runQueuedAndTick()
					w := h.workersByID["host-000004"]
					if s.complete && m.running && (w == nil || w.entries["wk-1/0"] == nil || w.lapsed && len(w.openStarts) == 0) {
						rt.Fatalf("taken for gone %v after the slot was taken: %+v", time.Since(s.adopted), w)
					}
					if m.delayedStart != nil && time.Since(m.delayedSince) > maxCommandDelay {
						m.delayedStart = nil
					}
					if m.delayedStart != nil && m.delayedStart.Token.Term() == term && (w == nil || w.entries["wk-1/0"] == nil) {
						rt.Fatalf("taken for gone %v after a start was sent that may still arrive: %+v", time.Since(m.delayedSince), w)
					}
				}
			}
			rt.Repeat(map[string]func(*rapid.T){
				"time passes": func(rt *rapid.T) {
					advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "quarters")) * 250 * time.Millisecond)
				},
				"a copy comes": func(rt *rapid.T) {
					if len(m.sentReports) > 0 {
						rep := rapid.SampledFrom(m.sentReports).Draw(rt, "report")
						h.Report(&rep)
						m.runCalls()
						h.runQueuedAndTick()
					}
				},
				"it goes deaf": func(rt *rapid.T) { m.receivesNothing = rapid.Bool().Draw(rt, "deaf") },
				"it goes mute": func(rt *rapid.T) { m.sendsNothing = rapid.Bool().Draw(rt, "mute") },
				"another holds": func(rt *rapid.T) {
					jobs := h.jobs
					term++
					h, s = newTestHolder(ctx, c, dial, term, "host-000004")
					h.jobs = jobs
				},
				"it begins anew": func(rt *rapid.T) {
					m.session, m.ticket, m.token, m.renewed, m.running, m.restarted, m.nextReport = 1, 0, 0, time.Now(), false, true, time.Now()
				},
				"a start is held up": func(rt *rapid.T) {
					w := h.workersByID["host-000004"]
					if w == nil || w.lapsed || w.commandInFlight || !s.complete || !h.startable(w) || m.running || m.delayedStart != nil || w.entries["wk-1/0"] != nil {
						return
					}
					w.tokenSeq++
					o := protocol.Orders{Token: protocol.NewToken(term, w.tokenSeq), Session: w.session, Commands: []protocol.Command{{Verb: protocol.VerbStart, Task: "wk-1/0", Attempt: 1}}}
					w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 1, state: board.TaskStarting}
					w.noteStarts(o, time.Now().Add(commandLifetime(c)))
					w.commandInFlight, w.ticketAtSend = true, w.ticket
					m.delayedStart, m.delayedSince = &o, time.Now()
					h.commandAnswered(w, o, nil, false, transport.ErrUnknown)
				},
				"what was held up arrives": func(rt *rapid.T) {
					if m.delayedStart != nil && m.delayedStart.Token.Term() == term {
						m.deliverDelayedStart()
					}
				},
				"a task runs there": func(rt *rapid.T) {
					// Started by whoever holds it, by a direct command, who knows it to be there: only
					// where it is known. Whether its answer comes or not, unless it began anew unseen.
					w := h.workersByID["host-000004"]
					if w == nil || w.lapsed || w.commandInFlight || !s.complete || !h.startable(w) || m.receivesNothing || m.running || w.entries["wk-1/0"] != nil || m.session != w.session {
						return
					}
					w.tokenSeq++
					o := protocol.Orders{Token: protocol.NewToken(term, w.tokenSeq), Session: w.session, Commands: []protocol.Command{{Verb: protocol.VerbStart, Task: "wk-1/0", Attempt: 1}}}
					w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 1, state: board.TaskStarting, startToken: o.Token}
					w.commandInFlight, w.ticketAtSend = true, w.ticket
					m.token, m.running, m.nextReport = o.Token, true, time.Now()
					rep := m.newReport()
					if m.restarted || rapid.Bool().Draw(rt, "answered") {
						h.commandAnswered(w, o, &rep, true, nil)
					} else {
						h.commandAnswered(w, o, nil, false, transport.ErrUnknown)
					}
				},
			})
			m.receivesNothing, m.sendsNothing = false, false
			// One that began anew counts its sessions from the beginning, a lease each. (A leader
			// would have returned it as silent long before.)
			past := uint64(0)
			for _, rep := range m.sentReports {
				past = max(past, rep.Session)
			}
			advance(time.Duration(4+past) * c.WorkerLease())
			if w := h.workersByID["host-000004"]; w == nil || !w.verified || w.lapsed || !s.complete || !h.startable(w) || m.running != (w.entries["wk-1/0"] != nil) {
				rt.Fatalf("not known again, running %v: %+v of %+v", m.running, h.workersByID["host-000004"], s)
			}
		})
	})
}
