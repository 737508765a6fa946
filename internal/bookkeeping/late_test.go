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

// served is a store over a state service that carries out so many transactions and refuses all
// later ones, with the smallest limits that daledyke takes.
func served(t *testing.T, most *int) *Store {
	limits := emulator.Limits{ValueKB: 2, WriteRPS: 10_000, TxnOps: 4}
	state, err := emulator.NewState(t.Context(), limits, "")
	if err != nil {
		t.Fatal(err)
	}
	h := state.Handler("c0")
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/multi" {
			if *most--; *most < 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return NewStore(transport.NewState(transport.NetDialer(), strings.TrimPrefix(srv.URL, "http://"), 10_000, 10_000), limits.TxnOps, int(limits.ValueKB*1024))
}

// Accounts that are set, replaced and set again are still there when the drop of what they stood
// in the first time is carried out late. (Once both times stood in the same parts.)
func TestAccountsSetAgainOutliveALateDrop(t *testing.T) {
	most := 1000
	st := served(t, &most)
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
	for k := range first.Of { // as SaveQuotas drops them, minutes later
		if err := st.commit(t.Context(), transport.Ordinary, time.Second, nil, protocol.Change{Drop: quotaKey(first.Sum, k)}); err != nil {
			t.Fatal(err)
		}
	}
	if q, err := st.Quotas(t.Context()); err != nil || len(q.Accounts) != 1 || q.Accounts[0].Limit.Cores != 8 || q.Revision != 3 {
		t.Errorf("%+v, %v", q, err)
	}
}

// A job with a long description that is cancelled with another one keeps a record that can be
// read wherever its archiving ends. (Once its description was dropped before its record said
// that the job is over: after a restart of all it was never heard of again.)
func TestArchivingMayEndAnywhere(t *testing.T) {
	for after := range 8 {
		most := 1000
		st := served(t, &most)
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
				t.Fatalf("after %d transactions: %+v, %v", after, j, err)
			}
			if j.Archived {
				return
			}
			if j.parts < 5 && j.Record == protocol.Pending {
				t.Fatalf("it stands in %d parts", j.parts)
			}
			j.State, j.With = protocol.Cancelled, "wk-0" // which it needs
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			st.Archive(ctx, []*Job{j})
		}
		most = after
		archive()
		archive()
		most = 1000
		for range 3 {
			archive()
		}
		if j, err := st.ReadJob(t.Context(), "wk-1"); err != nil || j == nil || !j.Archived || j.Record != protocol.Cancelled || j.With != "wk-0" {
			t.Errorf("after %d transactions: %+v, %v", after, j, err)
		}
	}
}

// What a controller writes by what it saw a while ago, or what is carried out a while after, never
// takes the place of what is newer: of results, slots, windows, sessions and jobs. (Seen with each
// condition left out.)
func TestNoWriterReplacesWhatIsNewer(t *testing.T) {
	most := 1000
	st := served(t, &most)
	ctx := t.Context()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	refused := func(what string, err error) {
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
	st.Record(ctx, transport.Ordinary, []Outcome{{Job: seen, Tasks: []int{1}}})       // by what it saw before
	st.Record(ctx, transport.Ordinary, []Outcome{{Job: seen, Tasks: []int{0, 1, 2}}}) // ends it, likewise
	chunk, _, err := get[chunkRecord](ctx, st, transport.Ordinary, time.Second, resultKey("wk-1", 0))
	must(err)
	if chunk == nil || !bytes.Equal(chunk.Bits, []byte{1}) {
		t.Errorf("results: %+v", chunk)
	}
	if j, err := st.ReadJob(ctx, "wk-1"); err != nil || j.Record != protocol.Pending {
		t.Errorf("the job: %+v, %v", j, err)
	}
	// A cancellation of which nothing was heard is not told.
	most = 0
	if j, err := st.CancelJob(ctx, "wk-1"); err == nil {
		t.Errorf("cancelled without an answer: %+v", j)
	}
	most = 1000
	// Slots and sessions.
	inc, lease, _, err := st.Join(ctx, "c0", 10*time.Second)
	must(err)
	term, err := st.TakeSlots(ctx, "c0", inc, []Claim{{Slot: 3}})
	must(err)
	if _, err := st.TakeSlots(ctx, "c0", inc, []Claim{{Slot: 3}}); err == nil {
		t.Error("a slot that is held was taken as a free one")
	}
	rec, version, err := get[Slot](ctx, st, transport.Ordinary, time.Second, slotKey(3))
	must(err)
	to := SlotChange{Slot: 3, Seen: version, To: Slot{Holder: "c0", Incarnation: inc, Term: rec.Term, Listed: true}}
	must(st.ChangeSlots(ctx, transport.Ordinary, []SlotChange{to}))
	to.To.Holder = ""
	refused("a slot given up by its former record", st.ChangeSlots(ctx, transport.Ordinary, []SlotChange{to}))
	again, newer, _, err := st.Join(ctx, "c0", 10*time.Second)
	must(err)
	refused("a session's record of the process before", st.UpdateMember(ctx, "c0", Member{Term: inc, WorkersUnreachable: true}, lease))
	must(st.UpdateMember(ctx, "c0", Member{Term: again, WorkersUnreachable: true}, newer))
	seenSlot, version, err := get[Slot](ctx, st, transport.Ordinary, time.Second, slotKey(3))
	must(err)
	seenSlot.Version = version
	_, err = st.TakeSlots(ctx, "c1", again+9, []Claim{{Slot: 3, Seen: seenSlot, Former: "c0"}})
	refused("a slot of one that has a session", err)
	if term >= again {
		t.Errorf("terms %d, %d", term, again)
	}
	// Leaders and windows.
	must(st.Lead(ctx, nil, Leader{Name: "c0", Term: again}, newer))
	refused("a leader in place of none", st.Lead(ctx, nil, Leader{Name: "c0", Term: again}, newer))
	l, version, err := get[Leader](ctx, st, transport.Ordinary, time.Second, keyLeader)
	must(err)
	l.Version = version
	must(st.PublishWindow(ctx, l, nil, Window{Number: 1}))
	refused("a window in place of none", st.PublishWindow(ctx, l, nil, Window{Number: 1}))
	w, err := st.ReadWindow(ctx)
	must(err)
	must(st.Lead(ctx, l, Leader{Name: "c0", Term: again}, newer))
	refused("a window of a former leader", st.PublishWindow(ctx, l, w, Window{Number: 2}))
	// Machines.
	must(st.AddRentalBatch(ctx, transport.Ordinary, "b-1-1", RentalBatch{Type: "small", Machines: []string{"host-000001", "host-000002"}}))
	batch, version, err := get[RentalBatch](ctx, st, transport.Ordinary, time.Second, batchKey("b-1-1"))
	must(err)
	batch.Version = version
	must(st.DropMachines(ctx, map[string]bool{"host-000001": true}, map[string]*RentalBatch{"b-1-1": batch}))
	refused("a batch by its former record", st.DropMachines(ctx, map[string]bool{"host-000002": true}, map[string]*RentalBatch{"b-1-1": batch}))
	must(st.AddRentalBatch(ctx, transport.Ordinary, "b-1-1", RentalBatch{Type: "small", Machines: []string{"host-000001", "host-000002"}}))
	if batch, _, err = get[RentalBatch](ctx, st, transport.Ordinary, time.Second, batchKey("b-1-1")); err != nil || len(batch.Machines) != 1 {
		t.Errorf("a batch that was written once more: %+v, %v", batch, err)
	}
}
