package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	draw2d "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"daledyke/internal/history"
)

// page is the data of the report's template.
type page struct {
	Name, Experiment string
	Groups           []*Group
	Rows             []pageRow
	Broken           []string
	Slowest          []string // descriptions of the slowest cancellations
	Charts           []pageCharts
	Made             time.Time
}

type pageRow struct {
	Name  string
	Cells []pageCell
}

type pageCell struct {
	Value, Difference string
	Differs           bool
}

type pageCharts struct {
	Title  string
	Charts []template.HTML
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title><style>
body { font: 14px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 72em; padding: 0 1em; color: #222 }
table { border-collapse: collapse } td, th { padding: .2em .8em; border-bottom: 1px solid #ddd; text-align: right; white-space: nowrap }
th:first-child, td:first-child { text-align: left } .differs { font-weight: bold } small { color: #666 }
pre { background: #f6f6f6; padding: 1em; overflow: auto } svg { max-width: 100%; height: auto } .broken { color: #a00 }
.scroll { overflow-x: auto }
</style></head><body>
<h1>{{.Name}}</h1>
<p>Figures from machines that were played. Means over seeds with 95% intervals; below them the difference from the first version, seed by seed, bold where zero lies outside of its interval.</p>
{{range .Broken}}<p class="broken">{{.}}</p>{{end}}
<div class="scroll"><table><tr><th></th>{{range .Groups}}<th>{{.Name}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.Value}}{{if .Difference}}<br><small{{if .Differs}} class="differs"{{end}}>{{.Difference}}</small>{{end}}</td>{{end}}</tr>
{{end}}</table></div>
{{if .Slowest}}<h2>Slowest to be gone after a cancellation was told</h2><ul>{{range .Slowest}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{range .Charts}}<h2>{{.Title}}</h2>{{range .Charts}}<p>{{.}}</p>{{end}}{{end}}
<h2>Experiment</h2><pre>{{.Experiment}}</pre>
<p><small>Made {{.Made.Format "2006-01-02 15:04"}}. Grey: while something failed.</small></p>
</body></html>
`))

// Report writes an HTML report of the result in a directory.
func Report(dir, out string) error {
	r, err := ReadResult(dir)
	if err != nil {
		return err
	}
	e, err := Parse([]byte(r.Experiment))
	if err != nil {
		return err
	}
	p := page{Name: e.Name, Experiment: r.Experiment, Groups: r.groups(), Made: time.Now().UTC()}
	for _, m := range r.measures() {
		row := pageRow{Name: m.Name}
		for _, g := range p.Groups {
			value, difference := g.estimate(m)
			cell := pageCell{Value: value.String()}
			if difference != nil {
				cell.Difference, cell.Differs = difference.String(), difference.Differs()
			}
			row.Cells = append(row.Cells, cell)
		}
		p.Rows = append(p.Rows, row)
	}
	for _, s := range r.Runs {
		for _, v := range s.Broken[:min(10, len(s.Broken))] {
			p.Broken = append(p.Broken, s.Run+": "+v.String())
		}
		for k := range s.Cancelled.Worst {
			p.Slowest = append(p.Slowest, s.Run+": "+describeCancellation(&s.Cancelled.Worst[k], s.Cancelled.Within))
		}
	}
	for _, g := range p.Groups {
		c, err := g.charts(filepath.Join(dir, "runs", g.Runs[0].Run, eventsFile))
		if err != nil {
			return err
		}
		p.Charts = append(p.Charts, c)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, p); err != nil {
		return err
	}
	if err := os.WriteFile(out+".part", b.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(out+".part", out)
}

// timeline holds the data for the charts of one run.
type timeline struct {
	at      []time.Duration
	samples []history.Sample
	faults  []faultSpan
}

type faultSpan struct {
	from, to time.Duration
	what     string
}

func readTimeline(file string) (c timeline, err error) {
	unfinished := map[string][]int{}
	err = history.Read(file, func(e history.Event) error {
		switch e.Kind {
		case history.Sampled:
			c.at, c.samples = append(c.at, e.At), append(c.samples, *e.Sample)
		case history.FaultBegins:
			unfinished[e.Cause] = append(unfinished[e.Cause], len(c.faults))
			c.faults = append(c.faults, faultSpan{e.At, -1, e.Cause})
		case history.FaultEnds:
			if n := len(unfinished[e.Cause]); n > 0 {
				c.faults[unfinished[e.Cause][0]].to = e.At
				unfinished[e.Cause] = unfinished[e.Cause][1:]
			}
		}
		return nil
	})
	end := time.Duration(0)
	if n := len(c.at); n > 0 {
		end = c.at[n-1]
	}
	for i := range c.faults {
		if f := &c.faults[i]; f.to < 0 {
			f.to = end
		} else if f.to == f.from {
			f.to += end / 300 // a visible width for a fault without duration
		}
	}
	return c, err
}

// curve is a named curve of a chart.
type curve struct {
	name   string
	points plotter.XYs
}

// series returns the curve of a value over the samples.
func (c *timeline) series(name string, f func(n int) float64) curve {
	l := curve{name: name}
	for n, at := range c.at {
		l.points = append(l.points, plotter.XY{X: at.Minutes(), Y: f(n)})
	}
	return l
}

// rate returns the curve of a count's growth per second.
func (c *timeline) rate(name string, count func(*history.Sample) float64) curve {
	return c.series(name, func(n int) float64 {
		if n == 0 {
			return 0
		}
		return (count(&c.samples[n]) - count(&c.samples[n-1])) / (c.at[n] - c.at[n-1]).Seconds()
	})
}

// charts draws the timeline of the group's first run, and the waits and cancellation times of all runs.
func (g *Group) charts(events string) (p pageCharts, err error) {
	c, err := readTimeline(events)
	if err != nil {
		return p, err
	}
	p.Title = g.Name + ", seed " + fmt.Sprint(g.Runs[0].Seed)
	at := func(f func(*history.Sample) float64) func(int) float64 {
		return func(n int) float64 { return f(&c.samples[n]) }
	}
	for _, chart := range []struct {
		title, y string
		curves   []curve
	}{
		{"Tasks that run, jobs that wait", "", []curve{c.series("tasks running", at(func(s *history.Sample) float64 { return float64(s.Running) })),
			c.series("jobs waiting", at(func(s *history.Sample) float64 { return float64(s.Waiting) }))}},
		{"Machines", "", []curve{c.series("charged", at(func(s *history.Sample) float64 { return float64(s.Machines) }))}},
		{"CPUs in use", "%", []curve{c.series("of those there", at(func(s *history.Sample) float64 { return 100 * s.CoresUsed / max(1, s.Cores) }))}},
		{"State service", "a second", []curve{c.rate("requests", func(s *history.Sample) float64 { return float64(s.StateRequests) }),
			c.rate("changes", func(s *history.Sample) float64 { return float64(s.StateChanges) })}},
		{"Money", "", []curve{c.series("spent", at(func(s *history.Sample) float64 { return s.Money }))}},
	} {
		svg, err := drawChart(chart.title, "minutes", chart.y, chart.curves, c.faults)
		if err != nil {
			return p, err
		}
		p.Charts = append(p.Charts, svg)
	}
	waits, err := g.waits()
	if err != nil || len(waits) == 0 {
		return p, err
	}
	svg, err := drawChart("Waits by class, all seeds", "seconds", "% of jobs begun", waits, nil)
	if err != nil {
		return p, err
	}
	p.Charts = append(p.Charts, svg)
	gone, err := g.cancellationTimes()
	if err != nil || len(gone.points) == 0 {
		return p, err
	}
	svg, err = drawChart("Until the tasks of cancelled jobs were gone, all seeds", "seconds", "% of those that had any", []curve{gone}, nil)
	p.Charts = append(p.Charts, svg)
	return p, err
}

// cancellationTimes returns the share of cancelled jobs whose tasks had ended, by time since the cancellation.
func (g *Group) cancellationTimes() (l curve, err error) {
	merged := newHistogram()
	for _, s := range g.Runs {
		if len(s.Cancelled.Took) == 0 {
			continue // written by a version without this histogram
		}
		h, err := hdrhistogram.Decode(s.Cancelled.Took)
		if err != nil {
			return l, fmt.Errorf("%s: cancelled jobs: %w", s.Run, err)
		}
		merged.Merge(h)
	}
	return quantileCurve("cancelled jobs", merged), nil
}

// quantileCurve returns the curve of the quantiles of a histogram in milliseconds, without points if it is
// empty.
func quantileCurve(name string, h *hdrhistogram.Histogram) curve {
	l := curve{name: name}
	if h.TotalCount() == 0 {
		return l
	}
	for q := 0.0; q <= 99.5; q += 0.5 {
		l.points = append(l.points, plotter.XY{X: float64(h.ValueAtQuantile(q)) / 1000, Y: q})
	}
	return l
}

// waits returns, for each class, the share of jobs that had begun by time since submission.
func (g *Group) waits() (curves []curve, err error) {
	merged := map[string]*hdrhistogram.Histogram{}
	for _, s := range g.Runs {
		for class, c := range s.Classes {
			h, err := hdrhistogram.Decode(c.Wait)
			if err != nil {
				return nil, fmt.Errorf("%s: waits of %s: %w", s.Run, class, err)
			}
			if merged[class] == nil {
				merged[class] = newHistogram()
			}
			merged[class].Merge(h)
		}
	}
	for _, class := range slices.Sorted(maps.Keys(merged)) {
		if l := quantileCurve(class, merged[class]); len(l.points) > 0 {
			curves = append(curves, l)
		}
	}
	return curves, nil
}

var palette = []color.Color{color.RGBA{0x1b, 0x6c, 0xa8, 0xff}, color.RGBA{0xd9, 0x6b, 0x0b, 0xff}, color.RGBA{0x2f, 0x8f, 0x4e, 0xff},
	color.RGBA{0x8a, 0x3f, 0x9c, 0xff}, color.RGBA{0x90, 0x50, 0x30, 0xff}, color.RGBA{0x40, 0x40, 0x40, 0xff}}

// drawChart draws curves over shaded intervals in which faults were active.
func drawChart(title, x, y string, curves []curve, faults []faultSpan) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min, p.Legend.Top = 0, true
	p.Legend.ThumbnailWidth, p.Legend.Padding, p.Legend.XOffs = vg.Points(14), vg.Points(3), -vg.Points(4)
	top := 1.0
	for _, l := range curves {
		for _, at := range l.points {
			top = max(top, at.Y)
		}
	}
	for _, f := range faults {
		from, to := f.from.Minutes(), f.to.Minutes()
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return "", err
		}
		area.Color, area.LineStyle.Width = color.RGBA{0, 0, 0, 0x18}, 0
		p.Add(area)
	}
	for n, l := range curves {
		if len(l.points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return "", fmt.Errorf("%s: %w", title, err)
		}
		drawn.Color, drawn.Width = palette[n%len(palette)], vg.Points(1.2)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	c := vgsvg.New(9*vg.Inch, 2.6*vg.Inch)
	p.Draw(draw2d.Crop(draw2d.New(c), 0, -vg.Points(24), 0, 0))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 { // drop the XML header of a standalone file
		svg = svg[at:]
	}
	return template.HTML(svg), nil // contains only numbers and class names, which the plot escapes
}
