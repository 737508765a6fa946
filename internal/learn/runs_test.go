package learn

import (
	"fmt"
	"testing"
	"time"
)

// Estimates count until enough was seen; then what was seen does, without what is far off, and
// a class that suddenly runs three times longer is followed.
func TestRunsFollowWhatIsSeen(t *testing.T) {
	var r Runs
	if got := r.Mean("a", time.Minute); got != time.Minute {
		t.Errorf("nothing seen: %v", got)
	}
	for k := range 40 {
		ran := 10 * time.Second
		if k%10 == 0 {
			ran = time.Hour // a machine that stood still
		}
		r.Note("a", ran)
	}
	if got := r.Mean("a", time.Minute); got != 10*time.Second {
		t.Errorf("mostly 10s: %v", got)
	}
	for range 60 {
		r.Note("a", 30*time.Second)
	}
	if got := r.Mean("a", time.Minute); got != 30*time.Second {
		t.Errorf("three times as long since: %v", got)
	}
	for n := range 3 * MaxClasses {
		r.Note(fmt.Sprint(n), time.Second)
		r.Note("a", 30*time.Second)
	}
	if len(r.classes) > MaxClasses || r.Mean("a", 0) != 30*time.Second {
		t.Errorf("%d classes are kept", len(r.classes))
	}
}
