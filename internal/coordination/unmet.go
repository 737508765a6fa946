package coordination

import (
	"slices"
	"strings"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Kinds of work for which no machine has room now. The backoff is per kind, not per job: with a backoff per
// job, chance decided which job searched first when room came free, and a team with a thousand jobs got nearly
// all of it.

// needKind is a kind of work, alike in where it may run and what may be preempted for it.
type needKind struct {
	team, class, types, zone string
	spot, filler             bool
	rank                     int
	// waitSteps is how long the job has waited, in steps of waitStep, if work may be preempted for it: the
	// longer it waits, the more may be.
	waitSteps int
}

// unmetNeed is a need for which no machine had room.
type unmetNeed struct {
	spec      *protocol.JobSpec
	expiresAt time.Time
}

const (
	// unmetNeedTTL is for how long no equal or larger need of the kind is searched for, unless room comes
	// free. It is short because what may be preempted changes with time.
	unmetNeedTTL = 400 * time.Millisecond
	// waitStep is the step of kinds' waiting times. Without it the failed search of a newer job, sorted first
	// by its deadline, kept older jobs from a search, though they had waited long enough to preempt work.
	waitStep = 3 * time.Second
	// maxUnmetNeeds bounds the number of kinds.
	maxUnmetNeeds = 256
)

// needKindOf is the kind of a job's tasks; false if the places where they may run depend on the job itself.
func (o *Owner) needKindOf(js *jobState, now time.Time) (needKind, bool) {
	s := js.job.Spec
	if s.OneZone && s.Tasks > 1 || s.Scatter || len(js.failedOn) > 0 {
		return needKind{}, false
	}
	k := needKind{team: s.Team, class: s.Class, types: strings.Join(s.Types, " "), spot: s.Spot, filler: js.job.Filler, rank: js.job.Rank}
	if s.Zone != nil {
		k.zone = *s.Zone
	}
	if k.rank >= placement.MinPreemptingRank {
		k.waitSteps = int(min(now.Sub(js.job.Ready), o.startObjective(s.Class, time.Minute)) / waitStep)
	}
	return k, true
}

// noteUnmetNeed records that no machine has room for a job's tasks.
func (o *Owner) noteUnmetNeed(js *jobState, now time.Time) {
	k, ok := o.needKindOf(js, now)
	if !ok {
		js.blockedUntil = now.Add(unmetNeedTTL)
		return
	}
	if len(o.unmetNeeds) >= maxUnmetNeeds {
		clear(o.unmetNeeds)
	}
	o.unmetNeeds[k] = unmetNeed{js.job.Spec, now.Add(unmetNeedTTL)}
}

// isKnownUnmet reports whether a moment ago no machine had room for a need of the same kind that was no larger,
// and no room has come free since.
func (o *Owner) isKnownUnmet(js *jobState, now time.Time) bool {
	if len(o.unmetNeeds) == 0 {
		return false
	}
	k, ok := o.needKindOf(js, now)
	if !ok {
		return false
	}
	need, known := o.unmetNeeds[k]
	return known && now.Before(need.expiresAt) && js.job.Spec.Need().Fits(need.spec.Need())
}

// dropMetNeeds drops the unmet needs for which updated machines have room.
func (o *Owner) dropMetNeeds(views []board.MachineView) {
	for k, need := range o.unmetNeeds {
		if slices.ContainsFunc(views, func(v board.MachineView) bool {
			m := o.board.Machines[v.ID]
			return m != nil && m.Usable && m.HasRoomFor(need.spec.Need()) && need.spec.Allows(m.Type, m.Zone, m.Spot)
		}) {
			delete(o.unmetNeeds, k)
		}
	}
}
