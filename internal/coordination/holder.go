package coordination

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Holder is the sole authority for the machines of the slots it holds: it
// hears their reports, gives them commands and says what is on them.
type Holder struct {
	actor
	cfg     *config.Config
	session *Session
	store   *bookkeeping.Store
	workers *transport.Workers

	types       map[string]protocol.MachineType
	jobs        map[string]*bookkeeping.Job
	members     map[string]*bookkeeping.Member
	records     map[int]*bookkeeping.Slot
	registry    map[string]*bookkeeping.Machine
	slots       map[int]*heldSlot
	byID        map[string]*worker
	changedJobs map[string]bool // to be looked at in the next tick
	over        []string        // jobs that are over, in the order in which they ended
	gone        []goneMachine   // bounded
	retired     map[string]bool
	version     uint64
	changed     chan struct{} // closed and renewed when version rises

	window *bookkeeping.Window // whose owners are obeyed
	latest *bookkeeping.Window // newest known, may start later
	// ownersSince is the first window of those in a row with the same owners.
	ownersSince uint64
	fences      map[string]protocol.Token

	syncedAt time.Time
	adopting bool
	// releasing are slots given up whose records don't say so yet.
	releasing    map[int]*heldSlot
	writingSlots bool
	found        uint64 // lots of machines that nobody had registered
	finding      bool
	// probing: most workers went silent together, so it is this controller
	// that they can't reach.
	probing bool
}

type goneMachine struct {
	id      string
	version uint64
}

type heldSlot struct {
	slot     int
	term     uint64
	adopted  time.Time
	ready    bool // the registry was read after the adoption
	complete bool
	// roster is what the slot's record says at least: tasks are started only
	// on machines that stand in it, so that a successor awaits them.
	roster bookkeeping.Roster
	// unlisted: former holders kept no roster, so that there may be tasks on
	// machines that nothing names.
	unlisted bool
	// awaited are machines that may have tasks and have not reported under
	// this term yet.
	awaited map[string]bool
}

type worker struct {
	id, addr, rig, zone string
	spot                bool
	slot                *heldSlot
	session, ticket     uint64
	seq                 uint64
	// verified: a report under this slot's term has come (invariant 3).
	verified   bool
	firstHeard time.Time
	lastHeard  time.Time
	lastAnswer time.Time
	// lapsed: the lease of session lapsedIn and all before surely ended.
	lapsedIn  uint64
	lapsed    bool
	notice    bool
	entries   map[string]*entry
	images    []image // most recently used last
	ready     map[string]bool
	busy      bool // a direct command is under way
	settled   bool // nothing is wanted of it until something changes
	holdOff   time.Time
	drainTill time.Time
	silent    bool
	errorsBy  map[string]bool // jobs that failed here since the last success
	suspect   bool
	version   uint64
}

type image struct {
	name string
	gb   float64
}

// entry is a task that is, or may be, on a machine.
type entry struct {
	task    string
	job     string
	index   int
	attempt uint64
	state   string
	cause   string
	saved   bool
	// token is that of the start command, as long as its outcome is open.
	token protocol.Token
	until time.Time // end of a reservation or of waiting for room
	stop  bool
	grace float64
	sent  time.Time // when the last stop or forget was sent
	reap  bool
}

func (e *entry) unconfirmed() bool { return unconfirmed(e.state) }

func (e *entry) exited() bool { return e.state == protocol.TaskExited }

// NewHolder makes the actor.
func NewHolder(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, workers *transport.Workers) *Holder {
	return &Holder{actor: newActor(ctx), cfg: c, session: session, store: store, workers: workers,
		types: map[string]protocol.MachineType{}, jobs: map[string]*bookkeeping.Job{}, members: map[string]*bookkeeping.Member{},
		records: map[int]*bookkeeping.Slot{}, registry: map[string]*bookkeeping.Machine{}, slots: map[int]*heldSlot{},
		byID: map[string]*worker{}, changedJobs: map[string]bool{}, releasing: map[int]*heldSlot{}, retired: map[string]bool{}, changed: make(chan struct{}), fences: map[string]protocol.Token{}}
}

// Run runs the actor until its context ends.
func (h *Holder) Run() { h.loop(250*time.Millisecond, h.tick) }

// SlotCount is into how many shares the workers are dealt: enough that those
// of one lost controller spread over all others.
func SlotCount(controllers int) int { return max(1, controllers*(controllers-1)) }

func (h *Holder) slotOf(machine string) int {
	return slotOf(machine, SlotCount(len(h.cfg.Siblings)+1))
}

// slotOf deals a machine to one of the slots.
func slotOf(machine string, slots int) int {
	return int(protocol.MachineNumber(machine) % uint64(slots))
}

func (h *Holder) bump() uint64 {
	h.version++
	close(h.changed)
	h.changed = make(chan struct{})
	return h.version
}

func (h *Holder) touch(w *worker) { w.version, w.settled = h.bump(), false }

// silentAfter is when a worker's silence tells of trouble: two regular reports
// and the time to find another controller have passed.
func (h *Holder) silentAfter() time.Duration {
	return min(h.cfg.ReportEvery()*8/3, h.cfg.WorkerLease()/2)
}

// ---- the wanted state: which slots to hold

// reset forgets all slots, as after a restart: the session was lost, and
// others may have taken them.
func (h *Holder) reset() {
	h.slots = map[int]*heldSlot{}
	h.byID = map[string]*worker{}
	h.gone = nil
	h.bump()
}

func (h *Holder) wants(slot int) bool {
	return h.latest != nil && slot < len(h.latest.Deal) && h.latest.Deal[slot] == h.cfg.Name
}

// adopt takes the slots that the deal gives to this controller and that
// nobody can be acting for.
func (h *Holder) adopt() {
	if h.adopting || !h.session.Valid() || h.latest == nil {
		return
	}
	inc := h.session.Term()
	var claims []bookkeeping.Claim
	for slot := range h.latest.Deal {
		if !h.wants(slot) || h.slots[slot] != nil {
			continue
		}
		c := bookkeeping.Claim{Slot: slot, Seen: h.records[slot]}
		if c.Seen != nil && c.Seen.Holder != "" {
			// Another process may be acting for the slot as long as its
			// session lives; the member record tells.
			m := h.members[c.Seen.Holder]
			if c.Seen.Holder == h.cfg.Name && (m == nil || m.Term != inc) {
				continue // our own record has not come back to us yet
			}
			if m != nil && m.Term == c.Seen.Incarnation && c.Seen.Holder != h.cfg.Name {
				continue
			}
			c.Former = c.Seen.Holder
			if m != nil {
				c.FormerVersion = m.Version
			}
		}
		if claims = append(claims, c); len(claims) == h.store.MostClaims() {
			break // the rest in the next round
		}
	}
	if len(claims) == 0 {
		return
	}
	h.adopting = true
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, 8*time.Second)
		defer cancel()
		term, err := h.store.TakeSlots(ctx, h.cfg.Name, inc, claims)
		if err != nil {
			pause(ctx, 100*time.Millisecond)
			h.tell(func() { h.adopting = false })
			return
		}
		h.tell(func() {
			h.adopting = false
			if h.session.Term() != inc {
				return
			}
			for _, c := range claims {
				s := &heldSlot{slot: c.Slot, term: term, adopted: time.Now(), awaited: map[string]bool{}, roster: bookkeeping.Roster{}, unlisted: !c.Listed()}
				if c.Seen != nil {
					maps.Copy(s.roster, c.Seen.Roster)
				}
				h.slots[c.Slot] = s
			}
			slog.Info("took slots", "count", len(claims), "term", term)
			h.bump()
			h.inform(term)
		})
	}()
}

// inform reads, after an adoption, what the former holders registered and
// which windows they may have obeyed. Only then are the slots ready.
func (h *Holder) inform(term uint64) {
	go func() {
		for h.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(h.ctx, 8*time.Second)
			machines, err := h.store.Machines(ctx)
			var win *bookkeeping.Window
			if err == nil {
				win, err = h.store.ReadWindow(ctx)
			}
			cancel()
			if err != nil {
				pause(h.ctx, 300*time.Millisecond)
				continue
			}
			h.tell(func() {
				// The former holder may have obeyed any published window,
				// also one that has not begun by this clock.
				h.learnWindow(win)
				h.obey(win)
				for _, m := range machines {
					s := h.slots[h.slotOf(m.ID)]
					if s == nil || s.term != term {
						continue
					}
					if h.registry[m.ID] == nil && !h.retired[m.ID] {
						h.registry[m.ID] = m
					}
					if w := h.byID[m.ID]; s.roster[m.Number()] && !(w != nil && w.verified) {
						s.awaited[m.ID] = true
					}
				}
				for _, s := range h.slots {
					if s.term == term {
						s.ready = true
					}
				}
				h.complete()
			})
			return
		}
	}()
}

// complete finds out which slots are fully known by now.
func (h *Holder) complete() {
	for _, s := range h.slots {
		if s.ready && !s.complete && len(s.awaited) == 0 && !s.unlisted {
			s.complete = true
			slog.Info("slot complete", "slot", s.slot, "after", time.Since(s.adopted))
			h.bump()
		}
	}
}

// release gives up slots that the deal gives to another living controller.
func (h *Holder) release() {
	if h.latest == nil {
		return
	}
	for slot, s := range h.slots {
		if slot < len(h.latest.Deal) && h.wants(slot) {
			continue
		}
		rec := h.records[slot]
		if slot < len(h.latest.Deal) && h.members[h.latest.Deal[slot]] == nil || rec == nil || rec.Term != s.term {
			continue
		}
		// Stop acting first, then say so.
		delete(h.slots, slot)
		for id, w := range h.byID {
			if w.slot == s {
				delete(h.byID, id)
			}
		}
		h.bump()
		h.releasing[slot] = s
	}
	if len(h.releasing) == 0 || h.writingSlots {
		return
	}
	var changes []bookkeeping.SlotChange
	for slot, s := range h.releasing {
		rec := h.records[slot]
		if rec.Term != s.term || rec.Holder == "" {
			delete(h.releasing, slot) // said, or taken already
		} else if len(changes) < h.store.MostClaims() {
			changes = append(changes, bookkeeping.SlotChange{Slot: slot, Seen: rec.Version, To: bookkeeping.Slot{Term: rec.Term, Roster: rec.Roster, Listed: rec.Listed}})
		}
	}
	h.changeSlots(transport.Urgent, changes, nil)
}

// changeSlots writes slots' records, one transaction at a time. What was
// written for certain is passed on; anything else is tried again by the loop,
// once the replica shows the records as they are.
func (h *Holder) changeSlots(u transport.Urgency, changes []bookkeeping.SlotChange, written func()) {
	if len(changes) == 0 {
		return
	}
	h.writingSlots = true
	go func() {
		err := h.store.ChangeSlots(h.ctx, u, changes)
		if err == nil && written != nil {
			h.tell(written)
		}
		pause(h.ctx, rosterEvery)
		h.tell(func() { h.writingSlots = false })
	}()
}

// rosterEvery is how often rosters are written at most; machines that come up
// at about the same time share a write.
const rosterEvery = 250 * time.Millisecond

// ---- windows

func (h *Holder) learnWindow(w *bookkeeping.Window) {
	if w != nil && (h.latest == nil || w.Number > h.latest.Number) {
		h.latest = w
	}
}

// obey adopts a window: from now on only its owners' requests count.
func (h *Holder) obey(w *bookkeeping.Window) {
	if w == nil || h.window != nil && w.Number <= h.window.Number {
		return
	}
	if h.window == nil || w.Number != h.window.Number+1 || !slices.Equal(w.Owners, h.window.Owners) {
		h.ownersSince = w.Number
	}
	h.window = w
	h.bump()
}

// obeyUpTo adopts the newest window if a caller has adopted one that is
// newer than ours: the promise not to serve older owners, not the clock, is
// what lets the new owner place.
func (h *Holder) obeyUpTo(number uint64) {
	if h.latest != nil && (h.window == nil || number > h.window.Number) && h.latest.Number >= number {
		h.obey(h.latest)
	}
}

// ---- reports

// Report takes a worker's report and gives the answer to it.
func (h *Holder) Report(rep *protocol.Report) (status int, body any) {
	slot := h.slotOf(rep.Machine)
	s := h.slots[slot]
	if !h.session.Valid() {
		return http.StatusServiceUnavailable, nil
	}
	if s == nil {
		if rec := h.records[slot]; rec != nil && rec.Holder != "" && rec.Holder != h.cfg.Name && h.members[rec.Holder] != nil {
			return http.StatusMisdirectedRequest, protocol.Redirect{Node: rec.Holder}
		}
		if h.latest != nil && slot < len(h.latest.Deal) && !h.wants(slot) && h.members[h.latest.Deal[slot]] != nil {
			return http.StatusMisdirectedRequest, protocol.Redirect{Node: h.latest.Deal[slot]}
		}
		return http.StatusServiceUnavailable, nil
	}
	// A report that names a higher term than ours: the slot was taken.
	if rep.Token.Term() > s.term {
		return http.StatusMisdirectedRequest, protocol.Redirect{}
	}
	if h.retired[rep.Machine] {
		return http.StatusServiceUnavailable, nil
	}
	w := h.byID[rep.Machine]
	if w == nil {
		w = &worker{id: rep.Machine, slot: s, seq: 1, firstHeard: time.Now(), entries: map[string]*entry{}, errorsBy: map[string]bool{}, ready: map[string]bool{}}
		h.byID[rep.Machine] = w
	}
	if !h.hear(w, rep) {
		// An old message that was held up on its way: it must not count as
		// an answer, nor as news.
		return http.StatusServiceUnavailable, nil
	}
	w.lastAnswer = time.Now()
	h.pump(w)
	return http.StatusOK, protocol.ReportAnswer{Token: protocol.NewToken(s.term, w.seq), Commands: []protocol.Command{}}
}

// hear takes in a report, from whichever way it came; false if it is no news.
func (h *Holder) hear(w *worker, rep *protocol.Report) bool {
	if !rep.Newer(w.session, w.ticket) || rep.Session <= w.lapsedIn {
		return false
	}
	now := time.Now()
	news := rep.Session > w.session || w.lapsed || w.silent || w.notice != (rep.NoticeS != nil)
	was := w.verified
	if rep.Session > w.session && w.session != 0 {
		h.forgetTasks(w) // the former session's tasks were killed
	}
	w.session, w.ticket = rep.Session, rep.Ticket
	w.addr, w.rig, w.zone, w.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
	w.lastHeard = now
	w.lapsed, w.silent = false, false
	w.notice = rep.NoticeS != nil
	news = news || !was
	if rep.Token.Term() == w.slot.term && h.believe(w, rep) || news {
		h.touch(w)
	}
	return true
}

// forgetTasks drops all that was on a machine: it is surely gone.
func (h *Holder) forgetTasks(w *worker) {
	for name, e := range w.entries {
		if e.state != taskReserved && e.state != taskQueued {
			delete(w.entries, name)
		}
	}
}

// believe makes a report the truth about its machine; it tells whether that
// changed anything.
func (h *Holder) believe(w *worker, rep *protocol.Report) (news bool) {
	if !w.verified {
		w.verified = true
		delete(w.slot.awaited, w.id)
		h.complete()
		news = true
	}
	listed := make(map[string]bool, len(rep.Tasks))
	for _, t := range rep.Tasks {
		listed[t.Task] = true
		e := w.entries[t.Task]
		if e != nil && e.attempt != t.Attempt {
			e = nil // what is there counts, not what we believed or wished
		}
		if e == nil {
			job, index, _ := protocol.SplitTask(t.Task)
			e = &entry{task: t.Task, job: job, index: index, attempt: t.Attempt}
			w.entries[t.Task] = e
		}
		if e.state != t.State {
			news = true
			h.noteState(w, e, t)
		}
		e.state, e.cause, e.saved, e.token = t.State, t.Cause, t.Saved, 0
	}
	for name, e := range w.entries {
		switch {
		case listed[name] || e.state == taskQueued || e.state == taskReserved:
		case e.state == taskStarting && rep.Token <= e.token:
			// The start may still be on its way (invariant 3).
		default:
			news = true
			delete(w.entries, name)
		}
	}
	return news
}

// noteState learns from a task's new state: which images the machine has,
// and whether it fails what it is given.
func (h *Holder) noteState(w *worker, e *entry, t protocol.TaskReport) {
	slog.Debug("task", "task", e.task, "machine", w.id, "was", e.state, "is", t.State, "cause", t.Cause)
	if j := h.jobs[e.job]; j != nil && t.State != protocol.TaskExited {
		w.useImage(image{j.Spec.Image, j.Spec.ImageGB}, h.types[w.rig].CacheGB)
		if t.State != protocol.TaskPulling {
			w.ready[j.Spec.Image] = true
		}
	}
	if t.State != protocol.TaskExited {
		return
	}
	switch t.Cause {
	case protocol.CauseDone:
		clear(w.errorsBy)
	case protocol.CauseError:
		w.errorsBy[e.job] = true
		if len(w.errorsBy) >= 2 && !w.suspect {
			w.suspect = true
			slog.Info("machine is suspect", "machine", w.id)
		}
	}
}

// useImage puts an image at the recent end of what the machine caches.
func (w *worker) useImage(img image, cache float64) {
	w.images = slices.DeleteFunc(w.images, func(i image) bool { return i.name == img.name })
	w.images = append(w.images, img)
	total := 0.0
	for i := len(w.images) - 1; i >= 0; i-- {
		total += w.images[i].gb
		if total > cache && i < len(w.images)-1 {
			for _, old := range w.images[:i+1] {
				delete(w.ready, old.name)
			}
			w.images = slices.Clone(w.images[i+1:])
			return
		}
	}
}

// ---- commands

func (h *Holder) need(e *entry) protocol.Room {
	if j := h.jobs[e.job]; j != nil {
		return j.Spec.Need()
	}
	return protocol.Room{}
}

// free is the room left beside all that is or may be on the machine; queued
// tells whether tasks that wait for room count too.
func (h *Holder) free(w *worker, queued bool) protocol.Room {
	t, ok := h.types[w.rig]
	if !ok {
		return protocol.Room{}
	}
	r := t.Room()
	for _, e := range w.entries {
		if !e.exited() && (queued || e.state != taskQueued) {
			if h.jobs[e.job] == nil {
				return protocol.Room{} // what it takes will be known soon
			}
			r = r.Sub(h.need(e))
		}
	}
	return r
}

// wanted works out which commands lead from what is on a machine to what
// should be.
func (h *Holder) wanted(w *worker, now time.Time) []protocol.Command {
	var out []protocol.Command
	for _, e := range w.entries {
		j := h.jobs[e.job]
		over := j != nil && j.Final()
		switch {
		case e.exited():
			// A result is kept on the machine until it is recorded.
			if (e.reap || over || e.cause == protocol.CauseDone && j != nil && j.TaskDone(e.index)) && now.Sub(e.sent) > 2*time.Second {
				e.sent = now
				out = append(out, protocol.Command{Verb: protocol.VerbForget, Task: e.task, Attempt: e.attempt})
			}
		case e.unconfirmed():
		case over || e.stop:
			grace := e.grace
			if over {
				grace = 0
			}
			if now.Sub(e.sent) > 3*time.Second && (e.state != protocol.TaskFlushing || grace == 0 || over) {
				e.sent = now
				out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: e.task, Attempt: e.attempt, GraceS: &grace})
			}
		}
	}
	room := h.free(w, false)
	for _, e := range w.entries {
		if e.state != taskQueued {
			continue
		}
		if j := h.jobs[e.job]; j == nil || j.Final() || !h.startable(w) {
			delete(w.entries, e.task)
			continue
		}
		if need := h.need(e); room.Fits(need) {
			room = room.Sub(need)
			e.state = taskStarting
			out = append(out, protocol.Command{Verb: protocol.VerbStart, Task: e.task, Attempt: e.attempt})
		}
	}
	return out
}

// atRest tells whether no command to the worker is due, or will be before
// something changes.
func (w *worker) atRest() bool {
	for _, e := range w.entries {
		if e.stop || e.unconfirmed() || e.exited() {
			return false
		}
	}
	return true
}

// pump sends a worker the commands it needs. One direct command is under way
// at a time; each has a token of its own, so that a report with a higher one
// proves that it was carried out or never will be.
func (h *Holder) pump(w *worker) {
	now := time.Now()
	if w.busy || w.lapsed || w.session == 0 || now.Before(w.holdOff) || !h.session.Valid() || h.slots[w.slot.slot] != w.slot {
		return
	}
	var cmds []protocol.Command
	if w.verified {
		if cmds = h.wanted(w, now); len(cmds) == 0 {
			w.settled = w.atRest()
			return
		}
	}
	w.seq++
	orders := protocol.Orders{Token: protocol.NewToken(w.slot.term, w.seq), Session: w.session, Commands: cmds}
	for _, c := range cmds {
		if c.Verb == protocol.VerbStart {
			w.entries[c.Task].token = orders.Token
		}
	}
	w.busy = true
	h.touch(w)
	addr := w.addr
	go func() {
		rep, executed, err := h.workers.Do(h.ctx, addr, orders)
		h.tell(func() { h.executed(w, orders, rep, executed, err) })
	}()
}

func (h *Holder) executed(w *worker, o protocol.Orders, rep *protocol.Report, executed bool, err error) {
	w.busy = false
	if h.byID[w.id] != w || h.slots[w.slot.slot] != w.slot {
		return
	}
	if err != nil {
		// Unknown: the next answer's higher token fences what is in flight.
		w.seq++
		w.holdOff = time.Now().Add(time.Second)
		slog.Debug("direct command unanswered", "machine", w.id, "err", err)
		return
	}
	if !executed {
		// Refused for good: the starts in it will never happen.
		for _, c := range o.Commands {
			if e := w.entries[c.Task]; c.Verb == protocol.VerbStart && e != nil && e.state == taskStarting && e.token == o.Token {
				delete(w.entries, c.Task)
			}
		}
		w.holdOff = time.Now().Add(500 * time.Millisecond)
	}
	if rep.Machine == w.id && rep.Token.Term() <= w.slot.term {
		h.hear(w, rep)
	}
	h.touch(w)
	h.pump(w)
}

// startable tells whether tasks may be started on a machine.
func (h *Holder) startable(w *worker) bool {
	return w.verified && w.slot.ready && !w.lapsed && !w.silent && !w.notice && !w.suspect && h.registry[w.id] != nil &&
		w.slot.roster[protocol.MachineNumber(w.id)] && time.Now().After(w.drainTill)
}

// ---- requests of owners

// maxStale bounds how old the holder's picture of job states may be when it
// starts a task.
const maxStale = 10 * time.Second

// serve carries out an owner's request: the second door (invariant 5).
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
			h.pump(w)
		}
	}
	r.Incarnation, r.Version = h.session.Term(), h.version
	return r, true
}

func (h *Holder) start(a *AskArgs, st Start, now time.Time) string {
	w := h.byID[st.Machine]
	jobID, index, ok := protocol.SplitTask(st.Task)
	j := h.jobs[jobID]
	switch {
	case !ok || w == nil || h.slots[w.slot.slot] != w.slot:
		return "not held here"
	case j == nil || j.Final() || index >= j.Spec.Tasks || j.TaskDone(index):
		return "not to be run"
	case h.window.Owner(j.Token) != a.Caller:
		return "not the owner"
	case now.Sub(h.syncedAt) > maxStale:
		return "records too old"
	case !h.startable(w):
		return "machine not usable"
	case !j.Spec.Allows(w.rig, w.zone, w.spot):
		return "machine not allowed"
	}
	reserved := w.entries[st.Task]
	if reserved != nil && !(reserved.state == taskReserved && reserved.attempt == st.Attempt) {
		return "already there"
	} else if reserved == nil {
		for _, o := range h.byID {
			if x := o.entries[st.Task]; x != nil && !x.exited() {
				return "elsewhere here"
			}
		}
	}
	delete(w.entries, st.Task)
	room := h.free(w, true)
	for _, name := range st.Evict {
		if v := w.entries[name]; v != nil && !v.exited() && !v.unconfirmed() {
			room = room.Add(h.need(v))
		}
	}
	// What was reserved was granted; its room may still be in use by tasks that
	// were told to make way.
	if reserved == nil && !room.Fits(j.Spec.Need()) {
		return "no room"
	}
	for _, name := range st.Evict {
		if v := w.entries[name]; v != nil && !v.stop {
			v.stop = true
			if vj := h.jobs[v.job]; vj != nil {
				v.grace = vj.Spec.SaveS * 2
			}
		}
	}
	e := &entry{task: st.Task, job: jobID, index: index, attempt: st.Attempt, state: taskQueued, until: now.Add(20 * time.Second)}
	if st.Reserve {
		e.state, e.until = taskReserved, now.Add(6*time.Second)
	}
	w.entries[st.Task] = e
	return ""
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
	if j := h.jobs[e.job]; j != nil && h.window.Owner(j.Token) != a.Caller {
		return
	}
	switch {
	case st.Forget:
		e.reap = true
	case e.state == taskReserved || e.state == taskQueued:
		delete(w.entries, st.Task)
	default:
		e.stop, e.grace = true, st.GraceS
	}
}

// ---- the feed

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
func (r HolderRPC) Feed(a FeedArgs, reply *FeedReply) error { return r.h.feed(a, reply) }

func (h *Holder) feed(a FeedArgs, r *FeedReply) error {
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
		h.ask(h.ctx, func() { *r = h.summary(a) })
		return nil
	}
}

// feedPause is how long a controller's news wait for more, for each controller
// that they go to.
const feedPause = 40 * time.Millisecond

// summary is the reply to a feed request as things stand.
func (h *Holder) summary(a FeedArgs) FeedReply {
	r := FeedReply{Incarnation: h.session.Term(), Version: h.version, Valid: h.session.Valid()}
	if h.window != nil {
		r.Window = h.window.Number
	}
	since := a.Since
	if a.Incarnation != r.Incarnation || len(h.gone) == maxGone && since < h.gone[0].version {
		r.Full, since = true, 0
	}
	for _, s := range h.slots {
		sv := SlotView{Slot: s.slot, Term: s.term, Complete: s.complete}
		if time.Since(s.adopted) > h.silentAfter()+2*time.Second {
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

func (h *Holder) view(w *worker) MachineView {
	v := MachineView{ID: w.id, Type: w.rig, Zone: w.zone, Spot: w.spot, Slot: w.slot.slot, Term: w.slot.term,
		Free: h.free(w, true), Usable: h.startable(w), Silent: w.silent || w.lapsed, Suspect: w.suspect, Leaving: w.notice,
		Drained: time.Now().Before(w.drainTill) && len(w.entries) == 0 && !w.busy}
	for _, i := range w.images {
		v.Images = append(v.Images, i.name)
	}
	for _, e := range w.entries {
		if j := h.jobs[e.job]; j != nil && (e.state == protocol.TaskPulling || e.unconfirmed()) && !slices.Contains(v.Pulling, j.Spec.Image) && !w.ready[j.Spec.Image] {
			v.Pulling = append(v.Pulling, j.Spec.Image)
		}
		v.Tasks = append(v.Tasks, TaskView{Task: e.task, Attempt: e.attempt, State: e.state, Cause: e.cause, Saved: e.saved})
	}
	return v
}

// ---- draining

// drainFor is how long a wish to drain stands without being repeated.
const drainFor = 12 * time.Second

// Drain keeps machines free of new tasks.
func (r HolderRPC) Drain(a DrainArgs, _ *Nothing) error {
	h := r.h
	h.tell(func() {
		for _, id := range a.Machines {
			w := h.byID[id]
			if w == nil {
				continue
			}
			for name, e := range w.entries {
				if e.state == taskReserved || e.state == taskQueued {
					delete(w.entries, name)
				}
			}
			if time.Now().After(w.drainTill) || len(w.entries) == 0 {
				h.touch(w)
			}
			w.drainTill = time.Now().Add(drainFor)
		}
	})
	return nil
}

// ---- the loop

func (h *Holder) tick() {
	now := time.Now()
	if h.latest != nil && (h.window == nil || h.latest.Number > h.window.Number) && now.UnixMilli() >= h.latest.StartMs {
		h.obey(h.latest)
	}
	h.adopt()
	h.release()
	h.enroll()
	h.listen(now)
	lease := config.Surely(h.cfg.WorkerLease())
	for _, s := range h.slots {
		if s.ready && !s.complete && now.Sub(s.adopted) > lease {
			// All leases that former holders may have renewed have lapsed.
			clear(s.awaited)
			s.unlisted = false
			h.complete()
		}
	}
	for _, w := range h.byID {
		since := w.lastAnswer
		if w.slot.adopted.After(since) {
			since = w.slot.adopted
		}
		if !w.lapsed && now.Sub(since) > lease {
			w.lapsed, w.lapsedIn = true, w.session
			clear(w.entries)
			h.touch(w)
			slog.Info("lease lapsed", "machine", w.id)
		}
		if quiet := now.Sub(w.lastHeard) > h.silentAfter() && now.Sub(w.slot.adopted) > h.silentAfter(); quiet != w.silent {
			w.silent = quiet
			h.touch(w)
		}
		for name, e := range w.entries {
			if h.changedJobs[e.job] {
				e.sent, w.settled = time.Time{}, false // what was sent may no longer be what is wanted
			}
			if (e.state == taskReserved || e.state == taskQueued) && now.After(e.until) {
				delete(w.entries, name)
				h.touch(w)
			}
		}
		if !w.settled {
			h.pump(w)
		}
	}
	clear(h.changedJobs)
}

// probeEvery is how often a controller that lost its workers tries whether
// they can be reached again; mostDeaf is when it asks for workers all the
// same, since those it knew may be gone.
const (
	probeEvery = 5 * time.Second
	mostDeaf   = 4 * time.Minute
)

// listen finds out whether workers can still reach this controller. One that
// has lost them alone would let their leases run out, all the while answering
// to the state service and its siblings as if nothing were wrong.
func (h *Holder) listen(now time.Time) {
	if h.session.Deaf() || !h.session.Valid() {
		return
	}
	total, quiet := 0, 0
	for _, s := range h.slots {
		total += len(s.awaited)
		if now.Sub(s.adopted) > h.silentAfter() {
			quiet += len(s.awaited)
		}
	}
	var addrs []string
	for _, w := range h.byID {
		if !w.verified || w.lapsed {
			continue
		}
		total++
		if now.Sub(w.lastHeard) > h.cfg.ReportEvery()*5/3 && now.Sub(w.slot.adopted) > h.cfg.ReportEvery()*3 {
			quiet++
			addrs = append(addrs, w.addr)
		}
	}
	if total < 3 || 3*quiet <= 2*total || h.probing {
		return
	}
	slog.Info("workers can't reach this controller", "silent", quiet, "of", total)
	h.probing = true
	go func() {
		h.session.SetDeaf(h.ctx, true)
		for end := now.Add(mostDeaf); h.ctx.Err() == nil && time.Now().Before(end); {
			pause(h.ctx, probeEvery)
			if len(addrs) > 0 && h.workers.Reachable(h.ctx, addrs[rand.IntN(len(addrs))]) {
				break
			}
		}
		for h.session.Deaf() && h.ctx.Err() == nil {
			h.session.SetDeaf(h.ctx, false)
			pause(h.ctx, time.Second)
		}
		h.tell(func() { h.probing = false })
	}()
}

// enroll puts machines into their slots' rosters before tasks are started on
// them, and takes those out that are gone.
func (h *Holder) enroll() {
	if h.writingSlots || !h.session.Valid() {
		return
	}
	h.registerFound()
	rosters := map[*heldSlot]bookkeeping.Roster{}
	roster := func(s *heldSlot) bookkeeping.Roster {
		if rosters[s] == nil && len(rosters) < h.store.MostClaims() {
			rosters[s] = maps.Clone(s.roster)
		}
		return rosters[s]
	}
	for _, w := range h.byID {
		if n := protocol.MachineNumber(w.id); w.verified && w.slot.ready && h.registry[w.id] != nil && !w.slot.roster[n] {
			if r := roster(w.slot); r != nil {
				r[n] = true
			}
		}
	}
	registered := map[uint64]bool{}
	if len(rosters) > 0 {
		for id := range h.registry {
			registered[protocol.MachineNumber(id)] = true
		}
	}
	var changes []bookkeeping.SlotChange
	for s, r := range rosters {
		rec := h.records[s.slot]
		if rec == nil || rec.Term != s.term || rec.Holder != h.cfg.Name {
			delete(rosters, s) // our own record has not come back to us yet
			continue
		}
		maps.DeleteFunc(r, func(n uint64, _ bool) bool { return !registered[n] })
		changes = append(changes, bookkeeping.SlotChange{Slot: s.slot, Seen: rec.Version,
			To: bookkeeping.Slot{Holder: rec.Holder, Incarnation: rec.Incarnation, Term: rec.Term, Roster: r, Listed: !s.unlisted}})
	}
	h.changeSlots(transport.Ordinary, changes, func() {
		for s, r := range rosters {
			if h.slots[s.slot] == s {
				s.roster = r
			}
		}
		for _, w := range h.byID {
			if r := rosters[w.slot]; r != nil && h.slots[w.slot.slot] == w.slot {
				h.touch(w)
			}
		}
	})
}

// foundAfter is how long a machine may report before it is registered by its
// holder: the leader that rented it is about to do so itself.
const foundAfter = 5 * time.Second

// registerFound registers machines that report and that no record names: a
// rental may be carried out late, or its leader may have ended.
func (h *Holder) registerFound() {
	if h.finding {
		return
	}
	var fresh []bookkeeping.Machine
	now := time.Now()
	for _, w := range h.byID {
		if w.verified && h.registry[w.id] == nil && now.Sub(w.firstHeard) > foundAfter {
			fresh = append(fresh, bookkeeping.Machine{ID: w.id, Type: w.rig, Zone: w.zone, Spot: w.spot, RentedMs: now.UnixMilli()})
		}
	}
	if len(fresh) == 0 {
		return
	}
	slog.Info("unexpected machines", "count", len(fresh))
	h.finding = true
	lots := map[string]bookkeeping.Lot{}
	for _, l := range bookkeeping.Lots(fresh) {
		h.found++
		lots[fmt.Sprintf("h-%d-%d", h.session.Term(), h.found)] = l
	}
	go func() {
		for name, l := range lots {
			if err := h.store.AddLot(h.ctx, transport.Ordinary, name, l); err != nil {
				slog.Debug("found machines not registered", "err", err)
			}
		}
		pause(h.ctx, time.Second) // they come back through the replica
		h.tell(func() { h.finding = false })
	}()
}

// maxGone bounds how many removals a feed remembers.
const maxGone = 256

// remove takes a machine out: it was returned, and all on it is gone.
func (h *Holder) remove(id string) {
	delete(h.registry, id)
	if len(h.retired) > 5000 {
		clear(h.retired)
	}
	h.retired[id] = true
	if s := h.slots[h.slotOf(id)]; s != nil {
		delete(s.awaited, id)
		h.complete()
	}
	if h.byID[id] == nil {
		return
	}
	delete(h.byID, id)
	if len(h.gone) == maxGone {
		h.gone = h.gone[1:]
	}
	h.gone = append(h.gone, goneMachine{id, h.bump()})
}

// ---- the records

func (h *Holder) jobChanged(j *bookkeeping.Job) {
	h.jobs[j.Spec.ID] = j
	if !j.Final() && len(j.Results) == 0 {
		return
	}
	h.changedJobs[j.Spec.ID] = true
	if !j.Final() {
		return
	}
	if h.over = append(h.over, j.Spec.ID); len(h.over) > maxFinal {
		delete(h.jobs, h.over[0])
		h.over = h.over[1:]
	}
}

func (h *Holder) machineChanged(id string, m *bookkeeping.Machine) {
	if m == nil {
		h.remove(id)
		return
	}
	if h.retired[id] {
		return
	}
	h.registry[id] = m
	if w := h.byID[id]; w != nil {
		h.touch(w)
	}
}
