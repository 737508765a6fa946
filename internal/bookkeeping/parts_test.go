package bookkeeping

import (
	"fmt"
	"net/http"
	"strings"
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

// acceptLongJob records a held job whose description takes several values.
func acceptLongJob(t *testing.T, st *Store, id string) *Job {
	t.Helper()
	spec := &protocol.JobSpec{ID: id, Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 4, Cores: 1, RAM: 1, Image: "img",
		Batch: &protocol.Batch{Hold: true}}
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

// Guards against the loss of a record that changes while the job's description is read: a job that was released just
// then stayed held for ever, and all writes that depend on its record failed.
func TestReleaseWhileDescriptionIsRead(t *testing.T) {
	reads, resume := make(chan bool, 100), make(chan bool)
	delayParts := false
	st := newStoreBehind(t, func(state http.Handler) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if delayParts && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Query().Get("prefix"), partPrefix) {
				reads <- true
				<-resume
			}
			state.ServeHTTP(w, r)
		}
	})
	acceptLongJob(t, st, "wk-1")
	delayParts = true
	replica := runReplica(t, st)
	<-reads
	resumed := time.AfterFunc(500*time.Millisecond, func() { close(resume) })
	defer resumed.Stop()
	if _, changed, err := st.HoldJob(t.Context(), "wk-1", false); err != nil || !changed {
		t.Fatal(changed, err)
	}
	j := replica.awaitJob(t, "a released job", func(j *Job) bool { return !j.Held })
	st.Record(t.Context(), transport.Ordinary, []Outcome{{Job: j, Tasks: []int{0, 1, 2, 3}}})
	if ended, err := st.ReadJob(t.Context(), "wk-1"); err != nil || ended.State != protocol.Done {
		t.Errorf("after its last results the job is %+v, %v", ended, err)
	}
}

// A job that ends, and is archived, while a replica is disconnected and lacks its description is published as ended.
func TestIncompleteJobEndsWhileDisconnected(t *testing.T) {
	transactionsLeft := 1000
	st := newEmulatedStore(t, &transactionsLeft)
	acceptLongJob(t, st, "wk-1")
	listener := &jobListener{jobs: map[string]*Job{}}
	replica := NewReplica(st, func(*protocol.JobSpec) RingPosition { return RingPosition{Blocks: 1} }, func(*Job) Urgency { return Urgency{} }, listener, nil)
	load := func() {
		t.Helper()
		if _, err := replica.load(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	load()
	ended, err := st.CancelJob(t.Context(), "wk-1")
	for ; err == nil && !ended.Archived; ended, err = st.ReadJob(t.Context(), "wk-1") {
		st.Archive(t.Context(), []*Job{ended})
	}
	load()
	if j := listener.jobs["wk-1"]; err != nil || j == nil || j.State != protocol.Cancelled || len(replica.incomplete) != 0 {
		t.Errorf("published as %+v, %d incomplete jobs, %v", j, len(replica.incomplete), err)
	}
}
