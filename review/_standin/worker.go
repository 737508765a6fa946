package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// machine is a rented machine and its worker. The cloud's lock guards it.
type machine struct {
	c          *cloud
	id, addr   string
	plaza      string
	typ        protocol.MachineType
	spot       bool
	rented     time.Time
	up, gone   bool
	upAt       time.Time
	goneAt     time.Time
	shift      uint64
	ticket     uint64
	baton      protocol.Token
	renewed    time.Time // when the last answered report was sent, or the session began
	tokenNoted time.Time // when a higher token last counted as a change
	boots      int
	tasks      []*task
	images     map[string]time.Time // when each image is there
	node       int                  // the controller that it reports to
	changed    chan struct{}
	server     *http.Server
	// sick: the machine fails every task that it starts.
	sick bool
	// cut: nothing leaves the machine, and what is sent to it is held until the cut ends.
	// holdStarts: direct commands with starts are held, and nothing else.
	cut, holdStarts bool
	held            []func()
	heldStarts      []string // the tasks that held commands start
	end             context.CancelFunc
	ctx             context.Context
}

// task is an attempt of a task on a machine.
type task struct {
	protocol.TaskReport
	job *job
	// here: it has its image and has not ended.
	here  bool
	began time.Time // when it had its image
}

func (t *task) exited() bool { return t.State == protocol.TaskExited }

// comeUp starts the worker once the machine has booted, at an address of its own if none is given.
func (m *machine) comeUp(addr string) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.gone {
		return
	}
	if addr == "" {
		addr = randomHost() + ":0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		m.c.add("%s can't listen on %s: %v", m.id, addr, err)
		return
	}
	m.up, m.upAt, m.addr, m.images = true, time.Now(), l.Addr().String(), map[string]time.Time{}
	m.shift, m.renewed = 1, time.Now()
	m.ctx, m.end = context.WithCancel(m.c.ctx)
	m.c.add("%s is up: %s in %s, spot %v, at %s", m.id, m.typ.Name, m.plaza, m.spot, m.addr)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", m.do)
	mux.HandleFunc("GET /inspect", func(w http.ResponseWriter, r *http.Request) {
		m.reach(r, false, func() func() { rep := m.report(); return func() { write(w, http.StatusOK, rep) } })
	})
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go m.server.Serve(l)
	go m.reportLoop()
	go m.watchLease()
}

// remove ends the machine with all that is on it; it holds the lock.
func (m *machine) remove() {
	m.gone, m.goneAt = true, time.Now()
	m.killTasks()
	if m.up {
		m.end()
		go m.server.Close()
	}
}

// reboot restarts the machine at once: its tasks end, and its worker begins anew; its disk, with the images, stays. It
// holds the lock.
func (m *machine) reboot() {
	m.c.add("%s reboots", m.id)
	m.killTasks()
	m.boots++
	m.shift, m.ticket, m.baton, m.renewed = 1, 0, 0, time.Now()
}

func (m *machine) killTasks() {
	for _, t := range m.tasks {
		m.leave(t)
		t.State = protocol.TaskExited
	}
	m.tasks = nil
}

// leave notes that a task is no longer on the machine.
func (m *machine) leave(t *task) {
	if !t.here {
		return
	}
	t.here = false
	if t.job.on[t.Task] == m {
		delete(t.job.on, t.Task)
	}
	m.c.add("%s leaves %s", t.Task, m.id)
}

func (m *machine) watchLease() {
	for m.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		m.c.with(func() {
			if !m.gone && time.Since(m.renewed) > m.c.site.lease {
				m.c.add("%s: the lease of session %d ends", m.id, m.shift)
				m.killTasks()
				m.shift++
				m.renewed = time.Now()
				m.noteChange()
			}
		})
	}
}

func (m *machine) noteChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// report is the worker's report; it holds the lock.
func (m *machine) report() protocol.Report {
	m.ticket++
	rep := protocol.Report{Machine: m.id, Addr: m.addr, Type: m.typ.Name, Zone: m.plaza, Spot: m.spot, Session: m.shift, Ticket: m.ticket, Token: m.baton, Tasks: []protocol.TaskReport{}}
	for _, t := range m.tasks {
		rep.Tasks = append(rep.Tasks, t.TaskReport)
	}
	return rep
}

// reportLoop reports to the controllers, one report at a time.
func (m *machine) reportLoop() {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for m.ctx.Err() == nil {
		var rep protocol.Report
		node, cut, boots := 0, false, 0
		m.c.with(func() {
			if cut = m.cut; !cut {
				rep = m.report()
			}
			node, boots = m.node, m.boots
		})
		if cut {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		sent := time.Now()
		status, raw := m.post(client, node, rep)
		wait := time.Duration(float64(m.c.site.reportEvery) * (0.75 + rand.Float64()/2))
		m.c.with(func() {
			if m.boots != boots {
				wait = 0
				return
			}
			if m.cut {
				status = 0
			}
			wait = m.answered(status, raw, rep, sent, wait)
		})
		changed := m.changed
		if wait <= time.Second {
			changed = nil // it goes to another controller
		}
		select {
		case <-time.After(wait):
		case <-changed:
			time.Sleep(min(wait, 500*time.Millisecond-min(500*time.Millisecond, time.Since(sent))))
		case <-m.ctx.Done():
		}
	}
}

func (m *machine) post(client *http.Client, node int, rep protocol.Report) (status int, raw []byte) {
	body, _ := json.Marshal(rep)
	ctx, cancel := context.WithTimeout(m.ctx, 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.c.nodes.fronts[node]+"/checkin", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if raw, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// answered carries out the answer to a report and returns the wait until the next; it holds the lock.
func (m *machine) answered(status int, raw []byte, rep protocol.Report, sent time.Time, every time.Duration) time.Duration {
	nodes := len(m.c.nodes.fronts)
	switch status {
	case http.StatusOK:
		var a protocol.ReportAnswer
		if json.Unmarshal(raw, &a) != nil || a.Token < m.baton || rep.Session != m.shift || m.gone {
			m.c.add("%s drops an answer: %s", m.id, raw)
			return every
		}
		if m.see(a.Token); len(a.Commands) > 0 {
			m.c.add("%s: answer of %s %s", m.id, nodeName(m.node), raw)
		}
		m.renewed = sent
		m.execute(a.Commands)
		return every
	case http.StatusMisdirectedRequest:
		var red protocol.Redirect
		json.Unmarshal(raw, &red)
		for n := range nodes {
			if nodeName(n) == red.Node && n != m.node {
				m.node = n
				return 100 * time.Millisecond
			}
		}
	}
	m.node = (m.node + 1) % nodes
	return time.Second
}

// see notes a token; a higher one counts as a change at most once per half of the lease.
func (m *machine) see(token protocol.Token) {
	if token > m.baton && time.Since(m.tokenNoted) >= m.c.site.lease/2 {
		m.tokenNoted = time.Now()
		m.noteChange()
	}
	m.baton = token
}

// reach runs f, which returns how to answer, once the machine can be reached. A request that was given up
// meanwhile is carried out all the same.
func (m *machine) reach(r *http.Request, starts bool, f func() (answer func())) {
	done := make(chan func(), 1)
	m.c.with(func() {
		carryOut := func() {
			if !m.gone {
				done <- f()
			}
		}
		if m.cut || m.holdStarts && starts {
			m.held = append(m.held, carryOut)
		} else {
			carryOut()
		}
	})
	select {
	case answer := <-done:
		if r.Context().Err() == nil {
			answer()
		}
	case <-r.Context().Done():
	case <-m.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// setCut begins or ends a cut; what was held is then delivered, in order. It holds the lock.
func (m *machine) setCut(on bool) {
	m.c.add("%s: cut %v", m.id, on)
	if m.cut = on; !on {
		m.deliver()
	}
}

// deliver carries out what was held, in order; it holds the lock.
func (m *machine) deliver() {
	for _, f := range m.held {
		f()
	}
	m.held = nil
}

func (m *machine) do(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBody))
	var o protocol.Orders
	if err != nil || json.Unmarshal(raw, &o) != nil || o.Session == 0 {
		write(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	starts := false
	m.c.with(func() {
		for _, c := range o.Commands {
			if starts = starts || c.Verb == protocol.VerbStart; starts && m.holdStarts {
				m.heldStarts = append(m.heldStarts, c.Task)
			}
		}
	})
	m.reach(r, starts, func() func() {
		status := http.StatusConflict
		if o.Token >= m.baton && o.Session == m.shift {
			status = http.StatusOK
			m.see(o.Token)
			m.execute(o.Commands)
		}
		m.c.add("%s: direct %s -> %d", m.id, raw, status)
		rep := m.report()
		return func() { write(w, status, rep) }
	})
}

func write(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.WriteHeader(status)
	w.Write(raw)
}

// execute carries out commands in order; it holds the lock. A stopped task exits at once: in all cases a halt leaves no
// time to save, or comes for a task that never saves.
func (m *machine) execute(commands []protocol.Command) {
	for _, c := range commands {
		at := slices.IndexFunc(m.tasks, func(t *task) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch {
		case c.Verb == protocol.VerbStart && at < 0:
			m.startTask(c)
		case at < 0:
		case c.Verb == protocol.VerbStop && !m.tasks[at].exited():
			if m.tasks[at].here && m.c.stopped != nil {
				m.c.stopped(m, m.tasks[at])
			}
			m.exit(m.tasks[at], "halted")
		case c.Verb == protocol.VerbForget && m.tasks[at].exited():
			m.tasks = slices.Delete(m.tasks, at, at+1)
		}
	}
	if len(commands) > 0 {
		m.noteChange()
	}
}

// startTask carries out a command to start.
func (m *machine) startTask(c protocol.Command) {
	id, index, _ := protocol.SplitTask(c.Task)
	j := m.c.jobs[id]
	t := &task{TaskReport: protocol.TaskReport{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskPulling}, job: j}
	refuse := func(cause string) { t.State, t.Cause = protocol.TaskExited, cause }
	room := m.typ.Room()
	other := false
	for _, o := range m.tasks {
		if !o.exited() {
			room = room.Sub(o.job.spec.Need())
			other = other || o.Task == c.Task
		}
	}
	m.tasks = append(m.tasks, t)
	switch {
	case j == nil || index >= j.spec.Tasks:
		refuse("unknown")
		return
	case other:
		refuse("in_use")
		return
	case !room.Fits(j.spec.Need()):
		refuse("no_room")
		return
	}
	ready, known := m.images[j.spec.Image]
	if !known {
		ready = time.Now().Add(time.Duration(j.spec.ImageGB / m.typ.FetchRate * float64(time.Second)))
		m.images[j.spec.Image] = ready
	}
	if wait := time.Until(ready); wait > 0 {
		time.AfterFunc(wait, func() { m.c.with(func() { m.begin(t) }) })
	} else {
		m.begin(t)
	}
}

// begin starts a task that has its image: from now on it is on the machine. The rules are checked here.
func (m *machine) begin(t *task) {
	if t.exited() || m.gone {
		return
	}
	t.State, t.here, t.began, t.job.started = protocol.TaskRunning, true, time.Now(), true
	m.c.add("%s (attempt %d) starts on %s", t.Task, t.Attempt, m.id)
	if other := t.job.on[t.Task]; other != nil && other != m {
		m.c.violate("ran_twice: %s starts on %s while it is on %s", t.Task, m.id, other.id)
	}
	t.job.on[t.Task] = m
	if !t.job.spec.Allows(m.typ.Name, m.plaza, m.spot) {
		m.c.violate("wrong_place: %s may run on %v and starts on %s, a %s", t.Task, t.job.spec.Types, m.id, m.typ.Name)
	}
	m.noteChange()
	if m.sick {
		t.job.failed = true
		m.exit(t, protocol.CauseError)
		return
	}
	if t.job.done[t.Task] {
		m.exit(t, protocol.CauseDone)
		return
	}
	time.AfterFunc(t.job.run, func() {
		m.c.with(func() {
			if !t.exited() && !m.gone {
				m.exit(t, protocol.CauseDone)
			}
		})
	})
}

// exit ends a task.
func (m *machine) exit(t *task, cause string) {
	m.leave(t)
	t.State, t.Cause = protocol.TaskExited, cause
	if cause == protocol.CauseDone {
		t.job.done[t.Task] = true
	}
	m.c.add("%s exits on %s: %s", t.Task, m.id, cause)
	m.noteChange()
}
