package bookkeeping

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"daledyke/internal/protocol"
)

// A roster is stored in one value, so a thousand machines must fit easily into the smallest known limit (8 KiB),
// however high their numbers are.
func TestRosterRoundTripIsSmall(t *testing.T) {
	r := Roster{}
	for n := range uint64(1000) {
		r[4_000_000+n*42] = true
	}
	raw, err := json.Marshal(Slot{Holder: "c0", Roster: r})
	if err != nil || len(raw) > 4096 {
		t.Fatalf("%d bytes, %v", len(raw), err)
	}
	var back Slot
	if err := json.Unmarshal(raw, &back); err != nil || !maps.Equal(back.Roster, r) {
		t.Errorf("%d machines after the round trip, %v", len(back.Roster), err)
	}
}

func TestRentalBatchesAreOfOneKindAndBounded(t *testing.T) {
	var ms []Machine
	for n := range 120 {
		ms = append(ms, Machine{ID: fmt.Sprintf("host-%03d", n), Type: "small", Zone: []string{"a", "b"}[n%2]})
	}
	total := 0
	for _, batch := range RentalBatches(ms) {
		total += len(batch.Machines)
		if len(batch.Machines) > protocol.MaxRent {
			t.Errorf("a batch has %d machines", len(batch.Machines))
		}
	}
	if total != len(ms) {
		t.Errorf("%d of %d machines are in batches", total, len(ms))
	}
}

// machineListener is a listener that records only machines.
type machineListener struct {
	Listener
	machines map[string]bool
}

func (h *machineListener) RentalBatchChanged(string, *RentalBatch) {}
func (h *machineListener) JobChanged(*Job)                         {}
func (h *machineListener) MachineChanged(id string, m *Machine) {
	if m == nil {
		delete(h.machines, id)
	} else {
		h.machines[id] = true
	}
}

// A machine that two controllers found at once is in two batches. It is removed only when both batches have
// dropped it, since no controller waits for a machine that was reported as removed.
func TestMachineRemovedWithLastBatch(t *testing.T) {
	h := &machineListener{machines: map[string]bool{}}
	r := NewReplica(nil, nil, nil, h, nil)
	batch := func(name string, version uint64, ids ...string) {
		raw, _ := json.Marshal(RentalBatch{Type: "small", Zone: "a", Machines: ids, RentedMs: time.Now().UnixMilli()})
		r.apply(batchKey(name), len(ids) == 0, raw, version)
	}
	for i, step := range []struct {
		do   func()
		want []string
	}{
		{func() { batch("b-1-1", 1, "h1", "h2") }, []string{"h1", "h2"}},
		{func() { batch("h-2-1", 2, "h2", "h3") }, []string{"h1", "h2", "h3"}},
		{func() { batch("b-1-1", 3, "h1") }, []string{"h1", "h2", "h3"}},
		{func() { batch("b-1-1", 1, "h1", "h2") }, []string{"h1", "h2", "h3"}}, // an outdated event
		{func() { batch("h-2-1", 4, "h3") }, []string{"h1", "h3"}},
		{func() { batch("b-1-1", 5) }, []string{"h3"}},
	} {
		step.do()
		want := map[string]bool{}
		for _, id := range step.want {
			want[id] = true
		}
		if !reflect.DeepEqual(h.machines, want) {
			t.Errorf("step %d: %v, want %v", i, h.machines, step.want)
		}
	}
}

// The number of finished jobs that a controller keeps is bounded; unfinished jobs are all kept.
func TestKeptFinishedJobsAreBounded(t *testing.T) {
	r := NewReplica(nil, func(*protocol.JobSpec) RingPosition { return RingPosition{Token: 0, Blocks: 1} }, func(*Job) Urgency { return Urgency{} }, &machineListener{}, nil)
	record := func(id, state string) []byte {
		raw, _ := json.Marshal(jobRecord{Spec: &protocol.JobSpec{ID: id, Tasks: 1}, State: state})
		return raw
	}
	for n := range uint64(maxFinishedJobs + 500) {
		id := fmt.Sprintf("wk-%d", n)
		r.apply(jobKey(id), false, record(id, protocol.Pending), 3*n+1)
		if n%2 == 0 {
			r.apply(archiveKey(id), false, record(id, protocol.Done), 3*n+2)
			r.apply(jobKey(id), true, nil, 3*n+2)
		}
	}
	for n := range uint64(maxFinishedJobs) {
		id := fmt.Sprintf("wk-x%d", n)
		r.apply(archiveKey(id), false, record(id, protocol.Cancelled), 100_000+n)
	}
	if want := maxFinishedJobs + (maxFinishedJobs+500)/2; len(r.jobs) != want || len(r.finished) != maxFinishedJobs {
		t.Errorf("%d jobs kept, want %d", len(r.jobs), want)
	}
	// Finished jobs that an unfinished job needs are kept too.
	f := newReplicaFixture(t)
	f.accept("wk-a", "idle", 0)
	f.accept("wk-c", "idle", 0)
	f.accept("wk-b", "idle", 0, "wk-a", "wk-c")
	f.end("wk-a", protocol.Done, 0)
	for n := range maxFinishedJobs + 10 {
		id := fmt.Sprintf("wk-%d", n)
		f.accept(id, "idle", 0)
		f.end(id, protocol.Done, 0)
	}
	if j := f.replica.jobs["wk-a"]; j == nil || !j.HasDependents || len(f.replica.finished) > maxFinishedJobs+1 {
		t.Errorf("%+v, %d finished jobs kept", j, len(f.replica.finished))
	}
	f.end("wk-c", protocol.Done, 0)
	f.end("wk-b", protocol.Done, 0)
	if f.listener.jobs["wk-a"].HasDependents {
		t.Error("the listener did not hear that no job needs wk-a any more")
	}
}
