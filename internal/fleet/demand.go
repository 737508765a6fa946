package fleet

import (
	"math"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Class is what was seen of a class of jobs lately.
type Class struct {
	Spec     *protocol.JobSpec // of the newest job
	Arrivals []time.Time       // of tasks, bounded
	ImageGB  float64           // average size of images
}

// Arrive counts the tasks of a job that became ready at a time.
func (c *Class) Arrive(s *protocol.JobSpec, ready time.Time) {
	if c.Spec == nil {
		c.ImageGB = s.ImageGB
	}
	c.Spec = s
	c.ImageGB += (s.ImageGB - c.ImageGB) / 8
	for range min(s.Tasks, 32) {
		c.Arrivals = append(c.Arrivals, ready)
	}
	if over := len(c.Arrivals) - MaxArrivals; over > 0 {
		c.Arrivals = slices.Clone(c.Arrivals[over:])
	}
}

// arrivalSpan is how far back arrivals count.
const arrivalSpan = 4 * time.Minute

// MaxArrivals bounds the arrivals that a class remembers.
const MaxArrivals = 256

// Rate is how many tasks of the class arrive in a second. The jobs that are
// there at the very start are no measure of what follows.
func (c *Class) Rate(now, started time.Time) float64 {
	span := min(arrivalSpan, now.Sub(started))
	if span < 30*time.Second {
		return 0
	}
	n := 0
	for _, a := range c.Arrivals {
		if now.Sub(a) < span-10*time.Second {
			n++
		}
	}
	return float64(n) / (span - 10*time.Second).Seconds()
}

// betweenTasks is what passes from one task to the next in the same room.
const betweenTasks = time.Second

// InTurn is for how many of an array's tasks there should be room at a time:
// short ones can use the same room one after the other, in the time that is
// left once a machine is ready. Estimates are taken to be wrong by half, and a
// fifth of the time is not counted on. A huge array of tasks of a few seconds
// had the whole cloud rented.
func InTurn(tasks int, estimate, left time.Duration) int {
	turns := max(1, int(left*4/5/(estimate*3/2+betweenTasks)))
	return (tasks + turns - 1) / turns
}

// Admitted is how often a need goes into a limit, of which zeros mean none; a
// million at most.
func Admitted(need, limit protocol.Room) int {
	n := math.Inf(1)
	if need.Cores > 0 && limit.Cores > 0 {
		n = min(n, limit.Cores/need.Cores)
	}
	if need.Accels > 0 && limit.Accels > 0 {
		n = min(n, limit.Accels/need.Accels)
	}
	return int(min(n, 1e6))
}

// Ready is how long the soonest machine for a task takes to be rented and have
// an image of so many GB, and what the fetch is of it; the longest of durations
// if no type takes the job.
func Ready(types map[string]protocol.MachineType, s *protocol.JobSpec, gb float64) (ready, fetch time.Duration) {
	ready = math.MaxInt64
	for _, t := range types {
		if t.Takes(s) {
			f := t.FetchTime(gb)
			if r := protocol.Seconds(1.3*t.BootS) + f; r < ready {
				ready, fetch = r, f
			}
		}
	}
	return ready, fetch
}

// Spare is for how many tasks of a class room should be kept ready, if the
// users' aim (within) leaves no time to wait for a machine to boot: for as many as
// come in the time by which a machine rented for them would be late, give or take,
// times the operators' scale. preempt: room that preemption makes will do.
// With all that come while it boots, a class whose images alone take nearly as
// long as its aim had a third of the fleet kept empty.
func Spare(c *Class, types map[string]protocol.MachineType, within time.Duration, scale float64, now, started time.Time) (n int, preempt bool) {
	ready, fetch := Ready(types, c.Spec, c.ImageGB)
	if ready == math.MaxInt64 || within >= ready {
		return 0, false
	}
	mean := c.Rate(now, started) * (ready - within).Seconds() * scale
	if mean == 0 {
		return 0, false
	}
	return int(math.Ceil(mean + 0.7*math.Sqrt(mean))), within > fetch+12*time.Second
}
