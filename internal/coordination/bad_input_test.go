package coordination

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/protocol"
)

// validSubmission returns the fields of a valid submission.
func validSubmission(id string) map[string]any {
	return map[string]any{"id": id, "laneClass": "batch", "crew": "free", "shape": "array", "urgency": "normal", "passes": 2, "cores": 1.0, "accelerators": 0.0,
		"ramGb": 1.0, "build": "img", "pullGb": 1.0, "rigs": nil, "plaza": nil, "oneZone": false, "scatter": false, "standby": false,
		"expectedS": 10.0, "snapshotS": 0.0, "flushS": 0.0, "dueS": nil}
}

// invalidSubmissions returns submissions that must never be accepted, each with the status that refuses it:
// every field missing, null and of each wrong type, values out of range, and jobs that can never run.
func invalidSubmissions() map[string]int {
	bad := map[string]int{}
	n := 0
	add := func(status int, change func(map[string]any)) {
		n++
		s := validSubmission(fmt.Sprintf("wk-%d", 900_000+n))
		change(s)
		raw, _ := json.Marshal(s)
		bad[string(raw)] = status
	}
	wrongKinds := func(right any) (wrong []any) {
		for _, v := range []any{"text", 7.5, true, []any{1}, map[string]any{"a": 1}} {
			if fmt.Sprintf("%T", v) != fmt.Sprintf("%T", right) {
				wrong = append(wrong, v)
			}
		}
		return wrong
	}
	required := protocol.RequiredFields()
	for _, field := range slices.Sorted(maps.Keys(validSubmission(""))) {
		if slices.Contains(required, field) {
			add(400, func(s map[string]any) { delete(s, field) })
			add(400, func(s map[string]any) { s[field] = nil })
		}
		right := validSubmission("")[field]
		switch field {
		case "rigs":
			right = []any{}
		case "plaza":
			right = ""
		case "dueS", "passes": // a fraction of a pass is refused too, see below
			right = 1.0
		}
		for _, v := range wrongKinds(right) {
			add(400, func(s map[string]any) { s[field] = v })
		}
	}
	for _, field := range []string{"cores", "accelerators", "ramGb", "pullGb", "expectedS", "snapshotS", "flushS", "dueS"} {
		add(400, func(s map[string]any) { s[field] = -1 })
		add(400, func(s map[string]any) { s[field] = 1e30 })
	}
	for _, passes := range []any{0, -3, 7.5, protocol.MaxTasks + 1} {
		add(400, func(s map[string]any) { s["passes"] = passes })
	}
	for _, field := range []string{"laneClass", "crew", "build", "shape", "urgency", "id"} {
		add(400, func(s map[string]any) { s[field] = "" })
	}
	for _, unfit := range []map[string]any{{"cores": 33}, {"accelerators": 9}, {"ramGb": 257}, {"rigs": []string{"none"}}, {"plaza": "nowhere"}, {"crew": "absent"},
		{"rigs": []string{"small"}, "cores": 9}, {"crew": "gpus", "accelerators": 3}, {"crew": "gpus", "accelerators": 1, "shape": "ensemble", "passes": 3}, {"crew": "bound", "cores": 3, "shape": "standing", "passes": 3}} {
		add(422, func(s map[string]any) { maps.Copy(s, unfit) })
	}
	return bad
}

// Every controller refuses a submission with a missing field, a field of a wrong type or a task that fits no
// machine; the job stays unknown. If its id is known, the submission is answered as a repetition. Cancelling
// a job that was never accepted, an invalid id or a finished job gets the matching answer.
func TestBadInputIsNeverAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, "", "")
		defer w.shutDown()
		time.Sleep(4 * time.Second)
		if err := w.submit([]string{"wk-1", "array", "1", "run=5s"}); err != nil {
			t.Fatal(err)
		}
		send := func(node, method, path, body string) int {
			status, _, err := w.call("user", method, "front-"+node+path, []byte(body), 5*time.Second)
			if err != nil {
				t.Fatalf("%s %s at %s: %v", method, path, node, err)
			}
			return status
		}
		for body, want := range invalidSubmissions() {
			id := protocol.PeekID([]byte(body))
			for _, node := range w.names {
				if got := send(node, http.MethodPost, "/v1/jobs", body); got != want {
					t.Errorf("%s at %s: %d, not %d", body, node, got, want)
				}
			}
			if id == "" {
				continue
			}
			if got := send("c1", http.MethodGet, "/v1/jobs/"+id, ""); got != http.StatusNotFound {
				t.Errorf("%s was refused, yet its job is known: %d", body, got)
			}
			known := strings.Replace(body, `"`+id+`"`, `"wk-1"`, 1)
			if got := send("c2", http.MethodPost, "/v1/jobs", known); got != http.StatusOK {
				t.Errorf("repeated with a known id, %s: %d", known, got)
			}
		}
		time.Sleep(time.Minute)
		for _, node := range w.names {
			for path, want := range map[string]int{"wk-1": 200, "wk-2": 404, "none": 404, "wk-": 404, "wk-1%20": 404, "": 404} {
				if got := send(node, http.MethodPost, "/v1/jobs/"+path+"/cancel", "{}"); got != want {
					t.Errorf("cancel of %q at %s: %d, not %d", path, node, got, want)
				}
			}
		}
		if err := w.expect("wk-1", []string{"done"}); err != nil {
			t.Error(err)
		}
	})
}

// A controller that does not know the machine types cannot tell whether a job fits: it neither accepts nor
// refuses a job for its fit, and still rejects malformed submissions.
func TestFitIsUndecidedWithoutMachineTypes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, "", "")
		defer w.shutDown()
		w.em.SetCloudOutage(true)
		time.Sleep(4 * time.Second)
		for body, status := range invalidSubmissions() {
			want := http.StatusServiceUnavailable
			if status == http.StatusBadRequest {
				want = status
			}
			got, _, err := w.call("user", http.MethodPost, "front-c0/v1/jobs", []byte(body), 5*time.Second)
			if err != nil || got != want {
				t.Errorf("%s: %d, %v, not %d", body, got, err, want)
			}
		}
	})
}
