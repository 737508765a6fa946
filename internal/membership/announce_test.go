package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A cancellation is announced once every sibling that may act acknowledged it: one that never does
// counts for as long as it may act, and what one sibling says counts for no other and no other job.
func TestAnnouncementsNeedEverySiblingThatMayAct(t *testing.T) {
	var a Announcements
	living := map[string]bool{"a": true, "b": true}
	mayAct := func(name string) bool { return living[name] }
	if a.Complete("wk-1", mayAct) {
		t.Error("complete before it began")
	}
	if !a.Begin("wk-1", []string{"a", "b"}) || !a.Begin("wk-2", []string{"a", "b"}) || a.Begin("wk-1", []string{"a", "b"}) {
		t.Error("begun twice, or not at all")
	}
	if due := a.Due("a"); !slices.Equal(due, []string{"wk-1", "wk-2"}) {
		t.Errorf("a is due %v", due)
	}
	a.Acknowledge("a", []string{"wk-1", "wk-9"})
	if due := a.Due("a"); a.Complete("wk-1", mayAct) || !slices.Equal(due, []string{"wk-2"}) {
		t.Errorf("b did not acknowledge wk-1, a is due %v", due)
	}
	a.Acknowledge("b", []string{"wk-1"})
	if !a.Complete("wk-1", mayAct) || a.Complete("wk-2", mayAct) {
		t.Error("all acknowledged wk-1, nobody wk-2")
	}
	a.Acknowledge("a", []string{"wk-2"})
	living["b"] = false // its session ended
	if !a.Complete("wk-2", mayAct) {
		t.Error("b may not act any more")
	}
	a.Forget(func(job string) bool { return job == "wk-2" })
	if a.Complete("wk-2", mayAct) || !a.Complete("wk-1", mayAct) {
		t.Error("wk-2 alone is to be forgotten")
	}
}

// However many jobs are cancelled at once, so many are named in a request, and all in the end.
func TestAnnouncementsAreNamedInParts(t *testing.T) {
	var a Announcements
	const jobs = 2*maxJobsPerAnnouncement + 5
	for k := range jobs {
		a.Begin(fmt.Sprintf("wk-%d", k), []string{"a"})
	}
	rounds := 0
	for due := a.Due("a"); len(due) > 0; due = a.Due("a") {
		if rounds++; len(due) > maxJobsPerAnnouncement || rounds > 3 {
			t.Fatalf("%d jobs in request %d", len(due), rounds)
		}
		a.Acknowledge("a", due)
	}
	if rounds != 3 || !a.Complete("wk-4", func(string) bool { return true }) {
		t.Errorf("%d requests", rounds)
	}
}

// Users wait for siblings for so long and no longer.
func TestUsersAreToldOnceSiblingsKnowOrWereWaitedFor(t *testing.T) {
	for _, c := range []struct {
		since    time.Duration
		complete bool
		may      bool
	}{{0, true, true}, {0, false, false}, {9 * time.Second, false, false}, {10 * time.Second, false, true}} {
		if may := AnnouncementDone(noon.Add(-c.since), c.complete, 10*time.Second, noon); may != c.may {
			t.Errorf("%+v: %v", c, may)
		}
	}
}
