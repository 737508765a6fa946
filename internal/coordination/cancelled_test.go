package coordination

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/membership"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

const (
	troubledMachine = "host-000004"
	// liveStep is the step of time in which the machine lives, changedAfter how soon it reports a
	// change.
	liveStep     = 250 * time.Millisecond
	changedAfter = 500 * time.Millisecond
	// mostTroubles is how many troubles one machine has in turn.
	mostTroubles = 60
)

// heldCommand is a direct command that is carried out once it is due and its machine doesn't hang.
type heldCommand struct {
	due    time.Time
	orders protocol.Orders
}

// troubledWorker is a machine by the protocol, on which tasks of several jobs run, that hangs, hears
// nothing, and to which direct commands come late. Whatever happens to it, its tasks are gone
// once its lease is over.
type troubledWorker struct {
	session, ticket uint64
	token           protocol.Token
	renewed         time.Time
	tasks           map[string]*protocol.TaskReport
	hung, deaf      bool
	holdFor         time.Duration // by so much are direct commands held up
	held            []heldCommand
	next            time.Time // of its reports
	// calls are direct commands that arrive, which the test's goroutine takes in.
	calls chan func()
	// wronged is a task that an answer started though its holder knew that it was not to be.
	wronged string
}

func newTroubledWorker() *troubledWorker {
	return &troubledWorker{session: 1, renewed: time.Now(), tasks: map[string]*protocol.TaskReport{}, calls: make(chan func(), 16)}
}

func (m *troubledWorker) snapshot() *protocol.Report {
	m.ticket++
	rep := report(m.session, m.ticket, m.token)
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		rep.Tasks = append(rep.Tasks, *m.tasks[name])
	}
	return rep
}

// running are the jobs of which a task is there.
func (m *troubledWorker) running() (jobs []string) {
	for name, task := range m.tasks {
		if id, _, _ := protocol.SplitTask(name); task.State != protocol.TaskExited {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

func (m *troubledWorker) execute(commands []protocol.Command) {
	for _, c := range commands {
		task := m.tasks[c.Task]
		switch {
		case c.Verb == protocol.VerbStart && task == nil:
			m.tasks[c.Task] = &protocol.TaskReport{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskRunning}
		case task == nil || task.Attempt != c.Attempt:
		case c.Verb == protocol.VerbStop && task.State != protocol.TaskExited:
			task.State, task.Cause = protocol.TaskExited, "halted"
		case c.Verb == protocol.VerbForget && task.State == protocol.TaskExited:
			delete(m.tasks, c.Task)
		}
	}
	if soon := time.Now().Add(changedAfter); len(commands) > 0 && soon.Before(m.next) {
		m.next = soon
	}
}

// obey carries out a direct command if its token and session still count.
func (m *troubledWorker) obey(o protocol.Orders) bool {
	if o.Token < m.token || o.Session != m.session {
		return false
	}
	m.token = o.Token
	m.execute(o.Commands)
	return true
}

// live lets the lease lapse, carries out what was held up, and reports when it is time.
func (m *troubledWorker) live(h *Holder, lease, every time.Duration) {
	now := time.Now()
	if now.Sub(m.renewed) > lease {
		clear(m.tasks)
		m.session, m.renewed, m.next = m.session+1, now, now
	}
	if m.hung {
		return
	}
	var waiting []heldCommand
	for _, held := range m.held {
		if now.Before(held.due) {
			waiting = append(waiting, held)
		} else {
			m.obey(held.orders)
		}
	}
	m.held = waiting
	if now.Before(m.next) {
		return
	}
	m.next = now.Add(every)
	status, body := h.Report(m.snapshot())
	answer, _ := body.(protocol.ReportAnswer)
	if m.deaf || status != http.StatusOK || answer.Token < m.token {
		return
	}
	m.token, m.renewed = answer.Token, now
	for _, c := range answer.Commands {
		if id, _, _ := protocol.SplitTask(c.Task); c.Verb == protocol.VerbStart && h.over(id) {
			m.wronged = c.Task
		}
	}
	m.execute(answer.Commands)
}

// do serves direct commands.
func (m *troubledWorker) do(w http.ResponseWriter, r *http.Request) {
	var o protocol.Orders
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		panic(http.ErrAbortHandler)
	}
	var rep *protocol.Report // nil: no answer
	status := http.StatusOK
	done := make(chan struct{})
	m.calls <- func() {
		defer close(done)
		switch {
		case m.deaf:
		case m.hung || m.holdFor > 0:
			m.held = append(m.held, heldCommand{time.Now().Add(m.holdFor), o})
		default:
			if !m.obey(o) {
				status = http.StatusConflict
			}
			rep = m.snapshot()
		}
	}
	select {
	case <-done:
	case <-r.Context().Done(): // the test is over
		panic(http.ErrAbortHandler)
	}
	if rep == nil {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(rep)
}

// cancelWorld is such a machine, the holder that it has now, and jobs that users cancel at
// other controllers, which don't announce it.
type cancelWorld struct {
	ctx  context.Context
	c    *config.Config
	dial transport.Dialer
	m    *troubledWorker
	h    *Holder
	term uint64
	// jobs are all there are; told is when users were told that one is cancelled, which is recorded
	// by then.
	jobs []string
	told map[string]time.Time
	// readTo is up to when the records are read, unless they lag: then it stays.
	readTo time.Time
	lags   bool
	asks   protocol.Token
	// longest is for how long a task remained after its user was told.
	longest time.Duration
}

// take has a holder take the machine's slot that knows what is in the records that are read.
func (w *cancelWorld) take() {
	w.term++
	w.h, _ = holderOf(w.ctx, w.c, w.dial, w.term, troubledMachine)
	w.h.syncedAt = time.Time{}
	w.h.watermark = membership.NewWatermark(nil)
	w.h.types["small"] = protocol.MachineType{Name: "small", Cores: 8, RAM: 64}
	w.h.obey(&bookkeeping.Window{Number: 1, Owners: []string{w.c.Name}, Assignment: []string{w.c.Name}})
	for _, id := range w.jobs {
		w.h.jobChanged(pendingJob(id))
	}
	w.read()
}

// read has the holder read the records, up to now if they don't lag.
func (w *cancelWorld) read() {
	if !w.lags {
		w.readTo = time.Now()
	}
	for id, at := range w.told {
		if !at.After(w.readTo) {
			over := pendingJob(id)
			over.RecordedState, over.State = protocol.Cancelled, protocol.Cancelled
			w.h.jobChanged(over)
		}
	}
	w.h.synced(w.readTo)
}

// live lets time pass; it tells which job still runs though it had to be gone, "" if none.
func (w *cancelWorld) live(d time.Duration) (late string) {
	within := protocol.Seconds(w.c.Deployment.Workers.CancelS)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(liveStep) {
		w.read()
		w.m.live(w.h, w.c.WorkerLease(), w.c.ReportEvery())
		for synctest.Wait(); len(w.m.calls) > 0; synctest.Wait() {
			(<-w.m.calls)()
		}
		for len(w.h.inbox) > 0 {
			(<-w.h.inbox)()
		}
		w.h.tick()
		for _, id := range w.m.running() {
			if at, cancelled := w.told[id]; cancelled {
				w.longest = max(w.longest, time.Since(at))
				if time.Since(at) > within {
					return id
				}
			}
		}
	}
	return ""
}

// ask has an owner that knows of no cancellation ask for a task; it tells whether it was admitted.
func (w *cancelWorld) ask(job string, attempt uint64) bool {
	w.asks++
	a := &AskArgs{Caller: w.c.Name, ID: w.asks, Window: 1, Starts: []Start{{Task: protocol.TaskName(job, 0), Attempt: attempt, Machine: troubledMachine}}}
	reply, ok := w.h.serve(a)
	return ok && reply.Refused[0] == ""
}

// Whatever comes of a machine that hangs, hears nothing, gets direct commands late and takes in what
// was held up, of holders that follow each other and of records that lag: no task of a job is there
// once it is to be gone, however late its owner asked for it. And once all is well what is not
// cancelled is started.
func TestNoCancelledTaskRunsOn(t *testing.T) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		admitted, longest := 0, time.Duration(0)
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			m := newTroubledWorker()
			ctx, dial, end := serveWorker(m.do)
			defer end()
			w := &cancelWorld{ctx: ctx, c: c, dial: dial, m: m, term: 1, jobs: []string{"wk-1", "wk-2", "wk-3"}, told: map[string]time.Time{}}
			w.take()
			attempt := uint64(0)
			live := func(d time.Duration) {
				late := w.live(d)
				longest = max(longest, w.longest)
				if m.wronged != "" {
					rt.Fatalf("%s is started by who knows that it is cancelled", m.wronged)
				}
				if late != "" {
					rt.Fatalf("%s runs %v after its user was told, records read %v before: %+v, known as %+v", late, time.Since(w.told[late]), time.Since(w.readTo), m, w.h.byID[troubledMachine])
				}
			}
			live(5 * time.Second)
			happens := map[string]func(){
				"nothing": func() {},
				"a job is cancelled": func() {
					if id := rapid.SampledFrom(w.jobs).Draw(rt, "job"); w.told[id].IsZero() {
						w.told[id] = time.Now()
					}
				},
				"a task is asked for": func() {
					attempt++
					if w.ask(rapid.SampledFrom(w.jobs).Draw(rt, "job"), attempt) {
						admitted++
					}
				},
				"records lag":   func() { w.lags = rapid.Bool().Draw(rt, "lag") },
				"it hangs":      func() { m.hung = rapid.Bool().Draw(rt, "hangs") },
				"it goes deaf":  func() { m.deaf = rapid.Bool().Draw(rt, "deaf") },
				"commands late": func() { m.holdFor = time.Duration(rapid.IntRange(0, 16).Draw(rt, "s")) * time.Second },
				"another holds": func() { w.take() },
			}
			kinds := slices.Sorted(maps.Keys(happens))
			for range mostTroubles {
				happens[rapid.SampledFrom(kinds).Draw(rt, "what")]()
				live(time.Duration(rapid.SampledFrom([]int{8, 1, 20, 3, 40, 12}).Draw(rt, "steps")) * liveStep)
			}
			m.hung, m.deaf, m.holdFor, w.lags = false, false, 0, false
			live(4 * c.WorkerLease())
			for _, id := range w.jobs {
				if attempt++; w.told[id].IsZero() && !slices.Contains(m.running(), id) && !w.ask(id, attempt) {
					rt.Fatalf("%s is not cancelled, and can't be started: %+v", id, w.h.byID[troubledMachine])
				}
			}
			live(2 * c.ReportEvery())
			for _, id := range w.jobs {
				if w.told[id].IsZero() && !slices.Contains(m.running(), id) {
					rt.Fatalf("%s was not started: %+v", id, w.h.byID[troubledMachine])
				}
			}
		})
		t.Logf("%d starts were admitted; of cancelled jobs the last task was gone after %v", admitted, longest)
		if admitted == 0 || longest < c.WorkerLease() {
			t.Error("nothing was tried")
		}
	})
}
