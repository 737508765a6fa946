package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// The stand-ins below play the world around daledyke by its published
// protocol: a network of in-memory pipes, the state service, the cloud, and
// workers. They run inside a synctest bubble, so hours pass in no time.

// ---- network

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	cut       func(from, to string) bool
	conns     map[*memConn]bool
}

type memListener struct {
	net    *memNet
	at     string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type memConn struct {
	net.Conn
	from, to string
	net      *memNet
}

func (c *memConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

func newMemNet() *memNet {
	return &memNet{listeners: map[string]*memListener{}, conns: map[*memConn]bool{}, cut: func(string, string) bool { return false }}
}

func (n *memNet) listen(at string) *memListener {
	l := &memListener{net: n, at: at, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[at] = l
	n.mu.Unlock()
	return l
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		if l.net.listeners[l.at] == l {
			delete(l.net.listeners, l.at)
		}
		l.net.mu.Unlock()
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return addr(l.at) }

func (n *memNet) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		l, cut := n.listeners[to], n.cut(from, to)
		n.mu.Unlock()
		if cut {
			select { // a cut stays silent
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
			return nil, errors.New("timed out")
		}
		if l == nil {
			return nil, errors.New("connection refused")
		}
		a, b := net.Pipe()
		c := &memConn{a, from, to, n}
		select {
		case l.conns <- b:
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		return c, nil
	}
}

// sever sets which connections are cut and breaks those that are open.
func (n *memNet) sever(cut func(from, to string) bool) {
	n.mu.Lock()
	n.cut = cut
	var broken []*memConn
	for c := range n.conns {
		if cut(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

func (n *memNet) serve(at string, h http.Handler) func() {
	l := n.listen(at)
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	return func() { l.Close(); srv.Close() }
}

func answer(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if v != nil {
		json.NewEncoder(w).Encode(v)
	}
}

// ---- state service

type stateService struct {
	mu       sync.Mutex
	keys     map[string]protocol.Pair
	revision uint64
	leases   map[uint64]*stateLease
	lastID   uint64
	events   []protocol.Event
	changed  chan struct{}
	down     bool
	refuses  map[string]bool          // controllers that get 503
	lags     map[string]time.Duration // controllers that hear of changes late
	limits   stateLimits
	spent    *rate.Limiter // changes
	writes   int
	requests int
	// malformed counts requests that were answered 400.
	malformed int
}

// stateLimits are what the state service enforces; they may change at any time.
type stateLimits struct {
	valueKB, writeRPS float64
	txnOps            int
}

func (s *stateService) limit(l stateLimits) {
	s.limits, s.spent = l, rate.NewLimiter(rate.Limit(l.writeRPS), int(l.writeRPS))
}

type stateLease struct {
	ttl time.Duration
	end time.Time
}

func newStateService() *stateService {
	s := &stateService{keys: map[string]protocol.Pair{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}), refuses: map[string]bool{},
		lags: map[string]time.Duration{}}
	s.limit(stateLimits{valueKB: 8, writeRPS: 100, txnOps: 12}) // as the settings of the tests say
	return s
}

func (s *stateService) outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.ttl)
		}
	}
}

func (s *stateService) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var drops []protocol.Change
	for k, p := range s.keys {
		if p.Lease == id {
			drops = append(drops, protocol.Change{Drop: k})
		}
	}
	if len(drops) > 0 {
		s.change(drops)
	}
}

func (s *stateService) change(changes []protocol.Change) {
	s.revision++
	for _, c := range changes {
		if c.Drop != "" {
			delete(s.keys, c.Drop)
			s.events = append(s.events, protocol.Event{Drop: c.Drop, Version: s.revision})
			continue
		}
		raw, _ := json.Marshal(c.Value)
		s.keys[c.Set] = protocol.Pair{Key: c.Set, Value: raw, Version: s.revision, Lease: c.Lease}
		s.events = append(s.events, protocol.Event{Set: c.Set, Value: raw, Version: s.revision})
		s.writes++
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.requests++
	s.expire()
	if s.down || s.refuses[r.Header.Get("From")] {
		s.mu.Unlock()
		answer(w, 503, nil)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/changes") {
		s.watch(w, r)
		return
	}
	defer s.mu.Unlock()
	switch path := r.URL.Path; {
	case path == "/keys":
		s.list(w, r)
	case strings.HasPrefix(path, "/keys/"):
		if p, ok := s.keys[path[len("/keys/"):]]; ok {
			answer(w, 200, p)
		} else {
			answer(w, 404, map[string]uint64{"ledger": s.revision})
		}
	case path == "/multi":
		var t protocol.Txn
		if json.Unmarshal(body, &t) != nil {
			answer(w, 400, nil)
			return
		}
		s.multi(w, t)
	case path == "/leases":
		var q protocol.LeaseRequest
		json.Unmarshal(body, &q)
		s.lastID++
		ttl := time.Duration(q.TTLMs) * time.Millisecond
		s.leases[s.lastID] = &stateLease{ttl, time.Now().Add(ttl)}
		answer(w, 200, protocol.LeaseAnswer{Lease: s.lastID})
	default:
		id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		if l := s.leases[id]; l == nil {
			answer(w, 404, nil)
		} else {
			l.end = time.Now().Add(l.ttl)
			answer(w, 200, nil)
		}
	}
}

// olderRecords takes out of the slots' records what only this version writes.
func (s *stateService) olderRecords() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.keys {
		var rec bookkeeping.Slot
		if !strings.HasPrefix(key, bookkeeping.Root+"s/") {
			continue
		}
		if err := json.Unmarshal(p.Value, &rec); err != nil {
			return err
		}
		rec.Roster, rec.Listed = nil, false
		s.change([]protocol.Change{{Set: key, Value: rec}})
	}
	return nil
}

func (s *stateService) multi(w http.ResponseWriter, t protocol.Txn) {
	if most := s.limits.txnOps; len(t.Then) > most || len(t.If) > 4*most {
		s.malformed++
		answer(w, 400, map[string]string{"error": "too many operations"})
		return
	}
	if n := len(t.Then); n > 0 && !s.spent.AllowN(time.Now(), n) {
		answer(w, 429, nil)
		return
	}
	for _, c := range t.Then {
		if raw, _ := json.Marshal(c.Value); float64(len(raw)) > s.limits.valueKB*1024 {
			s.malformed++
			answer(w, 400, map[string]string{"error": "value too large"})
			return
		}
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			answer(w, 400, map[string]string{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		answer(w, 409, protocol.TxnAnswer{Revision: s.revision, Failed: failed})
		return
	}
	if len(t.Then) > 0 {
		s.change(t.Then)
	}
	answer(w, 200, protocol.TxnAnswer{Revision: s.revision})
}

// rewrite changes the values of all keys with a prefix, as the version before
// chains leaves them: it drops what it doesn't know.
func (s *stateService) rewrite(prefix string, drop ...string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.keys {
		var rec map[string]any
		if !strings.HasPrefix(key, bookkeeping.Root+prefix) {
			continue
		}
		if err := json.Unmarshal(p.Value, &rec); err != nil {
			return err
		}
		for _, field := range drop {
			delete(rec, field)
		}
		s.change([]protocol.Change{{Set: key, Value: rec, Lease: p.Lease}})
	}
	return nil
}

// archive puts a job's record where those of jobs long over stand, in a state.
func (s *stateService) archive(id, state string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, to := bookkeeping.Root+"j/"+id, bookkeeping.Root+"z/"+id
	var rec map[string]any
	for _, key := range []string{from, to} {
		if p, ok := s.keys[key]; ok {
			if err := json.Unmarshal(p.Value, &rec); err != nil {
				return err
			}
		}
	}
	rec["state"] = state
	s.change([]protocol.Change{{Set: to, Value: rec}, {Drop: from}})
	return nil
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page := protocol.Page{Pairs: []protocol.Pair{}, Revision: s.revision}
	for k, p := range s.keys {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("from") {
			page.Pairs = append(page.Pairs, p)
		}
	}
	sort.Slice(page.Pairs, func(i, k int) bool { return page.Pairs[i].Key < page.Pairs[k].Key })
	most, _ := strconv.Atoi(q.Get("limit"))
	if most = min(most, 40); len(page.Pairs) > most { // small pages, so that paging is tested too
		page.Pairs, page.More = page.Pairs[:most], true
	}
	answer(w, 200, page)
}

func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.ParseInt(q.Get("blockMs"), 10, 64)
	end := time.After(time.Duration(block) * time.Millisecond)
	for {
		ev := protocol.Events{Revision: s.revision, Events: []protocol.Event{}}
		for _, e := range s.events {
			if e.Version > from && strings.HasPrefix(e.Set+e.Drop, q.Get("prefix")) {
				ev.Events = append(ev.Events, e)
			}
		}
		changed, lag := s.changed, s.lags[r.Header.Get("From")]
		s.mu.Unlock()
		if len(ev.Events) > 0 {
			time.Sleep(lag)
			answer(w, 200, ev)
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, 200, ev)
			return
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

// ---- cloud

type cloud struct {
	mu       sync.Mutex
	w        *world
	machines map[string]*worker1
	booked   map[string][]string
	next     int
	down     bool
	capacity int // machines at once, of all kinds
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		answer(w, 503, map[string]string{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		answer(w, 200, protocol.Catalog{Types: c.w.types})
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		var q protocol.RentRequest
		json.Unmarshal(body, &q)
		if _, done := c.booked[q.Booking]; !done {
			var ids []string
			for range min(q.Count, c.capacity-len(c.machines)) {
				m := newWorker1(c.w, fmt.Sprintf("host-%06d", c.next), q)
				c.next++
				c.machines[m.id] = m
				ids = append(ids, m.id)
			}
			if ids == nil {
				answer(w, 503, map[string]string{"error": "no capacity"})
				return
			}
			c.booked[q.Booking] = ids
		}
		answer(w, 200, protocol.MachineNames{Machines: c.booked[q.Booking]})
	case r.URL.Path == "/rentals/return":
		var q protocol.MachineNames
		json.Unmarshal(body, &q)
		for _, id := range q.Machines {
			if m := c.machines[id]; m != nil {
				m.destroy()
				delete(c.machines, id)
			}
		}
		answer(w, 200, struct{}{})
	default:
		l := protocol.MachineList{Machines: []protocol.Machine{}}
		for id, m := range c.machines {
			if id > r.URL.Query().Get("from") {
				l.Machines = append(l.Machines, protocol.Machine{ID: id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot,
					Status: "running", AgeS: time.Since(m.born).Seconds()})
			}
		}
		sort.Slice(l.Machines, func(i, k int) bool { return l.Machines[i].ID < l.Machines[k].ID })
		answer(w, 200, l)
	}
}

// ---- workers

type worker1 struct {
	mu      sync.Mutex
	w       *world
	id      string
	addr    string
	kind    protocol.RentRequest
	born    time.Time
	session uint64
	ticket  uint64
	token   protocol.Token
	renewed time.Time
	tasks   map[string]*task1
	images  map[string]bool
	hung    bool
	faulty  bool
	dead    bool
	notice  *float64
	poke    chan struct{}
	stop    func()
	node    int
}

type task1 struct {
	protocol.TaskReport
	until time.Time // when its present state ends
}

func newWorker1(w *world, id string, kind protocol.RentRequest) *worker1 {
	m := &worker1{w: w, id: id, addr: "worker-" + id + ":1", kind: kind, born: time.Now(), session: 1, tasks: map[string]*task1{},
		images: map[string]bool{}, poke: make(chan struct{}, 1), node: int(protocol.MachineNumber(id) % 3)}
	t := w.machineType(kind.Type)
	time.AfterFunc(protocol.Seconds(t.BootS), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.dead {
			return
		}
		m.renewed = time.Now()
		m.stop = w.net.serve(m.addr, m)
		go m.run()
		go m.report()
	})
	return m
}

// destroy takes the machine away with all that is on it.
func (m *worker1) destroy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clear()
	m.dead = true
	if m.stop != nil {
		m.stop()
	}
}

func (m *worker1) clear() {
	for name := range m.tasks {
		m.w.rules.off(name, m.id)
	}
	m.tasks = map[string]*task1{}
}

func (m *worker1) gone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

// run moves tasks on and lets the lease lapse, four times a second.
func (m *worker1) run() {
	for !m.gone() {
		time.Sleep(250 * time.Millisecond)
		m.mu.Lock()
		if !m.hung && !m.dead {
			if time.Since(m.renewed) > m.w.lease {
				m.clear()
				m.session++
				m.renewed = time.Now()
				m.say()
			}
			for _, t := range m.tasks {
				if t.State != protocol.TaskExited && !t.until.IsZero() && time.Now().After(t.until) {
					m.step(t)
				}
			}
		}
		m.mu.Unlock()
	}
}

func (m *worker1) step(t *task1) {
	job, _, _ := protocol.SplitTask(t.Task)
	spec := m.w.spec(job)
	switch t.State {
	case protocol.TaskPulling:
		m.images[spec.Image] = true
		m.begin(t, spec)
	case protocol.TaskRunning:
		m.exit(t, "done")
	case protocol.TaskFlushing:
		t.Saved = true
		m.exit(t, "halted")
	}
	m.say()
}

func (m *worker1) begin(t *task1, spec *protocol.JobSpec) {
	m.w.rules.on(t.Task, m.id, &m.kind)
	t.State, t.until = protocol.TaskRunning, time.Now().Add(m.w.runTime(spec))
	if spec.Shape == protocol.Service {
		t.until = time.Time{}
	}
	if m.faulty || m.w.mistaken(spec) {
		m.exit(t, "error")
	}
}

func (m *worker1) exit(t *task1, why string) {
	m.w.rules.off(t.Task, m.id)
	if why == protocol.CauseDone {
		m.w.rules.completed(t.Task)
	}
	t.State, t.Cause = protocol.TaskExited, why
}

func (m *worker1) say() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

func (m *worker1) snapshot() protocol.Report {
	m.ticket++
	r := protocol.Report{Machine: m.id, Addr: m.addr, Type: m.kind.Type, Zone: m.kind.Zone, Spot: m.kind.Spot, Session: m.session,
		Ticket: m.ticket, Token: m.token, NoticeS: m.notice, Tasks: []protocol.TaskReport{}}
	for _, t := range m.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

func (m *worker1) report() {
	for !m.gone() {
		m.mu.Lock()
		hung, sent, session := m.hung, time.Now(), m.session
		rep := m.snapshot()
		m.mu.Unlock()
		wait := 3 * time.Second
		if !hung {
			wait = m.post(rep, sent, session)
		}
		select {
		case <-m.poke:
			time.Sleep(500 * time.Millisecond)
		case <-time.After(wait):
		}
	}
}

func (m *worker1) post(rep protocol.Report, sent time.Time, session uint64) time.Duration {
	status, body, err := m.w.call(m.id, http.MethodPost, "front-"+m.w.names[m.node]+"/checkin", rep, 4*time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	var red protocol.Redirect
	switch {
	case err == nil && status == 200:
		var a protocol.ReportAnswer
		if json.Unmarshal(body, &a) == nil && a.Token >= m.token && session == m.session && !m.hung {
			if a.Token > m.token {
				m.say()
			}
			m.token, m.renewed = a.Token, sent
			m.obey(a.Commands)
		}
		return 3 * time.Second
	case err == nil && status == 421 && json.Unmarshal(body, &red) == nil && red.Node != "" && red.Node != m.w.names[m.node]:
		m.node = slices.Index(m.w.names, red.Node)
		return 100 * time.Millisecond
	}
	m.node = (m.node + 1) % len(m.w.names)
	return time.Second
}

func (m *worker1) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for {
		m.mu.Lock()
		if !m.hung || m.dead {
			break
		}
		m.mu.Unlock()
		time.Sleep(100 * time.Millisecond) // resumes later, with what came meanwhile
	}
	defer m.mu.Unlock()
	if r.URL.Path == "/inspect" {
		answer(w, 200, m.snapshot())
		return
	}
	var o protocol.Orders
	if json.Unmarshal(body, &o) != nil {
		answer(w, 400, nil)
		return
	}
	if o.Token < m.token || o.Session != m.session {
		answer(w, 409, m.snapshot())
		return
	}
	m.token = o.Token
	m.obey(o.Commands)
	answer(w, 200, m.snapshot())
}

func (m *worker1) obey(cmds []protocol.Command) {
	for _, c := range cmds {
		t := m.tasks[c.Task]
		job, _, _ := protocol.SplitTask(c.Task)
		spec := m.w.spec(job)
		switch {
		case c.Verb == protocol.VerbStart && t == nil:
			t = &task1{TaskReport: protocol.TaskReport{Task: c.Task, Attempt: c.Attempt}}
			m.tasks[c.Task] = t
			m.w.rules.started(c.Task)
			if m.images[spec.Image] {
				m.begin(t, spec)
			} else {
				t.State = protocol.TaskPulling
				t.until = time.Now().Add(protocol.Seconds(spec.ImageGB / m.w.machineType(m.kind.Type).FetchRate))
			}
		case c.Verb == protocol.VerbStart && t.Attempt != c.Attempt:
			m.w.rules.broken("in_use: %s told to start twice on %s", c.Task, m.id)
		case c.Verb == protocol.VerbStop && t != nil && t.Attempt == c.Attempt && t.State != protocol.TaskExited:
			if t.State == protocol.TaskRunning && spec.Saves() && c.GraceS != nil && *c.GraceS >= spec.SaveS {
				t.State, t.until = protocol.TaskFlushing, time.Now().Add(protocol.Seconds(spec.SaveS))
			} else {
				m.exit(t, "halted")
			}
		case c.Verb == protocol.VerbForget && t != nil && t.Attempt == c.Attempt && t.State == protocol.TaskExited:
			delete(m.tasks, c.Task)
		}
	}
	if len(cmds) > 0 {
		m.say()
	}
}
