package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// nearMisses holds the experiments that came closest to a violation so far, the closest first. A hunt mutates
// them besides generating new experiments: a violation that needs a rare order of events is more likely found
// near an experiment that almost caused it.
type nearMisses struct{ all []nearMiss }

// nearMiss is an experiment with the longest time that the tasks of a cancelled job took to end, as a share
// of the time allowed.
type nearMiss struct {
	experiment *Experiment
	share      float64
}

// maxNearMisses bounds the number of experiments kept for mutation.
const maxNearMisses = 6

// add inserts an experiment if it is among the closest.
func (c *nearMisses) add(e *Experiment, share float64) {
	if share <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(c.all, share, func(m nearMiss, s float64) int {
		if m.share > s {
			return -1
		}
		return 1
	})
	c.all = slices.Insert(c.all, at, nearMiss{e, share})
	c.all = c.all[:min(len(c.all), maxNearMisses)]
}

// pick returns a random near miss, preferring closer ones; nil if there is none.
func (c *nearMisses) pick(rng *rand.Rand) *Experiment {
	if len(c.all) == 0 {
		return nil
	}
	return c.all[min(rng.IntN(len(c.all)), rng.IntN(len(c.all)))].experiment
}

// Mutate returns a variation of an experiment by up to three changes: a fault is moved in time, its duration
// or count is changed, it is repeated or removed, a random fault is added, or the seed is replaced.
func Mutate(e *Experiment, seed uint64) *Experiment {
	rng := randomSource(seed, "mutation")
	d := e.deployment()
	for {
		mutated := *e
		mutated.Name, mutated.Seeds = fmt.Sprintf("hunt-%d", seed), slices.Clone(e.Seeds)
		mutated.Faults = slices.Clone(e.Faults)
		for range 1 + rng.IntN(3) {
			mutated.mutateOnce(rng, &d)
		}
		slices.SortStableFunc(mutated.Faults, func(a, b Fault) int { return int(a.At - b.At) })
		if mutated.validate() == nil {
			return &mutated
		}
	}
}

// maxShift bounds the change of a fault's time.
const maxShift = 6 * time.Second

func (e *Experiment) mutateOnce(rng *rand.Rand, d *Deployment) {
	if len(e.Faults) == 0 || rng.IntN(6) == 0 {
		e.Faults = append(e.Faults, randomFault(rng, d, e.Length))
		return
	}
	k := rng.IntN(len(e.Faults))
	f := &e.Faults[k]
	shift := func(at time.Duration) time.Duration {
		by := time.Duration(rng.Int64N(int64(2*maxShift))) - maxShift
		return min(max(0, at+by), e.Length*9/10).Round(100 * time.Millisecond)
	}
	switch rng.IntN(6) {
	case 0, 1:
		f.At = shift(f.At)
	case 2, 3:
		f.Args = slices.Clone(f.Args)
		n := rng.IntN(len(f.Args))
		f.Args[n] = varyArg(f.Args[n], rng)
	case 4:
		again := *f
		again.At = shift(f.At)
		e.Faults = append(e.Faults, again)
	default:
		if len(e.Faults) > 2 && rng.IntN(2) == 0 {
			e.Faults = slices.Delete(e.Faults, k, k+1)
			return
		}
		e.Seeds = []uint64{rng.Uint64() >> 1}
	}
}

// varyArg changes a duration or a count by up to a third; other arguments stay unchanged.
func varyArg(arg string, rng *rand.Rand) string {
	factor := 2.0/3 + 2.0/3*rng.Float64()
	if d, err := time.ParseDuration(arg); err == nil {
		return max(50*time.Millisecond, time.Duration(float64(d)*factor)).Round(10 * time.Millisecond).String()
	}
	if n, err := strconv.Atoi(arg); err == nil {
		return strconv.Itoa(max(1, int(float64(n)*factor+0.5)))
	}
	return arg
}
