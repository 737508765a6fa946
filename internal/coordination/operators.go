package coordination

import (
	"context"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// What operators ask of a controller.

// viewWithin bounds how long a part of the controller is waited for.
const viewWithin = time.Second

// Overview sums up what this controller knows. What does not answer in time is
// named and left out.
func (k *Controller) Overview(ctx context.Context) *protocol.Overview {
	now := time.Now()
	v := &protocol.Overview{Controller: k.cfg.Name, Zone: k.cfg.Zone, UpS: *seconds(now.Sub(k.started)), Generation: bookkeeping.Generation,
		Session: protocol.SessionView{Valid: k.session.Valid(), Term: k.session.Term(), LeftS: *seconds(k.session.Left()), WorkersUnreachable: k.session.WorkersUnreachable()},
		State:   clientView(&k.state.Counts), Cloud: clientView(&k.leader.cloud.Counts)}
	v.State.Changes = k.store.Changes()
	var owner, holder, leader bool
	v.OwnerView, owner = view(ctx, &k.owner.actor, k.owner.overview)
	v.Holds, holder = view(ctx, &k.holder.actor, k.holder.overview)
	v.Leader, leader = view(ctx, &k.leader.actor, func() string {
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

// JobView tells operators how a job stands, as far as this controller knows;
// nil if it knows nothing of it.
func (k *Controller) JobView(ctx context.Context, id string) (*protocol.JobView, error) {
	v, ok := view(ctx, &k.owner.actor, func() *protocol.JobView {
		js := k.owner.jobs[id]
		if js == nil {
			return nil
		}
		v := k.owner.jobView(js, time.Now())
		return &v
	})
	if !ok {
		return nil, ErrLater
	}
	return v, nil
}

// view asks a part of the controller for what it shows, for no longer than
// viewWithin.
func view[T any](ctx context.Context, a *actor, f func() T) (T, bool) {
	ctx, cancel := context.WithTimeout(ctx, viewWithin)
	defer cancel()
	return askFor(ctx, a, f)
}

func clientView(c *transport.Counts) protocol.ClientView {
	return protocol.ClientView{Requests: c.Requests.Load(), Refused: c.Refused.Load(), Unanswered: c.Unanswered.Load(), NoBudget: c.NoBudget.Load()}
}
