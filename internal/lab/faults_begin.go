package lab

import (
	"strconv"
	"sync"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/history"
)

// begin has a fault happen; after runs something later on the same goroutine.
func (b *breaker) begin(f Fault, after func(time.Duration, func())) {
	b.note(history.Event{Kind: history.FaultBegins, Cause: f.String()})
	lasts, _ := time.ParseDuration(f.Args[0])
	run := &faultRun{
		breaker: b,
		fault:   f,
		after:   after,
		lasts:   lasts,
		// A crash of all ends with the first that is started, at the same moment as the others.
		over: sync.OnceFunc(func() { b.note(history.Event{Kind: history.FaultEnds, Cause: f.String()}) }),
	}
	for _, begins := range []func() bool{run.stateService, run.cloud, run.controllers, run.messages, run.machines, run.users} {
		if begins() {
			return
		}
	}
}

// faultRun is a fault that happens. Its methods that are named after what fails begin the faults of
// that and tell whether it is one of these.
type faultRun struct {
	*breaker
	fault Fault
	after func(time.Duration, func())
	lasts time.Duration
	over  func()
}

// during sets something for as long as any fault of this name lasts.
func (r *faultRun) during(name string, set func(on bool)) {
	if r.depth[name]++; r.depth[name] == 1 {
		set(true)
	}
	r.after(r.lasts, func() {
		if r.depth[name]--; r.depth[name] == 0 {
			set(false)
		}
		r.over()
	})
}

// number is an argument that is a share, a factor or a count.
func (r *faultRun) number(n int) float64 {
	v, _ := strconv.ParseFloat(r.fault.Args[n], 64)
	return v
}

// duration is an argument that is a time.
func (r *faultRun) duration(n int) time.Duration {
	v, _ := time.ParseDuration(r.fault.Args[n])
	return v
}

func (r *faultRun) stateService() bool {
	state := r.world.State
	switch verb := r.fault.Verb; verb {
	case "state-outage":
		r.during(verb, state.SetOutage)
	case "state-refuses":
		node := r.fault.Args[1]
		r.during(verb+node, func(yes bool) { state.SetRefused(node, yes) })
	case "state-slow":
		r.during(verb, func(yes bool) { state.DelayAnswers(on(yes, r.duration(1))) })
	case "state-late":
		r.during(verb, func(yes bool) { state.DelayTransactions(on(yes, r.duration(1))) })
	case "state-unheard":
		r.during(verb, func(yes bool) { state.DropAnswers(on(yes, r.number(1))) })
	case "state-lags":
		node := r.fault.Args[1]
		r.during(verb+node, func(yes bool) { state.DelayWatches(node, on(yes, r.duration(2))) })
	case "state-writes":
		r.during(verb, r.limitWrites)
	default:
		return false
	}
	return true
}

// limitWrites has the state service's rate of changes fall to a share.
func (r *faultRun) limitWrites(yes bool) {
	limits := r.d.State
	if yes {
		limits.WriteRPS = max(1, limits.WriteRPS*r.number(1))
	}
	r.world.State.SetLimits(limits)
}

func (r *faultRun) cloud() bool {
	switch verb := r.fault.Verb; verb {
	case "cloud-outage":
		r.during(verb, r.world.SetCloudOutage)
	case "cloud-late":
		r.during(verb, func(yes bool) { r.world.DelayCloudRequests(on(yes, r.duration(1))) })
	case "capacity":
		r.during(verb, func(yes bool) {
			share := 1.0
			if yes {
				share = r.number(1)
			}
			r.world.SetCapacity(int(float64(r.d.Machines) * share))
		})
	case "boots":
		r.during(verb, func(yes bool) {
			factor := 1.0
			if yes {
				factor = r.number(1)
			}
			r.world.SetBootFactor(factor)
		})
	default:
		return false
	}
	return true
}

func (r *faultRun) controllers() bool {
	switch verb := r.fault.Verb; verb {
	case "crash":
		names := []string{r.fault.Args[1]}
		if r.fault.Args[1] == "all" {
			names = r.d.Controllers
		}
		for _, name := range names {
			r.during("crash "+name, func(yes bool) { r.crash(name, yes) })
		}
	case "hangs":
		node := r.fault.Args[1]
		r.during(verb+node, func(yes bool) {
			if err := r.hosts.hang(node, yes); err != nil && yes {
				r.fail(err)
			}
		})
	default:
		return false
	}
	return true
}

// messages begins faults of what is sent: cuts, copies, and what is held up.
func (r *faultRun) messages() bool {
	name := r.fault.String()
	switch verb := r.fault.Verb; verb {
	case "late-commands":
		r.during(verb, func(yes bool) { r.world.DelayCommands(on(yes, r.number(1))) })
	case "kept-reports":
		r.during(verb, r.world.ReplayReports)
	case "echoes":
		r.during(verb, func(yes bool) { r.world.DuplicateReports(on(yes, r.duration(1))) })
	case "cut":
		r.during(name, func(yes bool) { r.cut(name, yes, cutNode(r.fault.Args[1], r.fault.Args[2])) })
	case "cut-zone":
		zones := r.zones()
		r.during(name, func(yes bool) { r.cut(name, yes, cutZone(r.fault.Args[1], zones)) })
	default:
		return false
	}
	return true
}

func (r *faultRun) machines() bool {
	switch r.fault.Verb {
	case "machines":
		trouble := r.fault.Args[0]
		count, _ := strconv.Atoi(r.fault.Args[1])
		struck := r.world.InjectFaults(count, troubles[trouble], func(string, bool) bool { return true })
		if len(r.fault.Args) < 3 || ends[trouble] == "" {
			r.over()
			break
		}
		r.endsAfter(r.duration(2), struck, ends[trouble])
	case "spot-wave":
		r.spotWave()
	default:
		return false
	}
	return true
}

// endsAfter ends a trouble of machines, those that are not gone meanwhile, and the fault with it.
func (r *faultRun) endsAfter(lasts time.Duration, ids []string, end emulator.MachineFault) {
	r.after(lasts, func() {
		for _, id := range ids {
			r.world.InjectFault(id, end)
		}
		r.over()
	})
}

// spotWave has a share of the spot machines leave at once.
func (r *faultRun) spotWave() {
	spot := 0
	r.world.InjectFaults(1<<20, "", func(_ string, isSpot bool) bool {
		if isSpot {
			spot++
		}
		return false
	})
	r.world.InjectFaults(int(r.number(0)*float64(spot)+0.5), emulator.ReclaimWithNotice, func(_ string, isSpot bool) bool { return isSpot })
	r.over()
}

func (r *faultRun) users() bool {
	if r.fault.Verb != "cancel-now" {
		return false
	}
	count, _ := strconv.Atoi(r.fault.Args[0])
	hangs := len(r.fault.Args) > 1
	hung := r.cancelNow(count, hangs, r.after)
	if !hangs {
		r.over()
		return true
	}
	r.endsAfter(r.duration(1), hung, emulator.Resume)
	return true
}
