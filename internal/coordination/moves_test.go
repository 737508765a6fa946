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

// TestMovesDuringFailures injects a failure while replicas move. Twelve services fill six machines in pairs;
// one of each pair is cancelled, so that the others are packed together and machines are returned. The failure
// comes when the first replica has been stopped and not yet started elsewhere, or a little later. No task may
// run twice or be lost; all six services run in the end, on fewer machines where none is lost.
func TestMovesDuringFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		// inject causes the failure, given the machine that the replica left and the services that stay.
		inject func(w *world, from string, stay []string)
		// delay is the time of the failure after the first move's stop.
		delay time.Duration
	}{
		{name: "nothing", inject: func(*world, string, []string) {}},
		{name: "owners crash, one after the other", inject: func(w *world, _ string, _ []string) {
			for _, n := range w.names {
				w.crash(n)
				time.Sleep(400 * time.Millisecond)
				w.start(n)
			}
		}},
		{name: "all crash", inject: func(w *world, _ string, _ []string) { w.crash(w.names...); w.start(w.names...) }},
		{name: "all crash a little later", delay: 700 * time.Millisecond, inject: func(w *world, _ string, _ []string) { w.crash(w.names...); w.start(w.names...) }},
		{name: "the source dies", inject: func(w *world, from string, _ []string) { w.em.InjectFault(from, emulator.Crash) }},
		{name: "the source hangs", inject: func(w *world, from string, _ []string) { w.em.InjectFault(from, emulator.Hang) }},
		{name: "all other machines hang for a while", inject: func(w *world, from string, _ []string) {
			for _, id := range w.machinesInUse() {
				if id != from {
					w.em.InjectFault(id, emulator.Hang)
				}
			}
			time.Sleep(5 * time.Second)
			for _, id := range w.machinesInUse() {
				w.em.InjectFault(id, emulator.Resume)
			}
		}},
		{name: "half of the other machines die", inject: func(w *world, from string, _ []string) {
			for n, id := range w.machinesInUse() {
				if id != from && n%2 == 0 {
					w.em.InjectFault(id, emulator.Crash)
				}
			}
		}},
		{name: "the state service is unavailable and an owner crashes", inject: func(w *world, _ string, _ []string) {
			w.em.State.SetOutage(true)
			w.crash("c1")
			time.Sleep(4 * time.Second)
			w.em.State.SetOutage(false)
			w.start("c1")
		}},
		{name: "a controller is cut off from its siblings", inject: func(w *world, _ string, _ []string) {
			w.cutController([]string{"c1", "from", "siblings"})
			time.Sleep(20 * time.Second)
			w.cutController([]string{"off"})
		}},
		{name: "urgent work takes all room", inject: func(w *world, _ string, _ []string) {
			w.stepInBackground("submit", []string{"wk-90", "array", "40", "urgency=critical", "run=10s", "types=small"})
		}},
		{name: "all but one are cancelled", inject: func(w *world, _ string, stay []string) {
			for _, id := range stay[1:] {
				w.stepInBackground("cancel", []string{id})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkMoveDuring(t, c.inject, c.delay) })
		})
	}
}

// machinesInUse are the machines that run tasks.
func (w *world) machinesInUse() (ids []string) {
	w.em.WithChecker(func(r *history.Checker) {
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

func checkMoveDuring(t *testing.T, inject func(*world, string, []string), delay time.Duration) {
	w := newWorld(t, 3, "", "")
	defer w.shutDown()
	for k := range 12 {
		if err := w.submit([]string{fmt.Sprintf("wk-%d", 10+k), "service", "1", "types=small", "cores=4", "ram=8"}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(40 * time.Second)
	// Cancel one service of each pair.
	staying, cancelled := map[string]string{}, map[string]bool{}
	for k := range 12 {
		id := fmt.Sprintf("wk-%d", 10+k)
		w.em.WithChecker(func(r *history.Checker) {
			on := r.Machines(id)[0]
			if on == "" {
				t.Fatalf("%s does not run", id)
			}
			if staying[on] == "" {
				staying[on] = id
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
	before, stopped := w.machinesInUse(), make(chan string, 100)
	w.em.WithChecker(func(*history.Checker) { // w.watch is set on the goroutine that calls it
		w.onEvent = func(e history.Event) {
			if id, _, _ := strings.Cut(e.Task, "/"); e.Kind == history.TaskStopped && !cancelled[id] && e.Cause == "halted" {
				select {
				case stopped <- e.Machine:
				default:
				}
			}
		}
	})
	select {
	case from := <-stopped:
		time.Sleep(delay)
		inject(w, from, slices.Sorted(maps.Values(staying)))
	case <-time.After(3 * time.Minute):
		t.Fatalf("no replica was moved; %d machines were rented, %d of them are in use", w.em.MachinesRented(), len(before))
	}
	time.Sleep(3 * time.Minute)
	cancelledLater := 0
	for _, id := range staying {
		var on map[int]string
		w.em.WithChecker(func(r *history.Checker) { on = r.Machines(id) })
		if _, st := w.askUntilAnswered("GET", "/v1/jobs/"+id, nil); st.Status == protocol.Cancelled {
			cancelledLater++
		} else if len(on) != 1 {
			t.Errorf("%s runs on %v", id, on)
		}
	}
	if after := w.machinesInUse(); cancelledLater == 0 && len(after) >= len(before) {
		t.Errorf("the services that stay are on %d machines, as before", len(after))
	}
}
