package placement

import "time"

// A gang may starve: room that comes free goes to any task that fits, and smaller work of the same team
// takes each piece before there is enough for the gang. After a while what is left of the team's limit is
// therefore reserved for the gang, for a bounded time and with gaps, so that neither side starves.
const (
	// LimitReservationAfter is how long a gang waits for room within its team's limit before the rest of
	// the limit is reserved for it. The team's other tasks then make room by ending: if they end within
	// LimitReservationDuration, the gang can start within four minutes.
	LimitReservationAfter = time.Minute
	// MachineReservationAfter is how long a gang waits for room on machines before room that comes free
	// is reserved for it, if no machine came up meanwhile.
	MachineReservationAfter = 2 * time.Minute
	// LimitReservationDuration bounds a reservation; LimitReservationGap is the least time between two
	// reservations in a team.
	LimitReservationDuration = 90 * time.Second
	LimitReservationGap      = 45 * time.Second
)

// LimitReservation is a team's current or last reservation of the rest of its limit for one large job.
type LimitReservation struct {
	Job   string
	Rank  int
	Began time.Time
}

// Active reports whether the reservation is in force.
func (r *LimitReservation) Active(now time.Time) bool {
	return r != nil && r.Job != "" && now.Sub(r.Began) < LimitReservationDuration
}

// Blocks reports whether a job must wait because of another job's reservation; jobs of higher priority do not.
func (r *LimitReservation) Blocks(job string, rank int, now time.Time) bool {
	return r.Active(now) && r.Job != job && rank <= r.Rank
}

// Next is the team's reservation after a job that has waited for the given time found no room for all its
// tasks within the team's limit: a new one for the job if it has waited long enough and none is active or
// too recent, else the present one.
func (r *LimitReservation) Next(job string, rank int, waited time.Duration, now time.Time) *LimitReservation {
	if waited < LimitReservationAfter || r.Active(now) || r != nil && now.Sub(r.Began) < LimitReservationDuration+LimitReservationGap {
		return r
	}
	return &LimitReservation{Job: job, Rank: rank, Began: now}
}
