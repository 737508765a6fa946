package coordination

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// What an owner asks holders to do, and what becomes of it.

// requests collects what a planning round asks of each holder.
type requests map[string]*AskArgs

type pendingStart struct {
	attempt uint64
	machine string
	holder  string
	inc     uint64
	slot    int
	term    uint64
	id      protocol.Token
	need    protocol.Room
	acked   bool
	unknown bool
	ackInc  uint64
	version uint64
}

func (o *Owner) to(rq requests, m *board.Machine) *AskArgs {
	a := rq[m.Holder]
	if a == nil {
		a = &AskArgs{Caller: o.cfg.Name}
		rq[m.Holder] = a
	}
	return a
}

// newAttempt gives an attempt number that was never used: the controller's
// incarnation is unique, and the sequence rises within it.
func (o *Owner) newAttempt() uint64 {
	o.seq++
	return uint64(protocol.NewToken(o.session.Term(), o.seq))
}

// start adds a start to the round's requests.
func (o *Owner) start(js *jobState, index int, attempt uint64, c placement.Choice, reserve bool, rq requests) {
	m := c.Machine
	slog.Debug("placing", "job", js.job.Spec.ID, "index", index, "class", js.job.Spec.Class, "machine", m.ID, "evict", len(c.Evict),
		"cached", slices.Contains(m.Images, js.job.Spec.Image), "waited", time.Since(js.job.Ready))
	a := o.to(rq, m)
	a.Starts = append(a.Starts, Start{Task: protocol.TaskName(js.job.Spec.ID, index), Attempt: attempt, Machine: m.ID, Term: m.Term, Evict: c.Evict, Reserve: reserve,
		Permit: js.takePermit(index).Permit})
	ps := &pendingStart{attempt: attempt, machine: m.ID, holder: m.Holder, inc: o.peers[m.Holder].incarnation, slot: m.Slot, term: m.Term,
		need: js.job.Spec.Need()}
	js.pending[index] = ps
	if !reserve || js.job.Spec.Shape != protocol.Gang { // a gang counts once, when it starts
		o.lately.Placed(js.job.Spec.Team, time.Now())
	}
	if o.teams != nil {
		team := js.job.Spec.Team
		o.teams.pending[team] = o.teams.pending[team].Add(ps.need)
	}
	js.stale = true
	o.unclear[js.job.Spec.ID] = js
	m.Promised = m.Promised.Add(ps.need)
}

// send makes a request of a holder. Its outcome, if it doesn't come in time,
// is found out by the feed behind a fence.
func (o *Owner) send(name string, a *AskArgs) {
	o.seq++
	a.ID = protocol.NewToken(o.session.Term(), o.seq)
	a.Window = o.window().Number
	mine := make([]*pendingStart, len(a.Starts))
	for k, st := range a.Starts {
		job, index, _ := protocol.SplitTask(st.Task)
		mine[k] = o.jobs[job].pending[index]
		mine[k].id = a.ID
	}
	h := o.holders[name]
	if h == nil {
		o.answered(name, a, mine, nil, errNotNow)
		return
	}
	go func() {
		var r AskReply
		err := h.Ask(o.ctx, *a, &r)
		o.tell(func() { o.answered(name, a, mine, &r, err) })
	}()
}

func (o *Owner) answered(name string, a *AskArgs, mine []*pendingStart, r *AskReply, err error) {
	o.dirty = true
	refused := errors.Is(err, transport.ErrRefused) || err != nil && err.Error() == errNotNow.Error()
	if err != nil && !refused {
		o.peers[name].fence = max(o.peers[name].fence, uint64(a.ID)&(1<<32-1)+1)
		slog.Debug("request unanswered", "holder", name, "err", err)
	}
	for k, st := range a.Starts {
		job, index, _ := protocol.SplitTask(st.Task)
		js := o.active[job]
		ghost := quota.Attempt{Task: st.Task, Number: st.Attempt}
		if o.quotas.orphanedStarts[ghost] == mine[k] {
			// Its job is over; what became of the start still counts for quotas.
			if refused || err == nil && k < len(r.Refused) && r.Refused[k] != "" {
				delete(o.quotas.orphanedStarts, ghost)
			} else if mine[k].unknown = err != nil; err == nil {
				mine[k].acked, mine[k].ackInc, mine[k].version = true, r.Incarnation, r.Version
			}
			continue
		}
		if js == nil || js.pending[index] != mine[k] {
			continue
		}
		js.stale = true
		switch {
		case refused:
			delete(js.pending, index)
			js.retryAt[index] = time.Now().Add(500 * time.Millisecond)
		case err != nil:
			mine[k].unknown = true
		case k < len(r.Refused) && r.Refused[k] != "":
			delete(js.pending, index)
			js.retryAt[index] = time.Now().Add(300 * time.Millisecond)
		default:
			mine[k].acked, mine[k].ackInc, mine[k].version = true, r.Incarnation, r.Version
			// The feed may have shown it before the answer came.
			if p := o.peers[name]; o.outcomeShown(mine[k], name, p.incarnation, p.version) {
				delete(js.pending, index)
			}
		}
	}
}
