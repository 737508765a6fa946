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

// runCommand runs a command that executes a run, and returns its duration and its peak memory in MB. Its
// standard error goes to the log file.
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

// logTail returns the end of a process's log, or the beginning of its panic message if there is one.
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

// ExecuteInProcess executes the run in a directory in this process and exits. Virtual time needs a
// testing/synctest bubble, which only a test can open; therefore this process runs the run as a test.
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
	os.Args = os.Args[:1] // the arguments are not flags of the testing package
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

// Virtual reports whether the run in a directory uses virtual time.
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
