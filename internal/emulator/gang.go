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
	work    *work
	attempt uint64
	members map[int]*task
	running bool
	broken  bool // a member is lost; the others fail after GangPeer
	since   time.Time
	base    time.Duration
	speed   float64
	end     *timer
	// stopping are the tasks that were told to save and stop, saved those that have saved; stopProgress is
	// the progress at the first such command.
	halted, saved map[*task]bool
	made          time.Duration
}

// join makes a task that has its image wait for the other tasks of its attempt.
func (k *work) join(t *task) {
	g := k.gangs[t.Attempt]
	if g == nil { // remaining tasks of a failed gang are not joined
		g = &gang{work: k, attempt: t.Attempt, members: map[int]*task{}, halted: map[*task]bool{}, saved: map[*task]bool{}}
		k.gangs[t.Attempt] = g
	}
	t.gang = g
	g.members[t.index] = t
	if len(g.members) < k.spec.Tasks {
		t.timer = k.w.loop.after(k.w.set.GangWait, func() { t.leave(causeIncomplete) })
		return
	}
	g.start()
}

func (g *gang) sorted() []*task {
	return slices.SortedFunc(maps.Values(g.members), func(a, b *task) int { return cmp.Compare(a.index, b.index) })
}

// start starts all tasks together; the slowest machine sets the speed.
func (g *gang) start() {
	g.running, g.base, g.since, g.speed = true, g.work.saved, time.Now(), 1
	for _, t := range g.sorted() {
		t.timer.stop()
		t.State = protocol.TaskRunning
		g.speed = min(g.speed, t.m.speed)
		t.m.say()
	}
	for _, t := range g.sorted() {
		if t.m.hung {
			g.lost(t, false)
			return
		}
	}
	left := time.Duration(float64(g.work.run(0)-g.base) / g.speed)
	g.end = g.work.w.loop.after(left, func() {
		g.over()
		for _, t := range g.sorted() {
			t.gang = nil
			t.leave(protocol.CauseDone)
		}
	})
}

// dissolve ends the gang: later losses have no effect, and no task joins it.
func (g *gang) over() {
	g.broken = true
	if g.work.gangs[g.attempt] == g {
		delete(g.work.gangs, g.attempt)
	}
}

// progress returns the current progress of a running gang.
func (g *gang) progress() time.Duration {
	return g.base + time.Duration(float64(time.Since(g.since))*g.speed)
}

// memberLost records that a task has left or that its machine is frozen. The other members fail after
// GangPeer, and progress since the last checkpoint is lost.
func (g *gang) lost(t *task, gone bool) {
	if gone && g.members[t.index] == t {
		delete(g.members, t.index)
	}
	if !g.running || g.broken {
		return
	}
	g.over()
	g.end.stop()
	reached := g.made
	if len(g.halted) == 0 {
		reached = g.progress()
	}
	g.work.saved = max(g.work.saved, g.work.checkpoint(reached))
	g.work.w.loop.after(g.work.w.set.GangPeer, func() { g.disband(causePeers) })
}

// endMembers ends all remaining tasks. Tasks on frozen machines end after these resume.
func (g *gang) disband(cause string) {
	again := false
	for _, t := range g.sorted() {
		if t.m.hung {
			again = true
			continue
		}
		t.gang = nil
		delete(g.members, t.index)
		if g.halted[t] {
			t.leave(causeHalted)
		} else {
			t.leave(cause)
		}
	}
	if again {
		// Schedule one retry for all frozen machines. One retry per machine doubled the work every second,
		// and a run with four machines that were frozen for 46 s exhausted the memory (incident
		// emulator-gang-memory).
		g.work.w.loop.after(time.Second, func() { g.disband(cause) })
	}
}

// stopMember stops one task of a running gang: in an orderly stop with all others, or alone, which fails the
// gang.
func (g *gang) halt(t *task, saves bool, grace *float64) {
	switch {
	case g.broken || !saves:
		if t.State == protocol.TaskFlushing && grace != nil && *grace > 0 {
			return
		}
		t.leave(causeHalted)
	case !g.halted[t]:
		if len(g.halted) == 0 {
			g.made = g.progress()
			g.end.stop()
			g.work.w.loop.after(g.work.w.set.GangPeer, g.incomplete)
		}
		g.halted[t] = true
		t.State = protocol.TaskFlushing
		t.timer = g.work.w.loop.after(protocol.Seconds(g.work.spec.SaveS), func() {
			g.saved[t] = true
			g.finish()
		})
	}
}

// failStop fails an orderly stop if not all members were told to stop in time.
func (g *gang) incomplete() {
	if g.broken || len(g.halted) == g.work.spec.Tasks {
		return
	}
	g.over()
	g.work.saved = max(g.work.saved, g.work.checkpoint(g.made))
	g.disband(causePeers)
}

// finishStop completes an orderly stop once all members have saved.
func (g *gang) finish() {
	if g.broken || len(g.saved) < g.work.spec.Tasks {
		return
	}
	g.over()
	g.work.saved = g.made
	for _, t := range g.sorted() {
		t.gang = nil
		t.Saved = true
		t.leave(causeHalted)
	}
}
