package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"daledyke/internal/protocol"
)

// Workers switch from controller to controller, each of which refuses them with an answer, and close their
// connections each time, while the network asks the world for zones to decide which connections are blocked.
// The network and the world deadlocked here, and virtual time stopped (incident emulator-cut-stall).
func TestConnectionsCloseDuringZoneLookups(t *testing.T) {
	// In real time, because virtual time stops in a deadlock.
	watch := time.AfterFunc(time.Minute, func() { panic("virtual time has stopped") })
	defer watch.Stop()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		pipes := NewPipes(ctx)
		names := []string{"c0", "c1", "c2"}
		w, err := New(ctx, pipes, Setup{Controllers: names, Capacity: 150, Lease: 40 * time.Second, ReportEvery: 3 * time.Second,
			Types: []protocol.MachineType{{Name: "small", Cores: 8, RAM: 64, CacheGB: 12, FetchRate: 1, Price: 1, BootS: 1, Zones: []string{"a", "b"}}}})
		if err != nil {
			t.Fatal(err)
		}
		fronts := map[string]string{}
		for _, name := range names {
			fronts[name] = "front-" + name + ":1"
			_, err := pipes.StartController(name, func(ctx context.Context, front, _ net.Listener) {
				http.Serve(front, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) }))
			})
			if err != nil {
				t.Error(err)
			}
		}
		w.SetControllerAddrs(fronts)
		pipes.Partition(func(from, _ string) bool { return w.ZoneOf(from) == "c" })
		for n := range 3 {
			w.loop.do(func() {
				w.rent(protocol.RentRequest{Booking: fmt.Sprint("b-", n), Type: "small", Zone: "a", Count: 50})
			})
		}
		time.Sleep(time.Minute)
		pipes.Partition(func(string, string) bool { return true }) // no zone lookups while the world closes
		w.Close()
		time.Sleep(time.Minute)
	})
}
