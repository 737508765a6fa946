package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/balance"
	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// The owner's side of moves: a service's replica on a machine that is being vacated is started elsewhere, in
// room that is reserved before the replica is stopped. Each step follows from the board alone, so a new owner
// of the job continues a move:
//
//	replica on a vacated machine, no reservation      reserve room on another machine
//	replica on a vacated machine, and a reservation   stop the replica
//	a reservation only                                start the replica there
//
// A reservation expires after some seconds; a replica stopped by then is placed like any other missing task. A
// move writes no records: a job's record contains what is to run, and only the machines show where it runs.

// moveReplica takes the next step for a service's replicas that have to move, one at a time.
func (o *Owner) moveReplica(js *jobState, now time.Time, rq requests) {
	s := js.job.Spec
	if s.Shape != protocol.Service || js.job.Final() || js.missing > 0 || len(js.pending) > 0 {
		return
	}
	var candidate *board.Instance
	for index, list := range o.board.Tasks[s.ID] {
		owned := js.ownedBlockOf(index)
		if owned == nil || !owned.priorStartsKnown {
			return
		}
		var reservation, current *board.Instance
		for _, i := range list {
			switch {
			case i.Exited():
			case i.State == board.TaskReserved:
				reservation = i
			default:
				current = i
			}
		}
		switch {
		case reservation != nil && current == nil: // the old replica has exited
			o.addStart(js, index, reservation.Attempt, placement.Choice{Machine: reservation.Machine}, false, rq)
			return
		case reservation != nil && current != nil && current.Machine.Vacates:
			o.requestStop(current, 0, now, rq)
			return
		case reservation != nil || current == nil || !current.Running():
			return // a step is in progress already
		case current.Machine.Vacates && now.Sub(current.RunningSince) >= balance.SettledAfter:
			candidate = current
		}
	}
	if candidate == nil || now.Before(js.nextMoveAt) || o.account(js) != "" || !o.teamLimitAllows(js, 1) {
		return
	}
	js.nextMoveAt = now.Add(2 * time.Second)
	if c, ok := o.findMoveTarget(js, candidate); ok {
		o.startedMoves++
		slog.Info("moving", "task", candidate.Task, "from", candidate.Machine.ID, "to", c.Machine.ID)
		o.addStart(js, candidate.Index, o.newAttempt(), c, true, rq)
	}
}

// findMoveTarget finds a better machine for a replica than the one where it runs.
func (o *Owner) findMoveTarget(js *jobState, from *board.Instance) (placement.Choice, bool) {
	p := o.placingFor(js, "")
	p.TasksByZone[from.Machine.Zone]-- // the replica stops there before it starts elsewhere
	if p.TasksByZone[from.Machine.Zone] == 0 {
		delete(p.TasksByZone, from.Machine.Zone)
	}
	p.SampleSize = len(o.board.Machines) // moves are rare enough to examine all machines
	// From a type of machine where it costs far more than on others, a replica may also move to a machine that
	// runs no service, and fetch its image there.
	misplaced := p.Expensive[from.Machine.Type]
	maxFetch := time.Duration(0)
	if misplaced {
		maxFetch = maxMoveFetch
	}
	var targets []*board.Machine
	for _, m := range o.usableMachines() {
		if misplaced && !p.Expensive[m.Type] || o.runsService(m) {
			targets = append(targets, m)
		}
	}
	p.FindCandidates(targets)
	c, ok := p.BestFit()
	return c, ok && p.FetchTime(c.Machine) <= maxFetch
}

// maxMoveFetch is the longest image fetch accepted for a move.
const maxMoveFetch = 10 * time.Second

// runsService reports whether a machine runs a service, which keeps it in the fleet.
func (o *Owner) runsService(m *board.Machine) bool {
	for _, i := range m.Instances {
		if js := o.jobs[i.Job]; js != nil && !i.Exited() && js.job.Spec.Shape == protocol.Service {
			return true
		}
	}
	return false
}
