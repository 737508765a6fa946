// Package history holds what happened in a world around daledyke, event by event: how
// it is kept in a file, and the checks over it, of the protocol's rules and of the
// state service's consistency.
package history

import (
	"time"

	"daledyke/internal/protocol"
)

// Kind says what happened in an event.
type Kind string

// The kinds of events, and which fields of an Event they fill beside At.
const (
	Submitted   Kind = "submitted"    // Job, Spec: a user sends a job for the first time
	Answered    Kind = "answered"     // Job, Code, Status: an answer to a submission; Code 0 is none
	Polled      Kind = "polled"       // Job, Code, Status: an answer to a question about a job
	CancelAsked Kind = "cancel-asked" // Job
	CancelTold  Kind = "cancel-told"  // Job, Code, Status
	Told        Kind = "told"         // Task, Machine, Attempt, Sent: a worker takes a command to start
	On          Kind = "on"           // Task, Machine, Attempt, Type, Zone, Spot: it has its image
	Off         Kind = "off"          // Task, Machine, Cause: it is not on the machine any more
	Left        Kind = "left"         // Task, Machine, Attempt, Cause: an attempt that was told to start has ended, in whatever state it was
	Rented      Kind = "rented"       // Machine, Type, Zone, Spot
	Up          Kind = "up"           // Machine: its worker begins to report
	Gone        Kind = "gone"         // Machine, Cause
	NodeUp      Kind = "node-up"      // Node: a controller was started
	NodeDown    Kind = "node-down"    // Node: a controller was killed or ended
	FaultBegins Kind = "fault"        // Cause: what, in the words of the experiment
	FaultEnds   Kind = "fault-over"   // Cause
	Sampled     Kind = "sample"       // Sample
	Ended       Kind = "end"          // Code: how many events came before; always the last
)

// Event is one thing that happened.
type Event struct {
	// At counts from the world's beginning, in nanoseconds.
	At      time.Duration `json:"at"`
	Kind    Kind          `json:"kind"`
	Job     string        `json:"job,omitempty"`
	Task    string        `json:"task,omitempty"`
	Machine string        `json:"machine,omitempty"`
	Node    string        `json:"node,omitempty"`
	Type    string        `json:"type,omitempty"`
	Zone    string        `json:"zone,omitempty"`
	Spot    bool          `json:"spot,omitempty"`
	Attempt uint64        `json:"attempt,omitempty"`
	// Sent is when a command was sent that was carried out now, counted as At is; 0 if it is not
	// known.
	Sent   time.Duration     `json:"sent,omitempty"`
	Code   int               `json:"code,omitempty"`
	Status string            `json:"status,omitempty"`
	Cause  string            `json:"cause,omitempty"`
	Spec   *protocol.JobSpec `json:"spec,omitempty"`
	Sample *Sample           `json:"sample,omitempty"`
}

// Sample is the state of a world at one moment. Counts run from the beginning.
type Sample struct {
	Running       int     `json:"running"`  // tasks
	Waiting       int     `json:"waiting"`  // jobs that were accepted and have no task on a machine
	Machines      int     `json:"machines"` // that are charged
	CoresUsed     float64 `json:"coresUsed"`
	Cores         float64 `json:"cores"`
	StateRequests int     `json:"stateRequests"`
	StateChanges  int     `json:"stateChanges"`
	Money         float64 `json:"money"`
}
