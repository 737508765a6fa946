package coordination

import (
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"slices"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// The fleet, as its leader keeps it.

// manage compares the fleet with what is needed, one round at a time.
func (l *Leader) manage() {
	if l.busy || l.catalog == nil {
		return
	}
	l.busy = true
	leadFrom := l.leadFrom
	go func() {
		l.round(leadFrom)
		pause(l.ctx, 700*time.Millisecond)
		l.tell(func() { l.busy = false })
	}()
}

// fleetState is what the owner's board says about the fleet.
type fleetState struct {
	in      fleetInput
	silent  []string
	suspect []string
	drained map[string]bool
	holder  map[string]string
	reg     map[string]*bookkeeping.Machine
	seen    map[string]bool
	// up are machines that are not seen and on which tasks may be.
	up    map[string]bool
	ready bool
}

// lost are the silent machines that should be returned: not if a great part
// of the fleet, or of one holder's machines, is silent at once. Then the fault
// lies between them and the controllers, and they are probably well.
func (st *fleetState) lost() []string {
	if len(st.silent) > max(2, len(st.reg)/3) {
		return nil
	}
	all, quiet := map[string]int{}, map[string]int{}
	for _, h := range st.holder {
		all[h]++
	}
	for _, id := range st.silent {
		quiet[st.holder[id]]++
	}
	return slices.DeleteFunc(st.silent, func(id string) bool {
		h := st.holder[id]
		return h != "" && quiet[h] > 2 && 2*quiet[h] > all[h]
	})
}

// round runs on a goroutine of its own; only one round runs at a time, and it
// alone touches what the leader keeps of the fleet.
func (l *Leader) round(leadFrom time.Time) {
	now := time.Now()
	st := l.owner.fleet(l.ctx, now, l.started)
	if st == nil || !l.session.Valid() {
		return
	}
	l.list(now, st)
	var gone []string
	boots := map[string]*fleetMachine{}
	for id, m := range st.reg {
		lm, isListed := l.listed[id]
		if isListed && lm.Status == "failed" {
			gone = append(gone, id)
			continue
		}
		if st.seen[id] {
			continue
		}
		t, ok := st.in.types[m.Type]
		if !ok {
			continue
		}
		age := now.Sub(time.UnixMilli(m.RentedMs))
		if up := st.up[id]; !up && age > protocol.Seconds(2.6*t.BootS+15) || up && age > protocol.Seconds(t.BootS)+60*time.Second && now.Sub(leadFrom) > time.Minute {
			gone = append(gone, id) // never came up, or never came back
			continue
		}
		b := &fleetMachine{id: id, rig: m.Type, zone: m.Zone, spot: m.Spot, booting: true, free: t.Room()}
		if age > protocol.Seconds(1.8*t.BootS+5) {
			b.drains = true // late: don't count on it
		}
		boots[id] = b
		st.in.machines = append(st.in.machines, b)
	}
	gone = append(gone, st.lost()...)
	for _, id := range st.suspect {
		if first, ok := l.draining[id]; !ok {
			l.draining[id] = now
		} else if st.drained[id] || now.Sub(first) > 20*time.Second {
			gone = append(gone, id)
		}
	}
	st.in.refused = func(rig, zone string, spot bool) bool {
		return now.Before(l.refusals[fmt.Sprint(rig, "/", zone, "/", spot)])
	}
	st.in.idleAfter = l.cfg.IdleAfter
	for _, m := range st.in.machines {
		m.emptying = l.emptying[m.id]
	}
	rent, idle, empty := planFleet(&st.in)
	l.emptying = map[string]bool{}
	for _, id := range empty {
		l.emptying[id] = true
		if st.drained[id] {
			gone = append(gone, id)
		}
	}
	for _, id := range idle {
		if _, ok := l.draining[id]; !ok {
			l.draining[id] = now
		}
		if st.drained[id] {
			gone = append(gone, id)
		}
	}
	for id := range l.draining {
		if !slices.Contains(idle, id) && !slices.Contains(st.suspect, id) {
			delete(l.draining, id)
		}
	}
	l.drain(st)
	l.giveBack(gone)
	if st.ready {
		l.rent(rent)
	}
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
		if st.reg[id] == nil && !st.seen[id] && m.Status != "failed" && m.AgeS > 10 && !l.owner.isGone(l.ctx, id) {
			fresh = append(fresh, bookkeeping.Machine{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, RentedMs: now.Add(-protocol.Seconds(m.AgeS)).UnixMilli()})
		}
	}
	if len(fresh) > 0 {
		slog.Info("unexpected machines", "count", len(fresh))
		for _, lot := range bookkeeping.Lots(fresh) {
			l.bookings++
			l.register(fmt.Sprintf("x-%d-%d", l.session.Term(), l.bookings), lot)
		}
	}
}

// drain tells the holders which of their machines are to be kept free of new
// tasks; those that were and no longer are, they may use again.
func (l *Leader) drain(st *fleetState) {
	byHolder := map[string][]string{}
	for name := range l.holders {
		byHolder[name] = nil
	}
	for _, set := range []iter.Seq[string]{maps.Keys(l.draining), maps.Keys(l.emptying)} {
		for id := range set {
			if h := st.holder[id]; h != "" {
				byHolder[h] = append(byHolder[h], id)
			}
		}
	}
	for name, ids := range byHolder {
		if h := l.holders[name]; h != nil && (len(ids) > 0 || l.drained[name]) {
			err := h.Drain(l.ctx, DrainArgs{Caller: l.cfg.Name, Term: l.session.Term(), Machines: ids})
			l.drained[name] = len(ids) > 0 || err != nil
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
	// Only what a lot names: dropping it there is what tells everyone.
	lots, named := map[string]*bookkeeping.Lot{}, map[string]bool{}
	l.ask(l.ctx, func() {
		wanted := make(map[string]bool, len(ids))
		for _, id := range ids {
			wanted[id] = true
		}
		for name, lot := range l.lots {
			for _, id := range lot.Machines {
				if wanted[id] && (named[id] || len(named) < protocol.MaxReturn) {
					named[id], lots[name] = true, lot
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
	if err := l.store.DropMachines(l.ctx, named, lots); err != nil {
		slog.Info("registry not updated, will return again", "err", err)
		return
	}
	for _, id := range ids {
		delete(l.listed, id)
		delete(l.draining, id)
	}
}

// rent rents machines. A booking's name is made of the controller's term,
// which the state service gave once and for all, and a rising number.
func (l *Leader) rent(rentals []rental) {
	for _, r := range rentals {
		if !l.session.Valid() {
			return
		}
		key := fmt.Sprint(r.rig, "/", r.zone, "/", r.spot)
		if time.Now().Before(l.refusals[key]) {
			continue // the cloud ran out of it in this very round
		}
		l.bookings++
		req := protocol.RentRequest{Booking: fmt.Sprintf("b-%d-%d", l.session.Term(), l.bookings), Type: r.rig, Zone: r.zone, Spot: r.spot, Count: r.count}
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
		if len(names.Machines) < r.count {
			l.refusals[key] = time.Now().Add(15 * time.Second)
		}
		slog.Info("rented", "kind", key, "for", r.class, "asked", r.count, "got", len(names.Machines))
		lot := bookkeeping.Lot{Type: r.rig, Zone: r.zone, Spot: r.spot, RentedMs: time.Now().UnixMilli(), Machines: names.Machines}
		l.owner.expect(lot)
		l.register(req.Booking, lot)
	}
}

// register writes a lot, and goes on trying for a while; what stays without a
// record is found by its holder or in the machine list.
func (l *Leader) register(name string, lot bookkeeping.Lot) {
	go func() {
		for range 5 {
			err := l.store.AddLot(l.ctx, transport.Ordinary, name, lot)
			if err == nil || errors.Is(err, bookkeeping.ErrConflict) {
				return // written, by this or by an earlier try
			}
			slog.Debug("machines not registered", "lot", name, "err", err)
			pause(l.ctx, time.Second)
		}
	}()
}
