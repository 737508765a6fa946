package bookkeeping

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"daledyke/internal/protocol"
)

// jobListener is a listener that records only jobs.
type jobListener struct {
	machineListener
	jobs          map[string]*Job
	notifications int
}

func (l *jobListener) JobChanged(j *Job) { l.jobs[j.Spec.ID] = j; l.notifications++ }

// replicaFixture applies job records to a replica.
type replicaFixture struct {
	t        *testing.T
	replica  *Replica
	listener *jobListener
	revision uint64
	records  map[string]*jobRecord
}

var baseTime = time.UnixMilli(1_700_000_000_000)

func newReplicaFixture(t *testing.T) *replicaFixture {
	listener := &jobListener{jobs: map[string]*Job{}}
	urgencyOf := func(j *Job) Urgency {
		u := Urgency{Rank: j.Spec.Priority.Rank(), Filler: j.Spec.Priority.Rank() == 0}
		if j.Spec.DeadlineS != nil {
			u.Deadline = j.Accepted.Add(protocol.Seconds(*j.Spec.DeadlineS))
		}
		return u
	}
	return &replicaFixture{t: t, listener: listener, records: map[string]*jobRecord{},
		replica: NewReplica(nil, func(*protocol.JobSpec) RingPosition { return RingPosition{Token: 0, Blocks: 1} }, urgencyOf, listener, nil)}
}

func (f *replicaFixture) write(r *jobRecord) {
	f.revision++
	f.records[r.Spec.ID] = r
	j := f.replica.jobs[r.Spec.ID].withRecord(r, f.revision)
	f.replica.updateJob(r.Spec.ID, j)
}

func (f *replicaFixture) accept(id string, p protocol.Priority, due float64, needs ...string) {
	s := &protocol.JobSpec{ID: id, Tasks: 1, Priority: p, EstimateS: 10, Needs: needs}
	if due > 0 {
		s.DeadlineS = &due
	}
	f.write(&jobRecord{Spec: s, State: protocol.Pending, AcceptedMs: baseTime.UnixMilli()})
}

// end ends a job at the given time after baseTime, as this version records it.
func (f *replicaFixture) end(id, state string, after time.Duration) {
	j := (*Job)(nil).withRecord(f.records[id], 1)
	f.write(j.endedRecord(state, "", baseTime.Add(after)))
}

func (f *replicaFixture) want(id, state string, waitingOn int) *Job {
	f.t.Helper()
	j := f.listener.jobs[id]
	if j == nil || j.State != state || j.WaitingOn != waitingOn {
		f.t.Errorf("%s: %+v, want state %s, waiting on %d", id, j, state, waitingOn)
	}
	return j
}

func TestDependencyChain(t *testing.T) {
	f := newReplicaFixture(t)
	f.accept("wk-1", "idle", 0)
	f.accept("wk-2", "idle", 0, "wk-1")
	f.accept("wk-3", "high", 100, "wk-1", "wk-2")
	f.want("wk-2", protocol.Pending, 1)
	f.want("wk-3", protocol.Pending, 2)
	// The deadline of each needed job lies one step before that of the job that needs it.
	first := f.listener.jobs["wk-1"]
	if first.Rank != 2 || first.Filler || !first.Deadline.Equal(baseTime.Add(100*time.Second-2*(10*time.Second+interJobDelay))) || !first.HasDependents {
		t.Errorf("the first job must have the urgency of the last: %+v", first.DependencyState)
	}
	f.end("wk-1", protocol.Done, 30*time.Second)
	if j := f.want("wk-2", protocol.Pending, 0); !j.Ready.Equal(baseTime.Add(30 * time.Second)) {
		t.Errorf("ready at %v, want the end of wk-1", j.Ready)
	}
	f.end("wk-2", protocol.Done, 50*time.Second)
	if j := f.want("wk-3", protocol.Pending, 0); !j.Ready.Equal(baseTime.Add(50*time.Second)) || len(j.WaitsFor) != 0 {
		t.Errorf("ready at %v, want the end of wk-2; waits for %v", j.Ready, j.WaitsFor)
	}
	f.end("wk-3", protocol.Done, 60*time.Second)
	if len(f.replica.dependencies.nodes) != 0 || f.listener.jobs["wk-1"].HasDependents {
		t.Errorf("%d nodes are left", len(f.replica.dependencies.nodes))
	}
}

// One record cancels all jobs that depend on the cancelled one. A job that names a cancelled job is cancelled
// from the start. Urgency that was inherited from a cancelled job is lost.
func TestCancellationPropagates(t *testing.T) {
	f := newReplicaFixture(t)
	f.accept("wk-1", "idle", 0)
	f.accept("wk-2", "idle", 0, "wk-1")
	f.accept("wk-3", "normal", 0, "wk-2")
	f.accept("wk-4", "critical", 0, "wk-2")
	f.end("wk-4", protocol.Cancelled, 0)
	if r := f.listener.jobs["wk-1"].Rank; r != 1 {
		t.Errorf("wk-1 has rank %d after the urgent job was cancelled, want 1", r)
	}
	f.end("wk-2", protocol.Cancelled, 0)
	f.want("wk-1", protocol.Pending, 0)
	if j := f.want("wk-3", protocol.Cancelled, 1); j.CancelledWith != "wk-2" || j.RecordedState != protocol.Pending {
		t.Errorf("cancelled with %q, recorded as %s", j.CancelledWith, j.RecordedState)
	}
	if r := f.listener.jobs["wk-1"].Rank; r != 0 {
		t.Errorf("wk-1 has rank %d though no job needs it any more, want 0", r)
	}
	f.accept("wk-5", "high", 0, "wk-3", "wk-1")
	f.want("wk-5", protocol.Cancelled, 2)
	// A job that was cancelled before any other named it.
	f.accept("wk-6", "idle", 0)
	f.end("wk-6", protocol.Cancelled, 0)
	f.accept("wk-7", "idle", 0, "wk-6")
	if j := f.want("wk-7", protocol.Cancelled, 1); j.CancelledWith != "wk-6" {
		t.Errorf("cancelled with %q, want wk-6", j.CancelledWith)
	}
	f.end("wk-7", protocol.Cancelled, 0)
	// wk-1 is not affected by the cancellation of its dependents.
	f.end("wk-1", protocol.Done, 0)
	f.want("wk-3", protocol.Cancelled, 1)
	f.end("wk-3", protocol.Cancelled, 0)
	f.end("wk-5", protocol.Cancelled, 0)
	if len(f.replica.dependencies.nodes) != 0 {
		t.Errorf("%d nodes are left", len(f.replica.dependencies.nodes))
	}
}

// Jobs that the replica doesn't have count as not done until they are looked up.
func TestArchivedNeedsAreLookedUp(t *testing.T) {
	f := newReplicaFixture(t)
	f.accept("wk-4", "high", 0, "wk-1", "wk-2", "wk-3")
	if j := f.want("wk-4", protocol.Pending, 3); !j.NeedsUnknown || len(f.replica.dependencies.unknownJobs(9)) != 3 || !j.Ready.IsZero() {
		t.Errorf("%+v, %v", j.DependencyState, f.replica.dependencies.unknown)
	}
	finished := func(id, state string) lookupResult {
		return lookupResult{id: id, job: &Job{Spec: &protocol.JobSpec{ID: id}, RecordedState: state, State: state, Ended: baseTime}}
	}
	f.replica.applyLookups([]lookupResult{finished("wk-1", protocol.Done), {id: "wk-2", err: fmt.Errorf("no answer")}})
	f.want("wk-4", protocol.Pending, 2)
	f.replica.applyLookups([]lookupResult{finished("wk-2", protocol.Done), {id: "wk-3"}}) // wk-3 was never accepted, so wk-4 keeps waiting
	if j := f.want("wk-4", protocol.Pending, 1); j.NeedsUnknown || len(f.replica.dependencies.unknown) != 0 {
		t.Errorf("%+v, %v", j.DependencyState, f.replica.dependencies.unknown)
	}
	f.accept("wk-6", "high", 0, "wk-4", "wk-5")
	f.replica.applyLookups([]lookupResult{finished("wk-5", protocol.Cancelled)})
	f.want("wk-6", protocol.Cancelled, 2)
	f.want("wk-4", protocol.Pending, 1)
}

// Invalid records that name one another or themselves neither start nor end a job.
func TestCyclicNeeds(t *testing.T) {
	f := newReplicaFixture(t)
	f.accept("wk-1", "idle", 100, "wk-2", "wk-1")
	f.accept("wk-2", "high", 50, "wk-1")
	f.want("wk-1", protocol.Pending, 2)
	f.want("wk-2", protocol.Pending, 1)
	f.end("wk-1", protocol.Cancelled, 0)
	f.want("wk-2", protocol.Cancelled, 1)
}

// After any sequence of records, the graph must agree with a direct evaluation of all records.
func TestDependencyGraphMatchesRecords(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	priorities := []protocol.Priority{"idle", "normal", "high", "critical"}
	for round := range 60 {
		f := newReplicaFixture(t)
		var ids []string
		for step := range 150 {
			if rng.IntN(5) < 3 || len(ids) == 0 {
				id := fmt.Sprintf("wk-%d", rng.IntN(1_000_000))
				if f.records[id] != nil {
					continue
				}
				var needs []string
				for range rng.IntN(4) {
					if len(ids) > 0 {
						needs = append(needs, ids[max(0, len(ids)-1-rng.IntN(12))])
					}
				}
				slices.Sort(needs)
				f.accept(id, priorities[rng.IntN(4)], float64(rng.IntN(3)*100), slices.Compact(needs)...)
				ids = append(ids, id)
			} else {
				id := ids[rng.IntN(len(ids))]
				j := f.listener.jobs[id]
				switch {
				case final(j.RecordedState):
				case j.State == protocol.Cancelled:
					f.end(id, protocol.Cancelled, 0)
				case rng.IntN(3) == 0:
					f.end(id, protocol.Cancelled, 0)
				case j.WaitingOn == 0:
					f.end(id, protocol.Done, time.Duration(step)*time.Second)
				}
			}
		}
		wantState := map[string]string{}
		for _, id := range ids { // needed jobs come first
			r := f.records[id]
			wantState[id] = r.State
			for _, n := range f.listener.jobs[id].Spec.Needs {
				if wantState[n] == protocol.Cancelled && r.State == protocol.Pending {
					wantState[id] = protocol.Cancelled
				}
			}
		}
		wantRank, wantDeadline := map[string]int{}, map[string]time.Time{}
		for _, id := range slices.Backward(ids) {
			j := f.listener.jobs[id]
			u := f.replica.dependencies.urgencyOf(j)
			wantRank[id] = max(wantRank[id], u.Rank)
			if e := wantDeadline[id]; !u.Deadline.IsZero() && (e.IsZero() || u.Deadline.Before(e)) {
				wantDeadline[id] = u.Deadline
			}
			if wantState[id] != protocol.Pending {
				continue
			}
			for _, n := range j.Spec.Needs {
				wantRank[n] = max(wantRank[n], wantRank[id])
				if e := wantDeadline[id].Add(-expectedDuration(j)); !wantDeadline[id].IsZero() && (wantDeadline[n].IsZero() || e.Before(wantDeadline[n])) {
					wantDeadline[n] = e
				}
			}
		}
		for _, id := range ids {
			j, waits := f.listener.jobs[id], 0
			for _, n := range j.Spec.Needs {
				if wantState[n] != protocol.Done {
					waits++
				}
			}
			switch {
			case j.State != wantState[id]:
				t.Fatalf("round %d: %s is %s, the records say %s", round, id, j.State, wantState[id])
			case j.State == protocol.Pending && (j.WaitingOn != waits || j.Rank != wantRank[id] || !j.Deadline.Equal(wantDeadline[id]) || (waits == 0) != !j.Ready.IsZero()):
				t.Fatalf("round %d: %s is %+v, want waiting on %d, rank %d, deadline %v", round, id, j.DependencyState, waits, wantRank[id], wantDeadline[id])
			}
		}
	}
}

// In long chains and wide fans, the work is proportional to the number of jobs that change.
func TestLongChainsAndWideFans(t *testing.T) {
	const n = 4000
	f := newReplicaFixture(t)
	f.accept("wk-0", "idle", 0)
	for i := 1; i < n; i++ {
		f.accept(fmt.Sprintf("wk-%d", i), "idle", 0, fmt.Sprintf("wk-%d", i-1))
	}
	f.accept(fmt.Sprintf("wk-%d", n), "high", 1e6, fmt.Sprintf("wk-%d", n-1))
	if j := f.listener.jobs["wk-0"]; j.Rank != 2 || j.Filler {
		t.Errorf("the urgency did not reach the first job: %+v", j.DependencyState)
	}
	before := f.listener.notifications
	f.end("wk-0", protocol.Done, 0)
	if published := f.listener.notifications - before; published > 3 {
		t.Errorf("%d jobs were published after one ended, want at most 3", published)
	}
	f.end("wk-1", protocol.Cancelled, 0)
	f.want(fmt.Sprintf("wk-%d", n), protocol.Cancelled, 1)

	f = newReplicaFixture(t)
	f.accept("wk-0", "idle", 0)
	for i := 1; i < n; i++ {
		f.accept(fmt.Sprintf("wk-%d", i), "idle", 0, "wk-0")
	}
	before = f.listener.notifications
	f.end("wk-0", protocol.Done, 0)
	if published := f.listener.notifications - before; published != n {
		t.Errorf("%d jobs were published, want %d", published, n)
	}
	f.want("wk-1234", protocol.Pending, 0)
}
