// Package protocol defines the messages between daledyke and its environment: the wire types, their
// validation and the names that are built from them. Go names are the usual terms of schedulers (Job, Task,
// Gang, Attempt, Machine, Team, Token); the JSON tags are the names on the wire. The package does no I/O.
package protocol

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/twmb/murmur3"
)

// Shape is the relation between the tasks of a job.
type Shape string

const (
	Array   Shape = "array"
	Gang    Shape = "ensemble"
	Service Shape = "standing"
)

// Priority is the priority of a job; jobs of higher priority may preempt those of lower priority.
type Priority string

var priorityRank = map[Priority]int{"idle": 0, "normal": 1, "high": 2, "critical": 3}

// Rank is the position of a priority in the order of priorities; 0 is the lowest.
func (p Priority) Rank() int { return priorityRank[p] }

// PriorityOf returns the priority with the given rank, "" if there is none.
func PriorityOf(rank int) Priority {
	for p, r := range priorityRank {
		if r == rank {
			return p
		}
	}
	return ""
}

// MaxTasks limits the tasks of one job.
const MaxTasks = 100_000

// JobSpec is a job as submitted by its user.
type JobSpec struct {
	ID          string   `json:"id"`
	Class       string   `json:"laneClass"`
	Team        string   `json:"crew"`
	Shape       Shape    `json:"shape"`
	Priority    Priority `json:"urgency"`
	Tasks       int      `json:"passes"`
	Cores       float64  `json:"cores"`
	Accels      float64  `json:"accelerators"`
	RAM         float64  `json:"ramGb"`
	Image       string   `json:"build"`
	ImageGB     float64  `json:"pullGb"`
	Types       []string `json:"rigs"`
	Zone        *string  `json:"plaza"`
	OneZone     bool     `json:"oneZone"`
	Scatter     bool     `json:"scatter"`
	Spot        bool     `json:"standby"`
	EstimateS   float64  `json:"expectedS"`
	CheckpointS float64  `json:"snapshotS"`
	SaveS       float64  `json:"flushS"`
	DeadlineS   *float64 `json:"dueS"`
	// Needs are the jobs that must be done before any task starts.
	Needs []string `json:"awaits,omitempty"`
	// Account is the account within its team's quotas that the job is charged to; "" is the team's own.
	Account string `json:"account,omitempty"`
	// Batch is the batch script that the tasks run, nil if they run the default command of their image.
	Batch *Batch `json:"batch,omitempty"`
}

// Batch is a batch script and its options.
type Batch struct {
	Name  string `json:"name"`
	Queue string `json:"queue"`
	Shell string `json:"shell,omitempty"`
	// First and Step define the index of array task n: First+n*Step. Step is 0 if the job is not an array.
	First int `json:"first,omitempty"`
	Step  int `json:"step,omitempty"`
	// Hold: no task starts before the job is released.
	Hold bool `json:"hold,omitempty"`
	// FromMs is the Unix time in milliseconds before which no task starts, 0 if there is none.
	FromMs int64 `json:"fromMs,omitempty"`
	// Variables are the environment variables of the script, as NAME=VALUE.
	Variables []string `json:"variables,omitempty"`
	// Script is the script, compressed with DEFLATE.
	Script []byte `json:"script"`
}

// Index returns the array index of a task, whose number counts from 0.
func (b *Batch) Index(task int) int { return b.First + task*b.Step }

// MaxScript limits the size of an uncompressed batch script, in bytes.
const MaxScript = 48 << 10

// CompressScript compresses a batch script.
func CompressScript(script string) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression) // fails only for an invalid level
	w.Write([]byte(script))                            // writing to a buffer can't fail
	w.Close()
	return b.Bytes()
}

// Text decompresses the script.
func (b *Batch) Text() (string, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b.Script)), MaxScript+1))
	if err != nil || len(raw) > MaxScript {
		return "", errors.New("the batch script is not what was compressed, or too large")
	}
	return string(raw), nil
}

// Need is what one task of the job requires of its machine.
func (s *JobSpec) Need() Room { return Room{s.Cores, s.Accels, s.RAM} }

// Checkpoints reports whether a stopped task of the job can keep its progress.
func (s *JobSpec) Checkpoints() bool { return s.CheckpointS > 0 }

// Estimate is the user's estimate of a task's run time.
func (s *JobSpec) Estimate() time.Duration { return Seconds(s.EstimateS) }

// Deadline is the time after submission by which the job should be complete; ok is false if it has none.
func (s *JobSpec) Deadline() (time.Duration, bool) {
	if s.DeadlineS == nil {
		return 0, false
	}
	return Seconds(*s.DeadlineS), true
}

// AllowsType reports whether tasks may run on machines of the named type.
func (s *JobSpec) AllowsType(name string) bool {
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == name {
			return true
		}
	}
	return false
}

// Allows reports whether a task may run on a machine of this type and zone, and on spot machines if spot is set.
func (s *JobSpec) Allows(machineType, zone string, spot bool) bool {
	return s.AllowsType(machineType) && (s.Zone == nil || *s.Zone == zone) && (s.Spot || !spot)
}

// MaxPerZone is the maximum number of the job's tasks in one zone.
func (s *JobSpec) MaxPerZone() int {
	if s.Scatter {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// ValidJobID reports whether an id has the form of a job id: wk- and 1 to 18 digits. It is called for every
// task of every report.
func ValidJobID(id string) bool {
	number, ok := strings.CutPrefix(id, "wk-")
	return ok && len(number) >= 1 && len(number) <= 18 && strings.Trim(number, "0123456789") == ""
}

// PeekID reads the job id of a submission that may otherwise be malformed.
func PeekID(body []byte) string {
	var p struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &p) != nil && p.ID == "" || !ValidJobID(p.ID) {
		return ""
	}
	return p.ID
}

// requiredFields must be present. rigs, plaza, dueS and awaits may be null, and so absent.
var requiredFields = []string{"id", "laneClass", "crew", "shape", "urgency", "passes", "cores", "accelerators", "ramGb",
	"build", "pullGb", "oneZone", "scatter", "standby", "expectedS", "snapshotS", "flushS"}

// RequiredFields returns the fields that a submission must have.
func RequiredFields() []string { return slices.Clone(requiredFields) }

// ParseJob parses a submission; the error says why it is malformed.
func ParseJob(body []byte) (*JobSpec, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.New("the body is not a JSON object")
	}
	for _, f := range requiredFields {
		raw, ok := fields[f]
		if !ok || bytes.Equal(raw, []byte("null")) {
			return nil, fmt.Errorf("field %s is missing", f)
		}
	}
	var s JobSpec
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("a field is invalid: %w", err)
	}
	slices.Sort(s.Needs)
	s.Needs = slices.Compact(s.Needs) // duplicate needs count once
	return &s, s.Validate()
}

// Validate returns an error if the job is invalid.
func (s *JobSpec) Validate() error {
	if !ValidJobID(s.ID) {
		return errors.New("field id is invalid")
	}
	if s.Class == "" || s.Team == "" || s.Image == "" {
		return errors.New("laneClass, crew and build must not be empty")
	}
	if s.Shape != Array && s.Shape != Gang && s.Shape != Service {
		return errors.New("field shape is invalid")
	}
	if _, ok := priorityRank[s.Priority]; !ok {
		return errors.New("field urgency is invalid")
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.New("field passes is out of range")
	}
	for _, id := range s.Needs {
		if !ValidJobID(id) {
			return errors.New("field awaits names something that is no job id")
		}
	}
	if b := s.Batch; b != nil {
		if _, err := b.Text(); err != nil {
			return err
		}
		if b.First < 0 || b.Step < 0 || len(b.Name) > 230 || len(b.Queue) > 230 || len(b.Shell) > 1024 {
			return errors.New("field batch is invalid")
		}
	}
	amounts := []float64{s.Cores, s.Accels, s.RAM, s.ImageGB, s.EstimateS, s.CheckpointS, s.SaveS}
	if s.DeadlineS != nil {
		amounts = append(amounts, *s.DeadlineS)
	}
	for _, a := range amounts {
		if a < 0 || a > 1e9 || math.IsNaN(a) || math.IsInf(a, 0) {
			return errors.New("an amount is out of range")
		}
	}
	return nil
}

// TaskName is the name of a task on the wire.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask splits a task's name into job id and task index; ok is false if the name is malformed.
func SplitTask(name string) (job string, index int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(num)
	return job, index, err == nil && index >= 0 && index < MaxTasks
}

// RingToken is a name's position on the Murmur3 ring: the first 64 bits of the 128-bit hash as a signed
// number, as the original implementation of the ring defines it.
func RingToken(name string) int64 {
	h, _ := murmur3.StringSum128(name)
	return int64(h)
}

// RingShare returns which of n equal shares of the ring contains the token.
func RingShare(token int64, n int) int {
	if n <= 1 {
		return 0
	}
	place := uint64(token) ^ (1 << 63) // -2^63 becomes 0
	width := ^uint64(0)/uint64(n) + 1
	return int(place / width)
}

// JobStatus is the status of a job as reported to users.
type JobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	// Reason is why no task runs, StartsInS the expected time until one starts; each is omitted if unknown.
	Reason    string   `json:"reason,omitempty"`
	StartsInS *float64 `json:"startsInS,omitempty"`
}

// The states of a job.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Seconds converts seconds on the wire to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
