package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"daledyke/internal/protocol"
)

// What operators read on the front door. Nothing here changes anything, and
// nothing is worked out unless it is asked for.

// The paths of the operators' view.
const (
	pathOverview = "/operator/status"
	pathJobView  = "/operator/jobs/"
	pathJobs     = "/operator/jobs"
	pathMetrics  = "/metrics"
)

func (f front) overview(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	reply(w, http.StatusOK, f.s.Overview(r.Context()))
}

func (f front) jobView(ctx context.Context, id string) (int, any) {
	v, err := f.s.JobView(ctx, id)
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
	l, err := f.s.Jobs(r.Context(), &protocol.JobFilter{Queue: q.Get("queue"), Account: q.Get("account"), Name: q.Get("name"), Class: q.Get("class"),
		Team: q.Get("team"), Over: q.Has("over"), Batch: q.Has("batch"), After: q.Get("after")})
	if err != nil {
		reply(w, http.StatusServiceUnavailable, err)
		return
	}
	// Users ask for it too, and no line of an answer to them may exceed 64 KiB.
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(l)
}

func (f front) metrics(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeMetrics(w, f.s.Overview(r.Context()))
}

// writeMetrics writes an overview in the text format of Prometheus.
func writeMetrics(w io.Writer, v *protocol.Overview) {
	set := metrics.NewSet()
	gauge := func(name string, value float64, labels ...string) {
		var pairs []string
		for i := 0; i+1 < len(labels); i += 2 {
			pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
		}
		if len(pairs) > 0 {
			name += "{" + strings.Join(pairs, ",") + "}"
		}
		set.GetOrCreateGauge("daledyke_"+name, nil).Set(value)
	}
	truth := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("up_seconds", v.UpS)
	gauge("session_valid", truth(v.Session.Valid))
	gauge("session_left_seconds", v.Session.LeftS)
	gauge("deaf", truth(v.Session.Deaf))
	gauge("answers", truth(v.Holds.Answers))
	gauge("horizon_age_seconds", v.Holds.HorizonS)
	gauge("leads", truth(v.Leader == v.Controller))
	if v.Window != nil {
		gauge("window", float64(v.Window.Number))
	}
	held, incomplete := 0, 0
	for _, s := range v.Slots {
		if s.Holder == v.Controller {
			held++
		}
		if !s.Complete {
			incomplete++
		}
	}
	gauge("slots_held", float64(held))
	gauge("slots_incomplete", float64(incomplete))
	for state, n := range map[string]int{"all": v.Holds.Machines, "silent": v.Holds.Silent, "suspect": v.Holds.Suspect,
		"doubted": v.Holds.Doubted, "draining": v.Holds.Draining, "vacating": v.Holds.Vacating} {
		gauge("machines_held", float64(n), "state", state)
	}
	gauge("tasks_held", float64(v.Holds.Tasks))
	gauge("tasks_running", float64(v.Holds.Running))
	for _, f := range v.Fleet {
		kind := []string{"type", f.Type, "spot", fmt.Sprint(f.Spot)}
		gauge("fleet_machines", float64(f.Up), append(kind, "state", "up")...)
		gauge("fleet_machines", float64(f.Booting), append(kind, "state", "booting")...)
		gauge("fleet_used", f.Used, kind...)
	}
	gauge("kinds_without_capacity", float64(len(v.NoCapacity)))
	gauge("jobs_active", float64(v.Jobs.Active))
	gauge("jobs_owned", float64(v.Jobs.Owned))
	gauge("jobs_unmoved", float64(v.Jobs.Unmoved))
	gauge("moves_total", float64(v.Jobs.Moves))
	gauge("tasks_patient", float64(v.Jobs.Patient))
	gauge("jobs_chained", float64(v.Jobs.Chained))
	gauge("jobs_unclear", float64(v.Jobs.Unclear))
	for _, s := range v.Siblings {
		gauge("sibling_generation", float64(s.Generation), "name", s.Name)
	}
	for reason, n := range v.Jobs.Waiting {
		gauge("jobs_waiting", float64(n), "reason", reason)
	}
	for _, s := range v.Siblings {
		gauge("sibling_session", truth(s.Session), "name", s.Name)
		gauge("sibling_heard_seconds", s.HeardS, "name", s.Name)
	}
	for name, c := range map[string]protocol.ClientView{"state": v.State, "cloud": v.Cloud} {
		gauge(name+"_requests_total", float64(c.Requests))
		for outcome, n := range map[string]int64{"refused": c.Refused, "unanswered": c.Unanswered, "no_budget": c.NoBudget} {
			gauge(name+"_failures_total", float64(n), "outcome", outcome)
		}
	}
	if q := v.Quotas; q != nil {
		gauge("quota_revision", float64(q.Revision))
		gauge("quota_permits", float64(q.Permits))
		gauge("quota_requests_total", float64(q.Requests))
		gauge("quota_granted_total", float64(q.Granted))
		gauge("quota_accounts_over", float64(len(q.Over)))
		for _, a := range q.Accounts { // bounded: those that use most
			for state, r := range map[string]protocol.Room{"used": a.Used, "borrowed": a.Borrowed, "lent": a.Lent, "guarantee": a.Guarantee, "limit": a.Limit} {
				gauge("quota_cpus", r.Cores, "account", a.Name, "state", state)
				gauge("quota_gpus", r.Accels, "account", a.Name, "state", state)
			}
		}
	}
	for record, n := range v.State.Changes {
		gauge("state_changes_total", float64(n), "record", record)
	}
	set.WritePrometheus(w)
}

// Operators asks a controller for its view.
type Operators struct {
	http *http.Client
	base string
}

// NewOperators makes a client of the controller whose front door is at addr.
func NewOperators(dial Dialer, addr string) *Operators {
	return &Operators{http: newHTTPClient(dial, 1, time.Second), base: "http://" + addr}
}

// ErrNoSuchJob says that the controller knows nothing of the job.
var ErrNoSuchJob = errors.New("no such job is known to this controller")

// Overview asks for what the controller knows.
func (o *Operators) Overview(ctx context.Context) (v *protocol.Overview, err error) {
	v = &protocol.Overview{}
	return v, o.get(ctx, pathOverview, v)
}

// Job asks how a job stands.
func (o *Operators) Job(ctx context.Context, id string) (v *protocol.JobView, err error) {
	if !protocol.ValidJobID(id) {
		return nil, fmt.Errorf("%q is no job id (they look like wk-000412)", id)
	}
	v = &protocol.JobView{}
	return v, o.get(ctx, pathJobView+id, v)
}

func (o *Operators) get(ctx context.Context, path string, into any) error {
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
