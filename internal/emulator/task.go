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
type job struct {
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

func (k *job) progress(index int) *progress {
	p := k.tasks[index]
	if p == nil {
		p = &progress{}
		k.tasks[index] = p
	}
	return p
}

// checkpoint returns the last checkpoint at or before a given progress.
func (k *job) checkpoint(made time.Duration) time.Duration {
	every := protocol.Seconds(k.spec.CheckpointS)
	if every <= 0 {
		return 0
	}
	return made / every * every
}

// task is a task on a machine.
type task struct {
	protocol.TaskReport
	m            *machine
	job          *job
	index        int
	gang         *gang // of a gang's task, once the task has its image
	started      bool  // the task counts as on the machine for the rules
	allocated    bool  // the task occupies capacity
	runningSince time.Time
	baseProgress time.Duration // progress at runningSince
	timer        *timer
}

// startTask carries out a startTask command, or refuses it; t is another attempt of the task on this machine, if
// any, and sent is when the command was sent.
func (m *machine) startTask(c protocol.Command, t *task, sent time.Duration) {
	if t != nil && t.State != protocol.TaskExited {
		m.w.record(history.Event{Kind: history.StartReceived, Task: c.Task, Machine: m.id, Attempt: c.Attempt, Sent: sent, Cause: causeInUse})
		return // later reports still describe the present attempt
	}
	id, index, _ := protocol.SplitTask(c.Task)
	k := m.w.jobs[id]
	t = &task{TaskReport: protocol.TaskReport{Task: c.Task, Attempt: c.Attempt, State: protocol.TaskPulling}, m: m, job: k, index: index}
	m.tasks[c.Task] = t
	if k == nil || index >= k.spec.Tasks {
		t.State, t.Cause = protocol.TaskExited, causeUnknown
		return
	}
	m.w.record(history.Event{Kind: history.StartReceived, Task: c.Task, Machine: m.id, Attempt: c.Attempt, Sent: sent})
	if !m.free.Fits(k.spec.Need()) {
		t.State, t.Cause = protocol.TaskExited, causeNoRoom
		t.recordEnd()
		return
	}
	m.free = m.free.Sub(k.spec.Need())
	m.w.usedRoom = m.w.usedRoom.Add(k.spec.Need())
	t.allocated = true
	if m.hasImage(k.spec.Image) {
		t.begin()
		return
	}
	for _, f := range m.fetches {
		if f.name == k.spec.Image {
			return
		}
	}
	m.advanceFetches() // update the other fetches at their old rate first
	m.fetches = append(m.fetches, &fetch{image{k.spec.Image, k.spec.ImageGB}, k.spec.ImageGB})
	m.advanceFetches()
}

// begin starts a task that has its image.
func (t *task) begin() {
	t.started = true
	t.m.w.running++
	t.m.w.record(history.Event{Kind: history.TaskStarted, Task: t.Task, Machine: t.m.id, Attempt: t.Attempt, Type: t.m.kind.Type, Zone: t.m.kind.Zone, Spot: t.m.kind.Spot})
	switch p := t.job.progress(t.index); {
	case t.m.faulty || t.job.mistake:
		t.State = protocol.TaskRunning
		t.exit(protocol.CauseError)
	case p.done:
		t.State = protocol.TaskRunning
		t.exit(protocol.CauseDone)
	case t.job.spec.Shape == protocol.Gang:
		t.State = protocol.TaskWaiting
		t.job.join(t)
	default:
		t.State, t.baseProgress = protocol.TaskRunning, p.saved
		t.resume()
	}
}

// resume continues a task from its baseProgress. The tasks of a gang are started by the gang instead.
func (t *task) resume() {
	if t.gang != nil || t.State != protocol.TaskRunning || t.m.frozen {
		return
	}
	t.runningSince = time.Now()
	if whole := t.job.run(t.index); whole > 0 {
		left := time.Duration(float64(whole-t.baseProgress) / t.m.speed)
		t.timer = t.m.w.loop.after(left, func() { t.exit(protocol.CauseDone) })
	}
}

// pause stops a task's progress; the gang of a gang's task fails.
func (t *task) pause() {
	if t.gang != nil {
		t.gang.memberLost(t, false)
		return
	}
	if t.State == protocol.TaskRunning && !t.runningSince.IsZero() {
		t.baseProgress, t.runningSince = t.currentProgress(), time.Time{}
	}
	t.timer.stop()
}

// currentProgress returns a task's progress.
func (t *task) currentProgress() time.Duration {
	if t.runningSince.IsZero() {
		return t.baseProgress
	}
	return t.baseProgress + time.Duration(float64(time.Since(t.runningSince))*t.m.speed)
}

// stop ends a task, and saves first if the grace period suffices.
func (t *task) stop(grace *float64) {
	saves := t.job != nil && t.job.spec.Checkpoints() && grace != nil && *grace >= t.job.spec.SaveS
	switch {
	case t.State == protocol.TaskExited:
	case t.gang != nil && t.State != protocol.TaskWaiting:
		t.gang.stopMember(t, saves, grace)
	case t.State == protocol.TaskRunning && saves:
		t.baseProgress, t.runningSince = t.currentProgress(), time.Time{}
		t.timer.stop()
		t.State = protocol.TaskFlushing
		t.timer = t.m.w.loop.after(protocol.Seconds(t.job.spec.SaveS), func() {
			t.job.progress(t.index).saved = t.baseProgress
			t.Saved = true
			t.exit(causeHalted)
		})
	case t.State == protocol.TaskFlushing && (grace == nil || *grace > 0):
	default:
		t.exit(causeHalted)
	}
}

func (t *task) recordEnd() {
	t.m.w.record(history.Event{Kind: history.AttemptEnded, Task: t.Task, Machine: t.m.id, Attempt: t.Attempt, Cause: t.Cause})
}

// exit ends a task on its machine with a cause. If the task is in a gang, the gang loses a member.
func (t *task) exit(cause string) {
	if t.State == protocol.TaskExited {
		return
	}
	t.timer.stop()
	fetched := t.State == protocol.TaskPulling
	if k := t.job; t.gang == nil && t.State == protocol.TaskRunning && cause != protocol.CauseDone && k.spec.Checkpoints() {
		p := k.progress(t.index)
		p.saved = max(p.saved, k.checkpoint(t.currentProgress()))
	}
	t.State, t.Cause = protocol.TaskExited, cause
	if cause == protocol.CauseDone {
		t.job.progress(t.index).done = true
	}
	if t.allocated {
		t.allocated = false
		t.m.free = t.m.free.Add(t.job.spec.Need())
		t.m.w.usedRoom = t.m.w.usedRoom.Sub(t.job.spec.Need())
	}
	if t.started {
		t.started = false
		t.m.w.running--
		t.m.w.record(history.Event{Kind: history.TaskStopped, Task: t.Task, Machine: t.m.id, Cause: cause})
	}
	t.recordEnd()
	if g := t.gang; g != nil {
		t.gang = nil
		g.memberLost(t, true)
	}
	if fetched {
		t.m.advanceFetches()
	}
	t.m.triggerReport()
}
