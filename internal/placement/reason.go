package placement

import (
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

// Wait is what is known of a job that may be waiting.
type Wait struct {
	Final, Held, Needs, AtFault bool
	// Until is how long it still waits for its time.
	Until time.Duration
	// Missing is how many tasks are neither done nor on a machine.
	Missing int
	// Fetching is how long the first of those that wait for their image still
	// has to, negative if none does; Gathered: some wait for their gang.
	Fetching time.Duration
	Gathered bool
	// Incomplete: of some slot it is not known what is there.
	Incomplete bool
	// Quota is the account whose limit binds, if one does.
	Quota string
	// Asked: holders have been asked to start some.
	Asked bool
	// Limited tells whether the limit of its team binds. It is asked only if
	// nothing before it explains the wait: it costs more than the rest.
	Limited func() bool
	// Coming tells whether machines that fit are on their way, and in how long
	// the first is ready, negative if that can't be told.
	Coming func() (ready time.Duration, coming bool)
	// Age is since when it could be placed.
	Age time.Duration
	// Refused tells whether the cloud has none of what fits.
	Refused func() bool
}

// On takes in which of a job's tasks are on machines; done tells which of them
// are done.
func (w *Wait) On(there map[int][]*board.Instance, done func(index int) bool, types map[string]protocol.MachineType, imageGB float64, now time.Time) {
	w.Fetching = -1
	for index, list := range there {
		if done(index) {
			continue
		}
		w.Missing--
		for _, i := range list {
			t := types[i.Machine.Type]
			switch {
			case i.State == protocol.TaskWaiting:
				w.Gathered = true
			case i.State == protocol.TaskPulling || board.Unconfirmed(i.State):
				if left := max(0, t.FetchTime(imageGB)-now.Sub(i.Since)); w.Fetching < 0 || left < w.Fetching {
					w.Fetching = left
				}
			}
		}
	}
}

// placedWithin is how long placing usually takes.
const placedWithin = 2 * time.Second

// Reason tells why no more of a job's tasks run than do, "" if nothing is
// missing, and when the next should start, negative if that can't be told.
func (w *Wait) Reason() (reason string, in time.Duration) {
	switch {
	case w.Final:
		return "", -1
	case w.Held:
		return protocol.ReasonHeld, -1
	case w.Until > 0:
		return protocol.ReasonTime, w.Until
	case w.Needs:
		return protocol.ReasonNeeds, -1
	case w.AtFault:
		return protocol.ReasonFailing, -1
	case w.Fetching >= 0:
		return protocol.ReasonFetching, w.Fetching
	case w.Gathered:
		return protocol.ReasonGang, -1
	case w.Missing <= 0:
		return "", -1
	case w.Incomplete:
		return protocol.ReasonSlots, -1
	case w.Asked:
		return protocol.ReasonPlacing, 0
	case w.Limited():
		return protocol.ReasonLimit, -1
	case w.Quota != "":
		return protocol.ReasonQuota + w.Quota, -1
	}
	ready, coming := w.Coming()
	switch {
	case coming:
		return protocol.ReasonBooting, ready
	case w.Age < placedWithin:
		return protocol.ReasonPlacing, -1
	case w.Refused():
		return protocol.ReasonNoCapacity, -1
	}
	return protocol.ReasonNoRoom, -1
}
