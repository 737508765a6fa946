package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// TestMovesMeetFailures: twelve services fill six machines in pairs; half of them are
// cancelled, one on each machine, so that the rest is to be moved together and machines
// given back. At the very moment when the first of them was stopped and is not started yet,
// or with others shortly before, something fails. Nothing may run twice or be forgotten, all
// six run in the end and, where nothing is lost, on fewer machines.
func TestMovesMeetFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		// strikes is what fails, given the machine that the task left and all that stay.
		strikes func(w *world, from string, stay []string)
		// at is when it fails, counted from the first move's stop.
		at time.Duration
	}{
		{name: "nothing", strikes: func(*world, string, []string) {}},
		{name: "owners crash, one after the other", strikes: func(w *world, _ string, _ []string) {
			for _, n := range w.names {
				w.crash(n)
				time.Sleep(400 * time.Millisecond)
				w.start(n)
			}
		}},
		{name: "all crash", strikes: func(w *world, _ string, _ []string) { w.crash(w.names...); w.start(w.names...) }},
		{name: "all crash a little later", at: 700 * time.Millisecond, strikes: func(w *world, _ string, _ []string) { w.crash(w.names...); w.start(w.names...) }},
		{name: "the source dies", strikes: func(w *world, from string, _ []string) { w.em.Strike(from, emulator.Dies) }},
		{name: "the source hangs", strikes: func(w *world, from string, _ []string) { w.em.Strike(from, emulator.Hangs) }},
		{name: "all other machines hang for a while", strikes: func(w *world, from string, _ []string) {
			for _, id := range w.machinesUp() {
				if id != from {
					w.em.Strike(id, emulator.Hangs)
				}
			}
			time.Sleep(5 * time.Second)
			for _, id := range w.machinesUp() {
				w.em.Strike(id, emulator.Resumes)
			}
		}},
		{name: "half of the other machines die", strikes: func(w *world, from string, _ []string) {
			for n, id := range w.machinesUp() {
				if id != from && n%2 == 0 {
					w.em.Strike(id, emulator.Dies)
				}
			}
		}},
		{name: "the state service vanishes and an owner with it", strikes: func(w *world, _ string, _ []string) {
			w.em.State.Outage(true)
			w.crash("c1")
			time.Sleep(4 * time.Second)
			w.em.State.Outage(false)
			w.start("c1")
		}},
		{name: "a controller is cut off from its siblings", strikes: func(w *world, _ string, _ []string) {
			w.cutController([]string{"c1", "from", "siblings"})
			time.Sleep(20 * time.Second)
			w.cutController([]string{"off"})
		}},
		{name: "urgent work comes and takes all room", strikes: func(w *world, _ string, _ []string) {
			w.stepInBackground("submit", []string{"wk-90", "array", "40", "urgency=critical", "run=10s", "types=small"})
		}},
		{name: "all but one are cancelled", strikes: func(w *world, _ string, stay []string) {
			for _, id := range stay[1:] {
				w.stepInBackground("cancel", []string{id})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { moveAmid(t, c.strikes, c.at) })
		})
	}
}

// machinesUp are the machines that tasks are on.
func (w *world) machinesUp() (ids []string) {
	w.em.Rules(func(r *history.Checker) {
		for k := range 40 {
			for _, id := range r.Machines(fmt.Sprintf("wk-%d", k)) {
				if !slices.Contains(ids, id) {
					ids = append(ids, id)
				}
			}
		}
	})
	slices.Sort(ids)
	return ids
}

func moveAmid(t *testing.T, strikes func(*world, string, []string), at time.Duration) {
	w := newWorld(t, 3, "", "")
	defer w.shutDown()
	for k := range 12 {
		if err := w.submit([]string{fmt.Sprintf("wk-%d", 10+k), "service", "1", "types=small", "cores=4", "ram=8"}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(40 * time.Second)
	// One of each machine goes.
	stay, cancelled := map[string]string{}, map[string]bool{}
	for k := range 12 {
		id := fmt.Sprintf("wk-%d", 10+k)
		w.em.Rules(func(r *history.Checker) {
			on := r.Machines(id)[0]
			if on == "" {
				t.Fatalf("%s does not run", id)
			}
			if stay[on] == "" {
				stay[on] = id
			} else {
				cancelled[id] = true
			}
		})
	}
	for id := range cancelled {
		if err := w.step("cancel", []string{id}); err != nil {
			t.Fatal(err)
		}
	}
	before, gone := w.machinesUp(), make(chan string, 100)
	w.em.Rules(func(*history.Checker) { // on the goroutine that calls it
		w.onEvent = func(e history.Event) {
			if id, _, _ := strings.Cut(e.Task, "/"); e.Kind == history.Off && !cancelled[id] && e.Cause == "halted" {
				select {
				case gone <- e.Machine:
				default:
				}
			}
		}
	})
	select {
	case from := <-gone:
		time.Sleep(at)
		strikes(w, from, slices.Sorted(maps.Values(stay)))
	case <-time.After(3 * time.Minute):
		t.Fatalf("nothing is moved of %d machines, %d of them in use", w.em.Made(), len(before))
	}
	time.Sleep(3 * time.Minute)
	over := 0
	for _, id := range stay {
		var on map[int]string
		w.em.Rules(func(r *history.Checker) { on = r.Machines(id) })
		if _, st := w.askUntilAnswered("GET", "/v1/jobs/"+id, nil); st.Status == protocol.Cancelled {
			over++
		} else if len(on) != 1 {
			t.Errorf("%s is on %v", id, on)
		}
	}
	if after := w.machinesUp(); over == 0 && len(after) >= len(before) {
		t.Errorf("the services that stay are on %d machines, as before", len(after))
	}
}
