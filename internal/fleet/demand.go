package fleet

import (
	"math"
	"slices"
	"time"

	"daledyke/internal/protocol"
)

// Class holds recent observations of a class of jobs.
type Class struct {
	Spec     *protocol.JobSpec // of the newest job
	Arrivals []time.Time       // of tasks, bounded
	ImageGB  float64           // average size of images
}

// RecordArrivals counts the tasks of a job that became ready at a time.
func (c *Class) RecordArrivals(s *protocol.JobSpec, ready time.Time) {
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

// Rate is how many tasks of the class arrive per second. The jobs present at the very start do not count: they
// say nothing about later arrivals.
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

// taskTurnaround is the time from the end of a task to the start of the next in the same room.
const taskTurnaround = time.Second

// ConcurrentTasks returns for how many of an array's tasks there should be room at the same time: short tasks can
// use the same room one after the other in timeLeft. As a margin, tasks are taken to run half as long again as
// estimated, and a fifth of timeLeft is left out. Without this reuse a huge array of tasks of a few seconds had
// the whole cloud rented.
func ConcurrentTasks(tasks int, estimate, timeLeft time.Duration) int {
	runsPerSlot := max(1, int(timeLeft*4/5/(estimate*3/2+taskTurnaround)))
	return (tasks + runsPerSlot - 1) / runsPerSlot
}

// Allowance is what a team may still use of its limits, CPUs and GPUs, while demands are derived from its jobs. All
// of the team's jobs share it: when each job was granted the whole limit, 388 machines were rented for a
// burst of 400 jobs of a team for which 50 machines would have done.
type Allowance struct {
	cores, accels float64
	// gangCounted: a gang that does not fit was counted in full, as the next to start.
	gangCounted bool
}

// NewAllowance is what a limit leaves beside what is in use; a limit of zero means none.
func NewAllowance(limit, use protocol.Room) *Allowance {
	a := &Allowance{cores: math.Inf(1), accels: math.Inf(1)}
	if limit.Cores > 0 {
		a.cores = max(0, limit.Cores-use.Cores)
	}
	if limit.Accels > 0 {
		a.accels = max(0, limit.Accels-use.Accels)
	}
	return a
}

// Take returns for how many of a job's missing tasks the team may use room, and deducts it: for a gang all or
// none. The first gang that does not fit is counted in full: it starts once other tasks end, and their machines
// may be too few or in other places. When no such gang was counted, large gangs waited for machines to boot
// after they had waited for the limit.
func (a *Allowance) Take(s *protocol.JobSpec, missing int) int {
	const slack = 1e-6
	need, n := s.Need(), float64(missing)
	if need.Cores > 0 {
		n = min(n, (a.cores+slack)/need.Cores)
	}
	if need.Accels > 0 {
		n = min(n, (a.accels+slack)/need.Accels)
	}
	fits := int(n)
	if s.Shape == protocol.Gang && fits < missing {
		if a.gangCounted {
			return 0
		}
		a.gangCounted, fits = true, missing
	}
	a.cores = max(0, a.cores-float64(fits)*need.Cores)
	a.accels = max(0, a.accels-float64(fits)*need.Accels)
	return fits
}

// FastestReady returns how long it takes on the fastest machine type for a job until a rented machine has booted
// and fetched an image of gb GB, and how much of that time is the fetch. ready is math.MaxInt64 if no type takes
// the job.
func FastestReady(types map[string]protocol.MachineType, s *protocol.JobSpec, gb float64) (ready, fetch time.Duration) {
	ready = math.MaxInt64
	for _, t := range types {
		if t.CanRun(s) {
			f := t.FetchTime(gb)
			if r := protocol.Seconds(1.3*t.BootS) + f; r < ready {
				ready, fetch = r, f
			}
		}
	}
	return ready, fetch
}

// SpareTasks returns for how many future tasks of a class room should be kept ready because a machine rented on
// their arrival would miss startTarget. It is the number of tasks that arrive in the time by which the machine
// would miss it, times the operators' scale, with some margin; preempt reports that room freed by preemption is
// ready soon enough.
// Arrivals during the whole boot and fetch do not count: when they did, a third of the fleet was kept empty for
// a class whose image fetch alone takes nearly as long as its target.
func SpareTasks(c *Class, types map[string]protocol.MachineType, startTarget time.Duration, scale float64, now, started time.Time) (n int, preempt bool) {
	ready, fetch := FastestReady(types, c.Spec, c.ImageGB)
	if ready == math.MaxInt64 || startTarget >= ready {
		return 0, false
	}
	mean := c.Rate(now, started) * (ready - startTarget).Seconds() * scale
	if mean == 0 {
		return 0, false
	}
	return int(math.Ceil(mean + 0.7*math.Sqrt(mean))), startTarget > fetch+12*time.Second
}
