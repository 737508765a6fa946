package lab

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A connection that goes out while a controller is not there, by the very port that is the
// controller's, does not keep it from coming up.
func TestAPortStaysItsControllers(t *testing.T) {
	world, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
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
		out, err := (&net.Dialer{LocalAddr: from}).Dial("tcp", world.Addr().String())
		if err != nil {
			t.Logf("port %s is another's: %v", port, err) // by chance
			continue
		}
		defer out.Close()
		door, err := net.Listen("tcp", addr)
		if err != nil {
			t.Errorf("the controller of %s can't come up: %v", addr, err)
			continue
		}
		door.Close()
	}
	if out, err := net.Dial("tcp", world.Addr().String()); err != nil || !strings.HasPrefix(out.LocalAddr().String(), "127.0.0.1:") {
		t.Errorf("connections go out from %v: %v", out, err)
	}
}

// A controller that ends by itself is told with what it said last.
func TestOneThatEndsByItselfIsHeard(t *testing.T) {
	dir, told := t.TempDir(), make(chan error, 1)
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho listen: address already in use >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	h := &processLauncher{program: program, files: map[string]string{"a": "a.toml"}, logs: dir, running: map[string]*process{}, exited: func(_ string, err error) { told <- err }}
	if err := h.start("a"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-told:
		if text := err.Error(); !strings.Contains(text, "exit status 3") || !strings.Contains(text, "address already in use") {
			t.Error(text)
		}
	case <-time.After(10 * time.Second):
		t.Error("it is not told")
	}
}
