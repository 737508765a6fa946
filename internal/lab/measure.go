package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Summary holds the results of one run.
type Summary struct {
	Experiment string             `json:"experiment"`
	Run        string             `json:"run"`
	Version    string             `json:"version"`
	Seed       uint64             `json:"seed"`
	Settings   map[string]float64 `json:"settings"` // values of the settings that vary
	// Broken are the violations of rules.
	Broken  []history.Violation      `json:"broken"`
	Jobs    int                      `json:"jobs"`
	Classes map[string]*ClassSummary `json:"classes"`
	// ServedClasses and ServedTeams are the served shares of each class's and team's work (history.Served).
	ServedClasses map[string]float64 `json:"servedClasses"`
	ServedTeams   map[string]float64 `json:"servedTeams"`
	// ServedLargest is the served share of the work of each class's largest jobs, and BegunLargest the share of
	// these jobs that began within history.BeginWithin.
	ServedLargest map[string]float64 `json:"servedLargest"`
	BegunLargest  map[string]float64 `json:"begunLargest"`
	// Unanswered is the longest period without a response to the polls for one accepted job, after the end of
	// the last trouble.
	Unanswered time.Duration `json:"unanswered"`
	// Cancelled summarizes how fast the tasks of cancelled jobs ended.
	Cancelled CancelSummary `json:"cancelled"`
	// Used is the mean CPU utilisation of the machines.
	Used float64 `json:"used"`
	// Money is the amount spent; Useful is the run time of completed tasks and of services, in CPU hours.
	Money  float64 `json:"money"`
	Useful float64 `json:"useful"`
	// Machines is the mean number of charged machines, and Rented the number of rentals.
	Machines float64 `json:"machines"`
	Rented   int     `json:"rented"`
	// StateRequests and StateChanges are rates per second at the state service.
	StateRequests float64 `json:"stateRequests"`
	StateChanges  float64 `json:"stateChanges"`
	Starts        int     `json:"starts"`
	// Uneven is the ratio of the most starts by one owner to the mean over all owners. Owners are told apart
	// by the term in the attempt's number, so that a controller counts separately in each of its sessions.
	Uneven float64 `json:"uneven"`
	Events int     `json:"events"`
	// Took is the run's duration in real time, and MemMB the peak memory of its process.
	Took  time.Duration `json:"took"`
	MemMB float64       `json:"memMB"`
	// Length is the duration of the run in its own, real or virtual, time.
	Length time.Duration `json:"length"`
}

// ClassSummary summarizes the jobs of a class.
type ClassSummary struct {
	Jobs     int `json:"jobs"`
	Accepted int `json:"accepted"`
	Begun    int `json:"begun"`
	Done     int `json:"done"`
	Refused  int `json:"refused"` // permanently
	// Wait, Finish and Answer are histograms of milliseconds in HdrHistogram's encoding, all counted from the
	// first attempt to submit: until all tasks run (for an array: until the first task runs), until the last
	// task is completed, and until the job is accepted.
	Wait   []byte `json:"wait"`
	Finish []byte `json:"finish"`
	Answer []byte `json:"answer"`
}

// classHistograms are the histograms of a class before they are encoded.
type classHistograms struct{ wait, finish, answer *hdrhistogram.Histogram }

// maxHistogramMs is the largest value that histograms distinguish: one day.
const maxHistogramMs = int64(24 * time.Hour / time.Millisecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMs, 3) }

// Meter computes a Summary from events, which it takes in order.
type Meter struct {
	jobs         map[string]*meteredJob
	classes      map[string]*ClassSummary
	histograms   map[string]*classHistograms
	summary      Summary
	samples      int
	newest       history.Sample
	usedSum      float64
	usedSamples  int // samples with at least one CPU
	lastEvent    time.Duration
	served       history.Served
	cancelWithin time.Duration // allowed time until the tasks of cancelled jobs have ended
	cancelled    history.Cancellations
	startsByTerm map[uint64]int // by the owner's term, which is part of the attempt's number
}

// meteredJob is the meter's state of a job.
type meteredJob struct {
	spec        *protocol.JobSpec
	submittedAt time.Duration
	startedAt   map[int]time.Duration
	done        map[int]bool
	begun       bool
	accepted    bool
	refused     bool
}

// NewMeter returns a meter for a deployment with the given limits of teams and the time allowed for the tasks
// of cancelled jobs to end.
func NewMeter(limits map[string]protocol.Room, cancelWithin time.Duration) *Meter {
	return &Meter{served: history.Served{Limits: limits}, cancelWithin: cancelWithin, jobs: map[string]*meteredJob{}, classes: map[string]*ClassSummary{}, histograms: map[string]*classHistograms{}, startsByTerm: map[uint64]int{}}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(maxHistogramMs, max(1, d.Milliseconds()))) // the value is in range, so the error is always nil
}

// Note processes the next event.
func (m *Meter) Note(e history.Event) {
	m.summary.Events++
	m.lastEvent = e.At
	m.served.Observe(e)
	m.cancelled.Observe(e)
	switch e.Kind {
	case history.Submitted:
		if m.jobs[e.Job] != nil {
			return
		}
		m.summary.Jobs++
		m.jobs[e.Job] = &meteredJob{spec: e.Spec, submittedAt: e.At, startedAt: map[int]time.Duration{}, done: map[int]bool{}}
		c := m.classes[e.Spec.Class]
		if c == nil {
			c = &ClassSummary{}
			m.classes[e.Spec.Class] = c
			m.histograms[e.Spec.Class] = &classHistograms{newHistogram(), newHistogram(), newHistogram()}
		}
		c.Jobs++
	case history.Answered:
		m.noteAnswer(m.jobs[e.Job], e)
	case history.StartReceived:
		m.summary.Starts++
		m.startsByTerm[protocol.Token(e.Attempt).Term()]++
	case history.TaskStarted, history.TaskStopped:
		id, index, _ := protocol.SplitTask(e.Task)
		if j := m.jobs[id]; j != nil {
			m.noteTask(j, index, e)
		}
	case history.MachineRented:
		m.summary.Rented++
	case history.Sampled:
		m.noteSample(*e.Sample)
	}
}

func (m *Meter) noteAnswer(j *meteredJob, e history.Event) {
	if j == nil {
		return
	}
	c, t := m.classes[j.spec.Class], m.histograms[j.spec.Class]
	switch {
	case (e.Code == 200 || e.Code == 201) && !j.accepted:
		j.accepted = true
		c.Accepted++
		recordDuration(t.answer, e.At-j.submittedAt)
	case (e.Code == 400 || e.Code == 422) && !j.refused:
		j.refused = true
		c.Refused++
	}
}

func (m *Meter) noteTask(j *meteredJob, index int, e history.Event) {
	c, t := m.classes[j.spec.Class], m.histograms[j.spec.Class]
	if e.Kind == history.TaskStarted {
		j.startedAt[index] = e.At
		if !j.begun && (j.spec.Shape == protocol.Array || len(j.startedAt) == j.spec.Tasks) {
			j.begun = true
			c.Begun++
			recordDuration(t.wait, e.At-j.submittedAt)
		}
		return
	}
	since, running := j.startedAt[index]
	delete(j.startedAt, index)
	if !running {
		return
	}
	if e.Cause == protocol.CauseDone && !j.done[index] {
		j.done[index] = true
		m.summary.Useful += (e.At - since).Hours() * j.spec.Cores
		if len(j.done) == j.spec.Tasks {
			c.Done++
			recordDuration(t.finish, e.At-j.submittedAt)
		}
	} else if j.spec.Shape == protocol.Service {
		m.summary.Useful += (e.At - since).Hours() * j.spec.Cores
	}
}

func (m *Meter) noteSample(s history.Sample) {
	if m.samples > 0 && s.Cores > 0 {
		m.usedSum += s.CoresUsed / s.Cores
		m.usedSamples++
	}
	m.samples++
	m.newest = s
	m.summary.Machines += float64(s.Machines)
}

// Summary returns the summary of the events so far.
func (m *Meter) Summary() (Summary, error) {
	s := m.summary
	s.Length = m.lastEvent
	cancelled, err := summarizeCancelled(m.cancelled.Snapshot(m.lastEvent), m.cancelWithin)
	if err != nil {
		return s, err
	}
	s.Cancelled = cancelled
	for _, n := range m.startsByTerm {
		s.Uneven = max(s.Uneven, float64(n)*float64(len(m.startsByTerm))/float64(s.Starts))
	}
	shares := m.served.Shares(m.lastEvent)
	s.ServedClasses, s.ServedTeams, s.ServedLargest, s.BegunLargest = shares.Classes, shares.Teams, shares.Largest, shares.Begun
	for _, j := range m.jobs {
		if j.spec.Shape == protocol.Service {
			for _, since := range j.startedAt {
				s.Useful += (m.lastEvent - since).Hours() * j.spec.Cores
			}
		}
	}
	if m.usedSamples > 0 {
		s.Used = m.usedSum / float64(m.usedSamples)
	}
	if m.samples > 0 {
		s.Machines /= float64(m.samples)
		s.Money = m.newest.Money
		s.StateRequests = float64(m.newest.StateRequests) / max(1, m.lastEvent.Seconds())
		s.StateChanges = float64(m.newest.StateChanges) / max(1, m.lastEvent.Seconds())
	}
	s.Classes = m.classes
	for name, c := range m.classes {
		for target, h := range map[*[]byte]*hdrhistogram.Histogram{&c.Wait: m.histograms[name].wait, &c.Finish: m.histograms[name].finish, &c.Answer: m.histograms[name].answer} {
			raw, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			if err != nil {
				return s, err
			}
			*target = raw
		}
	}
	return s, nil
}
