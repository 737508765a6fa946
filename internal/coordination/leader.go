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

// Leader stands for leadership and, while it leads, publishes windows and
// deals and rents machines.
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

	// the fleet, while leading
	busy     bool
	bookings uint64
	refusals map[fleet.Kind]time.Time
	listed   map[string]protocol.Machine
	listedAt time.Time
	priced   time.Time
	catalog  *protocol.Catalog
	catBusy  bool
	started  time.Time
	leadFrom time.Time
	draining map[string]drainWish
	drained  map[string]bool // holders that keep machines free for us
	rounds   uint64
	coming   map[string]bool            // machines that had not come up a round ago
	boots    map[string][]time.Duration // of each type's machines that came up lately, newest last
	batches  map[string]*bookkeeping.RentalBatch
	moves    *rate.Limiter // of replicas that are moved
	// load is that of the slots as the board showed it at loadAt; balanced is when the assignment
	// last changed.
	load             ring.Load
	loadAt, balanced time.Time
	grewAt           map[string]time.Time // when machines of a type were last to be rented
}

// NewLeader makes the actor.
func NewLeader(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, cloud *transport.Cloud, owner *Owner, holders map[string]HolderCaller) *Leader {
	return &Leader{actor: newActor(ctx), cfg: c, session: session, store: store, cloud: cloud, owner: owner, holders: holders,
		members: map[string]*bookkeeping.Member{}, refusals: map[fleet.Kind]time.Time{}, listed: map[string]protocol.Machine{},
		draining: map[string]drainWish{}, boots: map[string][]time.Duration{}, drained: map[string]bool{}, batches: map[string]*bookkeeping.RentalBatch{}, started: time.Now(),
		grewAt: map[string]time.Time{}, moves: rate.NewLimiter(rate.Limit(c.Moves/60), max(1, int(c.Moves)))}
}

// Run runs the actor until its context ends.
func (l *Leader) Run() { l.loop(250*time.Millisecond, l.tick) }

func (l *Leader) leads() bool {
	return l.leader != nil && l.leader.Name == l.cfg.Name && l.leader.Term == l.session.Term() && l.session.Valid()
}

func (l *Leader) tick() {
	l.learnCatalog()
	if !l.session.Valid() {
		return
	}
	if !l.leads() {
		l.leadFrom = time.Time{}
		l.stand()
		return
	}
	if l.leadFrom.IsZero() {
		l.leadFrom = time.Now()
		slog.Info("leading", "term", l.session.Term())
	}
	l.publish()
	l.manage()
}

// stand takes the leadership if nobody has it, or if the one who had it was
// this controller's former process.
func (l *Leader) stand() {
	if l.writing || l.leader != nil && l.leader.Name != l.cfg.Name {
		return
	}
	if l.leader != nil && l.leader.Term == l.session.Term() {
		return
	}
	l.writing = true
	seen, me, lease := l.leader, bookkeeping.Leader{Name: l.cfg.Name, Term: l.session.Term()}, l.session.Lease()
	go func() {
		l.store.Lead(l.ctx, seen, me, lease)
		pause(l.ctx, 300*time.Millisecond)
		l.tell(func() { l.writing = false })
	}()
}

// ---- windows

// balanceEvery is how often a slot is moved for balance alone at most, and loadFresh how
// old what is known of the load may be for it.
const (
	balanceEvery = 20 * time.Second
	loadFresh    = 5 * time.Second
)

// firstWait is how long the very first window waits for controllers that are
// not there yet.
const firstWait = 2 * time.Second

func (l *Leader) publish() {
	if l.writing {
		return
	}
	if l.window == nil && len(l.members) < len(l.cfg.Siblings)+1 && time.Since(l.leadFrom) < firstWait {
		return // all start together: what was assigned now would soon change hands
	}
	now := time.Now()
	load := l.load
	load.MayRebalance = load.Slots != nil && now.Sub(l.loadAt) < loadFresh && now.Sub(l.balanced) >= balanceEvery && now.Sub(l.leadFrom) >= balanceEvery
	w := ring.NextWindow(l.window, l.members, l.cfg.ControllerNames(), load, now, l.cfg.Window, l.cfg.PublishOffset)
	if w == nil {
		return
	}
	if l.window != nil && !slices.Equal(w.Assignment, l.window.Assignment) {
		// Whatever the reason: nothing is moved for balance while slots change hands.
		l.balanced = now
		slog.Info("slots are dealt anew", "moved for balance", w.Moved)
	}
	l.writing = true
	leader, seen := l.leader, l.window
	go func() {
		err := l.store.PublishWindow(l.ctx, leader, seen, *w)
		if err != nil {
			slog.Debug("window not published", "number", w.Number, "err", err)
			pause(l.ctx, 300*time.Millisecond)
		}
		pause(l.ctx, 100*time.Millisecond)
		l.tell(func() { l.writing = false })
	}()
}

// ---- the catalogue

// learnCatalog reads the machine types: every controller once, if the records
// don't have them, and the leader regularly for the prices.
func (l *Leader) learnCatalog() {
	every := time.Second
	if l.catalog != nil {
		if !l.leads() {
			return
		}
		every = 30 * time.Second
	}
	if l.catBusy || time.Since(l.priced) < every {
		return
	}
	l.catBusy, l.priced = true, time.Now()
	go func() {
		c, err := l.cloud.Catalog(l.ctx)
		l.tell(func() {
			l.catBusy = false
			if err != nil || len(c.Types) == 0 {
				slog.Debug("no catalogue", "err", err)
				return
			}
			first := l.catalog == nil
			l.catalog = &c
			if l.leads() || first {
				go l.store.SaveCatalog(l.ctx, c)
			}
		})
	}()
}
