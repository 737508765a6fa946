// Package protocol holds what travels between daledyke and the world around
// it: the wire types, their validation and the few names that are built from
// them. Go names are those of the field (Job, Task, Gang, Attempt, Machine,
// Team, Token); the JSON tags are the wire's own words. Nothing here does I/O.
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

// Shape says how the tasks of a job relate to one another.
type Shape string

const (
	Array   Shape = "array"
	Gang    Shape = "ensemble"
	Service Shape = "standing"
)

// Priority orders work; a higher one may preempt a lower one.
type Priority string

var priorityRank = map[Priority]int{"idle": 0, "normal": 1, "high": 2, "critical": 3}

// Rank is the place of a priority among the others, 0 the lowest.
func (p Priority) Rank() int { return priorityRank[p] }

// PriorityOf is the priority of a rank, "" if there is none.
func PriorityOf(rank int) Priority {
	for p, r := range priorityRank {
		if r == rank {
			return p
		}
	}
	return ""
}

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100_000

// MaxBody bounds a request body.
const MaxBody = 64 << 10

// JobSpec is a job as its user describes it.
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
	// Needs are the jobs that have to be done before any task starts.
	Needs []string `json:"awaits,omitempty"`
	// Account is the account of its team's quotas that the job counts for; "" is
	// the team's own.
	Account string `json:"account,omitempty"`
	// Batch is the batch script that its tasks run, nil if they run what their image
	// says.
	Batch *Batch `json:"batch,omitempty"`
}

// Batch is a batch script and what goes with it.
type Batch struct {
	Name  string `json:"name"`
	Queue string `json:"queue"`
	Shell string `json:"shell,omitempty"`
	// First and Step give an array's task with the number n the index First+n*Step;
	// Step is 0 if it is no array.
	First int `json:"first,omitempty"`
	Step  int `json:"step,omitempty"`
	// Hold: no task starts before the job is released.
	Hold bool `json:"hold,omitempty"`
	// FromMs is the time of day before which no task starts, 0 for any.
	FromMs int64 `json:"fromMs,omitempty"`
	// Variables are set for the script, as NAME=VALUE.
	Variables []string `json:"variables,omitempty"`
	// Script is compressed (DEFLATE).
	Script []byte `json:"script"`
}

// Index is the index of an array's task with a number from 0.
func (b *Batch) Index(task int) int { return b.First + task*b.Step }

// MaxScript bounds a batch script, in bytes.
const MaxScript = 48 << 10

// Pack compresses a script.
func Pack(script string) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression) // the level is sound
	w.Write([]byte(script))                            // a buffer takes all
	w.Close()
	return b.Bytes()
}

// Text is the script as it was submitted.
func (b *Batch) Text() (string, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b.Script)), MaxScript+1))
	if err != nil || len(raw) > MaxScript {
		return "", errors.New("the batch script is not what was compressed, or too large")
	}
	return string(raw), nil
}

// Need is what one task of the job takes of its machine.
func (s *JobSpec) Need() Room { return Room{s.Cores, s.Accels, s.RAM} }

// Saves tells whether a stopped task of the job can keep its progress.
func (s *JobSpec) Saves() bool { return s.CheckpointS > 0 }

// Estimate is the owner's guess of a task's run time.
func (s *JobSpec) Estimate() time.Duration { return Seconds(s.EstimateS) }

// Deadline is when the job should be complete, counted from its submission;
// false if it has none.
func (s *JobSpec) Deadline() (time.Duration, bool) {
	if s.DeadlineS == nil {
		return 0, false
	}
	return Seconds(*s.DeadlineS), true
}

// AllowsType tells whether tasks may run on machines of the named type.
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

// Allows tells whether a task may be on a machine of this type, zone and kind.
func (s *JobSpec) Allows(rig, zone string, spot bool) bool {
	return s.AllowsType(rig) && (s.Zone == nil || *s.Zone == zone) && (s.Spot || !spot)
}

// ZoneShare is the greatest number of the job's tasks that one zone may hold.
func (s *JobSpec) ZoneShare() int {
	if s.Scatter {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// ValidJobID tells whether an id has the form that all job ids have: wk- and
// up to 18 digits. It is asked for every task of every report.
func ValidJobID(id string) bool {
	number, ok := strings.CutPrefix(id, "wk-")
	return ok && len(number) >= 1 && len(number) <= 18 && strings.Trim(number, "0123456789") == ""
}

// PeekID reads the id out of a submission that may otherwise be senseless.
func PeekID(body []byte) string {
	var p struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &p) != nil && p.ID == "" || !ValidJobID(p.ID) {
		return ""
	}
	return p.ID
}

// jobFields must be there; rigs, plaza, dueS and awaits may be null, and so absent.
var jobFields = []string{"id", "laneClass", "crew", "shape", "urgency", "passes", "cores", "accelerators", "ramGb",
	"build", "pullGb", "oneZone", "scatter", "standby", "expectedS", "snapshotS", "flushS"}

// RequiredFields are the fields that a submission must have.
func RequiredFields() []string { return slices.Clone(jobFields) }

// ParseJob reads a submission; the error says what makes it malformed.
func ParseJob(body []byte) (*JobSpec, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.New("the body is not a JSON object")
	}
	for _, f := range jobFields {
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
	s.Needs = slices.Compact(s.Needs) // the same job twice counts once
	return &s, s.Validate()
}

// Validate says what is senseless about a job, if anything.
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

// TaskName is the wire's name of a task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask takes a task's name apart; ok is false for a malformed one.
func SplitTask(name string) (job string, index int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(num)
	return job, index, err == nil && index >= 0 && index < MaxTasks
}

// RingToken is a name's place on the Murmur3 ring: the first 64 bits of the
// 128-bit hash, taken as a signed number as the ring's source has it.
func RingToken(name string) int64 {
	h, _ := murmur3.StringSum128(name)
	return int64(h)
}

// RingShare tells which of n equal shares of the ring a token lies in.
func RingShare(token int64, n int) int {
	if n <= 1 {
		return 0
	}
	place := uint64(token) ^ (1 << 63) // -2^63 becomes 0
	width := ^uint64(0)/uint64(n) + 1
	return int(place / width)
}

// JobStatus is what a user is told of a job.
type JobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	// Reason tells why no task runs, StartsInS when one should; both only if
	// they can be told.
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

// Seconds turns the wire's seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
