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
	w                      *World
	id, addr               string
	kind                   protocol.RentRequest
	typ                    *protocol.MachineType
	rentedAt, upAt         time.Time
	listedFrom             time.Time  // appears in the machine list from then on
	unlistedFrom, failedAt *time.Time // nil: never
	reclaimAt              *time.Time // the cloud reclaims it then
	up, dead, charged      bool
	frozen, faulty         bool
	// inboundDropped: answers and commands do not reach the machine; inboundHeld: commands are delivered once
	// inbound messages are restored.
	inboundDropped, inboundHeld bool
	outboundBlocked             bool // its reports reach no controller; commands arrive and are answered
	speed, fetchSpeed           float64
	session, ticket             uint64
	reboots                     int // number of reboots
	token                       protocol.Token
	triggeredAt                 time.Time // last report triggered by a higher token
	renewedAt                   time.Time // when the last answered report was sent
	tasks                       map[string]*task
	free                        protocol.Room
	images                      []image // least recently used first
	fetches                     []*fetch
	fetchedTo                   time.Time
	fetchTimer                  *timer
	controller                  int // index of the controller that it reports to
	reportNow                   chan struct{}
	resumed                     chan struct{} // closed unless it is frozen or inbound messages are dropped
	ended                       context.CancelFunc
	ctx                         context.Context
}

// The worker's intervals and timeouts that the protocol defines.
const (
	minReportGap  = 500 * time.Millisecond // least time between two reports
	failoverDelay = time.Second            // delay before the next controller is tried after a failure
	reportTimeout = 4 * time.Second
	redirectDelay = 100 * time.Millisecond
)

// startWorker starts the worker once the machine has booted.
func (m *machine) startWorker() {
	if m.dead {
		return
	}
	m.up, m.upAt, m.renewedAt, m.free = true, time.Now(), time.Now(), m.typ.Room()
	m.w.totalRoom = m.w.totalRoom.Add(m.free)
	m.ctx, m.ended = context.WithCancel(m.w.loop.ctx)
	go m.serve()
}

// serve opens the worker's listener and begins to report; the worker's address is known only then.
func (m *machine) serve() {
	l, err := m.w.net.Listen("worker-" + m.id)
	if err != nil {
		m.w.loop.do(func() { m.crash() }) // a machine without a port counts as crashed
		return
	}
	r := httprouter.New()
	r.POST("/do", m.do)
	r.GET("/inspect", m.inspect)
	srv := &http.Server{Handler: m.w.copies.repeat(r), ReadHeaderTimeout: time.Minute}
	context.AfterFunc(m.ctx, func() { srv.Close() })
	m.w.loop.do(func() {
		m.addr = l.Addr().String()
		m.watchLease()
		m.w.record(history.Event{Kind: history.WorkerUp, Machine: m.id})
	})
	go srv.Serve(l)
	m.reportLoop()
}

// shutDown removes the machine's capacity and tasks.
func (m *machine) shutDown() {
	if m.dead {
		return
	}
	m.clearTasks()
	m.dead = true
	if m.frozen || m.inboundDropped {
		m.frozen, m.inboundDropped = false, false
		close(m.resumed)
	}
	if m.up {
		m.w.totalRoom = m.w.totalRoom.Sub(m.typ.Room())
		m.ended()
	}
}

// clearTasks kills and removes all tasks.
func (m *machine) clearTasks() {
	for _, t := range m.sortedTasks() {
		if t.State != protocol.TaskExited {
			t.exit("killed")
		}
	}
	m.tasks = map[string]*task{}
}

// watchLease ends the session when its lease expires, also while the machine is frozen.
func (m *machine) watchLease() {
	if m.dead {
		return
	}
	if left := m.w.setup.Lease - time.Since(m.renewedAt); left >= 0 {
		m.w.loop.after(left+time.Millisecond, m.watchLease)
		return
	}
	m.clearTasks()
	m.session++
	m.renewedAt = time.Now()
	m.triggerReport()
	m.watchLease()
}

// noteToken stores an accepted token. A higher one makes the worker report, at most once per half lease.
func (m *machine) noteToken(token protocol.Token) {
	if token > m.token && time.Since(m.triggeredAt) >= m.w.setup.Lease/2 {
		m.triggeredAt = time.Now()
		m.triggerReport()
	}
	m.token = token
}

// triggerReport makes the worker report soon.
func (m *machine) triggerReport() {
	select {
	case m.reportNow <- struct{}{}:
	default:
	}
}
