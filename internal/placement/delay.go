package placement

import (
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

const (
	// fetchMargin is the part of the start-time target that must be left to fetch the image after all if no
	// room comes free during the delay.
	fetchMargin = 10 * time.Second
	// maxDelay bounds the delay, however long the fetch. With a delay of 25 s to avoid a fetch of 50 s,
	// arrays ended late where machines had been lost, and nothing was saved.
	maxDelay = 5 * time.Second
)

// RunEstimate is the room that a running task uses and the mean run time of such tasks, 0 if they do not end
// by themselves.
type RunEstimate struct {
	Need protocol.Room
	Mean time.Duration
}

// ReleaseRate is how often per second room for a task comes free on machines that have its image, by the
// run times of the tasks there. A task is taken to be equally likely to end at any time, since owners'
// estimates say little about a single task. wantedImages holds the images that waiting tasks need. The room
// that a machine frees is divided among its wanted images: when it counted in full for each of them, far more
// tasks waited after a loss of machines than there was room for.
func (p *Placer) ReleaseRate(machines []*board.Machine, wantedImages map[string]bool, estimate func(*board.Instance) RunEstimate) (rate float64) {
	need := p.Spec.Need()
	for _, m := range machines {
		if !slices.Contains(m.Images, p.Spec.Image) || slices.Contains(m.Pulling, p.Spec.Image) || !p.allowed(m) {
			continue
		}
		free := m.FreeRoom()
		share := 1 / float64(CountWantedImages(m, wantedImages))
		for _, i := range m.Instances {
			if !i.Running() {
				continue
			}
			if e := estimate(i); e.Mean > 0 && free.Add(e.Need).Fits(need) {
				rate += share / e.Mean.Seconds()
			}
		}
	}
	return rate
}

// CountWantedImages is how many of a machine's images are wanted, at least one.
func CountWantedImages(m *board.Machine, wantedImages map[string]bool) (n int) {
	for _, image := range m.Images {
		if wantedImages[image] {
			n++
		}
	}
	return max(1, n)
}

// TasksToDelay is how many tasks of a job should wait for room on machines that have their image rather than
// start on machines that must fetch it (delay scheduling). Such room comes free rate times a second,
// othersWaiting other tasks wait for the same image, and the job has waited for waited of its startTarget.
// fetchShare is the share of the fetch time that a delay may take: the room is only expected, the fetch is
// certain.
func TasksToDelay(fetchShare, rate float64, othersWaiting int, fetch, waited, startTarget time.Duration) int {
	delay := min(maxDelay, time.Duration(fetchShare*float64(fetch)))
	if left := startTarget - fetchMargin - fetch - waited; left > 0 {
		delay = min(delay, left)
	} else if waited < startTarget {
		return 0 // an immediate fetch may still meet the target
	}
	return max(0, int(rate*delay.Seconds())-othersWaiting)
}
