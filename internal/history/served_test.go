package history

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Kept histories in which a class or a team is served by less than half, as their names
// say, and one in which all are.
func TestWhoIsServedLeast(t *testing.T) {
	files, err := filepath.Glob("testdata/served/*.history")
	if err != nil || len(files) < 5 {
		t.Fatal("histories are missing", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var s Served
		last := time.Duration(0)
		if err := read(bytes.NewReader(raw), func(e Event) error {
			last = e.At
			s.Note(e)
			return nil
		}); err != nil && !strings.Contains(err.Error(), "has no end") {
			t.Fatal(err)
		}
		classes, teams := s.Shares(last)
		class, ofClass := Lowest(classes)
		team, ofTeam := Lowest(teams)
		name := strings.TrimSuffix(filepath.Base(file), ".history")
		kind, _, _ := strings.Cut(name, "-")
		if low := map[string]bool{"sound": false, "class": true, "team": false}[kind]; (ofClass < 0.5) != low {
			t.Errorf("%s: class %s is served by %.2f", name, class, ofClass)
		}
		if kind == "sound" && (ofTeam < 1 || ofClass < 1) || kind == "team" && (team != "guest" || ofTeam >= 0.5) {
			t.Errorf("%s: classes %v, teams %v", name, classes, teams)
		}
	}
}
