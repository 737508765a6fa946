package coordination

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/emulator"
	"daledyke/internal/history"
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
	if c, any := w.slowest(); any {
		t.Logf("the tasks of cancelled jobs were gone within %.2f of their time; last %s, %v after its user was told, %d starts after that",
			float64(c.Duration())/float64(cancelWithin), c.Job, c.Duration().Round(time.Millisecond), c.StartedAfter)
	}
}

// storm has many users ask every controller at once: all must be answered in
// the two seconds that users wait, by no more than so many requests to the
// state service.
func (w *world) storm(path, users, reads string) error {
	n, err1 := strconv.Atoi(users)
	most, err2 := strconv.Atoi(reads)
	before := w.em.State.Counts().Requests
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
	if took := w.em.State.Counts().Requests - before; took > most {
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
			w.t.Errorf("%s %v: %v", verb, args, err)
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
		w.em.WithChecker(func(r *history.Checker) { r.LimitAccount(a.Name, -1) }) // until limit-holds says so
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var out quota.Outcome
	err = transport.NewPeer(ctx, w.net.Dialer("operator"), "inner-"+controller+":1").Call(ctx, 10*time.Second, "Quota.Change", c, &out)
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
	case "stream-cancelled": // stream-cancelled FIRST LAST RUN EVERY AFTER LONG: as stream, but every fourth would run for LONG and is cancelled so long after
		first, err1 := strconv.Atoi(args[0])
		last, err2 := strconv.Atoi(args[1])
		every, err3 := time.ParseDuration(args[3])
		after, err4 := time.ParseDuration(args[4])
		for n := first; n <= last; n++ {
			id, run := strconv.Itoa(n), args[2]
			if (n-first)%4 == 0 {
				run = args[5]
				time.AfterFunc(time.Duration(n-first)*every+after, func() { w.meanwhile("cancel", []string{"wk-" + id}) })
			}
			time.AfterFunc(time.Duration(n-first)*every, func() { w.meanwhile("swarm", []string{id, id, run}) })
		}
		return errors.Join(err1, err2, err3, err4)
	case "stream-bound", "stream-free": // the same, of jobs of that team that take half of what the bound one may use
		first, err1 := strconv.Atoi(args[0])
		last, err2 := strconv.Atoi(args[1])
		every, err3 := time.ParseDuration(args[3])
		for n := first; n <= last; n++ {
			time.AfterFunc(time.Duration(n-first)*every, func() {
				w.meanwhile("submit", []string{fmt.Sprintf("wk-%d", n), "array", "1", "run=" + args[2], "crew=" + strings.TrimPrefix(verb, "stream-")})
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
	case "cancelled-gone": // cancelled-gone TIME: no task of a cancelled job was on a machine, or started, later than so long after its user was told
		most, err := time.ParseDuration(args[0])
		c, any := w.slowest()
		switch {
		case !any:
			err = errors.New("nothing was cancelled")
		case err == nil && c.Duration() > most:
			err = fmt.Errorf("%+v", c)
		}
		return err
	case "begins-submit": // the same as submit, and the trace goes on meanwhile
		w.meanwhile("submit", args)
	case "begins-cancel": // begins-cancel JOB: its user goes on asking, and the trace goes on meanwhile
		w.meanwhile("cancel", args)
	case "window": // window CONTROLLER N: it goes by the window of this number, or a later one
		v, err := w.overview(args[0])
		if n, bad := strconv.ParseUint(args[1], 10, 64); err == nil && (bad != nil || v.Window == nil || v.Window.Number < n) {
			err = fmt.Errorf("%+v", v.Window)
		}
		return err
	case "cancel":
		w.em.RecordEvent(history.Event{Kind: history.CancelAsked, Job: args[0]})
		status, st := w.ask(http.MethodPost, "/v1/jobs/"+args[0]+"/cancel", []byte("{}"))
		w.told(history.CancelAnswered, args[0], status, st.Status)
		if status != 200 {
			return fmt.Errorf("answer %d", status)
		}
	case "expect":
		return w.expect(args[0], args[1:])
	case "answer": // answer STATUS METHOD PATH BODY
		status, _, err := w.call("user", args[1], "front-"+w.names[0]+args[2], []byte(strings.Join(args[3:], " ")), 5*time.Second)
		if err != nil || strconv.Itoa(status) != args[0] {
			return fmt.Errorf("answer %d, %v", status, err)
		}
	case "expect-on": // expect-on JOB N: so many of its tasks are on machines, whoever answers or not
		on := 0
		w.em.WithChecker(func(r *history.Checker) { on = len(r.Machines(args[0])) })
		if strconv.Itoa(on) != args[1] {
			return fmt.Errorf("%d tasks are on machines", on)
		}
	case "storm": // storm PATH USERS reads N: so many ask each controller at once
		return w.storm(args[0], args[1], args[3])
	case "asked": // asked CONTROLLER PATH STATUS
		status, _, err := w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 2*time.Second)
		if err != nil || strconv.Itoa(status) != args[2] {
			return fmt.Errorf("answer %d, %v", status, err)
		}
	case "asks": // asks CONTROLLER PATH: a user asks, whatever the answer is
		w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 2*time.Second)
	case "unhealthy": // unhealthy CONTROLLER: it tells the load balancer to send nobody
		status, _, err := w.call("user", http.MethodGet, "front-"+args[0]+"/healthz", nil, 2*time.Second)
		if err == nil && status == 200 {
			err = errors.New("it is healthy")
		}
		return err
	case "shows": // shows CONTROLLER PATH WORDS: the operators' view holds the words
		status, raw, err := w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 3*time.Second)
		if words := strings.Join(args[2:], " "); err != nil || status != 200 || !strings.Contains(string(raw), words) {
			return fmt.Errorf("answer %d %.2000s, %v", status, raw, err)
		}
	case "lags": // lags CONTROLLER TIME: it hears of changes so much later
		lag, err := time.ParseDuration(args[1])
		w.em.State.DelayWatches(args[0], lag)
		return err
	case "uses": // uses ACCOUNT N: its tasks use N CPUs
		use := w.uses(args[0])
		if n, err := strconv.ParseFloat(args[1], 64); err != nil || math.Abs(use-n) > 1e-6 {
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
		w.em.WithChecker(func(r *history.Checker) { r.LimitAccount(args[0], n) })
		if use := w.uses(args[0]); use > n+1e-6 {
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
	case "holds-slots": // holds-slots CONTROLLER N: it holds so many slots at least
		v, err := w.overview(args[0])
		held := 0
		for _, s := range v.Slots {
			if s.Holder == args[0] {
				held++
			}
		}
		if least, bad := strconv.Atoi(args[1]); err != nil || bad != nil || held < least {
			return fmt.Errorf("it holds %d slots, %v", held, err)
		}
		return err
	case "limits": // limits VALUE_KB TXN_OPS WRITE_RPS: the state service has these from now on
		var l emulator.Limits
		_, err := fmt.Sscan(strings.Join(args, " "), &l.ValueKB, &l.TxnOps, &l.WriteRPS)
		w.em.State.SetLimits(l)
		return err
	case "malformed": // malformed N: no more requests than that were called malformed
		n, err := strconv.Atoi(args[0])
		if was := w.em.State.Counts().Malformed; was > n {
			return fmt.Errorf("%d requests were malformed", was)
		}
		return err
	case "crash":
		w.crash(args...)
	case "start":
		w.start(args...)
	case "state-outage":
		w.em.State.SetOutage(onOff(args))
	case "state-slow": // state-slow TIME: its answers take so long, 0s for no more
		by, err := time.ParseDuration(args[0])
		w.em.State.DelayAnswers(by)
		return err
	case "state-late": // state-late TIME: transactions are carried out so much later, unanswered, 0s for no more
		by, err := time.ParseDuration(args[0])
		w.em.State.DelayTransactions(by)
		return err
	case "state-unheard": // state-unheard SHARE: so many transactions are carried out and their answers lost, 0 for no more
		share, err := strconv.ParseFloat(args[0], 64)
		w.em.State.DropAnswers(share)
		return err
	case "loses-answer": // loses-answer CONTROLLER PREFIX: its next change of such a record is carried out, and the answer lost
		w.em.State.DropNextAnswer(args[0], bookkeeping.Root+args[1])
	case "late-commands": // late-commands SHARE: so many direct commands are held up for seconds, unanswered, 0 for no more
		share, err := strconv.ParseFloat(args[0], 64)
		w.em.DelayCommands(share)
		return err
	case "reports-kept": // reports-kept on|off: copies of reports are kept, and reach every controller at once when that ends
		w.em.ReplayReports(onOff(args))
	case "state-refuses":
		w.em.State.SetRefused(args[0], onOff(args))
	case "renewals-refused": // renewals-refused CONTROLLER on|off: for the rate, while all else it asks is served
		w.em.State.RefuseRenewals(args[0], onOff(args))
	case "older-records": // as a version left them that kept no rosters
		return w.olderRecords()
	case "older": // older CONTROLLER: its session is of the version before chains
		return w.rewrite("m/"+args[0], "gen")
	case "rewritten": // jobs that are over, as the version before chains writes them
		return w.rewrite("z/", "end", "with")
	case "archived": // archived JOB STATE: its record stands with those long over
		return w.archive(args[0], args[1])
	case "boots": // boots FACTOR: machines rented from now on boot so much slower; 0: at once
		factor, err := strconv.ParseFloat(args[0], 64)
		w.em.SetBootFactor(factor)
		return err
	case "cloud-outage":
		w.em.SetCloudOutage(onOff(args))
	case "capacity":
		n, err := strconv.Atoi(args[0])
		w.em.SetCapacity(n)
		return err
	case "cut-zone": // cut-zone ZONE CONTROLLER: the machines of a zone and this controller from all else; cut off ends it
		w.cutZone(args[0], args[1])
	case "cut": // cut CONTROLLER from workers|siblings|state+siblings|all, or cut off
		w.cut(args)
	case "rented": // rented N: no more machines than that so far
		n, err := strconv.Atoi(args[0])
		if made := w.em.MachinesRented(); made > n {
			return fmt.Errorf("%d machines were rented", made)
		}
		return err
	case "machine": // machine TASK hangs|resumes|dies|sickens|leaves|deafens|holds|hears|mutes|speaks|reboots
		return w.strike(args[0], args[1])
	case "machines": // machines N hangs|resumes|deafens|holds|hears|mutes|speaks|isolates|rejoins|reboots: as many of them, drawn by chance, or those that were; 0: all
		count, err := strconv.Atoi(args[0])
		if err != nil {
			return err
		}
		return w.strikeSome(count, emulator.MachineFault(args[1]))
	case "machines-of": // machines-of CONTROLLER mutes|speaks|...: all machines with tasks whose slots are at home there
		return w.strikeHome(args[0], emulator.MachineFault(args[1]))
	case "echoes": // echoes TIME: copies of all reports come so much later, 0s for no more
		by, err := time.ParseDuration(args[0])
		w.em.DuplicateReports(by)
		return err
	default:
		return fmt.Errorf("unknown verb %s", verb)
	}
	return nil
}
