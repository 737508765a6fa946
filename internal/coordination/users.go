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

// What users ask of a controller: submissions, questions and cancellations.

// ErrLater says that it cannot be decided now; the user should come again.
var ErrLater = errors.New("cannot be decided now")

func (k *Controller) answer(s *standing) *protocol.JobStatus {
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

// Status finds out how a job stands; nil without an error means that it was
// never accepted. A job that is over stays so: what is known here is enough.
// Anything else takes a read that begins after the question came, so that no
// user is told less than another was told before.
func (k *Controller) Status(ctx context.Context, id string) (*protocol.JobStatus, error) {
	known := k.owner.Known(ctx, id)
	if known != nil && known.Final() {
		return k.confirm(ctx, &standing{job: known})
	}
	ctx, cancel := context.WithTimeout(ctx, bookkeeping.FreshTimeout)
	defer cancel()
	if known == nil {
		found, err := k.reader.Find(ctx, id)
		if err != nil || found == nil {
			return nil, err
		}
		if !found.Final() && len(found.Spec.Needs) > 0 {
			return nil, ErrLater // one of those may be cancelled, and it with it
		}
		return k.confirm(ctx, &standing{job: found})
	}
	if err := k.reader.WaitFresh(ctx); err != nil {
		return nil, err
	}
	st := k.owner.Status(ctx, id)
	if st == nil || st.job.NeedsUnknown {
		// It ended and is no longer kept at hand; or one that it needs did so,
		// and whether it was cancelled is being looked up.
		return nil, ErrLater
	}
	return k.confirm(ctx, st)
}

// confirm gives a user's answer, unless it says that the job is cancelled and that may not be
// said yet (membership.MayConfirm, MayTell): from then on its tasks have only so long to live, wherever
// they are and whoever knows of it. Nor is a job called unfinished that is known to be cancelled by now:
// another user may have been told so while the question waited for its read.
func (k *Controller) confirm(ctx context.Context, s *standing) (*protocol.JobStatus, error) {
	id := s.job.Spec.ID
	switch {
	case s.job.State == protocol.Cancelled:
		if !k.holder.confirmCancelled(ctx, id) {
			return nil, ErrLater
		}
	case !s.job.Final():
		if known, ok := askFor(ctx, &k.holder.actor, func() bool { return k.holder.over(id) }); known || !ok {
			return nil, ErrLater
		}
	}
	return k.answer(s), nil
}

// Submit takes a submission: its status code and answer. An id that is known
// is answered with the job's state, whatever the rest of the body says.
func (k *Controller) Submit(ctx context.Context, body []byte) (status int, answer any) {
	id := protocol.PeekID(body)
	if id != "" {
		if k.owner.Known(ctx, id) != nil {
			return k.known(ctx, id, nil)
		}
	}
	spec, err := protocol.ParseJob(body)
	if err != nil {
		if id == "" {
			return http.StatusBadRequest, err
		}
		return k.known(ctx, id, func() (int, any) { return http.StatusBadRequest, err })
	}
	if k.catalog.Load() == nil {
		return k.known(ctx, id, nil)
	}
	if err := k.judge(spec); err != nil {
		return k.known(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
	}
	with, err := k.needs(ctx, spec)
	switch {
	case errors.Is(err, errNever):
		return k.known(ctx, id, func() (int, any) { return http.StatusUnprocessableEntity, err })
	case err != nil:
		return k.known(ctx, id, nil)
	}
	if spec.Batch != nil && (spec.Batch.Hold || spec.Batch.FromMs > 0) && !k.understood(ctx, 3) {
		return http.StatusServiceUnavailable, ErrLater // an older process would run it at once
	}
	for range 2 {
		err = k.store.CreateJob(ctx, spec, with)
		if err == nil {
			due, _ := spec.Deadline()
			slog.Debug("accepted", "job", id, "class", spec.Class, "tasks", spec.Tasks, "waits for", spec.Needs, "due", due, "cancelled with", with)
			st := &protocol.JobStatus{ID: id, Status: protocol.Pending}
			if with != "" {
				st.Status = protocol.Cancelled
			}
			return http.StatusCreated, st
		}
		if errors.Is(err, bookkeeping.ErrConflict) {
			return k.known(ctx, id, nil)
		}
		if errors.Is(err, transport.ErrRefused) {
			break
		}
	}
	slog.Debug("submission not recorded", "job", id, "err", err)
	return http.StatusServiceUnavailable, ErrLater
}

// known answers for a job that may be known already; otherwise says what else.
func (k *Controller) known(ctx context.Context, id string, otherwise func() (int, any)) (int, any) {
	st, err := k.Status(ctx, id)
	switch {
	case err != nil:
		return http.StatusServiceUnavailable, ErrLater
	case st != nil:
		return http.StatusOK, st
	case otherwise != nil:
		return otherwise()
	}
	return http.StatusServiceUnavailable, ErrLater
}

// judge says why a job can never run, if so.
func (k *Controller) judge(s *protocol.JobSpec) error {
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
	if err := judgeAccount(k.quotaTree(), s, n); err != nil {
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

// quotaTree are the accounts, nil if quotas are not switched on.
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
			return http.StatusServiceUnavailable, ErrLater
		case j == nil:
			return http.StatusNotFound, errors.New("no such job")
		}
	}
	st, err := k.confirm(ctx, &standing{job: j})
	if err != nil {
		return http.StatusServiceUnavailable, ErrLater
	}
	return http.StatusOK, st
}

// judgeAccount says why a job with so many tasks at once can never run in its
// account, if so.
func judgeAccount(t *quota.Tree, s *protocol.JobSpec, n float64) error {
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
	if binds, never := t.NeverFits(account.Name, s.Need().Scale(n)); never {
		return fmt.Errorf("the job needs more than account %q may use", binds)
	}
	return nil
}
