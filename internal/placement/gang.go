package placement

import (
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// GangStep is what a gang needs next.
type GangStep int

// The steps of a gang, in the order in which they are looked for.
const (
	// GangRests: nothing is to be done, or it runs.
	GangRests GangStep = iota
	// GangClears: exited attempts are being cleared away.
	GangClears
	// GangGathers: nothing of it is there; all its tasks need room at once.
	GangGathers
	// GangStarts: all its tasks have their room reserved.
	GangStarts
	// GangYields: what is there can't become a whole gang, and has to go.
	GangYields
	// GangCompletes: it has not begun; a replacement with the same attempt
	// number completes it, at a place that is kept for it if there is one.
	GangCompletes
	// GangBroke: it ran and lacks a task; the rest notices by itself.
	GangBroke
)

// GangState is what is on machines of a gang.
type GangState struct {
	Step GangStep
	// Attempt is that of the tasks that are there.
	Attempt uint64
}

// NextOfGang works out what a gang of so many tasks needs next, from what is on
// machines of it ("Gangs" of the users' protocol: all start together or none).
func NextOfGang(there map[int][]*board.Instance, tasks int) GangState {
	live, reserved, begun, present := 0, 0, 0, 0
	var attempt uint64
	same := true
	for _, list := range there {
		for _, i := range list {
			present++
			if i.Exited() {
				continue
			}
			live++
			if attempt != 0 && attempt != i.Attempt {
				same = false
			}
			attempt = i.Attempt
			switch i.State {
			case board.TaskReserved:
				reserved++
			case protocol.TaskRunning, protocol.TaskFlushing:
				begun++
			}
		}
	}
	step := GangRests
	switch {
	case live == 0 && present > 0:
		step = GangClears
	case live == 0:
		step = GangGathers
	case reserved == tasks && same:
		step = GangStarts
	case reserved == live || !same:
		step = GangYields
	case (live < tasks || reserved > 0) && begun == 0 && present == live:
		step = GangCompletes
	case live < tasks && begun > 0:
		step = GangBroke
	}
	return GangState{step, attempt}
}

// GangAssembles tells whether every task of a gang that has not begun has its place, or is
// about to (asked), though some waited in vain for those that are late: what has a place had
// better keep it. A gang that lacks one gives up its others.
func GangAssembles(there map[int][]*board.Instance, tasks int, asked func(index int) bool) bool {
	for index := range tasks {
		if len(there[index]) == 0 && !asked(index) {
			return false
		}
		for _, i := range there[index] {
			if i.Begun() || i.Exited() && i.Cause != protocol.CauseIncomplete {
				return false
			}
		}
	}
	return true
}

// PickGang finds a machine for every task of a gang, nil if there are not
// enough, and how long it takes until the last of them has its image. otherwise
// is asked where no machine has room, if it is not nil.
func (p *Placing) PickGang(tasks int, otherwise func() (Choice, bool)) (picks []Choice, fetch time.Duration) {
	// What is picked is promised for as long as the others are looked for.
	defer func() {
		for _, c := range picks {
			c.Machine.Promised = c.Machine.Promised.Sub(p.Spec.Need())
		}
		if len(picks) < tasks {
			picks = nil
		}
	}()
	for range tasks {
		c, ok := p.BestFit()
		if !ok && otherwise != nil {
			c, ok = otherwise()
		}
		if !ok {
			break
		}
		p.Zones[c.Machine.Zone]++
		c.Machine.Promised = c.Machine.Promised.Add(p.Spec.Need())
		picks, fetch = append(picks, c), max(fetch, p.Fetch(c.Machine))
	}
	return picks, fetch
}
