package coordination

import (
	"context"
	"log/slog"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// This file implements nested quotas (docs/design-quotas.md): for each team with quotas, one controller is the
// authority of the team's tree and lends permits to the owners, who borrow them.

// quotas is the owner's state for nested quotas, both as borrower and as authority. Only the owner actor uses
// it.
type quotas struct {
	tree *quota.Tree
	// record is the stored change that set the tree at run time; its revision is 0 if there was none.
	record bookkeeping.Quotas
	// callers reach the authorities by controller name.
	callers map[string]LendCaller
	// authorities holds, by team, the authorities that this controller is.
	authorities map[string]*quota.Authority
	// unknownJobs are jobs that have tasks on machines but of which this controller has no record.
	unknownJobs map[string]bool

	// requestsByTeam holds the request to each team's authority that is in flight or being put together.
	requestsByTeam map[string]*quotaRequest
	// withPermits are the jobs that hold unused permits.
	withPermits map[string]*jobState
	// yielding are the tasks that have to stop because authorities reclaim their quota.
	yielding map[string]bool
	// usage is the use of all accounts according to the board, as of usageAt.
	usage   *quota.Ledger
	usageAt time.Time
	// requestCount and permitCount count the requests made and the permits granted so far.
	requestCount, permitCount int64
}

const (
	// permitTTL is how long a permit is kept for which no machine is found, and permitBackoff is the pause
	// before the job asks for permits again.
	permitTTL     = 3 * time.Second
	permitBackoff = 2 * time.Second
	// deniedBackoff is the pause before a job whose permits were denied asks for them again.
	deniedBackoff = 500 * time.Millisecond
	// permitRequestInterval is the time between requests to an authority when nothing is wanted. Such a request
	// returns permits that are no longer held, and its reply names tasks that have to stop.
	permitRequestInterval = time.Second
	// lendTimeout bounds a request to an authority.
	lendTimeout = 2 * time.Second
	// maxWantedPermits bounds the permits that one job asks for at a time.
	maxWantedPermits = 32
)

// LendCaller reaches the authority of a team's quotas.
type LendCaller interface {
	Lend(ctx context.Context, r quota.Request, reply *quota.Reply) error
}

// quotaServiceName is the net/rpc service name of QuotaRPC.
const quotaServiceName = "Quota"

// lendPeer reaches an authority over net/rpc.
type lendPeer struct{ *transport.Peer }

func (p lendPeer) Lend(ctx context.Context, r quota.Request, reply *quota.Reply) error {
	return p.Call(ctx, lendTimeout, quotaServiceName+".Lend", r, reply)
}

// QuotaRPC serves the authority to sibling controllers, and the accounts to operators.
type QuotaRPC struct{ controller *Controller }

// Lend answers an owner's request, or returns errRequestVoid if this controller is not the team's authority now.
func (q QuotaRPC) Lend(r quota.Request, reply *quota.Reply) error {
	o := q.controller.owner
	ctx, cancel := context.WithTimeout(o.ctx, lendTimeout)
	defer cancel()
	type answer struct {
		quota.Reply
		ok bool
	}
	// The authority learns what the owner uses even if the reply comes too late.
	a, answered := submitFor(ctx, &o.actor, func() (a answer) {
		a.Reply, a.ok = o.lend(&r, time.Now())
		return a
	})
	switch {
	case !answered:
		return errNotAnswered
	case !a.ok:
		return errRequestVoid
	}
	*reply = a.Reply
	return nil
}

func newQuotas(t *quota.Tree, callers map[string]LendCaller) quotas {
	return quotas{tree: t, callers: callers, authorities: map[string]*quota.Authority{}, unknownJobs: map[string]bool{}, requestsByTeam: map[string]*quotaRequest{},
		withPermits: map[string]*jobState{}, yielding: map[string]bool{}}
}

// authority returns the authority of a team, or nil if this controller is not the authority or does not know
// yet of every task that may be running.
func (o *Owner) authority(team string) *quota.Authority {
	gain := o.tokenGainWindow(protocol.RingToken(team))
	if gain == 0 || !o.quotas.tree.HasTeam(team) {
		delete(o.quotas.authorities, team)
		return nil
	}
	if o.newJobRevision(gain) == 0 || len(o.quotas.unknownJobs) > 0 || !o.session.Valid() {
		return nil
	}
	a := o.quotas.authorities[team]
	if a == nil {
		a = quota.NewAuthority(o.quotas.tree)
		o.quotas.authorities[team] = a
		for id := range o.board.Tasks {
			if js := o.jobs[id]; js != nil && js.job.Spec.Team == team {
				o.setRunning(a, js)
			}
		}
		slog.Info("authority of quotas", "team", team, "window", gain)
	}
	return a
}

// quotaJob describes a job to an authority.
func (o *Owner) quotaJob(js *jobState) quota.Job {
	return quota.Job{Account: config.AccountOf(o.quotas.tree, js.job.Spec), Need: js.job.Spec.Need(), Rank: js.job.Rank}
}

// setRunning passes to an authority the attempts of a job that are on machines or may come to be there by the
// board.
func (o *Owner) setRunning(a *quota.Authority, js *jobState) {
	var attempts []quota.Attempt
	for _, instances := range o.board.Tasks[js.job.Spec.ID] {
		for _, i := range instances {
			if i.MayBePresent() {
				attempts = append(attempts, quota.Attempt{Task: i.Task, Number: i.Attempt})
			}
		}
	}
	a.SetRunning(js.job.Spec.ID, o.quotaJob(js), attempts)
}

// updateRunning updates the quota state after the board or the record of a job changed.
func (o *Owner) updateRunning(id string) {
	if o.quotas.tree == nil {
		return
	}
	js := o.jobs[id]
	if js == nil {
		if len(o.board.Tasks[id]) > 0 {
			o.quotas.unknownJobs[id] = true
		} else {
			delete(o.quotas.unknownJobs, id)
		}
		return
	}
	delete(o.quotas.unknownJobs, id)
	if a := o.quotas.authorities[js.job.Spec.Team]; a != nil {
		o.setRunning(a, js)
	}
}

// boardFreshness describes how recent the board is.
func (o *Owner) boardFreshness() quota.Freshness {
	ownersSince := o.ownersUnchangedSince()
	freshness := quota.Freshness{OwnersSince: ownersSince, Adopted: o.board.AllComplete(o.slots, ownersSince)}
	for n := range o.slots {
		b := o.board.Slots[n]
		if b == nil || !b.Complete {
			return quota.Freshness{OwnersSince: ownersSince}
		}
		if n == 0 || b.RequestedAt.Before(freshness.RequestedAt) {
			freshness.RequestedAt = b.RequestedAt
		}
	}
	return freshness
}

// lend answers a request; it returns false if this controller is not the team's authority now.
func (o *Owner) lend(r *quota.Request, now time.Time) (quota.Reply, bool) {
	a := o.authority(r.Team)
	if a == nil {
		return quota.Reply{}, false
	}
	if a.Ledger().Tree() != o.quotas.tree {
		a.SetTree(o.quotas.tree)
	}
	before := len(a.OverLimit())
	reply := a.Lend(r, quota.Permit{Authority: o.cfg.Name, Term: o.session.Term(), Window: o.window().Number}, o.boardFreshness(),
		func(id string) (quota.Job, bool) {
			js := o.active[id]
			if js == nil || js.job.Spec.Team != r.Team {
				return quota.Job{}, false
			}
			return o.quotaJob(js), true
		}, func() []quota.Workload { return o.runningWorkloads(r.Team, now) }, now)
	if len(a.OverLimit()) > 0 && before == 0 {
		slog.Warn("live services alone use more than their quota: nothing is stopped, nothing more starts", "accounts", a.OverLimit())
	}
	return reply, true
}

// runningWorkloads returns what runs of a team's jobs. A gang is one workload, because it stops as a whole.
func (o *Owner) runningWorkloads(team string, now time.Time) (workloads []quota.Workload) {
	for id, tasks := range o.board.Tasks {
		js := o.jobs[id]
		if js == nil || js.job.Spec.Team != team {
			continue
		}
		s, j := js.job.Spec, o.quotaJob(js)
		isGang := s.Shape == protocol.Gang && s.Tasks > 1
		w := quota.Workload{Account: j.Account, Rank: j.Rank, Service: s.Shape == protocol.Service}
		for _, instances := range tasks {
			for _, i := range instances {
				if i.Exited() {
					continue
				}
				cost := 0.0
				if !s.Checkpoints() {
					cost = now.Sub(i.FirstSeen).Seconds()
				}
				if isGang {
					w.ID, w.Need, w.StopCost = i.Task, w.Need.Add(j.Need), w.StopCost+cost
					continue
				}
				w.ID, w.Need, w.StopCost = i.Task, j.Need, cost
				workloads = append(workloads, w)
			}
		}
		if isGang && w.ID != "" {
			w.ID = protocol.TaskName(id, 0)
			workloads = append(workloads, w)
		}
	}
	return workloads
}

// acceptsPermit reports whether a permit is from the team's present authority, by this holder's window and
// fences.
func (h *Holder) acceptsPermit(p quota.Permit, team string) bool {
	return p.Authority != "" && p.Authority == h.window.Owner(protocol.RingToken(team)) && p.Window >= h.ownersSince &&
		p.Term >= h.fences[p.Authority].Term()
}

// QuotasChanged implements bookkeeping.Listener. It is called when operators set accounts at run time.
func (k *Controller) QuotasChanged(q *bookkeeping.Quotas) {
	if k.cfg.Quotas == nil {
		return // the settings have no quotas
	}
	t, err := quota.NewTree(q.Accounts, func(name string) bool { return k.cfg.Team(name) != nil })
	if err != nil {
		slog.Error("invalid quotas ignored", "revision", q.Revision, "err", err)
		return
	}
	slog.Info("quotas", "revision", q.Revision, "by", q.By, "why", q.Why, "accounts", len(q.Accounts))
	k.quotas.Store(&quotaSet{t, *q})
	k.holder.tell(func() { k.holder.quotas = t })
	k.owner.tell(func() { k.owner.quotas.tree, k.owner.quotas.record, k.owner.dirty = t, *q, true })
}

// quotaSet is a tree and the record that it was made from; the record's revision is 0 if the tree is from the
// settings.
type quotaSet struct {
	tree   *quota.Tree
	record bookkeeping.Quotas
}
