package emulator

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"daledyke/internal/transport"
)

// Network connects the parts of a world.
type Network interface {
	// Listen opens a listener with a name such as front-c0; its address is that of the listener.
	Listen(name string) (net.Listener, error)
	// Dialer returns the function with which the named host opens connections.
	Dialer(from string) transport.Dialer
}

// Loopback is TCP on this machine; each listener gets a free port.
type Loopback struct{}

// Listen listens on a free port.
func (Loopback) Listen(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Dialer returns a TCP dialer.
func (Loopback) Dialer(string) transport.Dialer { return transport.NetDialer() }

// Pipes is an in-memory network for virtual time: NAME listens at NAME:1, and connections between hosts can
// be blocked. It is an actor; create it with NewPipes.
type Pipes struct {
	told      chan func()
	ctx       context.Context
	listeners map[string]*pipeListener
	conns     map[*pipeConn]bool
	cut       func(from, to string) bool
}

// silence is how long a dial over a blocked connection waits before it fails.
const silence = 2 * time.Second

var errRefused = errors.New("connection refused")

// NewPipes returns a network without listeners, which runs until ctx ends.
func NewPipes(ctx context.Context) *Pipes {
	n := &Pipes{told: make(chan func()), ctx: ctx, listeners: map[string]*pipeListener{}, conns: map[*pipeConn]bool{},
		cut: func(string, string) bool { return false }}
	go func() {
		for {
			select {
			case f := <-n.told:
				f()
			case <-ctx.Done():
				for _, l := range n.listeners {
					l.end()
				}
				for c := range n.conns {
					c.Conn.Close()
				}
				return
			}
		}
	}()
	return n
}

// do runs f on the network's goroutine and waits for it, unless the network has ended. net/http calls it
// while it holds locks, so it must not wait for time to pass: virtual time stops while a goroutine waits for
// a lock.
func (n *Pipes) do(f func()) {
	done := make(chan struct{})
	select {
	case n.told <- func() { f(); close(done) }:
		<-done
	case <-n.ctx.Done():
	}
}

type pipeAddr string

func (a pipeAddr) Network() string { return "tcp" }
func (a pipeAddr) String() string  { return string(a) }

type pipeListener struct {
	net    *Pipes
	at     string
	conns  chan net.Conn
	closed chan struct{}
}

type pipeConn struct {
	net.Conn
	from, to string
	net      *Pipes
}

// Close closes the connection and removes it from the network's list.
func (c *pipeConn) Close() error {
	err := c.Conn.Close()
	c.net.do(func() { delete(c.net.conns, c) })
	return err
}

// Listen listens at NAME:1.
func (n *Pipes) Listen(name string) (net.Listener, error) {
	l := &pipeListener{net: n, at: name + ":1", conns: make(chan net.Conn), closed: make(chan struct{})}
	n.do(func() { n.listeners[l.at] = l })
	return l, nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// end closes the listener; it runs on the network's goroutine.
func (l *pipeListener) end() {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	if l.net.listeners[l.at] == l {
		delete(l.net.listeners, l.at)
	}
}

func (l *pipeListener) Close() error {
	l.net.do(l.end)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.at) }

// Dialer returns a dialer for pipes. A dial over a blocked connection times out.
func (n *Pipes) Dialer(from string) transport.Dialer {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		var l *pipeListener
		cut := false
		n.do(func() { l, cut = n.listeners[to], n.cut(from, to) })
		if cut {
			select {
			case <-ctx.Done():
			case <-time.After(silence):
			}
			return nil, errors.New("timed out")
		}
		if l == nil {
			return nil, errRefused
		}
		a, b := net.Pipe()
		c := &pipeConn{a, from, to, n}
		select {
		case l.conns <- b:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.do(func() { n.conns[c] = true })
		return c, nil
	}
}

// StartController runs a controller on the network: run receives its listeners front-NAME and inner-NAME.
// kill ends run's context, closes the listeners and breaks all its connections, as the end of its process
// would.
func (n *Pipes) StartController(name string, run func(ctx context.Context, front, inner net.Listener)) (kill func(), err error) {
	front, err1 := n.Listen("front-" + name)
	inner, err2 := n.Listen("inner-" + name)
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(n.ctx)
	go run(ctx, front, inner)
	return func() {
		front.Close()
		inner.Close()
		cancel()
		n.CloseConns(func(from, to string) bool { return from == name || strings.HasSuffix(to, "-"+name+":1") })
	}, nil
}

// Partition sets which connections are blocked, by the host that opens them and the address, and closes the
// open ones among them.
func (n *Pipes) Partition(cut func(from, to string) bool) {
	n.do(func() { n.cut = cut })
	n.CloseConns(cut)
}

// CloseConns closes the open connections for which which returns true.
func (n *Pipes) CloseConns(which func(from, to string) bool) {
	var broken []*pipeConn
	n.do(func() {
		for c := range n.conns {
			if which(c.from, c.to) {
				broken = append(broken, c)
			}
		}
	})
	for _, c := range broken {
		c.Close()
	}
}
