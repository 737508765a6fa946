package coordination

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// The record of what an owner decided under team limits: log lines and the operators' view.

const (
	// maxAdmissions bounds the starts that are remembered of each team, for the log.
	maxAdmissions = 12
	// overLimitLogInterval is the shortest time between two log lines about one team over its limit.
	overLimitLogInterval = 10 * time.Second
)

// teamTrail is what an owner remembers of its decisions for one limited team.
type teamTrail struct {
	// gainWindow is the window since which this controller places the team's jobs, 0 if it does not.
	gainWindow uint64
	// admissions are the newest starts that the limit allowed, oldest first.
	admissions  []limitAdmission
	overLimitAt time.Time // when the log last said that the team is over its limit
}

// limitAdmission is a start that a team's limit allowed, with the use that was counted before it.
type limitAdmission struct {
	at                    time.Time
	task                  string
	attempt               uint64
	machine               string
	placed, pending, lost protocol.Room
}

func (a limitAdmission) String() string {
	return fmt.Sprintf("%s %s@%d on %s beside %s placed, %s pending, %s lost", a.at.UTC().Format("15:04:05.000"), a.task, a.attempt, a.machine,
		roomText(a.placed), roomText(a.pending), roomText(a.lost))
}

// roomText formats the resources that teams are limited in.
func roomText(r protocol.Room) string { return fmt.Sprintf("%g CPUs %g GPUs", r.Cores, r.Accels) }

// teamTrail returns the record of a team, a new one if there is none yet.
func (o *Owner) teamTrail(team string) *teamTrail {
	trail := o.teamTrails[team]
	if trail == nil {
		trail = &teamTrail{}
		o.teamTrails[team] = trail
	}
	return trail
}

// noteAdmission records that a limit allowed a start, if the job's team is limited in what it takes.
func (o *Owner) noteAdmission(s *protocol.JobSpec, st *Start) {
	team := o.cfg.Team(s.Team)
	if team == nil || !team.LimitAppliesTo(s.Need()) {
		return
	}
	usage, trail := o.currentTeamUsage(), o.teamTrail(s.Team)
	admission := limitAdmission{time.Now(), st.Task, st.Attempt, st.Machine, usage.placed[s.Team], usage.pending[s.Team], usage.lost[s.Team]}
	if len(trail.admissions) == maxAdmissions {
		trail.admissions = slices.Delete(trail.admissions, 0, 1)
	}
	trail.admissions = append(trail.admissions, admission)
	slog.Debug("start within a team's limit", "team", s.Team, "start", admission, "limit", roomText(limitOf(team)), "window", o.window().Number, "term", o.session.Term())
}

// limitOf returns a team's limit.
func limitOf(t *config.Team) protocol.Room {
	return protocol.Room{Cores: t.CoresMax, Accels: t.AccelsMax}
}

// logLimitedTeams logs since which window this controller places the jobs of which limited teams.
func (o *Owner) logLimitedTeams() {
	for i := range o.cfg.Deployment.Teams {
		team := &o.cfg.Deployment.Teams[i]
		if !team.HasLimit() {
			continue
		}
		gain, trail := o.tokenGainWindow(protocol.RingToken(team.Name)), o.teamTrail(team.Name)
		if (gain == 0) != (trail.gainWindow == 0) {
			slog.Info("owner of a limited team", "team", team.Name, "owns", gain != 0, "window", o.window().Number, "term", o.session.Term())
		}
		trail.gainWindow = gain
	}
}

// logTeamsOverLimit logs an error, with all that the use was counted from, if what is or may come to be on machines
// for a limited team is more than its limit by the count of its owner.
func (o *Owner) logTeamsOverLimit(now time.Time) {
	for name, trail := range o.teamTrails {
		team := o.cfg.Team(name)
		if team == nil || trail.gainWindow == 0 || now.Sub(trail.overLimitAt) < overLimitLogInterval {
			continue
		}
		usage := o.currentTeamUsage()
		if team.Admits(usage.mayBePresent(name)) {
			continue
		}
		trail.overLimitAt = now
		slog.Error("a team uses more than its limit", "team", name, "limit", roomText(limitOf(team)), "placed", roomText(usage.placed[name]),
			"pending", roomText(usage.pending[name]), "lost", roomText(usage.lost[name]), "unknownJobs", usage.hasUnknownJobs,
			"window", o.window().Number, "ownedSince", trail.gainWindow, "revision", o.newJobRevision(trail.gainWindow), "term", o.session.Term(),
			"starts", trail.admissions, "tasks", o.teamTasks(name), "slots", o.slotSources(now))
	}
}

// maxLoggedTasks bounds the tasks in one log line.
const maxLoggedTasks = 64

// teamTasks lists the tasks that the board shows of a team, newest first, as far as a log line has room.
func (o *Owner) teamTasks(team string) []string {
	var listed []string
	now := time.Now()
	for job, tasks := range o.board.Tasks {
		js := o.jobs[job]
		if js == nil || js.job.Spec.Team != team {
			continue
		}
		for _, instances := range tasks {
			for _, i := range instances {
				listed = append(listed, fmt.Sprintf("%08.3fs %s@%d %s on %s, job %s", now.Sub(i.FirstSeen).Seconds(), i.Task, i.Attempt, i.State, i.Machine.ID, js.job.State))
			}
		}
	}
	slices.Sort(listed)
	return listed[:min(len(listed), maxLoggedTasks)]
}

// slotSources tells for each slot which holder's version of it the board shows, and how old that is.
func (o *Owner) slotSources(now time.Time) string {
	var sources strings.Builder
	for n := range o.slots {
		if s := o.board.Slots[n]; s != nil {
			fmt.Fprintf(&sources, "%d:%s term %d version %d window %d complete %v %v ago; ", n, s.Holder, s.Term, s.Version, s.Window, s.Complete, now.Sub(s.RequestedAt).Round(time.Millisecond))
		}
	}
	return sources.String()
}

// limitedTeamViews shows the use of the limited teams whose jobs this controller places.
func (o *Owner) limitedTeamViews() (views []protocol.TeamView) {
	for i := range o.cfg.Deployment.Teams {
		team := &o.cfg.Deployment.Teams[i]
		if !team.HasLimit() || o.tokenGainWindow(protocol.RingToken(team.Name)) == 0 {
			continue
		}
		usage := o.currentTeamUsage()
		views = append(views, protocol.TeamView{Team: team.Name, Limit: limitOf(team), Placed: usage.placed[team.Name],
			Pending: usage.pending[team.Name], Lost: usage.lost[team.Name]})
	}
	return views
}

// logStartsInFlight logs that a job ended while starts of it were in flight.
func logStartsInFlight(js *jobState) {
	if len(js.pending) > 0 {
		slog.Info("a job ended while starts of it were in flight", "job", js.job.Spec.ID, "team", js.job.Spec.Team, "state", js.job.State, "starts", len(js.pending))
	}
}
