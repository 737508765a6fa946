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

func TestNewTreeReportsInvalidAccounts(t *testing.T) {
	room := func(c float64) protocol.Room { return protocol.Room{Cores: c} }
	for _, c := range []struct {
		list  []Account
		index int
		want  error
	}{
		{[]Account{{Name: "a"}, {Name: "a/b"}, {Name: "a"}}, 2, ErrDuplicate},
		{[]Account{{Name: "a"}, {Name: "a/b/c"}}, 1, ErrNoParent},
		{[]Account{{Name: "a"}, {Name: "b"}}, 1, ErrUnknownTeam},
		{[]Account{{Name: "a/ b"}}, 0, ErrInvalidName},
		{[]Account{{Name: "a//b"}}, 0, ErrInvalidName},
		{[]Account{{Name: "a" + strings.Repeat("/x", MaxDepth)}}, 0, ErrTooDeep},
		{[]Account{{Name: "a", Limit: room(-1)}}, 0, ErrInvalidAmount},
		{[]Account{{Name: "a", Limit: room(math.NaN())}}, 0, ErrInvalidAmount},
		{[]Account{{Name: "a", Guarantee: room(3), Limit: room(2)}}, 0, ErrGuaranteeAboveLimit},
		{[]Account{{Name: "a", Guarantee: room(3)}, {Name: "a/x", Guarantee: room(2)}, {Name: "a/y", Guarantee: room(2)}}, 2, ErrGuaranteesAboveParent},
	} {
		_, err := NewTree(c.list, func(n string) bool { return n == "a" })
		var f *AccountError
		if !errors.Is(err, c.want) || !errors.As(err, &f) || f.Index != c.index {
			t.Errorf("NewTree(%v): %v", c.list, err)
		}
	}
	tree, err := NewTree([]Account{{Name: "a", Guarantee: room(4)}, {Name: "a/x", Guarantee: room(4)}}, anyTeam)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tree.With([]Account{{Name: "a", Guarantee: room(3)}}, nil, anyTeam); !errors.Is(err, ErrGuaranteesAboveParent) {
		t.Errorf("a change that leaves children with larger guarantees than their parent: %v", err)
	}
	if next, err := tree.With([]Account{{Name: "a", Guarantee: room(3)}, {Name: "a/x", Guarantee: room(2)}}, nil, anyTeam); err != nil || len(next.Accounts()) != 2 {
		t.Errorf("a change of parent and child: %v", err)
	}
	if next, err := tree.With(nil, []string{"a/x"}, anyTeam); err != nil || len(next.Accounts()) != 1 {
		t.Errorf("removal of an account: %v", err)
	}
	if _, err := tree.With(nil, []string{"a/z"}, anyTeam); err == nil {
		t.Error("removal of an account that does not exist was accepted")
	}
}

// drawTree draws a tree with two resources in which the guarantees of children fit their parent's.
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

// TestNoAccountExceedsItsLimit starts, ends and queues claims at random. No account may use more than its
// limit, the sums along the paths have to equal a plain count, and whatever still waits at the end has to be
// held back by a limit or by a reservation.
func TestNoAccountExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		ledger := NewLedger(tree)
		var running, waiting []*Claim
		check := func() {
			for i, a := range tree.accounts {
				plain := protocol.Room{}
				for _, c := range running {
					if c.Account == a.Name || strings.HasPrefix(c.Account, a.Name+"/") {
						plain = plain.Add(c.Need)
					}
				}
				if plain != ledger.nodes[i].use {
					t.Fatalf("%s: uses %v, counted as %v", a.Name, plain, ledger.nodes[i].use)
				}
				for k := range rankCount {
					sum := protocol.Room{}
					for _, c := range tree.children[i] {
						sum = sum.Add(ledger.nodes[c].parentReserve[k])
					}
					if sum != ledger.nodes[i].childReserve[k] {
						t.Fatalf("%s: the children reserve %v, counted as %v", a.Name, sum, ledger.nodes[i].childReserve[k])
					}
				}
				if len(waiting) == 0 && (ledger.nodes[i].ownReserve != [rankCount]protocol.Room{} || ledger.nodes[i].parentReserve != [rankCount]protocol.Room{}) {
					t.Fatalf("%s: nothing waits, but %+v is reserved", a.Name, ledger.nodes[i])
				}
				if !withinLimit(plain, a.Limit) {
					t.Fatalf("%s uses %v of %v", a.Name, plain, a.Limit)
				}
				for k := range rankCount {
					sum := protocol.Room{}
					for _, c := range tree.children[i] {
						sum = sum.Add(ledger.nodes[c].parentReserve[k])
					}
					if sum != ledger.nodes[i].childReserve[k] {
						t.Fatalf("%s: the children reserve %v, counted as %v", a.Name, sum, ledger.nodes[i].childReserve[k])
					}
				}
			}
		}
		startWaiting := func() {
			var denied []*Claim
			for _, c := range waiting {
				ledger.Release(c)
				if _, ok := ledger.Admits(c); ok {
					ledger.AddUse(c.Account, c.Need)
					running = append(running, c)
				} else {
					ledger.Reserve(c)
					denied = append(denied, c)
				}
			}
			waiting = denied
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				k := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				ledger.AddUse(running[k].Account, protocol.Room{}.Sub(running[k].Need))
				running = append(running[:k], running[k+1:]...)
			} else {
				c := &Claim{Account: tree.accounts[rapid.IntRange(0, len(tree.accounts)-1).Draw(t, "account")].Name, Need: drawNeed(t), Rank: rapid.IntRange(0, 3).Draw(t, "rank")}
				if _, never := tree.NeverFits(c.Account, c.Need); never {
					continue
				}
				ledger.Reserve(c)
				waiting = append(waiting, c)
			}
			check()
			startWaiting()
			check()
		}
		// When all running work ends, every waiting claim has to start, at the latest once the reservations
		// of all others are released.
		for len(waiting) > 0 {
			for _, c := range running {
				ledger.AddUse(c.Account, protocol.Room{}.Sub(c.Need))
			}
			running = nil
			before := len(waiting)
			if startWaiting(); len(waiting) == before {
				for _, c := range waiting {
					ledger.Release(c)
				}
				if _, ok := ledger.Admits(waiting[0]); !ok {
					t.Fatalf("with nothing running and nothing reserved, %v does not start", waiting[0])
				}
				for _, c := range waiting {
					ledger.Reserve(c)
				}
				ledger.Release(waiting[0])
				ledger.AddUse(waiting[0].Account, waiting[0].Need)
				running, waiting = append(running, waiting[0]), waiting[1:]
			}
			check()
		}
	})
}

// solveFairShares computes the fair shares level by level with a linear program, as the reference for
// FairShares.
func solveFairShares(t *rapid.T, capacity float64, participants []Participant) []float64 {
	n := len(participants)
	fixed := make([]float64, n)
	for i := range fixed {
		fixed[i] = math.NaN()
	}
	for range n {
		// Variables: the common level, each share, slacks. The program maximises the level where each share
		// that is not fixed is at least its Min and at least weight*level, and at most its Max.
		free := 0
		for i := range participants {
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
		for i, p := range participants {
			if !math.IsNaN(fixed[i]) {
				row(func(r []float64) { r[1+i] = 1 }, fixed[i])
				for k := 1; k <= 3; k++ {
					row(func(r []float64) { r[1+k*n+i] = 1 }, 0) // not used
				}
				continue
			}
			row(func(r []float64) { r[1+i], r[1+n+i] = 1, -1 }, p.Min)                // at least Min
			row(func(r []float64) { r[1+i], r[1+2*n+i] = 1, 1 }, p.Max)               // at most Max
			row(func(r []float64) { r[1+i], r[0], r[1+3*n+i] = 1, -p.Weight, -1 }, 0) // at least weight*level
		}
		row(func(r []float64) {
			for i := range participants {
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
			t.Fatalf("the linear program fails: %v", err)
		}
		// The shares that reach their Max at this level are fixed there. If none does, the capacity is used
		// up, and all shares are final.
		atMax := false
		for i, p := range participants {
			if math.IsNaN(fixed[i]) && p.Max <= p.Weight*x[0]+1e-7 {
				fixed[i], atMax = p.Max, true
			}
		}
		if !atMax {
			for i, p := range participants {
				if math.IsNaN(fixed[i]) {
					fixed[i] = max(p.Min, p.Weight*x[0])
				}
			}
		}
	}
	return fixed
}

func TestFairSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var participants []Participant
		low, high := 0.0, 0.0
		for range rapid.IntRange(1, 6).Draw(t, "participants") {
			l := float64(rapid.IntRange(0, 10).Draw(t, "low"))
			p := Participant{float64(rapid.IntRange(1, 4).Draw(t, "weight")), l, l + float64(rapid.IntRange(1, 20).Draw(t, "high"))}
			participants, low, high = append(participants, p), low+p.Min, high+p.Max
		}
		capacity := low + (high-low)*rapid.Float64Range(0.02, 0.98).Draw(t, "capacity")
		got, want := FairShares(capacity, participants), solveFairShares(t, capacity, participants)
		for i := range participants {
			if math.Abs(got[i]-want[i]) > 1e-5 {
				t.Fatalf("capacity %v among %+v: shares %v, the solver has %v", capacity, participants, got, want)
			}
		}
	})
	if got := FairShares(3, []Participant{{1, 2, 5}, {1, 4, 9}}); got[0] != 2 || got[1] != 4 {
		t.Errorf("a share is below its Min: %v", got)
	}
	if got := FairShares(100, []Participant{{1, 2, 5}, {1, 4, 9}}); got[0] != 5 || got[1] != 9 {
		t.Errorf("a share is above its Max: %v", got)
	}
}

// TestShrinkLeavesUseWithinLimits checks that what is left after Shrink is within the limits, except for
// protected services, which are never stopped.
func TestShrinkLeavesUseWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := drawTree(t)
		var work []Workload
		for i := range rapid.IntRange(0, 25).Draw(t, "tasks") {
			w := Workload{ID: fmt.Sprint(i), Account: tree.accounts[rapid.IntRange(0, len(tree.accounts)-1).Draw(t, "account")].Name, Need: drawNeed(t),
				Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Service: rapid.IntRange(0, 3).Draw(t, "service") == 0}
			work = append(work, w)
		}
		plan := Shrink(tree, work)
		stopped := map[string]bool{}
		for _, w := range plan.Stop {
			if w.protected() {
				t.Fatalf("a protected service is stopped: %s", w.ID)
			}
			stopped[w.ID] = true
		}
		use, protectedUse, before := NewLedger(tree), NewLedger(tree), NewLedger(tree)
		for _, w := range work {
			before.AddUse(w.Account, w.Need)
			if !stopped[w.ID] {
				use.AddUse(w.Account, w.Need)
			}
			if w.protected() {
				protectedUse.AddUse(w.Account, w.Need)
			}
		}
		fits := true
		for i, a := range tree.accounts {
			fits = fits && withinLimit(before.nodes[i].use, a.Limit)
			if !withinLimit(use.nodes[i].use, a.Limit) && use.nodes[i].use != protectedUse.nodes[i].use {
				// Only the excess of protected services may remain above the limit.
				if !overOnlyProtected(use.nodes[i].use, protectedUse.nodes[i].use, a.Limit) {
					t.Fatalf("%s uses %v of %v after the plan, %v of it by protected services", a.Name, use.nodes[i].use, a.Limit, protectedUse.nodes[i].use)
				}
			}
		}
		if fits && len(plan.Stop) > 0 {
			t.Fatalf("nothing exceeds a limit, but %v is stopped", plan.Stop)
		}
	})
}

// overOnlyProtected reports whether protected services alone are above the limit in each resource in which
// the use is.
func overOnlyProtected(use, protected, limit protocol.Room) bool {
	ok := func(use, protected, limit float64) bool {
		return limit <= 0 || use <= limit+1e-6 || protected >= limit-1e-6
	}
	return ok(use.Cores, protected.Cores, limit.Cores) && ok(use.Accels, protected.Accels, limit.Accels)
}

// TestReclaim checks that a claim within its guarantee reclaims borrowed use: workloads of a lower priority
// in accounts beyond their guarantee stop, no more of them than needed, and none in accounts within their
// guarantee.
func TestReclaim(t *testing.T) {
	cores := func(c float64) protocol.Room { return protocol.Room{Cores: c} }
	tree, err := NewTree([]Account{{Name: "a", Guarantee: cores(20), Limit: cores(20)}, {Name: "a/x", Guarantee: cores(10)}, {Name: "a/y", Guarantee: cores(6)}, {Name: "a/z", Guarantee: cores(4)}}, anyTeam)
	if err != nil {
		t.Fatal(err)
	}
	l := NewLedger(tree)
	var work []Workload
	run := func(account string, rank, n int) {
		for range n {
			work = append(work, Workload{ID: fmt.Sprint(len(work)), Account: account, Need: cores(2), Rank: rank, StopCost: float64(len(work))})
			l.AddUse(account, cores(2))
		}
	}
	run("a/x", 0, 8) // uses 16, 10 guaranteed
	run("a/z", 0, 2) // uses 4, 4 guaranteed
	claim := &Claim{Account: "a/y", Need: cores(4), Rank: 1}
	limitedBy, ok := l.Admits(claim)
	if ok || limitedBy != "a" {
		t.Fatalf("limited by %q, admitted: %v", limitedBy, ok)
	}
	stop := Reclaim(l, claim, limitedBy, work)
	if len(stop) != 2 || stop[0].Account != "a/x" || stop[1].Account != "a/x" {
		t.Errorf("two workloads of a/x have to stop, not %+v", stop)
	}
	if stop := Reclaim(l, &Claim{Account: "a/y", Need: cores(4)}, limitedBy, work); stop != nil {
		t.Errorf("work of the same priority is stopped: %+v", stop)
	}
	if stop := Reclaim(l, &Claim{Account: "a/y", Need: cores(8), Rank: 1}, limitedBy, work); stop != nil {
		t.Errorf("more than is guaranteed is reclaimed: %+v", stop)
	}
	// Until the claim starts, no other account may borrow what becomes free.
	l.Reserve(claim)
	l.AddUse("a/x", cores(-4))
	if _, ok := l.Admits(&Claim{Account: "a/x", Need: cores(2)}); ok {
		t.Error("what the claim reserves was lent again")
	}
	if _, ok := l.Admits(claim); !ok {
		t.Error("the claim is not admitted although there is room")
	}
}

// BenchmarkAdmits shows the cost of a decision, which must not grow with the number of accounts.
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
					l.AddUse(c.Account, c.Need)
					l.AddUse(c.Account, protocol.Room{Cores: -1})
				}
			}
		})
	}
}
