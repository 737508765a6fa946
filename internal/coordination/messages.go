package coordination

import "daledyke/internal/protocol"

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
	taskReserved = "reserved" // room is kept, nothing is started
	taskQueued   = "queued"   // will be started once there is room
	taskStarting = "starting" // the command is on its way
)

// unconfirmed tells whether a state is one of the holder's own.
func unconfirmed(state string) bool {
	return state == taskReserved || state == taskQueued || state == taskStarting
}

func (t *TaskView) exited() bool { return t.State == protocol.TaskExited }

func (t *TaskView) running() bool { return t.State == protocol.TaskRunning }

// begun: it runs, or did so until it was told to stop.
func (t *TaskView) begun() bool { return t.running() || t.State == protocol.TaskFlushing }

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

// FeedArgs ask a holder for all that changed since a version, and promise it
// that older requests of the caller are void.
type FeedArgs struct {
	Caller string
	// Fence: requests of the caller with a lower number must be refused from
	// now on. Its high bits are the caller's incarnation.
	Fence protocol.Token
	// Window is the newest window that the caller has adopted.
	Window uint64
	// Incarnation and Since name the last reply that the caller has.
	Incarnation uint64
	Since       uint64
	WaitMs      int64
}

// FeedReply is a holder's answer.
type FeedReply struct {
	Incarnation uint64
	Version     uint64
	// Full: the reply holds all machines, not only those that changed.
	Full bool
	// Window is the newest window whose owners the holder obeys.
	Window uint64
	// Valid: the holder's session surely lives.
	Valid    bool
	Slots    []SlotView
	Machines []MachineView
	Gone     []string
}

// Start asks for a task to be started.
type Start struct {
	Task    string
	Attempt uint64
	Machine string
	// Evict names tasks on the machine that are to make room.
	Evict []string
	// Reserve only keeps the room for a short time.
	Reserve bool
}

// Stop asks for an attempt to be stopped, or for an exited one to be
// forgotten.
type Stop struct {
	Task    string
	Attempt uint64
	Machine string
	GraceS  float64
	Forget  bool
}

// AskArgs is a request of a job's owner to a holder.
type AskArgs struct {
	Caller string
	ID     protocol.Token
	Window uint64
	Starts []Start
	Stops  []Stop
}

// AskReply answers it: for each start "" if it was taken on, or why not.
// Version is the feed's version that shows the outcome.
type AskReply struct {
	Incarnation uint64
	Version     uint64
	Refused     []string
}

// DrainArgs asks a holder to keep machines free; the wish lapses unless it
// is repeated.
type DrainArgs struct {
	Caller string
	// Wish orders wishes, also those of different leaders: it is made of the
	// revision at which the caller became one. Its term does not order
	// leaders, since an older controller may follow a younger one.
	Wish     uint64
	Machines []string
}

// Nothing is an empty reply.
type Nothing struct{}
