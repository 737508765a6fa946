package config

import (
	"errors"
	"fmt"
	"os"

	"daledyke/internal/forms"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

// quotaForm is the operators' form (quotas ...), parsed but not yet checked against the platform's settings.
type quotaForm struct {
	line     int
	accounts []quota.Account
	lines    []int
}

// parseQuotas reads a form such as
//
//	(quotas
//	  (account "hosting" (cpus 400 600) (gpus 100 160))
//	  (account "hosting/songshan" (cpus 100 300) (gpus 30 80) (ram 0 4000) (weight 2)))
//
// which begins at the given line. Each resource has a guarantee and then a limit; a limit that is 0 or absent
// means none. It returns nil without an error for any other form.
func parseQuotas(raw []byte, line int) (*quotaForm, error) {
	list, ok := forms.Items(raw, "quotas", line)
	if !ok {
		return nil, nil
	}
	q := &quotaForm{line: line}
	for _, item := range list {
		a, err := parseAccount(item.Raw)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", item.Line, err)
		}
		q.accounts, q.lines = append(q.accounts, a), append(q.lines, item.Line)
	}
	return q, nil
}

func parseAccount(raw []byte) (a quota.Account, err error) {
	var entries []forms.Entry
	if a.Name, entries, err = forms.Named(raw, "account"); err != nil {
		return a, err
	}
	for _, e := range entries {
		name := e.Name
		var amounts []float64
		for _, n := range e.Values {
			v, ok := forms.Number(n)
			if !ok {
				return a, fmt.Errorf("account %q: %s: not a number: %.60s", a.Name, name, n)
			}
			amounts = append(amounts, v)
		}
		set := func(guarantee, limit *float64) error {
			if len(amounts) > 2 {
				return fmt.Errorf("account %q: %s takes a guarantee and a limit", a.Name, name)
			}
			*guarantee = amounts[0]
			if len(amounts) == 2 {
				*limit = amounts[1]
			}
			return nil
		}
		switch name {
		case "cpus":
			err = set(&a.Guarantee.Cores, &a.Limit.Cores)
		case "gpus":
			err = set(&a.Guarantee.Accels, &a.Limit.Accels)
		case "ram":
			err = set(&a.Guarantee.RAM, &a.Limit.RAM)
		case "weight":
			if a.Weight = amounts[0]; len(amounts) > 1 || !(a.Weight > 0 && a.Weight <= 1000) {
				err = fmt.Errorf("account %q: weight takes one number above 0, up to 1000", a.Name)
			}
		default:
			err = fmt.Errorf("account %q: unknown resource %s (cpus, gpus, ram or weight)", a.Name, name)
		}
		if err != nil {
			return a, err
		}
	}
	return a, nil
}

// Accounts reads accounts from a file that holds one form (quotas ...).
func Accounts(file string) ([]quota.Account, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	q, err := parseQuotas(raw, 1)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: %w", file, err)
	case q == nil:
		return nil, fmt.Errorf("%s: not one (quotas ...)", file)
	}
	return q.accounts, nil
}

// tree builds the tree of accounts and checks it against the platform's teams.
func (q *quotaForm) tree(c *Config) (*quota.Tree, error) {
	t, err := quota.NewTree(q.accounts, func(name string) bool { return c.Team(name) != nil })
	var f *quota.AccountError
	if errors.As(err, &f) {
		return nil, fmt.Errorf("line %d: %w", q.lines[f.Index], err)
	}
	return t, err
}

// AccountOf is the account to which a job is charged: the one that it names, or else its team's own; "" if
// the team has no quotas.
func AccountOf(t *quota.Tree, s *protocol.JobSpec) string {
	switch {
	case !t.HasTeam(s.Team):
		return ""
	case s.Account != "":
		return s.Account
	}
	return s.Team
}
