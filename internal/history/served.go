package history

import (
	"time"

	"daledyke/internal/protocol"
)

// Unserved is the name of the rule that a deployment of large size adds: a day fails on
// which less than a stated share of any one class of jobs, or of any one team's work, is
// served.
const Unserved = "unserved"

// servedAfter is from how long after its submission on a service's replica counts as
// wanted, and how old any other job must be at the end to count: machines have to boot and
// images to be fetched before anybody can be served.
const servedAfter = time.Minute

// Served sums up how much of each class's and each team's work is served, from events that
// come in their order. Of services the share of replica time counts, of other jobs the
// smaller of two shares: of the tasks that were started and of the jobs that were done. Jobs
// that were cancelled or refused for good do not count, but for the time that a service was
// wanted. The zero value is ready.
type Served struct {
	jobs map[string]*servedJob
}

type servedJob struct {
	spec  *protocol.JobSpec
	since time.Duration
	until time.Duration // when nobody wants it any more, -1 while somebody does
	on    map[int]time.Duration
	begun map[int]bool
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
			s.jobs[e.Job] = &servedJob{spec: e.Spec, since: e.At, until: -1, on: map[int]time.Duration{}, begun: map[int]bool{}, done: map[int]bool{}}
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
		} else if e.Cause == protocol.CauseDone {
			j.done[index] = true
		}
	}
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
}

func (t *tally) add(j *servedJob, at time.Duration) {
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

// Shares are the shares, of one, that were served by the time given, by class and by team.
func (s *Served) Shares(at time.Duration) (classes, teams map[string]float64) {
	byClass, byTeam := map[string]*tally{}, map[string]*tally{}
	for _, j := range s.jobs {
		if j.void {
			continue
		}
		for into, name := range map[*map[string]*tally]string{&byClass: j.spec.Class, &byTeam: j.spec.Team} {
			if (*into)[name] == nil {
				(*into)[name] = &tally{}
			}
			(*into)[name].add(j, at)
		}
	}
	shares := func(all map[string]*tally) map[string]float64 {
		out := map[string]float64{}
		for name, t := range all {
			out[name] = t.share()
		}
		return out
	}
	return shares(byClass), shares(byTeam)
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
