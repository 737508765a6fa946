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

	"daledyke/internal/bookkeeping"
	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// The pure decisions, each on a snapshot written down by hand.

var controllers = []string{"c0", "c1", "c2"}

func members(names ...string) map[string]*bookkeeping.Member {
	out := map[string]*bookkeeping.Member{}
	for i, n := range names {
		out[n] = &bookkeeping.Member{Term: uint64(i + 1)}
	}
	return out
}

func TestNextWindow(t *testing.T) {
	const every, offset = 10 * time.Second, 5 * time.Second
	at := time.UnixMilli(1_000_000)
	next := func(cur *bookkeeping.Window, m map[string]*bookkeeping.Member, now time.Time) *bookkeeping.Window {
		return nextWindow(cur, m, controllers, now, every, offset)
	}
	first := next(nil, members("c0", "c1", "c2"), at)
	if first == nil || first.Number != 1 || !slices.Equal(first.Owners, controllers) || len(first.Deal) != 6 {
		t.Fatalf("first window: %+v", first)
	}
	if w := next(first, members("c0", "c1", "c2"), at.Add(4*time.Second)); w != nil {
		t.Errorf("published before the middle: %+v", w)
	}
	w := next(first, members("c0", "c1", "c2"), at.Add(5*time.Second))
	if w == nil || w.Number != 2 || w.StartMs != first.StartMs+every.Milliseconds() {
		t.Errorf("published in the middle: %+v", w)
	}
	lost := next(first, members("c0", "c2"), at.Add(time.Second))
	if lost == nil || !slices.Equal(lost.Owners, []string{"c0", "c2"}) || slices.Contains(lost.Deal, "c1") {
		t.Errorf("a lost controller must be replaced at once: %+v", lost)
	}
	if !slices.Contains(lost.Deal[1:2], "c0") && !slices.Contains(lost.Deal[4:5], "c0") || lost.Deal[1] == lost.Deal[4] {
		t.Errorf("the workers of the lost controller go to one heir alone: %v", lost.Deal)
	}
	deaf := members("c0", "c1", "c2")
	deaf["c1"].Deaf = true
	if w := next(first, deaf, at); w == nil || slices.Contains(w.Deal, "c1") || len(w.Owners) != 3 {
		t.Errorf("a deaf controller keeps its range but gets no workers: %+v", w)
	}
}

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

func spec(mod func(*protocol.JobSpec)) *protocol.JobSpec {
	s := &protocol.JobSpec{ID: "wk-1", Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 4, Cores: 4, Accels: 1,
		RAM: 16, Image: "img", ImageGB: 10, EstimateS: 60}
	if mod != nil {
		mod(s)
	}
	return s
}

var machineTypes = map[string]protocol.MachineType{
	"small": {Name: "small", Cores: 8, Accels: 2, RAM: 64, CacheGB: 50, FetchRate: 1, Price: 2, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}},
	"large": {Name: "large", Cores: 32, Accels: 8, RAM: 256, CacheGB: 50, FetchRate: 1, Price: 9, SpotPrice: 2, BootS: 20, Zones: []string{"a", "b"}},
}

func machine(id, rig string, free protocol.Room, images ...string) *boardMachine {
	return &boardMachine{current: true, MachineView: MachineView{ID: id, Type: rig, Zone: "a", Usable: true, Free: free, Images: images}}
}

func TestBestFit(t *testing.T) {
	p := &placing{spec: spec(nil), types: machineTypes, scarce: map[string]bool{"large": true}, sample: 8, rng: rand.New(rand.NewPCG(1, 2))}
	small, large := protocol.Room{Cores: 8, Accels: 2, RAM: 64}, protocol.Room{Cores: 32, Accels: 8, RAM: 256}
	half := protocol.Room{Cores: 4, Accels: 1, RAM: 32}
	away := machine("m9", "small", small, "img")
	away.Usable = false
	for name, c := range map[string]struct {
		machines []*boardMachine
		want     string
	}{
		"the fuller machine":                {[]*boardMachine{machine("m1", "small", small), machine("m2", "small", half)}, "m2"},
		"the image at hand":                 {[]*boardMachine{machine("m1", "small", small, "img"), machine("m2", "small", half)}, "m1"},
		"large ones are kept whole":         {[]*boardMachine{machine("m1", "large", large), machine("m2", "small", small)}, "m2"},
		"one that can't be used is no good": {[]*boardMachine{away, machine("m2", "small", small)}, "m2"},
	} {
		p.gather(c.machines)
		got, ok := p.bestFit()
		if !ok || got.machine.ID != c.want {
			t.Errorf("%s: %v, %v", name, got.machine, ok)
		}
	}
	p.keep = true
	p.gather([]*boardMachine{machine("m1", "large", large, "img")})
	if _, ok := p.bestFit(); ok {
		t.Error("a service was given a machine that other work can't do without")
	}
	p.keep = false
	p.gather([]*boardMachine{machine("m1", "small", protocol.Room{Cores: 3, Accels: 2, RAM: 64})})
	if _, ok := p.bestFit(); ok {
		t.Error("placed where there is no room")
	}
}

func TestPlanFleet(t *testing.T) {
	refusedZone := ""
	plan := func(machines []*fleetMachine, ds ...demand) ([]rental, []string) {
		return planFleet(&fleetInput{types: machineTypes, machines: machines, demands: ds, idleAfter: 20 * time.Second,
			refused: func(_, zone string, _ bool) bool { return zone == refusedZone }})
	}
	total := func(rs []rental) (n int) {
		for _, r := range rs {
			n += r.count
		}
		return n
	}
	if rent, _ := plan(nil, demand{spec: spec(nil), count: 4}); total(rent) != 2 || rent[0].rig != "small" || rent[0].spot {
		t.Errorf("four tasks need two small machines: %+v", rent)
	}
	if rent, _ := plan(nil, demand{spec: spec(func(s *protocol.JobSpec) { s.Spot = true }), count: 4}); total(rent) != 2 || !rent[0].spot {
		t.Errorf("cheap machines for work that may use them: %+v", rent)
	}
	booting := &fleetMachine{id: "m1", rig: "small", zone: "a", booting: true, free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}
	if rent, _ := plan([]*fleetMachine{booting}, demand{spec: spec(nil), count: 2}); total(rent) != 0 {
		t.Errorf("machines that boot count: %+v", rent)
	}
	refusedZone = "a"
	if rent, _ := plan(nil, demand{spec: spec(nil), count: 2}); total(rent) != 1 || rent[0].zone != "b" {
		t.Errorf("refused kinds are left alone for a while: %+v", rent)
	}
	refusedZone = ""
	idle := func() *fleetMachine {
		return &fleetMachine{id: "m2", rig: "small", zone: "a", free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}, idle: time.Minute}
	}
	if _, back := plan([]*fleetMachine{idle()}); !slices.Equal(back, []string{"m2"}) {
		t.Errorf("idle machines are returned: %v", back)
	}
	if _, back := plan([]*fleetMachine{idle()}, demand{spec: spec(nil), count: 1, spare: true}); len(back) != 0 {
		t.Errorf("but not those kept ready: %v", back)
	}
	idleWork := demand{spec: spec(func(s *protocol.JobSpec) { s.Spot, s.Priority = true, "idle" }), count: 400, filler: true}
	if rent, _ := plan(nil, idleWork); total(rent) != 2 || !rent[0].spot {
		t.Errorf("filler work must not starve, but costs little: %+v", rent)
	}
	if rent, _ := plan([]*fleetMachine{{id: "m4", rig: "small", zone: "a", yields: protocol.Room{Cores: 8, Accels: 2, RAM: 64}},
		{id: "m5", rig: "small", zone: "a", booting: true, free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}}, idleWork); total(rent) != 0 {
		t.Errorf("what is there for it, or boots, counts: %+v", rent)
	}
	filled := &fleetMachine{id: "m3", rig: "small", zone: "a", yields: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}
	high := spec(func(s *protocol.JobSpec) { s.Priority = "high" })
	for _, spare := range []bool{false, true} {
		// Otherwise it takes what was rented to be kept ready, again and again.
		filled.free = protocol.Room{}
		if rent, _ := plan([]*fleetMachine{filled}, demand{spec: high, count: 2, spare: spare}); total(rent) != 0 {
			t.Errorf("filler work makes way: %+v", rent)
		}
	}
	gang := spec(func(s *protocol.JobSpec) { s.Cores, s.Shape = 20, protocol.Gang })
	if rent, _ := plan(nil, demand{spec: gang, count: 1}, demand{spec: spec(nil), count: 2}); total(rent) != 1 || rent[0].rig != "large" {
		t.Errorf("small work goes beside the large: %+v", rent)
	}
}

// A gang that must share a zone goes where all its tasks have their image
// soonest, not to the first zone that has room.
func TestGangsGoWhereTheirImageIs(t *testing.T) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	o := &Owner{cfg: c, board: newBoard(), types: machineTypes, rng: rand.New(rand.NewPCG(3, 4)), session: &Session{}, peers: map[string]*peerState{"c1": {}},
		unclear: map[string]*jobState{}}
	for n := range 12 {
		m := machine(fmt.Sprintf("m%d", n), "small", protocol.Room{Cores: 8, Accels: 2, RAM: 64})
		m.holder, m.Zone = "c1", []string{"a", "b", "c"}[n%3]
		if m.Zone == "b" {
			m.Images = []string{"img"}
		}
		o.usable, o.board.machines[m.ID] = append(o.usable, m), m
	}
	for range 8 {
		js := &jobState{job: &bookkeeping.Job{Spec: spec(func(s *protocol.JobSpec) {
			s.Team, s.Shape, s.OneZone, s.Tasks = "free", protocol.Gang, true, 3
		})}, pending: map[int]*pendingStart{}}
		rq := requests{}
		o.gatherGang(js, time.Now(), rq)
		for _, st := range rq["c1"].Starts {
			m := o.board.machines[st.Machine]
			if m.Zone != "b" {
				t.Errorf("%s goes to zone %s", st.Task, m.Zone)
			}
		}
		if len(rq["c1"].Starts) != 3 {
			t.Errorf("%+v", rq["c1"])
		}
		for _, m := range o.board.machines {
			m.promised = protocol.Room{}
		}
	}
}

// Machines that come late are not replaced while others of their type come late
// too, and one that never comes is given back all the same.
func TestLateMachines(t *testing.T) {
	const boot = 40 * time.Second
	usual, gone := bootLimits(boot, nil)
	if usual != 77*time.Second || gone != 119*time.Second {
		t.Errorf("%v, %v", usual, gone)
	}
	slow := []time.Duration{90 * time.Second, 95 * time.Second, 110 * time.Second, 100 * time.Second, 30 * time.Second}
	if late, never := bootLimits(boot, slow); late != 125*time.Second || never != 200*time.Second {
		t.Errorf("slow ones: %v, %v", late, never)
	}
	quick := []time.Duration{time.Second, time.Second, time.Second, time.Second, 300 * time.Second}
	if late, never := bootLimits(boot, quick); late != usual || never != gone {
		t.Errorf("quick ones: %v, %v", late, never)
	}
}

// Short tasks share room one after the other, if the users' aim leaves time.
func TestRoomForArrays(t *testing.T) {
	for _, c := range []struct {
		tasks          int
		estimate, left time.Duration
		want           int
	}{
		{25, 35 * time.Second, 93 * time.Second, 25},
		{25000, 4 * time.Second, 320 * time.Second, 695},
		{25000, 4 * time.Second, 10 * time.Second, 25000},
		{3, time.Second, 400 * time.Second, 1},
		{7, time.Minute, -time.Second, 7},
	} {
		if got := inTurn(c.tasks, c.estimate, c.left); got != c.want {
			t.Errorf("%d of %v in %v: %d", c.tasks, c.estimate, c.left, got)
		}
	}
}

// Machines without tasks go at once, as long as the others have room for what
// comes; what filler work would like to have keeps none.
func TestSurplusMachinesGoAtOnce(t *testing.T) {
	fleet := func(busy, empty int) (ms []*fleetMachine) {
		for n := range busy + empty {
			m := &fleetMachine{id: fmt.Sprintf("m%02d", n), rig: "small", zone: "a", free: protocol.Room{Cores: 8, Accels: 2, RAM: 64}}
			if n < busy {
				m.used, m.free = true, protocol.Room{Cores: 4, Accels: 1, RAM: 32}
			}
			ms = append(ms, m)
		}
		return ms
	}
	greedy := demand{spec: spec(func(s *protocol.JobSpec) { s.Priority = "idle" }), count: 100, filler: true}
	for _, c := range []struct {
		busy, empty, gone int
		demands           []demand
	}{
		{20, 10, 10, nil},
		{20, 10, 10, []demand{greedy}},
		{20, 10, 0, []demand{{spec: spec(nil), count: 34}}},
		{0, 3, 2, nil},
		{2, 1, 1, nil},
		{1, 1, 0, nil},
	} {
		if _, gone := planFleet(&fleetInput{types: machineTypes, machines: fleet(c.busy, c.empty), demands: c.demands, idleAfter: time.Minute,
			refused: func(string, string, bool) bool { return false }}); len(gone) != c.gone {
			t.Errorf("%d busy and %d empty: %v", c.busy, c.empty, gone)
		}
	}
}

// A holder took a start on and gave the slot up before its news showed it.
// The start must stay pending until the slot's next holder knows all: once it
// was taken for void, and the task ran twice.
func TestStartsOutliveTheHolderThatTookThem(t *testing.T) {
	o := &Owner{board: newBoard()}
	news := func(holder string, inc, version, term uint64, complete bool, slots ...int) *FeedReply {
		r := &FeedReply{Incarnation: inc, Version: version, Window: 1, Valid: true}
		for _, s := range slots {
			r.Slots = append(r.Slots, SlotView{Slot: s, Term: term, Complete: complete})
		}
		o.board.apply(holder, r, time.Now())
		return r
	}
	open := func(ps *pendingStart, holder string, r *FeedReply) bool {
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
		s := spec(func(s *protocol.JobSpec) { s.Team, s.Priority, s.Accels = team, p, 0 })
		return &bookkeeping.Job{Spec: s, Place: bookkeeping.Place{Urgency: urgency(c, &bookkeeping.Job{Spec: s})}}
	}
	// One that an urgent job needs is as urgent, as who asks and as who may go.
	needed := func(j *bookkeeping.Job) *bookkeeping.Job { j.Rank = 2; return j }
	if !o.guaranteed(job("free", "idle").Spec, use) || o.guaranteed(job("bound", "idle").Spec, use) {
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
		if got := o.mayStop(x.victim, x.by, o.guaranteed(x.by.Spec, use), use); got != x.want {
			t.Errorf("%d of %s for %d of %s: %v", x.victim.Rank, x.victim.Spec.Team, x.by.Rank, x.by.Spec.Team, got)
		}
	}
}

// Jobs with a mistake fail on every machine, faulty machines fail every job.
// Once, two such jobs had a healthy machine thrown away.
func TestWhoIsToBlame(t *testing.T) {
	const sound, unknown = true, false
	for name, c := range map[string]struct {
		on        map[string]bool
		succeeded bool
		want      opinion
	}{
		"one machine says nothing":                 {map[string]bool{"m1": sound}, false, undecided},
		"two on which others succeed tell":         {map[string]bool{"m1": sound, "m2": sound}, false, atFault},
		"two of which nothing is known do not":     {map[string]bool{"m1": sound, "m2": unknown}, false, undecided},
		"three do":                                 {map[string]bool{"m1": unknown, "m2": unknown, "m3": unknown}, false, atFault},
		"who succeeds anywhere is innocent":        {map[string]bool{"m1": sound, "m2": sound, "m3": sound}, true, innocent},
		"also after it was thought to be at fault": {map[string]bool{"m1": sound}, true, innocent},
	} {
		if got := judgeJob(c.on, c.succeeded); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	for name, c := range map[string]struct {
		by             []opinion
		doubted        time.Duration
		doubt, suspect bool
	}{
		"one failure":                    {[]opinion{innocent}, 0, false, false},
		"two innocent jobs":              {[]opinion{innocent, innocent}, 0, true, true},
		"two that may be":                {[]opinion{undecided, innocent}, 0, true, false},
		"but not for ever":               {[]opinion{undecided, undecided}, 2 * time.Minute, true, true},
		"three that may be":              {[]opinion{undecided, undecided, undecided}, 0, true, true},
		"jobs that fail everywhere":      {[]opinion{atFault, atFault, atFault}, 0, false, false},
		"beside one that does not":       {[]opinion{atFault, atFault, innocent}, 0, false, false},
		"nothing failed since it worked": {nil, time.Hour, false, false},
	} {
		if doubt, suspect := judgeMachine(c.by, c.doubted); doubt != c.doubt || suspect != c.suspect {
			t.Errorf("%s: doubt %v, suspect %v", name, doubt, suspect)
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

// A leader wants a machine kept free that it believes to be idle. If a task was
// asked for there meanwhile, the wish comes too late; and it is over when the
// leader no longer has it, also one whose session is older than the last one's.
func TestWishesToDrain(t *testing.T) {
	h := &Holder{actor: newActor(context.Background()), changed: make(chan struct{}), cfg: &config.Config{}, byID: map[string]*worker{}}
	for _, id := range []string{"host-1", "host-2", "host-3"} {
		h.byID[id] = &worker{id: id, slot: &heldSlot{}, entries: map[string]*entry{}}
	}
	h.byID["host-2"].entries["wk-1/0"] = &entry{task: "wk-1/0", state: taskReserved}
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

// Room is kept ready for those for whom a machine would be late: a class whose
// image takes nearly as long as its aim once had a third of the fleet kept empty.
func TestRoomKeptReady(t *testing.T) {
	c, err := config.Load(settingsWith(t, "", ""), "")
	if err != nil {
		t.Fatal(err)
	}
	o := &Owner{cfg: c, types: machineTypes}
	now := time.Now()
	arrivals := func(image float64) *classStats { // one a second
		s := &classStats{spec: spec(func(s *protocol.JobSpec) { s.Class = "live" }), image: image}
		for i := range maxArrivals {
			s.arrivals = append(s.arrivals, now.Add(-time.Duration(i)*time.Second))
		}
		return s
	}
	for image, want := range map[float64]int{0.5: 5, 3: 8, 30: 38} { // wanted within 10 s, boots in 13 s
		if n, _ := o.spare("live", arrivals(image), now, now.Add(-time.Hour)); n != want {
			t.Errorf("image of %v GB: room for %d tasks, want %d", image, n, want)
		}
	}
	if n, _ := o.spare("batch", arrivals(3), now, now.Add(-time.Hour)); n != 0 {
		t.Errorf("no aim, but room for %d tasks", n)
	}
}
