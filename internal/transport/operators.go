package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"daledyke/internal/protocol"
)

// The read-only HTTP interface for operators. Its views are computed only on request.

// The paths of the operators' view.
const (
	pathOverview = "/operator/status"
	pathJobView  = "/operator/jobs/"
	pathJobs     = "/operator/jobs"
	pathMetrics  = "/metrics"
)

func (f front) overview(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	reply(w, http.StatusOK, f.service.Overview(r.Context()))
}

func (f front) jobView(ctx context.Context, id string) (int, any) {
	v, err := f.service.JobView(ctx, id)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, err
	case v == nil:
		return http.StatusNotFound, errNoJob
	}
	return http.StatusOK, v
}

func (f front) jobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	l, err := f.service.Jobs(r.Context(), &protocol.JobFilter{Queue: q.Get("queue"), Account: q.Get("account"), Name: q.Get("name"), Class: q.Get("class"),
		Team: q.Get("team"), Over: q.Has("over"), Batch: q.Has("batch"), After: q.Get("after")})
	if err != nil {
		reply(w, http.StatusServiceUnavailable, err)
		return
	}
	reply(w, http.StatusOK, l)
}

func (f front) metrics(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeMetrics(w, f.service.Overview(r.Context()))
}

// OperatorClient fetches a controller's view of the cluster.
type OperatorClient struct {
	http *http.Client
	base string
}

// NewOperatorClient makes a client of the controller whose HTTP server is at addr.
func NewOperatorClient(dial Dialer, addr string) *OperatorClient {
	return &OperatorClient{http: newHTTPClient(dial, 1, time.Second), base: "http://" + addr}
}

// ErrNoSuchJob means that the controller doesn't know the job.
var ErrNoSuchJob = errors.New("no such job is known to this controller")

// Overview fetches the controller's overview.
func (o *OperatorClient) Overview(ctx context.Context) (v *protocol.Overview, err error) {
	v = &protocol.Overview{}
	return v, o.get(ctx, pathOverview, v)
}

// Job fetches the state of a job.
func (o *OperatorClient) Job(ctx context.Context, id string) (v *protocol.JobView, err error) {
	if !protocol.ValidJobID(id) {
		return nil, fmt.Errorf("%q is no job id (they look like wk-000412)", id)
	}
	v = &protocol.JobView{}
	return v, o.get(ctx, pathJobView+id, v)
}

func (o *OperatorClient) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	code, raw, err := Call(ctx, o.http, http.MethodGet, o.base+path, nil)
	switch {
	case err != nil:
		return fmt.Errorf("no answer from %s", strings.TrimPrefix(o.base, "http://"))
	case code == http.StatusNotFound:
		return ErrNoSuchJob
	case code != http.StatusOK:
		return fmt.Errorf("%s answers %d: is it a controller's front door?", strings.TrimPrefix(o.base, "http://"), code)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s gives a senseless answer: is it a controller's front door?", strings.TrimPrefix(o.base, "http://"))
	}
	return nil
}
