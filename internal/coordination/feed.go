package coordination

import (
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// The feed, by which a holder reports its machines to all controllers.

// feed answers a feed request, after a wait if nothing changed.
func (h *Holder) feed(a FeedArgs, r *board.News) error {
	deadline := time.NewTimer(time.Duration(a.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for first := true; ; first = false {
		var wait chan struct{}
		hasNews := false
		if !h.ask(h.ctx, func() {
			if first {
				h.fences[a.Caller] = max(h.fences[a.Caller], a.Fence)
				h.adoptWindowUpTo(a.Window)
			}
			wait = h.versionChanged
			hasNews = h.entitled() && (h.version != a.Since || h.session.Term() != a.Incarnation)
		}) {
			return errControllerEnded
		}
		if !hasNews {
			select {
			case <-wait:
				// Collect changes that come at about the same time, for longer the more controllers ask.
				pause(h.ctx, time.Duration(len(h.cfg.Siblings)+1)*feedBatchDelay)
				continue
			case <-deadline.C:
			case <-h.ctx.Done():
				return errControllerEnded
			}
		}
		if !h.ask(h.ctx, func() { *r = h.newsSince(a) }) {
			return errControllerEnded
		}
		return nil
	}
}

// feedBatchDelay, times the number of controllers, is how long a feed reply waits for further changes.
const feedBatchDelay = 40 * time.Millisecond

// newsSince is the reply to a feed request as things stand.
func (h *Holder) newsSince(a FeedArgs) board.News {
	r := board.News{Incarnation: h.session.Term(), Version: h.version, Valid: h.session.Valid(), Entitled: h.entitled()}
	if h.stateLastServed != nil {
		r.ServedMs = max(1, time.Since(h.stateLastServed()).Milliseconds())
	}
	r.TellsStrays, r.StartsByAnswers = true, true
	if s := h.misrouted[a.Caller]; time.Since(s.at) < h.misroutedMaxAge() {
		r.Stray = s.Stray
		r.Stray.AgoMs = time.Since(s.at).Milliseconds()
	}
	if h.window != nil {
		r.Window = h.window.Number
	}
	if !r.Entitled {
		// Others may hold the slots, so the reply contains nothing about them and leaves the caller at the
		// version that it has.
		r.Incarnation, r.Version = a.Incarnation, a.Since
		return r
	}
	since := a.Since
	if a.Incarnation != r.Incarnation || len(h.removed) == maxRemoved && since < h.removed[0].version {
		r.Full, since = true, 0
	}
	for _, s := range h.slots {
		sv := board.SlotView{Slot: s.slot, Term: s.term, Complete: s.complete}
		if time.Since(s.adopted) > h.unresponsiveAfter()+2*time.Second {
			for id := range s.awaited {
				sv.Awaited = append(sv.Awaited, id)
			}
		}
		r.Slots = append(r.Slots, sv)
	}
	for _, w := range h.workersByID {
		if w.version > since && (w.verified || w.lapsed) {
			r.Machines = append(r.Machines, h.machineView(w))
		}
	}
	for _, g := range h.removed {
		if g.version > since {
			r.Gone = append(r.Gone, g.id)
		}
	}
	return r
}

func (h *Holder) machineView(w *worker) board.MachineView {
	v := board.MachineView{ID: w.id, Type: w.machineType, Zone: w.zone, Spot: w.spot, Slot: w.slot.slot, Term: w.slot.term,
		Free: h.freeRoom(w, true), Usable: h.startable(w), Silent: w.unresponsive || w.lapsed, Suspect: w.suspect, Leaving: w.reclaimNotice}
	if time.Now().Before(w.drainUntil) {
		if v.Vacates = w.vacating; len(w.entries) == 0 && !w.commandInFlight {
			v.Drained = w.drainSequence
		}
	}
	v.Sound = time.Since(w.lastSuccess) < placement.SoundFor
	for job := range w.failedJobs {
		if len(v.Failed) < placement.MaxFailedJobs {
			v.Failed = append(v.Failed, job)
		}
	}
	for _, i := range w.cachedImages {
		v.Images = append(v.Images, i.name)
	}
	for _, e := range w.entries {
		if j := h.jobs[e.job]; j != nil && (e.state == protocol.TaskPulling || e.unconfirmed()) && !slices.Contains(v.Pulling, j.Spec.Image) && !w.readyImages[j.Spec.Image] {
			v.Pulling = append(v.Pulling, j.Spec.Image)
		}
		v.Tasks = append(v.Tasks, board.TaskView{Task: e.task, Attempt: e.attempt, State: e.state, Cause: e.cause, Saved: e.saved})
	}
	return v
}
