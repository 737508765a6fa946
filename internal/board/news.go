package board

import "daledyke/internal/protocol"

// The types in which holders report their machines. They travel between controllers by net/rpc: fields may be
// added, none may change its name or meaning.

// TaskView is a task as its machine's holder knows it.
type TaskView struct {
	Task    string
	Attempt uint64
	// State is the state that the worker reports, or one of the holder's own states below for a start
	// that the worker has not confirmed yet.
	State string
	Cause string
	Saved bool
}

// The holder's own states of a task that is to be started.
const (
	TaskReserved = "reserved" // room is reserved, nothing is started
	TaskQueued   = "queued"   // will be started once there is room for it
	TaskStarting = "starting" // the start is in transit
)

// CauseLost is a board's or an older holder's own cause of an exit: the task is gone from its machine, but a direct
// command to start it there may still be in transit, so the task must not be started elsewhere yet.
const CauseLost = "lost"

// Unconfirmed reports whether a state is one of the holder's own, of a start that the worker has not confirmed.
func Unconfirmed(state string) bool {
	return state == TaskReserved || state == TaskQueued || state == TaskStarting
}

// Exited reports whether the task ended, in whatever way, and its worker still remembers it.
func (t *TaskView) Exited() bool { return t.State == protocol.TaskExited }

// Lost reports whether the task is gone from its machine although a command to start it there may still be in
// transit.
func (t *TaskView) Lost() bool { return t.Exited() && t.Cause == CauseLost }

// MayBePresent reports whether the task is on its machine or may still come to be there.
func (t *TaskView) MayBePresent() bool { return !t.Exited() || t.Lost() }

// Running reports whether the task is seen to run.
func (t *TaskView) Running() bool { return t.State == protocol.TaskRunning }

// Begun reports whether the task runs, or ran until it was told to stop.
func (t *TaskView) Begun() bool { return t.Running() || t.State == protocol.TaskFlushing }

// MachineView is a machine as its holder summarises it.
type MachineView struct {
	ID, Type, Zone string
	Spot           bool
	Slot           int
	// Term is the slot's term under which the view was made.
	Term uint64
	Free protocol.Room
	// Usable: tasks may be started here.
	Usable bool
	// Silent: no report for longer than a healthy worker goes without one.
	Silent bool
	// Suspect: the machine fails the tasks that it is given. Failed are the jobs that failed here since a
	// task last succeeded; Sound tells that this success was recent.
	Suspect bool
	Failed  []string
	Sound   bool
	// Leaving: the cloud gave notice that it will reclaim the machine.
	Leaving bool
	// Vacates: the tasks here are to be moved elsewhere. Versions without this field ignore it, and place
	// nothing here since the machine is not usable.
	Vacates bool
	// Drained is the number of the drain request since which the machine has been draining without
	// interruption, if no task can be on the machine; otherwise 0.
	Drained uint64
	// Images are cached, or being fetched if Pulling names them.
	Images  []string
	Pulling []string
	Tasks   []TaskView
}

// SlotView tells whether a holder knows all tasks that may be on a slot's machines.
type SlotView struct {
	Slot     int
	Term     uint64
	Complete bool
	// Awaited machines may have tasks and have been silent since the holder took the slot, for longer than
	// a healthy worker goes without a report.
	Awaited []string
}

// Stray is a report that reached a controller that does not hold the reporting machine.
type Stray struct {
	Machine         string
	Session, Ticket uint64
	AgoMs           int64
}

// News is a holder's answer to a request for all changes since a version.
type News struct {
	Incarnation uint64
	Version     uint64
	// Full: the reply holds all machines, not only those that changed.
	Full bool
	// Window is the newest window that the holder follows: it accepts requests from that window's owners.
	Window uint64
	// Valid: the holder's session certainly lives.
	Valid bool
	// Entitled: nobody else can hold the holder's slots, since its session lives or all siblings granted
	// it a moratorium. Versions without this field send only Valid, which implies it.
	Entitled bool
	// ServedMs is how many milliseconds ago the state service last served a request of the holder's
	// controller, 0 if that is not known; versions without this field never say.
	ServedMs int64
	// StartsByAnswers: the holder starts tasks by its answers to reports alone, which are never late. Versions
	// without this field send direct commands, too.
	StartsByAnswers bool
	// Stray is a recent report to the holder from a machine of the caller's slots, the zero value if there
	// was none; TellsStrays: the holder reports strays, which versions without this field do not.
	Stray       Stray
	TellsStrays bool
	Slots       []SlotView
	Machines    []MachineView
	Gone        []string
}
