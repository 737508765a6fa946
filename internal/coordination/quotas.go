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

// Nested quotas (docs/design-quotas.md): the authority of a team's tree, which lends
// permits, and the owners who borrow them.

// quotas is what an owner has to do with quotas, as borrower and as authority. It
// belongs to the owner actor.
type quotas struct {
	tree *quota.Tree
	// record is what the tree was set by at run time, of revision 0 if it was not.
	record bookkeeping.Quotas
	// callers reach the authorities.
	callers map[string]LendCaller
	// authorities are those of the teams whose place on the ring is ours.
	authorities map[string]*quota.Authority
	// strange are jobs with tasks on machines that nothing is known of.
	strange map[string]bool

	// borrowing is what is under way with the authority of a team.
	borrowing map[string]*borrowing
	// holding are jobs with permits that are not used yet.
	holding map[string]*jobState
	// ghosts are starts under way of jobs that are over meanwhile.
	ghosts map[quota.Attempt]*pendingStart
	// yields are tasks that have to stop.
	yields map[string]bool
	// uses is what the board shows of all accounts' use, as it was at usesAt.
	uses   *quota.Ledger
	usesAt time.Time
	// requests and permits are how many were made and granted so far.
	requests, permits int64
}

const (
	// permitLife is for how long a permit is kept that finds no machine, and
	// permitPause for how long none is asked for again after that.
	permitLife  = 3 * time.Second
	permitPause = 2 * time.Second
	// askAgain is how often something is asked for that was not granted.
	askAgain = 500 * time.Millisecond
	// borrowEvery is how often an authority is asked when nothing is wanted: what
	// is no longer held goes back, and what has to stop is heard of.
	borrowEvery = time.Second
	// lendWithin bounds a request.
	lendWithin = 2 * time.Second
	// wantAtOnce bounds the permits that one job asks for at a time.
	wantAtOnce = 32
)

// LendCaller reaches the authority of a team's quotas.
type LendCaller interface {
	Lend(ctx context.Context, r quota.Request, reply *quota.Reply) error
}

// lendName is the name that authorities are served under.
const lendName = "Quota"

// lendPeer reaches an authority over net/rpc.
type lendPeer struct{ *transport.Peer }

func (p lendPeer) Lend(ctx context.Context, r quota.Request, reply *quota.Reply) error {
	return p.Call(ctx, lendWithin, lendName+".Lend", r, reply)
}

// QuotaRPC serves the authority to siblings, and accounts to operators.
type QuotaRPC struct{ k *Controller }

// Lend answers an owner, or says that this controller is not the authority now.
func (q QuotaRPC) Lend(r quota.Request, reply *quota.Reply) error {
	o := q.k.owner
	ctx, cancel := context.WithTimeout(o.ctx, lendWithin)
	defer cancel()
	type answer struct {
		quota.Reply
		ok bool
	}
	a, asked := askFor(ctx, &o.actor, func() (a answer) {
		a.Reply, a.ok = o.lend(&r, time.Now())
		return a
	})
	if !asked || !a.ok {
		return errRequestVoid
	}
	*reply = a.Reply
	return nil
}

func newQuotas(t *quota.Tree, callers map[string]LendCaller) quotas {
	return quotas{tree: t, callers: callers, authorities: map[string]*quota.Authority{}, strange: map[string]bool{}, borrowing: map[string]*borrowing{},
		holding: map[string]*jobState{}, ghosts: map[quota.Attempt]*pendingStart{}, yields: map[string]bool{}}
}

// authority is that of a team, if it is this controller's to be and it knows all
// that may be running; else nil.
func (o *Owner) authority(team string) *quota.Authority {
	gain := o.gainOf(protocol.RingToken(team))
	if gain == 0 || !o.quotas.tree.Has(team) {
		delete(o.quotas.authorities, team)
		return nil
	}
	if o.bornBy(gain) == 0 || len(o.quotas.strange) > 0 || !o.session.Valid() {
		return nil
	}
	a := o.quotas.authorities[team]
	if a == nil {
		a = quota.NewAuthority(o.quotas.tree)
		o.quotas.authorities[team] = a
		for id := range o.board.Tasks {
			if js := o.jobs[id]; js != nil && js.job.Spec.Team == team {
				o.count(a, js)
			}
		}
		slog.Info("authority of quotas", "team", team, "window", gain)
	}
	return a
}

// quotaJob is what an authority has to know of a job.
func (o *Owner) quotaJob(js *jobState) quota.Job {
	return quota.Job{Account: config.AccountOf(o.quotas.tree, js.job.Spec), Need: js.job.Spec.Need(), Rank: js.job.Rank}
}

// count has an authority book what the board shows of a job.
func (o *Owner) count(a *quota.Authority, js *jobState) {
	var there []quota.Attempt
	for _, list := range o.board.Tasks[js.job.Spec.ID] {
		for _, i := range list {
			if !i.Exited() {
				there = append(there, quota.Attempt{Task: i.Task, Number: i.Attempt})
			}
		}
	}
	a.Count(js.job.Spec.ID, o.quotaJob(js), there)
}

// recount takes in that the board shows something new of a job.
func (o *Owner) recount(id string) {
	if o.quotas.tree == nil {
		return
	}
	js := o.jobs[id]
	if js == nil {
		if len(o.board.Tasks[id]) > 0 {
			o.quotas.strange[id] = true
		} else {
			delete(o.quotas.strange, id)
		}
		return
	}
	delete(o.quotas.strange, id)
	if a := o.quotas.authorities[js.job.Spec.Team]; a != nil {
		o.count(a, js)
	}
}

// seen is how far the board goes.
func (o *Owner) seen() quota.Seen {
	present := o.presentSince()
	s := quota.Seen{Present: present, Obeyed: o.board.AllComplete(o.slots, present)}
	for n := range o.slots {
		b := o.board.Slots[n]
		if b == nil || !b.Complete {
			return quota.Seen{Present: present}
		}
		if n == 0 || b.Asked.Before(s.Asked) {
			s.Asked = b.Asked
		}
	}
	return s
}

// lend answers a request, false if it is not for this controller now.
func (o *Owner) lend(r *quota.Request, now time.Time) (quota.Reply, bool) {
	a := o.authority(r.Team)
	if a == nil {
		return quota.Reply{}, false
	}
	if a.Ledger().Tree() != o.quotas.tree {
		a.SetTree(o.quotas.tree)
	}
	over := len(a.Over())
	reply := a.Lend(r, quota.Permit{Authority: o.cfg.Name, Term: o.session.Term(), Window: o.window().Number}, o.seen(),
		func(id string) (quota.Job, bool) {
			js := o.active[id]
			if js == nil || js.job.Spec.Team != r.Team {
				return quota.Job{}, false
			}
			return o.quotaJob(js), true
		}, func() []quota.Work { return o.running(r.Team, now) }, now)
	if len(a.Over()) > 0 && over == 0 {
		slog.Warn("live services alone use more than their quota: nothing is stopped, nothing more starts", "accounts", a.Over())
	}
	return reply, true
}

// running is what runs of a team's jobs; gangs stop as a whole.
func (o *Owner) running(team string, now time.Time) (out []quota.Work) {
	for id, tasks := range o.board.Tasks {
		js := o.jobs[id]
		if js == nil || js.job.Spec.Team != team {
			continue
		}
		s, j := js.job.Spec, o.quotaJob(js)
		whole := s.Shape == protocol.Gang && s.Tasks > 1
		w := quota.Work{Account: j.Account, Rank: j.Rank, Live: s.Shape == protocol.Service}
		for _, list := range tasks {
			for _, i := range list {
				if i.Exited() {
					continue
				}
				loss := 0.0
				if !s.Saves() {
					loss = now.Sub(i.Since).Seconds()
				}
				if whole {
					w.ID, w.Need, w.Loss = i.Task, w.Need.Add(j.Need), w.Loss+loss
					continue
				}
				w.ID, w.Need, w.Loss = i.Task, j.Need, loss
				out = append(out, w)
			}
		}
		if whole && w.ID != "" {
			w.ID = protocol.TaskName(id, 0)
			out = append(out, w)
		}
	}
	return out
}

// permits tells whether a permit is of the present authority of a team, as far as
// this holder's window and fences go.
func (h *Holder) permits(p quota.Permit, team string) bool {
	return p.Authority != "" && p.Authority == h.window.Owner(protocol.RingToken(team)) && p.Window >= h.ownersSince &&
		p.Term >= h.fences[p.Authority].Term()
}

// QuotasChanged implements bookkeeping.Listener: operators set accounts at run time.
func (k *Controller) QuotasChanged(q *bookkeeping.Quotas) {
	if k.cfg.Quotas == nil {
		return // the settings don't switch quotas on
	}
	t, err := quota.NewTree(q.Accounts, func(name string) bool { return k.cfg.Team(name) != nil })
	if err != nil {
		slog.Error("quotas that can't be are passed over", "revision", q.Revision, "err", err)
		return
	}
	slog.Info("quotas", "revision", q.Revision, "by", q.By, "why", q.Why, "accounts", len(q.Accounts))
	k.quotas.Store(&quotaSet{t, *q})
	k.holder.tell(func() { k.holder.quotas = t })
	k.owner.tell(func() { k.owner.quotas.tree, k.owner.quotas.record, k.owner.dirty = t, *q, true })
}

// quotaSet is a tree, and the record that it is from; revision 0 if it is from the
// settings.
type quotaSet struct {
	tree   *quota.Tree
	record bookkeeping.Quotas
}
