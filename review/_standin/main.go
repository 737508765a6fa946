// Command review-standin runs the cases of the review. It starts three controllers as processes of their own
// with the command of the deploy file, on loopback, and plays the platform around them: the emulator's state
// service, a small cloud, small workers, and users. What was sent, answered and run goes to a record.
//
//	review-standin CASE --run "PROGRAM ARGUMENT..." --record FILE [--calm]
//
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// setup is what a case needs to run.
type setup struct {
	*record
	// calm: the case runs without its disruption.
	calm  bool
	site  site
	cloud *cloud
	users *users
	nodes *controllers
}

// play is a case: the site that it is played at, and what happens there.
type play struct {
	site func() site
	run  func(context.Context, *setup) (broken bool, err error)
}

var cases = map[string]play{}

// limit bounds a whole run. A run that isn't over by then is ended, and counts as one that couldn't run.
const limit = 116 * time.Second

func main() {
	name := ""
	if len(os.Args) > 1 {
		name = os.Args[1]
	}
	f := flag.NewFlagSet(name, flag.ExitOnError)
	run := f.String("run", "", "the command that runs a controller, without its settings file")
	file := f.String("record", "", "the file for the record")
	calm := f.Bool("calm", false, "without the disruption")
	p, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		os.Exit(2)
	}
	f.Parse(os.Args[2:])
	os.Exit(status(p, strings.Fields(*run), *file, *calm))
}

// status plays a case and returns the exit status.
func status(p play, run []string, file string, calm bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan int, 1)
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		r.add("couldn't run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	s := &setup{record: r, calm: calm, site: p.site()}
	if err = s.start(ctx, dir, run); err == nil {
		go func() { done <- s.outcome(p.run(ctx, s)) }()
	} else {
		done <- s.outcome(false, err)
	}
	code := 2
	select {
	case code = <-done:
	case <-ctx.Done():
		r.add("couldn't run: %v before the end", ctx.Err())
	}
	if s.nodes != nil {
		if name := s.nodes.killAll(); name != "" {
			r.add("couldn't run: %s ended by itself", name)
			code = 2
		}
	}
	r.add("exit status %d", code)
	return code
}

// outcome is the exit status for the outcome of a case.
func (s *setup) outcome(broken bool, err error) int {
	switch {
	case err != nil:
		s.add("couldn't run: %v", err)
		return 2
	case broken:
		s.add("the rule was broken")
		return 1
	}
	s.add("the rule held")
	return 0
}

// start starts the platform and the controllers, and waits until all of these are healthy.
func (s *setup) start(ctx context.Context, dir string, run []string) error {
	state, err := startState(ctx, &s.site)
	if err != nil {
		return err
	}
	s.cloud = newCloud(ctx, &s.site, s.record)
	if err := s.cloud.serve(); err != nil {
		return err
	}
	s.nodes, err = startControllers(&s.site, dir, run, state, s.cloud.addr, s.record)
	if err != nil {
		return err
	}
	s.cloud.setNodes(s.nodes)
	s.users = &users{s.record, s.nodes}
	return s.users.awaitHealthy(ctx)
}

// until waits until a condition holds.
func until(ctx context.Context, within time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(within); !holds(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return fmt.Errorf("after %v still not so: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
