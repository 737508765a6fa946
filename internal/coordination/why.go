package coordination

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"daledyke/internal/fleet"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/ring"
)

// Why jobs wait, and for how long: for users, operators and the log.

// boots is what is on its way: for each type and kind when the next machine
// should be up. It is worked out once a second and serves all who ask.
type boots struct {
	at   time.Time
	next map[fleet.Kind]time.Duration
	up   map[fleet.Kind]int
	come map[fleet.Kind]int
	used map[fleet.Kind]float64
}

// fleetNow sums up the machines that are there and those that boot.
func (o *Owner) fleetNow(now time.Time) *boots {
	if now.Sub(o.boots.at) < time.Second {
		return &o.boots
	}
	b := boots{now, map[fleet.Kind]time.Duration{}, map[fleet.Kind]int{}, map[fleet.Kind]int{}, map[fleet.Kind]float64{}}
	for _, m := range o.board.Machines {
		k := fleet.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		b.up[k]++
		if t, ok := o.types[m.Type]; ok {
			b.used[k] += min(1, t.Room().Sub(m.Free).DominantShare(t.Room()))
		}
	}
	for id, m := range o.machReg {
		if o.board.Machines[id] != nil || o.rosters[ring.SlotOf(id, o.slots)][m.Number()] {
			continue
		}
		k := fleet.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		b.come[k]++
		t := o.types[m.Type]
		left := protocol.Seconds(t.BootS) - now.Sub(time.UnixMilli(m.RentedMs))
		if old, ok := b.next[k]; left > 0 && (!ok || left < old) {
			b.next[k] = left
		}
	}
	o.boots = b
	return &o.boots
}

// why tells why no more of a job's tasks run than do, "" if nothing is missing,
// and when the next should start, negative if that can't be told.
func (o *Owner) why(js *jobState, now time.Time) (reason string, in time.Duration) {
	s := js.job.Spec
	w := placement.JobWait{Final: js.job.Final(), Held: js.job.Held, TimeToBegin: js.job.EarliestStart().Sub(now), DependenciesPending: js.job.WaitingOn > 0, AtFault: js.opinion == placement.AtFault,
		Missing: s.Tasks - js.job.DoneCount(), SlotsIncomplete: !o.board.AllComplete(o.slots, 0), StartRequested: len(js.pending) > 0,
		BindingQuota:   o.limitingAccount(js, now),
		AtTeamLimit:    func() bool { return js.gain != 0 && !o.teamRoom(js, 1) },
		MachinesComing: func() (time.Duration, bool) { return o.coming(s, now) },
		PlaceableFor:   now.Sub(js.job.Ready),
		CloudRefused:   func() bool { return o.noCapacityFor(s) }}
	w.AddInstances(o.board.Tasks[s.ID], js.job.TaskDone, o.types, s.ImageGB, now)
	return w.Reason()
}

// coming tells whether machines that fit a job are on their way, and in how long
// the first of them should have its image, negative if they are late.
func (o *Owner) coming(s *protocol.JobSpec, now time.Time) (ready time.Duration, coming bool) {
	ready = -1
	there := o.fleetNow(now)
	for k, n := range there.come {
		t := o.types[k.Type]
		if n == 0 || !s.Allows(k.Type, k.Zone, k.Spot) || !t.CanRun(s) {
			continue
		}
		coming = true
		if left, ok := there.next[k]; ok && (ready < 0 || left+t.FetchTime(s.ImageGB) < ready) {
			ready = left + t.FetchTime(s.ImageGB)
		}
	}
	return ready, coming
}

// seconds is a duration for people, nil if it is not known.
func seconds(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	s := float64(d.Round(100*time.Millisecond)) / float64(time.Second)
	return &s
}

// jobView is how a job stands.
func (o *Owner) jobView(js *jobState, now time.Time) protocol.JobView {
	s := js.job.Spec
	v := protocol.JobView{ID: s.ID, Status: js.job.State, Class: s.Class, Team: s.Team, Shape: s.Shape, Priority: string(s.Priority),
		AgeS: *seconds(max(0, now.Sub(js.job.Accepted))), Tasks: s.Tasks, Done: js.job.DoneCount(), FailedOn: len(js.badOn)}
	v.Account = o.account(js)
	if b := s.Batch; b != nil {
		v.Name, v.Queue = b.Name, b.Queue
	}
	if w := o.window(); w != nil {
		v.Owner = w.OwnerOfBlock(js.job, 0)
	}
	v.Placed, v.Running = o.placed(s.ID)
	switch {
	case js.job.State == protocol.Done:
		v.Done = s.Tasks
	case js.job.State == protocol.Pending && v.Running > 0:
		v.Status = protocol.Running
	}
	j := js.job
	v.Needs, v.NeededBy, v.CancelledWith = j.WaitsFor, j.NeededBy, j.CancelledWith
	if j.Rank != s.Priority.Rank() {
		v.RaisedTo = string(protocol.PriorityOf(j.Rank))
	}
	left := func(end time.Time) *float64 {
		in := float64(end.Sub(now).Round(100*time.Millisecond)) / float64(time.Second)
		return &in
	}
	if due, ok := s.Deadline(); ok {
		v.DueInS = left(j.Accepted.Add(due))
	}
	if !j.Deadline.IsZero() && !j.Final() {
		v.MustEndInS = left(j.Deadline)
	}
	if !js.job.Final() {
		var in time.Duration
		v.Reason, in = o.why(js, now)
		v.StartsInS = seconds(in)
	}
	return v
}

// overview is what the owner adds to a controller's overview.
func (o *Owner) overview() (v protocol.OwnerView) {
	now := time.Now()
	if w := o.window(); w != nil {
		v.Window = &protocol.WindowView{Number: w.Number, Owners: w.Owners, Newest: max(w.Number, o.latest.Number)}
	}
	v.Slots = o.slotStates()
	for _, k := range o.refused {
		v.NoCapacity = append(v.NoCapacity, k.String())
	}
	v.Fleet = o.fleetCounts(now)
	if o.quotas.tree != nil {
		v.Quotas = o.quotaView(maxShownAccounts)
	}
	v.Jobs, v.Waiting = o.jobCounts(now)
	v.Siblings = o.siblingViews(now)
	return v
}

func (o *Owner) slotStates() (all []protocol.SlotState) {
	for slot := range o.slots {
		s := protocol.SlotState{Slot: slot}
		if b := o.board.Slots[slot]; b != nil {
			s.Holder, s.Complete, s.Machines, s.Awaited = b.Holder, b.Complete, len(b.Machines), len(b.Awaited)
		}
		all = append(all, s)
	}
	return all
}

// fleetCounts counts machines by type, whatever their zones.
func (o *Owner) fleetCounts(now time.Time) (all []protocol.FleetCount) {
	there := o.fleetNow(now)
	kinds := map[fleet.Kind]*protocol.FleetCount{}
	count := func(k fleet.Kind) *protocol.FleetCount {
		k.Zone = ""
		if kinds[k] == nil {
			kinds[k] = &protocol.FleetCount{Type: k.Type, Spot: k.Spot}
		}
		return kinds[k]
	}
	for k, n := range there.up {
		c := count(k)
		c.Up += n
		c.Used += there.used[k]
	}
	for k, n := range there.come {
		count(k).Booting += n
	}
	for _, c := range kinds {
		c.Used /= float64(max(1, c.Up))
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b protocol.FleetCount) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(b.Booting+b.Up, a.Booting+a.Up))
	})
	return all
}

// jobCounts counts the jobs that are not over, and shows those that have waited for longest.
func (o *Owner) jobCounts(now time.Time) (counts protocol.JobCount, longest []protocol.JobView) {
	counts = protocol.JobCount{Active: len(o.active), Waiting: map[string]int{}, RequestsPending: len(o.unclear), Unarchived: len(o.ended), Moves: o.moves}
	for _, n := range o.held {
		counts.WaitingForImage += n
	}
	var waiting []*jobState
	for _, js := range o.active {
		if js.gain != 0 {
			counts.Owned++
		}
		if js.job.HasDependents || len(js.job.Spec.Needs) > 0 {
			counts.WithDependencies++
		}
		if js.job.NeedsUnknown {
			counts.NeedsUnknown++
		}
		if reason, _ := o.why(js, now); reason != "" {
			counts.Waiting[reason]++
			waiting = append(waiting, js)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobState) int {
		return cmp.Or(a.job.Accepted.Compare(b.job.Accepted), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID))
	})
	for _, js := range waiting[:min(len(waiting), protocol.MaxWaiting)] {
		longest = append(longest, o.jobView(js, now))
	}
	return counts, longest
}

func (o *Owner) siblingViews(now time.Time) (all []protocol.SiblingView) {
	for _, name := range slices.Sorted(maps.Keys(o.peers)) {
		p := o.peers[name]
		if name == o.cfg.Name {
			continue
		}
		heard := -1.0
		if !p.heard.IsZero() {
			heard = *seconds(now.Sub(p.heard))
		}
		all = append(all, protocol.SiblingView{Name: name, Session: p.valid, HeardS: heard, Generation: p.generation})
	}
	return all
}

// standstillAfter is how long jobs may wait for the first of their tasks to be
// placed before the log says so, and stillEvery how often it says so again.
const (
	standstillAfter = 20 * time.Second
	stillEvery      = 30 * time.Second
)

// tellStandstill has the log tell when placement stands still for jobs of this
// range, why, and when it goes on.
func (o *Owner) tellStandstill(now time.Time) {
	reasons := map[string]int{}
	oldest, total := "", 0
	var since time.Duration
	for id, js := range o.active {
		if js.gain == 0 || js.job.WaitingOn > 0 || now.Sub(js.ready) < standstillAfter || len(o.board.Tasks[id]) > 0 || js.job.DoneCount() > 0 {
			continue
		}
		reason, _ := o.why(js, now)
		if reason == "" {
			continue
		}
		reasons[reason]++
		total++
		if age := now.Sub(js.ready); age > since {
			oldest, since = id, age
		}
	}
	switch {
	case total > 0 && now.Sub(o.toldStill) >= stillEvery:
		slog.Info("placement waits", "jobs", total, "why", reasons, "longest", oldest, "for", since.Round(time.Second))
		o.toldStill = now
	case total == 0 && !o.toldStill.IsZero():
		slog.Info("placement goes on")
		o.toldStill = time.Time{}
	}
}

// noCapacityFor tells whether the cloud refused every kind of machine that the
// job may use, as far as this controller knows: only the leader does.
func (o *Owner) noCapacityFor(s *protocol.JobSpec) bool {
	return len(o.refused) > 0 && !o.toBeHad(s, nil)
}

// toBeHad tells whether the cloud may have machines for a job, of other types than some.
func (o *Owner) toBeHad(s *protocol.JobSpec, but map[string]bool) bool {
	return fleet.AnyRentable(o.types, s, func(k fleet.Kind) bool { return !but[k.Type] && !slices.Contains(o.refused, k) })
}
