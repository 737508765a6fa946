package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// The commands qstat and qselect, which show jobs in the format of PBS.

func qstatCommand() *cobra.Command {
	return pbsCommand("qstat [--address HOST:PORT,...] [-f] [-x] [-F json] [-u TEAM] [-q QUEUE] [JOB...]", "Shows how batch jobs stand, those named or all",
		`qstat shows jobs as PBS's qstat does: Q waits, H is held, W waits for its
time, R runs, B is an array of which some run, F is over. Without names, the batch jobs that are not over, with -x also those that
ended lately. -f shows all that is known, -F json the same for programs.`+addressHelp, qstat)
}

// listJobs fetches the jobs that match a filter.
func listJobs(cmd *cobra.Command, o *pbsOptions, f protocol.JobFilter) ([]protocol.JobView, error) {
	u, err := o.userClient()
	if err != nil {
		return nil, err
	}
	return u.Jobs(contextOf(cmd), f)
}

func qselectCommand() *cobra.Command {
	return pbsCommand("qselect [--address HOST:PORT,...] [-q QUEUE] [-N NAME] [-P ACCOUNT] [-s STATES] [-u TEAM] [-x]", "Prints the names of the batch jobs that match",
		"qselect prints the names of batch jobs, one a line, for qdel and others. -s takes letters\nof qstat, such as QH; -x also those that ended lately."+addressHelp,
		func(cmd *cobra.Command, o *pbsOptions, args []string) error {
			f := protocol.JobFilter{Batch: true}
			states := ""
			for len(args) > 0 {
				option := args[0]
				args = args[1:]
				into := map[string]*string{"-q": &f.Queue, "-N": &f.Name, "-P": &f.Account, "-A": &f.Account, "-s": &states, "-u": &f.Team}[option]
				switch {
				case option == "-x":
					f.Over = true
				case into == nil || len(args) == 0:
					return fmt.Errorf("%s is not known, or lacks its value", option)
				default:
					*into, args = args[0], args[1:]
				}
			}
			f.Over = f.Over || strings.Contains(states, "F")
			views, err := listJobs(cmd, o, f)
			for i := range views {
				if states == "" || strings.Contains(states, stateLetter(&views[i])) {
					fmt.Fprintln(cmd.OutOrStdout(), pbsName(&views[i]))
				}
			}
			return err
		})
}

// stateLetter is PBS's letter for a job's state.
func stateLetter(v *protocol.JobView) string {
	switch {
	case v.Status == protocol.Done || v.Status == protocol.Cancelled:
		return "F"
	case v.Reason == protocol.ReasonHeld:
		return "H"
	case v.Reason == protocol.ReasonTime:
		return "W"
	case v.Status == protocol.Running && v.Shape == protocol.Array && v.Tasks > 1:
		return "B"
	case v.Status == protocol.Running:
		return "R"
	}
	return "Q"
}

func qstat(cmd *cobra.Command, o *pbsOptions, args []string) error {
	full, asJSON := false, false
	f := protocol.JobFilter{Batch: true}
	for len(args) > 0 && strings.HasPrefix(args[0], "-") {
		option := args[0]
		args = args[1:]
		value := ""
		if (option == "-F" || option == "-u" || option == "-q") && len(args) > 0 {
			value, args = args[0], args[1:]
		}
		switch {
		case option == "-f":
			full = true
		case option == "-x":
			f.Over = true
		case option == "-t" || option == "-J":
			// No effect: an array is always shown as one job, with the number of its finished tasks.
		case option == "-F" && value == "json":
			asJSON = true
		case option == "-u" && value != "":
			f.Team = value // PBS selects by user here, but jobs belong to teams
		case option == "-q" && value != "":
			f.Queue = value
		default:
			return fmt.Errorf("%s is not known, or lacks its value (-f, -x, -t, -J, -F json, -u TEAM and -q QUEUE are)", option)
		}
	}
	var views []protocol.JobView
	var err error
	if len(args) > 0 {
		err = eachJob(cmd, o, args, func(u *transport.UserClient, id string) error {
			v, err := u.View(contextOf(cmd), id)
			if err == nil {
				views = append(views, v)
			}
			return err
		})
	} else if views, err = listJobs(cmd, o, f); err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch {
	case asJSON:
		jobs := map[string]map[string]any{}
		for i := range views {
			jobs[pbsName(&views[i])] = attributes(&views[i])
		}
		e := json.NewEncoder(out)
		e.SetIndent("", "    ")
		err = errors.Join(err, e.Encode(map[string]any{"pbs_server": "daledyke", "Jobs": jobs}))
	case full:
		for i := range views {
			fmt.Fprintf(out, "Job Id: %s\n", pbsName(&views[i]))
			a := attributes(&views[i])
			for _, key := range []string{"Job_Name", "job_state", "queue", "Account_Name", "project", "Priority", "estimated", "comment", "Resource_List"} {
				if a[key] != nil {
					fmt.Fprintf(out, "    %s = %v\n", key, a[key])
				}
			}
			fmt.Fprintln(out)
		}
	case len(views) > 0:
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "Job id\tName\tUser\tTime Use\tS\tQueue")
		fmt.Fprintln(t, "----------------\t----------------\t----------------\t--------\t-\t-----")
		for i := range views {
			v := &views[i]
			age := int(v.AgeS)
			fmt.Fprintf(t, "%s\t%s\t%s\t%02d:%02d:%02d\t%s\t%s\n", pbsName(v), cmp.Or(v.Name, v.Class), v.Team, age/3600, age/60%60, age%60, stateLetter(v), cmp.Or(v.Queue, "-"))
		}
		t.Flush()
	}
	return err
}

func pbsName(v *protocol.JobView) string {
	return pbs.JobName(v.ID, v.Shape == protocol.Array && v.Tasks > 1)
}

// attributes are a job's attributes under the names of PBS's qstat -f.
func attributes(v *protocol.JobView) map[string]any {
	a := map[string]any{"Job_Name": cmp.Or(v.Name, v.Class), "job_state": stateLetter(v), "queue": cmp.Or(v.Queue, "-"), "Priority": v.Priority,
		"project": v.Team, "Resource_List": fmt.Sprintf("tasks=%d, done=%d, running=%d", v.Tasks, v.Done, v.Running)}
	if v.Account != "" {
		a["Account_Name"] = v.Account
	}
	if v.Reason != "" {
		a["comment"] = "Not Running: " + v.Reason
	}
	if v.StartsInS != nil {
		a["estimated"] = fmt.Sprintf("starts in %.0f s", *v.StartsInS)
	}
	return a
}
