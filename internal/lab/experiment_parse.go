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

	"daledyke/internal/forms"
	"daledyke/internal/protocol"
)

// Parsing of experiments, which are S-expressions in EDN.

// Load reads an experiment from a file. A parse error names the line.
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

// Parse parses and validates an experiment.
func Parse(raw []byte) (*Experiment, error) {
	e := &Experiment{Controllers: 3, Machines: 40, Length: 10 * time.Minute, Rest: 3 * time.Minute, Seeds: []uint64{1}, Scale: 1}
	var form []edn.RawMessage
	if err := edn.Unmarshal(raw, &form); err != nil {
		return nil, fmt.Errorf("not one list: %w", err)
	}
	list, ok := forms.Items(raw, "experiment", 1)
	if !ok || len(list) == 0 || edn.Unmarshal(list[0].Raw, &e.Name) != nil || !isPlainName(e.Name) {
		return nil, errors.New(`line 1: it must begin with (experiment "name", of letters, digits and dashes`)
	}
	seen := map[string]bool{}
	for _, item := range list[1:] {
		if err := e.setEntry(item, seen); err != nil {
			return nil, fmt.Errorf("line %d: %w", item.Line, err)
		}
	}
	return e, e.validate()
}

func isPlainName(s string) bool {
	return s != "" && len(s) < 80 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.") == ""
}

// parseForm splits a list into its leading symbol and the text of its values.
func parseForm(raw []byte) (head string, rest []string, err error) {
	var form []edn.RawMessage
	var symbol edn.Symbol
	if edn.Unmarshal(raw, &form) != nil || len(form) == 0 || edn.Unmarshal(form[0], &symbol) != nil {
		return "", nil, fmt.Errorf("not a list that begins with a name: %.60s", raw)
	}
	rest, err = valueTexts(form[1:])
	return string(symbol), rest, err
}

// valueTexts returns values as text and rejects unprintable characters.
func valueTexts(raw []edn.RawMessage) (values []string, err error) {
	for _, r := range raw {
		v := valueText(r)
		if strings.ContainsFunc(v, func(c rune) bool { return !unicode.IsPrint(c) && c != '\n' && c != '\t' }) {
			return nil, fmt.Errorf("%q can't be printed", v)
		}
		values = append(values, v)
	}
	return values, nil
}

// valueText returns the contents of a string, or any other value as it is written.
func valueText(raw []byte) string {
	var s string
	if edn.Unmarshal(raw, &s) == nil {
		return s
	}
	return strings.TrimSpace(string(raw))
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > 48*time.Hour {
		return 0, fmt.Errorf("%q is no time from 0s to 48h", s)
	}
	return d, nil
}

func parseFloat(s string, minimum, maximum float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= minimum && v <= maximum) {
		return 0, fmt.Errorf("%q is no number from %v to %v", s, minimum, maximum)
	}
	return v, nil
}

func parseInt(s string, minimum, maximum int) (int, error) {
	v, err := strconv.Atoi(s)
	if err != nil || v < minimum || v > maximum {
		return 0, fmt.Errorf("%q is no whole number from %d to %d", s, minimum, maximum)
	}
	return v, nil
}

// singleValue returns the only value of an entry.
func singleValue(values []string) (string, error) {
	if len(values) != 1 {
		return "", fmt.Errorf("one value is needed, not %d", len(values))
	}
	return values[0], nil
}

func parseClass(raw []byte) (c Class, err error) {
	c = Class{Teams: []string{"desk"}, Shape: protocol.Array, Priority: "normal", Tasks: Distribution{Kind: "const", A: 1}, Run: Distribution{Kind: "const", A: 30},
		Cores: 4, RAM: 8, Image: "tools", ImageGB: 2}
	name, entries, err := forms.Named(raw, "class")
	if err != nil {
		return c, err
	}
	if c.Name = name; !isPlainName(name) {
		return c, fmt.Errorf("%q: its name must be of letters, digits, dots and dashes", name)
	}
	for _, entry := range entries {
		values, err := valueTexts(entry.Values)
		if err != nil {
			return c, fmt.Errorf("%q: %s: %w", name, entry.Name, err)
		}
		if err := c.setEntry(entry.Name, values, entry.Values); err != nil {
			return c, fmt.Errorf("%q: %s: %w", name, entry.Name, err)
		}
	}
	if c.Arrivals == nil {
		return c, fmt.Errorf("%q: arrivals are missing", name)
	}
	return c, nil
}

func parseArrivals(raw []byte) (a Arrivals, err error) {
	head, values, err := parseForm(raw)
	if err != nil {
		return a, err
	}
	a.Kind = head
	arity := map[string]int{"start": 1, "poisson": 1, "burst": 2, "swing": 3}[head]
	if arity == 0 || len(values) != arity {
		return a, fmt.Errorf("(start COUNT), (poisson GAP), (burst AT COUNT) or (swing GAP PERIOD DEPTH), not %s", raw)
	}
	switch head {
	case "start":
		a.Count, err = parseInt(values[0], 1, 100000)
	case "burst":
		if a.At, err = parseDuration(values[0]); err == nil {
			a.Count, err = parseInt(values[1], 1, 100000)
		}
	default:
		if a.Gap, err = parseDuration(values[0]); err == nil && a.Gap < time.Millisecond {
			err = fmt.Errorf("%v is too small a gap", a.Gap)
		}
		if err == nil && head == "swing" {
			if a.Period, err = parseDuration(values[1]); err == nil {
				a.Depth, err = parseFloat(values[2], 0, 1)
			}
		}
	}
	return a, err
}

func parseDistribution(raw []byte) (d Distribution, err error) {
	if v, ok := forms.Number(raw); ok {
		return Distribution{Kind: "const", A: v}, nil
	}
	head, values, err := parseForm(raw)
	if err != nil {
		return d, err
	}
	if head == "choice" && len(values) >= 2 && len(values)%2 == 0 {
		d.Kind = head
		sum := 0.0
		for n, value := range values {
			v, err := parseFloat(value, 0, 1e6)
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
	arity := map[string]int{"uniform": 2, "lognormal": 2, "exponential": 1, "pareto": 2}[head]
	if arity == 0 || len(values) != arity {
		return d, fmt.Errorf("a number, (uniform A B), (lognormal MEDIAN SIGMA), (exponential MEAN), (pareto LEAST INDEX) or (choice VALUE WEIGHT ...), not %s", raw)
	}
	d.Kind = head
	if d.A, err = parseFloat(values[0], 0, 1e6); err == nil && arity == 2 {
		d.B, err = parseFloat(values[1], 0, 1e6)
	}
	if err == nil && (head == "uniform" && d.B < d.A || head == "pareto" && (d.A <= 0 || d.B <= 0)) {
		err = fmt.Errorf("%s has no such values", head)
	}
	return d, err
}

// setEntry applies one entry of an experiment file.
func (e *Experiment) setEntry(item forms.Item, seen map[string]bool) (err error) {
	head, values, err := parseForm(item.Raw)
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
		if value, err = singleValue(values); err != nil {
			return err
		}
	}
	switch head {
	case "clock":
		if value != "virtual" && value != "real" {
			return fmt.Errorf("it is virtual or real, not %q", value)
		}
		e.RealTime = value == "real"
	case "controllers":
		e.Controllers, err = parseInt(value, 1, 15)
	case "machines":
		e.Machines, err = parseInt(value, 1, 20000)
	case "length":
		e.Length, err = parseDuration(value)
	case "rest":
		e.Rest, err = parseDuration(value)
	case "scale":
		e.Scale, err = parseFloat(value, 0.001, 1000)
	case "served":
		e.MinServed, err = parseFloat(value, 0, 1)
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
		if len(values) != 2 || !isPlainName(values[0]) {
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
			n, err := parseFloat(s, 0.001, 20000)
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
		if f.At, err = parseDuration(valueText(form[1])); err != nil {
			return err
		}
		if f.Kind, f.Args, err = parseForm(form[2]); err != nil {
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
		return e.Overrides.setEntry(head, values, item.Raw)
	}
	return err
}

func (c *Class) setEntry(name string, values []string, raw []edn.RawMessage) (err error) {
	value := values[0]
	if len(values) != 1 && name != "image" && name != "saves" && name != "arrivals" && name != "types" && name != "team" {
		return fmt.Errorf("one value is needed, not %d", len(values))
	}
	setShare := func(target *float64) { *target, err = parseFloat(value, 0, 1) }
	setBool := func(target *bool) {
		if *target = value == "true"; value != "true" && value != "false" {
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
		c.Tasks, err = parseDistribution(raw[0])
	case "run":
		c.Run, err = parseDistribution(raw[0])
	case "error":
		c.Error, err = parseFloat(value, 0, 3)
	case "cores":
		c.Cores, err = parseFloat(value, 0, 1000)
	case "accels":
		c.Accels, err = parseFloat(value, 0, 100)
	case "ram":
		c.RAM, err = parseFloat(value, 0, 10000)
	case "image":
		if len(values) != 2 {
			return errors.New("a name and its GB are needed")
		}
		c.Image = value
		c.ImageGB, err = parseFloat(values[1], 0, 1000)
	case "images":
		c.Images, err = parseInt(value, 1, 10000)
	case "types":
		c.Types = values
	case "saves":
		if len(values) != 2 {
			return errors.New("how often and for how long are needed")
		}
		if c.CheckpointEvery, err = parseDuration(values[0]); err == nil {
			c.CheckpointTime, err = parseDuration(values[1])
		}
	case "spot":
		setBool(&c.Spot)
	case "one-zone":
		setBool(&c.OneZone)
	case "scatter":
		setBool(&c.Scatter)
	case "due":
		c.DeadlineFactor, err = parseFloat(value, 1, 1000)
	case "cancelled":
		setShare(&c.Cancelled)
	case "chained":
		setShare(&c.Chained)
	case "mistaken":
		setShare(&c.Mistaken)
	default:
		err = errors.New("there is no such entry")
	}
	return err
}
