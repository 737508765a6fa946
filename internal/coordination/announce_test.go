package coordination

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// fakeAnnouncer is a sibling that acknowledges cancellations unless it is unreachable.
type fakeAnnouncer struct {
	unreachable  bool
	acknowledged []string
}

func (a *fakeAnnouncer) Announce(_ context.Context, args AnnounceArgs) error {
	if a.unreachable {
		return errors.New("unreachable")
	}
	a.acknowledged = append(a.acknowledged, args.Cancelled...)
	return nil
}

// withSiblings runs a test body with a holder and two siblings that have sessions.
func withSiblings(t *testing.T, body func(t *testing.T, c *config.Config, h *Holder, siblings []*fakeAnnouncer)) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		siblings := []*fakeAnnouncer{{}, {}}
		c.Siblings = []config.Sibling{{Name: "c1"}, {Name: "c2"}}
		h.boundUntil = time.Time{}
		for k, s := range siblings {
			h.members[c.Siblings[k].Name] = &bookkeeping.Member{Generation: bookkeeping.Generation}
			h.announcers = append(h.announcers, s)
		}
		body(t, c, h, siblings)
	})
}

// mayTellUser reports whether a user is told that a job is cancelled, after all calls in flight have been
// handled.
func (h *Holder) mayTellUser(job string) bool {
	h.confirmation(job, time.Now())
	h.runQueuedAndTick()
	return h.confirmation(job, time.Now()).allowed
}

// A user is told once both siblings have acknowledged the cancellation. The holder waits for an unreachable
// sibling only for the configured time, and announces to it as soon as it is reachable.
func TestConfirmationWaitsForAcknowledgementOrTimeout(t *testing.T) {
	withSiblings(t, func(t *testing.T, c *config.Config, h *Holder, siblings []*fakeAnnouncer) {
		if !h.mayTellUser("wk-1") || !slices.Contains(siblings[0].acknowledged, "wk-1") || !slices.Contains(siblings[1].acknowledged, "wk-1") {
			t.Errorf("both siblings are reachable, but not told or without acknowledgements: %+v %+v", siblings[0], siblings[1])
		}
		siblings[1].unreachable = true
		began := time.Now()
		for !h.mayTellUser("wk-2") {
			if time.Since(began) > time.Minute {
				t.Fatal("the wait for an unreachable sibling does not end")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if waited := time.Since(began); waited < c.CancellationAckTimeout() || waited > c.CancellationAckTimeout()+time.Second {
			t.Errorf("waited for %v, want %v", waited, c.CancellationAckTimeout())
		}
		if h.mayTellUser("wk-3") {
			t.Error("the user was told although a sibling has not acknowledged")
		}
		siblings[1].unreachable = false
		time.Sleep(announceRetryInterval)
		h.runQueuedAndTick()
		if !h.mayTellUser("wk-3") || !slices.Contains(siblings[1].acknowledged, "wk-3") {
			t.Error("the user was not told although all siblings are reachable")
		}
	})
}

// The holder does not wait for a sibling that has no session or whose version cannot acknowledge.
func TestConfirmationIgnoresSiblingsThatCannotAcknowledge(t *testing.T) {
	withSiblings(t, func(t *testing.T, _ *config.Config, h *Holder, siblings []*fakeAnnouncer) {
		siblings[1].unreachable = true
		if h.mayTellUser("wk-1") {
			t.Error("the user was told although c2 has a session and has not acknowledged")
		}
		h.memberChanged("c2", nil)
		if !h.mayTellUser("wk-1") {
			t.Error("the user was not told although c2 no longer has a session")
		}
		h.memberChanged("c2", &bookkeeping.Member{Generation: bookkeeping.GenerationLongPromises})
		if !h.mayTellUser("wk-2") {
			t.Error("the user was not told although c2 is of the previous version")
		}
	})
}

// The next answer stops the tasks of a job whose cancellation a sibling announced, even if the records do not
// contain the cancellation yet.
func TestAnnouncedCancellationStopsTasks(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		if _, body := h.Report(runningReport(5, protocol.NewToken(7, 1), "wk-1/0")); len(stoppedTasks(body)) > 0 {
			t.Errorf("the answer stops %v, want none", stoppedTasks(body))
		}
		done := make(chan error, 1)
		go func() {
			done <- HolderRPC{h}.Announce(AnnounceArgs{Caller: "c1", Cancelled: []string{"wk-1"}}, &Nothing{})
		}()
		h.runQueuedAndTick()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		status, body := h.Report(runningReport(6, protocol.NewToken(7, 1), "wk-1/0"))
		if status != http.StatusOK || !slices.Equal(stoppedTasks(body), []string{"wk-1/0"}) {
			t.Errorf("status %d, the answer stops %v", status, stoppedTasks(body))
		}
	})
}

// While a status request waited for its read, another user was told that the job is cancelled, and this
// controller learned of it. The request must not be answered with the earlier state.
func TestStaleJobStateIsNotReportedOnceCancelled(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for {
				select {
				case call := <-h.inbox:
					call()
				case <-ctx.Done():
					return
				}
			}
		}()
		k := &Controller{holder: h}
		read := &jobStatus{job: pendingJob("wk-1")}
		if st, err := k.confirmedStatus(ctx, read); err != nil || st.Status != protocol.Pending {
			t.Fatalf("%+v, %v", st, err)
		}
		h.tell(func() { h.cancelled.Learn("wk-1", time.Now()) })
		if st, err := k.confirmedStatus(ctx, read); !errors.Is(err, ErrRetryLater) {
			t.Errorf("%+v, %v", st, err)
		}
	})
}
