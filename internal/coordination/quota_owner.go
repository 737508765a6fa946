package coordination

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

// What an owner does with permits: it asks the authority of a team for them, uses them for starts and
// gives back what others claim.

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
		if live, _ := o.countTasks(id); o.account(js) != "" && live < js.job.Spec.Tasks-js.job.DoneCount() && js.job.Waits == 0 {
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

// used takes the permit of a task that is being started, if it has one.
func (js *jobState) used(index int) (p permit) {
	if held := js.permits[index]; held != nil {
		p = *held
		delete(js.permits, index)
	}
	return p
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
