package transport

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

// Workers is the client of the workers' HTTP API.
type Workers struct {
	http *http.Client
	// inFlight is a semaphore that limits the requests in flight, and so the open connections besides the
	// idle ones.
	inFlight chan struct{}
}

// NewWorkers makes a client with at most the given number of open connections, half of them idle.
func NewWorkers(dial Dialer, connections int) *Workers {
	limit := max(1, connections/2)
	client := newHTTPClient(dial, 1, 20*time.Second)
	client.Transport.(*http.Transport).MaxIdleConns = limit
	return &Workers{http: client, inFlight: make(chan struct{}, limit)}
}

// connectionWait bounds the wait until the limit admits a request.
const connectionWait = time.Second

// call makes one request once the limit of requests in flight admits it; the timeout starts then. It returns
// ErrRefused if the request isn't admitted in time.
func (w *Workers) call(ctx context.Context, timeout time.Duration, method, url string, body any) (int, []byte, error) {
	wait := time.NewTimer(connectionWait)
	defer wait.Stop()
	select {
	case w.inFlight <- struct{}{}:
		defer func() { <-w.inFlight }()
	case <-wait.C:
		return 0, nil, fmt.Errorf("%w: too many requests to workers are under way", ErrRefused)
	case <-ctx.Done():
		return 0, nil, fmt.Errorf("%w: %v", ErrRefused, ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return Call(ctx, w.http, method, url, body)
}

// Do sends commands to a worker; rep is the worker's report after them. If executed is false and err is nil,
// the worker refused the commands permanently. ErrRefused means that nothing was sent, since no connection
// was available.
func (w *Workers) Do(ctx context.Context, addr string, o protocol.Orders) (rep *protocol.Report, executed bool, err error) {
	if o.Commands == nil {
		o.Commands = []protocol.Command{}
	}
	code, raw, err := w.call(ctx, 3*time.Second, http.MethodPost, "http://"+addr+"/do", o)
	if err != nil {
		return nil, false, err
	}
	if code != http.StatusOK && code != http.StatusConflict {
		return nil, false, unexpected(code, raw)
	}
	rep = &protocol.Report{}
	if err := decode(raw, rep); err != nil {
		return nil, false, err
	}
	return rep, code == http.StatusOK, rep.Validate()
}

// Reachable reports whether a worker responds.
func (w *Workers) Reachable(ctx context.Context, addr string) bool {
	code, _, err := w.call(ctx, 2*time.Second, http.MethodGet, "http://"+addr+"/inspect", nil)
	return err == nil && code == http.StatusOK
}
