package coordination

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// choice is a machine for a task, and what has to go for it.
type choice struct {
	machine *boardMachine
	evict   []string
}

// placing is all that a decision on one task needs.
type placing struct {
	spec   *protocol.JobSpec
	zoneOK func(zone string) bool
	avoid  map[string]bool
	types  map[string]protocol.MachineType
	// scarce are the types that some other class of jobs cannot do without.
	scarce map[string]bool
	sample int
	rng    *rand.Rand
	// keep: scarce machines are not to be used. A service would hold them for
	// good, while work that fits nowhere else waits.
	keep bool
	// zones is how many tasks of the job each zone has.
	zones map[string]int
	// with and without hold the machines that had room when they were
	// gathered, by whether they have the image.
	with, without []*boardMachine
}

func (p *placing) allowed(m *boardMachine) bool {
	return m.current && m.Usable && !p.avoid[m.ID] && !(p.keep && p.scarce[m.Type]) && p.spec.Allows(m.Type, m.Zone, m.Spot) && (p.zoneOK == nil || p.zoneOK(m.Zone))
}

// gather finds the machines with room for a task; several tasks of a job can
// be placed on what was gathered once.
func (p *placing) gather(machines []*boardMachine) {
	p.with, p.without = nil, nil
	for _, m := range machines {
		if !p.fits(m) {
			continue
		}
		if slices.Contains(m.Images, p.spec.Image) {
			p.with = append(p.with, m)
		} else {
			p.without = append(p.without, m)
		}
	}
}

func (p *placing) fits(m *boardMachine) bool {
	return m.Free.Sub(m.promised).Fits(p.spec.Need()) && p.allowed(m)
}

// bestFit draws a few of the machines that have room, as many again of those
// that have the task's image, and takes the best of the draw.
func (p *placing) bestFit() (choice, bool) {
	var best *boardMachine
	var bestCost float64
	for _, pool := range []*[]*boardMachine{&p.with, &p.without} {
		for k := 0; k < min(p.sample, len(*pool)); {
			l := *pool
			i := k + p.rng.IntN(len(l)-k)
			l[k], l[i] = l[i], l[k]
			m := l[k]
			if !p.fits(m) { // room only shrinks while a job is placed
				last := len(l) - 1
				l[k] = l[last]
				*pool = l[:last]
				continue
			}
			k++
			if c := p.cost(m); best == nil || c < bestCost {
				best, bestCost = m, c
			}
		}
	}
	return choice{machine: best}, best != nil
}

// cost is how badly a machine fits, in seconds' worth.
func (p *placing) cost(m *boardMachine) float64 {
	t := p.types[m.Type]
	whole := t.Room()
	c := p.fetch(m).Seconds()
	left := m.Free.Sub(m.promised).Sub(p.spec.Need())
	c += 8 * left.Share(whole)
	if p.scarce[t.Name] && runsOnOthers(p.spec, p.types, p.scarce) {
		c += 15 // keep machines whole for what fits nowhere else
	}
	if p.spec.Spot && !m.Spot {
		c += 4
	}
	return c
}

// runsOnOthers tells whether a job has types to run on that are not scarce.
func runsOnOthers(s *protocol.JobSpec, types map[string]protocol.MachineType, scarce map[string]bool) bool {
	for _, t := range types {
		if !scarce[t.Name] && t.Takes(s) {
			return true
		}
	}
	return false
}

// fetch is how long a machine will take to have the task's image. Images that
// are fetched at the same time share the machine's rate.
func (p *placing) fetch(m *boardMachine) time.Duration {
	t := p.types[m.Type]
	whole := t.FetchTime(p.spec.ImageGB)
	switch {
	case slices.Contains(m.Pulling, p.spec.Image):
		return whole / 2 * time.Duration(len(m.Pulling))
	case slices.Contains(m.Images, p.spec.Image):
		return 0
	}
	return whole * time.Duration(1+len(m.Pulling))
}

// evictable is what preemption needs to know of a task on a machine.
type evictable struct {
	name  string
	need  protocol.Room
	price float64
}

// preempt finds the machine on which the least is lost by stopping work of
// lower priority. price gives what stopping a task would cost, or false if it
// may not be stopped.
// The machine must be worth more than what else there is, if anything.
func (p *placing) preempt(machines []*boardMachine, orElse float64, price func(*inst) (evictable, bool)) (choice, bool) {
	var best choice
	bestPrice := orElse
	need := p.spec.Need()
	for _, m := range machines {
		if t := p.types[m.Type]; !t.Room().Fits(need) || !p.allowed(m) {
			continue
		}
		var can []evictable
		for _, i := range m.insts {
			if e, ok := price(i); ok {
				can = append(can, e)
			}
		}
		slices.SortFunc(can, func(a, b evictable) int {
			return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
		})
		room := m.Free.Sub(m.promised)
		var evict []string
		total := p.cost(m)
		for _, e := range can {
			if room.Fits(need) {
				break
			}
			room = room.Add(e.need)
			evict = append(evict, e.name)
			total += e.price
		}
		if len(evict) > 0 && room.Fits(need) && total < bestPrice {
			best, bestPrice = choice{m, evict}, total
		}
	}
	return best, best.machine != nil
}

// ---- the owner's side of it

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
		p.keep = time.Since(js.job.Accepted) < o.within(s.Class, 0)+ready
	}
	if len(js.badOn) >= 3 {
		p.avoid = nil // it fails everywhere: no machine is to blame
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

// mayStop tells whether a task of victim may be stopped for one of s: it has a
// lower priority, or its team runs it beyond its guarantee and s is within its
// own.
func (o *Owner) mayStop(victim, s *protocol.JobSpec, guaranteed bool, use map[string]protocol.Room) bool {
	if victim.Priority.Rank() < s.Priority.Rank() {
		return true
	}
	t := o.cfg.Team(victim.Team)
	return guaranteed && t != nil && victim.Team != s.Team && !t.Guarantees(use[victim.Team])
}

// price is what stopping a task for one of the given job costs.
func (o *Owner) price(s *protocol.JobSpec, guaranteed bool, use map[string]protocol.Room, now time.Time) func(*inst) (evictable, bool) {
	return func(i *inst) (evictable, bool) {
		js := o.jobs[i.job]
		if js == nil || !o.mayStop(js.job.Spec, s, guaranteed, use) || i.exited() || i.State == protocol.TaskFlushing ||
			unconfirmed(i.State) || js.job.Spec.Shape == protocol.Gang && js.job.Spec.Tasks > 1 {
			return evictable{}, false
		}
		v := js.job.Spec
		price := 10 + 10*float64(v.Priority.Rank())
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
	}
	return looked
}

// find finds a machine with room, or one where room may be made.
func (o *Owner) find(js *jobState, p *placing, now time.Time) (choice, bool) {
	c, ok := p.bestFit()
	if ok && p.fetch(c.machine) <= o.within(js.job.Spec.Class, time.Minute)-now.Sub(js.job.Accepted) {
		return c, true
	}
	if e, found := o.makeRoom(js, p, c.machine, now); found {
		return e, true
	}
	return c, ok
}

// makeRoom finds a machine where stopping other work makes room for a task, if
// that is better than what there is without (nil: nothing).
func (o *Owner) makeRoom(js *jobState, p *placing, free *boardMachine, now time.Time) (choice, bool) {
	s := js.job.Spec
	var use map[string]protocol.Room
	if t := o.cfg.Team(s.Team); t != nil && t.Guarantees(protocol.Room{}) {
		use = o.teamUse()
	}
	guaranteed := o.guaranteed(s, use)
	if s.Priority.Rank() < 2 && !guaranteed || now.Sub(js.known) < 500*time.Millisecond {
		return choice{}, false
	}
	other := math.Inf(1)
	if free != nil {
		other = p.cost(free)
	}
	e, found := p.preempt(o.machinesNow(), other, o.price(s, guaranteed, use, now))
	// Stopping other work is the last resort: as long as the aim leaves time,
	// room may come free by itself.
	within := o.within(s.Class, time.Minute)
	if !found || free == nil && within-now.Sub(js.job.Accepted)-p.fetch(e.machine)-10*time.Second >= within/5 {
		return choice{}, false
	}
	return e, true
}

// within is how soon the users want tasks of a class to start, if they say.
func (o *Owner) within(class string, otherwise time.Duration) time.Duration {
	within := time.Duration(math.MaxInt64)
	for _, a := range o.cfg.Deployment.Objectives {
		if a.Class == class && a.Kind == "wait" && a.WithinS > 0 {
			within = min(within, protocol.Seconds(a.WithinS))
		}
	}
	if within == math.MaxInt64 {
		return otherwise
	}
	return within
}

// placeGang starts a gang when all its tasks have room: reserved first, so
// that none waits in vain on its machine; one task alone needs no reservation.
func (o *Owner) placeGang(js *jobState, now time.Time, rq requests) int {
	s := js.job.Spec
	if len(js.pending) > 0 {
		return 0
	}
	tasks := o.board.tasks[s.ID]
	live, reserved, begun, present := 0, 0, 0, 0
	var attempt uint64
	same := true
	for _, list := range tasks {
		for _, i := range list {
			present++
			if i.exited() {
				continue
			}
			live++
			if attempt != 0 && attempt != i.Attempt {
				same = false
			}
			attempt = i.Attempt
			switch i.State {
			case taskReserved:
				reserved++
			case protocol.TaskRunning, protocol.TaskFlushing:
				begun++
			}
		}
	}
	switch {
	case live == 0 && present > 0:
		return 0 // exited attempts are being cleared away
	case live == 0:
		return o.gatherGang(js, now, rq)
	case reserved == s.Tasks && same:
		for index, list := range tasks {
			o.start(js, index, attempt, choice{machine: list[0].machine}, false, rq)
		}
		return s.Tasks
	case reserved == live || !same:
		o.stopGang(js, 0, now, rq)
		js.blocked = now.Add(time.Second)
		return 1
	case live < s.Tasks && begun == 0 && reserved == 0 && present == live:
		// Not started yet: a replacement with the same attempt completes it.
		return o.completeGang(js, attempt, now, rq)
	case live < s.Tasks && begun > 0:
		// The rest notices by itself; make sure of it after a while.
		if js.waitFrom.IsZero() {
			js.waitFrom = now
		} else if now.Sub(js.waitFrom) > 2*o.cfg.GangPeer() {
			o.stopGang(js, 0, now, rq)
		}
		return 1
	}
	js.waitFrom = time.Time{}
	return 0
}

func (o *Owner) stopGang(js *jobState, grace float64, now time.Time, rq requests) {
	for _, list := range o.board.tasks[js.job.Spec.ID] {
		for _, i := range list {
			if !i.exited() {
				o.askStop(i, grace, now, rq)
			}
		}
	}
}

// gatherGang looks for room for all tasks at once, in each zone in turn if
// they must share one.
func (o *Owner) gatherGang(js *jobState, now time.Time, rq requests) int {
	s := js.job.Spec
	for _, at := range js.retryAt {
		if now.Before(at) {
			return 0
		}
	}
	clear(js.retryAt)
	js.waitFrom = time.Time{}
	if !o.teamRoom(js, s.Tasks) {
		js.blocked = now.Add(500 * time.Millisecond)
		return 1
	}
	if s.Tasks == 1 {
		if c, ok := o.find(js, o.placingFor(js, ""), now); ok {
			o.start(js, 0, o.newAttempt(), c, false, rq)
		} else {
			js.blocked = now.Add(400 * time.Millisecond)
		}
		return 1
	}
	zones := []string{""}
	if s.OneZone {
		zones = nil
		for _, m := range o.machinesNow() {
			if !slices.Contains(zones, m.Zone) {
				zones = append(zones, m.Zone)
			}
		}
		rand.Shuffle(len(zones), func(i, k int) { zones[i], zones[k] = zones[k], zones[i] })
	}
	for _, evict := range []bool{false, true} {
		for _, zone := range zones {
			picks := o.pickGang(js, zone, evict, now)
			if picks == nil {
				continue
			}
			attempt := o.newAttempt()
			for index, c := range picks {
				c.machine.promised = c.machine.promised.Sub(s.Need()) // start promises it again
				o.start(js, index, attempt, c, true, rq)
			}
			return s.Tasks
		}
	}
	js.blocked = now.Add(time.Second)
	return s.Tasks
}

// pickGang finds a machine for every task of a gang, if there is one; with
// evict also such where other work has to make room.
func (o *Owner) pickGang(js *jobState, zone string, evict bool, now time.Time) []choice {
	s := js.job.Spec
	p := o.placingFor(js, zone)
	var picks []choice
	for range s.Tasks {
		c, ok := p.bestFit()
		if !ok && evict {
			c, ok = o.makeRoom(js, p, nil, now)
		}
		if !ok {
			for _, c := range picks {
				c.machine.promised = c.machine.promised.Sub(s.Need())
			}
			return nil
		}
		p.zones[c.machine.Zone]++
		c.machine.promised = c.machine.promised.Add(s.Need())
		picks = append(picks, c)
	}
	return picks
}

func (o *Owner) completeGang(js *jobState, attempt uint64, now time.Time, rq requests) int {
	s := js.job.Spec
	p := o.placingFor(js, "")
	looked := 0
	for index := 0; index < s.Tasks && looked < 32; index++ {
		if len(o.board.tasks[s.ID][index]) > 0 || js.pending[index] != nil {
			continue
		}
		looked++
		if !o.teamRoom(js, 1) {
			break
		}
		if c, ok := o.find(js, p, now); ok {
			o.start(js, index, attempt, c, false, rq)
			p.zones[c.machine.Zone]++
		}
	}
	return looked
}

// bornBy is a revision after which created jobs are new to everyone, for jobs
// that are ours since the window given; 0 if none is known yet.
func (o *Owner) bornBy(gain uint64) uint64 {
	best := uint64(0)
	for g, rev := range o.born {
		if g >= gain && (best == 0 || rev < best) {
			best = rev
		}
	}
	return best
}
