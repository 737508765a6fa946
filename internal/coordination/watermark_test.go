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

// running is a report of a machine on which tasks run.
func running(ticket uint64, token protocol.Token, tasks ...string) *protocol.Report {
	r := report(1, ticket, token)
	for _, t := range tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t, Attempt: 3, State: protocol.TaskRunning})
	}
	return r
}

func pendingJob(id string) *bookkeeping.Job {
	return &bookkeeping.Job{Spec: &protocol.JobSpec{ID: id, Tasks: 4}, State: protocol.Pending}
}

// stopped are the tasks that an answer stops.
func stopped(body any) (tasks []string) {
	a, _ := body.(protocol.ReportAnswer)
	for _, c := range a.Commands {
		if c.Verb == protocol.VerbStop && c.Attempt == 3 && *c.GraceS == 0 {
			tasks = append(tasks, c.Task)
		}
	}
	return tasks
}

// A holder whose session is renewed and whose records are not answers its machines for no
// longer than what it renews surely ends before a cancellation that it has not heard of is due.
func TestARenewedSessionIsNoProof(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, s *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		last := time.Duration(0)
		for n := range uint64(20) {
			if status, _ := h.Report(running(5+n, protocol.NewToken(7, 1), "wk-1/0")); status == http.StatusOK {
				last = time.Since(s.adopted)
			}
			time.Sleep(2 * time.Second)
		}
		most := protocol.Seconds(c.Deployment.Workers.CancelS) - c.WorkerLease()
		if last > most || last < most-3*time.Second {
			t.Errorf("answered for %v of %v", last, most)
		}
		h.synced(time.Now())
		if status, _ := h.Report(running(90, protocol.NewToken(7, 1), "wk-1/0")); status != http.StatusOK {
			t.Errorf("with fresh records: %d", status)
		}
	})
}

// An answer stops what is known to be cancelled, whether the report names it or it may have
// started since; it has a token then that no start under way has. What runs on is left alone.
func TestAnAnswerStopsWhatIsCancelled(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		for _, id := range []string{"wk-1", "wk-2", "wk-3"} {
			h.jobs[id] = pendingJob(id)
		}
		_, body := h.Report(running(5, protocol.NewToken(7, 1), "wk-1/0", "wk-2/0"))
		if got := stopped(body); len(got) > 0 {
			t.Errorf("stops %v", got)
		}
		w := h.byID["host-000004"]
		w.busy = true // a direct command is under way, and stays so
		w.entries["wk-3/1"] = &entry{task: "wk-3/1", job: "wk-3", index: 1, attempt: 3, state: board.TaskStarting, token: protocol.NewToken(7, w.seq)}
		under := protocol.NewToken(7, w.seq)
		over := *h.jobs["wk-1"]
		over.RecordedState, over.State = protocol.Cancelled, protocol.Cancelled
		h.jobChanged(&over)
		h.observeReport("c1", &PromiseReply{Cancelled: []string{"wk-3"}}, time.Now(), membership.MoratoriumFor)
		status, body := h.Report(running(6, protocol.NewToken(7, 1), "wk-1/0", "wk-2/0"))
		got := stopped(body)
		slices.Sort(got)
		if status != http.StatusOK || !slices.Equal(got, []string{"wk-1/0", "wk-3/1"}) || body.(protocol.ReportAnswer).Token <= under {
			t.Errorf("%d stops %v under %+v, after %d", status, got, body, under)
		}
		// A job that is not known may be cancelled: nothing is renewed until it is looked up.
		if status, _ := h.Report(running(7, protocol.NewToken(7, w.seq), "wk-9/0")); status != http.StatusServiceUnavailable {
			t.Errorf("a task of a job that is not known: %d", status)
		}
		h.jobChanged(pendingJob("wk-9"))
		if status, _ := h.Report(running(8, protocol.NewToken(7, w.seq), "wk-9/0")); status != http.StatusOK {
			t.Errorf("a task of a job that is known by now: %d", status)
		}
	})
}

// sayer is a sibling that says what it is to say.
type sayer struct {
	reply PromiseReply
	asked []PromiseArgs
	owed  OwedReply
	err   error // when it is asked what is owed to it
}

func (s *sayer) Promise(_ context.Context, a PromiseArgs, r *PromiseReply) error {
	s.asked = append(s.asked, a)
	*r = s.reply
	return nil
}

func (s *sayer) Owed(_ context.Context, _ OwedArgs, r *OwedReply) error {
	*r = s.owed
	return s.err
}

// While the state service is away for all a holder lives on the reports of its siblings, and not on
// that of a process which began amid it or is of the version before.
func TestASiblingThatBeganAmidSaysNothingOfWhatWas(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		old := PromiseReply{Given: true, AgeMs: time.Hour.Milliseconds(), Whole: true}
		says := &sayer{reply: old}
		c.Siblings = []config.Sibling{{Name: "c1"}}
		h.moratoriumPeers = []MoratoriumCaller{says}
		h.watermark = membership.NewWatermark([]string{"c1"})
		h.synced(time.Now())
		lasts := func(d time.Duration) { h.session.until.Store(int64(time.Since(h.session.base) + d)) }
		lasts(3 * time.Second)
		h.members["c1"] = &bookkeeping.Member{Generation: bookkeeping.Generation}
		live := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				for len(h.inbox) > 0 {
					(<-h.inbox)()
				}
				h.requestMoratorium(time.Now())
			}
		}
		if live(2 * c.RenewFor()); !h.mayAnswer() || h.session.Valid() || len(says.asked) < 10 {
			t.Errorf("answers no more though it was told, asked %d times", len(says.asked))
		}
		if behind := time.Since(h.watermark.Time()); behind > 2*time.Second {
			t.Errorf("the watermark lies %v behind", behind)
		}
		// It is back at once: what the process before it granted, and with it its silence, still holds.
		says.reply.AgeMs = 100
		if live(3 * time.Second); !h.mayAnswer() || time.Since(h.watermark.Time()) > 2*time.Second {
			t.Errorf("the watermark lies %v behind", time.Since(h.watermark.Time()))
		}
		// It was away for long, so that another may have begun and ended meanwhile.
		says.reply = PromiseReply{}
		live(membership.MoratoriumFor + 3*time.Second)
		lasts(time.Hour) // as if its session were renewed, and nothing else served
		says.reply = PromiseReply{Given: true, AgeMs: 100, Whole: true}
		if live(c.RenewFor()); h.mayAnswer() {
			t.Error("goes on answering by the report of one that knows nothing of what was")
		}
		// The version before names nothing.
		h.synced(time.Now())
		says.reply = PromiseReply{Given: true}
		if live(c.RenewFor() + 2*time.Second); h.mayAnswer() {
			t.Error("goes on answering by no report")
		}
	})
}

// A grant and the report beside it are read by the version before as a grant, and its grant is
// no report.
func TestPromisesOfTheVersionBefore(t *testing.T) {
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
	if args.Caller != "c1" || args.Term != 7 || !reply.Given || reply.report(membership.BriefMoratoriumFor).Complete || !older.Given {
		t.Errorf("%+v %+v %+v", args, reply, older)
	}
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		for _, since := range []int64{0, -5, -1 << 62} { // of the version before, and senseless ones
			if r := h.grantMoratorium(&PromiseArgs{Caller: "c1", SinceMs: since}); r.Whole {
				t.Errorf("since %d: %+v", since, r)
			}
		}
		// What was put away before it followed the records it can't name, whatever is asked.
		if r := h.grantMoratorium(&PromiseArgs{Caller: "c1", SinceMs: 1 << 62}); !r.Whole || r.AgeMs < 0 || r.SyncedMs != 0 {
			t.Errorf("since ever: %+v", r)
		}
		time.Sleep(5 * time.Second)
		h.synced(time.Now())
		if r := h.grantMoratorium(&PromiseArgs{Caller: "c1", SinceMs: 1000}); !r.Whole || r.SyncedMs <= 0 {
			t.Errorf("since it follows the records: %+v", r)
		}
	})
}

// A process that has just started is bound by what the one before it may have granted: until
// all siblings say that they asked for nothing, or for as long as what they asked for lasts. One
// that does not answer may have asked, and so may one of the version before, which does not know
// the question.
func TestAYoungProcessIsBoundByTheOneBefore(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		owed := func(d time.Duration) *sayer { return &sayer{owed: OwedReply{ForMs: d.Milliseconds()}} }
		silent := &sayer{err: errNotNow}
		for name, x := range map[string]struct {
			siblings []MoratoriumCaller
			free     time.Duration
		}{
			"nothing is owed":     {[]MoratoriumCaller{owed(time.Millisecond), owed(time.Millisecond)}, 0},
			"one asked of late":   {[]MoratoriumCaller{owed(time.Millisecond), owed(7 * time.Second)}, 7 * time.Second},
			"one does not answer": {[]MoratoriumCaller{owed(time.Millisecond), silent}, membership.RecoveryPeriod},
			"alone":               {nil, 0},
		} {
			young := NewHolder(h.ctx, c, h.session, nil, h.workers)
			young.moratoriumPeers = x.siblings
			go young.learnOutstanding()
			began := time.Now()
			if young.mayTakeOver("c1") || young.mayConfirm("wk-1") {
				t.Errorf("%s: it is not bound at its start", name)
			}
			for !young.mayTakeOver("c1") {
				time.Sleep(250 * time.Millisecond)
				for len(young.inbox) > 0 {
					(<-young.inbox)()
				}
			}
			if took := time.Since(began); took < x.free || took > x.free+time.Second || !young.mayConfirm("wk-1") {
				t.Errorf("%s: bound for %v", name, took)
			}
		}
		// What it was asked for itself it owes as well, once it was.
		if h.moratoriumRequested = time.Now(); membership.Outstanding(h.moratoriumRequested, time.Now()) < membership.MoratoriumFor {
			t.Error("nothing is owed to one that has just asked")
		}
	})
}

// A process that has just read the records has not read those of jobs long over: what was
// cancelled and put away before that it can't name. Its report says nothing of what its records
// are as new as, to one that asks for what was before.
func TestWhoHasJustBegunToFollowCanNotNameWhatWasPutAway(t *testing.T) {
	withHolder(t, func(t *testing.T, c *config.Config, h *Holder, _ *heldSlot) {
		s := NewHolder(h.ctx, c, h.session, nil, h.workers)
		synced := func(since time.Duration) int64 {
			r := s.grantMoratorium(&PromiseArgs{Caller: "c1", SinceMs: since.Milliseconds()})
			if !r.Whole {
				t.Errorf("what it knows itself it names: %+v", r)
			}
			return r.SyncedMs
		}
		if s.synced(time.Now()); synced(10*time.Second) != 0 {
			t.Error("it speaks for what was before it read")
		}
		for range 10 {
			time.Sleep(3 * time.Second)
			s.synced(time.Now())
		}
		if synced(10*time.Second) == 0 || synced(40*time.Second) != 0 {
			t.Error("it followed for 30 s")
		}
		time.Sleep(2 * time.Minute) // so long that it may have had to read anew
		if s.synced(time.Now()); synced(10*time.Second) != 0 {
			t.Error("it speaks for what it did not follow")
		}
	})
}
