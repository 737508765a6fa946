package placement

import (
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// GangStep is what a gang needs next.
type GangStep int

// The steps of a gang, in the order in which NextGangStep checks for them.
const (
	// GangNoAction: no step is needed now, for example because the gang runs or fetches its image.
	GangNoAction GangStep = iota
	// GangClearExited: only exited attempts are left, and their machines are being told to forget them.
	GangClearExited
	// GangReserveAll: no task has an instance; all tasks need room at once.
	GangReserveAll
	// GangStart: all tasks have their room reserved.
	GangStart
	// GangReleaseAll: the present instances cannot become a whole gang and must be removed.
	GangReleaseAll
	// GangReplaceMissing: the gang has not started to run, and some tasks are missing or only reserved;
	// replacements with the same attempt number complete it, on the machines reserved for them if any.
	GangReplaceMissing
	// GangBroken: the gang ran and has lost a task; its remaining tasks notice by themselves.
	GangBroken
)

// GangState is a gang's next step, worked out from its instances on machines.
type GangState struct {
	Step GangStep
	// Attempt is the attempt number of the live instances.
	Attempt uint64
}

// NextGangStep determines what a gang of the given number of tasks needs next from its instances on
// machines, by task index ("Gangs" of the users' protocol: all start together or none).
func NextGangStep(instances map[int][]*board.Instance, tasks int) GangState {
	live, reserved, started, present := 0, 0, 0, 0
	var attempt uint64
	sameAttempt := true
	for _, list := range instances {
		for _, i := range list {
			present++
			if i.Exited() {
				continue
			}
			live++
			if attempt != 0 && attempt != i.Attempt {
				sameAttempt = false
			}
			attempt = i.Attempt
			switch i.State {
			case board.TaskReserved:
				reserved++
			case protocol.TaskRunning, protocol.TaskFlushing:
				started++
			}
		}
	}
	step := GangNoAction
	switch {
	case live == 0 && present > 0:
		step = GangClearExited
	case live == 0:
		step = GangReserveAll
	case reserved == tasks && sameAttempt:
		step = GangStart
	case reserved == live || !sameAttempt:
		step = GangReleaseAll
	case (live < tasks || reserved > 0) && started == 0 && present == live:
		step = GangReplaceMissing
	case live < tasks && started > 0:
		step = GangBroken
	}
	return GangState{step, attempt}
}

// GangCanAssemble reports whether every task of a gang that has not started has a place, or one was just
// requested for it. Some of its tasks may have stopped waiting for those that started late; they restart in
// their places. If any task has no place, the gang gives up all places.
func GangCanAssemble(instances map[int][]*board.Instance, tasks int, requested func(index int) bool) bool {
	for index := range tasks {
		if len(instances[index]) == 0 && !requested(index) {
			return false
		}
		for _, i := range instances[index] {
			if i.Begun() || i.Exited() && i.Cause != protocol.CauseIncomplete {
				return false
			}
		}
	}
	return true
}

// PickGang selects a machine for every task of a gang, nil if there are not enough, and returns how long it
// takes until the last of them has its image. fallback, if not nil, is called when no machine has room.
func (p *Placer) PickGang(tasks int, fallback func() (Choice, bool)) (choices []Choice, fetch time.Duration) {
	// While further machines are selected, the room taken on those selected so far counts as requested.
	defer func() {
		for _, c := range choices {
			c.Machine.Unrequest(p.Spec.Need())
		}
		if len(choices) < tasks {
			choices = nil
		}
	}()
	for range tasks {
		c, ok := p.BestFit()
		if !ok && fallback != nil {
			c, ok = fallback()
		}
		if !ok {
			break
		}
		p.TasksByZone[c.Machine.Zone]++
		c.Machine.Request(p.Spec.Need())
		choices, fetch = append(choices, c), max(fetch, p.FetchTime(c.Machine))
	}
	return choices, fetch
}
