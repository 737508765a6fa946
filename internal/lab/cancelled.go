package lab

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daledyke/internal/history"
)

// CancelSummary summarizes how fast the tasks of cancelled jobs ended, relative to the time that the protocol
// allows.
type CancelSummary struct {
	// Jobs is the number of jobs whose cancellation was confirmed to the user.
	Jobs int `json:"jobs"`
	// Within is the time allowed after the confirmation, WorstShare the longest time taken as a share of it.
	Within     time.Duration `json:"within"`
	WorstShare float64       `json:"worstShare"`
	// Took is a histogram, in milliseconds and HdrHistogram's encoding, of the jobs that still had tasks when
	// the cancellation was confirmed.
	Took []byte `json:"took"`
	// StartedAfter is the number of start commands carried out after the confirmation, SentAfter the number
	// of these that were also sent after it.
	StartedAfter int `json:"startedAfter"`
	SentAfter    int `json:"sentAfter"`
	// Worst are the slowest cancellations, at most maxWorstCancelled.
	Worst []history.Cancellation `json:"worst,omitempty"`
}

// maxWorstCancelled bounds the number of cancellations that are reported individually.
const maxWorstCancelled = 5

// summarizeCancelled summarizes cancellations, which are sorted from the slowest.
func summarizeCancelled(all []history.Cancellation, within time.Duration) (CancelSummary, error) {
	s := CancelSummary{Jobs: len(all), Within: within}
	took := newHistogram()
	for k := range all {
		c := &all[k]
		s.StartedAfter += c.StartedAfter
		s.SentAfter += c.SentAfter
		if c.Duration() > 0 {
			recordDuration(took, c.Duration())
		}
		if k < maxWorstCancelled && c.Duration() > 0 {
			s.Worst = append(s.Worst, *c)
		}
	}
	if len(all) > 0 && within > 0 {
		s.WorstShare = float64(all[0].Duration()) / float64(within)
	}
	raw, err := took.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	s.Took = raw
	return s, err
}

// describeCancellation describes a slow cancellation in one line.
func describeCancellation(c *history.Cancellation, within time.Duration) string {
	line := fmt.Sprintf("%s, told at %v, lasted %v of %v", c.Job, c.AnsweredAt.Round(time.Millisecond), c.Duration().Round(time.Millisecond), within)
	if c.Task != "" {
		line += fmt.Sprintf("; last was %s on %s", c.Task, c.Machine)
		if c.Cause != "" {
			line += " (" + c.Cause + ")"
		}
	}
	if c.StartedAfter > 0 {
		line += fmt.Sprintf("; %d started after the answer, %d of them sent after it", c.StartedAfter, c.SentAfter)
	}
	if c.Remaining > 0 {
		line += fmt.Sprintf("; %d tasks are still there", c.Remaining)
	}
	return line
}
