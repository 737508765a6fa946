package bookkeeping

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// newEmulatedStore returns a store on a state service that commits *transactionsLeft transactions and refuses
// all later ones, with the smallest limits that daledyke accepts.
func newEmulatedStore(t *testing.T, transactionsLeft *int) *Store {
	return newStoreBehind(t, func(state http.Handler) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && r.URL.Path == "/multi" {
				if *transactionsLeft--; *transactionsLeft < 0 {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
			}
			state.ServeHTTP(w, r)
		}
	})
}

// newStoreBehind returns a store on a state service behind a handler, with the smallest limits that daledyke accepts.
func newStoreBehind(t *testing.T, handler func(state http.Handler) http.HandlerFunc) *Store {
	return newStoreWith(t, emulator.Limits{ValueKB: 2, WriteRPS: 10_000, TxnOps: 4}, handler)
}

// newStoreWith returns a store on a state service with these limits behind a handler.
func newStoreWith(t *testing.T, limits emulator.Limits, handler func(state http.Handler) http.HandlerFunc) *Store {
	state, err := emulator.NewState(t.Context(), limits, "")
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(handler(state.Handler("c0")))
	t.Cleanup(srv.Close)
	return NewStore(transport.NewState(transport.NetDialer(), strings.TrimPrefix(srv.URL, "http://"), 10_000, 10_000), limits.TxnOps, int(limits.ValueKB*1024))
}

// Accounts are set, replaced, and set to the first value again. They must survive if the drop of the parts of
// the first revision is applied only then. This failed when equal accounts had the same part keys in every
// revision.
func TestAccountsSurviveDelayedDrop(t *testing.T) {
	transactionsLeft := 1000
	st := newEmulatedStore(t, &transactionsLeft)
	set := func(limit float64) *Quotas {
		t.Helper()
		seen, err := st.Quotas(t.Context())
		if err == nil {
			err = st.SaveQuotas(t.Context(), seen, Quotas{Accounts: []quota.Account{{Name: "a/b", Limit: protocol.Room{Cores: limit}}}})
		}
		if err != nil {
			t.Fatal(err)
		}
		now, err := st.Quotas(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return now
	}
	first := set(8)
	set(16)
	set(8)
	for k := range first.PartCount { // what SaveQuotas drops, applied minutes later
		if err := st.commit(t.Context(), transport.Ordinary, time.Second, nil, protocol.Change{Drop: quotaKey(first.Sum, k)}); err != nil {
			t.Fatal(err)
		}
	}
	if q, err := st.Quotas(t.Context()); err != nil || len(q.Accounts) != 1 || q.Accounts[0].Limit.Cores != 8 || q.Revision != 3 {
		t.Errorf("%+v, %v", q, err)
	}
}

// A job with a long description that is cancelled with another one keeps a readable record wherever its
// archiving is interrupted. This failed when its description was dropped before its record said that the job
// is over: after a restart of all controllers the job was lost.
func TestInterruptedArchiveKeepsRecord(t *testing.T) {
	for after := range 8 {
		transactionsLeft := 1000
		st := newEmulatedStore(t, &transactionsLeft)
		spec := &protocol.JobSpec{ID: "wk-1", Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 4, Cores: 1, RAM: 1, Image: "img"}
		rng := rand.New(rand.NewPCG(1, 2))
		for range 700 {
			spec.Types = append(spec.Types, fmt.Sprintf("t%x", rng.Uint64()))
		}
		if err := st.CreateJob(t.Context(), spec, ""); err != nil {
			t.Fatal(err)
		}
		archive := func() {
			j, err := st.ReadJob(t.Context(), "wk-1")
			if err != nil || j == nil {
				t.Fatalf("interrupted after %d transactions: %+v, %v", after, j, err)
			}
			if j.Archived {
				return
			}
			if j.partCount < 5 && j.RecordedState == protocol.Pending {
				t.Fatalf("the description has %d parts, want at least 5", j.partCount)
			}
			j.State, j.CancelledWith = protocol.Cancelled, "wk-0" // a job that it needs
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			st.Archive(ctx, []*Job{j})
		}
		transactionsLeft = after
		archive()
		archive()
		transactionsLeft = 1000
		for range 3 {
			archive()
		}
		if j, err := st.ReadJob(t.Context(), "wk-1"); err != nil || j == nil || !j.Archived || j.RecordedState != protocol.Cancelled || j.CancelledWith != "wk-0" {
			t.Errorf("interrupted after %d transactions: %+v, %v", after, j, err)
		}
	}
}

// A write that is based on an outdated version, or that is applied late, must not replace newer results, slots,
// windows, sessions or jobs. The test fails if any one of the conditions is left out.
func TestStaleWritesAreRejected(t *testing.T) {
	transactionsLeft := 1000
	st := newEmulatedStore(t, &transactionsLeft)
	ctx := t.Context()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	wantConflict := func(what string, err error) {
		t.Helper()
		if !errors.Is(err, ErrConflict) {
			t.Errorf("%s: %v", what, err)
		}
	}
	// Results.
	spec := &protocol.JobSpec{ID: "wk-1", Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 3, Cores: 1, RAM: 1, Image: "img"}
	must(st.CreateJob(ctx, spec, ""))
	seen, err := st.ReadJob(ctx, "wk-1")
	must(err)
	st.Record(ctx, transport.Ordinary, []Outcome{{Job: seen, Tasks: []int{0}}})
	st.Record(ctx, transport.Ordinary, []Outcome{{Job: seen, Tasks: []int{1}}})       // based on the version from before the first result
	st.Record(ctx, transport.Ordinary, []Outcome{{Job: seen, Tasks: []int{0, 1, 2}}}) // also based on that version; it would end the job
	chunk, _, err := get[chunkRecord](ctx, st, transport.Ordinary, time.Second, resultKey("wk-1", 0))
	must(err)
	if chunk == nil || !bytes.Equal(chunk.Bits, []byte{1}) {
		t.Errorf("results were replaced: %+v", chunk)
	}
	if j, err := st.ReadJob(ctx, "wk-1"); err != nil || j.RecordedState != protocol.Pending {
		t.Errorf("the job was ended: %+v, %v", j, err)
	}
	// A cancellation without an answer must not be reported as done.
	transactionsLeft = 0
	if j, err := st.CancelJob(ctx, "wk-1"); err == nil {
		t.Errorf("reported as cancelled without an answer: %+v", j)
	}
	transactionsLeft = 1000
	// Slots and sessions.
	firstTerm, firstLease, _, err := st.Join(ctx, "c0", 10*time.Second)
	must(err)
	slotTerm, err := st.TakeSlots(ctx, "c0", firstTerm, []Claim{{Slot: 3}})
	must(err)
	if _, err := st.TakeSlots(ctx, "c0", firstTerm, []Claim{{Slot: 3}}); err == nil {
		t.Error("a held slot was taken as a free one")
	}
	rec, version, err := get[Slot](ctx, st, transport.Ordinary, time.Second, slotKey(3))
	must(err)
	change := SlotChange{Slot: 3, SeenVersion: version, Record: Slot{Holder: "c0", Incarnation: firstTerm, Term: rec.Term, RosterKnown: true}}
	must(st.ChangeSlots(ctx, transport.Ordinary, []SlotChange{change}))
	change.Record.Holder = ""
	wantConflict("releasing a slot by its former record", st.ChangeSlots(ctx, transport.Ordinary, []SlotChange{change}))
	secondTerm, secondLease, _, err := st.Join(ctx, "c0", 10*time.Second)
	must(err)
	wantConflict("updating the session of the previous process", st.UpdateMember(ctx, "c0", Member{Term: firstTerm, WorkersUnreachable: true}, firstLease))
	must(st.UpdateMember(ctx, "c0", Member{Term: secondTerm, WorkersUnreachable: true}, secondLease))
	seenSlot, version, err := get[Slot](ctx, st, transport.Ordinary, time.Second, slotKey(3))
	must(err)
	seenSlot.Version = version
	_, err = st.TakeSlots(ctx, "c1", secondTerm+9, []Claim{{Slot: 3, Seen: seenSlot, Former: "c0"}})
	wantConflict("taking a slot of a holder that has a session", err)
	if slotTerm >= secondTerm {
		t.Errorf("slot term %d is not below the later session term %d", slotTerm, secondTerm)
	}
	// Leaders and windows.
	must(st.Lead(ctx, nil, Leader{Name: "c0", Term: secondTerm}, secondLease))
	wantConflict("becoming leader as if there were none", st.Lead(ctx, nil, Leader{Name: "c0", Term: secondTerm}, secondLease))
	l, version, err := get[Leader](ctx, st, transport.Ordinary, time.Second, keyLeader)
	must(err)
	l.Version = version
	must(st.PublishWindow(ctx, l, nil, Window{Number: 1}))
	wantConflict("publishing a window as if there were none", st.PublishWindow(ctx, l, nil, Window{Number: 1}))
	w, err := st.ReadWindow(ctx)
	must(err)
	must(st.Lead(ctx, l, Leader{Name: "c0", Term: secondTerm}, secondLease))
	wantConflict("publishing a window under a former leader record", st.PublishWindow(ctx, l, w, Window{Number: 2}))
	// Machines.
	must(st.AddRentalBatch(ctx, transport.Ordinary, "b-1-1", RentalBatch{Type: "small", Machines: []string{"host-000001", "host-000002"}}))
	batch, version, err := get[RentalBatch](ctx, st, transport.Ordinary, time.Second, batchKey("b-1-1"))
	must(err)
	batch.Version = version
	must(st.DropMachines(ctx, map[string]bool{"host-000001": true}, map[string]*RentalBatch{"b-1-1": batch}))
	wantConflict("changing a batch by its former record", st.DropMachines(ctx, map[string]bool{"host-000002": true}, map[string]*RentalBatch{"b-1-1": batch}))
	must(st.AddRentalBatch(ctx, transport.Ordinary, "b-1-1", RentalBatch{Type: "small", Machines: []string{"host-000001", "host-000002"}}))
	if batch, _, err = get[RentalBatch](ctx, st, transport.Ordinary, time.Second, batchKey("b-1-1")); err != nil || len(batch.Machines) != 1 {
		t.Errorf("a batch was overwritten by a repeated registration: %+v, %v", batch, err)
	}
}
