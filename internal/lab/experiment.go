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

// Experiment describes a deployment, its load, the faults injected into it, and the variants that are compared.
type Experiment struct {
	Name string
	// RealTime runs the controllers as processes on loopback in real time; otherwise they run in this process
	// in virtual time.
	RealTime    bool
	Controllers int
	Machines    int
	Length      time.Duration
	// Rest is the period after Length without new submissions and new faults.
	Rest     time.Duration
	Seeds    []uint64
	Classes  []Class
	Faults   []Fault
	Versions []Version
	// Vary lists the settings that vary between runs; every combination of their values is run.
	Vary []Variable
	// Scale multiplies the number of jobs.
	Scale float64
	// MinServed is the share of the work of each class and each team that must be served; 0 requires none.
	MinServed float64
	// Overrides replace settings of the example deployment.
	Overrides Overrides
}

// Version is a built program under comparison; the first version of an experiment is the baseline. In virtual
// time the only version is the running program, without a path.
type Version struct{ Name, Path string }

// Variable is a setting that varies: controllers, machines, scale, or size, which multiplies both machines and
// scale.
type Variable struct {
	Name   string
	Values []float64
}

// Class describes jobs of one kind.
type Class struct {
	Name string
	// Teams are the possible teams of a job; each job gets one at random.
	Teams    []string
	Shape    protocol.Shape
	Priority protocol.Priority
	Arrivals []Arrivals
	Tasks    Distribution
	// Run is the distribution of a task's run time in seconds on a machine of nominal speed.
	Run Distribution
	// Error is the sigma of the lognormal factor between a job's run time and its owner's estimate.
	Error              float64
	Cores, Accels, RAM float64
	Image              string
	ImageGB            float64
	// Images is the number of images of that size; each job uses one of them.
	Images int
	// Types are the machine types that tasks may run on; nil allows all.
	Types                           []string
	CheckpointEvery, CheckpointTime time.Duration
	Spot                            bool
	OneZone, Scatter                bool
	// DeadlineFactor is a job's deadline as a multiple of its run time; 0 for none.
	DeadlineFactor float64
	// Cancelled, Chained and Mistaken are the shares of jobs that are cancelled by their users, that depend on
	// the previous job of the class, and that are submitted with a mistake.
	Cancelled, Chained, Mistaken float64
}

// Arrivals describe when the jobs of a class are submitted.
type Arrivals struct {
	// Kind is one of start (Count jobs in the first seconds), poisson (one every Gap on average), burst
	// (Count at once, at At) and swing (as poisson, with a rate that varies sinusoidally by Depth over each
	// Period).
	Kind            string
	Count           int
	Gap, At, Period time.Duration
	Depth           float64
}

// Distribution is a constant or a distribution: const (A), uniform (from A to B), lognormal (median A, sigma
// B), exponential (mean A), pareto (minimum A, index B) or choice (values with weights).
type Distribution struct {
	Kind   string
	A, B   float64
	Values []float64 // for choice: value, weight, value, weight, ...
}

// Fault is a failure that is injected at a time; its arguments give the duration and the target.
type Fault struct {
	At   time.Duration
	Kind string
	Args []string
}

func (f Fault) String() string { return f.Kind + " " + strings.Join(f.Args, " ") }

// validate reports contradictions within the experiment.
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
