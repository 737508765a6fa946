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

// HolderCaller sends requests to a holder: to a sibling's over net/rpc, or to this controller's own.
type HolderCaller interface {
	Feed(ctx context.Context, a FeedArgs, r *board.News) error
	Ask(ctx context.Context, a AskArgs, r *AskReply) error
	Drain(ctx context.Context, a DrainArgs) error
}

// Owner places the tasks of the jobs in this controller's range of the ring. It keeps the board, the view of
// all machines that its decisions are based on.
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
	// unresolved are the jobs for which the outcome of a start is not known yet, whether or not the job has
	// ended since, and the active jobs for which it is not known yet what former owners started.
	unresolved         map[string]*jobState
	registeredMachines map[string]*bookkeeping.Machine
	rosters            map[int]bookkeeping.Roster
	removedMachines    recentNames // machines that were dropped from the registry

	windows          []*bookkeeping.Window // consecutive windows that were adopted, bounded in number
	latestWindow     *bookkeeping.Window
	gainRevisions    map[uint64]uint64 // by gain window: former owners started no job created after this revision
	fetchingRevision map[uint64]bool

	seq   uint64
	peers map[string]*peerState
	// handleMisrouted receives a sibling's notice that a machine of this controller reported to the sibling.
	// detailed is false for a sibling whose version sends no such notices.
	handleMisrouted func(s board.Stray, detailed bool, receivedAt time.Time)
	// failingJobs are active jobs with failed tasks. publishVerdict passes on the verdict on a job.
	failingJobs    map[string]*jobState
	judgedAt       time.Time
	publishVerdict func(job string, verdict placement.Verdict)

	// writingFinal and writingPartial: a write of results that end jobs, or of other results, is in progress.
	writingFinal, writingPartial bool
	// unarchived are the final jobs whose records have not been archived yet.
	unarchived       map[string]*bookkeeping.Job
	archiving        bool
	lookingUp        bool // a lookup of unknown jobs is in progress
	addFinalJob      func(*bookkeeping.Job)
	dirty            bool
	plannedAt        time.Time
	classes          map[string]*fleet.Class
	rng              *rand.Rand
	unmetNeeds       map[needKind]unmetNeed
	recentPlacements placement.RecentPlacements
	// turns holds, by team, the large job whose turn it is to start within the team's limit.
	turns map[string]*placement.LimitReservation
	// runTimes are the observed run times. waitingForImage counts by image the tasks that wait, in this round,
	// for room on a machine that has their image.
	runTimes        learn.RunTimes
	waitingForImage map[string]int
	// startedMoves counts the moves of replicas that were started.
	startedMoves int
	// wantedImageSet are the images of tasks that have not been started, as of wantedImagesAt.
	wantedImageSet map[string]bool
	wantedImagesAt time.Time

	// teamUsageCache, usableCache and scarceTypes are computed once a round.
	teamUsageCache *teamUsage
	usableCache    []*board.Machine
	scarceTypes    map[string]bool

	// fleetCache and standstillLoggedAt serve the reports on waiting jobs. refusedKinds are the kinds of
	// machines of which the cloud has none; only a leader knows them.
	fleetCache         fleetSummary
	standstillLoggedAt time.Time
	refusedKinds       []fleet.Kind

	quotas quotas
	// teamTrails holds, by limited team, what this owner decided for it.
	teamTrails map[string]*teamTrail

	// siblingSessionValid: some sibling reports that its session is valid. siblingHeard: some sibling
	// answered recently. siblingServedMs is when the state service last served a request of any sibling, in
	// Unix milliseconds.
	siblingSessionValid, siblingHeard atomic.Bool
	siblingServedMs                   atomic.Int64
}

type peerState struct {
	incarnation, version uint64
	fence                uint64 // requests with a lower sequence number are void
	answeredTerm         uint64 // this controller's session term in the last feed request that it answered
	sessionValid         bool
	heardAt, servedAt    time.Time
	generation           int // of its process, from its session's record
}

type jobState struct {
	job *bookkeeping.Job
	// firstSeen is when this controller first saw the job, readyAt when it saw that all jobs it needs are
	// done.
	firstSeen, readyAt time.Time
	// ownedBlocks are the blocks of its tasks that this controller places, in order.
	ownedBlocks []*ownedBlock
	// gainWindow is the window since which this controller has owned the job itself without a break, 0 if it
	// does not own it. The job's owner has its first block, records its results and ends it.
	gainWindow uint64
	// pending are the starts whose outcome is not known yet, by task. They outlive the job.
	pending    map[int]*pendingStart
	retryAt    map[int]time.Time
	errorCount int
	// failedOn are the machines on which tasks of the job failed, each with whether it was sound otherwise.
	// verdict is the resulting verdict on the job.
	failedOn map[string]bool
	// lastFailedAt is when a task of the job was last seen to have failed.
	lastFailedAt time.Time
	verdict      placement.Verdict
	trialCount   int
	nextTrialAt  time.Time
	// incompleteSince is since when a running gang has lacked a task.
	incompleteSince time.Time
	blockedUntil    time.Time // no room was found; the next search is then
	nextMoveAt      time.Time // no replica is moved earlier
	// advanceSince is since when machines have been reserved in advance for the job, a gang; advanceRenewedAt
	// is when these reservations were last renewed.
	advanceSince, advanceRenewedAt time.Time

	// stale: something changed since the last reconcile. missing is how many tasks the last reconcile
	// found neither done nor started nor requested, in blocks whose prior starts are known.
	stale        bool
	reconciledAt time.Time
	recordedAt   time.Time
	missing      int

	// permits are the unused permits from its team's quotas, limitingAccount is the account whose limit
	// prevents more starts, nextPermitRequest is when to ask again.
	permits           map[int]*permit
	limitingAccount   string
	nextPermitRequest time.Time
}

// NewOwner creates an owner; Run starts it.
func NewOwner(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, holders map[string]HolderCaller, addFinalJob func(*bookkeeping.Job), publishVerdict func(string, placement.Verdict), lenders map[string]LendCaller) *Owner {
	newBoard := board.New()
	newBoard.StartCommandLifetime = config.LocalUpperBound(c.WorkerLease())
	return &Owner{
		actor:              newActor(ctx),
		cfg:                c,
		session:            session,
		store:              store,
		holders:            holders,
		slots:              ring.SlotCount(len(c.Siblings) + 1),
		board:              newBoard,
		machineTypes:       map[string]protocol.MachineType{},
		jobs:               map[string]*jobState{},
		active:             map[string]*jobState{},
		unresolved:         map[string]*jobState{},
		registeredMachines: map[string]*bookkeeping.Machine{},
		rosters:            map[int]bookkeeping.Roster{},
		gainRevisions:      map[uint64]uint64{},
		fetchingRevision:   map[uint64]bool{},
		peers:              map[string]*peerState{},
		failingJobs:        map[string]*jobState{},
		publishVerdict:     publishVerdict,
		unarchived:         map[string]*bookkeeping.Job{},
		addFinalJob:        addFinalJob,
		classes:            map[string]*fleet.Class{},
		rng:                rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		unmetNeeds:         map[needKind]unmetNeed{},
		recentPlacements:   placement.RecentPlacements{HalfLife: recentPlacementHalfLife},
		turns:              map[string]*placement.LimitReservation{},
		quotas:             newQuotas(c.Quotas, lenders),
		teamTrails:         map[string]*teamTrail{},
	}
}

// Run follows the feeds of all holders and runs the actor until its context ends.
func (o *Owner) Run() {
	for name, h := range o.holders {
		o.peers[name] = &peerState{}
		go o.followFeed(name, h)
	}
	o.loop("owner", 100*time.Millisecond, o.tick)
}

// jobChanged takes in the record of a job.
func (o *Owner) jobChanged(j *bookkeeping.Job) {
	id, now := j.Spec.ID, time.Now()
	js := o.jobs[id]
	if js == nil {
		js = &jobState{job: j, firstSeen: now, pending: map[int]*pendingStart{}, retryAt: map[int]time.Time{}, failedOn: map[string]bool{}}
		o.jobs[id] = js
		if !j.Final() {
			o.active[id] = js
			o.updateOwnedBlocks(js)
		}
	}
	js.job, js.stale = j, true
	if j.Final() && !j.Archived {
		o.unarchived[id] = j
	} else {
		delete(o.unarchived, id)
	}
	if j.WaitingOn == 0 && js.readyAt.IsZero() && !j.Final() {
		js.readyAt = now
		o.countArrival(js)
	}
	if j.Final() && o.active[id] != nil {
		o.jobEnded(js)
	}
	o.updateRunning(id)
	o.dirty = true
	if len(o.jobs) > maxFinalJobs+len(o.active) {
		o.evictFinalJobs()
	}
}

// jobEnded stops placing a job. Its starts in flight stay until their outcome is known.
func (o *Owner) jobEnded(js *jobState) {
	if js.job.CancelledWith != "" && js.gainWindow != 0 {
		slog.Info("cancelled with another", "job", js.job.Spec.ID, "with", js.job.CancelledWith)
	}
	delete(o.active, js.job.Spec.ID)
	js.retryAt, js.failedOn, js.permits = nil, nil, nil
	logStartsInFlight(js)
	o.dropIfResolved(js)
}

// maxFinalJobs bounds how many final jobs are kept in memory.
const maxFinalJobs = 8000

// evictFinalJobs forgets ended jobs of which nothing is or may come to be on machines.
func (o *Owner) evictFinalJobs() {
	n := maxFinalJobs / 4
	for id, js := range o.jobs {
		if js.job.Final() && o.board.Tasks[id] == nil && o.unresolved[id] == nil {
			delete(o.jobs, id)
			if n--; n == 0 {
				return
			}
		}
	}
}

// machineChanged takes in the record of a machine, nil once it is removed.
func (o *Owner) machineChanged(id string, m *bookkeeping.Machine) {
	if m != nil {
		if !o.removedMachines.has(id) {
			o.registeredMachines[id] = m
		}
		return
	}
	// The registry drops a machine once its return to the cloud was answered: the machine is gone.
	delete(o.registeredMachines, id)
	o.removedMachines.add(id)
	touched := map[string]bool{}
	o.board.Remove(id, touched)
	o.markStale(touched)
	for _, js := range o.unresolved {
		for i, ps := range js.pending {
			if ps.machine == id {
				delete(js.pending, i)
				js.stale = true
			}
		}
		o.dropIfResolved(js)
	}
	o.dirty = true
}

const (
	planInterval = 100 * time.Millisecond
	// reconcileInterval is how often a job without changes is reconciled.
	reconcileInterval = time.Second
)

// tick does what is due with time.
func (o *Owner) tick() {
	now := time.Now()
	if o.latestWindow != nil && (o.window() == nil || o.latestWindow.Number > o.window().Number) && now.UnixMilli() >= o.latestWindow.StartMs {
		o.adoptWindow(o.latestWindow)
	}
	o.learnNewJobRevision()
	o.archiveJobs()
	if now.Sub(o.judgedAt) >= time.Second {
		o.judgedAt = now
		o.markStale(o.board.ExpireLost(now))
		o.judgeJobs(now)
		o.lookUpUnknownJobs()
		o.logStandstill(now)
		o.logTeamsOverLimit(now)
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

// siblingReportTTL is for how long a sibling's report of its own state counts.
const siblingReportTTL = 6 * time.Second

// recentPlacementHalfLife is the half-life of teams' recent placements: about the time in which room comes
// free by itself.
const recentPlacementHalfLife = 15 * time.Second

// plan compares the tasks that should run with those that do, and requests the difference from the holders.
func (o *Owner) plan(now time.Time) {
	if !o.session.Valid() || o.window() == nil {
		return
	}
	rq := requests{}
	var ready []*jobState
	var outcomes []bookkeeping.Outcome
	for _, js := range o.active {
		if len(js.ownedBlocks) == 0 || js.job.WaitingOn > 0 && len(o.board.Tasks[js.job.Spec.ID]) == 0 {
			continue // thousands of jobs may wait for others
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
		if js.missing > 0 && js.job.WaitingOn == 0 && !now.Before(js.blockedUntil) && !o.isKnownUnmet(js, now) && o.trialAllowed(js, now) {
			ready = append(ready, js)
		}
	}
	o.recordOutcomes(outcomes)
	slices.SortFunc(ready, o.compareStartDeadline)
	placement.InterleaveTeams(ready, func(js *jobState) placement.QueuedJob {
		w := placement.QueuedJob{Level: -js.job.Rank, Team: js.job.Spec.Team, Tasks: js.missing}
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
		o.stopYielding(now, rq)
		o.requestPermits(now)
	}
	for name, a := range rq {
		o.sendRequest(name, a)
	}
}

// startDeadline orders jobs of one priority: the latest start that meets the job's end, or a minute after the
// job was ready if it has none.
func (o *Owner) startDeadline(js *jobState) time.Time {
	if end := js.job.Deadline; !end.IsZero() {
		return end.Add(-js.job.Spec.Estimate())
	}
	return js.job.Ready.Add(time.Minute)
}

// compareStartDeadline orders jobs of one priority by start deadline, then by id.
func (o *Owner) compareStartDeadline(a, b *jobState) int {
	return cmp.Or(o.startDeadline(a).Compare(o.startDeadline(b)), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
}

// addPendingStarts sums up, by machine, the requested starts that the board does not show yet.
func (o *Owner) addPendingStarts() {
	for _, m := range o.board.Machines {
		m.ClearRequests()
	}
	for _, js := range o.unresolved {
		for _, ps := range js.pending {
			if m := o.board.Machines[ps.machine]; m != nil {
				m.Request(ps.need)
			}
		}
	}
}
