// Package ring works out who has which share of the ring of job ids and of the
// workers: the leader's decision, in numbered windows published in advance
// ("Publish token ring partitions" of the source, docs/design.md).
package ring

import (
	"slices"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
)

// NextWindow works out the window to publish, nil if it is not time yet: offset
// into the present one, or at once when controllers came or went. names are all
// controllers in a fixed order, members those whose sessions live; a window stands
// for every. Controllers that their workers can't reach get none assigned.
func NextWindow(cur *bookkeeping.Window, members map[string]*bookkeeping.Member, names []string, load Load, now time.Time, every, offset time.Duration) *bookkeeping.Window {
	var owners, hearing []string
	for _, n := range names {
		if m := members[n]; m != nil {
			owners = append(owners, n)
			if !m.WorkersUnreachable {
				hearing = append(hearing, n)
			}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	if len(hearing) == 0 {
		hearing = owners
	}
	assigned, moved := assign(cur, names, hearing, load)
	w := &bookkeeping.Window{Number: 1, StartMs: now.UnixMilli(), Owners: owners, Assignment: assigned, Moved: moved, BlockOwners: agreed(members, names, bookkeeping.GenerationBlocks, cur != nil && cur.BlockOwners),
		OwnPositions: agreed(members, names, bookkeeping.GenerationOwnPositions, cur != nil && cur.OwnPositions)}
	if cur == nil {
		return w
	}
	w.Number = cur.Number + 1
	start := time.UnixMilli(cur.StartMs)
	if !cur.SameOwners(w) || !slices.Equal(cur.Assignment, assigned) {
		w.StartMs = max(now.Add(300*time.Millisecond).UnixMilli(), cur.StartMs)
		return w
	}
	if now.Before(start.Add(offset)) && start.Sub(now) < 2*every {
		return nil
	}
	w.StartMs = max(now.UnixMilli(), start.Add(every).UnixMilli())
	return w
}

// agreed tells whether jobs may be placed as versions from a generation on do: every
// controller was seen at once to know of it, and none came back since that doesn't. One that
// is away may come back as it was before an upgrade, and would place what others do, such as
// all of a job that others place blocks of.
func agreed(members map[string]*bookkeeping.Member, names []string, generation int, before bool) bool {
	known := 0
	for _, n := range names {
		switch m := members[n]; {
		case m == nil:
		case m.Generation < generation:
			return false
		default:
			known++
		}
	}
	return known == len(names) || before
}

// SlotCount is into how many shares the workers are assigned: enough that those
// of one lost controller spread over all others.
func SlotCount(controllers int) int { return max(1, controllers*(controllers-1)) }

// SlotOf deals a machine to one of the slots.
func SlotOf(machine string, slots int) int {
	return int(protocol.MachineNumber(machine) % uint64(slots))
}
