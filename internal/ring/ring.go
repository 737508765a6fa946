// Package ring divides the ring of job ids and the workers among the controllers.
// The leader makes this decision in numbered windows, which it publishes in advance
// ("Publish token ring partitions" of the source, docs/design.md).
package ring

import (
	"slices"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// NextWindow returns the window to publish, nil if none is due. A window is due once
// publishOffset of the current one has passed, or immediately when the owners or the
// assignment change. names are all controllers in a fixed order, members those with
// live sessions; a window lasts for period. Controllers that their workers cannot
// reach are assigned no slots.
func NextWindow(cur *bookkeeping.Window, members map[string]*bookkeeping.Member, names []string, load Load, now time.Time, period, publishOffset time.Duration) *bookkeeping.Window {
	var owners, reachable []string
	for _, n := range names {
		if m := members[n]; m != nil {
			owners = append(owners, n)
			if !m.WorkersUnreachable {
				reachable = append(reachable, n)
			}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	if len(reachable) == 0 {
		reachable = owners
	}
	assignment, moved := assign(cur, names, reachable, load)
	w := &bookkeeping.Window{Number: 1, StartMs: now.UnixMilli(), Owners: owners, Assignment: assignment, Moved: moved, BlockOwners: allSupport(members, names, bookkeeping.GenerationBlocks, cur != nil && cur.BlockOwners),
		OwnPositions: allSupport(members, names, bookkeeping.GenerationOwnPositions, cur != nil && cur.OwnPositions)}
	if cur == nil {
		return w
	}
	w.Number = cur.Number + 1
	start := time.UnixMilli(cur.StartMs)
	if !cur.SameOwners(w) || !slices.Equal(cur.Assignment, assignment) {
		w.StartMs = max(now.Add(300*time.Millisecond).UnixMilli(), cur.StartMs)
		return w
	}
	if now.Before(start.Add(publishOffset)) && start.Sub(now) < 2*period {
		return nil
	}
	w.StartMs = max(now.UnixMilli(), start.Add(period).UnixMilli())
	return w
}

// allSupport reports whether jobs may be placed in the way that versions from the given
// generation on place them: all controllers were once live together with support for it, and
// no controller without support has appeared since. A controller that is away may return in
// the version before an upgrade, and would then place what other controllers place, such as
// all of a job whose blocks other controllers place.
func allSupport(members map[string]*bookkeeping.Member, names []string, generation int, supportedBefore bool) bool {
	supporting := 0
	for _, n := range names {
		switch m := members[n]; {
		case m == nil:
		case m.Generation < generation:
			return false
		default:
			supporting++
		}
	}
	return supporting == len(names) || supportedBefore
}

// SlotCount returns the number of slots into which the workers are divided: enough that
// the slots of a lost controller can spread over all others.
func SlotCount(controllers int) int { return max(1, controllers*(controllers-1)) }

// SlotOf returns the slot that a machine belongs to.
func SlotOf(machine string, slots int) int {
	return int(protocol.MachineNumber(machine) % uint64(slots))
}
