// Package coordination decides which tasks run where. Its parts are actors: session (whether the controller
// may act), holder (the workers of the slots that this controller holds), owner (the jobs in this
// controller's range of the ring) and leader (windows, assignments of slots, renting). Each owns its state;
// they communicate through their inboxes.
package coordination

import (
	"context"
	"time"
)

// actor runs the functions in its inbox one after the other.
type actor struct {
	inbox chan func()
	ctx   context.Context
}

func newActor(ctx context.Context) actor {
	return actor{inbox: make(chan func(), 1024), ctx: ctx}
}

// tell queues f, which is dropped once the actor has ended.
func (a *actor) tell(f func()) {
	select {
	case a.inbox <- f:
	case <-a.ctx.Done():
	}
}

// ask runs f on the actor and waits for it; false if ctx or the actor ended first, in which case f may still
// run later.
func (a *actor) ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	g := func() { f(); close(done) }
	select {
	case a.inbox <- g:
	case <-ctx.Done():
		return false
	case <-a.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-a.ctx.Done():
		return false
	}
}

// askFor runs f on an actor and returns its result; false if ctx or the actor ended first, in which case
// there is no result even if f runs later.
func askFor[T any](ctx context.Context, a *actor, f func() T) (t T, ok bool) {
	answer := make(chan T, 1)
	if !a.ask(ctx, func() { answer <- f() }) {
		return t, false
	}
	return <-answer, true
}

// loop runs the inbox and a regular tick until the actor ends.
func (a *actor) loop(every time.Duration, tick func()) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case f := <-a.inbox:
			f()
		case <-t.C:
			tick()
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
