package coordination

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"daledyke/internal/config"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// world is a whole deployment in memory.
type world struct {
	t     *testing.T
	net   *memNet
	state *stateService
	cloud *cloud
	rules *rules
	names []string
	types []protocol.MachineType
	lease time.Duration
	dir   string
	nodes map[string]context.CancelFunc
	mu    sync.Mutex
	specs map[string]*protocol.JobSpec
	runs  map[string]time.Duration
	wrong map[string]bool // jobs submitted with a mistake
	since time.Time
	stops []func()
	// coming are the limits that the settings announce, as TOML.
	coming string
	// accounts are the operators' quotas, as S-expressions.
	accounts string
}

func newWorld(t *testing.T, controllers int, coming, accounts string) *world {
	w := &world{t: t, net: newMemNet(), state: newStateService(), lease: 20 * time.Second,
		dir: t.TempDir(), nodes: map[string]context.CancelFunc{}, specs: map[string]*protocol.JobSpec{}, runs: map[string]time.Duration{}, wrong: map[string]bool{}, since: time.Now(), coming: coming, accounts: accounts,
		types: []protocol.MachineType{
			{Name: "small", Cores: 8, Accels: 2, RAM: 64, CacheGB: 50, FetchRate: 1, Price: 2, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}},
			{Name: "large", Cores: 32, Accels: 8, RAM: 256, CacheGB: 50, FetchRate: 1, Price: 9, SpotPrice: 2, BootS: 20, Zones: []string{"a", "b"}}}}
	for n := range controllers {
		w.names = append(w.names, fmt.Sprintf("c%d", n))
	}
	w.rules = &rules{w: w, at: map[string]place{}, starts: map[string]int{}, cancelled: map[string]time.Time{}, done: map[string]bool{}, struck: map[string]string{}, limits: map[string]float64{}}
	w.cloud = &cloud{w: w, machines: map[string]*worker1{}, booked: map[string][]string{}, capacity: 30}
	w.stops = append(w.stops, w.net.serve("cloud:1", w.cloud))
	for _, n := range w.names {
		// Each controller reaches the state service under a name of its own,
		// so that one of them alone can be refused.
		h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			r.Header.Set("From", n)
			w.state.ServeHTTP(rw, r)
		})
		w.stops = append(w.stops, w.net.serve("state:"+portOf(n), h))
	}
	for _, n := range w.names {
		w.start(n)
	}
	return w
}

func portOf(name string) string { return "1" + name[1:] }

const settingsText = `host_name = "%s"
zone = "a"
front = "front-%s:1"
internal_addr = "inner-%s:1"
%s
[services]
cloud = "cloud:1"
state = "state:%s"
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

// someQueues are queues for batch scripts, in worlds with accounts.
const someQueues = `(pbs
  (queue "work" (default true) (team "free") (class "batch") (image "img") (image-gb 3) (urgency "normal") (walltime "30") (mem-gb 4))
  (queue "bound" (team "bound") (class "batch") (image "img") (image-gb 3) (urgency "high") (walltime "30") (mem-gb 4)))`

func (w *world) settings(name string) *config.Config {
	siblings := ""
	for _, n := range w.names {
		if n != name {
			siblings += fmt.Sprintf("[[siblings]]\nhost_name = %q\nzone = \"a\"\npeer_addr = \"inner-%s:1\"\n", n, n)
		}
	}
	file := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(settingsText, name, name, name, siblings, portOf(name), w.coming)), 0o600); err != nil {
		w.t.Fatal(err)
	}
	operators := ""
	if w.accounts != "" {
		operators = filepath.Join(w.dir, "operators.edn")
		if err := os.WriteFile(operators, []byte("(daledyke (quotas "+w.accounts+")"+someQueues+")"), 0o600); err != nil {
			w.t.Fatal(err)
		}
	}
	c, err := config.Load(file, operators)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, a := range c.Quotas.Accounts() {
		w.rules.mu.Lock()
		if _, known := w.rules.limits[a.Name]; !known && a.Limit.Cores > 0 {
			w.rules.limits[a.Name] = a.Limit.Cores
		}
		w.rules.mu.Unlock()
	}
	return c
}

// start starts a controller as main does.
func (w *world) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	c := w.settings(name)
	k := NewController(ctx, c, w.net.dialer(name))
	front, inner := w.net.listen("front-"+name+":1"), w.net.listen("inner-"+name+":1")
	go transport.ServeFront(front, k, 100)
	go transport.ServeRPC(inner, k.Receivers())
	go k.Run(ctx)
	w.nodes[name] = func() {
		front.Close()
		inner.Close()
		cancel()
		w.net.mu.Lock()
		var open []net.Conn
		for c := range w.net.conns {
			if c.from == name || strings.HasSuffix(c.to, "-"+name+":1") {
				open = append(open, c)
			}
		}
		w.net.mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	}
}

func (w *world) crash(name string) { w.nodes[name]() }

func (w *world) end() {
	for _, stop := range w.nodes {
		stop()
	}
	for _, stop := range w.stops {
		stop()
	}
	w.cloud.mu.Lock()
	for _, m := range w.cloud.machines {
		m.destroy()
	}
	w.cloud.mu.Unlock()
	w.net.sever(func(string, string) bool { return true })
	time.Sleep(30 * time.Second) // all goroutines notice and end
}

func (w *world) machineType(name string) protocol.MachineType {
	for _, t := range w.types {
		if t.Name == name {
			return t
		}
	}
	w.t.Fatalf("no machine type %s", name)
	return protocol.MachineType{}
}

func (w *world) spec(job string) *protocol.JobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[job]
}

func (w *world) runTime(s *protocol.JobSpec) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[s.ID]
}

func (w *world) mistaken(s *protocol.JobSpec) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wrong[s.ID]
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
	c := http.Client{Transport: &http.Transport{DialContext: w.net.dialer(from), DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// ask asks the controllers one after the other, as a user does, until one
// gives an answer that is final for the request.
func (w *world) ask(method, path string, body any) (int, protocol.JobStatus) {
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

// ---- the rules, checked at every start

type place struct{ machine, zone string }

type rules struct {
	mu        sync.Mutex
	w         *world
	at        map[string]place
	starts    map[string]int
	cancelled map[string]time.Time
	done      map[string]bool // tasks that were completed
	errors    []string
	struck    map[string]string
	limits    map[string]float64 // of accounts, in CPUs
}

func (r *rules) broken(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf("%v: ", time.Since(r.w.since).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (r *rules) started(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	job, _, _ := protocol.SplitTask(task)
	if at, ok := r.cancelled[job]; ok && time.Since(at) > 40*time.Second {
		r.broken("ran_cancelled: %s started", task)
	}
	for _, id := range r.w.spec(job).Needs {
		for index := range r.w.spec(id).Tasks {
			if !r.done[protocol.TaskName(id, index)] {
				r.broken("too_early: %s started before %s/%d was completed", task, id, index)
			}
		}
	}
}

func (r *rules) completed(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[task] = true
}

// on notes that a task is on a machine from now.
func (r *rules) on(task, machine string, kind *protocol.RentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, ok := r.at[task]; ok && other.machine != machine {
		r.broken("ran_twice: %s runs on %s and starts on %s", task, other.machine, machine)
	}
	r.at[task] = place{machine, kind.Zone}
	job, _, _ := protocol.SplitTask(task)
	spec := r.w.spec(job)
	if !spec.Allows(kind.Type, kind.Zone, kind.Spot) {
		r.broken("wrong_place: %s on %+v", task, *kind)
	}
	zones := map[string]int{}
	use := protocol.Room{}
	for name, at := range r.at {
		j, _, _ := protocol.SplitTask(name)
		s := r.w.spec(j)
		if s.Team == "bound" {
			use = use.Add(s.Need())
		}
		if j == job {
			zones[at.zone]++
		}
	}
	for account, limit := range r.limits {
		if use := r.uses(account); use > limit+1e-6 {
			r.broken("nested quota: %v CPUs of %v in use in %s", use, limit, account)
		}
	}
	if use.Cores > 8 {
		r.broken("quota: %v cores in use", use.Cores)
	}
	if spec.OneZone && len(zones) > 1 || zones[kind.Zone] > spec.ZoneShare() {
		r.broken("wrong_place: %s spread as %v", task, zones)
	}
}

// uses is how many CPUs an account's tasks use.
func (r *rules) uses(account string) (cpus float64) {
	for name := range r.at {
		job, _, _ := protocol.SplitTask(name)
		s := r.w.spec(job)
		if a := cmp.Or(s.Account, s.Team); a == account || strings.HasPrefix(a, account+"/") {
			cpus += s.Cores
		}
	}
	return cpus
}

func (r *rules) off(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at[task].machine == machine {
		delete(r.at, task)
	}
}
