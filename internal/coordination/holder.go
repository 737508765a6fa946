package coordination

import (
	"context"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/membership"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/ring"
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

	machineTypes   map[string]protocol.MachineType
	jobs           map[string]*bookkeeping.Job
	members        map[string]*bookkeeping.Member
	slotRecords    map[int]*bookkeeping.Slot
	registry       map[string]*bookkeeping.Machine
	slots          map[int]*heldSlot
	workersByID    map[string]*worker
	changedJobs    map[string]bool  // to be looked at in the next tick
	finalJobs      []string         // jobs that are over, in the order in which they ended
	removed        []removedMachine // bounded
	retired        recentNames      // machines that were returned
	version        uint64
	versionChanged chan struct{} // closed and renewed when version rises

	window       *bookkeeping.Window // whose owners are obeyed
	latestWindow *bookkeeping.Window // newest known, may start later
	// ownersSince is the first window of those in a row with the same owners.
	ownersSince uint64
	fences      map[string]protocol.Token
	quotas      *quota.Tree

	syncedAt time.Time
	// followedSince is since when each change of the records was seen. What was cancelled and put away
	// before that is not known here.
	followedSince time.Time
	adopting      bool
	// sessionsLost counts the sessions that ended.
	sessionsLost int
	// releasing are slots given up whose records don't say so yet.
	releasing        map[int]*heldSlot
	writingSlots     bool
	lastDrainWish    uint64                       // the last wish to drain
	opinions         map[string]placement.Opinion // of jobs that failed somewhere
	foundBatches     uint64                       // batches of machines that nobody had registered
	registeringFound bool
	// checkingReachability: most workers went silent together, and it is being found out whether it is
	// this controller that they can't reach, or it is and waits for them.
	checkingReachability bool
	// misrouted are machines that reported here though others hold them, the newest of each
	// holder; reportedElsewhereAt is when one of this holder's own last did so elsewhere.
	misrouted           map[string]misroutedReport
	reportedElsewhereAt time.Time
	// stateLastServed is when the state service last did what this controller asked; nil if nobody
	// knows.
	stateLastServed func() time.Time
	// started is when this process was, and boundUntil the end of the moratoria that the process
	// before it may have granted. moratoriumPeers reach all siblings, in the order of the settings.
	// granted is what was granted to them, and moratoriumUntil the end of what all of them granted
	// to this holder; requestingMoratorium and moratoriumRequested tell of the last request.
	started              time.Time
	boundUntil           time.Time
	moratoriumPeers      []MoratoriumCaller
	grantedMoratoria     map[string]membership.Grant
	moratoriumUntil      time.Time
	requestingMoratorium bool
	moratoriumRequested  time.Time
	// cancelled are the jobs that are known to be, by records, users' requests or siblings;
	// watermark is up to when these are all that anyone confirmed.
	cancelled        membership.Cancellations
	watermark        membership.Watermark
	lastNotAnswering time.Time // when reports were last seen not to be answered
	// announcements are cancellations that siblings are asked to acknowledge, by announcers in the
	// order of the settings; acknowledged is closed and renewed when one did.
	announcements membership.Announcements
	announcers    []AnnounceCaller
	announcing    map[string]announcing
	acknowledged  chan struct{}
}

type removedMachine struct {
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
	// rosterIncomplete: former holders kept no roster, so that there may be tasks on
	// machines that nothing names.
	rosterIncomplete bool
	// awaited are machines that may have tasks and have not reported under
	// this term yet.
	awaited map[string]bool
	// highestDroppedSeq is the highest number of a token of machines that were dropped.
	highestDroppedSeq uint64
}

// NewHolder makes the actor.
func NewHolder(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, workers *transport.Workers) *Holder {
	var siblings []string
	for _, s := range c.Siblings {
		siblings = append(siblings, s.Name)
	}
	now := time.Now()
	return &Holder{
		actor:            newActor(ctx),
		cfg:              c,
		quotas:           c.Quotas,
		session:          session,
		store:            store,
		workers:          workers,
		started:          now,
		boundUntil:       now.Add(membership.RecoveryPeriod),
		grantedMoratoria: map[string]membership.Grant{},
		watermark:        membership.NewWatermark(siblings),
		announcing:       map[string]announcing{},
		acknowledged:     make(chan struct{}),
		misrouted:        map[string]misroutedReport{},
		machineTypes:     map[string]protocol.MachineType{},
		jobs:             map[string]*bookkeeping.Job{},
		members:          map[string]*bookkeeping.Member{},
		slotRecords:      map[int]*bookkeeping.Slot{},
		registry:         map[string]*bookkeeping.Machine{},
		slots:            map[int]*heldSlot{},
		workersByID:      map[string]*worker{},
		changedJobs:      map[string]bool{},
		opinions:         map[string]placement.Opinion{},
		releasing:        map[int]*heldSlot{},
		versionChanged:   make(chan struct{}),
		fences:           map[string]protocol.Token{},
	}
}

// Run runs the actor until its context ends.
func (h *Holder) Run() {
	go h.learnOutstanding()
	h.loop(250*time.Millisecond, h.tick)
}

func (h *Holder) slotOf(machine string) int {
	return ring.SlotOf(machine, ring.SlotCount(len(h.cfg.Siblings)+1))
}

func (h *Holder) bumpVersion() uint64 {
	h.version++
	close(h.versionChanged)
	h.versionChanged = make(chan struct{})
	return h.version
}

func (h *Holder) markChanged(w *worker) { w.version, w.settled = h.bumpVersion(), false }

func (h *Holder) learnWindow(w *bookkeeping.Window) {
	if w != nil && (h.latestWindow == nil || w.Number > h.latestWindow.Number) {
		h.latestWindow = w
	}
}

// adoptWindow adopts a window: from now on only its owners' requests count.
func (h *Holder) adoptWindow(w *bookkeeping.Window) {
	if w == nil || h.window != nil && w.Number <= h.window.Number {
		return
	}
	if h.window == nil || w.Number != h.window.Number+1 || !w.SameOwners(h.window) {
		h.ownersSince = w.Number
	}
	h.window = w
	h.bumpVersion()
}

// adoptWindowUpTo adopts the newest window if a caller has adopted one that is
// newer than ours: the promise not to serve older owners, not the clock, is
// what lets the new owner place.
func (h *Holder) adoptWindowUpTo(number uint64) {
	if h.latestWindow != nil && (h.window == nil || number > h.window.Number) && h.latestWindow.Number >= number {
		h.adoptWindow(h.latestWindow)
	}
}

func (h *Holder) tick() {
	now := time.Now()
	if h.latestWindow != nil && (h.window == nil || h.latestWindow.Number > h.window.Number) && now.UnixMilli() >= h.latestWindow.StartMs {
		h.adoptWindow(h.latestWindow)
	}
	h.requestMoratorium(now)
	h.retryAnnouncements(now)
	h.adoptSlots()
	h.releaseSlots()
	h.updateRosters()
	h.listen(now)
	lease := config.Surely(h.cfg.WorkerLease())
	for _, s := range h.slots {
		if s.ready && !s.complete && now.Sub(s.adopted) > lease {
			// All leases that former holders may have renewed have lapsed; what this one
			// answered itself may have been heard.
			h.formerLeasesLapsed(s)
		}
	}
	for _, w := range h.workersByID {
		h.reconcileWorker(w, now, lease)
	}
	clear(h.changedJobs)
}

// maxRemoved bounds how many removals a feed remembers.
const maxRemoved = 256

// removeMachine takes a machine out: it was returned, and all on it is gone.
func (h *Holder) removeMachine(id string) {
	delete(h.registry, id)
	h.retired.add(id)
	if s := h.slots[h.slotOf(id)]; s != nil {
		delete(s.awaited, id)
		h.updateCompleteness()
	}
	h.dropWorker(id)
}

// dropWorker takes a machine off what is told of the slots.
func (h *Holder) dropWorker(id string) {
	w := h.workersByID[id]
	if w == nil {
		return
	}
	w.slot.highestDroppedSeq = max(w.slot.highestDroppedSeq, w.tokenSeq)
	delete(h.workersByID, id)
	if len(h.removed) == maxRemoved {
		h.removed = h.removed[1:]
	}
	h.removed = append(h.removed, removedMachine{id, h.bumpVersion()})
}

func (h *Holder) jobChanged(j *bookkeeping.Job) {
	old := h.jobs[j.Spec.ID]
	h.jobs[j.Spec.ID] = j
	if j.State == protocol.Cancelled {
		h.cancelled.Learn(j.Spec.ID, time.Now())
	}
	if !j.Final() && len(j.Results) == 0 {
		return
	}
	h.changedJobs[j.Spec.ID] = true
	if !j.Final() {
		return
	}
	delete(h.opinions, j.Spec.ID)
	if old != nil && old.Final() {
		return
	}
	if h.finalJobs = append(h.finalJobs, j.Spec.ID); len(h.finalJobs) > maxFinal {
		delete(h.jobs, h.finalJobs[0])
		h.finalJobs = h.finalJobs[1:]
	}
}

func (h *Holder) machineChanged(id string, m *bookkeeping.Machine) {
	if m == nil {
		h.removeMachine(id)
		return
	}
	if h.retired.has(id) {
		return
	}
	h.registry[id] = m
	if w := h.workersByID[id]; w != nil {
		h.markChanged(w)
	}
}

// maxRecordsGap is after how long without word of the records they may have been read anew: the
// state service keeps more changes than it takes in that time.
const maxRecordsGap = 30 * time.Second

// synced takes in that the records at hand are as new as a read that began then.
func (h *Holder) synced(began time.Time) {
	if began.Sub(h.syncedAt) > maxRecordsGap {
		h.followedSince = began
	}
	h.syncedAt = began
	h.watermark.ObserveRecords(began)
}

// isJobOver tells whether nothing of a job is to run any more, as far as is known.
func (h *Holder) isJobOver(id string) bool {
	j := h.jobs[id]
	return j != nil && j.Final() || h.cancelled.Has(id)
}

// overview is what the holder adds to a controller's overview.
func (h *Holder) overview() protocol.MachineCount {
	now := time.Now()
	c := protocol.MachineCount{Machines: len(h.workersByID), Answers: h.mayAnswer()}
	if at := h.watermark.Time(); !at.IsZero() {
		c.HorizonS = *seconds(now.Sub(at))
	}
	for _, w := range h.workersByID {
		if w.unresponsive || w.lapsed {
			c.Silent++
		}
		if w.suspect {
			c.Suspect++
		}
		if !w.quarantinedSince.IsZero() {
			c.Doubted++
		}
		if now.Before(w.drainUntil) {
			c.Draining++
			if w.vacating {
				c.Vacating++
			}
		}
		for _, e := range w.entries {
			if e.exited() {
				continue
			}
			c.Tasks++
			if e.state == protocol.TaskRunning {
				c.Running++
			}
		}
	}
	return c
}
