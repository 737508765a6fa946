package coordination

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// The owner's requests to holders, and their outcomes.

// requests collects the requests of a planning round, by holder.
type requests map[string]*AskArgs

type pendingStart struct {
	attempt           uint64
	machine           string
	holder            string
	holderIncarnation uint64
	slot              int
	slotTerm          uint64
	requestID         protocol.Token
	need              protocol.Room
	acked             bool
	outcomeUnknown    bool
	ackIncarnation    uint64
	ackVersion        uint64
}

func (o *Owner) requestFor(rq requests, m *board.Machine) *AskArgs {
	a := rq[m.Holder]
	if a == nil {
		a = &AskArgs{Caller: o.cfg.Name}
		rq[m.Holder] = a
	}
	return a
}

// newAttempt returns an attempt number that was never used: the session's term is unique, and the sequence
// number rises within it.
func (o *Owner) newAttempt() uint64 {
	o.seq++
	return uint64(protocol.NewToken(o.session.Term(), o.seq))
}

// addStart adds a start to the round's requests.
func (o *Owner) addStart(js *jobState, index int, attempt uint64, c placement.Choice, reserve bool, rq requests) {
	m := c.Machine
	slog.Debug("placing", "job", js.job.Spec.ID, "index", index, "class", js.job.Spec.Class, "machine", m.ID, "evict", len(c.Evict),
		"cached", slices.Contains(m.Images, js.job.Spec.Image), "waited", time.Since(js.job.Ready))
	a := o.requestFor(rq, m)
	a.Starts = append(a.Starts, Start{Task: protocol.TaskName(js.job.Spec.ID, index), Attempt: attempt, Machine: m.ID, Term: m.Term, Evict: c.Evict, Reserve: reserve,
		Permit: js.takePermit(index).Permit})
	o.noteAdmission(js.job.Spec, &a.Starts[len(a.Starts)-1])
	ps := &pendingStart{attempt: attempt, machine: m.ID, holder: m.Holder, holderIncarnation: o.peers[m.Holder].incarnation, slot: m.Slot, slotTerm: m.Term,
		need: js.job.Spec.Need()}
	js.pending[index] = ps
	if !reserve || js.job.Spec.Shape != protocol.Gang { // a gang counts once, when it starts
		o.recentPlacements.Record(js.job.Spec.Team, time.Now())
	}
	if o.teamUsageCache != nil {
		team := js.job.Spec.Team
		o.teamUsageCache.pending[team] = o.teamUsageCache.pending[team].Add(ps.need)
	}
	js.stale = true
	o.unresolved[js.job.Spec.ID] = js
	m.Request(ps.need)
}

// sendRequest sends a request to a holder. If no reply comes in time, the feed resolves its outcome by a
// fence.
func (o *Owner) sendRequest(name string, a *AskArgs) {
	o.seq++
	a.ID = protocol.NewToken(o.session.Term(), o.seq)
	a.Window = o.window().Number
	pendingStarts := make([]*pendingStart, len(a.Starts))
	for k, st := range a.Starts {
		job, index, _ := protocol.SplitTask(st.Task)
		pendingStarts[k] = o.jobs[job].pending[index]
		pendingStarts[k].requestID = a.ID
	}
	h := o.holders[name]
	if h == nil {
		o.handleReply(name, a, pendingStarts, nil, errRequestVoid)
		return
	}
	go func() {
		var r AskReply
		err := h.Ask(o.ctx, *a, &r)
		o.tell(func() { o.handleReply(name, a, pendingStarts, &r, err) })
	}()
}

func (o *Owner) handleReply(name string, a *AskArgs, pendingStarts []*pendingStart, r *AskReply, err error) {
	o.dirty = true
	refused := errors.Is(err, transport.ErrRefused) || err != nil && err.Error() == errRequestVoid.Error()
	if err != nil && !refused {
		o.peers[name].fence = max(o.peers[name].fence, uint64(a.ID)&(1<<32-1)+1)
		slog.Debug("request unanswered", "holder", name, "err", err)
	}
	for k, st := range a.Starts {
		job, index, _ := protocol.SplitTask(st.Task)
		js, ps := o.jobs[job], pendingStarts[k]
		if js == nil || js.pending[index] != ps {
			continue
		}
		js.stale = true
		switch {
		case refused:
			js.dropStart(index, 500*time.Millisecond)
		case err != nil:
			ps.outcomeUnknown = true
		case k < len(r.Refused) && r.Refused[k] != "":
			js.dropStart(index, 300*time.Millisecond)
		default:
			ps.acked, ps.ackIncarnation, ps.ackVersion = true, r.Incarnation, r.Version
			// The feed may have shown the start before the reply came.
			if p := o.peers[name]; o.outcomeShown(ps, name, p.incarnation, p.version) {
				delete(js.pending, index)
			}
		}
	}
}

// dropStart drops a start that was refused; unless the job has ended, the task may be started again after a
// delay.
func (js *jobState) dropStart(index int, delay time.Duration) {
	delete(js.pending, index)
	if !js.job.Final() {
		js.retryAt[index] = time.Now().Add(delay)
	}
}
