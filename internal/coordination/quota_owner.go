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

// This file holds what an owner does with permits: it requests them from a team's authority, uses them to start
// tasks, and stops tasks when the authority reclaims their quota.

// account returns the account that a job's use counts for, or "" if its team has no quotas.
func (o *Owner) account(js *jobState) string { return config.AccountOf(o.quotas.tree, js.job.Spec) }

// heldPermit reports whether quotas let a task start now, and returns the permit to start it by, or nil if
// the team has no quotas. If a permit is missing, it adds the task's index to missing, up to
// maxWantedPermits.
func (o *Owner) heldPermit(js *jobState, index int, missing *[]int) (*permit, bool) {
	if o.account(js) == "" {
		return nil, true
	}
	if p := js.permits[index]; p != nil && p.term == o.session.Term() {
		return p, true
	}
	if len(*missing) < maxWantedPermits {
		*missing = append(*missing, index)
	}
	return nil, false
}

// attemptNumber returns the number of an attempt about to start: the permit's, or a new one without a permit.
func (o *Owner) attemptNumber(p *permit) uint64 {
	if p != nil {
		return p.attempt
	}
	return o.newAttempt()
}

// wantPermits adds permits for tasks of a job to the wants of the next request. If attempt is 0, each task gets
// an attempt number of its own; otherwise all share it. together asks for all of them or none.
func (o *Owner) wantPermits(js *jobState, indexes []int, attempt uint64, together bool, now time.Time) {
	if len(indexes) == 0 || now.Before(js.nextPermitRequest) {
		return
	}
	w := quota.Want{Job: js.job.Spec.ID, Together: together}
	for _, index := range indexes {
		number := attempt
		if number == 0 {
			number = o.newAttempt()
		}
		w.Attempts = append(w.Attempts, quota.Attempt{Task: protocol.TaskName(w.Job, index), Number: number})
	}
	request := o.teamRequest(js.job.Spec.Team)
	if !request.inFlight && len(request.wants) < 64 {
		request.wants = append(request.wants, w)
	}
}

// teamRequest returns the state of the requests to a team's authority.
func (o *Owner) teamRequest(team string) *quotaRequest {
	request := o.quotas.requestsByTeam[team]
	if request == nil {
		request = &quotaRequest{}
		o.quotas.requestsByTeam[team] = request
	}
	return request
}

// allHoldersAnswered reports whether the holder of every slot has answered this incarnation, and therefore
// refuses requests of earlier ones.
func (o *Owner) allHoldersAnswered() bool {
	for slot := range o.slots {
		b := o.board.Slots[slot]
		if b == nil {
			return false
		}
		if p := o.peers[b.Holder]; p == nil || p.answeredTerm != o.session.Term() {
			return false
		}
	}
	return true
}

// requestPermits drops permits that are no longer usable and sends this round's wants to the authorities.
func (o *Owner) requestPermits(now time.Time) {
	for id, js := range o.quotas.withPermits {
		for index, p := range js.permits {
			if !js.owns(index) || p.term != o.session.Term() || now.After(p.expires) {
				delete(js.permits, index)
				js.nextPermitRequest = now.Add(permitBackoff)
			}
		}
		if len(js.permits) == 0 || o.active[id] != js {
			delete(o.quotas.withPermits, id)
		}
	}
	for _, team := range o.quotas.tree.Teams() {
		pending := o.teamRequest(team)
		if pending.inFlight || len(pending.wants) == 0 && now.Sub(pending.sentAt) < permitRequestInterval || !o.allHoldersAnswered() {
			if !pending.inFlight {
				pending.wants = nil // the next round makes the wants again
			}
			continue
		}
		o.seq++
		request := quota.Request{Team: team, Caller: o.cfg.Name, Term: o.session.Term(), Number: o.seq, Wants: pending.wants}
		for id, js := range o.quotas.withPermits {
			if js.job.Spec.Team == team {
				for index, p := range js.permits {
					request.Holding = append(request.Holding, quota.Attempt{Task: protocol.TaskName(id, index), Number: p.attempt})
				}
			}
		}
		for id, js := range o.unresolved {
			if js.job.Spec.Team == team {
				for index, ps := range js.pending {
					request.Holding = append(request.Holding, quota.Attempt{Task: protocol.TaskName(id, index), Number: ps.attempt})
				}
			}
		}
		name := o.window().Owner(protocol.RingToken(team))
		pending.wants, pending.sentAt = nil, now
		o.quotas.requestCount++
		if name == o.cfg.Name {
			if reply, ok := o.lend(&request, now); ok {
				o.applyLendReply(&request, &reply, now)
			}
			continue
		}
		caller := o.quotas.callers[name]
		if caller == nil {
			continue
		}
		pending.inFlight = true
		go func() {
			var reply quota.Reply
			err := caller.Lend(o.ctx, request, &reply)
			o.tell(func() {
				pending.inFlight = false
				if err != nil {
					slog.Debug("quota request failed", "authority", name, "team", team, "err", err)
				} else {
					o.applyLendReply(&request, &reply, time.Now())
				}
			})
		}()
	}
}

// applyLendReply applies an authority's reply: permits, limiting accounts and tasks that have to stop.
func (o *Owner) applyLendReply(r *quota.Request, reply *quota.Reply, now time.Time) {
	if r.Term != o.session.Term() {
		return // the next request does not list these permits as held, which returns them
	}
	granted := make(map[quota.Attempt]bool, len(reply.Granted))
	for _, attempt := range reply.Granted {
		granted[attempt] = true
	}
	for n, want := range r.Wants {
		js := o.active[want.Job]
		if js == nil || len(js.ownedBlocks) == 0 || n >= len(reply.Binds) {
			continue
		}
		js.limitingAccount = reply.Binds[n]
		if js.limitingAccount != "" {
			js.nextPermitRequest = now.Add(deniedBackoff)
		}
		for _, attempt := range want.Attempts {
			_, index, ok := protocol.SplitTask(attempt.Task)
			if !ok || !granted[attempt] || js.pending[index] != nil || !js.owns(index) {
				continue
			}
			if js.permits == nil {
				js.permits = map[int]*permit{}
			}
			o.quotas.permitCount++
			js.permits[index] = &permit{reply.Permit, attempt.Number, r.Term, now.Add(permitTTL)}
			o.quotas.withPermits[want.Job] = js
			js.blockedUntil, js.stale, o.dirty = time.Time{}, true, true
		}
	}
	for _, task := range reply.Yield {
		job, index, _ := protocol.SplitTask(task)
		if js := o.active[job]; js != nil && js.owns(index) && len(o.quotas.yielding) < 10_000 {
			o.quotas.yielding[task] = true
			o.dirty = true
		}
	}
}

// stopYielding stops the tasks that authorities named, with time to save their state.
func (o *Owner) stopYielding(now time.Time, rq requests) {
	for task := range o.quotas.yielding {
		delete(o.quotas.yielding, task)
		job, index, _ := protocol.SplitTask(task)
		js := o.active[job]
		if js == nil || !js.owns(index) {
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
				o.requestStop(i, 2*s.SaveS, now, rq)
			}
		}
	}
}

// limitingAccount returns the account whose limit prevents more of a job from starting, or "". For this
// owner's jobs it is what the authority reported; for other owners' jobs it is derived from the board.
func (o *Owner) limitingAccount(js *jobState, now time.Time) string {
	if len(js.ownedBlocks) > 0 || js.job.Final() || o.account(js) == "" {
		return js.limitingAccount
	}
	need := js.job.Spec.Need()
	if js.job.Spec.Shape == protocol.Gang {
		need = need.Scale(float64(js.job.Spec.Tasks))
	}
	limitedBy, _ := o.quotaUsage(now).Admits(&quota.Claim{Account: o.account(js), Need: need, Rank: js.job.Rank})
	return limitedBy
}

// quotaHeadroom returns, for each waiting job, how many more tasks its quotas would let start beside what
// runs. No machines are rented for tasks beyond that.
func (o *Owner) quotaHeadroom() map[string]int {
	if o.quotas.tree == nil {
		return nil
	}
	ledger := o.sumUsage()
	var waiting []*jobState
	for id, js := range o.active {
		if placed, _ := o.countTasks(id); o.account(js) != "" && placed < js.job.Spec.Tasks-js.job.DoneCount() && js.job.WaitingOn == 0 {
			waiting = append(waiting, js)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(b.job.Rank, a.job.Rank), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	headroom := make(map[string]int, len(waiting))
	for _, js := range waiting {
		claim := &quota.Claim{Account: o.account(js), Need: js.job.Spec.Need(), Rank: js.job.Rank}
		n := 0
		for n < js.job.Spec.Tasks {
			if _, ok := ledger.Admits(claim); !ok {
				break
			}
			ledger.AddUse(claim.Account, claim.Need)
			n++
		}
		headroom[js.job.Spec.ID] = n
	}
	return headroom
}

// takePermit removes and returns the permit of a task that is being started; it returns a zero permit if it
// has none.
func (js *jobState) takePermit(index int) (p permit) {
	if held := js.permits[index]; held != nil {
		p = *held
		delete(js.permits, index)
	}
	return p
}

// quotaRequest is the state of an owner's requests to one team's authority.
type quotaRequest struct {
	wants    []quota.Want
	inFlight bool
	sentAt   time.Time
}

// permit is a permit that is not used yet.
type permit struct {
	quota.Permit
	attempt uint64
	// term is the incarnation of this controller that asked for it.
	term    uint64
	expires time.Time
}
