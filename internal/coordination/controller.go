package coordination

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Controller is one controller: its actors and the requests that users and workers make of it.
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
	// quotas holds the tree of accounts; nil if quotas are not switched on.
	quotas atomic.Pointer[quotaSet]
}

// siblingHolder calls the holder of a sibling over net/rpc. Feed requests block until there is a change, so they
// have a connection of their own.
type siblingHolder struct {
	feeds, requests *transport.Peer
}

// holderServiceName is the net/rpc name of the holder service.
const holderServiceName = "Holder"

func (s siblingHolder) Feed(ctx context.Context, a FeedArgs, r *board.News) error {
	return s.feeds.Call(ctx, time.Duration(a.WaitMs)*time.Millisecond+2*time.Second, holderServiceName+".Feed", a, r)
}

func (s siblingHolder) Ask(ctx context.Context, a AskArgs, r *AskReply) error {
	return s.requests.Call(ctx, 2*time.Second, holderServiceName+".Ask", a, r)
}

func (s siblingHolder) Drain(ctx context.Context, a DrainArgs) error {
	return s.requests.Call(ctx, 2*time.Second, holderServiceName+".Drain", a, &Nothing{})
}

// localHolder calls the holder of this controller.
type localHolder struct{ rpc HolderRPC }

func (l localHolder) Feed(_ context.Context, a FeedArgs, r *board.News) error {
	return l.rpc.Feed(a, r)
}
func (l localHolder) Ask(_ context.Context, a AskArgs, r *AskReply) error { return l.rpc.Ask(a, r) }
func (l localHolder) Drain(_ context.Context, a DrainArgs) error          { return l.rpc.Drain(a, &Nothing{}) }

// NewController creates a controller with all its actors; Serve or Run starts it.
func NewController(ctx context.Context, c *config.Config, dial transport.Dialer) *Controller {
	d := &c.Deployment
	controllers := float64(len(c.Siblings) + 1)
	state := transport.NewState(dial, c.Services.State, d.State.RPS/controllers, d.State.WriteRPS/controllers)
	k := &Controller{cfg: c, started: time.Now(), state: state, store: bookkeeping.NewStore(state, d.State.TxnOps, c.ValueBytes())}
	k.session = NewSession(c, k.store, func() { k.holder.ask(ctx, k.holder.dropAllSlots) }) // a holder that has ended holds nothing
	k.holder = NewHolder(ctx, c, k.session, k.store, transport.NewWorkers(dial, c.MaxWorkerConnections()))
	k.holder.stateLastServed = k.state.Counts.LastServed
	holders := map[string]HolderCaller{c.Name: localHolder{HolderRPC{k.holder}}}
	lenders := map[string]LendCaller{}
	for _, s := range c.Siblings {
		if c.Quotas != nil {
			lenders[s.Name] = lendPeer{transport.NewPeer(ctx, dial, s.Addr)}
		}
		holders[s.Name] = siblingHolder{transport.NewPeer(ctx, dial, s.Addr), transport.NewPeer(ctx, dial, s.Addr)}
		peer := holderPeer{transport.NewPeer(ctx, dial, s.Addr)}
		k.holder.moratoriumPeers = append(k.holder.moratoriumPeers, peer)
		k.holder.announcers = append(k.holder.announcers, peer)
	}
	k.owner = NewOwner(ctx, c, k.session, k.store, holders, k.addFinalJob,
		func(job string, verdict placement.Verdict) {
			k.holder.tell(func() { k.holder.setVerdict(job, verdict) })
		}, lenders)
	k.owner.handleMisrouted = func(s board.Stray, detailed bool, receivedAt time.Time) {
		k.holder.tell(func() { k.holder.noteMisrouted(s, detailed, receivedAt) })
	}
	k.leader = NewLeader(ctx, c, k.session, k.store, transport.NewCloud(dial, c.Services.Cloud, d.Cloud.RPS*0.8), k.owner, holders)
	if c.Quotas != nil {
		k.quotas.Store(&quotaSet{tree: c.Quotas})
	}
	k.reader = bookkeeping.NewReader(k.store)
	k.reader.OnArchived = k.addFinalJob
	k.replica = bookkeeping.NewReplica(k.store, func(s *protocol.JobSpec) bookkeeping.RingPosition { return SeatFor(c, s) }, func(j *bookkeeping.Job) bookkeeping.Urgency { return urgencyOf(c, j) }, k,
		func(revision uint64) { k.reader.CaughtUp(ctx, revision) })
	k.replica.WatchTimeout = c.WatchTimeout()
	return k
}

// Receivers returns the net/rpc services for siblings by name.
func (k *Controller) Receivers() map[string]any {
	return map[string]any{holderServiceName: HolderRPC{k.holder}, quotaServiceName: QuotaRPC{k}}
}

// Serve runs the controller until ctx ends. It serves users and workers on the front listener, over at most
// the given number of connections, and siblings on the inner one. It returns once one of the two listeners
// fails.
func (k *Controller) Serve(ctx context.Context, front, inner net.Listener, connections int) error {
	failed := make(chan error, 2)
	go func() { failed <- transport.ServeRPC(inner, k.Receivers()) }()
	go func() { failed <- k.serve(ctx, front, connections) }()
	return <-failed
}

// serve runs the controller and serves users and workers until the listener fails.
func (k *Controller) serve(ctx context.Context, front net.Listener, connections int) error {
	go k.Run(ctx)
	slog.Info("controller started", "name", k.cfg.Name, "zone", k.cfg.Zone)
	return transport.ServeFront(front, k, connections)
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

// maxServedLag is how long the state service may serve siblings but not this controller before this controller
// reports itself unhealthy; each watch gets an answer at least every 3 s. isolationTimeout is how long both the
// state service and all siblings must be silent before this controller considers itself cut off.
const (
	maxServedLag     = 5 * time.Second
	isolationTimeout = 6 * time.Second
)

// Healthy reports whether this controller can take requests of users. During a short outage of the state
// service, which affects all controllers, they stay healthy. A controller is unhealthy if the state service
// serves its siblings but not itself, or if it is cut off from both the state service and all siblings.
// Without the second condition, a controller that reached only its workers went on taking a third of the
// requests of users, since it could not learn that the state service answered the others.
func (k *Controller) Healthy() bool {
	if !k.loaded.Load() {
		return false
	}
	alone := len(k.cfg.Siblings) > 0 && !k.owner.siblingHeard.Load()
	switch now := time.Now(); {
	case alone && now.Sub(k.state.Counts.LastAnswered()) > isolationTimeout:
		return false
	case time.UnixMilli(k.owner.siblingServedMs.Load()).Sub(k.state.Counts.LastServed()) > maxServedLag:
		return false
	}
	return k.session.Valid() || !k.owner.siblingSessionValid.Load()
}

// Report passes the report of a worker to the holder. The holder processes it even if the worker no longer waits
// for the answer: otherwise a holder that is slow for a while would take all its machines for silent.
func (k *Controller) Report(ctx context.Context, rep *protocol.Report) (status int, body any) {
	answer := make(chan reportAnswer, 1)
	a := unavailable
	if k.holder.inbox.Post(ctx, k.holder.ctx, func() { k.holder.HandleReport(rep, answer) }) {
		select {
		case a = <-answer:
		case <-ctx.Done():
		case <-k.holder.ctx.Done():
		}
	}
	return a.status, a.body
}
