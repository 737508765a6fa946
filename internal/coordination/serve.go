package coordination

import (
	"errors"
	"time"

	"daledyke/internal/board"
)

// The calls that a holder serves to its siblings and to its own controller.

// HolderRPC is the service that siblings, and the controller itself, may call.
type HolderRPC struct{ h *Holder }

// Errors of calls between controllers. Only errRequestVoid says that a request was refused; whoever gets
// another error does not know the outcome.
var (
	errRequestVoid     = errors.New("request is void or the holder may not act")
	errControllerEnded = errors.New("the controller has ended")
	errNotAnswered     = errors.New("not answered in time")
)

// Ask carries out an owner's request.
func (r HolderRPC) Ask(a AskArgs, reply *AskReply) error {
	accepted := false
	if !r.h.ask(r.h.ctx, func() { *reply, accepted = r.h.handleAsk(&a) }) {
		return errControllerEnded
	}
	if !accepted {
		return errRequestVoid
	}
	return nil
}

// Feed returns a controller's news, after a wait if there are none. It runs on the caller's goroutine.
func (r HolderRPC) Feed(a FeedArgs, reply *board.News) error { return r.h.feed(a, reply) }

// drainLifetime is how long a drain request stands without being repeated.
const drainLifetime = 12 * time.Second

// Drain keeps the given machines free of new tasks, and ends this for all others.
func (r HolderRPC) Drain(a DrainArgs, _ *Nothing) error {
	r.h.tell(func() { r.h.drain(&a) })
	return nil
}

func (h *Holder) drain(a *DrainArgs) {
	if a.Wish < h.lastDrainSequence {
		return // from a former leader
	}
	h.lastDrainSequence = a.Wish
	wanted, vacate := make(map[string]bool, len(a.Machines)), make(map[string]bool, len(a.Vacate))
	for _, id := range a.Machines {
		wanted[id] = true
	}
	for _, id := range a.Vacate {
		wanted[id], vacate[id] = true, true
	}
	now := time.Now()
	for id, w := range h.workersByID {
		draining := now.Before(w.drainUntil)
		switch {
		case wanted[id] && !vacate[id] && !draining && !w.suspect && len(w.entries) > 0:
			// It got work that the leader has not seen yet, so it is not idle any more.
		case wanted[id]:
			if !draining {
				w.drainSequence = a.Wish
			}
			w.drainUntil = now.Add(drainLifetime)
			for name, e := range w.entries {
				if e.state == board.TaskReserved || e.state == board.TaskQueued {
					delete(w.entries, name)
				}
			}
			if !draining || len(w.entries) == 0 || w.vacating != vacate[id] {
				h.markChanged(w)
			}
			w.vacating = vacate[id]
		case draining:
			w.drainUntil = time.Time{}
			h.markChanged(w)
		}
	}
}
