package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// client sends requests to the state service as controllers do, and records the answers.
type client struct {
	*transport.State
	number int
	rng    *rand.Rand
	ops    []history.StateOp
	seen   map[string]uint64 // versions
}

func (c *client) act(t *testing.T, began time.Time) {
	key := fmt.Sprint("k", c.rng.IntN(3))
	op := history.StateOp{Client: c.number, Call: time.Since(began)}
	var err error
	if c.rng.IntN(2) == 0 {
		op.Read = key
		var p protocol.Pair
		if p, op.OK, err = c.Get(t.Context(), transport.Vital, 2*time.Second, key); op.OK {
			op.Value, op.Revision = string(p.Value), p.Version
		}
		if err == nil {
			c.seen[key] = op.Revision
		}
	} else {
		op.If, op.Set = map[string]uint64{key: c.seen[key]}, map[string]string{}
		x := protocol.Txn{If: []protocol.Condition{{Key: key, Version: c.seen[key]}}}
		for range 1 + c.rng.IntN(2) {
			k, v := fmt.Sprint("k", c.rng.IntN(3)), c.rng.IntN(1000)
			if _, twice := op.Set[k]; twice {
				continue
			}
			op.Set[k] = strconv.Itoa(v)
			x.Then = append(x.Then, protocol.Change{Set: k, Value: v})
		}
		var a protocol.TxnAnswer
		a, op.OK, err = c.Commit(t.Context(), transport.Vital, 2*time.Second, x)
		op.Revision = a.Revision
		if op.OK {
			for k := range op.Set {
				c.seen[k] = a.Revision
			}
		}
	}
	if errors.Is(err, transport.ErrRefused) {
		return // it was not executed
	}
	if err == nil {
		op.Return = time.Since(began)
	}
	c.ops = append(c.ops, op)
}

// The state service is linearizable while answers are slow or dropped, during outages, while one node is
// refused, and when transactions are applied after their sender gave up.
func TestStateServiceIsLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			dir := ""
			if seed%2 == 1 {
				dir = t.TempDir()
			}
			net := NewPipes(ctx)
			w, err := New(ctx, net, Setup{Controllers: []string{"c0", "c1", "c2"}, State: Limits{ValueKB: 8, TxnOps: 8}, StateDir: dir})
			if err != nil {
				t.Fatal(err)
			}
			_, doors, err := w.Serve()
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			rng := rand.New(rand.NewPCG(seed, 1))
			var clients []*client
			over := make(chan struct{})
			for n := range 3 {
				name := fmt.Sprint("c", n)
				c := &client{State: transport.NewState(net.Dialer(name), doors[name], 1000, 1000), number: n, rng: rand.New(rand.NewPCG(seed, uint64(n)+7)), seen: map[string]uint64{}}
				clients = append(clients, c)
				go func() {
					for range 14 {
						c.act(t, began)
						time.Sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond)
					}
					over <- struct{}{}
				}()
			}
			for range 6 {
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				switch rng.IntN(5) {
				case 0:
					w.State.SetOutage(true)
				case 1:
					w.State.SetRefused("c1", true)
				case 2:
					w.State.DelayTransactions(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
				case 3:
					w.State.DropAnswers(0.6)
				default:
					w.State.DelayAnswers(time.Duration(rng.IntN(900)) * time.Millisecond)
				}
				time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
				w.State.SetOutage(false)
				w.State.SetRefused("c1", false)
				w.State.DelayTransactions(0)
				w.State.DropAnswers(0)
				w.State.DelayAnswers(0)
			}
			for range clients {
				<-over
			}
			time.Sleep(5 * time.Second) // until delayed transactions are applied
			var ops []history.StateOp
			unanswered := 0
			for n, c := range clients {
				for k, op := range c.ops {
					if op.Return == 0 { // without an answer the client continues as another client
						unanswered++
						op.Client = 100 + 100*n + k
					}
					ops = append(ops, op)
				}
			}
			ok, err := history.Linearizable(ops, 20*time.Second)
			if !ok || err != nil || len(ops) < 20 {
				t.Errorf("seed %d: %v, %v of %d requests, %d unanswered", seed, ok, err, len(ops), unanswered)
			}
			w.Close()
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// served names the variable that a subprocess of this test gets: the directory from which it serves the
// state until it is killed.
const served = "DALEDYKE_TEST_STATE"

func TestMain(m *testing.M) {
	if dir := os.Getenv(served); dir != "" {
		s, err := NewState(context.Background(), Limits{}, dir)
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		l, err := Loopback{}.Listen("state")
		if err != nil {
			fmt.Println("error", err)
			os.Exit(1)
		}
		fmt.Println(l.Addr())
		http.Serve(l, s.Handler("test"))
	}
	os.Exit(m.Run())
}

// A state service that is killed during its work loses nothing that it answered, and restarts without
// partial transactions.
func TestKilledStateServiceLosesNothingAnswered(t *testing.T) {
	dir := t.TempDir()
	const pairs = 6
	answered := [pairs]int{}
	var revision uint64
	for round := range 4 {
		process := exec.Command(os.Args[0])
		process.Env = append(os.Environ(), served+"="+dir)
		out, err := process.StdoutPipe()
		if err == nil {
			err = process.Start()
		}
		if err != nil {
			t.Fatal(err)
		}
		addr, err := bufio.NewReader(out).ReadString('\n')
		if err != nil || strings.HasPrefix(addr, "error") {
			t.Fatal(addr, err)
		}
		c := transport.NewState(transport.NetDialer(), strings.TrimSpace(addr), 1e6, 1e6)
		get := func(key string) (n int, version uint64) {
			p, found, err := c.Get(t.Context(), transport.Vital, 5*time.Second, key)
			if err != nil {
				t.Fatal(err)
			}
			if found {
				if n, err = strconv.Atoi(string(p.Value)); err != nil {
					t.Fatal(err)
				}
			}
			return n, p.Version
		}
		versions := [pairs][2]uint64{}
		for k := range pairs {
			a, va := get(fmt.Sprint("a", k))
			b, vb := get(fmt.Sprint("b", k))
			if a != b || a < answered[k] || va > 0 && va != vb {
				t.Fatalf("round %d: pair %d is %d and %d, and %d was answered", round, k, a, b, answered[k])
			}
			answered[k], versions[k] = a, [2]uint64{va, vb}
			revision = max(revision, va)
		}
		if _, err := c.Watch(t.Context(), "", 0, 0); round > 0 && !errors.Is(err, transport.ErrTooOld) {
			t.Errorf("a watch from before the restart: %v", err)
		}
		lease, err := c.OpenLease(t.Context(), time.Minute)
		if err != nil || lease != uint64(round+1) {
			t.Errorf("lease %d, %v: its number was used before", lease, err)
		}
		ended := make(chan [2]int, pairs)
		for k := range pairs {
			go func() {
				n, v := answered[k], versions[k]
				for {
					a, ok, err := c.Commit(t.Context(), transport.Vital, 5*time.Second, protocol.Txn{
						If:   []protocol.Condition{{Key: fmt.Sprint("a", k), Version: v[0]}, {Key: fmt.Sprint("b", k), Version: v[1]}},
						Then: []protocol.Change{{Set: fmt.Sprint("a", k), Value: n + 1}, {Set: fmt.Sprint("b", k), Value: n + 1}}})
					if err != nil || !ok {
						ended <- [2]int{k, n}
						return
					}
					n, v = n+1, [2]uint64{a.Revision, a.Revision}
				}
			}()
		}
		time.Sleep(time.Duration(50+rand.IntN(150)) * time.Millisecond)
		process.Process.Kill()
		process.Wait()
		for range pairs {
			e := <-ended
			answered[e[0]] = e[1]
		}
	}
	if revision < 20 {
		t.Errorf("only %d revisions: nothing was tried", revision)
	}
}

// A state directory that is in use or corrupt is reported by a clear error.
func TestStateDirectoryInUse(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dir := t.TempDir()
	if _, err := NewState(ctx, Limits{}, dir); err != nil {
		t.Fatal(err)
	}
	if _, err := NewState(ctx, Limits{}, dir); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("opened twice: %v", err)
	}
	spoilt := t.TempDir()
	if err := os.WriteFile(spoilt+"/state.db", []byte(strings.Repeat("no state ", 4000)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewState(ctx, Limits{}, spoilt); err == nil || !strings.Contains(err.Error(), spoilt) {
		t.Errorf("a file that is no state: %v", err)
	}
}
