package coordination

import (
	"context"
	"log/slog"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/membership"
)

// This file announces cancellations to siblings. Before a user is told that a job is cancelled, each sibling
// that may act must have acknowledged the cancellation, or a timeout must have passed (invariant 9). Without
// announcements, a holder that had not learned of a cancellation kept starting and renewing the job's tasks for
// most of the time in which they must end.

// AnnounceArgs names jobs that are cancelled.
type AnnounceArgs struct {
	Caller    string
	Cancelled []string
}

// AnnounceCaller calls a sibling to announce cancellations.
type AnnounceCaller interface {
	Announce(ctx context.Context, a AnnounceArgs) error
}

// announceRetryInterval is the delay before a failed announcement to a sibling is sent again. confirmTimeout
// is how long one request of a user waits for acknowledgements; users repeat the request after a second.
const (
	announceRetryInterval = 300 * time.Millisecond
	confirmTimeout        = time.Second
)

func (p holderPeer) Announce(ctx context.Context, a AnnounceArgs) error {
	return p.Call(ctx, membership.RequestTimeout, holderServiceName+".Announce", a, &Nothing{})
}

// Announce records jobs that a sibling knows to be cancelled. It returns once no answer or command of this
// holder renews or starts their tasks any more.
func (r HolderRPC) Announce(a AnnounceArgs, _ *Nothing) error {
	if !r.h.ask(r.h.ctx, func() { r.h.learnCancelled(a.Cancelled, time.Now()) }) {
		return errControllerEnded
	}
	return nil
}

// learnCancelled records that jobs are cancelled.
func (h *Holder) learnCancelled(jobs []string, now time.Time) {
	for _, job := range jobs {
		if h.cancelled.Learn(job, now) {
			h.changedJobs[job] = true
		}
	}
}

// announcementState is the state of the announcements to one sibling.
type announcementState struct {
	inFlight bool
	retryAt  time.Time
}

// confirmation contains whether users may be told that a job is cancelled. If that is not yet allowed, changed
// is closed when the result may differ; changed is nil if acknowledgements would make no difference.
type confirmation struct {
	allowed bool
	changed <-chan struct{}
}

// confirmCancelled reports whether a user may be told that a job is cancelled. It waits up to confirmTimeout
// for siblings to acknowledge the cancellation.
func (h *Holder) confirmCancelled(ctx context.Context, job string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		// The holder learns of the cancellation and announces it even if the user gives up.
		c, ok := submitFor(ctx, &h.actor, func() confirmation { return h.confirmation(job, time.Now()) })
		if !ok || c.allowed || c.changed == nil {
			return ok && c.allowed
		}
		select {
		case <-c.changed:
		case <-ctx.Done():
			return false
		}
	}
}

// confirmation decides whether users may be told that a job is cancelled, and announces the cancellation if
// necessary.
func (h *Holder) confirmation(job string, now time.Time) confirmation {
	if !h.mayConfirm(job) {
		return confirmation{}
	}
	knownSince, ackTimeout := h.cancelled.KnownSince(job), h.cfg.CancellationAckTimeout()
	if membership.AnnouncementDone(knownSince, false, ackTimeout, now) {
		return confirmation{allowed: true}
	}
	if h.announcements.Begin(job, h.announcementTargets()) {
		h.sendAnnouncements(now)
	}
	if complete := h.announcements.Complete(job, h.acceptsAnnouncements); membership.AnnouncementDone(knownSince, complete, ackTimeout, now) {
		return confirmation{allowed: true}
	}
	return confirmation{changed: h.acknowledged}
}

// acceptsAnnouncements reports whether a sibling has a session and its version supports announcements.
func (h *Holder) acceptsAnnouncements(sibling string) bool {
	m := h.members[sibling]
	return m != nil && m.Generation >= bookkeeping.GenerationCancelNotices
}

// announcementTargets returns the siblings to which cancellations are announced.
func (h *Holder) announcementTargets() (names []string) {
	for _, s := range h.cfg.Siblings {
		if h.acceptsAnnouncements(s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// memberChanged updates a controller's session; m is nil once the session has ended.
func (h *Holder) memberChanged(name string, m *bookkeeping.Member) {
	if m == nil {
		delete(h.members, name)
	} else {
		h.members[name] = m
	}
	h.wakeConfirmations() // a sibling whose session ended need not acknowledge
}

// sendAnnouncements sends each sibling the cancellations that it has not acknowledged, with at most one request
// in flight per sibling.
func (h *Holder) sendAnnouncements(now time.Time) {
	for k, announcer := range h.announcers {
		name := h.cfg.Siblings[k].Name
		state := h.announcing[name]
		if state.inFlight || now.Before(state.retryAt) || !h.acceptsAnnouncements(name) {
			continue
		}
		jobs := h.announcements.Due(name)
		if len(jobs) == 0 {
			continue
		}
		h.announcing[name] = announcementState{inFlight: true}
		go func() {
			err := announcer.Announce(h.ctx, AnnounceArgs{Caller: h.cfg.Name, Cancelled: jobs})
			h.tell(func() { h.announcementAnswered(name, jobs, err) })
		}()
	}
}

// announcementAnswered handles the result of an announcement of jobs to a sibling.
func (h *Holder) announcementAnswered(name string, jobs []string, err error) {
	now := time.Now()
	if err != nil {
		slog.Debug("cancellations not acknowledged", "by", name, "jobs", len(jobs), "err", err)
		h.announcing[name] = announcementState{retryAt: now.Add(announceRetryInterval)}
		return
	}
	h.announcing[name] = announcementState{}
	h.announcements.Acknowledge(name, jobs)
	h.wakeConfirmations()
	h.sendAnnouncements(now)
}

// wakeConfirmations makes all requests that wait for acknowledgements check again.
func (h *Holder) wakeConfirmations() {
	close(h.acknowledged)
	h.acknowledged = make(chan struct{})
}

// retryAnnouncements sends unacknowledged cancellations again, and drops those whose timeout has passed.
func (h *Holder) retryAnnouncements(now time.Time) {
	h.announcements.Forget(func(job string) bool {
		return now.Sub(h.cancelled.KnownSince(job)) >= h.cfg.CancellationAckTimeout()
	})
	h.sendAnnouncements(now)
}
