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
	listed            time.Time  // appears in the machine list from then on
	unlisted, failed  *time.Time // nil: never
	leaves            *time.Time // the cloud reclaims it then
	up, dead, charged bool
	hung, faulty      bool
	// inboundDropped: answers and commands do not reach the machine; inboundHeld: commands are delivered once
	// inbound messages are restored.
	deaf, held        bool
	mute              bool // its reports reach no controller; commands arrive and are answered
	speed, fetchSpeed float64
	session, ticket   uint64
	boots             int // number of reboots
	token             protocol.Token
	told              time.Time // last report triggered by a higher token
	renewed           time.Time // when the last answered report was sent
	tasks             map[string]*task
	free              protocol.Room
	images            []image // least recently used first
	fetches           []*fetch
	fetchedTo         time.Time
	fetchTimer        *timer
	node              int // index of the controller that it reports to
	poke              chan struct{}
	resumed           chan struct{} // closed unless it is frozen or inbound messages are dropped
	ended             context.CancelFunc
	ctx               context.Context
}

// The worker's intervals and timeouts that the protocol defines.
const (
	leastGap     = 500 * time.Millisecond // least time between two reports
	nextNode     = time.Second            // delay before the next controller is tried after a failure
	reportAnswer = 4 * time.Second
	redirected   = 100 * time.Millisecond
)

// startWorker starts the worker once the machine has booted.
func (m *machine) comeUp() {
	if m.dead {
		return
	}
	m.up, m.upAt, m.renewed, m.free = true, time.Now(), time.Now(), m.typ.Room()
	m.w.whole = m.w.whole.Add(m.free)
	m.ctx, m.ended = context.WithCancel(m.w.loop.ctx)
	go m.open()
}

// serve opens the worker's listener and begins to report; the worker's address is known only then.
func (m *machine) open() {
	l, err := m.w.net.Listen("worker-" + m.id)
	if err != nil {
		m.w.loop.do(func() { m.fail() }) // a machine without a port counts as crashed
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
		m.w.note(history.Event{Kind: history.WorkerUp, Machine: m.id})
	})
	go srv.Serve(l)
	m.report()
}

// shutDown removes the machine's capacity and tasks.
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

// clearTasks kills and removes all tasks.
func (m *machine) clear() {
	for _, t := range m.sorted() {
		if t.State != protocol.TaskExited {
			t.leave("killed")
		}
	}
	m.tasks = map[string]*task{}
}

// watchLease ends the session when its lease expires, also while the machine is frozen.
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

// triggerReport makes the worker report soon.
func (m *machine) say() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}
