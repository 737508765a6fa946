package bookkeeping

import (
	"context"
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
