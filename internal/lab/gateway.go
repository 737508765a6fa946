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

// gateway is the HTTP entry point of a deployment on this machine. It forwards requests to the controllers
// through the load balancer and stores the specifications of submitted jobs, which the emulated workers need.
// The store survives a restart.
type gateway struct {
	world   *emulator.World
	queues  pbs.Queues
	uploads chan upload
	proxy   *httputil.ReverseProxy
}

// upload is a request to store a job's specification; result receives the outcome.
type upload struct {
	spec   *protocol.JobSpec
	result chan error
}

const uploadsFile = "uploads.jsonl"

// newGateway returns a gateway that stores uploads in a directory until ctx ends.
func newGateway(ctx context.Context, w *emulator.World, b *emulator.Balancer, dir string, queues pbs.Queues) (*gateway, error) {
	name := filepath.Join(dir, uploadsFile)
	specs, completeBytes, err := readUploads(name)
	if err != nil {
		return nil, err
	}
	recorded := map[string]bool{}
	for _, s := range specs {
		w.RegisterJob(s, estimatedRunTime(s), false)
		recorded[s.ID] = true
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		err = f.Truncate(completeBytes) // an incomplete last line was never acknowledged
	}
	if err == nil {
		_, err = f.Seek(completeBytes, io.SeekStart)
	}
	if err != nil {
		return nil, fmt.Errorf("uploads: %w", err)
	}
	g := &gateway{world: w, queues: queues, uploads: make(chan upload)}
	g.proxy = &httputil.ReverseProxy{
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
			case u := <-g.uploads:
				var err error
				if !recorded[u.spec.ID] { // users resend a job until they get a response
					err = appendUpload(f, u.spec)
					recorded[u.spec.ID] = err == nil
				}
				u.result <- err
			case <-ctx.Done():
				return
			}
		}
	}()
	return g, nil
}

func appendUpload(f *os.File, s *protocol.JobSpec) error {
	raw, err := json.Marshal(s)
	if err == nil {
		_, err = f.Write(append(raw, '\n'))
	}
	return errors.Join(err, f.Sync())
}

// readUploads reads the stored specifications and returns the number of bytes that form complete lines.
func readUploads(name string) (specs []*protocol.JobSpec, completeBytes int64, err error) {
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
			return specs, completeBytes, nil
		}
		s := &protocol.JobSpec{}
		if err == nil {
			err = json.Unmarshal(line, s)
		}
		if err != nil {
			return nil, 0, fmt.Errorf("%s: line %d: %w", name, n, err)
		}
		specs = append(specs, s)
		completeBytes += int64(len(line))
	}
}

// estimatedRunTime makes a job's tasks run as long as its owner estimates; services run until they are stopped.
func estimatedRunTime(s *protocol.JobSpec) func(int) time.Duration {
	run := max(s.Estimate(), time.Second)
	if s.Shape == protocol.Service {
		run = 0
	}
	return func(int) time.Duration { return run }
}

func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && (r.URL.Path == "/v1/jobs" || r.URL.Path == "/pbs/jobs") {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
		if err != nil {
			http.Error(w, `{"error":"the body is too large or did not come whole"}`, http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if s := g.parseSubmission(r, body); s != nil {
			u := upload{s, make(chan error, 1)}
			select {
			case g.uploads <- u:
				err = <-u.result
			case <-r.Context().Done():
				return
			}
			if err != nil {
				slog.Error("cannot store the job specification", "job", s.ID, "err", err)
				http.Error(w, `{"error":"the description is not kept"}`, http.StatusServiceUnavailable)
				return
			}
			g.world.RegisterJob(s, estimatedRunTime(s), false)
		}
	}
	g.proxy.ServeHTTP(w, r)
}

// parseSubmission returns the job of a submission, nil if it is invalid; the controllers reject it then.
func (g *gateway) parseSubmission(r *http.Request, body []byte) *protocol.JobSpec {
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
	j, err := pbs.Translate(string(body), command, g.queues, pbs.IDForKey(r.Header.Get("Idempotency-Key")), time.Now().UTC())
	if err != nil {
		return nil
	}
	return &j.Spec
}
