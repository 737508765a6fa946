// Program _stage plays the cases of the second review: it starts controllers as processes with the command of
// the deploy file, on loopback and the real clock, in an emulated environment (state service, cloud, machines)
// that follows the protocol, and acts as their users.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"daledyke/internal/config"
	"daledyke/internal/emulator"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cantRun   = 2
	timeLimit = 118 * time.Second
)

// cases are the cases by name. A case returns an exit status and a sentence that explains it.
var cases = map[string]func(*stage) (int, string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stage CASE FOLDER")
		os.Exit(cantRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and writes its record into a folder.
func run(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "daledyke-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	defer os.RemoveAll(dir)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	s := &stage{ctx: ctx, dir: dir, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		processes: map[string]*process{}, d: smallDeployment()}
	defer s.end()
	type result struct {
		status int
		why    string
	}
	done := make(chan result, 1)
	go func() {
		status, why := cases[name](s)
		done <- result{status, why}
	}()
	var r result
	select {
	case r = <-done:
	case <-ctx.Done():
	}
	if ctx.Err() != nil { // also if the case returned because of it
		r = result{cantRun, "the case did not finish in time, or was interrupted"}
	}
	for _, name := range s.d.names {
		if r.status != cantRun && !s.running(name) {
			r = result{cantRun, "the process of " + name + " ended by itself"}
		}
	}
	word := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", cantRun: "the case could not run"}[r.status]
	s.log("result: %s: %s", word, r.why)
	fmt.Printf("case %s, trouble %v: %s: %s\n", name, s.trouble, word, r.why)
	return r.status
}

// deployment is what the settings and the environment have in common. Its figures are those of the small
// deployment of the toll plazas.
type deployment struct {
	names, zones                      []string
	teams                             []config.Team
	types                             []protocol.MachineType
	capacity                          int
	maxByType                         map[string]int
	reportS, leaseS, gangWaitS, peerS float64
	cancelS                           float64
	rps, writeRPS, valueKB            float64
	txnOps                            int
	// nextSettings are further lines of the section deployment.state.next.
	nextSettings string
	// objectives are the sections deployment.objectives.
	objectives   string
	restartDelay time.Duration
}

func smallDeployment() deployment {
	zones := []string{"vannes", "rennes", "brest"}
	return deployment{
		names: []string{"bollard-0", "bollard-1", "bollard-2"}, zones: zones,
		teams: []config.Team{{Name: "lanes"}, {Name: "billing"}, {Name: "vision"}, {Name: "support"}, {Name: "platform"}, {Name: "data"}},
		types: []protocol.MachineType{
			{Name: "lande-box", Cores: 32, Accels: 4, RAM: 256, CacheGB: 120, FetchRate: 1, Price: 8.25, SpotPrice: 2.31, BootS: 40, Zones: zones},
			{Name: "menhir-rack", Cores: 96, Accels: 8, RAM: 768, CacheGB: 150, FetchRate: 0.5, Price: 20.35, SpotPrice: 6.24, BootS: 45, Zones: zones},
		},
		capacity: 34, reportS: 3, leaseS: 26, gangWaitS: 35, peerS: 6, cancelS: 51,
		rps: 200, writeRPS: 40, valueKB: 8, txnOps: 12, restartDelay: 4 * time.Second,
	}
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// stage is a running deployment.
type stage struct {
	ctx     context.Context
	dir     string
	began   time.Time
	trouble bool
	command []string // of the deploy file
	d       deployment
	world   *emulator.World
	front   map[string]string
	inner   map[string]string
	cloud   string
	state   map[string]string

	processes map[string]*process

	lock    sync.Mutex
	record  *os.File
	events  []history.Event
	onEvent func(history.Event)
}

// log writes a line of the record.
func (s *stage) log(format string, args ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// observe records an event of the environment.
func (s *stage) observe(e history.Event) {
	switch e.Kind {
	case history.StartReceived, history.TaskStarted, history.TaskStopped, history.MachineGone:
		s.log("machine %s: %s %s attempt %d %s", e.Machine, e.Kind, e.Task, e.Attempt, e.Cause)
	}
	s.lock.Lock()
	s.events = append(s.events, e)
	s.lock.Unlock()
}

// seen returns the events so far that match.
func (s *stage) seen(match func(history.Event) bool) (found []history.Event) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, e := range s.events {
		if match(e) {
			found = append(found, e)
		}
	}
	return found
}

// host is a loopback host for the controllers alone: outgoing connections use 127.0.0.1, and one of them could take
// a controller's port while the controller is down.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(256), 1+rand.N(254))

// freeAddress returns a free loopback address.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts the environment and the controllers, and waits until all are healthy.
func (s *stage) start() error {
	var deploy struct{ Run string }
	if _, err := toml.DecodeFile("deploy/service.toml", &deploy); err != nil {
		return err
	}
	if s.command = strings.Fields(deploy.Run); len(s.command) == 0 {
		return errors.New("the deploy file has no command")
	}
	if _, err := os.Stat(s.command[0]); err != nil {
		return fmt.Errorf("the deploy file's build has not run: %w", err)
	}
	d := &s.d
	seconds := protocol.Seconds
	var err error
	s.world, err = emulator.New(s.ctx, emulator.Loopback{}, emulator.Setup{Controllers: d.names, Types: d.types, Teams: d.teams, Capacity: d.capacity, MaxByType: d.maxByType,
		CloudRPS: 6, State: emulator.Limits{RPS: d.rps, WriteRPS: d.writeRPS, ValueKB: d.valueKB, TxnOps: d.txnOps},
		ReportEvery: seconds(d.reportS), Lease: seconds(d.leaseS), GangWait: seconds(d.gangWaitS), GangPeer: seconds(d.peerS), CancelWithin: seconds(d.cancelS),
		Seed: 1, Record: s.observe})
	if err != nil {
		return err
	}
	s.world.SetBootFactor(0.04) // "at times machines are up within a second or two"
	if s.cloud, s.state, err = s.world.Serve(); err != nil {
		return err
	}
	s.front, s.inner = map[string]string{}, map[string]string{}
	for _, name := range d.names {
		if s.front[name], err = freeAddress(); err != nil {
			return err
		}
		if s.inner[name], err = freeAddress(); err != nil {
			return err
		}
	}
	s.world.SetControllerAddrs(s.front)
	for n, name := range d.names {
		if err := os.WriteFile(s.settingsFile(name), []byte(s.settings(n)), 0o600); err != nil {
			return err
		}
	}
	for _, name := range d.names {
		if err := s.launch(name); err != nil {
			return err
		}
	}
	return s.awaitHealthy(30 * time.Second)
}

func (s *stage) settingsFile(name string) string { return filepath.Join(s.dir, name+".toml") }

// settings returns the platform's settings of a controller.
func (s *stage) settings(n int) string {
	d := &s.d
	var b strings.Builder
	name := d.names[n]
	fmt.Fprintf(&b, "host_name = %q\nzone = %q\nfront = %q\ninternal_addr = %q\n", name, d.zones[n%len(d.zones)], s.front[name], s.inner[name])
	for k, other := range d.names {
		if k != n {
			fmt.Fprintf(&b, "[[siblings]]\nhost_name = %q\nzone = %q\npeer_addr = %q\n", other, d.zones[k%len(d.zones)], s.inner[other])
		}
	}
	fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n", s.cloud, s.state[name])
	fmt.Fprintf(&b, "[deployment]\nsize = %d\nzones = [\"brest\", \"rennes\", \"vannes\"]\nclock_off_ms = 1000.0\n", len(d.names))
	for _, t := range d.teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", t.Name, t.Cores, t.CoresMax, t.Accels, t.AccelsMax)
	}
	b.WriteString(d.objectives)
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", d.reportS, d.leaseS, d.gangWaitS, d.peerS, d.cancelS)
	fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", d.rps, d.writeRPS, d.valueKB, d.txnOps)
	if d.nextSettings != "" {
		fmt.Fprintf(&b, "[deployment.state.next]\n%s\n", d.nextSettings)
	}
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = 6.0\nlist_lag_s = 5.0\n[deployment.machine_limits]\ncores = 0.18\nmem_mb = 125.0\nfd_limit = 1800\n")
	return b.String()
}

// launch starts a controller's process with the command of the deploy file.
func (s *stage) launch(name string) error {
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.command[0], append(s.command[1:len(s.command):len(s.command)], s.settingsFile(name))...)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+envOr("LOG_LEVEL", "info"))
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	p := &process{cmd, make(chan struct{})}
	s.lock.Lock()
	s.processes[name] = p
	s.lock.Unlock()
	s.log("controller %s starts, process %d", name, cmd.Process.Pid)
	go func() {
		cmd.Wait()
		log.Close()
		close(p.done)
		s.log("controller %s, process %d, has ended: %v", name, cmd.Process.Pid, cmd.ProcessState)
	}()
	return nil
}

func envOr(name, otherwise string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return otherwise
}

func (s *stage) process(name string) *process {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.processes[name]
}

// kill ends a controller's process with SIGKILL.
func (s *stage) kill(name string) {
	if p := s.process(name); p != nil {
		p.cmd.Process.Kill()
		<-p.done
	}
}

// running reports whether a controller's process lives.
func (s *stage) running(name string) bool {
	p := s.process(name)
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// crash kills controllers and starts them again after the deployment's restart delay.
func (s *stage) crash(names ...string) error {
	for _, name := range names {
		s.log("trouble: controller %s is killed", name)
		s.kill(name)
	}
	s.sleep(s.d.restartDelay)
	for _, name := range names {
		if err := s.launch(name); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes.
func (s *stage) end() {
	for _, name := range s.d.names {
		s.kill(name)
	}
	if s.world != nil {
		s.world.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, name := range s.d.names {
			raw, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
			os.WriteFile(filepath.Join(keep, name+".log"), raw, 0o600)
		}
	}
}

func (s *stage) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// await waits until a condition holds; it returns false if it does not in time.
func (s *stage) await(atMost time.Duration, condition func() bool) bool {
	for end := time.Now().Add(atMost); ; {
		if condition() {
			return true
		}
		if time.Now().After(end) || s.ctx.Err() != nil {
			return false
		}
		s.sleep(200 * time.Millisecond)
	}
}

// awaitHealthy waits until all controllers are healthy.
func (s *stage) awaitHealthy(atMost time.Duration) error {
	ok := s.await(atMost, func() bool {
		for _, name := range s.d.names {
			if status, _ := s.request(name, http.MethodGet, "/healthz", nil, time.Second); status != http.StatusOK {
				return false
			}
		}
		return true
	})
	if !ok {
		return fmt.Errorf("the controllers are not all healthy after %v", atMost)
	}
	s.log("all controllers are healthy")
	return nil
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}

// request sends one request to a controller's front door; status 0 means no response.
func (s *stage) request(node, method, path string, body []byte, timeout time.Duration) (status int, raw []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+s.front[node]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r, err := client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer r.Body.Close()
	raw, err = io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, raw
}

// submit submits a job as users do: it repeats the submission for up to 60 s, at one controller after another.
// run is how long each task runs.
func (s *stage) submit(spec *protocol.JobSpec, run func(task int) time.Duration) (status int, answer string) {
	s.world.RegisterJob(spec, run, false)
	body, _ := json.Marshal(spec)
	for try, end := 0, time.Now().Add(time.Minute); time.Now().Before(end) && s.ctx.Err() == nil; try++ {
		node := s.d.names[try%len(s.d.names)]
		status, raw := s.request(node, http.MethodPost, "/v1/jobs", body, 5*time.Second)
		s.log("user: submits %s (%d bytes) to %s: %d %s", spec.ID, len(body), node, status, bytes.TrimSpace(raw))
		if status == 200 || status == 201 || status == 400 || status == 422 {
			return status, string(raw)
		}
		s.sleep(time.Second)
	}
	return 0, ""
}

// poll asks a controller for a job's status; nil means that it was not told.
func (s *stage) poll(node, id string) *protocol.JobStatus {
	status, raw := s.request(node, http.MethodGet, "/v1/jobs/"+id, nil, 2*time.Second)
	s.log("user: asks %s for %s: %d %s", node, id, status, bytes.TrimSpace(raw))
	var st protocol.JobStatus
	if status != http.StatusOK || json.Unmarshal(raw, &st) != nil {
		return nil
	}
	return &st
}

// cancel cancels a job as users do: it repeats the request until it gets an answer.
func (s *stage) cancel(id string, atMost time.Duration) (answer string) {
	for try, end := 0, time.Now().Add(atMost); time.Now().Before(end) && s.ctx.Err() == nil; try++ {
		node := s.d.names[try%len(s.d.names)]
		status, raw := s.request(node, http.MethodPost, "/v1/jobs/"+id+"/cancel", nil, 5*time.Second)
		s.log("user: cancels %s at %s: %d %s", id, node, status, bytes.TrimSpace(raw))
		var st protocol.JobStatus
		if status == http.StatusOK && json.Unmarshal(raw, &st) == nil {
			return st.Status
		}
		s.sleep(time.Second)
	}
	return ""
}

// array is an array of tasks without an accelerator that may run on any machine.
func array(id, class, team string, tasks int, cores, expectedS float64) *protocol.JobSpec {
	return &protocol.JobSpec{ID: id, Class: class, Team: team, Shape: protocol.Array, Priority: "normal", Tasks: tasks, Cores: cores, RAM: 2 * cores,
		Image: "img-01", ImageGB: 0.5, EstimateS: expectedS}
}

// placed returns the machines that tasks of a job are on.
func (s *stage) placed(id string) (on map[int]string) {
	s.world.WithChecker(func(c *history.Checker) { on = c.Machines(id) })
	return on
}
