package learn

import (
	"fmt"
	"testing"
	"time"
)

// The estimate is used until enough tasks have completed, then the mean of their run times without outliers. The
// mean follows a class whose tasks suddenly run three times longer.
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
