package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"daledyke/internal/protocol"
)

// Deployment is what the rules need to know of a world.
type Deployment struct {
	// Limits are the most that a team's tasks may use at once, CPUs and GPUs; 0 is no
	// limit.
	Limits map[string]protocol.Room
	// CancelWithin is how long after the answer tasks of a cancelled job may remain.
	CancelWithin time.Duration
}

// Violation is a rule that was broken.
type Violation struct {
	At   time.Duration `json:"at"`
	Rule string        `json:"rule"`
	What string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: %s", v.At.Round(time.Millisecond), v.Rule, v.What)
}

// The names of the rules, as the protocol has them ("Rules"); TooEarly is that of
// chains, NestedQuota that of accounts within teams. InUse is a start of a task on a
// machine where another attempt of it has not ended, StartedTwice one while another attempt
// is on another machine in whatever state, also without its image: RanTwice sees only those
// of which both attempts get as far as having it.
const (
	RanTwice     = "ran_twice"
	Quota        = "quota"
	NestedQuota  = "nested quota"
	WrongPlace   = "wrong_place"
	RanCancelled = "ran_cancelled"
	Forgotten    = "forgotten"
	Invented     = "invented"
	NotDone      = "not_done"
	WentBack     = "went_back"
	NothingRan   = "nothing_ran"
	TooEarly     = "too_early"
	InUse        = "in_use"
	StartedTwice = "started_twice"
)

// unanswered is for how long all polls for a job may fail while most others are
// answered, and unansweredCalm for how long once all troubles are over, however others
// fare.
const (
	unanswered     = 90 * time.Second
	unansweredCalm = 75 * time.Second
)

// maxViolations bounds what is kept: the first ones tell what went wrong.
const maxViolations = 1000

// job is what is known of one job.
type job struct {
	spec      *protocol.JobSpec
	accepted  bool
	asked     bool // to be cancelled
	cancelled time.Duration
	told      string // the last state told that is final, or "" ("accepted" is a flag)
	done      map[int]bool
	on        map[int]place
	attempts  map[int][]attempt // that were told to start and have not ended, by task
	zones     map[string]int
	starts    int
	silent    time.Duration // since when no poll was answered, -1 if the last one was
	polls     int           // answered to others when that began
	failed    int           // failed for others when that began
}

// attempt is an attempt to run a task on a machine.
type attempt struct {
	machine string
	number  uint64
}

type place struct {
	machine, zone string
}

// Checker finds broken rules in events that come in their order. The zero value is not
// ready: use NewChecker. It is not safe for concurrent use.
type Checker struct {
	d        Deployment
	jobs     map[string]*job
	accounts map[string]float64 // limits of CPUs
	use      map[string]protocol.Room
	started  int
	answered int // polls
	failed   int
	broken   []Violation
	now      time.Duration
	// troubles are the faults under way, calm is since when there are none: a fault lasts
	// until it is over, a controller that went down until it is up again.
	troubles map[string]int
	calm     time.Duration
	longest  time.Duration // without an answer about one job since then
}

// NewChecker makes a checker of the rules of a deployment.
func NewChecker(d Deployment) *Checker {
	return &Checker{d: d, jobs: map[string]*job{}, accounts: map[string]float64{}, use: map[string]protocol.Room{}, troubles: map[string]int{}}
}

// LimitAccount sets the most CPUs that an account may use from now on, with what is
// below it; a negative number is no limit.
func (c *Checker) LimitAccount(account string, cpus float64) {
	if cpus < 0 {
		delete(c.accounts, account)
		return
	}
	c.accounts[account] = cpus
}

// Limit is the limit of an account, if there is one.
func (c *Checker) Limit(account string) (cpus float64, ok bool) {
	cpus, ok = c.accounts[account]
	return cpus, ok
}

// Uses is what an account's tasks use, with what is below it; a team is an account.
func (c *Checker) Uses(account string) protocol.Room { return c.use[account] }

// Starts is how often tasks of a job were told to start.
func (c *Checker) Starts(id string) int {
	if j := c.jobs[id]; j != nil {
		return j.starts
	}
	return 0
}

// Machines are the machines that tasks of a job are on, by task.
func (c *Checker) Machines(id string) map[int]string {
	on := map[int]string{}
	if j := c.jobs[id]; j != nil {
		for index, at := range j.on {
			on[index] = at.machine
		}
	}
	return on
}

// Running are the accepted jobs with tasks on machines that no user asked to cancel, by their ids
// in order.
func (c *Checker) Running() []string {
	var ids []string
	for id, j := range c.jobs {
		if j.accepted && !j.asked && len(j.on) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Waiting is how many jobs were accepted, have not ended and have no task on a machine.
func (c *Checker) Waiting() (n int) {
	for _, j := range c.jobs {
		if j.accepted && !j.asked && len(j.on) == 0 && len(j.done) < j.spec.Tasks {
			n++
		}
	}
	return n
}

// Violations are the rules broken so far, the first ones if there are very many.
func (c *Checker) Violations() []Violation { return c.broken }

func (c *Checker) breaks(rule, format string, args ...any) {
	if len(c.broken) < maxViolations {
		c.broken = append(c.broken, Violation{c.now, rule, fmt.Sprintf(format, args...)})
	}
}

// Note takes the next event.
func (c *Checker) Note(e Event) {
	c.now = e.At
	switch e.Kind {
	case Submitted:
		if c.jobs[e.Job] == nil && e.Spec != nil {
			c.jobs[e.Job] = &job{spec: e.Spec, done: map[int]bool{}, on: map[int]place{}, attempts: map[int][]attempt{}, zones: map[string]int{}, silent: -1, cancelled: -1}
		}
	case FaultBegins:
		c.trouble(e.Cause, 1)
	case FaultEnds:
		c.trouble(e.Cause, -1)
	case NodeDown:
		c.trouble(e.Node, 1)
	case NodeUp:
		c.trouble(e.Node, -1)
	case Answered, Polled, CancelTold:
		c.answer(e)
	case CancelAsked:
		if j := c.jobs[e.Job]; j != nil {
			j.asked = true
		}
	case Told, On, Off, Left:
		id, index, ok := protocol.SplitTask(e.Task)
		j := c.jobs[id]
		if !ok || j == nil {
			c.breaks(Invented, "%s on %s: nobody submitted such a job", e.Task, e.Machine)
			return
		}
		switch e.Kind {
		case Told:
			c.toldToStart(j, index, e)
		case On:
			c.on(j, index, e)
		case Left:
			j.ended(index, e.Machine)
		default:
			c.off(j, index, e)
		}
	}
}

// trouble follows what is amiss.
func (c *Checker) trouble(what string, by int) {
	if c.troubles[what] += by; c.troubles[what] <= 0 {
		delete(c.troubles, what)
	}
	if len(c.troubles) == 0 {
		c.calm, c.longest = c.now, 0
	}
}

func (c *Checker) toldToStart(j *job, index int, e Event) {
	j.starts++
	c.started++
	if e.Cause == InUse {
		c.breaks(InUse, "%s is told to start twice on %s", e.Task, e.Machine)
	} else {
		c.begins(j, index, e)
	}
	if c.late(j) {
		c.breaks(RanCancelled, "%s started %v after its user was told", e.Task, e.At-j.cancelled)
	}
	for _, id := range j.spec.Needs {
		if n := c.jobs[id]; n != nil && len(n.done) < n.spec.Tasks {
			c.breaks(TooEarly, "%s started before %s was completed", e.Task, id)
		}
	}
}

// begins takes in that an attempt begins on a machine: no other may be on another one.
func (c *Checker) begins(j *job, index int, e Event) {
	for _, other := range j.attempts[index] {
		if other.machine != e.Machine {
			c.breaks(StartedTwice, "%s is on %s as attempt %d and starts on %s as attempt %d", e.Task, other.machine, other.number, e.Machine, e.Attempt)
		}
	}
	j.ended(index, e.Machine)
	j.attempts[index] = append(j.attempts[index], attempt{e.Machine, e.Attempt})
}

// ended takes in that a task's attempt on a machine has ended.
func (j *job) ended(index int, machine string) {
	j.attempts[index] = slices.DeleteFunc(j.attempts[index], func(a attempt) bool { return a.machine == machine })
	if len(j.attempts[index]) == 0 {
		delete(j.attempts, index)
	}
}

func (c *Checker) late(j *job) bool { return j.cancelled >= 0 && c.now-j.cancelled > c.d.CancelWithin }

func (c *Checker) on(j *job, index int, e Event) {
	if other, ok := j.on[index]; ok {
		if other.machine != e.Machine {
			c.breaks(RanTwice, "%s is on %s and starts on %s", e.Task, other.machine, e.Machine)
		}
		c.leave(j, index)
	}
	if c.late(j) {
		c.breaks(RanCancelled, "%s starts %v after its user was told", e.Task, e.At-j.cancelled)
	}
	j.on[index] = place{e.Machine, e.Zone}
	j.zones[e.Zone]++
	if !j.spec.Allows(e.Type, e.Zone, e.Spot) {
		c.breaks(WrongPlace, "%s on a %s in %s, spot %v", e.Task, e.Type, e.Zone, e.Spot)
	}
	if j.spec.OneZone && len(j.zones) > 1 || j.zones[e.Zone] > j.spec.MaxPerZone() {
		c.breaks(WrongPlace, "%s: tasks by zone are %v", e.Task, j.zones)
	}
	c.charge(j.spec, 1)
	const slack = 1e-6
	use := c.use[j.spec.Team]
	if most := c.d.Limits[j.spec.Team]; most.Cores > 0 && use.Cores > most.Cores+slack || most.Accels > 0 && use.Accels > most.Accels+slack {
		c.breaks(Quota, "%s uses %v CPUs and %v GPUs with %s", j.spec.Team, use.Cores, use.Accels, e.Task)
	}
	for _, a := range accountsOf(j.spec) {
		if most, ok := c.accounts[a]; ok && c.use[a].Cores > most+slack {
			c.breaks(NestedQuota, "%v CPUs of %v are in use in %s", c.use[a].Cores, most, a)
		}
	}
}

// accountsOf are a job's account and those above it, its team the last.
func accountsOf(s *protocol.JobSpec) []string {
	all := []string{}
	for a := cmp.Or(s.Account, s.Team); ; {
		all = append(all, a)
		cut := strings.LastIndexByte(a, '/')
		if cut < 0 {
			return all
		}
		a = a[:cut]
	}
}

func (c *Checker) charge(s *protocol.JobSpec, sign float64) {
	n := s.Need().Scale(sign)
	for _, a := range accountsOf(s) {
		c.use[a] = c.use[a].Add(n)
	}
}

func (c *Checker) leave(j *job, index int) {
	at := j.on[index]
	delete(j.on, index)
	if j.zones[at.zone]--; j.zones[at.zone] == 0 {
		delete(j.zones, at.zone)
	}
	c.charge(j.spec, -1)
}

func (c *Checker) off(j *job, index int, e Event) {
	j.ended(index, e.Machine)
	if at, ok := j.on[index]; ok && at.machine == e.Machine {
		c.leave(j, index)
		if c.late(j) {
			c.breaks(RanCancelled, "%s was still on %s %v after its user was told", e.Task, e.Machine, e.At-j.cancelled)
		}
	}
	if e.Cause == protocol.CauseDone {
		j.done[index] = true
	}
}

// End judges what only the end tells, at the time given.
func (c *Checker) End(at time.Duration) {
	c.now = at
	if c.started == 0 && len(c.jobs) > 0 {
		c.breaks(NothingRan, "no task was started for %d jobs", len(c.jobs))
	}
	for id, j := range c.jobs {
		if len(j.on) > 0 && c.late(j) {
			c.breaks(RanCancelled, "%s was cancelled %v ago and has %d tasks on machines", id, at-j.cancelled, len(j.on))
		}
	}
}
