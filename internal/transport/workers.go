package transport

import (
	"context"
	"net/http"
	"time"

	"daledyke/internal/protocol"
)

// Workers is the client of the workers' own interface.
type Workers struct {
	http *http.Client
}

// NewWorkers makes the client.
func NewWorkers(dial Dialer) *Workers {
	return &Workers{http: newHTTPClient(dial, 1, 20*time.Second)}
}

// Do gives a worker commands. With executed false and no error, the worker
// refused them for good; either way rep is its report afterwards.
func (w *Workers) Do(ctx context.Context, addr string, o protocol.Orders) (rep *protocol.Report, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if o.Commands == nil {
		o.Commands = []protocol.Command{}
	}
	code, raw, err := Call(ctx, w.http, http.MethodPost, "http://"+addr+"/do", o)
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

// Reachable tells whether a worker answers.
func (w *Workers) Reachable(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	code, _, err := Call(ctx, w.http, http.MethodGet, "http://"+addr+"/inspect", nil)
	return err == nil && code == http.StatusOK
}
