package coordination

import (
	"context"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Requests of operators.

// viewTimeout bounds the wait for one actor of the controller.
const viewTimeout = time.Second

// Overview summarises the state of this controller. Actors that do not answer in time are listed as busy and
// left out.
func (k *Controller) Overview(ctx context.Context) *protocol.Overview {
	now := time.Now()
	v := &protocol.Overview{Controller: k.cfg.Name, Zone: k.cfg.Zone, UpS: *seconds(now.Sub(k.started)), Generation: bookkeeping.Generation,
		Session: protocol.SessionView{Valid: k.session.Valid(), Term: k.session.Term(), LeftS: *seconds(k.session.Left()), WorkersUnreachable: k.session.WorkersUnreachable()},
		State:   clientView(&k.state.Counts), Cloud: clientView(&k.leader.cloud.Counts)}
	v.State.Changes = k.store.Changes()
	var owner, holder, leader bool
	v.OwnerView, owner = askWithTimeout(ctx, &k.owner.actor, k.owner.overview)
	v.Holds, holder = askWithTimeout(ctx, &k.holder.actor, k.holder.overview)
	v.Leader, leader = askWithTimeout(ctx, &k.leader.actor, func() string {
		if k.leader.leader == nil {
			return ""
		}
		return k.leader.leader.Name
	})
	for _, part := range []struct {
		name     string
		answered bool
	}{{"owner", owner}, {"holder", holder}, {"leader", leader}} {
		if !part.answered {
			v.Busy = append(v.Busy, part.name)
		}
	}
	return v
}

// JobView returns the view of a job for operators, as far as this controller knows it; nil if it does not
// know the job.
func (k *Controller) JobView(ctx context.Context, id string) (*protocol.JobView, error) {
	v, ok := askWithTimeout(ctx, &k.owner.actor, func() *protocol.JobView {
		js := k.owner.jobs[id]
		if js == nil {
			return nil
		}
		v := k.owner.jobView(js, time.Now())
		return &v
	})
	if !ok {
		return nil, ErrRetryLater
	}
	return v, nil
}

// askWithTimeout runs f on an actor and returns its result; false if the actor did not answer within
// viewTimeout.
func askWithTimeout[T any](ctx context.Context, a *actor, f func() T) (T, bool) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return askFor(ctx, a, f)
}

func clientView(c *transport.Counts) protocol.ClientView {
	return protocol.ClientView{Requests: c.Requests.Load(), Refused: c.Refused.Load(), Unanswered: c.Unanswered.Load(), NoBudget: c.NoBudget.Load()}
}
