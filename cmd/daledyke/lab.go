package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"daledyke/internal/lab"
)

// labCommand runs simulated experiments, makes reports of them, and searches for failing ones.
func labCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "lab",
		Short: "Experiments in a world that is played: run, report, hunt",
		Long:  "Experiments in a world that is played. docs/lab.md tells how they are written.",
	}
	cmd.AddCommand(labRunCommand(), labReportCommand(), labHuntCommand(), &cobra.Command{
		Use:    "play DIR",
		Hidden: true, // the command run starts it, in one process for each run of an experiment
		Args:   cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := setLogging(); err != nil {
				return err
			}
			virtual, err := lab.Virtual(args[0])
			if err == nil {
				lab.ExecuteInProcess(args[0], virtual)
			}
			return err
		},
	})
	return cmd
}

// errRulesBroken means that a run violated a rule, as opposed to an error of the lab itself.
var errRulesBroken = exitError{errors.New("rules were broken"), 3}

func labRunCommand() *cobra.Command {
	var out string
	var atOnce int
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT",
		Short: "Plays an experiment and keeps all that happened",
		Long: `run plays all runs of an experiment: every version, seed and setting that it names.
The result's directory holds the events, the summaries and the logs of each run; report
draws them. The exit status is 3 if a rule was broken.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := lab.Load(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = filepath.Join("results", e.Name+"-"+time.Now().UTC().Format("20060102T150405"))
			}
			runner, err := newRunner(out, atOnce)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			bar := newProgressBar(cmd.ErrOrStderr(), e.Name)
			runner.Progress = bar
			res, err := runner.Run(ctx, e)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.ErrOrStderr())
			if err := res.Table(cmd.OutOrStdout()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "kept in %s\n", out)
			if res.Broken() > 0 {
				return errRulesBroken
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "the `DIRECTORY` for the result, new or empty (default results/NAME-TIME)")
	cmd.Flags().IntVar(&atOnce, "at-once", 0, "how `many` runs play at the same time (default: as fits)")
	return cmd
}

func newRunner(out string, atOnce int) (*lab.Runner, error) {
	program, err := os.Executable()
	return &lab.Runner{Dir: out, Command: []string{program, "lab", "play"}, Parallel: atOnce}, err
}

// newProgressBar returns a function that shows the finished share of the work.
func newProgressBar(w io.Writer, description string) func(share float64) {
	const steps = 1000
	bar := progressbar.NewOptions(steps, progressbar.OptionSetWriter(w), progressbar.OptionSetDescription(description),
		progressbar.OptionThrottle(200*time.Millisecond), progressbar.OptionClearOnFinish())
	return func(share float64) { bar.Set(int(share * steps)) }
}

func labReportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "report DIR",
		Short: "Makes one page of a result: plots, and a table of versions and settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if out == "" {
				out = filepath.Join(args[0], "report.html")
			}
			if err := lab.Report(args[0], out); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), out)
			return nil
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "the page's `FILE` (default report.html in the result's directory)")
	return cmd
}

func labHuntCommand() *cobra.Command {
	var seed uint64
	var runs int
	var out, length string
	cmd := &cobra.Command{
		Use:   "hunt",
		Short: "Plays random experiments with random faults until a rule breaks, and makes the smallest that does",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			each, err := time.ParseDuration(length)
			if err != nil || each < 30*time.Second {
				return fmt.Errorf("--length: %q is no time of at least 30s", length)
			}
			if out == "" {
				out = filepath.Join("results", fmt.Sprintf("hunt-%d-%s", seed, time.Now().UTC().Format("20060102T150405")))
			}
			runner, err := newRunner(out, 0)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			found, err := lab.Hunt(ctx, runner, lab.HuntOptions{Seed: seed, Runs: runs, Length: each, Printf: func(format string, args ...any) {
				fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...)
			}})
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
			if len(found) > 0 {
				return errRulesBroken
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&seed, "seed", 1, "the hunt's `seed`: the same one plays the same experiments")
	f.IntVar(&runs, "runs", 20, "how `many` experiments are played")
	f.StringVar(&length, "length", "6m", "the `time` that each plays, before its rest")
	f.StringVar(&out, "out", "", "the `DIRECTORY` for what is found, new or empty")
	return cmd
}
