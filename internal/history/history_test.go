package history

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"daledyke/internal/protocol"
)

// TestBrokenRules replays kept histories, each of which breaks the rule that it is named
// after, or the rules, in their order, with "+" between them; those named sound break none.
// The checker must see every one, and nothing else.
func TestBrokenRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.history")
	if err != nil || len(files) < 12 {
		t.Fatal("histories are missing", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".history")
		t.Run(name, func(t *testing.T) {
			c := NewChecker(Deployment{Limits: map[string]protocol.Room{"bound": {Cores: 8}}, CancelWithin: 40 * time.Second})
			c.LimitAccount("free/a", 4)
			c.End(readKept(t, file, c.Note))
			want, _, _ := strings.Cut(name, "-")
			got := "sound"
			for n, v := range c.Violations() {
				if rule := strings.ReplaceAll(v.Rule, " ", "_"); n == 0 {
					got = rule
				} else {
					got += "+" + rule
				}
			}
			if got != want {
				t.Errorf("broken: %v", c.Violations())
			}
		})
	}
}

// readKept has a kept history noted, event by event, and gives the time of its last.
func readKept(t *testing.T, file string, note func(Event)) (last time.Duration) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	err = read(bytes.NewReader(raw), func(e Event) error {
		last = e.At
		note(e)
		return nil
	})
	if err != nil && !strings.Contains(err.Error(), "has no end") {
		t.Fatal(err)
	}
	return last
}

// A history that was cut short at any byte is no result, nor is one with a gap.
func TestHistoriesCutShort(t *testing.T) {
	name := filepath.Join(t.TempDir(), "events.jsonl.gz")
	w, err := Create(name)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		w.Write(Event{At: time.Duration(n), Kind: NodeUp, Node: "c0"})
	}
	if _, err := os.Stat(name); err == nil {
		t.Error("the file has its name before it is whole")
	}
	if err := w.Close(time.Second); err != nil {
		t.Fatal(err)
	}
	count := 0
	if err := Read(name, func(Event) error { count++; return nil }); err != nil || count != 50 {
		t.Errorf("%d events, %v", count, err)
	}
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		cut := filepath.Join(t.TempDir(), "cut.gz")
		if err := os.WriteFile(cut, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if Read(cut, func(Event) error { return nil }) == nil {
			t.Errorf("cut after %d of %d bytes, and taken for whole", n, len(whole))
		}
	}
	zip, err := gzip.NewReader(bytes.NewReader(whole))
	if err != nil {
		t.Fatal(err)
	}
	var plain bytes.Buffer
	if _, err := plain.ReadFrom(zip); err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(plain.String(), "\n")
	gap := strings.Join(append(lines[:7:7], lines[8:]...), "")
	if err := read(strings.NewReader(gap), func(Event) error { return nil }); err == nil || !strings.Contains(err.Error(), "line 50") {
		t.Errorf("a line is missing: %v", err)
	}
	if err := read(strings.NewReader(lines[0]+"{\"at\":-1,\"kind\":\"up\"}\n"), func(Event) error { return nil }); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("back in time: %v", err)
	}
}

// Answers that no single store would give are seen.
func TestLinearizable(t *testing.T) {
	set := func(client int, call, end time.Duration, version uint64, value string, ok bool, revision uint64) StateOp {
		return StateOp{Client: client, Call: call, Return: end, If: map[string]uint64{"k": version}, Set: map[string]string{"k": value}, OK: ok, Revision: revision}
	}
	get := func(client int, call, end time.Duration, value string, version uint64) StateOp {
		return StateOp{Client: client, Call: call, Return: end, Read: "k", OK: value != "", Value: value, Revision: version}
	}
	for name, c := range map[string]struct {
		ops  []StateOp
		want bool
	}{
		"in turn":              {[]StateOp{set(1, 1, 2, 0, "a", true, 1), get(2, 3, 4, "a", 1)}, true},
		"read while it is set": {[]StateOp{set(1, 1, 9, 0, "a", true, 1), get(2, 3, 4, "", 0), get(2, 5, 6, "a", 1)}, true},
		"a stale reading":      {[]StateOp{set(1, 1, 2, 0, "a", true, 1), get(2, 3, 4, "", 0)}, false},
		"back again":           {[]StateOp{set(1, 1, 9, 0, "a", true, 1), get(2, 3, 4, "a", 1), get(2, 5, 6, "", 0)}, false},
		"both win":             {[]StateOp{set(1, 1, 3, 0, "a", true, 1), set(2, 1, 3, 0, "b", true, 2)}, false},
		"unanswered, and done": {[]StateOp{set(1, 1, 0, 0, "a", false, 0), get(2, 8, 9, "a", 1)}, true},
		"unanswered, and not":  {[]StateOp{set(1, 1, 0, 0, "a", false, 0), get(2, 8, 9, "", 0)}, true},
		"a lost change":        {[]StateOp{set(1, 1, 2, 0, "a", true, 1), set(1, 3, 4, 1, "", true, 2), get(2, 5, 6, "a", 1)}, false},
		"a revision twice":     {[]StateOp{set(1, 1, 2, 0, "a", true, 1), set(1, 3, 4, 1, "b", true, 1)}, false},
	} {
		got, err := Linearizable(c.ops, 5*time.Second)
		if err != nil || got != c.want {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}
