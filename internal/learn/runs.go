// Package learn keeps what was seen of how long work takes, beside what its owners
// estimate: bounded, and forgetting, so that it follows when work changes.
package learn

import (
	"slices"
	"time"
)

const (
	// MaxClasses bounds the classes that are kept, and newest how many runs of each.
	MaxClasses = 64
	newest     = 64
	// enough runs were seen for them to count more than an estimate.
	enough = 5
)

// Runs are the run times of tasks, by class of jobs. The zero value is ready.
type Runs struct {
	classes map[string]*class
	clock   uint64
}

type class struct {
	ran  []time.Duration // a ring of the newest
	next int
	used uint64
}

// Note takes in how long a task ran that was completed. Of too many classes the one that
// was not heard of for longest is forgotten.
func (r *Runs) Note(name string, ran time.Duration) {
	if r.classes == nil {
		r.classes = map[string]*class{}
	}
	r.clock++
	c := r.classes[name]
	if c == nil {
		if len(r.classes) >= MaxClasses {
			oldest := ""
			for n, o := range r.classes {
				if oldest == "" || o.used < r.classes[oldest].used {
					oldest = n
				}
			}
			delete(r.classes, oldest)
		}
		c = &class{}
		r.classes[name] = c
	}
	c.used = r.clock
	if len(c.ran) < newest {
		c.ran = append(c.ran, ran)
		return
	}
	c.ran[c.next] = ran
	c.next = (c.next + 1) % newest
}

// Mean is how long tasks of a class run, by those seen lately without the longest and
// the shortest eighth, or, as long as few were seen, as their owner estimates.
func (r *Runs) Mean(name string, estimate time.Duration) time.Duration {
	c := r.classes[name]
	if c == nil || len(c.ran) < enough {
		return estimate
	}
	sorted := slices.Clone(c.ran)
	slices.Sort(sorted)
	cut := len(sorted) / 8
	sorted = sorted[cut : len(sorted)-cut]
	total := time.Duration(0)
	for _, d := range sorted {
		total += d
	}
	return total / time.Duration(len(sorted))
}
