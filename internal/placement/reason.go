package placement

import (
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// JobWait is the state of a job that may be waiting.
type JobWait struct {
	Final, Held, DependenciesPending, AtFault bool
	// TimeToBegin is how long the job still waits for its begin time.
	TimeToBegin time.Duration
	// Missing is how many tasks are neither done nor on a machine.
	Missing int
	// FetchTimeLeft is the shortest remaining fetch time among the tasks that wait for their image,
	// negative if none does; WaitsForGang: some tasks wait for the rest of their gang.
	FetchTimeLeft time.Duration
	WaitsForGang  bool
	// SlotsIncomplete: the tasks on some slot's machines are not all known.
	SlotsIncomplete bool
	// BindingQuota is the account whose quota binds, empty if none does.
	BindingQuota string
	// StartRequested: holders were asked to start some of the tasks.
	StartRequested bool
	// AtTeamLimit reports whether the limit of the job's team binds. It costs more than the other checks
	// and is called only if none before it explains the wait.
	AtTeamLimit func() bool
	// MachinesComing reports whether machines that fit are booting, and in how long the first is ready,
	// negative if that is not known.
	MachinesComing func() (ready time.Duration, coming bool)
	// PlaceableFor is how long the job has been ready to be placed.
	PlaceableFor time.Duration
	// CloudRefused reports whether the cloud has no machine that fits.
	CloudRefused func() bool
}

// AddInstances updates Missing, WaitsForGang and FetchTimeLeft by the job's tasks on machines; done reports which
// tasks are done.
func (w *JobWait) AddInstances(instances map[int][]*board.Instance, done func(index int) bool, types map[string]protocol.MachineType, imageGB float64, now time.Time) {
	w.FetchTimeLeft = -1
	for index, list := range instances {
		if done(index) {
			continue
		}
		w.Missing--
		for _, i := range list {
			t := types[i.Machine.Type]
			switch {
			case i.State == protocol.TaskWaiting:
				w.WaitsForGang = true
			case i.State == protocol.TaskPulling || board.Unconfirmed(i.State):
				if left := max(0, t.FetchTime(imageGB)-now.Sub(i.FirstSeen)); w.FetchTimeLeft < 0 || left < w.FetchTimeLeft {
					w.FetchTimeLeft = left
				}
			}
		}
	}
}

// usualPlacementTime is how long placing usually takes.
const usualPlacementTime = 2 * time.Second

// Reason returns why no more of a job's tasks run, "" if none is missing, and in how long the next should
// start, negative if that is not known.
func (w *JobWait) Reason() (reason string, startsIn time.Duration) {
	switch {
	case w.Final:
		return "", -1
	case w.Held:
		return protocol.ReasonHeld, -1
	case w.TimeToBegin > 0:
		return protocol.ReasonTime, w.TimeToBegin
	case w.DependenciesPending:
		return protocol.ReasonNeeds, -1
	case w.AtFault:
		return protocol.ReasonFailing, -1
	case w.FetchTimeLeft >= 0:
		return protocol.ReasonFetching, w.FetchTimeLeft
	case w.WaitsForGang:
		return protocol.ReasonGang, -1
	case w.Missing <= 0:
		return "", -1
	case w.SlotsIncomplete:
		return protocol.ReasonSlots, -1
	case w.StartRequested:
		return protocol.ReasonPlacing, 0
	case w.AtTeamLimit():
		return protocol.ReasonLimit, -1
	case w.BindingQuota != "":
		return protocol.ReasonQuota + w.BindingQuota, -1
	}
	ready, coming := w.MachinesComing()
	switch {
	case coming:
		return protocol.ReasonBooting, ready
	case w.PlaceableFor < usualPlacementTime:
		return protocol.ReasonPlacing, -1
	case w.CloudRefused():
		return protocol.ReasonNoCapacity, -1
	}
	return protocol.ReasonNoRoom, -1
}
