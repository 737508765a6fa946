package coordination

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/fleet"
	"daledyke/internal/protocol"
	"daledyke/internal/ring"
	"daledyke/internal/transport"
)

// Leader campaigns for leadership. While it leads, it publishes windows, which assign the slots to holders,
// and it rents, drains and returns machines.
type Leader struct {
	actor
	cfg     *config.Config
	session *Session
	store   *bookkeeping.Store
	cloud   *transport.Cloud
	owner   *Owner
	holders map[string]HolderCaller

	members map[string]*bookkeeping.Member
	leader  *bookkeeping.Leader
	window  *bookkeeping.Window
	writing bool

	// State of the fleet, used only while this controller leads.
	managingFleet  bool
	bookings       uint64
	refusedUntil   map[fleet.Kind]time.Time
	listedMachines map[string]protocol.Machine
	listedAt       time.Time
	catalogReadAt  time.Time
	catalog        *protocol.Catalog
	readingCatalog bool
	started        time.Time
	leadingSince   time.Time
	draining       map[string]drainRequest
	drainedHolders map[string]bool // holders that may still keep machines drained at this leader's request
	rounds         uint64
	booting        map[string]bool            // machines that were still booting in the previous round
	bootTimes      map[string][]time.Duration // recent boot times by machine type, newest last
	batches        map[string]*bookkeeping.RentalBatch
	moveLimiter    *rate.Limiter // limits how many replicas are moved
	// load is the load of the slots that the board showed at loadAt; assignmentChangedAt is when the
	// assignment of slots last changed.
	load                        ring.Load
	loadAt, assignmentChangedAt time.Time
	rentalPlannedAt             map[string]time.Time // when machines of a type were last planned to be rented
}

// NewLeader returns a leader actor; Run starts it.
func NewLeader(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, cloud *transport.Cloud, owner *Owner, holders map[string]HolderCaller) *Leader {
	return &Leader{actor: newActor(ctx), cfg: c, session: session, store: store, cloud: cloud, owner: owner, holders: holders,
		members: map[string]*bookkeeping.Member{}, refusedUntil: map[fleet.Kind]time.Time{}, listedMachines: map[string]protocol.Machine{},
		draining: map[string]drainRequest{}, bootTimes: map[string][]time.Duration{}, drainedHolders: map[string]bool{}, batches: map[string]*bookkeeping.RentalBatch{}, started: time.Now(),
		rentalPlannedAt: map[string]time.Time{}, moveLimiter: rate.NewLimiter(rate.Limit(c.Moves/60), max(1, int(c.Moves)))}
}

// Run runs the actor until its context ends.
func (l *Leader) Run() { l.loop("leader", 250*time.Millisecond, l.tick) }

// isLeader reports whether the current incarnation of this controller holds the leadership and its session is
// valid.
func (l *Leader) isLeader() bool {
	return l.leader != nil && l.leader.Name == l.cfg.Name && l.leader.Term == l.session.Term() && l.session.Valid()
}

func (l *Leader) tick() {
	l.refreshCatalog()
	if !l.session.Valid() {
		return
	}
	if !l.isLeader() {
		l.leadingSince = time.Time{}
		l.campaign()
		return
	}
	if l.leadingSince.IsZero() {
		l.leadingSince = time.Now()
		slog.Info("leading", "term", l.session.Term())
	}
	l.publishWindow()
	l.manageFleet()
}

// campaign takes the leadership if no controller holds it, or if an earlier incarnation of this controller
// does.
func (l *Leader) campaign() {
	if l.writing || l.leader != nil && l.leader.Name != l.cfg.Name {
		return
	}
	if l.leader != nil && l.leader.Term == l.session.Term() {
		return
	}
	l.writing = true
	previous, candidate, lease := l.leader, bookkeeping.Leader{Name: l.cfg.Name, Term: l.session.Term()}, l.session.Lease()
	go func() {
		l.store.Lead(l.ctx, previous, candidate, lease)
		pause(l.ctx, 300*time.Millisecond)
		l.tell(func() { l.writing = false })
	}()
}

// ---- windows

// balanceInterval is the least time between two moves of a slot for balance alone; maxLoadAge is the greatest
// age of the load data that such a move may be based on.
const (
	balanceInterval = 20 * time.Second
	maxLoadAge      = 5 * time.Second
)

// firstWindowDelay is how long the first window of a cluster waits for controllers that have not joined yet.
const firstWindowDelay = 2 * time.Second

// publishWindow publishes the next window if there is one to publish.
func (l *Leader) publishWindow() {
	if l.writing {
		return
	}
	if l.window == nil && len(l.members) < len(l.cfg.Siblings)+1 && time.Since(l.leadingSince) < firstWindowDelay {
		return // all controllers start together: slots assigned now would soon be reassigned
	}
	now := time.Now()
	load := l.load
	load.MayRebalance = load.Slots != nil && now.Sub(l.loadAt) < maxLoadAge && now.Sub(l.assignmentChangedAt) >= balanceInterval && now.Sub(l.leadingSince) >= balanceInterval
	next := ring.NextWindow(l.window, l.members, l.cfg.ControllerNames(), load, now, l.cfg.Window, l.cfg.PublishOffset)
	if next == nil {
		return
	}
	if l.window != nil && !slices.Equal(next.Assignment, l.window.Assignment) {
		// Whatever caused this change, it delays the next move for balance: no slot is moved for balance
		// alone while slots change hands.
		l.assignmentChangedAt = now
		slog.Info("slots are dealt anew", "moved for balance", next.Moved)
	}
	l.writing = true
	leader, previous := l.leader, l.window
	go func() {
		err := l.store.PublishWindow(l.ctx, leader, previous, *next)
		if err != nil {
			slog.Debug("window not published", "number", next.Number, "err", err)
			pause(l.ctx, 300*time.Millisecond)
		}
		pause(l.ctx, 100*time.Millisecond)
		l.tell(func() { l.writing = false })
	}()
}

// ---- the catalog

// refreshCatalog reads the machine types from the cloud: every controller does until the catalog is known,
// and the leader regularly afterwards, since prices change.
func (l *Leader) refreshCatalog() {
	every := time.Second
	if l.catalog != nil {
		if !l.isLeader() {
			return
		}
		every = 30 * time.Second
	}
	if l.readingCatalog || time.Since(l.catalogReadAt) < every {
		return
	}
	l.readingCatalog, l.catalogReadAt = true, time.Now()
	go func() {
		c, err := l.cloud.Catalog(l.ctx)
		l.tell(func() {
			l.readingCatalog = false
			if err != nil || len(c.Types) == 0 {
				slog.Debug("catalog not read", "err", err)
				return
			}
			first := l.catalog == nil
			l.catalog = &c
			if l.isLeader() || first {
				go l.store.SaveCatalog(l.ctx, c)
			}
		})
	}()
}
