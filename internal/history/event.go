// Package history records the events of an emulated deployment of daledyke, stores them in a file and
// checks them against the protocol's rules and the state service's consistency.
package history

import (
	"time"

	"daledyke/internal/protocol"
)

// Kind is the type of an event.
type Kind string

// The kinds of events, and the fields of Event that each fills besides At.
const (
	Submitted      Kind = "submitted"    // Job, Spec: a user sends a job for the first time
	Answered       Kind = "answered"     // Job, Code, Status: the answer to a submission; Code 0 means none
	Polled         Kind = "polled"       // Job, Code, Status: the answer to a status query
	CancelAsked    Kind = "cancel-asked" // Job
	CancelAnswered Kind = "cancel-told"  // Job, Code, Status
	StartReceived  Kind = "told"         // Task, Machine, Attempt, Sent: a worker receives a start command
	TaskStarted    Kind = "on"           // Task, Machine, Attempt, Type, Zone, Spot: the task has its image
	TaskStopped    Kind = "off"          // Task, Machine, Cause: the task is no longer on the machine
	AttemptEnded   Kind = "left"         // Task, Machine, Attempt, Cause: an attempt that received a start command has ended, whatever its state
	MachineRented  Kind = "rented"       // Machine, Type, Zone, Spot
	WorkerUp       Kind = "up"           // Machine: its worker begins to report
	MachineGone    Kind = "gone"         // Machine, Cause
	NodeUp         Kind = "node-up"      // Node: a controller was started
	NodeDown       Kind = "node-down"    // Node: a controller was killed or ended
	Oversized      Kind = "oversized"    // Machine, Cause, Code: a message to or from a worker exceeds its limit; Cause is the kind of message, Code its size in bytes
	FaultBegins    Kind = "fault"        // Cause: the fault, in the words of the experiment
	FaultEnds      Kind = "fault-over"   // Cause
	Sampled        Kind = "sample"       // Sample
	Ended          Kind = "end"          // Code: the number of preceding events; always the last event
)

// Event is one event of a history.
type Event struct {
	// At is the time since the start of the history, in nanoseconds.
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
	// Sent is the time, counted as At is, at which the command carried out now was sent; 0 if unknown.
	Sent   time.Duration     `json:"sent,omitempty"`
	Code   int               `json:"code,omitempty"`
	Status string            `json:"status,omitempty"`
	Cause  string            `json:"cause,omitempty"`
	Spec   *protocol.JobSpec `json:"spec,omitempty"`
	Sample *Sample           `json:"sample,omitempty"`
}

// Sample is the state of a deployment at one time. Counters run from the start.
type Sample struct {
	Running       int     `json:"running"`  // tasks
	Waiting       int     `json:"waiting"`  // accepted jobs without a task on a machine
	Machines      int     `json:"machines"` // machines that are charged
	CoresUsed     float64 `json:"coresUsed"`
	Cores         float64 `json:"cores"`
	StateRequests int     `json:"stateRequests"`
	StateChanges  int     `json:"stateChanges"`
	Money         float64 `json:"money"`
}
