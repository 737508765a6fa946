package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Summary is what a run came to.
type Summary struct {
	Experiment string             `json:"experiment"`
	Run        string             `json:"run"`
	Version    string             `json:"version"`
	Seed       uint64             `json:"seed"`
	Settings   map[string]float64 `json:"settings"` // what varies
	// Broken are the rules that were broken.
	Broken  []history.Violation      `json:"broken"`
	Jobs    int                      `json:"jobs"`
	Classes map[string]*ClassSummary `json:"classes"`
	// ServedClasses and ServedTeams are the shares of each class's and team's work that were
	// served (history.Served).
	ServedClasses map[string]float64 `json:"servedClasses"`
	ServedTeams   map[string]float64 `json:"servedTeams"`
	// ServedLargest is the share of each class's largest jobs' work that was served, and
	// BegunLargest how many of them began within history.BeginWithin.
	ServedLargest map[string]float64 `json:"servedLargest"`
	BegunLargest  map[string]float64 `json:"begunLargest"`
	// Unanswered is the longest time for which questions about one accepted job went
	// unanswered after the last trouble's end.
	Unanswered time.Duration `json:"unanswered"`
	// Cancelled is how fast the tasks of cancelled jobs were gone.
	Cancelled CancelSummary `json:"cancelled"`
	// Used is the mean share of the machines' CPUs that tasks had.
	Used float64 `json:"used"`
	// Money was spent; Useful is the run time of tasks that completed and of services, in
	// CPU hours.
	Money  float64 `json:"money"`
	Useful float64 `json:"useful"`
	// Machines is how many were charged on average, and Rented how many ever were.
	Machines float64 `json:"machines"`
	Rented   int     `json:"rented"`
	// StateRequests and StateChanges are a second.
	StateRequests float64 `json:"stateRequests"`
	StateChanges  float64 `json:"stateChanges"`
	Starts        int     `json:"starts"`
	// Uneven is how many times the mean the controller that started most tasks did, by the
	// numbers of their attempts. A controller counts anew after each session.
	Uneven float64 `json:"uneven"`
	Events int     `json:"events"`
	// Took is how long the run took in real time, and MemMB the most memory of its process.
	Took  time.Duration `json:"took"`
	MemMB float64       `json:"memMB"`
	// Length is that of the run in its own time.
	Length time.Duration `json:"length"`
}

// ClassSummary is what became of the jobs of a class.
type ClassSummary struct {
	Jobs     int `json:"jobs"`
	Accepted int `json:"accepted"`
	Begun    int `json:"begun"`
	Done     int `json:"done"`
	Refused  int `json:"refused"` // for good
	// Wait, Finish and Answer are histograms of milliseconds, as HdrHistogram encodes them:
	// from the first attempt to submit until all tasks run that are to run at once (of an
	// array: until the first does), until the last is completed, and until it was accepted.
	Wait   []byte `json:"wait"`
	Finish []byte `json:"finish"`
	Answer []byte `json:"answer"`
}

// times are the histograms of a class while they are filled.
type times struct{ wait, finish, answer *hdrhistogram.Histogram }

// mostMs bounds what histograms tell apart: a day.
const mostMs = int64(24 * time.Hour / time.Millisecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostMs, 3) }

// Meter sums up events that come in their order.
type Meter struct {
	jobs      map[string]*metered
	classes   map[string]*ClassSummary
	times     map[string]*times
	s         Summary
	samples   int
	newest    history.Sample
	used      float64
	busy      int // samples with machines
	last      time.Duration
	served    history.Served
	within    time.Duration // for the tasks of cancelled jobs to be gone
	cancelled history.Cancellations
	starts    map[uint64]int // by the term in the attempt's number, which is its owner's
}

// metered is a job as the meter knows it.
type metered struct {
	spec     *protocol.JobSpec
	since    time.Duration
	on       map[int]time.Duration
	done     map[int]bool
	begun    bool
	accepted bool
	refused  bool
}

// NewMeter makes a meter of a deployment whose teams have these limits and whose cancelled jobs
// must be gone within a time.
func NewMeter(limits map[string]protocol.Room, cancelWithin time.Duration) *Meter {
	return &Meter{served: history.Served{Limits: limits}, within: cancelWithin, jobs: map[string]*metered{}, classes: map[string]*ClassSummary{}, times: map[string]*times{}, starts: map[uint64]int{}}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(mostMs, max(1, d.Milliseconds()))) // it is in range
}

// Note takes the next event.
func (m *Meter) Note(e history.Event) {
	m.s.Events++
	m.last = e.At
	m.served.Observe(e)
	m.cancelled.Observe(e)
	switch e.Kind {
	case history.Submitted:
		if m.jobs[e.Job] != nil {
			return
		}
		m.s.Jobs++
		m.jobs[e.Job] = &metered{spec: e.Spec, since: e.At, on: map[int]time.Duration{}, done: map[int]bool{}}
		c := m.classes[e.Spec.Class]
		if c == nil {
			c = &ClassSummary{}
			m.classes[e.Spec.Class] = c
			m.times[e.Spec.Class] = &times{newHistogram(), newHistogram(), newHistogram()}
		}
		c.Jobs++
	case history.Answered:
		m.answered(m.jobs[e.Job], e)
	case history.StartReceived:
		m.s.Starts++
		m.starts[protocol.Token(e.Attempt).Term()]++
	case history.TaskStarted, history.TaskStopped:
		id, index, _ := protocol.SplitTask(e.Task)
		if j := m.jobs[id]; j != nil {
			m.task(j, index, e)
		}
	case history.MachineRented:
		m.s.Rented++
	case history.Sampled:
		m.sample(*e.Sample)
	}
}

func (m *Meter) answered(j *metered, e history.Event) {
	if j == nil {
		return
	}
	c, t := m.classes[j.spec.Class], m.times[j.spec.Class]
	switch {
	case (e.Code == 200 || e.Code == 201) && !j.accepted:
		j.accepted = true
		c.Accepted++
		record(t.answer, e.At-j.since)
	case (e.Code == 400 || e.Code == 422) && !j.refused:
		j.refused = true
		c.Refused++
	}
}

func (m *Meter) task(j *metered, index int, e history.Event) {
	c, t := m.classes[j.spec.Class], m.times[j.spec.Class]
	if e.Kind == history.TaskStarted {
		j.on[index] = e.At
		if !j.begun && (j.spec.Shape == protocol.Array || len(j.on) == j.spec.Tasks) {
			j.begun = true
			c.Begun++
			record(t.wait, e.At-j.since)
		}
		return
	}
	since, was := j.on[index]
	delete(j.on, index)
	if !was {
		return
	}
	if e.Cause == protocol.CauseDone && !j.done[index] {
		j.done[index] = true
		m.s.Useful += (e.At - since).Hours() * j.spec.Cores
		if len(j.done) == j.spec.Tasks {
			c.Done++
			record(t.finish, e.At-j.since)
		}
	} else if j.spec.Shape == protocol.Service {
		m.s.Useful += (e.At - since).Hours() * j.spec.Cores
	}
}

func (m *Meter) sample(s history.Sample) {
	if m.samples > 0 && s.Cores > 0 {
		m.used += s.CoresUsed / s.Cores
		m.busy++
	}
	m.samples++
	m.newest = s
	m.s.Machines += float64(s.Machines)
}

// Summary is what the events came to.
func (m *Meter) Summary() (Summary, error) {
	s := m.s
	s.Length = m.last
	cancelled, err := summarizeCancelled(m.cancelled.Snapshot(m.last), m.within)
	if err != nil {
		return s, err
	}
	s.Cancelled = cancelled
	for _, n := range m.starts {
		s.Uneven = max(s.Uneven, float64(n)*float64(len(m.starts))/float64(s.Starts))
	}
	shares := m.served.Shares(m.last)
	s.ServedClasses, s.ServedTeams, s.ServedLargest, s.BegunLargest = shares.Classes, shares.Teams, shares.Largest, shares.Begun
	for _, j := range m.jobs {
		if j.spec.Shape == protocol.Service {
			for _, since := range j.on {
				s.Useful += (m.last - since).Hours() * j.spec.Cores
			}
		}
	}
	if m.busy > 0 {
		s.Used = m.used / float64(m.busy)
	}
	if m.samples > 0 {
		s.Machines /= float64(m.samples)
		s.Money = m.newest.Money
		s.StateRequests = float64(m.newest.StateRequests) / max(1, m.last.Seconds())
		s.StateChanges = float64(m.newest.StateChanges) / max(1, m.last.Seconds())
	}
	s.Classes = m.classes
	for name, c := range m.classes {
		for into, h := range map[*[]byte]*hdrhistogram.Histogram{&c.Wait: m.times[name].wait, &c.Finish: m.times[name].finish, &c.Answer: m.times[name].answer} {
			raw, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			if err != nil {
				return s, err
			}
			*into = raw
		}
	}
	return s, nil
}
