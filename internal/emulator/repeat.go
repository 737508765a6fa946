package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// repeater lets a copy of each request that may change something arrive once more, whatever became of the first, and
// drops its answer.
type repeater struct {
	ctx   context.Context
	delay atomic.Int64 // of copies, in nanoseconds; 0: none are made
}

// setDelay sets the delay of copies; 0 ends them, except for those that are already scheduled.
func (p *repeater) setDelay(by time.Duration) { p.delay.Store(int64(by)) }

// repeat returns a handler that serves each request, and its copies, with h.
func (p *repeater) repeat(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		delay := time.Duration(p.delay.Load())
		if delay > 0 && r.Method != http.MethodGet {
			body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			again := r.Clone(p.ctx)
			again.Body = io.NopCloser(bytes.NewReader(body))
			time.AfterFunc(delay, func() { p.serveCopy(h, again) })
		}
		h.ServeHTTP(w, r)
	})
}

// serveCopy carries out a copy of a request.
func (p *repeater) serveCopy(h http.Handler, r *http.Request) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	if p.ctx.Err() == nil {
		h.ServeHTTP(droppedAnswer{http.Header{}}, r)
	}
}

// droppedAnswer discards the answer to a copy.
type droppedAnswer struct{ header http.Header }

func (a droppedAnswer) Header() http.Header              { return a.header }
func (a droppedAnswer) WriteHeader(int)                  {}
func (a droppedAnswer) Write(answer []byte) (int, error) { return len(answer), nil }
