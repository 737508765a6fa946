package history

import (
	"path/filepath"
	"strings"
	"testing"

	"daledyke/internal/protocol"
)

// The name of each recorded history says what is served by less than half: a class, a team or a class's
// largest jobs, or that too few of the largest begin in time. In the histories named sound all are served,
// in one of them just within the limits.
func TestServedShares(t *testing.T) {
	files, err := filepath.Glob("testdata/served/*.history")
	if err != nil || len(files) < 8 {
		t.Fatal("recorded histories are missing", err)
	}
	for _, file := range files {
		s := Served{Limits: map[string]protocol.Room{"bound": {Cores: 8}}}
		shares := s.Shares(replay(t, file, s.Observe))
		name := strings.TrimSuffix(filepath.Base(file), ".history")
		want, _, _ := strings.Cut(name, "-")
		for kind, of := range map[string]map[string]float64{"class": shares.Classes, "team": shares.Teams, "largest": shares.Largest, "begun": shares.Begun} {
			who, share := Lowest(of)
			// A fault of a class or of its largest jobs may also show in other shares.
			switch low := share < 0.5; {
			case kind == want && !low, want == "sound" && share < 1, want == "begun" && kind != want && low, want == "largest" && kind == "class" && low:
				t.Errorf("%s: %s %s has share %.2f: %+v", name, kind, who, share, shares)
			case kind == want && kind == "team" && who != "guest":
				t.Errorf("%s: lowest share is of team %s", name, who)
			}
		}
	}
}
