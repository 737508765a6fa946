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

// The load balancer's intervals and limits, as the protocol defines them.
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

// Balancer is the load balancer between users and controllers. It picks a healthy node for each new
// connection and does not interpret requests. Its loop owns its state.
type Balancer struct {
	loop  *loop
	dial  transport.Dialer
	nodes []*backend
	rng   *rand.Rand
}

// backend is the balancer's state of one node.
type backend struct {
	name, addr string
	healthy    bool
	ever       bool // it has been healthy before
	since      time.Time
	probes     []bool // results of the last six probes, newest last
	removed    time.Time
	pause      time.Duration // time from its removal until it may be healthy again
	open       map[*balanced]bool
	failed     int // consecutive failed dials
	skipped    time.Time
}

// balanced is a connection through the balancer.
type balanced struct {
	net.Conn
	b    *Balancer
	node *backend
}

// Close closes the connection and removes it from its node's list.
func (c *balanced) Close() error {
	// Not waited for, because net/http closes connections while it holds locks.
	c.b.loop.tell(func() { delete(c.node.open, c) })
	return c.Conn.Close()
}

// NewBalancer returns a balancer over the named nodes and their addresses. It runs until ctx ends.
func NewBalancer(ctx context.Context, dial transport.Dialer, names []string, doors map[string]string, seed uint64) *Balancer {
	b := &Balancer{loop: newLoop(ctx), dial: dial, rng: rand.New(rand.NewPCG(seed, 0xba1a))}
	for _, name := range names {
		n := &backend{name: name, addr: doors[name], open: map[*balanced]bool{}}
		b.nodes = append(b.nodes, n)
		go b.probe(n)
	}
	return b
}

// probe checks a node's health periodically until the balancer ends.
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

// judge applies the result of a probe and returns the connections that must be reset.
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

// pick returns the healthy node with the fewest open connections in relation to its share. The share of a
// node grows from 5% to 100% within slowStart after it becomes healthy.
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

// Dial opens a connection to a healthy node; it ignores the address.
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

// Healthy returns the names of the nodes that receive connections.
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

// Serve forwards the connections of a listener to nodes until the listener closes.
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
