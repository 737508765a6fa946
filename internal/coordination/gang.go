package coordination

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Gangs: all tasks start together or none does.

// placeGang starts a gang once all its tasks have room. The room is reserved first, so that no task starts and
// then waits for others that find no room; a gang of one task needs no reservation.
func (o *Owner) placeGang(js *jobState, now time.Time, rq requests) int {
	s := js.job.Spec
	if len(js.pending) > 0 {
		return 0
	}
	tasks := o.board.Tasks[s.ID]
	gang := placement.NextGangStep(tasks, s.Tasks)
	switch gang.Step {
	case placement.GangClearExited:
		return 0
	case placement.GangReserveAll:
		return o.reserveGang(js, now, rq)
	case placement.GangStart:
		if !js.advanceSince.IsZero() && o.renewAdvanceReservations(js, tasks, gang.Attempt, now, rq) {
			return 1
		}
		js.advanceSince = time.Time{}
		for index, list := range tasks {
			if !now.Before(js.retryAt[index]) { // else its last start was refused a moment ago
				o.addStart(js, index, gang.Attempt, placement.Choice{Machine: list[0].Machine}, false, rq)
			}
		}
		return s.Tasks
	case placement.GangReleaseAll:
		o.stopGang(js, 0, now, rq)
		js.blockedUntil = now.Add(time.Second)
		return 1
	case placement.GangReplaceMissing:
		return o.completeGang(js, gang.Attempt, now, rq)
	case placement.GangBroken:
		// If the remaining tasks have not stopped by themselves after a while, stop them.
		if js.incompleteSince.IsZero() {
			js.incompleteSince = now
		} else if now.Sub(js.incompleteSince) > 2*o.cfg.GangPeer() {
			o.stopGang(js, 0, now, rq)
		}
		return 1
	}
	js.incompleteSince = time.Time{}
	return 0
}

func (o *Owner) stopGang(js *jobState, grace float64, now time.Time, rq requests) {
	for _, list := range o.board.Tasks[js.job.Spec.ID] {
		for _, i := range list {
			if !i.Exited() {
				o.requestStop(i, grace, now, rq)
			}
		}
	}
}

// reserveGang searches for room for all tasks at once, in each zone in turn if they must share one.
func (o *Owner) reserveGang(js *jobState, now time.Time, rq requests) int {
	s := js.job.Spec
	for _, at := range js.retryAt {
		if now.Before(at) {
			return 0
		}
	}
	clear(js.retryAt)
	js.incompleteSince = time.Time{}
	if js.verdict == placement.AtFault {
		js.scheduleNextTrial(now)
	}
	if !o.teamLimitAllows(js, s.Tasks) {
		o.updateTeamTurn(js, now)
		js.blockedUntil = now.Add(500 * time.Millisecond)
		return 1
	}
	attempt, ok := o.gangPermits(js, now)
	if !ok {
		return 1
	}
	if s.Tasks == 1 {
		o.placeSingle(js, attempt, now, rq)
		return 1
	}
	zones := o.gangZones(s)
	picks := o.pickGangInZones(js, zones, now)
	if picks == nil {
		js.blockedUntil = now.Add(time.Second)
		o.reserveInAdvance(js, zones, attempt, now, rq)
		return s.Tasks
	}
	attempt = cmp.Or(attempt, o.newAttempt())
	for index, c := range picks {
		o.addStart(js, index, attempt, c, true, rq)
	}
	return s.Tasks
}

// updateTeamTurn updates the turn of a gang's team when the team's limit has no room for the gang.
func (o *Owner) updateTeamTurn(js *jobState, now time.Time) {
	s := js.job.Spec
	if s.Tasks == 1 {
		return
	}
	previous, waited := o.turns[s.Team], now.Sub(js.job.Ready)
	o.turns[s.Team] = previous.Next(s.ID, js.job.Rank, waited, now)
	if o.turns[s.Team] != previous {
		slog.Info("a gang's turn within its team's limit", "job", s.ID, "team", s.Team, "tasks", s.Tasks, "waited", waited)
	}
}

// placeSingle places a gang of one task, which needs no reservation.
func (o *Owner) placeSingle(js *jobState, attempt uint64, now time.Time, rq requests) {
	p := o.placingFor(js, "")
	c, ok := o.findMachine(js, p, now)
	switch {
	case !ok:
		o.noteUnmetNeed(js, now)
		o.reserveInAdvance(js, []string{""}, attempt, now, rq)
	case o.countWaitingForImage(js, p, &c, 1, now) > 0:
		js.blockedUntil = now.Add(imageWaitInterval)
	default:
		o.addStart(js, 0, cmp.Or(attempt, o.newAttempt()), c, false, rq)
	}
}

// gangZones are the zones that a gang may use, in random order; "" stands for all zones together.
func (o *Owner) gangZones(s *protocol.JobSpec) []string {
	if !s.OneZone {
		return []string{""}
	}
	var zones []string
	for _, m := range o.usableMachines() {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	rand.Shuffle(len(zones), func(i, k int) { zones[i], zones[k] = zones[k], zones[i] })
	return zones
}

// pickGangInZones finds machines for all tasks of a gang in one of the zones, nil if there are none. It
// considers preemption only if no zone has room without.
func (o *Owner) pickGangInZones(js *jobState, zones []string, now time.Time) (picks []placement.Choice) {
	for _, evict := range []bool{false, true} {
		var shortestFetch time.Duration
		for _, zone := range zones {
			// A gang starts when the slowest image fetch is done, which decides between zones: the first zone
			// with room may lack the image while another has it.
			if found, fetch := o.pickGang(js, zone, evict, now); found != nil && (picks == nil || fetch < shortestFetch) {
				picks, shortestFetch = found, fetch
			}
		}
		if picks != nil {
			return picks
		}
	}
	return nil
}

// advanceRenewInterval is how often advance reservations are renewed; a holder keeps one for 6 s.
const advanceRenewInterval = 2 * time.Second

// reserveInAdvance reserves, for a gang that has waited for long, the room that will come free on enough
// machines. On a fleet full of small tasks a gang may otherwise find no room for as long as such tasks keep
// coming. The reservations last for one turn at most, then other gangs have theirs. attempt is the number that
// the gang's permits are for, 0 if any will do.
func (o *Owner) reserveInAdvance(js *jobState, zones []string, attempt uint64, now time.Time, rq requests) {
	s := js.job.Spec
	if waited := now.Sub(js.job.Ready); waited < placement.MachineReservationAfter || js.verdict == placement.AtFault || now.Sub(js.advanceSince) < placement.LimitReservationDuration+placement.LimitReservationGap {
		return
	}
	var machines []*board.Machine
	for _, zone := range zones {
		if machines = o.placingFor(js, zone).MachinesToReserve(o.usableMachines(), s.Tasks, o.expectedEnd); machines != nil {
			break
		}
	}
	if machines == nil {
		return
	}
	slog.Info("what comes free is kept for a gang", "job", s.ID, "tasks", s.Tasks, "waited", now.Sub(js.job.Ready))
	js.advanceSince, js.advanceRenewedAt = now, now
	attempt = cmp.Or(attempt, o.newAttempt())
	for index, m := range machines {
		o.addAdvanceReservation(js, index, attempt, m, rq)
	}
}

func (o *Owner) addAdvanceReservation(js *jobState, index int, attempt uint64, m *board.Machine, rq requests) {
	o.addStart(js, index, attempt, placement.Choice{Machine: m}, true, rq)
	a := o.requestFor(rq, m)
	a.Starts[len(a.Starts)-1].Ahead = true
}

// renewAdvanceReservations keeps the advance reservations of a gang until there is room on all its machines or
// its turn ends. It returns false once there is room on all.
func (o *Owner) renewAdvanceReservations(js *jobState, tasks map[int][]*board.Instance, attempt uint64, now time.Time, rq requests) bool {
	hasRoom := true
	for _, list := range tasks {
		hasRoom = hasRoom && list[0].Machine.Free.Fits(protocol.Room{})
	}
	if hasRoom {
		return false
	}
	if now.Sub(js.advanceSince) > placement.LimitReservationDuration {
		o.stopGang(js, 0, now, rq) // the next turn is for other gangs
		js.blockedUntil = now.Add(time.Second)
		return true
	}
	if now.Sub(js.advanceRenewedAt) >= advanceRenewInterval {
		js.advanceRenewedAt = now
		for index, list := range tasks {
			o.addAdvanceReservation(js, index, attempt, list[0].Machine, rq)
		}
	}
	return true
}

// gangPermits returns the number of a gang's next attempt, 0 if any will do. It returns false if quotas do not
// allow the gang to start yet, and then requests permits for all its tasks.
func (o *Owner) gangPermits(js *jobState, now time.Time) (attempt uint64, ok bool) {
	if o.account(js) == "" {
		return 0, true
	}
	var missingPermits []int
	sameAttempt := true
	for index := range js.job.Spec.Tasks {
		if p, ok := o.heldPermit(js, index, &missingPermits); ok {
			sameAttempt = sameAttempt && (attempt == 0 || attempt == p.attempt)
			attempt = p.attempt
		}
	}
	if len(missingPermits) == 0 && sameAttempt {
		return attempt, true
	}
	clear(js.permits) // some permits of the attempt have lapsed
	all := make([]int, js.job.Spec.Tasks)
	for index := range all {
		all[index] = index
	}
	o.wantPermits(js, all, o.newAttempt(), true, now)
	return 0, false
}

// pickGang finds machines for all tasks of a gang, if there are any, and returns how long the slowest image
// fetch takes. With evict it also considers preemption.
func (o *Owner) pickGang(js *jobState, zone string, evict bool, now time.Time) (picks []placement.Choice, fetch time.Duration) {
	p := o.placingFor(js, zone)
	var preempt func() (placement.Choice, bool)
	if evict {
		preempt = func() (placement.Choice, bool) { return o.findPreemption(js, p, nil, now) }
	}
	return p.PickGang(js.job.Spec.Tasks, preempt)
}

func (o *Owner) completeGang(js *jobState, attempt uint64, now time.Time, rq requests) int {
	s := js.job.Spec
	p := o.placingFor(js, "")
	searched := 0
	for index := 0; index < s.Tasks && searched < 32; index++ {
		instances := o.board.Tasks[s.ID][index]
		reserved := len(instances) == 1 && instances[0].State == board.TaskReserved && instances[0].Attempt == attempt
		if len(instances) > 0 && !reserved || js.pending[index] != nil || now.Before(js.retryAt[index]) {
			continue
		}
		searched++
		if reserved {
			if o.teamLimitAllows(js, 0) { // the usage includes its reservation already
				o.addStart(js, index, attempt, placement.Choice{Machine: instances[0].Machine}, false, rq)
			}
			continue
		}
		if !o.teamLimitAllows(js, 1) {
			break
		}
		var missingPermits []int
		if permit, ok := o.heldPermit(js, index, &missingPermits); !ok || permit != nil && permit.attempt != attempt {
			o.wantPermits(js, []int{index}, attempt, false, now)
			continue
		}
		if c, ok := o.findMachine(js, p, now); ok {
			o.addStart(js, index, attempt, c, false, rq)
			p.TasksByZone[c.Machine.Zone]++
		}
	}
	return searched
}
