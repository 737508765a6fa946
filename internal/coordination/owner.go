package coordination

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// HolderCaller reaches a holder: a sibling's over net/rpc, or our own.
type HolderCaller interface {
	Feed(ctx context.Context, a FeedArgs, r *FeedReply) error
	Ask(ctx context.Context, a AskArgs, r *AskReply) error
	Drain(ctx context.Context, a DrainArgs) error
}

// Owner places the tasks of the jobs in this controller's range of the ring,
// and keeps the board that everything else here is decided by.
type Owner struct {
	actor
	cfg     *config.Config
	session *Session
	store   *bookkeeping.Store
	holders map[string]HolderCaller
	slots   int

	board  *board
	types  map[string]protocol.MachineType
	jobs   map[string]*jobState
	active map[string]*jobState // not final
	// unclear are the active jobs of which a start's outcome, or what former
	// owners started, is not known yet.
	unclear map[string]*jobState
	machReg map[string]*bookkeeping.Machine
	rosters map[int]bookkeeping.Roster
	gone    map[string]bool

	windows []*bookkeeping.Window // those obeyed in a row without a gap, bounded
	latest  *bookkeeping.Window
	born    map[uint64]uint64 // gain window -> jobs created after this revision are new
	asking  map[uint64]bool

	seq       uint64
	inFlight  map[string]bool // holders with a request under way
	peers     map[string]*peerState
	recording bool // results are being written
	// ended are jobs that are over and whose records have not been moved yet.
	ended     map[string]*bookkeeping.Job
	archiving bool
	looking   bool // for jobs that are not known
	found     func(*bookkeeping.Job)
	dirty     bool
	planned   time.Time
	classes   map[string]*classStats
	rng       *rand.Rand

	// usable and scarceNow are worked out once a round.
	usable    []*boardMachine
	scarceNow map[string]bool

	// othersValid: some sibling says that its session lives.
	othersValid atomic.Bool
}

type peerState struct {
	incarnation, version uint64
	fence                uint64 // sequence below which requests are void
	valid                bool
	heard                time.Time
}

type jobState struct {
	job *bookkeeping.Job
	// known is when this controller first saw the job.
	known time.Time
	// gain is the window since which we own the job without a break, 0 if we
	// don't; settled: all that may be left of former owners' starts is known.
	gain    uint64
	settled bool
	seen    map[int]bool // slots seen complete since the gain
	pending map[int]*pendingStart
	retryAt map[int]time.Time
	errors  int
	badOn   map[string]bool // machines on which tasks of the job failed
	// waitFrom is since when a running gang lacks a task.
	waitFrom time.Time
	blocked  time.Time // no room was found; look again then

	// stale: something changed since the last review; missing is how many
	// tasks it found neither done nor begun nor asked for.
	stale    bool
	reviewed time.Time
	recorded time.Time
	missing  int
}

type pendingStart struct {
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

// NewOwner makes the actor.
func NewOwner(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, holders map[string]HolderCaller, found func(*bookkeeping.Job)) *Owner {
	return &Owner{actor: newActor(ctx), cfg: c, session: session, store: store, holders: holders, found: found,
		slots: SlotCount(len(c.Siblings) + 1), board: newBoard(), types: map[string]protocol.MachineType{},
		jobs: map[string]*jobState{}, active: map[string]*jobState{}, unclear: map[string]*jobState{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), machReg: map[string]*bookkeeping.Machine{},
		rosters: map[int]bookkeeping.Roster{}, gone: map[string]bool{},
		born: map[uint64]uint64{}, asking: map[uint64]bool{}, inFlight: map[string]bool{}, peers: map[string]*peerState{},
		classes: map[string]*classStats{}, ended: map[string]*bookkeeping.Job{}}
}

// Run follows all holders' feeds and runs the actor until its context ends.
func (o *Owner) Run() {
	for name, h := range o.holders {
		o.peers[name] = &peerState{}
		go o.follow(name, h)
	}
	o.loop(100*time.Millisecond, o.tick)
}

// Token is a job's place on the ring. Jobs of a team with a limit stand where
// the team's name does, so that one controller grants all that the team may
// use (invariant 7).
func Token(c *config.Config, s *protocol.JobSpec) int64 {
	if t := c.Team(s.Team); t != nil && t.Limited() {
		return protocol.RingToken(s.Team)
	}
	return protocol.RingToken(s.ID)
}

// ---- feeds

func (o *Owner) follow(name string, h HolderCaller) {
	var inc, since uint64
	for o.ctx.Err() == nil {
		var a FeedArgs
		if !o.ask(o.ctx, func() {
			a = FeedArgs{Caller: o.cfg.Name, Fence: protocol.NewToken(o.session.Term(), o.peers[name].fence),
				Incarnation: inc, Since: since, WaitMs: o.cfg.SummaryEvery.Milliseconds()}
			if w := o.window(); w != nil {
				a.Window = w.Number
			}
		}) {
			return
		}
		if o.session.Term() == 0 {
			pause(o.ctx, 100*time.Millisecond)
			continue
		}
		var r FeedReply
		sent := time.Now()
		if err := h.Feed(o.ctx, a, &r); err != nil {
			slog.Debug("no feed", "holder", name, "err", err)
			o.tell(func() { o.peers[name].valid = false })
			pause(o.ctx, 300*time.Millisecond)
			continue
		}
		inc, since = r.Incarnation, r.Version
		o.ask(o.ctx, func() { o.feed(name, &a, &r, sent) })
		pause(o.ctx, 20*time.Millisecond)
	}
}

// feed takes in a holder's reply to a request that was sent at the time.
func (o *Owner) feed(name string, a *FeedArgs, r *FeedReply, sent time.Time) {
	p := o.peers[name]
	p.incarnation, p.version, p.valid, p.heard = r.Incarnation, r.Version, r.Valid, time.Now()
	if w := o.window(); o.latest != nil && r.Window == o.latest.Number && w != nil && w.Number < r.Window {
		o.obey(o.latest) // the holder obeys it already and refuses older ones
	}
	kept := r.Machines[:0]
	for _, m := range r.Machines {
		if !o.gone[m.ID] {
			kept = append(kept, m)
		}
	}
	r.Machines = kept
	o.touched(o.board.apply(name, r, time.Now()))
	o.dirty = true
	for id, js := range o.unclear {
		for i, ps := range js.pending {
			if o.resolved(ps, name, a, r) {
				delete(js.pending, i)
				js.stale = true
			}
		}
		if js.gain == 0 || js.settled {
			if len(js.pending) == 0 {
				delete(o.unclear, id)
			}
			continue
		}
		if !js.known.Before(sent) {
			continue
		}
		for _, s := range r.Slots {
			if s.Complete && r.Window >= js.gain && a.Fence.Term() == o.session.Term() {
				js.seen[s.Slot] = true
			}
		}
		js.settled = len(js.seen) >= o.slots
	}
}

// touched notes of which jobs the board shows something new.
func (o *Owner) touched(jobs map[string]bool) {
	for id := range jobs {
		if js := o.active[id]; js != nil {
			js.stale = true
		}
	}
}

// resolved tells whether a start that was asked for shows on the board by
// now, or never will.
func (o *Owner) resolved(ps *pendingStart, name string, a *FeedArgs, r *FeedReply) bool {
	s := o.board.slots[ps.slot]
	if s != nil && s.term > ps.term && s.complete {
		return true // a new holder knows all that is there
	}
	if name != ps.holder || !o.shown(ps, name, r.Incarnation, r.Version) {
		return false
	}
	// Outcome unknown: void once the holder has promised so, unless shown.
	return ps.acked || ps.unknown && a.Fence > ps.id
}

// shown tells whether the holder's news, of a time when it still held the
// machine, covers what it said of the start. A holder that takes a start on
// and then gives the slot up never shows it: only its successor will.
func (o *Owner) shown(ps *pendingStart, name string, incarnation, version uint64) bool {
	s := o.board.slots[ps.slot]
	if s == nil || s.holder != name || s.term != ps.term || s.version != version {
		return false
	}
	return ps.acked && incarnation == ps.ackInc && version >= ps.version || !ps.acked && incarnation == ps.inc
}

// ---- windows

func (o *Owner) window() *bookkeeping.Window {
	if len(o.windows) == 0 {
		return nil
	}
	return o.windows[len(o.windows)-1]
}

func (o *Owner) windowChanged(w *bookkeeping.Window) {
	if o.latest == nil || w.Number > o.latest.Number {
		if o.latest != nil && (o.window() == nil || o.latest.Number > o.window().Number) {
			o.obey(o.latest) // it was superseded before it began here
		}
		o.latest = w
	}
}

// obey adopts a window and works out which jobs are ours, since when.
func (o *Owner) obey(w *bookkeeping.Window) {
	cur := o.window()
	if cur != nil && w.Number != cur.Number+1 {
		o.windows = nil // what happened in between is not known
	}
	if n := len(o.windows); n > 0 && slices.Equal(o.windows[n-1].Owners, w.Owners) {
		// Nothing changes hands: keep the first of equal windows as well,
		// since it is the one that gains count from.
		if n > 1 && slices.Equal(o.windows[n-2].Owners, w.Owners) {
			o.windows[n-1] = w
		} else {
			o.windows = append(o.windows, w)
		}
	} else {
		o.windows = append(o.windows, w)
	}
	if len(o.windows) > 16 {
		o.windows = slices.Clone(o.windows[len(o.windows)-16:])
	}
	for _, js := range o.active {
		o.settle(js)
	}
	o.dirty = true
}

// gainOf is the number of the window since which a token is ours without a
// break, 0 if it isn't.
func (o *Owner) gainOf(token int64) uint64 {
	gain := uint64(0)
	for i := len(o.windows) - 1; i >= 0 && o.windows[i].Owner(token) == o.cfg.Name; i-- {
		gain = o.windows[i].Number
	}
	return gain
}

// settle brings up to date whether, and since when, a job is ours.
func (o *Owner) settle(js *jobState) {
	gain := o.gainOf(js.job.Token)
	if gain == js.gain || gain != 0 && js.gain != 0 && gain > js.gain && len(o.windows) > 1 {
		return // unchanged, or only the memory of windows was cut
	}
	js.gain, js.seen, js.stale = gain, map[int]bool{}, true
	born := o.bornBy(gain)
	js.settled = gain != 0 && born != 0 && js.job.Created > born
	if gain != 0 && !js.settled {
		o.unclear[js.job.Spec.ID] = js
	}
}

// presentSince is the first window in a row with the present owners, 0 if
// there is none yet.
func (o *Owner) presentSince() uint64 {
	since := uint64(0)
	for i := len(o.windows) - 1; i >= 0 && slices.Equal(o.windows[i].Owners, o.window().Owners); i-- {
		since = o.windows[i].Number
	}
	return since
}

// learnBorn finds out from which revision on jobs are surely new to all: all
// holders had promised to obey only the present owners. It does so for the
// first window with these owners, since no part of a range was gained later.
func (o *Owner) learnBorn() {
	g := o.presentSince()
	if g == 0 || o.born[g] != 0 || o.asking[g] || !o.board.allComplete(o.slots, g) {
		return
	}
	o.asking[g] = true
	go func() {
		rev, err := o.store.Revision(o.ctx)
		o.tell(func() {
			delete(o.asking, g)
			if err == nil {
				if len(o.born) > 64 {
					clear(o.born)
				}
				o.born[g] = rev
			}
		})
	}()
}

// ---- records

func (o *Owner) jobChanged(j *bookkeeping.Job) {
	id := j.Spec.ID
	js := o.jobs[id]
	if js == nil {
		js = &jobState{job: j, known: time.Now(), pending: map[int]*pendingStart{}, retryAt: map[int]time.Time{}, badOn: map[string]bool{}, seen: map[int]bool{}}
		o.jobs[id] = js
		if !j.Final() {
			o.active[id] = js
			o.settle(js)
			o.countArrival(js)
		}
	}
	js.job, js.stale = j, true
	if j.Final() && !j.Archived {
		o.ended[id] = j
	} else {
		delete(o.ended, id)
	}
	if j.Final() && o.active[id] != nil {
		delete(o.active, id)
		delete(o.unclear, id)
		js.pending, js.retryAt, js.seen, js.badOn = nil, nil, nil, nil
	}
	o.dirty = true
	if len(o.jobs) > maxFinal+len(o.active) {
		o.evict()
	}
}

// maxFinal bounds how many jobs that are over are kept at hand.
const maxFinal = 8000

func (o *Owner) evict() {
	n := maxFinal / 4
	for id, js := range o.jobs {
		if js.job.Final() && o.board.tasks[id] == nil {
			delete(o.jobs, id)
			if n--; n == 0 {
				return
			}
		}
	}
}

func (o *Owner) machineChanged(id string, m *bookkeeping.Machine) {
	if m != nil {
		if !o.gone[id] {
			o.machReg[id] = m
		}
		return
	}
	// The registry drops a machine once its return was answered: it is gone.
	delete(o.machReg, id)
	if len(o.gone) > 5000 {
		clear(o.gone)
	}
	o.gone[id] = true
	touched := map[string]bool{}
	o.board.remove(id, touched)
	o.touched(touched)
	for _, js := range o.unclear {
		for i, ps := range js.pending {
			if ps.machine == id {
				delete(js.pending, i)
				js.stale = true
			}
		}
	}
	o.dirty = true
}

// Status is what this controller knows of a job, nil if nothing.
func (o *Owner) Status(ctx context.Context, id string) (job *bookkeeping.Job, running int) {
	o.ask(ctx, func() {
		if js := o.jobs[id]; js != nil {
			job = js.job
			for _, list := range o.board.tasks[id] {
				for _, i := range list {
					if i.running() {
						running++
					}
				}
			}
		}
	})
	return job, running
}

// ---- the loop

const (
	planEvery = 100 * time.Millisecond
	// reviewEvery is how often a job is looked at of which nothing new is known.
	reviewEvery = time.Second
)

func (o *Owner) tick() {
	now := time.Now()
	if o.latest != nil && (o.window() == nil || o.latest.Number > o.window().Number) && now.UnixMilli() >= o.latest.StartMs {
		o.obey(o.latest)
	}
	o.learnBorn()
	o.lookUp()
	o.archive()
	others := false
	for name, p := range o.peers {
		others = others || name != o.cfg.Name && p.valid && now.Sub(p.heard) < 6*time.Second
	}
	o.othersValid.Store(others)
	if o.dirty && now.Sub(o.planned) >= planEvery || now.Sub(o.planned) > time.Second {
		o.dirty, o.planned = false, now
		o.plan(now)
	}
}

// lookUp asks for jobs of which machines have tasks and the replica knows
// nothing: a controller that starts does not read those that are over, yet
// what is left of them takes room, and must be stopped and forgotten.
func (o *Owner) lookUp() {
	if o.looking || len(o.board.tasks) == 0 {
		return
	}
	var unknown []string
	for id := range o.board.tasks {
		if o.jobs[id] == nil && len(unknown) < 16 {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) == 0 {
		return
	}
	o.looking = true
	go func() {
		for _, id := range unknown {
			j, err := o.store.ReadJob(o.ctx, id)
			if err != nil {
				break
			}
			if j != nil && j.Final() { // others come through the replica
				o.found(j)
			}
		}
		pause(o.ctx, time.Second)
		o.tell(func() { o.looking = false })
	}()
}

// archiveEvery is how often records of jobs that are over are moved, and
// archiveMost how many at a time.
const (
	archiveEvery = time.Second
	archiveMost  = 32
)

// archive has the records of this range's jobs that are over moved to where
// they are not read at a start. It takes what the state service's budget has
// to spare.
func (o *Owner) archive() {
	if o.archiving || len(o.ended) == 0 || !o.session.Valid() {
		return
	}
	var jobs []*bookkeeping.Job
	for _, j := range o.ended {
		if o.gainOf(j.Token) != 0 {
			if jobs = append(jobs, j); len(jobs) == archiveMost {
				break
			}
		}
	}
	if len(jobs) == 0 {
		return
	}
	o.archiving = true
	go func() {
		o.store.Archive(o.ctx, jobs)
		pause(o.ctx, archiveEvery)
		o.tell(func() { o.archiving = false })
	}()
}

// requests collects what a planning round asks of each holder.
type requests map[string]*AskArgs

func (o *Owner) to(rq requests, m *boardMachine) *AskArgs {
	a := rq[m.holder]
	if a == nil {
		a = &AskArgs{Caller: o.cfg.Name}
		rq[m.holder] = a
	}
	return a
}

// plan works out the difference between what the jobs want and what is, and
// asks the holders for it.
func (o *Owner) plan(now time.Time) {
	if !o.session.Valid() || o.window() == nil {
		return
	}
	rq := requests{}
	var ready []*jobState
	var outcomes []bookkeeping.Outcome
	for _, js := range o.active {
		if js.gain == 0 {
			continue
		}
		if js.stale || now.Sub(js.reviewed) >= reviewEvery {
			js.stale, js.reviewed = false, now
			if out := o.review(js, now, rq); len(out.Tasks) > 0 {
				js.stale = out.Finishes()
				if js.stale || now.Sub(js.recorded) >= resultsEvery {
					outcomes = append(outcomes, out)
				}
			}
		}
		if js.settled && js.missing > 0 && !now.Before(js.blocked) {
			ready = append(ready, js)
		}
	}
	o.record(outcomes)
	slices.SortFunc(ready, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(b.job.Spec.Priority.Rank(), a.job.Spec.Priority.Rank()), o.due(a).Compare(o.due(b)),
			cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	o.usable, o.scarceNow = nil, o.scarce()
	o.promise()
	budget := 64
	for _, js := range ready {
		if budget <= 0 {
			o.dirty = true
			break
		}
		budget -= o.placeJob(js, now, rq)
	}
	for name, a := range rq {
		o.send(name, a)
	}
}

// due orders jobs of one priority: by what is due first.
func (o *Owner) due(js *jobState) time.Time {
	s := js.job.Spec
	if s.DeadlineS != nil {
		return js.job.Accepted.Add(protocol.Seconds(*s.DeadlineS) - s.Estimate())
	}
	return js.job.Accepted.Add(time.Minute)
}

// resultsEvery is how often results of a job are written that don't finish it:
// only the last ones are waited for.
const resultsEvery = time.Second

// record writes results; a worker may forget one only afterwards. Those that
// finish a job come first, then those of jobs with most to tell.
func (o *Owner) record(outcomes []bookkeeping.Outcome) {
	if len(outcomes) == 0 || o.recording {
		return
	}
	slices.SortFunc(outcomes, func(a, b bookkeeping.Outcome) int {
		if x, y := a.Finishes(), b.Finishes(); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(len(b.Tasks), len(a.Tasks))
	})
	outcomes = outcomes[:min(len(outcomes), o.store.MostOutcomes())]
	for _, out := range outcomes {
		o.active[out.Job.Spec.ID].recorded = time.Now()
	}
	o.recording = true
	go func() {
		o.store.Record(o.ctx, outcomes)
		// What was written comes back through the replica.
		pause(o.ctx, 100*time.Millisecond)
		o.tell(func() { o.recording, o.dirty = false, true })
	}()
}

// review looks at what is there of a job: results to record, exited attempts
// to forget, tasks that must stop.
func (o *Owner) review(js *jobState, now time.Time, rq requests) (out bookkeeping.Outcome) {
	j := js.job
	out.Job = j
	js.missing = j.Spec.Tasks - j.DoneCount() - len(js.pending)
	for index, list := range o.board.tasks[j.Spec.ID] {
		if begun := j.Spec.Shape != protocol.Gang || list[0].begun(); begun && !j.TaskDone(index) && js.pending[index] == nil {
			js.missing--
		}
		var keep *inst
		for _, i := range list {
			if i.exited() {
				o.reviewExit(js, index, i, now, rq, &out)
				continue
			}
			if keep == nil || i.since.Before(keep.since) {
				keep = i
			}
		}
		for _, i := range list {
			// Two of one task cannot be by our doing; should it happen, the
			// younger one goes.
			if !i.exited() && (i != keep && len(list) > 1 || j.TaskDone(index)) {
				o.askStop(i, 0, now, rq)
			}
		}
	}
	o.rescue(js, now, rq)
	if j.Spec.Shape == protocol.Gang && len(out.Tasks) > 0 {
		out.Tasks = out.Tasks[:0]
		for t := range j.Spec.Tasks {
			out.Tasks = append(out.Tasks, t) // a gang completes together
		}
	}
	return out
}

// rescue has tasks save what they can on machines that are being taken away;
// the tasks of a gang must all be told.
func (o *Owner) rescue(js *jobState, now time.Time, rq requests) {
	s := js.job.Spec
	if !s.Saves() {
		return
	}
	for _, list := range o.board.tasks[s.ID] {
		for _, i := range list {
			if !i.machine.Leaving || !i.running() {
				continue
			}
			if s.Shape == protocol.Gang {
				o.stopGang(js, 2*s.SaveS, now, rq)
				return
			}
			o.askStop(i, 2*s.SaveS, now, rq)
		}
	}
}

func (o *Owner) reviewExit(js *jobState, index int, i *inst, now time.Time, rq requests, out *bookkeeping.Outcome) {
	if i.Cause == protocol.CauseDone {
		if !js.job.TaskDone(index) {
			out.Tasks = append(out.Tasks, index)
		}
		return // the holder has it forgotten once the result is recorded
	}
	if now.Sub(i.asked) < 2*time.Second {
		return
	}
	if i.asked.IsZero() {
		delay := time.Duration(0)
		switch i.Cause {
		case protocol.CauseError:
			js.errors++
			js.badOn[i.machine.ID] = true
			delay = min(30*time.Second, 500*time.Millisecond<<min(js.errors, 7))
			if len(js.badOn) < 3 {
				delay = 0 // mostly the machine's fault: try elsewhere at once
			}
		case "no_room", "in_use", "unknown":
			delay = time.Second
		}
		js.retryAt[index] = now.Add(delay)
		slog.Info("task exited", "task", i.Task, "machine", i.machine.ID, "cause", i.Cause)
	}
	i.asked = now
	a := o.to(rq, i.machine)
	a.Stops = append(a.Stops, Stop{Task: i.Task, Attempt: i.Attempt, Machine: i.machine.ID, Forget: true})
}

func (o *Owner) askStop(i *inst, grace float64, now time.Time, rq requests) {
	if now.Sub(i.asked) < 2*time.Second {
		return
	}
	i.asked = now
	a := o.to(rq, i.machine)
	a.Stops = append(a.Stops, Stop{Task: i.Task, Attempt: i.Attempt, Machine: i.machine.ID, GraceS: grace})
}

// promise adds up the room of starts that the board does not show yet.
func (o *Owner) promise() {
	for _, m := range o.board.machines {
		m.promised = protocol.Room{}
	}
	for _, js := range o.unclear {
		for _, ps := range js.pending {
			if m := o.board.machines[ps.machine]; m != nil {
				m.promised = m.promised.Add(ps.need)
			}
		}
	}
}

// newAttempt gives an attempt number that was never used: the controller's
// incarnation is unique, and the sequence rises within it.
func (o *Owner) newAttempt() uint64 {
	o.seq++
	return uint64(protocol.NewToken(o.session.Term(), o.seq))
}

// start adds a start to the round's requests.
func (o *Owner) start(js *jobState, index int, attempt uint64, c choice, reserve bool, rq requests) {
	m := c.machine
	slog.Debug("placing", "job", js.job.Spec.ID, "index", index, "class", js.job.Spec.Class, "machine", m.ID, "evict", len(c.evict),
		"cached", slices.Contains(m.Images, js.job.Spec.Image), "waited", time.Since(js.job.Accepted))
	a := o.to(rq, m)
	a.Starts = append(a.Starts, Start{Task: protocol.TaskName(js.job.Spec.ID, index), Attempt: attempt, Machine: m.ID, Evict: c.evict, Reserve: reserve})
	ps := &pendingStart{machine: m.ID, holder: m.holder, inc: o.peers[m.holder].incarnation, slot: m.Slot, term: m.Term,
		need: js.job.Spec.Need()}
	js.pending[index] = ps
	js.stale = true
	o.unclear[js.job.Spec.ID] = js
	m.promised = m.promised.Add(ps.need)
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
			if p := o.peers[name]; o.shown(mine[k], name, p.incarnation, p.version) {
				delete(js.pending, index)
			}
		}
	}
}
