package coordination

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The environment variables that choose the seeds of TestRandomCopies for a long run by hand.
const (
	firstSeedVariable = "COPIES_FIRST_SEED"
	seedCountVariable = "COPIES_SEEDS"
)

// numberFrom reads a number from an environment variable.
func numberFrom(variable string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return fallback
}

// randomCopies draws the steps of a deployment in which copies of requests and reports arrive late.
type randomCopies struct {
	rng *rand.Rand
	// accounts: jobs are charged to accounts with limits. Services would use up the limits and are left out.
	accounts  bool
	jobs      []string
	cancelled map[string]bool
}

// seconds draws a time between two numbers of seconds.
func (r *randomCopies) seconds(from, to float64) string {
	return fmt.Sprintf("%.1fs", from+r.rng.Float64()*(to-from))
}

// submission draws a new job.
func (r *randomCopies) submission() string {
	id := fmt.Sprintf("wk-%d", 100+len(r.jobs))
	r.jobs = append(r.jobs, id)
	urgency := []string{"idle", "normal", "high", "critical"}[r.rng.IntN(4)]
	form := []string{"array 6 run=20s", "array 3 run=50s saves=2", "gang 3 run=25s", "gang 2 run=60s saves=2 onezone", "service 2"}[r.rng.IntN(5)]
	if r.accounts {
		form = strings.Replace(form, "service 2", "array 2 run=30s", 1) + " account=" + []string{"free/north", "free/south"}[len(r.jobs)%2]
	}
	return fmt.Sprintf("submit %s %s urgency=%s", id, form, urgency)
}

// next draws the next step, or two if something comes back within a second. within is the time between them.
func (r *randomCopies) next() (step string, within time.Duration, comesBack string) {
	within = time.Duration(100+r.rng.IntN(800)) * time.Millisecond
	switch r.rng.IntN(9) {
	case 0, 1:
		return r.submission(), 0, ""
	case 2:
		id := r.jobs[r.rng.IntN(len(r.jobs))]
		r.cancelled[id] = true
		return "begins-cancel " + id, 0, ""
	case 3, 4:
		names := []string{"c0", "c1", "c2", "c0 c1", "c0 c1 c2"}[r.rng.IntN(5)]
		return "crash " + names, within, "start " + names
	case 5:
		return fmt.Sprintf("machines %d reboots", 1+r.rng.IntN(3)), 0, ""
	case 6:
		return "machines 1 dies", 0, ""
	case 7:
		return "repeats " + r.seconds(0.2, []float64{1, 5, 45}[r.rng.IntN(3)]), 0, ""
	}
	return "echoes " + r.seconds(0.2, []float64{1, 5, 45}[r.rng.IntN(3)]), 0, ""
}

// Guards against what late copies of reports, direct commands, requests between controllers, rentals and changes of
// records could bring about where controllers and machines are back within a second and tasks are moved, cancelled and
// done: the rules are checked at each start, and once all is over every job gets on.
func TestRandomCopies(t *testing.T) {
	first := numberFrom(firstSeedVariable, 100)
	for seed := first; seed < first+numberFrom(seedCountVariable, 6); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandomCopies(t, uint64(seed)) })
		})
	}
}

func playRandomCopies(t *testing.T, seed uint64) {
	r := &randomCopies{rng: rand.New(rand.NewPCG(seed, 0xc0b1e5)), accounts: seed%3 == 0, cancelled: map[string]bool{}}
	accounts := ""
	if r.accounts {
		accounts = `(account "free" (cpus 40 56)) (account "free/north" (cpus 8 24)) (account "free/south" (cpus 16 32))`
	}
	w := newWorld(t, 3, "", accounts)
	defer w.shutDown()
	run := func(step string) {
		words := strings.Fields(step)
		// A step may find nothing to act on, such as no machine that is up.
		if err := w.step(words[0], words[1:]); err != nil {
			t.Logf("%v %s: %v", w.em.Elapsed(), step, err)
		}
	}
	time.Sleep(2 * time.Second)
	for range 4 {
		run(r.submission())
	}
	time.Sleep(18 * time.Second)
	run("repeats 700ms")
	run("echoes 900ms")
	for w.em.Elapsed() < 150*time.Second {
		step, within, comesBack := r.next()
		run(step)
		if comesBack != "" {
			time.Sleep(within)
			run(comesBack)
		}
		time.Sleep(time.Duration(500+r.rng.IntN(4000)) * time.Millisecond)
	}
	run("repeats 0s")
	run("echoes 0s")
	time.Sleep(240 * time.Second)
	for _, id := range r.jobs {
		if err := r.endsWell(w, id); err != nil {
			t.Errorf("seed %d: %s: %v", seed, id, err)
		}
	}
}

// endsWell reports an error unless a job got on, or was cancelled and is gone.
func (r *randomCopies) endsWell(w *world, id string) error {
	if r.cancelled[id] {
		if w.step("expect", []string{id, "done"}) == nil {
			return nil // it ended before its cancellation
		}
		if err := w.step("expect-on", []string{id, "0"}); err != nil {
			return err
		}
		return w.step("expect", []string{id, "cancelled"})
	}
	if w.step("expect", []string{id, "done"}) == nil {
		return nil
	}
	return w.step("expect", []string{id, "running"})
}
