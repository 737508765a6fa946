package coordination

import (
	"slices"
	"strings"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// Kinds of work for which no machine has room now. Once each job had a pause of its own
// after it found none. Which of them looked first when room came free was a matter of
// luck then, and so of numbers: a team with a thousand jobs had nearly all of it.

// needKind is work that is alike in where it may run and what may be stopped for it.
type needKind struct {
	team, class, types, zone string
	spot, filler             bool
	rank                     int
	// waitSteps is for how long it waitSteps already, in steps, if work may be stopped for it:
	// with time more may.
	waitSteps int
}

// unmetNeed is a need that no machine had room for.
type unmetNeed struct {
	spec      *protocol.JobSpec
	expiresAt time.Time
}

const (
	// unmetNeedTTL is for how long nothing as large of the kind is looked for, unless room comes
	// up: what may be stopped for it changes with time.
	unmetNeedTTL = 400 * time.Millisecond
	// waitStep is the step of kinds' waiting times. Once a job that had come late and was due
	// early kept those from being looked at that had waited for long enough to have work stopped.
	waitStep = 3 * time.Second
	// maxUnmetNeeds bounds the kinds.
	maxUnmetNeeds = 256
)

// needKindOf is the kind of a job's tasks; false if where they may run is its own matter.
func (o *Owner) needKindOf(js *jobState, now time.Time) (needKind, bool) {
	s := js.job.Spec
	if s.OneZone && s.Tasks > 1 || s.Scatter || len(js.failedOn) > 0 {
		return needKind{}, false
	}
	k := needKind{team: s.Team, class: s.Class, types: strings.Join(s.Types, " "), spot: s.Spot, filler: js.job.Filler, rank: js.job.Rank}
	if s.Zone != nil {
		k.zone = *s.Zone
	}
	if k.rank >= placement.Preempts {
		k.waitSteps = int(min(now.Sub(js.job.Ready), o.startObjective(s.Class, time.Minute)) / waitStep)
	}
	return k, true
}

// noteUnmetNeed notes that no machine has room for a job's tasks.
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

// isKnownUnmet tells whether a need no larger was found to have no room a moment ago, and none
// came up since.
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

// dropMetNeeds has kinds looked for again that machines which were shown anew have room for.
func (o *Owner) dropMetNeeds(views []board.MachineView) {
	for k, need := range o.unmetNeeds {
		if slices.ContainsFunc(views, func(v board.MachineView) bool {
			m := o.board.Machines[v.ID]
			return m != nil && m.Usable && m.Free.Sub(m.Promised).Fits(need.spec.Need()) && need.spec.Allows(m.Type, m.Zone, m.Spot)
		}) {
			delete(o.unmetNeeds, k)
		}
	}
}
