package history

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"daledyke/internal/protocol"
)

// Unserved is the name of the rule that a day fails on which less than a stated share of any
// one class of jobs, of any one team's work or of a class's largest jobs is served, or on
// which less than that of a class's largest jobs begin within BeginWithin.
const Unserved = "unserved"

// BeginWithin is within what time of its submission one of a class's largest jobs has to
// begin.
const BeginWithin = 4 * time.Minute

// servedAfter is from how long after its submission on a service's replica counts as
// wanted, and how old any other job must be at the end to count: machines have to boot and
// images to be fetched before anybody can be served.
const servedAfter = time.Minute

// Served sums up how much of each class's and each team's work is served, from events that
// come in their order. Of services the share of replica time counts, of other jobs the
// smaller of two shares: of the tasks that were started and of the jobs that were done. Jobs
// that were cancelled or refused for good do not count, but for the time that a service was
// wanted.
//
// A class's largest jobs are a tenth of it, at least one: those with the most tasks times
// what each takes. Of the resources that a task takes the one counts that is most, as a part
// of what any task of the class takes of it. The zero value is ready.
type Served struct {
	// Limits are the most that a team's tasks may use at once, CPUs and GPUs; 0 is no
	// limit.
	Limits map[string]protocol.Room
	jobs   map[string]*servedJob
}

type servedJob struct {
	spec  *protocol.JobSpec
	since time.Duration
	until time.Duration // when nobody wants it any more, -1 while somebody does
	on    map[int]time.Duration
	begun map[int]bool
	// began is when as many of its tasks had begun as may run at once, of a gang or service
	// when all ran at once; -1 if that has not happened.
	began time.Duration
	need  int // how many these are
	done  map[int]bool
	ran   time.Duration // replica time from when it counts on
	void  bool          // refused for good
}

// Note takes the next event.
func (s *Served) Note(e Event) {
	switch e.Kind {
	case Submitted:
		if s.jobs == nil {
			s.jobs = map[string]*servedJob{}
		}
		if s.jobs[e.Job] == nil && e.Spec != nil {
			s.jobs[e.Job] = &servedJob{spec: e.Spec, since: e.At, until: -1, began: -1, need: s.atOnce(e.Spec), on: map[int]time.Duration{}, begun: map[int]bool{}, done: map[int]bool{}}
		}
	case Answered:
		if j := s.jobs[e.Job]; j != nil && (e.Code == 400 || e.Code == 422) {
			j.void = true
		}
	case CancelAsked:
		if j := s.jobs[e.Job]; j != nil && j.until < 0 {
			j.until = e.At
		}
	case On, Off:
		id, index, _ := protocol.SplitTask(e.Task)
		j := s.jobs[id]
		if j == nil {
			return
		}
		if since, was := j.on[index]; was {
			j.ran += j.counts(since, e.At)
			delete(j.on, index)
		}
		if e.Kind == On {
			j.on[index], j.begun[index] = e.At, true
			if n := len(j.on); j.began < 0 && (n >= j.need || j.spec.Shape == protocol.Array && len(j.begun) >= j.need) {
				j.began = e.At
			}
		} else if e.Cause == protocol.CauseDone {
			j.done[index] = true
		}
	}
}

// atOnce is how many of a job's tasks have to begin for it to have begun: of an array as many
// as its team's limit allows at once, of others all.
func (s *Served) atOnce(spec *protocol.JobSpec) int {
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

// counts is how much of a span lies within the time that a service's replicas are wanted.
func (j *servedJob) counts(from, to time.Duration) time.Duration {
	if j.until >= 0 {
		to = min(to, j.until)
	}
	return max(0, to-max(from, j.since+servedAfter))
}

// tally is what a class or a team wanted and got.
type tally struct {
	replicas, ran  time.Duration
	tasks, started int
	jobs, done     int
	// of those that had the time for it, how many began in time
	due, began int
}

func (t *tally) add(j *servedJob, at time.Duration) {
	if gone := j.until >= 0 && j.until < j.since+BeginWithin; j.began >= 0 && j.began-j.since <= BeginWithin {
		t.due++
		t.began++
	} else if !gone && at-j.since > BeginWithin {
		t.due++
	}
	if j.spec.Shape == protocol.Service {
		t.replicas += j.counts(j.since, at) * time.Duration(j.spec.Tasks)
		t.ran += j.ran
		for _, since := range j.on {
			t.ran += j.counts(since, at)
		}
		return
	}
	if j.until >= 0 || at-j.since < servedAfter {
		return
	}
	t.tasks += j.spec.Tasks
	t.started += len(j.begun)
	t.jobs++
	if len(j.done) == j.spec.Tasks {
		t.done++
	}
}

func (t *tally) share() float64 {
	least := 1.0
	if t.replicas > 0 {
		least = min(least, t.ran.Seconds()/t.replicas.Seconds())
	}
	if t.tasks > 0 {
		least = min(least, float64(t.started)/float64(t.tasks), float64(t.done)/float64(t.jobs))
	}
	return least
}

func (t *tally) inTime() float64 {
	if t.due == 0 {
		return 1
	}
	return float64(t.began) / float64(t.due)
}

// Shares are parts of one, by name.
type Shares struct {
	// Classes and Teams are the shares of their work that were served, Largest that of each
	// class's largest jobs, and Begun how many of these began in time.
	Classes, Teams, Largest, Begun map[string]float64
}

// Shares are what was served by the time given.
func (s *Served) Shares(at time.Duration) Shares {
	byClass, byTeam, largest := map[string]*tally{}, map[string]*tally{}, map[string]*tally{}
	large := s.largest()
	for id, j := range s.jobs {
		if j.void {
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
	shares := func(all map[string]*tally, of func(*tally) float64) map[string]float64 {
		out := map[string]float64{}
		for name, t := range all {
			out[name] = of(t)
		}
		return out
	}
	return Shares{Classes: shares(byClass, (*tally).share), Teams: shares(byTeam, (*tally).share),
		Largest: shares(largest, (*tally).share), Begun: shares(largest, (*tally).inTime)}
}

// largest are the largest jobs of all classes.
func (s *Served) largest() map[string]bool {
	most := map[string]protocol.Room{}
	byClass := map[string][]string{}
	for id, j := range s.jobs {
		if j.void {
			continue
		}
		class, need, m := j.spec.Class, j.spec.Need(), most[j.spec.Class]
		most[class] = protocol.Room{Cores: max(m.Cores, need.Cores), Accels: max(m.Accels, need.Accels), RAM: max(m.RAM, need.RAM)}
		byClass[class] = append(byClass[class], id)
	}
	out := map[string]bool{}
	for class, ids := range byClass {
		size := func(id string) float64 {
			return float64(s.jobs[id].spec.Tasks) * s.jobs[id].spec.Need().DominantShare(most[class])
		}
		slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(size(b), size(a)), strings.Compare(a, b)) })
		for _, id := range ids[:(len(ids)+9)/10] {
			out[id] = true
		}
	}
	return out
}

// Lowest is the name with the smallest share, "" if there is none.
func Lowest(shares map[string]float64) (name string, share float64) {
	share = 1
	for n, s := range shares {
		if name == "" || s < share || s == share && n < name {
			name, share = n, s
		}
	}
	return name, share
}
