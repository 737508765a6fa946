package coordination

import (
	"context"
	"math"
	"slices"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// What an owner knows of the fleet and of what it lacks.

func (o *Owner) isGone(ctx context.Context, id string) (gone bool) {
	o.ask(ctx, func() { gone = o.gone[id] })
	return gone
}

// expect notes rented machines before the records show them.
func (o *Owner) expect(l bookkeeping.Lot) {
	o.ask(o.ctx, func() {
		for _, id := range l.Machines {
			if o.machReg[id] == nil && !o.gone[id] {
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
		st.ready = o.window() != nil && o.board.allComplete(o.slots, 0)
		st.in.types = o.types
		st.in.scarce = o.scarce()
		for id, m := range o.machReg {
			st.reg[id] = m
			if o.board.machines[id] == nil && o.rosters[slotOf(id, o.slots)][m.Number()] {
				st.up[id] = true
			}
		}
		for _, s := range o.board.slots {
			if p := o.peers[s.holder]; p != nil && p.valid {
				// Jobs whose tasks may be there wait until they are gone.
				st.silent = append(st.silent, s.awaited...)
				for _, id := range s.awaited {
					st.holder[id] = s.holder
				}
			}
		}
		for id, m := range o.board.machines {
			st.seen[id] = true
			if st.holder[id] == "" {
				st.holder[id] = m.holder
			}
			if st.reg[id] == nil {
				st.reg[id] = &bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
			}
			if m.Drained > 0 {
				st.drained[id] = m.Drained
			}
			if p := o.peers[m.holder]; m.Silent && m.current && p != nil && p.valid {
				if !slices.Contains(st.silent, id) {
					st.silent = append(st.silent, id)
				}
				continue
			}
			if m.Suspect {
				st.suspect = append(st.suspect, id)
				continue
			}
			if m.Leaving || m.Silent {
				continue
			}
			f := &fleetMachine{id: id, rig: m.Type, zone: m.Zone, spot: m.Spot, free: m.Free, used: len(m.insts) > 0}
			for _, i := range m.insts {
				if js := o.jobs[i.job]; js != nil && !i.exited() {
					f.pinned = f.pinned || js.job.Spec.Shape == protocol.Service
					if js.job.Filler {
						f.yields = f.yields.Add(js.job.Spec.Need())
					}
					f.byRank[js.job.Rank] = f.byRank[js.job.Rank].Add(js.job.Spec.Need())
				}
			}
			if !m.emptySince.IsZero() {
				f.idle = now.Sub(m.emptySince)
			}
			st.in.machines = append(st.in.machines, f)
		}
		st.in.demands = o.demands(now, started)
	})
	if !ok {
		return nil
	}
	return st
}

// demands is what has no machine, and what is expected to come.
func (o *Owner) demands(now, started time.Time) []demand {
	var out []demand
	for id, js := range o.active {
		if js.job.Waits > 0 {
			continue // nothing is kept for it that others could use now
		}
		s := js.job.Spec
		missing := s.Tasks - js.job.DoneCount() - len(js.pending)
		zones := map[string]int{}
		for index, list := range o.board.tasks[id] {
			if js.job.TaskDone(index) {
				continue
			}
			missing--
			for _, i := range list {
				zones[i.machine.Zone]++
			}
		}
		if missing <= 0 || js.opinion == atFault {
			continue
		}
		if t := o.cfg.Team(s.Team); t != nil && t.Limited() {
			missing = min(missing, fits(s.Need(), protocol.Room{Cores: t.CoresMax, Accels: t.AccelsMax}))
		}
		if s.Shape == protocol.Array && o.within(s.Class, 0) == 0 {
			ready, _ := o.ready(s, s.ImageGB)
			missing = inTurn(missing, s.Estimate(), o.finish(js).Sub(now)-ready)
		}
		d := demand{spec: s, raised: js.job.Rank, count: missing, filler: js.job.Filler, left: max(0, o.within(s.Class, time.Hour)-now.Sub(js.job.Ready))}
		if s.Scatter || s.OneZone {
			d.zoneLeft = map[string]int{}
			for _, z := range o.cfg.Deployment.Zones {
				d.zoneLeft[z] = s.ZoneShare() - zones[z]
				if s.OneZone && len(zones) > 0 && zones[z] == 0 {
					d.zoneLeft[z] = 0
				}
			}
		}
		out = append(out, d)
	}
	for name, c := range o.classes {
		if c.spec.Priority.Rank() < preempts {
			continue // other work of its kind would be in it at once
		}
		if n, preempt := o.spare(name, c, now, started); n > 0 {
			d := demand{spec: c.spec, count: n, spare: true, preempt: preempt, left: time.Hour}
			if c.spec.Scatter {
				d.zoneLeft = map[string]int{}
				for _, z := range o.cfg.Deployment.Zones {
					d.zoneLeft[z] = (n + 1) / 2
				}
			}
			out = append(out, d)
		}
	}
	return out
}

// finish is when the users want a job to be done: by the aim of its class, or
// by its deadline, and in any case by what those that need it leave; as soon as
// it was ready if nobody says.
func (o *Owner) finish(js *jobState) time.Time {
	j := js.job
	by := j.Ready.Add(o.aim(j.Spec.Class, "finished", 0))
	if !j.End.IsZero() && (by.Equal(j.Ready) || j.Needed && j.End.Before(by)) {
		return j.End
	}
	return by
}

// betweenTasks is what passes from one task to the next in the same room.
const betweenTasks = time.Second

// inTurn is for how many of an array's tasks there should be room at a time:
// short ones can use the same room one after the other, in the time that is
// left once a machine is ready. Estimates are taken to be wrong by half, and a
// fifth of the time is not counted on. A huge array of tasks of a few seconds
// had the whole cloud rented.
func inTurn(tasks int, estimate, left time.Duration) int {
	turns := max(1, int(left*4/5/(estimate*3/2+betweenTasks)))
	return (tasks + turns - 1) / turns
}

// fits is how often a need goes into a limit, of which zeros mean none.
func fits(need, limit protocol.Room) int {
	n := math.Inf(1)
	if need.Cores > 0 && limit.Cores > 0 {
		n = min(n, limit.Cores/need.Cores)
	}
	if need.Accels > 0 && limit.Accels > 0 {
		n = min(n, limit.Accels/need.Accels)
	}
	return int(min(n, 1e6))
}

// ready is how long a machine for a task takes to be rented and have an image
// of so many GB, and what the fetch is of it.
func (o *Owner) ready(s *protocol.JobSpec, gb float64) (ready, fetch time.Duration) {
	ready = math.MaxInt64
	for _, t := range o.types {
		if t.Takes(s) {
			f := t.FetchTime(gb)
			if r := protocol.Seconds(1.3*t.BootS) + f; r < ready {
				ready, fetch = r, f
			}
		}
	}
	return ready, fetch
}

// spare is for how many tasks of a class room should be kept ready, if the
// users' aims leave no time to wait for a machine to boot: for as many as come
// in the time by which a machine rented for them would be late, give or take.
// With all that come while it boots, a class whose images alone take nearly as
// long as its aim had a third of the fleet kept empty.
func (o *Owner) spare(name string, c *classStats, now, started time.Time) (n int, preempt bool) {
	within := o.within(name, math.MaxInt64)
	ready, fetch := o.ready(c.spec, c.image)
	if ready == math.MaxInt64 || within >= ready {
		return 0, false
	}
	mean := c.rate(now, started) * (ready - within).Seconds() * o.cfg.Spare
	if mean == 0 {
		return 0, false
	}
	return int(math.Ceil(mean + 0.7*math.Sqrt(mean))), within > fetch+12*time.Second
}
