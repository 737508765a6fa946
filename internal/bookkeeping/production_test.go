package bookkeeping

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"daledyke/internal/protocol"
)

// Both versions work on the same records while an upgrade goes on. The types
// below are the records as the version in production has them.

type productionJob struct {
	Spec       *productionSpec `json:"spec"`
	State      string          `json:"state"`
	AcceptedMs int64           `json:"at"`
}

type productionSpec struct {
	ID          string   `json:"id"`
	Class       string   `json:"laneClass"`
	Team        string   `json:"crew"`
	Shape       string   `json:"shape"`
	Priority    string   `json:"urgency"`
	Tasks       int      `json:"passes"`
	Cores       float64  `json:"cores"`
	Accels      float64  `json:"accelerators"`
	RAM         float64  `json:"ramGb"`
	Image       string   `json:"build"`
	ImageGB     float64  `json:"pullGb"`
	Types       []string `json:"rigs"`
	Zone        *string  `json:"plaza"`
	OneZone     bool     `json:"oneZone"`
	Scatter     bool     `json:"scatter"`
	Spot        bool     `json:"standby"`
	EstimateS   float64  `json:"expectedS"`
	CheckpointS float64  `json:"snapshotS"`
	SaveS       float64  `json:"flushS"`
	DeadlineS   *float64 `json:"dueS"`
}

type productionSlot struct {
	Holder      string   `json:"holder"`
	Incarnation uint64   `json:"inc"`
	Term        uint64   `json:"term"`
	Steps       []uint64 `json:"up,omitempty"`
	Listed      bool     `json:"listed,omitempty"`
}

type productionMember struct {
	Term uint64 `json:"term"`
	Deaf bool   `json:"deaf,omitempty"`
}

// everything is a listener that keeps all that it hears.
type everything struct {
	follower
	slots   map[int]*Slot
	members map[string]*Member
	window  *Window
	leader  *Leader
	catalog *protocol.Catalog
}

func (e *everything) SlotChanged(slot int, s *Slot)        { e.slots[slot] = s }
func (e *everything) MemberChanged(name string, m *Member) { e.members[name] = m }
func (e *everything) WindowChanged(w *Window)              { e.window = w }
func (e *everything) LeaderChanged(l *Leader)              { e.leader = l }
func (e *everything) CatalogChanged(c *protocol.Catalog)   { e.catalog = c }
func newEverything() *everything {
	return &everything{follower: follower{heard: heard{machines: map[string]bool{}}, jobs: map[string]*Job{}}, slots: map[int]*Slot{}, members: map[string]*Member{}}
}

func TestRecordsOfTheVersionInProduction(t *testing.T) {
	raw, err := os.ReadFile("testdata/production-records.txt")
	if err != nil {
		t.Fatal(err)
	}
	e := newEverything()
	r := NewReplica(nil, func(*protocol.JobSpec) Seat { return Seat{Token: 0, Blocks: 1} }, func(*Job) Urgency { return Urgency{} }, e, nil)
	version := uint64(0)
	for line := range strings.Lines(string(raw)) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && key != "#" {
			version++
			r.apply(key, false, json.RawMessage(value), version)
		}
	}
	for id, state := range map[string]string{"wk-1": protocol.Done, "wk-2": protocol.Pending, "wk-3": protocol.Pending, "wk-4": protocol.Pending,
		"wk-5": protocol.Cancelled, "wk-6": protocol.Pending} {
		if j := e.jobs[id]; j == nil || j.State != state || j.Waits != 0 || j.Accepted.IsZero() || j.Archived != j.Final() || !j.Final() && !j.Ready.Equal(j.Accepted) {
			t.Errorf("%s is read as %+v", id, j)
		}
	}
	if j := e.jobs["wk-6"]; j.DoneCount() == 0 {
		t.Error("results are not read")
	}
	s := e.slots[0]
	if s == nil || s.Holder != "c0" || !s.Listed || !s.Roster[0] || !s.Roster[6] || s.Term != 5 {
		t.Errorf("slot 0 is read as %+v", s)
	}
	if m := e.members["c1"]; m == nil || m.Term != 2 || m.Generation != 0 {
		t.Errorf("the session of c1 is read as %+v", m)
	}
	if e.leader == nil || e.leader.Name != "c2" || e.window == nil || len(e.window.Assignment) != 6 || e.catalog == nil || len(e.catalog.Types) != 2 {
		t.Errorf("%+v, %+v, %+v", e.leader, e.window, e.catalog)
	}
	if !e.machines["host-000008"] {
		t.Errorf("machines: %v", e.machines)
	}
}

// as reads a value as the version in production does.
func as[T any](t *testing.T, v any) T {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var out T
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
	return out
}

func TestTheVersionInProductionReadsOurRecords(t *testing.T) {
	due, zone := 90.0, "a"
	spec := &protocol.JobSpec{ID: "wk-1", Class: "train", Team: "vision", Shape: protocol.Gang, Priority: "high", Tasks: 2, Cores: 4, Image: "img",
		Types: []string{"g8"}, Zone: &zone, OneZone: true, EstimateS: 10, DeadlineS: &due}
	j := &Job{Spec: spec, Accepted: dawn}
	before := as[productionJob](t, &jobRecord{Spec: spec, State: protocol.Pending, AcceptedMs: dawn.UnixMilli()})
	if before.Spec.Team != "vision" || before.Spec.Types[0] != "g8" || *before.Spec.Zone != "a" || *before.Spec.DeadlineS != 90 || before.AcceptedMs != dawn.UnixMilli() {
		t.Errorf("a job: %+v", before)
	}
	over := as[productionJob](t, j.ended(protocol.Done, "", dawn.Add(time.Minute)))
	if over.State != protocol.Done || over.Spec.Tasks != 2 || over.Spec.Cores != 4 || over.Spec.ID != "wk-1" || over.AcceptedMs != dawn.UnixMilli() {
		t.Errorf("a job that is over: %+v", over)
	}
	// It passes over a record without a description.
	if r := as[productionJob](t, &jobRecord{State: protocol.Pending, Parts: 2, Sum: "ab"}); r.Spec != nil {
		t.Errorf("a job in parts: %+v", r)
	}
	if m := as[productionMember](t, Member{Term: 3, WorkersUnreachable: true, Generation: Generation}); m.Term != 3 || !m.Deaf {
		t.Errorf("a session: %+v", m)
	}
	st := NewStore(nil, 4, 2048)
	small := Slot{Holder: "c0", Incarnation: 1, Term: 5, Roster: Roster{6: true, 12: true}, Listed: true}
	if s := as[productionSlot](t, st.packed(small)); !reflect.DeepEqual(s, productionSlot{"c0", 1, 5, []uint64{6, 6}, true}) {
		t.Errorf("a slot: %+v", s)
	}
	// A roster in a form that it doesn't know must not look like an empty one.
	large := small
	large.Roster = Roster{}
	for n := range uint64(900) {
		large.Roster[2_000_000+42*n] = true
	}
	packed := st.packed(large)
	if s := as[productionSlot](t, packed); s.Listed || len(s.Steps) != 0 || s.Term != 5 || !st.fits(packed) {
		t.Errorf("a packed slot: %+v, %d bytes", s, size(packed))
	}
	back := as[Slot](t, packed)
	back.unpack()
	if !reflect.DeepEqual(back, large) {
		t.Errorf("%d machines came back, listed %v", len(back.Roster), back.Listed)
	}
}

// What the older version drops when it rewrites a record must not be missed:
// when a job ended is then known by who saw it, or not at all.
func TestRewrittenByTheVersionInProduction(t *testing.T) {
	l := newLedger(t)
	l.accept("wk-1", "idle", 0)
	l.accept("wk-2", "high", 0, "wk-1")
	raw, _ := json.Marshal(as[productionJob](t, &jobRecord{Spec: l.records["wk-1"].Spec, State: protocol.Done, AcceptedMs: dawn.UnixMilli()}))
	l.revision++
	l.r.apply(jobKey("wk-1"), false, raw, l.revision)
	if j := l.want("wk-2", protocol.Pending, 0); j.Ready.IsZero() || time.Since(j.Ready) > time.Minute {
		t.Errorf("ready at %v, it was seen to become so just now", j.Ready)
	}
	// One that is found so is ready since it was accepted, as far as one knows.
	l.accept("wk-4", "high", 0, "wk-3")
	l.r.learn([]finding{{id: "wk-3", job: (*Job)(nil).withRecord(&jobRecord{Spec: &protocol.JobSpec{ID: "wk-3"}, State: protocol.Done}, 1)}})
	if j := l.want("wk-4", protocol.Pending, 0); !j.Ready.Equal(j.Accepted) {
		t.Errorf("ready at %v", j.Ready)
	}
}

// ---- what fits into a value

func TestDescriptionsInParts(t *testing.T) {
	st := NewStore(nil, 4, 2048)
	spec := &protocol.JobSpec{ID: "wk-1", Tasks: 1}
	for n := range 5000 {
		spec.Needs = append(spec.Needs, protocol.TaskName("wk-"+strings.Repeat("7", 4), n*7919%100_000))
	}
	parts, sum, err := st.divide(spec)
	if err != nil || len(parts) < 2 || len(sum) != 16 {
		t.Fatalf("%d parts, %q, %v", len(parts), sum, err)
	}
	var raw [][]byte
	for _, p := range parts {
		if !st.fits(p) {
			t.Errorf("a part takes %d bytes", size(p))
		}
		raw = append(raw, p.Data)
	}
	back, err := join[protocol.JobSpec](raw, mostDescription)
	if err != nil || !slices.Equal(back.Needs, spec.Needs) {
		t.Errorf("%d names came back, %v", len(back.Needs), err)
	}
	if _, err := join[protocol.JobSpec](raw[1:], mostDescription); err == nil {
		t.Error("a description without its first part is taken for whole")
	}
	// The record of its end takes no parts.
	long := &Job{Spec: spec, Accepted: dawn, parts: 9, sum: sum}
	long.Spec.Class, long.Spec.Image = strings.Repeat("c", 2000), strings.Repeat("i", 2000)
	if rec := st.brief(long.ended(protocol.Done, "", dawn)); !st.fits(rec) || rec.Parts != 9 {
		t.Errorf("the end of a job takes %d bytes", size(rec))
	}
}

func TestRentalBatchesAndCataloguesThatAreTooLarge(t *testing.T) {
	st := NewStore(nil, 4, 2048)
	l := RentalBatch{Type: "small", Zone: "a"}
	for n := range protocol.MaxRent {
		l.Machines = append(l.Machines, strings.Repeat("x", 90)+string(rune('a'+n%26))+string(rune('a'+n/26)))
	}
	var all []string
	for name, part := range st.divided("b-1-1", l) {
		if !st.fits(part) || !strings.HasPrefix(name, "b-1-1") {
			t.Errorf("%s takes %d bytes", name, size(part))
		}
		all = append(all, part.Machines...)
	}
	if slices.Sort(all); len(slices.Compact(all)) != protocol.MaxRent {
		t.Errorf("%d machines of %d", len(all), protocol.MaxRent)
	}
	var c protocol.Catalog
	for n := range 40 {
		c.Types = append(c.Types, protocol.MachineType{Name: strings.Repeat("t", n), Zones: []string{"a", "b", "c"}})
	}
	var p catalogParts
	recs := st.catalogRecords(c, 7)
	for i, r := range recs {
		if !st.fits(r) {
			t.Errorf("part %d takes %d bytes", i, size(r))
		}
		whole := p.take(as[catalogRecord](t, r), uint64(i+1))
		if last := i == len(recs)-1; last != (whole != nil) || last && !reflect.DeepEqual(*whole, c) {
			t.Errorf("after part %d of %d: %v", i, len(recs), whole)
		}
	}
	if len(recs) < 3 || len(st.catalogRecords(protocol.Catalog{Types: c.Types[:3]}, 8)) != 1 {
		t.Errorf("%d parts", len(recs))
	}
}
