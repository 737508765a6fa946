// Package inbox passes functions to actors. An actor is a goroutine that owns its state and runs the functions
// that it receives one after the other.
//
// A caller and a function that it passed may share variables only under the contract of Call: once Call has
// returned, the function has completed or never runs. For the contract to hold, and for every call to end, a
// function must be short and must not wait for its caller.
package inbox

import (
	"context"
	"sync/atomic"
)

// Inbox is the queue of the functions that an actor has received and not run yet.
type Inbox chan func()

// Post queues f and does not wait for it to run. It returns false if the caller's or the actor's context ended
// before there was room, in which case f never runs. A queued function runs unless the actor ends before.
func (i Inbox) Post(caller, actor context.Context, f func()) bool {
	select {
	case i <- f:
		return true
	case <-caller.Done():
		return false
	case <-actor.Done():
		return false
	}
}

// Call runs f on the actor and waits for it. It returns true if f has completed, and false if f never runs
// because the caller's or the actor's context ended before f began. If a context ends while f runs, Call still
// waits for f.
func (i Inbox) Call(caller, actor context.Context, f func()) bool {
	c := call{function: f, completed: make(chan struct{})}
	if !i.Post(caller, actor, c.run) {
		return false
	}
	select {
	case <-c.completed:
		return true
	case <-caller.Done():
	case <-actor.Done():
	}
	if c.claim() {
		return false
	}
	<-c.completed
	return true
}

// call is a function that the actor runs or that its caller withdraws, whichever claims it first.
type call struct {
	function  func()
	claimed   atomic.Bool
	completed chan struct{}
}

// claim reports whether the caller of claim is the first.
func (c *call) claim() bool { return c.claimed.CompareAndSwap(false, true) }

// run runs the function unless it was withdrawn.
func (c *call) run() {
	if c.claim() {
		c.function()
		close(c.completed)
	}
}
