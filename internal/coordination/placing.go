package coordination

import (
	"math"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// The owner's side of placing: what may be used, by whom, and what may be stopped for it.

// machinesNow are the machines on which tasks may be started, as this round
// sees them.
func (o *Owner) machinesNow() []*boardMachine {
	if o.usable != nil {
		return o.usable
	}
	heard := map[string]bool{}
	for name, p := range o.peers {
		heard[name] = p.valid && time.Since(p.heard) < 6*time.Second
	}
	o.usable = make([]*boardMachine, 0, len(o.board.machines))
	for _, m := range o.board.machines {
		if m.current && m.Usable && heard[m.holder] {
			o.usable = append(o.usable, m)
		}
	}
	return o.usable
}

// placingFor prepares to place tasks of a job on machines of a zone, or of any
// if it is empty.
func (o *Owner) placingFor(js *jobState, zone string) *placing {
	s := js.job.Spec
	p := &placing{spec: s, avoid: js.badOn, types: o.types, scarce: o.scarceNow, sample: o.cfg.Sample, rng: o.rng}
	if s.Shape == protocol.Service && runsOnOthers(s, o.types, o.scarceNow) {
		// Other machines can be had in about the time that they take to boot.
		ready, _ := o.ready(s, s.ImageGB)
		p.keep = time.Since(js.job.Ready) < o.within(s.Class, 0)+ready
	}
	if js.opinion == atFault {
		p.avoid = nil // no machine is to blame
	}
	p.zones = map[string]int{}
	if s.OneZone || s.Scatter {
		for _, list := range o.board.tasks[s.ID] {
			for _, i := range list {
				if !i.exited() {
					p.zones[i.machine.Zone]++
				}
			}
		}
		for _, ps := range js.pending {
			if m := o.board.machines[ps.machine]; m != nil {
				p.zones[m.Zone]++
			}
		}
	}
	p.zoneOK = func(z string) bool {
		if zone != "" && z != zone || s.OneZone && len(p.zones) > 0 && p.zones[z] == 0 {
			return false
		}
		return !s.Scatter || p.zones[z] < s.ZoneShare()
	}
	p.gather(o.machinesNow())
	return p
}

// scarce are the types that some class seen lately cannot do without.
func (o *Owner) scarce() map[string]bool {
	out := map[string]bool{}
	for _, c := range o.classes {
		only := ""
		n := 0
		for _, t := range o.types {
			if t.Takes(c.spec) {
				only = t.Name
				n++
			}
		}
		if n == 1 {
			out[only] = true
		}
	}
	return out
}

// teamUse is what each team's tasks take, as far as the board shows.
func (o *Owner) teamUse() map[string]protocol.Room {
	use := map[string]protocol.Room{}
	for job, tasks := range o.board.tasks {
		js := o.jobs[job]
		if js == nil {
			continue
		}
		s := js.job.Spec
		for _, list := range tasks {
			for _, i := range list {
				if !i.exited() {
					use[s.Team] = use[s.Team].Add(s.Need())
				}
			}
		}
	}
	return use
}

// guaranteed tells whether one more task of the job lies within its team's
// guarantee.
func (o *Owner) guaranteed(s *protocol.JobSpec, use map[string]protocol.Room) bool {
	t := o.cfg.Team(s.Team)
	return t != nil && t.Guarantees(use[s.Team].Add(s.Need()))
}

// mayStop tells whether a task of victim may be stopped for one of j: it has a
// lower priority, or its team runs it beyond its guarantee and j is within its
// own. A job has the priority of those that need it, also as a victim.
func (o *Owner) mayStop(victim, j *bookkeeping.Job, guaranteed bool, use map[string]protocol.Room) bool {
	if victim.Rank < j.Rank {
		return true
	}
	t := o.cfg.Team(victim.Spec.Team)
	return guaranteed && t != nil && victim.Spec.Team != j.Spec.Team && !t.Guarantees(use[victim.Spec.Team])
}

// price is what stopping a task for one of the given job costs.
func (o *Owner) price(j *bookkeeping.Job, guaranteed bool, use map[string]protocol.Room, now time.Time) func(*inst) (evictable, bool) {
	return func(i *inst) (evictable, bool) {
		js := o.jobs[i.job]
		if js == nil || !o.mayStop(js.job, j, guaranteed, use) || i.exited() || i.State == protocol.TaskFlushing ||
			unconfirmed(i.State) || js.job.Spec.Shape == protocol.Gang && js.job.Spec.Tasks > 1 {
			return evictable{}, false
		}
		v := js.job.Spec
		price := 10 + 10*float64(js.job.Rank)
		if js.job.Filler {
			price = 2
		}
		if !v.Saves() {
			price += min(60, now.Sub(i.since).Seconds())
		}
		if now.Sub(i.since) < 30*time.Second {
			price += 10
		}
		return evictable{i.Task, v.Need(), price}, true
	}
}

// teamRoom tells whether the team's limit leaves room for more. The team's
// jobs all have one owner, whose board and open requests show all that may be
// running.
func (o *Owner) teamRoom(js *jobState, more int) bool {
	t := o.cfg.Team(js.job.Spec.Team)
	if t == nil || !t.Limited() {
		return t != nil
	}
	if o.bornBy(js.gain) == 0 {
		return false // not everything that runs is known yet
	}
	for job := range o.board.tasks {
		if o.jobs[job] == nil {
			return false // it may be one of the team's
		}
	}
	use := o.teamUse()[t.Name]
	for _, x := range o.active {
		if x.job.Spec.Team == t.Name {
			for range x.pending {
				use = use.Add(x.job.Spec.Need())
			}
		}
	}
	for range more {
		use = use.Add(js.job.Spec.Need())
	}
	return t.Admits(use)
}

// placeJob starts what is missing of a job, as far as there is room. It gives
// back how many tasks it looked for a machine for.
func (o *Owner) placeJob(js *jobState, now time.Time, rq requests) int {
	if js.job.Spec.Shape == protocol.Gang {
		return o.placeGang(js, now, rq)
	}
	s := js.job.Spec
	tasks := o.board.tasks[s.ID]
	looked := 0
	var p *placing
	for index := 0; index < s.Tasks && looked < 32; index++ {
		if js.job.TaskDone(index) || len(tasks[index]) > 0 || js.pending[index] != nil {
			continue
		}
		if at, ok := js.retryAt[index]; ok {
			if now.Before(at) {
				continue
			}
			delete(js.retryAt, index)
		}
		if p == nil {
			p = o.placingFor(js, "")
		}
		looked++
		if !o.teamRoom(js, 1) {
			js.blocked = now.Add(500 * time.Millisecond)
			return looked
		}
		c, ok := o.find(js, p, now)
		if !ok {
			js.blocked = now.Add(400 * time.Millisecond)
			return looked
		}
		o.start(js, index, o.newAttempt(), c, false, rq)
		p.zones[c.machine.Zone]++
		if js.opinion == atFault {
			js.tried(now)
			break
		}
	}
	return looked
}

// find finds a machine with room, or one where room may be made.
func (o *Owner) find(js *jobState, p *placing, now time.Time) (choice, bool) {
	c, ok := p.bestFit()
	if ok && p.fetch(c.machine) <= o.within(js.job.Spec.Class, time.Minute)-now.Sub(js.job.Ready) {
		return c, true
	}
	if e, found := o.makeRoom(js, p, c.machine, now); found {
		return e, true
	}
	return c, ok
}

// preempts is the lowest priority for which other work is stopped without a
// guarantee.
const preempts = 2

// onlyFiller tells whether all that has to go for a choice is filler work.
func (o *Owner) onlyFiller(c *choice) bool {
	for _, task := range c.evict {
		job, _, _ := protocol.SplitTask(task)
		if js := o.jobs[job]; js == nil || !js.job.Filler {
			return false
		}
	}
	return true
}

// makeRoom finds a machine where stopping other work makes room for a task, if
// that is better than what there is without (nil: nothing).
func (o *Owner) makeRoom(js *jobState, p *placing, free *boardMachine, now time.Time) (choice, bool) {
	s := js.job.Spec
	if js.opinion == atFault {
		return choice{}, false // nothing makes way for what will fail
	}
	var use map[string]protocol.Room
	if t := o.cfg.Team(s.Team); t != nil && t.Guarantees(protocol.Room{}) {
		use = o.teamUse()
	}
	guaranteed := o.guaranteed(s, use)
	if js.job.Rank < preempts && !guaranteed || now.Sub(js.known) < 500*time.Millisecond {
		return choice{}, false
	}
	other := math.Inf(1)
	if free != nil {
		other = p.cost(free)
	}
	e, found := p.preempt(o.machinesNow(), other, o.price(js.job, guaranteed, use, now))
	// Stopping other work is the last resort: as long as the aim leaves time,
	// room may come free by itself.
	within := o.within(s.Class, time.Minute)
	if found && free == nil && within-now.Sub(js.job.Ready)-p.fetch(e.machine)-10*time.Second >= within/5 {
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
