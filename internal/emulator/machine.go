package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// machine is a rented machine with its worker.
type machine struct {
	w                 *World
	id, addr          string
	kind              protocol.RentRequest
	typ               *protocol.MachineType
	born, upAt        time.Time
	listed            time.Time  // in the machine list from then
	unlisted, failed  *time.Time // nil: never
	leaves            *time.Time // the cloud takes it then
	up, dead, charged bool
	hung, faulty      bool
	// deaf: answers and commands don't reach it; held: commands come once it hears.
	deaf, held        bool
	mute              bool // its reports reach nobody; commands do, and their answers come
	speed, fetchSpeed float64
	session, ticket   uint64
	boots             int // how often it rebooted
	token             protocol.Token
	told              time.Time // when a higher token last made it report
	renewed           time.Time // when the last answered report was sent
	tasks             map[string]*task
	free              protocol.Room
	images            []image // least recently used first
	fetches           []*fetch
	fetchedTo         time.Time
	fetchTimer        *timer
	node              int // of the controllers, the one it reports to
	poke              chan struct{}
	resumed           chan struct{} // closed unless it hangs or is deaf
	ended             context.CancelFunc
	ctx               context.Context
}

type image struct {
	name string
	gb   float64
}

// fetch is an image on its way.
type fetch struct {
	image
	left float64 // GB
}

// The worker's times that the protocol gives.
const (
	leastGap     = 500 * time.Millisecond // between two reports
	nextNode     = time.Second            // after a failure
	reportAnswer = 4 * time.Second
	redirected   = 100 * time.Millisecond
)

// comeUp begins the worker.
func (m *machine) comeUp() {
	if m.dead {
		return
	}
	m.up, m.upAt, m.renewed, m.free = true, time.Now(), time.Now(), m.typ.Room()
	m.w.whole = m.w.whole.Add(m.free)
	m.ctx, m.ended = context.WithCancel(m.w.loop.ctx)
	go m.open()
}

// open opens the worker's door and begins to report; its address is known only then.
func (m *machine) open() {
	l, err := m.w.net.Listen("worker-" + m.id)
	if err != nil {
		m.w.loop.do(func() { m.fail() }) // a machine without a port is a dead one
		return
	}
	r := httprouter.New()
	r.POST("/do", m.do)
	r.GET("/inspect", m.inspect)
	srv := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(m.ctx, func() { srv.Close() })
	m.w.loop.do(func() {
		m.addr = l.Addr().String()
		m.watchLease()
		m.w.note(history.Event{Kind: history.Up, Machine: m.id})
	})
	go srv.Serve(l)
	m.report()
}

// stop takes the machine's room and tasks away.
func (m *machine) stop() {
	if m.dead {
		return
	}
	m.clear()
	m.dead = true
	if m.hung || m.deaf {
		m.hung, m.deaf = false, false
		close(m.resumed)
	}
	if m.up {
		m.w.whole = m.w.whole.Sub(m.typ.Room())
		m.ended()
	}
}

// vanish has the machine be gone, by the cloud's doing.
func (m *machine) vanish(why string) {
	if m.unlisted != nil {
		return
	}
	m.stop()
	if m.charged {
		m.w.charge(m, -1)
	}
	at := time.Now().Add(m.w.lag())
	m.unlisted = &at
	delete(m.w.machines, m.id)
	m.w.note(history.Event{Kind: history.Gone, Machine: m.id, Cause: why})
}

// fail has the machine stop on its own: it stays listed until it is deleted.
func (m *machine) fail() {
	if m.dead {
		return
	}
	m.stop()
	m.w.charge(m, -1)
	now := time.Now()
	m.failed = &now
	m.w.note(history.Event{Kind: history.Gone, Machine: m.id, Cause: "died"})
}

// clear kills and forgets all tasks.
func (m *machine) clear() {
	for _, t := range m.sorted() {
		if t.State != protocol.TaskExited {
			t.leave("killed")
		}
	}
	m.tasks = map[string]*task{}
}

// watchLease lets the lease lapse when it is over, hanging or not.
func (m *machine) watchLease() {
	if m.dead {
		return
	}
	if left := m.w.set.Lease - time.Since(m.renewed); left >= 0 {
		m.w.loop.after(left+time.Millisecond, m.watchLease)
		return
	}
	m.clear()
	m.session++
	m.renewed = time.Now()
	m.say()
	m.watchLease()
}

// say has the worker report soon.
func (m *machine) say() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

func (m *machine) hang() {
	if m.hung {
		return
	}
	if m.hung = true; !m.deaf {
		m.resumed = make(chan struct{})
	}
	for _, t := range m.sorted() {
		t.pause()
	}
	m.fetchOn()
}

func (m *machine) resume() {
	if !m.hung {
		return
	}
	if m.hung = false; !m.deaf {
		close(m.resumed)
	}
	m.fetchedTo = time.Now()
	for _, t := range m.sorted() {
		t.goOn()
	}
	m.fetchOn()
	m.say()
}

// deafen has nothing reach the machine any more, while its own messages go out.
func (m *machine) deafen(held bool) {
	if m.held = held; m.deaf {
		return
	}
	if m.deaf = true; !m.hung {
		m.resumed = make(chan struct{})
	}
}

func (m *machine) hear() {
	if !m.deaf {
		return
	}
	if m.deaf = false; !m.hung {
		close(m.resumed)
	}
}

// reboot has the machine begin anew within its address: what ran is gone, and the worker
// remembers nothing of its sessions, messages and tokens.
func (m *machine) reboot() {
	m.clear()
	m.fetches, m.images = nil, nil
	m.session, m.ticket, m.token = 1, 0, 0
	m.renewed, m.told, m.node = time.Now(), time.Time{}, 0
	m.boots++
	m.say()
}

// slowDown changes the machine's speed while its tasks run.
func (m *machine) slowDown(factor float64) {
	running := m.sorted()
	for _, t := range running {
		t.pause()
	}
	m.speed *= factor
	for _, t := range running {
		t.goOn()
	}
}

// snapshot is the worker's report.
func (m *machine) snapshot() protocol.Report {
	m.ticket++
	r := protocol.Report{Machine: m.id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot, Session: m.session,
		Ticket: m.ticket, Token: m.token, Tasks: make([]protocol.TaskReport, 0, len(m.tasks))}
	if m.leaves != nil {
		left := max(0, time.Until(*m.leaves)).Seconds()
		r.NoticeS = &left
	}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

// report reports until the machine is gone, one report at a time.
func (m *machine) report() {
	client := &http.Client{Transport: &http.Transport{DialContext: m.w.net.Dialer(m.id), MaxConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for {
		var rep protocol.Report
		var resumed chan struct{}
		var node, addr string
		boots := 0
		every := m.w.set.ReportEvery
		if !m.w.loop.do(func() {
			if resumed = m.resumed; m.hung || m.dead {
				return
			}
			rep, boots = m.snapshot(), m.boots
			node = m.w.set.Controllers[m.node]
			if addr = m.w.fronts[node]; m.mute {
				addr = "" // no connection can be opened
			} else {
				m.echo(rep)
			}
			if m.w.set.Variation.Reports {
				every = time.Duration(float64(every) * m.w.spread(0.75, 1.25))
			}
		}) || m.ctx.Err() != nil {
			return
		}
		if rep.Machine == "" {
			select {
			case <-resumed:
			case <-m.ctx.Done():
				return
			}
			continue
		}
		wait, poked := m.post(client, rep, boots, node, addr, every), (<-chan struct{})(m.poke)
		if wait < every { // it goes to another node, whatever happens meanwhile
			poked = nil
		}
		t := time.NewTimer(wait)
		select {
		case <-poked:
			if !Pause(m.ctx, leastGap) {
				return
			}
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
		t.Stop()
	}
}

// echo has a copy of a report come later, or kept, if that is the world's present trouble.
func (m *machine) echo(rep protocol.Report) {
	if _, kept := m.w.kept[m.id]; m.w.keeps && !kept {
		m.w.kept[m.id] = rep
	}
	if m.w.echo <= 0 {
		return
	}
	to := m.w.fronts[m.w.set.Controllers[m.w.rng.IntN(len(m.w.set.Controllers))]]
	w := m.w
	w.loop.after(w.echo, func() {
		go func() {
			c := &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer(rep.Machine), DisableKeepAlives: true}}
			request(w.loop.ctx, c, http.MethodPost, "http://"+to+"/checkin", rep, reportAnswer) // nobody hears the answer
		}()
	})
}

// post sends a report and does what the answer says; it gives how long to wait until
// the next one.
func (m *machine) post(client *http.Client, rep protocol.Report, boots int, node, addr string, every time.Duration) (wait time.Duration) {
	sent := time.Now()
	status, body := 0, []byte(nil)
	if addr != "" {
		status, body = request(m.ctx, client, http.MethodPost, "http://"+addr+"/checkin", rep, reportAnswer)
	}
	deaf := false
	if m.w.loop.do(func() { deaf = m.deaf }); deaf {
		// The report came, its answer doesn't: it waits for it in vain.
		if status != 0 && !Pause(m.ctx, reportAnswer-time.Since(sent)) {
			return nextNode
		}
		status = 0
	}
	wait = nextNode
	lost := false // it goes to another node
	m.w.loop.do(func() {
		next := (m.node + 1) % len(m.w.set.Controllers)
		switch status {
		case http.StatusOK:
			var a protocol.ReportAnswer
			wait = every
			if json.Unmarshal(body, &a) != nil || a.Token < m.token || rep.Session != m.session || m.hung || m.dead || boots != m.boots {
				return
			}
			if a.Token > m.token && time.Since(m.told) >= m.w.set.Lease/2 {
				m.told = time.Now()
				m.say()
			}
			m.token, m.renewed = a.Token, sent
			m.obey(a.Commands, m.w.Since())
			return
		case http.StatusMisdirectedRequest:
			var red protocol.Redirect
			if json.Unmarshal(body, &red) == nil && red.Node != "" && red.Node != node {
				if at := slices.Index(m.w.set.Controllers, red.Node); at >= 0 {
					next, wait = at, redirected
				}
			}
		}
		m.node = next
		lost = true
	})
	if lost {
		// Not on the world's goroutine: closing waits for the network, which asks the world
		// for zones while one is cut. Each waited for the other (incident emulator-cut-stall).
		client.CloseIdleConnections()
	}
	return wait
}

// request makes one bounded request; status 0 is no answer.
func request(ctx context.Context, c *http.Client, method, url string, body any, timeout time.Duration) (status int, raw []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, err := transport.Call(ctx, c, method, url, body)
	if err != nil {
		return 0, nil
	}
	return status, raw
}

// onLoop does f on the loop once the machine does not hang: what came meanwhile is
// carried out late. A machine that is gone answers nothing.
func (m *machine) onLoop(f func()) {
	for {
		var resumed chan struct{}
		lost := false
		gone := !m.w.loop.do(func() {
			resumed, lost = m.resumed, m.deaf && !m.held
			if !m.hung && !m.deaf && !m.dead {
				f()
				resumed = nil
			}
		})
		if resumed == nil && !gone {
			return
		}
		if lost { // it never arrives, and no answer comes
			Pause(m.ctx, reportAnswer)
		}
		if gone || lost || m.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-resumed:
		case <-m.ctx.Done():
		}
	}
}

func (m *machine) inspect(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var rep protocol.Report
	m.onLoop(func() { rep = m.snapshot() })
	answer(w, http.StatusOK, rep)
}

func (m *machine) do(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o protocol.Orders
	if read(r, &o) != nil || o.Session == 0 {
		answer(w, http.StatusBadRequest, problem("baton or shift is missing"))
		return
	}
	var rep protocol.Report
	sent := m.w.Since() // the network takes no time
	held := false
	if m.w.loop.do(func() {
		if held = m.w.held > 0 && m.w.rng.Float64() < m.w.held; held {
			m.w.loop.after(time.Duration(m.w.spread(2, 16)*float64(time.Second)), func() {
				if !m.hung && !m.deaf && !m.dead && o.Token >= m.token && o.Session == m.session {
					m.token = o.Token
					m.obey(o.Commands, sent)
				}
			})
		}
	}); held {
		Pause(r.Context(), time.Minute)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	m.onLoop(func() {
		if o.Token < m.token || o.Session != m.session {
			status = http.StatusConflict
		} else {
			m.token = o.Token
			m.obey(o.Commands, sent)
		}
		rep = m.snapshot()
	})
	answer(w, status, rep)
}

// obey carries commands out in their order; sent is when they were sent.
func (m *machine) obey(commands []protocol.Command, sent time.Duration) {
	for _, c := range commands {
		t := m.tasks[c.Task]
		switch {
		case c.Verb == protocol.VerbStart && (t == nil || t.Attempt != c.Attempt):
			m.start(c, t, sent)
		case t == nil || t.Attempt != c.Attempt:
		case c.Verb == protocol.VerbStop:
			t.halt(c.GraceS)
		case c.Verb == protocol.VerbForget && t.State == protocol.TaskExited:
			delete(m.tasks, c.Task)
		}
	}
	if len(commands) > 0 {
		m.say()
	}
}

// fetchOn takes the fetches on to now, and looks again when the next one ends. Images
// that are fetched together share the rate; one that no task waits for is given up.
func (m *machine) fetchOn() {
	now := time.Now()
	rate := m.typ.FetchRate * m.fetchSpeed
	if n := len(m.fetches); n > 0 && rate > 0 && !m.fetchedTo.IsZero() {
		for _, f := range m.fetches {
			f.left -= now.Sub(m.fetchedTo).Seconds() * rate / float64(n)
		}
	}
	m.fetchedTo = now
	m.fetchTimer.stop()
	wanted := map[string][]*task{}
	for _, t := range m.sorted() {
		if t.State == protocol.TaskPulling {
			wanted[t.work.spec.Image] = append(wanted[t.work.spec.Image], t)
		}
	}
	var here []string
	const least = 1e-6
	m.fetches = slices.DeleteFunc(m.fetches, func(f *fetch) bool {
		if len(wanted[f.name]) > 0 && (f.left <= least || rate <= 0) {
			m.cache(f.image)
			here = append(here, f.name)
			return true
		}
		return len(wanted[f.name]) == 0
	})
	for _, name := range here {
		for _, t := range wanted[name] {
			t.begin()
		}
		m.say()
	}
	if len(m.fetches) == 0 || m.hung {
		return
	}
	left := slices.MinFunc(m.fetches, func(a, b *fetch) int {
		if a.left < b.left {
			return -1
		}
		return 1
	}).left
	m.fetchTimer = m.w.loop.after(protocol.Seconds(left*float64(len(m.fetches))/rate)+time.Millisecond, m.fetchOn)
}

// cache keeps an image, and drops the least recently used that no task uses.
func (m *machine) cache(i image) {
	size := i.gb
	for _, other := range m.images {
		size += other.gb
	}
	used := map[string]bool{}
	for _, t := range m.tasks {
		if t.State != protocol.TaskExited {
			used[t.work.spec.Image] = true
		}
	}
	m.images = slices.DeleteFunc(m.images, func(other image) bool {
		if size <= m.typ.CacheGB || used[other.name] {
			return false
		}
		size -= other.gb
		return true
	})
	m.images = append(m.images, i)
}

// has tells whether an image is here; it is the most recently used then.
func (m *machine) has(name string) bool {
	at := slices.IndexFunc(m.images, func(i image) bool { return i.name == name })
	if at < 0 {
		return false
	}
	i := m.images[at]
	m.images = append(slices.Delete(m.images, at, at+1), i)
	return true
}
