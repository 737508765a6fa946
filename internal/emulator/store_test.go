package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/protocol"
)

// plain is a direct model of the state service as the protocol describes it: all changes since the start,
// and keys found by a scan of them.
type plain struct {
	all    []protocol.Event
	leases map[uint64]time.Time // expiry times
	ttl    map[uint64]time.Duration
	bound  map[string]uint64
	last   uint64
	rev    uint64
}

func (p *plain) value(key string) (value string, version uint64) {
	for _, e := range p.all {
		if e.Set == key {
			value, version = string(e.Value), e.Version
		}
		if e.Drop == key {
			value, version = "", 0
		}
	}
	return value, version
}

func (p *plain) keys(prefix string) (keys []string) {
	there := map[string]bool{}
	for _, e := range p.all {
		there[e.Set+e.Drop] = e.Set != ""
	}
	for k, yes := range there {
		if yes && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (p *plain) apply(changes []put) {
	p.rev++
	for _, c := range changes {
		if c.Drop != "" {
			if _, v := p.value(c.Drop); v != 0 {
				p.all = append(p.all, protocol.Event{Drop: c.Drop, Version: p.rev})
			}
			delete(p.bound, c.Drop)
			continue
		}
		p.all = append(p.all, protocol.Event{Set: c.Set, Value: c.Value, Version: p.rev})
		delete(p.bound, c.Set)
		if c.Lease != 0 {
			p.bound[c.Set] = c.Lease
		}
	}
}

func (p *plain) end(id uint64) {
	var drops []put
	for key, lease := range p.bound {
		if lease == id {
			drops = append(drops, put{Drop: key})
		}
	}
	slices.SortFunc(drops, func(a, b put) int { return strings.Compare(a.Drop, b.Drop) })
	if len(drops) > 0 {
		p.apply(drops)
	}
	delete(p.leases, id)
}

// Random operations on the store and on the plain model give the same answers, keys, listings and changes.
func TestStoreIsThePlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		p := &plain{leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}, bound: map[string]uint64{}}
		now := time.Unix(0, 0)
		key := rapid.Map(rapid.IntRange(0, 5), func(n int) string { return []string{"a", "a/b", "a/c", "b", "b/a", "c"}[n] })
		lease := rapid.Uint64Range(0, 4)
		t.Repeat(map[string]func(*rapid.T){
			"txn": func(t *rapid.T) {
				x := &txn{}
				for range rapid.IntRange(0, 2).Draw(t, "conditions") {
					k := key.Draw(t, "if")
					_, version := p.value(k)
					if rapid.Bool().Draw(t, "wrong") {
						version += rapid.Uint64Range(0, 2).Draw(t, "by")
					}
					x.If = append(x.If, protocol.Condition{Key: k, Version: version})
				}
				for k := range rapid.MapOfN(key, rapid.Bool(), 0, 3).Draw(t, "keys") {
					if rapid.Bool().Draw(t, "drop") {
						x.Then = append(x.Then, put{Drop: k})
					} else {
						x.Then = append(x.Then, put{Set: k, Value: json.RawMessage(fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "value"))), Lease: lease.Draw(t, "lease")})
					}
				}
				var wrong []string
				dead := false
				for _, c := range x.If {
					if _, v := p.value(c.Key); v != c.Version {
						wrong = append(wrong, c.Key)
					}
				}
				for _, c := range x.Then {
					end, there := p.leases[c.Lease]
					dead = dead || c.Lease != 0 && (!there || !now.Before(end))
				}
				failed, err := s.commit(x, now)
				if dead != (err != nil) || !dead && !slices.Equal(failed, wrong) {
					t.Fatalf("%+v: failed %v, %v; expected %v, no lease %v", x, failed, err, wrong, dead)
				}
				if !dead && wrong == nil && len(x.Then) > 0 {
					p.apply(x.Then)
				}
			},
			"open": func(t *rapid.T) {
				ttl := time.Duration(rapid.IntRange(1, 5).Draw(t, "ttl")) * time.Second
				p.last++
				p.leases[p.last], p.ttl[p.last] = now.Add(ttl), ttl
				if id := s.openLease(ttl, now); id != p.last {
					t.Fatalf("lease %d, not %d", id, p.last)
				}
			},
			"touch": func(t *rapid.T) {
				id := lease.Draw(t, "lease")
				end, there := p.leases[id]
				if alive := there && now.Before(end); s.renew(id, now) != alive {
					t.Fatalf("touched %d, which lives: %v", id, alive)
				} else if alive {
					p.leases[id] = now.Add(p.ttl[id])
				}
			},
			"end": func(t *rapid.T) {
				id := lease.Draw(t, "lease")
				s.endLease(id)
				if _, there := p.leases[id]; there {
					p.end(id)
				}
			},
			"later": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				var over []uint64
				for id, end := range p.leases {
					if !now.Before(end) {
						over = append(over, id)
					}
				}
				slices.Sort(over)
				if got := s.expired(now); !slices.Equal(got, over) {
					t.Fatalf("overdue are %v, not %v", got, over)
				}
				for _, id := range over {
					s.endLease(id)
					p.end(id)
				}
			},
			"": func(t *rapid.T) {
				if s.revision != p.rev {
					t.Fatalf("revision %d, not %d", s.revision, p.rev)
				}
				prefix := rapid.SampledFrom([]string{"", "a", "a/", "z"}).Draw(t, "prefix")
				var got []string
				from := ""
				for more := true; more; {
					page := s.list(prefix, from, rapid.IntRange(1, 3).Draw(t, "most"))
					for _, pair := range page.Pairs {
						value, version := p.value(pair.Key)
						if value != string(pair.Value) || version != pair.Version {
							t.Fatalf("%+v, not %s of %d", pair, value, version)
						}
						got = append(got, pair.Key)
						from = pair.Key
					}
					more = page.More
				}
				if !slices.Equal(got, p.keys(prefix)) {
					t.Fatalf("listed %v, not %v", got, p.keys(prefix))
				}
				since := rapid.Uint64Range(0, p.rev+1).Draw(t, "since")
				events, err := s.since(prefix, since)
				var want []protocol.Event
				for _, e := range p.all {
					if e.Version > since && strings.HasPrefix(e.Set+e.Drop, prefix) {
						want = append(want, e)
					}
				}
				same := func(a, b protocol.Event) bool { return a.Set == b.Set && a.Drop == b.Drop && a.Version == b.Version }
				if err != nil || !slices.EqualFunc(events, want, same) {
					t.Fatalf("changes since %d: %v, %v; not %v", since, events, err, want)
				}
				if live := slices.Sorted(maps.Keys(s.leases)); !slices.Equal(live, slices.Sorted(maps.Keys(p.leases))) {
					t.Fatalf("leases %v, not %v", live, p.leases)
				}
			},
		})
	})
}

// A watch from a revision older than the kept changes fails.
func TestChangesNoLongerKept(t *testing.T) {
	s := newStore()
	for n := range 2 * maxEvents {
		s.apply([]put{{Set: fmt.Sprint("k", n%7), Value: json.RawMessage("1")}})
	}
	if _, err := s.since("", 5); err != errTooOld {
		t.Errorf("since 5: %v", err)
	}
	if ev, err := s.since("", uint64(maxEvents)+2); err != nil || len(ev) != maxEvents-2 {
		t.Errorf("%d changes, %v", len(ev), err)
	}
}
