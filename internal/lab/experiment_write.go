package lab

import (
	"fmt"
	"strings"

	"daledyke/internal/protocol"
)

// Formatting of experiments; parsing the output gives an equal experiment.

// String formats the experiment in the syntax that Parse reads.
func (e *Experiment) String() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, "\n  "+format, args...) }
	fmt.Fprintf(&b, "(experiment %q", e.Name)
	clock := "virtual"
	if e.RealTime {
		clock = "real"
	}
	p("(clock %s) (controllers %d) (machines %d) (length %q) (rest %q) (scale %v)", clock, e.Controllers, e.Machines, e.Length, e.Rest, e.Scale)
	p("(seeds%s)", joinValues(e.Seeds))
	if e.MinServed > 0 {
		p("(served %v)", e.MinServed)
	}
	for _, v := range e.Versions {
		p("(version %q %q)", v.Name, v.Path)
	}
	for _, v := range e.Vary {
		p("(vary %s%s)", v.Name, joinValues(v.Values))
	}
	for _, line := range e.Overrides.entries() {
		p("%s", line)
	}
	for _, c := range e.Classes {
		p("%s", c)
	}
	for _, f := range e.Faults {
		args := ""
		for _, a := range f.Args {
			args += fmt.Sprintf(" %q", a)
		}
		p("(at %q (%s%s))", f.At, f.Kind, args)
	}
	b.WriteString(")\n")
	return b.String()
}

func joinValues[T any](values []T) (s string) {
	for _, v := range values {
		s += fmt.Sprint(" ", v)
	}
	return s
}

func (c Class) String() string {
	shape := map[protocol.Shape]string{protocol.Array: "array", protocol.Gang: "gang", protocol.Service: "service"}[c.Shape]
	s := fmt.Sprintf("(class %q (team%s) (shape %s) (priority %s) (arrivals%s) (tasks %s) (run %s) (error %v)\n    (cores %v) (accels %v) (ram %v) (image %q %v)",
		c.Name, quoteValues(c.Teams), shape, c.Priority, joinValues(c.Arrivals), c.Tasks, c.Run, c.Error, c.Cores, c.Accels, c.RAM, c.Image, c.ImageGB)
	if c.Images > 0 {
		s += fmt.Sprintf(" (images %d)", c.Images)
	}
	if c.Types != nil {
		s += " (types" + quoteValues(c.Types) + ")"
	}
	if c.CheckpointEvery > 0 {
		s += fmt.Sprintf(" (saves %q %q)", c.CheckpointEvery, c.CheckpointTime)
	}
	for _, flag := range []struct {
		name string
		set  bool
	}{{"spot", c.Spot}, {"one-zone", c.OneZone}, {"scatter", c.Scatter}} {
		if flag.set {
			s += " (" + flag.name + " true)"
		}
	}
	if c.DeadlineFactor > 0 {
		s += fmt.Sprintf(" (due %v)", c.DeadlineFactor)
	}
	return s + fmt.Sprintf(" (cancelled %v) (chained %v) (mistaken %v))", c.Cancelled, c.Chained, c.Mistaken)
}

func (a Arrivals) String() string {
	switch a.Kind {
	case "start":
		return fmt.Sprintf("(start %d)", a.Count)
	case "burst":
		return fmt.Sprintf("(burst %q %d)", a.At, a.Count)
	case "swing":
		return fmt.Sprintf("(swing %q %q %v)", a.Gap, a.Period, a.Depth)
	}
	return fmt.Sprintf("(%s %q)", a.Kind, a.Gap)
}

func (d Distribution) String() string {
	switch d.Kind {
	case "const":
		return fmt.Sprint(d.A)
	case "exponential":
		return fmt.Sprintf("(exponential %v)", d.A)
	case "choice":
		return "(choice" + joinValues(d.Values) + ")"
	}
	return fmt.Sprintf("(%s %v %v)", d.Kind, d.A, d.B)
}
