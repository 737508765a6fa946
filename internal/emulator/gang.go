package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// gang is tasks that found each other by their attempt's number. After it failed, tasks
// that are started under the same number find each other again: the protocol does not
// say that a number serves once, and an owner that missed the gang's beginning replaces
// what is gone under the number it had.
type gang struct {
	work    *work
	attempt uint64
	members map[int]*task
	running bool
	broken  bool // a task is gone: the others are about to notice
	since   time.Time
	base    time.Duration
	speed   float64
	end     *timer
	// halted are the tasks that were told to save, saved those that have; made is the
	// progress at the first halt.
	halted, saved map[*task]bool
	made          time.Duration
}

// join has a task that has its image wait for the others of its attempt.
func (k *work) join(t *task) {
	g := k.gangs[t.Attempt]
	if g == nil { // tasks that are left of one that failed are not joined
		g = &gang{work: k, attempt: t.Attempt, members: map[int]*task{}, halted: map[*task]bool{}, saved: map[*task]bool{}}
		k.gangs[t.Attempt] = g
	}
	t.gang = g
	g.members[t.index] = t
	if len(g.members) < k.spec.Tasks {
		t.timer = k.w.loop.after(k.w.setup.GangWait, func() { t.leave(causeIncomplete) })
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

// over ends the gang as such: nothing more is lost with its tasks, and none join it.
func (g *gang) over() {
	g.broken = true
	if g.work.gangs[g.attempt] == g {
		delete(g.work.gangs, g.attempt)
	}
}

// progress is what a gang that runs has reached.
func (g *gang) progress() time.Duration {
	return g.base + time.Duration(float64(time.Since(g.since))*g.speed)
}

// lost notes that a task is gone, or that its machine hangs: the others notice within
// the time they have for it, and what was not saved is lost.
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
	g.work.w.loop.after(g.work.w.setup.GangPeer, func() { g.disband(causePeers) })
}

// disband ends all tasks that are left, but those on machines that hang: these end when
// they resume.
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
		// Once, whatever the number of them: once for each doubled what was to be done every
		// second, and a run with four machines that hang for 46 s used up all memory
		// (incident emulator-gang-memory).
		g.work.w.loop.after(time.Second, func() { g.disband(cause) })
	}
}

// halt has one task of a gang that runs stop: in order with all others, or for itself,
// which the others notice.
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
			g.work.w.loop.after(g.work.w.setup.GangPeer, g.incomplete)
		}
		g.halted[t] = true
		t.State = protocol.TaskFlushing
		t.timer = g.work.w.loop.after(protocol.Seconds(g.work.spec.SaveS), func() {
			g.saved[t] = true
			g.finish()
		})
	}
}

// incomplete fails an orderly stop of which not all were told in time.
func (g *gang) incomplete() {
	if g.broken || len(g.halted) == g.work.spec.Tasks {
		return
	}
	g.over()
	g.work.saved = max(g.work.saved, g.work.checkpoint(g.made))
	g.disband(causePeers)
}

// finish ends an orderly stop once all have saved.
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
