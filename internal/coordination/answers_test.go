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

// asker is a user of one job who asks all controllers again and again, and several at a time. It
// knows what had been answered when it asked, so that an answer that is older than that shows.
type asker struct {
	w   *world
	rng *rand.Rand
	job *protocol.JobSpec
	// accepted and final are what any answer said so far.
	accepted bool
	final    string
	// ended is told when the job's last task has its result.
	ended chan struct{}
}

// knows is what any answer said so far.
func (a *asker) knows() (accepted bool, final string) {
	a.w.em.Rules(func(*history.Checker) { accepted, final = a.accepted, a.final })
	return accepted, final
}

// send makes one request of a controller.
func (a *asker) send(node, method, path string, body any) {
	accepted, final := a.knows()
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
		kind = history.CancelTold
	}
	known := status == 200 || status == 201
	if accepted && !known {
		a.w.t.Errorf("%s %s %s at %s: %d, though it had been accepted", method, path, a.job.ID, node, status)
	}
	if final != "" && known && st.Status != final {
		a.w.t.Errorf("%s %s at %s: %s, though it had been called %s", method, path, node, st.Status, final)
	}
	a.w.em.Rules(func(r *history.Checker) {
		if a.final == final || st.Status == a.final { // the rules know of one question at a time
			r.Note(history.Event{At: a.w.em.Since(), Kind: kind, Job: a.job.ID, Code: status, Status: st.Status})
		}
		a.accepted = a.accepted || known
		if st.Status == protocol.Done || st.Status == protocol.Cancelled {
			a.final = st.Status
		}
	})
}

func (a *asker) isAccepted() bool {
	accepted, _ := a.knows()
	return accepted
}

func (a *asker) isOver() bool {
	_, final := a.knows()
	return final != ""
}

// burst asks every controller within some milliseconds, repeats the submission at one and, if it
// is to be cancelled, does so at one; what comes first is drawn.
func (a *asker) burst(cancel bool) {
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
		a.w.em.Note(history.Event{Kind: history.CancelAsked, Job: a.job.ID})
		node := any()
		all = append(all, func() { a.send(node, http.MethodPost, "/v1/jobs/"+a.job.ID+"/cancel", []byte("{}")) })
	}
	a.rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	for _, f := range all {
		go f()
		time.Sleep(time.Duration(a.rng.IntN(3)) * time.Millisecond)
	}
}

// live is the life of a user with one job: asked about right after it was accepted, cancelled or
// at its end, and later.
func (a *asker) live(cancelAt int) {
	for a.send(a.w.names[a.rng.IntN(len(a.w.names))], http.MethodPost, "/v1/jobs", a.job); !a.isAccepted(); {
		time.Sleep(time.Second)
		a.send(a.w.names[a.rng.IntN(len(a.w.names))], http.MethodPost, "/v1/jobs", a.job)
	}
	a.burst(cancelAt == cancelsAtOnce)
	a.burst(false)
	select {
	case <-a.ended:
	case <-time.After(3 * time.Minute):
	}
	a.burst(cancelAt == cancelsAtEnd)
	for range 8 {
		time.Sleep(time.Duration(a.rng.IntN(400)) * time.Millisecond)
		a.burst(cancelAt == cancelsAtEnd && !a.isOver())
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
	cancelsAtOnce = 1 + iota
	cancelsAtEnd
)

// Users ask all controllers at once, repeat what they sent and cancel, right after a job was
// accepted and at the moment at which its last task ends; nobody then hears less than was told
// before, in a calm deployment as well as where answers are lost, news come late, the state service
// is slow or refuses one, and controllers end.
func TestAnswersNeverGoBack(t *testing.T) {
	for name, troubles := range map[string]func(w *world, step func(string, ...string)){
		"calm": func(*world, func(string, ...string)) {},
		"news": func(_ *world, step func(string, ...string)) { step("lags", "c1", "2s"); step("lags", "c2", "700ms") },
		"lost": func(_ *world, step func(string, ...string)) { step("state-unheard", "0.4") },
		"late": func(_ *world, step func(string, ...string)) {
			for range 5 {
				time.Sleep(10 * time.Second)
				step("state-late", "4s")
				time.Sleep(1500 * time.Millisecond)
				step("state-late", "0s")
			}
		},
		"slow": func(_ *world, step func(string, ...string)) { step("state-slow", "300ms") },
		"ends": func(w *world, step func(string, ...string)) {
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
					if id, _, ok := protocol.SplitTask(e.Task); e.Kind == history.Off && e.Cause == protocol.CauseDone && ok && ended[id] != nil {
						close(ended[id])
						delete(ended, id)
					}
				}
				time.Sleep(3 * time.Second)
				const users = 15
				over := make(chan struct{})
				go func() {
					troubles(w, func(verb string, args ...string) {
						if err := w.step(verb, args); err != nil {
							t.Error(err)
						}
					})
					over <- struct{}{}
				}()
				for n := range users {
					run := 5 + float64(n%7)
					s := &protocol.JobSpec{ID: fmt.Sprintf("wk-%d", n+1), Class: "batch", Team: "free", Shape: protocol.Array, Priority: "normal", Tasks: 1,
						Cores: 1, RAM: 1, Image: "img", ImageGB: 1, EstimateS: run}
					a := &asker{w: w, rng: rand.New(rand.NewPCG(uint64(n), 7)), job: s, ended: make(chan struct{})}
					w.upload(s, protocol.Seconds(run), 0, false)
					w.em.Rules(func(*history.Checker) { ended[s.ID] = a.ended })
					go func() {
						time.Sleep(time.Duration(n) * 3 * time.Second)
						a.live(n % 3)
						if !a.isOver() {
							t.Errorf("%s: nothing final is told", s.ID)
						}
						over <- struct{}{}
					}()
				}
				for range users + 1 {
					<-over
				}
				time.Sleep(10 * time.Second) // the last answers
			})
		})
	}
}
