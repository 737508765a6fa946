package lab

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/protocol"
)

// Experiment is what is tried: a deployment, its load, what fails, and what is compared.
type Experiment struct {
	Name string
	// Real: on loopback in real time, with processes; else in virtual time.
	RealTime    bool
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
	MinServed float64
	// Own is what the deployment has instead of the example's.
	Overrides Overrides
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
	Tasks    Distribution
	// Run is a task's run time in seconds on a machine of nominal speed.
	Run Distribution
	// Error is the sigma of the factor by which owners err about run times.
	Error              float64
	Cores, Accels, RAM float64
	Image              string
	ImageGB            float64
	// Images is how many images of that size there are; a job has one of them.
	Images int
	// Types are the machine types that its tasks may be on, nil for any.
	Types                           []string
	CheckpointEvery, CheckpointTime time.Duration
	Spot                            bool
	OneZone, Scatter                bool
	// Due is a job's deadline in run times, 0 for none.
	DeadlineFactor float64
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
type Distribution struct {
	Kind   string
	A, B   float64
	Values []float64 // of a choice: value, weight, value, weight, ...
}

// Fault is something that fails at a time, for as long as it says.
type Fault struct {
	At   time.Duration
	Kind string
	Args []string
}

func (f Fault) String() string { return f.Kind + " " + strings.Join(f.Args, " ") }

// check tells what does not go together.
func (e *Experiment) validate() error {
	switch {
	case len(e.Classes) == 0:
		return errors.New("no class of work is there")
	case e.Length < 10*time.Second:
		return errors.New("length must be at least 10s")
	case len(e.Versions) > 0 && !e.RealTime:
		return errors.New("versions are compared in real time: (clock real)")
	}
	d := e.deployment()
	if err := e.Overrides.validate(&d); err != nil {
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
		if err := f.validate(e, &d); err != nil {
			return fmt.Errorf("at %v: %s: %w", f.At, f.Kind, err)
		}
	}
	return nil
}
