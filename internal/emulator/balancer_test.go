package emulator

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// The balancer follows the protocol: it removes a node that fails its probes, resets its open connections,
// readmits it after a pause that doubles, tries another node when one refuses, and raises the share of a
// readmitted node slowly.
func TestBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := NewPipes(ctx)
		healthy := map[string]chan bool{}
		listen := func(name string) net.Listener {
			l, err := n.Listen(name)
			if err != nil {
				t.Fatal(err)
			}
			return l
		}
		var doors []net.Listener
		addrs := map[string]string{}
		for _, name := range []string{"a", "b"} {
			healthy[name] = make(chan bool, 1)
			healthy[name] <- true
			l := listen(name)
			doors = append(doors, l)
			addrs[name] = l.Addr().String()
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				ok := <-healthy[name]
				healthy[name] <- ok
				if !ok {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})}
			go srv.Serve(l)
			defer srv.Close()
		}
		set := func(name string, ok bool) { <-healthy[name]; healthy[name] <- ok }
		b := NewBalancer(ctx, n.Dialer("balancer"), []string{"a", "b", "gone"}, map[string]string{"a": addrs["a"], "b": addrs["b"], "gone": "gone:1"}, 1)
		expect := func(when string, want ...string) {
			t.Helper()
			got := b.Healthy()
			if len(got) != len(want) || len(want) > 0 && got[0] != want[0] {
				t.Errorf("%s: %v are healthy, not %v", when, got, want)
			}
		}
		dial := func() string {
			c, err := b.Dial(ctx, "tcp", "anything")
			if err != nil {
				return err.Error()
			}
			return c.(*balanced).node.name
		}
		time.Sleep(100 * time.Millisecond)
		expect("at first", "a", "b") // a single success is enough
		first, err := b.Dial(ctx, "tcp", "")
		if err != nil {
			t.Fatal(err)
		}
		name := first.(*balanced).node.name
		if other := dial(); other == name {
			t.Errorf("both connections go to %s", name)
		}
		set(name, false)
		time.Sleep(1100 * time.Millisecond)
		if len(b.Healthy()) != 2 {
			t.Error("one failure takes a node out")
		}
		time.Sleep(time.Second)
		if len(b.Healthy()) != 1 {
			t.Error("two failures in a row don't")
		}
		time.Sleep(4 * time.Second)
		first.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := first.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("reset before its time: %v", err)
		}
		time.Sleep(2 * time.Second)
		if _, err := first.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("not reset after %v: %v", resetDelay, err)
		}
		set(name, true)
		time.Sleep(2500 * time.Millisecond)
		expect("after two successes", "a", "b")
		since := time.Now()
		set(name, false)
		time.Sleep(2500 * time.Millisecond)
		set(name, true)
		for len(b.Healthy()) < 2 {
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(since); took < 6*time.Second || took > 12*time.Second { // the second pause is twice the first
			t.Errorf("it is back after %v", took)
		}
		// One second after a node becomes healthy again it has a tenth of its share.
		count := map[string]int{}
		time.Sleep(time.Second)
		for range 22 {
			count[dial()]++
		}
		if count[name] < 1 || count[name] > 6 {
			t.Errorf("a node that is just back gets %v", count)
		}
		// When a node refuses connections between two probes, the other node is tried.
		doors[0].Close()
		for range 4 {
			if got := dial(); got != "b" {
				t.Errorf("the connection goes to %s", got)
			}
		}
		set("b", false)
		doors[1].Close()
		time.Sleep(4 * time.Second)
		if got := dial(); got != errNoNode.Error() {
			t.Errorf("without any node: %s", got)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
