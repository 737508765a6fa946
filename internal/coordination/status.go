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

// fleetSummary counts machines by kind: those up, those booting, and in how long the next is due to be up. It
// is computed once a second for all callers.
type fleetSummary struct {
	computedAt time.Time
	nextReady  map[fleet.Kind]time.Duration
	up         map[fleet.Kind]int
	booting    map[fleet.Kind]int
	used       map[fleet.Kind]float64
}

// currentFleet summarizes the machines that are up and those that boot.
func (o *Owner) currentFleet(now time.Time) *fleetSummary {
	if now.Sub(o.fleetCache.computedAt) < time.Second {
		return &o.fleetCache
	}
	b := fleetSummary{now, map[fleet.Kind]time.Duration{}, map[fleet.Kind]int{}, map[fleet.Kind]int{}, map[fleet.Kind]float64{}}
	for _, m := range o.board.Machines {
		k := fleet.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		b.up[k]++
		if t, ok := o.machineTypes[m.Type]; ok {
			b.used[k] += min(1, t.Room().Sub(m.Free).DominantShare(t.Room()))
		}
	}
	for id, m := range o.registeredMachines {
		if o.board.Machines[id] != nil || o.rosters[ring.SlotOf(id, o.slots)][m.Number()] {
			continue
		}
		k := fleet.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		b.booting[k]++
		t := o.machineTypes[m.Type]
		left := protocol.Seconds(t.BootS) - now.Sub(time.UnixMilli(m.RentedMs))
		if old, ok := b.nextReady[k]; left > 0 && (!ok || left < old) {
			b.nextReady[k] = left
		}
	}
	o.fleetCache = b
	return &o.fleetCache
}

// waitReason returns why no more of a job's tasks run, "" if none is missing, and in how long the next should
// start, negative if that is not known.
func (o *Owner) waitReason(js *jobState, now time.Time) (reason string, in time.Duration) {
	s := js.job.Spec
	w := placement.JobWait{Final: js.job.Final(), Held: js.job.Held, TimeToBegin: js.job.EarliestStart().Sub(now), DependenciesPending: js.job.WaitingOn > 0, AtFault: js.verdict == placement.AtFault,
		Missing: s.Tasks - js.job.DoneCount(), SlotsIncomplete: !o.board.AllComplete(o.slots, 0), StartRequested: len(js.pending) > 0,
		BindingQuota:   o.limitingAccount(js, now),
		AtTeamLimit:    func() bool { return js.gainWindow != 0 && !o.teamLimitAllows(js, 1) },
		MachinesComing: func() (time.Duration, bool) { return o.nextBooting(s, now) },
		PlaceableFor:   now.Sub(js.job.Ready),
		CloudRefused:   func() bool { return o.noCapacityFor(s) }}
	w.AddInstances(o.board.Tasks[s.ID], js.job.TaskDone, o.machineTypes, s.ImageGB, now)
	return w.Reason()
}

// nextBooting reports whether machines that fit a job are booting, and in how long the first should have its
// image, negative if they are late.
func (o *Owner) nextBooting(s *protocol.JobSpec, now time.Time) (ready time.Duration, booting bool) {
	ready = -1
	current := o.currentFleet(now)
	for k, n := range current.booting {
		t := o.machineTypes[k.Type]
		if n == 0 || !s.Allows(k.Type, k.Zone, k.Spot) || !t.CanRun(s) {
			continue
		}
		booting = true
		if left, ok := current.nextReady[k]; ok && (ready < 0 || left+t.FetchTime(s.ImageGB) < ready) {
			ready = left + t.FetchTime(s.ImageGB)
		}
	}
	return ready, booting
}

// seconds is a duration as a number for display, nil if it is negative (not known).
func seconds(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	s := float64(d.Round(100*time.Millisecond)) / float64(time.Second)
	return &s
}

// jobView is the status of a job.
func (o *Owner) jobView(js *jobState, now time.Time) protocol.JobView {
	s := js.job.Spec
	v := protocol.JobView{ID: s.ID, Status: js.job.State, Class: protocol.Shorten(s.Class), Team: s.Team, Shape: s.Shape, Priority: string(s.Priority),
		AgeS: *seconds(max(0, now.Sub(js.job.Accepted))), Tasks: s.Tasks, Done: js.job.DoneCount(), FailedOn: len(js.failedOn)}
	v.Account = o.account(js)
	if b := s.Batch; b != nil {
		v.Name, v.Queue = b.Name, b.Queue
	}
	if w := o.window(); w != nil {
		v.Owner = w.OwnerOfBlock(js.job, 0)
	}
	v.Placed, v.Running = o.countTasks(s.ID)
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
	remaining := func(end time.Time) *float64 {
		in := float64(end.Sub(now).Round(100*time.Millisecond)) / float64(time.Second)
		return &in
	}
	if due, ok := s.Deadline(); ok {
		v.DueInS = remaining(j.Accepted.Add(due))
	}
	if !j.Deadline.IsZero() && !j.Final() {
		v.MustEndInS = remaining(j.Deadline)
	}
	if !js.job.Final() {
		var in time.Duration
		v.Reason, in = o.waitReason(js, now)
		v.StartsInS = seconds(in)
	}
	return v
}

// overview is the owner's part of a controller's overview.
func (o *Owner) overview() (v protocol.OwnerView) {
	now := time.Now()
	if w := o.window(); w != nil {
		v.Window = &protocol.WindowView{Number: w.Number, Owners: w.Owners, Newest: max(w.Number, o.latestWindow.Number)}
	}
	v.Slots = o.slotStates()
	for _, k := range o.refusedKinds {
		v.NoCapacity = append(v.NoCapacity, k.String())
	}
	v.Fleet = o.fleetCounts(now)
	v.Teams = o.limitedTeamViews()
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

// fleetCounts counts machines by type and spot, over all zones.
func (o *Owner) fleetCounts(now time.Time) (all []protocol.FleetCount) {
	current := o.currentFleet(now)
	kinds := map[fleet.Kind]*protocol.FleetCount{}
	count := func(k fleet.Kind) *protocol.FleetCount {
		k.Zone = ""
		if kinds[k] == nil {
			kinds[k] = &protocol.FleetCount{Type: k.Type, Spot: k.Spot}
		}
		return kinds[k]
	}
	for k, n := range current.up {
		c := count(k)
		c.Up += n
		c.Used += current.used[k]
	}
	for k, n := range current.booting {
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

// jobCounts counts the active jobs and shows those that have waited for longest.
func (o *Owner) jobCounts(now time.Time) (counts protocol.JobCount, longest []protocol.JobView) {
	counts = protocol.JobCount{Active: len(o.active), Waiting: map[string]int{}, RequestsPending: len(o.unresolved), Unarchived: len(o.unarchived), Moves: o.startedMoves}
	for _, n := range o.waitingForImage {
		counts.WaitingForImage += n
	}
	var waiting []*jobState
	for _, js := range o.active {
		if js.gainWindow != 0 {
			counts.Owned++
		}
		if js.job.HasDependents || len(js.job.Spec.Needs) > 0 {
			counts.WithDependencies++
		}
		if js.job.NeedsUnknown {
			counts.NeedsUnknown++
		}
		if reason, _ := o.waitReason(js, now); reason != "" {
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
		if !p.heardAt.IsZero() {
			heard = *seconds(now.Sub(p.heardAt))
		}
		all = append(all, protocol.SiblingView{Name: name, Session: p.sessionValid, HeardS: heard, Generation: p.generation})
	}
	return all
}

// standstillAfter is how long jobs may wait for their first placed task before the log reports it,
// standstillLogInterval how often it reports it again.
const (
	standstillAfter       = 20 * time.Second
	standstillLogInterval = 30 * time.Second
)

// logStandstill logs that placement stands still for jobs of this range, with the reasons, and when it
// resumes.
func (o *Owner) logStandstill(now time.Time) {
	reasons := map[string]int{}
	oldest, total := "", 0
	var since time.Duration
	for id, js := range o.active {
		if js.gainWindow == 0 || js.job.WaitingOn > 0 || now.Sub(js.readyAt) < standstillAfter || len(o.board.Tasks[id]) > 0 || js.job.DoneCount() > 0 {
			continue
		}
		reason, _ := o.waitReason(js, now)
		if reason == "" {
			continue
		}
		reasons[reason]++
		total++
		if age := now.Sub(js.readyAt); age > since {
			oldest, since = id, age
		}
	}
	switch {
	case total > 0 && now.Sub(o.standstillLoggedAt) >= standstillLogInterval:
		slog.Info("placement waits", "jobs", total, "why", reasons, "longest", oldest, "for", since.Round(time.Second))
		o.standstillLoggedAt = now
	case total == 0 && !o.standstillLoggedAt.IsZero():
		slog.Info("placement goes on")
		o.standstillLoggedAt = time.Time{}
	}
}

// noCapacityFor reports whether the cloud refused every kind of machine that the job may use, as far as this
// controller knows: only the leader learns of refusals.
func (o *Owner) noCapacityFor(s *protocol.JobSpec) bool {
	return len(o.refusedKinds) > 0 && !o.obtainable(s, nil)
}

// obtainable reports whether the cloud may have machines for a job, other than of the excluded types.
func (o *Owner) obtainable(s *protocol.JobSpec, excluded map[string]bool) bool {
	return fleet.AnyRentable(o.machineTypes, s, func(k fleet.Kind) bool { return !excluded[k.Type] && !slices.Contains(o.refusedKinds, k) })
}
