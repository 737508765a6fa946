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
	faultyMachine = "host-000004"
	// timeStep is the time step of the simulation. changeReportDelay is how soon the machine reports a change.
	timeStep          = 250 * time.Millisecond
	changeReportDelay = 500 * time.Millisecond
	// eventsPerRun is the number of events in one simulation.
	eventsPerRun = 60
)

// delayedOrders are direct commands that are carried out once they are due and the machine does not hang.
type delayedOrders struct {
	due    time.Time
	orders protocol.Orders
}

// faultyWorker is a machine that follows the protocol and runs tasks of several jobs. It may hang, receive no
// messages, or receive direct commands late. In all cases its tasks end once its lease expires.
type faultyWorker struct {
	session, ticket   uint64
	token             protocol.Token
	renewedAt         time.Time
	tasks             map[string]*protocol.TaskReport
	hung, unreachable bool
	orderDelay        time.Duration // delay of direct commands
	delayed           []delayedOrders
	nextReport        time.Time // when it next reports
	// calls contains a handler for each arriving direct command, which the test's goroutine runs.
	calls chan func()
	// wrongStart is a task that an answer started although its holder knew that the job is cancelled.
	wrongStart string
}

func newFaultyWorker() *faultyWorker {
	return &faultyWorker{session: 1, renewedAt: time.Now(), tasks: map[string]*protocol.TaskReport{}, calls: make(chan func(), 16)}
}

func (m *faultyWorker) snapshot() *protocol.Report {
	m.ticket++
	r := testReport(m.session, m.ticket, m.token)
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		r.Tasks = append(r.Tasks, *m.tasks[name])
	}
	return r
}

// runningJobs returns the job of each task that has not exited.
func (m *faultyWorker) runningJobs() (jobs []string) {
	for name, task := range m.tasks {
		if job, _, _ := protocol.SplitTask(name); task.State != protocol.TaskExited {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

func (m *faultyWorker) execute(commands []protocol.Command) {
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
	if reportAt := time.Now().Add(changeReportDelay); len(commands) > 0 && reportAt.Before(m.nextReport) {
		m.nextReport = reportAt
	}
}

// executeOrders carries out a direct command unless its token or session is stale.
func (m *faultyWorker) executeOrders(orders protocol.Orders) bool {
	if orders.Token < m.token || orders.Session != m.session {
		return false
	}
	m.token = orders.Token
	m.execute(orders.Commands)
	return true
}

// advance ends the tasks if the lease has expired, carries out delayed commands that are due, and sends a
// report if one is due.
func (m *faultyWorker) advance(h *Holder, lease, reportEvery time.Duration) {
	now := time.Now()
	if now.Sub(m.renewedAt) > lease {
		clear(m.tasks)
		m.session, m.renewedAt, m.nextReport = m.session+1, now, now
	}
	if m.hung {
		return
	}
	var waiting []delayedOrders
	for _, d := range m.delayed {
		if now.Before(d.due) {
			waiting = append(waiting, d)
		} else {
			m.executeOrders(d.orders)
		}
	}
	m.delayed = waiting
	if now.Before(m.nextReport) {
		return
	}
	m.nextReport = now.Add(reportEvery)
	status, body := h.Report(m.snapshot())
	answer, _ := body.(protocol.ReportAnswer)
	if m.unreachable || status != http.StatusOK || answer.Token < m.token {
		return
	}
	m.token, m.renewedAt = answer.Token, now
	for _, c := range answer.Commands {
		if job, _, _ := protocol.SplitTask(c.Task); c.Verb == protocol.VerbStart && h.isJobOver(job) {
			m.wrongStart = c.Task
		}
	}
	m.execute(answer.Commands)
}

// serveOrders handles direct commands over HTTP.
func (m *faultyWorker) serveOrders(w http.ResponseWriter, r *http.Request) {
	var orders protocol.Orders
	if json.NewDecoder(r.Body).Decode(&orders) != nil {
		panic(http.ErrAbortHandler)
	}
	var reply *protocol.Report // nil: no reply
	status := http.StatusOK
	done := make(chan struct{})
	m.calls <- func() {
		defer close(done)
		switch {
		case m.unreachable:
		case m.hung || m.orderDelay > 0:
			m.delayed = append(m.delayed, delayedOrders{time.Now().Add(m.orderDelay), orders})
		default:
			if !m.executeOrders(orders) {
				status = http.StatusConflict
			}
			reply = m.snapshot()
		}
	}
	select {
	case <-done:
	case <-r.Context().Done(): // the test has ended
		panic(http.ErrAbortHandler)
	}
	if reply == nil {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(reply)
}

// cancelSimulation consists of a faulty machine, its present holder, and jobs that users cancel at other
// controllers, which do not announce the cancellations.
type cancelSimulation struct {
	ctx    context.Context
	c      *config.Config
	dial   transport.Dialer
	worker *faultyWorker
	holder *Holder
	term   uint64
	// jobs are all jobs; toldAt is when users were told that a job is cancelled. The cancellation is recorded
	// by then.
	jobs   []string
	toldAt map[string]time.Time
	// recordsAsOf is the time up to which the holder has read the records; it does not advance while they lag.
	recordsAsOf time.Time
	recordsLag  bool
	lastToken   protocol.Token
	// longestRemaining is the longest time for which a task remained after its user was told.
	longestRemaining time.Duration
}

// takeOver replaces the holder of the machine's slot by a new one that knows only the records read so far.
func (w *cancelSimulation) takeOver() {
	w.term++
	w.holder, _ = newTestHolder(w.ctx, w.c, w.dial, w.term, faultyMachine)
	w.holder.syncedAt = time.Time{}
	w.holder.watermark = membership.NewWatermark(nil)
	w.holder.machineTypes["small"] = protocol.MachineType{Name: "small", Cores: 8, RAM: 64}
	w.holder.adoptWindow(&bookkeeping.Window{Number: 1, Owners: []string{w.c.Name}, Assignment: []string{w.c.Name}})
	for _, id := range w.jobs {
		w.holder.jobChanged(pendingJob(id))
	}
	w.readRecords()
}

// readRecords makes the holder read the records, up to the present unless they lag.
func (w *cancelSimulation) readRecords() {
	if !w.recordsLag {
		w.recordsAsOf = time.Now()
	}
	for id, at := range w.toldAt {
		if !at.After(w.recordsAsOf) {
			cancelled := pendingJob(id)
			cancelled.RecordedState, cancelled.State = protocol.Cancelled, protocol.Cancelled
			w.holder.jobChanged(cancelled)
		}
	}
	w.holder.synced(w.recordsAsOf)
}

// advance lets time pass and returns a job that still runs after its cancellation deadline, "" if there is none.
func (w *cancelSimulation) advance(d time.Duration) (late string) {
	deadline := protocol.Seconds(w.c.Deployment.Workers.CancelS)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(timeStep) {
		w.readRecords()
		w.worker.advance(w.holder, w.c.WorkerLease(), w.c.ReportEvery())
		for synctest.Wait(); len(w.worker.calls) > 0; synctest.Wait() {
			(<-w.worker.calls)()
		}
		for len(w.holder.inbox) > 0 {
			(<-w.holder.inbox)()
		}
		w.holder.tick()
		for _, id := range w.worker.runningJobs() {
			if at, cancelled := w.toldAt[id]; cancelled {
				w.longestRemaining = max(w.longestRemaining, time.Since(at))
				if time.Since(at) > deadline {
					return id
				}
			}
		}
	}
	return ""
}

// requestStart sends the request of an owner, which has not learned of any cancellation, to start a task. It
// reports whether the holder admitted the start.
func (w *cancelSimulation) requestStart(job string, attempt uint64) bool {
	w.lastToken++
	a := &AskArgs{Caller: w.c.Name, ID: w.lastToken, Window: 1, Starts: []Start{{Task: protocol.TaskName(job, 0), Attempt: attempt, Machine: faultyMachine}}}
	reply, ok := w.holder.handleAsk(a)
	return ok && reply.Refused[0] == ""
}

// No task of a cancelled job exists after its deadline, no matter how late its owner requested the task, while
// the machine hangs, receives nothing, or receives direct commands late, holders replace each other, and records
// lag. Once all faults end, jobs that are not cancelled are started.
func TestCancelledTasksEndInTime(t *testing.T) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		admitted, longest := 0, time.Duration(0)
		rapid.Check(struct{ testing.TB }{t}, func(rt *rapid.T) {
			machine := newFaultyWorker()
			ctx, dial, end := serveWorker(machine.serveOrders)
			defer end()
			w := &cancelSimulation{ctx: ctx, c: c, dial: dial, worker: machine, term: 1, jobs: []string{"wk-1", "wk-2", "wk-3"}, toldAt: map[string]time.Time{}}
			w.takeOver()
			attempt := uint64(0)
			advance := func(d time.Duration) {
				late := w.advance(d)
				longest = max(longest, w.longestRemaining)
				if machine.wrongStart != "" {
					rt.Fatalf("%s was started by a holder that knows that its job is cancelled", machine.wrongStart)
				}
				if late != "" {
					rt.Fatalf("%s runs %v after its user was told; records read %v ago; machine %+v, as known to its holder %+v", late, time.Since(w.toldAt[late]), time.Since(w.recordsAsOf), machine, w.holder.workersByID[faultyMachine])
				}
			}
			advance(5 * time.Second)
			events := map[string]func(){
				"nothing": func() {},
				"a job is cancelled": func() {
					if id := rapid.SampledFrom(w.jobs).Draw(rt, "job"); w.toldAt[id].IsZero() {
						w.toldAt[id] = time.Now()
					}
				},
				"a start is requested": func() {
					attempt++
					if w.requestStart(rapid.SampledFrom(w.jobs).Draw(rt, "job"), attempt) {
						admitted++
					}
				},
				"records lag":               func() { w.recordsLag = rapid.Bool().Draw(rt, "lag") },
				"machine hangs":             func() { machine.hung = rapid.Bool().Draw(rt, "hangs") },
				"machine cannot receive":    func() { machine.unreachable = rapid.Bool().Draw(rt, "unreachable") },
				"commands are delayed":      func() { machine.orderDelay = time.Duration(rapid.IntRange(0, 16).Draw(rt, "seconds")) * time.Second },
				"another holder takes over": func() { w.takeOver() },
			}
			names := slices.Sorted(maps.Keys(events))
			for range eventsPerRun {
				events[rapid.SampledFrom(names).Draw(rt, "event")]()
				advance(time.Duration(rapid.SampledFrom([]int{8, 1, 20, 3, 40, 12}).Draw(rt, "steps")) * timeStep)
			}
			machine.hung, machine.unreachable, machine.orderDelay, w.recordsLag = false, false, 0, false
			advance(4 * c.WorkerLease())
			for _, id := range w.jobs {
				if attempt++; w.toldAt[id].IsZero() && !slices.Contains(machine.runningJobs(), id) && !w.requestStart(id, attempt) {
					rt.Fatalf("%s is not cancelled, but its start is refused: %+v", id, w.holder.workersByID[faultyMachine])
				}
			}
			advance(2 * c.ReportEvery())
			for _, id := range w.jobs {
				if w.toldAt[id].IsZero() && !slices.Contains(machine.runningJobs(), id) {
					rt.Fatalf("%s is not cancelled, but was not started: %+v", id, w.holder.workersByID[faultyMachine])
				}
			}
		})
		t.Logf("%d starts were admitted; the last task of a cancelled job ended after %v", admitted, longest)
		if admitted == 0 || longest < c.WorkerLease() {
			t.Error("the simulation admitted no start, or no task of a cancelled job remained for a lease")
		}
	})
}
