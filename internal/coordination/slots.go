package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// The slots of a holder and their records.

// dropAllSlots forgets all slots, as after a restart: the session was lost, and others may have taken the
// slots.
func (h *Holder) dropAllSlots() {
	h.moratoriumUntil = time.Time{}
	h.sessionsLost++
	for _, w := range h.workersByID {
		w.dropPendingAnswer()
	}
	h.slots = map[int]*heldSlot{}
	h.workersByID = map[string]*worker{}
	h.removed = nil
	h.bumpVersion()
}

// slotChanged processes a slot's record. A term higher than this holder's shows that the slot was taken
// since: this holder stops acting for it at once.
func (h *Holder) slotChanged(slot int, record *bookkeeping.Slot) {
	h.slotRecords[slot] = record
	if s := h.slots[slot]; s != nil && record.Term > s.term {
		slog.Info("a slot was taken by another", "slot", slot, "holder", record.Holder, "term", record.Term, "was", s.term)
		h.forgetSlot(s)
	}
}

// forgetSlot stops acting for a slot.
func (h *Holder) forgetSlot(s *heldSlot) {
	delete(h.slots, s.slot)
	for id, w := range h.workersByID {
		if w.slot == s {
			w.dropPendingAnswer()
			delete(h.workersByID, id)
		}
	}
	h.bumpVersion()
}

func (h *Holder) isAssignedHere(slot int) bool {
	return h.latestWindow != nil && slot < len(h.latestWindow.Assignment) && h.latestWindow.Assignment[slot] == h.cfg.Name
}

// takeSlotsTimeout bounds an adoption.
const takeSlotsTimeout = 8 * time.Second

// adoptSlots takes the slots that are assigned to this controller and for which no other process can be
// acting.
func (h *Holder) adoptSlots() {
	if h.adopting || !h.session.Valid() || h.latestWindow == nil {
		return
	}
	incarnation, sessionsLost := h.session.Term(), h.sessionsLost
	claims := h.claimableSlots(incarnation)
	if len(claims) == 0 {
		return
	}
	h.adopting = true
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, takeSlotsTimeout)
		defer cancel()
		term, err := h.store.TakeSlots(ctx, h.cfg.Name, incarnation, claims)
		if err != nil {
			pause(ctx, 100*time.Millisecond)
			h.tell(func() { h.adopting = false })
			return
		}
		h.tell(func() { h.claimsTaken(claims, term, sessionsLost) })
	}()
}

// claimsTaken is called once slots were taken; sessionsLost is the count of lost sessions when they were
// claimed. If the session for which they were taken has ended since, even if the next one has not begun,
// others may take the slots, and this holder must not act for them.
func (h *Holder) claimsTaken(claims []bookkeeping.Claim, term uint64, sessionsLost int) {
	h.adopting = false
	if h.sessionsLost == sessionsLost {
		h.addAdoptedSlots(claims, term)
	}
}

// claimableSlots returns the claims of the slots to take now, as many as one transaction takes.
func (h *Holder) claimableSlots(incarnation uint64) (claims []bookkeeping.Claim) {
	for slot := range h.latestWindow.Assignment {
		if !h.isAssignedHere(slot) || h.slots[slot] != nil {
			continue
		}
		c, may := h.claimFor(slot, incarnation)
		if !may {
			continue
		}
		if claims = append(claims, c); len(claims) == h.store.MaxClaims() {
			break // the rest in the next tick
		}
	}
	return claims
}

// claimFor returns the claim that takes a slot; may is false while another process may be acting for the slot.
// The former holder may do so until its session ends, which its member record shows.
func (h *Holder) claimFor(slot int, incarnation uint64) (c bookkeeping.Claim, may bool) {
	c = bookkeeping.Claim{Slot: slot, Seen: h.slotRecords[slot]}
	if c.Seen == nil || c.Seen.Holder == "" {
		return c, true
	}
	m := h.members[c.Seen.Holder]
	if c.Seen.Holder == h.cfg.Name && (m == nil || m.Term != incarnation) {
		return c, false // the replica does not show our own record yet
	}
	if m != nil && m.Term == c.Seen.Incarnation && c.Seen.Holder != h.cfg.Name || !h.mayTakeOver(c.Seen.Holder) {
		return c, false
	}
	c.Former = c.Seen.Holder
	if m != nil {
		c.FormerVersion = m.Version
	}
	return c, true
}

// addAdoptedSlots begins to act for slots that were taken under a new term.
func (h *Holder) addAdoptedSlots(claims []bookkeeping.Claim, term uint64) {
	for _, c := range claims {
		s := &heldSlot{slot: c.Slot, term: term, adopted: time.Now(), awaited: map[string]bool{}, roster: bookkeeping.Roster{}, rosterIncomplete: !c.RosterKnown()}
		if c.Seen != nil {
			maps.Copy(s.roster, c.Seen.Roster)
		}
		h.slots[c.Slot] = s
	}
	slog.Info("took slots", "count", len(claims), "term", term)
	h.bumpVersion()
	h.loadAdoptedSlots(term)
}

// loadAdoptedSlots reads, after an adoption, the machines that former holders registered and the newest
// window that they may have adopted. Only then are the slots ready.
func (h *Holder) loadAdoptedSlots(term uint64) {
	go func() {
		for h.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(h.ctx, 8*time.Second)
			machines, err := h.store.Machines(ctx)
			var win *bookkeeping.Window
			if err == nil {
				win, err = h.store.ReadWindow(ctx)
			}
			cancel()
			if err != nil {
				pause(h.ctx, 300*time.Millisecond)
				continue
			}
			h.tell(func() {
				// The former holder may have adopted any published window, also one that has not begun by
				// this clock.
				h.learnWindow(win)
				h.adoptWindow(win)
				for _, m := range machines {
					s := h.slots[h.slotOf(m.ID)]
					if s == nil || s.term != term {
						continue
					}
					if h.registeredMachines[m.ID] == nil && !h.returnedMachines.has(m.ID) {
						h.registeredMachines[m.ID] = m
					}
					if w := h.workersByID[m.ID]; s.roster[m.Number()] && !(w != nil && w.verified) {
						s.awaited[m.ID] = true
					}
				}
				for _, s := range h.slots {
					if s.term == term {
						s.ready = true
					}
				}
				h.updateCompleteness()
			})
			return
		}
	}()
}

// formerLeasesLapsed is called once all leases that former holders of a slot may have renewed have lapsed:
// its machines are empty, except those that may have received an answer of this holder and have not been
// heard since. A machine that is cut off right after its first report here keeps its tasks longer than the
// former leases, by the time between the adoption and that report.
func (h *Holder) formerLeasesLapsed(s *heldSlot) {
	unknown := map[string]bool{}
	for _, w := range h.workersByID {
		if w.slot == s && !w.verified && !w.lapsed {
			unknown[w.id] = true
		}
	}
	for id := range s.awaited {
		if !unknown[id] {
			delete(s.awaited, id)
		}
	}
	if s.rosterIncomplete && len(unknown) == 0 {
		s.rosterIncomplete = false
	}
	h.updateCompleteness()
}

// updateCompleteness marks the slots whose machines are all known by now.
func (h *Holder) updateCompleteness() {
	for _, s := range h.slots {
		if s.ready && !s.complete && len(s.awaited) == 0 && !s.rosterIncomplete {
			s.complete = true
			slog.Info("slot complete", "slot", s.slot, "after", time.Since(s.adopted))
			h.bumpVersion()
		}
	}
}

// releaseSlots gives up slots that are assigned to another living controller.
func (h *Holder) releaseSlots() {
	if h.latestWindow == nil {
		return
	}
	for slot, s := range h.slots {
		if slot < len(h.latestWindow.Assignment) && h.isAssignedHere(slot) {
			continue
		}
		rec := h.slotRecords[slot]
		if slot < len(h.latestWindow.Assignment) && h.members[h.latestWindow.Assignment[slot]] == nil || rec == nil || rec.Term != s.term {
			continue
		}
		// Stop acting for the slot before its record shows the release.
		h.forgetSlot(s)
		h.releasing[slot] = s
	}
	h.releaseUnconfirmed()
	if len(h.releasing) == 0 || h.writingSlots {
		return
	}
	var changes []bookkeeping.SlotChange
	for slot, s := range h.releasing {
		rec := h.slotRecords[slot]
		if rec.Term != s.term || rec.Holder == "" {
			delete(h.releasing, slot) // recorded, or taken already
		} else if len(changes) < h.store.MaxClaims() {
			changes = append(changes, bookkeeping.SlotChange{Slot: slot, SeenVersion: rec.Version, Record: bookkeeping.Slot{Term: rec.Term, Roster: rec.Roster, RosterKnown: rec.RosterKnown}})
		}
	}
	h.writeSlotRecords(transport.Vital, changes, nil)
}

// releaseUnconfirmed gives up slots that this process holds by their records without acting for them, when
// they are assigned to another living controller: the answer to the transaction that took them was lost. A
// slot that is assigned to this controller is taken again instead (adoptSlots).
func (h *Holder) releaseUnconfirmed() {
	if h.adopting || !h.session.Valid() {
		return
	}
	for slot, holder := range h.latestWindow.Assignment {
		rec := h.slotRecords[slot]
		if holder == h.cfg.Name || h.members[holder] == nil || h.slots[slot] != nil || h.releasing[slot] != nil {
			continue
		}
		if rec != nil && rec.Holder == h.cfg.Name && rec.Incarnation == h.session.Term() {
			slog.Info("gives up a slot that it did not know it had taken", "slot", slot, "term", rec.Term)
			h.releasing[slot] = &heldSlot{slot: slot, term: rec.Term}
		}
	}
}

// writeSlotRecords writes slots' records, one transaction at a time. written is run if the write surely
// succeeded; after any other outcome the loop tries again, once the replica shows the records as they are.
func (h *Holder) writeSlotRecords(u transport.Urgency, changes []bookkeeping.SlotChange, written func()) {
	if len(changes) == 0 {
		return
	}
	h.writingSlots = true
	go func() {
		err := h.store.ChangeSlots(h.ctx, u, changes)
		if err == nil && written != nil {
			h.tell(written)
		}
		pause(h.ctx, rosterWriteInterval)
		h.tell(func() { h.writingSlots = false })
	}()
}

// rosterWriteInterval is the shortest time between two writes of rosters; machines that come up at about the
// same time share a write.
const rosterWriteInterval = 250 * time.Millisecond

// updateRosters adds machines to their slots' rosters before tasks are started on them, and removes those
// that are no longer registered.
func (h *Holder) updateRosters() {
	if h.writingSlots || !h.session.Valid() {
		return
	}
	h.registerFound()
	rosters := map[*heldSlot]bookkeeping.Roster{}
	roster := func(s *heldSlot) bookkeeping.Roster {
		if rosters[s] == nil && len(rosters) < h.store.MaxClaims() {
			rosters[s] = maps.Clone(s.roster)
		}
		return rosters[s]
	}
	for _, w := range h.workersByID {
		if n := protocol.MachineNumber(w.id); w.verified && w.slot.ready && h.registeredMachines[w.id] != nil && !w.slot.roster[n] {
			if r := roster(w.slot); r != nil {
				r[n] = true
			}
		}
	}
	registered := map[uint64]bool{}
	if len(rosters) > 0 {
		for id := range h.registeredMachines {
			registered[protocol.MachineNumber(id)] = true
		}
	}
	var changes []bookkeeping.SlotChange
	for s, r := range rosters {
		rec := h.slotRecords[s.slot]
		if rec == nil || rec.Term != s.term || rec.Holder != h.cfg.Name {
			delete(rosters, s) // the replica does not show our own record yet
			continue
		}
		maps.DeleteFunc(r, func(n uint64, _ bool) bool { return !registered[n] })
		changes = append(changes, bookkeeping.SlotChange{Slot: s.slot, SeenVersion: rec.Version,
			Record: bookkeeping.Slot{Holder: rec.Holder, Incarnation: rec.Incarnation, Term: rec.Term, Roster: r, RosterKnown: !s.rosterIncomplete}})
	}
	h.writeSlotRecords(transport.Ordinary, changes, func() {
		for s, r := range rosters {
			if h.slots[s.slot] == s {
				s.roster = r
			}
		}
		for _, w := range h.workersByID {
			if r := rosters[w.slot]; r != nil && h.slots[w.slot.slot] == w.slot {
				h.markChanged(w)
			}
		}
	})
}

// registerFoundAfter is how long an unregistered machine reports before its holder registers it: the leader
// that rented it is about to do so itself.
const registerFoundAfter = 5 * time.Second

// registerFound registers machines that report and that no record names: a rental may be carried out late, or
// its leader may have ended.
func (h *Holder) registerFound() {
	if h.registeringFound {
		return
	}
	var unregistered []bookkeeping.Machine
	now := time.Now()
	for _, w := range h.workersByID {
		if w.verified && h.registeredMachines[w.id] == nil && now.Sub(w.firstHeard) > registerFoundAfter {
			unregistered = append(unregistered, bookkeeping.Machine{ID: w.id, Type: w.machineType, Zone: w.zone, Spot: w.spot, RentedMs: now.UnixMilli()})
		}
	}
	if len(unregistered) == 0 {
		return
	}
	slog.Info("unexpected machines", "count", len(unregistered))
	h.registeringFound = true
	batches := map[string]bookkeeping.RentalBatch{}
	for _, batch := range bookkeeping.RentalBatches(unregistered) {
		h.foundBatches++
		batches[fmt.Sprintf("h-%d-%d", h.session.Term(), h.foundBatches)] = batch
	}
	go func() {
		for name, batch := range batches {
			if err := h.store.AddRentalBatch(h.ctx, transport.Ordinary, name, batch); err != nil {
				slog.Debug("found machines not registered", "err", err)
			}
		}
		pause(h.ctx, time.Second) // until the replica shows them
		h.tell(func() { h.registeringFound = false })
	}()
}
