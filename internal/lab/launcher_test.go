package lab

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// An outgoing connection from the port of a controller that is down must not keep the controller from starting
// again.
func TestOutgoingConnectionLeavesControllerPortUsable(t *testing.T) {
	remote, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer remote.Close()
	ports, err := freePorts(4)
	if err != nil {
		t.Fatal(err)
	}
	for _, addr := range ports {
		_, port, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		from, err := net.ResolveTCPAddr("tcp", net.JoinHostPort("127.0.0.1", port))
		if err != nil {
			t.Fatal(err)
		}
		outgoing, err := (&net.Dialer{LocalAddr: from}).Dial("tcp", remote.Addr().String())
		if err != nil {
			t.Logf("port %s is in use on 127.0.0.1: %v", port, err) // by another process, by chance
			continue
		}
		defer outgoing.Close()
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Errorf("the controller at %s cannot listen: %v", addr, err)
			continue
		}
		listener.Close()
	}
	if outgoing, err := net.Dial("tcp", remote.Addr().String()); err != nil || !strings.HasPrefix(outgoing.LocalAddr().String(), "127.0.0.1:") {
		t.Errorf("an outgoing connection has the local side %v, error %v", outgoing, err)
	}
}

// The exit of a controller that was not killed is reported with the end of its log.
func TestUnexpectedControllerExitIsReported(t *testing.T) {
	dir, reported := t.TempDir(), make(chan error, 1)
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho listen: address already in use >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	l := &processLauncher{program: program, files: map[string]string{"a": "a.toml"}, logs: dir, running: map[string]*process{}, exited: func(_ string, err error) { reported <- err }}
	if err := l.start("a"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-reported:
		if text := err.Error(); !strings.Contains(text, "exit status 3") || !strings.Contains(text, "address already in use") {
			t.Error(text)
		}
	case <-time.After(10 * time.Second):
		t.Error("the exit is not reported")
	}
}
