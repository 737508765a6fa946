package board

import "daledyke/internal/protocol"

// What holders tell of their machines. These types travel between controllers
// by net/rpc: fields may be added, none may change its name or meaning.

// TaskView is a task as its machine's holder knows it.
type TaskView struct {
	Task    string
	Attempt uint64
	// State is the worker's word for it, or one of the holder's own below
	// for a start that the worker has not confirmed yet.
	State string
	Cause string
	Saved bool
}

// The holder's own states of a task that is to be started.
const (
	TaskReserved = "reserved" // room is kept, nothing is started
	TaskQueued   = "queued"   // will be started once there is room
	TaskStarting = "starting" // the command is on its way
)

// CauseLost is the holder's own cause of an exit: the task is gone from its machine, and a command to
// start it there may still be on its way, so that it is not to be started elsewhere yet.
const CauseLost = "lost"

// Unconfirmed tells whether a state is one of the holder's own.
func Unconfirmed(state string) bool {
	return state == TaskReserved || state == TaskQueued || state == TaskStarting
}

// Exited tells whether it ended, in whatever way, and its worker still remembers it.
func (t *TaskView) Exited() bool { return t.State == protocol.TaskExited }

// Running tells whether it makes progress, or is seen to.
func (t *TaskView) Running() bool { return t.State == protocol.TaskRunning }

// Begun tells whether it runs, or did so until it was told to stop.
func (t *TaskView) Begun() bool { return t.Running() || t.State == protocol.TaskFlushing }

// MachineView is a machine as its holder sums it up.
type MachineView struct {
	ID, Type, Zone string
	Spot           bool
	Slot           int
	// Term is the slot's term under which the view was made.
	Term uint64
	Free protocol.Room
	// Usable: tasks may be started here.
	Usable bool
	// Silent: no report for longer than a healthy worker would let pass.
	Silent bool
	// Suspect: fails what it is given. Failed are jobs that failed here since
	// something last succeeded; Sound tells that this was lately.
	Suspect bool
	Failed  []string
	Sound   bool
	// Leaving: the cloud gave notice.
	Leaving bool
	// Vacates: what is on it is to be moved elsewhere. A version before moves knows
	// nothing of it, and places nothing here since it is not usable.
	Vacates bool
	// Drained is the wish since which it is kept free without a break, if
	// nothing can be on it; else 0.
	Drained uint64
	// Images are cached, or being fetched as Pulling says.
	Images  []string
	Pulling []string
	Tasks   []TaskView
}

// SlotView says whether a holder knows all that may be on a slot's machines.
type SlotView struct {
	Slot     int
	Term     uint64
	Complete bool
	// Awaited machines may have tasks and have been silent since the slot
	// was taken, for longer than a healthy worker would let pass.
	Awaited []string
}

// Stray is a report that came to a controller that does not hold its machine.
type Stray struct {
	Machine         string
	Session, Ticket uint64
	AgoMs           int64
}

// News is a holder's answer to a request for all that changed since a version.
type News struct {
	Incarnation uint64
	Version     uint64
	// Full: the reply holds all machines, not only those that changed.
	Full bool
	// Window is the newest window whose owners the holder obeys.
	Window uint64
	// Valid: the holder's session surely lives.
	Valid bool
	// Entitled: nobody else can hold its slots, since its session lives or all siblings granted it a
	// moratorium. A version before it doesn't say so, and means Valid.
	Entitled bool
	// ServedMs is how long ago the state service last did what the holder's controller asked,
	// in milliseconds, 0 if that is not known; a version before it never says.
	ServedMs int64
	// Stray is a machine of the caller's slots that reported to the holder lately, the zero value
	// if none did; TellsStrays that it would say so, which a version before it doesn't.
	Stray       Stray
	TellsStrays bool
	Slots       []SlotView
	Machines    []MachineView
	Gone        []string
}
