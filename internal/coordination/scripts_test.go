package coordination

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/history"
	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// qsub submits a script as clients do, through any controller that answers.
func (w *world) qsub(key, options, script string) (protocol.ScriptAccepted, error) {
	var addresses []string
	for _, n := range w.names {
		addresses = append(addresses, "front-"+n+":1")
	}
	return transport.NewUserClient(w.net.Dialer("user"), addresses).SubmitScript(w.t.Context(), key, options, script)
}

// uploadScript makes the job of a script known to the emulated workers.
func (w *world) uploadScript(key, options, script string) string {
	id := pbs.IDForKey(key)
	command, err := pbs.CommandLine(options)
	if err != nil {
		w.t.Fatal(err)
	}
	j, err := pbs.Translate(script, command, w.loadSettings("c0").Queues, id, time.Now().UTC())
	if err != nil {
		w.t.Fatal(err)
	}
	w.upload(&j.Spec, 10*time.Second, 0, false)
	return id
}

// A script that is submitted while all controllers are down, and submitted again, is one job. The job runs,
// its script can be read afterwards, and another job can be cancelled.
func TestResubmittedScriptIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, "", `(account "free")`)
		defer w.shutDown()
		time.Sleep(3 * time.Second)
		const script = "#!/bin/bash\n#PBS -N frames\n#PBS -J 10-30:10\n#PBS -l ncpus=2\n#PBS -v WHO='it is me'\n./x $PBS_ARRAY_INDEX\n"
		id := w.uploadScript("key-1", "", script)
		w.crash(w.names...)
		time.AfterFunc(7*time.Second, func() {
			w.start(w.names...)
		})
		for range 2 { // the client did not get the answer and submits again
			taken, err := w.qsub("key-1", "", script)
			if err != nil || taken.Job != id || taken.ID != pbs.JobName(id, true) {
				t.Fatalf("%+v, %v", taken, err)
			}
		}
		time.Sleep(60 * time.Second)
		if err := w.expect(id, []string{"done"}); err != nil {
			t.Error(err)
		}
		if err := w.expect(id, []string{"starts", "3"}); err != nil {
			t.Error(err)
		}
		users := transport.NewUserClient(w.net.Dialer("user"), []string{"front-c2:1"})
		if status, got := w.rawRequest(http.MethodGet, "front-c2/v1/jobs/"+id+"/script", "", nil); status != 200 || got != script {
			t.Errorf("the script is %q, answer %d", got, status)
		}
		_, raw, err := w.call("user", http.MethodGet, "front-c1/v1/jobs/"+id+"/script?pass=2", nil, 3*time.Second)
		digits := strings.TrimPrefix(id, "wk-")
		for _, line := range []string{"#!/bin/bash\n", "export PBS_JOBID='" + digits + "[30].daledyke'\n", "export PBS_ARRAY_INDEX=30\n", "export WHO='it is me'\n", "./x $PBS_ARRAY_INDEX\n"} {
			if err != nil || !strings.Contains(string(raw), line) {
				t.Errorf("no %q in %q, %v", line, raw, err)
			}
		}
		other := w.uploadScript("key-2", "-l ncpus=2", "sleep 1\n")
		if _, err := w.qsub("key-2", "-l ncpus=2", "sleep 1\n"); err != nil {
			t.Error(err)
		}
		if st, err := users.Cancel(t.Context(), other); err != nil || st.Status != protocol.Cancelled {
			t.Errorf("%+v, %v", st, err)
		}
		for _, f := range []protocol.JobFilter{{Batch: true, Over: true}, {Batch: true}, {Name: "frames", Over: true}, {Queue: "bound", Over: true}, {Over: true, After: id}} {
			jobs, err := users.Jobs(t.Context(), f)
			want := map[protocol.JobFilter]int{{Batch: true, Over: true}: 2, {Name: "frames", Over: true}: 1}[f]
			if f.After != "" && other > id {
				want = 1
			}
			if err != nil || len(jobs) != want {
				t.Errorf("%+v lists %d jobs, %v", f, len(jobs), err)
			}
		}
		if v, err := users.View(t.Context(), id); err != nil || v.Name != "frames" || v.Queue != "work" {
			t.Errorf("%+v, %v", v, err)
		}
	})
}

// A held job starts nothing until it is released, even if all controllers crash. Only the first of several
// releases changes it. Holding it again lets running tasks go on.
func TestHeldJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, "", `(account "free")`)
		defer w.shutDown()
		time.Sleep(3 * time.Second)
		const script = "#PBS -h -J 0-3\n./x\n"
		id := w.uploadScript("held", "", script)
		if _, err := w.qsub("held", "", script); err != nil {
			t.Fatal(err)
		}
		users := transport.NewUserClient(w.net.Dialer("user"), []string{"front-c1:1", "front-c2:1"})
		started := func() (n int) {
			w.em.WithChecker(func(r *history.Checker) { n = r.Starts(id) })
			return n
		}
		time.Sleep(20 * time.Second)
		w.crash(w.names...)
		time.Sleep(4 * time.Second)
		w.start(w.names...)
		time.Sleep(60 * time.Second)
		if v, err := users.View(t.Context(), id); err != nil || v.Reason != protocol.ReasonHeld || started() != 0 {
			t.Errorf("%+v, %v, %d starts", v, err, started())
		}
		changed := 0
		for range 3 {
			a, err := users.Hold(t.Context(), id, false)
			if err != nil || a.Held {
				t.Errorf("%+v, %v", a, err)
			}
			if a.Changed {
				changed++
			}
		}
		time.Sleep(18 * time.Second)
		if changed != 1 || started() != 4 {
			t.Errorf("%d requests released the job, %d starts", changed, started())
		}
		if a, err := users.Hold(t.Context(), id, true); err != nil || !a.Held && a.Status == protocol.Pending {
			t.Errorf("%+v, %v", a, err)
		}
		time.Sleep(30 * time.Second)
		if err := w.expect(id, []string{"done"}); err != nil || started() != 4 {
			t.Errorf("%v, %d starts", err, started())
		}
	})
}

// The same work gets the same status as a script and as a native job, and the same reason if it is refused.
func TestScriptsAndNativeJobsGetSameAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, "", `(account "free" (cpus 0 16)) (account "free/a" (cpus 0 8) (ram 0 100))`)
		defer w.shutDown()
		time.Sleep(3 * time.Second)
		for k, options := range []string{"", "-l ncpus=8", "-l ncpus=9 -P free/a", "-l ncpus=17", "-l ncpus=64", "-l select=1:ngpus=9", "-P free/a", "-P free/b", "-P free/a -l mem=101gb",
			"-q bound -l ncpus=8", "-q bound -l ncpus=9", "-q bound -l select=2:ncpus=8", "-l select=3:ncpus=6", "-J 0-99", "-W depend=afterok:999"} {
			key := fmt.Sprint("fare-", k)
			status, answer := w.rawRequest(http.MethodPost, "front-c0/pbs/jobs?options="+strings.ReplaceAll(strings.ReplaceAll(options, " ", "+"), "=", "%3D"), "#PBS -N x\n./x\n", http.Header{"Idempotency-Key": {key}})
			command, err := pbs.CommandLine(options)
			if err != nil {
				t.Fatal(err)
			}
			j, err := pbs.Translate("#PBS -N x\n./x\n", command, w.loadSettings("c0").Queues, fmt.Sprint("wk-", 5000+k), time.Now())
			if err != nil {
				t.Fatal(err)
			}
			body, _ := json.Marshal(j.Spec)
			native, reason := w.rawRequest(http.MethodPost, "front-c0/v1/jobs", string(body), nil)
			if status != native || status >= 400 && answer != reason {
				t.Errorf("%q: %d %s, as a native job %d %s", options, status, answer, native, reason)
			}
		}
		if status, _ := w.rawRequest(http.MethodPost, "front-c0/pbs/jobs", "./x\n", nil); status != 400 {
			t.Errorf("without a key: %d", status)
		}
		if status, answer := w.rawRequest(http.MethodPost, "front-c0/pbs/jobs", "#PBS -I\n./x\n", http.Header{"Idempotency-Key": {"i"}}); status != 422 || !strings.Contains(answer, "line 1, column 6: -I") {
			t.Errorf("refused with %d %s", status, answer)
		}
	})
}

// A job with a start time starts at that time, even if all controllers were down then.
func TestJobsStartAtRequestedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, "", `(account "free")`)
		defer w.shutDown()
		time.Sleep(3 * time.Second)
		const script = "./x\n"
		options := "-l ncpus=2 -a " + time.Now().UTC().Add(2*time.Minute).Format("200601021504.05")
		id := w.uploadScript("later", options, script)
		if _, err := w.qsub("later", options, script); err != nil {
			t.Fatal(err)
		}
		users := transport.NewUserClient(w.net.Dialer("user"), []string{"front-c1:1"})
		time.Sleep(100 * time.Second)
		if v, err := users.View(t.Context(), id); err != nil || v.Reason != protocol.ReasonTime || v.StartsInS == nil || *v.StartsInS < 15 || *v.StartsInS > 25 {
			t.Errorf("%+v, %v", v, err)
		}
		w.crash(w.names...)
		time.Sleep(25 * time.Second)
		w.start(w.names...)
		time.Sleep(50 * time.Second)
		if err := w.expect(id, []string{"done"}); err != nil {
			t.Error(err)
		}
		if err := w.expect(id, []string{"starts", "1"}); err != nil {
			t.Error(err)
		}
	})
}

// rawRequest makes one request and returns its status and body.
func (w *world) rawRequest(method, url, body string, header http.Header) (int, string) {
	host, path, _ := strings.Cut(url, "/")
	client := &http.Client{Transport: &http.Transport{DialContext: w.net.Dialer("user"), DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+host+":1/"+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return resp.StatusCode, b.String()
}
