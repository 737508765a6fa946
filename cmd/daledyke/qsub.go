package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"daledyke/internal/config"
	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// addressesVariable is the environment variable with the controllers' addresses, for commands without an
// option for them.
const addressesVariable = "DALEDYKE_DOORS"

// pbsOptions are daledyke's own options of the PBS commands, which come first. The remaining arguments are PBS
// options such as -l select=2:ncpus=4, which flag libraries can't parse.
type pbsOptions struct {
	platform, operator, address string
	check, help                 bool
}

func (o *pbsOptions) read(args []string) (rest []string, err error) {
	values := map[string]*string{"--config": &o.platform, "--settings": &o.operator, "--address": &o.address}
	for len(args) > 0 && strings.HasPrefix(args[0], "--") && args[0] != "--" {
		name, value, joined := strings.Cut(args[0], "=")
		switch into := values[name]; {
		case name == "--help":
			o.help = true
		case name == "--check":
			o.check = true
		case into == nil:
			return nil, fmt.Errorf("unknown option %s", name)
		case joined:
			*into = value
		case len(args) < 2:
			return nil, fmt.Errorf("%s needs a value", name)
		default:
			args, *into = args[1:], args[1]
		}
		args = args[1:]
	}
	return args, nil
}

// userClient makes a client of the controllers that the options or the environment name.
func (o *pbsOptions) userClient() (*transport.UserClient, error) {
	addresses := transport.SplitAddresses(cmp.Or(o.address, os.Getenv(addressesVariable)))
	if len(addresses) == 0 && o.platform != "" {
		c, err := config.Load(o.platform, "")
		if err != nil {
			return nil, err
		}
		addresses = []string{c.Front}
	}
	if len(addresses) == 0 {
		return nil, fmt.Errorf("no controller is named: give --address HOST:PORT,... or --config FILE, or set %s", addressesVariable)
	}
	return transport.NewUserClient(transport.NetDialer(), addresses), nil
}

// pbsCommand makes a command that takes the options of PBS, such as qsub.
func pbsCommand(use, short, long string, run func(cmd *cobra.Command, o *pbsOptions, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Long: long, DisableFlagParsing: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			var o pbsOptions
			rest, err := o.read(args)
			switch {
			case err != nil:
				return err
			case o.help:
				return cmd.Help()
			}
			return withPBSStatus(run(cmd, &o, rest))
		}}
}

// exitError is an error with the exit status of the command.
type exitError struct {
	error
	status int
}

func (e exitError) Unwrap() error { return e.error }

// errFinished means that the job to change has already ended.
var errFinished = errors.New("it is over already")

// The exit statuses of PBS's commands on which scripts rely: the low bytes of PBS's error numbers for unknown
// and finished jobs.
const (
	exitUnknownJob  = 153
	exitFinishedJob = 35
)

// withPBSStatus gives an error the exit status that PBS's commands have for it.
func withPBSStatus(err error) error {
	switch {
	case errors.Is(err, transport.ErrNoSuchJob):
		return exitError{err, exitUnknownJob}
	case errors.Is(err, errFinished):
		return exitError{err, exitFinishedJob}
	}
	return err
}

const addressHelp = `
The controller is that of --address HOST:PORT,... (front doors, tried in turn), of
--config FILE, or of DALEDYKE_DOORS. What can't be taken now is tried again for a
minute.`

func qsubCommand() *cobra.Command {
	return pbsCommand("qsub [--address HOST:PORT,...] [PBS options] [SCRIPT]", "Submits a batch script with PBS directives, or checks it",
		`qsub submits a script (or standard input) as PBS's qsub does: #PBS lines up to the first
command, then the options of the command line over them. It prints the job's name;
directives without effect are named on standard error. What can't be taken is refused,
each directive with its line, column and reason. Queues are those of (pbs ...) in the
operators' settings.

  qsub --check --config FILE --settings FILE [PBS options] [SCRIPT]

only translates, without a controller, and prints the job as it would be submitted.`+addressHelp, qsub)
}

func qsub(cmd *cobra.Command, o *pbsOptions, args []string) error {
	options, rest, err := pbs.Arguments(args)
	if err != nil {
		return err
	}
	if len(rest) > 1 {
		return fmt.Errorf("one script is expected, not %s", strings.Join(rest, " "))
	}
	script, err := readScript(cmd.InOrStdin(), rest)
	if err != nil {
		return err
	}
	if len(rest) == 1 && rest[0] != "-" && !hasName(script, options) { // as in PBS, the job gets the script's name
		options = append(options, pbs.Option{Letter: 'N', Value: jobNameFromFile(rest[0])})
	}
	key := rand.Text()
	if o.check {
		return checkScript(cmd, o, script, options, key)
	}
	u, err := o.userClient()
	if err != nil {
		return err
	}
	var line []string
	for _, option := range options {
		line = append(line, option.String())
	}
	taken, err := u.SubmitScript(contextOf(cmd), key, strings.Join(line, " "), script)
	if err != nil {
		return err
	}
	printNotes(cmd, taken.Notes)
	fmt.Fprintln(cmd.OutOrStdout(), taken.ID)
	return nil
}

func checkScript(cmd *cobra.Command, o *pbsOptions, script string, options []pbs.Option, key string) error {
	if o.platform == "" || o.operator == "" {
		return errors.New("qsub --check needs --config FILE and --settings FILE: they name the teams and queues")
	}
	c, err := config.Load(o.platform, o.operator)
	if err != nil {
		return err
	}
	if len(c.Queues) == 0 {
		return fmt.Errorf("%s names no queues: (pbs (queue ...))", o.operator)
	}
	j, err := pbs.Translate(script, options, c.Queues, pbs.IDForKey(key), time.Now().UTC())
	if err != nil {
		return err
	}
	printNotes(cmd, j.Notes)
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(j.Submission(script))
}

func printNotes(cmd *cobra.Command, notes []string) {
	for _, n := range notes {
		fmt.Fprintln(cmd.ErrOrStderr(), "note:", n)
	}
}

// jobNameFromFile derives a job's name from the name of its script file.
func jobNameFromFile(file string) string {
	name := strings.Map(func(r rune) rune {
		if r < 128 && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("_.+-", r)) {
			return r
		}
		return '_'
	}, filepath.Base(file))
	if c := name[0]; !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_') {
		name = "_" + name
	}
	return name[:min(len(name), 200)]
}

// hasName reports whether a script or the command line options name the job.
func hasName(script string, options []pbs.Option) bool {
	prefix := ""
	for _, o := range options {
		if o.Letter == 'C' {
			prefix = o.Value
		}
	}
	own, _ := pbs.Directives(script, prefix) // translation reports their errors later
	for _, o := range append(own, options...) {
		if o.Letter == 'N' {
			return true
		}
	}
	return false
}

// readScript reads a script from its file, or from in if none is named.
func readScript(in io.Reader, file []string) (string, error) {
	from := in
	if len(file) == 1 && file[0] != "-" {
		f, err := os.Open(file[0])
		if err != nil {
			return "", err
		}
		defer f.Close()
		from = f
	}
	raw, err := io.ReadAll(io.LimitReader(from, protocol.MaxScript+1))
	return string(raw), err
}

func contextOf(cmd *cobra.Command) context.Context {
	if ctx := cmd.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

func qdelCommand() *cobra.Command {
	return pbsCommand("qdel [--address HOST:PORT,...] JOB...", "Cancels jobs by their PBS names",
		"qdel cancels jobs: 412.daledyke, 412, or 412[] of an array."+addressHelp,
		func(cmd *cobra.Command, o *pbsOptions, args []string) error {
			return eachJob(cmd, o, args, func(u *transport.UserClient, id string) error {
				st, err := u.Cancel(contextOf(cmd), id)
				if err == nil && st.Status == protocol.Done {
					err = fmt.Errorf("%w (done)", errFinished)
				}
				return err
			})
		})
}

// holdCommand makes qhold or qrls.
func holdCommand(name, short, long string, held bool) *cobra.Command {
	return pbsCommand(name+" [--address HOST:PORT,...] JOB...", short, long+addressHelp, func(cmd *cobra.Command, o *pbsOptions, args []string) error {
		return eachJob(cmd, o, args, func(u *transport.UserClient, id string) error {
			a, err := u.Hold(contextOf(cmd), id, held)
			switch {
			case err != nil:
				return err
			case a.Status == protocol.Done || a.Status == protocol.Cancelled:
				return fmt.Errorf("%w (%s)", errFinished, a.Status)
			}
			return nil
		})
	})
}

func qholdCommand() *cobra.Command {
	return holdCommand("qhold", "Holds jobs: none of their tasks starts until they are released", "qhold holds jobs: what runs goes on, nothing more starts until qrls releases them.", true)
}

func qrlsCommand() *cobra.Command {
	return holdCommand("qrls", "Releases held jobs", "qrls releases jobs that qsub -h or qhold holds.", false)
}

// eachJob calls do for each named job, continues after errors, and returns them joined.
func eachJob(cmd *cobra.Command, o *pbsOptions, args []string, do func(u *transport.UserClient, id string) error) error {
	if len(args) == 0 {
		return errors.New("no job is named")
	}
	u, err := o.userClient()
	if err != nil {
		return err
	}
	var failed error
	for _, name := range args {
		id, err := pbs.JobID(name)
		if err == nil {
			err = do(u, id)
		}
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", name, err))
		}
	}
	return failed
}

func qalterCommand() *cobra.Command {
	return pbsCommand("qalter [--address HOST:PORT,...] -h u|n JOB...", "Changes what may still change of jobs: whether they are held",
		"qalter -h u holds jobs, -h n releases them. What a job is can't change once it is\naccepted, since controllers and workers read its description as it was: cancel it and\nsubmit it again."+addressHelp,
		func(cmd *cobra.Command, o *pbsOptions, args []string) error {
			if len(args) < 2 || args[0] != "-h" || args[1] != "u" && args[1] != "n" {
				return errors.New("only -h u and -h n can be altered; for anything else cancel the job (qdel) and submit it again (qsub)")
			}
			held := args[1] == "u"
			return eachJob(cmd, o, args[2:], func(u *transport.UserClient, id string) error {
				_, err := u.Hold(contextOf(cmd), id, held)
				return err
			})
		})
}
