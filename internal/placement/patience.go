package placement

import (
	"slices"
	"time"

	"daledyke/internal/board"
	"daledyke/internal/protocol"
)

const (
	// inTime is what of an aim must be left for a fetch after all, when waiting was in vain.
	inTime = 10 * time.Second
	// mostPatience bounds the wait, however long the fetch: with 25 s of hope in place of a
	// fetch of 50 s arrays ended late where machines had been lost, and nothing was saved.
	mostPatience = 5 * time.Second
)

// Ending is what is known of a task that runs: what it takes, and how long such tasks run,
// 0 if they don't end by themselves.
type Ending struct {
	Need protocol.Room
	Mean time.Duration
}

// Ends is how often a second room for a task comes free on machines that have its image, by
// the run times of what is there; tasks are taken to end at any time alike, since owners'
// estimates say little of a single one. What comes free on a machine is shared out among the
// images that it has and that are wanted; once it counted for each, and after a loss of
// machines far more tasks waited for it than it had room for.
func (p *Placing) Ends(machines []*board.Machine, wanted map[string]bool, of func(*board.Instance) Ending) (rate float64) {
	need := p.Spec.Need()
	for _, m := range machines {
		if !slices.Contains(m.Images, p.Spec.Image) || slices.Contains(m.Pulling, p.Spec.Image) || !p.allowed(m) {
			continue
		}
		free := m.Free.Sub(m.Promised)
		share := 1 / float64(Wanted(m, wanted))
		for _, i := range m.Instances {
			if !i.Running() {
				continue
			}
			if e := of(i); e.Mean > 0 && free.Add(e.Need).Fits(need) {
				rate += share / e.Mean.Seconds()
			}
		}
	}
	return rate
}

// Wanted is how many of a machine's images are wanted, one at least.
func Wanted(m *board.Machine, wanted map[string]bool) (n int) {
	for _, image := range m.Images {
		if wanted[image] {
			n++
		}
	}
	return max(1, n)
}

// Hold is how many tasks of a job had better wait for room where their image is than be
// started where it must be fetched, if room comes free there so often a second, ahead others
// wait for the same image, and the job waited for so long of what its aim allows to start.
// patience is for which part of a fetch it is worth to wait: what comes free is hoped for,
// the fetch is sure.
func Hold(patience, rate float64, ahead int, fetch, waited, within time.Duration) int {
	worth := min(mostPatience, time.Duration(patience*float64(fetch)))
	if left := within - inTime - fetch - waited; left > 0 {
		worth = min(worth, left)
	} else if waited < within {
		return 0 // fetched at once it may yet be in time
	}
	return max(0, int(rate*worth.Seconds())-ahead)
}
