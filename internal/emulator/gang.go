package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// gang holds the tasks that joined under one attempt number. After a gang failed, tasks that start under the
// same number form a new gang: the protocol does not say that a number is used only once, and an owner that
// missed the gang's start replaces lost tasks under the old number.
type gang struct {
	job          *job
	attempt      uint64
	members      map[int]*task
	running      bool
	dissolved    bool // later losses have no effect, and no task joins
	runningSince time.Time
	baseProgress time.Duration
	speed        float64
	end          *timer
	// stopping are the tasks that were told to save and stop, saved those that have saved; stopProgress is
	// the progress at the first such command.
	stopping, saved map[*task]bool
	stopProgress    time.Duration
}

// join makes a task that has its image wait for the other tasks of its attempt.
func (k *job) join(t *task) {
	g := k.gangs[t.Attempt]
	if g == nil { // remaining tasks of a failed gang are not joined
		g = &gang{job: k, attempt: t.Attempt, members: map[int]*task{}, stopping: map[*task]bool{}, saved: map[*task]bool{}}
		k.gangs[t.Attempt] = g
	}
	t.gang = g
	g.members[t.index] = t
	if len(g.members) < k.spec.Tasks {
		t.timer = k.w.loop.after(k.w.setup.GangWait, func() { t.exit(causeIncomplete) })
		return
	}
	g.start()
}

func (g *gang) sorted() []*task {
	return slices.SortedFunc(maps.Values(g.members), func(a, b *task) int { return cmp.Compare(a.index, b.index) })
}

// start starts all tasks together; the slowest machine sets the speed.
func (g *gang) start() {
	g.running, g.baseProgress, g.runningSince, g.speed = true, g.job.saved, time.Now(), 1
	for _, t := range g.sorted() {
		t.timer.stop()
		t.State = protocol.TaskRunning
		g.speed = min(g.speed, t.m.speed)
		t.m.triggerReport()
	}
	for _, t := range g.sorted() {
		if t.m.frozen {
			g.memberLost(t, false)
			return
		}
	}
	left := time.Duration(float64(g.job.run(0)-g.baseProgress) / g.speed)
	g.end = g.job.w.loop.after(left, func() {
		g.dissolve()
		for _, t := range g.sorted() {
			t.gang = nil
			t.exit(protocol.CauseDone)
		}
	})
}

// dissolve ends the gang: later losses have no effect, and no task joins it.
func (g *gang) dissolve() {
	g.dissolved = true
	if g.job.gangs[g.attempt] == g {
		delete(g.job.gangs, g.attempt)
	}
}

// progress returns the current progress of a running gang.
func (g *gang) progress() time.Duration {
	return g.baseProgress + time.Duration(float64(time.Since(g.runningSince))*g.speed)
}

// memberLost records that a task has left or that its machine is frozen. The other members fail after
// GangPeer, and progress since the last checkpoint is memberLost.
func (g *gang) memberLost(t *task, gone bool) {
	if gone && g.members[t.index] == t {
		delete(g.members, t.index)
	}
	if !g.running || g.dissolved {
		return
	}
	g.dissolve()
	g.end.stop()
	reached := g.stopProgress
	if len(g.stopping) == 0 {
		reached = g.progress()
	}
	g.job.saved = max(g.job.saved, g.job.checkpoint(reached))
	g.job.w.loop.after(g.job.w.setup.GangPeer, func() { g.endMembers(causePeers) })
}

// endMembers ends all remaining tasks. Tasks on frozen machines end after these resume.
func (g *gang) endMembers(cause string) {
	again := false
	for _, t := range g.sorted() {
		if t.m.frozen {
			again = true
			continue
		}
		t.gang = nil
		delete(g.members, t.index)
		if g.stopping[t] {
			t.exit(causeHalted)
		} else {
			t.exit(cause)
		}
	}
	if again {
		// Schedule one retry for all frozen machines. One retry per machine doubled the work every second,
		// and a run with four machines that were frozen for 46 s exhausted the memory (incident
		// emulator-gang-memory).
		g.job.w.loop.after(time.Second, func() { g.endMembers(cause) })
	}
}

// stopMember stops one task of a running gang: in an orderly stop with all others, or alone, which fails the
// gang.
func (g *gang) stopMember(t *task, saves bool, grace *float64) {
	switch {
	case g.dissolved || !saves:
		if t.State == protocol.TaskFlushing && grace != nil && *grace > 0 {
			return
		}
		t.exit(causeHalted)
	case !g.stopping[t]:
		if len(g.stopping) == 0 {
			g.stopProgress = g.progress()
			g.end.stop()
			g.job.w.loop.after(g.job.w.setup.GangPeer, g.failStop)
		}
		g.stopping[t] = true
		t.State = protocol.TaskFlushing
		t.timer = g.job.w.loop.after(protocol.Seconds(g.job.spec.SaveS), func() {
			g.saved[t] = true
			g.finishStop()
		})
	}
}

// failStop fails an orderly stop if not all members were told to stop in time.
func (g *gang) failStop() {
	if g.dissolved || len(g.stopping) == g.job.spec.Tasks {
		return
	}
	g.dissolve()
	g.job.saved = max(g.job.saved, g.job.checkpoint(g.stopProgress))
	g.endMembers(causePeers)
}

// finishStop completes an orderly stop once all members have saved.
func (g *gang) finishStop() {
	if g.dissolved || len(g.saved) < g.job.spec.Tasks {
		return
	}
	g.dissolve()
	g.job.saved = g.stopProgress
	for _, t := range g.sorted() {
		t.gang = nil
		t.Saved = true
		t.exit(causeHalted)
	}
}
