package transport

import (
	"fmt"
	"io"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"daledyke/internal/protocol"
)

// writeMetrics writes an overview in the text format of Prometheus.
func writeMetrics(w io.Writer, v *protocol.Overview) {
	set := gauges{metrics.NewSet()}
	set.controller(v)
	set.slots(v)
	set.machines(v)
	set.jobs(v)
	set.teams(v)
	set.siblings(v)
	set.services(v)
	set.quotas(v.Quotas)
	set.WritePrometheus(w)
}

// gauges is the set of metrics of one overview.
type gauges struct{ *metrics.Set }

// gauge sets a value; labels alternate between names and values.
func (g gauges) gauge(name string, value float64, labels ...string) {
	var pairs []string
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	if len(pairs) > 0 {
		name += "{" + strings.Join(pairs, ",") + "}"
	}
	g.GetOrCreateGauge("daledyke_"+name, nil).Set(value)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (g gauges) controller(v *protocol.Overview) {
	g.gauge("up_seconds", v.UpS)
	g.gauge("session_valid", boolValue(v.Session.Valid))
	g.gauge("session_left_seconds", v.Session.LeftS)
	g.gauge("deaf", boolValue(v.Session.WorkersUnreachable))
	g.gauge("answers", boolValue(v.Holds.Answers))
	g.gauge("horizon_age_seconds", v.Holds.HorizonS)
	g.gauge("leads", boolValue(v.Leader == v.Controller))
	if v.Window != nil {
		g.gauge("window", float64(v.Window.Number))
	}
}

func (g gauges) slots(v *protocol.Overview) {
	held, incomplete := 0, 0
	for _, s := range v.Slots {
		if s.Holder == v.Controller {
			held++
		}
		if !s.Complete {
			incomplete++
		}
	}
	g.gauge("slots_held", float64(held))
	g.gauge("slots_incomplete", float64(incomplete))
}

func (g gauges) machines(v *protocol.Overview) {
	for state, n := range map[string]int{"all": v.Holds.Machines, "silent": v.Holds.Silent, "suspect": v.Holds.Suspect,
		"doubted": v.Holds.Doubted, "draining": v.Holds.Draining, "vacating": v.Holds.Vacating} {
		g.gauge("machines_held", float64(n), "state", state)
	}
	g.gauge("tasks_held", float64(v.Holds.Tasks))
	g.gauge("tasks_running", float64(v.Holds.Running))
	for _, f := range v.Fleet {
		kind := []string{"type", f.Type, "spot", fmt.Sprint(f.Spot)}
		g.gauge("fleet_machines", float64(f.Up), append(kind, "state", "up")...)
		g.gauge("fleet_machines", float64(f.Booting), append(kind, "state", "booting")...)
		g.gauge("fleet_used", f.Used, kind...)
	}
	g.gauge("kinds_without_capacity", float64(len(v.NoCapacity)))
}

func (g gauges) jobs(v *protocol.Overview) {
	g.gauge("jobs_active", float64(v.Jobs.Active))
	g.gauge("jobs_owned", float64(v.Jobs.Owned))
	g.gauge("jobs_unmoved", float64(v.Jobs.Unarchived))
	g.gauge("moves_total", float64(v.Jobs.Moves))
	g.gauge("tasks_patient", float64(v.Jobs.WaitingForImage))
	g.gauge("jobs_chained", float64(v.Jobs.WithDependencies))
	g.gauge("jobs_unclear", float64(v.Jobs.NeedsUnknown))
	for reason, n := range v.Jobs.Waiting {
		g.gauge("jobs_waiting", float64(n), "reason", reason)
	}
}

// teams sets the metrics of the limited teams whose jobs this controller places.
func (g gauges) teams(v *protocol.Overview) {
	for _, t := range v.Teams {
		for part, r := range map[string]protocol.Room{"limit": t.Limit, "placed": t.Placed, "pending": t.Pending, "lost": t.Lost} {
			g.gauge("team_cpus", r.Cores, "team", t.Team, "part", part)
			g.gauge("team_gpus", r.Accels, "team", t.Team, "part", part)
		}
	}
}

func (g gauges) siblings(v *protocol.Overview) {
	for _, s := range v.Siblings {
		g.gauge("sibling_generation", float64(s.Generation), "name", s.Name)
		g.gauge("sibling_session", boolValue(s.Session), "name", s.Name)
		g.gauge("sibling_heard_seconds", s.HeardS, "name", s.Name)
	}
}

// services sets the request counters of this controller's clients of the state service and the cloud.
func (g gauges) services(v *protocol.Overview) {
	for name, c := range map[string]protocol.ClientView{"state": v.State, "cloud": v.Cloud} {
		g.gauge(name+"_requests_total", float64(c.Requests))
		for outcome, n := range map[string]int64{"refused": c.Refused, "unanswered": c.Unanswered, "no_budget": c.NoBudget} {
			g.gauge(name+"_failures_total", float64(n), "outcome", outcome)
		}
	}
	for record, n := range v.State.Changes {
		g.gauge("state_changes_total", float64(n), "record", record)
	}
}

// quotas sets the metrics of nested quotas, none if they are off.
func (g gauges) quotas(q *protocol.QuotaView) {
	if q == nil {
		return
	}
	g.gauge("quota_revision", float64(q.Revision))
	g.gauge("quota_permits", float64(q.Permits))
	g.gauge("quota_requests_total", float64(q.Requests))
	g.gauge("quota_granted_total", float64(q.Granted))
	g.gauge("quota_accounts_over", float64(len(q.Over)))
	for _, a := range q.Accounts { // bounded: the view lists only the accounts that use most
		for state, r := range map[string]protocol.Room{"used": a.Used, "borrowed": a.Borrowed, "lent": a.Lent, "guarantee": a.Guarantee, "limit": a.Limit} {
			g.gauge("quota_cpus", r.Cores, "account", a.Name, "state", state)
			g.gauge("quota_gpus", r.Accels, "account", a.Name, "state", state)
		}
	}
}
