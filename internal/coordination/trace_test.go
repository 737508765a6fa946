package coordination

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// TestMain keeps the logs out of the tests' output, unless LOG_LEVEL asks.
func TestMain(m *testing.M) {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("LOG_LEVEL"))) != nil {
		level = slog.LevelError
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	// Go 1.26's race detector gives all timers of a synctest bubble one
	// context, and crashes when two threads use it at the same moment. Races
	// are found by the order of events, so one thread at a time finds them too.
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// TestTraces replays the kept traces in testdata: each is a short story of a
// deployment in trouble, told line by line as "time verb arguments", and the
// rules are checked at every start of a task. Time is virtual.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { replay(t, file) })
		})
	}
}

func replay(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	size, coming, accounts := 3, "", ""
	var w *world
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		at, err := time.ParseDuration(words[0])
		if err != nil || len(words) < 2 {
			t.Fatalf("line %d: %q is no step of a trace", number, lines.Text())
		}
		if words[1] == "controllers" { // before anything else: how many there are
			if size, err = strconv.Atoi(words[2]); err != nil || w != nil {
				t.Fatalf("line %d: %q", number, lines.Text())
			}
			continue
		}
		if words[1] == "account" { // before anything else: account NAME GUARANTEE LIMIT of CPUs
			accounts += fmt.Sprintf("(account %q (cpus %s %s))\n", words[2], words[3], words[4])
			continue
		}
		if words[1] == "coming" { // before anything else: limits of the state service that the settings announce
			coming = fmt.Sprintf("next = { value_kb = %s, txn_ops = %s, write_rps = %s }", words[2], words[3], words[4])
			continue
		}
		if w == nil {
			w = newWorld(t, size, coming, accounts)
			defer w.end()
		}
		if wait := at - time.Since(w.since); wait > 0 {
			time.Sleep(wait)
		}
		if err := w.step(words[1], words[2:]); err != nil {
			t.Errorf("line %d: %s: %v", number, lines.Text(), err)
		}
	}
	w.rules.mu.Lock()
	defer w.rules.mu.Unlock()
	for _, e := range w.rules.errors {
		t.Error(e)
	}
}

// storm has many users ask every controller at once: all must be answered in
// the two seconds that users wait, by no more than so many requests to the
// state service.
func (w *world) storm(path, users, reads string) error {
	n, err1 := strconv.Atoi(users)
	most, err2 := strconv.Atoi(reads)
	w.state.mu.Lock()
	before := w.state.requests
	w.state.mu.Unlock()
	answers := make(chan error)
	for _, name := range w.names {
		for range n {
			go func() {
				status, _, err := w.call("user", http.MethodGet, "front-"+name+path, nil, 2*time.Second)
				if err == nil && status != 200 {
					err = fmt.Errorf("%s answers %d", name, status)
				}
				answers <- err
			}()
		}
	}
	var failed error
	for range n * len(w.names) {
		failed = errors.Join(failed, <-answers)
	}
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	if took := w.state.requests - before; took > most {
		failed = errors.Join(failed, fmt.Errorf("%d requests to the state service", took))
	}
	return errors.Join(failed, err1, err2)
}

// overview is what a controller shows its operators.
func (w *world) overview(name string) (v protocol.Overview, err error) {
	_, raw, err := w.call("user", http.MethodGet, "front-"+name+"/operator/status", nil, 3*time.Second)
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	return v, err
}

// meanwhile takes a step beside the trace.
func (w *world) meanwhile(verb string, args []string) {
	go func() {
		if err := w.step(verb, args); err != nil {
			w.rules.mu.Lock()
			w.rules.broken("%s: %v", verb, err)
			w.rules.mu.Unlock()
		}
	}()
}

// setQuotas changes accounts as operators do, through one controller.
func (w *world) setQuotas(controller, revision string, args []string) (err error) {
	c := quota.Change{By: "trace", Why: "as it says"}
	if c.Revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
		return err
	}
	for k := 0; k+2 < len(args); k += 3 {
		a := quota.Account{Name: args[k]}
		a.Guarantee.Cores, err = strconv.ParseFloat(args[k+1], 64)
		if a.Limit.Cores, _ = strconv.ParseFloat(args[k+2], 64); err != nil {
			return err
		}
		c.Set = append(c.Set, a)
		w.rules.mu.Lock()
		delete(w.rules.limits, a.Name) // until limit-holds says so
		w.rules.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var out quota.Outcome
	err = transport.NewPeer(ctx, w.net.dialer("operator"), "inner-"+controller+":1").Call(ctx, 10*time.Second, "Quota.Change", c, &out)
	if out.Refused != "" {
		err = errors.New(out.Refused)
	}
	return err
}

func onOff(args []string) bool { return args[len(args)-1] == "on" }

func (w *world) step(verb string, args []string) error {
	switch verb {
	case "submit":
		return w.submit(args)
	case "swarm": // swarm FIRST LAST RUN: so many jobs of one task, one after the other
		first, err1 := strconv.Atoi(args[0])
		last, err2 := strconv.Atoi(args[1])
		errs := make(chan error)
		for n := first; n <= last; n++ {
			go func() {
				errs <- w.submit([]string{fmt.Sprintf("wk-%d", n), "array", "1", "run=" + args[2], "cores=0.1", "accels=0", "ram=1"})
			}()
		}
		failed := errors.Join(err1, err2)
		for n := first; n <= last; n++ {
			failed = errors.Join(failed, <-errs)
		}
		return failed
	case "swarm-begins": // the same, and the trace goes on meanwhile
		w.meanwhile("swarm", args)
	case "stream": // stream FIRST LAST RUN EVERY: such jobs, one every so often, and the trace goes on meanwhile
		first, err1 := strconv.Atoi(args[0])
		last, err2 := strconv.Atoi(args[1])
		every, err3 := time.ParseDuration(args[3])
		for n := first; n <= last; n++ {
			time.AfterFunc(time.Duration(n-first)*every, func() {
				w.meanwhile("swarm", []string{strconv.Itoa(n), strconv.Itoa(n), args[2]})
			})
		}
		return errors.Join(err1, err2, err3)
	case "cancelled-within": // cancelled-within TIME JOB
		most, err := time.ParseDuration(args[0])
		began := time.Now()
		if err = errors.Join(err, w.step("cancel", args[1:])); err == nil && time.Since(began) > most {
			err = fmt.Errorf("took %v", time.Since(began))
		}
		return err
	case "window": // window CONTROLLER N: it goes by the window of this number, or a later one
		v, err := w.overview(args[0])
		if n, bad := strconv.ParseUint(args[1], 10, 64); err == nil && (bad != nil || v.Window == nil || v.Window.Number < n) {
			err = fmt.Errorf("%+v", v.Window)
		}
		return err
	case "cancel":
		status, st := w.ask(http.MethodPost, "/v1/jobs/"+args[0]+"/cancel", []byte("{}"))
		if status != 200 {
			return fmt.Errorf("answer %d", status)
		}
		if st.Status == protocol.Cancelled {
			w.rules.mu.Lock()
			w.rules.cancelled[args[0]] = time.Now()
			w.rules.mu.Unlock()
		}
	case "expect":
		return w.expect(args[0], args[1:])
	case "answer": // answer STATUS METHOD PATH BODY
		status, _, err := w.call("user", args[1], "front-"+w.names[0]+args[2], []byte(strings.Join(args[3:], " ")), 5*time.Second)
		if err != nil || strconv.Itoa(status) != args[0] {
			return fmt.Errorf("answer %d, %v", status, err)
		}
	case "storm": // storm PATH USERS reads N: so many ask each controller at once
		return w.storm(args[0], args[1], args[3])
	case "asked": // asked CONTROLLER PATH STATUS
		status, _, err := w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 2*time.Second)
		if err != nil || strconv.Itoa(status) != args[2] {
			return fmt.Errorf("answer %d, %v", status, err)
		}
	case "shows": // shows CONTROLLER PATH WORDS: the operators' view holds the words
		status, raw, err := w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 3*time.Second)
		if words := strings.Join(args[2:], " "); err != nil || status != 200 || !strings.Contains(string(raw), words) {
			return fmt.Errorf("answer %d %.2000s, %v", status, raw, err)
		}
	case "lags": // lags CONTROLLER TIME: it hears of changes so much later
		lag, err := time.ParseDuration(args[1])
		w.state.mu.Lock()
		w.state.lags[args[0]] = lag
		w.state.mu.Unlock()
		return err
	case "uses": // uses ACCOUNT N: its tasks use N CPUs
		w.rules.mu.Lock()
		use := w.rules.uses(args[0])
		w.rules.mu.Unlock()
		if n, err := strconv.ParseFloat(args[1], 64); err != nil || use != n {
			return fmt.Errorf("uses %v", use)
		}
	case "quota-set": // quota-set CONTROLLER REVISION ACCOUNT GUARANTEE LIMIT ...: operators change accounts, by the revision
		return w.setQuotas(args[0], args[1], args[2:])
	case "quota-refused": // the same, and it is refused
		if err := w.setQuotas(args[0], args[1], args[2:]); err == nil {
			return errors.New("it was taken")
		}
	case "limit-holds": // limit-holds ACCOUNT N: from now on the account may not use more than that
		n, err := strconv.ParseFloat(args[1], 64)
		w.rules.mu.Lock()
		defer w.rules.mu.Unlock()
		w.rules.limits[args[0]] = n
		if use := w.rules.uses(args[0]); use > n {
			return fmt.Errorf("uses %v", use)
		}
		return err
	case "incomplete": // incomplete CONTROLLER N: of so many slots at most it is not known what is there
		v, err := w.overview(args[0])
		n := 0
		for _, s := range v.Slots {
			if !s.Complete {
				n++
			}
		}
		if most, bad := strconv.Atoi(args[1]); err != nil || bad != nil || n > most {
			return fmt.Errorf("%d slots are incomplete, %v", n, err)
		}
	case "limits": // limits VALUE_KB TXN_OPS WRITE_RPS: the state service has these from now on
		var l stateLimits
		_, err := fmt.Sscan(strings.Join(args, " "), &l.valueKB, &l.txnOps, &l.writeRPS)
		w.state.mu.Lock()
		w.state.limit(l)
		w.state.mu.Unlock()
		return err
	case "malformed": // malformed N: no more requests than that were called malformed
		n, err := strconv.Atoi(args[0])
		w.state.mu.Lock()
		defer w.state.mu.Unlock()
		if w.state.malformed > n {
			return fmt.Errorf("%d requests were malformed", w.state.malformed)
		}
		return err
	case "crash":
		for _, n := range args {
			w.crash(n)
		}
	case "start":
		for _, n := range args {
			w.start(n)
		}
	case "state-outage":
		w.state.outage(onOff(args))
	case "state-refuses":
		w.state.mu.Lock()
		w.state.refuses[args[0]] = onOff(args)
		w.state.mu.Unlock()
	case "older-records": // as a version left them that kept no rosters
		return w.state.olderRecords()
	case "older": // older CONTROLLER: its session is of the version before chains
		return w.state.rewrite("m/"+args[0], "gen")
	case "rewritten": // jobs that are over, as the version before chains writes them
		return w.state.rewrite("z/", "end", "with")
	case "archived": // archived JOB STATE: its record stands with those long over
		return w.state.archive(args[0], args[1])
	case "cloud-outage":
		w.cloud.mu.Lock()
		w.cloud.down = onOff(args)
		w.cloud.mu.Unlock()
	case "capacity":
		n, err := strconv.Atoi(args[0])
		w.cloud.mu.Lock()
		w.cloud.capacity = n
		w.cloud.mu.Unlock()
		return err
	case "cut": // cut CONTROLLER from workers|siblings|all, or cut off
		w.cut(args)
	case "rented": // rented N: no more machines than that so far
		n, err := strconv.Atoi(args[0])
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		if w.cloud.next > n {
			return fmt.Errorf("%d machines were rented", w.cloud.next)
		}
		return err
	case "machine": // machine TASK hangs|resumes|dies|sickens|leaves
		return w.strike(args[0], args[1])
	default:
		return fmt.Errorf("unknown verb %s", verb)
	}
	return nil
}

func (w *world) cut(args []string) {
	if args[0] == "off" {
		w.net.sever(func(string, string) bool { return false })
		return
	}
	name, what := args[0], args[2]
	w.net.sever(func(from, to string) bool {
		mine := from == name || strings.HasSuffix(to, "-"+name+":1")
		other := to
		if from != name {
			other = from
		}
		isWorker := strings.HasPrefix(other, "host-") || strings.HasPrefix(other, "worker-")
		isSibling := strings.HasPrefix(to, "inner-")
		return mine && (what == "all" && from != "user" || what == "workers" && isWorker || what == "siblings" && isSibling)
	})
}

// submit JOB SHAPE TASKS [key=value ...]
func (w *world) submit(args []string) error {
	tasks, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	s := &protocol.JobSpec{ID: args[0], Class: "batch", Team: "free", Shape: map[string]protocol.Shape{"array": protocol.Array,
		"gang": protocol.Gang, "service": protocol.Service}[args[1]], Priority: "normal", Tasks: tasks, Cores: 4, Accels: 1, RAM: 16,
		Image: "img", ImageGB: 3, EstimateS: 30}
	run := 30 * time.Second
	for _, a := range args[3:] {
		key, value, _ := strings.Cut(a, "=")
		number, _ := strconv.ParseFloat(strings.TrimSuffix(value, "s"), 64)
		switch key {
		case "mistake": // fails on every machine
			w.mu.Lock()
			w.wrong[s.ID] = true
			w.mu.Unlock()
		case "run":
			run = protocol.Seconds(number)
			s.EstimateS = number
		case "cores":
			s.Cores = number
		case "ram":
			s.RAM = number
		case "accels":
			s.Accels = number
		case "urgency":
			s.Priority = protocol.Priority(value)
		case "class":
			s.Class = value
		case "crew":
			s.Team = value
		case "account":
			s.Account = value
		case "saves":
			s.CheckpointS, s.SaveS = 5, number
		case "spot":
			s.Spot = true
		case "onezone":
			s.OneZone = true
		case "scatter":
			s.Scatter = true
		case "due":
			s.DeadlineS = &number
		case "awaits":
			s.Needs = strings.Split(value, ",")
			if from, to, ok := strings.Cut(value, ".."); ok { // wk-100..wk-199
				first, _ := strconv.Atoi(strings.TrimPrefix(from, "wk-"))
				last, _ := strconv.Atoi(strings.TrimPrefix(to, "wk-"))
				s.Needs = nil
				for n := first; n <= last; n++ {
					s.Needs = append(s.Needs, fmt.Sprintf("wk-%d", n))
				}
			}
		case "types":
			s.Types = strings.Split(value, ",")
		default:
			return fmt.Errorf("unknown property %s", key)
		}
	}
	w.mu.Lock()
	w.specs[s.ID], w.runs[s.ID] = s, run
	w.mu.Unlock()
	if status, _ := w.ask(http.MethodPost, "/v1/jobs", s); status != 201 && status != 200 {
		return fmt.Errorf("answer %d", status)
	}
	return nil
}

// expect JOB pending|running|done|cancelled|unknown, or
// expect JOB starts N: no more than N starts of its tasks so far, or
// expect JOB machines N: its tasks are on N machines.
func (w *world) expect(job string, what []string) error {
	w.rules.mu.Lock()
	starts := 0
	machines := map[string]bool{}
	for task, n := range w.rules.starts {
		if strings.HasPrefix(task, job+"/") {
			starts += n
		}
	}
	for task, at := range w.rules.at {
		if strings.HasPrefix(task, job+"/") {
			machines[at.machine] = true
		}
	}
	w.rules.mu.Unlock()
	switch what[0] {
	case "starts":
		if n, err := strconv.Atoi(what[1]); err != nil || starts > n || starts == 0 {
			return fmt.Errorf("%d starts", starts)
		}
		return nil
	case "machines":
		if strconv.Itoa(len(machines)) != what[1] {
			return fmt.Errorf("on %d machines", len(machines))
		}
		return nil
	}
	for _, n := range w.names {
		status, raw, err := w.call("user", http.MethodGet, "front-"+n+"/v1/jobs/"+job, nil, 5*time.Second)
		got := string(raw)
		if what[0] == "unknown" && status == 404 || err == nil && strings.Contains(got, `"status":"`+what[0]+`"`) {
			continue
		}
		return fmt.Errorf("%s says %d %s %v", n, status, got, err)
	}
	return nil
}

// strike does something to the machine that a task is on.
func (w *world) strike(task, how string) error {
	w.rules.mu.Lock()
	id := w.rules.at[task].machine
	if how == "resumes" {
		id = w.rules.struck[task]
	}
	w.rules.struck[task] = id
	w.rules.mu.Unlock()
	w.cloud.mu.Lock()
	m := w.cloud.machines[id]
	w.cloud.mu.Unlock()
	if m == nil {
		if how == "resumes" {
			return nil // it was returned meanwhile
		}
		return fmt.Errorf("%s is on no machine", task)
	}
	if how == "dies" {
		m.destroy()
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch how {
	case "hangs", "resumes":
		m.hung = how == "hangs"
	case "sickens":
		m.faulty = true
		for _, t := range m.tasks {
			m.exit(t, "error")
		}
		m.say()
	case "leaves":
		notice := 20.0
		m.notice = &notice
		m.say()
		time.AfterFunc(20*time.Second, m.destroy)
	default:
		return fmt.Errorf("machines don't do that: %s", how)
	}
	return nil
}
