package lab

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"daledyke/internal/history"
)

// Estimate is a mean over N seeds with half the width of its 95% confidence interval by Student's t; the
// width is NaN for a single seed.
type Estimate struct {
	Mean, HalfWidth float64
	N               int
}

// estimate returns the mean and the confidence interval of the values that are numbers.
func estimate(values []float64) Estimate {
	values = slices.DeleteFunc(slices.Clone(values), math.IsNaN)
	n := len(values)
	if n == 0 {
		return Estimate{math.NaN(), math.NaN(), 0}
	}
	mean, dev := stat.MeanStdDev(values, nil)
	if n == 1 {
		return Estimate{mean, math.NaN(), 1}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(0.975)
	return Estimate{mean, t * dev / math.Sqrt(float64(n)), n}
}

func (e Estimate) String() string {
	switch {
	case e.N == 0:
		return "-"
	case math.IsNaN(e.HalfWidth):
		return fmt.Sprintf("%.3g", e.Mean)
	}
	return fmt.Sprintf("%.3g ± %.2g", e.Mean, e.HalfWidth)
}

// Differs reports whether zero lies outside the confidence interval.
func (e Estimate) Differs() bool { return e.N > 1 && math.Abs(e.Mean) > e.HalfWidth }

// Group holds the runs of one version under one combination of settings; they differ by their seeds.
type Group struct {
	Name string
	Runs []Summary
	// base is the group of the first version under the same settings, nil for that group itself.
	base *Group
}

// groups returns the result's runs grouped by version and settings, in order of first appearance.
func (r *Result) groups() (all []*Group) {
	byName := map[string]*Group{}
	first := map[string]*Group{} // by settings
	for _, s := range r.Runs {
		setting := ""
		for _, name := range slices.Sorted(maps.Keys(s.Settings)) {
			setting += fmt.Sprintf(" %s %v", name, s.Settings[name])
		}
		name := strings.TrimSpace(s.Version + setting)
		g := byName[name]
		if g == nil {
			g = &Group{Name: name, base: first[setting]}
			if g.base == nil {
				first[setting] = g
			}
			byName[name] = g
			all = append(all, g)
		}
		g.Runs = append(g.Runs, s)
	}
	return all
}

// Measure is a quantity by which runs are compared.
type Measure struct {
	Name string
	// Value returns the value of a run, NaN if the run has none.
	Value func(*Summary) float64
}

func lowestShare(shares map[string]float64) float64 {
	if len(shares) == 0 {
		return math.NaN()
	}
	_, share := history.Lowest(shares)
	return share
}

// measures returns all measures of a result.
func (r *Result) measures() []Measure {
	classes := map[string]bool{}
	for _, s := range r.Runs {
		for name := range s.Classes {
			classes[name] = true
		}
	}
	all := []Measure{
		{"rules broken", func(s *Summary) float64 { return float64(len(s.Broken)) }},
		{"served, of the lowest class", func(s *Summary) float64 { return lowestShare(s.ServedClasses) }},
		{"served, of the lowest team", func(s *Summary) float64 { return lowestShare(s.ServedTeams) }},
		{"served, of the lowest class's largest jobs", func(s *Summary) float64 { return lowestShare(s.ServedLargest) }},
		{"largest jobs begun in time, lowest class", func(s *Summary) float64 { return lowestShare(s.BegunLargest) }},
		{"longest without an answer, s", func(s *Summary) float64 { return s.Unanswered.Seconds() }},
		{"cancelled jobs' tasks gone, worst share of the time allowed", func(s *Summary) float64 { return s.Cancelled.WorstShare }},
		{"starts after a cancellation was told", func(s *Summary) float64 { return float64(s.Cancelled.StartedAfter) }},
		{"of these, sent after it", func(s *Summary) float64 { return float64(s.Cancelled.SentAfter) }},
		{"CPUs in use", func(s *Summary) float64 { return s.Used }},
		{"machines", func(s *Summary) float64 { return s.Machines }},
		{"money", func(s *Summary) float64 { return s.Money }},
		{"money per useful CPU hour", func(s *Summary) float64 { return s.Money / s.Useful }},
		{"starts", func(s *Summary) float64 { return float64(s.Starts) }},
		{"starts, most over mean of owners", func(s *Summary) float64 { return s.Uneven }},
		{"state requests/s", func(s *Summary) float64 { return s.StateRequests }},
		{"state changes/s", func(s *Summary) float64 { return s.StateChanges }},
		{"events/s of real time", func(s *Summary) float64 { return float64(s.Events) / s.Took.Seconds() }},
		{"time played per real time", func(s *Summary) float64 { return s.Length.Seconds() / s.Took.Seconds() }},
		{"memory, MB", func(s *Summary) float64 { return s.MemMB }},
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		ofClass := func(f func(*ClassSummary) float64) func(*Summary) float64 {
			return func(s *Summary) float64 {
				if c := s.Classes[class]; c != nil {
					return f(c)
				}
				return math.NaN()
			}
		}
		quantile := func(pick func(*ClassSummary) []byte, q float64) func(*Summary) float64 {
			return ofClass(func(c *ClassSummary) float64 {
				h, err := hdrhistogram.Decode(pick(c))
				if err != nil || h.TotalCount() == 0 {
					return math.NaN()
				}
				return float64(h.ValueAtQuantile(q)) / 1000
			})
		}
		wait := func(c *ClassSummary) []byte { return c.Wait }
		finish := func(c *ClassSummary) []byte { return c.Finish }
		all = append(all,
			Measure{class + ": begun", ofClass(func(c *ClassSummary) float64 { return float64(c.Begun) / float64(c.Jobs) })},
			Measure{class + ": done", ofClass(func(c *ClassSummary) float64 { return float64(c.Done) / float64(c.Jobs) })},
			Measure{class + ": wait, half, s", quantile(wait, 50)},
			Measure{class + ": wait, 90%, s", quantile(wait, 90)},
			Measure{class + ": done after, 90%, s", quantile(finish, 90)},
			Measure{class + ": accepted after, 99%, s", quantile(func(c *ClassSummary) []byte { return c.Answer }, 99)})
	}
	return all
}

// estimate returns the estimate of a measure over the group's seeds, and of its paired difference from the base
// group, seed by seed.
func (g *Group) estimate(m Measure) (value Estimate, difference *Estimate) {
	values := func(runs []Summary) (v []float64) {
		for i := range runs {
			v = append(v, m.Value(&runs[i]))
		}
		return v
	}
	groupValues := values(g.Runs)
	value = estimate(groupValues)
	if g.base == nil || len(g.base.Runs) != len(g.Runs) {
		return value, nil
	}
	baseValues := values(g.base.Runs)
	for i := range groupValues {
		groupValues[i] -= baseValues[i]
	}
	d := estimate(groupValues)
	return value, &d
}

// Broken returns the number of violations of rules in all runs.
func (r *Result) Broken() (n int) {
	for _, s := range r.Runs {
		n += len(s.Broken)
	}
	return n
}

// Table writes a table of all measures by group, and the first violations of each run.
func (r *Result) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	groups := r.groups()
	for _, g := range groups {
		fmt.Fprintf(t, "\t%s", g.Name)
	}
	fmt.Fprintln(t)
	for _, m := range r.measures() {
		fmt.Fprint(t, m.Name)
		for _, g := range groups {
			value, _ := g.estimate(m)
			fmt.Fprintf(t, "\t%v", value)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range r.Runs {
		for _, v := range s.Broken[:min(5, len(s.Broken))] {
			fmt.Fprintf(w, "%s: broken at %v\n", s.Run, v)
		}
	}
	return nil
}
