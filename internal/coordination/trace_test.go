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

// TestMain keeps logs out of the test output unless LOG_LEVEL is set.
func TestMain(m *testing.M) {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("LOG_LEVEL"))) != nil {
		level = slog.LevelError
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	// Go 1.26's race detector gives all timers of a synctest bubble one context and crashes when two threads
	// use it at the same time. The detector finds races by the order of events, so one thread at a time
	// suffices to find them.
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// TestTraces replays the traces in testdata. Each trace describes a deployment with failures, one step a line
// as "time verb arguments"; the safety rules are checked at each start of a task. Time is virtual.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { replayTrace(t, file) })
		})
	}
}

// replayTrace replays one trace in a new world.
func replayTrace(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	controllers, nextLimits, accounts := 3, "", ""
	var w *world
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		at, err := time.ParseDuration(words[0])
		if err != nil || len(words) < 2 {
			t.Fatalf("line %d: %q is not a step of a trace", number, lines.Text())
		}
		if words[1] == "controllers" { // controllers N, before any other step
			if controllers, err = strconv.Atoi(words[2]); err != nil || w != nil {
				t.Fatalf("line %d: %q", number, lines.Text())
			}
			continue
		}
		if words[1] == "account" { // account NAME GUARANTEE LIMIT, in CPUs, before any other step
			accounts += fmt.Sprintf("(account %q (cpus %s %s))\n", words[2], words[3], words[4])
			continue
		}
		if words[1] == "coming" { // coming VALUE_KB TXN_OPS WRITE_RPS, before any other step: future limits of the state service, as announced in the settings
			nextLimits = fmt.Sprintf("next = { value_kb = %s, txn_ops = %s, write_rps = %s }", words[2], words[3], words[4])
			continue
		}
		if w == nil {
			w = newWorld(t, controllers, nextLimits, accounts)
			defer w.shutDown()
		}
		if wait := at - time.Since(w.startedAt); wait > 0 {
			time.Sleep(wait)
		}
		if err := w.step(words[1], words[2:]); err != nil {
			t.Errorf("line %d: %s: %v", number, lines.Text(), err)
		}
	}
	if c, any := w.slowestCancellation(); any {
		t.Logf("slowest cancellation: %.2f of the time allowed; the tasks of %s were gone %v after its user was told, with %d starts after that",
			float64(c.Duration())/float64(cancelWithin), c.Job, c.Duration().Round(time.Millisecond), c.StartedAfter)
	}
}

// pollStorm sends many requests to each controller at the same time. Each must be answered within the two
// seconds that users wait, and all together may cost at most maxReads requests to the state service.
func (w *world) pollStorm(path, users, maxReads string) error {
	n, err1 := strconv.Atoi(users)
	limit, err2 := strconv.Atoi(maxReads)
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
	if requests := w.em.State.Counts().Requests - before; requests > limit {
		failed = errors.Join(failed, fmt.Errorf("%d requests to the state service", requests))
	}
	return errors.Join(failed, err1, err2)
}

// overview returns the view of a controller for operators.
func (w *world) overview(name string) (v protocol.Overview, err error) {
	_, raw, err := w.call("user", http.MethodGet, "front-"+name+"/operator/status", nil, 3*time.Second)
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	return v, err
}

// stepInBackground carries out a step while the trace goes on.
func (w *world) stepInBackground(verb string, args []string) {
	go func() {
		if err := w.step(verb, args); err != nil {
			w.t.Errorf("%s %v: %v", verb, args, err)
		}
	}()
}

// setQuotas changes accounts through one controller, as operators do.
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
		w.em.WithChecker(func(r *history.Checker) { r.LimitAccount(a.Name, -1) }) // no limit is checked until a step limit-holds sets one
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

func isOn(args []string) bool { return args[len(args)-1] == "on" }

func (w *world) step(verb string, args []string) error {
	switch verb {
	case "submit":
		return w.submit(args)
	case "swarm": // swarm FIRST LAST RUN: submits the jobs wk-FIRST to wk-LAST, of one task each
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
	case "swarm-begins": // as swarm, but the trace goes on meanwhile
		w.stepInBackground("swarm", args)
	case "stream": // stream FIRST LAST RUN EVERY: submits such jobs at intervals; the trace goes on meanwhile
		first, err1 := strconv.Atoi(args[0])
		last, err2 := strconv.Atoi(args[1])
		every, err3 := time.ParseDuration(args[3])
		for n := first; n <= last; n++ {
			time.AfterFunc(time.Duration(n-first)*every, func() {
				w.stepInBackground("swarm", []string{strconv.Itoa(n), strconv.Itoa(n), args[2]})
			})
		}
		return errors.Join(err1, err2, err3)
	case "stream-cancelled": // stream-cancelled FIRST LAST RUN EVERY AFTER LONG: as stream, but each fourth job would run for LONG and is cancelled after AFTER
		first, err1 := strconv.Atoi(args[0])
		last, err2 := strconv.Atoi(args[1])
		every, err3 := time.ParseDuration(args[3])
		after, err4 := time.ParseDuration(args[4])
		for n := first; n <= last; n++ {
			id, run := strconv.Itoa(n), args[2]
			if (n-first)%4 == 0 {
				run = args[5]
				time.AfterFunc(time.Duration(n-first)*every+after, func() { w.stepInBackground("cancel", []string{"wk-" + id}) })
			}
			time.AfterFunc(time.Duration(n-first)*every, func() { w.stepInBackground("swarm", []string{id, id, run}) })
		}
		return errors.Join(err1, err2, err3, err4)
	case "stream-bound", "stream-free": // as stream, with jobs of that team, each taking half of the limit of team bound
		first, err1 := strconv.Atoi(args[0])
		last, err2 := strconv.Atoi(args[1])
		every, err3 := time.ParseDuration(args[3])
		for n := first; n <= last; n++ {
			time.AfterFunc(time.Duration(n-first)*every, func() {
				w.stepInBackground("submit", []string{fmt.Sprintf("wk-%d", n), "array", "1", "run=" + args[2], "crew=" + strings.TrimPrefix(verb, "stream-")})
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
	case "cancelled-gone": // cancelled-gone TIME: no task of a cancelled job ran or started later than TIME after its user was told
		most, err := time.ParseDuration(args[0])
		c, any := w.slowestCancellation()
		switch {
		case !any:
			err = errors.New("nothing was cancelled")
		case err == nil && c.Duration() > most:
			err = fmt.Errorf("%+v", c)
		}
		return err
	case "begins-submit": // as submit, but the trace goes on meanwhile
		w.stepInBackground("submit", args)
	case "begins-cancel": // begins-cancel JOB: as cancel, with retries, but the trace goes on meanwhile
		w.stepInBackground("cancel", args)
	case "window": // window CONTROLLER N: the controller has adopted window N or a later one
		v, err := w.overview(args[0])
		if n, bad := strconv.ParseUint(args[1], 10, 64); err == nil && (bad != nil || v.Window == nil || v.Window.Number < n) {
			err = fmt.Errorf("%+v", v.Window)
		}
		return err
	case "cancel":
		w.em.RecordEvent(history.Event{Kind: history.CancelAsked, Job: args[0]})
		status, st := w.askUntilAnswered(http.MethodPost, "/v1/jobs/"+args[0]+"/cancel", []byte("{}"))
		w.noteAnswer(history.CancelAnswered, args[0], status, st.Status)
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
	case "expect-on": // expect-on JOB N: N of its tasks are on machines; no controller is asked
		on := 0
		w.em.WithChecker(func(r *history.Checker) { on = len(r.Machines(args[0])) })
		if strconv.Itoa(on) != args[1] {
			return fmt.Errorf("%d tasks are on machines", on)
		}
	case "storm": // storm PATH USERS reads N: USERS users ask each controller at the same time
		return w.pollStorm(args[0], args[1], args[3])
	case "asked": // asked CONTROLLER PATH STATUS: a request gets this status
		status, _, err := w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 2*time.Second)
		if err != nil || strconv.Itoa(status) != args[2] {
			return fmt.Errorf("answer %d, %v", status, err)
		}
	case "asks": // asks CONTROLLER PATH: sends a request and ignores the answer
		w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 2*time.Second)
	case "unhealthy": // unhealthy CONTROLLER: its health check fails, so that the load balancer sends it no requests
		status, _, err := w.call("user", http.MethodGet, "front-"+args[0]+"/healthz", nil, 2*time.Second)
		if err == nil && status == 200 {
			err = errors.New("the controller reports itself healthy")
		}
		return err
	case "shows": // shows CONTROLLER PATH WORDS: its answer to operators contains the words
		status, raw, err := w.call("user", http.MethodGet, "front-"+args[0]+args[1], nil, 3*time.Second)
		if words := strings.Join(args[2:], " "); err != nil || status != 200 || !strings.Contains(string(raw), words) {
			return fmt.Errorf("answer %d %.2000s, %v", status, raw, err)
		}
	case "lags": // lags CONTROLLER TIME: it receives changes of records later by TIME
		lag, err := time.ParseDuration(args[1])
		w.em.State.DelayWatches(args[0], lag)
		return err
	case "uses": // uses ACCOUNT N: the tasks of the account use N CPUs
		use := w.cpusUsed(args[0])
		if n, err := strconv.ParseFloat(args[1], 64); err != nil || math.Abs(use-n) > 1e-6 {
			return fmt.Errorf("uses %v", use)
		}
	case "quota-set": // quota-set CONTROLLER REVISION ACCOUNT GUARANTEE LIMIT ...: changes accounts, based on the revision
		return w.setQuotas(args[0], args[1], args[2:])
	case "quota-refused": // as quota-set, and the change is refused
		if err := w.setQuotas(args[0], args[1], args[2:]); err == nil {
			return errors.New("the change was accepted")
		}
	case "limit-holds": // limit-holds ACCOUNT N: from now on the account may use at most N CPUs
		n, err := strconv.ParseFloat(args[1], 64)
		w.em.WithChecker(func(r *history.Checker) { r.LimitAccount(args[0], n) })
		if use := w.cpusUsed(args[0]); use > n+1e-6 {
			return fmt.Errorf("uses %v", use)
		}
		return err
	case "incomplete": // incomplete CONTROLLER N: it shows at most N slots as incomplete
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
	case "holds-slots": // holds-slots CONTROLLER N: it holds at least N slots
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
	case "limits": // limits VALUE_KB TXN_OPS WRITE_RPS: limits of the state service from now on
		var l emulator.Limits
		_, err := fmt.Sscan(strings.Join(args, " "), &l.ValueKB, &l.TxnOps, &l.WriteRPS)
		w.em.State.SetLimits(l)
		return err
	case "malformed": // malformed N: the state service has rejected at most N requests as malformed
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
		w.em.State.SetOutage(isOn(args))
	case "state-slow": // state-slow TIME: its answers take TIME; 0s ends it
		by, err := time.ParseDuration(args[0])
		w.em.State.DelayAnswers(by)
		return err
	case "state-late": // state-late TIME: transactions are carried out later by TIME and get no answer; 0s ends it
		by, err := time.ParseDuration(args[0])
		w.em.State.DelayTransactions(by)
		return err
	case "state-unheard": // state-unheard SHARE: for this share of transactions the answer is lost after they were carried out; 0 ends it
		share, err := strconv.ParseFloat(args[0], 64)
		w.em.State.DropAnswers(share)
		return err
	case "loses-answer": // loses-answer CONTROLLER PREFIX: the answer to its next change of a record with the prefix is lost after the change was carried out
		w.em.State.DropNextAnswer(args[0], bookkeeping.Root+args[1])
	case "late-commands": // late-commands SHARE: this share of direct commands is delayed by seconds and gets no answer; 0 ends it
		share, err := strconv.ParseFloat(args[0], 64)
		w.em.DelayCommands(share)
		return err
	case "reports-kept": // reports-kept on|off: a copy of the next report of each machine is kept; off sends all copies to every controller
		w.em.ReplayReports(isOn(args))
	case "state-refuses":
		w.em.State.SetRefused(args[0], isOn(args))
	case "renewals-refused": // renewals-refused CONTROLLER on|off: renewals of its session are refused for the rate; all else is served
		w.em.State.RefuseRenewals(args[0], isOn(args))
	case "older-records": // removes what versions without rosters do not write
		return w.dropRosters()
	case "older": // older CONTROLLER: gives its session the form of the version before chains
		return w.dropFields("m/"+args[0], "gen")
	case "rewritten": // gives records of finished jobs the form of the version before chains
		return w.dropFields("z/", "end", "with")
	case "archived": // archived JOB STATE: moves the record of the job to the archive
		return w.archiveRecord(args[0], args[1])
	case "boots": // boots FACTOR: machines rented from now on boot slower by this factor; 0: at once
		factor, err := strconv.ParseFloat(args[0], 64)
		w.em.SetBootFactor(factor)
		return err
	case "cloud-outage":
		w.em.SetCloudOutage(isOn(args))
	case "capacity":
		n, err := strconv.Atoi(args[0])
		w.em.SetCapacity(n)
		return err
	case "cut-zone": // cut-zone ZONE CONTROLLER: isolates the machines of a zone together with this controller; cut off ends it
		w.cutZone(args[0], args[1])
	case "cut": // cut CONTROLLER from workers|siblings|state+siblings|all, or cut off
		w.cutController(args)
	case "rented": // rented N: at most N machines have been rented so far
		n, err := strconv.Atoi(args[0])
		if made := w.em.MachinesRented(); made > n {
			return fmt.Errorf("%d machines were rented", made)
		}
		return err
	case "machine": // machine TASK hangs|resumes|dies|sickens|leaves|deafens|holds|hears|mutes|speaks|reboots
		return w.faultMachineOfTask(args[0], args[1])
	case "machines": // machines N hangs|resumes|deafens|holds|hears|mutes|speaks|isolates|rejoins|reboots: N machines drawn at random (0: all), or for an ending those drawn last
		count, err := strconv.Atoi(args[0])
		if err != nil {
			return err
		}
		return w.faultRandomMachines(count, emulator.MachineFault(args[1]))
	case "machines-of": // machines-of CONTROLLER mutes|speaks|...: all machines with tasks in slots that the controller holds when all are up
		return w.faultMachinesOf(args[0], emulator.MachineFault(args[1]))
	case "keep-rebooting": // keep-rebooting JOB EVERY FOR: all machines that have tasks of the job now, again and again
		every, err1 := time.ParseDuration(args[1])
		during, err2 := time.ParseDuration(args[2])
		if err := errors.Join(err1, err2); err != nil {
			return err
		}
		return w.keepRebooting(args[0], every, during)
	case "echoes": // echoes TIME: a copy of each report arrives later by TIME; 0s ends it
		by, err := time.ParseDuration(args[0])
		w.em.DuplicateReports(by)
		return err
	case "repeats": // repeats TIME: a copy of each request between controllers and of each direct command, rental, return and change of records arrives later by TIME; 0s ends it
		by, err := time.ParseDuration(args[0])
		w.copies.setDelay(by)
		w.em.RepeatRequests(by)
		return err
	default:
		return fmt.Errorf("unknown verb %s", verb)
	}
	return nil
}
