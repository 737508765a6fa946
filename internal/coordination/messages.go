package coordination

import (
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

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

// Start asks for a task to be started.
type Start struct {
	Task    string
	Attempt uint64
	Machine string
	// Term is that of the machine's slot under which the owner saw the machine: under another one the
	// request is void. A version before it does not say.
	Term uint64
	// Evict names tasks on the machine that are to make room.
	Evict []string
	// Reserve only keeps the room for a short time. Ahead: also room that is still in use, so
	// that what comes free is kept for the task; a version before it refuses that for want of
	// room.
	Reserve bool
	Ahead   bool
	// Permit is that of the team's quotas, if there are any.
	Permit quota.Permit
}

// Stop asks for an attempt to be stopped, or for an exited one to be
// forgotten.
type Stop struct {
	Task    string
	Attempt uint64
	Machine string
	GraceS  float64
	Forget  bool
	// Keep has the room of a forgotten task kept for the same attempt for a moment: the others of
	// its gang still get ready. The version before gives it up.
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
	// Vacate are machines that are to be kept free though there are tasks, which their
	// owners move elsewhere. A version before moves passes over them.
	Vacate []string
}

// Nothing is an empty reply.
type Nothing struct{}
