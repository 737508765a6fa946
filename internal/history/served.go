package history

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"daledyke/internal/protocol"
)

// Unserved is the name of the rule that sets a minimum share for an experiment. It is violated if the served
// share of a class, of a team or of a class's largest jobs is below the minimum, or the share of a class's
// largest jobs that begin within BeginWithin.
const Unserved = "unserved"

// BeginWithin is the time from submission within which one of a class's largest jobs has to begin.
const BeginWithin = 4 * time.Minute

// servedAfter is the time allowed for machines to boot and for images to be fetched. A service's replicas count
// as wanted only from that time after submission on; other jobs count only if they were submitted at least
// that long before the time of evaluation.
const servedAfter = time.Minute

// Served computes the share of each class's and each team's work that is served, from events that come in
// order. For services it is the share of replica time; for other jobs the smaller of two shares: of tasks
// that were started and of jobs that were done. Jobs that were cancelled or permanently refused do not
// count, except for the time that a service was wanted.
//
// A class's largest jobs are its top tenth, at least one job, by number of tasks times task size. A task's
// size is its largest share, over all resources, of the most that any task of the class requires. The zero
// value is ready for use.
type Served struct {
	// Limits are the most CPUs and GPUs that each team's tasks may use at once; 0 is unlimited.
	Limits map[string]protocol.Room
	jobs   map[string]*servedJob
}

type servedJob struct {
	spec         *protocol.JobSpec
	submittedAt  time.Duration
	wantedUntil  time.Duration // end of the time in which the job is wanted, -1 while it has not ended
	runningSince map[int]time.Duration
	begun        map[int]bool
	// began is when as many of the job's tasks had begun as may run at once, or when all tasks of a gang or
	// service ran at once; -1 before that.
	began       time.Duration
	needed      int // number of tasks that began requires
	done        map[int]bool
	replicaTime time.Duration // sum of the wanted times of replicas that have stopped
	refused     bool          // permanently refused
}

// Observe processes the next event.
func (s *Served) Observe(e Event) {
	switch e.Kind {
	case Submitted:
		if s.jobs == nil {
			s.jobs = map[string]*servedJob{}
		}
		if s.jobs[e.Job] == nil && e.Spec != nil {
			s.jobs[e.Job] = &servedJob{spec: e.Spec, submittedAt: e.At, wantedUntil: -1, began: -1, needed: s.tasksToBegin(e.Spec), runningSince: map[int]time.Duration{}, begun: map[int]bool{}, done: map[int]bool{}}
		}
	case Answered:
		if j := s.jobs[e.Job]; j != nil && (e.Code == 400 || e.Code == 422) {
			j.refused = true
		}
	case CancelAsked:
		if j := s.jobs[e.Job]; j != nil && j.wantedUntil < 0 {
			j.wantedUntil = e.At
		}
	case TaskStarted, TaskStopped:
		id, index, _ := protocol.SplitTask(e.Task)
		j := s.jobs[id]
		if j == nil {
			return
		}
		if since, was := j.runningSince[index]; was {
			j.replicaTime += j.wantedTime(since, e.At)
			delete(j.runningSince, index)
		}
		if e.Kind == TaskStarted {
			j.runningSince[index], j.begun[index] = e.At, true
			if n := len(j.runningSince); j.began < 0 && (n >= j.needed || j.spec.Shape == protocol.Array && len(j.begun) >= j.needed) {
				j.began = e.At
			}
		} else if e.Cause == protocol.CauseDone {
			j.done[index] = true
		}
	}
}

// tasksToBegin returns how many of a job's tasks have to begin for the job to have begun: all, or for an
// array as many as its team's limit allows at once.
func (s *Served) tasksToBegin(spec *protocol.JobSpec) int {
	if spec.Shape != protocol.Array {
		return spec.Tasks
	}
	n := float64(spec.Tasks)
	limit, need := s.Limits[spec.Team], spec.Need()
	if limit.Cores > 0 && need.Cores > 0 {
		n = min(n, math.Floor(limit.Cores/need.Cores+1e-9))
	}
	if limit.Accels > 0 && need.Accels > 0 {
		n = min(n, math.Floor(limit.Accels/need.Accels+1e-9))
	}
	return max(1, int(n))
}

// wantedTime returns the part of an interval in which a service's replicas are wanted.
func (j *servedJob) wantedTime(from, to time.Duration) time.Duration {
	if j.wantedUntil >= 0 {
		to = min(to, j.wantedUntil)
	}
	return max(0, to-max(from, j.submittedAt+servedAfter))
}

// tally sums up what a class or a team wanted and was served.
type tally struct {
	replicas, ran  time.Duration
	tasks, started int
	jobs, done     int
	// due counts the jobs that began within BeginWithin or had that much time to begin; began counts those
	// that began within BeginWithin.
	due, began int
}

func (t *tally) add(j *servedJob, at time.Duration) {
	if cancelledEarly := j.wantedUntil >= 0 && j.wantedUntil < j.submittedAt+BeginWithin; j.began >= 0 && j.began-j.submittedAt <= BeginWithin {
		t.due++
		t.began++
	} else if !cancelledEarly && at-j.submittedAt > BeginWithin {
		t.due++
	}
	if j.spec.Shape == protocol.Service {
		t.replicas += j.wantedTime(j.submittedAt, at) * time.Duration(j.spec.Tasks)
		t.ran += j.replicaTime
		for _, since := range j.runningSince {
			t.ran += j.wantedTime(since, at)
		}
		return
	}
	if j.wantedUntil >= 0 || at-j.submittedAt < servedAfter {
		return
	}
	t.tasks += j.spec.Tasks
	t.started += len(j.begun)
	t.jobs++
	if len(j.done) == j.spec.Tasks {
		t.done++
	}
}

func (t *tally) servedShare() float64 {
	smallest := 1.0
	if t.replicas > 0 {
		smallest = min(smallest, t.ran.Seconds()/t.replicas.Seconds())
	}
	if t.tasks > 0 {
		smallest = min(smallest, float64(t.started)/float64(t.tasks), float64(t.done)/float64(t.jobs))
	}
	return smallest
}

func (t *tally) begunShare() float64 {
	if t.due == 0 {
		return 1
	}
	return float64(t.began) / float64(t.due)
}

// Shares holds shares between 0 and 1, by name.
type Shares struct {
	// Classes and Teams are the served shares of their work, Largest the served share of each class's largest
	// jobs, and Begun the share of these jobs that began within BeginWithin.
	Classes, Teams, Largest, Begun map[string]float64
}

// Shares returns the shares that were served by the given time.
func (s *Served) Shares(at time.Duration) Shares {
	byClass, byTeam, largest := map[string]*tally{}, map[string]*tally{}, map[string]*tally{}
	large := s.largest()
	for id, j := range s.jobs {
		if j.refused {
			continue
		}
		add := func(to map[string]*tally, name string) {
			if to[name] == nil {
				to[name] = &tally{}
			}
			to[name].add(j, at)
		}
		add(byClass, j.spec.Class)
		add(byTeam, j.spec.Team)
		if large[id] {
			add(largest, j.spec.Class)
		}
	}
	shares := func(all map[string]*tally, share func(*tally) float64) map[string]float64 {
		out := map[string]float64{}
		for name, t := range all {
			out[name] = share(t)
		}
		return out
	}
	return Shares{Classes: shares(byClass, (*tally).servedShare), Teams: shares(byTeam, (*tally).servedShare),
		Largest: shares(largest, (*tally).servedShare), Begun: shares(largest, (*tally).begunShare)}
}

// largest returns the ids of the largest jobs of all classes.
func (s *Served) largest() map[string]bool {
	largestNeed := map[string]protocol.Room{}
	byClass := map[string][]string{}
	for id, j := range s.jobs {
		if j.refused {
			continue
		}
		class, need, m := j.spec.Class, j.spec.Need(), largestNeed[j.spec.Class]
		largestNeed[class] = protocol.Room{Cores: max(m.Cores, need.Cores), Accels: max(m.Accels, need.Accels), RAM: max(m.RAM, need.RAM)}
		byClass[class] = append(byClass[class], id)
	}
	out := map[string]bool{}
	for class, ids := range byClass {
		size := func(id string) float64 {
			return float64(s.jobs[id].spec.Tasks) * s.jobs[id].spec.Need().DominantShare(largestNeed[class])
		}
		slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(size(b), size(a)), strings.Compare(a, b)) })
		for _, id := range ids[:(len(ids)+9)/10] {
			out[id] = true
		}
	}
	return out
}

// Lowest returns the name with the smallest share, "" if there is none.
func Lowest(shares map[string]float64) (name string, share float64) {
	share = 1
	for n, s := range shares {
		if name == "" || s < share || s == share && n < name {
			name, share = n, s
		}
	}
	return name, share
}
