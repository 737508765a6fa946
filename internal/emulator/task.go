package emulator

import (
	"time"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Exit causes that only the emulator produces.
const (
	causeHalted     = "halted"
	causePeers      = "peers"
	causeIncomplete = "incomplete"
	causeNoRoom     = "no_room"
	causeInUse      = "in_use"
	causeUnknown    = "unknown"
)

// job is a job as the workers know it: its description and the progress that is saved outside the machines.
type work struct {
	w       *World
	spec    *protocol.JobSpec
	run     func(task int) time.Duration // on a machine of nominal speed; 0: without end
	mistake bool
	tasks   map[int]*progress
	gangs   map[uint64]*gang // by attempt
	saved   time.Duration    // of a gang
}

// progress is the saved progress of a task.
type progress struct {
	saved time.Duration
	done  bool
}

func (k *work) progress(index int) *progress {
	p := k.tasks[index]
	if p == nil {
		p = &progress{}
		k.tasks[index] = p
	}
	return p
}

// checkpoint returns the last checkpoint at or before a given progress.
func (k *work) checkpoint(made time.Duration) time.Duration {
	every := protocol.Seconds(k.spec.CheckpointS)
	if every <= 0 {
		return 0
	}
	return made / every * every
}

// task is a task on a machine.
type task struct {
	protocol.TaskReport
	m     *machine
	work  *work
	index int
	gang  *gang // of a gang's task, once the task has its image
	on    bool  // the task counts as on the machine for the rules
	holds bool  // the task occupies capacity
	since time.Time
	base  time.Duration // progress at runningSince
	timer *timer
}

// startTask carries out a start command, or refuses it; t is another attempt of the task on this machine, if
// any, and sent is when the command was sent.
func (m *machine) start(c protocol.Command, t *task, sent time.Duration) {
	if t != nil && t.State != protocol.TaskExited {
		m.w.note(history.Event{Kind: history.StartReceived, Task: c.Task, Machine: m.id, Attempt: c.Attempt, Sent: sent, Cause: causeInUse})
		return // later reports still describe the present attempt
	}
	id, index, _ := protocol.SplitTask(c.Task)
	k := m.w.works[id]
	t = &task{TaskReport: protocol.TaskReport{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskPulling}, m: m, work: k, index: index}
	m.tasks[c.Task] = t
	if k == nil || index >= k.spec.Tasks {
		t.State, t.Cause = protocol.TaskExited, causeUnknown
		return
	}
	m.w.note(history.Event{Kind: history.StartReceived, Task: c.Task, Machine: m.id, Attempt: c.Attempt, Sent: sent})
	if !m.free.Fits(k.spec.Need()) {
		t.State, t.Cause = protocol.TaskExited, causeNoRoom
		t.noteLeft()
		return
	}
	m.free = m.free.Sub(k.spec.Need())
	m.w.used = m.w.used.Add(k.spec.Need())
	t.holds = true
	if m.has(k.spec.Image) {
		t.begin()
		return
	}
	for _, f := range m.fetches {
		if f.name == k.spec.Image {
			return
		}
	}
	m.fetchOn() // update the other fetches at their old rate first
	m.fetches = append(m.fetches, &fetch{image{k.spec.Image, k.spec.ImageGB}, k.spec.ImageGB})
	m.fetchOn()
}

// begin starts a task that has its image.
func (t *task) begin() {
	t.on = true
	t.m.w.running++
	t.m.w.note(history.Event{Kind: history.TaskStarted, Task: t.Task, Machine: t.m.id, Attempt: t.Attempt, Type: t.m.kind.Type, Zone: t.m.kind.Zone, Spot: t.m.kind.Spot})
	switch p := t.work.progress(t.index); {
	case t.m.faulty || t.work.mistake:
		t.State = protocol.TaskRunning
		t.leave(protocol.CauseError)
	case p.done:
		t.State = protocol.TaskRunning
		t.leave(protocol.CauseDone)
	case t.work.spec.Shape == protocol.Gang:
		t.State = protocol.TaskWaiting
		t.work.join(t)
	default:
		t.State, t.base = protocol.TaskRunning, p.saved
		t.goOn()
	}
}

// resume continues a task from its baseProgress. The tasks of a gang are started by the gang instead.
func (t *task) goOn() {
	if t.gang != nil || t.State != protocol.TaskRunning || t.m.hung {
		return
	}
	t.since = time.Now()
	if whole := t.work.run(t.index); whole > 0 {
		left := time.Duration(float64(whole-t.base) / t.m.speed)
		t.timer = t.m.w.loop.after(left, func() { t.leave(protocol.CauseDone) })
	}
}

// pause stops a task's progress; the gang of a gang's task fails.
func (t *task) pause() {
	if t.gang != nil {
		t.gang.lost(t, false)
		return
	}
	if t.State == protocol.TaskRunning && !t.since.IsZero() {
		t.base, t.since = t.made(), time.Time{}
	}
	t.timer.stop()
}

// currentProgress returns a task's progress.
func (t *task) made() time.Duration {
	if t.since.IsZero() {
		return t.base
	}
	return t.base + time.Duration(float64(time.Since(t.since))*t.m.speed)
}

// stop ends a task, and saves first if the grace period suffices.
func (t *task) halt(grace *float64) {
	saves := t.work != nil && t.work.spec.Checkpoints() && grace != nil && *grace >= t.work.spec.SaveS
	switch {
	case t.State == protocol.TaskExited:
	case t.gang != nil && t.State != protocol.TaskWaiting:
		t.gang.halt(t, saves, grace)
	case t.State == protocol.TaskRunning && saves:
		t.base, t.since = t.made(), time.Time{}
		t.timer.stop()
		t.State = protocol.TaskFlushing
		t.timer = t.m.w.loop.after(protocol.Seconds(t.work.spec.SaveS), func() {
			t.work.progress(t.index).saved = t.base
			t.Saved = true
			t.leave(causeHalted)
		})
	case t.State == protocol.TaskFlushing && (grace == nil || *grace > 0):
	default:
		t.leave(causeHalted)
	}
}

func (t *task) noteLeft() {
	t.m.w.note(history.Event{Kind: history.AttemptEnded, Task: t.Task, Machine: t.m.id, Attempt: t.Attempt, Cause: t.Cause})
}

// exit ends a task on its machine with a cause. If the task is in a gang, the gang loses a member.
func (t *task) leave(cause string) {
	if t.State == protocol.TaskExited {
		return
	}
	t.timer.stop()
	fetched := t.State == protocol.TaskPulling
	if k := t.work; t.gang == nil && t.State == protocol.TaskRunning && cause != protocol.CauseDone && k.spec.Checkpoints() {
		p := k.progress(t.index)
		p.saved = max(p.saved, k.checkpoint(t.made()))
	}
	t.State, t.Cause = protocol.TaskExited, cause
	if cause == protocol.CauseDone {
		t.work.progress(t.index).done = true
	}
	if t.holds {
		t.holds = false
		t.m.free = t.m.free.Add(t.work.spec.Need())
		t.m.w.used = t.m.w.used.Sub(t.work.spec.Need())
	}
	if t.on {
		t.on = false
		t.m.w.running--
		t.m.w.note(history.Event{Kind: history.TaskStopped, Task: t.Task, Machine: t.m.id, Cause: cause})
	}
	t.noteLeft()
	if g := t.gang; g != nil {
		t.gang = nil
		g.lost(t, true)
	}
	if fetched {
		t.m.fetchOn()
	}
	t.m.say()
}
