package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/history"
)

// TestMain discards log output. In a child process that a test starts for a run, it executes the run instead,
// as the program does.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if dir := os.Getenv(runDirVariable); dir != "" {
		if os.Getenv(runDirVariable+"_FAILS") != "" {
			fmt.Fprintln(os.Stderr, "panic: failure requested by the test")
			os.Exit(2)
		}
		virtual, err := Virtual(dir)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		ExecuteInProcess(dir, virtual)
	}
	os.Exit(m.Run())
}

// runDirVariable is the environment variable with the directory of the run that a child process executes.
const runDirVariable = "DALEDYKE_TEST_PLAY"

// commandOfThisTest is a command line that executes a run in a child process of this test; the run's
// directory is appended.
var commandOfThisTest = []string{"/bin/sh", "-c", runDirVariable + `="$1" exec "$0"`, os.Args[0]}

const smallExperiment = `(experiment "small"
  (controllers 3) (machines 12) (length "2m") (rest "2m") (seeds 1 2)
  (class "proof" (shape service) (priority critical) (arrivals (start 2)) (tasks 2) (image "proof" 2) (scatter true))
  (class "render" (team "archive") (arrivals (poisson "8s")) (tasks (uniform 1 4)) (run (lognormal 20 0.5)) (error 0.3) (spot true) (cancelled 0.1) (chained 0.2))
  (class "learn" (team "plates") (shape gang) (arrivals (burst "20s" 2)) (tasks 3) (run 40) (cores 8) (ram 32) (image "learn" 6) (saves "10s" "2s"))
  (at "30s" (state-outage "10s"))
  (at "33s" (crash "8s" "press-1"))
  (at "1m" (cut-zone "20s" "south"))
  (at "1m5s" (machines hang 2 "15s"))
  (at "80s" (spot-wave 0.5)))`

const overridesExperiment = `(experiment "own" (zones "u" "v") (lease "30s") (report "3s") (state 100 50 4 9) (cloud 5 "2s") (node 0.5 200 900)
  (type "little" (cores 8) (ram 32) (fetch 1) (price 1 0.3) (boot 20)) (type "big" (cores 64) (ram 256) (fetch 0.5) (price 7 2) (boot 40) (most 3) (zones "v"))
  (team "us" (cpus 10 64)) (aim wait "render" "20s" 0.9)
  (class "render" (team "us") (arrivals (start 3) (poisson "9s")) (tasks (choice 1 3 4 1)) (images 5) (types "big" "little")))`

// An experiment with overlapping faults runs, is stored, and yields a report. Its stored events are complete,
// violate no rule when they are checked again, and give the same summary.
func TestExperimentRunsEndToEnd(t *testing.T) {
	e, err := Parse([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "result")
	r := &Runner{Dir: dir, Command: commandOfThisTest}
	last := 0.0
	r.Progress = func(share float64) { last = share }
	res, err := r.Run(t.Context(), e)
	if err != nil {
		t.Fatal(err)
	}
	if last != 1 || len(res.Runs) != 2 {
		t.Errorf("%d runs, progress %v", len(res.Runs), last)
	}
	for _, s := range res.Runs {
		if len(s.Broken) > 0 || s.Classes["learn"].Done != 2 || s.Classes["proof"].Begun != 2 || s.Classes["render"].Accepted != s.Classes["render"].Jobs || s.Money <= 0 {
			t.Errorf("%s: %v %+v %+v %+v", s.Run, s.Broken, s, *s.Classes["learn"], *s.Classes["render"])
		}
		c := history.NewChecker(history.Deployment{CancelWithin: 45 * time.Second})
		m := NewMeter(nil, 45*time.Second)
		kinds := map[history.Kind]int{}
		err := history.Read(filepath.Join(dir, "runs", s.Run, eventsFile), func(e history.Event) error {
			c.Observe(e)
			m.Note(e)
			kinds[e.Kind]++
			return nil
		})
		again, merr := m.Summary()
		if err = errors.Join(err, merr); err != nil || len(c.Violations()) > 0 || again.Starts != s.Starts || again.Used != s.Used || !reflect.DeepEqual(again.Cancelled, s.Cancelled) {
			t.Errorf("after reading the events again: error %v, violations %v; %d starts, want %d", err, c.Violations(), again.Starts, s.Starts)
		}
		if kinds[history.FaultBegins] != 5 || kinds[history.FaultEnds] != 5 || kinds[history.NodeUp] != 4 || kinds[history.Sampled] < 40 {
			t.Errorf("events by kind: %v", kinds)
		}
	}
	page := filepath.Join(dir, "report.html")
	if err := Report(dir, page); err != nil {
		t.Fatal(err)
	}
	charts := 6
	for _, s := range res.Runs {
		if len(s.Cancelled.Worst) > 0 {
			charts = 7 // one more, for the times until the tasks of cancelled jobs ended
		}
	}
	raw, err := os.ReadFile(page)
	if err != nil || strings.Count(string(raw), "<svg") != charts || !strings.Contains(string(raw), "learn: wait, 90%, s") {
		t.Errorf("a report of %d bytes, %v, lacks charts or measures", len(raw), err)
	}
	if _, err := r.Run(t.Context(), e); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("a second run into the same directory: %v", err)
	}
	// Truncated events and a missing index are reported.
	events := filepath.Join(dir, "runs", res.Runs[0].Run, eventsFile)
	whole, err := os.ReadFile(events)
	if err == nil {
		err = os.WriteFile(events, whole[:len(whole)/2], 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := Report(dir, page); err == nil || !strings.Contains(err.Error(), eventsFile) {
		t.Errorf("a report of truncated events: %v", err)
	}
	if err := os.Remove(filepath.Join(dir, resultFile)); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadResult(dir); err == nil || !strings.Contains(err.Error(), "no whole result") {
		t.Errorf("a result without result.json: %v", err)
	}
}

// The state service becomes unavailable while a burst of jobs is accepted and placed, and recovers. Meanwhile
// half of the controllers are killed, and machines boot late and after their rentals were given up. Every job
// gets one final response and completes once.
func TestStateServiceOutageDuringPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, err := Parse([]byte(`(experiment "vanishes" (controllers 4) (machines 30) (length "90s") (rest "4m")
			(class "render" (arrivals (burst "20s" 60)) (tasks (uniform 1 3)) (run (uniform 5 20)) (cores 2))
			(class "learn" (team "plates") (shape gang) (arrivals (burst "20s" 4)) (tasks 4) (run 20) (cores 8) (image "learn" 6))
			(at "20200ms" (state-outage "18s")) (at "21s" (crash "10s" "press-0")) (at "22s" (crash "20s" "press-3"))
			(at "10s" (cloud-late "25s" "40s")) (at "30s" (boots "1m" 3)))`))
		if err != nil {
			t.Fatal(err)
		}
		final := map[string]map[int]bool{}
		sum, err := execute(context.Background(), e, "", 5, t.TempDir(), func(ev history.Event) {
			if ev.Kind == history.Answered && (ev.Code < 300 && ev.Code > 0 || ev.Code == 400 || ev.Code == 422) {
				if final[ev.Job] == nil {
					final[ev.Job] = map[int]bool{}
				}
				final[ev.Job][ev.Code/100] = true
			}
		}, func(float64) {})
		if err != nil || len(sum.Broken) > 0 {
			t.Fatal(err, sum.Broken)
		}
		for job, codes := range final {
			if len(codes) != 1 {
				t.Errorf("%s: final responses of different kinds: %v", job, codes)
			}
		}
		for name, c := range sum.Classes {
			if c.Accepted != c.Jobs || c.Done != c.Jobs {
				t.Errorf("%s: %d jobs, %d accepted, %d done", name, c.Jobs, c.Accepted, c.Done)
			}
		}
		if len(final) != 64 {
			t.Errorf("%d jobs have a final response, want 64", len(final))
		}
	})
}

// A run whose process fails leaves no result, and the error contains the end of its log.
func TestFailedRunLeavesNoResult(t *testing.T) {
	e, err := Parse([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "result")
	t.Setenv(runDirVariable+"_FAILS", "yes")
	_, err = (&Runner{Dir: dir, Command: commandOfThisTest}).Run(t.Context(), e)
	if err == nil || !strings.Contains(err.Error(), "failure requested by the test") {
		t.Errorf("%v", err)
	}
	if _, err := ReadResult(dir); err == nil {
		t.Error("a failed run left a result")
	}
}

// The same seed gives the same jobs in a class, whatever the other classes are.
func TestPlannedJobsAreReproducible(t *testing.T) {
	e, err := Parse([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	jobsOfClass := func(e *Experiment, class string) (s string) {
		for _, o := range e.plannedJobs(7) {
			if o.spec.Class == class {
				s += fmt.Sprint(o.submitAt, o.runTimes, o.spec.Tasks, o.spec.EstimateS, o.cancelAfter, ";")
			}
		}
		return s
	}
	first := jobsOfClass(e, "render")
	e.Classes = e.Classes[1:]
	if again := jobsOfClass(e, "render"); again != first || first == "" {
		t.Error("the jobs of a class depend on other classes")
	}
	counts := map[string]int{}
	for _, c := range []string{"(poisson \"1s\")", "(swing \"1s\" \"10m\" 0.9)"} {
		a, err := parseArrivals([]byte(c))
		if err != nil {
			t.Fatal(err)
		}
		times := a.submissionTimes(time.Hour, 1, randomSource(1, "x"))
		counts[a.Kind] = len(times)
		if n := len(times); n < 3400 || n > 3800 {
			t.Errorf("%s: %d jobs in an hour", c, n)
		}
		early := 0
		for _, at := range times {
			if at%(10*time.Minute) < 5*time.Minute {
				early++
			}
		}
		if share := float64(early) / float64(len(times)); a.Kind == "swing" && (share < 0.72 || share > 0.85) { // 1/2 + 0.9/pi
			t.Errorf("share %v of the jobs of a swing in the first half of its period", share)
		}
	}
}

// Formatting and parsing of experiments are inverse, the shipped experiments load, and errors name their line.
func TestExperimentFiles(t *testing.T) {
	for seed := range uint64(40) {
		e := Random(seed, 5*time.Minute)
		again, err := Parse([]byte(e.String()))
		if err != nil || again.String() != e.String() {
			t.Fatalf("seed %d: %v\n%s\n%v", seed, err, e, again)
		}
	}
	again, err := Parse([]byte(overridesExperiment))
	if err != nil {
		t.Fatal(err)
	}
	if second, err := Parse([]byte(again.String())); err != nil || second.String() != again.String() {
		t.Errorf("%v\n%s\n%v", err, again, second)
	}
	if d := again.deployment(); d.Lease != 30*time.Second || len(d.Types) != 2 || d.Types[0].Zones[1] != "v" || d.MaxByType["big"] != 3 || d.State.TxnOps != 9 || d.Teams[0].CoresMax != 64 {
		t.Errorf("%+v", d)
	}
	shipped, err := filepath.Glob("../../deploy/lab/*.edn")
	if err != nil || len(shipped) < 3 {
		t.Errorf("shipped experiments: %v, %v", shipped, err)
	}
	for _, file := range shipped {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
	class := "\n(class \"render\" (arrivals (start 1)))"
	for text, want := range map[string]string{
		"": "not one list", "(experiment": "not one list", "(experiment \"a b\")": "line 1",
		"(experiment \"x\")":                                                                   "no class of work",
		"(experiment \"x\"\n(clock fast)" + class + ")":                                        "line 2: clock: it is virtual or real",
		"(experiment \"x\"\n\n(length 5)" + class + ")":                                        "line 3: length: \"5\" is no time",
		"(experiment \"x\"\n(seeds 1 1)" + class + ")":                                         "line 2: seeds",
		"(experiment \"x\"\n(length \"5m\")\n(length \"6m\")" + class + ")":                    "line 3: length is there twice",
		"(experiment \"x\"\n(colour 3)" + class + ")":                                          "line 2: colour: there is no such entry",
		"(experiment \"x\"\n(version \"a\" \"b\")" + class + ")":                               "versions are compared in real time",
		"(experiment \"x\"\n(vary colour 1)" + class + ")":                                     "line 2: vary",
		"(experiment \"x\"\n(class \"a\"))":                                                    "arrivals are missing",
		"(experiment \"x\"\n(class \"a\" (arrivals (start -1))))":                              "line 2: class: \"a\": arrivals: \"-1\"",
		"(experiment \"x\"\n(class \"a\" (arrivals (start 1)) (cores 999)))":                   "fits no machine",
		"(experiment \"x\"\n(class \"a\" (arrivals (start 1)) (team \"b\")))":                  "no team \"b\"",
		"(experiment \"x\"\n(class \"a\" (arrivals (start 1)) (run (normal 1))))":              "line 2: class: \"a\": run: a number",
		"(experiment \"x\"\n(lease \"1s\")" + class + ")":                                      "lease: 1s must be at least twice",
		"(experiment \"x\"\n(type \"a\" (cores 4)))":                                           "line 2: type: type \"a\": it needs cores, ram and fetch",
		"(experiment \"x\"\n(type \"a\" (wheels 4)))":                                          "line 2: type: type \"a\": wheels",
		"(experiment \"x\"\n(team \"a\" (cpus 4)))":                                            "line 2: team: team \"a\": cpus",
		"(experiment \"x\"" + class + "\n(at \"1m\" (flood \"1m\")))":                          "flood: there is no such fault",
		"(experiment \"x\"" + class + "\n(at \"1m\" (crash \"1m\" \"press-7\")))":              "no controller press-7",
		"(experiment \"x\"" + class + "\n(at \"1m\" (state-outage)))":                          "it takes TIME",
		"(experiment \"x\"" + class + "\n(at \"1m\" (cancel-now 0)))":                          "cancel-now: \"0\" is no whole number",
		"(experiment \"x\"" + class + "\n(at \"1m\" (cancel-now 2 soon)))":                     "cancel-now: \"soon\" is no time",
		"(experiment \"x\"" + class + "\n(at \"1m\" (hangs \"1m\" \"press-0\")))":              "real time alone",
		"(experiment \"x\" (clock real)" + class + "\n(at \"1m\" (cut-zone \"1m\" \"west\")))": "virtual time alone",
		"(experiment \"x\"" + class + "\n(at soon (state-outage \"1m\")))":                     "line 3: at: \"soon\" is no time",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, not %q", text, err, want)
		}
	}
}

// FuzzParse checks that every experiment that parses is formatted to one that parses to the same.
func FuzzParse(f *testing.F) {
	f.Add(smallExperiment)
	f.Add(Random(3, time.Minute).String())
	f.Fuzz(func(t *testing.T, text string) {
		e, err := Parse([]byte(text))
		if err != nil {
			return
		}
		again, err := Parse([]byte(e.String()))
		if err != nil || again.String() != e.String() {
			t.Fatalf("%v\n%s\n%v", err, e, again)
		}
	})
}

// An experiment is shrunk as far as possible: if one fault and one class cause the violation, only these
// remain. The number of tries is bounded.
func TestShrink(t *testing.T) {
	e := Random(11, 8*time.Minute)
	e.Faults = append(e.Faults, Fault{At: 100 * time.Second, Kind: "cloud-outage", Args: []string{"7s"}})
	asked := 0
	got, err := Shrink(e, 200, func(c *Experiment) (bool, error) {
		asked++
		hasFault := false
		for _, f := range c.Faults {
			hasFault = hasFault || f.Kind == "cloud-outage" && f.Args[0] == "7s"
		}
		hasClass := false
		for _, k := range c.Classes {
			hasClass = hasClass || k.Name == "learn"
		}
		return hasFault && hasClass, c.validate()
	})
	if err != nil || len(got.Faults) != 1 || len(got.Classes) != 1 || got.Classes[0].Name != "learn" || got.Length > 4*time.Minute || got.Machines > 3 || got.Scale > 0.1 || asked > 200 {
		t.Errorf("%v after %d tries: %v", err, asked, got)
	}
	asked = 0
	if _, err := Shrink(e, 5, func(*Experiment) (bool, error) { asked++; return true, nil }); err != nil || asked > 5 {
		t.Errorf("%d tries, %v", asked, err)
	}
}

// A hunt detects a violation and saves the smallest experiment that causes it. Here a script reports a
// violation for every run with an outage of the state service.
func TestHunt(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "hunt")
	fake := filepath.Join(t.TempDir(), "fake.sh")
	script := `grep -q '(state-outage' "$1/run.json" && B='[{"at":1,"rule":"ran_twice","what":"x"}]' || B='[]'
echo '{"run":"x","broken":'"$B"'}' > "$1/summary.json"; echo 0.5`
	if err := os.WriteFile(fake, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	var lines []string
	found, err := Hunt(t.Context(), &Runner{Dir: dir, Command: []string{"/bin/sh", fake}}, HuntOptions{Seed: 1, Runs: 10, Length: 4 * time.Minute,
		Printf: func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }})
	if err != nil || len(found) == 0 || len(found) == 10 {
		t.Fatalf("%d findings, %v: %v", len(found), err, lines)
	}
	for _, f := range found {
		e, err := Load(f.File)
		if err != nil || len(e.Faults) != 1 || e.Faults[0].Kind != "state-outage" || len(e.Classes) != 1 {
			t.Errorf("%s: %v %v", f.File, err, e)
		}
	}
}

// A hunt mutates the experiments in which cancelled tasks remained longest. Here a script reports runs with
// more faults as closer to the bound; every other experiment must share most faults with an earlier one.
func TestHuntMutatesNearMisses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "hunt")
	fake := filepath.Join(t.TempDir(), "fake.sh")
	script := `N=$(grep -o '(at ' "$1/run.json" | wc -l)
echo '{"run":"x","broken":[],"cancelled":{"jobs":1,"worstShare":0.'"$(printf %02d $N)"'}}' > "$1/summary.json"; echo 0.5`
	if err := os.WriteFile(fake, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	faults := map[int][]string{}
	_, err := Hunt(t.Context(), &Runner{Dir: dir, Command: []string{"/bin/sh", fake}}, HuntOptions{Seed: 4, Runs: 12, Length: 4 * time.Minute,
		Printf: func(format string, args ...any) {
			if len(args) == 5 {
				faults[len(faults)] = strings.Split(args[4].(string), ", ")
			}
		}})
	if err != nil || len(faults) != 12 {
		t.Fatalf("%v, %d experiments", err, len(faults))
	}
	for n := 1; n < 12; n += 2 {
		most := 0
		for before := range n {
			same := 0
			for _, f := range faults[n] {
				if slices.Contains(faults[before], f) {
					same++
				}
			}
			most = max(most, same)
		}
		if most < len(faults[n])-6 || most == 0 {
			t.Errorf("experiment %d shares %d of its %d faults with one before it", n, most, len(faults[n]))
		}
	}
}

// Mutated experiments are valid, survive formatting and parsing, differ from the original and leave it
// unchanged.
func TestMutatedExperimentsAreValid(t *testing.T) {
	for seed := range uint64(60) {
		e := Random(seed%7, 5*time.Minute)
		was := e.String()
		m := Mutate(e, 1000+seed)
		again, err := Parse([]byte(m.String()))
		if err != nil || again.String() != m.String() || m.String() == was {
			t.Fatalf("seed %d: %v\n%s", seed, err, m)
		}
		if e.String() != was {
			t.Fatalf("seed %d: the original experiment has changed", seed)
		}
	}
}

// Simultaneous cancellations are confirmed, and the remaining time of their tasks on machines that hang
// meanwhile is measured: up to a lease, as the machines cannot be returned during an outage of the cloud.
func TestCancelNowIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, err := Parse([]byte(`(experiment "called-off" (controllers 3) (machines 12) (length "2m") (rest "1m")
			(class "proof" (shape service) (priority critical) (arrivals (start 6)) (tasks 4) (cores 4) (image "proof" 1))
			(at "69s" (cloud-outage "60s")) (at "70s" (cancel-now 4 "60s")))`))
		if err != nil {
			t.Fatal(err)
		}
		s, err := execute(context.Background(), e, "", 1, t.TempDir(), func(history.Event) {}, func(float64) {})
		if err != nil || len(s.Broken) > 0 {
			t.Fatal(err, s.Broken)
		}
		c := s.Cancelled
		lease := e.deployment().Lease
		if c.Jobs != 4 || len(c.Worst) != 4 || c.Worst[0].Cause != "killed" || c.Worst[0].Took < lease/2 || c.Worst[0].Took > lease || c.WorstShare != float64(c.Worst[0].Duration())/float64(c.Within) || c.StartedAfter != 0 {
			t.Errorf("%+v", c)
		}
	})
}

// Confidence intervals follow Student's t, and versions are compared seed by seed.
func TestComparison(t *testing.T) {
	if e := estimate([]float64{4, 6, 8, math.NaN()}); e.Mean != 6 || math.Abs(e.HalfWidth-4.968) > 0.01 || e.N != 3 {
		t.Errorf("%+v", e)
	}
	res := &Result{}
	for seed := range uint64(4) {
		for version, money := range map[string]float64{"a": 100 * float64(seed), "b": 100*float64(seed) + 5 + float64(seed)/10} {
			res.Runs = append(res.Runs, Summary{Version: version, Seed: seed, Money: money})
		}
	}
	byVersion := func(v string) (out []Summary) {
		for _, s := range res.Runs {
			if s.Version == v {
				out = append(out, s)
			}
		}
		return out
	}
	res.Runs = append(byVersion("a"), byVersion("b")...)
	groups := res.groups()
	for _, m := range res.measures() {
		if m.Name != "money" {
			continue
		}
		value, difference := groups[1].estimate(m)
		if value.Differs() || difference == nil || !difference.Differs() || math.Abs(difference.Mean-5.15) > 1e-9 {
			t.Errorf("%v, %v: the versions must differ only in the comparison by seed", value, difference)
		}
	}
}

// Overlapping faults of one kind end with the last of them.
func TestOverlappingFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, err := Parse([]byte(`(experiment "overlap" (controllers 1) (machines 2) (length "40s") (rest "20s")
			(class "render" (arrivals (burst "12s" 1)))
			(at "10s" (cloud-outage "10s")) (at "15s" (cloud-outage "10s")) (at "20s" (crash "8s" all)) (at "22s" (crash "10s" "press-0")))`))
		if err != nil {
			t.Fatal(err)
		}
		var nodes []string
		firstRental := time.Duration(0)
		_, err = execute(context.Background(), e, "", 1, t.TempDir(), func(ev history.Event) {
			switch ev.Kind {
			case history.NodeUp, history.NodeDown:
				nodes = append(nodes, fmt.Sprint(ev.At.Round(time.Second), ev.Kind))
			case history.MachineRented:
				if firstRental == 0 {
					firstRental = ev.At
				}
			}
		}, func(float64) {})
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(nodes, " "); got != "0snode-up 20snode-down 32snode-up" {
			t.Errorf("controllers: %s", got)
		}
		raw, _ := json.Marshal(firstRental)
		if firstRental < 25*time.Second {
			t.Errorf("rented at %s, during an outage of the cloud", raw)
		}
	})
}
