package coordination

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/fleet"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/ring"
)

// What an owner knows of the fleet and of what it lacks.

func (o *Owner) isGone(ctx context.Context, id string) bool {
	gone, _ := askFor(ctx, &o.actor, func() bool { return o.gone.has(id) })
	return gone
}

// expect notes rented machines before the records show them.
func (o *Owner) expect(l bookkeeping.RentalBatch) {
	o.ask(o.ctx, func() {
		for _, id := range l.Machines {
			if o.machReg[id] == nil && !o.gone.has(id) {
				o.machReg[id] = l.Machine(id)
			}
		}
	})
}

// fleet sums up the fleet for the leader.
func (o *Owner) fleet(ctx context.Context, now, started time.Time) *fleetState {
	st := &fleetState{drained: map[string]uint64{}, holder: map[string]string{}, reg: map[string]*bookkeeping.Machine{}, seen: map[string]bool{}, up: map[string]bool{}}
	ok := o.ask(ctx, func() {
		// Without every slot's news it is not known what is missing.
		st.ready = o.window() != nil && o.board.AllComplete(o.slots, 0)
		st.in.Types = o.types
		st.in.Scarce = o.scarce()
		o.addRegistered(st)
		o.addAwaited(st)
		for id, m := range o.board.Machines {
			if o.addSeen(st, id, m) {
				st.in.Machines = append(st.in.Machines, o.fleetMachine(id, m, now))
			}
		}
		st.in.Demands = o.demands(now, started)
		st.load = o.load(now)
	})
	if !ok {
		return nil
	}
	return st
}

// addRegistered adds the machines by the records, and on which of those that are not seen tasks
// may be.
func (o *Owner) addRegistered(st *fleetState) {
	for id, m := range o.machReg {
		st.reg[id] = m
		if o.board.Machines[id] == nil && o.rosters[ring.SlotOf(id, o.slots)][m.Number()] {
			st.up[id] = true
		}
	}
}

// addAwaited adds the machines that have not reported since their slots changed hands: jobs whose
// tasks may be there wait until they are gone.
func (o *Owner) addAwaited(st *fleetState) {
	for _, s := range o.board.Slots {
		if p := o.peers[s.Holder]; p != nil && p.valid {
			st.silent = append(st.silent, s.Awaited...)
			for _, id := range s.Awaited {
				st.holder[id] = s.Holder
			}
		}
	}
}

// addSeen adds what holders say of a machine; it tells whether the machine is to be planned with.
func (o *Owner) addSeen(st *fleetState, id string, m *board.Machine) bool {
	st.seen[id] = true
	if st.holder[id] == "" {
		st.holder[id] = m.Holder
	}
	if st.reg[id] == nil {
		st.reg[id] = &bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	}
	if m.Drained > 0 {
		st.drained[id] = m.Drained
	}
	if p := o.peers[m.Holder]; m.Silent && m.Current && p != nil && p.valid {
		if !slices.Contains(st.silent, id) {
			st.silent = append(st.silent, id)
		}
		return false
	}
	if m.Suspect {
		st.suspect = append(st.suspect, id)
		return false
	}
	return !m.Leaving && !m.Silent
}

// fleetMachine is a machine as plans for the fleet see it.
func (o *Owner) fleetMachine(id string, m *board.Machine, now time.Time) *fleet.Machine {
	f := &fleet.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: m.Free, Used: len(m.Instances) > 0, Fresh: now.Sub(m.FirstSeen) < fleet.FreshFor, Images: m.Images}
	for _, i := range m.Instances {
		if js := o.jobs[i.Job]; js != nil && !i.Exited() {
			addUse(f, js.job, i, now)
		}
	}
	if !m.EmptySince.IsZero() {
		f.Idle = now.Sub(m.EmptySince)
	}
	return f
}

// addUse adds a task to what uses a machine.
func addUse(f *fleet.Machine, j *bookkeeping.Job, i *board.Instance, now time.Time) {
	if j.Spec.Shape == protocol.Service {
		f.Pinned = true
		r := fleet.Replica{Spec: j.Spec}
		if i.Running() {
			r.RunningFor = now.Sub(i.RunningSince)
		}
		f.Replicas = append(f.Replicas, r)
	} else {
		f.OtherTasks = true
	}
	if j.Filler {
		f.FillerRoom = f.FillerRoom.Add(j.Spec.Need())
	}
	f.RoomByRank[j.Rank] = f.RoomByRank[j.Rank].Add(j.Spec.Need())
}

// doubtAfter is for how long a controller may not have been heard of before nothing is
// moved to it.
const doubtAfter = 4 * time.Second

// load is what the slots carry, and whose holders are doubted.
func (o *Owner) load(now time.Time) ring.Load {
	l := ring.Load{Slots: make([]float64, o.slots), Doubted: map[string]bool{}}
	for n := range l.Slots {
		s := o.board.Slots[n]
		if s == nil {
			continue
		}
		tasks := 0
		for _, m := range s.Machines {
			tasks += len(m.Instances)
		}
		l.Slots[n] = ring.LoadOf(len(s.Machines), tasks)
	}
	for name, p := range o.peers {
		l.Doubted[name] = !p.valid || now.Sub(p.heard) > doubtAfter
	}
	return l
}

// demands is what has no machine, and what is expected to come.
func (o *Owner) demands(now, started time.Time) []fleet.Demand {
	var out []fleet.Demand
	affordable := o.quotaHeadroom()
	rates, ahead := o.endsByImage(now), map[string]int{}
	limits := o.leftOfLimits()
	for _, js := range o.inOrder() {
		if js.job.WaitingOn > 0 || js.opinion == placement.AtFault {
			continue // nothing is kept for it that others could use now
		}
		s := js.job.Spec
		missing, zones := o.missingOf(js)
		if missing <= 0 {
			continue
		}
		if left := limits[s.Team]; left != nil {
			missing = left.Take(s, missing)
		}
		if n, bound := affordable[s.ID]; bound {
			missing = min(missing, n)
		}
		if missing <= 0 {
			continue
		}
		if _, fetch := fleet.FastestReady(o.types, s, s.ImageGB); fetch > 0 && s.Shape != protocol.Service {
			n := min(missing, placement.TasksToDelay(o.cfg.Patience, rates[s.Image], ahead[s.Image], fetch, now.Sub(js.job.Ready), o.within(s.Class, time.Minute)))
			ahead[s.Image] += n
			if missing -= n; missing <= 0 {
				continue // room where their image is comes sooner than a machine
			}
		}
		if s.Shape == protocol.Array && o.within(s.Class, 0) == 0 {
			ready, _ := fleet.FastestReady(o.types, s, s.ImageGB)
			missing = fleet.ConcurrentTasks(missing, s.Estimate(), o.finish(js).Sub(now)-ready)
		}
		out = append(out, fleet.Demand{Spec: s, RaisedRank: js.job.Rank, Count: missing, Filler: js.job.Filler,
			TimeLeft: max(0, o.within(s.Class, time.Hour)-now.Sub(js.job.Ready)), ZoneLeft: o.zoneLeft(s, zones)})
	}
	return append(out, o.spares(now, started)...)
}

// missingOf is how many of a job's tasks are neither done nor have a machine, and how many have
// one by zone.
func (o *Owner) missingOf(js *jobState) (missing int, zones map[string]int) {
	missing = js.job.Spec.Tasks - js.job.DoneCount() - len(js.pending)
	zones = map[string]int{}
	for index, list := range o.board.Tasks[js.job.Spec.ID] {
		if js.job.TaskDone(index) {
			continue
		}
		missing--
		for _, i := range list {
			zones[i.Machine.Zone]++
		}
	}
	return missing, zones
}

// zoneLeft is how many more tasks of a job each zone may have, nil if any may have all.
func (o *Owner) zoneLeft(s *protocol.JobSpec, zones map[string]int) map[string]int {
	if !s.Scatter && !s.OneZone {
		return nil
	}
	left := map[string]int{}
	for _, z := range o.cfg.Deployment.Zones {
		left[z] = s.MaxPerZone() - zones[z]
		if s.OneZone && len(zones) > 0 && zones[z] == 0 {
			left[z] = 0
		}
	}
	return left
}

// spares are what is kept ready for urgent work that is expected to come.
func (o *Owner) spares(now, started time.Time) (out []fleet.Demand) {
	for name, c := range o.classes {
		if c.Spec.Priority.Rank() < placement.MinPreemptingRank {
			continue // other work of its kind would be in it at once
		}
		n, preempt := fleet.SpareTasks(c, o.types, o.within(name, math.MaxInt64), o.cfg.Spare, now, started)
		if n <= 0 {
			continue
		}
		d := fleet.Demand{Spec: c.Spec, Count: n, Spare: true, AllowPreemption: preempt, TimeLeft: time.Hour}
		if c.Spec.Scatter {
			d.ZoneLeft = map[string]int{}
			for _, z := range o.cfg.Deployment.Zones {
				d.ZoneLeft[z] = (n + 1) / 2
			}
		}
		out = append(out, d)
	}
	return out
}

// inOrder are the jobs that are not over, by priority and by what is due first.
func (o *Owner) inOrder() []*jobState {
	return slices.SortedFunc(maps.Values(o.active), func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(b.job.Rank, a.job.Rank), o.sooner(a, b))
	})
}

// leftOfLimits is what each limited team may still use beside what is on machines.
func (o *Owner) leftOfLimits() map[string]*fleet.Allowance {
	left := map[string]*fleet.Allowance{}
	for i := range o.cfg.Deployment.Teams {
		if t := &o.cfg.Deployment.Teams[i]; t.Limited() {
			left[t.Name] = fleet.NewAllowance(protocol.Room{Cores: t.CoresMax, Accels: t.AccelsMax}, o.teamsNow().use[t.Name])
		}
	}
	return left
}

// endsByImage is how often a second a task ends on machines that have an image, for each.
func (o *Owner) endsByImage(now time.Time) map[string]float64 {
	rates, wanted := map[string]float64{}, o.wantedImages(now)
	for _, m := range o.board.Machines {
		if !m.Usable {
			continue
		}
		rate := 0.0
		for _, i := range m.Instances {
			if e := o.endOf(i); i.Running() && e.Mean > 0 {
				rate += 1 / e.Mean.Seconds()
			}
		}
		rate /= float64(placement.CountWanted(m, wanted))
		for _, image := range m.Images {
			if rate > 0 && !slices.Contains(m.Pulling, image) {
				rates[image] += rate
			}
		}
	}
	return rates
}

// finish is when the users want a job to be done: by the aim of its class, or
// by its deadline, and in any case by what those that need it leave; as soon as
// it was ready if nobody says.
func (o *Owner) finish(js *jobState) time.Time {
	j := js.job
	by := j.Ready.Add(o.aim(j.Spec.Class, "finished", 0))
	if !j.Deadline.IsZero() && (by.Equal(j.Ready) || j.HasDependents && j.Deadline.Before(by)) {
		return j.Deadline
	}
	return by
}

// maxClasses bounds the classes of which arrivals are counted.
const maxClasses = 64

func (o *Owner) countArrival(js *jobState) {
	s := js.job.Spec
	c := o.classes[s.Class]
	if c == nil {
		if len(o.classes) >= maxClasses {
			return
		}
		c = &fleet.Class{}
		o.classes[s.Class] = c
	}
	c.RecordArrivals(s, js.job.Ready)
}
