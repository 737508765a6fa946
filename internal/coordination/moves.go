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

// move takes the next step for replicas of a service that are to be elsewhere, one at a
// time.
func (o *Owner) move(js *jobState, now time.Time, rq requests) {
	s := js.job.Spec
	if s.Shape != protocol.Service || js.job.Final() || js.missing > 0 || len(js.pending) > 0 {
		return
	}
	var next *board.Instance
	for index, list := range o.board.Tasks[s.ID] {
		sh := js.ownedBlockOf(index)
		if sh == nil || !sh.priorStartsKnown {
			return
		}
		var held, on *board.Instance
		for _, i := range list {
			switch {
			case i.Exited():
			case i.State == board.TaskReserved:
				held = i
			default:
				on = i
			}
		}
		switch {
		case held != nil && on == nil: // what is left of it elsewhere has exited
			o.start(js, index, held.Attempt, placement.Choice{Machine: held.Machine}, false, rq)
			return
		case held != nil && on != nil && on.Machine.Vacates:
			o.askStop(on, 0, now, rq)
			return
		case held != nil || on == nil || !on.Running():
			return // something is under way already
		case on.Machine.Vacates && now.Sub(on.Ran) >= balance.SettledAfter:
			next = on
		}
	}
	if next == nil || now.Before(js.moveAt) || o.account(js) != "" || !o.teamRoom(js, 1) {
		return
	}
	js.moveAt = now.Add(2 * time.Second)
	if c, ok := o.placeElsewhere(js, next); ok {
		o.moves++
		slog.Info("moving", "task", next.Task, "from", next.Machine.ID, "to", c.Machine.ID)
		o.start(js, next.Index, o.newAttempt(), c, true, rq)
	}
}

// placeElsewhere finds a machine to which a replica had better move from where it is.
func (o *Owner) placeElsewhere(js *jobState, from *board.Instance) (placement.Choice, bool) {
	p := o.placingFor(js, "")
	p.Zones[from.Machine.Zone]-- // it is gone from there before it starts
	if p.Zones[from.Machine.Zone] == 0 {
		delete(p.Zones, from.Machine.Zone)
	}
	p.Sample = len(o.board.Machines) // it is rare enough to look at all
	// Away from where it costs far more than elsewhere it may go to a machine that nothing
	// else keeps, and fetch its image there.
	misplaced := p.Dear[from.Machine.Type]
	most := time.Duration(0)
	if misplaced {
		most = mostFetch
	}
	var to []*board.Machine
	for _, m := range o.machinesNow() {
		if misplaced && !p.Dear[m.Type] || o.keptByServices(m) {
			to = append(to, m)
		}
	}
	p.Gather(to)
	c, ok := p.BestFit()
	return c, ok && p.Fetch(c.Machine) <= most
}

// mostFetch is the longest fetch that a replica is moved for.
const mostFetch = 10 * time.Second

// keptByServices tells whether a machine stays for the services on it.
func (o *Owner) keptByServices(m *board.Machine) bool {
	for _, i := range m.Instances {
		if js := o.jobs[i.Job]; js != nil && !i.Exited() && js.job.Spec.Shape == protocol.Service {
			return true
		}
	}
	return false
}
