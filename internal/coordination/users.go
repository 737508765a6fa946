package coordination

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// Requests of users: submission, status and cancellation.

// ErrRetryLater means that the request cannot be decided now and that the user should retry.
var ErrRetryLater = errors.New("cannot be decided now")

// jobStatus renders what is known of a job for users.
func (k *Controller) jobStatus(s *jobStatus) *protocol.JobStatus {
	j, running := s.job, s.running
	done := j.DoneCount()
	st := &protocol.JobStatus{ID: j.Spec.ID, Status: j.State, Done: &done, Running: &running, Reason: s.reason, StartsInS: s.startsIn}
	switch {
	case j.State == protocol.Done:
		done, running = j.Spec.Tasks, 0
	case j.State == protocol.Cancelled:
		running = 0
	case running > 0:
		st.Status = protocol.Running
	}
	return st
}

// Status returns the status of a job; nil without an error means that the job was never accepted. The local
// record of a finished job suffices, since a job never leaves a final state. For any other job a read that
// begins after the request is needed, so that no user is told an older state than another user was told
// before.
func (k *Controller) Status(ctx context.Context, id string) (*protocol.JobStatus, error) {
	known := k.owner.Known(ctx, id)
	if known != nil && known.Final() {
		return k.confirmedStatus(ctx, &jobStatus{job: known})
	}
	ctx, cancel := context.WithTimeout(ctx, bookkeeping.FreshTimeout)
	defer cancel()
	if known == nil {
		found, err := k.reader.Find(ctx, id)
		if err != nil || found == nil {
			return nil, err
		}
		if !found.Final() && len(found.Spec.Needs) > 0 {
			return nil, ErrRetryLater // a job that it needs may be cancelled, which cancels it too
		}
		return k.confirmedStatus(ctx, &jobStatus{job: found})
	}
	if err := k.reader.WaitFresh(ctx); err != nil {
		return nil, err
	}
	st := k.owner.Status(ctx, id)
	if st == nil || st.job.NeedsUnknown {
		// Either the job ended and is no longer kept in memory, or a job that it needs ended and whether that
		// one was cancelled is still being looked up.
		return nil, ErrRetryLater
	}
	return k.confirmedStatus(ctx, st)
}

// confirmedStatus returns the answer for a user. It refuses with ErrRetryLater while a cancellation may not
// be confirmed yet (membership.MayConfirm, MayTell): from the confirmation on, the tasks of the job must end
// within a bounded time, wherever they run and whichever controller knows of them. It also refuses to report
// a job as unfinished that is known by now to be cancelled: another user may have been told of the
// cancellation while this request waited for its read.
func (k *Controller) confirmedStatus(ctx context.Context, s *jobStatus) (*protocol.JobStatus, error) {
	id := s.job.Spec.ID
	switch {
	case s.job.State == protocol.Cancelled:
		if !k.holder.confirmCancelled(ctx, id) {
			return nil, ErrRetryLater
		}
	case !s.job.Final():
		if known, ok := askFor(ctx, &k.holder.actor, func() bool { return k.holder.isJobOver(id) }); known || !ok {
			return nil, ErrRetryLater
		}
	}
	return k.jobStatus(s), nil
}

// Submit handles a submission and returns the status code and the answer. A submission with a known id is
// answered with the state of that job, whatever the rest of the body contains.
func (k *Controller) Submit(ctx context.Context, body []byte) (status int, answer any) {
	id := protocol.PeekID(body)
	if id != "" {
		if k.owner.Known(ctx, id) != nil {
			return k.answerKnown(ctx, id, nil)
		}
	}
	spec, err := protocol.ParseJob(body)
	if err != nil {
		if id == "" {
			return http.StatusBadRequest, err
		}
		return k.answerKnown(ctx, id, func() (int, any) { return http.StatusBadRequest, err })
	}
	if k.catalog.Load() == nil {
		return k.answerKnown(ctx, id, nil)
	}
	if err := k.checkFeasible(spec); err != nil {
		return k.answerKnown(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
	}
	cancelledWith, err := k.resolveNeeds(ctx, spec)
	switch {
	case errors.Is(err, errUnsatisfiable):
		return k.answerKnown(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
	case err != nil:
		return k.answerKnown(ctx, id, nil)
	}
	if spec.Batch != nil && (spec.Batch.Hold || spec.Batch.FromMs > 0) && !k.allSupport(ctx, 3) {
		return http.StatusServiceUnavailable, ErrRetryLater // an older process would start the job at once
	}
	for range 2 {
		err = k.store.CreateJob(ctx, spec, cancelledWith)
		if err == nil {
			due, _ := spec.Deadline()
			slog.Debug("accepted", "job", id, "class", spec.Class, "tasks", spec.Tasks, "waits for", spec.Needs, "due", due, "cancelled with", cancelledWith)
			st := &protocol.JobStatus{ID: id, Status: protocol.Pending}
			if cancelledWith != "" {
				st.Status = protocol.Cancelled
			}
			return http.StatusCreated, st
		}
		if errors.Is(err, bookkeeping.ErrConflict) {
			return k.answerKnown(ctx, id, nil)
		}
		if errors.Is(err, transport.ErrRefused) {
			break
		}
	}
	slog.Debug("submission not recorded", "job", id, "err", err)
	return http.StatusServiceUnavailable, ErrRetryLater
}

// answerKnown answers with the status of a job that may be known already; otherwise supplies the answer if it
// is not.
func (k *Controller) answerKnown(ctx context.Context, id string, otherwise func() (int, any)) (int, any) {
	st, err := k.Status(ctx, id)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, ErrRetryLater
	case st != nil:
		return http.StatusOK, st
	case otherwise != nil:
		return otherwise()
	}
	return http.StatusServiceUnavailable, ErrRetryLater
}

// checkFeasible returns an error if a job can never run.
func (k *Controller) checkFeasible(s *protocol.JobSpec) error {
	team := k.cfg.Team(s.Team)
	if team == nil {
		return errors.New("unknown crew")
	}
	n := 1.0
	if s.Shape != protocol.Array {
		n = float64(s.Tasks)
	}
	if !team.Admits(s.Need().Scale(n)) {
		return errors.New("the job needs more than its crew may use")
	}
	if err := checkAccount(k.quotaTree(), s, n); err != nil {
		return err
	}
	for _, t := range k.catalog.Load().Types {
		if !t.CanRun(s) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone == nil || *s.Zone == z {
				return nil
			}
		}
	}
	return errors.New("a task fits no machine that the job allows")
}

// quotaTree returns the tree of accounts, nil if quotas are not switched on.
func (k *Controller) quotaTree() *quota.Tree {
	if set := k.quotas.Load(); set != nil {
		return set.tree
	}
	return nil
}

// Cancel cancels a job.
func (k *Controller) Cancel(ctx context.Context, id string) (status int, answer any) {
	j := k.owner.Known(ctx, id)
	if j == nil || !j.Final() {
		var err error
		switch j, err = k.store.CancelJob(ctx, id); {
		case err != nil:
			return http.StatusServiceUnavailable, ErrRetryLater
		case j == nil:
			return http.StatusNotFound, errors.New("no such job")
		}
	}
	st, err := k.confirmedStatus(ctx, &jobStatus{job: j})
	if err != nil {
		return http.StatusServiceUnavailable, ErrRetryLater
	}
	return http.StatusOK, st
}

// checkAccount returns an error if a job with n tasks at a time can never run in its account.
func checkAccount(t *quota.Tree, s *protocol.JobSpec, n float64) error {
	if s.Account == "" && !t.HasTeam(s.Team) {
		return nil
	}
	account, known := t.Find(cmp.Or(s.Account, s.Team))
	switch {
	case !t.HasTeam(s.Team):
		return fmt.Errorf("crew %s has no accounts", s.Team)
	case !known:
		return fmt.Errorf("unknown account %q", s.Account)
	case account.Team() != s.Team:
		return fmt.Errorf("account %q is not one of crew %s", s.Account, s.Team)
	}
	if limiting, neverFits := t.NeverFits(account.Name, s.Need().Scale(n)); neverFits {
		return fmt.Errorf("the job needs more than account %q may use", limiting)
	}
	return nil
}
