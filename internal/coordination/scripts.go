package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
	"daledyke/internal/transport"
)

// Batch scripts with PBS directives, at the front door (docs/design-pbs.md).

var errNoQueues = errors.New("scripts are not taken here: the operators' settings have no (pbs ...)")

// SubmitScript takes a batch script: it is translated, and goes the way of every
// submission. The same key is the same job.
func (k *Controller) SubmitScript(ctx context.Context, key, options, script string) (status int, answer any) {
	if len(k.cfg.Queues) == 0 {
		return http.StatusNotFound, errNoQueues
	}
	id := pbs.IDForKey(key)
	command, err := pbs.CommandLine(options)
	var j *pbs.Job
	if err == nil {
		j, err = pbs.Translate(script, command, k.cfg.Queues, id, time.Now().UTC())
	}
	if err != nil {
		// An accepted job stays so, whatever else is sent under its key.
		return k.known(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
	}
	body, err := json.Marshal(j.Submission(script))
	if err == nil && len(body) > protocol.MaxBody {
		err = fmt.Errorf("the script and what goes with it take %d bytes of %d", len(body), protocol.MaxBody)
	}
	if err != nil {
		return http.StatusUnprocessableEntity, err
	}
	status, answer = k.Submit(ctx, body)
	if st, ok := answer.(*protocol.JobStatus); ok {
		return status, protocol.ScriptTaken{ID: pbs.JobName(id, j.Array != nil), Job: id, Status: st.Status, Notes: j.Notes}
	}
	return status, answer
}

// Script is what a task of a batch job runs, or the script as it was submitted if the
// task is -1.
func (k *Controller) Script(ctx context.Context, id string, task int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, bookkeeping.FreshWithin)
	defer cancel()
	j := k.owner.Known(ctx, id)
	if j == nil {
		found, err := k.reader.Find(ctx, id)
		if err != nil {
			return "", err
		}
		j = found
	}
	if j == nil || j.Spec.Batch == nil {
		return "", fmt.Errorf("%w, or it has no script", transport.ErrNoSuchJob)
	}
	if task < 0 {
		return j.Spec.Batch.Text()
	}
	text, err := pbs.Script(j.Spec, task)
	if err != nil && strings.Contains(err.Error(), "has tasks") {
		err = fmt.Errorf("%w: %v", transport.ErrNoSuchJob, err)
	}
	return text, err
}

// understood tells whether all controllers whose sessions live are of a generation at
// least.
func (k *Controller) understood(ctx context.Context, generation int) bool {
	ok, asked := view(ctx, &k.owner.actor, func() bool {
		for _, p := range k.owner.peers {
			if p.generation > 0 && p.generation < generation {
				return false
			}
		}
		return true
	})
	return asked && ok
}

// Hold holds a job, or releases it: once, however many ask. What runs of it goes on.
func (k *Controller) Hold(ctx context.Context, id string, held bool) (status int, answer any) {
	if held && !k.understood(ctx, 3) {
		return http.StatusServiceUnavailable, ErrLater
	}
	j, changed, err := k.store.HoldJob(ctx, id, held)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, ErrLater
	case j == nil:
		return http.StatusNotFound, errors.New("no such job")
	}
	return http.StatusOK, protocol.HoldAnswer{ID: id, Held: j.Held && !j.Final(), Changed: changed, Status: j.State}
}

// Jobs lists jobs that this controller knows.
func (k *Controller) Jobs(ctx context.Context, f *protocol.JobFilter) (*protocol.JobList, error) {
	l, ok := view(ctx, &k.owner.actor, func() *protocol.JobList {
		var ids []string
		for id, js := range k.owner.jobs {
			if f.Chooses(js.job.Spec, js.job.Final()) {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		l := &protocol.JobList{Jobs: []protocol.JobView{}, More: len(ids) > protocol.MaxListed}
		for _, id := range ids[:min(len(ids), protocol.MaxListed)] {
			l.Jobs = append(l.Jobs, k.owner.jobView(k.owner.jobs[id], time.Now()))
		}
		return l
	})
	if !ok {
		return nil, ErrLater
	}
	return l, nil
}
