package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"daledyke/internal/protocol"
)

func init() { cases["lines"] = longLines }

// maxLine is the longest line that a worker reads of a response.
const maxLine = 64 << 10

// strictWorkers makes the workers read no response with a line longer than maxLine: they reach the controllers
// through proxies that pass everything on and reset a connection in place of such a response.
func (s *stage) strictWorkers(tooLong *atomic.Int64) error {
	behind := map[string]string{}
	for _, name := range s.d.names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		behind[name] = l.Addr().String()
		handler := func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.front[name]+r.URL.Path, bytes.NewReader(body))
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			answer, err := client.Do(q)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			defer answer.Body.Close()
			raw, err := io.ReadAll(answer.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			for line := range bytes.SplitSeq(raw, []byte("\n")) {
				if len(line) > maxLine {
					tooLong.Add(1)
					s.log("%s answers a worker %d with a line of %d bytes: %.150s...", name, answer.StatusCode, len(line), line)
					panic(http.ErrAbortHandler)
				}
			}
			w.WriteHeader(answer.StatusCode)
			w.Write(raw)
		}
		go (&http.Server{Handler: http.HandlerFunc(handler)}).Serve(l)
	}
	s.world.SetControllerAddrs(behind)
	return nil
}

// longLines: a gang of many small tasks fits on one machine, which is told to start them all.
func longLines(s *stage) (int, string) {
	if err := s.start(); err != nil {
		return cantRun, err.Error()
	}
	var tooLong atomic.Int64
	if err := s.strictWorkers(&tooLong); err != nil {
		return cantRun, err.Error()
	}
	reader := array("wk-000001", "plate-reader", "lanes", 1, 5, 0)
	reader.Shape, reader.Priority, reader.Accels, reader.RAM = protocol.Service, "critical", 1, 38
	if !s.submitAll([]*protocol.JobSpec{reader}, 0) || !s.await(20*time.Second, func() bool { return len(s.placed(reader.ID)) == 1 }) {
		return cantRun, "the service did not start"
	}
	gang := array("wk-000200", "class-retrain", "data", 1500, 0.01, 20)
	gang.Shape, gang.RAM = protocol.Gang, 0.01
	if !s.trouble {
		gang.Tasks = 300
	}
	if !s.submitAll([]*protocol.JobSpec{gang}, 20*time.Second) {
		return cantRun, "the gang was not accepted"
	}
	accepted := time.Now()
	done := s.await(90*time.Second, func() bool {
		st := s.poll("bollard-0", gang.ID)
		s.sleep(1500 * time.Millisecond)
		return st != nil && st.Status == protocol.Done
	})
	restarts := len(s.starts(reader.ID)) - 1
	switch {
	case tooLong.Load() == 0 && done:
		return held, fmt.Sprintf("no line was too long, and the gang was done after %.0f s", time.Since(accepted).Seconds())
	case tooLong.Load() == 0:
		return cantRun, "no line was too long, and the gang was not done"
	}
	return broken, fmt.Sprintf("%d answers to workers had a line of more than 64 KiB; the gang is done: %v; another user's service on the machine was killed and started again %d times", tooLong.Load(), done, restarts)
}
