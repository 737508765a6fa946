package transport

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"
)

// Peer calls one sibling over net/rpc. Its goroutine owns the connection. net/rpc has no timeouts, so Peer
// applies one to every call and closes the connection when a call exceeds it, which also bounds the calls in
// flight.
type Peer struct {
	addr  string
	dial  Dialer
	calls chan peerCall
}

type peerCall struct {
	ctx    context.Context
	method string
	args   any
	reply  any
	result chan error
}

// NewPeer makes a client of the sibling at addr; its goroutine runs until ctx ends.
func NewPeer(ctx context.Context, dial Dialer, addr string) *Peer {
	p := &Peer{addr: addr, dial: dial, calls: make(chan peerCall)}
	go p.run(ctx)
	return p
}

// Call makes one call; a Peer makes its calls one at a time.
func (p *Peer) Call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := peerCall{ctx, method, args, reply, make(chan error, 1)}
	select {
	case p.calls <- c:
		// The goroutine always sends a result, at the latest soon after ctx ends, and doesn't touch reply
		// afterwards.
		return <-c.result
	case <-ctx.Done():
		return fmt.Errorf("%w: sibling busy", ErrRefused)
	}
}

func (p *Peer) run(ctx context.Context) {
	var client *rpc.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-p.calls:
			if client == nil {
				conn, err := p.dial(c.ctx, "tcp", p.addr)
				if err != nil {
					c.result <- fmt.Errorf("%w: %v", ErrRefused, err)
					continue
				}
				client = rpc.NewClient(conn)
			}
			pending := client.Go(c.method, c.args, c.reply, make(chan *rpc.Call, 1))
			select {
			case done := <-pending.Done:
				if _, remote := done.Error.(rpc.ServerError); done.Error != nil && !remote {
					client.Close()
					client = nil
				}
				c.result <- done.Error
			case <-c.ctx.Done():
				client.Close()
				<-pending.Done
				client = nil
				c.result <- fmt.Errorf("%w: %v", ErrUnknown, c.ctx.Err())
			}
		}
	}
}

// ServeRPC serves the receivers, registered by name, to the siblings until the listener closes.
func ServeRPC(l net.Listener, receivers map[string]any) error {
	srv := rpc.NewServer()
	for name, r := range receivers {
		if err := srv.RegisterName(name, r); err != nil {
			return err
		}
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go srv.ServeConn(conn)
	}
}
