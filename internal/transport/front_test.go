package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"daledyke/internal/protocol"
)

type reportService struct{ Service }

func (reportService) Report(context.Context, *protocol.Report) (int, any) {
	return http.StatusOK, protocol.ReportAnswer{}
}

func (reportService) Healthy() bool { return true }

// Workers keep their connections between reports while enough are free. Above that share each report opens a
// connection, so that a controller that serves a whole fleet alone has some left for users.
func TestWorkersLeaveConnectionsForUsers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go ServeFront(l, reportService{}, 8)
	request := func(method, path, body string) (keeps bool) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		req, _ := http.NewRequest(method, "http://"+l.Addr().String()+path, strings.NewReader(body))
		if err := req.Write(c); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		return !resp.Close
	}
	report := `{"bollard":"host-1","address":"x:1","shift":1,"ticket":1,"passes":[]}`
	for n := range 6 {
		if !request(http.MethodPost, "/checkin", report) {
			t.Errorf("connection %d of 8 is not kept alive", n+1)
		}
	}
	for range 4 {
		if request(http.MethodPost, "/checkin", report) {
			t.Error("more than three quarters of the connections are kept alive")
		}
	}
	if !request(http.MethodGet, "/healthz", "") {
		t.Error("a user's connection is not kept alive")
	}
}
