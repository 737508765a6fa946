package coordination

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/fleet"
	"daledyke/internal/learn"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/ring"
)

// HolderCaller reaches a holder: a sibling's over net/rpc, or our own.
type HolderCaller interface {
	Feed(ctx context.Context, a FeedArgs, r *board.News) error
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

	board  *board.Board
	types  map[string]protocol.MachineType
	jobs   map[string]*jobState
	active map[string]*jobState // not final
	// unclear are the active jobs of which a start's outcome, or what former
	// owners started, is not known yet.
	unclear map[string]*jobState
	machReg map[string]*bookkeeping.Machine
	rosters map[int]bookkeeping.Roster
	gone    recent // machines that the registry dropped

	windows []*bookkeeping.Window // those obeyed in a row without a gap, bounded
	latest  *bookkeeping.Window
	born    map[uint64]uint64 // gain window -> jobs created after this revision are new
	asking  map[uint64]bool

	seq      uint64
	inFlight map[string]bool // holders with a request under way
	peers    map[string]*peerState
	// misrouted is told what siblings say of this controller's machines that reported to them.
	misrouted func(s board.Stray, told bool, heard time.Time)
	// failing are active jobs of which tasks failed; think is told what is
	// thought of them.
	failing map[string]*jobState
	judged  time.Time
	think   func(job string, o placement.Verdict)

	// ending and recording: what ends jobs, and other results, is being written.
	ending, recording bool
	// ended are jobs that are over and whose records have not been moved yet.
	ended      map[string]*bookkeeping.Job
	archiving  bool
	looking    bool // for jobs that are not known
	found      func(*bookkeeping.Job)
	dirty      bool
	planned    time.Time
	classes    map[string]*fleet.Class
	rng        *rand.Rand
	unmetNeeds map[kind]unmetNeed
	lately     placement.RecentPlacements
	// turns are those of teams' large jobs, by team.
	turns map[string]*placement.LimitReservation
	// runs are the run times that were seen, held how many tasks wait in this round for room where
	// their image is, by image.
	runs learn.RunTimes
	held map[string]int
	// moves is how many moves of replicas were begun.
	moves int
	// wanted are the images of tasks that are not begun, as they were at wantedAt.
	wanted   map[string]bool
	wantedAt time.Time

	// usable, scarceNow and teams are worked out once a round.
	teams     *teams
	usable    []*board.Machine
	scarceNow map[string]bool

	// boots and toldStill serve what is told of jobs that wait; refused are
	// kinds of machines that the cloud has none of, as a leader knows.
	boots     boots
	toldStill time.Time
	refused   []fleet.Kind

	quotas quotas

	// othersValid: some sibling says that its session lives; othersHeard: some was heard of
	// at all. othersServed is when the state service last did what any of them asked, in
	// milliseconds.
	othersValid, othersHeard atomic.Bool
	othersServed             atomic.Int64
}

type peerState struct {
	incarnation, version uint64
	fence                uint64 // sequence below which requests are void
	fed                  uint64 // the incarnation of ours that it answered last
	valid                bool
	heard, served        time.Time
	generation           int // of its process, as its session's record says
}

type jobState struct {
	job *bookkeeping.Job
	// known is when this controller first saw the job, ready when it saw that
	// all those that it needs are done.
	known, ready time.Time
	// shares are the blocks of its tasks that are ours to place, in their order.
	shares []*share
	// gain is the window since which we own the job itself without a break, 0 if we
	// don't: its owner, who has its first block, records its results and ends it.
	gain    uint64
	pending map[int]*pendingStart
	retryAt map[int]time.Time
	errors  int
	// badOn are machines on which tasks of the job failed, each with whether
	// it was sound otherwise; opinion is what is thought of the job for it.
	badOn   map[string]bool
	opinion placement.Verdict
	trials  int
	trialAt time.Time
	// waitFrom is since when a running gang lacks a task.
	waitFrom time.Time
	blocked  time.Time // no room was found; look again then
	moveAt   time.Time // no replica is moved before
	// keptFrom is since when what comes free is kept for it, a gang, keptAt when that was last
	// asked for.
	keptFrom, keptAt time.Time

	// stale: something changed since it was last reconciled; missing is how many tasks of
	// settled blocks it found neither done nor begun nor asked for.
	stale      bool
	reconciled time.Time
	recorded   time.Time
	missing    int

	// permits are those of its team's quotas that are not used yet, binds the
	// account whose limit lets no more start, wantAt when to ask again.
	permits map[int]*permit
	binds   string
	wantAt  time.Time
}

// NewOwner makes the actor.
func NewOwner(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, holders map[string]HolderCaller, found func(*bookkeeping.Job), think func(string, placement.Verdict), lenders map[string]LendCaller) *Owner {
	known := board.New()
	known.StartCommandLifetime = commandLifetime(c)
	return &Owner{quotas: newQuotas(c.Quotas, lenders), actor: newActor(ctx), cfg: c, session: session, store: store, holders: holders, found: found, think: think,
		slots: ring.SlotCount(len(c.Siblings) + 1), board: known, types: map[string]protocol.MachineType{},
		jobs: map[string]*jobState{}, active: map[string]*jobState{}, unclear: map[string]*jobState{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), machReg: map[string]*bookkeeping.Machine{},
		rosters: map[int]bookkeeping.Roster{},
		born:    map[uint64]uint64{}, asking: map[uint64]bool{}, inFlight: map[string]bool{}, peers: map[string]*peerState{},
		classes: map[string]*fleet.Class{}, ended: map[string]*bookkeeping.Job{}, failing: map[string]*jobState{}, unmetNeeds: map[kind]unmetNeed{}, turns: map[string]*placement.LimitReservation{}, lately: placement.RecentPlacements{HalfLife: latelyHalf}}
}

// Run follows all holders' feeds and runs the actor until its context ends.
func (o *Owner) Run() {
	for name, h := range o.holders {
		o.peers[name] = &peerState{}
		go o.follow(name, h)
	}
	o.loop(100*time.Millisecond, o.tick)
}

func (o *Owner) jobChanged(j *bookkeeping.Job) {
	id, now := j.Spec.ID, time.Now()
	js := o.jobs[id]
	if js == nil {
		js = &jobState{job: j, known: now, pending: map[int]*pendingStart{}, retryAt: map[int]time.Time{}, badOn: map[string]bool{}}
		o.jobs[id] = js
		if !j.Final() {
			o.active[id] = js
			o.settle(js)
		}
	}
	js.job, js.stale = j, true
	if j.Final() && !j.Archived {
		o.ended[id] = j
	} else {
		delete(o.ended, id)
	}
	if j.WaitingOn == 0 && js.ready.IsZero() && !j.Final() {
		js.ready = now
		o.countArrival(js)
	}
	if j.Final() && o.active[id] != nil {
		if j.CancelledWith != "" && js.gain != 0 {
			slog.Info("cancelled with another", "job", id, "with", j.CancelledWith)
		}
		delete(o.active, id)
		delete(o.unclear, id)
		o.keepOrphanedStarts(js)
		js.pending, js.retryAt, js.badOn, js.permits = nil, nil, nil, nil
	}
	o.updateRunning(id)
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
		if js.job.Final() && o.board.Tasks[id] == nil {
			delete(o.jobs, id)
			if n--; n == 0 {
				return
			}
		}
	}
}

func (o *Owner) machineChanged(id string, m *bookkeeping.Machine) {
	if m != nil {
		if !o.gone.has(id) {
			o.machReg[id] = m
		}
		return
	}
	// The registry drops a machine once its return was answered: it is gone.
	delete(o.machReg, id)
	o.gone.add(id)
	touched := map[string]bool{}
	o.board.Remove(id, touched)
	o.touched(touched)
	for at, ps := range o.quotas.orphanedStarts {
		if ps.machine == id {
			delete(o.quotas.orphanedStarts, at)
		}
	}
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

const (
	planEvery = 100 * time.Millisecond
	// reconcileEvery is how often a job is looked at of which nothing new is known.
	reconcileEvery = time.Second
)

func (o *Owner) tick() {
	now := time.Now()
	if o.latest != nil && (o.window() == nil || o.latest.Number > o.window().Number) && now.UnixMilli() >= o.latest.StartMs {
		o.obey(o.latest)
	}
	o.learnBorn()
	o.archive()
	if now.Sub(o.judged) >= time.Second {
		o.judged = now
		o.touched(o.board.ExpireLost(now))
		o.judgeJobs(now)
		o.lookUp()
		o.tellStandstill(now)
	}
	var valid, heard bool
	for name, p := range o.peers {
		lately := name != o.cfg.Name && now.Sub(p.heard) < heardLately
		valid, heard = valid || lately && p.valid, heard || lately
		if lately && !p.served.IsZero() {
			o.othersServed.Store(max(o.othersServed.Load(), p.served.UnixMilli()))
		}
	}
	o.othersValid.Store(valid)
	o.othersHeard.Store(heard)
	if o.dirty && now.Sub(o.planned) >= planEvery || now.Sub(o.planned) > time.Second {
		o.dirty, o.planned = false, now
		o.plan(now)
	}
}

// heardLately is for how long what a sibling said of itself counts.
const heardLately = 6 * time.Second

// latelyHalf is the half-life of what teams had placed: as long as room takes to come
// free by itself, give or take.
const latelyHalf = 15 * time.Second

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
		if len(js.shares) == 0 || js.job.WaitingOn > 0 && len(o.board.Tasks[js.job.Spec.ID]) == 0 {
			continue // there may be thousands that wait for others
		}
		if js.stale || now.Sub(js.reconciled) >= reconcileEvery {
			js.stale, js.reconciled = false, now
			if out := o.reconcile(js, now, rq); len(out.Tasks) > 0 {
				js.stale = out.Finishes()
				if js.stale || now.Sub(js.recorded) >= resultsEvery {
					outcomes = append(outcomes, out)
				}
			}
		}
		if js.missing > 0 && js.job.WaitingOn == 0 && !now.Before(js.blocked) && !o.isKnownUnmet(js, now) && o.onTrial(js, now) {
			ready = append(ready, js)
		}
	}
	o.record(outcomes)
	slices.SortFunc(ready, o.sooner)
	placement.InterleaveTeams(ready, func(js *jobState) placement.QueuedJob {
		w := placement.QueuedJob{Level: -js.job.Rank, Team: js.job.Spec.Team, Tasks: js.missing}
		if js.job.Filler {
			w.Level = 1 // behind all other work
		}
		return w
	}, &o.lately, now)
	o.usable, o.scarceNow, o.teams, o.held = nil, o.scarce(), nil, map[string]int{}
	o.addPendingStarts()
	budget := 64
	for _, js := range ready {
		if budget <= 0 {
			o.dirty = true
			break
		}
		if !o.isKnownUnmet(js, now) {
			budget -= o.placeJob(js, now, rq)
		}
	}
	if o.quotas.tree != nil {
		o.stopYielding(now, rq)
		o.borrow(now)
	}
	for name, a := range rq {
		o.send(name, a)
	}
}

// due is what jobs of one priority are ordered by.
func (o *Owner) due(js *jobState) time.Time {
	if end := js.job.Deadline; !end.IsZero() {
		return end.Add(-js.job.Spec.Estimate())
	}
	return js.job.Ready.Add(time.Minute)
}

// sooner orders jobs of one priority.
func (o *Owner) sooner(a, b *jobState) int {
	return cmp.Or(o.due(a).Compare(o.due(b)), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
}

// addPendingStarts adds up the room of starts that the board does not show yet.
func (o *Owner) addPendingStarts() {
	for _, m := range o.board.Machines {
		m.RequestedRoom = protocol.Room{}
	}
	for _, js := range o.unclear {
		for _, ps := range js.pending {
			if m := o.board.Machines[ps.machine]; m != nil {
				m.RequestedRoom = m.RequestedRoom.Add(ps.need)
			}
		}
	}
}
