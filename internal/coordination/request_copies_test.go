package coordination

import (
	"context"
	"sync"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

// requestCopies repeats requests between controllers: a copy of each that was carried out arrives once more, at
// whatever process then serves under the name, and its reply is dropped. Feed requests are not repeated since they
// read only and raise fences.
type requestCopies struct {
	ctx     context.Context
	lock    sync.Mutex // the copies are used by the servers of all controllers
	delay   time.Duration
	serving map[string]*Controller
}

func newRequestCopies(ctx context.Context) *requestCopies {
	return &requestCopies{ctx: ctx, serving: map[string]*Controller{}}
}

// setDelay sets the delay of copies; 0 ends them, except for those that are on their way.
func (c *requestCopies) setDelay(delay time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.delay = delay
}

// receivers returns the net/rpc services of a controller, which serves under the name from now on.
func (c *requestCopies) receivers(name string, k *Controller) map[string]any {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.serving[name] = k
	return map[string]any{holderServiceName: copiedHolder{HolderRPC{k.holder}, c, name}, quotaServiceName: copiedQuotas{QuotaRPC{k}, c, name}}
}

// repeat carries out a copy of a request after the delay.
func (c *requestCopies) repeat(name string, request func(*Controller)) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.delay == 0 {
		return
	}
	time.AfterFunc(c.delay, func() {
		c.lock.Lock()
		k := c.serving[name]
		c.lock.Unlock()
		if c.ctx.Err() == nil {
			request(k)
		}
	})
}

// copiedHolder is a holder's service whose requests are repeated.
type copiedHolder struct {
	HolderRPC
	copies *requestCopies
	name   string
}

func (r copiedHolder) Ask(a AskArgs, reply *AskReply) error {
	r.copies.repeat(r.name, func(k *Controller) { HolderRPC{k.holder}.Ask(a, &AskReply{}) })
	return r.HolderRPC.Ask(a, reply)
}

func (r copiedHolder) Drain(a DrainArgs, reply *Nothing) error {
	r.copies.repeat(r.name, func(k *Controller) { HolderRPC{k.holder}.Drain(a, &Nothing{}) })
	return r.HolderRPC.Drain(a, reply)
}

func (r copiedHolder) Announce(a AnnounceArgs, reply *Nothing) error {
	r.copies.repeat(r.name, func(k *Controller) { HolderRPC{k.holder}.Announce(a, &Nothing{}) })
	return r.HolderRPC.Announce(a, reply)
}

func (r copiedHolder) Promise(a PromiseArgs, reply *PromiseReply) error {
	r.copies.repeat(r.name, func(k *Controller) { HolderRPC{k.holder}.Promise(a, &PromiseReply{}) })
	return r.HolderRPC.Promise(a, reply)
}

func (r copiedHolder) Feed(a FeedArgs, reply *board.News) error { return r.HolderRPC.Feed(a, reply) }

// copiedQuotas is a quota service whose requests for permits are repeated.
type copiedQuotas struct {
	QuotaRPC
	copies *requestCopies
	name   string
}

func (q copiedQuotas) Lend(a quota.Request, reply *quota.Reply) error {
	q.copies.repeat(q.name, func(k *Controller) { QuotaRPC{k}.Lend(a, &quota.Reply{}) })
	return q.QuotaRPC.Lend(a, reply)
}

// Guards against a request that is carried out twice: a copy of it, and a request that was overtaken by a later one of
// the same caller, are void, also for a caller that began anew meanwhile.
func TestRequestIsCarriedOutOnce(t *testing.T) {
	withUsableMachine(t, func(t *testing.T, h *Holder, w *worker) {
		h.adoptWindow(&bookkeeping.Window{Number: 1, Owners: []string{"c1"}})
		request := func(term, number uint64) bool {
			_, ok := h.handleAsk(&AskArgs{Caller: "c1", ID: protocol.NewToken(term, number), Window: 1})
			return ok
		}
		for _, step := range []struct {
			term, number uint64
			carriedOut   bool
		}{{4, 1, true}, {4, 1, false}, {4, 3, true}, {4, 2, false}, {4, 3, false}, {6, 1, true}, {4, 4, false}, {6, 1, false}, {6, 2, true}} {
			if got := request(step.term, step.number); got != step.carriedOut {
				t.Errorf("request %d of term %d is carried out: %v, want %v", step.number, step.term, got, step.carriedOut)
			}
		}
	})
}
