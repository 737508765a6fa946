package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/history"
	"daledyke/internal/protocol"
)

// TestWorlds replays the scripts in testdata: requests of a controller to machines and the cloud, and the
// results that the protocol requires. A line is "time verb arguments"; step implements the verbs. Time is
// virtual.
func TestWorlds(t *testing.T) {
	files, err := filepath.Glob("testdata/*.world")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts in testdata", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".world"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(t, file) })
		})
	}
}

// script is a world and the one controller that a test script drives.
type script struct {
	*World
	net    *Pipes
	http   *http.Client
	token  protocol.Token
	silent bool // the controller answers no reports
	last   map[string]protocol.Report
	late   map[string]chan int // answers that are still expected
}

func runScript(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithCancel(t.Context())
	net := NewPipes(ctx)
	w, err := New(ctx, net, Setup{Controllers: []string{"c0"}, Capacity: 4, Lease: 20 * time.Second, ReportEvery: 3 * time.Second,
		GangWait: 30 * time.Second, GangPeer: 5 * time.Second, CancelWithin: 40 * time.Second,
		Types: []protocol.MachineType{{Name: "small", Cores: 8, Accels: 2, RAM: 64, CacheGB: 12, FetchRate: 1, Price: 3600, SpotPrice: 1800, BootS: 10, Zones: []string{"a", "b"}}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := w.Serve(); err != nil {
		t.Fatal(err)
	}
	s := &script{World: w, net: net, token: 1, last: map[string]protocol.Report{}, late: map[string]chan int{},
		http: &http.Client{Transport: &http.Transport{DialContext: net.Dialer("c0"), DisableKeepAlives: true}}}
	addr, err := w.serve("front-c0", http.HandlerFunc(s.front))
	if err != nil {
		t.Fatal(err)
	}
	w.SetControllerAddrs(map[string]string{"c0": addr})
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		at, err := time.ParseDuration(words[0])
		if err != nil || len(words) < 2 {
			t.Fatalf("line %d: %q is not a step", n, lines.Text())
		}
		time.Sleep(max(0, at-w.Elapsed()))
		if err := s.step(words[1], words[2:]); err != nil {
			t.Errorf("line %d: %s: %v", n, lines.Text(), err)
		}
	}
	w.WithChecker(func(r *history.Checker) {
		for _, v := range r.Violations() {
			t.Error(v)
		}
	})
	w.Close()
	cancel()
	time.Sleep(time.Minute)
}

// front is the controller's endpoint for reports.
func (s *script) front(w http.ResponseWriter, r *http.Request) {
	var rep protocol.Report
	if err := read(r, &rep); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	silent, token := false, protocol.Token(0)
	s.loop.do(func() {
		if silent, token = s.silent, s.token; !silent {
			s.last[rep.Machine] = rep
		}
	})
	if silent {
		answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	answer(w, http.StatusOK, protocol.ReportAnswer{Token: token, Commands: []protocol.Command{}})
}

func (s *script) ask(method, url string, body any) (int, []byte) {
	return request(context.Background(), s.http, method, "http://"+url, body, time.Minute)
}

// command sends one command: VERB TASK ATTEMPT [GRACE].
func (s *script) command(machine string, words []string, token protocol.Token) (int, protocol.Report) {
	attempt, _ := strconv.ParseUint(words[2], 10, 64)
	c := protocol.Command{Verb: map[string]string{"start": protocol.VerbStart, "stop": protocol.VerbStop, "forget": protocol.VerbForget}[words[0]], Task: words[1], Attempt: attempt}
	if len(words) > 3 {
		grace, _ := strconv.ParseFloat(words[3], 64)
		c.GraceS = &grace
	}
	var session uint64
	s.loop.do(func() {
		if m := s.machines[machine]; m != nil {
			session = m.session
		}
	})
	status, raw := s.ask(http.MethodPost, "worker-"+machine+":1/do", protocol.Orders{Token: token, Session: session, Commands: []protocol.Command{c}})
	var rep protocol.Report
	json.Unmarshal(raw, &rep)
	return status, rep
}

func (s *script) step(verb string, args []string) error {
	switch verb {
	case "job": // job NAME SHAPE TASKS RUN IMAGE GB [SAVE_EVERY SAVE]
		n, err := strconv.Atoi(args[2])
		run, err2 := time.ParseDuration(args[3])
		gb, err3 := strconv.ParseFloat(args[5], 64)
		spec := &protocol.JobSpec{ID: args[0], Team: "free", Shape: map[string]protocol.Shape{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}[args[1]],
			Tasks: n, Cores: 4, RAM: 8, Image: args[4], ImageGB: gb, Spot: true}
		if len(args) > 6 {
			spec.CheckpointS, _ = strconv.ParseFloat(args[6], 64)
			spec.SaveS, _ = strconv.ParseFloat(args[7], 64)
		}
		s.RegisterJob(spec, func(int) time.Duration { return run }, false)
		for _, e := range []error{err, err2, err3} {
			if e != nil {
				return e
			}
		}
	case "rent": // rent STATUS BOOKING COUNT [spot]: small machines in zone a
		n, _ := strconv.Atoi(args[2])
		status, raw := s.ask(http.MethodPost, "cloud:1/rentals", protocol.RentRequest{Booking: args[1], Type: "small", Zone: "a", Count: n, Spot: len(args) > 3})
		if strconv.Itoa(status) != args[0] {
			return fmt.Errorf("answer %d %s", status, raw)
		}
	case "cloud-late": // cloud-late TIME: rentals and returns are delayed
		by, err := time.ParseDuration(args[0])
		s.DelayCloudRequests(by)
		return err
	case "rent-unanswered": // rent-unanswered BOOKING COUNT: the sender times out after 3 s
		n, _ := strconv.Atoi(args[1])
		status, _ := request(context.Background(), s.http, http.MethodPost, "http://cloud:1/rentals", protocol.RentRequest{Booking: args[0], Type: "small", Zone: "a", Count: n}, 3*time.Second)
		if status != 0 {
			return fmt.Errorf("answer %d", status)
		}
	case "return":
		s.ask(http.MethodPost, "cloud:1/rentals/return", protocol.MachineNames{Machines: args})
	case "listed": // listed MACHINE STATUS, or none
		_, raw := s.ask(http.MethodGet, "cloud:1/rentals?limit=500", nil)
		var l protocol.MachineList
		if err := json.Unmarshal(raw, &l); err != nil {
			return err
		}
		status := "none"
		for _, m := range l.Machines {
			if m.ID == args[0] {
				status = m.Status
			}
		}
		if status != args[1] {
			return fmt.Errorf("status %s", status)
		}
	case "spent": // spent MONEY, within one unit
		want, _ := strconv.ParseFloat(args[0], 64)
		if got := s.Sample().Money; got < want-1 || got > want+1 {
			return fmt.Errorf("%.2f", got)
		}
	case "do": // do STATUS MACHINE VERB TASK ATTEMPT [GRACE]
		if status, _ := s.command(args[1], args[2:], s.token); strconv.Itoa(status) != args[0] {
			return fmt.Errorf("answer %d", status)
		}
	case "ask": // ask MACHINE: a direct command without orders
		s.ask(http.MethodPost, "worker-"+args[0]+":1/do", protocol.Orders{Token: s.token, Session: 1, Commands: []protocol.Command{}})
	case "shown": // shown MACHINE TOKEN: in the last report that was answered
		var rep protocol.Report
		s.loop.do(func() { rep = s.last[args[0]] })
		if strconv.FormatUint(uint64(rep.Token), 10) != args[1] {
			return fmt.Errorf("token %d", rep.Token)
		}
	case "outdated": // the same, with an old token
		if status, _ := s.command(args[1], args[2:], s.token-1); strconv.Itoa(status) != args[0] {
			return fmt.Errorf("answer %d", status)
		}
	case "send": // the same; the answer is checked later by "came STATUS MACHINE"
		c := make(chan int, 1)
		s.late[args[0]] = c
		go func() { status, _ := s.command(args[0], args[1:], s.token); c <- status }()
	case "hold-commands": // hold-commands SHARE
		share, err := strconv.ParseFloat(args[0], 64)
		s.DelayCommands(share)
		return err
	case "came":
		select {
		case status := <-s.late[args[1]]:
			if strconv.Itoa(status) != args[0] {
				return fmt.Errorf("answer %d", status)
			}
		default:
			return fmt.Errorf("no answer yet")
		}
	case "token":
		n, _ := strconv.Atoi(args[0])
		s.loop.do(func() { s.token = protocol.Token(n) })
	case "silence":
		s.loop.do(func() { s.silent = args[0] == "on" })
	case "machine": // machine MACHINE TROUBLE
		return s.InjectFault(args[0], MachineFault(args[1]))
	case "sees": // sees MACHINE TASK STATE [CAUSE [kept]]: as the worker reports it
		_, raw := s.ask(http.MethodGet, "worker-"+args[0]+":1/inspect", nil)
		return says(raw, args[1], strings.Join(args[2:], " "))
	case "reported": // the same, in the last report that was answered
		var rep protocol.Report
		s.loop.do(func() { rep = s.last[args[0]] })
		raw, _ := json.Marshal(rep)
		return says(raw, args[1], strings.Join(args[2:], " "))
	case "shift": // shift MACHINE N
		var n uint64
		s.loop.do(func() { n = s.machines[args[0]].session })
		if strconv.FormatUint(n, 10) != args[1] {
			return fmt.Errorf("session %d", n)
		}
	case "cached": // cached MACHINE IMAGE...
		var got []string
		s.loop.do(func() {
			for _, i := range s.machines[args[0]].images {
				got = append(got, i.name)
			}
		})
		if strings.Join(got, " ") != strings.Join(args[1:], " ") {
			return fmt.Errorf("%v", got)
		}
	default:
		return fmt.Errorf("unknown verb")
	}
	return nil
}

// says checks that a report has a task in the wanted state; "none" means that it has no such task.
func says(raw []byte, task, want string) error {
	var rep protocol.Report
	if err := json.Unmarshal(raw, &rep); err != nil {
		return err
	}
	got := "none"
	for _, t := range rep.Tasks {
		if t.Task == task {
			got = t.State
			if t.Cause != "" {
				got += " " + t.Cause
			}
			if t.Saved {
				got += " kept"
			}
		}
	}
	if got != want {
		return fmt.Errorf("state %s", got)
	}
	return nil
}
