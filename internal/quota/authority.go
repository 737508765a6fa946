package quota

import (
	"maps"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Permit allows one attempt at a task to start. Holders accept it only from the current authority;
// docs/design-quotas.md explains why that enforces every limit.
type Permit struct {
	// Authority is the controller that granted the permit, Term its incarnation, and Window the number of the
	// window in which it was the authority.
	Authority string
	Term      uint64
	Window    uint64
}

// Attempt identifies one attempt at a task.
type Attempt struct {
	Task   string
	Number uint64
}

// Want is a request of permits for attempts at tasks of one job. If Together is set, as for a gang, either
// all are granted or none.
type Want struct {
	Job      string
	Attempts []Attempt
	Together bool
}

// Request is what an owner sends to the authority of a team's tree. An owner has one request in flight at a
// time for each team, and sends none before it has a feed from every holder.
type Request struct {
	Team   string
	Caller string
	// Term is the caller's incarnation. Number rises with each of its requests; 0 from a version without it.
	Term   uint64
	Number uint64
	Wants  []Want
	// Holding lists all attempts of the caller that have a permit, used or not, and whose start is not
	// settled yet.
	Holding []Attempt
}

// Reply answers a Request.
type Reply struct {
	// Permit is the permit of all attempts granted.
	Permit  Permit
	Granted []Attempt
	// Binds holds, for each want, the account whose limit prevented part of it, or "" if all of it was
	// granted or the want was not considered.
	Binds []string
	// Yield lists tasks of the team that have to stop.
	Yield []string
}

// Job is what the authority needs to know of a job.
type Job struct {
	Account string
	Need    protocol.Room // amount for one task
	Rank    int
}

// Freshness describes how recent the authority's view of all machines is.
type Freshness struct {
	// RequestedAt is when the oldest of the holders' feeds in the view was requested.
	RequestedAt time.Time
	// OwnersSince is the first window with the present owners. Adopted reports that all holders follow that
	// window and have reported every start that they accepted before it.
	OwnersSince uint64
	Adopted     bool
}

// Lifetimes and intervals of the authority.
const (
	// claimTTL is how long a claim counts after its owner last requested it.
	claimTTL = 3 * time.Second
	// A waiting claim has room reserved for reservePeriod, then none for bypassPeriod, in turns, so that
	// claims that reserve against each other can't block each other for ever.
	reservePeriod = 20 * time.Second
	bypassPeriod  = 20 * time.Second
	// reclaimInterval is the time between two decisions about what has to stop.
	reclaimInterval = time.Second
	// yieldTimeout is how long the authority waits for a task that it told to stop before it decides again.
	yieldTimeout = 30 * time.Second
)

// MaxAttemptsPerRequest bounds the attempts granted to one request, except that its first want, such as a
// large gang, may exceed it.
const MaxAttemptsPerRequest = 256

// Authority grants permits for a team's tree to owners. Its caller tells it which attempts the view of the
// machines shows, and calls it from one goroutine at a time. The cost of a request grows with its attempts
// and with the outstanding permits, not with accounts or running tasks.
type Authority struct {
	ledger *Ledger
	// running holds, by job, the use that is booked for its tasks on machines.
	running map[string]booking
	// grants holds the permits whose attempts the view does not show yet.
	grants map[Attempt]*grant
	// latestRequests identifies the newest request of each owner.
	latestRequests map[string]requestID
	// claims holds, by job, what was not granted. yields holds the tasks told to stop, and since when.
	claims map[string]*pendingClaim
	yields map[string]time.Time
	// reclaimedAt is the time of the last decision about what has to stop. overLimit lists the accounts whose
	// protected services alone exceed the limit.
	reclaimedAt time.Time
	overLimit   []string
}

// booking is an amount counted as use of an account.
type booking struct {
	account string
	room    protocol.Room
}

// requestID identifies a request of an owner by its incarnation and its number.
type requestID struct{ term, number uint64 }

// isNewer reports whether a request was sent after another one of the same owner. Requests without a number are of
// a version that sends none, and ordered by incarnation alone.
func (r requestID) isNewer(other requestID) bool {
	if r.term != other.term {
		return r.term > other.term
	}
	return r.number > other.number || r.number == 0 && other.number == 0
}

// grant is a permit whose attempt the view does not show yet.
type grant struct {
	booking
	owner  string
	term   uint64
	window uint64
	// releasedAt is since when the owner no longer holds the permit; zero while it does.
	releasedAt time.Time
}

// pendingClaim is the part of a want that was not granted.
type pendingClaim struct {
	Claim
	since, renewedAt time.Time
	reserved         bool
	limitedBy        string
}

// NewAuthority returns an authority with no use booked and no permit granted.
func NewAuthority(t *Tree) *Authority {
	return &Authority{ledger: NewLedger(t), running: map[string]booking{}, grants: map[Attempt]*grant{}, latestRequests: map[string]requestID{},
		claims: map[string]*pendingClaim{}, yields: map[string]time.Time{}}
}

// Ledger returns the ledger of booked use, which callers must not change.
func (a *Authority) Ledger() *Ledger { return a.ledger }

// OverLimit returns the accounts whose protected services alone exceed the limit.
func (a *Authority) OverLimit() []string { return a.overLimit }

// OutstandingPermits returns the number of permits whose attempts the view does not show yet.
func (a *Authority) OutstandingPermits() int { return len(a.grants) }

// SetTree replaces the tree; use and grants stay booked.
func (a *Authority) SetTree(t *Tree) {
	l := NewLedger(t)
	for _, b := range a.running {
		l.AddUse(b.account, b.room)
	}
	for _, g := range a.grants {
		l.AddUse(g.account, g.room)
	}
	a.ledger, a.claims, a.reclaimedAt = l, map[string]*pendingClaim{}, time.Time{}
}

// SetRunning replaces the use booked for a job by that of the given attempts: those that the view shows on
// machines and that have not exited.
func (a *Authority) SetRunning(id string, j Job, attempts []Attempt) {
	if old, ok := a.running[id]; ok {
		a.book(old, -1)
		delete(a.running, id)
	}
	for _, attempt := range attempts {
		if g := a.grants[attempt]; g != nil { // its use is now booked as running
			a.book(g.booking, -1)
			delete(a.grants, attempt)
		}
	}
	if len(attempts) > 0 {
		b := booking{j.Account, j.Need.Scale(float64(len(attempts)))}
		a.book(b, 1)
		a.running[id] = b
	}
}

func (a *Authority) book(b booking, sign float64) { a.ledger.AddUse(b.account, b.room.Scale(sign)) }

// expireGrants drops grants that can no longer lead to a task that the view lacks. Such a grant is either no
// longer held by its owner, and all feeds in the view were requested after the release; or it is from before
// the present owners' first window, and all holders have adopted that window.
func (a *Authority) expireGrants(freshness Freshness) {
	for attempt, g := range a.grants {
		if !g.releasedAt.IsZero() && freshness.RequestedAt.After(g.releasedAt) || g.window < freshness.OwnersSince && freshness.Adopted {
			a.book(g.booking, -1)
			delete(a.grants, attempt)
		}
	}
}

// Lend answers a request; all grants are under the given permit. job looks up a job and returns false if it
// is not to be started; running lists the workloads that run in the tree.
func (a *Authority) Lend(r *Request, p Permit, freshness Freshness, job func(id string) (Job, bool), running func() []Workload, now time.Time) Reply {
	reply := Reply{Permit: p}
	id := requestID{r.Term, r.Number}
	if !id.isNewer(a.latestRequests[r.Caller]) {
		return reply // a copy, or a delayed request of a former process: what it lists as held is out of date
	}
	a.latestRequests[r.Caller] = id
	a.releaseUnheld(r, now)
	a.expireGrants(freshness)
	a.expireClaims(now)
	wanted := 0
	for _, w := range r.Wants {
		j, ok := job(w.Job)
		if wanted += len(w.Attempts); !ok || wanted > MaxAttemptsPerRequest && wanted > len(w.Attempts) {
			reply.Binds = append(reply.Binds, "")
			continue
		}
		granted, limitedBy := a.grantWant(r, &w, j, p.Window, now)
		reply.Granted = append(reply.Granted, granted...)
		reply.Binds = append(reply.Binds, limitedBy)
	}
	a.reclaim(running, now)
	for task := range a.yields {
		reply.Yield = append(reply.Yield, task)
	}
	slices.Sort(reply.Yield)
	return reply
}

// releaseUnheld notes the caller's permits that the request no longer lists as held.
func (a *Authority) releaseUnheld(r *Request, now time.Time) {
	held := make(map[Attempt]bool, len(r.Holding))
	for _, attempt := range r.Holding {
		held[attempt] = true
	}
	for attempt, g := range a.grants {
		if g.owner == r.Caller && g.releasedAt.IsZero() && (g.term != r.Term || !held[attempt]) {
			g.releasedAt = now
		}
	}
}

// grantWant grants the attempts of a want as far as the limits admit them, and keeps a claim for the rest. It returns
// the attempts granted and the account whose limit prevented the others, "" if all were granted.
func (a *Authority) grantWant(r *Request, w *Want, j Job, window uint64, now time.Time) (granted []Attempt, limitedBy string) {
	since := now
	if c := a.claims[w.Job]; c != nil {
		since = c.since
		a.dropClaim(w.Job)
	}
	groupSize := 1
	if w.Together {
		groupSize = len(w.Attempts)
	}
	denied := 0
	for k := 0; k+groupSize <= len(w.Attempts) && groupSize > 0; k += groupSize {
		admitted := false
		if denied == 0 {
			limitedBy, admitted = a.ledger.Admits(&Claim{Account: j.Account, Need: j.Need.Scale(float64(groupSize)), Rank: j.Rank})
		}
		if !admitted {
			denied += groupSize
			continue
		}
		for _, attempt := range w.Attempts[k : k+groupSize] {
			a.grant(attempt, &grant{booking: booking{j.Account, j.Need}, owner: r.Caller, term: r.Term, window: window})
		}
		granted = append(granted, w.Attempts[k:k+groupSize]...)
	}
	if denied > 0 {
		a.keepClaim(w.Job, &pendingClaim{Claim: Claim{Account: j.Account, Need: j.Need.Scale(float64(denied)), Rank: j.Rank}, since: since, renewedAt: now, limitedBy: limitedBy})
	}
	return granted, limitedBy
}

// grant books a permit for an attempt, in place of one that was granted in a reply that was lost.
func (a *Authority) grant(attempt Attempt, g *grant) {
	if old := a.grants[attempt]; old != nil {
		a.book(old.booking, -1)
	}
	a.book(g.booking, 1)
	a.grants[attempt] = g
}

// keepClaim keeps what was not granted to a job, with room reserved for it in turns.
func (a *Authority) keepClaim(id string, c *pendingClaim) {
	a.claims[id] = c
	if c.reserved = c.renewedAt.Sub(c.since)%(reservePeriod+bypassPeriod) < reservePeriod; c.reserved {
		a.ledger.Reserve(&c.Claim)
	}
}

func (a *Authority) dropClaim(id string) {
	if c := a.claims[id]; c.reserved {
		a.ledger.Release(&c.Claim)
	}
	delete(a.claims, id)
}

// expireClaims drops claims that their owners no longer make.
func (a *Authority) expireClaims(now time.Time) {
	for id, c := range a.claims {
		if now.Sub(c.renewedAt) > claimTTL {
			a.dropClaim(id)
		}
	}
}

// reclaim decides, once per reclaimInterval, what has to stop: work above a limit that was lowered, or else
// work that borrows what a waiting claim is guaranteed.
func (a *Authority) reclaim(running func() []Workload, now time.Time) {
	if now.Sub(a.reclaimedAt) < reclaimInterval {
		return
	}
	a.reclaimedAt = now
	exceeded := false
	for i := range a.ledger.nodes {
		exceeded = exceeded || !withinLimit(a.ledger.nodes[i].use, a.ledger.tree.accounts[i].Limit)
	}
	a.overLimit = nil
	if !exceeded && len(a.claims) == 0 {
		clear(a.yields)
		return
	}
	work := running()
	present := make(map[string]bool, len(work))
	for _, w := range work {
		present[w.ID] = true
	}
	maps.DeleteFunc(a.yields, func(task string, told time.Time) bool { return !present[task] || now.Sub(told) > yieldTimeout })
	if exceeded {
		// The plan is made for all running work, so tasks that were already told to stop and still run are in
		// it again.
		plan := Shrink(a.ledger.tree, work)
		a.overLimit = plan.OverLimit
		for _, w := range plan.Stop {
			a.requestYield(w.ID, now)
		}
		return
	}
	if len(a.yields) > 0 {
		return // tasks are already stopping
	}
	for _, id := range slices.Sorted(maps.Keys(a.claims)) {
		c := a.claims[id]
		if stop := Reclaim(a.ledger, &c.Claim, c.limitedBy, work); len(stop) > 0 {
			for _, w := range stop {
				a.requestYield(w.ID, now)
			}
			return
		}
	}
}

func (a *Authority) requestYield(task string, now time.Time) {
	if _, told := a.yields[task]; !told {
		a.yields[task] = now
	}
}
