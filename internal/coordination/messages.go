package coordination

import (
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

// FeedArgs asks a holder for all that changed since a version, and voids older requests of the caller.
type FeedArgs struct {
	Caller string
	// Fence: the holder must refuse requests of the caller with a lower number from now on. Its high bits are
	// the caller's incarnation.
	Fence protocol.Token
	// Window is the newest window that the caller has adopted.
	Window uint64
	// Incarnation and Since identify the last reply that the caller has.
	Incarnation uint64
	Since       uint64
	WaitMs      int64
}

// Start asks for a task to be started.
type Start struct {
	Task    string
	Attempt uint64
	Machine string
	// Term is the term of the machine's slot under which the owner saw the machine: under any other term the
	// request is void. 0 from a version without this field.
	Term uint64
	// Evict names tasks on the machine that are to be stopped to make room.
	Evict []string
	// Reserve only reserves the room, for a short time. Ahead also reserves room that is still in use, so
	// that it is kept for the task once it comes free; a version without Ahead refuses that for want of room.
	Reserve bool
	Ahead   bool
	// Permit is the permit under the team's quotas, if it has any.
	Permit quota.Permit
}

// Stop asks for an attempt to be stopped, or for an exited one to be forgotten.
type Stop struct {
	Task    string
	Attempt uint64
	Machine string
	GraceS  float64
	Forget  bool
	// Keep reserves the room of a forgotten task for the same attempt for a moment, while the rest of its
	// gang gets ready. The version before gives the room up.
	Keep bool
}

// AskArgs is a request of a job's owner to a holder.
type AskArgs struct {
	Caller string
	ID     protocol.Token
	Window uint64
	Starts []Start
	Stops  []Stop
}

// AskReply answers AskArgs: Refused has for each start "" if it was accepted, or why not. Version is the
// feed's version that shows the outcome.
type AskReply struct {
	Incarnation uint64
	Version     uint64
	Refused     []string
}

// DrainArgs asks a holder to keep machines free; the request lapses unless it is repeated.
type DrainArgs struct {
	Caller string
	// Wish orders drain requests, also those of different leaders: it derives from the revision at which the
	// caller became leader. The caller's term does not order leaders, since an older controller may follow a
	// younger one.
	Wish     uint64
	Machines []string
	// Vacate are machines that are to be kept free although they have tasks, which their owners move
	// elsewhere. A version without moves ignores them.
	Vacate []string
}

// Nothing is an empty reply.
type Nothing struct{}
