package coordination

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Controller is one controller: its actors and what users and workers ask of
// them.
type Controller struct {
	cfg     *config.Config
	started time.Time
	state   *transport.State
	store   *bookkeeping.Store
	session *Session
	holder  *Holder
	owner   *Owner
	leader  *Leader
	replica *bookkeeping.Replica
	reader  *bookkeeping.Reader

	catalog atomic.Pointer[protocol.Catalog]
	loaded  atomic.Bool
	// quotas are the accounts, nil if quotas are not switched on.
	quotas atomic.Pointer[quotaSet]
}

// sibling reaches a holder over net/rpc. Feeds wait, so they have a
// connection of their own.
type sibling struct {
	feeds, asks *transport.Peer
}

// rpcName is the name that holders are served under.
const rpcName = "Holder"

func (s sibling) Feed(ctx context.Context, a FeedArgs, r *board.News) error {
	return s.feeds.Call(ctx, time.Duration(a.WaitMs)*time.Millisecond+2*time.Second, rpcName+".Feed", a, r)
}

func (s sibling) Ask(ctx context.Context, a AskArgs, r *AskReply) error {
	return s.asks.Call(ctx, 2*time.Second, rpcName+".Ask", a, r)
}

func (s sibling) Drain(ctx context.Context, a DrainArgs) error {
	return s.asks.Call(ctx, 2*time.Second, rpcName+".Drain", a, &Nothing{})
}

// local reaches this controller's own holder.
type local struct{ rpc HolderRPC }

func (l local) Feed(_ context.Context, a FeedArgs, r *board.News) error { return l.rpc.Feed(a, r) }
func (l local) Ask(_ context.Context, a AskArgs, r *AskReply) error     { return l.rpc.Ask(a, r) }
func (l local) Drain(_ context.Context, a DrainArgs) error              { return l.rpc.Drain(a, &Nothing{}) }

// NewController puts a controller together.
func NewController(ctx context.Context, c *config.Config, dial transport.Dialer) *Controller {
	d := &c.Deployment
	share := float64(len(c.Siblings) + 1)
	state := transport.NewState(dial, c.Services.State, d.State.RPS/share, d.State.WriteRPS/share)
	k := &Controller{cfg: c, started: time.Now(), state: state, store: bookkeeping.NewStore(state, d.State.TxnOps, c.ValueBytes())}
	k.session = NewSession(c, k.store, func() { k.holder.ask(ctx, k.holder.dropAllSlots) })
	k.holder = NewHolder(ctx, c, k.session, k.store, transport.NewWorkers(dial, c.MaxWorkerConnections()))
	k.holder.stateLastServed = k.state.Counts.LastServed
	holders := map[string]HolderCaller{c.Name: local{HolderRPC{k.holder}}}
	lenders := map[string]LendCaller{}
	for _, s := range c.Siblings {
		if c.Quotas != nil {
			lenders[s.Name] = lendPeer{transport.NewPeer(ctx, dial, s.Addr)}
		}
		holders[s.Name] = sibling{transport.NewPeer(ctx, dial, s.Addr), transport.NewPeer(ctx, dial, s.Addr)}
		peer := holderPeer{transport.NewPeer(ctx, dial, s.Addr)}
		k.holder.moratoriumPeers = append(k.holder.moratoriumPeers, peer)
		k.holder.announcers = append(k.holder.announcers, peer)
	}
	k.owner = NewOwner(ctx, c, k.session, k.store, holders, k.addFinalJob,
		func(job string, op placement.Verdict) { k.holder.tell(func() { k.holder.setOpinion(job, op) }) }, lenders)
	k.owner.handleStray = func(s board.Stray, told bool, heard time.Time) {
		k.holder.tell(func() { k.holder.noteMisrouted(s, told, heard) })
	}
	k.leader = NewLeader(ctx, c, k.session, k.store, transport.NewCloud(dial, c.Services.Cloud, d.Cloud.RPS*0.8), k.owner, holders)
	if c.Quotas != nil {
		k.quotas.Store(&quotaSet{tree: c.Quotas})
	}
	k.reader = bookkeeping.NewReader(k.store)
	k.reader.Found = k.addFinalJob
	k.replica = bookkeeping.NewReplica(k.store, func(s *protocol.JobSpec) bookkeeping.Seat { return Place(c, s) }, func(j *bookkeeping.Job) bookkeeping.Urgency { return urgencyOf(c, j) }, k,
		func(revision uint64) { k.reader.Caught(ctx, revision) })
	k.replica.Block = c.WatchTimeout()
	return k
}

// Receivers are what siblings may call.
func (k *Controller) Receivers() map[string]any {
	return map[string]any{rpcName: HolderRPC{k.holder}, quotaServiceName: QuotaRPC{k}}
}

// Serve runs the controller until ctx ends, and serves users and workers at its front
// door, over so many connections at most, and its siblings at the inner one. It returns once
// one of the two can't be served any more.
func (k *Controller) Serve(ctx context.Context, front, inner net.Listener, connections int) error {
	failed := make(chan error, 2)
	go func() { failed <- transport.ServeFront(front, k, connections) }()
	go func() { failed <- transport.ServeRPC(inner, k.Receivers()) }()
	go k.Run(ctx)
	slog.Info("controller started", "name", k.cfg.Name, "zone", k.cfg.Zone)
	return <-failed
}

// Run runs all actors until ctx ends.
func (k *Controller) Run(ctx context.Context) {
	go k.holder.Run()
	go k.owner.Run()
	go k.leader.Run()
	go k.session.Run(ctx)
	go k.reader.Run(ctx)
	k.replica.Run(ctx)
}

// refusedFor is how much later a sibling was served by the state service than this
// controller before this one sends users elsewhere: everybody's watch has an answer every 3 s
// at least. silentFor is for how long both the state service and all siblings are silent
// before it takes itself for cut off.
const (
	refusedFor = 5 * time.Second
	silentFor  = 6 * time.Second
)

// Healthy tells whether this controller can take users' requests. A short outage of the
// state service strikes all alike and is no reason to send users away; being the only one
// that is refused is, and so is being cut off from both the state service and all siblings:
// once, a controller that had only its workers left took a third of the users' requests, as
// nobody told it that the others were served.
func (k *Controller) Healthy() bool {
	if !k.loaded.Load() {
		return false
	}
	alone := len(k.cfg.Siblings) > 0 && !k.owner.siblingHeard.Load()
	switch now := time.Now(); {
	case alone && now.Sub(k.state.Counts.LastAnswered()) > silentFor:
		return false
	case time.UnixMilli(k.owner.siblingServedMs.Load()).Sub(k.state.Counts.LastServed()) > refusedFor:
		return false
	}
	return k.session.Valid() || !k.owner.siblingSessionValid.Load()
}

// Report passes a worker's report to the holder.
func (k *Controller) Report(ctx context.Context, rep *protocol.Report) (status int, body any) {
	status = http.StatusServiceUnavailable
	var s int
	var b any
	if k.holder.ask(ctx, func() { s, b = k.holder.Report(rep) }) {
		return s, b
	}
	return status, nil
}
