package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// quotaCommand shows the accounts of nested quotas to operators and changes them. It calls a controller's
// internal address, which users can't reach.
func quotaCommand(platform, operator *string) *cobra.Command {
	var address string
	var raw bool
	root := &cobra.Command{
		Use:   "quota",
		Short: "Shows and changes the quotas of accounts",
		Long: `quota shows and changes the quotas of accounts, which (quotas ...) in the operators'
settings switches on. It asks a controller at its internal address: that of --config,
or --address.`,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&address, "address", "", "the controller's internal address, `HOST:PORT`")
	flags.BoolVar(&raw, "json", false, "as JSON, for programs")
	call := func(cmd *cobra.Command, method string, args, reply any) error {
		controller, err := controllerAddress("quota", address, *platform, *operator, func(c *config.Config) string { return c.Internal })
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), 25*time.Second)
		defer cancel()
		if err := transport.NewPeer(ctx, transport.NetDialer(), controller).Call(ctx, 25*time.Second, "Quota."+method, args, reply); err != nil {
			return fmt.Errorf("controller at %s: %w", controller, err)
		}
		return nil
	}
	ask := func(cmd *cobra.Command) (v protocol.QuotaView, err error) {
		return v, call(cmd, "Show", struct{ Unused int }{}, &v)
	}
	list := func(use, short string, text func(io.Writer, protocol.QuotaView)) *cobra.Command {
		return &cobra.Command{
			Use: use, Short: short, Args: cobra.MaximumNArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				v, err := ask(cmd)
				if err == nil && len(args) == 1 {
					v.Accounts, err = accountSubtree(v.Accounts, args[0])
				}
				return show(cmd.OutOrStdout(), v, err, raw, text)
			},
		}
	}
	root.AddCommand(list("tree [ACCOUNT]", "Shows the accounts, or one and those below it, as they are set", showTree),
		list("usage [ACCOUNT]", "Shows what accounts use, lend and borrow", showUsage),
		&cobra.Command{
			Use: "show ACCOUNT", Short: "Shows one account", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				v, err := ask(cmd)
				if err == nil {
					if v.Accounts, err = accountSubtree(v.Accounts, args[0]); err == nil {
						v.Accounts = v.Accounts[:1]
					}
				}
				return show(cmd.OutOrStdout(), v, err, raw, showUsage)
			},
		}, setCommand(call, ask, &raw))
	return root
}

// accountSubtree returns the named account followed by its descendants.
func accountSubtree(all []protocol.QuotaAccount, name string) (out []protocol.QuotaAccount, err error) {
	for _, a := range all {
		if a.Name == name || strings.HasPrefix(a.Name, name+"/") {
			out = append(out, a)
		}
	}
	if len(out) == 0 || out[0].Name != name {
		return nil, fmt.Errorf("there is no account %q", name)
	}
	return out, nil
}

func setCommand(call func(*cobra.Command, string, any, any) error, ask func(*cobra.Command) (protocol.QuotaView, error), raw *bool) *cobra.Command {
	var cpus, gpus, ram, file, why, by string
	var weight float64
	var drop []string
	var revision int64
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "set [ACCOUNT] [--cpus G:L] [--gpus G:L] [--ram G:L] [--weight W] [--file FILE] [--drop ACCOUNT]",
		Short: "Changes accounts, all that is asked for or nothing",
		Long: `set changes one account, or all that a file names, in the form of the operators'
settings: (quotas (account "hosting/songshan" (cpus 100 300)) ...). What a flag doesn't
name stays as it is. Amounts are a guarantee and a limit, G:L; a limit of 0 is none.
Either all is changed or nothing. If somebody else changed something since you looked
(--revision), or at the same moment, you are told who and when.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := ask(cmd)
			if err != nil {
				return err
			}
			c := quota.Change{Revision: v.Revision, Drop: drop, By: cmp.Or(by, currentUser()), Why: why, DryRun: dryRun}
			if revision >= 0 {
				c.Revision = uint64(revision)
			}
			if file != "" {
				if c.Set, err = config.Accounts(file); err != nil {
					return err
				}
			}
			if len(args) == 1 {
				a := quota.Account{Name: args[0]}
				for _, old := range v.Accounts {
					if old.Name == a.Name {
						a.Guarantee, a.Limit, a.Weight = old.Guarantee, old.Limit, old.Weight
					}
				}
				for _, part := range []struct {
					name, text       string
					guarantee, limit *float64
				}{{"cpus", cpus, &a.Guarantee.Cores, &a.Limit.Cores}, {"gpus", gpus, &a.Guarantee.Accels, &a.Limit.Accels}, {"ram", ram, &a.Guarantee.RAM, &a.Limit.RAM}} {
					if part.text == "" {
						continue
					}
					if *part.guarantee, *part.limit, err = parseGuaranteeAndLimit(part.text); err != nil {
						return fmt.Errorf("--%s: %w", part.name, err)
					}
				}
				if weight > 0 {
					a.Weight = weight
				}
				c.Set = append(c.Set, a)
			}
			if len(c.Set)+len(c.Drop) == 0 {
				return errors.New("nothing to change: name an account, --file or --drop")
			}
			var out quota.Outcome
			if err := call(cmd, "Change", c, &out); err != nil {
				return err
			}
			if out.Refused != "" {
				return fmt.Errorf("nothing was changed: %s", out.Refused)
			}
			return show(cmd.OutOrStdout(), out, nil, *raw, func(w io.Writer, out quota.Outcome) { showOutcome(w, out, dryRun) })
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cpus, "cpus", "", "CPUs: a guarantee and a limit, `G:L`")
	flags.StringVar(&gpus, "gpus", "", "GPUs: a guarantee and a limit, `G:L`")
	flags.StringVar(&ram, "ram", "", "GB of RAM: a guarantee and a limit, `G:L`")
	flags.Float64Var(&weight, "weight", 0, "its part where there is not enough for all")
	flags.StringVar(&file, "file", "", "accounts to set, as an S-expression in `FILE`")
	flags.StringArrayVar(&drop, "drop", nil, "takes an `ACCOUNT` out, with all below it; may be repeated")
	flags.Int64Var(&revision, "revision", -1, "the `N` that the change is decided by (default: the present)")
	flags.StringVar(&why, "why", "", "the reason, for the record")
	flags.StringVar(&by, "by", "", "who changes it, for the record (default: the user who runs this)")
	flags.BoolVar(&dryRun, "dry-run", false, "only says who would have to shrink by what")
	return cmd
}

// parseGuaranteeAndLimit parses a guarantee and a limit, G:L, or a guarantee alone.
func parseGuaranteeAndLimit(text string) (guarantee, limit float64, err error) {
	g, l, hasLimit := strings.Cut(text, ":")
	if guarantee, err = strconv.ParseFloat(g, 64); err == nil && hasLimit {
		limit, err = strconv.ParseFloat(l, 64)
	}
	if err != nil || !(guarantee >= 0) || !(limit >= 0) {
		return 0, 0, fmt.Errorf("%q is not a guarantee and a limit, such as 8:16", text)
	}
	return guarantee, limit, nil
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

func printRevision(w io.Writer, v protocol.QuotaView) {
	if v.Revision == 0 {
		fmt.Fprintln(w, "as the settings have them (revision 0)")
	} else {
		fmt.Fprintf(w, "revision %d, by %s at %s: %s\n", v.Revision, cmp.Or(v.By, "nobody named"), v.At, cmp.Or(v.Why, "no reason given"))
	}
	for _, a := range v.Over {
		fmt.Fprintf(w, "%s: live services alone use more than the limit; nothing more starts there\n", a)
	}
}

// formatPair formats a guarantee and a limit.
func formatPair(a, b float64) string {
	if b == 0 {
		return fmt.Sprintf("%g:-", a)
	}
	return fmt.Sprintf("%g:%g", a, b)
}

func showTree(w io.Writer, v protocol.QuotaView) {
	printRevision(w, v)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ACCOUNT\tCPUS\tGPUS\tRAM\tWEIGHT")
	for _, a := range v.Accounts {
		depth := strings.Count(a.Name, "/")
		fmt.Fprintf(t, "%s%s\t%s\t%s\t%s\t%g\n", strings.Repeat("  ", depth), a.Name[strings.LastIndexByte(a.Name, '/')+1:],
			formatPair(a.Guarantee.Cores, a.Limit.Cores), formatPair(a.Guarantee.Accels, a.Limit.Accels), formatPair(a.Guarantee.RAM, a.Limit.RAM), a.Weight)
	}
	t.Flush()
}

func showUsage(w io.Writer, v protocol.QuotaView) {
	printRevision(w, v)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ACCOUNT\tCPUS USED\tOF\tLENT\tBORROWED\tGPUS USED\tOF\tLENT\tBORROWED\tWAITING")
	for _, a := range v.Accounts {
		fmt.Fprintf(t, "%s\t%g\t%s\t%g\t%g\t%g\t%s\t%g\t%g\t%d\n", a.Name, a.Used.Cores, formatPair(a.Guarantee.Cores, a.Limit.Cores), a.Lent.Cores, a.Borrowed.Cores,
			a.Used.Accels, formatPair(a.Guarantee.Accels, a.Limit.Accels), a.Lent.Accels, a.Borrowed.Accels, a.Waiting)
	}
	t.Flush()
}

func showOutcome(w io.Writer, out quota.Outcome, dryRun bool) {
	if dryRun {
		fmt.Fprintf(w, "would be taken; revision %d stays\n", out.Revision)
	} else {
		fmt.Fprintf(w, "recorded as revision %d\n", out.Revision)
	}
	for _, s := range out.Shrinks {
		fmt.Fprintf(w, "%s: gives back %g CPUs, %g GPUs, %g GB (%d tasks)\n", s.Account, s.Room.Cores, s.Room.Accels, s.Room.RAM, s.Tasks)
	}
	for _, a := range out.Over {
		fmt.Fprintf(w, "%s: live services alone use more; nothing of them stops, nothing more starts\n", a)
	}
}
