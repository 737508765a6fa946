package coordination

import (
	"cmp"
	"context"
	"errors"
	"fmt"
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
	"daledyke/internal/quota"
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
	k.session = NewSession(c, k.store, func() { k.holder.ask(ctx, k.holder.reset) })
	k.holder = NewHolder(ctx, c, k.session, k.store, transport.NewWorkers(dial, c.ToWorkers()))
	k.holder.served = k.state.Counts.Served
	holders := map[string]HolderCaller{c.Name: local{HolderRPC{k.holder}}}
	lenders := map[string]LendCaller{}
	for _, s := range c.Siblings {
		if c.Quotas != nil {
			lenders[s.Name] = lendPeer{transport.NewPeer(ctx, dial, s.Addr)}
		}
		holders[s.Name] = sibling{transport.NewPeer(ctx, dial, s.Addr), transport.NewPeer(ctx, dial, s.Addr)}
		peer := promisePeer{transport.NewPeer(ctx, dial, s.Addr)}
		k.holder.promisers = append(k.holder.promisers, peer)
		k.holder.announcers = append(k.holder.announcers, peer)
	}
	k.owner = NewOwner(ctx, c, k.session, k.store, holders, k.foundOver,
		func(job string, op placement.Opinion) { k.holder.tell(func() { k.holder.hearOpinion(job, op) }) }, lenders)
	k.owner.misrouted = func(s board.Stray, told bool, heard time.Time) {
		k.holder.tell(func() { k.holder.noteMisrouted(s, told, heard) })
	}
	k.leader = NewLeader(ctx, c, k.session, k.store, transport.NewCloud(dial, c.Services.Cloud, d.Cloud.RPS*0.8), k.owner, holders)
	if c.Quotas != nil {
		k.quotas.Store(&quotaSet{tree: c.Quotas})
	}
	k.reader = bookkeeping.NewReader(k.store)
	k.replica = bookkeeping.NewReplica(k.store, func(s *protocol.JobSpec) bookkeeping.Seat { return Place(c, s) }, func(j *bookkeeping.Job) bookkeeping.Urgency { return urgency(c, j) }, k,
		func(revision uint64) { k.reader.Caught(ctx, revision) })
	k.replica.Block = c.WatchFor()
	return k
}

// Receivers are what siblings may call.
func (k *Controller) Receivers() map[string]any {
	return map[string]any{rpcName: HolderRPC{k.holder}, lendName: QuotaRPC{k}}
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

// ---- what the replica tells

// JobChanged implements bookkeeping.Listener, as do the methods below.
func (k *Controller) JobChanged(j *bookkeeping.Job) {
	k.holder.tell(func() { k.holder.jobChanged(j) })
	k.owner.tell(func() { k.owner.jobChanged(j) })
}

func (k *Controller) MemberChanged(name string, m *bookkeeping.Member) {
	k.owner.tell(func() { k.owner.memberChanged(name, m) })
	k.holder.tell(func() { k.holder.memberChanged(name, m) })
	if m == nil {
		k.leader.tell(func() { delete(k.leader.members, name) })
		return
	}
	k.leader.tell(func() { k.leader.members[name] = m })
}

func (k *Controller) LeaderChanged(l *bookkeeping.Leader) {
	k.leader.tell(func() { k.leader.leader = l })
}

func (k *Controller) WindowChanged(w *bookkeeping.Window) {
	k.holder.tell(func() { k.holder.learnWindow(w) })
	k.owner.tell(func() { k.owner.windowChanged(w) })
	k.leader.tell(func() { k.leader.window = w })
}

func (k *Controller) SlotChanged(slot int, s *bookkeeping.Slot) {
	k.holder.tell(func() { k.holder.records[slot] = s })
	k.owner.tell(func() { k.owner.rosters[slot] = s.Roster })
}

func (k *Controller) LotChanged(name string, l *bookkeeping.Lot) {
	k.leader.tell(func() {
		if l == nil {
			delete(k.leader.lots, name)
		} else {
			k.leader.lots[name] = l
		}
	})
}

func (k *Controller) MachineChanged(id string, m *bookkeeping.Machine) {
	k.holder.tell(func() { k.holder.machineChanged(id, m) })
	k.owner.tell(func() { k.owner.machineChanged(id, m) })
}

func (k *Controller) CatalogChanged(c *protocol.Catalog) {
	types := make(map[string]protocol.MachineType, len(c.Types))
	for _, t := range c.Types {
		types[t.Name] = t
	}
	k.catalog.Store(c)
	k.holder.tell(func() { k.holder.types = types })
	k.owner.tell(func() { k.owner.types = types; k.owner.dirty = true })
	k.leader.tell(func() { k.leader.catalog = c })
}

func (k *Controller) Synced(at time.Time) {
	k.loaded.Store(true)
	k.holder.tell(func() { k.holder.synced(at) })
}

// ---- what users and workers ask

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
	alone := len(k.cfg.Siblings) > 0 && !k.owner.othersHeard.Load()
	switch now := time.Now(); {
	case alone && now.Sub(k.state.Counts.Answered()) > silentFor:
		return false
	case time.UnixMilli(k.owner.othersServed.Load()).Sub(k.state.Counts.Served()) > refusedFor:
		return false
	}
	return k.session.Valid() || !k.owner.othersValid.Load()
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

func (k *Controller) answer(s *standing) *protocol.JobStatus {
	j, running := s.job, s.running
	done := j.DoneCount()
	st := &protocol.JobStatus{ID: j.Spec.ID, Status: j.State, Done: &done, Running: &running, Reason: s.reason, StartsInS: s.startsIn}
	switch {
	case j.State == protocol.Done:
		done, running = j.Spec.Tasks, 0
	case j.State == protocol.Cancelled:
		running = 0
	case running > 0:
		st.Status = protocol.Running
	}
	return st
}

// Status finds out how a job stands; nil without an error means that it was
// never accepted. A job that is over stays so: what is known here is enough.
// Anything else takes a read that begins after the question came, so that no
// user is told less than another was told before.
func (k *Controller) Status(ctx context.Context, id string) (*protocol.JobStatus, error) {
	known := k.owner.Known(ctx, id)
	if known != nil && known.Final() {
		return k.confirm(ctx, &standing{job: known})
	}
	ctx, cancel := context.WithTimeout(ctx, bookkeeping.FreshWithin)
	defer cancel()
	if known == nil {
		found, err := k.reader.Find(ctx, id)
		if err != nil || found == nil {
			return nil, err
		}
		if !found.Final() && len(found.Spec.Needs) > 0 {
			return nil, ErrLater // one of those may be cancelled, and it with it
		}
		return k.confirm(ctx, &standing{job: found})
	}
	if err := k.reader.Fresh(ctx); err != nil {
		return nil, err
	}
	st := k.owner.Status(ctx, id)
	if st == nil || st.job.Unclear {
		// It ended and is no longer kept at hand; or one that it needs did so,
		// and whether it was cancelled is being looked up.
		return nil, ErrLater
	}
	return k.confirm(ctx, st)
}

// confirm gives a user's answer, unless it says that the job is cancelled and that may not be
// said yet (membership.MayConfirm): from then on its tasks have only so long to live, wherever
// they are and whoever knows of it.
func (k *Controller) confirm(ctx context.Context, s *standing) (*protocol.JobStatus, error) {
	if s.job.State == protocol.Cancelled {
		if !k.holder.confirmCancelled(ctx, s.job.Spec.ID) {
			return nil, ErrLater
		}
	}
	return k.answer(s), nil
}

// ---- what operators ask

// viewWithin bounds how long a part of the controller is waited for.
const viewWithin = time.Second

// Overview sums up what this controller knows. What does not answer in time is
// named and left out.
func (k *Controller) Overview(ctx context.Context) *protocol.Overview {
	now := time.Now()
	v := &protocol.Overview{Controller: k.cfg.Name, Zone: k.cfg.Zone, UpS: *seconds(now.Sub(k.started)), Generation: bookkeeping.Generation,
		Session: protocol.SessionView{Valid: k.session.Valid(), Term: k.session.Term(), LeftS: *seconds(k.session.Left()), Deaf: k.session.Deaf()},
		State:   clientView(&k.state.Counts), Cloud: clientView(&k.leader.cloud.Counts)}
	v.State.Changes = k.store.Changes()
	var owner, holder, leader bool
	v.OwnerView, owner = view(ctx, &k.owner.actor, k.owner.overview)
	v.Holds, holder = view(ctx, &k.holder.actor, k.holder.overview)
	v.Leader, leader = view(ctx, &k.leader.actor, func() string {
		if k.leader.leader == nil {
			return ""
		}
		return k.leader.leader.Name
	})
	for _, part := range []struct {
		name     string
		answered bool
	}{{"owner", owner}, {"holder", holder}, {"leader", leader}} {
		if !part.answered {
			v.Busy = append(v.Busy, part.name)
		}
	}
	return v
}

// view asks a part of the controller for what it shows, for no longer than
// viewWithin.
func view[T any](ctx context.Context, a *actor, f func() T) (T, bool) {
	ctx, cancel := context.WithTimeout(ctx, viewWithin)
	defer cancel()
	return askFor(ctx, a, f)
}

func clientView(c *transport.Counts) protocol.ClientView {
	return protocol.ClientView{Requests: c.Requests.Load(), Refused: c.Refused.Load(), Unanswered: c.Unanswered.Load(), NoBudget: c.NoBudget.Load()}
}

// JobView tells operators how a job stands, as far as this controller knows;
// nil if it knows nothing of it.
func (k *Controller) JobView(ctx context.Context, id string) (*protocol.JobView, error) {
	v, ok := view(ctx, &k.owner.actor, func() *protocol.JobView {
		js := k.owner.jobs[id]
		if js == nil {
			return nil
		}
		v := k.owner.jobView(js, time.Now())
		return &v
	})
	if !ok {
		return nil, ErrLater
	}
	return v, nil
}

// ErrLater says that it cannot be decided now; the user should come again.
var ErrLater = errors.New("cannot be decided now")

// Submit takes a submission: its status code and answer. An id that is known
// is answered with the job's state, whatever the rest of the body says.
func (k *Controller) Submit(ctx context.Context, body []byte) (status int, answer any) {
	id := protocol.PeekID(body)
	if id != "" {
		if k.owner.Known(ctx, id) != nil {
			return k.known(ctx, id, nil)
		}
	}
	spec, err := protocol.ParseJob(body)
	if err != nil {
		if id == "" {
			return http.StatusBadRequest, err
		}
		return k.known(ctx, id, func() (int, any) { return http.StatusBadRequest, err })
	}
	if k.catalog.Load() == nil {
		return k.known(ctx, id, nil)
	}
	if err := k.judge(spec); err != nil {
		return k.known(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
	}
	with, err := k.needs(ctx, spec)
	switch {
	case errors.Is(err, errNever):
		return k.known(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
	case err != nil:
		return k.known(ctx, id, nil)
	}
	if spec.Batch != nil && (spec.Batch.Hold || spec.Batch.FromMs > 0) && !k.understood(ctx, 3) {
		return http.StatusServiceUnavailable, ErrLater // an older process would run it at once
	}
	for range 2 {
		err = k.store.CreateJob(ctx, spec, with)
		if err == nil {
			due, _ := spec.Deadline()
			slog.Debug("accepted", "job", id, "class", spec.Class, "tasks", spec.Tasks, "waits for", spec.Needs, "due", due, "cancelled with", with)
			st := &protocol.JobStatus{ID: id, Status: protocol.Pending}
			if with != "" {
				st.Status = protocol.Cancelled
			}
			return http.StatusCreated, st
		}
		if errors.Is(err, bookkeeping.ErrConflict) {
			return k.known(ctx, id, nil)
		}
		if errors.Is(err, transport.ErrRefused) {
			break
		}
	}
	slog.Debug("submission not recorded", "job", id, "err", err)
	return http.StatusServiceUnavailable, ErrLater
}

// known answers for a job that may be known already; otherwise says what else.
func (k *Controller) known(ctx context.Context, id string, otherwise func() (int, any)) (int, any) {
	st, err := k.Status(ctx, id)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, ErrLater
	case st != nil:
		return http.StatusOK, st
	case otherwise != nil:
		return otherwise()
	}
	return http.StatusServiceUnavailable, ErrLater
}

// judge says why a job can never run, if so.
func (k *Controller) judge(s *protocol.JobSpec) error {
	team := k.cfg.Team(s.Team)
	if team == nil {
		return errors.New("unknown crew")
	}
	n := 1.0
	if s.Shape != protocol.Array {
		n = float64(s.Tasks)
	}
	if !team.Admits(s.Need().Scale(n)) {
		return errors.New("the job needs more than its crew may use")
	}
	if err := judgeAccount(k.quotaTree(), s, n); err != nil {
		return err
	}
	for _, t := range k.catalog.Load().Types {
		if !t.Takes(s) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone == nil || *s.Zone == z {
				return nil
			}
		}
	}
	return errors.New("a task fits no machine that the job allows")
}

// judgeAccount says why a job with so many tasks at once can never run in its
// account, if so.
func judgeAccount(t *quota.Tree, s *protocol.JobSpec, n float64) error {
	if s.Account == "" && !t.Has(s.Team) {
		return nil
	}
	account, known := t.Find(cmp.Or(s.Account, s.Team))
	switch {
	case !t.Has(s.Team):
		return fmt.Errorf("crew %s has no accounts", s.Team)
	case !known:
		return fmt.Errorf("unknown account %q", s.Account)
	case account.Team() != s.Team:
		return fmt.Errorf("account %q is not one of crew %s", s.Account, s.Team)
	}
	if binds, never := t.Never(account.Name, s.Need().Scale(n)); never {
		return fmt.Errorf("the job needs more than account %q may use", binds)
	}
	return nil
}

// quotaTree are the accounts, nil if quotas are not switched on.
func (k *Controller) quotaTree() *quota.Tree {
	if set := k.quotas.Load(); set != nil {
		return set.tree
	}
	return nil
}

// Cancel cancels a job.
func (k *Controller) Cancel(ctx context.Context, id string) (status int, answer any) {
	j := k.owner.Known(ctx, id)
	if j == nil || !j.Final() {
		var err error
		switch j, err = k.store.CancelJob(ctx, id); {
		case err != nil:
			return http.StatusServiceUnavailable, ErrLater
		case j == nil:
			return http.StatusNotFound, errors.New("no such job")
		}
	}
	st, err := k.confirm(ctx, &standing{job: j})
	if err != nil {
		return http.StatusServiceUnavailable, ErrLater
	}
	return http.StatusOK, st
}
