package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/protocol"
)

// A command that gets no connection is soon refused as not sent, however long the commands that use all
// connections remain unanswered. A command that gets a connection has its full timeout.
func TestCommandIsRefusedWithoutConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialSilent := func(ctx context.Context, _, _ string) (net.Conn, error) {
			select { // a dial outlives its abandoned request
			case <-ctx.Done():
			case <-time.After(10 * time.Second):
			}
			return nil, errors.New("timed out")
		}
		w := NewWorkers(dialSilent, 2) // one in flight, one idle
		do := func() (time.Duration, error) {
			began := time.Now()
			_, _, err := w.Do(t.Context(), "worker-x:1", protocol.Orders{})
			return time.Since(began), err
		}
		first := make(chan error)
		go func() {
			_, err := do()
			first <- err
		}()
		synctest.Wait()
		if took, err := do(); !errors.Is(err, ErrRefused) || took > connectionWait {
			t.Errorf("%v after %v", err, took)
		}
		if err := <-first; !errors.Is(err, ErrUnknown) {
			t.Error(err)
		}
		if took, err := do(); !errors.Is(err, ErrUnknown) || took < 3*time.Second {
			t.Errorf("%v after %v", err, took)
		}
		time.Sleep(10 * time.Second)
	})
}
