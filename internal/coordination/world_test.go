package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/emulator"
	"daledyke/internal/history"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// world is a whole deployment in memory: real controllers, with everything else emulated.
type world struct {
	t              *testing.T
	net            *emulator.Pipes
	em             *emulator.World
	names          []string
	dir            string
	kill           map[string]context.CancelFunc
	faulted        map[string]string // machines with an injected fault, by the task that the step named
	randomMachines []string          // the machines drawn last at random
	startedAt      time.Time
	cancel         context.CancelFunc
	// nextLimits are the future limits of the state service that the settings announce, as TOML.
	nextLimits string
	// accounts are the operators' quotas, as S-expressions.
	accounts string
	// onEvent is called for each event on the goroutine of the emulator; it may be nil.
	onEvent func(history.Event)
	// copies repeats requests between controllers.
	copies *requestCopies
	// cancellations tracks cancelled jobs; it is used on the goroutine of the emulator.
	cancellations history.Cancellations
}

// cancelWithin is how long tasks of a cancelled job may remain, as in settingsTemplate.
const cancelWithin = 40 * time.Second

// slowestCancellation returns the cancelled job whose tasks remained longest so far, if any user was told of
// a cancellation.
func (w *world) slowestCancellation() (slowest history.Cancellation, any bool) {
	w.em.WithChecker(func(*history.Checker) {
		if all := w.cancellations.Snapshot(w.em.Elapsed()); len(all) > 0 {
			slowest, any = all[0], true
		}
	})
	return slowest, any
}

// stateLimits are the limits of the state service in settingsTemplate.
var stateLimits = emulator.Limits{ValueKB: 8, WriteRPS: 100, TxnOps: 12}

func newWorld(t *testing.T, controllers int, nextLimits, accounts string) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{t: t, net: emulator.NewPipes(ctx), dir: t.TempDir(), kill: map[string]context.CancelFunc{}, faulted: map[string]string{},
		startedAt: time.Now(), cancel: cancel, nextLimits: nextLimits, accounts: accounts, copies: newRequestCopies(ctx)}
	fronts := map[string]string{}
	for n := range controllers {
		w.names = append(w.names, fmt.Sprintf("c%d", n))
		fronts[w.names[n]] = "front-" + w.names[n] + ":1"
	}
	var err error
	w.em, err = emulator.New(ctx, w.net, emulator.Setup{Controllers: w.names, Capacity: 30, State: stateLimits,
		Record: func(e history.Event) {
			w.cancellations.Observe(e)
			if w.onEvent != nil {
				w.onEvent(e)
			}
		},
		Teams:       []config.Team{{Name: "free"}, {Name: "bound", CoresMax: 8}, {Name: "gpus", Accels: 1, AccelsMax: 2}},
		ReportEvery: 3 * time.Second, Lease: 20 * time.Second, GangWait: 30 * time.Second, GangPeer: 5 * time.Second, CancelWithin: cancelWithin,
		Types: []protocol.MachineType{
			{Name: "small", Cores: 8, Accels: 2, RAM: 64, CacheGB: 50, FetchRate: 1, Price: 2, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}},
			{Name: "large", Cores: 32, Accels: 8, RAM: 256, CacheGB: 50, FetchRate: 1, Price: 9, SpotPrice: 2, BootS: 20, Zones: []string{"a", "b"}}}})
	if err == nil {
		_, _, err = w.em.Serve()
	}
	if err != nil {
		t.Fatal(err)
	}
	w.em.State.SetPageSize(40) // small pages, so that paging is tested
	w.em.SetControllerAddrs(fronts)
	w.start(w.names...)
	return w
}

const settingsTemplate = `host_name = "%s"
zone = "a"
front = "front-%s:1"
internal_addr = "inner-%s:1"
%s
[services]
cloud = "cloud:1"
state = "state-%s:1"
[deployment]
size = 3
zones = ["a", "b"]
clock_off_ms = 100.0
a_new_field = "is ignored"
[[deployment.teams]]
name = "free"
[[deployment.teams]]
name = "bound"
cpus_max = 8.0
[[deployment.teams]]
name = "gpus"
gpus = 1.0
gpus_max = 2.0
[[deployment.objectives]]
kind = "wait"
class = "live"
within_s = 10.0
share = 0.9
[deployment.workers]
report_s = 3.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 40.0
[deployment.state]
rps = 300.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 12
%s
[deployment.cloud]
rps = 10.0
list_lag_s = 5.0
[deployment.machine_limits]
cores = 0.2
mem_mb = 125.0
fd_limit = 1000
`

// queueSettings are the queues for batch scripts in worlds with accounts.
const queueSettings = `(pbs
  (queue "work" (default true) (team "free") (class "batch") (image "img") (image-gb 3) (urgency "normal") (walltime "30") (mem-gb 4))
  (queue "bound" (team "bound") (class "batch") (image "img") (image-gb 3) (urgency "high") (walltime "30") (mem-gb 4)))`

// loadSettings writes and loads the settings of a controller and gives the limits of the accounts to the
// checker.
func (w *world) loadSettings(name string) *config.Config {
	siblings := ""
	for _, n := range w.names {
		if n != name {
			siblings += fmt.Sprintf("[[siblings]]\nhost_name = %q\nzone = \"a\"\npeer_addr = \"inner-%s:1\"\n", n, n)
		}
	}
	file := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(settingsTemplate, name, name, name, siblings, name, w.nextLimits)), 0o600); err != nil {
		w.t.Fatal(err)
	}
	operators := ""
	if w.accounts != "" {
		operators = filepath.Join(w.dir, "operators.edn")
		if err := os.WriteFile(operators, []byte("(daledyke (quotas "+w.accounts+")"+queueSettings+")"), 0o600); err != nil {
			w.t.Fatal(err)
		}
	}
	c, err := config.Load(file, operators)
	if err != nil {
		w.t.Fatal(err)
	}
	w.em.WithChecker(func(r *history.Checker) {
		for _, a := range c.Quotas.Accounts() {
			if _, known := r.AccountLimit(a.Name); !known && a.Limit.Cores > 0 {
				r.LimitAccount(a.Name, a.Limit.Cores)
			}
		}
	})
	return c
}

// start starts controllers as main does.
func (w *world) start(names ...string) {
	for _, name := range names {
		w.startController(name)
	}
}

func (w *world) startController(name string) {
	c := w.loadSettings(name)
	kill, err := w.net.StartController(name, func(ctx context.Context, front, inner net.Listener) {
		k := NewController(ctx, c, w.net.Dialer(name))
		go transport.ServeRPC(inner, w.copies.receivers(name, k))
		k.serve(ctx, front, 100)
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.kill[name] = kill
}

func (w *world) crash(names ...string) {
	for _, name := range names {
		w.kill[name]()
	}
}

// shutDown ends the world and reports each violation of the safety rules.
func (w *world) shutDown() {
	w.em.WithChecker(func(r *history.Checker) {
		for _, v := range r.Violations() {
			w.t.Error(v)
		}
	})
	for _, stop := range w.kill {
		stop()
	}
	w.em.Close()
	w.net.Partition(func(string, string) bool { return true })
	w.cancel()
	time.Sleep(30 * time.Second) // time for all goroutines to notice and end
}

// noteAnswer records the answer that a user got, for the checker.
func (w *world) noteAnswer(kind history.Kind, job string, status int, answer string) {
	w.em.RecordEvent(history.Event{Kind: kind, Job: job, Code: status, Status: answer})
}

// call makes one request over the in-memory network.
func (w *world) call(from, method, to string, body any, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	raw, ok := body.([]byte)
	if !ok {
		raw, _ = json.Marshal(body)
	}
	host, path, _ := strings.Cut(to, "/")
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+":1/"+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	c := http.Client{Transport: &http.Transport{DialContext: w.net.Dialer(from), DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	for line := range bytes.Lines(out) {
		if len(line) > protocol.MaxLine {
			w.t.Errorf("%s answers %s %s with a line of %d bytes", host, method, path, len(line))
		}
	}
	return resp.StatusCode, out, err
}

// askUntilAnswered asks the controllers in turn, as a user does, until one gives a final answer to the
// request.
func (w *world) askUntilAnswered(method, path string, body any) (int, protocol.JobStatus) {
	for try := range 60 {
		status, raw, err := w.call("user", method, "front-"+w.names[try%len(w.names)]+path, body, 5*time.Second)
		if err == nil && status < 429 {
			var st protocol.JobStatus
			json.Unmarshal(raw, &st)
			return status, st
		}
		time.Sleep(time.Second)
	}
	return 0, protocol.JobStatus{}
}
