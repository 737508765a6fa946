package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Tests that are known to fail are passed over by name alone, three at most, and each with its
// cause and issue; anything else in the list is refused with its place.
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
	const burst, quiet = "TestTraces/burst | too slow | 35\n", "TestTraces/quiet-day | why not | #26\n"
	skip, told, err := list("# none but these\n\n" + burst + " TestKnownRed|it is here|27")
	if want := `^TestTraces$/^burst$|^TestKnownRed$`; err != nil || skip != want || strings.Count(told, "passed over") != 2 || !strings.Contains(told, "too slow (issue 35)") {
		t.Errorf("passes over %s, tells %s, %v", skip, told, err)
	}
	if skip, told, err := list("\n"); err != nil || skip+told != "" {
		t.Errorf("an empty list: %s, %s, %v", skip, told, err)
	}
	for text, place := range map[string]string{
		"TestTraces/burst | too slow\n":            ":1: it takes",
		burst + "TestTraces/burst | too slow | \n": ":2: it takes",
		"TestTraces/burst | a | 1 | b\n":           ":1: it takes",
		"TestTraces/burst | too slow | soon\n":     ":1: soon is no issue",
		"TestNothingOfTheKind | no | 1\n":          ":1: there is no TestNothingOfTheKind",
		"TestTraces/no-such-day | no | 1\n":        ":1: there is no trace no-such-day",
		"Test.* | all | 1\n":                       ":1: Test.* is not a test's name",
		burst + quiet + burst + "\n" + quiet:       ":5: more than 3",
	} {
		if skip, told, err := list(text); err == nil || !strings.Contains(told, place) || skip != "" {
			t.Errorf("%q: %s, %s, %v", text, skip, told, err)
		}
	}
}
