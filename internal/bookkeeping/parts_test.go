package bookkeeping

import (
	"fmt"
	"testing"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// publishedJobs is a listener that passes on the jobs that a running replica publishes.
type publishedJobs struct {
	machineListener
	jobs   chan *Job
	synced chan struct{} // closed once the replica has loaded the records
}

func (l *publishedJobs) JobChanged(j *Job) { l.jobs <- j }

func (l *publishedJobs) Synced(time.Time) {
	select {
	case <-l.synced:
	default:
		close(l.synced)
	}
}

// runReplica starts a replica of the store's records; it ends with the test.
func runReplica(t *testing.T, st *Store) *publishedJobs {
	l := &publishedJobs{jobs: make(chan *Job, 100), synced: make(chan struct{})}
	position := func(*protocol.JobSpec) RingPosition { return RingPosition{Blocks: 1} }
	replica := NewReplica(st, position, func(*Job) Urgency { return Urgency{} }, l, func(uint64) {})
	go replica.Run(t.Context())
	return l
}

// awaitJob returns the first published job that meets the condition.
func (l *publishedJobs) awaitJob(t *testing.T, what string, meets func(*Job) bool) *Job {
	t.Helper()
	var last *Job
	deadline := time.After(10 * time.Second)
	for {
		select {
		case last = <-l.jobs:
			if meets(last) {
				return last
			}
		case <-deadline:
			t.Fatalf("%s: last published: %+v", what, last)
		}
	}
}

// acceptLongJob records a job whose description takes several values.
func acceptLongJob(t *testing.T, st *Store, id string) *Job {
	t.Helper()
	spec := &protocol.JobSpec{ID: id, Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 4, Cores: 1, RAM: 1, Image: "img"}
	for n := range 300 {
		spec.Types = append(spec.Types, fmt.Sprintf("t%x", uint64(n+1)*0x9e3779b97f4a7c15))
	}
	if err := st.CreateJob(t.Context(), spec, ""); err != nil {
		t.Fatal(err)
	}
	j, err := st.ReadJob(t.Context(), id)
	if err != nil || j.partCount < 2 {
		t.Fatalf("%+v, %v", j, err)
	}
	return j
}

// Guards against the loss of a job's results where its description is stored in parts: a starting replica reads
// the description after the records, and until then it has to keep the results. Without them the recorded tasks run
// again, and each further result conflicts with the stored ones for ever.
func TestResultsWaitForDescription(t *testing.T) {
	transactionsLeft := 1000
	st := newEmulatedStore(t, &transactionsLeft)
	j := acceptLongJob(t, st, "wk-1")
	st.Record(t.Context(), transport.Ordinary, []Outcome{{Job: j, Tasks: []int{0, 1}}})

	loaded := runReplica(t, st).awaitJob(t, "a job with two results", func(j *Job) bool { return j.DoneCount() == 2 })
	st.Record(t.Context(), transport.Ordinary, []Outcome{{Job: loaded, Tasks: []int{2, 3}}})
	if ended, err := st.ReadJob(t.Context(), "wk-1"); err != nil || ended.State != protocol.Done {
		t.Errorf("after its last results the job is %+v, %v", ended, err)
	}
}
