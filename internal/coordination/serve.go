package coordination

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// What a holder does for owners and the leader: the admission check.

// startable tells whether tasks may be started on a machine.
func (h *Holder) startable(w *worker) bool { return h.usable(w) && !w.ack.awaitsAck() }

// usable tells whether tasks may be started on a machine that hears.
func (h *Holder) usable(w *worker) bool {
	return w.verified && w.slot.ready && !w.lapsed && !w.unresponsive && !w.reportsLost && !w.notice && w.doubted.IsZero() && !w.suspect && h.registry[w.id] != nil &&
		w.slot.roster[protocol.MachineNumber(w.id)] && time.Now().After(w.drainTill)
}

// maxStale bounds how old the holder's picture of job states may be when it
// starts a task.
const maxStale = 10 * time.Second

// serve carries out an owner's request: the admission check (invariant 5).
func (h *Holder) serve(a *AskArgs) (r AskReply, ok bool) {
	h.obeyUpTo(a.Window)
	if a.ID < h.fences[a.Caller] || h.window == nil || a.Window > h.window.Number || !h.session.Valid() {
		return r, false
	}
	if a.Window < h.ownersSince {
		// A caller that was cut off may still go by a window from before it
		// lost its range, and have got the range back since: what it knows
		// leaves out what others started in between.
		return r, false
	}
	for _, st := range a.Stops {
		h.stop(a, st)
	}
	now := time.Now()
	for _, st := range a.Starts {
		why := h.start(a, st, now)
		r.Refused = append(r.Refused, why)
		if why != "" {
			slog.Debug("start refused", "task", st.Task, "machine", st.Machine, "why", why)
		}
	}
	touched := map[string]bool{}
	for _, st := range a.Starts {
		touched[st.Machine] = true
	}
	for _, st := range a.Stops {
		touched[st.Machine] = true
	}
	for id := range touched {
		if w := h.byID[id]; w != nil {
			h.touch(w)
			h.sendCommands(w)
		}
	}
	r.Incarnation, r.Version = h.session.Term(), h.version
	return r, true
}

// start admits a task to a machine, or tells why not.
func (h *Holder) start(a *AskArgs, st Start, now time.Time) (refusal string) {
	w := h.byID[st.Machine]
	jobID, index, ok := protocol.SplitTask(st.Task)
	if !ok || w == nil || h.slots[w.slot.slot] != w.slot {
		return "not held here"
	}
	if st.Term != 0 && st.Term != w.slot.term {
		return "asked for under another term"
	}
	j := h.jobs[jobID]
	if refusal := h.refusesJob(a.Caller, j, index, now); refusal != "" {
		return refusal
	}
	if !h.startable(w) {
		return "machine not usable"
	}
	if !j.Spec.Allows(w.rig, w.zone, w.spot) {
		return "machine not allowed"
	}
	reserved := w.entries[st.Task]
	if reserved != nil && !(reserved.state == board.TaskReserved && reserved.attempt == st.Attempt) {
		return "already there"
	}
	// Room may be reserved for a task that runs elsewhere and is about to be moved: nothing
	// starts by that. Before it does, the task must be gone from there.
	if !st.Reserve && h.isElsewhere(w, st.Task) {
		return "elsewhere here"
	}
	// What was reserved had its permit.
	if team := j.Spec.Team; reserved == nil && h.quotas.Has(team) && !h.permits(st.Permit, team) {
		return "no permit"
	}
	delete(w.entries, st.Task)
	// What was reserved was granted; its room may still be in use by tasks that
	// were told to make way.
	if ahead := st.Reserve && st.Ahead; ahead && w.keptAhead(st.Task) {
		return "kept for another"
	} else if reserved == nil && !ahead && !h.roomFor(w, st).Fits(j.Spec.Need()) {
		return "no room"
	}
	h.evict(w, st.Evict)
	e := &entry{task: st.Task, job: jobID, index: index, attempt: st.Attempt, state: board.TaskQueued, until: now.Add(queuedFor)}
	if st.Reserve {
		e.state, e.until, e.ahead = board.TaskReserved, now.Add(reservedFor), st.Ahead
	}
	w.entries[st.Task] = e
	return ""
}

// queuedFor is for how long a task that was admitted waits for room to come free.
const queuedFor = 20 * time.Second

// refusesJob tells why a task of a job is not to be started for a caller, wherever.
func (h *Holder) refusesJob(caller string, j *bookkeeping.Job, index int, now time.Time) string {
	switch {
	case j == nil || h.over(j.Spec.ID) || index >= j.Spec.Tasks || j.TaskDone(index):
		return "not to be run"
	case j.Waits > 0:
		return "waits for other jobs" // what is not known to be done is not
	case h.window.OwnerOf(j, index) != caller:
		return "not the owner"
	case now.Sub(h.syncedAt) > maxStale:
		return "records too old"
	}
	return ""
}

// isElsewhere tells whether a task may be on another machine of this holder's.
func (h *Holder) isElsewhere(w *worker, task string) bool {
	for _, other := range h.byID {
		if e := other.entries[task]; other != w && e != nil && !e.exited() && e.state != board.TaskReserved {
			return true
		}
	}
	return false
}

// roomFor is the room on a machine once the tasks that are to make way for a start are gone.
func (h *Holder) roomFor(w *worker, st Start) protocol.Room {
	room := h.free(w, true)
	for _, name := range st.Evict {
		if v := w.entries[name]; v != nil && !v.exited() && !v.unconfirmed() {
			room = room.Add(h.need(v))
		}
	}
	return room
}

// evict has tasks make way, with the time that they need to save.
func (h *Holder) evict(w *worker, tasks []string) {
	for _, name := range tasks {
		v := w.entries[name]
		if v == nil || v.stop {
			continue
		}
		v.stop = true
		if vj := h.jobs[v.job]; vj != nil {
			v.grace = vj.Spec.SaveS * 2
		}
	}
}

// keptAhead tells whether what comes free on a machine is kept for another task already.
func (w *worker) keptAhead(task string) bool {
	for name, e := range w.entries {
		if name != task && e.ahead && e.state == board.TaskReserved {
			return true
		}
	}
	return false
}

func (h *Holder) stop(a *AskArgs, st Stop) {
	w := h.byID[st.Machine]
	if w == nil {
		return
	}
	e := w.entries[st.Task]
	if e == nil || e.attempt != st.Attempt {
		return
	}
	if j := h.jobs[e.job]; j != nil && h.window.OwnerOf(j, e.index) != a.Caller {
		return
	}
	switch {
	case st.Forget:
		e.reap, e.keep = true, st.Keep && e.exited()
		if !e.keep && e.exited() {
			e.until = time.Time{}
		}
	case e.state == board.TaskReserved || e.state == board.TaskQueued:
		delete(w.entries, st.Task)
	default:
		e.stop, e.grace = true, st.GraceS
	}
}

// HolderRPC is what siblings may call, and the controller itself alike.
type HolderRPC struct{ h *Holder }

var errNotNow = errors.New("request is void or the holder may not act")

// Ask carries out an owner's request.
func (r HolderRPC) Ask(a AskArgs, reply *AskReply) error {
	ok := false
	var out AskReply
	if !r.h.ask(r.h.ctx, func() { out, ok = r.h.serve(&a) }) || !ok {
		return errNotNow
	}
	*reply = out
	return nil
}

// Feed answers a controller's question for news, after a wait if there is
// none. It runs on the caller's goroutine.
func (r HolderRPC) Feed(a FeedArgs, reply *board.News) error { return r.h.feed(a, reply) }

func (h *Holder) feed(a FeedArgs, r *board.News) error {
	deadline := time.NewTimer(time.Duration(a.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	for first := true; ; first = false {
		var wait chan struct{}
		news := false
		if !h.ask(h.ctx, func() {
			if first {
				h.fences[a.Caller] = max(h.fences[a.Caller], a.Fence)
				h.obeyUpTo(a.Window)
			}
			wait = h.changed
			news = h.version != a.Since || h.session.Term() != a.Incarnation
		}) {
			return h.ctx.Err()
		}
		if !news {
			select {
			case <-wait:
				// Let what belongs together come together, the more the more
				// controllers ask.
				pause(h.ctx, time.Duration(len(h.cfg.Siblings)+1)*feedPause)
				continue
			case <-deadline.C:
			case <-h.ctx.Done():
				return h.ctx.Err()
			}
		}
		// Not into r itself: a controller that ends may do it after r is on its way.
		reply, ok := askFor(h.ctx, &h.actor, func() board.News { return h.summary(a) })
		if !ok {
			return h.ctx.Err()
		}
		*r = reply
		return nil
	}
}

// feedPause is how long a controller's news wait for more, for each controller
// that they go to.
const feedPause = 40 * time.Millisecond

// summary is the reply to a feed request as things stand.
func (h *Holder) summary(a FeedArgs) board.News {
	r := board.News{Incarnation: h.session.Term(), Version: h.version, Valid: h.session.Valid(), Entitled: h.entitled()}
	if h.served != nil {
		r.ServedMs = max(1, time.Since(h.served()).Milliseconds())
	}
	r.TellsStrays = true
	if s := h.misrouted[a.Caller]; time.Since(s.at) < h.misroutedRecently() {
		r.Stray = s.Stray
		r.Stray.AgoMs = time.Since(s.at).Milliseconds()
	}
	if h.window != nil {
		r.Window = h.window.Number
	}
	since := a.Since
	if a.Incarnation != r.Incarnation || len(h.gone) == maxGone && since < h.gone[0].version {
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
	for _, w := range h.byID {
		if w.version > since && (w.verified || w.lapsed) {
			r.Machines = append(r.Machines, h.view(w))
		}
	}
	for _, g := range h.gone {
		if g.version > since {
			r.Gone = append(r.Gone, g.id)
		}
	}
	return r
}

func (h *Holder) view(w *worker) board.MachineView {
	v := board.MachineView{ID: w.id, Type: w.rig, Zone: w.zone, Spot: w.spot, Slot: w.slot.slot, Term: w.slot.term,
		Free: h.free(w, true), Usable: h.startable(w), Silent: w.unresponsive || w.lapsed, Suspect: w.suspect, Leaving: w.notice}
	if time.Now().Before(w.drainTill) {
		if v.Vacates = w.vacates; len(w.entries) == 0 && !w.busy {
			v.Drained = w.drainWish
		}
	}
	v.Sound = time.Since(w.soundAt) < placement.SoundFor
	for job := range w.errorsBy {
		if len(v.Failed) < placement.MaxFailed {
			v.Failed = append(v.Failed, job)
		}
	}
	for _, i := range w.images {
		v.Images = append(v.Images, i.name)
	}
	for _, e := range w.entries {
		if j := h.jobs[e.job]; j != nil && (e.state == protocol.TaskPulling || e.unconfirmed()) && !slices.Contains(v.Pulling, j.Spec.Image) && !w.ready[j.Spec.Image] {
			v.Pulling = append(v.Pulling, j.Spec.Image)
		}
		v.Tasks = append(v.Tasks, board.TaskView{Task: e.task, Attempt: e.attempt, State: e.state, Cause: e.cause, Saved: e.saved})
	}
	return v
}

// drainFor is how long a wish to drain stands without being repeated.
const drainFor = 12 * time.Second

// Drain keeps machines free of new tasks, and no others that were before.
func (r HolderRPC) Drain(a DrainArgs, _ *Nothing) error {
	r.h.tell(func() { r.h.drain(&a) })
	return nil
}

func (h *Holder) drain(a *DrainArgs) {
	if a.Wish < h.drainsFor {
		return // of a former leader
	}
	h.drainsFor = a.Wish
	wanted, vacate := make(map[string]bool, len(a.Machines)), make(map[string]bool, len(a.Vacate))
	for _, id := range a.Machines {
		wanted[id] = true
	}
	for _, id := range a.Vacate {
		wanted[id], vacate[id] = true, true
	}
	now := time.Now()
	for id, w := range h.byID {
		drains := now.Before(w.drainTill)
		switch {
		case wanted[id] && !vacate[id] && !drains && !w.suspect && len(w.entries) > 0:
			// It got work that the leader has not seen yet: it is not idle any more.
		case wanted[id]:
			if !drains {
				w.drainWish = a.Wish
			}
			w.drainTill = now.Add(drainFor)
			for name, e := range w.entries {
				if e.state == board.TaskReserved || e.state == board.TaskQueued {
					delete(w.entries, name)
				}
			}
			if !drains || len(w.entries) == 0 || w.vacates != vacate[id] {
				h.touch(w)
			}
			w.vacates = vacate[id]
		case drains:
			w.drainTill = time.Time{}
			h.touch(w)
		}
	}
}
