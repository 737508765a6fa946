package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"daledyke/internal/lab"
)

// readyTimeout bounds the time until all controllers of `up` accept requests.
const readyTimeout = 30 * time.Second

// upCommand runs a whole deployment on this machine.
func upCommand(operator *string) *cobra.Command {
	controllers, machines := 3, 40
	listen, dir, pbs := "127.0.0.1:8080", "", false
	cmd := &cobra.Command{
		Use:   "up",
		Short: "Runs a whole deployment on this machine: an emulated cloud with machines, a state service, and controllers",
		Long: `up starts a deployment to try daledyke with: a state service, a cloud whose machines
only pretend to run what they are told, a load balancer, and controllers, each a process of
this program. Everything listens on this machine alone. It runs until it is interrupted.

With --dir the state survives: started again with the same directory, the jobs that were
accepted go on. Machines do not survive; what ran on them runs again.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if controllers < 1 || controllers > 15 || machines < 1 || machines > 2000 {
				return errors.New("up runs 1 to 15 controllers and 1 to 2000 machines")
			}
			if err := setLogging(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return up(ctx, cmd, upOptions{controllers, machines, listen, dir, *operator, pbs})
		},
	}
	f := cmd.Flags()
	f.IntVar(&controllers, "controllers", controllers, "how `many` controllers run")
	f.IntVar(&machines, "machines", machines, "how `many` machines the cloud has")
	f.StringVar(&listen, "listen", listen, "where the front door listens, `HOST:PORT`")
	f.StringVar(&dir, "dir", "", "keep settings, logs and state in this `DIRECTORY`; without it they are gone afterwards")
	f.BoolVar(&pbs, "pbs", false, "take PBS scripts, in a queue made for trying them")
	return cmd
}

type upOptions struct {
	controllers, machines int
	listen, dir, settings string
	pbs                   bool
}

// exampleQueue is the content of an operators' settings file with one queue, for trying scripts.
const exampleQueue = `(daledyke
  (pbs
    (queue "try" (default true) (team "desk") (class "render") (image "tools" ) (image-gb 1)
      (urgency "normal") (walltime "00:00:30") (mem-gb 4))))
`

func up(ctx context.Context, cmd *cobra.Command, o upOptions) (err error) {
	keep := o.dir != ""
	if !keep {
		if o.dir, err = os.MkdirTemp("", "daledyke-up-"); err != nil {
			return err
		}
		defer os.RemoveAll(o.dir)
	} else if err := os.MkdirAll(o.dir, 0o700); err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if o.pbs {
		if o.settings != "" {
			return errors.New("--pbs makes settings of its own: name queues in those of --settings instead")
		}
		o.settings = filepath.Join(o.dir, "operators.edn")
		if err := os.WriteFile(o.settings, []byte(exampleQueue), 0o600); err != nil {
			return err
		}
	}
	ended := make(chan string, o.controllers)
	d := lab.Example(o.controllers, o.machines)
	d.SpeedUp(10)
	u, err := lab.StartLocal(ctx, d, lab.LocalOptions{Program: program, Settings: o.settings, Dir: o.dir, Keep: keep, Listen: o.listen,
		Exited: func(name string, err error) { ended <- fmt.Sprintf("%s ended: %v; its log is %s.log", name, err, name) }})
	if err != nil {
		return err
	}
	defer u.Close()
	if err := awaitReady(ctx, u, ended, o.dir); err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	first := d.Controllers[0]
	fmt.Fprintf(out, "The front door is http://%s; %d controllers run:\n", u.Address, o.controllers)
	for _, name := range d.Controllers {
		fmt.Fprintf(out, "  %-10s front %s, internal %s, settings %s\n", name, u.Addresses.Front[name], u.Addresses.Inner[name], u.Files[name])
	}
	fmt.Fprintf(out, "Try, in another terminal:\n  daledyke status --address %s\n", u.Addresses.Front[first])
	fmt.Fprintf(out, "  curl -d '%s' http://%s/v1/jobs\n", exampleJob, u.Address)
	fmt.Fprintf(out, "  curl http://%s/v1/jobs/wk-1\n", u.Address)
	if o.settings != "" {
		fmt.Fprintf(out, "  daledyke qsub --address %s SCRIPT\n", u.Address)
	}
	fmt.Fprintln(out, "Interrupt (Ctrl-C) to end it.")
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-ended:
			slog.Error(message)
		}
	}
}

// awaitReady waits until all controllers accept requests or one of them has ended.
func awaitReady(ctx context.Context, u *lab.LocalDeployment, ended <-chan string, dir string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ready := make(chan error, 1)
	go func() { ready <- u.Ready(ctx) }()
	select {
	case err := <-ready:
		return err
	case message := <-ended:
		return fmt.Errorf("%s\n%s", message, logTail(dir, message))
	}
}

// exampleJob is a job to try: three tasks of 20 s.
const exampleJob = `{"id":"wk-1","laneClass":"render","crew":"desk","shape":"array","urgency":"normal","passes":3,"cores":4,"accelerators":0,"ramGb":8,"build":"tools","pullGb":1,"oneZone":false,"scatter":false,"standby":false,"expectedS":20,"snapshotS":0,"flushS":0}`

// logTail returns the last five lines of the log of the controller whose name begins the message.
func logTail(dir, message string) string {
	name, _, _ := strings.Cut(message, " ")
	raw, err := os.ReadFile(filepath.Join(dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
