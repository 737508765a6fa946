package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// closest are the experiments that came closest to a broken rule so far, the closest first. A hunt
// varies them instead of drawing all anew: a rule that breaks for one order of events in many is
// found next to those that nearly broke it.
type nearMisses struct{ all []nearMiss }

// nearMiss is an experiment and the largest share of the time allowed that the tasks of a cancelled
// job took to be gone.
type nearMiss struct {
	experiment *Experiment
	share      float64
}

// mostClosest bounds how many experiments are kept to be varied.
const maxNearMisses = 6

// add takes an experiment in, if it came close enough.
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

// draw draws one of them, the closer the likelier; nil if there is none.
func (c *nearMisses) pick(rng *rand.Rand) *Experiment {
	if len(c.all) == 0 {
		return nil
	}
	return c.all[min(rng.IntN(len(c.all)), rng.IntN(len(c.all)))].experiment
}

// Mutated is an experiment like another: up to three of its faults come earlier or later, last
// longer or shorter, strike more or fewer, are repeated, left out or joined by one drawn anew, or its load
// and luck are drawn with another seed.
func Mutate(e *Experiment, seed uint64) *Experiment {
	rng := randomSource(seed, "mutation")
	d := e.deployment()
	for {
		c := *e
		c.Name, c.Seeds = fmt.Sprintf("hunt-%d", seed), slices.Clone(e.Seeds)
		c.Faults = slices.Clone(e.Faults)
		for range 1 + rng.IntN(3) {
			c.mutateOnce(rng, &d)
		}
		slices.SortStableFunc(c.Faults, func(a, b Fault) int { return int(a.At - b.At) })
		if c.validate() == nil {
			return &c
		}
	}
}

// mostShift bounds by how much a fault is moved.
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

// varied is a time or a count that is smaller or larger by up to a third; anything else stays.
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
