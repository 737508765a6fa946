package pbs

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"daledyke/internal/protocol"
)

var update = flag.Bool("update", false, "rewrite the golden files, for review before they are committed")

var queues = Queues{
	{Name: "train", Default: true, Team: "vision", Class: "retrain", Image: "train-7", ImageGB: 6, Priority: "normal", Walltime: time.Hour, MemGB: 16,
		SaveEvery: 30 * time.Second, Save: 4 * time.Second},
	{Name: "gpu", Team: "vision", Class: "retrain", Account: "vision/gpu", Image: "train-7", ImageGB: 6, Priority: "normal", Types: []string{"g8"}, Walltime: 4 * time.Hour, MemGB: 64,
		SaveEvery: time.Minute, Save: 10 * time.Second, MaxPerTask: protocol.Room{Cores: 96, Accels: 8, RAM: 768}},
	{Name: "post", Team: "data", Class: "post", Image: "tools-2", ImageGB: 1, Priority: "idle", Spot: true, Walltime: 10 * time.Minute, MemGB: 4, MaxTasks: 5000},
}

var testTime = time.Date(2026, 12, 30, 21, 30, 0, 0, time.UTC)

// describeTranslation formats the translation of a script for the golden files: the job, or the refusals.
func describeTranslation(script string, command []string) string {
	options, rest, err := Arguments(command)
	var j *Job
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("left over: %v", rest)
	}
	if err == nil {
		j, err = Translate(script, options, queues, "wk-412", testTime)
	}
	if err != nil {
		return "refused\n" + err.Error() + "\n"
	}
	raw, err := json.MarshalIndent(j, "", "  ")
	if err != nil {
		return err.Error()
	}
	return "accepted\n" + string(raw) + "\n"
}

// TestCorpus translates scripts typical of training, chemistry and array processing. A first line "# qsub
// OPTIONS" holds the command line; the golden file beside each script has the expected translation or
// refusals.
func TestCorpus(t *testing.T) {
	files, err := filepath.Glob("testdata/scripts/*.pbs")
	if err != nil || len(files) < 60 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	accepted := 0
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := strings.Cut(string(raw), "\n")
		var command []string
		if options, ok := strings.CutPrefix(first, "# qsub "); ok {
			command = strings.Fields(options)
		}
		got := describeTranslation(string(raw), command)
		golden := strings.TrimSuffix(file, ".pbs") + ".golden"
		if *update {
			if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil || string(want) != got {
			t.Errorf("%s gives\n%s\nwant\n%s", file, got, want)
		}
		if strings.HasPrefix(got, "accepted") {
			accepted++
		}
	}
	if accepted < 20 || len(files)-accepted < 20 {
		t.Errorf("%d of %d scripts are accepted", accepted, len(files))
	}
}

// Every refusal states its position and reason, and names the directive.
func TestRefusalsNameTheirPosition(t *testing.T) {
	_, err := Translate("#!/bin/sh\n#PBS -N x -I\n  #PBS -l walltime=soon\n./run\n#PBS -X\n", nil, queues, "wk-1", testTime)
	var r *Refusal
	if !errors.As(err, &r) || r.At != (Position{2, 11}) || !strings.Contains(err.Error(), "line 3, column 8: -l walltime=soon") || strings.Contains(err.Error(), "-X") {
		t.Errorf("%v", err)
	}
}

// A native id converted to a PBS job name and back is unchanged.
func TestJobNamesRoundTrip(t *testing.T) {
	for _, id := range []string{"wk-412", "wk-000412", "wk-123456789012345678"} {
		for _, array := range []bool{false, true} {
			if back, err := JobID(JobName(id, array)); err != nil || back != id {
				t.Errorf("%s is named %s, which is %s, %v", id, JobName(id, array), back, err)
			}
		}
	}
}

// The parts that a date leaves out are those of the next matching time.
func TestParseDate(t *testing.T) {
	for text, want := range map[string]string{"2200": "2026-12-30T22:00:00Z", "2100": "2026-12-31T21:00:00Z", "2130.05": "2026-12-30T21:30:05Z", "291200": "2027-01-29T12:00:00Z",
		"01020304": "2027-01-02T03:04:00Z", "2701020304": "2027-01-02T03:04:00Z", "202701020304.30": "2027-01-02T03:04:30Z",
		"2460": "", "2400": "", "13012200": "", "02302200": "", "202512010000": "", "noon": "", "12": "", "2200.5": "", "": "", "209901010000": ""} {
		got, err := ParseDate(text, testTime)
		if (err != nil) != (want == "") || err == nil && got.Format(time.RFC3339) != want {
			t.Errorf("%q is %v, %v, not %s", text, got, err, want)
		}
	}
}

func FuzzScript(f *testing.F) {
	f.Add("#!/bin/sh\n#PBS -N a -l select=2:ncpus=4:mem=2gb -J 0-9:2\n#PBS -v A='b c',D=1 # said\necho\n", "-p 5")
	f.Add("#PBS -W depend=afterok:1:2.daledyke -l nodes=2:ppn=4:gpus=1,walltime=1:00:00\n", "")
	f.Add("#PBS -l place=group=zone -c c=5 -q gpu -P vision/x\r\n: \n#PBS -N '", "-C #X")
	f.Fuzz(func(t *testing.T, script, command string) {
		options, _, err := Arguments(strings.Fields(command))
		if err != nil {
			return
		}
		j, err := Translate(script, options, queues, "wk-1", testTime)
		if err != nil {
			return
		}
		// The options, printed as directives and translated again, give the same job.
		read, err := Directives(script, prefixOf(options))
		if err != nil {
			t.Fatal(err)
		}
		var b strings.Builder
		for _, o := range read {
			fmt.Fprintf(&b, "#PBS %v\n", o)
		}
		for _, o := range options {
			if o.Letter != 'C' {
				fmt.Fprintf(&b, "#PBS %v\n", o)
			}
		}
		again, err := Translate(b.String(), nil, queues, "wk-1", testTime)
		if err != nil {
			t.Fatalf("%q was accepted, printed as %q it is refused: %v", script, b.String(), err)
		}
		j.Notes, again.Notes = nil, nil // they contain positions
		one, _ := json.Marshal(j)
		two, _ := json.Marshal(again)
		if string(one) != string(two) {
			t.Errorf("%q was read as\n%s\nprinted as %q it is\n%s", script, one, b.String(), two)
		}
	})
}

func prefixOf(options []Option) (prefix string) {
	for _, o := range options {
		if o.Letter == 'C' {
			prefix = o.Value
		}
	}
	return prefix
}

func FuzzValues(f *testing.F) {
	for _, s := range []string{"2:ncpus=4:mem=2gb+1", "1:30:00", "16gb", "0-99:2", "afterok:412.daledyke:5[]", "2:ppn=8:gpus=1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if n, err := ParseSize(s); err == nil && !(n >= 0) {
			t.Errorf("size %q is %v", s, n)
		}
		if d, err := ParseTime(s); err == nil && d < 0 {
			t.Errorf("time %q is %v", s, d)
		}
		if chunks, err := ParseSelect(s); err == nil {
			for _, c := range chunks {
				if c.Count < 1 || c.CPUs < 0 || c.GPUs < 0 || c.Mem < 0 {
					t.Errorf("select %q is %+v", s, chunks)
				}
			}
		}
		if a, err := ParseArray(s); err == nil {
			if back, err := ParseArray(a.String()); err != nil || back != a || a.Count() < 1 {
				t.Errorf("%q is %v, which is %v, %v", s, a, back, err)
			}
		}
		if ids, err := ParseDepend(s); err == nil {
			for _, id := range ids {
				if !protocol.ValidJobID(id) {
					t.Errorf("%q names %s", s, id)
				}
			}
		}
		if at, err := ParseDate(s, testTime); err == nil && !at.After(testTime) {
			t.Errorf("date %q is %v", s, at)
		}
		if c, err := ParseNodes(s); err == nil && c.Count < 1 {
			t.Errorf("nodes %q are %+v", s, c)
		}
	})
}

func BenchmarkTranslate(b *testing.B) {
	for name, script := range map[string]string{
		"48KiB":        "#!/bin/sh\n" + strings.Repeat("#PBS -v A=1 -l walltime=1:00\n", 400) + strings.Repeat("echo working on it\n", 1800),
		"10000indices": "#PBS -q post -J 0-4999\n#PBS -l select=1:ncpus=1:mem=1gb\n./x $PBS_ARRAY_INDEX\n",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Translate(script, nil, queues, "wk-1", testTime); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
