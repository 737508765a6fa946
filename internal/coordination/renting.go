package coordination

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"daledyke/internal/balance"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/fleet"
	"daledyke/internal/protocol"
	"daledyke/internal/ring"
	"daledyke/internal/transport"
)

// Management of the fleet by the leader: machines are rented, drained, vacated and returned.

// manageFleet compares the fleet with the demand for machines, one round at a time.
func (l *Leader) manageFleet() {
	if l.managingFleet || l.catalog == nil {
		return
	}
	l.managingFleet = true
	leadingSince, leadership := l.leadingSince, l.leader.Version
	go func() {
		l.fleetRound(leadingSince, leadership)
		pause(l.ctx, 700*time.Millisecond)
		l.tell(func() { l.managingFleet = false })
	}()
}

// fleetState is a snapshot of the fleet, taken from the board of the owner.
type fleetState struct {
	input      fleet.Input
	silent     []string
	suspect    []string
	drained    map[string]uint64 // by empty machine: the sequence number of the drain request under which it was found empty
	holder     map[string]string
	registered map[string]*bookkeeping.Machine
	seen       map[string]bool
	// mayHaveTasks are machines that no holder reports and that may have tasks.
	mayHaveTasks map[string]bool
	ready        bool
	load         ring.Load
}

// fleetRound runs on a goroutine of its own. Only one round runs at a time, and no other code uses the state
// of the fleet that the leader keeps.
func (l *Leader) fleetRound(leadingSince time.Time, leadership uint64) {
	now := time.Now()
	state := l.owner.summarizeFleet(l.ctx, now, l.started)
	switch {
	case state == nil:
		return // the controller has ended
	case !l.session.Valid():
		slog.Info("fleet round abandoned: the session has ended", "term", l.session.Term())
		return
	}
	if state.ready {
		l.tell(func() { l.load, l.loadAt = state.load, now })
	}
	l.refreshMachineList(now, state)
	drainSequence := leadership<<24 + l.rounds // rises from round to round and from leader to leader
	l.rounds++
	l.recordBootTimes(state, now)
	gone := l.missingMachines(state, leadingSince, now)
	gone = append(gone, fleet.SilentToReturn(state.silent, state.holder, len(state.registered))...)
	state.input.Refused = func(k fleet.Kind) bool { return now.Before(l.refusedUntil[k]) }
	l.reportRefusedKinds(now)
	state.input.IdleAfter = l.cfg.IdleAfter
	rent, idle := fleet.Plan(&state.input)
	slog.Debug("fleet", "machines", len(state.input.Machines), "fillers", fleet.CountFillerOnly(state.input.Machines), "idle", len(idle),
		"kinds to rent", len(rent), "ready", state.ready)
	vacate := l.chooseVacated(&state.input, rent, now)
	gone = append(gone, l.updateDrains(state, drainSequence, idle, vacate, now)...)
	l.sendDrains(state, drainSequence)
	l.returnMachines(gone)
	if state.ready {
		l.rent(rent)
	}
}

// missingMachines returns the registered machines that failed, that did not come up in time, or that did not
// reappear after a change of holder or leader. Machines that may still come up are added to the input of the
// plan.
func (l *Leader) missingMachines(state *fleetState, leadingSince, now time.Time) (gone []string) {
	for id, m := range state.registered {
		if listed, isListed := l.listedMachines[id]; isListed && listed.Status == "failed" {
			gone = append(gone, id)
			continue
		}
		if state.seen[id] {
			continue
		}
		t, ok := state.input.Types[m.Type]
		if !ok {
			continue
		}
		age := now.Sub(time.UnixMilli(m.RentedMs))
		lateAfter, missingAfter := fleet.BootTimeouts(protocol.Seconds(t.BootS), l.bootTimes[m.Type])
		if up := state.mayHaveTasks[id]; !up && age > missingAfter || up && age > protocol.Seconds(t.BootS)+reappearTimeout && now.Sub(leadingSince) > reappearTimeout {
			gone = append(gone, id)
			continue
		}
		state.input.Machines = append(state.input.Machines, &fleet.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Booting: true,
			Free: t.Room(), Draining: age > lateAfter}) // the plan does not rely on late machines
	}
	return gone
}

// reappearTimeout is how long the leader waits for a machine that may have tasks and that no holder reports.
// It is counted both from when the machine should be up and from when this controller began to lead.
const reappearTimeout = 60 * time.Second

// updateDrains updates the set of machines to be drained: those that are idle, suspect or to be vacated. It
// returns the machines that may be returned to the cloud.
func (l *Leader) updateDrains(state *fleetState, sequence uint64, idle, vacate []string, now time.Time) (gone []string) {
	unwanted := map[string]bool{}
	for _, id := range slices.Concat(idle, state.suspect, vacate) {
		unwanted[id] = true
		d, ok := l.draining[id]
		if !ok {
			d = drainRequest{sequence: sequence, since: now}
		}
		d.vacates = slices.Contains(vacate, id)
		l.draining[id] = d
		// The machine must have been found empty under this drain request: it may have been used since an
		// earlier one.
		if state.drained[id] >= d.sequence || slices.Contains(state.suspect, id) && now.Sub(d.since) > 20*time.Second {
			gone = append(gone, id)
		}
	}
	maps.DeleteFunc(l.draining, func(id string, _ drainRequest) bool { return !unwanted[id] })
	return gone
}

// drainRequest asks for a machine to receive no new tasks.
type drainRequest struct {
	sequence uint64
	since    time.Time
	// vacates: the owners are to move the tasks on the machine elsewhere.
	vacates bool
}

// chooseVacated chooses the machines whose services are to be moved elsewhere.
func (l *Leader) chooseVacated(in *fleet.Input, rent []fleet.Rental, now time.Time) []string {
	if l.cfg.Moves == 0 {
		return nil
	}
	vacating := map[string]bool{}
	for id, d := range l.draining {
		if d.vacates && now.Sub(d.since) < vacateTimeout {
			vacating[id] = true
		}
	}
	recentlyGrown := map[string]bool{}
	for _, r := range rent {
		l.rentalPlannedAt[r.Type] = now
	}
	for machineType, at := range l.rentalPlannedAt {
		recentlyGrown[machineType] = now.Sub(at) < balance.GrowthCooldown
	}
	chosen := balance.Vacate(in, recentlyGrown, vacating, int(l.moveLimiter.TokensAt(now)))
	for _, m := range in.Machines {
		if !vacating[m.ID] && slices.Contains(chosen, m.ID) {
			l.moveLimiter.AllowN(now, len(m.Replicas))
			if d, ok := l.draining[m.ID]; ok {
				d.since = now // chosen again: the limiter is charged once for each choice
				l.draining[m.ID] = d
			}
			slog.Info("vacating", "machine", m.ID, "services", len(m.Replicas))
		}
	}
	return chosen
}

// vacateTimeout is how long a machine may take to be vacated; after that it may be used or chosen again.
const vacateTimeout = 30 * time.Second

// recordBootTimes records how long machines took to boot.
func (l *Leader) recordBootTimes(state *fleetState, now time.Time) {
	booting := map[string]bool{}
	for id, m := range state.registered {
		age := now.Sub(time.UnixMilli(m.RentedMs))
		switch {
		case !state.seen[id]:
			booting[id] = !state.mayHaveTasks[id]
		case l.booting[id] && age > 0:
			bootTimes := append(l.bootTimes[m.Type], age)
			l.bootTimes[m.Type] = bootTimes[max(0, len(bootTimes)-fleet.MaxBootSamples):]
		}
	}
	l.booting = booting
}

// refreshMachineList reads the list of machines from the cloud at intervals, to find machines that failed and
// machines that are neither registered nor reported by a holder.
func (l *Leader) refreshMachineList(now time.Time, state *fleetState) {
	if now.Sub(l.listedAt) < max(4*time.Second, l.cfg.ListLag()) {
		return
	}
	l.listedAt = now
	listed := map[string]protocol.Machine{}
	after := ""
	for {
		page, err := l.cloud.List(l.ctx, after)
		if err != nil {
			slog.Debug("machine list not read", "err", err)
			return
		}
		for _, m := range page.Machines {
			listed[m.ID] = m
			after = m.ID
		}
		if !page.More || len(page.Machines) == 0 || len(listed) > 10000 {
			break
		}
	}
	l.listedMachines = listed
	var unexpected []bookkeeping.Machine
	for id, m := range listed {
		if state.registered[id] == nil && !state.seen[id] && m.Status != "failed" && m.AgeS > 10 && l.owner.mayBeRegistered(l.ctx, id) {
			unexpected = append(unexpected, bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, RentedMs: now.Add(-protocol.Seconds(m.AgeS)).UnixMilli()})
		}
	}
	if len(unexpected) > 0 {
		slog.Info("unexpected machines", "count", len(unexpected))
		for _, batch := range bookkeeping.RentalBatches(unexpected) {
			l.bookings++
			l.registerBatch(fmt.Sprintf("x-%d-%d", l.session.Term(), l.bookings), batch)
		}
	}
}

// sendDrains sends each holder the list of its machines that receive no new tasks. Machines that are no longer
// named become usable again.
func (l *Leader) sendDrains(state *fleetState, sequence uint64) {
	byHolder := map[string]*DrainArgs{}
	for name := range l.holders {
		byHolder[name] = &DrainArgs{Caller: l.cfg.Name, Wish: sequence}
	}
	for id, d := range l.draining {
		if args := byHolder[state.holder[id]]; args != nil && d.vacates {
			args.Vacate = append(args.Vacate, id)
		} else if args != nil {
			args.Machines = append(args.Machines, id)
		}
	}
	for name, args := range byHolder {
		if hasMachines := len(args.Machines)+len(args.Vacate) > 0; hasMachines || l.drainedHolders[name] {
			err := l.holders[name].Drain(l.ctx, *args)
			l.drainedHolders[name] = hasMachines || err != nil
		}
	}
}

// returnMachines returns machines to the cloud. Once the cloud has confirmed, the tasks on them have ended;
// dropping the machines from the registry informs all controllers.
func (l *Leader) returnMachines(ids []string) {
	if len(ids) == 0 || !l.session.Valid() {
		return
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	// Only machines named in a rental batch are returned: their removal from the batch is what informs all
	// controllers.
	batches, registered := map[string]*bookkeeping.RentalBatch{}, map[string]bool{}
	if !l.ask(l.ctx, func() { l.findBatches(ids, batches, registered) }) {
		return // the controller has ended
	}
	if ids = slices.Sorted(maps.Keys(registered)); len(ids) == 0 {
		return
	}
	if err := l.cloud.Return(l.ctx, ids); err != nil {
		slog.Info("machines not returned", "machines", len(ids), "err", err)
		return
	}
	slog.Info("returned machines", "ids", ids)
	if err := l.store.DropMachines(l.ctx, registered, batches); err != nil {
		slog.Info("registry not updated; the machines will be returned again", "err", err)
		return
	}
	for _, id := range ids {
		delete(l.listedMachines, id)
		delete(l.draining, id)
	}
}

// findBatches adds the machines that rental batches name to registered, up to as many as one request may
// return, and their batches to batches.
func (l *Leader) findBatches(ids []string, batches map[string]*bookkeeping.RentalBatch, registered map[string]bool) {
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	for name, batch := range l.batches {
		for _, id := range batch.Machines {
			if wanted[id] && (registered[id] || len(registered) < protocol.MaxReturn) {
				registered[id], batches[name] = true, batch
			}
		}
	}
}

// reportRefusedKinds reports to the owner which kinds of machines the cloud has no capacity for.
func (l *Leader) reportRefusedKinds(now time.Time) {
	var refused []fleet.Kind
	for kind, until := range l.refusedUntil {
		if now.Before(until) {
			refused = append(refused, kind)
		}
	}
	slices.SortFunc(refused, func(a, b fleet.Kind) int { return strings.Compare(a.String(), b.String()) })
	l.owner.tell(func() { l.owner.refusedKinds = refused })
}

// rent rents machines. The name of a booking is unique: it consists of the term of the controller, which the
// state service assigns only once, and a counter.
func (l *Leader) rent(rentals []fleet.Rental) {
	for _, r := range rentals {
		if !l.session.Valid() {
			return
		}
		kind := r.Kind
		if time.Now().Before(l.refusedUntil[kind]) {
			continue // an earlier rental of this round met the limit of the cloud
		}
		l.bookings++
		req := protocol.RentRequest{Booking: fmt.Sprintf("b-%d-%d", l.session.Term(), l.bookings), Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
		rented, err := l.cloud.Rent(l.ctx, req)
		if errors.Is(err, transport.ErrUnknown) {
			rented, err = l.cloud.Rent(l.ctx, req) // a retry with the same booking rents nothing twice
		}
		if errors.Is(err, transport.ErrNoCapacity) {
			l.refusedUntil[kind] = time.Now().Add(20 * time.Second)
			slog.Info("no capacity", "kind", kind)
			continue
		}
		if err != nil {
			slog.Info("machines not rented", "kind", kind, "err", err)
			return
		}
		if len(rented.Machines) < r.Count {
			l.refusedUntil[kind] = time.Now().Add(15 * time.Second)
		}
		slog.Info("rented", "kind", kind, "for", r.Class, "asked", r.Count, "got", len(rented.Machines))
		batch := bookkeeping.RentalBatch{Type: r.Type, Zone: r.Zone, Spot: r.Spot, RentedMs: time.Now().UnixMilli(), Machines: rented.Machines}
		l.owner.addRentedMachines(batch)
		l.registerBatch(req.Booking, batch)
	}
}

// registerBatch records a batch of rented machines and retries for a few seconds. A machine that remains
// unrecorded is found by its holder or in the machine list.
func (l *Leader) registerBatch(name string, batch bookkeeping.RentalBatch) {
	go func() {
		for range 5 {
			err := l.store.AddRentalBatch(l.ctx, transport.Ordinary, name, batch)
			if err == nil {
				return
			}
			slog.Debug("machines not registered", "lot", name, "err", err)
			pause(l.ctx, time.Second)
		}
	}()
}
