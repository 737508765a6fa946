package protocol

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"
)

const validSubmission = `{"id":"wk-000412","laneClass":"train","crew":"vision","shape":"ensemble","urgency":"high","passes":16,
 "cores":8.0,"accelerators":1.0,"ramGb":64.0,"build":"img-07","pullGb":6.2,"rigs":["g8"],"plaza":null,"oneZone":true,
 "scatter":false,"standby":true,"expectedS":240.0,"snapshotS":30.0,"flushS":4.0,"dueS":900.0}`

func TestParseJob(t *testing.T) {
	if s, err := ParseJob([]byte(validSubmission)); err != nil || s.Tasks != 16 || s.Shape != Gang || !s.Spot {
		t.Fatalf("a valid submission was read as %+v, %v", s, err)
	}
	for name, change := range map[string][2]string{
		"no tasks":           {`"passes":16`, `"passes":0`},
		"too many tasks":     {`"passes":16`, `"passes":100001`},
		"half a task":        {`"passes":16`, `"passes":1.5`},
		"wrong id":           {`wk-000412`, `job-1`},
		"missing field":      {`"cores":8.0,`, ``},
		"null field":         {`"cores":8.0`, `"cores":null`},
		"negative amount":    {`"cores":8.0`, `"cores":-1`},
		"infinite amount":    {`"cores":8.0`, `"cores":1e400`},
		"unknown shape":      {`ensemble`, `heap`},
		"unknown urgency":    {`"high"`, `"urgent"`},
		"text for a boolean": {`"oneZone":true`, `"oneZone":"yes"`},
		"id instead of list": {`"dueS":900.0`, `"dueS":900.0,"awaits":"wk-1"`},
		"invalid id in list": {`"dueS":900.0`, `"dueS":900.0,"awaits":["wk-1","job-2"]`},
		"null in list":       {`"dueS":900.0`, `"dueS":900.0,"awaits":[null]`},
		"not an object":      {validSubmission, `[1]`},
		"not JSON":           {validSubmission, `{"id":`},
	} {
		if _, err := ParseJob([]byte(strings.Replace(validSubmission, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: the submission was accepted", name)
		}
	}
	chain := strings.Replace(validSubmission, `"dueS":900.0`, `"awaits":["wk-2","wk-1","wk-2"]`, 1)
	if s, err := ParseJob([]byte(chain)); err != nil || !slices.Equal(s.Needs, []string{"wk-1", "wk-2"}) {
		t.Errorf("awaits was read as %+v, %v", s, err)
	}
	for _, optional := range []string{`"rigs":["g8"],`, `"plaza":null,`} {
		if _, err := ParseJob([]byte(strings.Replace(validSubmission, optional, "", 1))); err != nil {
			t.Errorf("without %s: %v", optional, err)
		}
	}
	if id := PeekID([]byte(`{"id":"wk-7","passes":"many"}`)); id != "wk-7" {
		t.Errorf("the id of a malformed submission was read as %q", id)
	}
}

func TestRingSharesAreEqual(t *testing.T) {
	if RingShare(math.MinInt64, 3) != 0 || RingShare(math.MaxInt64, 3) != 2 || RingShare(0, 2) != 1 || RingShare(-1, 2) != 0 {
		t.Error("the bounds of the shares are wrong")
	}
	count := [3]int{}
	for i := range 30000 {
		count[RingShare(RingToken(TaskName("wk-1", i)), 3)]++
	}
	for _, n := range count {
		if n < 9500 || n > 10500 {
			t.Errorf("shares are uneven: %v", count)
		}
	}
	// The first half of the 128-bit Murmur3 hash of an empty string is known to be 0.
	if RingToken("") != 0 {
		t.Error("the ring's hash is not Murmur3")
	}
}

func TestTokensOrderTermsThenSequences(t *testing.T) {
	if !(NewToken(2, 0) > NewToken(1, 1<<32-1)) || !(NewToken(1, 2) > NewToken(1, 1)) || NewToken(7, 9).Term() != 7 {
		t.Error("tokens are out of order")
	}
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"id":"wk-1","passes":1e99}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if s, err := ParseJob(body); err == nil && (s.Validate() != nil || s.ID != PeekID(body)) {
			t.Errorf("accepted although invalid: %q", body)
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"bollard":"host-1","address":"10.1.0.1:9000","shift":1,"ticket":2,"baton":4294967297,"passes":[{"pass":"wk-1/3","try":2,"status":"running"}]}`))
	f.Add([]byte(`{"bollard":"host-1","shift":-1,"passes":[{"pass":"wk-1/x"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var r Report
		if json.Unmarshal(body, &r) != nil || r.Validate() != nil {
			return
		}
		for _, task := range r.Tasks {
			if job, index, ok := SplitTask(task.Task); !ok || !ValidJobID(job) || index >= MaxTasks {
				t.Errorf("accepted although invalid: %q", body)
			}
		}
	})
}

// A machine with as many tasks as it may have is within the limits on messages, whatever the names and numbers.
func TestMessagesOfFullMachineFit(t *testing.T) {
	const longestNumber, longestTask = math.MaxUint64, "wk-123456789012345678/99999"
	grace := 1.2345678901234567e-100
	rep := Report{Machine: strings.Repeat("m", 100), Addr: strings.Repeat("a", 100), Type: strings.Repeat("t", 100), Zone: strings.Repeat("z", 100),
		Session: longestNumber, Ticket: longestNumber, Token: longestNumber, NoticeS: &grace}
	answer := ReportAnswer{Token: longestNumber}
	orders := Orders{Token: longestNumber, Session: longestNumber}
	for range MaxTasksPerMachine {
		rep.Tasks = append(rep.Tasks, TaskReport{Task: longestTask, Attempt: longestNumber, State: TaskExited, Cause: CauseIncomplete, Saved: true})
	}
	for range MaxCommands {
		answer.Commands = append(answer.Commands, Command{Verb: VerbStart, Task: longestTask, Attempt: longestNumber, GraceS: &grace})
	}
	orders.Commands = answer.Commands
	for name, message := range map[string]any{"report": rep, "answer": answer, "direct command": orders} {
		raw, err := json.Marshal(message)
		spaces := bytes.Count(raw, []byte(",")) + bytes.Count(raw, []byte(":"))
		if err != nil || len(raw)+spaces > min(MaxBody, MaxLine) {
			t.Errorf("a %s has %d bytes and %d spaces, %v", name, len(raw), spaces, err)
		}
	}
}
