package coordination

import (
	"context"
	"net/http"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// The ways in which a task could run in two places at once (docs/incidents/ran-twice.md), each
// on a state written down by hand.

// rebooted is the first report of the tests' machine after it began anew.
func rebooted() *protocol.Report { return report(1, 1, 0) }

// A direct command to start is held up on its way. Its machine shows a higher token meanwhile, so
// that it would refuse the command; then it reboots, and would not. The task stays where the command
// may start it for as long as the command may be under way, whatever shows that it is not there.
func TestAStartThatMayStillArriveKeepsItsTask(t *testing.T) {
	for name, happens := range map[string]func(h *Holder, w *worker, lease time.Duration){
		"a higher token is shown": func(h *Holder, w *worker, _ time.Duration) {
			w.entries["wk-1/0"].until = time.Now() // no answer starts it
			_, body := h.Report(report(1, 6, protocol.NewToken(7, 1)))
			h.Report(report(1, 7, body.(protocol.ReportAnswer).Token))
		},
		"a later session begins": func(h *Holder, w *worker, _ time.Duration) {
			h.Report(report(2, 7, protocol.NewToken(7, w.seq)))
		},
		"the lease lapses": func(h *Holder, w *worker, lease time.Duration) {
			w.lastAnswer, w.answered = time.Now().Add(-lease-time.Second), time.Time{}
			w.slot.adopted = w.lastAnswer
			h.told()
			if !w.lapsed {
				t.Error("the lease has not lapsed")
			}
		},
		"it ran and is gone": func(h *Holder, w *worker, _ time.Duration) {
			w.entries["wk-1/0"].state = protocol.TaskRunning
			w.seq++
			h.Report(report(1, 7, protocol.NewToken(7, w.seq)))
			if h.view(w).Tasks[0].Cause != board.CauseLost {
				t.Errorf("it counts as one that is about to run: %+v", h.view(w))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withStart(t, func(t *testing.T, h *Holder, w *worker, _ protocol.Orders) {
				lease := config.Surely(h.cfg.WorkerLease())
				time.Sleep(time.Second)
				happens(h, w, lease)
				if e := w.entries["wk-1/0"]; e == nil || e.state != board.TaskStarting && e.cause != board.CauseLost {
					t.Fatalf("it counts as not being there: %+v", e)
				}
				time.Sleep(lease)
				shown := protocol.NewToken(7, w.seq)
				for ticket := range uint64(4) {
					if !w.lapsed { // it is heard again, and shows what it was answered with
						_, body := h.Report(report(w.session, 20+ticket, shown))
						answer, _ := body.(protocol.ReportAnswer)
						shown = max(shown, answer.Token)
					}
					h.told()
				}
				if e := w.entries["wk-1/0"]; e != nil {
					t.Errorf("it is there for ever: %+v", e)
				}
			})
		})
	}
}

// What was answered is not under way any more, and keeps nothing.
func TestAnAnsweredStartKeepsNothing(t *testing.T) {
	withStart(t, func(t *testing.T, h *Holder, w *worker, sent protocol.Orders) {
		h.commandAnswered(w, sent, report(1, 6, sent.Token), false, nil)
		if e := w.entries["wk-1/0"]; e != nil || len(w.openStarts) != 0 {
			t.Errorf("refused for good: %+v, open %v", e, w.openStarts)
		}
	})
}

// A machine that looks as if it began anew is told a token at once: until then it would carry out
// whatever was sent to it before.
func TestAMachineThatBeginsAnewIsToldATokenAtOnce(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		before := report(1, 50, protocol.NewToken(7, 1))
		before.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}}
		h.Report(before)
		h.told()
		w := h.byID["host-000004"]
		shown := protocol.NewToken(7, w.seq)
		time.Sleep(2 * time.Second)
		late := rebooted() // a command from before has started a task there already
		late.Tasks = []protocol.TaskReport{{Task: "wk-1/1", Attempt: 2, State: protocol.TaskPulling}}
		status, body := h.Report(late)
		answer, _ := body.(protocol.ReportAnswer)
		if stopped := carried(body, protocol.VerbStop); status != http.StatusOK || answer.Token <= shown || len(stopped) != 1 || stopped[0] != "wk-1/1" {
			t.Fatalf("answered %d %+v", status, body)
		}
		if w.ticket != 50 || w.entries["wk-1/0"] == nil {
			t.Errorf("it is taken at its word: %+v", w)
		}
		if !h.startable(w) || time.Since(w.entitled()) > 0 {
			t.Errorf("what may be a copy keeps the machine from being used, or is taken not to be heard: %+v", w)
		}
		// That it shows the token proves that it began anew: what ran there is gone.
		heard := report(1, 2, answer.Token)
		if status, _ := h.Report(heard); status != http.StatusOK || w.ticket != 2 || w.entries["wk-1/0"] != nil {
			t.Errorf("answered %d, %+v", status, w)
		}
		if w.seq <= uint64(answer.Token)&(1<<32-1) {
			t.Error("the token is told to others, too")
		}
	})
}

// ownerOf is an owner of all jobs, with one slot, that waits for what others have started of wk-1.
func ownerOf(t *testing.T) (*Owner, *jobState) {
	o := &Owner{actor: newActor(context.Background()), cfg: &config.Config{}, board: board.New(), slots: 1, session: &Session{base: time.Now()},
		peers: map[string]*peerState{"c1": {}, "c2": {}}, unclear: map[string]*jobState{}, active: map[string]*jobState{}, jobs: map[string]*jobState{}, unmetNeeds: map[kind]unmetNeed{}}
	o.session.term.Store(1)
	js := &jobState{job: pendingJob("wk-1"), pending: map[int]*pendingStart{}, known: time.Now().Add(-time.Minute)}
	js.shares = []*ownedBlock{{end: 1, ownership: &ownership{gainWindow: 4, completeSlots: map[int]bool{}}}}
	o.unclear["wk-1"], o.active["wk-1"], o.jobs["wk-1"] = js, js, js
	return o, js
}

// newsOf are news of a holder that has the slot under a term, and of a machine with these tasks.
func newsOf(term uint64, complete bool, tasks ...board.TaskView) *board.News {
	return &board.News{Incarnation: term, Version: term, Window: 4, Valid: true,
		Slots:    []board.SlotView{{Slot: 0, Term: term, Complete: complete}},
		Machines: []board.MachineView{{ID: "host-000004", Slot: 0, Term: term, Tasks: tasks}}}
}

// Tasks as their machine's holder shows them.
var (
	seenRunning  = board.TaskView{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}
	seenRunning2 = board.TaskView{Task: "wk-1/1", Attempt: 4, State: protocol.TaskRunning}
)

// A holder that was stopped, or cut off from the state service, has lost its slot to another and goes
// on telling that it knows all of it. Who has just become a job's owner does not take that for
// knowing what runs there: only the slot's newest holder can say so.
func TestOnlyTheNewestHolderKnowsASlot(t *testing.T) {
	o, js := ownerOf(t)
	asked := &FeedArgs{Fence: protocol.NewToken(1, 0), Window: 4}
	o.applyNews("c2", asked, newsOf(9, false), time.Now())
	o.applyNews("c1", asked, newsOf(5, true), time.Now())
	if js.shares[0].priorStartsKnown {
		t.Fatal("settled by a former holder's news")
	}
	o.applyNews("c2", asked, newsOf(9, true, seenRunning), time.Now())
	if !js.shares[0].priorStartsKnown || o.board.Tasks["wk-1"][0] == nil {
		t.Errorf("not settled by the newest holder's, or its task is unknown: %+v", o.board.Tasks)
	}
}

// What a holder says that is not entitled to its slots is not believed: it took the lease of a machine
// for lapsed which the slot's next holder, of whom nothing was heard yet, has answered since.
func TestNewsOfAHolderThatIsNotEntitledAreNotBelieved(t *testing.T) {
	o, js := ownerOf(t)
	asked := &FeedArgs{Fence: protocol.NewToken(1, 0), Window: 4}
	if !o.applyNews("c1", asked, newsOf(5, false, seenRunning), time.Now()) {
		t.Fatal("news of an entitled holder are not taken")
	}
	stale := newsOf(5, true)
	stale.Valid, stale.Full = false, true
	if o.applyNews("c1", asked, stale, time.Now()) || js.shares[0].priorStartsKnown || o.board.Tasks["wk-1"][0] == nil {
		t.Errorf("believed: settled %v, tasks %v", js.shares[0].priorStartsKnown, o.board.Tasks)
	}
	stale.Entitled = true // all siblings granted it a moratorium
	if !o.applyNews("c1", asked, stale, time.Now()) || !js.shares[0].priorStartsKnown || o.board.Tasks["wk-1"] != nil {
		t.Errorf("not believed: settled %v, tasks %v", js.shares[0].priorStartsKnown, o.board.Tasks)
	}
}

// A machine that nobody had registered went silent and was dropped; it came back, and has tasks. Who
// hears of both at once keeps it.
func TestAMachineThatCameBackIsNotGone(t *testing.T) {
	b := board.New()
	r := newsOf(5, true, seenRunning)
	r.Gone = []string{"host-000004"}
	b.Apply("c1", r, time.Now(), time.Now())
	if b.Machines["host-000004"] == nil || b.Tasks["wk-1"][0] == nil {
		t.Error("it is gone, with what runs there")
	}
}

// A request that was made under one term of a slot is void under the next: its owner may have found
// out from the news of that what became of it, and have started the task elsewhere.
func TestARequestIsForOneTermOfASlot(t *testing.T) {
	withStart(t, func(t *testing.T, h *Holder, w *worker, _ protocol.Orders) {
		h.jobs["wk-2"] = pendingJob("wk-2")
		h.window = &bookkeeping.Window{Number: 4, Owners: []string{"c0"}}
		h.types = map[string]protocol.MachineType{"small": {Name: "small", Cores: 8, Accels: 2, RAM: 64}}
		w.ack = ackState{}
		ask := func(term uint64) string {
			return h.start(&AskArgs{Caller: "c0", Window: 4}, Start{Task: "wk-2/0", Attempt: 9, Machine: w.id, Term: term}, time.Now())
		}
		if why := ask(6); why == "" || w.entries["wk-2/0"] != nil {
			t.Error("taken on under a later term")
		}
		if why := ask(7); why != "" {
			t.Errorf("refused under its own term: %s", why)
		}
		delete(w.entries, "wk-2/0")
		if why := ask(0); why != "" {
			t.Errorf("a version that does not say is refused: %s", why)
		}
	})
}

// A slot's record shows that another has taken it, while this holder has not heard yet that its
// session ended: it stops acting for the slot at once.
func TestASlotThatWasTakenIsNotActedFor(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, s *heldSlot) {
		h.Report(report(1, 5, protocol.NewToken(7, 1)))
		h.slotChanged(s.slot, &bookkeeping.Slot{Holder: "c0", Term: 7})
		if h.slots[s.slot] != s {
			t.Fatal("its own record has it give the slot up")
		}
		h.slotChanged(s.slot, &bookkeeping.Slot{Holder: "c1", Term: 8})
		if h.slots[s.slot] != nil || h.byID["host-000004"] != nil {
			t.Error("it goes on acting for the slot")
		}
		if status, _ := h.Report(report(1, 6, protocol.NewToken(7, 1))); status == http.StatusOK {
			t.Error("it answers the slot's machines")
		}
	})
}

// Slots were taken for a session that ended before the answer came, while the next one has not begun:
// they are not acted for, since others may take them.
func TestSlotsTakenForALostSessionAreNotActedFor(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		before := h.sessionsLost
		h.reset()
		h.claimed([]bookkeeping.Claim{{Slot: 3}}, 8, before)
		if len(h.slots) != 0 || h.adopting {
			t.Errorf("held: %v", h.slots)
		}
	})
}

// A start was under way when its machine changed hands, and the next holder does not see it there. It
// may be carried out should the machine begin anew: the task is not started elsewhere for as long as
// the command may be under way.
func TestAStartUnderWayOutlivesItsHolder(t *testing.T) {
	b, now := board.New(), time.Now()
	b.StartsLastFor = 20 * time.Second
	starting := board.TaskView{Task: "wk-1/0", Attempt: 3, State: board.TaskStarting}
	b.Apply("c1", newsOf(5, true, starting, seenRunning2), now, now)
	b.Apply("c2", newsOf(9, true), now, now)
	if lost := b.Tasks["wk-1"][0]; len(lost) != 1 || !lost[0].Exited() || lost[0].Cause != board.CauseLost || b.Tasks["wk-1"][1] != nil {
		t.Fatalf("%+v", b.Tasks)
	}
	b.Apply("c2", newsOf(9, true), now, now.Add(10*time.Second))
	if b.DropLost(now.Add(19 * time.Second)); b.Tasks["wk-1"][0] == nil {
		t.Error("dropped while the command may be under way")
	}
	if b.DropLost(now.Add(21 * time.Second)); b.Tasks["wk-1"] != nil || b.Machines["host-000004"].EmptySince.IsZero() {
		t.Errorf("kept for ever: %+v", b.Tasks)
	}
	// One that shows after all is what its holder says.
	b.Apply("c1", newsOf(10, true, starting), now, now)
	b.Apply("c2", newsOf(11, true, seenRunning), now, now)
	if there := b.Tasks["wk-1"][0]; len(there) != 1 || there[0].State != protocol.TaskRunning {
		t.Errorf("%+v", there)
	}
}

// A machine that began anew was heard again by its answer to a direct command. A copy of its report from
// before that shows the token which only it was told, and is a copy all the same: what was started
// since is not gone.
func TestACopyOfTheFirstReportsIsNoNewBeginning(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.jobs["wk-1"] = pendingJob("wk-1")
		h.Report(report(1, 2, protocol.NewToken(7, 1)))
		h.told()
		w := h.byID["host-000004"]
		_, body := h.Report(rebooted())
		told := body.(protocol.ReportAnswer).Token
		w.seq++
		direct := report(1, 3, protocol.NewToken(7, w.seq))
		direct.Tasks = []protocol.TaskReport{{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}}
		h.commandAnswered(w, protocol.Orders{Session: 1}, direct, true, nil)
		if w.entries["wk-1/0"] == nil {
			t.Fatalf("not heard: %+v", w)
		}
		if h.Report(report(1, 2, told)); w.entries["wk-1/0"] == nil || w.ticket != 3 {
			t.Errorf("taken for gone by a copy: %+v", w)
		}
	})
}

// A worker refuses a start since another attempt of the task is there, and lists both: the one that is
// there counts, in whichever order they stand, until it has ended; then its result does.
func TestARefusedAttemptHidesNoOther(t *testing.T) {
	there := protocol.TaskReport{Task: "wk-1/0", Attempt: 3, State: protocol.TaskRunning}
	refused := protocol.TaskReport{Task: "wk-1/0", Attempt: 9, State: protocol.TaskExited, Cause: "in_use"}
	done := protocol.TaskReport{Task: "wk-1/0", Attempt: 3, State: protocol.TaskExited, Cause: protocol.CauseDone}
	for _, listed := range [][]protocol.TaskReport{{there, refused}, {refused, there}, {done, refused}, {refused, done}} {
		withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
			h.jobs["wk-1"] = pendingJob("wk-1")
			rep := report(1, 5, protocol.NewToken(7, 1))
			rep.Tasks = listed
			h.Report(rep)
			if e := h.byID["host-000004"].entries["wk-1/0"]; e == nil || e.attempt != 3 || e.state == protocol.TaskExited && e.cause != protocol.CauseDone {
				t.Errorf("%+v of %+v", e, listed)
			}
		})
	}
}

// A holder that is not entitled to its slots says nothing of them, and keeps whoever asks where it is: a
// version that believes all news is not misled, and misses none once they are told again.
func TestAHolderThatIsNotEntitledSaysNothing(t *testing.T) {
	withHolder(t, func(t *testing.T, _ *config.Config, h *Holder, _ *heldSlot) {
		h.Report(report(1, 5, protocol.NewToken(7, 1)))
		h.told()
		asked := FeedArgs{Caller: "c1", Incarnation: h.session.Term(), Since: 1}
		if r := h.summary(asked); !r.Entitled || len(r.Slots) != 1 || len(r.Machines) != 1 || r.Version == asked.Since {
			t.Fatalf("%+v", r)
		}
		h.session.until.Store(0)
		if r := h.summary(asked); r.Entitled || r.Valid || len(r.Slots)+len(r.Machines)+len(r.Gone) != 0 || r.Version != asked.Since || r.Incarnation != asked.Incarnation {
			t.Errorf("%+v", r)
		}
		asked.Incarnation = 1 // of a former session
		if r := h.summary(asked); r.Full || r.Incarnation != 1 {
			t.Errorf("%+v", r)
		}
	})
}
