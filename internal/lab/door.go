package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"time"

	"daledyke/internal/emulator"
	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
)

// door is the front door of a deployment on this machine. It passes requests on to the
// nodes through the load balancer, and keeps the descriptions of jobs, which users upload
// for the workers. What it keeps survives a restart.
type door struct {
	world   *emulator.World
	queues  pbs.Queues
	uploads chan upload
	proxy   *httputil.ReverseProxy
}

// upload is a job's description, on its way to the file; kept tells how that ended.
type upload struct {
	spec *protocol.JobSpec
	kept chan error
}

const uploadsFile = "uploads.jsonl"

// newDoor opens a door whose uploads are kept in a directory, until ctx ends.
func newDoor(ctx context.Context, w *emulator.World, b *emulator.Balancer, dir string, queues pbs.Queues) (*door, error) {
	name := filepath.Join(dir, uploadsFile)
	specs, whole, err := readUploads(name)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for _, s := range specs {
		w.RegisterJob(s, estimated(s), false)
		known[s.ID] = true
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		err = f.Truncate(whole) // a line that a kill cut short was answered to nobody
	}
	if err == nil {
		_, err = f.Seek(whole, io.SeekStart)
	}
	if err != nil {
		return nil, fmt.Errorf("uploads: %w", err)
	}
	d := &door{world: w, queues: queues, uploads: make(chan upload)}
	d.proxy = &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", "daledyke"
		},
		Transport: &http.Transport{DialContext: b.Dial, MaxIdleConnsPerHost: 64, DisableCompression: true},
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, `{"error":"no controller answers now"}`, http.StatusServiceUnavailable)
		},
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	go func() {
		defer f.Close()
		for {
			select {
			case u := <-d.uploads:
				var err error
				if !known[u.spec.ID] { // users send a job again until it is answered
					err = keepUpload(f, u.spec)
					known[u.spec.ID] = err == nil
				}
				u.kept <- err
			case <-ctx.Done():
				return
			}
		}
	}()
	return d, nil
}

func keepUpload(f *os.File, s *protocol.JobSpec) error {
	raw, err := json.Marshal(s)
	if err == nil {
		_, err = f.Write(append(raw, '\n'))
	}
	return errors.Join(err, f.Sync())
}

// readUploads reads the descriptions that were kept, and how many bytes of the file are
// whole lines.
func readUploads(name string) (specs []*protocol.JobSpec, whole int64, err error) {
	f, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	lines := bufio.NewReader(f)
	for n := 1; ; n++ {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return specs, whole, nil
		}
		s := &protocol.JobSpec{}
		if err == nil {
			err = json.Unmarshal(line, s)
		}
		if err != nil {
			return nil, 0, fmt.Errorf("%s: line %d: %w", name, n, err)
		}
		specs = append(specs, s)
		whole += int64(len(line))
	}
}

// estimated has a job's tasks run as long as its owner says; services run until they are
// stopped.
func estimated(s *protocol.JobSpec) func(int) time.Duration {
	run := max(s.Estimate(), time.Second)
	if s.Shape == protocol.Service {
		run = 0
	}
	return func(int) time.Duration { return run }
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && (r.URL.Path == "/v1/jobs" || r.URL.Path == "/pbs/jobs") {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
		if err != nil {
			http.Error(w, `{"error":"the body is too large or did not come whole"}`, http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if s := d.describe(r, body); s != nil {
			u := upload{s, make(chan error, 1)}
			select {
			case d.uploads <- u:
				err = <-u.kept
			case <-r.Context().Done():
				return
			}
			if err != nil {
				slog.Error("a description is not kept", "job", s.ID, "err", err)
				http.Error(w, `{"error":"the description is not kept"}`, http.StatusServiceUnavailable)
				return
			}
			d.world.RegisterJob(s, estimated(s), false)
		}
	}
	d.proxy.ServeHTTP(w, r)
}

// describe is the job that a submission is for, nil if it is senseless: the controllers
// say so.
func (d *door) describe(r *http.Request, body []byte) *protocol.JobSpec {
	if r.URL.Path == "/v1/jobs" {
		s, err := protocol.ParseJob(body)
		if err != nil {
			return nil
		}
		return s
	}
	command, err := pbs.CommandLine(r.URL.Query().Get("options"))
	if err != nil {
		return nil
	}
	j, err := pbs.Translate(string(body), command, d.queues, pbs.IDOf(r.Header.Get("Idempotency-Key")), time.Now().UTC())
	if err != nil {
		return nil
	}
	return &j.Spec
}
