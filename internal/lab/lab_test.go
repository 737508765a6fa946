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

// TestMain keeps the logs out of the tests' output, and plays runs for them: as the
// program does, in a process of its own.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if dir := os.Getenv(playDir); dir != "" {
		if os.Getenv(playDir+"_FAILS") != "" {
			fmt.Fprintln(os.Stderr, "panic: as it was told")
			os.Exit(2)
		}
		virtual, err := Virtual(dir)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		PlayHere(dir, virtual)
	}
	os.Exit(m.Run())
}

// playDir, set for a process of this test, is the run that it plays.
const playDir = "DALEDYKE_TEST_PLAY"

// here is a command line that has a process of this test play the run named last.
var here = []string{"/bin/sh", "-c", playDir + `="$1" exec "$0"`, os.Args[0]}

const small = `(experiment "small"
  (controllers 3) (machines 12) (length "2m") (rest "2m") (seeds 1 2)
  (class "proof" (shape service) (priority critical) (arrivals (start 2)) (tasks 2) (image "proof" 2) (scatter true))
  (class "render" (team "archive") (arrivals (poisson "8s")) (tasks (uniform 1 4)) (run (lognormal 20 0.5)) (error 0.3) (spot true) (cancelled 0.1) (chained 0.2))
  (class "learn" (team "plates") (shape gang) (arrivals (burst "20s" 2)) (tasks 3) (run 40) (cores 8) (ram 32) (image "learn" 6) (saves "10s" "2s"))
  (at "30s" (state-outage "10s"))
  (at "33s" (crash "8s" "press-1"))
  (at "1m" (cut-zone "20s" "south"))
  (at "1m5s" (machines hang 2 "15s"))
  (at "80s" (spot-wave 0.5)))`

const ownDeployment = `(experiment "own" (zones "u" "v") (lease "30s") (report "3s") (state 100 50 4 9) (cloud 5 "2s") (node 0.5 200 900)
  (type "little" (cores 8) (ram 32) (fetch 1) (price 1 0.3) (boot 20)) (type "big" (cores 64) (ram 256) (fetch 0.5) (price 7 2) (boot 40) (most 3) (zones "v"))
  (team "us" (cpus 10 64)) (aim wait "render" "20s" 0.9)
  (class "render" (team "us") (arrivals (start 3) (poisson "9s")) (tasks (choice 1 3 4 1)) (images 5) (types "big" "little")))`

// An experiment with faults inside each other is played, kept, and made a page of; its
// events are whole and keep the rules when they are checked again.
func TestAnExperimentIsPlayed(t *testing.T) {
	e, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "result")
	r := &Runner{Dir: dir, Play: here}
	last := 0.0
	r.Progress = func(share float64) { last = share }
	res, err := r.Run(t.Context(), e)
	if err != nil {
		t.Fatal(err)
	}
	if last != 1 || len(res.Runs) != 2 {
		t.Errorf("%d runs, %v of them done", len(res.Runs), last)
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
			t.Errorf("read again: %v, %v; %d starts of %d", err, c.Violations(), again.Starts, s.Starts)
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
			charts = 7 // one more, of when the tasks of cancelled jobs were gone
		}
	}
	raw, err := os.ReadFile(page)
	if err != nil || strings.Count(string(raw), "<svg") != charts || !strings.Contains(string(raw), "learn: wait, 90%, s") {
		t.Errorf("a page of %d bytes, %v", len(raw), err)
	}
	if _, err := r.Run(t.Context(), e); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("into the same directory: %v", err)
	}
	// What was cut short is no result.
	events := filepath.Join(dir, "runs", res.Runs[0].Run, eventsFile)
	whole, err := os.ReadFile(events)
	if err == nil {
		err = os.WriteFile(events, whole[:len(whole)/2], 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := Report(dir, page); err == nil || !strings.Contains(err.Error(), eventsFile) {
		t.Errorf("of events cut short: %v", err)
	}
	if err := os.Remove(filepath.Join(dir, resultFile)); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadResult(dir); err == nil || !strings.Contains(err.Error(), "no whole result") {
		t.Errorf("without its index: %v", err)
	}
}

// The state service vanishes while a crowd of jobs is taken and placed, and returns; half
// of the controllers are killed meanwhile, and machines come late and unexpected. Every job
// gets one final answer, and is done once.
func TestStateServiceVanishesDuringPlacement(t *testing.T) {
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
		sum, err := play(context.Background(), e, "", 5, t.TempDir(), func(ev history.Event) {
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
				t.Errorf("%s is answered %v", job, codes)
			}
		}
		for name, c := range sum.Classes {
			if c.Accepted != c.Jobs || c.Done != c.Jobs {
				t.Errorf("%s: %d jobs, %d accepted, %d done", name, c.Jobs, c.Accepted, c.Done)
			}
		}
		if len(final) != 64 {
			t.Errorf("%d jobs have a final answer", len(final))
		}
	})
}

// A run whose process fails leaves no result, and its last words are told.
func TestARunThatFails(t *testing.T) {
	e, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(t.TempDir(), "result")
	t.Setenv(playDir+"_FAILS", "yes")
	_, err = (&Runner{Dir: dir, Play: here}).Run(t.Context(), e)
	if err == nil || !strings.Contains(err.Error(), "as it was told") {
		t.Errorf("%v", err)
	}
	if _, err := ReadResult(dir); err == nil {
		t.Error("there is a result")
	}
}

// The same seed gives the same jobs, whatever other classes there are.
func TestOrdersRepeat(t *testing.T) {
	e, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	of := func(e *Experiment, class string) (s string) {
		for _, o := range e.orders(7) {
			if o.spec.Class == class {
				s += fmt.Sprint(o.at, o.runs, o.spec.Tasks, o.spec.EstimateS, o.cancelAt, ";")
			}
		}
		return s
	}
	first := of(e, "render")
	e.Classes = e.Classes[1:]
	if again := of(e, "render"); again != first || first == "" {
		t.Error("the jobs of a class depend on other classes")
	}
	counts := map[string]int{}
	for _, c := range []string{"(poisson \"1s\")", "(swing \"1s\" \"10m\" 0.9)"} {
		a, err := parseArrivals([]byte(c))
		if err != nil {
			t.Fatal(err)
		}
		times := a.times(time.Hour, 1, source(1, "x"))
		counts[a.Kind] = len(times)
		if n := len(times); n < 3400 || n > 3800 {
			t.Errorf("%s: %d in an hour", c, n)
		}
		early := 0
		for _, at := range times {
			if at%(10*time.Minute) < 5*time.Minute {
				early++
			}
		}
		if share := float64(early) / float64(len(times)); a.Kind == "swing" && (share < 0.72 || share > 0.85) { // 1/2 + 0.9/pi
			t.Errorf("%v of a swing's jobs come in its first half", share)
		}
	}
}

// Experiments are written as they are read, and what is wrong with one is told with its
// line.
func TestExperimentFiles(t *testing.T) {
	for seed := range uint64(40) {
		e := Random(seed, 5*time.Minute)
		again, err := Parse([]byte(e.String()))
		if err != nil || again.String() != e.String() {
			t.Fatalf("seed %d: %v\n%s\n%v", seed, err, e, again)
		}
	}
	again, err := Parse([]byte(ownDeployment))
	if err != nil {
		t.Fatal(err)
	}
	if second, err := Parse([]byte(again.String())); err != nil || second.String() != again.String() {
		t.Errorf("%v\n%s\n%v", err, again, second)
	}
	if d := again.deployment(); d.Lease != 30*time.Second || len(d.Types) != 2 || d.Types[0].Zones[1] != "v" || d.Most["big"] != 3 || d.State.TxnOps != 9 || d.Teams[0].CoresMax != 64 {
		t.Errorf("%+v", d)
	}
	ready, err := filepath.Glob("../../deploy/lab/*.edn")
	if err != nil || len(ready) < 3 {
		t.Errorf("ready experiments: %v, %v", ready, err)
	}
	for _, file := range ready {
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

// FuzzParse: whatever is read is written as it is read.
func FuzzParse(f *testing.F) {
	f.Add(small)
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

// What breaks is made smaller as far as it goes: of an experiment with much in it that
// breaks for one fault and one class, only these are left.
func TestShrink(t *testing.T) {
	e := Random(11, 8*time.Minute)
	e.Faults = append(e.Faults, Fault{At: 100 * time.Second, Verb: "cloud-outage", Args: []string{"7s"}})
	asked := 0
	got, err := Shrink(e, 200, func(c *Experiment) (bool, error) {
		asked++
		there := false
		for _, f := range c.Faults {
			there = there || f.Verb == "cloud-outage" && f.Args[0] == "7s"
		}
		learns := false
		for _, k := range c.Classes {
			learns = learns || k.Name == "learn"
		}
		return there && learns, c.check()
	})
	if err != nil || len(got.Faults) != 1 || len(got.Classes) != 1 || got.Classes[0].Name != "learn" || got.Length > 4*time.Minute || got.Machines > 3 || got.Scale > 0.1 || asked > 200 {
		t.Errorf("%v after %d tries: %v", err, asked, got)
	}
	asked = 0
	if _, err := Shrink(e, 5, func(*Experiment) (bool, error) { asked++; return true, nil }); err != nil || asked > 5 {
		t.Errorf("%d tries, %v", asked, err)
	}
}

// A hunt sees a rule that breaks, and saves the smallest experiment that does, which
// breaks it again: here runs are told broken wherever the state service is away.
func TestHunt(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "hunt")
	fake := filepath.Join(t.TempDir(), "fake.sh")
	script := `grep -q '(state-outage' "$1/run.json" && B='[{"at":1,"rule":"ran_twice","what":"x"}]' || B='[]'
echo '{"run":"x","broken":'"$B"'}' > "$1/summary.json"; echo 0.5`
	if err := os.WriteFile(fake, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	var said []string
	found, err := Hunt(t.Context(), &Runner{Dir: dir, Play: []string{"/bin/sh", fake}}, HuntOptions{Seed: 1, Runs: 10, Length: 4 * time.Minute,
		Say: func(format string, args ...any) { said = append(said, fmt.Sprintf(format, args...)) }})
	if err != nil || len(found) == 0 || len(found) == 10 {
		t.Fatalf("%d found, %v: %v", len(found), err, said)
	}
	for _, f := range found {
		e, err := Load(f.File)
		if err != nil || len(e.Faults) != 1 || e.Faults[0].Verb != "state-outage" || len(e.Classes) != 1 {
			t.Errorf("%s: %v %v", f.File, err, e)
		}
	}
}

// A hunt varies the experiments in which cancelled work remained longest: here runs with more faults
// are told to come closer to the bound, and every other experiment has those of one that came close.
func TestHuntVariesWhatCameClose(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "hunt")
	fake := filepath.Join(t.TempDir(), "fake.sh")
	script := `N=$(grep -o '(at ' "$1/run.json" | wc -l)
echo '{"run":"x","broken":[],"cancelled":{"jobs":1,"worstShare":0.'"$(printf %02d $N)"'}}' > "$1/summary.json"; echo 0.5`
	if err := os.WriteFile(fake, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	faults := map[int][]string{}
	_, err := Hunt(t.Context(), &Runner{Dir: dir, Play: []string{"/bin/sh", fake}}, HuntOptions{Seed: 4, Runs: 12, Length: 4 * time.Minute,
		Say: func(format string, args ...any) {
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

// Mutated experiments can be played, are written as they are read, and differ from what they come from.
func TestMutatedExperimentsAreSound(t *testing.T) {
	for seed := range uint64(60) {
		e := Random(seed%7, 5*time.Minute)
		was := e.String()
		m := Mutated(e, 1000+seed)
		again, err := Parse([]byte(m.String()))
		if err != nil || again.String() != m.String() || m.String() == was {
			t.Fatalf("seed %d: %v\n%s", seed, err, m)
		}
		if e.String() != was {
			t.Fatalf("seed %d: what was mutated has changed", seed)
		}
	}
}

// Users who cancel at once are told so, and what ran for them on machines that hang meanwhile is
// measured: it lasts for about a lease where the machines can't be returned meanwhile.
func TestCancelNowIsMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, err := Parse([]byte(`(experiment "called-off" (controllers 3) (machines 12) (length "2m") (rest "1m")
			(class "proof" (shape service) (priority critical) (arrivals (start 6)) (tasks 4) (cores 4) (image "proof" 1))
			(at "69s" (cloud-outage "60s")) (at "70s" (cancel-now 4 "60s")))`))
		if err != nil {
			t.Fatal(err)
		}
		s, err := play(context.Background(), e, "", 1, t.TempDir(), func(history.Event) {}, func(float64) {})
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

// Intervals are those of Student's t, and a version is compared seed by seed.
func TestComparison(t *testing.T) {
	if e := estimate([]float64{4, 6, 8, math.NaN()}); e.Mean != 6 || math.Abs(e.Half-4.968) > 0.01 || e.N != 3 {
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
		value, difference := groups[1].of(m)
		if value.Differs() || difference == nil || !difference.Differs() || math.Abs(difference.Mean-5.15) > 1e-9 {
			t.Errorf("%v, %v: the seeds differ more than the versions", value, difference)
		}
	}
}

// Faults of one kind that overlap end when the last of them does.
func TestFaultsOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, err := Parse([]byte(`(experiment "overlap" (controllers 1) (machines 2) (length "40s") (rest "20s")
			(class "render" (arrivals (burst "12s" 1)))
			(at "10s" (cloud-outage "10s")) (at "15s" (cloud-outage "10s")) (at "20s" (crash "8s" all)) (at "22s" (crash "10s" "press-0")))`))
		if err != nil {
			t.Fatal(err)
		}
		var nodes []string
		ended := time.Duration(0)
		_, err = play(context.Background(), e, "", 1, t.TempDir(), func(ev history.Event) {
			switch ev.Kind {
			case history.NodeUp, history.NodeDown:
				nodes = append(nodes, fmt.Sprint(ev.At.Round(time.Second), ev.Kind))
			case history.MachineRented:
				if ended == 0 {
					ended = ev.At
				}
			}
		}, func(float64) {})
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(nodes, " "); got != "0snode-up 20snode-down 32snode-up" {
			t.Errorf("controllers: %s", got)
		}
		raw, _ := json.Marshal(ended)
		if ended < 25*time.Second {
			t.Errorf("rented at %s, in an outage of the cloud", raw)
		}
	})
}
