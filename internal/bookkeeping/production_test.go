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

// During an upgrade both versions work on the same records. The types below are the records as the version in
// production declares them.

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

// recordingListener is a listener that keeps everything it receives.
type recordingListener struct {
	jobListener
	slots   map[int]*Slot
	members map[string]*Member
	window  *Window
	leader  *Leader
	catalog *protocol.Catalog
}

func (l *recordingListener) SlotChanged(slot int, s *Slot)        { l.slots[slot] = s }
func (l *recordingListener) MemberChanged(name string, m *Member) { l.members[name] = m }
func (l *recordingListener) WindowChanged(w *Window)              { l.window = w }
func (l *recordingListener) LeaderChanged(leader *Leader)         { l.leader = leader }
func (l *recordingListener) CatalogChanged(c *protocol.Catalog)   { l.catalog = c }
func newRecordingListener() *recordingListener {
	return &recordingListener{jobListener: jobListener{machineListener: machineListener{machines: map[string]bool{}}, jobs: map[string]*Job{}}, slots: map[int]*Slot{}, members: map[string]*Member{}}
}

func TestReadsProductionRecords(t *testing.T) {
	raw, err := os.ReadFile("testdata/production-records.txt")
	if err != nil {
		t.Fatal(err)
	}
	listener := newRecordingListener()
	replica := NewReplica(nil, func(*protocol.JobSpec) RingPosition { return RingPosition{Token: 0, Blocks: 1} }, func(*Job) Urgency { return Urgency{} }, listener, nil)
	version := uint64(0)
	for line := range strings.Lines(string(raw)) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && key != "#" {
			version++
			replica.apply(key, false, json.RawMessage(value), version)
		}
	}
	for id, state := range map[string]string{"wk-1": protocol.Done, "wk-2": protocol.Pending, "wk-3": protocol.Pending, "wk-4": protocol.Pending,
		"wk-5": protocol.Cancelled, "wk-6": protocol.Pending} {
		if j := listener.jobs[id]; j == nil || j.State != state || j.WaitingOn != 0 || j.Accepted.IsZero() || j.Archived != j.Final() || !j.Final() && !j.Ready.Equal(j.Accepted) {
			t.Errorf("%s was read as %+v", id, j)
		}
	}
	if j := listener.jobs["wk-6"]; j.DoneCount() == 0 {
		t.Error("results were not read")
	}
	s := listener.slots[0]
	if s == nil || s.Holder != "c0" || !s.RosterKnown || !s.Roster[0] || !s.Roster[6] || s.Term != 5 {
		t.Errorf("slot 0 was read as %+v", s)
	}
	if m := listener.members["c1"]; m == nil || m.Term != 2 || m.Generation != 0 {
		t.Errorf("the session of c1 was read as %+v", m)
	}
	if listener.leader == nil || listener.leader.Name != "c2" || listener.window == nil || len(listener.window.Assignment) != 6 || listener.catalog == nil || len(listener.catalog.Types) != 2 {
		t.Errorf("leader %+v, window %+v, catalogue %+v", listener.leader, listener.window, listener.catalog)
	}
	if !listener.machines["host-000008"] {
		t.Errorf("machines: %v", listener.machines)
	}
}

// reencodeAs decodes the encoding of a value into the type of another version.
func reencodeAs[T any](t *testing.T, v any) T {
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

func TestProductionVersionReadsOurRecords(t *testing.T) {
	due, zone := 90.0, "a"
	spec := &protocol.JobSpec{ID: "wk-1", Class: "train", Team: "vision", Shape: protocol.Gang, Priority: "high", Tasks: 2, Cores: 4, Image: "img",
		Types: []string{"g8"}, Zone: &zone, OneZone: true, EstimateS: 10, DeadlineS: &due}
	j := &Job{Spec: spec, Accepted: baseTime}
	pending := reencodeAs[productionJob](t, &jobRecord{Spec: spec, State: protocol.Pending, AcceptedMs: baseTime.UnixMilli()})
	if pending.Spec.Team != "vision" || pending.Spec.Types[0] != "g8" || *pending.Spec.Zone != "a" || *pending.Spec.DeadlineS != 90 || pending.AcceptedMs != baseTime.UnixMilli() {
		t.Errorf("pending job: %+v", pending)
	}
	finished := reencodeAs[productionJob](t, j.endedRecord(protocol.Done, "", baseTime.Add(time.Minute)))
	if finished.State != protocol.Done || finished.Spec.Tasks != 2 || finished.Spec.Cores != 4 || finished.Spec.ID != "wk-1" || finished.AcceptedMs != baseTime.UnixMilli() {
		t.Errorf("finished job: %+v", finished)
	}
	// The version in production skips a record without a description.
	if r := reencodeAs[productionJob](t, &jobRecord{State: protocol.Pending, PartCount: 2, Sum: "ab"}); r.Spec != nil {
		t.Errorf("job with a split description: %+v", r)
	}
	if m := reencodeAs[productionMember](t, Member{Term: 3, WorkersUnreachable: true, Generation: Generation}); m.Term != 3 || !m.Deaf {
		t.Errorf("session: %+v", m)
	}
	st := NewStore(nil, 4, 2048)
	small := Slot{Holder: "c0", Incarnation: 1, Term: 5, Roster: Roster{6: true, 12: true}, RosterKnown: true}
	if s := reencodeAs[productionSlot](t, st.packRoster(small)); !reflect.DeepEqual(s, productionSlot{"c0", 1, 5, []uint64{6, 6}, true}) {
		t.Errorf("slot: %+v", s)
	}
	// A roster in a form unknown to the version in production must not look like an empty roster.
	large := small
	large.Roster = Roster{}
	for n := range uint64(900) {
		large.Roster[2_000_000+42*n] = true
	}
	packed := st.packRoster(large)
	if s := reencodeAs[productionSlot](t, packed); s.Listed || len(s.Steps) != 0 || s.Term != 5 || !st.fits(packed) {
		t.Errorf("slot with a packed roster: %+v, %d bytes", s, encodedSize(packed))
	}
	back := reencodeAs[Slot](t, packed)
	back.unpackRoster()
	if !reflect.DeepEqual(back, large) {
		t.Errorf("%d machines after unpacking, roster known: %v", len(back.Roster), back.RosterKnown)
	}
}

// When the version in production rewrites a record, it drops fields that it doesn't know, such as the time at
// which a job ended. That time is then the one at which the replica saw the change, or unknown if the replica
// saw none.
func TestRecordRewrittenByProductionVersion(t *testing.T) {
	f := newReplicaFixture(t)
	f.accept("wk-1", "idle", 0)
	f.accept("wk-2", "high", 0, "wk-1")
	raw, _ := json.Marshal(reencodeAs[productionJob](t, &jobRecord{Spec: f.records["wk-1"].Spec, State: protocol.Done, AcceptedMs: baseTime.UnixMilli()}))
	f.revision++
	f.replica.apply(jobKey("wk-1"), false, raw, f.revision)
	if j := f.want("wk-2", protocol.Pending, 0); j.Ready.IsZero() || time.Since(j.Ready) > time.Minute {
		t.Errorf("ready at %v, want the time at which the change was seen", j.Ready)
	}
	// The end of a job that was looked up is unknown, so its dependents count as ready from their acceptance.
	f.accept("wk-4", "high", 0, "wk-3")
	f.replica.applyLookups([]lookupResult{{id: "wk-3", job: (*Job)(nil).withRecord(&jobRecord{Spec: &protocol.JobSpec{ID: "wk-3"}, State: protocol.Done}, 1)}})
	if j := f.want("wk-4", protocol.Pending, 0); !j.Ready.Equal(j.Accepted) {
		t.Errorf("ready at %v, want the time of acceptance", j.Ready)
	}
}

// ---- limits on the size of values

func TestSplitDescriptions(t *testing.T) {
	st := NewStore(nil, 4, 2048)
	spec := &protocol.JobSpec{ID: "wk-1", Tasks: 1}
	for n := range 5000 {
		spec.Needs = append(spec.Needs, protocol.TaskName("wk-"+strings.Repeat("7", 4), n*7919%100_000))
	}
	parts, sum, err := st.splitValue(spec)
	if err != nil || len(parts) < 2 || len(sum) != 16 {
		t.Fatalf("%d parts, %q, %v", len(parts), sum, err)
	}
	var raw [][]byte
	for _, p := range parts {
		if !st.fits(p) {
			t.Errorf("a part has %d bytes", encodedSize(p))
		}
		raw = append(raw, p.Data)
	}
	back, err := joinParts[protocol.JobSpec](raw, maxDescriptionBytes)
	if err != nil || !slices.Equal(back.Needs, spec.Needs) {
		t.Errorf("%d needs after joining, %v", len(back.Needs), err)
	}
	if _, err := joinParts[protocol.JobSpec](raw[1:], maxDescriptionBytes); err == nil {
		t.Error("a description without its first part was accepted as complete")
	}
	// The record of the end of the job needs no parts of its own.
	long := &Job{Spec: spec, Accepted: baseTime, partCount: 9, sum: sum}
	long.Spec.Class, long.Spec.Image = strings.Repeat("c", 2000), strings.Repeat("i", 2000)
	if rec := st.trimToFit(long.endedRecord(protocol.Done, "", baseTime)); !st.fits(rec) || rec.PartCount != 9 {
		t.Errorf("the record of a finished job has %d bytes", encodedSize(rec))
	}
}

func TestSplitLargeBatchesAndCatalogues(t *testing.T) {
	st := NewStore(nil, 4, 2048)
	batch := RentalBatch{Type: "small", Zone: "a"}
	for n := range protocol.MaxRent {
		batch.Machines = append(batch.Machines, strings.Repeat("x", 90)+string(rune('a'+n%26))+string(rune('a'+n/26)))
	}
	var all []string
	for name, part := range st.splitBatch("b-1-1", batch) {
		if !st.fits(part) || !strings.HasPrefix(name, "b-1-1") {
			t.Errorf("batch %s has %d bytes", name, encodedSize(part))
		}
		all = append(all, part.Machines...)
	}
	if slices.Sort(all); len(slices.Compact(all)) != protocol.MaxRent {
		t.Errorf("%d of %d machines are in batches", len(all), protocol.MaxRent)
	}
	var c protocol.Catalog
	for n := range 40 {
		c.Types = append(c.Types, protocol.MachineType{Name: strings.Repeat("t", n), Zones: []string{"a", "b", "c"}})
	}
	var p catalogAssembler
	recs := st.catalogRecords(c, 7)
	for i, r := range recs {
		if !st.fits(r) {
			t.Errorf("part %d has %d bytes", i, encodedSize(r))
		}
		whole := p.add(reencodeAs[catalogRecord](t, r), uint64(i+1))
		if last := i == len(recs)-1; last != (whole != nil) || last && !reflect.DeepEqual(*whole, c) {
			t.Errorf("after part %d of %d: catalogue %v", i, len(recs), whole)
		}
	}
	if len(recs) < 3 || len(st.catalogRecords(protocol.Catalog{Types: c.Types[:3]}, 8)) != 1 {
		t.Errorf("%d parts, want at least 3, and 1 part for a small catalogue", len(recs))
	}
}
