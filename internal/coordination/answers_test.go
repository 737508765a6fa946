package coordination

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// userClient is a user of one job who queries all controllers again and again, with several requests at a
// time. It records what had been answered when it sent each request, so that it detects an older answer.
type userClient struct {
	w   *world
	rng *rand.Rand
	job *protocol.JobSpec
	// accepted and finalStatus are what any answer said so far.
	accepted    bool
	finalStatus string
	// lastTaskDone is closed when the job's last task has its result.
	lastTaskDone chan struct{}
}

// latestAnswers returns what any answer said so far.
func (a *userClient) latestAnswers() (accepted bool, final string) {
	a.w.em.WithChecker(func(*history.Checker) { accepted, final = a.accepted, a.finalStatus })
	return accepted, final
}

// send sends one request to a controller.
func (a *userClient) send(node, method, path string, body any) {
	accepted, final := a.latestAnswers()
	status, raw, err := a.w.call("user", method, "front-"+node+path, body, 5*time.Second)
	if err != nil || status >= 429 {
		return
	}
	var st protocol.JobStatus
	json.Unmarshal(raw, &st)
	kind := history.Polled
	switch {
	case body != nil && path == "/v1/jobs":
		kind = history.Answered
	case body != nil:
		kind = history.CancelAnswered
	}
	known := status == 200 || status == 201
	if accepted && !known {
		a.w.t.Errorf("%s %s %s at %s: %d after the job had been accepted", method, path, a.job.ID, node, status)
	}
	if final != "" && known && st.Status != final {
		a.w.t.Errorf("%s %s at %s: %s after it had been %s", method, path, node, st.Status, final)
	}
	a.w.em.WithChecker(func(r *history.Checker) {
		if a.finalStatus == final || st.Status == a.finalStatus { // the checker expects one request at a time
			r.Observe(history.Event{At: a.w.em.Elapsed(), Kind: kind, Job: a.job.ID, Code: status, Status: st.Status})
		}
		a.accepted = a.accepted || known
		if st.Status == protocol.Done || st.Status == protocol.Cancelled {
			a.finalStatus = st.Status
		}
	})
}

func (a *userClient) isAccepted() bool {
	accepted, _ := a.latestAnswers()
	return accepted
}

func (a *userClient) isOver() bool {
	_, final := a.latestAnswers()
	return final != ""
}

// burst queries every controller within some milliseconds, repeats the submission twice and, if cancel is
// set, cancels the job; the controllers of these and the order are random.
func (a *userClient) burst(cancel bool) {
	var all []func()
	for _, node := range a.w.names {
		all = append(all, func() { a.send(node, http.MethodGet, "/v1/jobs/"+a.job.ID, nil) })
	}
	any := func() string { return a.w.names[a.rng.IntN(len(a.w.names))] }
	for range 2 {
		node := any()
		all = append(all, func() { a.send(node, http.MethodPost, "/v1/jobs", a.job) })
	}
	if cancel {
		a.w.em.RecordEvent(history.Event{Kind: history.CancelAsked, Job: a.job.ID})
		node := any()
		all = append(all, func() { a.send(node, http.MethodPost, "/v1/jobs/"+a.job.ID+"/cancel", []byte("{}")) })
	}
	a.rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	for _, f := range all {
		go f()
		time.Sleep(time.Duration(a.rng.IntN(3)) * time.Millisecond)
	}
}

// run submits the user's job and queries it right after it was accepted, when it is cancelled or ends, and
// later.
func (a *userClient) run(cancelAt int) {
	for a.send(a.w.names[a.rng.IntN(len(a.w.names))], http.MethodPost, "/v1/jobs", a.job); !a.isAccepted(); {
		time.Sleep(time.Second)
		a.send(a.w.names[a.rng.IntN(len(a.w.names))], http.MethodPost, "/v1/jobs", a.job)
	}
	a.burst(cancelAt == cancelAtOnce)
	a.burst(false)
	select {
	case <-a.lastTaskDone:
	case <-time.After(3 * time.Minute):
	}
	a.burst(cancelAt == cancelAtEnd)
	for range 8 {
		time.Sleep(time.Duration(a.rng.IntN(400)) * time.Millisecond)
		a.burst(cancelAt == cancelAtEnd && !a.isOver())
	}
	for range 60 {
		if a.isOver() {
			break
		}
		time.Sleep(3 * time.Second)
		a.burst(cancelAt != 0)
	}
	time.Sleep(time.Second)
	a.burst(false)
}

const (
	cancelAtOnce = 1 + iota
	cancelAtEnd
)

// Users query all controllers at once, repeat their submissions and cancel, right after a job was accepted
// and when its last task ends. No later answer may know less than an earlier one, in a calm deployment as
// well as where answers are lost, records arrive late, the state service is slow or refuses a controller, and
// controllers crash.
func TestAnswersNeverContradictEarlierOnes(t *testing.T) {
	for name, faults := range map[string]func(w *world, step func(string, ...string)){
		"calm":               func(*world, func(string, ...string)) {},
		"late records":       func(_ *world, step func(string, ...string)) { step("lags", "c1", "2s"); step("lags", "c2", "700ms") },
		"lost state answers": func(_ *world, step func(string, ...string)) { step("state-unheard", "0.4") },
		"late state answers": func(_ *world, step func(string, ...string)) {
			for range 5 {
				time.Sleep(10 * time.Second)
				step("state-late", "4s")
				time.Sleep(1500 * time.Millisecond)
				step("state-late", "0s")
			}
		},
		"slow state service": func(_ *world, step func(string, ...string)) { step("state-slow", "300ms") },
		"crashes": func(w *world, step func(string, ...string)) {
			step("lags", "c1", "1500ms")
			for n := range 6 {
				time.Sleep(9 * time.Second)
				step("crash", w.names[n%3])
				time.Sleep(time.Duration(1+n) * 300 * time.Millisecond)
				step("start", w.names[n%3])
				if n == 3 {
					step("state-refuses", "c2", "on")
					time.Sleep(15 * time.Second)
					step("state-refuses", "c2", "off")
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3, "", "")
				defer w.shutDown()
				ended := map[string]chan struct{}{}
				w.onEvent = func(e history.Event) {
					if id, _, ok := protocol.SplitTask(e.Task); e.Kind == history.TaskStopped && e.Cause == protocol.CauseDone && ok && ended[id] != nil {
						close(ended[id])
						delete(ended, id)
					}
				}
				time.Sleep(3 * time.Second)
				const users = 15
				done := make(chan struct{})
				go func() {
					faults(w, func(verb string, args ...string) {
						if err := w.step(verb, args); err != nil {
							t.Error(err)
						}
					})
					done <- struct{}{}
				}()
				for n := range users {
					run := 5 + float64(n%7)
					s := &protocol.JobSpec{ID: fmt.Sprintf("wk-%d", n+1), Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 1,
						Cores: 1, RAM: 1, Image: "img", ImageGB: 1, EstimateS: run}
					a := &userClient{w: w, rng: rand.New(rand.NewPCG(uint64(n), 7)), job: s, lastTaskDone: make(chan struct{})}
					w.upload(s, protocol.Seconds(run), 0, false)
					w.em.WithChecker(func(*history.Checker) { ended[s.ID] = a.lastTaskDone })
					go func() {
						time.Sleep(time.Duration(n) * 3 * time.Second)
						a.run(n % 3)
						if !a.isOver() {
							t.Errorf("%s: no final state was answered", s.ID)
						}
						done <- struct{}{}
					}()
				}
				for range users + 1 {
					<-done
				}
				time.Sleep(10 * time.Second) // for the last answers
			})
		})
	}
}
