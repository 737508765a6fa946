package coordination

import (
	"bytes"
	"context"
	"encoding/gob"
	"net/http"
	"slices"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/membership"
	"daledyke/internal/protocol"
)

// runningReport returns a machine's report that contains running tasks.
func runningReport(ticket uint64, token protocol.Token, tasks ...string) *protocol.Report {
	r := testReport(1, ticket, token)
	for _, t := range tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t, Attempt: 3, State: protocol.TaskRunning})
	}
	return r
}

func pendingJob(id string) *bookkeeping.Job {
	return &bookkeeping.Job{Spec: &protocol.JobSpec{ID: id, Tasks: 4}, State: protocol.Pending}
}

// stoppedTasks returns the tasks that an answer stops.
func stoppedTasks(body any) (tasks []string) {
	a, _ := body.(protocol.ReportAnswer)
	for _, c := range a.Commands {
		if c.Verb == protocol.VerbStop && c.Attempt == 3 && *c.GraceS == 0 {
			tasks = append(tasks, c.Task)
		}
	}
	return tasks
}

// A holder whose session is renewed but whose records are stale answers its machines only while every task that
// it renews is certain to end within the deadline of a cancellation that it has not learned of.
func TestSessionRenewalDoesNotAdvanceWatermark(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		lastAnswered := time.Duration(0)
		for n := range uint64(20) {
			if status, _ := h.Report(runningReport(5+n, protocol.NewToken(7, 1), "wk-1/0")); status == http.StatusOK {
				lastAnswered = time.Since(s.adopted)
			}
			time.Sleep(2 * time.Second)
		}
		limit := protocol.Seconds(c.Deployment.Workers.CancelS) - c.WorkerLease()
		if lastAnswered > limit || lastAnswered < limit-3*time.Second {
			t.Errorf("answered for %v, limit %v", lastAnswered, limit)
		}
		h.synced(time.Now())
		if status, _ := h.Report(runningReport(90, protocol.NewToken(7, 1), "wk-1/0")); status != http.StatusOK {
			t.Errorf("status with fresh records: %d", status)
		}
	})
}

// An answer stops all tasks of jobs known to be cancelled, including those that the report does not contain but
// that a start in flight may have created. Its token is then newer than that of the start in flight. Other
// running tasks are unaffected.
func TestAnswerStopsCancelledTasks(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		for _, id := range []string{"wk-1", "wk-2", "wk-3"} {
			h.jobs[id] = pendingJob(id)
		}
		_, body := h.Report(runningReport(5, protocol.NewToken(7, 1), "wk-1/0", "wk-2/0"))
		if got := stoppedTasks(body); len(got) > 0 {
			t.Errorf("the answer stops %v, want none", got)
		}
		w := h.workersByID["host-000004"]
		w.commandInFlight = true // a direct command stays in flight
		w.entries["wk-3/1"] = &entry{task: "wk-3/1", job: "wk-3", index: 1, attempt: 3, state: board.TaskStarting, startToken: protocol.NewToken(7, w.tokenSeq)}
		inFlight := protocol.NewToken(7, w.tokenSeq)
		cancelled := *h.jobs["wk-1"]
		cancelled.RecordedState, cancelled.State = protocol.Cancelled, protocol.Cancelled
		h.jobChanged(&cancelled)
		h.observeCancellationReport("c1", &PromiseReply{Cancelled: []string{"wk-3"}}, time.Now(), membership.MoratoriumDuration)
		status, body := h.Report(runningReport(6, protocol.NewToken(7, 1), "wk-1/0", "wk-2/0"))
		got := stoppedTasks(body)
		slices.Sort(got)
		if status != http.StatusOK || !slices.Equal(got, []string{"wk-1/0", "wk-3/1"}) || body.(protocol.ReportAnswer).Token <= inFlight {
			t.Errorf("status %d, stopped %v, answer %+v, token in flight %d", status, got, body, inFlight)
		}
		// An unknown job may be cancelled, so nothing is renewed until the job has been looked up.
		if status, _ := h.Report(runningReport(7, protocol.NewToken(7, w.tokenSeq), "wk-9/0")); status != http.StatusServiceUnavailable {
			t.Errorf("status for a task of an unknown job: %d", status)
		}
		h.jobChanged(pendingJob("wk-9"))
		if status, _ := h.Report(runningReport(8, protocol.NewToken(7, w.tokenSeq), "wk-9/0")); status != http.StatusOK {
			t.Errorf("status for a task of a job that has been looked up: %d", status)
		}
	})
}

// fakeMoratoriumSibling is a sibling that sends preset replies.
type fakeMoratoriumSibling struct {
	reply    PromiseReply
	requests []PromiseArgs
	owed     OwedReply
	owedErr  error // returned by Owed
}

func (s *fakeMoratoriumSibling) Promise(_ context.Context, a PromiseArgs, r *PromiseReply) error {
	s.requests = append(s.requests, a)
	*r = s.reply
	return nil
}

func (s *fakeMoratoriumSibling) Owed(_ context.Context, _ OwedArgs, r *OwedReply) error {
	*r = s.owed
	return s.owedErr
}

// While the state service is unavailable to all controllers, the reports of its siblings let a holder go on
// answering. Reports of a process that started during the outage, or of the previous version, do not.
func TestRestartedSiblingDoesNotAdvanceWatermark(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		established := PromiseReply{Given: true, AgeMs: time.Hour.Milliseconds(), Whole: true}
		sibling := &fakeMoratoriumSibling{reply: established}
		c.Siblings = []config.Sibling{{Name: "c1"}}
		h.moratoriumPeers = []MoratoriumCaller{sibling}
		h.watermark = membership.NewWatermark([]string{"c1"})
		h.synced(time.Now())
		setSessionLeft := func(d time.Duration) { h.session.validUntil.Store(int64(time.Since(h.session.base) + d)) }
		setSessionLeft(3 * time.Second)
		h.members["c1"] = &bookkeeping.Member{Generation: bookkeeping.Generation}
		advance := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				for len(h.inbox) > 0 {
					(<-h.inbox)()
				}
				h.requestMoratorium(time.Now())
			}
		}
		if advance(2 * c.MaxRenewalStaleness()); !h.mayAnswer() || h.session.Valid() || len(sibling.requests) < 10 {
			t.Errorf("no longer answers despite complete reports, or sent too few requests: %d", len(sibling.requests))
		}
		if lag := time.Since(h.watermark.Time()); lag > 2*time.Second {
			t.Errorf("the watermark lags by %v", lag)
		}
		// The sibling restarts at once: the grant of its predecessor, and with it the silence, still holds.
		sibling.reply.AgeMs = 100
		if advance(3 * time.Second); !h.mayAnswer() || time.Since(h.watermark.Time()) > 2*time.Second {
			t.Errorf("the watermark lags by %v", time.Since(h.watermark.Time()))
		}
		// The sibling was away for so long that another process may have started and ended meanwhile.
		sibling.reply = PromiseReply{}
		advance(membership.MoratoriumDuration + 3*time.Second)
		setSessionLeft(time.Hour) // as if its session were renewed but nothing else were served
		sibling.reply = PromiseReply{Given: true, AgeMs: 100, Whole: true}
		if advance(c.MaxRenewalStaleness()); h.mayAnswer() {
			t.Error("still answers on the basis of a report by a process that does not know its predecessor's cancellations")
		}
		// The previous version names no cancellations.
		h.synced(time.Now())
		sibling.reply = PromiseReply{Given: true}
		if advance(c.MaxRenewalStaleness() + 2*time.Second); h.mayAnswer() {
			t.Error("still answers without a report")
		}
	})
}

// The previous version reads a grant with a report as a grant. A grant by the previous version counts as no
// complete report.
func TestMoratoriumCompatibilityWithPreviousVersion(t *testing.T) {
	type olderArgs struct {
		Caller string
		Term   uint64
	}
	type olderReply struct{ Given bool }
	var b bytes.Buffer
	e, d := gob.NewEncoder(&b), gob.NewDecoder(&b)
	var args PromiseArgs
	var reply PromiseReply
	var older olderReply
	for _, x := range []struct{ sent, read any }{{olderArgs{"c1", 7}, &args}, {olderReply{true}, &reply}, {PromiseReply{Given: true, AgeMs: 5, Whole: true, Cancelled: []string{"wk-1"}}, &older}} {
		if err := e.Encode(x.sent); err != nil {
			t.Fatal(err)
		}
		if err := d.Decode(x.read); err != nil {
			t.Fatal(err)
		}
	}
	if args.Caller != "c1" || args.Term != 7 || !reply.Given || reply.cancellationReport(membership.LegacyMoratoriumDuration).Complete || !older.Given {
		t.Errorf("args %+v, reply %+v, reply as read by the previous version %+v", args, reply, older)
	}
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		for _, since := range []int64{0, -5, -1 << 62} { // from the previous version, and invalid values
			if r := h.answerMoratoriumRequest(&PromiseArgs{Caller: "c1", SinceMs: since}); r.Whole {
				t.Errorf("complete report for SinceMs %d: %+v", since, r)
			}
		}
		// It cannot name cancelled jobs that were removed from the records before it followed them, so the
		// report contains no records age.
		if r := h.answerMoratoriumRequest(&PromiseArgs{Caller: "c1", SinceMs: 1 << 62}); !r.Whole || r.AgeMs < 0 || r.SyncedMs != 0 {
			t.Errorf("report for the greatest SinceMs: %+v", r)
		}
		time.Sleep(5 * time.Second)
		h.synced(time.Now())
		if r := h.answerMoratoriumRequest(&PromiseArgs{Caller: "c1", SinceMs: 1000}); !r.Whole || r.SyncedMs <= 0 {
			t.Errorf("report for a time since which it followed the records: %+v", r)
		}
	})
}

// A process that has just started is bound by the moratoria that its predecessor may have granted, for as long
// as the siblings report that these last. A sibling that does not answer may hold a moratorium, and so may one of
// the previous version, which does not support the request.
func TestProcessIsBoundByGrantsOfItsPredecessor(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		reporting := func(d time.Duration) *fakeMoratoriumSibling {
			return &fakeMoratoriumSibling{owed: OwedReply{ForMs: d.Milliseconds()}}
		}
		silent := &fakeMoratoriumSibling{owedErr: errRequestVoid}
		for name, x := range map[string]struct {
			siblings []MoratoriumCaller
			bound    time.Duration
		}{
			"no outstanding grant":  {[]MoratoriumCaller{reporting(time.Millisecond), reporting(time.Millisecond)}, 0},
			"one outstanding grant": {[]MoratoriumCaller{reporting(time.Millisecond), reporting(7 * time.Second)}, 7 * time.Second},
			"one does not answer":   {[]MoratoriumCaller{reporting(time.Millisecond), silent}, membership.RecoveryPeriod},
			"no siblings":           {nil, 0},
		} {
			restarted := NewHolder(h.ctx, c, h.session, nil, h.workers)
			restarted.moratoriumPeers = x.siblings
			go restarted.learnOutstandingGrants()
			began := time.Now()
			if restarted.mayTakeOver("c1") || restarted.mayConfirm("wk-1") {
				t.Errorf("%s: not bound at its start", name)
			}
			for !restarted.mayTakeOver("c1") {
				time.Sleep(250 * time.Millisecond)
				for len(restarted.inbox) > 0 {
					(<-restarted.inbox)()
				}
			}
			if took := time.Since(began); took < x.bound || took > x.bound+time.Second || !restarted.mayConfirm("wk-1") {
				t.Errorf("%s: bound for %v, or may not confirm afterwards", name, took)
			}
		}
		// After the holder itself has requested a moratorium, it reports that moratorium as outstanding.
		if h.moratoriumRequested = time.Now(); membership.RemainingMoratorium(h.moratoriumRequested, time.Now()) < membership.MoratoriumDuration {
			t.Error("no moratorium is outstanding right after a request")
		}
	})
}

// A process that has just read the records cannot name cancelled jobs that were removed from them earlier. To a
// request that reaches further back than the time since which the process has followed the records, its report
// contains no records age.
func TestReportOmitsRecordsAgeUntilRecordsWereFollowed(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		sibling := NewHolder(h.ctx, c, h.session, nil, h.workers)
		syncedMs := func(since time.Duration) int64 {
			r := sibling.answerMoratoriumRequest(&PromiseArgs{Caller: "c1", SinceMs: since.Milliseconds()})
			if !r.Whole {
				t.Errorf("the report of its own knowledge must be complete: %+v", r)
			}
			return r.SyncedMs
		}
		if sibling.synced(time.Now()); syncedMs(10*time.Second) != 0 {
			t.Error("the report contains a records age for a time before its first read")
		}
		for range 10 {
			time.Sleep(3 * time.Second)
			sibling.synced(time.Now())
		}
		if syncedMs(10*time.Second) == 0 || syncedMs(40*time.Second) != 0 {
			t.Error("the report must contain a records age exactly for the 30 s that it followed the records")
		}
		time.Sleep(2 * time.Minute) // long enough that it may have had to reread all records
		if sibling.synced(time.Now()); syncedMs(10*time.Second) != 0 {
			t.Error("the report contains a records age for a time in which it did not follow the records")
		}
	})
}
