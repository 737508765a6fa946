package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
)

// Each run executes in a child process, which leaves its results in files.

// Runner executes the runs of an experiment, each in a child process, and stores their results.
type Runner struct {
	// Dir is the directory for the result.
	Dir string
	// Command is the command line of the child process. The run's directory is appended to it; the process
	// prints its progress as fractions, one per line.
	Command []string
	// Parallel is the number of concurrent runs; 0 selects it by the number of CPUs.
	Parallel int
	// Progress receives the completed fraction of all runs; it may be nil.
	Progress func(share float64)
}

// ErrNotEmpty reports that the directory for results is not empty.
var ErrNotEmpty = errors.New("the directory for results is not empty")

// Run executes all runs of an experiment and writes the result.
func (r *Runner) Run(ctx context.Context, e *Experiment) (*Result, error) {
	if found, err := os.ReadDir(r.Dir); err == nil && len(found) > 0 {
		return nil, fmt.Errorf("%s: %w", r.Dir, ErrNotEmpty)
	}
	if err := os.MkdirAll(r.Dir, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(r.Dir, "experiment.edn"), []byte(e.String()), 0o600); err != nil {
		return nil, err
	}
	runs := e.Runs()
	parallel := r.Parallel
	if parallel <= 0 {
		// Concurrent runs in real time would disturb each other; a run in virtual time uses one or two cores.
		if parallel = max(1, runtime.NumCPU()/2); e.RealTime {
			parallel = 1
		}
	}
	type update struct {
		n        int
		share    float64
		sum      *Summary
		err      error
		finished bool
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	updates := make(chan update)
	running := make(chan struct{}, parallel)
	for n, run := range runs {
		go func() {
			running <- struct{}{}
			defer func() { <-running }()
			sum, err := r.executeInChild(ctx, run, func(share float64) { updates <- update{n: n, share: share} })
			updates <- update{n: n, sum: sum, err: err, finished: true}
		}()
	}
	shares := make([]float64, len(runs))
	result := &Result{Experiment: e.String(), Runs: make([]Summary, len(runs))}
	var failed error
	for remaining := len(runs); remaining > 0; {
		u := <-updates
		switch {
		case u.err != nil:
			if failed == nil {
				cancel() // the first failure stops all runs
			}
			if failed == nil || !errors.Is(u.err, context.Canceled) {
				failed = errors.Join(failed, fmt.Errorf("run %s: %w", runs[u.n].Name, u.err))
			}
		case u.finished:
			result.Runs[u.n], shares[u.n] = *u.sum, 1
		default:
			shares[u.n] = u.share
		}
		if u.finished {
			remaining--
		}
		if r.Progress != nil {
			done := 0.0
			for _, s := range shares {
				done += s
			}
			r.Progress(done / float64(len(runs)))
		}
	}
	if failed != nil {
		return nil, failed
	}
	return result, writeJSON(filepath.Join(r.Dir, resultFile), result)
}

// executeInChild executes one run in a child process.
func (r *Runner) executeInChild(ctx context.Context, run Run, progress func(float64)) (*Summary, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	dir := filepath.Join(r.Dir, "runs", run.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if err := writeJSON(filepath.Join(dir, runFile), run); err != nil {
		return nil, err
	}
	took, memory, err := runCommand(ctx, append(r.Command[:len(r.Command):len(r.Command)], dir), filepath.Join(dir, logFile), progress)
	if err != nil {
		return nil, err
	}
	sum, err := readSummary(dir)
	if err != nil {
		return nil, err
	}
	sum.Took, sum.MemMB = took, memory
	return sum, writeJSON(filepath.Join(dir, summaryFile), sum)
}

func readSummary(dir string) (*Summary, error) {
	return readJSON[Summary](filepath.Join(dir, summaryFile))
}

func readRun(dir string) (*Run, error) { return readJSON[Run](filepath.Join(dir, runFile)) }

// ReadResult reads the result in a directory. It rejects an incomplete result, which has no result.json, and
// one with an invalid experiment or run name.
func ReadResult(dir string) (*Result, error) {
	r, err := readJSON[Result](filepath.Join(dir, resultFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s holds no whole result: %s is missing", dir, resultFile)
	}
	if err != nil {
		return nil, err
	}
	if _, err := Parse([]byte(r.Experiment)); err != nil {
		return nil, fmt.Errorf("%s: its experiment: %w", filepath.Join(dir, resultFile), err)
	}
	for _, s := range r.Runs {
		if strings.ContainsAny(s.Run, "/\\") || s.Run == "" {
			return nil, fmt.Errorf("%s: a run is called %q", filepath.Join(dir, resultFile), s.Run)
		}
	}
	return r, nil
}

func readJSON[T any](name string) (*T, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return v, nil
}

// Result holds the summaries of all runs of an experiment.
type Result struct {
	Experiment string    `json:"experiment"`
	Runs       []Summary `json:"runs"`
}
