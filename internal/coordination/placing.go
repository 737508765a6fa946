package coordination

import (
	"math"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/fleet"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// The owner's side of placement: which machines and limits apply, and what may be preempted.

// usableMachines are the machines on which tasks may be started, computed once a round.
func (o *Owner) usableMachines() []*board.Machine {
	if o.usableCache != nil {
		return o.usableCache
	}
	recentlyHeard := map[string]bool{}
	for name, p := range o.peers {
		recentlyHeard[name] = p.sessionValid && time.Since(p.heardAt) < 6*time.Second
	}
	o.usableCache = make([]*board.Machine, 0, len(o.board.Machines))
	for _, m := range o.board.Machines {
		if m.Current && m.Usable && recentlyHeard[m.Holder] {
			o.usableCache = append(o.usableCache, m)
		}
	}
	return o.usableCache
}

// placingFor prepares the placement of a job's tasks on machines of a zone, or of any zone if it is empty.
func (o *Owner) placingFor(js *jobState, zone string) *placement.Placer {
	s := js.job.Spec
	p := &placement.Placer{Spec: s, Zone: zone, Avoid: js.avoidedMachines(time.Now()), Types: o.machineTypes, Scarce: o.scarceTypes, SampleSize: o.cfg.Sample, Rand: o.rng}
	if s.Shape == protocol.Service && placement.HasNonScarceType(s, o.machineTypes, o.scarceTypes) {
		// Other machines become available in about their boot time.
		ready, _ := fleet.FastestReady(o.machineTypes, s, s.ImageGB)
		p.AvoidScarce = time.Since(js.job.Ready) < o.startObjective(s.Class, 0)+ready
	}
	if p.Expensive = placement.ExpensiveTypes(s, o.machineTypes); p.Expensive != nil {
		// A task that is already late waits for a machine that costs less, as long as the cloud may have one.
		ready, _ := fleet.FastestReady(o.machineTypes, s, s.ImageGB)
		aim, waited := o.startObjective(s.Class, 0), time.Since(js.job.Ready)
		p.AvoidExpensive = waited > aim && waited < aim+2*ready && o.obtainable(s, p.Expensive)
	}
	p.TasksByZone = map[string]int{}
	if s.OneZone || s.Scatter {
		for _, list := range o.board.Tasks[s.ID] {
			for _, i := range list {
				if !i.Exited() {
					p.TasksByZone[i.Machine.Zone]++
				}
			}
		}
		for _, ps := range js.pending {
			if m := o.board.Machines[ps.machine]; m != nil {
				p.TasksByZone[m.Zone]++
			}
		}
	}
	p.FindCandidates(o.usableMachines())
	return p
}

// findScarceTypes are the machine types that some recently seen class cannot do without.
func (o *Owner) findScarceTypes() map[string]bool {
	return placement.ScarceTypes(func(yield func(*protocol.JobSpec) bool) {
		for _, c := range o.classes {
			if !yield(c.Spec) {
				return
			}
		}
	}, o.machineTypes)
}

// claim is a job as preemption compares it with others, given the teams' usage.
func (o *Owner) claim(j *bookkeeping.Job, usage map[string]protocol.Room) placement.Claim {
	s := j.Spec
	c := placement.Claim{Spec: s, Rank: j.Rank, Filler: j.Filler}
	if t := o.cfg.Team(s.Team); t != nil {
		c.WithinGuarantee, c.OverGuarantee = t.WithinGuarantee(s.Need(), usage[s.Team].Add(s.Need())), t.ExceedsGuarantee(s.Need(), usage[s.Team])
	}
	return c
}

// price returns a function that prices the preemption of a task for the claimant.
func (o *Owner) price(claimant placement.Claim, usage map[string]protocol.Room, now time.Time) func(*board.Instance) (placement.Victim, bool) {
	return func(i *board.Instance) (placement.Victim, bool) {
		js := o.jobs[i.Job]
		if js == nil {
			return placement.Victim{}, false
		}
		return placement.EvictionCost(i, o.claim(js.job, usage), claimant, now)
	}
}

// placeJob starts the missing tasks of a job as far as there is room. It returns for how many it searched a
// machine.
func (o *Owner) placeJob(js *jobState, now time.Time, rq requests) int {
	if js.job.Spec.Shape == protocol.Gang {
		return o.placeGang(js, now, rq)
	}
	s := js.job.Spec
	tasks := o.board.Tasks[s.ID]
	searched := 0
	var p *placement.Placer
	delayed := -1            // how many tasks should wait for room where the image is, -1 if not computed yet
	var missingPermits []int // tasks that need a permit
	defer func() { o.wantPermits(js, missingPermits, 0, false, now) }()
	for index := range js.remainingTasks {
		if searched >= 32 {
			break
		}
		if js.job.TaskDone(index) || len(tasks[index]) > 0 || js.pending[index] != nil {
			continue
		}
		if at, ok := js.retryAt[index]; ok {
			if now.Before(at) {
				continue
			}
			delete(js.retryAt, index)
		}
		searched++
		permit, ok := o.heldPermit(js, index, &missingPermits)
		if !ok {
			continue
		}
		if p == nil {
			p = o.placingFor(js, "")
		}
		if !o.teamLimitAllows(js, 1) {
			js.blockedUntil = now.Add(500 * time.Millisecond)
			return searched
		}
		c, ok := o.findMachine(js, p, now)
		if !ok {
			o.noteUnmetNeed(js, now)
			return searched
		}
		if delayed < 0 {
			delayed = o.countWaitingForImage(js, p, &c, js.missing, now)
		}
		if js.missing-(searched-1) <= delayed && len(c.Evict) == 0 && p.FetchTime(c.Machine) > 0 {
			js.blockedUntil = now.Add(imageWaitInterval)
			return searched
		}
		o.addStart(js, index, o.attemptNumber(permit), c, false, rq)
		p.TasksByZone[c.Machine.Zone]++
		if js.verdict == placement.AtFault {
			js.scheduleNextTrial(now)
			break
		}
	}
	return searched
}

// remainingTasks yields the tasks of the blocks that have missing tasks and whose prior starts are known.
func (js *jobState) remainingTasks(yield func(int) bool) {
	for _, owned := range js.ownedBlocks {
		if !owned.priorStartsKnown || owned.missing <= 0 {
			continue
		}
		for owned.doneBefore < owned.end && js.job.TaskDone(owned.doneBefore) {
			owned.doneBefore++
		}
		for index := owned.doneBefore; index < owned.end; index++ {
			if !yield(index) {
				return
			}
		}
	}
}

// findMachine finds a machine with room, or one where preemption makes room.
func (o *Owner) findMachine(js *jobState, p *placement.Placer, now time.Time) (placement.Choice, bool) {
	c, ok := p.BestFit()
	if ok && p.FetchTime(c.Machine) <= o.startObjective(js.job.Spec.Class, time.Minute)-now.Sub(js.job.Ready) {
		return c, true
	}
	if choice, found := o.findPreemption(js, p, c.Machine, now); found {
		return choice, true
	}
	return c, ok
}

// imageWaitInterval is how long tasks that wait for room where their image is are not considered.
const imageWaitInterval = 300 * time.Millisecond

// countWaitingForImage is how many of a job's missing tasks should wait for room on a machine that has their
// image rather than start on the candidate c.
func (o *Owner) countWaitingForImage(js *jobState, p *placement.Placer, c *placement.Choice, missing int, now time.Time) int {
	fetch := p.FetchTime(c.Machine)
	s := js.job.Spec
	if fetch == 0 || len(c.Evict) > 0 || o.cfg.Patience == 0 || s.Shape == protocol.Service {
		return 0 // a service is unavailable until it starts
	}
	rate := p.ReleaseRate(o.usableMachines(), o.wantedImages(now), o.expectedEnd)
	n := placement.TasksToDelay(o.cfg.Patience, rate, o.waitingForImage[s.Image], fetch, now.Sub(js.job.Ready), o.startObjective(s.Class, time.Minute))
	o.waitingForImage[s.Image] += min(n, missing)
	return n
}

// expectedEnd is what is known of a task's end: its room and mean run time. Services and tasks of unknown jobs
// count as never ending.
func (o *Owner) expectedEnd(i *board.Instance) placement.RunEstimate {
	js := o.jobs[i.Job]
	if js == nil || js.job.Spec.Shape == protocol.Service {
		return placement.RunEstimate{}
	}
	return placement.RunEstimate{Need: js.job.Spec.Need(), Mean: o.runTimes.Mean(js.job.Spec.Class, js.job.Spec.Estimate())}
}

// wantedImages are the images of all active jobs, of any owner, with tasks that have not been started. It is
// computed once a second.
func (o *Owner) wantedImages(now time.Time) map[string]bool {
	if o.wantedImageSet == nil || now.Sub(o.wantedImagesAt) >= time.Second {
		o.wantedImageSet, o.wantedImagesAt = map[string]bool{}, now
		for id, js := range o.active {
			if s := js.job.Spec; js.job.WaitingOn == 0 && !o.wantedImageSet[s.Image] && len(o.board.Tasks[id]) < s.Tasks && len(o.board.Tasks[id])+js.job.DoneCount() < s.Tasks {
				o.wantedImageSet[s.Image] = true
			}
		}
	}
	return o.wantedImageSet
}

// evictsOnlyFiller reports whether a choice evicts nothing but filler work.
func (o *Owner) evictsOnlyFiller(c *placement.Choice) bool {
	for _, task := range c.Evict {
		job, _, _ := protocol.SplitTask(task)
		if js := o.jobs[job]; js == nil || !js.job.Filler {
			return false
		}
	}
	return true
}

// findPreemption finds a machine where preemption makes room for a task, if that costs less than free, the
// best machine with room (nil: none).
func (o *Owner) findPreemption(js *jobState, p *placement.Placer, free *board.Machine, now time.Time) (placement.Choice, bool) {
	s := js.job.Spec
	if js.verdict == placement.AtFault {
		return placement.Choice{}, false // nothing is preempted for a job that is expected to fail
	}
	var usage map[string]protocol.Room
	if t := o.cfg.Team(s.Team); t != nil && t.HasGuarantee() {
		usage = o.currentTeamUsage().placed
	}
	claimant := o.claim(js.job, usage)
	if claimant.Rank < placement.MinPreemptingRank && !claimant.WithinGuarantee || now.Sub(js.firstSeen) < 500*time.Millisecond {
		return placement.Choice{}, false
	}
	otherCost := math.Inf(1)
	if free != nil {
		otherCost = p.Cost(free)
	}
	choice, found := p.Preempt(o.usableMachines(), otherCost, o.price(claimant, usage, now))
	// Preemption is the last resort: while the start objective leaves time, room may come free by itself.
	within := o.startObjective(s.Class, time.Minute)
	if found && free == nil && within-now.Sub(js.job.Ready)-p.FetchTime(choice.Machine)-10*time.Second >= within/5 {
		found = o.evictsOnlyFiller(&choice)
	}
	return choice, found
}

// startObjective is how soon tasks of a class should start by the users' objectives, fallback if there is
// none.
func (o *Owner) startObjective(class string, fallback time.Duration) time.Duration {
	return o.objective(class, "wait", fallback)
}

// objective is the shortest time of the objectives of a kind for a class, fallback if there is none.
func (o *Owner) objective(class, kind string, fallback time.Duration) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, a := range o.cfg.Deployment.Objectives {
		if a.Class == class && a.Kind == kind && a.WithinS > 0 {
			shortest = min(shortest, protocol.Seconds(a.WithinS))
		}
	}
	if shortest == math.MaxInt64 {
		return fallback
	}
	return shortest
}
