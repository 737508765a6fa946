package coordination

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/board"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// A random test of a holder against a simple model of a machine.

// modelWorker is a machine with one task that follows the protocol, and shows what may run.
type modelWorker struct {
	session, ticket uint64
	token           protocol.Token
	renewed         time.Time
	running         bool
	// receivesNothing: no message reaches the machine; sendsNothing: none of its messages arrives.
	receivesNothing, sendsNothing bool
	// answer is on its way to the machine, which has sent no report since; nil if there is none.
	answer      *modelAnswer
	nextReport  time.Time // when it reports next
	sentReports []protocol.Report
	// calls are direct commands that the test's goroutine has the machine carry out.
	calls chan func()
	// startedDirectly: a direct command was to start a task.
	startedDirectly bool
}

// modelAnswer is an answer on its way: to a report of a session, sent at a time.
type modelAnswer struct {
	protocol.ReportAnswer
	session uint64
	sent    time.Time
}

// maxAnswerDelay is how long a worker waits for an answer.
const maxAnswerDelay = 4 * time.Second

// receiveAnswer has the machine take in the answer that is on its way.
func (m *modelWorker) receiveAnswer() {
	a := m.answer
	m.answer = nil
	if a == nil || m.receivesNothing || time.Since(a.sent) >= maxAnswerDelay || a.Token < m.token || a.session != m.session {
		return
	}
	m.token, m.renewed = a.Token, a.sent
	m.execute(a.Commands)
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

// tick takes in the answer to the report before, ends the session if its lease has lapsed, and reports to the
// current holder when a report is due. Direct commands arrive between a report and its answer.
func (m *modelWorker) tick(h *Holder, lease, every time.Duration) {
	m.receiveAnswer()
	if now := time.Now(); now.Sub(m.renewed) > lease {
		m.running, m.session, m.renewed, m.nextReport = false, m.session+1, now, now
	}
	if time.Now().Before(m.nextReport) {
		return
	}
	m.answer = nil // it gave up waiting
	at, rep := time.Now(), m.newReport()
	m.nextReport = at.Add(every)
	if m.sendsNothing {
		return
	}
	status, body := h.Report(&rep)
	if m.receivesNothing {
		m.nextReport = at.Add(2 * every) // meanwhile it tries other controllers
		return
	}
	if a, ok := body.(protocol.ReportAnswer); ok && status == http.StatusOK {
		m.answer = &modelAnswer{a, rep.Session, at}
	}
}

// execute carries out the commands of an answer.
func (m *modelWorker) execute(commands []protocol.Command) {
	for _, c := range commands {
		if c.Verb == protocol.VerbStart || c.Verb == protocol.VerbStop {
			m.running, m.nextReport = c.Verb == protocol.VerbStart, time.Now()
		}
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
		m.startedDirectly = m.startedDirectly || slices.ContainsFunc(o.Commands, func(c protocol.Command) bool { return c.Verb == protocol.VerbStart })
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

// runCalls has the machine carry out the direct commands that have arrived.
func (m *modelWorker) runCalls() {
	for synctest.Wait(); len(m.calls) > 0; synctest.Wait() {
		(<-m.calls)()
	}
}

// Under any sequence of reports, copies of reports, answers that start tasks, losses in either direction,
// restarts of the machine and changes of holder, no holder drops a task that runs, none starts a task by a direct
// command, which may arrive at any later time, and once all faults are over the holder knows again what is there.
// The test finds these faults when they are put in: numbers that are not compared, reports that are applied under an
// older term, a direct command that starts a task, and in some runs a newest answer that is not counted.
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
					if s.complete && m.running && (w == nil || w.entries["wk-1/0"] == nil || w.lapsed) {
						rt.Fatalf("running task dropped %v after the slot was taken: %+v", time.Since(s.adopted), w)
					}
					if m.startedDirectly {
						rt.Fatalf("a direct command starts a task: %+v", w)
					}
				}
			}
			rt.Repeat(map[string]func(*rapid.T){
				"some time passes": func(rt *rapid.T) {
					advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "quarters")) * 250 * time.Millisecond)
				},
				"a copied report arrives": func(rt *rapid.T) {
					if len(m.sentReports) > 0 {
						rep := rapid.SampledFrom(m.sentReports).Draw(rt, "report")
						h.Report(&rep)
						m.runCalls()
						h.runQueuedAndTick()
					}
				},
				"machine receives nothing": func(rt *rapid.T) { m.receivesNothing = rapid.Bool().Draw(rt, "receives nothing") },
				"machine sends nothing":    func(rt *rapid.T) { m.sendsNothing = rapid.Bool().Draw(rt, "sends nothing") },
				"another holder takes over": func(rt *rapid.T) {
					jobs := h.jobs
					term++
					h, s = newTestHolder(ctx, c, dial, term, "host-000004")
					h.jobs = jobs
				},
				"machine is reset": func(rt *rapid.T) {
					m.session, m.ticket, m.token, m.renewed, m.running, m.answer, m.nextReport = 1, 0, 0, time.Now(), false, nil, time.Now()
				},
				"a task is admitted": func(rt *rapid.T) {
					usable := func() *worker {
						if w := h.workersByID["host-000004"]; w != nil && s.complete && h.startable(w) && w.entries["wk-1/0"] == nil {
							return w
						}
						return nil
					}
					for waited := time.Duration(0); usable() == nil && !m.running && waited < c.WorkerLease(); waited += time.Second {
						advance(time.Second)
					}
					if w := usable(); w != nil {
						w.entries["wk-1/0"] = &entry{task: "wk-1/0", job: "wk-1", attempt: 1, state: board.TaskQueued, expiresAt: time.Now().Add(queueTimeout)}
						h.markChanged(w)
						advance(time.Duration(rapid.IntRange(0, 20).Draw(rt, "quarters")) * 250 * time.Millisecond)
					}
				},
				"another task is forgotten": func(rt *rapid.T) {
					// By a direct command, which may arrive before an answer that is on its way.
					if w := h.workersByID["host-000004"]; w != nil && w.verified && !w.commandInFlight {
						w.entries["wk-1/1"] = &entry{task: "wk-1/1", job: "wk-1", index: 1, attempt: 1, state: protocol.TaskExited, forgetRequested: true}
						h.sendCommands(w)
						m.runCalls()
						h.runQueuedAndTick()
					}
				},
			})
			m.receivesNothing, m.sendsNothing = false, false
			// A restarted machine counts its sessions from the beginning, one per lease. (A leader would have
			// returned it as silent long before.)
			sessions := uint64(0)
			for _, rep := range m.sentReports {
				sessions = max(sessions, rep.Session)
			}
			advance(time.Duration(4+sessions) * c.WorkerLease())
			if w := h.workersByID["host-000004"]; w == nil || !w.verified || w.lapsed || !s.complete || !h.startable(w) || m.running != (w.entries["wk-1/0"] != nil) {
				rt.Fatalf("state not known again, running %v: %+v of %+v", m.running, h.workersByID["host-000004"], s)
			}
		})
	})
}
