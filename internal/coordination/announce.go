package coordination

import (
	"context"
	"log/slog"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/membership"
)

// Announcing cancellations: before a user is told that a job is cancelled, each sibling that may act
// acknowledges it, or is waited for long enough (invariant 9). Once a holder that did not hear of a
// cancellation went on starting and renewing its tasks for most of the time that they may remain.

// AnnounceArgs name jobs that are cancelled.
type AnnounceArgs struct {
	Caller    string
	Cancelled []string
}

// AnnounceCaller reaches a sibling that is told of cancellations.
type AnnounceCaller interface {
	Announce(ctx context.Context, a AnnounceArgs) error
}

// announceEvery is how soon a sibling that did not acknowledge is asked again, announceWait for how
// long one question of a user waits for siblings: users ask again after a second.
const (
	announceEvery = 300 * time.Millisecond
	announceWait  = time.Second
)

func (p holderPeer) Announce(ctx context.Context, a AnnounceArgs) error {
	return p.Call(ctx, membership.RequestTimeout, rpcName+".Announce", a, &Nothing{})
}

// Announce takes in which jobs a sibling knows to be cancelled; it returns once no answer or command
// of this holder's renews or starts their tasks any more.
func (r HolderRPC) Announce(a AnnounceArgs, _ *Nothing) error {
	if !r.h.ask(r.h.ctx, func() { r.h.learnCancelled(a.Cancelled, time.Now()) }) {
		return errNotNow
	}
	return nil
}

// learnCancelled takes in that jobs are cancelled.
func (h *Holder) learnCancelled(jobs []string, now time.Time) {
	for _, job := range jobs {
		if h.cancelled.Learn(job, now) {
			h.changedJobs[job] = true
		}
	}
}

// announcing is the state of the announcements to one sibling.
type announcing struct {
	underWay bool
	holdOff  time.Time
}

// confirmation tells whether users may be told that a job is cancelled. If not yet, changed is
// closed when that may be different; nil if nothing that is waited for here stands against it.
type confirmation struct {
	may     bool
	changed <-chan struct{}
}

// confirmCancelled tells whether a user may be told that a job is cancelled; it waits a moment for
// siblings to acknowledge it.
func (h *Holder) confirmCancelled(ctx context.Context, job string) bool {
	ctx, cancel := context.WithTimeout(ctx, announceWait)
	defer cancel()
	for {
		c, ok := askFor(ctx, &h.actor, func() confirmation { return h.confirmation(job, time.Now()) })
		if !ok || c.may || c.changed == nil {
			return ok && c.may
		}
		select {
		case <-c.changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (h *Holder) confirmation(job string, now time.Time) confirmation {
	if !h.mayConfirm(job) {
		return confirmation{}
	}
	known, waitFor := h.cancelled.KnownSince(job), h.cfg.AnnounceFor()
	if membership.MayTell(known, false, waitFor, now) {
		return confirmation{may: true}
	}
	if h.announcements.Begin(job, h.audience()) {
		h.announce(now)
	}
	if complete := h.announcements.Complete(job, h.hears); membership.MayTell(known, complete, waitFor, now) {
		return confirmation{may: true}
	}
	return confirmation{changed: h.acknowledged}
}

// hears tells whether a sibling has a session and understands announcements.
func (h *Holder) hears(sibling string) bool {
	m := h.members[sibling]
	return m != nil && m.Generation >= bookkeeping.GenerationCancelNotices
}

// audience are the siblings that announcements go to.
func (h *Holder) audience() (names []string) {
	for _, s := range h.cfg.Siblings {
		if h.hears(s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// memberChanged takes in a controller's session, nil once it has ended.
func (h *Holder) memberChanged(name string, m *bookkeeping.Member) {
	if m == nil {
		delete(h.members, name)
	} else {
		h.members[name] = m
	}
	h.wakeConfirmations() // one whose session ended is not waited for
}

// announce sends each sibling what it has not acknowledged, one request at a time.
func (h *Holder) announce(now time.Time) {
	for k, to := range h.announcers {
		name := h.cfg.Siblings[k].Name
		state := h.announcing[name]
		if state.underWay || now.Before(state.holdOff) || !h.hears(name) {
			continue
		}
		jobs := h.announcements.Due(name)
		if len(jobs) == 0 {
			continue
		}
		h.announcing[name] = announcing{underWay: true}
		go func() {
			err := to.Announce(h.ctx, AnnounceArgs{Caller: h.cfg.Name, Cancelled: jobs})
			h.tell(func() { h.announced(name, jobs, err) })
		}()
	}
}

// announced takes in whether a sibling acknowledged jobs.
func (h *Holder) announced(name string, jobs []string, err error) {
	now := time.Now()
	if err != nil {
		slog.Debug("cancellations not acknowledged", "by", name, "jobs", len(jobs), "err", err)
		h.announcing[name] = announcing{holdOff: now.Add(announceEvery)}
		return
	}
	h.announcing[name] = announcing{}
	h.announcements.Acknowledge(name, jobs)
	h.wakeConfirmations()
	h.announce(now)
}

// wakeConfirmations has all who wait for acknowledgements look again.
func (h *Holder) wakeConfirmations() {
	close(h.acknowledged)
	h.acknowledged = make(chan struct{})
}

// retryAnnouncements repeats what was not acknowledged, and drops what nobody waits for any more.
func (h *Holder) retryAnnouncements(now time.Time) {
	h.announcements.Forget(func(job string) bool {
		return now.Sub(h.cancelled.KnownSince(job)) >= h.cfg.AnnounceFor()
	})
	h.announce(now)
}
