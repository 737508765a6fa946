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

	board        *board.Board
	machineTypes map[string]protocol.MachineType
	jobs         map[string]*jobState
	active       map[string]*jobState // not final
	// unresolved are the active jobs of which a start's outcome, or what former
	// owners started, is not known yet.
	unresolved         map[string]*jobState
	registeredMachines map[string]*bookkeeping.Machine
	rosters            map[int]bookkeeping.Roster
	removedMachines    recent // machines that the registry dropped

	windows          []*bookkeeping.Window // those obeyed in a row without a gap, bounded
	latestWindow     *bookkeeping.Window
	gainRevisions    map[uint64]uint64 // gain window -> jobs created after this revision are new
	fetchingRevision map[uint64]bool

	seq      uint64
	inFlight map[string]bool // holders with a request under way
	peers    map[string]*peerState
	// handleStray is told what siblings say of this controller's machines that reported to them.
	handleStray func(s board.Stray, told bool, heard time.Time)
	// failingJobs are active jobs of which tasks failed; think is told what is
	// thought of them.
	failingJobs    map[string]*jobState
	judgedAt       time.Time
	publishOpinion func(job string, o placement.Opinion)

	// writingFinal and writingPartial: what ends jobs, and other results, is being written.
	writingFinal, writingPartial bool
	// unarchived are jobs that are over and whose records have not been moved yet.
	unarchived       map[string]*bookkeeping.Job
	archiving        bool
	lookingUp        bool // for jobs that are not known
	addFinalJob      func(*bookkeeping.Job)
	dirty            bool
	plannedAt        time.Time
	classes          map[string]*fleet.Class
	rng              *rand.Rand
	unmetNeeds       map[needKind]unmetNeed
	recentPlacements placement.Lately
	// turns are those of teams' large jobs, by team.
	turns map[string]*placement.Turn
	// runTimes are the run times that were seen, held how many tasks wait in this round for room where
	// their image is, by image.
	runTimes        learn.Runs
	waitingForImage map[string]int
	// startedMoves is how many startedMoves of replicas were begun.
	startedMoves int
	// wantedImageSet are the images of tasks that are not begun, as they were at wantedAt.
	wantedImageSet map[string]bool
	wantedImagesAt time.Time

	// usable, scarceNow and teamUsageCache are worked out once a round.
	teamUsageCache *teamUsage
	usableCache    []*board.Machine
	scarceTypes    map[string]bool

	// fleetCache and toldStill serve what is told of jobs that wait; refused are
	// kinds of machines that the cloud has none of, as a leader knows.
	fleetCache         fleetSummary
	standstillLoggedAt time.Time
	refusedKinds       []fleet.Kind

	quotas quotas

	// siblingSessionValid: some sibling says that its session lives; siblingHeard: some was heard of
	// at all. othersServed is when the state service last did what any of them asked, in
	// milliseconds.
	siblingSessionValid, siblingHeard atomic.Bool
	siblingServedMs                   atomic.Int64
}

type peerState struct {
	incarnation, version uint64
	fence                uint64 // sequence below which requests are void
	answeredIncarnation  uint64 // the incarnation of ours that it answered last
	sessionValid         bool
	heardAt, servedAt    time.Time
	generation           int // of its process, as its session's record says
}

type jobState struct {
	job *bookkeeping.Job
	// firstSeen is when this controller first saw the job, readyAt when it saw that
	// all those that it needs are done.
	firstSeen, readyAt time.Time
	// shares are the blocks of its tasks that are ours to place, in their order.
	shares []*share
	// gainWindow is the window since which we own the job itself without a break, 0 if we
	// don't: its owner, who has its first block, records its results and ends it.
	gainWindow uint64
	pending    map[int]*pendingStart
	retryAt    map[int]time.Time
	errorCount int
	// failedOn are machines on which tasks of the job failed, each with whether
	// it was sound otherwise; opinion is what is thought of the job for it.
	failedOn    map[string]bool
	opinion     placement.Opinion
	trialCount  int
	nextTrialAt time.Time
	// incompleteSince is since when a running gang lacks a task.
	incompleteSince time.Time
	blockedUntil    time.Time // no room was found; look again then
	nextMoveAt      time.Time // no replica is moved before
	// advanceSince is since when what comes free is kept for it, a gang, advanceRenewedAt when that was last
	// asked for.
	advanceSince, advanceRenewedAt time.Time

	// stale: something changed since it was last reconciled; missing is how many tasks of
	// settled blocks it found neither done nor begun nor asked for.
	stale        bool
	reconciledAt time.Time
	recordedAt   time.Time
	missing      int

	// permits are those of its team's quotas that are not used yet, binds the
	// account whose limit lets no more start, wantAt when to ask again.
	permits           map[int]*permit
	limitingAccount   string
	nextPermitRequest time.Time
}

// NewOwner makes the actor.
func NewOwner(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, holders map[string]HolderCaller, addFinalJob func(*bookkeeping.Job), publishOpinion func(string, placement.Opinion), lenders map[string]LendCaller) *Owner {
	known := board.New()
	known.StartsLastFor = commandLifetime(c)
	return &Owner{quotas: newQuotas(c.Quotas, lenders), actor: newActor(ctx), cfg: c, session: session, store: store, holders: holders, addFinalJob: addFinalJob, publishOpinion: publishOpinion,
		slots: ring.SlotCount(len(c.Siblings) + 1), board: known, machineTypes: map[string]protocol.MachineType{},
		jobs: map[string]*jobState{}, active: map[string]*jobState{}, unresolved: map[string]*jobState{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), registeredMachines: map[string]*bookkeeping.Machine{},
		rosters:       map[int]bookkeeping.Roster{},
		gainRevisions: map[uint64]uint64{}, fetchingRevision: map[uint64]bool{}, inFlight: map[string]bool{}, peers: map[string]*peerState{},
		classes: map[string]*fleet.Class{}, unarchived: map[string]*bookkeeping.Job{}, failingJobs: map[string]*jobState{}, unmetNeeds: map[needKind]unmetNeed{}, turns: map[string]*placement.Turn{}, recentPlacements: placement.Lately{HalfLife: recentPlacementHalfLife}}
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
		js = &jobState{job: j, firstSeen: now, pending: map[int]*pendingStart{}, retryAt: map[int]time.Time{}, failedOn: map[string]bool{}}
		o.jobs[id] = js
		if !j.Final() {
			o.active[id] = js
			o.settle(js)
		}
	}
	js.job, js.stale = j, true
	if j.Final() && !j.Archived {
		o.unarchived[id] = j
	} else {
		delete(o.unarchived, id)
	}
	if j.Waits == 0 && js.readyAt.IsZero() && !j.Final() {
		js.readyAt = now
		o.countArrival(js)
	}
	if j.Final() && o.active[id] != nil {
		if j.With != "" && js.gainWindow != 0 {
			slog.Info("cancelled with another", "job", id, "with", j.With)
		}
		delete(o.active, id)
		delete(o.unresolved, id)
		o.haunt(js)
		js.pending, js.retryAt, js.failedOn, js.permits = nil, nil, nil, nil
	}
	o.recount(id)
	o.dirty = true
	if len(o.jobs) > maxFinalJobs+len(o.active) {
		o.evictFinalJobs()
	}
}

// maxFinalJobs bounds how many jobs that are over are kept at hand.
const maxFinalJobs = 8000

func (o *Owner) evictFinalJobs() {
	n := maxFinalJobs / 4
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
		if !o.removedMachines.has(id) {
			o.registeredMachines[id] = m
		}
		return
	}
	// The registry drops a machine once its return was answered: it is gone.
	delete(o.registeredMachines, id)
	o.removedMachines.add(id)
	touched := map[string]bool{}
	o.board.Remove(id, touched)
	o.touched(touched)
	for at, ps := range o.quotas.ghosts {
		if ps.machine == id {
			delete(o.quotas.ghosts, at)
		}
	}
	for _, js := range o.unresolved {
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
	planInterval = 100 * time.Millisecond
	// reconcileInterval is how often a job is looked at of which nothing new is known.
	reconcileInterval = time.Second
)

func (o *Owner) tick() {
	now := time.Now()
	if o.latestWindow != nil && (o.window() == nil || o.latestWindow.Number > o.window().Number) && now.UnixMilli() >= o.latestWindow.StartMs {
		o.obey(o.latestWindow)
	}
	o.learnBorn()
	o.archiveJobs()
	if now.Sub(o.judgedAt) >= time.Second {
		o.judgedAt = now
		o.touched(o.board.DropLost(now))
		o.judgeJobs(now)
		o.lookUpUnknownJobs()
		o.logStandstill(now)
	}
	var anyValid, anyHeard bool
	for name, p := range o.peers {
		recent := name != o.cfg.Name && now.Sub(p.heardAt) < siblingReportTTL
		anyValid, anyHeard = anyValid || recent && p.sessionValid, anyHeard || recent
		if recent && !p.servedAt.IsZero() {
			o.siblingServedMs.Store(max(o.siblingServedMs.Load(), p.servedAt.UnixMilli()))
		}
	}
	o.siblingSessionValid.Store(anyValid)
	o.siblingHeard.Store(anyHeard)
	if o.dirty && now.Sub(o.plannedAt) >= planInterval || now.Sub(o.plannedAt) > time.Second {
		o.dirty, o.plannedAt = false, now
		o.plan(now)
	}
}

// siblingReportTTL is for how long what a sibling said of itself counts.
const siblingReportTTL = 6 * time.Second

// recentPlacementHalfLife is the half-life of what teams had placed: as long as room takes to come
// free by itself, give or take.
const recentPlacementHalfLife = 15 * time.Second

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
		if len(js.shares) == 0 || js.job.Waits > 0 && len(o.board.Tasks[js.job.Spec.ID]) == 0 {
			continue // there may be thousands that wait for others
		}
		if js.stale || now.Sub(js.reconciledAt) >= reconcileInterval {
			js.stale, js.reconciledAt = false, now
			if out := o.reconcile(js, now, rq); len(out.Tasks) > 0 {
				js.stale = out.Finishes()
				if js.stale || now.Sub(js.recordedAt) >= partialResultsInterval {
					outcomes = append(outcomes, out)
				}
			}
		}
		if js.missing > 0 && js.job.Waits == 0 && !now.Before(js.blockedUntil) && !o.isKnownUnmet(js, now) && o.trialAllowed(js, now) {
			ready = append(ready, js)
		}
	}
	o.recordOutcomes(outcomes)
	slices.SortFunc(ready, o.compareStartDeadline)
	placement.TakeTurns(ready, func(js *jobState) placement.Waiting {
		w := placement.Waiting{Level: -js.job.Rank, Team: js.job.Spec.Team, Tasks: js.missing}
		if js.job.Filler {
			w.Level = 1 // behind all other work
		}
		return w
	}, &o.recentPlacements, now)
	o.usableCache, o.scarceTypes, o.teamUsageCache, o.waitingForImage = nil, o.findScarceTypes(), nil, map[string]int{}
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
		o.yield(now, rq)
		o.borrow(now)
	}
	for name, a := range rq {
		o.sendRequest(name, a)
	}
}

// startDeadline is what jobs of one priority are ordered by.
func (o *Owner) startDeadline(js *jobState) time.Time {
	if end := js.job.End; !end.IsZero() {
		return end.Add(-js.job.Spec.Estimate())
	}
	return js.job.Ready.Add(time.Minute)
}

// compareStartDeadline orders jobs of one priority.
func (o *Owner) compareStartDeadline(a, b *jobState) int {
	return cmp.Or(o.startDeadline(a).Compare(o.startDeadline(b)), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
}

// addPendingStarts adds up the room of starts that the board does not show yet.
func (o *Owner) addPendingStarts() {
	for _, m := range o.board.Machines {
		m.Promised = protocol.Room{}
	}
	for _, js := range o.unresolved {
		for _, ps := range js.pending {
			if m := o.board.Machines[ps.machine]; m != nil {
				m.Promised = m.Promised.Add(ps.need)
			}
		}
	}
}
