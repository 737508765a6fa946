package emulator

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"daledyke/internal/transport"
)

// The load balancer's times, as the protocol gives them.
const (
	probeInterval       = time.Second
	probeTimeout        = time.Second
	dialTimeout         = 500 * time.Millisecond
	skipDuration        = 3 * time.Second
	resetDelay          = 5 * time.Second
	minPause            = 3 * time.Second
	maxPause            = time.Minute
	pauseDoublingWindow = 2 * time.Minute
	slowStart           = 10 * time.Second
	maxTries            = 3
)

// Balancer is the load balancer that users come through: it picks a healthy node for
// each new connection, and knows nothing of requests. Its loop owns its state.
type Balancer struct {
	loop  *loop
	dial  transport.Dialer
	nodes []*backend
	rng   *rand.Rand
}

// backend is a node as the balancer sees it.
type backend struct {
	name, addr string
	healthy    bool
	ever       bool // it was healthy once
	since      time.Time
	probes     []bool // the last six, newest last
	removed    time.Time
	pause      time.Duration // from its removal until it may be healthy again
	open       map[*balanced]bool
	failed     int // connections in a row
	skipped    time.Time
}

// balanced is a connection through the balancer.
type balanced struct {
	net.Conn
	b    *Balancer
	node *backend
}

// Close ends the connection.
func (c *balanced) Close() error {
	c.b.tell(func() { delete(c.node.open, c) })
	return c.Conn.Close()
}

// tell has f run on the loop, and does not wait: connections are closed under locks of
// net/http.
func (b *Balancer) tell(f func()) {
	select {
	case b.loop.inbox <- f:
	case <-b.loop.ctx.Done():
	}
}

// NewBalancer makes a balancer over the doors of nodes, by their names, which lives as
// long as ctx.
func NewBalancer(ctx context.Context, dial transport.Dialer, names []string, doors map[string]string, seed uint64) *Balancer {
	b := &Balancer{loop: newLoop(ctx), dial: dial, rng: rand.New(rand.NewPCG(seed, 0xba1a))}
	for _, name := range names {
		n := &backend{name: name, addr: doors[name], open: map[*balanced]bool{}}
		b.nodes = append(b.nodes, n)
		go b.probe(n)
	}
	return b
}

// probe asks a node for its health until the balancer ends.
func (b *Balancer) probe(n *backend) {
	client := &http.Client{Transport: &http.Transport{DialContext: b.dial, MaxConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for {
		status, _ := request(b.loop.ctx, client, http.MethodGet, "http://"+n.addr+"/healthz", nil, probeTimeout)
		var reset []*balanced
		if !b.loop.do(func() { reset = n.judge(status == http.StatusOK, time.Now()) }) {
			return
		}
		for _, c := range reset {
			c.Close()
		}
		if !Sleep(b.loop.ctx, probeInterval) {
			return
		}
	}
}

// judge takes in what a probe came to, and gives the connections that are to be reset.
func (n *backend) judge(ok bool, now time.Time) (reset []*balanced) {
	n.probes = append(n.probes, ok)
	if len(n.probes) > 6 {
		n.probes = n.probes[1:]
	}
	bad := 0
	for _, good := range n.probes {
		if !good {
			bad++
		}
	}
	last2 := func(want bool) bool {
		k := len(n.probes)
		return k >= 2 && n.probes[k-1] == want && n.probes[k-2] == want
	}
	switch {
	case n.healthy && (last2(false) || bad >= 3):
		n.healthy = false
		if !n.removed.IsZero() && now.Sub(n.removed) < pauseDoublingWindow {
			n.pause = min(2*n.pause, maxPause)
		} else {
			n.pause = minPause
		}
		n.removed = now
	case !n.healthy && !n.ever && ok, !n.healthy && n.ever && last2(true) && now.Sub(n.removed) >= n.pause:
		n.healthy, n.ever, n.since, n.failed = true, true, now, 0
		n.probes = nil
	case !n.healthy && n.ever && now.Sub(n.removed) >= resetDelay:
		for c := range n.open {
			reset = append(reset, c)
		}
	}
	return reset
}

// pick chooses the node for a connection: the one with the fewest that are open, by its
// share; a node that has just come back has less of one.
func (b *Balancer) pick(tried map[*backend]bool, now time.Time) *backend {
	var best *backend
	load, ties := 0.0, 0
	for _, n := range b.nodes {
		if !n.healthy || tried[n] || now.Before(n.skipped) {
			continue
		}
		share := max(0.05, min(1, now.Sub(n.since).Seconds()/slowStart.Seconds()))
		l := float64(len(n.open)+1) / share
		switch {
		case best == nil || l < load:
			best, load, ties = n, l, 1
		case l == load:
			if ties++; b.rng.IntN(ties) == 0 {
				best = n
			}
		}
	}
	return best
}

var errNoNode = errors.New("no healthy node takes the connection")

// Dial opens a connection to some healthy node, whatever address is asked for.
func (b *Balancer) Dial(ctx context.Context, network, _ string) (net.Conn, error) {
	tried := map[*backend]bool{}
	for range maxTries {
		var n *backend
		b.loop.do(func() { n = b.pick(tried, time.Now()) })
		if n == nil {
			return nil, errNoNode
		}
		tried[n] = true
		wait, cancel := context.WithTimeout(ctx, dialTimeout)
		raw, err := b.dial(wait, network, n.addr)
		cancel()
		c := &balanced{raw, b, n}
		if !b.loop.do(func() {
			if err == nil {
				n.failed = 0
				n.open[c] = true
				return
			}
			if n.failed++; n.failed >= 3 {
				n.failed, n.skipped = 0, time.Now().Add(skipDuration)
			}
		}) && err == nil {
			raw.Close()
			return nil, errNoNode
		}
		if err == nil {
			return c, nil
		}
	}
	return nil, errNoNode
}

// Healthy are the names of the nodes that get connections.
func (b *Balancer) Healthy() (names []string) {
	b.loop.do(func() {
		for _, n := range b.nodes {
			if n.healthy {
				names = append(names, n.name)
			}
		}
	})
	return names
}

// Serve passes the connections of a listener on to nodes, until the listener closes.
func (b *Balancer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			node, err := b.Dial(b.loop.ctx, "tcp", "")
			if err != nil {
				return
			}
			defer node.Close()
			go func() {
				io.Copy(node, c)
				node.Close()
				c.Close()
			}()
			io.Copy(c, node)
		}()
	}
}
