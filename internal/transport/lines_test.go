package transport

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"daledyke/internal/protocol"
)

// verboseService gives the longest answers that the protocol's requests can cause.
type verboseService struct{ Service }

func (verboseService) Submit(_ context.Context, body []byte) (int, any) {
	return http.StatusUnprocessableEntity, errors.New("unknown account " + string(body))
}

func (verboseService) JobView(context.Context, string) (*protocol.JobView, error) {
	v := &protocol.JobView{ID: "wk-1"}
	for len(v.Needs)*len(`"wk-000001",`) < protocol.MaxBody {
		v.Needs = append(v.Needs, "wk-000001")
	}
	return v, nil
}

func (s verboseService) Jobs(ctx context.Context, _ *protocol.JobFilter) (*protocol.JobList, error) {
	l := &protocol.JobList{}
	for range protocol.MaxListed {
		v, _ := s.JobView(ctx, "")
		l.Jobs = append(l.Jobs, *v)
	}
	return l, nil
}

func (s verboseService) Overview(ctx context.Context) *protocol.Overview {
	l, _ := s.Jobs(ctx, nil)
	return &protocol.Overview{OwnerView: protocol.OwnerView{Waiting: l.Jobs}}
}

// Guards against responses to users with lines of more than 64 KiB: long lists are broken into lines, and an error
// quotes no more than a part of the request.
func TestResponsesHaveNoLongLines(t *testing.T) {
	h := Front(verboseService{}, func() bool { return false })
	for _, c := range []struct{ method, path, body string }{
		{http.MethodPost, "/v1/jobs", strings.Repeat("\"\u2028", protocol.MaxBody/4)},
		{http.MethodGet, "/operator/jobs/wk-1", ""},
		{http.MethodGet, "/operator/jobs", ""},
		{http.MethodGet, "/operator/status", ""},
		{http.MethodGet, "/v1/schema", ""},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		for line := range strings.Lines(w.Body.String()) {
			if len(line) > protocol.MaxLine {
				t.Errorf("%s %s: a line of %d bytes", c.method, c.path, len(line))
			}
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Errorf("%s %s: %.100s is not JSON", c.method, c.path, w.Body.String())
		}
	}
}
