// Package coordination decides which tasks run where. Its parts are actors: session (whether the controller
// may act), holder (the workers of the slots that this controller holds), owner (the jobs in this
// controller's range of the ring) and leader (windows, assignments of slots, renting). Each owns its state;
// they communicate through their inboxes.
//
// Three ways lead into an actor's inbox. tell is for what has to happen whatever becomes of the caller, such as
// a change of a record. ask and askFor are for what only the caller wants: when they return, the function has
// completed or never runs. submitFor is for what has to happen and has a result, such as the confirmation of a
// cancellation.
package coordination

import (
	"context"
	"log/slog"
	"time"

	"daledyke/internal/inbox"
)

// actor runs the functions in its inbox one after the other.
type actor struct {
	inbox inbox.Inbox
	ctx   context.Context
}

// inboxCapacity is the number of functions that may wait in an actor's inbox.
const inboxCapacity = 1024

func newActor(ctx context.Context) actor {
	return actor{inbox: make(inbox.Inbox, inboxCapacity), ctx: ctx}
}

// tell queues f, which is dropped once the actor has ended.
func (a *actor) tell(f func()) { a.inbox.Post(a.ctx, a.ctx, f) }

// ask runs f on the actor and waits for it; false if ctx or the actor ended before f began, in which case f
// never runs.
func (a *actor) ask(ctx context.Context, f func()) bool { return a.inbox.Call(ctx, a.ctx, f) }

// askFor runs f on an actor and returns its result; false if ctx or the actor ended before f began, in which
// case f never runs.
func askFor[T any](ctx context.Context, a *actor, f func() T) (result T, ok bool) {
	ok = a.ask(ctx, func() { result = f() })
	return result, ok
}

// submitFor runs f on an actor and returns its result. It returns false if ctx or the actor ended before the
// result was there. Once queued, f runs all the same unless the actor ends, so f must not use variables that
// the caller goes on to use.
func submitFor[T any](ctx context.Context, a *actor, f func() T) (result T, ok bool) {
	answer := make(chan T, 1)
	if !a.inbox.Post(ctx, a.ctx, func() { answer <- f() }) {
		return result, false
	}
	select {
	case result = <-answer:
		return result, true
	case <-ctx.Done():
	case <-a.ctx.Done():
	}
	return result, false
}

// loop runs the inbox and a regular tick until the actor ends.
func (a *actor) loop(name string, every time.Duration, tick func()) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			slog.Info("actor ended", "actor", name, "calls not run", len(a.inbox))
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
