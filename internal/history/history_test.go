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

// TestRuleViolations replays recorded histories. The name of each lists the rules that it violates in order,
// joined by "+"; those named sound violate none. The checker must report exactly these violations.
func TestRuleViolations(t *testing.T) {
	files, err := filepath.Glob("testdata/*.history")
	if err != nil || len(files) < 12 {
		t.Fatal("recorded histories are missing", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".history")
		t.Run(name, func(t *testing.T) {
			c := NewChecker(Deployment{Limits: map[string]protocol.Room{"bound": {Cores: 8}}, CancelWithin: 40 * time.Second})
			c.LimitAccount("free/a", 4)
			c.End(replay(t, file, c.Observe))
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
				t.Errorf("violations: %v", c.Violations())
			}
		})
	}
}

// replay passes the events of a recorded history to observe and returns the time of the last one.
func replay(t *testing.T, file string, observe func(Event)) (last time.Duration) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	err = read(bytes.NewReader(raw), func(e Event) error {
		last = e.At
		observe(e)
		return nil
	})
	if err != nil && !strings.Contains(err.Error(), "has no end") {
		t.Fatal(err)
	}
	return last
}

// A history truncated at any byte, or with a missing line, is rejected.
func TestTruncatedHistories(t *testing.T) {
	name := filepath.Join(t.TempDir(), "events.jsonl.gz")
	w, err := Create(name)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		w.Write(Event{At: time.Duration(n), Kind: NodeUp, Node: "c0"})
	}
	if _, err := os.Stat(name); err == nil {
		t.Error("the file has its final name before it is complete")
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
			t.Errorf("truncated after %d of %d bytes, and accepted", n, len(whole))
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
		t.Errorf("missing line: %v", err)
	}
	if err := read(strings.NewReader(lines[0]+"{\"at\":-1,\"kind\":\"up\"}\n"), func(Event) error { return nil }); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("event earlier than the previous one: %v", err)
	}
}

// Answers that no single store could give are detected.
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
		"sequential":                      {[]StateOp{set(1, 1, 2, 0, "a", true, 1), get(2, 3, 4, "a", 1)}, true},
		"read during a write":             {[]StateOp{set(1, 1, 9, 0, "a", true, 1), get(2, 3, 4, "", 0), get(2, 5, 6, "a", 1)}, true},
		"stale read":                      {[]StateOp{set(1, 1, 2, 0, "a", true, 1), get(2, 3, 4, "", 0)}, false},
		"value reverts":                   {[]StateOp{set(1, 1, 9, 0, "a", true, 1), get(2, 3, 4, "a", 1), get(2, 5, 6, "", 0)}, false},
		"conflicting writes both succeed": {[]StateOp{set(1, 1, 3, 0, "a", true, 1), set(2, 1, 3, 0, "b", true, 2)}, false},
		"unanswered and applied":          {[]StateOp{set(1, 1, 0, 0, "a", false, 0), get(2, 8, 9, "a", 1)}, true},
		"unanswered and not applied":      {[]StateOp{set(1, 1, 0, 0, "a", false, 0), get(2, 8, 9, "", 0)}, true},
		"lost update":                     {[]StateOp{set(1, 1, 2, 0, "a", true, 1), set(1, 3, 4, 1, "", true, 2), get(2, 5, 6, "a", 1)}, false},
		"same revision twice":             {[]StateOp{set(1, 1, 2, 0, "a", true, 1), set(1, 3, 4, 1, "b", true, 1)}, false},
	} {
		got, err := Linearizable(c.ops, 5*time.Second)
		if err != nil || got != c.want {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}
