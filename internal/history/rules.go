package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"daledyke/internal/protocol"
)

// Deployment holds the settings of a deployment that the rules depend on.
type Deployment struct {
	// Limits are the most CPUs and GPUs that each team's tasks may use at once; 0 is unlimited.
	Limits map[string]protocol.Room
	// CancelWithin limits how long tasks of a cancelled job may remain after the answer.
	CancelWithin time.Duration
}

// Violation is one violation of a rule.
type Violation struct {
	At   time.Duration `json:"at"`
	Rule string        `json:"rule"`
	What string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: %s: %s", v.At.Round(time.Millisecond), v.Rule, v.What)
}

// The names of the rules, as the protocol has them ("Rules"), and what violates each. StartedTwice also covers
// attempts that do not have their images yet, RanTwice only attempts that do.
const (
	RanTwice     = "ran_twice"     // a task is on two machines
	Quota        = "quota"         // a team exceeds its limit
	NestedQuota  = "nested quota"  // an account exceeds its CPU limit
	WrongPlace   = "wrong_place"   // a machine type, zone or spread that the job does not allow
	RanCancelled = "ran_cancelled" // a task starts or remains too long after its job was reported as cancelled
	Forgotten    = "forgotten"     // an accepted job is refused, unknown or unanswered for too long
	Invented     = "invented"      // a task or a status of a job that nobody submitted
	NotDone      = "not_done"      // a job is reported as done before all its tasks are
	WentBack     = "went_back"     // a final status changes, or a job is reported as cancelled that no user cancelled
	NothingRan   = "nothing_ran"   // jobs were submitted and no task was started
	TooEarly     = "too_early"     // a task starts before a job that its job needs is done
	InUse        = "in_use"        // a task is started on a machine where another attempt of it has not ended
	StartedTwice = "started_twice" // a task is started while another attempt is on another machine in any state
	TooLarge     = "too_large"     // a message between controllers and workers exceeds the protocol's limits
)

// unanswered limits how long all polls for a job may fail while most others are answered;
// unansweredNoFaults limits this time once all faults have ended, whatever happens to other polls.
const (
	unanswered         = 90 * time.Second
	unansweredNoFaults = 75 * time.Second
)

// maxViolations limits the violations that are kept; the first ones show what went wrong.
const maxViolations = 1000

// job is what the checker knows about one job.
type job struct {
	spec            *protocol.JobSpec
	accepted        bool
	cancelAsked     bool          // cancellation was requested
	cancelled       time.Duration // time of the first final answer if it was cancelled, -1 otherwise
	finalStatus     string        // the last final status that was answered, "" if none
	done            map[int]bool
	placed          map[int]place
	attempts        map[int][]attempt // attempts that received a start command and have not ended, by task
	zones           map[string]int
	starts          int
	unansweredSince time.Duration // when polls began to fail, or the last violation since; -1 if they do not fail
	answeredBefore  int           // answered polls of all jobs when polls for this one began to fail
	failedBefore    int           // failed polls of all jobs at the same time
}

// attempt is an attempt to run a task on a machine.
type attempt struct {
	machine string
	number  uint64
}

type place struct {
	machine, zone string
}

// Checker finds violations of the rules in events that come in order. Create it with NewChecker. It is not
// safe for concurrent use.
type Checker struct {
	deployment    Deployment
	jobs          map[string]*job
	cpuLimits     map[string]float64 // by account
	usage         map[string]protocol.Room
	startCommands int
	answered      int // answered polls
	failed        int
	violations    []Violation
	now           time.Duration
	// activeFaults are counted by name; faultFreeSince is the time at which the last one ended. A stopped
	// controller counts as an active fault until it is up again.
	activeFaults      map[string]int
	faultFreeSince    time.Duration
	longestUnanswered time.Duration // longest time without an answer about one job, counted from faultFreeSince
}

// NewChecker returns a checker of the rules for a deployment.
func NewChecker(d Deployment) *Checker {
	return &Checker{deployment: d, jobs: map[string]*job{}, cpuLimits: map[string]float64{}, usage: map[string]protocol.Room{}, activeFaults: map[string]int{}}
}

// LimitAccount sets the CPU limit of an account, including the accounts below it, from now on; a negative
// number removes the limit.
func (c *Checker) LimitAccount(account string, cpus float64) {
	if cpus < 0 {
		delete(c.cpuLimits, account)
		return
	}
	c.cpuLimits[account] = cpus
}

// AccountLimit returns the CPU limit of an account, if there is one.
func (c *Checker) AccountLimit(account string) (cpus float64, ok bool) {
	cpus, ok = c.cpuLimits[account]
	return cpus, ok
}

// Usage returns what the tasks of an account use, including the accounts below it; a team is an account.
func (c *Checker) Usage(account string) protocol.Room { return c.usage[account] }

// Starts returns how many start commands the tasks of a job have received.
func (c *Checker) Starts(id string) int {
	if j := c.jobs[id]; j != nil {
		return j.starts
	}
	return 0
}

// Machines returns the machines that tasks of a job are on, by task.
func (c *Checker) Machines(id string) map[int]string {
	on := map[int]string{}
	if j := c.jobs[id]; j != nil {
		for index, at := range j.placed {
			on[index] = at.machine
		}
	}
	return on
}

// Running returns the sorted ids of accepted jobs that have tasks on machines and whose cancellation was
// not requested.
func (c *Checker) Running() []string {
	var ids []string
	for id, j := range c.jobs {
		if j.accepted && !j.cancelAsked && len(j.placed) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Waiting returns the number of accepted jobs that have not ended and have no task on a machine.
func (c *Checker) Waiting() (n int) {
	for _, j := range c.jobs {
		if j.accepted && !j.cancelAsked && len(j.placed) == 0 && len(j.done) < j.spec.Tasks {
			n++
		}
	}
	return n
}

// Violations returns the violations so far, at most the first maxViolations.
func (c *Checker) Violations() []Violation { return c.violations }

func (c *Checker) violate(rule, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{c.now, rule, fmt.Sprintf(format, args...)})
	}
}

// Observe processes the next event.
func (c *Checker) Observe(e Event) {
	c.now = e.At
	switch e.Kind {
	case Submitted:
		if c.jobs[e.Job] == nil && e.Spec != nil {
			c.jobs[e.Job] = &job{spec: e.Spec, done: map[int]bool{}, placed: map[int]place{}, attempts: map[int][]attempt{}, zones: map[string]int{}, unansweredSince: -1, cancelled: -1}
		}
	case FaultBegins:
		c.countFault(e.Cause, 1)
	case FaultEnds:
		c.countFault(e.Cause, -1)
	case NodeDown:
		c.countFault(e.Node, 1)
	case NodeUp:
		c.countFault(e.Node, -1)
	case Answered, Polled, CancelAnswered:
		c.answer(e)
	case CancelAsked:
		if j := c.jobs[e.Job]; j != nil {
			j.cancelAsked = true
		}
	case Oversized:
		c.violate(TooLarge, "%s of %s: %d bytes", e.Cause, e.Machine, e.Code)
	case StartReceived, TaskStarted, TaskStopped, AttemptEnded:
		id, index, ok := protocol.SplitTask(e.Task)
		j := c.jobs[id]
		if !ok || j == nil {
			c.violate(Invented, "%s on %s: nobody submitted such a job", e.Task, e.Machine)
			return
		}
		switch e.Kind {
		case StartReceived:
			c.startReceived(j, index, e)
		case TaskStarted:
			c.taskStarted(j, index, e)
		case AttemptEnded:
			j.attemptEnded(index, e.Machine)
		default:
			c.taskStopped(j, index, e)
		}
	}
}

// countFault records that a fault begins (1) or ends (-1).
func (c *Checker) countFault(fault string, change int) {
	if c.activeFaults[fault] += change; c.activeFaults[fault] <= 0 {
		delete(c.activeFaults, fault)
	}
	if len(c.activeFaults) == 0 {
		c.faultFreeSince, c.longestUnanswered = c.now, 0
	}
}

func (c *Checker) startReceived(j *job, index int, e Event) {
	j.starts++
	c.startCommands++
	if e.Cause == InUse {
		c.violate(InUse, "%s is told to start twice on %s", e.Task, e.Machine)
	} else {
		c.attemptBegins(j, index, e)
	}
	if c.pastCancelLimit(j) {
		c.violate(RanCancelled, "%s started %v after its user was told", e.Task, e.At-j.cancelled)
	}
	for _, id := range j.spec.Needs {
		if n := c.jobs[id]; n != nil && len(n.done) < n.spec.Tasks {
			c.violate(TooEarly, "%s started before %s was completed", e.Task, id)
		}
	}
}

// attemptBegins records that an attempt begins on a machine; no attempt may be active on another machine.
func (c *Checker) attemptBegins(j *job, index int, e Event) {
	for _, other := range j.attempts[index] {
		if other.machine != e.Machine {
			c.violate(StartedTwice, "%s is on %s as attempt %d and starts on %s as attempt %d", e.Task, other.machine, other.number, e.Machine, e.Attempt)
		}
	}
	j.attemptEnded(index, e.Machine)
	j.attempts[index] = append(j.attempts[index], attempt{e.Machine, e.Attempt})
}

// attemptEnded records that a task's attempt on a machine has ended.
func (j *job) attemptEnded(index int, machine string) {
	j.attempts[index] = slices.DeleteFunc(j.attempts[index], func(a attempt) bool { return a.machine == machine })
	if len(j.attempts[index]) == 0 {
		delete(j.attempts, index)
	}
}

func (c *Checker) pastCancelLimit(j *job) bool {
	return j.cancelled >= 0 && c.now-j.cancelled > c.deployment.CancelWithin
}

func (c *Checker) taskStarted(j *job, index int, e Event) {
	if other, ok := j.placed[index]; ok {
		if other.machine != e.Machine {
			c.violate(RanTwice, "%s is on %s and starts on %s", e.Task, other.machine, e.Machine)
		}
		c.removeTask(j, index)
	}
	if c.pastCancelLimit(j) {
		c.violate(RanCancelled, "%s starts %v after its user was told", e.Task, e.At-j.cancelled)
	}
	j.placed[index] = place{e.Machine, e.Zone}
	j.zones[e.Zone]++
	if !j.spec.Allows(e.Type, e.Zone, e.Spot) {
		c.violate(WrongPlace, "%s on a %s in %s, spot %v", e.Task, e.Type, e.Zone, e.Spot)
	}
	if j.spec.OneZone && len(j.zones) > 1 || j.zones[e.Zone] > j.spec.MaxPerZone() {
		c.violate(WrongPlace, "%s: tasks by zone are %v", e.Task, j.zones)
	}
	c.charge(j.spec, 1)
	const slack = 1e-6
	used := c.usage[j.spec.Team]
	if limit := c.deployment.Limits[j.spec.Team]; limit.Cores > 0 && used.Cores > limit.Cores+slack || limit.Accels > 0 && used.Accels > limit.Accels+slack {
		c.violate(Quota, "%s uses %v CPUs and %v GPUs with %s", j.spec.Team, used.Cores, used.Accels, e.Task)
	}
	for _, a := range accountsOf(j.spec) {
		if limit, ok := c.cpuLimits[a]; ok && c.usage[a].Cores > limit+slack {
			c.violate(NestedQuota, "%v CPUs of %v are in use in %s", c.usage[a].Cores, limit, a)
		}
	}
}

// accountsOf returns a job's account and the accounts above it, its team last.
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
		c.usage[a] = c.usage[a].Add(n)
	}
}

func (c *Checker) removeTask(j *job, index int) {
	at := j.placed[index]
	delete(j.placed, index)
	if j.zones[at.zone]--; j.zones[at.zone] == 0 {
		delete(j.zones, at.zone)
	}
	c.charge(j.spec, -1)
}

func (c *Checker) taskStopped(j *job, index int, e Event) {
	j.attemptEnded(index, e.Machine)
	if at, ok := j.placed[index]; ok && at.machine == e.Machine {
		c.removeTask(j, index)
		if c.pastCancelLimit(j) {
			c.violate(RanCancelled, "%s was still on %s %v after its user was told", e.Task, e.Machine, e.At-j.cancelled)
		}
	}
	if e.Cause == protocol.CauseDone {
		j.done[index] = true
	}
}

// End applies the rules that can be checked only at the end of a history, at the given time.
func (c *Checker) End(at time.Duration) {
	c.now = at
	if c.startCommands == 0 && len(c.jobs) > 0 {
		c.violate(NothingRan, "no task was started for %d jobs", len(c.jobs))
	}
	for id, j := range c.jobs {
		if len(j.placed) > 0 && c.pastCancelLimit(j) {
			c.violate(RanCancelled, "%s was cancelled %v ago and has %d tasks on machines", id, at-j.cancelled, len(j.placed))
		}
	}
}
