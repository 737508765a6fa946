package coordination

import (
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// Changes of records: the replica passes them to the actors.

// JobChanged implements bookkeeping.Listener, as do the methods below.
func (k *Controller) JobChanged(j *bookkeeping.Job) {
	k.holder.tell(func() { k.holder.jobChanged(j) })
	k.owner.tell(func() { k.owner.jobChanged(j) })
}

func (k *Controller) MemberChanged(name string, m *bookkeeping.Member) {
	k.owner.tell(func() { k.owner.memberChanged(name, m) })
	k.holder.tell(func() { k.holder.memberChanged(name, m) })
	if m == nil {
		k.leader.tell(func() { delete(k.leader.members, name) })
		return
	}
	k.leader.tell(func() { k.leader.members[name] = m })
}

func (k *Controller) LeaderChanged(l *bookkeeping.Leader) {
	k.leader.tell(func() { k.leader.leader = l })
}

func (k *Controller) WindowChanged(w *bookkeeping.Window) {
	k.holder.tell(func() { k.holder.learnWindow(w) })
	k.owner.tell(func() { k.owner.windowChanged(w) })
	k.leader.tell(func() { k.leader.window = w })
}

func (k *Controller) SlotChanged(slot int, s *bookkeeping.Slot) {
	k.holder.tell(func() { k.holder.slotChanged(slot, s) })
	k.owner.tell(func() { k.owner.rosters[slot] = s.Roster })
}

func (k *Controller) RentalBatchChanged(name string, batch *bookkeeping.RentalBatch) {
	k.leader.tell(func() {
		if batch == nil {
			delete(k.leader.batches, name)
		} else {
			k.leader.batches[name] = batch
		}
	})
}

func (k *Controller) MachineChanged(id string, m *bookkeeping.Machine) {
	k.holder.tell(func() { k.holder.machineChanged(id, m) })
	k.owner.tell(func() { k.owner.machineChanged(id, m) })
}

func (k *Controller) CatalogChanged(c *protocol.Catalog) {
	types := make(map[string]protocol.MachineType, len(c.Types))
	for _, t := range c.Types {
		types[t.Name] = t
	}
	k.catalog.Store(c)
	k.holder.tell(func() { k.holder.machineTypes = types })
	k.owner.tell(func() { k.owner.machineTypes = types; k.owner.dirty = true })
	k.leader.tell(func() { k.leader.catalog = c })
}

func (k *Controller) Synced(at time.Time) {
	k.loaded.Store(true)
	k.holder.tell(func() { k.holder.synced(at) })
}
