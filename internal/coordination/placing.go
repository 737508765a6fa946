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

// The owner's side of placing: what may be used, by whom, and what may be stopped for it.

// machinesNow are the machines on which tasks may be started, as this round
// sees them.
func (o *Owner) machinesNow() []*board.Machine {
	if o.usable != nil {
		return o.usable
	}
	heard := map[string]bool{}
	for name, p := range o.peers {
		heard[name] = p.valid && time.Since(p.heard) < 6*time.Second
	}
	o.usable = make([]*board.Machine, 0, len(o.board.Machines))
	for _, m := range o.board.Machines {
		if m.Current && m.Usable && heard[m.Holder] {
			o.usable = append(o.usable, m)
		}
	}
	return o.usable
}

// placingFor prepares to place tasks of a job on machines of a zone, or of any
// if it is empty.
func (o *Owner) placingFor(js *jobState, zone string) *placement.Placer {
	s := js.job.Spec
	p := &placement.Placer{Spec: s, Zone: zone, Avoid: js.badOn, Types: o.types, Scarce: o.scarceNow, SampleSize: o.cfg.Sample, Rand: o.rng}
	if s.Shape == protocol.Service && placement.HasNonScarceType(s, o.types, o.scarceNow) {
		// Other machines can be had in about the time that they take to boot.
		ready, _ := fleet.FastestReady(o.types, s, s.ImageGB)
		p.AvoidScarce = time.Since(js.job.Ready) < o.within(s.Class, 0)+ready
	}
	if p.Expensive = placement.ExpensiveTypes(s, o.types); p.Expensive != nil {
		// What is late anyway waits for a machine that costs less, as long as there are some.
		ready, _ := fleet.FastestReady(o.types, s, s.ImageGB)
		aim, waited := o.within(s.Class, 0), time.Since(js.job.Ready)
		p.AvoidExpensive = waited > aim && waited < aim+2*ready && o.toBeHad(s, p.Expensive)
	}
	if js.opinion == placement.AtFault {
		p.Avoid = nil // no machine is to blame
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
	p.FindCandidates(o.machinesNow())
	return p
}

// scarce are the types that some class seen lately cannot do without.
func (o *Owner) scarce() map[string]bool {
	return placement.ScarceTypes(func(yield func(*protocol.JobSpec) bool) {
		for _, c := range o.classes {
			if !yield(c.Spec) {
				return
			}
		}
	}, o.types)
}

// teams is what the teams' work takes, worked out once a round: for each task that was
// placed anew, the owner of a large team went through all tasks of all teams, which was
// half of its work at 1,500 machines.
type teams struct {
	// use is that of tasks on the board, pending that of starts that are under way.
	use, pending map[string]protocol.Room
	// strange: the board shows tasks of jobs that are not known, of whatever team.
	strange bool
}

// teamsNow is what the teams' work takes, as this round sees it.
func (o *Owner) teamsNow() *teams {
	if o.teams != nil {
		return o.teams
	}
	t := &teams{use: map[string]protocol.Room{}, pending: map[string]protocol.Room{}}
	for job, tasks := range o.board.Tasks {
		js := o.jobs[job]
		if js == nil {
			t.strange = true
			continue
		}
		s := js.job.Spec
		n := 0.0
		for _, list := range tasks {
			for _, i := range list {
				if !i.Exited() {
					n++
				}
			}
		}
		t.use[s.Team] = t.use[s.Team].Add(s.Need().Scale(n))
	}
	for _, js := range o.active {
		if n := len(js.pending); n > 0 {
			s := js.job.Spec
			t.pending[s.Team] = t.pending[s.Team].Add(s.Need().Scale(float64(n)))
		}
	}
	o.teams = t
	return t
}

// claim is a job as it is weighed against others, where teams use so much.
func (o *Owner) claim(j *bookkeeping.Job, use map[string]protocol.Room) placement.Claim {
	s := j.Spec
	c := placement.Claim{Spec: s, Rank: j.Rank, Filler: j.Filler}
	if t := o.cfg.Team(s.Team); t != nil {
		c.WithinGuarantee, c.OverGuarantee = t.Guarantees(s.Need(), use[s.Team].Add(s.Need())), t.Beyond(s.Need(), use[s.Team])
	}
	return c
}

// price is what stopping a task for one of the given claim costs.
func (o *Owner) price(by placement.Claim, use map[string]protocol.Room, now time.Time) func(*board.Instance) (placement.Victim, bool) {
	return func(i *board.Instance) (placement.Victim, bool) {
		js := o.jobs[i.Job]
		if js == nil {
			return placement.Victim{}, false
		}
		return placement.EvictionCost(i, o.claim(js.job, use), by, now)
	}
}

// teamRoom tells whether the team's limit leaves room for more. The team's
// jobs all have one owner, whose board and open requests show all that may be
// running.
func (o *Owner) teamRoom(js *jobState, more int) bool {
	t := o.cfg.Team(js.job.Spec.Team)
	if t == nil || !t.Limits(js.job.Spec.Need()) {
		return t != nil
	}
	if o.bornBy(js.gain) == 0 {
		return false // not everything that runs is known yet
	}
	if o.barred(js, t.Name) {
		return false
	}
	now := o.teamsNow()
	if now.strange {
		return false // it may be one of the team's
	}
	use := now.use[t.Name].Add(now.pending[t.Name]).Add(js.job.Spec.Need().Scale(float64(more)))
	return t.Admits(use)
}

// barred tells whether a job has to wait since a larger one of its team has its turn, as long as
// that one waits.
func (o *Owner) barred(js *jobState, team string) bool {
	t := o.turns[team]
	if t == nil || !t.Blocks(js.job.Spec.ID, js.job.Rank, time.Now()) {
		return false
	}
	other := o.active[t.Job]
	return other != nil && other.missing > 0 && len(other.shares) > 0
}

// placeJob starts what is missing of a job, as far as there is room. It gives
// back how many tasks it looked for a machine for.
func (o *Owner) placeJob(js *jobState, now time.Time, rq requests) int {
	if js.job.Spec.Shape == protocol.Gang {
		return o.placeGang(js, now, rq)
	}
	s := js.job.Spec
	tasks := o.board.Tasks[s.ID]
	looked := 0
	var p *placement.Placer
	hold := -1      // how many had better wait for room where the image is, -1 if not known yet
	var lacks []int // tasks that need a permit
	defer func() { o.wantPermits(js, lacks, 0, false, now) }()
	for index := range js.tasksLeft {
		if looked >= 32 {
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
		looked++
		permit, ok := o.heldPermit(js, index, &lacks)
		if !ok {
			continue
		}
		if p == nil {
			p = o.placingFor(js, "")
		}
		if !o.teamRoom(js, 1) {
			js.blocked = now.Add(500 * time.Millisecond)
			return looked
		}
		c, ok := o.find(js, p, now)
		if !ok {
			o.noteUnmetNeed(js, now)
			return looked
		}
		if hold < 0 {
			hold = o.hold(js, p, &c, js.missing, now)
		}
		if js.missing-(looked-1) <= hold && len(c.Evict) == 0 && p.FetchTime(c.Machine) > 0 {
			js.blocked = now.Add(holdFor)
			return looked
		}
		o.start(js, index, o.attemptNumber(permit), c, false, rq)
		p.TasksByZone[c.Machine.Zone]++
		if js.opinion == placement.AtFault {
			js.tried(now)
			break
		}
	}
	return looked
}

// tasksLeft goes through the tasks of a job's settled blocks in which some are neither done
// nor begun.
func (js *jobState) tasksLeft(yield func(int) bool) {
	for _, sh := range js.shares {
		if !sh.settled || sh.left <= 0 {
			continue
		}
		for sh.low < sh.to && js.job.TaskDone(sh.low) {
			sh.low++
		}
		for index := sh.low; index < sh.to; index++ {
			if !yield(index) {
				return
			}
		}
	}
}

// find finds a machine with room, or one where room may be made.
func (o *Owner) find(js *jobState, p *placement.Placer, now time.Time) (placement.Choice, bool) {
	c, ok := p.BestFit()
	if ok && p.FetchTime(c.Machine) <= o.within(js.job.Spec.Class, time.Minute)-now.Sub(js.job.Ready) {
		return c, true
	}
	if e, found := o.makeRoom(js, p, c.Machine, now); found {
		return e, true
	}
	return c, ok
}

// holdFor is for how long tasks that wait for room where their image is are left alone.
const holdFor = 300 * time.Millisecond

// hold is how many of a job's missing tasks had better wait for room where their image is
// than be started as chosen.
func (o *Owner) hold(js *jobState, p *placement.Placer, c *placement.Choice, missing int, now time.Time) int {
	fetch := p.FetchTime(c.Machine)
	s := js.job.Spec
	if fetch == 0 || len(c.Evict) > 0 || o.cfg.Patience == 0 || s.Shape == protocol.Service {
		return 0 // a service is missed as long as it is not there
	}
	rate := p.ReleaseRate(o.machinesNow(), o.wantedImages(now), o.endOf)
	n := placement.TasksToDelay(o.cfg.Patience, rate, o.held[s.Image], fetch, now.Sub(js.job.Ready), o.within(s.Class, time.Minute))
	o.held[s.Image] += min(n, missing)
	return n
}

// endOf is what is known of when a task ends; services and what is not known never do.
func (o *Owner) endOf(i *board.Instance) placement.RunEstimate {
	js := o.jobs[i.Job]
	if js == nil || js.job.Spec.Shape == protocol.Service {
		return placement.RunEstimate{}
	}
	return placement.RunEstimate{Need: js.job.Spec.Need(), Mean: o.runs.Mean(js.job.Spec.Class, js.job.Spec.Estimate())}
}

// wantedImages are the images of jobs, whoever's, of which tasks are not begun. It is worked
// out once a second.
func (o *Owner) wantedImages(now time.Time) map[string]bool {
	if o.wanted == nil || now.Sub(o.wantedAt) >= time.Second {
		o.wanted, o.wantedAt = map[string]bool{}, now
		for id, js := range o.active {
			if s := js.job.Spec; js.job.WaitingOn == 0 && !o.wanted[s.Image] && len(o.board.Tasks[id]) < s.Tasks && len(o.board.Tasks[id])+js.job.DoneCount() < s.Tasks {
				o.wanted[s.Image] = true
			}
		}
	}
	return o.wanted
}

// onlyFiller tells whether all that has to go for a choice is filler work.
func (o *Owner) onlyFiller(c *placement.Choice) bool {
	for _, task := range c.Evict {
		job, _, _ := protocol.SplitTask(task)
		if js := o.jobs[job]; js == nil || !js.job.Filler {
			return false
		}
	}
	return true
}

// makeRoom finds a machine where stopping other work makes room for a task, if
// that is better than what there is without (nil: nothing).
func (o *Owner) makeRoom(js *jobState, p *placement.Placer, free *board.Machine, now time.Time) (placement.Choice, bool) {
	s := js.job.Spec
	if js.opinion == placement.AtFault {
		return placement.Choice{}, false // nothing makes way for what will fail
	}
	var use map[string]protocol.Room
	if t := o.cfg.Team(s.Team); t != nil && t.Guaranteed() {
		use = o.teamsNow().use
	}
	by := o.claim(js.job, use)
	if by.Rank < placement.MinPreemptingRank && !by.WithinGuarantee || now.Sub(js.known) < 500*time.Millisecond {
		return placement.Choice{}, false
	}
	other := math.Inf(1)
	if free != nil {
		other = p.Cost(free)
	}
	e, found := p.Preempt(o.machinesNow(), other, o.price(by, use, now))
	// Stopping other work is the last resort: as long as the aim leaves time,
	// room may come free by itself.
	within := o.within(s.Class, time.Minute)
	if found && free == nil && within-now.Sub(js.job.Ready)-p.FetchTime(e.Machine)-10*time.Second >= within/5 {
		found = o.onlyFiller(&e)
	}
	return e, found
}

// within is how soon the users want tasks of a class to start, if they say.
func (o *Owner) within(class string, otherwise time.Duration) time.Duration {
	return o.aim(class, "wait", otherwise)
}

// aim is the shortest time of the users' aims of a kind for a class.
func (o *Owner) aim(class, kind string, otherwise time.Duration) time.Duration {
	within := time.Duration(math.MaxInt64)
	for _, a := range o.cfg.Deployment.Objectives {
		if a.Class == class && a.Kind == kind && a.WithinS > 0 {
			within = min(within, protocol.Seconds(a.WithinS))
		}
	}
	if within == math.MaxInt64 {
		return otherwise
	}
	return within
}
