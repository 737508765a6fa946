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

// Batch scripts with PBS directives, submitted by users (docs/design-pbs.md).

var errNoQueues = errors.New("scripts are not taken here: the operators' settings have no (pbs ...)")

// SubmitScript translates a batch script and submits it like any other job. Submissions with the same key are
// the same job.
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
		// A job accepted under this key stays accepted, whatever is sent with the key later.
		return k.answerKnown(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
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
		return status, protocol.ScriptAccepted{ID: pbs.JobName(id, j.Array != nil), Job: id, Status: st.Status, Notes: j.Notes}
	}
	return status, answer
}

// Script returns the script that a task of a batch job runs, or the script as submitted if task is -1.
func (k *Controller) Script(ctx context.Context, id string, task int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, bookkeeping.FreshTimeout)
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

// allSupport reports whether all controllers with a live session are of at least the given generation.
func (k *Controller) allSupport(ctx context.Context, minGeneration int) bool {
	ok, asked := askWithTimeout(ctx, &k.owner.actor, func() bool {
		for _, p := range k.owner.peers {
			if p.generation > 0 && p.generation < minGeneration {
				return false
			}
		}
		return true
	})
	return asked && ok
}

// Hold holds a job or releases it; repeated requests change nothing more. Running tasks go on.
func (k *Controller) Hold(ctx context.Context, id string, held bool) (status int, answer any) {
	if held && !k.allSupport(ctx, 3) {
		return http.StatusServiceUnavailable, ErrRetryLater
	}
	j, changed, err := k.store.HoldJob(ctx, id, held)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, ErrRetryLater
	case j == nil:
		return http.StatusNotFound, errors.New("no such job")
	}
	return http.StatusOK, protocol.HoldAnswer{ID: id, Held: j.Held && !j.Final(), Changed: changed, Status: j.State}
}

// Jobs lists the jobs that this controller knows and the filter accepts.
func (k *Controller) Jobs(ctx context.Context, f *protocol.JobFilter) (*protocol.JobList, error) {
	list, ok := askWithTimeout(ctx, &k.owner.actor, func() *protocol.JobList {
		var ids []string
		for id, js := range k.owner.jobs {
			if f.Matches(js.job.Spec, js.job.Final()) {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		list := &protocol.JobList{Jobs: []protocol.JobView{}, More: len(ids) > protocol.MaxListed}
		for _, id := range ids[:min(len(ids), protocol.MaxListed)] {
			list.Jobs = append(list.Jobs, k.owner.jobView(k.owner.jobs[id], time.Now()))
		}
		return list
	})
	if !ok {
		return nil, ErrRetryLater
	}
	return list, nil
}
