package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"daledyke/internal/emulator"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// order is one job that is to be submitted.
type order struct {
	at       time.Duration
	spec     *protocol.JobSpec
	runs     []time.Duration // of its tasks; 0: for ever
	mistake  bool
	cancelAt time.Duration // counted from the submission; 0: never
}

// source is a generator of distributions for one purpose, which other purposes don't
// disturb: with one more class, the others' jobs stay as they were.
func source(seed uint64, purpose string) *rand.Rand {
	// The generator's state is hashed from both: seeds that follow each other, as hunts use
	// them, drew much the same faults otherwise.
	return rand.New(rand.NewPCG(uint64(protocol.RingToken(fmt.Sprint(purpose, " ", seed))), uint64(protocol.RingToken(purpose))))
}

// draw takes a number from a distribution.
func (d Draw) draw(rng *rand.Rand) float64 {
	switch d.Kind {
	case "uniform":
		return distuv.Uniform{Min: d.A, Max: d.B, Src: rng}.Rand()
	case "lognormal":
		return distuv.LogNormal{Mu: math.Log(max(d.A, 1e-9)), Sigma: d.B, Src: rng}.Rand()
	case "exponential":
		return distuv.Exponential{Rate: 1 / max(d.A, 1e-9), Src: rng}.Rand()
	case "choice":
		var weights []float64
		for n := 1; n < len(d.Values); n += 2 {
			weights = append(weights, d.Values[n])
		}
		return d.Values[2*int(distuv.NewCategorical(weights, rng).Rand())]
	case "pareto":
		return distuv.Pareto{Xm: d.A, Alpha: d.B, Src: rng}.Rand()
	}
	return d.A
}

// startSpread is over how long jobs that are there from the start come.
const startSpread = 5 * time.Second

// maxOrders bounds the jobs of one class.
const maxOrders = 200_000

// times are when jobs of a class come.
func (a Arrivals) times(length time.Duration, scale float64, rng *rand.Rand) (at []time.Duration) {
	switch a.Kind {
	case "start":
		for range max(1, int(float64(a.Count)*scale+0.5)) {
			at = append(at, time.Duration(rng.Float64()*float64(startSpread)))
		}
	case "burst":
		for range max(1, int(float64(a.Count)*scale+0.5)) {
			at = append(at, a.At)
		}
	default:
		// A swing is thinned out of the densest stream there is.
		densest := distuv.Exponential{Rate: scale * (1 + a.Depth) / a.Gap.Seconds(), Src: rng}
		for t := protocol.Seconds(densest.Rand()); t < length && len(at) < maxOrders; t += protocol.Seconds(densest.Rand()) {
			share := 1.0
			if a.Period > 0 {
				share = (1 + a.Depth*math.Sin(2*math.Pi*t.Seconds()/a.Period.Seconds())) / (1 + a.Depth)
			}
			if rng.Float64() < share {
				at = append(at, t)
			}
		}
	}
	slices.Sort(at)
	return at
}

// orders are all jobs of an experiment with a seed, in the order in which they come.
func (e *Experiment) orders(seed uint64) (all []order) {
	for _, c := range e.Classes {
		rng := source(seed, c.Name)
		for _, a := range c.Arrivals {
			for _, at := range a.times(e.Length, e.Scale, rng) {
				all = append(all, c.order(at, rng))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b order) int { return int(a.at - b.at) })
	// Ids are unique and come in no order.
	ids := source(seed, "ids")
	seen := map[string]bool{}
	last := map[string]string{}
	for i := range all {
		s := all[i].spec
		for s.ID = ""; s.ID == "" || seen[s.ID]; {
			s.ID = "wk-" + strconv.FormatInt(1+ids.Int64N(1e9), 10)
		}
		seen[s.ID] = true
		if prior := last[s.Class]; prior != "" && s.Needs != nil {
			s.Needs = []string{prior}
		} else {
			s.Needs = nil
		}
		if s.Shape != protocol.Service {
			last[s.Class] = s.ID
		}
	}
	return all
}

func (c *Class) order(at time.Duration, rng *rand.Rand) order {
	tasks := int(min(protocol.MaxTasks, max(1, math.Round(c.Tasks.draw(rng)))))
	run := max(1, c.Run.draw(rng))
	team := c.Teams[0]
	if len(c.Teams) > 1 {
		team = c.Teams[rng.IntN(len(c.Teams))]
	}
	s := &protocol.JobSpec{Class: c.Name, Team: team, Shape: c.Shape, Priority: c.Priority, Tasks: tasks, Cores: c.Cores, Accels: c.Accels, RAM: c.RAM,
		Image: c.Image, ImageGB: c.ImageGB, OneZone: c.OneZone, Scatter: c.Scatter, Spot: c.Spot, Types: c.Types,
		CheckpointS: c.SaveEvery.Seconds(), SaveS: c.Save.Seconds()}
	if c.Images > 1 {
		s.Image += fmt.Sprint("-", rng.IntN(c.Images))
	}
	o := order{at: at, spec: s, mistake: rng.Float64() < c.Mistaken}
	if rng.Float64() < c.Cancelled {
		o.cancelAt = time.Duration(rng.Float64() * 2 * run * float64(time.Second))
	}
	if rng.Float64() < c.Chained {
		s.Needs = []string{""} // the one before it
	}
	if c.Shape == protocol.Service {
		o.runs = []time.Duration{0}
		return o
	}
	s.EstimateS = run
	if c.Error > 0 {
		s.EstimateS *= distuv.LogNormal{Sigma: c.Error, Src: rng}.Rand()
	}
	if c.Due > 0 {
		due := c.Due * run
		s.DeadlineS = &due
	}
	each := 1
	if c.Shape == protocol.Array {
		each = min(tasks, 64) // more of them run as these did
	}
	for range each {
		o.runs = append(o.runs, protocol.Seconds(max(1, run*(0.9+0.2*rng.Float64()))))
	}
	return o
}

// The users' times, as the protocol gives them.
const (
	submitWait   = 5 * time.Second
	pollWait     = 2 * time.Second
	pollEvery    = 5 * time.Second
	retryFor     = time.Minute
	mostRetry    = 30 * time.Second
	usersHost    = "users"
	usersAtOnce  = 128
	mistakenTill = 2 * time.Minute // until a user cancels a job that keeps failing
)

// user submits one job and follows it until it is over.
type user struct {
	order
	http  *http.Client
	world *emulator.World
	rng   *rand.Rand
}

// ask makes one request; code 0 is no answer. again is when to come back if the answer
// was not final.
func (u *user) ask(ctx context.Context, method, path string, body []byte, wait time.Duration) (code int, status string, again time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	again = time.Duration((1 + 0.5*u.rng.Float64()) * float64(time.Second))
	code, asked, raw, err := transport.Once(ctx, u.http, method, "http://daledyke"+path, nil, body)
	if err != nil {
		return 0, "", again
	}
	var st protocol.JobStatus
	if json.Unmarshal(raw, &st) == nil {
		status = st.Status
	}
	return code, status, max(again, min(asked, mostRetry))
}

// insist repeats a request until its answer is final, for as long as users do.
func (u *user) insist(ctx context.Context, kind history.Kind, path string, body []byte) (code int, status string) {
	for began := time.Now(); ; {
		var again time.Duration
		code, status, again = u.ask(ctx, http.MethodPost, path, body, submitWait)
		if ctx.Err() != nil {
			return 0, ""
		}
		u.world.RecordEvent(history.Event{Kind: kind, Job: u.spec.ID, Code: code, Status: status})
		if code >= 200 && code < 300 || code == 400 || code == 422 || code == 404 && kind == history.CancelAnswered ||
			time.Since(began)+again > retryFor || !emulator.Sleep(ctx, again) {
			return code, status
		}
	}
}

// cancel has its job cancelled.
func (u *user) cancel(ctx context.Context) {
	u.world.RecordEvent(history.Event{Kind: history.CancelAsked, Job: u.spec.ID})
	u.insist(ctx, history.CancelAnswered, "/v1/jobs/"+u.spec.ID+"/cancel", []byte("{}"))
}

// live is the life of a user, until the job is over or the experiment is.
func (u *user) live(ctx context.Context) {
	body, err := json.Marshal(u.spec)
	if err != nil {
		panic(fmt.Sprintf("a job that can't be written: %v", err)) // all of it was made here
	}
	u.world.RegisterJob(u.spec, func(task int) time.Duration { return u.runs[task%len(u.runs)] }, u.mistake)
	began := time.Now()
	code, _ := u.insist(ctx, history.Answered, "/v1/jobs", body)
	if code == 400 || code == 422 || ctx.Err() != nil {
		return // it will never be
	}
	if u.mistake && u.cancelAt == 0 {
		u.cancelAt = mistakenTill
	}
	for emulator.Sleep(ctx, pollEvery) {
		if u.cancelAt > 0 && time.Since(began) >= u.cancelAt {
			u.cancelAt = 0
			u.cancel(ctx)
			continue
		}
		code, status, _ := u.ask(ctx, http.MethodGet, "/v1/jobs/"+u.spec.ID, nil, pollWait)
		if ctx.Err() != nil {
			return
		}
		u.world.RecordEvent(history.Event{Kind: history.Polled, Job: u.spec.ID, Code: code, Status: status})
		if status == protocol.Done || status == protocol.Cancelled {
			// It may ask again at any later time.
			if !emulator.Sleep(ctx, time.Duration(u.rng.Float64()*float64(2*time.Minute))) {
				return
			}
			code, status, _ = u.ask(ctx, http.MethodGet, "/v1/jobs/"+u.spec.ID, nil, pollWait)
			if ctx.Err() == nil {
				u.world.RecordEvent(history.Event{Kind: history.Polled, Job: u.spec.ID, Code: code, Status: status})
			}
			return
		}
	}
}
