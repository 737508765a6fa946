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

// Holder is the only controller that manages the machines of the slots it holds: it receives their reports,
// sends them commands and reports to other controllers what is on them.
type Holder struct {
	actor
	cfg     *config.Config
	session *Session
	store   *bookkeeping.Store
	workers *transport.Workers

	machineTypes       map[string]protocol.MachineType
	jobs               map[string]*bookkeeping.Job
	members            map[string]*bookkeeping.Member
	slotRecords        map[int]*bookkeeping.Slot
	registeredMachines map[string]*bookkeeping.Machine
	slots              map[int]*heldSlot
	workersByID        map[string]*worker
	changedJobs        map[string]bool  // looked at in the next tick
	finalJobs          []string         // jobs in a final state, oldest first
	removed            []removedMachine // newest last; bounded
	returnedMachines   recentNames      // machines that were returned
	version            uint64
	versionChanged     chan struct{} // closed and replaced when version rises

	window       *bookkeeping.Window // adopted: only its owners' requests are accepted
	latestWindow *bookkeeping.Window // newest known; may start later
	// ownersSince is the first of the consecutive windows, up to the adopted one, with the same owners.
	ownersSince uint64
	fences      map[string]protocol.Token
	quotas      *quota.Tree

	syncedAt time.Time
	// followedSince is the time since which every change of the records was seen. Jobs that were cancelled
	// and archived before it are unknown here.
	followedSince time.Time
	adopting      bool
	// sessionsLost counts the sessions that ended.
	sessionsLost int
	// releasing holds the slots given up whose records do not show it yet.
	releasing         map[int]*heldSlot
	writingSlots      bool
	lastDrainSequence uint64                       // of the newest drain request (DrainArgs.Wish)
	verdicts          map[string]placement.Verdict // of jobs that failed on some machine
	foundBatches      uint64                       // batches of unregistered machines that this holder registered
	registeringFound  bool
	// checkingReachability: most workers went silent together. The holder is finding out whether they can't
	// reach this controller, or has found that they can't and waits for them.
	checkingReachability bool
	// misrouted has, for each other holder, the newest report that one of its machines sent here.
	// reportedElsewhereAt is when a machine of this holder last reported to another controller.
	misrouted           map[string]misroutedReport
	reportedElsewhereAt time.Time
	// stateLastServed returns when the state service last carried out a request of this controller; nil if
	// that is not known.
	stateLastServed func() time.Time
	// started is when this process started, and boundUntil the end of the moratoria that its predecessor may
	// have granted. moratoriumPeers reach all siblings, in the order of the settings. grantedMoratoria are
	// those granted to siblings, and moratoriumUntil is the end of the moratorium that all siblings granted
	// to this holder. requestingMoratorium and moratoriumRequested describe the latest request.
	started              time.Time
	boundUntil           time.Time
	moratoriumPeers      []MoratoriumCaller
	grantedMoratoria     map[string]membership.Grant
	moratoriumUntil      time.Time
	requestingMoratorium bool
	moratoriumRequested  time.Time
	// cancelled has the jobs known to be cancelled from records, users' requests or siblings. watermark is
	// the time up to which it includes every cancellation that anyone confirmed.
	cancelled        membership.Cancellations
	watermark        membership.Watermark
	lastNotAnswering time.Time // when this controller last did not answer reports
	// announcements are the cancellations that siblings are asked to acknowledge. announcers call the
	// siblings, in the order of the settings. acknowledged is closed and replaced when a sibling acknowledged
	// one.
	announcements membership.Announcements
	announcers    []AnnounceCaller
	announcing    map[string]announcementState
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
	ready    bool // the registry was read after the slot was taken
	complete bool
	// roster has machines that the slot's record is known to list. Tasks are started only on these machines,
	// so that a successor waits for their reports.
	roster bookkeeping.Roster
	// rosterIncomplete: a former holder kept no roster, so tasks may be on machines that no record lists.
	rosterIncomplete bool
	// awaited are machines that may have tasks and have not reported under this term yet.
	awaited map[string]bool
	// highestDroppedSeq is the highest token sequence number of the machines dropped so far.
	highestDroppedSeq uint64
}

// NewHolder returns a holder; Run starts it.
func NewHolder(ctx context.Context, c *config.Config, session *Session, store *bookkeeping.Store, workers *transport.Workers) *Holder {
	var siblings []string
	for _, s := range c.Siblings {
		siblings = append(siblings, s.Name)
	}
	now := time.Now()
	return &Holder{
		actor:              newActor(ctx),
		cfg:                c,
		quotas:             c.Quotas,
		session:            session,
		store:              store,
		workers:            workers,
		started:            now,
		boundUntil:         now.Add(membership.RecoveryPeriod),
		grantedMoratoria:   map[string]membership.Grant{},
		watermark:          membership.NewWatermark(siblings),
		announcing:         map[string]announcementState{},
		acknowledged:       make(chan struct{}),
		misrouted:          map[string]misroutedReport{},
		machineTypes:       map[string]protocol.MachineType{},
		jobs:               map[string]*bookkeeping.Job{},
		members:            map[string]*bookkeeping.Member{},
		slotRecords:        map[int]*bookkeeping.Slot{},
		registeredMachines: map[string]*bookkeeping.Machine{},
		slots:              map[int]*heldSlot{},
		workersByID:        map[string]*worker{},
		changedJobs:        map[string]bool{},
		verdicts:           map[string]placement.Verdict{},
		releasing:          map[int]*heldSlot{},
		versionChanged:     make(chan struct{}),
		fences:             map[string]protocol.Token{},
	}
}

// Run runs the actor until its context ends.
func (h *Holder) Run() {
	go h.learnOutstandingGrants()
	h.loop("holder", 250*time.Millisecond, h.tick)
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

func (h *Holder) markChanged(w *worker) { w.version, w.reconciled = h.bumpVersion(), false }

func (h *Holder) learnWindow(w *bookkeeping.Window) {
	if w != nil && (h.latestWindow == nil || w.Number > h.latestWindow.Number) {
		h.latestWindow = w
	}
}

// adoptWindow switches to a newer window: from now on only its owners' requests are accepted.
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

// adoptWindowUpTo adopts the newest known window if a caller has adopted a newer one than this holder. A new
// owner may place tasks because holders refuse the older owners, whatever the clock says.
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
	h.checkReachability(now)
	lease := config.LocalUpperBound(h.cfg.WorkerLease())
	for _, s := range h.slots {
		if s.ready && !s.complete && now.Sub(s.adopted) > lease {
			// All leases that former holders may have renewed have lapsed. A lease that this holder's answers
			// may have renewed can still run.
			h.formerLeasesLapsed(s)
		}
	}
	for _, w := range h.workersByID {
		h.reconcileWorker(w, now, lease)
	}
	clear(h.changedJobs)
}

// maxRemoved bounds the removals that a feed remembers.
const maxRemoved = 256

// removeMachine removes a machine that was returned, with all its tasks.
func (h *Holder) removeMachine(id string) {
	delete(h.registeredMachines, id)
	h.returnedMachines.add(id)
	if s := h.slots[h.slotOf(id)]; s != nil {
		delete(s.awaited, id)
		h.updateCompleteness()
	}
	h.dropWorker(id)
}

// dropWorker forgets a machine's worker, and has the feed report that the machine is gone.
func (h *Holder) dropWorker(id string) {
	w := h.workersByID[id]
	if w == nil {
		return
	}
	w.dropPendingAnswer()
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
	delete(h.verdicts, j.Spec.ID)
	if old != nil && old.Final() {
		return
	}
	if h.finalJobs = append(h.finalJobs, j.Spec.ID); len(h.finalJobs) > maxFinalJobs {
		delete(h.jobs, h.finalJobs[0])
		h.finalJobs = h.finalJobs[1:]
	}
}

func (h *Holder) machineChanged(id string, m *bookkeeping.Machine) {
	if m == nil {
		h.removeMachine(id)
		return
	}
	if h.returnedMachines.has(id) {
		return
	}
	h.registeredMachines[id] = m
	if w := h.workersByID[id]; w != nil {
		h.markChanged(w)
	}
}

// maxRecordsGap is the longest gap in the updates of the records within which no change was missed: the state
// service keeps the changes of a longer time. After a longer gap the records may have been read afresh.
const maxRecordsGap = 30 * time.Second

// synced notes that the replica of the records is as new as a read that began at the given time.
func (h *Holder) synced(began time.Time) {
	if began.Sub(h.syncedAt) > maxRecordsGap {
		h.followedSince = began
	}
	h.syncedAt = began
	h.watermark.ObserveRecords(began)
}

// isJobOver reports whether, as far as is known, no task of a job is to run any more.
func (h *Holder) isJobOver(id string) bool {
	j := h.jobs[id]
	return j != nil && j.Final() || h.cancelled.Has(id)
}

// overview returns the holder's part of a controller's overview.
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
