package coordination

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
	"daledyke/internal/protocoltest"
)

// What actors do with the decisions, each on a state written down by hand.

var controllers = []string{"c0", "c1", "c2"}

// A controller was cut off, lost its range and got it back in a later window
// that it has not seen yet. What it asks by the old window must be refused:
// its picture leaves out what others started in between.
func TestOwnersMustKnowTheWindowThatMadeThemOwners(t *testing.T) {
	h := &Holder{actor: newActor(context.Background()), changed: make(chan struct{}), fences: map[string]protocol.Token{},
		session: &Session{base: time.Now()}}
	h.session.until.Store(int64(time.Hour))
	window := func(n uint64, owners ...string) *bookkeeping.Window {
		return &bookkeeping.Window{Number: n, Owners: owners}
	}
	asks := func(by uint64) bool {
		_, ok := h.serve(&AskArgs{Caller: "c0", ID: protocol.NewToken(1, 1), Window: by})
		return ok
	}
	h.obey(window(1, "c0", "c1"))
	h.obey(window(2, "c0", "c1"))
	if !asks(1) || !asks(2) || asks(3) {
		t.Error("equal windows in a row hand over without a pause, later ones are not obeyed yet")
	}
	h.obey(window(3, "c1"))
	h.obey(window(4, "c0", "c1"))
	if asks(2) || !asks(4) {
		t.Error("an owner that goes by a window from before it lost its range was served")
	}
	h.obey(window(6, "c0", "c1"))
	if asks(4) {
		t.Error("a window was skipped: its owners are not known")
	}
	h.fences["c0"] = protocol.NewToken(2, 0)
	if asks(6) {
		t.Error("a request from before the fence was served")
	}
}

// A gang that must share a zone goes where all its tasks have their image
// soonest, not to the first zone that has room.
func TestGangsGoWhereTheirImageIs(t *testing.T) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	o := &Owner{cfg: c, board: board.New(), types: protocoltest.Types(), rng: rand.New(rand.NewPCG(3, 4)), session: &Session{}, peers: map[string]*peerState{"c1": {}},
		unclear: map[string]*jobState{}}
	for n := range 12 {
		m := &board.Machine{Current: true, Holder: "c1", MachineView: board.MachineView{ID: fmt.Sprintf("m%d", n), Type: "small", Usable: true,
			Zone: []string{"a", "b", "c"}[n%3], Free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}}
		if m.Zone == "b" {
			m.Images = []string{"img"}
		}
		o.usable, o.board.Machines[m.ID] = append(o.usable, m), m
	}
	for range 8 {
		js := &jobState{job: &bookkeeping.Job{Spec: protocoltest.Job(func(s *protocol.JobSpec) {
			s.Team, s.Shape, s.OneZone, s.Tasks = "free", protocol.Gang, true, 3
		})}, pending: map[int]*pendingStart{}}
		rq := requests{}
		o.gatherGang(js, time.Now(), rq)
		for _, st := range rq["c1"].Starts {
			m := o.board.Machines[st.Machine]
			if m.Zone != "b" {
				t.Errorf("%s goes to zone %s", st.Task, m.Zone)
			}
		}
		if len(rq["c1"].Starts) != 3 {
			t.Errorf("%+v", rq["c1"])
		}
		for _, m := range o.board.Machines {
			m.RequestedRoom = protocol.Room{}
		}
	}
}

// A holder took a start on and gave the slot up before its news showed it.
// The start must stay pending until the slot's next holder knows all: once it
// was taken for void, and the task ran twice.
func TestStartsOutliveTheHolderThatTookThem(t *testing.T) {
	o := &Owner{board: board.New()}
	news := func(holder string, inc, version, term uint64, complete bool, slots ...int) *board.News {
		r := &board.News{Incarnation: inc, Version: version, Window: 1, Valid: true}
		for _, s := range slots {
			r.Slots = append(r.Slots, board.SlotView{Slot: s, Term: term, Complete: complete})
		}
		o.board.Apply(holder, r, time.Now(), time.Now())
		return r
	}
	open := func(ps *pendingStart, holder string, r *board.News) bool {
		return !o.resolved(ps, holder, &FeedArgs{Fence: protocol.NewToken(1, 100)}, r)
	}
	news("c0", 1, 10, 5, true, 0, 3)
	acked := &pendingStart{machine: "m", holder: "c0", inc: 1, slot: 3, term: 5, id: protocol.NewToken(1, 7), acked: true, ackInc: 1, version: 12}
	lost := &pendingStart{machine: "m", holder: "c0", inc: 1, slot: 3, term: 5, id: protocol.NewToken(1, 8), unknown: true}
	if r := news("c0", 1, 11, 5, true, 0, 3); !open(acked, "c0", r) {
		t.Error("resolved by news from before the start")
	}
	if r := news("c0", 1, 13, 5, true, 0); !open(acked, "c0", r) || !open(lost, "c0", r) {
		t.Error("resolved by news of a holder that had given the slot up")
	}
	if r := news("c1", 2, 4, 6, false, 3); !open(acked, "c1", r) {
		t.Error("resolved while the new holder does not know all yet")
	}
	if r := news("c1", 2, 5, 6, true, 3); open(acked, "c1", r) || open(lost, "c1", r) {
		t.Error("still open although the new holder knows all")
	}
	held := &pendingStart{machine: "m", holder: "c1", inc: 2, slot: 3, term: 6, id: protocol.NewToken(1, 9), acked: true, ackInc: 2, version: 6}
	if r := news("c1", 2, 6, 6, true, 3); open(held, "c1", r) {
		t.Error("still open although the holder's news covers it")
	}
}

// Work of a team beyond its guarantee may be stopped for a team within its
// own, whatever the priorities; otherwise only lower priorities go.
func TestWhatMayBeStopped(t *testing.T) {
	c, err := config.Load(settingsWith(t, "cpus = 8.0\n", "cpus = 4.0\n"), "")
	if err != nil {
		t.Fatal(err)
	}
	o := &Owner{cfg: c}
	use := map[string]protocol.Room{"free": {Cores: 4}, "bound": {Cores: 8}}
	job := func(team string, p protocol.Priority) *bookkeeping.Job {
		s := protocoltest.Job(func(s *protocol.JobSpec) { s.Team, s.Priority, s.Accels = team, p, 0 })
		return &bookkeeping.Job{Spec: s, DependencyState: bookkeeping.DependencyState{Urgency: urgency(c, &bookkeeping.Job{Spec: s})}}
	}
	// One that an urgent job needs is as urgent, as who asks and as who may go.
	needed := func(j *bookkeeping.Job) *bookkeeping.Job { j.Rank = 2; return j }
	if !o.claim(job("free", "idle"), use).WithinGuarantee || o.claim(job("bound", "idle"), use).WithinGuarantee {
		t.Error("4 of 8 cores leave room for 4 more; 8 of 4 don't")
	}
	for _, x := range []struct {
		victim, by *bookkeeping.Job
		want       bool
	}{
		{job("bound", "high"), job("free", "idle"), true},
		{job("free", "high"), job("bound", "idle"), false},
		{job("free", "idle"), job("bound", "high"), true},
		{job("free", "high"), job("free", "high"), false},
		{job("free", "normal"), needed(job("free", "idle")), true},
		{needed(job("free", "idle")), job("free", "high"), false},
	} {
		if got := placement.MayPreempt(o.claim(x.victim, use), o.claim(x.by, use)); got != x.want {
			t.Errorf("%d of %s for %d of %s: %v", x.victim.Rank, x.victim.Spec.Team, x.by.Rank, x.by.Spec.Team, got)
		}
	}
}

// settingsWith writes the traces' settings with guarantees for both teams.
func settingsWith(t *testing.T, free, bound string) string {
	text := strings.Replace(fmt.Sprintf(settingsText, "c0", "c0", "c0", "", "1", ""), "name = \"free\"\n", "name = \"free\"\n"+free, 1)
	text = strings.Replace(text, "name = \"bound\"\n", "name = \"bound\"\n"+bound, 1)
	file := filepath.Join(t.TempDir(), "c0.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Whatever part of the ring a controller inherits, it must come to know that
// it knows all: once it looked at one token of its range alone, which it had
// owned before, and a team with a limit that it had inherited waited for ever.
func TestHeirsComeToKnowAll(t *testing.T) {
	o := &Owner{actor: newActor(context.Background()), cfg: &config.Config{}}
	o.cfg.Name = "c0"
	for n, owners := range [][]string{controllers, controllers, {"c0", "c1"}, {"c0", "c1"}, {"c0", "c1"}} {
		o.obey(&bookkeeping.Window{Number: uint64(n + 1), Owners: owners})
	}
	if o.presentSince() != 3 {
		t.Fatalf("present owners since %d", o.presentSince())
	}
	o.born = map[uint64]uint64{o.presentSince(): 77}
	for i := range 2000 {
		token := protocol.RingToken(protocol.TaskName("wk-1", i))
		if g := o.gainOf(token); (g != 0) != (o.window().Owner(token) == "c0") || g != 0 && o.bornBy(g) != 77 {
			t.Fatalf("token %d gained at %d, born by %d", token, g, o.bornBy(g))
		}
	}
}

// The admission check goes by blocks: whoever owns a job has no business with the blocks that
// are another's, and a window that divides jobs anew voids what was asked under the one
// before, though all ranges stay as they are.
func TestAdmissionKnowsBlocks(t *testing.T) {
	h := &Holder{actor: newActor(context.Background()), changed: make(chan struct{}), cfg: &config.Config{}, session: &Session{}, fences: map[string]protocol.Token{},
		jobs: map[string]*bookkeeping.Job{}, byID: map[string]*worker{}, slots: map[int]*heldSlot{}}
	s := &protocol.JobSpec{ID: "wk-1", Shape: protocol.Array, Tasks: 3 * bookkeeping.BlockTasks}
	j := &bookkeeping.Job{Spec: s, State: protocol.Pending, RingPosition: bookkeeping.RingPosition{Token: protocol.RingToken(s.ID), Blocks: bookkeeping.BlockCount(s)}}
	slot := &heldSlot{}
	h.jobs[s.ID], h.slots[0], h.byID["host-1"] = j, slot, &worker{id: "host-1", slot: slot, entries: map[string]*entry{}}
	ask := func(caller string, index int) string {
		return h.start(&AskArgs{Caller: caller}, Start{Task: protocol.TaskName(s.ID, index), Machine: "host-1"}, time.Now())
	}
	h.obey(&bookkeeping.Window{Number: 5, Owners: controllers})
	own := h.window.Owner(j.Token)
	if why := ask(own, s.Tasks-1); why == "not the owner" {
		t.Error("undivided, the job's owner places all of it")
	}
	h.obey(&bookkeeping.Window{Number: 6, Owners: controllers, BlockOwners: true})
	if h.ownersSince != 6 {
		t.Errorf("owners since %d", h.ownersSince)
	}
	for index := 0; index < s.Tasks; index += bookkeeping.BlockTasks {
		for _, caller := range controllers {
			if refused := ask(caller, index) == "not the owner"; refused != (caller != h.window.OwnerOf(j, index)) {
				t.Errorf("task %d for %s: refused is %v", index, caller, refused)
			}
		}
	}
	if own == h.window.OwnerOf(j, s.Tasks-1) {
		t.Error("the last block is the job's owner's: nothing was tried")
	}
}

// A leader wants a machine kept free that it believes to be idle. If a task was
// asked for there meanwhile, the wish comes too late; and it is over when the
// leader no longer has it, also one whose session is older than the last one's.
func TestWishesToDrain(t *testing.T) {
	h := &Holder{actor: newActor(context.Background()), changed: make(chan struct{}), cfg: &config.Config{}, byID: map[string]*worker{}}
	for _, id := range []string{"host-1", "host-2", "host-3"} {
		h.byID[id] = &worker{id: id, slot: &heldSlot{}, entries: map[string]*entry{}}
	}
	h.byID["host-2"].entries["wk-1/0"] = &entry{task: "wk-1/0", state: board.TaskReserved}
	h.byID["host-3"].entries["wk-1/1"] = &entry{task: "wk-1/1", state: protocol.TaskRunning}
	h.byID["host-3"].suspect = true
	free := func() (ids []string) {
		for id, w := range h.byID {
			if time.Now().Before(w.drainTill) {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		return ids
	}
	h.drain(&DrainArgs{Wish: 100, Machines: []string{"host-1", "host-2", "host-3"}})
	if got := free(); !slices.Equal(got, []string{"host-1", "host-3"}) || len(h.byID["host-2"].entries) != 1 {
		t.Errorf("kept free: %v", got)
	}
	if v := h.view(h.byID["host-1"]); v.Drained != 100 {
		t.Errorf("empty since wish %d", v.Drained)
	}
	h.drain(&DrainArgs{Wish: 90, Machines: nil})
	if got := free(); len(got) != 2 {
		t.Errorf("a former leader's wish counted: %v", got)
	}
	h.drain(&DrainArgs{Wish: 101, Machines: []string{"host-1"}})
	if got := free(); !slices.Equal(got, []string{"host-1"}) || h.byID["host-1"].drainWish != 100 {
		t.Errorf("kept free: %v", got)
	}
}
