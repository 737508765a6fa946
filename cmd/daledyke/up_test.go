package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"daledyke/internal/protocol"
)

// TestMain runs the program instead of the tests in the processes that the tests start.
func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const programVariable = "DALEDYKE_TEST_PROGRAM"

func programCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), programVariable+"=yes", "LOG_LEVEL=error")
	return cmd
}

// deployment is a running `up` command.
type deployment struct {
	cmd                        *exec.Cmd
	address, controllerAddress string
}

func startUp(t *testing.T, args ...string) *deployment {
	t.Helper()
	d := &deployment{cmd: programCommand(append([]string{"up", "--listen", "127.0.0.1:0"}, args...)...)}
	d.cmd.Stderr = os.Stderr
	out, err := d.cmd.StdoutPipe()
	if err == nil {
		err = d.cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.stop(syscall.SIGKILL) })
	began, lines := time.Now(), bufio.NewScanner(out)
	for lines.Scan() {
		if m := regexp.MustCompile(`front door is http://(\S+);`).FindStringSubmatch(lines.Text()); m != nil {
			d.address = m[1]
		}
		if m := regexp.MustCompile(`status --address (\S+)`).FindStringSubmatch(lines.Text()); m != nil {
			d.controllerAddress = m[1]
		}
		if strings.HasPrefix(lines.Text(), "Interrupt") {
			break
		}
	}
	if took := time.Since(began); d.address == "" || d.controllerAddress == "" || took > 15*time.Second {
		t.Fatalf("address %q, controller address %q after %v", d.address, d.controllerAddress, took)
	}
	go io.Copy(io.Discard, out)
	return d
}

func (d *deployment) stop(s syscall.Signal) error {
	d.cmd.Process.Signal(s)
	return d.cmd.Wait()
}

// waitForStatus waits until a job has the given status.
func (d *deployment) waitForStatus(t *testing.T, job, status string, within time.Duration) {
	t.Helper()
	got := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		resp, err := http.Get("http://" + d.address + "/v1/jobs/" + job)
		if err != nil {
			got = err.Error()
			continue
		}
		var st protocol.JobStatus
		err = json.NewDecoder(resp.Body).Decode(&st)
		resp.Body.Close()
		if got = fmt.Sprint(resp.StatusCode, st.Status, err); st.Status == status {
			return
		}
	}
	t.Errorf("%s is %s, not %s", job, got, status)
}

func (d *deployment) submit(t *testing.T, job string) {
	t.Helper()
	resp, err := http.Post("http://"+d.address+"/v1/jobs", "application/json", strings.NewReader(job))
	if err != nil || resp.StatusCode != http.StatusCreated {
		t.Fatalf("%v, %+v", err, resp)
	}
	resp.Body.Close()
}

// The first command of the README works: a job and a script run, and status shows the controller's view.
// After a kill and a restart, accepted jobs continue.
func TestUp(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), "up")
	d := startUp(t, "--dir", dir, "--pbs")
	short := strings.Replace(exampleJob, `"expectedS":20`, `"expectedS":2`, 1)
	d.submit(t, short)
	script := filepath.Join(t.TempDir(), "x.sh")
	if err := os.WriteFile(script, []byte("#PBS -l ncpus=2,walltime=1\necho hello\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	raw, err := programCommand("qsub", "--address", d.address, script).Output()
	id, _, ok := strings.Cut(strings.TrimSpace(string(raw)), ".")
	if err != nil || !ok {
		t.Fatalf("qsub: %v %q", err, raw)
	}
	d.waitForStatus(t, "wk-1", protocol.Done, 40*time.Second)
	d.waitForStatus(t, "wk-"+id, protocol.Done, 40*time.Second)
	if raw, err := programCommand("status", "--address", d.controllerAddress).Output(); err != nil || !strings.Contains(string(raw), "leader") {
		t.Errorf("status: %v %s", err, raw)
	}
	d.submit(t, strings.NewReplacer("wk-1", "wk-2", `"expectedS":20`, `"expectedS":8`).Replace(exampleJob))
	d.waitForStatus(t, "wk-2", protocol.Running, 30*time.Second)
	if err := d.stop(syscall.SIGKILL); err == nil {
		t.Error("the killed process exited without an error")
	}
	d = startUp(t, "--dir", dir, "--pbs")
	d.waitForStatus(t, "wk-1", protocol.Done, 20*time.Second)
	d.waitForStatus(t, "wk-2", protocol.Done, 90*time.Second)
	if resp, err := http.Get("http://" + d.address + "/v1/jobs/wk-999"); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("a job that was never submitted: %v %+v", err, resp)
	}
	if err := d.stop(syscall.SIGINT); err != nil {
		t.Errorf("interrupted: %v", err)
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) == 0 {
		t.Errorf("the directory is empty after the end: %v", err)
	}
}

// Arguments with which no deployment can start are refused at once.
func TestUpRefusals(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "uploads.jsonl"), []byte("{}\nno json\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, args := range map[string][]string{
		"1 to 15 controllers":       {"--controllers", "99"},
		"the front door":            {"--listen", "256.0.0.1:1"},
		"uploads.jsonl: line 2":     {"--dir", dir},
		"--pbs makes settings":      {"--pbs", "--settings", "x.edn"},
		"x.edn: no such file":       {"--settings", "x.edn"},
		"operators' settings x.edn": {"--settings", "x.edn"},
	} {
		raw, err := programCommand(append([]string{"up", "--listen", "127.0.0.1:0"}, args...)...).CombinedOutput()
		if err == nil || !strings.Contains(string(raw), want) {
			t.Errorf("%v: %v %s", args, err, raw)
		}
	}
}

// An experiment in real time, in which controllers are processes. One controller is killed and one
// hangs. The two versions compared are the same program.
func TestLabInRealTime(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := filepath.Join(dir, "real.edn")
	text := fmt.Sprintf(`(experiment "real" (clock real) (controllers 3) (machines 8) (length "16s") (rest "9s") (seeds 1)
  (version "one" %q) (version "two" %q)
  (class "render" (arrivals (poisson "2s")) (tasks (uniform 1 3)) (run (uniform 1 3)) (cores 2) (image "render" 0.2))
  (at "0s" (boots "20s" 0.1))
  (at "5s" (crash "3s" "press-1"))
  (at "6s" (state-outage "2s"))
  (at "10s" (hangs "4s" "press-2")))`, os.Args[0], os.Args[0])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	raw, err := programCommand("lab", "run", file, "--out", filepath.Join(dir, "out"), "--at-once", "2").CombinedOutput()
	if err != nil || !strings.Contains(string(raw), "rules broken") {
		t.Fatalf("%v\n%s", err, raw)
	}
	if raw, err := programCommand("lab", "report", filepath.Join(dir, "out")).CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, raw)
	}
	for _, version := range []string{"one", "two"} {
		raw, err := os.ReadFile(filepath.Join(dir, "out", "runs", version+"-seed1", "summary.json"))
		var s struct {
			Broken  []any
			Starts  int
			Classes map[string]struct{ Jobs, Accepted, Done int }
		}
		if err == nil {
			err = json.Unmarshal(raw, &s)
		}
		if c := s.Classes["render"]; err != nil || len(s.Broken) > 0 || c.Jobs < 3 || c.Accepted < c.Jobs || c.Done == 0 {
			t.Errorf("%s: %v %+v", version, err, s)
		}
	}
}
