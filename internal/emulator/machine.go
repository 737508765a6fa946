package emulator

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
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
	m.w.totalRoom = m.w.totalRoom.Add(m.free)
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
		m.w.record(history.Event{Kind: history.WorkerUp, Machine: m.id})
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
		m.w.totalRoom = m.w.totalRoom.Sub(m.typ.Room())
		m.ended()
	}
}

// clear kills and forgets all tasks.
func (m *machine) clear() {
	for _, t := range m.sortedTasks() {
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
	if left := m.w.setup.Lease - time.Since(m.renewed); left >= 0 {
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
