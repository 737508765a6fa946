package bookkeeping

import (
	"math"
	"math/bits"
	"time"

	"daledyke/internal/protocol"
)

// ChunkTasks is the number of task results per key. A full chunk stays far below the state service's limit
// on the size of a value.
const ChunkTasks = 8192

// RingPosition is a job's position on the ring.
type RingPosition struct {
	// Token is the job's token. Blocks is the number of blocks of consecutive tasks that the job is divided
	// into; each block has its own token.
	Token  int64
	Blocks int
	// TeamFallback: the job uses its own position only in windows with OwnPositions. In other windows the
	// whole job is at TeamToken, the position of its team.
	TeamFallback bool
	TeamToken    int64
}

// jobRecord is a job's value in the state service. Its state changes only from pending to cancelled or done,
// and is then final.
//
// Versions that don't know job dependencies tolerate the newer fields: they ignore EndedMs, CancelledWith and
// PartCount, and drop them together with the job's needs when they rewrite a record. They rewrite a record only
// to end a job or to archive one that is over. The time at which such a job ended is then unknown. They skip
// records without a description. EndedMs is reliable once no such version runs.
type jobRecord struct {
	Spec       *protocol.JobSpec `json:"spec,omitempty"`
	State      string            `json:"state"`
	AcceptedMs int64             `json:"at"`
	EndedMs    int64             `json:"end,omitempty"`
	// CancelledWith is the job whose cancellation cancelled this one.
	CancelledWith string `json:"with,omitempty"`
	// Held: no task starts until the job is released. ReleasedMs is the time of the last release. Versions
	// that don't know holds ignore both fields and would start the job, so no job is held while a process
	// of such a version runs.
	Held       bool  `json:"held,omitempty"`
	ReleasedMs int64 `json:"freed,omitempty"`
	// PartCount is the number of further values that hold the description if it is too large for this one.
	// Sum is the part of their keys that identifies the description.
	PartCount int    `json:"parts,omitempty"`
	Sum       string `json:"sum,omitempty"`
}

// chunkRecord is a bitmap of the tasks with a recorded result; JSON encodes it as base64.
type chunkRecord struct {
	Bits []byte `json:"bits"`
}

// Job is a controller's view of a job. A published Job is immutable: a change makes a copy, so actors may share
// jobs.
type Job struct {
	Spec *protocol.JobSpec
	// RecordedState is the state in the record. State is the effective state: it is also cancelled if a job
	// that this one needs is cancelled.
	RecordedState, State string
	Accepted, Ended      time.Time
	// Held: no task starts until the job is released. Released is the time of the last release.
	Held     bool
	Released time.Time
	DependencyState
	// Created and Version are the revisions of the record's first and latest version that this controller
	// has seen.
	Created, Version uint64
	Results          []Chunk
	RingPosition
	// Archived: the record is stored under the archive prefix, with those of other jobs that are over.
	Archived bool
	// partCount and sum locate the parts of the description.
	partCount int
	sum       string
}

// Chunk is the results of up to ChunkTasks consecutive tasks of a job.
type Chunk struct {
	Bits    []byte
	Version uint64
}

// Final reports whether the job is over.
func (j *Job) Final() bool { return j.State != protocol.Pending }

// TaskDone reports whether the task's result is recorded.
func (j *Job) TaskDone(i int) bool {
	c := i / ChunkTasks
	if c >= len(j.Results) {
		return false
	}
	i %= ChunkTasks
	return i/8 < len(j.Results[c].Bits) && j.Results[c].Bits[i/8]&(1<<(i%8)) != 0
}

// DoneCount counts the recorded results.
func (j *Job) DoneCount() int {
	n := 0
	for _, c := range j.Results {
		for _, b := range c.Bits {
			n += bits.OnesCount8(b)
		}
	}
	return n
}

// DoneIn counts the recorded results of the tasks in [from, to).
func (j *Job) DoneIn(from, to int) (n int) {
	for i := from; i < to; {
		c, at := i/ChunkTasks, i%ChunkTasks
		if c >= len(j.Results) {
			break
		}
		if at%8 == 0 && i+8 <= to && at/8 < len(j.Results[c].Bits) {
			n += bits.OnesCount8(j.Results[c].Bits[at/8])
			i += 8
			continue
		}
		if j.TaskDone(i) {
			n++
		}
		i++
	}
	return n
}

// BlockTasks is the maximum number of tasks in a block. It is not configurable, since all controllers must
// agree on it.
const BlockTasks = 256

// BlockCount returns the number of blocks that a job is divided into. It is one unless the job's tasks are
// independent of each other, also in their zones.
func BlockCount(s *protocol.JobSpec) int {
	if s.Shape != protocol.Array || s.OneZone || s.Scatter {
		return 1
	}
	return max(1, (s.Tasks+BlockTasks-1)/BlockTasks)
}

func (j *Job) blockSize() int { return (j.Spec.Tasks + j.Blocks - 1) / max(1, j.Blocks) }

// BlockOf returns the block that contains a task.
func (j *Job) BlockOf(index int) int {
	if j.Blocks <= 1 {
		return 0
	}
	return index / j.blockSize()
}

// BlockRange returns the tasks of a block, as the range [from, to).
func (j *Job) BlockRange(block int) (from, to int) {
	if j.Blocks <= 1 {
		return 0, j.Spec.Tasks
	}
	n := j.blockSize()
	return min(block*n, j.Spec.Tasks), min((block+1)*n, j.Spec.Tasks)
}

// BlockToken returns a block's token. The blocks lie at equal distances around the ring, starting at the job's
// own token, so that equal ranges contain equal numbers of blocks, give or take one. With independent random
// tokens these numbers would differ by a fifth or more.
func (j *Job) BlockToken(block int) int64 {
	return int64(uint64(j.Token) + uint64(block)*(math.MaxUint64/uint64(max(1, j.Blocks))))
}

// withChunk returns the job with a newer chunk of results. It ignores a chunk that is older than the known one.
func (j *Job) withChunk(i int, c Chunk) *Job {
	if i < len(j.Results) && j.Results[i].Version >= c.Version {
		return j
	}
	n := *j
	n.Results = make([]Chunk, max(len(j.Results), i+1))
	copy(n.Results, j.Results)
	n.Results[i] = c
	return &n
}

// withRecord returns the job updated to a newer record. It ignores an older record.
func (j *Job) withRecord(r *jobRecord, version uint64) *Job {
	n := &Job{Spec: r.Spec, Accepted: time.UnixMilli(r.AcceptedMs), Created: version, partCount: r.PartCount, sum: r.Sum}
	if j != nil {
		if version <= j.Version {
			return j
		}
		was := *j
		n = &was
	}
	n.RecordedState, n.State, n.CancelledWith, n.Version = r.State, r.State, r.CancelledWith, version
	if r.EndedMs > 0 {
		n.Ended = time.UnixMilli(r.EndedMs)
	}
	if n.Held = r.Held; r.ReleasedMs > 0 {
		n.Released = time.UnixMilli(r.ReleasedMs)
	}
	return n
}

// archivedJob returns the job of a record in the archive.
func archivedJob(r *jobRecord, version uint64) *Job {
	j := (*Job)(nil).withRecord(r, version)
	j.Archived = true
	return j
}

// endedRecord returns the record of a job that is over. It leaves out what only placement uses: a description
// that just fitted into a value must not keep its job from ending after the limit on values is lowered.
func (j *Job) endedRecord(state, cancelledWith string, at time.Time) *jobRecord {
	spec := *j.Spec
	spec.Needs, spec.Types = nil, nil
	r := &jobRecord{Spec: &spec, State: state, AcceptedMs: j.Accepted.UnixMilli(), CancelledWith: cancelledWith, PartCount: j.partCount, Sum: j.sum}
	if !at.IsZero() { // unknown if a version without EndedMs wrote the record
		r.EndedMs = at.UnixMilli()
	}
	return r
}

// withTaskBits returns the bitmap of a chunk with the bits of further tasks set.
func withTaskBits(old []byte, tasks []int) []byte {
	out := append([]byte(nil), old...)
	for _, t := range tasks {
		i := t % ChunkTasks
		for len(out) <= i/8 {
			out = append(out, 0)
		}
		out[i/8] |= 1 << (i % 8)
	}
	return out
}
