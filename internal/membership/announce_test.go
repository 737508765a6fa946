package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// An announcement is complete once every required sibling has acknowledged it. A sibling that never
// acknowledges is no longer required once its session ends. An acknowledgement counts only for its own
// sibling and job.
func TestAnnouncementCompletesOnceRequiredSiblingsAcknowledge(t *testing.T) {
	var a Announcements
	alive := map[string]bool{"a": true, "b": true}
	required := func(name string) bool { return alive[name] }
	if a.Complete("wk-1", required) {
		t.Error("the announcement is complete before it began")
	}
	if !a.Begin("wk-1", []string{"a", "b"}) || !a.Begin("wk-2", []string{"a", "b"}) || a.Begin("wk-1", []string{"a", "b"}) {
		t.Error("Begin must report true exactly for a new announcement")
	}
	if due := a.Due("a"); !slices.Equal(due, []string{"wk-1", "wk-2"}) {
		t.Errorf("due to a: %v", due)
	}
	a.Acknowledge("a", []string{"wk-1", "wk-9"})
	if due := a.Due("a"); a.Complete("wk-1", required) || !slices.Equal(due, []string{"wk-2"}) {
		t.Errorf("b has not acknowledged wk-1; due to a: %v", due)
	}
	a.Acknowledge("b", []string{"wk-1"})
	if !a.Complete("wk-1", required) || a.Complete("wk-2", required) {
		t.Error("all siblings acknowledged wk-1 and none wk-2")
	}
	a.Acknowledge("a", []string{"wk-2"})
	alive["b"] = false // its session ended
	if !a.Complete("wk-2", required) {
		t.Error("b is no longer required")
	}
	a.Forget(func(job string) bool { return job == "wk-2" })
	if a.Complete("wk-2", required) || !a.Complete("wk-1", required) {
		t.Error("only wk-2 must be forgotten")
	}
}

// When many jobs are cancelled at once, each request names a limited number of them, and all are announced
// eventually.
func TestAnnouncementsAreSentInBatches(t *testing.T) {
	var a Announcements
	const jobs = 2*maxJobsPerAnnouncement + 5
	for k := range jobs {
		a.Begin(fmt.Sprintf("wk-%d", k), []string{"a"})
	}
	requests := 0
	for due := a.Due("a"); len(due) > 0; due = a.Due("a") {
		if requests++; len(due) > maxJobsPerAnnouncement || requests > 3 {
			t.Fatalf("%d jobs in request %d", len(due), requests)
		}
		a.Acknowledge("a", due)
	}
	if requests != 3 || !a.Complete("wk-4", func(string) bool { return true }) {
		t.Errorf("%d requests", requests)
	}
}

// An announcement is done once all siblings acknowledged it or the timeout has passed.
func TestAnnouncementDoneOnAcknowledgementOrTimeout(t *testing.T) {
	for _, c := range []struct {
		since    time.Duration
		complete bool
		want     bool
	}{{0, true, true}, {0, false, false}, {9 * time.Second, false, false}, {10 * time.Second, false, true}} {
		if done := AnnouncementDone(noon.Add(-c.since), c.complete, 10*time.Second, noon); done != c.want {
			t.Errorf("%+v: %v", c, done)
		}
	}
}
