package bookkeeping

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// Accounts that operators changed at run time. They stand whole in parts, which are
// written first; the record that names them is changed under its version and comes
// last, so that a change is seen whole or not at all, however many accounts there are.

// Quotas are the accounts as they were last set.
type Quotas struct {
	// Revision counts changes, from 1.
	Revision uint64 `json:"rev"`
	By       string `json:"by,omitempty"`
	Why      string `json:"why,omitempty"`
	AtMs     int64  `json:"at"`
	// Sum names the parts, Of is how many there are.
	Sum string `json:"sum"`
	Of  int    `json:"of"`

	Accounts []quota.Account `json:"-"`
	Version  uint64          `json:"-"`
}

// mostAccounts bounds what is read of accounts.
const mostAccounts = 8 << 20

func quotaKey(sum string, part int) string { return fmt.Sprintf("%s%s/%03d", quotaPrefix, sum, part) }

// quotaPatience is for how long operators wait for one request.
const quotaPatience = 3 * time.Second

// Quotas reads the accounts afresh, nil if none were ever set at run time.
func (s *Store) Quotas(ctx context.Context) (*Quotas, error) {
	q, version, err := get[Quotas](ctx, s, transport.Urgent, quotaPatience, keyQuotas)
	if err != nil || q == nil {
		return nil, err
	}
	q.Version = version
	page, err := s.state.List(ctx, transport.Urgent, quotaPrefix+q.Sum+"/", "", transport.MaxPage)
	if err != nil {
		return nil, err
	}
	var parts quotaParts
	for _, p := range page.Pairs {
		parts.part(p.Key, p.Value, false)
	}
	if parts.whole(q); q.Accounts == nil {
		return nil, fmt.Errorf("parts of the quotas of revision %d are missing", q.Revision)
	}
	return q, nil
}

// SaveQuotas writes the accounts in place of those seen (nil: none were ever set).
// ErrConflict: somebody else changed them meanwhile.
func (s *Store) SaveQuotas(ctx context.Context, seen *Quotas, next Quotas) error {
	parts, sum, err := s.divide(next.Accounts)
	if err != nil {
		return err
	}
	next.Revision, next.Of = 1, len(parts)
	cond := protocol.Condition{Key: keyQuotas}
	if seen != nil {
		next.Revision, cond.Version = seen.Revision+1, seen.Version
	}
	// No two revisions share parts: those of a former one are dropped without a condition, and
	// that may be carried out late, when the same accounts are set again.
	sum = fmt.Sprintf("%s-%d", sum, next.Revision)
	next.Sum = sum
	var then []protocol.Change
	for k, p := range parts {
		if then = append(then, set(quotaKey(sum, k), p, 0)); len(then) == s.txnOps || k == len(parts)-1 {
			if err := s.commit(ctx, transport.Urgent, quotaPatience, nil, then...); err != nil {
				return err
			}
			then = nil
		}
	}
	if err := s.commit(ctx, transport.Urgent, quotaPatience, []protocol.Condition{cond}, set(keyQuotas, next, 0)); err != nil {
		return err
	}
	if seen != nil && seen.Sum != sum {
		for k := range seen.Of { // what stays behind does no harm
			then = append(then, protocol.Change{Drop: quotaKey(seen.Sum, k)})
		}
		for len(then) > 0 {
			n := min(len(then), s.txnOps)
			if err := s.commit(ctx, transport.Ordinary, quotaPatience, nil, then[:n]...); err != nil {
				slog.Debug("parts of former quotas stay behind", "err", err)
				break
			}
			then = then[n:]
		}
	}
	return nil
}

// quotaParts puts accounts together that come in parts, in any order.
type quotaParts struct {
	parts map[string][]byte // by key
	head  *Quotas
	told  uint64 // the version of the record last told
}

// part takes in a part.
func (p *quotaParts) part(key string, raw json.RawMessage, dropped bool) {
	if p.parts == nil {
		p.parts = map[string][]byte{}
	}
	if dropped {
		delete(p.parts, key)
		return
	}
	if r := parse[partRecord](key, raw, false); r != nil && len(p.parts) < 1000 {
		p.parts[key] = r.Data
	}
}

// whole fills in the accounts of a record if all its parts are there.
func (p *quotaParts) whole(q *Quotas) {
	var parts [][]byte
	for k := range q.Of {
		data, ok := p.parts[quotaKey(q.Sum, k)]
		if !ok {
			return
		}
		parts = append(parts, data)
	}
	accounts, err := join[[]quota.Account](parts, mostAccounts)
	if err != nil {
		slog.Error("senseless quotas", "revision", q.Revision, "err", err)
		return
	}
	q.Accounts = append([]quota.Account{}, *accounts...)
}

// take takes in a key of quotas, and gives the accounts when a newer set is whole.
func (p *quotaParts) take(key string, raw json.RawMessage, version uint64, dropped bool) *Quotas {
	if strings.HasPrefix(key, quotaPrefix) {
		p.part(key, raw, dropped)
	} else if q := parse[Quotas](key, raw, dropped); q != nil {
		q.Version = version
		p.head = q
	}
	if p.head == nil || p.head.Version <= p.told {
		return nil
	}
	if p.whole(p.head); p.head.Accounts == nil {
		return nil
	}
	p.told = p.head.Version
	q := *p.head
	return &q
}
