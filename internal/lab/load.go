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

// plannedJob is a job that a user will submit.
type plannedJob struct {
	submitAt    time.Duration
	spec        *protocol.JobSpec
	runTimes    []time.Duration // of its tasks; 0: until stopped
	mistaken    bool
	cancelAfter time.Duration // counted from the submission; 0: never
}

// randomSource returns a random generator for one purpose, independent of the generators for other purposes: an
// additional class leaves the jobs of the others unchanged.
func randomSource(seed uint64, purpose string) *rand.Rand {
	// The generator's state is a hash of seed and purpose. Without the hash, consecutive seeds, as in a hunt
	// for violations, drew nearly the same faults.
	return rand.New(rand.NewPCG(uint64(protocol.RingToken(fmt.Sprint(purpose, " ", seed))), uint64(protocol.RingToken(purpose))))
}

// sample draws a number from the distribution.
func (d Distribution) sample(rng *rand.Rand) float64 {
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

// startSpread is the period over which the jobs of a start arrival are submitted.
const startSpread = 5 * time.Second

// maxJobsPerArrivals bounds the jobs of one poisson or swing arrival.
const maxJobsPerArrivals = 200_000

// submissionTimes returns the submission times of the arrivals, in order.
func (a Arrivals) submissionTimes(length time.Duration, scale float64, rng *rand.Rand) (at []time.Duration) {
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
		// A swing is a Poisson process at the peak rate, thinned to the current rate.
		peak := distuv.Exponential{Rate: scale * (1 + a.Depth) / a.Gap.Seconds(), Src: rng}
		for t := protocol.Seconds(peak.Rand()); t < length && len(at) < maxJobsPerArrivals; t += protocol.Seconds(peak.Rand()) {
			acceptance := 1.0
			if a.Period > 0 {
				acceptance = (1 + a.Depth*math.Sin(2*math.Pi*t.Seconds()/a.Period.Seconds())) / (1 + a.Depth)
			}
			if rng.Float64() < acceptance {
				at = append(at, t)
			}
		}
	}
	slices.Sort(at)
	return at
}

// plannedJobs returns all jobs of an experiment with a seed, in order of submission.
func (e *Experiment) plannedJobs(seed uint64) (all []plannedJob) {
	for _, c := range e.Classes {
		rng := randomSource(seed, c.Name)
		for _, a := range c.Arrivals {
			for _, at := range a.submissionTimes(e.Length, e.Scale, rng) {
				all = append(all, c.planJob(at, rng))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b plannedJob) int { return int(a.submitAt - b.submitAt) })
	// Job ids are unique and random.
	ids := randomSource(seed, "ids")
	seen := map[string]bool{}
	previous := map[string]string{}
	for i := range all {
		s := all[i].spec
		for s.ID = ""; s.ID == "" || seen[s.ID]; {
			s.ID = "wk-" + strconv.FormatInt(1+ids.Int64N(1e9), 10)
		}
		seen[s.ID] = true
		if prior := previous[s.Class]; prior != "" && s.Needs != nil {
			s.Needs = []string{prior}
		} else {
			s.Needs = nil
		}
		if s.Shape != protocol.Service {
			previous[s.Class] = s.ID
		}
	}
	return all
}

func (c *Class) planJob(at time.Duration, rng *rand.Rand) plannedJob {
	tasks := int(min(protocol.MaxTasks, max(1, math.Round(c.Tasks.sample(rng)))))
	runTime := max(1, c.Run.sample(rng))
	team := c.Teams[0]
	if len(c.Teams) > 1 {
		team = c.Teams[rng.IntN(len(c.Teams))]
	}
	s := &protocol.JobSpec{Class: c.Name, Team: team, Shape: c.Shape, Priority: c.Priority, Tasks: tasks, Cores: c.Cores, Accels: c.Accels, RAM: c.RAM,
		Image: c.Image, ImageGB: c.ImageGB, OneZone: c.OneZone, Scatter: c.Scatter, Spot: c.Spot, Types: c.Types,
		CheckpointS: c.CheckpointEvery.Seconds(), SaveS: c.CheckpointTime.Seconds()}
	if c.Images > 1 {
		s.Image += fmt.Sprint("-", rng.IntN(c.Images))
	}
	job := plannedJob{submitAt: at, spec: s, mistaken: rng.Float64() < c.Mistaken}
	if rng.Float64() < c.Cancelled {
		job.cancelAfter = time.Duration(rng.Float64() * 2 * runTime * float64(time.Second))
	}
	if rng.Float64() < c.Chained {
		s.Needs = []string{""} // replaced by the id of the previous job of the class
	}
	if c.Shape == protocol.Service {
		job.runTimes = []time.Duration{0}
		return job
	}
	s.EstimateS = runTime
	if c.Error > 0 {
		s.EstimateS *= distuv.LogNormal{Sigma: c.Error, Src: rng}.Rand()
	}
	if c.DeadlineFactor > 0 {
		due := c.DeadlineFactor * runTime
		s.DeadlineS = &due
	}
	distinct := 1
	if c.Shape == protocol.Array {
		distinct = min(tasks, 64) // further tasks repeat these run times
	}
	for range distinct {
		job.runTimes = append(job.runTimes, protocol.Seconds(max(1, runTime*(0.9+0.2*rng.Float64()))))
	}
	return job
}

// Timing of users' requests, as the protocol specifies it, and limits of the users' client.
const (
	submitTimeout      = 5 * time.Second
	pollTimeout        = 2 * time.Second
	pollInterval       = 5 * time.Second
	retryPeriod        = time.Minute
	maxRetryDelay      = 30 * time.Second
	usersHost          = "users"
	maxUserConnections = 128
	mistakeCancelDelay = 2 * time.Minute // delay until a user cancels a job that keeps failing because of its mistake
)

// user submits one job and polls it until it ends.
type user struct {
	plannedJob
	http  *http.Client
	world *emulator.World
	rng   *rand.Rand
}

// request makes one request. Code 0 means that no response arrived; retryIn is the delay before the next
// attempt if the response is not final.
func (u *user) request(ctx context.Context, method, path string, body []byte, timeout time.Duration) (code int, status string, retryIn time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	retryIn = time.Duration((1 + 0.5*u.rng.Float64()) * float64(time.Second))
	code, retryAfter, raw, err := transport.RequestOnce(ctx, u.http, method, "http://daledyke"+path, nil, body)
	if err != nil {
		return 0, "", retryIn
	}
	var st protocol.JobStatus
	if json.Unmarshal(raw, &st) == nil {
		status = st.Status
	}
	return code, status, max(retryIn, min(retryAfter, maxRetryDelay))
}

// requestUntilFinal repeats a request until its response is final or retryPeriod is over.
func (u *user) requestUntilFinal(ctx context.Context, kind history.Kind, path string, body []byte) (code int, status string) {
	for began := time.Now(); ; {
		var retryIn time.Duration
		code, status, retryIn = u.request(ctx, http.MethodPost, path, body, submitTimeout)
		if ctx.Err() != nil {
			return 0, ""
		}
		u.world.RecordEvent(history.Event{Kind: kind, Job: u.spec.ID, Code: code, Status: status})
		if code >= 200 && code < 300 || code == 400 || code == 422 || code == 404 && kind == history.CancelAnswered ||
			time.Since(began)+retryIn > retryPeriod || !emulator.Sleep(ctx, retryIn) {
			return code, status
		}
	}
}

// cancel requests the cancellation of the user's job.
func (u *user) cancel(ctx context.Context) {
	u.world.RecordEvent(history.Event{Kind: history.CancelAsked, Job: u.spec.ID})
	u.requestUntilFinal(ctx, history.CancelAnswered, "/v1/jobs/"+u.spec.ID+"/cancel", []byte("{}"))
}

// run submits the job, polls it and cancels it if planned, until the job or the experiment ends.
func (u *user) run(ctx context.Context) {
	body, err := json.Marshal(u.spec)
	if err != nil {
		panic(fmt.Sprintf("a job that can't be written: %v", err)) // the spec is generated by this package
	}
	u.world.RegisterJob(u.spec, func(task int) time.Duration { return u.runTimes[task%len(u.runTimes)] }, u.mistaken)
	began := time.Now()
	code, _ := u.requestUntilFinal(ctx, history.Answered, "/v1/jobs", body)
	if code == 400 || code == 422 || ctx.Err() != nil {
		return // rejected for good, or the experiment is over
	}
	if u.mistaken && u.cancelAfter == 0 {
		u.cancelAfter = mistakeCancelDelay
	}
	for emulator.Sleep(ctx, pollInterval) {
		if u.cancelAfter > 0 && time.Since(began) >= u.cancelAfter {
			u.cancelAfter = 0
			u.cancel(ctx)
			continue
		}
		code, status, _ := u.request(ctx, http.MethodGet, "/v1/jobs/"+u.spec.ID, nil, pollTimeout)
		if ctx.Err() != nil {
			return
		}
		u.world.RecordEvent(history.Event{Kind: history.Polled, Job: u.spec.ID, Code: code, Status: status})
		if status == protocol.Done || status == protocol.Cancelled {
			// A user may poll a finished job again at any later time.
			if !emulator.Sleep(ctx, time.Duration(u.rng.Float64()*float64(2*time.Minute))) {
				return
			}
			code, status, _ = u.request(ctx, http.MethodGet, "/v1/jobs/"+u.spec.ID, nil, pollTimeout)
			if ctx.Err() == nil {
				u.world.RecordEvent(history.Event{Kind: history.Polled, Job: u.spec.ID, Code: code, Status: status})
			}
			return
		}
	}
}
