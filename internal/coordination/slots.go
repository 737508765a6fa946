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

// Which slots a holder has, and what their records say.

// reset forgets all slots, as after a restart: the session was lost, and
// others may have taken them.
func (h *Holder) reset() {
	h.moratoriumUntil = time.Time{}
	h.sessionsLost++
	h.slots = map[int]*heldSlot{}
	h.byID = map[string]*worker{}
	h.gone = nil
	h.bump()
}

// slotChanged takes in a slot's record. One of a higher term than this holder's says that somebody took
// the slot since: this holder stops acting for it at once.
func (h *Holder) slotChanged(slot int, record *bookkeeping.Slot) {
	h.records[slot] = record
	if s := h.slots[slot]; s != nil && record.Term > s.term {
		slog.Info("a slot was taken by another", "slot", slot, "holder", record.Holder, "term", record.Term, "was", s.term)
		h.forgetSlot(s)
	}
}

// forgetSlot stops acting for a slot.
func (h *Holder) forgetSlot(s *heldSlot) {
	delete(h.slots, s.slot)
	for id, w := range h.byID {
		if w.slot == s {
			delete(h.byID, id)
		}
	}
	h.bump()
}

func (h *Holder) wants(slot int) bool {
	return h.latest != nil && slot < len(h.latest.Assignment) && h.latest.Assignment[slot] == h.cfg.Name
}

// takeSlotsWithin bounds an adoption.
const takeSlotsWithin = 8 * time.Second

// adopt takes the slots that are assigned to this controller and that
// nobody can be acting for.
func (h *Holder) adopt() {
	if h.adopting || !h.session.Valid() || h.latest == nil {
		return
	}
	incarnation, sessionsLost := h.session.Term(), h.sessionsLost
	claims := h.claims(incarnation)
	if len(claims) == 0 {
		return
	}
	h.adopting = true
	go func() {
		ctx, cancel := context.WithTimeout(h.ctx, takeSlotsWithin)
		defer cancel()
		term, err := h.store.TakeSlots(ctx, h.cfg.Name, incarnation, claims)
		if err != nil {
			pause(ctx, 100*time.Millisecond)
			h.tell(func() { h.adopting = false })
			return
		}
		h.tell(func() { h.claimed(claims, term, sessionsLost) })
	}()
}

// claimed takes in that slots were taken, after so many sessions had been lost. The session that they
// were taken for may have ended since, also where the next one has not begun: others may take them
// then, and this holder would act for them beside those.
func (h *Holder) claimed(claims []bookkeeping.Claim, term uint64, sessionsLost int) {
	h.adopting = false
	if h.sessionsLost == sessionsLost {
		h.adopted(claims, term)
	}
}

// claims are the slots to take now, as many as one transaction takes.
func (h *Holder) claims(incarnation uint64) (claims []bookkeeping.Claim) {
	for slot := range h.latest.Assignment {
		if !h.wants(slot) || h.slots[slot] != nil {
			continue
		}
		c, may := h.claim(slot, incarnation)
		if !may {
			continue
		}
		if claims = append(claims, c); len(claims) == h.store.MaxClaims() {
			break // the rest in the next round
		}
	}
	return claims
}

// claim is what it takes to take a slot, if nobody can be acting for it: another process may be as
// long as its session lives; the member record tells.
func (h *Holder) claim(slot int, incarnation uint64) (c bookkeeping.Claim, may bool) {
	c = bookkeeping.Claim{Slot: slot, Seen: h.records[slot]}
	if c.Seen == nil || c.Seen.Holder == "" {
		return c, true
	}
	m := h.members[c.Seen.Holder]
	if c.Seen.Holder == h.cfg.Name && (m == nil || m.Term != incarnation) {
		return c, false // our own record has not come back to us yet
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

// adopted takes in that slots were taken under a new term.
func (h *Holder) adopted(claims []bookkeeping.Claim, term uint64) {
	for _, c := range claims {
		s := &heldSlot{slot: c.Slot, term: term, adopted: time.Now(), awaited: map[string]bool{}, roster: bookkeeping.Roster{}, unlisted: !c.RosterKnown()}
		if c.Seen != nil {
			maps.Copy(s.roster, c.Seen.Roster)
		}
		h.slots[c.Slot] = s
	}
	slog.Info("took slots", "count", len(claims), "term", term)
	h.bump()
	h.inform(term)
}

// inform reads, after an adoption, what the former holders registered and
// which windows they may have obeyed. Only then are the slots ready.
func (h *Holder) inform(term uint64) {
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
				// The former holder may have obeyed any published window,
				// also one that has not begun by this clock.
				h.learnWindow(win)
				h.obey(win)
				for _, m := range machines {
					s := h.slots[h.slotOf(m.ID)]
					if s == nil || s.term != term {
						continue
					}
					if h.registry[m.ID] == nil && !h.retired.has(m.ID) {
						h.registry[m.ID] = m
					}
					if w := h.byID[m.ID]; s.roster[m.Number()] && !(w != nil && w.verified) {
						s.awaited[m.ID] = true
					}
				}
				for _, s := range h.slots {
					if s.term == term {
						s.ready = true
					}
				}
				h.complete()
			})
			return
		}
	}()
}

// lapses takes in that all leases which former holders of a slot may have renewed have
// lapsed: nothing is on its machines but where an answer of ours may have been heard and
// nothing came since. Once those were taken for empty, too, though one of them, cut off right
// after its first report, ran on for as long as that report was later than the adoption.
func (h *Holder) lapses(s *heldSlot) {
	unknown := map[string]bool{}
	for _, w := range h.byID {
		if w.slot == s && !w.verified && !w.lapsed {
			unknown[w.id] = true
		}
	}
	for id := range s.awaited {
		if !unknown[id] {
			delete(s.awaited, id)
		}
	}
	if s.unlisted && len(unknown) == 0 {
		s.unlisted = false
	}
	h.complete()
}

// complete finds out which slots are fully known by now.
func (h *Holder) complete() {
	for _, s := range h.slots {
		if s.ready && !s.complete && len(s.awaited) == 0 && !s.unlisted {
			s.complete = true
			slog.Info("slot complete", "slot", s.slot, "after", time.Since(s.adopted))
			h.bump()
		}
	}
}

// release gives up slots that the assignment gives to another living controller.
func (h *Holder) release() {
	if h.latest == nil {
		return
	}
	for slot, s := range h.slots {
		if slot < len(h.latest.Assignment) && h.wants(slot) {
			continue
		}
		rec := h.records[slot]
		if slot < len(h.latest.Assignment) && h.members[h.latest.Assignment[slot]] == nil || rec == nil || rec.Term != s.term {
			continue
		}
		// Stop acting first, then say so.
		h.forgetSlot(s)
		h.releasing[slot] = s
	}
	h.releaseUnheard()
	if len(h.releasing) == 0 || h.writingSlots {
		return
	}
	var changes []bookkeeping.SlotChange
	for slot, s := range h.releasing {
		rec := h.records[slot]
		if rec.Term != s.term || rec.Holder == "" {
			delete(h.releasing, slot) // said, or taken already
		} else if len(changes) < h.store.MaxClaims() {
			changes = append(changes, bookkeeping.SlotChange{Slot: slot, SeenVersion: rec.Version, Record: bookkeeping.Slot{Term: rec.Term, Roster: rec.Roster, RosterKnown: rec.RosterKnown}})
		}
	}
	h.changeSlots(transport.Vital, changes, nil)
}

// releaseUnheard gives up slots that this process holds by their records and does not act for, when
// they are assigned to another living controller: the answer to the transaction that took them was lost.
// One that is assigned to this controller is taken anew (adopt).
func (h *Holder) releaseUnheard() {
	if h.adopting || !h.session.Valid() {
		return
	}
	for slot, holder := range h.latest.Assignment {
		rec := h.records[slot]
		if holder == h.cfg.Name || h.members[holder] == nil || h.slots[slot] != nil || h.releasing[slot] != nil {
			continue
		}
		if rec != nil && rec.Holder == h.cfg.Name && rec.Incarnation == h.session.Term() {
			slog.Info("gives up a slot that it did not know it had taken", "slot", slot, "term", rec.Term)
			h.releasing[slot] = &heldSlot{slot: slot, term: rec.Term}
		}
	}
}

// changeSlots writes slots' records, one transaction at a time. What was
// written for certain is passed on; anything else is tried again by the loop,
// once the replica shows the records as they are.
func (h *Holder) changeSlots(u transport.Urgency, changes []bookkeeping.SlotChange, written func()) {
	if len(changes) == 0 {
		return
	}
	h.writingSlots = true
	go func() {
		err := h.store.ChangeSlots(h.ctx, u, changes)
		if err == nil && written != nil {
			h.tell(written)
		}
		pause(h.ctx, rosterEvery)
		h.tell(func() { h.writingSlots = false })
	}()
}

// rosterEvery is how often rosters are written at most; machines that come up
// at about the same time share a write.
const rosterEvery = 250 * time.Millisecond

// enroll puts machines into their slots' rosters before tasks are started on
// them, and takes those out that are gone.
func (h *Holder) enroll() {
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
	for _, w := range h.byID {
		if n := protocol.MachineNumber(w.id); w.verified && w.slot.ready && h.registry[w.id] != nil && !w.slot.roster[n] {
			if r := roster(w.slot); r != nil {
				r[n] = true
			}
		}
	}
	registered := map[uint64]bool{}
	if len(rosters) > 0 {
		for id := range h.registry {
			registered[protocol.MachineNumber(id)] = true
		}
	}
	var changes []bookkeeping.SlotChange
	for s, r := range rosters {
		rec := h.records[s.slot]
		if rec == nil || rec.Term != s.term || rec.Holder != h.cfg.Name {
			delete(rosters, s) // our own record has not come back to us yet
			continue
		}
		maps.DeleteFunc(r, func(n uint64, _ bool) bool { return !registered[n] })
		changes = append(changes, bookkeeping.SlotChange{Slot: s.slot, SeenVersion: rec.Version,
			Record: bookkeeping.Slot{Holder: rec.Holder, Incarnation: rec.Incarnation, Term: rec.Term, Roster: r, RosterKnown: !s.unlisted}})
	}
	h.changeSlots(transport.Ordinary, changes, func() {
		for s, r := range rosters {
			if h.slots[s.slot] == s {
				s.roster = r
			}
		}
		for _, w := range h.byID {
			if r := rosters[w.slot]; r != nil && h.slots[w.slot.slot] == w.slot {
				h.touch(w)
			}
		}
	})
}

// foundAfter is how long a machine may report before it is registered by its
// holder: the leader that rented it is about to do so itself.
const foundAfter = 5 * time.Second

// registerFound registers machines that report and that no record names: a
// rental may be carried out late, or its leader may have ended.
func (h *Holder) registerFound() {
	if h.finding {
		return
	}
	var fresh []bookkeeping.Machine
	now := time.Now()
	for _, w := range h.byID {
		if w.verified && h.registry[w.id] == nil && now.Sub(w.firstHeard) > foundAfter {
			fresh = append(fresh, bookkeeping.Machine{ID: w.id, Type: w.rig, Zone: w.zone, Spot: w.spot, RentedMs: now.UnixMilli()})
		}
	}
	if len(fresh) == 0 {
		return
	}
	slog.Info("unexpected machines", "count", len(fresh))
	h.finding = true
	batches := map[string]bookkeeping.RentalBatch{}
	for _, l := range bookkeeping.RentalBatches(fresh) {
		h.found++
		batches[fmt.Sprintf("h-%d-%d", h.session.Term(), h.found)] = l
	}
	go func() {
		for name, l := range batches {
			if err := h.store.AddRentalBatch(h.ctx, transport.Ordinary, name, l); err != nil {
				slog.Debug("found machines not registered", "err", err)
			}
		}
		pause(h.ctx, time.Second) // they come back through the replica
		h.tell(func() { h.finding = false })
	}()
}
