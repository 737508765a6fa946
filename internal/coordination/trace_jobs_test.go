package coordination

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Trace steps that submit jobs and check their state.

// submit JOB SHAPE TASKS [key=value ...]
func (w *world) submit(args []string) error {
	tasks, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	s := &protocol.JobSpec{ID: args[0], Class: "batch", Team: "free", Shape: map[string]protocol.Shape{"array": protocol.Array,
		"gang": protocol.Gang, "service": protocol.Service}[args[1]], Priority: "normal", Tasks: tasks, Cores: 4, Accels: 1, RAM: 16,
		Image: "img", ImageGB: 3, EstimateS: 30}
	run, increment, failsEverywhere := 30*time.Second, time.Duration(0), false
	for _, a := range args[3:] {
		key, value, _ := strings.Cut(a, "=")
		number, _ := strconv.ParseFloat(strings.TrimSuffix(value, "s"), 64)
		switch key {
		case "mistake": // fails on every machine
			failsEverywhere = true
		case "run":
			run = protocol.Seconds(number)
			s.EstimateS = number
		case "apart": // each task runs longer than the one before by this time
			increment = protocol.Seconds(number)
		case "gb": // the job has an image of its own, of this size
			s.Image, s.ImageGB = "img-"+s.ID, number
		case "cores":
			s.Cores = number
		case "ram":
			s.RAM = number
		case "accels":
			s.Accels = number
		case "urgency":
			s.Priority = protocol.Priority(value)
		case "class":
			s.Class = value
		case "crew":
			s.Team = value
		case "account":
			s.Account = value
		case "saves":
			s.CheckpointS, s.SaveS = 5, number
		case "spot":
			s.Spot = true
		case "onezone":
			s.OneZone = true
		case "scatter":
			s.Scatter = true
		case "due":
			s.DeadlineS = &number
		case "awaits":
			s.Needs = strings.Split(value, ",")
			if from, to, ok := strings.Cut(value, ".."); ok { // wk-100..wk-199
				first, _ := strconv.Atoi(strings.TrimPrefix(from, "wk-"))
				last, _ := strconv.Atoi(strings.TrimPrefix(to, "wk-"))
				s.Needs = nil
				for n := first; n <= last; n++ {
					s.Needs = append(s.Needs, fmt.Sprintf("wk-%d", n))
				}
			}
		case "types":
			s.Types = strings.Split(value, ",")
		default:
			return fmt.Errorf("unknown property %s", key)
		}
	}
	w.upload(s, run, increment, failsEverywhere)
	status, st := w.askUntilAnswered(http.MethodPost, "/v1/jobs", s)
	w.noteAnswer(history.Answered, s.ID, status, st.Status)
	if status != 201 && status != 200 {
		return fmt.Errorf("answer %d", status)
	}
	return nil
}

// expect JOB pending|running|done|cancelled|unknown: all controllers report this state, or
// expect JOB starts N: between 1 and N starts of its tasks so far, or
// expect JOB on N: N of its tasks are on machines, or
// expect JOB machines N: its tasks are on N different machines.
func (w *world) expect(job string, what []string) error {
	starts, on, machines := 0, 0, map[string]bool{}
	w.em.WithChecker(func(r *history.Checker) {
		starts = r.Starts(job)
		for _, m := range r.Machines(job) {
			machines[m] = true
			on++
		}
	})
	switch what[0] {
	case "starts":
		if n, err := strconv.Atoi(what[1]); err != nil || starts > n || starts == 0 {
			return fmt.Errorf("%d starts", starts)
		}
		return nil
	case "on":
		if strconv.Itoa(on) != what[1] {
			return fmt.Errorf("%d tasks are on machines", on)
		}
		return nil
	case "machines":
		if strconv.Itoa(len(machines)) != what[1] {
			return fmt.Errorf("on %d machines", len(machines))
		}
		return nil
	}
	for _, n := range w.names {
		status, raw, err := w.call("user", http.MethodGet, "front-"+n+"/v1/jobs/"+job, nil, 5*time.Second)
		got := string(raw)
		var st protocol.JobStatus
		json.Unmarshal(raw, &st)
		w.noteAnswer(history.Polled, job, status, st.Status)
		if what[0] == "unknown" && status == 404 || err == nil && strings.Contains(got, `"status":"`+what[0]+`"`) {
			continue
		}
		return fmt.Errorf("%s answers %d %s %v", n, status, got, err)
	}
	return nil
}

// upload makes the job known to the emulated workers. A service runs until it is stopped.
func (w *world) upload(s *protocol.JobSpec, run, increment time.Duration, failsEverywhere bool) {
	if s.Shape == protocol.Service {
		run = 0
	}
	w.em.RegisterJob(s, func(index int) time.Duration { return run + time.Duration(index)*increment }, failsEverywhere)
}

// cpusUsed returns how many CPUs the tasks of an account use.
func (w *world) cpusUsed(account string) (cpus float64) {
	w.em.WithChecker(func(r *history.Checker) { cpus = r.Usage(account).Cores })
	return cpus
}
