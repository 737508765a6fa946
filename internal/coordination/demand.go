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

// What an owner knows of the fleet, and which machines its jobs need.

// mayBeRegistered reports whether a machine that the cloud lists is not known to be removed.
func (o *Owner) mayBeRegistered(ctx context.Context, id string) bool {
	removed, ok := askFor(ctx, &o.actor, func() bool { return o.removedMachines.has(id) })
	return ok && !removed
}

// addRentedMachines registers rented machines before the replica shows their records.
func (o *Owner) addRentedMachines(batch bookkeeping.RentalBatch) {
	o.tell(func() {
		for _, id := range batch.Machines {
			if o.registeredMachines[id] == nil && !o.removedMachines.has(id) {
				o.registeredMachines[id] = batch.Machine(id)
			}
		}
	})
}

// summarizeFleet describes the fleet for the leader.
func (o *Owner) summarizeFleet(ctx context.Context, now, started time.Time) *fleetState {
	st := &fleetState{drained: map[string]uint64{}, holder: map[string]string{}, registered: map[string]*bookkeeping.Machine{}, seen: map[string]bool{}, mayHaveTasks: map[string]bool{}}
	ok := o.ask(ctx, func() {
		// Without complete slots it is not known what is missing.
		st.ready = o.window() != nil && o.board.AllComplete(o.slots, 0)
		st.input.Types = o.machineTypes
		st.input.Scarce = o.findScarceTypes()
		o.addRegisteredMachines(st)
		o.addAwaitedMachines(st)
		for id, m := range o.board.Machines {
			if o.addReportedMachine(st, id, m) {
				st.input.Machines = append(st.input.Machines, o.fleetMachine(id, m, now))
			}
		}
		st.input.Demands = o.demands(now, started)
		st.load = o.ringLoad(now)
	})
	if !ok {
		return nil
	}
	return st
}

// addRegisteredMachines adds the registered machines. Unseen ones listed in a roster are marked up, since
// tasks may run on them.
func (o *Owner) addRegisteredMachines(st *fleetState) {
	for id, m := range o.registeredMachines {
		st.registered[id] = m
		if o.board.Machines[id] == nil && o.rosters[ring.SlotOf(id, o.slots)][m.Number()] {
			st.mayHaveTasks[id] = true
		}
	}
}

// addAwaitedMachines adds the machines that have not reported since their slots changed holder: jobs with
// tasks that may run there wait until these machines are gone.
func (o *Owner) addAwaitedMachines(st *fleetState) {
	for _, s := range o.board.Slots {
		if p := o.peers[s.Holder]; p != nil && p.sessionValid {
			st.silent = append(st.silent, s.Awaited...)
			for _, id := range s.Awaited {
				st.holder[id] = s.Holder
			}
		}
	}
}

// addReportedMachine adds a holder's view of a machine; it reports whether the machine is available for
// planning.
func (o *Owner) addReportedMachine(st *fleetState, id string, m *board.Machine) bool {
	st.seen[id] = true
	if st.holder[id] == "" {
		st.holder[id] = m.Holder
	}
	if st.registered[id] == nil {
		st.registered[id] = &bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
	}
	if m.Drained > 0 {
		st.drained[id] = m.Drained
	}
	if p := o.peers[m.Holder]; m.Silent && m.Current && p != nil && p.sessionValid {
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

// fleetMachine describes a machine for fleet planning.
func (o *Owner) fleetMachine(id string, m *board.Machine, now time.Time) *fleet.Machine {
	f := &fleet.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Free: m.Free, Tasks: len(m.Instances), Used: len(m.Instances) > 0, Fresh: now.Sub(m.FirstSeen) < fleet.FreshFor, Images: m.Images}
	for _, i := range m.Instances {
		if js := o.jobs[i.Job]; js != nil && !i.Exited() {
			addTaskUse(f, js.job, i, now)
		}
	}
	if !m.EmptySince.IsZero() {
		f.Idle = now.Sub(m.EmptySince)
	}
	return f
}

// addTaskUse adds a task to what uses a machine.
func addTaskUse(f *fleet.Machine, j *bookkeeping.Job, i *board.Instance, now time.Time) {
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

// siblingDoubtTimeout is how long a controller may be silent before no slot is moved to it.
const siblingDoubtTimeout = 4 * time.Second

// ringLoad is the load of each slot, and which controllers are unresponsive.
func (o *Owner) ringLoad(now time.Time) ring.Load {
	l := ring.Load{Slots: make([]float64, o.slots), Unresponsive: map[string]bool{}}
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
		l.Unresponsive[name] = !p.sessionValid || now.Sub(p.heardAt) > siblingDoubtTimeout
	}
	return l
}

// demands are the tasks without a machine, and spare room for expected work.
func (o *Owner) demands(now, started time.Time) []fleet.Demand {
	var out []fleet.Demand
	affordable := o.quotaHeadroom()
	rates, waitingForImage := o.completionRates(now), map[string]int{}
	limits := o.remainingTeamLimits()
	for _, js := range o.activeJobsByUrgency() {
		if js.job.WaitingOn > 0 || js.verdict == placement.AtFault {
			continue // no capacity is kept from other work for a job that is expected to fail
		}
		s := js.job.Spec
		missing, zones := o.missingTasks(js)
		if missing <= 0 {
			continue
		}
		if allowance := limits[s.Team]; allowance != nil {
			missing = allowance.Take(s, missing)
		}
		if n, limited := affordable[s.ID]; limited {
			missing = min(missing, n)
		}
		if missing <= 0 {
			continue
		}
		if _, fetch := fleet.FastestReady(o.machineTypes, s, s.ImageGB); fetch > 0 && s.Shape != protocol.Service {
			n := min(missing, placement.TasksToDelay(o.cfg.Patience, rates[s.Image], waitingForImage[s.Image], fetch, now.Sub(js.job.Ready), o.startObjective(s.Class, time.Minute)))
			waitingForImage[s.Image] += n
			if missing -= n; missing <= 0 {
				continue // room on a machine with their image comes free sooner than a new machine is ready
			}
		}
		if s.Shape == protocol.Array && o.startObjective(s.Class, 0) == 0 {
			ready, _ := fleet.FastestReady(o.machineTypes, s, s.ImageGB)
			missing = fleet.ConcurrentTasks(missing, s.Estimate(), o.targetFinish(js).Sub(now)-ready)
		}
		out = append(out, fleet.Demand{Spec: s, RaisedRank: js.job.Rank, Count: missing, Filler: js.job.Filler,
			TimeLeft: max(0, o.startObjective(s.Class, time.Hour)-now.Sub(js.job.Ready)), ZoneLeft: o.remainingPerZone(s, zones), Avoid: maps.Clone(js.avoidedMachines(now))})
	}
	return append(out, o.spareDemands(now, started)...)
}

// missingTasks counts a job's tasks that are neither done nor placed, and the placed ones by zone.
func (o *Owner) missingTasks(js *jobState) (missing int, zones map[string]int) {
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

// remainingPerZone is how many more tasks of a job each zone may have, nil if any zone may have all.
func (o *Owner) remainingPerZone(s *protocol.JobSpec, zones map[string]int) map[string]int {
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

// spareDemands are the spare room for urgent work that is expected to come.
func (o *Owner) spareDemands(now, started time.Time) (out []fleet.Demand) {
	for name, c := range o.classes {
		if c.Spec.Priority.Rank() < placement.MinPreemptingRank {
			continue // other work of its kind would occupy the spare room at once
		}
		n, preempt := fleet.SpareTasks(c, o.machineTypes, o.startObjective(name, math.MaxInt64), o.cfg.Spare, now, started)
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

// activeJobsByUrgency are the active jobs, by priority and then by start deadline.
func (o *Owner) activeJobsByUrgency() []*jobState {
	return slices.SortedFunc(maps.Values(o.active), func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(b.job.Rank, a.job.Rank), o.compareStartDeadline(a, b))
	})
}

// remainingTeamLimits is how much each limited team may still use beyond what is or may come to be on machines.
func (o *Owner) remainingTeamLimits() map[string]*fleet.Allowance {
	left := map[string]*fleet.Allowance{}
	for i := range o.cfg.Deployment.Teams {
		if t := &o.cfg.Deployment.Teams[i]; t.HasLimit() {
			left[t.Name] = fleet.NewAllowance(protocol.Room{Cores: t.CoresMax, Accels: t.AccelsMax}, o.currentTeamUsage().mayBePresent(t.Name))
		}
	}
	return left
}

// completionRates is, by image, how many tasks a second end on machines that have the image.
func (o *Owner) completionRates(now time.Time) map[string]float64 {
	rates, wanted := map[string]float64{}, o.wantedImages(now)
	for _, m := range o.board.Machines {
		if !m.Usable {
			continue
		}
		rate := 0.0
		for _, i := range m.Instances {
			if e := o.expectedEnd(i); i.Running() && e.Mean > 0 {
				rate += 1 / e.Mean.Seconds()
			}
		}
		rate /= float64(placement.CountWantedImages(m, wanted))
		for _, image := range m.Images {
			if rate > 0 && !slices.Contains(m.Pulling, image) {
				rates[image] += rate
			}
		}
	}
	return rates
}

// targetFinish is when a job should be done: by the objective of its class, else by its deadline, and in any
// case by the end that dependent jobs leave it. Without either it is when the job was ready.
func (o *Owner) targetFinish(js *jobState) time.Time {
	j := js.job
	target := j.Ready.Add(o.objective(j.Spec.Class, "finished", 0))
	if !j.Deadline.IsZero() && (target.Equal(j.Ready) || j.HasDependents && j.Deadline.Before(target)) {
		return j.Deadline
	}
	return target
}

// maxClasses bounds the number of classes whose arrivals are counted.
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
