package learn

import (
	"fmt"
	"testing"
	"time"
)

// The estimate counts until enough tasks ran. Then their run times do, without outliers, and the mean follows a
// class that suddenly runs three times longer.
func TestMeanFollowsRecentRunTimes(t *testing.T) {
	var r RunTimes
	if got := r.Mean("a", time.Minute); got != time.Minute {
		t.Errorf("no run times: %v", got)
	}
	for k := range 40 {
		ran := 10 * time.Second
		if k%10 == 0 {
			ran = time.Hour // a machine that hung
		}
		r.Record("a", ran)
	}
	if got := r.Mean("a", time.Minute); got != 10*time.Second {
		t.Errorf("mostly 10 s: %v", got)
	}
	for range 60 {
		r.Record("a", 30*time.Second)
	}
	if got := r.Mean("a", time.Minute); got != 30*time.Second {
		t.Errorf("three times as long since: %v", got)
	}
	for n := range 3 * MaxClasses {
		r.Record(fmt.Sprint(n), time.Second)
		r.Record("a", 30*time.Second)
	}
	if len(r.classes) > MaxClasses || r.Mean("a", 0) != 30*time.Second {
		t.Errorf("%d classes are kept", len(r.classes))
	}
}
