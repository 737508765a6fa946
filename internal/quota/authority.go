package quota

import (
	"maps"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Permit lets one attempt at a task start. Holders take it only from the present
// authority: docs/design-quotas.md says why that keeps every limit.
type Permit struct {
	// Authority is the controller that gave it, Term its incarnation, Window the
	// number of the window by which it was the authority.
	Authority string
	Term      uint64
	Window    uint64
}

// Attempt is one attempt at a task.
type Attempt struct {
	Task   string
	Number uint64
}

// Want is what an owner asks permits for: attempts at tasks of one job, of a gang
// all or none.
type Want struct {
	Job      string
	Attempts []Attempt
	Together bool
}

// Request is what an owner asks the authority of a team's tree. Its requests go one
// after the other; it makes none before it has had news of all holders.
type Request struct {
	Team   string
	Caller string
	// Term is the caller's incarnation.
	Term  uint64
	Wants []Want
	// Holding are all attempts of the caller with a permit whose start is not
	// settled, used or not.
	Holding []Attempt
}

// Reply answers it.
type Reply struct {
	// Permit is that of all attempts granted.
	Permit  Permit
	Granted []Attempt
	// Binds names, for each want of which something was not granted, the account
	// whose limit binds.
	Binds []string
	// Yield are tasks of the caller's jobs that have to stop.
	Yield []string
}

// Job is what the authority has to know of a job.
type Job struct {
	Account string
	Need    protocol.Room // of one task
	Rank    int
}

// Seen is how far the authority's picture of all machines goes.
type Seen struct {
	// Asked is when the oldest of the holders' news was asked for that the picture
	// is made of.
	Asked time.Time
	// Present is the first window with the present owners, and Obeyed tells that
	// all holders obey it, and have shown all that they had accepted before.
	Present uint64
	Obeyed  bool
}

// How long things hold.
const (
	// claimLife is for how long a claim counts that is not made again.
	claimLife = 3 * time.Second
	// keepFor and letBy: a claim is kept room for so long, then not for so long.
	keepFor = 20 * time.Second
	letBy   = 20 * time.Second
	// reclaimEvery is how often it is looked for what has to stop.
	reclaimEvery = time.Second
	// yieldLife is for how long a task that was told to stop is waited for.
	yieldLife = 30 * time.Second
)

// MaxWanted bounds the attempts that one request is granted, but for a single gang.
const MaxWanted = 256

// Authority lends a tree's quotas to owners. It has one owner, who tells it what
// the board shows. Work for a request grows with what it asks and with the permits
// that are out, not with accounts or tasks.
type Authority struct {
	ledger *Ledger
	// counted are the tasks on machines, by job, as they were booked.
	counted map[string]booking
	// out are permits whose attempts the board has not shown.
	out map[Attempt]*lent
	// owners are the incarnations of those who asked.
	owners map[string]uint64
	claims map[string]*claim
	yields map[string]time.Time
	// looked is when it was last looked for what has to stop; over are accounts that
	// live services alone exceed.
	looked time.Time
	over   []string
}

type booking struct {
	account string
	room    protocol.Room
}

type lent struct {
	booking
	owner  string
	term   uint64
	window uint64
	// ended is since when its owner no longer holds it, zero while it does.
	ended time.Time
}

type claim struct {
	Claim
	since, made time.Time
	noted       bool
	binds       string
}

// NewAuthority makes an authority that has seen nothing yet.
func NewAuthority(t *Tree) *Authority {
	return &Authority{ledger: NewLedger(t), counted: map[string]booking{}, out: map[Attempt]*lent{}, owners: map[string]uint64{},
		claims: map[string]*claim{}, yields: map[string]time.Time{}}
}

// Ledger is what is counted; it must not be changed.
func (a *Authority) Ledger() *Ledger { return a.ledger }

// Over are accounts whose live services alone exceed the limit.
func (a *Authority) Over() []string { return a.over }

// Lent is how many permits are out that the board has not shown.
func (a *Authority) Lent() int { return len(a.out) }

// SetTree goes over to another tree; what is used and lent stays booked.
func (a *Authority) SetTree(t *Tree) {
	l := NewLedger(t)
	for _, b := range a.counted {
		l.Use(b.account, b.room)
	}
	for _, o := range a.out {
		l.Use(o.account, o.room)
	}
	a.ledger, a.claims, a.looked = l, map[string]*claim{}, time.Time{}
}

// Count books what the board shows of a job: attempts at its tasks that are on
// machines and have not exited.
func (a *Authority) Count(id string, j Job, there []Attempt) {
	if old, ok := a.counted[id]; ok {
		a.book(old, -1)
		delete(a.counted, id)
	}
	for _, at := range there {
		if o := a.out[at]; o != nil { // from now on it counts as what it is
			a.book(o.booking, -1)
			delete(a.out, at)
		}
	}
	if len(there) > 0 {
		b := booking{j.Account, j.Need.Scale(float64(len(there)))}
		a.book(b, 1)
		a.counted[id] = b
	}
}

func (a *Authority) book(b booking, sign float64) { a.ledger.Use(b.account, b.room.Scale(sign)) }

// settle forgets permits that can't have a task any more which the board lacks: the
// owner no longer holds them, or is none under the present windows, and all
// holders' news were asked for after that.
func (a *Authority) settle(seen Seen) {
	for at, o := range a.out {
		if !o.ended.IsZero() && seen.Asked.After(o.ended) || o.window < seen.Present && seen.Obeyed {
			a.book(o.booking, -1)
			delete(a.out, at)
		}
	}
}

// Lend answers a request under the permit given. job tells of jobs, false if they
// are not to be started; running lists what runs in the tree.
func (a *Authority) Lend(r *Request, p Permit, seen Seen, job func(id string) (Job, bool), running func() []Work, now time.Time) Reply {
	reply := Reply{Permit: p}
	if r.Term < a.owners[r.Caller] {
		return reply // a former process, late
	}
	a.owners[r.Caller] = r.Term
	holding := make(map[Attempt]bool, len(r.Holding))
	for _, at := range r.Holding {
		holding[at] = true
	}
	for at, o := range a.out {
		if o.owner == r.Caller && o.ended.IsZero() && (o.term != r.Term || !holding[at]) {
			o.ended = now
		}
	}
	a.settle(seen)
	a.expire(now)
	wanted := 0
	for _, w := range r.Wants {
		binds := ""
		j, ok := job(w.Job)
		if wanted += len(w.Attempts); !ok || wanted > MaxWanted && wanted > len(w.Attempts) {
			reply.Binds = append(reply.Binds, binds)
			continue
		}
		since := now
		if c := a.claims[w.Job]; c != nil {
			since = c.since
			a.drop(w.Job)
		}
		each := 1
		if w.Together {
			each = len(w.Attempts)
		}
		denied := 0
		for k := 0; k+each <= len(w.Attempts) && each > 0; k += each {
			c := &Claim{Account: j.Account, Need: j.Need.Scale(float64(each)), Rank: j.Rank}
			if denied == 0 {
				binds, ok = a.ledger.Admits(c)
			}
			if denied > 0 || !ok {
				denied += each
				continue
			}
			for _, at := range w.Attempts[k : k+each] {
				if old := a.out[at]; old != nil { // granted in an answer that got lost
					a.book(old.booking, -1)
				}
				o := &lent{booking: booking{j.Account, j.Need}, owner: r.Caller, term: r.Term, window: p.Window}
				a.book(o.booking, 1)
				a.out[at] = o
			}
			reply.Granted = append(reply.Granted, w.Attempts[k:k+each]...)
		}
		if denied > 0 {
			c := &claim{Claim: Claim{Account: j.Account, Need: j.Need.Scale(float64(denied)), Rank: j.Rank}, since: since, made: now, binds: binds}
			a.claims[w.Job] = c
			if c.noted = now.Sub(since)%(keepFor+letBy) < keepFor; c.noted {
				a.ledger.Wait(&c.Claim)
			}
		}
		reply.Binds = append(reply.Binds, binds)
	}
	a.look(running, now)
	for task := range a.yields {
		reply.Yield = append(reply.Yield, task)
	}
	slices.Sort(reply.Yield)
	return reply
}

func (a *Authority) drop(id string) {
	if c := a.claims[id]; c.noted {
		a.ledger.Settle(&c.Claim)
	}
	delete(a.claims, id)
}

// expire drops claims that are no longer made.
func (a *Authority) expire(now time.Time) {
	for id, c := range a.claims {
		if now.Sub(c.made) > claimLife {
			a.drop(id)
		}
	}
}

// look works out now and then what has to stop: what exceeds a limit that fell,
// and what is lent to others than those who ask for it.
func (a *Authority) look(running func() []Work, now time.Time) {
	if now.Sub(a.looked) < reclaimEvery {
		return
	}
	a.looked = now
	exceeded := false
	for i := range a.ledger.nodes {
		exceeded = exceeded || !within(a.ledger.nodes[i].use, a.ledger.tree.accounts[i].Limit)
	}
	a.over = nil
	if !exceeded && len(a.claims) == 0 {
		clear(a.yields)
		return
	}
	work := running()
	there := make(map[string]bool, len(work))
	for _, w := range work {
		there[w.ID] = true
	}
	maps.DeleteFunc(a.yields, func(task string, told time.Time) bool { return !there[task] || now.Sub(told) > yieldLife })
	if exceeded {
		// All of it anew: what was told to stop and is still there is among it.
		plan := Shrink(a.ledger.tree, work)
		a.over = plan.Over
		for _, w := range plan.Stop {
			a.tell(w.ID, now)
		}
		return
	}
	if len(a.yields) > 0 {
		return // room is on its way
	}
	for _, id := range slices.Sorted(maps.Keys(a.claims)) {
		c := a.claims[id]
		if stop := Reclaim(a.ledger, &c.Claim, c.binds, work); len(stop) > 0 {
			for _, w := range stop {
				a.tell(w.ID, now)
			}
			return
		}
	}
}

func (a *Authority) tell(task string, now time.Time) {
	if _, told := a.yields[task]; !told {
		a.yields[task] = now
	}
}
