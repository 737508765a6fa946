package protocol

import "errors"

// Token orders the controllers that command a worker: a token of a later term is higher. The high bits
// are the term, the low bits a rising sequence number.
type Token uint64

const sequenceBits = 32

// NewToken combines a term and a sequence number.
func NewToken(term, seq uint64) Token { return Token(term<<sequenceBits | seq&(1<<sequenceBits-1)) }

// Term is the token's term.
func (t Token) Term() uint64 { return uint64(t) >> sequenceBits }

// The states of a task on a worker.
const (
	TaskPulling  = "pulling"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskFlushing = "flushing"
	TaskExited   = "exited"
)

// The causes of a task's exit that daledyke distinguishes.
const (
	CauseDone  = "done"
	CauseError = "error"
	// CauseIncomplete: a task of a gang timed out waiting for the other tasks.
	CauseIncomplete = "incomplete"
)

// TaskReport is the state of one task in a worker's report.
type TaskReport struct {
	Task    string `json:"pass"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"kept,omitempty"`
}

// Report is a worker's report of its own state.
type Report struct {
	Machine string       `json:"bollard"`
	Addr    string       `json:"address"`
	Type    string       `json:"rig"`
	Zone    string       `json:"plaza"`
	Spot    bool         `json:"standby"`
	Session uint64       `json:"shift"`
	Ticket  uint64       `json:"ticket"`
	Token   Token        `json:"baton"`
	NoticeS *float64     `json:"warningS"`
	Tasks   []TaskReport `json:"passes"`
}

// Validate returns an error if the report is invalid.
func (r *Report) Validate() error {
	if r.Machine == "" || len(r.Machine) > 100 || r.Addr == "" || r.Session == 0 {
		return errors.New("a report lacks its machine, address or session")
	}
	for _, t := range r.Tasks {
		if _, _, ok := SplitTask(t.Task); !ok || t.State == "" {
			return errors.New("a report names a senseless task")
		}
	}
	return nil
}

// Newer reports whether r was sent after a message with the given session and ticket.
func (r *Report) Newer(session, ticket uint64) bool {
	return r.Session > session || r.Session == session && r.Ticket > ticket
}

// The verbs of commands.
const (
	VerbStart  = "start"
	VerbStop   = "halt"
	VerbForget = "reap"
)

// Command is one command to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"pass"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"leewayS,omitempty"`
}

// ReportAnswer is the body of a 200 response to a report.
type ReportAnswer struct {
	Token    Token     `json:"baton"`
	Commands []Command `json:"orders"`
}

// Redirect is the body of a 421 response to a report.
type Redirect struct {
	Node string `json:"booth,omitempty"`
}

// Orders is the body of commands that are sent directly to a worker.
type Orders struct {
	Token    Token     `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []Command `json:"orders"`
}
