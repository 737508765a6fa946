package emulator

import (
	"container/heap"
	"context"
	"time"

	"daledyke/internal/inbox"
)

// loop is an actor with timers: one goroutine runs the functions it receives and the timers that expire, one
// at a time. One loop owns all state of the world except that of the state service, which has its own loop.
type loop struct {
	inbox inbox.Inbox
	ctx   context.Context
	due   timers
	seq   uint64
	began time.Time
}

// timer runs a function on the loop at a later time, unless it is stopped.
type timer struct {
	at  time.Time
	seq uint64 // orders timers that expire at the same time
	f   func() // nil after stop
}

type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, k int) bool {
	return t[i].at.Before(t[k].at) || t[i].at.Equal(t[k].at) && t[i].seq < t[k].seq
}
func (t timers) Swap(i, k int) { t[i], t[k] = t[k], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(*timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return x
}

// inboxCapacity is the number of functions that may wait for a loop.
const inboxCapacity = 256

func newLoop(ctx context.Context) *loop {
	l := &loop{inbox: make(inbox.Inbox, inboxCapacity), ctx: ctx, began: time.Now()}
	go l.run()
	return l
}

func (l *loop) run() {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	for {
		for len(l.due) > 0 && !time.Now().Before(l.due[0].at) {
			if t := heap.Pop(&l.due).(*timer); t.f != nil {
				t.f()
			}
		}
		if len(l.due) > 0 {
			clock.Reset(time.Until(l.due[0].at))
		}
		select {
		case f := <-l.inbox:
			f()
		case <-clock.C:
		case <-l.ctx.Done():
			return
		}
	}
}

// do runs f on the loop and waits for it. It returns false if the loop ended before f began, in which case f
// never runs. It must not be called on the loop.
func (l *loop) do(f func()) bool { return l.inbox.Call(l.ctx, l.ctx, f) }

// tell queues f and does not wait for it to run.
func (l *loop) tell(f func()) { l.inbox.Post(l.ctx, l.ctx, f) }

// after schedules f to run after d. It must be called on the loop.
func (l *loop) after(d time.Duration, f func()) *timer {
	l.seq++
	t := &timer{at: time.Now().Add(d), seq: l.seq, f: f}
	heap.Push(&l.due, t)
	return t
}

// stop cancels a timer, which may be nil. It must be called on the loop.
func (t *timer) stop() {
	if t != nil {
		t.f = nil
	}
}

// elapsed returns the time elapsed the loop started.
func (l *loop) elapsed() time.Duration { return time.Since(l.began) }
