package coordination

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
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

// borrowing is what an owner has under way with an authority.
type borrowing struct {
	wants []quota.Want
	busy  bool
	asked time.Time
}

// permit is a permit that is not used yet.
type permit struct {
	quota.Permit
	attempt uint64
	// term is this controller's incarnation that asked for it.
	term  uint64
	until time.Time
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
		return errNotNow
	}
	*reply = a.Reply
	return nil
}

func newQuotas(t *quota.Tree, callers map[string]LendCaller) quotas {
	return quotas{tree: t, callers: callers, authorities: map[string]*quota.Authority{}, strange: map[string]bool{}, borrowing: map[string]*borrowing{},
		holding: map[string]*jobState{}, ghosts: map[quota.Attempt]*pendingStart{}, yields: map[string]bool{}}
}

// ---- the authority

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

// ---- the borrower

// account is what a job counts for, "" if no quotas divide its team's share.
func (o *Owner) account(js *jobState) string { return config.AccountOf(o.quotas.tree, js.job.Spec) }

// permitted tells whether a task may be started, and as which attempt, as far as
// quotas go; if not, a permit is wanted.
func (o *Owner) permitted(js *jobState, index int, lacks *[]int) (*permit, bool) {
	if o.account(js) == "" {
		return nil, true
	}
	if p := js.permits[index]; p != nil && p.term == o.session.Term() {
		return p, true
	}
	if len(*lacks) < wantAtOnce {
		*lacks = append(*lacks, index)
	}
	return nil, false
}

// attempt is the number of an attempt that is about to be started: that of its
// permit, or a new one.
func (o *Owner) attempt(p *permit) uint64 {
	if p != nil {
		return p.attempt
	}
	return o.newAttempt()
}

// want asks for permits for tasks of a job: attempts of their own, or together all
// as one attempt.
func (o *Owner) want(js *jobState, indexes []int, attempt uint64, together bool, now time.Time) {
	if len(indexes) == 0 || now.Before(js.wantAt) {
		return
	}
	w := quota.Want{Job: js.job.Spec.ID, Together: together}
	for _, index := range indexes {
		n := attempt
		if n == 0 {
			n = o.newAttempt()
		}
		w.Attempts = append(w.Attempts, quota.Attempt{Task: protocol.TaskName(w.Job, index), Number: n})
	}
	b := o.borrowed(js.job.Spec.Team)
	if !b.busy && len(b.wants) < 64 {
		b.wants = append(b.wants, w)
	}
}

func (o *Owner) borrowed(team string) *borrowing {
	b := o.quotas.borrowing[team]
	if b == nil {
		b = &borrowing{}
		o.quotas.borrowing[team] = b
	}
	return b
}

// used takes the permit of a task that is being started, if it has one.
func (js *jobState) used(index int) (p permit) {
	if held := js.permits[index]; held != nil {
		p = *held
		delete(js.permits, index)
	}
	return p
}

// fedAll tells whether every slot's holder has answered this incarnation, and so
// refuses what a former one asked.
func (o *Owner) fedAll() bool {
	for n := range o.slots {
		b := o.board.Slots[n]
		if b == nil {
			return false
		}
		if p := o.peers[b.Holder]; p == nil || p.fed != o.session.Term() {
			return false
		}
	}
	return true
}

// borrow asks the authorities for what this round wants.
func (o *Owner) borrow(now time.Time) {
	for id, js := range o.quotas.holding {
		for index, p := range js.permits {
			if !js.mine(index) || p.term != o.session.Term() || now.After(p.until) {
				delete(js.permits, index)
				js.wantAt = now.Add(permitPause)
			}
		}
		if len(js.permits) == 0 || o.active[id] != js {
			delete(o.quotas.holding, id)
		}
	}
	for _, team := range o.quotas.tree.Teams() {
		b := o.borrowed(team)
		if b.busy || len(b.wants) == 0 && now.Sub(b.asked) < borrowEvery || !o.fedAll() {
			if !b.busy {
				b.wants = nil // they are wanted anew in the next round
			}
			continue
		}
		r := quota.Request{Team: team, Caller: o.cfg.Name, Term: o.session.Term(), Wants: b.wants}
		for id, js := range o.quotas.holding {
			if js.job.Spec.Team == team {
				for index, p := range js.permits {
					r.Holding = append(r.Holding, quota.Attempt{Task: protocol.TaskName(id, index), Number: p.attempt})
				}
			}
		}
		for id, js := range o.unclear {
			if js.job.Spec.Team == team {
				for index, ps := range js.pending {
					r.Holding = append(r.Holding, quota.Attempt{Task: protocol.TaskName(id, index), Number: ps.attempt})
				}
			}
		}
		for at := range o.quotas.ghosts {
			r.Holding = append(r.Holding, at)
		}
		name := o.window().Owner(protocol.RingToken(team))
		b.wants, b.asked = nil, now
		o.quotas.requests++
		if name == o.cfg.Name {
			if reply, ok := o.lend(&r, now); ok {
				o.granted(&r, &reply, now)
			}
			continue
		}
		caller := o.quotas.callers[name]
		if caller == nil {
			continue
		}
		b.busy = true
		go func() {
			var reply quota.Reply
			err := caller.Lend(o.ctx, r, &reply)
			o.tell(func() {
				b.busy = false
				if err != nil {
					slog.Debug("nothing lent", "authority", name, "team", team, "err", err)
				} else {
					o.granted(&r, &reply, time.Now())
				}
			})
		}()
	}
}

// granted takes in an authority's answer.
func (o *Owner) granted(r *quota.Request, reply *quota.Reply, now time.Time) {
	if r.Term != o.session.Term() {
		return // what it granted is not held, and so goes back
	}
	got := make(map[quota.Attempt]bool, len(reply.Granted))
	for _, at := range reply.Granted {
		got[at] = true
	}
	for k, w := range r.Wants {
		js := o.active[w.Job]
		if js == nil || len(js.shares) == 0 || k >= len(reply.Binds) {
			continue
		}
		js.binds = reply.Binds[k]
		if js.binds != "" {
			js.wantAt = now.Add(askAgain)
		}
		for _, at := range w.Attempts {
			_, index, ok := protocol.SplitTask(at.Task)
			if !ok || !got[at] || js.pending[index] != nil || !js.mine(index) {
				continue
			}
			if js.permits == nil {
				js.permits = map[int]*permit{}
			}
			o.quotas.permits++
			js.permits[index] = &permit{reply.Permit, at.Number, r.Term, now.Add(permitLife)}
			o.quotas.holding[w.Job] = js
			js.blocked, js.stale, o.dirty = time.Time{}, true, true
		}
	}
	for _, task := range reply.Yield {
		job, index, _ := protocol.SplitTask(task)
		if js := o.active[job]; js != nil && js.mine(index) && len(o.quotas.yields) < 10_000 {
			o.quotas.yields[task] = true
			o.dirty = true
		}
	}
}

// yield has tasks stop that authorities named, with time to save.
func (o *Owner) yield(now time.Time, rq requests) {
	for task := range o.quotas.yields {
		delete(o.quotas.yields, task)
		job, index, _ := protocol.SplitTask(task)
		js := o.active[job]
		if js == nil || !js.mine(index) {
			continue
		}
		s := js.job.Spec
		if s.Shape == protocol.Gang && s.Tasks > 1 {
			slog.Info("gang yields its quota", "job", job)
			o.stopGang(js, 2*s.SaveS, now, rq)
			continue
		}
		for _, i := range o.board.Tasks[job][index] {
			if !i.Exited() && i.State != protocol.TaskFlushing {
				slog.Info("task yields its quota", "task", task)
				o.askStop(i, 2*s.SaveS, now, rq)
			}
		}
	}
}

// haunt keeps the starts under way of a job that is over: their permits count
// until it is known what became of them.
func (o *Owner) haunt(js *jobState) {
	if o.account(js) == "" {
		return
	}
	for index, ps := range js.pending {
		o.quotas.ghosts[quota.Attempt{Task: protocol.TaskName(js.job.Spec.ID, index), Number: ps.attempt}] = ps
	}
}

// used is what the board shows of all accounts' use; it is worked out once a second
// and serves all who ask.
func (o *Owner) used(now time.Time) *quota.Ledger {
	q := &o.quotas
	if q.uses != nil && now.Sub(q.usesAt) < time.Second && q.uses.Tree() == q.tree {
		return q.uses
	}
	q.uses, q.usesAt = o.sumUp(), now
	return q.uses
}

// sumUp gives a ledger of what the board shows.
func (o *Owner) sumUp() *quota.Ledger {
	l := quota.NewLedger(o.quotas.tree)
	for id := range o.board.Tasks {
		if js := o.jobs[id]; js != nil {
			if account := o.account(js); account != "" {
				live, _ := o.placed(id)
				l.Use(account, js.job.Spec.Need().Scale(float64(live)))
			}
		}
	}
	return l
}

// binds is the account whose limit lets no more of a job start: as its authority
// said, or, for other owners' jobs, as far as the board shows.
func (o *Owner) binds(js *jobState, now time.Time) string {
	if len(js.shares) > 0 || js.job.Final() || o.account(js) == "" {
		return js.binds
	}
	need := js.job.Spec.Need()
	if js.job.Spec.Shape == protocol.Gang {
		need = need.Scale(float64(js.job.Spec.Tasks))
	}
	binds, _ := o.used(now).Admits(&quota.Claim{Account: o.account(js), Need: need, Rank: js.job.Rank})
	return binds
}

// affordable is how many tasks more of each job quotas would let start beside what
// runs: no more are rented for.
func (o *Owner) affordable() map[string]int {
	if o.quotas.tree == nil {
		return nil
	}
	l := o.sumUp()
	var waiting []*jobState
	for id, js := range o.active {
		if live, _ := o.placed(id); o.account(js) != "" && live < js.job.Spec.Tasks-js.job.DoneCount() && js.job.Waits == 0 {
			waiting = append(waiting, js)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(b.job.Rank, a.job.Rank), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	out := make(map[string]int, len(waiting))
	for _, js := range waiting {
		c := &quota.Claim{Account: o.account(js), Need: js.job.Spec.Need(), Rank: js.job.Rank}
		n := 0
		for n < js.job.Spec.Tasks {
			if _, ok := l.Admits(c); !ok {
				break
			}
			l.Use(c.Account, c.Need)
			n++
		}
		out[js.job.Spec.ID] = n
	}
	return out
}

// permits tells whether a permit is of the present authority of a team, as far as
// this holder's window and fences go.
func (h *Holder) permits(p quota.Permit, team string) bool {
	return p.Authority != "" && p.Authority == h.window.Owner(protocol.RingToken(team)) && p.Window >= h.ownersSince &&
		p.Term >= h.fences[p.Authority].Term()
}

// ---- operators

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

// mostShown bounds the accounts that the overview and metrics show.
const mostShown = 50

// quotaView shows the accounts, at most so many: those that use most, in the order
// of their names.
func (o *Owner) quotaView(most int) *protocol.QuotaView {
	t, record := o.quotas.tree, &o.quotas.record
	v := &protocol.QuotaView{Requests: o.quotas.requests, Granted: o.quotas.permits, Revision: record.Revision, By: record.By, Why: record.Why, Authorities: map[string]string{}}
	if record.AtMs > 0 {
		v.At = time.UnixMilli(record.AtMs).UTC().Format(time.RFC3339)
	}
	if w := o.window(); w != nil {
		for _, team := range t.Teams() {
			v.Authorities[team] = w.Owner(protocol.RingToken(team))
		}
	}
	for _, a := range o.quotas.authorities {
		v.Permits += a.Lent()
		v.Over = append(v.Over, a.Over()...)
	}
	l := o.used(time.Now())
	waiting := map[string]int{}
	for _, js := range o.active {
		if js.binds != "" {
			waiting[js.binds]++
		}
	}
	accounts := t.Accounts()
	if len(accounts) > most {
		slices.SortStableFunc(accounts, func(a, b quota.Account) int {
			return cmp.Or(cmp.Compare(l.Used(b.Name).Accels, l.Used(a.Name).Accels), cmp.Compare(l.Used(b.Name).Cores, l.Used(a.Name).Cores))
		})
		accounts = accounts[:most]
		slices.SortFunc(accounts, func(a, b quota.Account) int { return cmp.Compare(a.Name, b.Name) })
	}
	for _, a := range accounts {
		used := l.Used(a.Name)
		v.Accounts = append(v.Accounts, protocol.QuotaAccount{Name: a.Name, Guarantee: a.Guarantee, Limit: a.Limit, Weight: a.Weight,
			Used: used, Borrowed: quota.Beyond(used, a.Guarantee), Lent: quota.Beyond(a.Guarantee, used), Waiting: waiting[a.Name]})
	}
	return v
}

var errNoQuotas = errors.New("quotas are not switched on: the operators' settings have no (quotas ...)")

// showQuotas is the view for operators.
func (k *Controller) showQuotas(ctx context.Context, most int) (*protocol.QuotaView, error) {
	if k.quotas.Load() == nil {
		return nil, errNoQuotas
	}
	v, ok := view(ctx, &k.owner.actor, func() *protocol.QuotaView { return k.owner.quotaView(most) })
	if !ok {
		return nil, ErrLater
	}
	return v, nil
}

// changeQuotas changes accounts, all that is asked or nothing.
func (k *Controller) changeQuotas(ctx context.Context, c *quota.Change) (out quota.Outcome, err error) {
	set := k.quotas.Load()
	if set == nil {
		return out, errNoQuotas
	}
	seen, err := k.store.Quotas(ctx)
	if err != nil {
		return out, fmt.Errorf("the quotas can't be read now, nothing was changed: %w", err)
	}
	current, record := set.tree, bookkeeping.Quotas{}
	known := func(name string) bool { return k.cfg.Team(name) != nil }
	if seen != nil {
		record = *seen
		if current, err = quota.NewTree(seen.Accounts, known); err != nil {
			return out, err
		}
	} else if set.record.Revision > 0 {
		return out, errors.New("the record of the quotas is gone, nothing was changed")
	}
	out.Revision = record.Revision
	if c.Revision != record.Revision {
		out.Refused = fmt.Sprintf("they were changed meanwhile: revision %d by %s at %s (%s), not %d", record.Revision, cmp.Or(record.By, "nobody named"),
			time.UnixMilli(record.AtMs).UTC().Format(time.RFC3339), cmp.Or(record.Why, "no reason given"), c.Revision)
		return out, nil
	}
	next, err := current.With(c.Set, c.Drop, known)
	if err != nil {
		out.Refused = err.Error()
		return out, nil
	}
	plan, ok := view(ctx, &k.owner.actor, func() (p quota.Plan) {
		var work []quota.Work
		for _, team := range next.Teams() {
			work = append(work, k.owner.running(team, time.Now())...)
		}
		return quota.Shrink(next, work)
	})
	if !ok {
		return out, ErrLater
	}
	out.Shrinks, out.Over = plan.Shrinks(), plan.Over
	if c.DryRun {
		return out, nil
	}
	err = k.store.SaveQuotas(ctx, seen, bookkeeping.Quotas{By: c.By, Why: c.Why, AtMs: time.Now().UnixMilli(), Accounts: next.Accounts()})
	switch {
	case errors.Is(err, bookkeeping.ErrConflict):
		out.Refused = "somebody else changed them at the same moment; look at them again"
		return out, nil
	case err != nil:
		return out, fmt.Errorf("it is not known whether the change was recorded, look at the revision: %w", err)
	}
	out.Revision++
	return out, nil
}

// ShowArgs ask for the accounts.
type ShowArgs struct{}

// Show shows operators the accounts.
func (q QuotaRPC) Show(_ ShowArgs, v *protocol.QuotaView) error {
	ctx, cancel := context.WithTimeout(q.k.owner.ctx, lendWithin)
	defer cancel()
	got, err := q.k.showQuotas(ctx, quota.MaxAccounts)
	if err == nil {
		*v = *got
	}
	return err
}

// Change changes accounts for operators.
func (q QuotaRPC) Change(c quota.Change, out *quota.Outcome) (err error) {
	ctx, cancel := context.WithTimeout(q.k.owner.ctx, changeWithin)
	defer cancel()
	*out, err = q.k.changeQuotas(ctx, &c)
	return err
}

// changeWithin bounds a change: some requests to the state service.
const changeWithin = 20 * time.Second
