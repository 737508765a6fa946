package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// statusCommand shows a controller's view of the cluster, or of one job, to operators.
func statusCommand(platform, operator *string) *cobra.Command {
	var address string
	var raw bool
	cmd := &cobra.Command{
		Use:   "status [JOB] (--config FILE | --address HOST:PORT)",
		Short: "Shows what a running controller knows, or how a job stands and why it waits",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			controller, err := controllerAddress("status", address, *platform, *operator, func(c *config.Config) string { return c.Front })
			if err != nil {
				return err
			}
			o := transport.NewOperatorClient(transport.NetDialer(), controller)
			out := cmd.OutOrStdout()
			if len(args) == 1 {
				v, err := o.Job(cmd.Context(), args[0])
				return show(out, v, err, raw, showJob)
			}
			v, err := o.Overview(cmd.Context())
			return show(out, v, err, raw, showOverview)
		},
	}
	cmd.Flags().StringVar(&address, "address", "", "the controller's front door, `HOST:PORT`")
	cmd.Flags().BoolVar(&raw, "json", false, "as JSON, for programs")
	return cmd
}

func show[T any](w io.Writer, v T, err error, raw bool, text func(io.Writer, T)) error {
	if err != nil {
		return err
	}
	if !raw {
		text(w, v)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func choose(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

// formatSeconds formats seconds for people, nil as "unknown".
func formatSeconds(s *float64) string {
	if s == nil {
		return "unknown"
	}
	return protocol.Seconds(*s).Round(time.Second).String()
}

func showOverview(out io.Writer, v *protocol.Overview) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	line := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	line("controller", "%s in %s, up %v, generation %d", v.Controller, v.Zone, protocol.Seconds(v.UpS).Round(time.Second), v.Generation)
	line("session", "%s, term %d, may act for %v more%s", choose(v.Session.Valid, "valid", choose(v.Holds.Answers, "not valid: answers workers on promises", "NOT VALID: answers workers 503")),
		v.Session.Term, protocol.Seconds(v.Session.LeftS), choose(v.Session.WorkersUnreachable, "; its workers can't reach it", ""))
	line("cancellations", "all known up to %v ago", protocol.Seconds(v.Holds.HorizonS).Round(100*time.Millisecond))
	if v.Window == nil {
		line("window", "none yet")
	} else {
		line("window", "%d (newest %d) of %s", v.Window.Number, v.Window.Newest, strings.Join(v.Window.Owners, ", "))
	}
	line("leader", "%s", choose(v.Leader != "", v.Leader, "none"))
	byHolder := map[string]int{}
	var incomplete []string
	for _, s := range v.Slots {
		byHolder[s.Holder]++
		if !s.Complete {
			incomplete = append(incomplete, fmt.Sprintf("%d (%s, %d awaited)", s.Slot, choose(s.Holder != "", s.Holder, "no holder"), s.Awaited))
		}
	}
	var held []string
	for _, name := range slices.Sorted(maps.Keys(byHolder)) {
		held = append(held, fmt.Sprintf("%s %d", choose(name != "", name, "nobody"), byHolder[name]))
	}
	line("slots", "%s", strings.Join(held, ", "))
	line("incomplete", "%s", choose(len(incomplete) > 0, strings.Join(incomplete, ", "), "none"))
	line("holds", "%d machines (%d silent, %d suspect, %d doubted, %d draining), %d tasks, %d running", v.Holds.Machines, v.Holds.Silent,
		v.Holds.Suspect, v.Holds.Doubted, v.Holds.Draining, v.Holds.Tasks, v.Holds.Running)
	for _, f := range v.Fleet {
		line("fleet", "%s%s: %d up (%.0f%% used), %d booting", f.Type, choose(f.Spot, " spot", ""), f.Up, 100*f.Used, f.Booting)
	}
	if len(v.NoCapacity) > 0 {
		line("no capacity", "%s", strings.Join(v.NoCapacity, ", "))
	}
	for _, s := range v.Siblings {
		line("sibling", "%s: %s, %s, %s", s.Name, choose(s.Session, "session lives", "no session known"),
			choose(s.HeardS >= 0, fmt.Sprintf("heard %v ago", protocol.Seconds(s.HeardS)), "never heard"),
			choose(s.Generation > 0, fmt.Sprintf("generation %d", s.Generation), "generation not known"))
	}
	client := func(name string, c protocol.ClientView) {
		line(name, "%d requests, %d refused, %d unanswered, %d without budget", c.Requests, c.Refused, c.Unanswered, c.NoBudget)
	}
	client("state service", v.State)
	client("cloud", v.Cloud)
	kinds := slices.SortedFunc(maps.Keys(v.State.Changes), func(a, b string) int {
		return cmp.Or(cmp.Compare(v.State.Changes[b], v.State.Changes[a]), cmp.Compare(a, b))
	})
	var changes []string
	for _, k := range kinds {
		if n := v.State.Changes[k]; n > 0 {
			changes = append(changes, fmt.Sprintf("%s %d", k, n))
		}
	}
	line("changes", "%s", strings.Join(changes, ", "))
	line("jobs", "%d active, %d owned here, %d in chains", v.Jobs.Active, v.Jobs.Owned, v.Jobs.WithDependencies)
	for _, reason := range slices.Sorted(maps.Keys(v.Jobs.Waiting)) {
		line("waiting", "%d: %s", v.Jobs.Waiting[reason], reason)
	}
	for _, part := range v.Busy {
		line("busy", "%s did not answer in time", part)
	}
	w.Flush()
	if len(v.Waiting) == 0 {
		return
	}
	fmt.Fprintf(w, "\nJOB\tCLASS\tTEAM\tAGE\tDONE\tRUNNING\tWHY IT WAITS\tSTARTS IN\n")
	for _, j := range v.Waiting {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%s\t%s\n", j.ID, j.Class, j.Team, formatSeconds(&j.AgeS), j.Done, j.Tasks, j.Running, j.Reason, formatSeconds(j.StartsInS))
	}
}

func showJob(out io.Writer, v *protocol.JobView) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	line := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	line("job", "%s: %s", v.ID, v.Status)
	line("class", "%s of %s, %s, priority %s%s", v.Class, v.Team, v.Shape, v.Priority, choose(v.RaisedTo != "", ", raised to "+v.RaisedTo+" for others", ""))
	line("owner", "%s", choose(v.Owner != "", v.Owner, "none yet"))
	line("age", "%s", formatSeconds(&v.AgeS))
	line("tasks", "%d: %d done, %d running, %d on machines", v.Tasks, v.Done, v.Running, v.Placed)
	if v.Reason != "" {
		line("waits", "%s", v.Reason)
		line("starts in", "%s", formatSeconds(v.StartsInS))
	}
	if len(v.Needs) > 0 {
		line("waits for", "%s", strings.Join(v.Needs, ", "))
	}
	if len(v.NeededBy) > 0 {
		line("needed by", "%s", strings.Join(v.NeededBy, ", "))
	}
	if v.DueInS != nil {
		line("due in", "%s", formatSeconds(v.DueInS))
	}
	if v.MustEndInS != nil {
		line("must end in", "%s", formatSeconds(v.MustEndInS))
	}
	if v.CancelledWith != "" {
		line("cancelled with", "%s", v.CancelledWith)
	}
	if v.FailedOn > 0 {
		line("failed on", "%d machines", v.FailedOn)
	}
}
