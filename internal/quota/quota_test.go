package quota

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"

	"daledyke/internal/protocol"
)

func anyTeam(string) bool { return true }

func TestFaultsAreNamed(t *testing.T) {
	room := func(c float64) protocol.Room { return protocol.Room{Cores: c} }
	for _, c := range []struct {
		list  []Account
		index int
		want  error
	}{
		{[]Account{{Name: "a"}, {Name: "a/b"}, {Name: "a"}}, 2, ErrTwice},
		{[]Account{{Name: "a"}, {Name: "a/b/c"}}, 1, ErrNoParent},
		{[]Account{{Name: "a"}, {Name: "b"}}, 1, ErrNoTeam},
		{[]Account{{Name: "a/ b"}}, 0, ErrName},
		{[]Account{{Name: "a//b"}}, 0, ErrName},
		{[]Account{{Name: "a" + strings.Repeat("/x", MaxDepth)}}, 0, ErrDeep},
		{[]Account{{Name: "a", Limit: room(-1)}}, 0, ErrAmount},
		{[]Account{{Name: "a", Limit: room(math.NaN())}}, 0, ErrAmount},
		{[]Account{{Name: "a", Guarantee: room(3), Limit: room(2)}}, 0, ErrGuarantee},
		{[]Account{{Name: "a", Guarantee: room(3)}, {Name: "a/x", Guarantee: room(2)}, {Name: "a/y", Guarantee: room(2)}}, 2, ErrParent},
	} {
		_, err := NewTree(c.list, func(n string) bool { return n == "a" })
		var f *Fault
		if !errors.Is(err, c.want) || !errors.As(err, &f) || f.Index != c.index {
			t.Errorf("%v: %v", c.list, err)
		}
	}
	tree, err := NewTree([]Account{{Name: "a", Guarantee: room(4)}, {Name: "a/x", Guarantee: room(4)}}, anyTeam)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tree.With([]Account{{Name: "a", Guarantee: room(3)}}, nil, anyTeam); !errors.Is(err, ErrParent) {
		t.Errorf("a change that leaves children with more than their parent: %v", err)
	}
	if next, err := tree.With([]Account{{Name: "a", Guarantee: room(3)}, {Name: "a/x", Guarantee: room(2)}}, nil, anyTeam); err != nil || len(next.Accounts()) != 2 {
		t.Errorf("a change of both: %v", err)
	}
	if next, err := tree.With(nil, []string{"a/x"}, anyTeam); err != nil || len(next.Accounts()) != 1 {
		t.Errorf("one taken out: %v", err)
	}
	if _, err := tree.With(nil, []string{"a/z"}, anyTeam); err == nil {
		t.Error("one taken out that is not there")
	}
}

// drawTree draws a tree of two resources whose guarantees fit.
func drawTree(t *rapid.T) *Tree {
	n := rapid.IntRange(1, 14).Draw(t, "accounts")
	list := []Account{{Name: "a", Guarantee: protocol.Room{Cores: 40, Accels: 8}, Limit: protocol.Room{Cores: float64(rapid.IntRange(40, 80).Draw(t, "limit")), Accels: 12}}}
	left := map[string]protocol.Room{"a": list[0].Guarantee}
	for i := 1; i < n; i++ {
		above := list[rapid.IntRange(0, len(list)-1).Draw(t, "above")]
		if strings.Count(above.Name, "/") >= MaxDepth-1 {
			continue
		}
		name := fmt.Sprintf("%s/%d", above.Name, i)
		g := protocol.Room{Cores: float64(rapid.IntRange(0, int(left[above.Name].Cores)).Draw(t, "cores")), Accels: float64(rapid.IntRange(0, int(left[above.Name].Accels)).Draw(t, "accels"))}
		l := protocol.Room{Cores: g.Cores + float64(rapid.IntRange(0, 40).Draw(t, "more")), Accels: g.Accels + float64(rapid.IntRange(0, 8).Draw(t, "more"))}
		left[above.Name], left[name] = left[above.Name].Sub(g), g
		list = append(list, Account{Name: name, Guarantee: g, Limit: l, Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))})
	}
	tree, err := NewTree(list, anyTeam)
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func drawNeed(t *rapid.T) protocol.Room {
	return protocol.Room{Cores: float64(rapid.IntRange(1, 12).Draw(t, "cores")), Accels: float64(rapid.IntRange(0, 3).Draw(t, "accels"))}
}

// Whatever comes, ends and waits, no account uses more than its limit, what is
// summed up along the paths equals a plain count, and in the end everything that
// still waits is held back by a limit, or by what may rightly go first.
func TestNoAccountExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		l := NewLedger(tree)
		var running, waiting []*Claim
		check := func() {
			for i, a := range tree.accounts {
				plain := protocol.Room{}
				for _, c := range running {
					if c.Account == a.Name || strings.HasPrefix(c.Account, a.Name+"/") {
						plain = plain.Add(c.Need)
					}
				}
				if plain != l.nodes[i].use {
					t.Fatalf("%s: uses %v, counted as %v", a.Name, plain, l.nodes[i].use)
				}
				for k := range ranks {
					sum := protocol.Room{}
					for _, c := range tree.children[i] {
						sum = sum.Add(l.nodes[c].asks[k])
					}
					if sum != l.nodes[i].asked[k] {
						t.Fatalf("%s: what is asked for from below is %v, counted as %v", a.Name, sum, l.nodes[i].asked[k])
					}
				}
				if len(waiting) == 0 && (l.nodes[i].direct != [ranks]protocol.Room{} || l.nodes[i].asks != [ranks]protocol.Room{}) {
					t.Fatalf("%s: nothing waits, but %+v is kept", a.Name, l.nodes[i])
				}
				if !within(plain, a.Limit) {
					t.Fatalf("%s uses %v of %v", a.Name, plain, a.Limit)
				}
				for k := range ranks {
					sum := protocol.Room{}
					for _, c := range tree.children[i] {
						sum = sum.Add(l.nodes[c].asks[k])
					}
					if sum != l.nodes[i].asked[k] {
						t.Fatalf("%s: children ask %v, counted as %v", a.Name, sum, l.nodes[i].asked[k])
					}
				}
			}
		}
		try := func() {
			var still []*Claim
			for _, c := range waiting {
				l.Settle(c)
				if _, ok := l.Admits(c); ok {
					l.Use(c.Account, c.Need)
					running = append(running, c)
				} else {
					l.Wait(c)
					still = append(still, c)
				}
			}
			waiting = still
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				k := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				l.Use(running[k].Account, protocol.Room{}.Sub(running[k].Need))
				running = append(running[:k], running[k+1:]...)
			} else {
				c := &Claim{Account: tree.accounts[rapid.IntRange(0, len(tree.accounts)-1).Draw(t, "account")].Name, Need: drawNeed(t), Rank: rapid.IntRange(0, 3).Draw(t, "rank")}
				if _, never := tree.Never(c.Account, c.Need); never {
					continue
				}
				l.Wait(c)
				waiting = append(waiting, c)
			}
			check()
			try()
			check()
		}
		// All that runs ends: what waits gets its turn, at the latest when what is
		// kept for others is let go.
		for len(waiting) > 0 {
			for _, c := range running {
				l.Use(c.Account, protocol.Room{}.Sub(c.Need))
			}
			running = nil
			before := len(waiting)
			if try(); len(waiting) == before {
				for _, c := range waiting {
					l.Settle(c)
				}
				if _, ok := l.Admits(waiting[0]); !ok {
					t.Fatalf("with nothing running and nothing kept, %v waits for ever", waiting[0])
				}
				for _, c := range waiting {
					l.Wait(c)
				}
				l.Settle(waiting[0])
				l.Use(waiting[0].Account, waiting[0].Need)
				running, waiting = append(running, waiting[0]), waiting[1:]
			}
			check()
		}
	})
}

// fair solves the division level by level with a linear program: the oracle.
func fair(t *rapid.T, capacity float64, parts []Part) []float64 {
	n := len(parts)
	fixed := make([]float64, n)
	for i := range fixed {
		fixed[i] = math.NaN()
	}
	for range n {
		// Variables: the common level, each share, slacks. Maximise the level with
		// share = max(low, weight*level) kept as share >= low, share >= weight*level,
		// for those that are not fixed.
		free := 0
		for i := range parts {
			if math.IsNaN(fixed[i]) {
				free++
			}
		}
		if free == 0 {
			break
		}
		cols := 1 + n + 3*n + 1
		var rows [][]float64
		var b []float64
		row := func(f func(r []float64), rhs float64) {
			r := make([]float64, cols)
			f(r)
			rows, b = append(rows, r), append(b, rhs)
		}
		for i, p := range parts {
			if !math.IsNaN(fixed[i]) {
				row(func(r []float64) { r[1+i] = 1 }, fixed[i])
				for k := 1; k <= 3; k++ {
					row(func(r []float64) { r[1+k*n+i] = 1 }, 0) // not used
				}
				continue
			}
			row(func(r []float64) { r[1+i], r[1+n+i] = 1, -1 }, p.Low)                // at least Low
			row(func(r []float64) { r[1+i], r[1+2*n+i] = 1, 1 }, p.High)              // at most High
			row(func(r []float64) { r[1+i], r[0], r[1+3*n+i] = 1, -p.Weight, -1 }, 0) // at least its part of the level
		}
		row(func(r []float64) {
			for i := range parts {
				r[1+i] = 1
			}
			r[cols-1] = 1
		}, capacity)
		c := make([]float64, cols)
		c[0] = -1
		flat := mat.NewDense(len(rows), cols, nil)
		for i, r := range rows {
			flat.SetRow(i, r)
		}
		_, x, err := lp.Simplex(c, flat, b, 1e-9, nil)
		if err != nil {
			t.Fatalf("the oracle fails: %v", err)
		}
		// Those that the level holds at their High stay there; if none is, the
		// capacity is used up and all have their part.
		bound := false
		for i, p := range parts {
			if math.IsNaN(fixed[i]) && p.High <= p.Weight*x[0]+1e-7 {
				fixed[i], bound = p.High, true
			}
		}
		if !bound {
			for i, p := range parts {
				if math.IsNaN(fixed[i]) {
					fixed[i] = max(p.Low, p.Weight*x[0])
				}
			}
		}
	}
	return fixed
}

func TestDivisionIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts []Part
		low, high := 0.0, 0.0
		for range rapid.IntRange(1, 6).Draw(t, "parts") {
			l := float64(rapid.IntRange(0, 10).Draw(t, "low"))
			p := Part{float64(rapid.IntRange(1, 4).Draw(t, "weight")), l, l + float64(rapid.IntRange(1, 20).Draw(t, "high"))}
			parts, low, high = append(parts, p), low+p.Low, high+p.High
		}
		capacity := low + (high-low)*rapid.Float64Range(0.02, 0.98).Draw(t, "capacity")
		got, want := Divide(capacity, parts), fair(t, capacity, parts)
		for i := range parts {
			if math.Abs(got[i]-want[i]) > 1e-5 {
				t.Fatalf("%v among %+v: %v, the solver says %v", capacity, parts, got, want)
			}
		}
	})
	if got := Divide(3, []Part{{1, 2, 5}, {1, 4, 9}}); got[0] != 2 || got[1] != 4 {
		t.Errorf("no share is below its low: %v", got)
	}
	if got := Divide(100, []Part{{1, 2, 5}, {1, 4, 9}}); got[0] != 5 || got[1] != 9 {
		t.Errorf("nor above its high: %v", got)
	}
}

// After limits fell, what is left fits, but for live services, of which none goes
// while anything else can.
func TestShrinking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		var work []Work
		for i := range rapid.IntRange(0, 25).Draw(t, "tasks") {
			w := Work{ID: fmt.Sprint(i), Account: tree.accounts[rapid.IntRange(0, len(tree.accounts)-1).Draw(t, "account")].Name, Need: drawNeed(t),
				Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Live: rapid.IntRange(0, 3).Draw(t, "live") == 0}
			work = append(work, w)
		}
		plan := Shrink(tree, work)
		stopped := map[string]bool{}
		for _, w := range plan.Stop {
			if w.stays() {
				t.Fatalf("a live service loses %s", w.ID)
			}
			stopped[w.ID] = true
		}
		use, live, before := NewLedger(tree), NewLedger(tree), NewLedger(tree)
		for _, w := range work {
			before.Use(w.Account, w.Need)
			if !stopped[w.ID] {
				use.Use(w.Account, w.Need)
			}
			if w.stays() {
				live.Use(w.Account, w.Need)
			}
		}
		fits := true
		for i, a := range tree.accounts {
			fits = fits && within(before.nodes[i].use, a.Limit)
			if !within(use.nodes[i].use, a.Limit) && use.nodes[i].use != live.nodes[i].use {
				// Only what the live services take too much of may be over.
				if !overOnlyLive(use.nodes[i].use, live.nodes[i].use, a.Limit) {
					t.Fatalf("%s uses %v of %v after the plan, %v of it live", a.Name, use.nodes[i].use, a.Limit, live.nodes[i].use)
				}
			}
		}
		if fits && len(plan.Stop) > 0 {
			t.Fatalf("nothing exceeds a limit, but %v stops", plan.Stop)
		}
	})
}

// overOnlyLive tells whether, in each resource that is over, live services alone
// are over.
func overOnlyLive(use, live, limit protocol.Room) bool {
	ok := func(use, live, limit float64) bool { return limit <= 0 || use <= limit+1e-6 || live >= limit-1e-6 }
	return ok(use.Cores, live.Cores, limit.Cores) && ok(use.Accels, live.Accels, limit.Accels)
}

// What is lent comes back: work of a lower priority in accounts beyond their
// guarantee goes, as much as is needed and no more; nobody within a guarantee pays.
func TestReclaim(t *testing.T) {
	cores := func(c float64) protocol.Room { return protocol.Room{Cores: c} }
	tree, err := NewTree([]Account{{Name: "a", Guarantee: cores(20), Limit: cores(20)}, {Name: "a/x", Guarantee: cores(10)}, {Name: "a/y", Guarantee: cores(6)}, {Name: "a/z", Guarantee: cores(4)}}, anyTeam)
	if err != nil {
		t.Fatal(err)
	}
	l := NewLedger(tree)
	var work []Work
	run := func(account string, rank, n int) {
		for range n {
			work = append(work, Work{ID: fmt.Sprint(len(work)), Account: account, Need: cores(2), Rank: rank, Loss: float64(len(work))})
			l.Use(account, cores(2))
		}
	}
	run("a/x", 0, 8) // 16 of 10 guaranteed
	run("a/z", 0, 2) // 4 of 4
	claim := &Claim{Account: "a/y", Need: cores(4), Rank: 1}
	binds, ok := l.Admits(claim)
	if ok || binds != "a" {
		t.Fatalf("%v, %v", binds, ok)
	}
	stop := Reclaim(l, claim, binds, work)
	if len(stop) != 2 || stop[0].Account != "a/x" || stop[1].Account != "a/x" {
		t.Errorf("%+v", stop)
	}
	if stop := Reclaim(l, &Claim{Account: "a/y", Need: cores(4)}, binds, work); stop != nil {
		t.Errorf("work of the same priority stops: %+v", stop)
	}
	if stop := Reclaim(l, &Claim{Account: "a/y", Need: cores(8), Rank: 1}, binds, work); stop != nil {
		t.Errorf("more than is guaranteed is reclaimed: %+v", stop)
	}
	// Until then nobody borrows what comes free.
	l.Wait(claim)
	l.Use("a/x", cores(-4))
	if _, ok := l.Admits(&Claim{Account: "a/x", Need: cores(2)}); ok {
		t.Error("what is asked back was lent again")
	}
	if _, ok := l.Admits(claim); !ok {
		t.Error("it can't start although there is room")
	}
}

// The cost of a decision must not grow with the number of accounts.
func BenchmarkAdmits(b *testing.B) {
	for _, n := range []int{10, 200, 2000} {
		list := []Account{{Name: "a", Limit: protocol.Room{Cores: 1e6}}}
		for i := 1; len(list) < n; i++ {
			list = append(list, Account{Name: fmt.Sprintf("a/%d", i)})
			for k := 0; k < 9 && len(list) < n; k++ {
				list = append(list, Account{Name: fmt.Sprintf("a/%d/%d", i, k), Limit: protocol.Room{Cores: 100}})
			}
		}
		tree, err := NewTree(list, anyTeam)
		if err != nil {
			b.Fatal(err)
		}
		l := NewLedger(tree)
		c := &Claim{Account: list[len(list)-1].Name, Need: protocol.Room{Cores: 1}, Rank: 1}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := l.Admits(c); ok {
					l.Use(c.Account, c.Need)
					l.Use(c.Account, protocol.Room{Cores: -1})
				}
			}
		})
	}
}
