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

// acknowledger is a sibling that acknowledges cancellations, unless it can't be reached.
type acknowledger struct {
	away  bool
	knows []string
}

func (a *acknowledger) Announce(_ context.Context, args AnnounceArgs) error {
	if a.away {
		return errors.New("can't be reached")
	}
	a.knows = append(a.knows, args.Cancelled...)
	return nil
}

// withSiblings has a test play with a holder and two siblings that have sessions.
func withSiblings(t *testing.T, play func(t *testing.T, c *config.Config, h *Holder, siblings []*acknowledger)) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		siblings := []*acknowledger{{}, {}}
		c.Siblings = []config.Sibling{{Name: "c1"}, {Name: "c2"}}
		h.boundUntil = time.Time{}
		for k, s := range siblings {
			h.members[c.Siblings[k].Name] = &bookkeeping.Member{Generation: bookkeeping.Generation}
			h.announcers = append(h.announcers, s)
		}
		play(t, c, h, siblings)
	})
}

// may tells whether a user who asks now is told that a job is cancelled, once all that is under way
// has come.
func (h *Holder) may(job string) bool {
	h.confirmation(job, time.Now())
	h.told()
	return h.confirmation(job, time.Now()).may
}

// A user is told once both siblings acknowledged; one that can't be reached is waited for, for as long
// as the settings say and no longer, and hears of it as soon as it can be reached.
func TestUsersAreToldOnceSiblingsAcknowledged(t *testing.T) {
	withSiblings(t, func(t *testing.T, c *config.Config, h *Holder, siblings []*acknowledger) {
		if !h.may("wk-1") || !slices.Contains(siblings[0].knows, "wk-1") || !slices.Contains(siblings[1].knows, "wk-1") {
			t.Errorf("both answer: %+v %+v", siblings[0], siblings[1])
		}
		siblings[1].away = true
		began := time.Now()
		for !h.may("wk-2") {
			if time.Since(began) > time.Minute {
				t.Fatal("one that is away is waited for for ever")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if waited := time.Since(began); waited < c.AnnounceFor() || waited > c.AnnounceFor()+time.Second {
			t.Errorf("waited for %v, not for %v", waited, c.AnnounceFor())
		}
		if h.may("wk-3") {
			t.Error("told though one does not know")
		}
		siblings[1].away = false
		time.Sleep(announceEvery)
		h.told()
		if !h.may("wk-3") || !slices.Contains(siblings[1].knows, "wk-3") {
			t.Error("not told though all know by now")
		}
	})
}

// Who has no session, or is of a version that can't acknowledge, is not waited for.
func TestOnlySiblingsThatMayActAreWaitedFor(t *testing.T) {
	withSiblings(t, func(t *testing.T, _ *config.Config, h *Holder, siblings []*acknowledger) {
		siblings[1].away = true
		if h.may("wk-1") {
			t.Error("told though c2 has a session and does not know")
		}
		h.memberChanged("c2", nil)
		if !h.may("wk-1") {
			t.Error("c2 has no session any more")
		}
		h.memberChanged("c2", &bookkeeping.Member{Generation: bookkeeping.GenerationLongPromises})
		if !h.may("wk-2") {
			t.Error("c2 is of the version before")
		}
	})
}

// What a sibling announces is stopped by the next answer, also while the records know nothing of it.
func TestWhatIsAnnouncedIsStopped(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		if _, body := h.Report(running(5, protocol.NewToken(7, 1), "wk-1/0")); len(stopped(body)) > 0 {
			t.Errorf("stops %v", stopped(body))
		}
		done := make(chan error, 1)
		go func() {
			done <- HolderRPC{h}.Announce(AnnounceArgs{Caller: "c1", Cancelled: []string{"wk-1"}}, &Nothing{})
		}()
		h.told()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		status, body := h.Report(running(6, protocol.NewToken(7, 1), "wk-1/0"))
		if status != http.StatusOK || !slices.Equal(stopped(body), []string{"wk-1/0"}) {
			t.Errorf("%d, stops %v", status, stopped(body))
		}
	})
}

// A question waited for its read while another user was told that the job is cancelled, which this
// controller knows by then: it is not answered with the state as it was before.
func TestNoJobIsCalledUnfinishedThatIsKnownToBeCancelled(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for {
				select {
				case f := <-h.inbox:
					f()
				case <-ctx.Done():
					return
				}
			}
		}()
		k := &Controller{holder: h}
		asked := &standing{job: pendingJob("wk-1")}
		if st, err := k.confirm(ctx, asked); err != nil || st.Status != protocol.Pending {
			t.Fatalf("%+v, %v", st, err)
		}
		h.tell(func() { h.cancelled.Learn("wk-1", time.Now()) })
		if st, err := k.confirm(ctx, asked); !errors.Is(err, ErrLater) {
			t.Errorf("%+v, %v", st, err)
		}
	})
}
