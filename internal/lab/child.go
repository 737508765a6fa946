package lab

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// child runs a command that plays a run, and gives how long it took and the most memory
// (MB) that it had. What it logs goes to a file.
func runCommand(ctx context.Context, command []string, log string, progress func(float64)) (took time.Duration, memory float64, err error) {
	logFile, err := os.Create(log)
	if err != nil {
		return 0, 0, err
	}
	defer logFile.Close()
	cmd := exec.CommandContext(ctx, command[0], command[1:]...)
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return 0, 0, err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if share, err := strconv.ParseFloat(lines.Text(), 64); err == nil {
			progress(share)
		}
	}
	err = cmd.Wait()
	if ctx.Err() != nil {
		return 0, 0, ctx.Err()
	}
	if err != nil {
		return 0, 0, fmt.Errorf("%w: %s", err, logTail(log))
	}
	if use, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		memory = float64(use.Maxrss) / 1024
	}
	return time.Since(began), memory, nil
}

// tail is the end of what a child said.
func logTail(log string) string {
	raw, err := os.ReadFile(log)
	if err != nil {
		return err.Error()
	}
	const most = 600
	text := strings.TrimSpace(string(raw))
	if at := strings.Index(text, "panic: "); at >= 0 {
		return text[at:min(len(text), at+most)]
	}
	return text[max(0, len(text)-most):]
}

// PlayHere plays the run in a directory in this process, which it ends. Virtual time is
// that of testing/synctest, whose bubbles only tests may open: so this process becomes a
// test.
func ExecuteInProcess(dir string, virtual bool) {
	execute := func(ctx context.Context) error {
		return ExecuteRun(ctx, dir, func(share float64) { fmt.Println(strconv.FormatFloat(share, 'f', 4, 64)) })
	}
	if !virtual {
		if err := execute(context.Background()); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Args = os.Args[:1] // the flags of tests are not ours
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: "Run", F: func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			if err := execute(context.Background()); err != nil {
				fmt.Fprintln(os.Stderr, err)
				t.FailNow()
			}
		})
	}}}, nil, nil)
}

// Virtual tells whether the run in a directory plays in virtual time.
func Virtual(dir string) (bool, error) {
	r, err := readRun(dir)
	if err != nil {
		return false, err
	}
	e, err := r.withSettings()
	if err != nil {
		return false, err
	}
	return !e.RealTime, nil
}
