package transport

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"

	"daledyke/internal/protocol"
	"daledyke/internal/schema"
)

// Service is what the HTTP server for users and workers requires of a controller.
type Service interface {
	Healthy() bool
	Submit(ctx context.Context, body []byte) (status int, answer any)
	Status(ctx context.Context, id string) (*protocol.JobStatus, error)
	Cancel(ctx context.Context, id string) (status int, answer any)
	Report(ctx context.Context, rep *protocol.Report) (status int, answer any)
	Overview(ctx context.Context) *protocol.Overview
	JobView(ctx context.Context, id string) (*protocol.JobView, error)
	Jobs(ctx context.Context, f *protocol.JobFilter) (*protocol.JobList, error)
	SubmitScript(ctx context.Context, key, options, script string) (status int, answer any)
	Script(ctx context.Context, id string, task int) (script string, err error)
	Hold(ctx context.Context, id string, held bool) (status int, answer any)
}

// requestTimeout bounds the processing time of a user's request.
const requestTimeout = 4 * time.Second

type front struct {
	service Service
	// crowded reports whether so many connections are open that those of workers are closed after each response.
	crowded func() bool
}

// Front is the HTTP handler for users, workers and health checks. While crowded reports that too many
// connections are open, those of workers are closed after each response.
func Front(s Service, crowded func() bool) http.Handler {
	f := front{s, crowded}
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.GET("/healthz", f.health)
	r.POST("/v1/jobs", f.submit)
	r.GET("/v1/jobs/:id", withJobID(f.status))
	r.POST("/v1/jobs/:id/cancel", withJobID(s.Cancel))
	r.GET("/v1/jobs/:id/script", f.script)
	for path, held := range map[string]bool{pathHold: true, pathRelease: false} {
		r.POST("/v1/jobs/:id"+path, withJobID(func(ctx context.Context, id string) (int, any) { return s.Hold(ctx, id, held) }))
	}
	r.GET("/v1/schema", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/schema+json")
		w.Write(schema.Submission())
	})
	r.POST(pathScripts, f.submitScript)
	r.POST("/checkin", f.report)
	r.GET(pathOverview, f.overview)
	r.GET(pathJobView+":id", withJobID(f.jobView))
	r.GET(pathJobs, f.jobs)
	r.GET(pathMetrics, f.metrics)
	r.PanicHandler = func(w http.ResponseWriter, _ *http.Request, p any) {
		slog.Error("request failed", "panic", p)
		reply(w, http.StatusInternalServerError, nil)
	}
	return r
}

// keepAliveShare is the share of the connection limit up to which workers keep their connections alive
// between reports. Above it they open a connection for each report. Without this limit, a controller that
// served a whole fleet alone had no connections left, neither for users nor to its workers.
const keepAliveShare = 0.75

// ServeFront serves users, workers and health checks until the listener closes. The number of connections is
// limited, and slow clients time out.
func ServeFront(l net.Listener, s Service, connections int) error {
	var open atomic.Int64
	crowded := func() bool { return float64(open.Load()) > keepAliveShare*float64(connections) }
	count := func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
	srv := &http.Server{Handler: Front(s, crowded), ConnState: count, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 5 * time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return srv.Serve(netutil.LimitListener(l, connections))
}

// reply writes a response with a JSON body, none if body is nil. No line of it is longer than protocol.MaxLine, provided
// that no string in the body is.
func reply(w http.ResponseWriter, status int, body any) {
	if err, ok := body.(error); ok {
		body = errorBody{protocol.Shorten(err.Error())}
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	if body == nil {
		w.WriteHeader(status)
		return
	}
	raw, err := json.Marshal(body)
	if err != nil {
		slog.Error("answer not encoded", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(breakLines(raw))
}

var errUnreadableBody = errors.New("the body is too large or did not come whole")

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
	if err != nil {
		reply(w, http.StatusBadRequest, errUnreadableBody)
		return nil, false
	}
	return body, true
}

func (f front) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if f.service.Healthy() {
		reply(w, http.StatusOK, nil)
	} else {
		reply(w, http.StatusServiceUnavailable, nil)
	}
}

func (f front) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	status, answer := f.service.Submit(ctx, body)
	reply(w, status, answer)
}

// The path suffixes of the requests that hold and release a job.
const (
	pathHold    = "/hold"
	pathRelease = "/release"
)

// pathScripts accepts batch scripts with PBS directives, as text. The query parameter "options" holds command
// line options, which override those of the script. The header Idempotency-Key identifies the submission:
// requests with the same key submit the same job, however often they are sent.
const pathScripts = "/pbs/jobs"

const idempotencyHeader = "Idempotency-Key"

var errNoIdempotencyKey = errors.New("the header " + idempotencyHeader + " is missing: any text that is new for each job, and the same when it is sent again")

func (f front) submitScript(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	key := r.Header.Get(idempotencyHeader)
	if key == "" || len(key) > 200 {
		reply(w, http.StatusBadRequest, errNoIdempotencyKey)
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	status, answer := f.service.SubmitScript(ctx, key, r.URL.Query().Get("options"), string(body))
	reply(w, status, answer)
}

func (f front) script(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id := p.ByName("id")
	task, err := strconv.Atoi(cmp.Or(r.URL.Query().Get("pass"), "-1"))
	if !protocol.ValidJobID(id) || err != nil {
		reply(w, http.StatusNotFound, errNoJob)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	text, err := f.service.Script(ctx, id, task)
	switch {
	case errors.Is(err, ErrNoSuchJob):
		reply(w, http.StatusNotFound, err)
	case err != nil:
		reply(w, http.StatusServiceUnavailable, err)
	default:
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		io.WriteString(w, text)
	}
}

var (
	errNoJob             = errors.New("no such job")
	errStatusUnavailable = errors.New("cannot be told now")
)

// withJobID calls a handler with the job id of the path and a timeout. A malformed id gets the answer for an
// unknown job.
func withJobID(h func(ctx context.Context, id string) (status int, answer any)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		id := p.ByName("id")
		if !protocol.ValidJobID(id) {
			reply(w, http.StatusNotFound, errNoJob)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		status, answer := h(ctx, id)
		reply(w, status, answer)
	}
}

func (f front) status(ctx context.Context, id string) (int, any) {
	st, err := f.service.Status(ctx, id)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, errStatusUnavailable
	case st == nil:
		return http.StatusNotFound, errNoJob
	}
	return http.StatusOK, st
}

func (f front) report(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if f.crowded() {
		w.Header().Set("Connection", "close")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
	var rep protocol.Report
	if err == nil {
		err = json.Unmarshal(body, &rep)
	}
	if err == nil {
		err = rep.Validate()
	}
	if err != nil {
		slog.Debug("invalid report", "err", err)
		reply(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
	defer cancel()
	status, answer := f.service.Report(ctx, &rep)
	reply(w, status, answer)
}
