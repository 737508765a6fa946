package lab

import (
	"strconv"
	"sync"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/history"
)

// inject begins a fault; after runs a function later on the same goroutine.
func (b *faultInjector) inject(f Fault, after func(time.Duration, func())) {
	b.note(history.Event{Kind: history.FaultBegins, Cause: f.String()})
	duration, _ := time.ParseDuration(f.Args[0])
	active := &activeFault{
		faultInjector: b,
		fault:         f,
		after:         after,
		duration:      duration,
		// A crash of all controllers ends once: they restart at the same moment, and the first records the end.
		markEnded: sync.OnceFunc(func() { b.note(history.Event{Kind: history.FaultEnds, Cause: f.String()}) }),
	}
	for _, begin := range []func() bool{active.beginStateFault, active.beginCloudFault, active.beginControllerFault, active.beginMessageFault, active.beginMachineFault, active.beginUserFault} {
		if begin() {
			return
		}
	}
}

// activeFault is a fault in progress. Each begin method handles the faults of one component and returns false
// for other kinds.
type activeFault struct {
	*faultInjector
	fault     Fault
	after     func(time.Duration, func())
	duration  time.Duration
	markEnded func()
}

// whileActive applies set while at least one fault with this name is in progress.
func (r *activeFault) whileActive(name string, set func(active bool)) {
	if r.active[name]++; r.active[name] == 1 {
		set(true)
	}
	r.after(r.duration, func() {
		if r.active[name]--; r.active[name] == 0 {
			set(false)
		}
		r.markEnded()
	})
}

// floatArg returns an argument that is a share, a factor or a count.
func (r *activeFault) floatArg(n int) float64 {
	v, _ := strconv.ParseFloat(r.fault.Args[n], 64)
	return v
}

// durationArg returns an argument that is a duration.
func (r *activeFault) durationArg(n int) time.Duration {
	v, _ := time.ParseDuration(r.fault.Args[n])
	return v
}

func (r *activeFault) beginStateFault() bool {
	state := r.world.State
	switch kind := r.fault.Kind; kind {
	case "state-outage":
		r.whileActive(kind, state.SetOutage)
	case "state-refuses":
		node := r.fault.Args[1]
		r.whileActive(kind+node, func(active bool) { state.SetRefused(node, active) })
	case "state-slow":
		r.whileActive(kind, func(active bool) { state.DelayAnswers(valueIf(active, r.durationArg(1))) })
	case "state-late":
		r.whileActive(kind, func(active bool) { state.DelayTransactions(valueIf(active, r.durationArg(1))) })
	case "state-unheard":
		r.whileActive(kind, func(active bool) { state.DropAnswers(valueIf(active, r.floatArg(1))) })
	case "state-lags":
		node := r.fault.Args[1]
		r.whileActive(kind+node, func(active bool) { state.DelayWatches(node, valueIf(active, r.durationArg(2))) })
	case "state-writes":
		r.whileActive(kind, r.limitWrites)
	default:
		return false
	}
	return true
}

// limitWrites reduces the state service's write rate to a share.
func (r *activeFault) limitWrites(active bool) {
	limits := r.deployment.State
	if active {
		limits.WriteRPS = max(1, limits.WriteRPS*r.floatArg(1))
	}
	r.world.State.SetLimits(limits)
}

func (r *activeFault) beginCloudFault() bool {
	switch kind := r.fault.Kind; kind {
	case "cloud-outage":
		r.whileActive(kind, r.world.SetCloudOutage)
	case "cloud-late":
		r.whileActive(kind, func(active bool) { r.world.DelayCloudRequests(valueIf(active, r.durationArg(1))) })
	case "capacity":
		r.whileActive(kind, func(active bool) {
			share := 1.0
			if active {
				share = r.floatArg(1)
			}
			r.world.SetCapacity(int(float64(r.deployment.Machines) * share))
		})
	case "boots":
		r.whileActive(kind, func(active bool) {
			factor := 1.0
			if active {
				factor = r.floatArg(1)
			}
			r.world.SetBootFactor(factor)
		})
	default:
		return false
	}
	return true
}

func (r *activeFault) beginControllerFault() bool {
	switch kind := r.fault.Kind; kind {
	case "crash":
		names := []string{r.fault.Args[1]}
		if r.fault.Args[1] == "all" {
			names = r.deployment.Controllers
		}
		for _, name := range names {
			r.whileActive("crash "+name, func(active bool) { r.setCrashed(name, active) })
		}
	case "hangs":
		node := r.fault.Args[1]
		r.whileActive(kind+node, func(active bool) {
			if err := r.launcher.hang(node, active); err != nil && active {
				r.fail(err)
			}
		})
	default:
		return false
	}
	return true
}

// beginMessageFault handles faults of message delivery: cuts, duplicates and delays.
func (r *activeFault) beginMessageFault() bool {
	name := r.fault.String()
	switch kind := r.fault.Kind; kind {
	case "late-commands":
		r.whileActive(kind, func(active bool) { r.world.DelayCommands(valueIf(active, r.floatArg(1))) })
	case "kept-reports":
		r.whileActive(kind, r.world.ReplayReports)
	case "echoes":
		r.whileActive(kind, func(active bool) { r.world.DuplicateReports(valueIf(active, r.durationArg(1))) })
	case "repeats":
		r.whileActive(kind, func(active bool) { r.world.RepeatRequests(valueIf(active, r.durationArg(1))) })
	case "cut":
		r.whileActive(name, func(active bool) { r.setCut(name, active, nodeCut(r.fault.Args[1], r.fault.Args[2])) })
	case "cut-zone":
		zones := r.zoneLookup()
		r.whileActive(name, func(active bool) { r.setCut(name, active, zoneCut(r.fault.Args[1], zones)) })
	default:
		return false
	}
	return true
}

func (r *activeFault) beginMachineFault() bool {
	switch r.fault.Kind {
	case "machines":
		trouble := r.fault.Args[0]
		count, _ := strconv.Atoi(r.fault.Args[1])
		affected := r.world.InjectFaults(count, machineTroubles[trouble], func(string, bool) bool { return true })
		if len(r.fault.Args) < 3 || troubleEnds[trouble] == "" {
			r.markEnded()
			break
		}
		r.endTroubleAfter(r.durationArg(2), affected, troubleEnds[trouble])
	case "spot-wave":
		r.spotWave()
	default:
		return false
	}
	return true
}

// endTroubleAfter ends a trouble of machines after a delay, and the fault with it. Machines that are gone by
// then are skipped.
func (r *activeFault) endTroubleAfter(delay time.Duration, ids []string, end emulator.MachineFault) {
	r.after(delay, func() {
		for _, id := range ids {
			r.world.InjectFault(id, end)
		}
		r.markEnded()
	})
}

// spotWave makes a share of the spot machines leave at once.
func (r *activeFault) spotWave() {
	spot := 0
	r.world.InjectFaults(1<<20, "", func(_ string, isSpot bool) bool {
		if isSpot {
			spot++
		}
		return false
	})
	r.world.InjectFaults(int(r.floatArg(0)*float64(spot)+0.5), emulator.ReclaimWithNotice, func(_ string, isSpot bool) bool { return isSpot })
	r.markEnded()
}

func (r *activeFault) beginUserFault() bool {
	if r.fault.Kind != "cancel-now" {
		return false
	}
	count, _ := strconv.Atoi(r.fault.Args[0])
	hangs := len(r.fault.Args) > 1
	hung := r.cancelNow(count, hangs, r.after)
	if !hangs {
		r.markEnded()
		return true
	}
	r.endTroubleAfter(r.durationArg(1), hung, emulator.Resume)
	return true
}
