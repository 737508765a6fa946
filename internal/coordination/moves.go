package coordination

import (
	"log/slog"
	"time"

	"daledyke/internal/balance"
	"daledyke/internal/board"
	"daledyke/internal/placement"
	"daledyke/internal/protocol"
)

// The owner's side of moves: a service's replica on a machine that is being vacated is
// started elsewhere, in room that is reserved before it is stopped. Each step follows from
// what the board shows, so that whoever owns the job by then goes on with it:
//
//	runs on a machine that is vacated           room is reserved on another
//	the same, and room is reserved for it       it is stopped
//	only the room is left                       it is started there
//
// A reservation lapses by itself after some seconds; what was stopped meanwhile is placed
// as any other task that is missing. Nothing is written for a move: what a job wants
// stands in its record, and where it runs nowhere but on the machines.

// moveReplica takes the next step for replicas of a service that are to be elsewhere, one at a
// time.
func (o *Owner) moveReplica(js *jobState, now time.Time, rq requests) {
	s := js.job.Spec
	if s.Shape != protocol.Service || js.job.Final() || js.missing > 0 || len(js.pending) > 0 {
		return
	}
	var candidate *board.Instance
	for index, list := range o.board.Tasks[s.ID] {
		sh := js.shareOf(index)
		if sh == nil || !sh.settled {
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
		case reservation != nil && current == nil: // what is left of it elsewhere has exited
			o.addStart(js, index, reservation.Attempt, placement.Choice{Machine: reservation.Machine}, false, rq)
			return
		case reservation != nil && current != nil && current.Machine.Vacates:
			o.requestStop(current, 0, now, rq)
			return
		case reservation != nil || current == nil || !current.Running():
			return // something is under way already
		case current.Machine.Vacates && now.Sub(current.Ran) >= balance.SettledAfter:
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

// findMoveTarget finds a machine to which a replica had better move from where it is.
func (o *Owner) findMoveTarget(js *jobState, from *board.Instance) (placement.Choice, bool) {
	p := o.placingFor(js, "")
	p.Zones[from.Machine.Zone]-- // it is gone from there before it starts
	if p.Zones[from.Machine.Zone] == 0 {
		delete(p.Zones, from.Machine.Zone)
	}
	p.Sample = len(o.board.Machines) // it is rare enough to look at all
	// Away from where it costs far more than elsewhere it may go to a machine that nothing
	// else keeps, and fetch its image there.
	misplaced := p.Dear[from.Machine.Type]
	maxFetch := time.Duration(0)
	if misplaced {
		maxFetch = maxMoveFetch
	}
	var targets []*board.Machine
	for _, m := range o.usableMachines() {
		if misplaced && !p.Dear[m.Type] || o.runsService(m) {
			targets = append(targets, m)
		}
	}
	p.Gather(targets)
	c, ok := p.BestFit()
	return c, ok && p.Fetch(c.Machine) <= maxFetch
}

// maxMoveFetch is the longest fetch that a replica is moved for.
const maxMoveFetch = 10 * time.Second

// runsService tells whether a machine stays for the services on it.
func (o *Owner) runsService(m *board.Machine) bool {
	for _, i := range m.Instances {
		if js := o.jobs[i.Job]; js != nil && !i.Exited() && js.job.Spec.Shape == protocol.Service {
			return true
		}
	}
	return false
}
