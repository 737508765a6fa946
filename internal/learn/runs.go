// Package learn keeps observed run times of tasks, to be used in place of their owners' estimates. The history
// is bounded and forgets old runs, so that it follows changes in the work.
package learn

import (
	"slices"
	"time"
)

const (
	// MaxClasses bounds the classes that are kept, and maxSamples the latest run times of each.
	MaxClasses = 64
	maxSamples = 64
	// minSamples is how many run times it takes to replace the estimate.
	minSamples = 5
)

// RunTimes holds the run times of tasks, by class of jobs. The zero value is ready to use.
type RunTimes struct {
	classes map[string]*class
	clock   uint64
}

type class struct {
	samples  []time.Duration // a ring buffer of the latest
	next     int
	lastUsed uint64
}

// Record adds the run time of a completed task. When there are too many classes, the least recently used is
// dropped.
func (r *RunTimes) Record(name string, runTime time.Duration) {
	if r.classes == nil {
		r.classes = map[string]*class{}
	}
	r.clock++
	c := r.classes[name]
	if c == nil {
		if len(r.classes) >= MaxClasses {
			oldest := ""
			for n, o := range r.classes {
				if oldest == "" || o.lastUsed < r.classes[oldest].lastUsed {
					oldest = n
				}
			}
			delete(r.classes, oldest)
		}
		c = &class{}
		r.classes[name] = c
	}
	c.lastUsed = r.clock
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, runTime)
		return
	}
	c.samples[c.next] = runTime
	c.next = (c.next + 1) % maxSamples
}

// Mean is the mean run time of a class's latest tasks without the longest and the shortest eighth, or the
// estimate while there are fewer than minSamples.
func (r *RunTimes) Mean(name string, estimate time.Duration) time.Duration {
	c := r.classes[name]
	if c == nil || len(c.samples) < minSamples {
		return estimate
	}
	sorted := slices.Clone(c.samples)
	slices.Sort(sorted)
	trim := len(sorted) / 8
	sorted = sorted[trim : len(sorted)-trim]
	total := time.Duration(0)
	for _, d := range sorted {
		total += d
	}
	return total / time.Duration(len(sorted))
}
