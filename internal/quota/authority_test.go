package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daledyke/internal/protocol"
)

// simOwner is a controller that starts tasks.
type simOwner struct {
	term    uint64
	news    bool // it has had news of the holder in this incarnation
	holding map[Attempt]Permit
	sent    map[Attempt]bool
}

type simAsk struct {
	owner  int
	term   uint64
	at     Attempt
	permit Permit
}

// simWorld is one holder, some owners and an authority, and all that can happen
// to what they say to each other.
type simWorld struct {
	tree    *Tree
	jobs    map[string]Job
	now     time.Time
	seq     uint64
	owners  []*simOwner
	asks    []simAsk
	running map[Attempt]string // what the holder accepted, by job
	fence   map[string]uint64  // the oldest incarnation that the holder serves
	obeys   uint64             // the window that it obeys

	authority *Authority
	name      string
	term      uint64
	window    uint64
	asked     time.Time // when the news on their way were asked for
	seen      Seen
	ready     bool
}

func (w *simWorld) depose(window bool) {
	w.term++
	if window {
		w.window++
		w.name = fmt.Sprint("c", w.window)
	}
	w.authority, w.ready, w.seen, w.asked = NewAuthority(w.tree), false, Seen{Present: w.window}, time.Time{}
}

func (w *simWorld) job(id string) (Job, bool) { j, ok := w.jobs[id]; return j, ok }

func (w *simWorld) work() (out []Work) {
	for at, id := range w.running {
		j := w.jobs[id]
		out = append(out, Work{ID: at.Task, Account: j.Account, Need: j.Need, Rank: j.Rank})
	}
	return out
}

// In whatever order permits are granted, lost, used late, held by owners and
// authorities that crash, are deposed and come back, while quotas change, what runs
// never exceeds a limit that it did not exceed when that fell.
func TestNothingIsLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := func(c float64) protocol.Room { return protocol.Room{Cores: c} }
		limited := func(a, x, y int) *Tree {
			tree, err := NewTree([]Account{{Name: "a", Limit: cores(float64(a))}, {Name: "a/x", Limit: cores(float64(x))}, {Name: "a/y", Limit: cores(float64(y))}}, anyTeam)
			if err != nil {
				t.Fatal(err)
			}
			return tree
		}
		tree := limited(2, 1, 2)
		// allowed is what an account may use: its limit, or what was used or lent when
		// that fell below it.
		allowed := map[string]float64{"a": 2, "a/x": 1, "a/y": 2}
		w := &simWorld{tree: tree, now: time.Unix(1000, 0), running: map[Attempt]string{}, fence: map[string]uint64{}, window: 1, obeys: 1, name: "c1",
			jobs: map[string]Job{"j0": {"a/x", cores(1), 0}, "j1": {"a/y", cores(1), 1}, "j2": {"a/y", cores(2), 2}, "j3": {"a", cores(1), 3}}}
		for range 2 {
			w.owners = append(w.owners, &simOwner{term: 1, holding: map[Attempt]Permit{}, sent: map[Attempt]bool{}})
		}
		w.depose(false)
		// Which steps are taken is drawn evenly: rapid's own draws prefer the first.
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, seed))
		steps := []string{"want", "want", "want", "ask", "ask", "ask", "arrives", "settles", "askNews", "askNews", "news", "news", "ends", "authorityCrashes", "deposed", "ownersChange", "quotasChange", "ownerCrashes", "ownerNews"}
		for range 300 {
			w.now = w.now.Add(100 * time.Millisecond)
			k := rng.IntN(len(w.owners))
			o, name := w.owners[k], fmt.Sprint("o", k)
			switch steps[rng.IntN(len(steps))] {
			case "want":
				if !w.ready || !o.news {
					continue
				}
				r := &Request{Caller: name, Term: o.term}
				for at := range o.holding {
					r.Holding = append(r.Holding, at)
				}
				want := Want{Job: fmt.Sprint("j", rng.IntN(4)), Together: rng.IntN(2) == 0}
				for range 1 + rng.IntN(2) {
					w.seq++
					want.Attempts = append(want.Attempts, Attempt{want.Job, w.seq})
				}
				r.Wants = []Want{want}
				reply := w.authority.Lend(r, Permit{w.name, w.term, w.window}, w.seen, w.job, w.work, w.now)
				if rng.IntN(4) == 0 {
					continue
				}
				for _, at := range reply.Granted {
					o.holding[at] = reply.Permit
				}
			case "ask":
				for at, p := range o.holding {
					if !o.sent[at] {
						o.sent[at] = true
						w.asks = append(w.asks, simAsk{k, o.term, at, p})
						break
					}
				}
			case "arrives":
				if len(w.asks) == 0 {
					continue
				}
				i := rng.IntN(len(w.asks))
				a := w.asks[i]
				w.asks = append(w.asks[:i:i], w.asks[i+1:]...)
				if a.term >= w.fence[fmt.Sprint("o", a.owner)] && a.permit.Window >= w.obeys && a.permit.Term >= w.fence[a.permit.Authority] {
					w.running[a.at] = a.at.Task
				}
			case "settles": // the owner learns what became of its requests, and gives back what it doesn't use
				if !o.news {
					continue
				}
				for at := range o.holding {
					open := false
					for _, a := range w.asks {
						open = open || a.at == at
					}
					if !open {
						delete(o.holding, at)
						delete(o.sent, at)
					}
				}
			case "askNews":
				if w.asked.IsZero() {
					w.asked = w.now
				}
			case "news":
				if w.asked.IsZero() {
					continue
				}
				w.fence[w.name], w.obeys = max(w.fence[w.name], w.term), max(w.obeys, w.window)
				w.seen = Seen{Asked: w.asked, Present: w.window, Obeyed: true}
				w.asked, w.ready = time.Time{}, true
				for id, j := range w.jobs {
					var there []Attempt
					for at, of := range w.running {
						if of == id {
							there = append(there, at)
						}
					}
					w.authority.Count(id, j, there)
				}
			case "ends":
				for at := range w.running {
					delete(w.running, at)
					break
				}
			case "authorityCrashes":
				w.depose(false)
			case "deposed":
				w.depose(true)
			case "quotasChange":
				next := limited(1+rng.IntN(3), 1+rng.IntN(2), 1+rng.IntN(3))
				for _, a := range next.accounts {
					booked := allowed[a.Name]
					if w.ready {
						booked = w.authority.Ledger().Used(a.Name).Cores
					}
					allowed[a.Name] = max(a.Limit.Cores, booked)
				}
				tree, w.tree = next, next
				w.authority.SetTree(next)
			case "ownersChange": // others than the authority: it goes on, but grants nothing until all holders obey
				w.window++
				w.seen.Present, w.seen.Obeyed, w.ready = w.window, false, false
			case "ownerCrashes":
				*o = simOwner{term: o.term + 1, holding: map[Attempt]Permit{}, sent: map[Attempt]bool{}}
			case "ownerNews":
				o.news, w.fence[name] = true, max(w.fence[name], o.term)
			}
			use := NewLedger(tree)
			for _, id := range w.running {
				use.Use(w.jobs[id].Account, w.jobs[id].Need)
			}
			for i, a := range tree.accounts {
				if use.nodes[i].use.Cores > allowed[a.Name] {
					t.Fatalf("%s uses %v of %v", a.Name, use.nodes[i].use, allowed[a.Name])
				}
			}
		}
	})
}

// Permits that are out come back once nobody can use them any more; until then
// they count.
func TestPermitsComeBack(t *testing.T) {
	cores := func(c float64) protocol.Room { return protocol.Room{Cores: c} }
	tree, err := NewTree([]Account{{Name: "a", Limit: cores(2)}}, anyTeam)
	if err != nil {
		t.Fatal(err)
	}
	a := NewAuthority(tree)
	job := func(string) (Job, bool) { return Job{"a", cores(1), 1}, true }
	now := time.Unix(1000, 0)
	ask := func(term uint64, holding []Attempt, seen Seen, tasks ...string) []Attempt {
		r := &Request{Caller: "o", Term: term, Holding: holding}
		for _, task := range tasks {
			r.Wants = append(r.Wants, Want{Job: task, Attempts: []Attempt{{task, term}}})
		}
		return a.Lend(r, Permit{"c", 1, 1}, seen, job, func() []Work { return nil }, now).Granted
	}
	old, fresh := Seen{Asked: now.Add(-time.Second), Present: 1}, Seen{Asked: now.Add(time.Second), Present: 1}
	if got := ask(1, nil, old, "x", "y", "z"); len(got) != 2 {
		t.Fatalf("granted %v of a limit of two", got)
	}
	if got := ask(1, []Attempt{{"x", 1}}, old, "z"); len(got) != 0 {
		t.Errorf("one was let go, but may run: %v", got)
	}
	if got := ask(1, []Attempt{{"x", 1}}, fresh, "z"); len(got) != 1 {
		t.Errorf("news that were asked for later lack it: %v", got)
	}
	if got := ask(2, nil, old, "z"); len(got) != 0 {
		t.Errorf("those of the former process count: %v", got)
	}
	if got := ask(1, nil, fresh, "z"); len(got) != 0 {
		t.Errorf("a former process is served: %v", got)
	}
	if got := ask(2, nil, fresh, "z"); len(got) != 1 {
		t.Errorf("until news show what it did: %v", got)
	}
	a.Count("z", Job{"a", cores(1), 1}, []Attempt{{"z", 2}})
	if u := a.Ledger().Used("a"); u != cores(1) || a.Lent() != 0 {
		t.Errorf("a task that shows counts twice: %v, %d out", u, a.Lent())
	}
}

// A request for a round of 64 tasks, and what it costs with 2,000 accounts and 3,000
// jobs that run.
func BenchmarkLend(b *testing.B) {
	for _, n := range []int{10, 200, 2000} {
		list := []Account{{Name: "a"}}
		for i := range n {
			list = append(list, Account{Name: fmt.Sprintf("a/%d", i), Limit: protocol.Room{Cores: 1e6}})
		}
		tree, err := NewTree(list, anyTeam)
		if err != nil {
			b.Fatal(err)
		}
		a := NewAuthority(tree)
		for i := range 3000 {
			a.Count(fmt.Sprint("j", i), Job{list[1+i%n].Name, protocol.Room{Cores: 1}, 1}, []Attempt{{fmt.Sprint("j", i, "/0"), 1}})
		}
		job := func(string) (Job, bool) { return Job{list[n/2].Name, protocol.Room{Cores: 1}, 1}, true }
		r := &Request{Caller: "o", Term: 1, Wants: []Want{{Job: "x"}}}
		for i := range 64 {
			r.Wants[0].Attempts = append(r.Wants[0].Attempts, Attempt{fmt.Sprint("x/", i), 1})
		}
		now := time.Unix(1000, 0)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if got := a.Lend(r, Permit{"c", 1, 1}, Seen{Asked: now, Present: 1}, job, func() []Work { return nil }, now); len(got.Granted) != 64 {
					b.Fatal(got)
				}
			}
		})
	}
}
