package bookkeeping

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"daledyke/internal/emulator"
	"daledyke/internal/protocol"
)

// newWideStore returns a store on a state service whose limits on values and changes let a transaction of more than
// 64 KiB come about.
func newWideStore(t *testing.T) *Store {
	limits := emulator.Limits{ValueKB: 8, WriteRPS: 10_000, TxnOps: 48}
	return newStoreWith(t, limits, func(state http.Handler) http.HandlerFunc { return state.ServeHTTP })
}

// randomText returns a text that compresses badly.
func randomText(rng *rand.Rand, length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
	text := make([]byte, length)
	for k := range text {
		text[k] = letters[rng.IntN(len(letters))]
	}
	return string(text)
}

// Guards against transactions of more than 64 KiB, which the state service rejects: the largest submission that fits
// into a request is accepted.
func TestLargestDescriptionIsStored(t *testing.T) {
	st := newWideStore(t)
	rng := rand.New(rand.NewPCG(1, 2))
	spec := &protocol.JobSpec{ID: "wk-1", Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 1, Cores: 1, RAM: 1}
	spec.Image = randomText(rng, protocol.MaxBody-encodedSize(spec))
	if raw, err := json.Marshal(spec); err != nil || len(raw) != protocol.MaxBody {
		t.Fatal(len(raw), err)
	}
	if err := st.CreateJob(t.Context(), spec, ""); err != nil {
		t.Fatal(err)
	}
	if j, err := st.ReadJob(t.Context(), "wk-1"); err != nil || j == nil || j.Spec.Image != spec.Image {
		t.Errorf("read back as %+v, %v", j, err)
	}
}

// Guards against the same where many jobs with long records are archived at once.
func TestLongRecordsAreArchived(t *testing.T) {
	st := newWideStore(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var jobs []*Job
	for n := range 20 {
		spec := &protocol.JobSpec{ID: fmt.Sprintf("wk-%d", n), Class: randomText(rng, 7000), Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 1}
		if err := st.CreateJob(t.Context(), spec, ""); err != nil {
			t.Fatal(err)
		}
		j, err := st.CancelJob(t.Context(), spec.ID)
		if err == nil {
			j, err = st.ReadJob(t.Context(), spec.ID)
		}
		if err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, j)
	}
	st.Archive(t.Context(), jobs)
	for _, j := range jobs {
		if now, err := st.ReadJob(t.Context(), j.Spec.ID); err != nil || !now.Archived {
			t.Errorf("%s is archived: %v, %v", j.Spec.ID, now != nil && now.Archived, err)
		}
	}
}
