package coordination

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/history"
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
	starts  []sentStart
}

// sentStart is a request between controllers to start tasks, and the controller that it was sent to.
type sentStart struct {
	to      string
	request AskArgs
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

// noteStarts keeps a request that starts tasks.
func (c *requestCopies) noteStarts(to string, a AskArgs) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(a.Starts) > 0 {
		c.starts = append(c.starts, sentStart{to, a})
	}
}

// resendStarts delivers a copy of each kept request that starts the task, and returns their number.
func (c *requestCopies) resendStarts(task string) (copies int) {
	c.lock.Lock()
	starts, serving := slices.Clone(c.starts), maps.Clone(c.serving)
	c.lock.Unlock()
	for _, s := range starts {
		if slices.ContainsFunc(s.request.Starts, func(st Start) bool { return st.Task == task }) {
			HolderRPC{serving[s.to].holder}.Ask(s.request, &AskReply{})
			copies++
		}
	}
	return copies
}

func (r copiedHolder) Ask(a AskArgs, reply *AskReply) error {
	r.copies.noteStarts(r.name, a)
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

// Guards against late copies of a request to start a task that is running, was moved, cancelled or is done: copies arrive
// every 50 ms for 4 s, so that some meet a report that waits for its answer, at controllers and machines that stayed, or
// were away for 0.3 s right before. No copy may start the task.
func TestLateCopiesOfStarts(t *testing.T) {
	const fill = "submit wk-1 array 1 cores=7 accels=0 types=small urgency=idle run="
	for name, steps := range map[string][]string{
		"running":   {fill + "100s"},
		"cancelled": {fill + "100s", "sleep 10s", "cancel wk-1", "sleep 5s"},
		"done":      {fill + "5s", "sleep 12s", "expect wk-1 done"},
		"moved":     {fill + "100s", "sleep 10s", "submit wk-2 array 1 run=30s cores=7 accels=0 types=small urgency=critical", "sleep 3s", "capacity 2", "sleep 31s", "expect wk-2 done", "expect wk-1 starts 2"},
	} {
		for back, away := range map[string][]string{
			"nobody":      nil,
			"controllers": {"crash c0 c1 c2", "sleep 300ms", "start c0 c1 c2"},
			"machine":     {"machine wk-9/0 reboots"},
			"both":        {"crash c0 c1 c2", "machine wk-9/0 reboots", "sleep 300ms", "start c0 c1 c2"},
		} {
			t.Run(name+"/"+back, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playCopiesOfStarts(t, steps, away, name == "running") })
			})
		}
	}
}

// playCopiesOfStarts plays steps, then lets controllers and a machine come back, and copies arrive. A task that was running
// on the machine may be started once more because of the reboot.
func playCopiesOfStarts(t *testing.T, steps, away []string, mayRestart bool) {
	w := newWorld(t, 3, "", "")
	defer w.shutDown()
	run := func(step string) {
		words := strings.Fields(step)
		if words[0] == "sleep" {
			d, _ := time.ParseDuration(words[1])
			time.Sleep(d)
		} else if err := w.step(words[0], words[1:]); err != nil {
			t.Errorf("%s: %v", step, err)
		}
	}
	starts := func() (n int) {
		w.em.WithChecker(func(r *history.Checker) { n = r.Starts("wk-1") })
		return n
	}
	for _, step := range []string{"capacity 1", "sleep 2s", "submit wk-9 service 1 cores=1 accels=0 types=small urgency=critical", "sleep 20s"} {
		run(step)
	}
	for _, step := range append(slices.Clone(steps), "sleep 5s") {
		run(step)
	}
	before := starts()
	for _, step := range away {
		run(step)
	}
	copies := 0
	for range 80 {
		copies += w.copies.resendStarts("wk-1/0")
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	if copies < 80 || before == 0 {
		t.Errorf("%d copies arrived after %d starts: nothing was tested", copies, before)
	}
	if after := starts(); after > before && !(mayRestart && after == before+1) {
		t.Errorf("%d starts, %d of them after the copies began to arrive", after, after-before)
	}
}
