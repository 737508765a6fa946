// Command daledyke schedules jobs on rented machines; each process is one controller.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"daledyke/internal/config"
	"daledyke/internal/coordination"
	"daledyke/internal/transport"
)

// version is set when a release is built.
var version = "dev"

func main() {
	root := newRootCommand()
	// Called through a link with the name of a PBS command, the program is that command.
	if name := filepath.Base(os.Args[0]); slices.Contains([]string{"qsub", "qstat", "qdel", "qhold", "qrls", "qselect", "qalter"}, name) {
		root.SetArgs(append([]string{name}, os.Args[1:]...))
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "daledyke:", err)
		status := exitError{status: 1}
		errors.As(err, &status)
		os.Exit(status.status)
	}
}

func newRootCommand() *cobra.Command {
	var platform, operator string
	root := &cobra.Command{
		Use:   "daledyke --config FILE",
		Short: "Schedules jobs on rented machines",
		Long: `daledyke schedules jobs on rented machines. Run as "daledyke --config FILE" it
is one controller, which runs until it is killed; FILE is the settings file
(TOML) that the platform hands over. It logs to standard error, as much as
LOG_LEVEL says (error, info or debug).`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if platform == "" {
				return cmd.Help()
			}
			c, err := config.Load(platform, operator)
			if err != nil {
				return err
			}
			if err := setLogging(); err != nil {
				return err
			}
			return runController(cmd.Context(), c)
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&platform, "config", "", "the platform's settings `FILE` (TOML)")
	flags.StringVar(&operator, "settings", "", "the operators' own settings `FILE` (an S-expression); optional")
	root.AddCommand(upCommand(&operator), labCommand(), statusCommand(&platform, &operator), quotaCommand(&platform, &operator), qsubCommand(), qstatCommand(), qdelCommand(), qholdCommand(), qrlsCommand(), qselectCommand(), qalterCommand(), &cobra.Command{
		Use:   "check --config FILE [--settings FILE]",
		Short: "Checks the settings and says what a controller would run with",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if platform == "" {
				return fmt.Errorf("check needs --config FILE")
			}
			c, err := config.Load(platform, operator)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings are sound: controller %s in %s of %s; window %v, published after %v, summaries every %v, sample %d; planned for values of %d bytes, %d changes at once and %v a second\n",
				c.Name, c.Zone, strings.Join(c.ControllerNames(), ", "), c.Window, c.PublishOffset, c.SummaryEvery, c.Sample, c.ValueBytes(), c.Deployment.State.TxnOps, c.Deployment.State.WriteRPS)
			if c.Quotas != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "quotas: %d accounts under %s\n", len(c.Quotas.Accounts()), cmp.Or(strings.Join(c.Quotas.Teams(), ", "), "no team"))
			}
			return nil
		},
	}, &cobra.Command{
		Use:   "version",
		Short: "Prints the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "daledyke", version) },
	})
	return root
}

func setLogging() error {
	level := slog.LevelInfo
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		if err := level.UnmarshalText([]byte(s)); err != nil {
			return fmt.Errorf("LOG_LEVEL must be error, info or debug, not %q", s)
		}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}

func runController(ctx context.Context, c *config.Config) error {
	if ctx == nil {
		ctx = context.Background()
	}
	// CPU time is scarcer than memory: collect garbage seldom while far from the memory limit.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(c.Deployment.Limits.MemMB * 0.6 * (1 << 20)))
	front, err := net.Listen("tcp", c.Front)
	if err != nil {
		return err
	}
	internal, err := net.Listen("tcp", c.Internal)
	if err != nil {
		return err
	}
	return coordination.NewController(ctx, c, transport.NetDialer()).Serve(ctx, front, internal, c.MaxFrontConnections())
}

// controllerAddress is the address of the controller that a command calls: the given one, or else that in the
// settings.
func controllerAddress(command, address, platform, operator string, addressOf func(*config.Config) string) (string, error) {
	if address != "" {
		return address, nil
	}
	if platform == "" {
		return "", fmt.Errorf("%s needs --config FILE or --address HOST:PORT", command)
	}
	c, err := config.Load(platform, operator)
	if err != nil {
		return "", err
	}
	return addressOf(c), nil
}
