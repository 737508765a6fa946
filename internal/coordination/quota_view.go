package coordination

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"daledyke/internal/bookkeeping"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

// This file holds the operators' view of nested quotas, and their changes to them.

// quotaUsage returns the use of all accounts according to the board. It is computed at most once a second,
// for all callers.
func (o *Owner) quotaUsage(now time.Time) *quota.Ledger {
	q := &o.quotas
	if q.usage != nil && now.Sub(q.usageAt) < time.Second && q.usage.Tree() == q.tree {
		return q.usage
	}
	q.usage, q.usageAt = o.sumUsage(), now
	return q.usage
}

// sumUsage computes a ledger of the use that the board shows.
func (o *Owner) sumUsage() *quota.Ledger {
	ledger := quota.NewLedger(o.quotas.tree)
	for id := range o.board.Tasks {
		if js := o.jobs[id]; js != nil {
			if account := o.account(js); account != "" {
				placed, _ := o.countTasks(id)
				ledger.AddUse(account, js.job.Spec.Need().Scale(float64(placed)))
			}
		}
	}
	return ledger
}

// quotaView returns at most the given number of accounts, those with the highest use, sorted by name.
func (o *Owner) quotaView(maxAccounts int) *protocol.QuotaView {
	tree, record := o.quotas.tree, &o.quotas.record
	shown := &protocol.QuotaView{Requests: o.quotas.requestCount, Granted: o.quotas.permitCount, Revision: record.Revision, By: record.By, Why: record.Why, Authorities: map[string]string{}}
	if record.AtMs > 0 {
		shown.At = time.UnixMilli(record.AtMs).UTC().Format(time.RFC3339)
	}
	if window := o.window(); window != nil {
		for _, team := range tree.Teams() {
			shown.Authorities[team] = window.Owner(protocol.RingToken(team))
		}
	}
	for _, a := range o.quotas.authorities {
		shown.Permits += a.OutstandingPermits()
		shown.Over = append(shown.Over, a.OverLimit()...)
	}
	ledger := o.quotaUsage(time.Now())
	waiting := map[string]int{}
	for _, js := range o.active {
		if js.limitingAccount != "" {
			waiting[js.limitingAccount]++
		}
	}
	accounts := tree.Accounts()
	if len(accounts) > maxAccounts {
		slices.SortStableFunc(accounts, func(a, b quota.Account) int {
			return cmp.Or(cmp.Compare(ledger.Used(b.Name).Accels, ledger.Used(a.Name).Accels), cmp.Compare(ledger.Used(b.Name).Cores, ledger.Used(a.Name).Cores))
		})
		accounts = accounts[:maxAccounts]
		slices.SortFunc(accounts, func(a, b quota.Account) int { return cmp.Compare(a.Name, b.Name) })
	}
	for _, a := range accounts {
		used := ledger.Used(a.Name)
		shown.Accounts = append(shown.Accounts, protocol.QuotaAccount{Name: a.Name, Guarantee: a.Guarantee, Limit: a.Limit, Weight: a.Weight,
			Used: used, Borrowed: quota.Excess(used, a.Guarantee), Lent: quota.Excess(a.Guarantee, used), Waiting: waiting[a.Name]})
	}
	return shown
}

// maxShownAccounts bounds the accounts in the overview and the metrics.
const maxShownAccounts = 50

// showQuotas returns the accounts for operators.
func (k *Controller) showQuotas(ctx context.Context, maxAccounts int) (*protocol.QuotaView, error) {
	if k.quotas.Load() == nil {
		return nil, errNoQuotas
	}
	shown, ok := askWithTimeout(ctx, &k.owner.actor, func() *protocol.QuotaView { return k.owner.quotaView(maxAccounts) })
	if !ok {
		return nil, ErrRetryLater
	}
	return shown, nil
}

// changeQuotas applies a change of accounts by operators, as a whole or not at all.
func (k *Controller) changeQuotas(ctx context.Context, c *quota.Change) (outcome quota.Outcome, err error) {
	set := k.quotas.Load()
	if set == nil {
		return outcome, errNoQuotas
	}
	stored, err := k.store.Quotas(ctx)
	if err != nil {
		return outcome, fmt.Errorf("the quotas can't be read now, nothing was changed: %w", err)
	}
	current, record := set.tree, bookkeeping.Quotas{}
	knownTeam := func(name string) bool { return k.cfg.Team(name) != nil }
	if stored != nil {
		record = *stored
		if current, err = quota.NewTree(stored.Accounts, knownTeam); err != nil {
			return outcome, err
		}
	} else if set.record.Revision > 0 {
		return outcome, errors.New("the record of the quotas is gone, nothing was changed")
	}
	outcome.Revision = record.Revision
	if c.Revision != record.Revision {
		outcome.Refused = fmt.Sprintf("they were changed meanwhile: revision %d by %s at %s (%s), not %d", record.Revision, cmp.Or(record.By, "nobody named"),
			time.UnixMilli(record.AtMs).UTC().Format(time.RFC3339), cmp.Or(record.Why, "no reason given"), c.Revision)
		return outcome, nil
	}
	next, err := current.With(c.Set, c.Drop, knownTeam)
	if err != nil {
		outcome.Refused = err.Error()
		return outcome, nil
	}
	plan, ok := askWithTimeout(ctx, &k.owner.actor, func() (p quota.Plan) {
		var work []quota.Workload
		for _, team := range next.Teams() {
			work = append(work, k.owner.runningWorkloads(team, time.Now())...)
		}
		return quota.Shrink(next, work)
	})
	if !ok {
		return outcome, ErrRetryLater
	}
	outcome.Shrinks, outcome.Over = plan.ByAccount(), plan.OverLimit
	if c.DryRun {
		return outcome, nil
	}
	err = k.store.SaveQuotas(ctx, stored, bookkeeping.Quotas{By: c.By, Why: c.Why, AtMs: time.Now().UnixMilli(), Accounts: next.Accounts()})
	switch {
	case errors.Is(err, bookkeeping.ErrConflict):
		outcome.Refused = "somebody else changed them at the same moment; look at them again"
		return outcome, nil
	case err != nil:
		return outcome, fmt.Errorf("it is not known whether the change was recorded, look at the revision: %w", err)
	}
	outcome.Revision++
	return outcome, nil
}

// ShowArgs are the arguments of QuotaRPC.Show.
type ShowArgs struct{}

// Show returns the accounts to operators.
func (q QuotaRPC) Show(_ ShowArgs, reply *protocol.QuotaView) error {
	ctx, cancel := context.WithTimeout(q.controller.owner.ctx, lendTimeout)
	defer cancel()
	shown, err := q.controller.showQuotas(ctx, quota.MaxAccounts)
	if err == nil {
		*reply = *shown
	}
	return err
}

// Change changes accounts for operators.
func (q QuotaRPC) Change(c quota.Change, outcome *quota.Outcome) (err error) {
	ctx, cancel := context.WithTimeout(q.controller.owner.ctx, changeTimeout)
	defer cancel()
	*outcome, err = q.controller.changeQuotas(ctx, &c)
	return err
}

// changeTimeout bounds a change, which takes several requests to the state service.
const changeTimeout = 20 * time.Second

var errNoQuotas = errors.New("quotas are not switched on: the operators' settings have no (quotas ...)")
