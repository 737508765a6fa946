package lab

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"olympos.io/encoding/edn"

	"daledyke/internal/config"
	"daledyke/internal/forms"
	"daledyke/internal/protocol"
)

// Experiment is what is tried: a deployment, its load, what fails, and what is compared.
type Experiment struct {
	Name string
	// Real: on loopback in real time, with processes; else in virtual time.
	Real        bool
	Controllers int
	Machines    int
	Length      time.Duration
	// Rest is for how long, after Length, no new work comes and nothing more fails.
	Rest     time.Duration
	Seeds    []uint64
	Classes  []Class
	Faults   []Fault
	Versions []Version
	// Vary are the values of a setting that are gone through, one after the other.
	Vary []Variable
	// Scale multiplies the numbers of jobs.
	Scale float64
	// Served is the least share of any class's and any team's work that must be served, 0
	// for none.
	Served float64
	// Own is what the deployment has instead of the example's.
	Own Own
}

// Version is a built program that is compared; the first is what the others are compared
// with. Experiments in virtual time have only this one, with no path.
type Version struct{ Name, Path string }

// Variable is a setting that varies: controllers, machines, scale, or size, which
// multiplies both machines and scale.
type Variable struct {
	Name   string
	Values []float64
}

// Class is a kind of work.
type Class struct {
	Name string
	// Teams are whose jobs they are, one drawn for each.
	Teams    []string
	Shape    protocol.Shape
	Priority protocol.Priority
	Arrivals []Arrivals
	Tasks    Draw
	// Run is a task's run time in seconds on a machine of nominal speed.
	Run Draw
	// Error is the sigma of the factor by which owners err about run times.
	Error              float64
	Cores, Accels, RAM float64
	Image              string
	ImageGB            float64
	// Images is how many images of that size there are; a job has one of them.
	Images int
	// Types are the machine types that its tasks may be on, nil for any.
	Types            []string
	SaveEvery, Save  time.Duration
	Spot             bool
	OneZone, Scatter bool
	// Due is a job's deadline in run times, 0 for none.
	Due float64
	// Cancelled, Chained and Mistaken are the shares of jobs that their users cancel, that
	// need the one before, and that are submitted with a mistake.
	Cancelled, Chained, Mistaken float64
}

// Arrivals say when jobs of a class come.
type Arrivals struct {
	// Kind is one of start (Count jobs in the first seconds), poisson (one every Gap on
	// average), burst (Count at once, at At) and swing (as poisson, but more and less often by
	// Depth over a Period).
	Kind            string
	Count           int
	Gap, At, Period time.Duration
	Depth           float64
}

// Draw is a number or a distribution: const (A), uniform (from A to B), lognormal (of
// median A and sigma B), exponential (of mean A), pareto (of least A and index B) or
// choice (of values, each with its weight).
type Draw struct {
	Kind   string
	A, B   float64
	Values []float64 // of a choice: value, weight, value, weight, ...
}

// Fault is something that fails at a time, for as long as it says.
type Fault struct {
	At   time.Duration
	Verb string
	Args []string
}

func (f Fault) String() string { return f.Verb + " " + strings.Join(f.Args, " ") }

// Load reads an experiment from a file. An error tells the line.
func Load(file string) (*Experiment, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	e, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return e, nil
}

// Parse reads an experiment.
func Parse(raw []byte) (*Experiment, error) {
	e := &Experiment{Controllers: 3, Machines: 40, Length: 10 * time.Minute, Rest: 3 * time.Minute, Seeds: []uint64{1}, Scale: 1}
	var form []edn.RawMessage
	if err := edn.Unmarshal(raw, &form); err != nil {
		return nil, fmt.Errorf("not one list: %w", err)
	}
	list, ok := forms.Items(raw, "experiment", 1)
	if !ok || len(list) == 0 || edn.Unmarshal(list[0].Raw, &e.Name) != nil || !plainName(e.Name) {
		return nil, errors.New(`line 1: it must begin with (experiment "name", of letters, digits and dashes`)
	}
	seen := map[string]bool{}
	for _, item := range list[1:] {
		if err := e.set(item, seen); err != nil {
			return nil, fmt.Errorf("line %d: %w", item.Line, err)
		}
	}
	return e, e.check()
}

func plainName(s string) bool {
	return s != "" && len(s) < 80 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.") == ""
}

// words reads a list into a symbol and its values as text.
func words(raw []byte) (head string, rest []string, err error) {
	var form []edn.RawMessage
	var symbol edn.Symbol
	if edn.Unmarshal(raw, &form) != nil || len(form) == 0 || edn.Unmarshal(form[0], &symbol) != nil {
		return "", nil, fmt.Errorf("not a list that begins with a name: %.60s", raw)
	}
	rest, err = texts(form[1:])
	return string(symbol), rest, err
}

// texts are values as text, all of it printable.
func texts(raw []edn.RawMessage) (values []string, err error) {
	for _, r := range raw {
		v := text(r)
		if strings.ContainsFunc(v, func(c rune) bool { return !unicode.IsPrint(c) && c != '\n' && c != '\t' }) {
			return nil, fmt.Errorf("%q can't be printed", v)
		}
		values = append(values, v)
	}
	return values, nil
}

// text is a value as text: a string's, or as it is written.
func text(raw []byte) string {
	var s string
	if edn.Unmarshal(raw, &s) == nil {
		return s
	}
	return strings.TrimSpace(string(raw))
}

func duration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > 48*time.Hour {
		return 0, fmt.Errorf("%q is no time from 0s to 48h", s)
	}
	return d, nil
}

func decimal(s string, least, most float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= least && v <= most) {
		return 0, fmt.Errorf("%q is no number from %v to %v", s, least, most)
	}
	return v, nil
}

func whole(s string, least, most int) (int, error) {
	v, err := strconv.Atoi(s)
	if err != nil || v < least || v > most {
		return 0, fmt.Errorf("%q is no whole number from %d to %d", s, least, most)
	}
	return v, nil
}

// one is the only value of an entry.
func one(values []string) (string, error) {
	if len(values) != 1 {
		return "", fmt.Errorf("one value is needed, not %d", len(values))
	}
	return values[0], nil
}

// set takes one entry of an experiment.
func (e *Experiment) set(item forms.Item, seen map[string]bool) (err error) {
	head, values, err := words(item.Raw)
	if err != nil {
		return err
	}
	if seen[head] && head != "class" && head != "at" && head != "version" && head != "vary" && head != "type" && head != "team" && head != "aim" {
		return fmt.Errorf("%s is there twice", head)
	}
	seen[head] = true
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s: %w", head, err)
		}
	}()
	value := ""
	switch head {
	case "clock", "controllers", "machines", "length", "rest", "scale", "served":
		if value, err = one(values); err != nil {
			return err
		}
	}
	switch head {
	case "clock":
		if value != "virtual" && value != "real" {
			return fmt.Errorf("it is virtual or real, not %q", value)
		}
		e.Real = value == "real"
	case "controllers":
		e.Controllers, err = whole(value, 1, 15)
	case "machines":
		e.Machines, err = whole(value, 1, 20000)
	case "length":
		e.Length, err = duration(value)
	case "rest":
		e.Rest, err = duration(value)
	case "scale":
		e.Scale, err = decimal(value, 0.001, 1000)
	case "served":
		e.Served, err = decimal(value, 0, 1)
	case "seeds":
		e.Seeds = nil
		for _, v := range values {
			n, err := strconv.ParseUint(v, 10, 64)
			if err != nil || slices.Contains(e.Seeds, n) {
				return fmt.Errorf("%q is no seed, or there twice", v)
			}
			e.Seeds = append(e.Seeds, n)
		}
		if len(e.Seeds) == 0 || len(e.Seeds) > 1000 {
			return errors.New("1 to 1000 seeds are needed")
		}
	case "version":
		if len(values) != 2 || !plainName(values[0]) {
			return errors.New("a name and a path are needed")
		}
		e.Versions = append(e.Versions, Version{values[0], values[1]})
	case "vary":
		if len(values) < 2 {
			return errors.New("a setting and its values are needed")
		}
		v := Variable{Name: values[0]}
		if !slices.Contains([]string{"controllers", "machines", "scale", "size"}, v.Name) {
			return fmt.Errorf("controllers, machines, scale and size can vary, not %s", v.Name)
		}
		for _, s := range values[1:] {
			n, err := decimal(s, 0.001, 20000)
			if err != nil {
				return err
			}
			v.Values = append(v.Values, n)
		}
		e.Vary = append(e.Vary, v)
	case "at":
		var form []edn.RawMessage
		if edn.Unmarshal(item.Raw, &form) != nil || len(form) != 3 {
			return errors.New("a time and one fault are needed")
		}
		var f Fault
		if f.At, err = duration(text(form[1])); err != nil {
			return err
		}
		if f.Verb, f.Args, err = words(form[2]); err != nil {
			return err
		}
		e.Faults = append(e.Faults, f)
	case "class":
		c, err := parseClass(item.Raw)
		if err != nil {
			return err
		}
		e.Classes = append(e.Classes, c)
	default:
		return e.Own.set(head, values, item.Raw)
	}
	return err
}

func parseClass(raw []byte) (c Class, err error) {
	c = Class{Teams: []string{"desk"}, Shape: protocol.Array, Priority: "normal", Tasks: Draw{Kind: "const", A: 1}, Run: Draw{Kind: "const", A: 30},
		Cores: 4, RAM: 8, Image: "tools", ImageGB: 2}
	name, entries, err := forms.Named(raw, "class")
	if err != nil {
		return c, err
	}
	if c.Name = name; !plainName(name) {
		return c, fmt.Errorf("%q: its name must be of letters, digits, dots and dashes", name)
	}
	for _, entry := range entries {
		values, err := texts(entry.Values)
		if err != nil {
			return c, fmt.Errorf("%q: %s: %w", name, entry.Name, err)
		}
		if err := c.set(entry.Name, values, entry.Values); err != nil {
			return c, fmt.Errorf("%q: %s: %w", name, entry.Name, err)
		}
	}
	if c.Arrivals == nil {
		return c, fmt.Errorf("%q: arrivals are missing", name)
	}
	return c, nil
}

func (c *Class) set(name string, values []string, raw []edn.RawMessage) (err error) {
	value := values[0]
	if len(values) != 1 && name != "image" && name != "saves" && name != "arrivals" && name != "types" && name != "team" {
		return fmt.Errorf("one value is needed, not %d", len(values))
	}
	share := func(into *float64) { *into, err = decimal(value, 0, 1) }
	yes := func(into *bool) {
		if *into = value == "true"; value != "true" && value != "false" {
			err = fmt.Errorf("true or false, not %q", value)
		}
	}
	switch name {
	case "team":
		c.Teams = values
	case "shape":
		shapes := map[string]protocol.Shape{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}
		if c.Shape = shapes[value]; c.Shape == "" {
			err = fmt.Errorf("array, gang or service, not %q", value)
		}
	case "priority":
		c.Priority = protocol.Priority(value)
		if !slices.Contains([]string{"idle", "normal", "high", "critical"}, value) {
			err = fmt.Errorf("idle, normal, high or critical, not %q", value)
		}
	case "arrivals":
		for _, r := range raw {
			a, err := parseArrivals(r)
			if err != nil {
				return err
			}
			c.Arrivals = append(c.Arrivals, a)
		}
	case "tasks":
		c.Tasks, err = parseDraw(raw[0])
	case "run":
		c.Run, err = parseDraw(raw[0])
	case "error":
		c.Error, err = decimal(value, 0, 3)
	case "cores":
		c.Cores, err = decimal(value, 0, 1000)
	case "accels":
		c.Accels, err = decimal(value, 0, 100)
	case "ram":
		c.RAM, err = decimal(value, 0, 10000)
	case "image":
		if len(values) != 2 {
			return errors.New("a name and its GB are needed")
		}
		c.Image = value
		c.ImageGB, err = decimal(values[1], 0, 1000)
	case "images":
		c.Images, err = whole(value, 1, 10000)
	case "types":
		c.Types = values
	case "saves":
		if len(values) != 2 {
			return errors.New("how often and for how long are needed")
		}
		if c.SaveEvery, err = duration(values[0]); err == nil {
			c.Save, err = duration(values[1])
		}
	case "spot":
		yes(&c.Spot)
	case "one-zone":
		yes(&c.OneZone)
	case "scatter":
		yes(&c.Scatter)
	case "due":
		c.Due, err = decimal(value, 1, 1000)
	case "cancelled":
		share(&c.Cancelled)
	case "chained":
		share(&c.Chained)
	case "mistaken":
		share(&c.Mistaken)
	default:
		err = errors.New("there is no such entry")
	}
	return err
}

func parseArrivals(raw []byte) (a Arrivals, err error) {
	head, values, err := words(raw)
	if err != nil {
		return a, err
	}
	a.Kind = head
	need := map[string]int{"start": 1, "poisson": 1, "burst": 2, "swing": 3}[head]
	if need == 0 || len(values) != need {
		return a, fmt.Errorf("(start COUNT), (poisson GAP), (burst AT COUNT) or (swing GAP PERIOD DEPTH), not %s", raw)
	}
	switch head {
	case "start":
		a.Count, err = whole(values[0], 1, 100000)
	case "burst":
		if a.At, err = duration(values[0]); err == nil {
			a.Count, err = whole(values[1], 1, 100000)
		}
	default:
		if a.Gap, err = duration(values[0]); err == nil && a.Gap < time.Millisecond {
			err = fmt.Errorf("%v is too small a gap", a.Gap)
		}
		if err == nil && head == "swing" {
			if a.Period, err = duration(values[1]); err == nil {
				a.Depth, err = decimal(values[2], 0, 1)
			}
		}
	}
	return a, err
}

func parseDraw(raw []byte) (d Draw, err error) {
	if v, ok := forms.Number(raw); ok {
		return Draw{Kind: "const", A: v}, nil
	}
	head, values, err := words(raw)
	if err != nil {
		return d, err
	}
	if head == "choice" && len(values) >= 2 && len(values)%2 == 0 {
		d.Kind = head
		sum := 0.0
		for n, value := range values {
			v, err := decimal(value, 0, 1e6)
			if err != nil {
				return d, err
			}
			d.Values = append(d.Values, v)
			sum += v * float64(n%2)
		}
		if sum <= 0 {
			return d, errors.New("its weights come to nothing")
		}
		return d, nil
	}
	need := map[string]int{"uniform": 2, "lognormal": 2, "exponential": 1, "pareto": 2}[head]
	if need == 0 || len(values) != need {
		return d, fmt.Errorf("a number, (uniform A B), (lognormal MEDIAN SIGMA), (exponential MEAN), (pareto LEAST INDEX) or (choice VALUE WEIGHT ...), not %s", raw)
	}
	d.Kind = head
	if d.A, err = decimal(values[0], 0, 1e6); err == nil && need == 2 {
		d.B, err = decimal(values[1], 0, 1e6)
	}
	if err == nil && (head == "uniform" && d.B < d.A || head == "pareto" && (d.A <= 0 || d.B <= 0)) {
		err = fmt.Errorf("%s has no such values", head)
	}
	return d, err
}

// check tells what does not go together.
func (e *Experiment) check() error {
	switch {
	case len(e.Classes) == 0:
		return errors.New("no class of work is there")
	case e.Length < 10*time.Second:
		return errors.New("length must be at least 10s")
	case len(e.Versions) > 0 && !e.Real:
		return errors.New("versions are compared in real time: (clock real)")
	}
	d := e.deployment()
	if err := e.Own.check(&d); err != nil {
		return err
	}
	names := map[string]bool{}
	for _, c := range e.Classes {
		if names[c.Name] {
			return fmt.Errorf("class %q is there twice", c.Name)
		}
		names[c.Name] = true
		for _, name := range c.Teams {
			if !slices.ContainsFunc(d.Teams, func(t config.Team) bool { return t.Name == name }) {
				return fmt.Errorf("class %q: there is no team %q", c.Name, name)
			}
		}
		for _, name := range c.Types {
			if !slices.ContainsFunc(d.Types, func(t protocol.MachineType) bool { return t.Name == name }) {
				return fmt.Errorf("class %q: there is no type %q", c.Name, name)
			}
		}
		if !slices.ContainsFunc(d.Types, func(t protocol.MachineType) bool {
			return (c.Types == nil || slices.Contains(c.Types, t.Name)) && t.Room().Fits(protocol.Room{Cores: c.Cores, Accels: c.Accels, RAM: c.RAM})
		}) {
			return fmt.Errorf("class %q: a task fits no machine", c.Name)
		}
	}
	for _, f := range e.Faults {
		if err := f.check(e, &d); err != nil {
			return fmt.Errorf("at %v: %s: %w", f.At, f.Verb, err)
		}
	}
	return nil
}

// String writes an experiment as Parse reads it.
func (e *Experiment) String() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, "\n  "+format, args...) }
	fmt.Fprintf(&b, "(experiment %q", e.Name)
	clock := "virtual"
	if e.Real {
		clock = "real"
	}
	p("(clock %s) (controllers %d) (machines %d) (length %q) (rest %q) (scale %v)", clock, e.Controllers, e.Machines, e.Length, e.Rest, e.Scale)
	p("(seeds%s)", joined(e.Seeds))
	if e.Served > 0 {
		p("(served %v)", e.Served)
	}
	for _, v := range e.Versions {
		p("(version %q %q)", v.Name, v.Path)
	}
	for _, v := range e.Vary {
		p("(vary %s%s)", v.Name, joined(v.Values))
	}
	for _, line := range e.Own.lines() {
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
		p("(at %q (%s%s))", f.At, f.Verb, args)
	}
	b.WriteString(")\n")
	return b.String()
}

func joined[T any](values []T) (s string) {
	for _, v := range values {
		s += fmt.Sprint(" ", v)
	}
	return s
}

func (c Class) String() string {
	shape := map[protocol.Shape]string{protocol.Array: "array", protocol.Gang: "gang", protocol.Service: "service"}[c.Shape]
	s := fmt.Sprintf("(class %q (team%s) (shape %s) (priority %s) (arrivals%s) (tasks %s) (run %s) (error %v)\n    (cores %v) (accels %v) (ram %v) (image %q %v)",
		c.Name, quoted(c.Teams), shape, c.Priority, joined(c.Arrivals), c.Tasks, c.Run, c.Error, c.Cores, c.Accels, c.RAM, c.Image, c.ImageGB)
	if c.Images > 0 {
		s += fmt.Sprintf(" (images %d)", c.Images)
	}
	if c.Types != nil {
		s += " (types" + quoted(c.Types) + ")"
	}
	if c.SaveEvery > 0 {
		s += fmt.Sprintf(" (saves %q %q)", c.SaveEvery, c.Save)
	}
	for _, flag := range []struct {
		name string
		set  bool
	}{{"spot", c.Spot}, {"one-zone", c.OneZone}, {"scatter", c.Scatter}} {
		if flag.set {
			s += " (" + flag.name + " true)"
		}
	}
	if c.Due > 0 {
		s += fmt.Sprintf(" (due %v)", c.Due)
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

func (d Draw) String() string {
	switch d.Kind {
	case "const":
		return fmt.Sprint(d.A)
	case "exponential":
		return fmt.Sprintf("(exponential %v)", d.A)
	case "choice":
		return "(choice" + joined(d.Values) + ")"
	}
	return fmt.Sprintf("(%s %v %v)", d.Kind, d.A, d.B)
}
