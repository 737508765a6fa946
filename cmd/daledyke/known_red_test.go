package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Checks that known-red.sh skips exactly the listed tests, and refuses any entry that lacks a field, has
// one too many, or names no existing test, with the number of its line.
func TestKnownRed(t *testing.T) {
	list := func(text string) (skip, told string, err error) {
		file := filepath.Join(t.TempDir(), "known")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", "../../known-red.sh", file)
		var out, errs bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errs
		err = cmd.Run()
		return out.String(), errs.String(), err
	}
	const (
		burst  = "TestTraces/burst | bash test.sh, seed 3 | too slow | 35\n"
		quiet  = "TestTraces/quiet-day | bash test.sh | lost a task | #26\n"
		chain  = "TestTraces/chain | bash test.sh | never ended | 7\n"
		itself = " TestKnownRed|go test ./cmd/daledyke|it is here|27"
	)
	skip, told, err := list("# none but these\n\n" + burst + itself)
	if want := `^TestTraces$/^burst$|^TestKnownRed$`; err != nil || skip != want || strings.Count(told, "known to fail, skipped: ") != 2 ||
		!strings.Contains(told, "TestTraces/burst: too slow (bash test.sh, seed 3; issue 35)") {
		t.Errorf("skips %s, prints %s, %v", skip, told, err)
	}
	skip, told, err = list(burst + quiet + chain + itself)
	if want := `^TestTraces$/^burst$|^TestTraces$/^quiet-day$|^TestTraces$/^chain$|^TestKnownRed$`; err != nil || skip != want || strings.Count(told, "known to fail, skipped: ") != 4 {
		t.Errorf("four entries: skips %s, prints %s, %v", skip, told, err)
	}
	if skip, told, err := list("\n"); err != nil || skip+told != "" {
		t.Errorf("an empty list: %s, %s, %v", skip, told, err)
	}
	for text, place := range map[string]string{
		"TestTraces/burst | too slow\n":                             ":1: an entry is",
		"TestTraces/burst | bash test.sh | too slow\n":              ":1: an entry is",
		burst + "TestTraces/burst | bash test.sh | too slow | \n":   ":2: an entry is",
		burst + "TestTraces/burst | | too slow | 35\n":              ":2: an entry is",
		"TestTraces/burst | a | b | 1 | c\n":                        ":1: an entry is",
		"TestTraces/burst | bash test.sh | too slow | soon\n":       ":1: soon is not an issue number",
		"TestNothingOfTheKind | bash test.sh | no | 1\n":            ":1: there is no TestNothingOfTheKind",
		"TestTraces/no-such-day | bash test.sh | no | 1\n":          ":1: there is no trace no-such-day",
		burst + quiet + chain + "Test.* | bash test.sh | all | 1\n": ":4: Test.* is not the name of a test",
	} {
		if skip, told, err := list(text); err == nil || !strings.Contains(told, place) || skip != "" {
			t.Errorf("%q: %s, %s, %v", text, skip, told, err)
		}
	}
}
