package coordination

import (
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Team limits: what counts as a team's use, and whether its limit lets more start.

// teamUsage is the room that the teams' work takes, computed once a round: computing it for each placed task
// took half of a large team's owner's time at 1,500 machines.
type teamUsage struct {
	// placed is the room of tasks on the board, pending that of starts whose outcome is not known and which the
	// board does not show yet, by team. A start counts until its outcome is known, even if its job has ended.
	placed, pending map[string]protocol.Room
	// lost is the room of tasks that are gone from their machines although a command to start them there may
	// still be in transit, by team.
	lost map[string]protocol.Room
	// hasUnknownJobs: the board shows tasks of unknown jobs, which may be of any team.
	hasUnknownJobs bool
}

// mayBePresent is the room of everything of a team that is on a machine or may come to be there.
func (u *teamUsage) mayBePresent(team string) protocol.Room {
	return u.placed[team].Add(u.pending[team]).Add(u.lost[team])
}

// addRoom adds the room of a number of tasks of a job to the sum of its team.
func addRoom(sums map[string]protocol.Room, s *protocol.JobSpec, tasks int) {
	if tasks > 0 {
		sums[s.Team] = sums[s.Team].Add(s.Need().Scale(float64(tasks)))
	}
}

// currentTeamUsage is the room that the teams' work takes, computed once a round.
func (o *Owner) currentTeamUsage() *teamUsage {
	if o.teamUsageCache != nil {
		return o.teamUsageCache
	}
	usage := &teamUsage{placed: map[string]protocol.Room{}, pending: map[string]protocol.Room{}, lost: map[string]protocol.Room{}}
	for job, tasks := range o.board.Tasks {
		js := o.jobs[job]
		if js == nil {
			usage.hasUnknownJobs = true
			continue
		}
		placed, lost := 0, 0
		for _, list := range tasks {
			for _, i := range list {
				switch {
				case !i.Exited():
					placed++
				case i.Lost():
					lost++
				}
			}
		}
		addRoom(usage.placed, js.job.Spec, placed)
		addRoom(usage.lost, js.job.Spec, lost)
	}
	for id, js := range o.unresolved {
		pending := 0
		for index, ps := range js.pending {
			if !shows(o.board.Tasks[id][index], ps) {
				pending++
			}
		}
		addRoom(usage.pending, js.job.Spec, pending)
	}
	o.teamUsageCache = usage
	o.logTeamsOverLimit(time.Now())
	return usage
}

// shows reports whether a start is among a task's instances that count as placed or lost.
func shows(instances []*board.Instance, ps *pendingStart) bool {
	return slices.ContainsFunc(instances, func(i *board.Instance) bool {
		return i.Attempt == ps.attempt && i.Machine.ID == ps.machine && i.MayBePresent()
	})
}

// teamLimitAllows reports whether the team's limit leaves room for more tasks of the job. All jobs of a limited
// team have one owner, whose board and pending starts show all that may be running.
func (o *Owner) teamLimitAllows(js *jobState, more int) bool {
	t := o.cfg.Team(js.job.Spec.Team)
	if t == nil || !t.LimitAppliesTo(js.job.Spec.Need()) {
		return t != nil
	}
	if o.newJobRevision(js.gainWindow) == 0 {
		return false // some running tasks may not be known yet
	}
	if o.blockedByTurn(js, t.Name) {
		return false
	}
	usage := o.currentTeamUsage()
	if usage.hasUnknownJobs {
		return false // the unknown job may be the team's
	}
	return t.Admits(usage.mayBePresent(t.Name).Add(js.job.Spec.Need().Scale(float64(more))))
}

// blockedByTurn reports whether a job has to wait because it is the turn of a larger job of its team, which
// still waits.
func (o *Owner) blockedByTurn(js *jobState, team string) bool {
	t := o.turns[team]
	if t == nil || !t.Blocks(js.job.Spec.ID, js.job.Rank, time.Now()) {
		return false
	}
	other := o.active[t.Job]
	return other != nil && other.missing > 0 && len(other.ownedBlocks) > 0
}
