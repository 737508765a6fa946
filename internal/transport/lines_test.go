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

func (verboseService) SubmitScript(_ context.Context, _, _, script string) (int, any) {
	return http.StatusUnprocessableEntity, errors.New(script)
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
	wholeError := strings.Repeat("line 12: the option -l is refused, ", 250) // a script with many mistakes
	h := Front(verboseService{}, func() bool { return false })
	for _, c := range []struct{ method, path, body string }{
		{http.MethodPost, "/v1/jobs", strings.Repeat("\"\u2028", protocol.MaxBody/4)},
		{http.MethodPost, "/v1/jobs", strings.Repeat("\x01<", protocol.MaxBody/2)},
		{http.MethodPost, "/pbs/jobs", wholeError},
		{http.MethodGet, "/operator/jobs/wk-1", ""},
		{http.MethodGet, "/operator/jobs", ""},
		{http.MethodGet, "/operator/status", ""},
		{http.MethodGet, "/v1/schema", ""},
	} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		r.Header.Set(idempotencyHeader, "key")
		h.ServeHTTP(w, r)
		for line := range strings.Lines(w.Body.String()) {
			if len(line) > protocol.MaxLine {
				t.Errorf("%s %s: a line of %d bytes", c.method, c.path, len(line))
			}
		}
		if strings.Contains(c.body, wholeError) && !strings.Contains(w.Body.String(), wholeError) {
			t.Errorf("%s %s: the error is cut to %d bytes", c.method, c.path, w.Body.Len())
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Errorf("%s %s: %.100s is not JSON", c.method, c.path, w.Body.String())
		}
	}
}
