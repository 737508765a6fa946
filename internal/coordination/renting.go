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

// The fleet, as its leader keeps it.

// manage compares the fleet with what is needed, one round at a time.
func (l *Leader) manage() {
	if l.busy || l.catalog == nil {
		return
	}
	l.busy = true
	leadFrom, leadership := l.leadFrom, l.leader.Version
	go func() {
		l.round(leadFrom, leadership)
		pause(l.ctx, 700*time.Millisecond)
		l.tell(func() { l.busy = false })
	}()
}

// fleetState is what the owner's board says about the fleet.
type fleetState struct {
	in      fleet.Input
	silent  []string
	suspect []string
	drained map[string]uint64 // the wish under which it was found empty
	holder  map[string]string
	reg     map[string]*bookkeeping.Machine
	seen    map[string]bool
	// up are machines that are not seen and on which tasks may be.
	up    map[string]bool
	ready bool
	load  ring.Load
}

// round runs on a goroutine of its own; only one round runs at a time, and it
// alone touches what the leader keeps of the fleet.
func (l *Leader) round(leadFrom time.Time, leadership uint64) {
	now := time.Now()
	st := l.owner.summarizeFleet(l.ctx, now, l.started)
	if st == nil || !l.session.Valid() {
		return
	}
	if st.ready {
		l.tell(func() { l.load, l.loadAt = st.load, now })
	}
	l.list(now, st)
	wish := leadership<<24 + l.rounds // rises from round to round, and from leader to leader
	l.rounds++
	l.noteBoots(st, now)
	gone := l.notComing(st, leadFrom, now)
	gone = append(gone, fleet.SilentToReturn(st.silent, st.holder, len(st.reg))...)
	st.in.Refused = func(k fleet.Kind) bool { return now.Before(l.refusals[k]) }
	l.tellRefusals(now)
	st.in.IdleAfter = l.cfg.IdleAfter
	rent, idle := fleet.Plan(&st.in)
	slog.Debug("fleet", "machines", len(st.in.Machines), "fillers", fleet.CountFillerOnly(st.in.Machines), "idle", len(idle),
		"kinds to rent", len(rent), "ready", st.ready)
	vacate := l.vacate(&st.in, rent, now)
	gone = append(gone, l.keepFree(st, wish, idle, vacate, now)...)
	l.drain(st, wish)
	l.giveBack(gone)
	if st.ready {
		l.rent(rent)
	}
}

// notComing are the registered machines that failed, that never came up or that never came back after their
// controllers changed; those that are still to come are added to what is planned with.
func (l *Leader) notComing(st *fleetState, leadFrom, now time.Time) (gone []string) {
	for id, m := range st.reg {
		if listed, isListed := l.listed[id]; isListed && listed.Status == "failed" {
			gone = append(gone, id)
			continue
		}
		if st.seen[id] {
			continue
		}
		t, ok := st.in.Types[m.Type]
		if !ok {
			continue
		}
		age := now.Sub(time.UnixMilli(m.RentedMs))
		late, never := fleet.BootTimeouts(protocol.Seconds(t.BootS), l.boots[m.Type])
		if up := st.up[id]; !up && age > never || up && age > protocol.Seconds(t.BootS)+backWithin && now.Sub(leadFrom) > backWithin {
			gone = append(gone, id)
			continue
		}
		st.in.Machines = append(st.in.Machines, &fleet.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Booting: true,
			Free: t.Room(), Draining: age > late}) // late ones are not counted on
	}
	return gone
}

// backWithin is for how long a machine on which tasks may be is waited for that nobody shows, from when
// it should be up and from when this controller began to lead.
const backWithin = 60 * time.Second

// keepFree has machines kept free that are idle, suspect or to be vacated; it gives those that may go back.
func (l *Leader) keepFree(st *fleetState, wish uint64, idle, vacate []string, now time.Time) (gone []string) {
	unwanted := map[string]bool{}
	for _, id := range slices.Concat(idle, st.suspect, vacate) {
		unwanted[id] = true
		d, ok := l.draining[id]
		if !ok {
			d = drainWish{wish: wish, since: now}
		}
		d.vacates = slices.Contains(vacate, id)
		l.draining[id] = d
		// Only if it was empty under this wish: it may have been used since an
		// earlier one.
		if st.drained[id] >= d.wish || slices.Contains(st.suspect, id) && now.Sub(d.since) > 20*time.Second {
			gone = append(gone, id)
		}
	}
	maps.DeleteFunc(l.draining, func(id string, _ drainWish) bool { return !unwanted[id] })
	return gone
}

// drainWish is since when a machine is to be kept free of new tasks.
type drainWish struct {
	wish  uint64
	since time.Time
	// vacates: what is on it is to be moved elsewhere.
	vacates bool
}

// vacate chooses the machines whose services are to be moved elsewhere.
func (l *Leader) vacate(in *fleet.Input, rent []fleet.Rental, now time.Time) []string {
	if l.cfg.Moves == 0 {
		return nil
	}
	vacating := map[string]bool{}
	for id, d := range l.draining {
		if d.vacates && now.Sub(d.since) < vacateFor {
			vacating[id] = true
		}
	}
	grew := map[string]bool{}
	for _, r := range rent {
		l.grewAt[r.Type] = now
	}
	for rig, at := range l.grewAt {
		grew[rig] = now.Sub(at) < balance.GrowthCooldown
	}
	chosen := balance.Vacate(in, grew, vacating, int(l.moves.TokensAt(now)))
	for _, m := range in.Machines {
		if !vacating[m.ID] && slices.Contains(chosen, m.ID) {
			l.moves.AllowN(now, len(m.Replicas))
			if d, ok := l.draining[m.ID]; ok {
				d.since = now // chosen anew, and paid for once
				l.draining[m.ID] = d
			}
			slog.Info("vacating", "machine", m.ID, "services", len(m.Replicas))
		}
	}
	return chosen
}

// vacateFor is how long a machine may take to be vacated before it is used again, or
// chosen anew.
const vacateFor = 30 * time.Second

// noteBoots learns how long machines take to come up.
func (l *Leader) noteBoots(st *fleetState, now time.Time) {
	coming := map[string]bool{}
	for id, m := range st.reg {
		age := now.Sub(time.UnixMilli(m.RentedMs))
		switch {
		case !st.seen[id]:
			coming[id] = !st.up[id]
		case l.coming[id] && age > 0:
			b := append(l.boots[m.Type], age)
			l.boots[m.Type] = b[max(0, len(b)-fleet.MaxBootSamples):]
		}
	}
	l.coming = coming
}

// list reads the machine list now and then, for machines that failed and for
// those that nobody expected.
func (l *Leader) list(now time.Time, st *fleetState) {
	if now.Sub(l.listedAt) < max(4*time.Second, l.cfg.ListLag()) {
		return
	}
	l.listedAt = now
	listed := map[string]protocol.Machine{}
	from := ""
	for {
		page, err := l.cloud.List(l.ctx, from)
		if err != nil {
			slog.Debug("no machine list", "err", err)
			return
		}
		for _, m := range page.Machines {
			listed[m.ID] = m
			from = m.ID
		}
		if !page.More || len(page.Machines) == 0 || len(listed) > 10000 {
			break
		}
	}
	l.listed = listed
	var fresh []bookkeeping.Machine
	for id, m := range listed {
		if st.reg[id] == nil && !st.seen[id] && m.Status != "failed" && m.AgeS > 10 && !l.owner.isRemoved(l.ctx, id) {
			fresh = append(fresh, bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, RentedMs: now.Add(-protocol.Seconds(m.AgeS)).UnixMilli()})
		}
	}
	if len(fresh) > 0 {
		slog.Info("unexpected machines", "count", len(fresh))
		for _, batch := range bookkeeping.RentalBatches(fresh) {
			l.bookings++
			l.register(fmt.Sprintf("x-%d-%d", l.session.Term(), l.bookings), batch)
		}
	}
}

// drain tells the holders which of their machines are to be kept free of new
// tasks; those that were and no longer are, they may use again.
func (l *Leader) drain(st *fleetState, wish uint64) {
	byHolder := map[string]*DrainArgs{}
	for name := range l.holders {
		byHolder[name] = &DrainArgs{Caller: l.cfg.Name, Wish: wish}
	}
	for id, d := range l.draining {
		if a := byHolder[st.holder[id]]; a != nil && d.vacates {
			a.Vacate = append(a.Vacate, id)
		} else if a != nil {
			a.Machines = append(a.Machines, id)
		}
	}
	for name, a := range byHolder {
		if some := len(a.Machines)+len(a.Vacate) > 0; some || l.drained[name] {
			err := l.holders[name].Drain(l.ctx, *a)
			l.drained[name] = some || err != nil
		}
	}
}

// giveBack returns machines; what was on them is gone once the cloud has
// answered, and the registry says so to everyone.
func (l *Leader) giveBack(ids []string) {
	if len(ids) == 0 || !l.session.Valid() {
		return
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	// Only what a batch names: dropping it there is what tells everyone.
	batches, named := map[string]*bookkeeping.RentalBatch{}, map[string]bool{}
	l.ask(l.ctx, func() {
		wanted := make(map[string]bool, len(ids))
		for _, id := range ids {
			wanted[id] = true
		}
		for name, batch := range l.batches {
			for _, id := range batch.Machines {
				if wanted[id] && (named[id] || len(named) < protocol.MaxReturn) {
					named[id], batches[name] = true, batch
				}
			}
		}
	})
	if ids = slices.Sorted(maps.Keys(named)); len(ids) == 0 {
		return
	}
	if err := l.cloud.Return(l.ctx, ids); err != nil {
		slog.Info("return failed", "machines", len(ids), "err", err)
		return
	}
	slog.Info("returned machines", "ids", ids)
	if err := l.store.DropMachines(l.ctx, named, batches); err != nil {
		slog.Info("registry not updated, will return again", "err", err)
		return
	}
	for _, id := range ids {
		delete(l.listed, id)
		delete(l.draining, id)
	}
}

// tellRefusals lets the owner know which kinds the cloud has none of.
func (l *Leader) tellRefusals(now time.Time) {
	var refused []fleet.Kind
	for kind, until := range l.refusals {
		if now.Before(until) {
			refused = append(refused, kind)
		}
	}
	slices.SortFunc(refused, func(a, b fleet.Kind) int { return strings.Compare(a.String(), b.String()) })
	l.owner.tell(func() { l.owner.refusedKinds = refused })
}

// rent rents machines. A booking's name is made of the controller's term,
// which the state service gave once and for all, and a rising number.
func (l *Leader) rent(rentals []fleet.Rental) {
	for _, r := range rentals {
		if !l.session.Valid() {
			return
		}
		key := r.Kind
		if time.Now().Before(l.refusals[key]) {
			continue // the cloud ran out of it in this very round
		}
		l.bookings++
		req := protocol.RentRequest{Booking: fmt.Sprintf("b-%d-%d", l.session.Term(), l.bookings), Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
		names, err := l.cloud.Rent(l.ctx, req)
		if errors.Is(err, transport.ErrUnknown) {
			names, err = l.cloud.Rent(l.ctx, req) // the same booking: nothing is rented twice
		}
		if errors.Is(err, transport.ErrNoCapacity) {
			l.refusals[key] = time.Now().Add(20 * time.Second)
			slog.Info("no capacity", "kind", key)
			continue
		}
		if err != nil {
			slog.Info("rental failed", "kind", key, "err", err)
			return
		}
		if len(names.Machines) < r.Count {
			l.refusals[key] = time.Now().Add(15 * time.Second)
		}
		slog.Info("rented", "kind", key, "for", r.Class, "asked", r.Count, "got", len(names.Machines))
		batch := bookkeeping.RentalBatch{Type: r.Type, Zone: r.Zone, Spot: r.Spot, RentedMs: time.Now().UnixMilli(), Machines: names.Machines}
		l.owner.addRentedMachines(batch)
		l.register(req.Booking, batch)
	}
}

// register writes a batch, and goes on trying for a while; what stays without a
// record is found by its holder or in the machine list.
func (l *Leader) register(name string, batch bookkeeping.RentalBatch) {
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
