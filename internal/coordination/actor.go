// Package coordination decides what runs where. Its parts are actors: session
// (a controller's standing), holder (the workers assigned to this controller),
// owner (the jobs in this controller's range of the ring) and leader (windows,
// assignments of slots, renting). Each owns its state; they talk through their inboxes.
package coordination

import (
	"context"
	"time"
)

// actor runs what it is told, one thing after the other.
type actor struct {
	inbox chan func()
	ctx   context.Context
}

func newActor(ctx context.Context) actor {
	return actor{inbox: make(chan func(), 1024), ctx: ctx}
}

// tell queues f; it is dropped once the actor has ended.
func (a *actor) tell(f func()) {
	select {
	case a.inbox <- f:
	case <-a.ctx.Done():
	}
}

// ask runs f on the actor and waits for it; false if ctx ended first, in
// which case f may still run later.
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

// askFor has f run on an actor and gives what it returns; false if ctx ended
// first, in which case nothing is given, however late f runs.
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
