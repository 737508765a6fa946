package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"daledyke/internal/config"
	"daledyke/internal/pbs"
)

// qsubCommand translates batch scripts with PBS directives. Its options are PBS's
// own, which no library of options reads: -l select=2:ncpus=4, -N name, in any order
// before the script.
func qsubCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "qsub --check --config FILE --settings FILE [PBS options] [SCRIPT]",
		Short: "Translates a batch script with PBS directives, or says why it can't be taken",
		Long: `qsub --check reads a script (or standard input) as PBS's qsub does: #PBS lines up to the
first command, then the options of the command line over them. It prints the job as
daledyke takes it at POST /v1/jobs, and names on standard error what has no effect here.
What can't be taken is refused, each directive with its line, column and reason.
Queues are those of (pbs ...) in the operators' settings. Nothing is submitted yet.`,
		DisableFlagParsing: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			var platform, operator string
			check := false
			own := map[string]*string{"--config": &platform, "--settings": &operator}
			for len(args) > 0 && strings.HasPrefix(args[0], "--") && args[0] != "--" {
				name, value, joined := strings.Cut(args[0], "=")
				switch into := own[name]; {
				case name == "--help":
					return cmd.Help()
				case name == "--check":
					check = true
				case into == nil:
					return fmt.Errorf("unknown option %s", name)
				case joined:
					*into = value
				case len(args) < 2:
					return fmt.Errorf("%s needs a FILE", name)
				default:
					args, *into = args[1:], args[1]
				}
				args = args[1:]
			}
			if !check {
				return errors.New("scripts are not submitted yet: use --check, and submit what it prints at POST /v1/jobs")
			}
			if platform == "" || operator == "" {
				return errors.New("qsub --check needs --config FILE and --settings FILE: they name the teams and queues")
			}
			c, err := config.Load(platform, operator)
			if err != nil {
				return err
			}
			if len(c.Queues) == 0 {
				return fmt.Errorf("%s names no queues: (pbs (queue ...))", operator)
			}
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
			// A number of 17 digits drawn for each job: its native id has the same.
			j, err := pbs.Translate(script, options, c.Queues, fmt.Sprintf("wk-%017d", rand.Int64N(1e17)))
			if err != nil {
				return err
			}
			for _, n := range j.Notes {
				fmt.Fprintln(cmd.ErrOrStderr(), "note:", n)
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s in queue %s\n", pbs.Name(j.Spec.ID, j.Array != nil), cmp.Or(j.Name, "no name"), j.Queue)
			e := json.NewEncoder(cmd.OutOrStdout())
			e.SetIndent("", "  ")
			return e.Encode(j.Spec)
		},
	}
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
	raw, err := io.ReadAll(io.LimitReader(from, pbs.MaxScript+1))
	return string(raw), err
}
