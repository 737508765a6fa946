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

// Decisions of the actors, each on a hand-written state.

var controllers = []string{"c0", "c1", "c2"}

// Guards against a request under an outdated window. A controller that was cut off lost its range and regained
// it in a later window that it has not seen yet. Its requests under the old window must be refused, since its
// board lacks what other owners started in between.
func TestRequestsUnderOutdatedWindowsAreRefused(t *testing.T) {
	h := &Holder{actor: newActor(context.Background()), versionChanged: make(chan struct{}), fences: map[string]protocol.Token{},
		session: &Session{base: time.Now()}}
	h.session.validUntil.Store(int64(time.Hour))
	window := func(n uint64, owners ...string) *bookkeeping.Window {
		return &bookkeeping.Window{Number: n, Owners: owners}
	}
	requests := uint64(0)
	accepts := func(number uint64) bool {
		requests++
		_, ok := h.handleAsk(&AskArgs{Caller: "c0", ID: protocol.NewToken(1, requests), Window: number})
		return ok
	}
	h.adoptWindow(window(1, "c0", "c1"))
	h.adoptWindow(window(2, "c0", "c1"))
	if !accepts(1) || !accepts(2) || accepts(3) {
		t.Error("consecutive windows with equal owners must be accepted, a later window refused")
	}
	h.adoptWindow(window(3, "c1"))
	h.adoptWindow(window(4, "c0", "c1"))
	if accepts(2) || !accepts(4) {
		t.Error("a request under a window from before the owner lost its range was served")
	}
	h.adoptWindow(window(6, "c0", "c1"))
	if accepts(4) {
		t.Error("a request was served although a window was skipped, whose owners are unknown")
	}
	h.fences["c0"] = protocol.NewToken(2, 0)
	if accepts(6) {
		t.Error("a request from before the fence was served")
	}
}

// Guards against choosing the first zone with room: a gang that must share a zone goes where the slowest fetch
// of its image is shortest.
func TestGangsPreferTheZoneThatHasTheirImage(t *testing.T) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	o := &Owner{cfg: c, board: board.New(), machineTypes: protocoltest.Types(), rng: rand.New(rand.NewPCG(3, 4)), session: &Session{}, peers: map[string]*peerState{"c1": {}},
		unresolved: map[string]*jobState{}}
	for n := range 12 {
		m := &board.Machine{Current: true, Holder: "c1", MachineView: board.MachineView{ID: fmt.Sprintf("m%d", n), Type: "small", Usable: true,
			Zone: []string{"a", "b", "c"}[n%3], Free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}}
		if m.Zone == "b" {
			m.Images = []string{"img"}
		}
		o.usableCache, o.board.Machines[m.ID] = append(o.usableCache, m), m
	}
	for range 8 {
		js := &jobState{job: &bookkeeping.Job{Spec: protocoltest.Job(func(s *protocol.JobSpec) {
			s.Team, s.Shape, s.OneZone, s.Tasks = "free", protocol.Gang, true, 3
		})}, pending: map[int]*pendingStart{}}
		rq := requests{}
		o.reserveGang(js, time.Now(), rq)
		for _, st := range rq["c1"].Starts {
			m := o.board.Machines[st.Machine]
			if m.Zone != "b" {
				t.Errorf("%s goes to zone %s", st.Task, m.Zone)
			}
		}
		if len(rq["c1"].Starts) != 3 {
			t.Errorf("requests: %+v", rq["c1"])
		}
		for _, m := range o.board.Machines {
			m.ClearRequests()
		}
	}
}

// Guards against a task that runs twice. A holder accepted a start and gave up the slot before its feed showed
// the start. The start must stay pending until the slot's next holder is complete; it was once dropped as
// void.
func TestPendingStartsSurviveAHandover(t *testing.T) {
	o := &Owner{board: board.New()}
	applyNews := func(holder string, inc, version, term uint64, complete bool, slots ...int) *board.News {
		r := &board.News{Incarnation: inc, Version: version, Window: 1, Valid: true}
		for _, s := range slots {
			r.Slots = append(r.Slots, board.SlotView{Slot: s, Term: term, Complete: complete})
		}
		o.board.Apply(holder, r, time.Now(), time.Now())
		return r
	}
	pending := func(start *pendingStart, holder string, r *board.News) bool {
		return !o.startResolved(start, holder, &FeedArgs{Fence: protocol.NewToken(1, 100)}, r)
	}
	applyNews("c0", 1, 10, 5, true, 0, 3)
	acked := &pendingStart{machine: "m", holder: "c0", holderIncarnation: 1, slot: 3, slotTerm: 5, requestID: protocol.NewToken(1, 7), acked: true, ackIncarnation: 1, ackVersion: 12}
	lost := &pendingStart{machine: "m", holder: "c0", holderIncarnation: 1, slot: 3, slotTerm: 5, requestID: protocol.NewToken(1, 8), outcomeUnknown: true}
	if r := applyNews("c0", 1, 11, 5, true, 0, 3); !pending(acked, "c0", r) {
		t.Error("resolved by a feed reply from before the start")
	}
	if r := applyNews("c0", 1, 13, 5, true, 0); !pending(acked, "c0", r) || !pending(lost, "c0", r) {
		t.Error("resolved by a feed reply of a holder that had given up the slot")
	}
	if r := applyNews("c1", 2, 4, 6, false, 3); !pending(acked, "c1", r) {
		t.Error("resolved while the slot is not complete at its new holder")
	}
	if r := applyNews("c1", 2, 5, 6, true, 3); pending(acked, "c1", r) || pending(lost, "c1", r) {
		t.Error("still pending although the slot is complete at its new holder")
	}
	covered := &pendingStart{machine: "m", holder: "c1", holderIncarnation: 2, slot: 3, slotTerm: 6, requestID: protocol.NewToken(1, 9), acked: true, ackIncarnation: 2, ackVersion: 6}
	if r := applyNews("c1", 2, 6, 6, true, 3); pending(covered, "c1", r) {
		t.Error("still pending although the holder's feed covers it")
	}
}

// A team within its guarantee may preempt work of a team beyond its own, whatever the priorities; otherwise
// only lower priorities may be preempted.
func TestPreemptionBetweenTeams(t *testing.T) {
	c, err := config.Load(settingsWith(t, "cpus = 8.0\n", "cpus = 4.0\n"), "")
	if err != nil {
		t.Fatal(err)
	}
	o := &Owner{cfg: c}
	use := map[string]protocol.Room{"free": {Cores: 4}, "bound": {Cores: 8}}
	job := func(team string, p protocol.Priority) *bookkeeping.Job {
		s := protocoltest.Job(func(s *protocol.JobSpec) { s.Team, s.Priority, s.Accels = team, p, 0 })
		return &bookkeeping.Job{Spec: s, DependencyState: bookkeeping.DependencyState{Urgency: urgencyOf(c, &bookkeeping.Job{Spec: s})}}
	}
	// A job that an urgent job needs is as urgent, both as claimant and as victim.
	needed := func(j *bookkeeping.Job) *bookkeeping.Job { j.Rank = 2; return j }
	if !o.claim(job("free", "idle"), use).WithinGuarantee || o.claim(job("bound", "idle"), use).WithinGuarantee {
		t.Error("a team that uses 4 of 8 guaranteed cores has 4 left, one that uses 8 of 4 has none")
	}
	for _, c := range []struct {
		victim, claimant *bookkeeping.Job
		want             bool
	}{
		{job("bound", "high"), job("free", "idle"), true},
		{job("free", "high"), job("bound", "idle"), false},
		{job("free", "idle"), job("bound", "high"), true},
		{job("free", "high"), job("free", "high"), false},
		{job("free", "normal"), needed(job("free", "idle")), true},
		{needed(job("free", "idle")), job("free", "high"), false},
	} {
		if got := placement.MayPreempt(o.claim(c.victim, use), o.claim(c.claimant, use)); got != c.want {
			t.Errorf("rank %d of %s may be preempted for rank %d of %s: %v", c.victim.Rank, c.victim.Spec.Team, c.claimant.Rank, c.claimant.Spec.Team, got)
		}
	}
}

// settingsWith writes the traces' settings with guarantees for both teams.
func settingsWith(t *testing.T, free, bound string) string {
	text := strings.Replace(fmt.Sprintf(settingsTemplate, "c0", "c0", "c0", "", "1", ""), "name = \"free\"\n", "name = \"free\"\n"+free, 1)
	text = strings.Replace(text, "name = \"bound\"\n", "name = \"bound\"\n"+bound, 1)
	file := filepath.Join(t.TempDir(), "c0.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Whatever part of the ring a controller gains, it must learn the revision after which jobs are new. The check
// once looked at a single token of its range, which it had owned before, and jobs of a gained team with a
// limit waited for ever.
func TestNewOwnersLearnTheGainRevision(t *testing.T) {
	o := &Owner{actor: newActor(context.Background()), cfg: &config.Config{}}
	o.cfg.Name = "c0"
	for n, owners := range [][]string{controllers, controllers, {"c0", "c1"}, {"c0", "c1"}, {"c0", "c1"}} {
		o.adoptWindow(&bookkeeping.Window{Number: uint64(n + 1), Owners: owners})
	}
	if o.ownersUnchangedSince() != 3 {
		t.Fatalf("present owners since window %d", o.ownersUnchangedSince())
	}
	o.gainRevisions = map[uint64]uint64{o.ownersUnchangedSince(): 77}
	for i := range 2000 {
		token := protocol.RingToken(protocol.TaskName("wk-1", i))
		if g := o.tokenGainWindow(token); (g != 0) != (o.window().Owner(token) == "c0") || g != 0 && o.newJobRevision(g) != 77 {
			t.Fatalf("token %d: gained in window %d, gain revision %d", token, g, o.newJobRevision(g))
		}
	}
}

// Admission is checked by block: the owner of a job may not start tasks in blocks that others own. A window that
// starts to divide jobs makes earlier requests void, though the ranges of the ring stay the same.
func TestAdmissionChecksTheOwnerOfTheBlock(t *testing.T) {
	h := &Holder{actor: newActor(context.Background()), versionChanged: make(chan struct{}), cfg: &config.Config{}, session: &Session{}, fences: map[string]protocol.Token{},
		jobs: map[string]*bookkeeping.Job{}, workersByID: map[string]*worker{}, slots: map[int]*heldSlot{}}
	s := &protocol.JobSpec{ID: "wk-1", Shape: protocol.Array, Tasks: 3 * bookkeeping.BlockTasks}
	j := &bookkeeping.Job{Spec: s, State: protocol.Pending, RingPosition: bookkeeping.RingPosition{Token: protocol.RingToken(s.ID), Blocks: bookkeeping.BlockCount(s)}}
	slot := &heldSlot{}
	h.jobs[s.ID], h.slots[0], h.workersByID["host-1"] = j, slot, &worker{id: "host-1", slot: slot, entries: map[string]*entry{}}
	refusal := func(caller string, index int) string {
		return h.admitStart(&AskArgs{Caller: caller}, Start{Task: protocol.TaskName(s.ID, index), Machine: "host-1"}, time.Now())
	}
	h.adoptWindow(&bookkeeping.Window{Number: 5, Owners: controllers})
	jobOwner := h.window.Owner(j.Token)
	if reason := refusal(jobOwner, s.Tasks-1); reason == "not the owner" {
		t.Error("the owner of an undivided job was refused")
	}
	h.adoptWindow(&bookkeeping.Window{Number: 6, Owners: controllers, BlockOwners: true})
	if h.ownersSince != 6 {
		t.Errorf("owners since window %d", h.ownersSince)
	}
	for index := 0; index < s.Tasks; index += bookkeeping.BlockTasks {
		for _, caller := range controllers {
			if refused := refusal(caller, index) == "not the owner"; refused != (caller != h.window.OwnerOf(j, index)) {
				t.Errorf("task %d for %s: refused is %v", index, caller, refused)
			}
		}
	}
	if jobOwner == h.window.OwnerOf(j, s.Tasks-1) {
		t.Error("the job's owner also owns the last block: no refusal was tested")
	}
}

// A leader asks to drain machines that it considers idle. The request fails for a machine that has got a
// task meanwhile, and ends when the leader drops the machine. A request with a lower number than the last one
// has no effect.
func TestDrainRequests(t *testing.T) {
	h := &Holder{actor: newActor(context.Background()), versionChanged: make(chan struct{}), cfg: &config.Config{}, workersByID: map[string]*worker{}}
	for _, id := range []string{"host-1", "host-2", "host-3"} {
		h.workersByID[id] = &worker{id: id, slot: &heldSlot{}, entries: map[string]*entry{}}
	}
	h.workersByID["host-2"].entries["wk-1/0"] = &entry{task: "wk-1/0", state: board.TaskReserved}
	h.workersByID["host-3"].entries["wk-1/1"] = &entry{task: "wk-1/1", state: protocol.TaskRunning}
	h.workersByID["host-3"].suspect = true
	drained := func() (ids []string) {
		for id, w := range h.workersByID {
			if time.Now().Before(w.drainUntil) {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		return ids
	}
	h.drain(&DrainArgs{Wish: 100, Machines: []string{"host-1", "host-2", "host-3"}})
	if got := drained(); !slices.Equal(got, []string{"host-1", "host-3"}) || len(h.workersByID["host-2"].entries) != 1 {
		t.Errorf("draining: %v", got)
	}
	if v := h.machineView(h.workersByID["host-1"]); v.Drained != 100 {
		t.Errorf("drained for request %d", v.Drained)
	}
	h.drain(&DrainArgs{Wish: 90, Machines: nil})
	if got := drained(); len(got) != 2 {
		t.Errorf("a former leader's request took effect: %v", got)
	}
	h.drain(&DrainArgs{Wish: 101, Machines: []string{"host-1"}})
	if got := drained(); !slices.Equal(got, []string{"host-1"}) || h.workersByID["host-1"].drainSequence != 100 {
		t.Errorf("draining: %v", got)
	}
}
