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

// What operators see of nested quotas, and how they change them.

// used is what the board shows of all accounts' use; it is worked out once a second
// and serves all who ask.
func (o *Owner) used(now time.Time) *quota.Ledger {
	q := &o.quotas
	if q.uses != nil && now.Sub(q.usesAt) < time.Second && q.uses.Tree() == q.tree {
		return q.uses
	}
	q.uses, q.usesAt = o.sumUp(), now
	return q.uses
}

// sumUp gives a ledger of what the board shows.
func (o *Owner) sumUp() *quota.Ledger {
	l := quota.NewLedger(o.quotas.tree)
	for id := range o.board.Tasks {
		if js := o.jobs[id]; js != nil {
			if account := o.account(js); account != "" {
				live, _ := o.countTasks(id)
				l.Use(account, js.job.Spec.Need().Scale(float64(live)))
			}
		}
	}
	return l
}

// quotaView shows the accounts, at most so many: those that use most, in the order
// of their names.
func (o *Owner) quotaView(most int) *protocol.QuotaView {
	t, record := o.quotas.tree, &o.quotas.record
	v := &protocol.QuotaView{Requests: o.quotas.requests, Granted: o.quotas.permits, Revision: record.Revision, By: record.By, Why: record.Why, Authorities: map[string]string{}}
	if record.AtMs > 0 {
		v.At = time.UnixMilli(record.AtMs).UTC().Format(time.RFC3339)
	}
	if w := o.window(); w != nil {
		for _, team := range t.Teams() {
			v.Authorities[team] = w.Owner(protocol.RingToken(team))
		}
	}
	for _, a := range o.quotas.authorities {
		v.Permits += a.Lent()
		v.Over = append(v.Over, a.Over()...)
	}
	l := o.used(time.Now())
	waiting := map[string]int{}
	for _, js := range o.active {
		if js.binds != "" {
			waiting[js.binds]++
		}
	}
	accounts := t.Accounts()
	if len(accounts) > most {
		slices.SortStableFunc(accounts, func(a, b quota.Account) int {
			return cmp.Or(cmp.Compare(l.Used(b.Name).Accels, l.Used(a.Name).Accels), cmp.Compare(l.Used(b.Name).Cores, l.Used(a.Name).Cores))
		})
		accounts = accounts[:most]
		slices.SortFunc(accounts, func(a, b quota.Account) int { return cmp.Compare(a.Name, b.Name) })
	}
	for _, a := range accounts {
		used := l.Used(a.Name)
		v.Accounts = append(v.Accounts, protocol.QuotaAccount{Name: a.Name, Guarantee: a.Guarantee, Limit: a.Limit, Weight: a.Weight,
			Used: used, Borrowed: quota.Beyond(used, a.Guarantee), Lent: quota.Beyond(a.Guarantee, used), Waiting: waiting[a.Name]})
	}
	return v
}

// mostShown bounds the accounts that the overview and metrics show.
const mostShown = 50

// showQuotas is the view for operators.
func (k *Controller) showQuotas(ctx context.Context, most int) (*protocol.QuotaView, error) {
	if k.quotas.Load() == nil {
		return nil, errNoQuotas
	}
	v, ok := view(ctx, &k.owner.actor, func() *protocol.QuotaView { return k.owner.quotaView(most) })
	if !ok {
		return nil, ErrLater
	}
	return v, nil
}

// changeQuotas changes accounts, all that is asked or nothing.
func (k *Controller) changeQuotas(ctx context.Context, c *quota.Change) (out quota.Outcome, err error) {
	set := k.quotas.Load()
	if set == nil {
		return out, errNoQuotas
	}
	seen, err := k.store.Quotas(ctx)
	if err != nil {
		return out, fmt.Errorf("the quotas can't be read now, nothing was changed: %w", err)
	}
	current, record := set.tree, bookkeeping.Quotas{}
	known := func(name string) bool { return k.cfg.Team(name) != nil }
	if seen != nil {
		record = *seen
		if current, err = quota.NewTree(seen.Accounts, known); err != nil {
			return out, err
		}
	} else if set.record.Revision > 0 {
		return out, errors.New("the record of the quotas is gone, nothing was changed")
	}
	out.Revision = record.Revision
	if c.Revision != record.Revision {
		out.Refused = fmt.Sprintf("they were changed meanwhile: revision %d by %s at %s (%s), not %d", record.Revision, cmp.Or(record.By, "nobody named"),
			time.UnixMilli(record.AtMs).UTC().Format(time.RFC3339), cmp.Or(record.Why, "no reason given"), c.Revision)
		return out, nil
	}
	next, err := current.With(c.Set, c.Drop, known)
	if err != nil {
		out.Refused = err.Error()
		return out, nil
	}
	plan, ok := view(ctx, &k.owner.actor, func() (p quota.Plan) {
		var work []quota.Work
		for _, team := range next.Teams() {
			work = append(work, k.owner.running(team, time.Now())...)
		}
		return quota.Shrink(next, work)
	})
	if !ok {
		return out, ErrLater
	}
	out.Shrinks, out.Over = plan.Shrinks(), plan.Over
	if c.DryRun {
		return out, nil
	}
	err = k.store.SaveQuotas(ctx, seen, bookkeeping.Quotas{By: c.By, Why: c.Why, AtMs: time.Now().UnixMilli(), Accounts: next.Accounts()})
	switch {
	case errors.Is(err, bookkeeping.ErrConflict):
		out.Refused = "somebody else changed them at the same moment; look at them again"
		return out, nil
	case err != nil:
		return out, fmt.Errorf("it is not known whether the change was recorded, look at the revision: %w", err)
	}
	out.Revision++
	return out, nil
}

// ShowArgs ask for the accounts.
type ShowArgs struct{}

// Show shows operators the accounts.
func (q QuotaRPC) Show(_ ShowArgs, v *protocol.QuotaView) error {
	ctx, cancel := context.WithTimeout(q.k.owner.ctx, lendWithin)
	defer cancel()
	got, err := q.k.showQuotas(ctx, quota.MaxAccounts)
	if err == nil {
		*v = *got
	}
	return err
}

// Change changes accounts for operators.
func (q QuotaRPC) Change(c quota.Change, out *quota.Outcome) (err error) {
	ctx, cancel := context.WithTimeout(q.k.owner.ctx, changeWithin)
	defer cancel()
	*out, err = q.k.changeQuotas(ctx, &c)
	return err
}

// changeWithin bounds a change: some requests to the state service.
const changeWithin = 20 * time.Second

var errNoQuotas = errors.New("quotas are not switched on: the operators' settings have no (quotas ...)")
