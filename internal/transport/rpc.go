package transport

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"
)

// Peer calls one sibling over net/rpc. It is an actor: its goroutine owns the
// connection. net/rpc has no time-outs, so every call is bounded here, and a
// call that runs out of time closes the connection, which keeps what is in
// flight bounded too.
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

// NewPeer makes a caller for the sibling at addr; it runs until ctx ends.
func NewPeer(ctx context.Context, dial Dialer, addr string) *Peer {
	p := &Peer{addr: addr, dial: dial, calls: make(chan peerCall)}
	go p.run(ctx)
	return p
}

// Call makes one call; calls of one Peer go one after the other.
func (p *Peer) Call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := peerCall{ctx, method, args, reply, make(chan error, 1)}
	select {
	case p.calls <- c:
		// The actor answers in any case, soon after ctx ends, and does not
		// touch reply afterwards.
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

// ServeRPC serves receivers to the siblings until the listener closes.
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
