package lab

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daledyke/internal/history"
)

// CancelSummary is how fast the tasks of cancelled jobs were gone, as a part of the time that the
// protocol allows.
type CancelSummary struct {
	// Jobs is how many jobs users were told are cancelled.
	Jobs int `json:"jobs"`
	// Within is the time allowed from then, WorstShare the largest part of it that any took.
	Within     time.Duration `json:"within"`
	WorstShare float64       `json:"worstShare"`
	// Took is a histogram of milliseconds of all that had tasks somewhere, as HdrHistogram encodes it.
	Took []byte `json:"took"`
	// StartedAfter is how many commands to start were carried out after the answer, SentAfter how
	// many of those had also been sent after it.
	StartedAfter int `json:"startedAfter"`
	SentAfter    int `json:"sentAfter"`
	// Worst are the slowest, at most worstCancelled.
	Worst []history.Cancellation `json:"worst,omitempty"`
}

// worstCancelled bounds how many cancelled jobs are told one by one.
const worstCancelled = 5

// summarizeCancelled sums up what became of cancelled jobs, given the slowest first.
func summarizeCancelled(all []history.Cancellation, within time.Duration) (CancelSummary, error) {
	s := CancelSummary{Jobs: len(all), Within: within}
	took := newHistogram()
	for k := range all {
		c := &all[k]
		s.StartedAfter += c.StartedAfter
		s.SentAfter += c.SentAfter
		if c.Duration() > 0 {
			record(took, c.Duration())
		}
		if k < worstCancelled && c.Duration() > 0 {
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

// describe tells one slow cancellation in a line.
func describe(c *history.Cancellation, within time.Duration) string {
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
