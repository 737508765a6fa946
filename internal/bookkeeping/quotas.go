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

// This file stores the quota accounts that operators changed at run time. The accounts are split into parts,
// which are written first. The record that names the parts is then changed conditionally on its version, so
// that a change of any number of accounts is atomic.

// Quotas are the quota accounts as last set.
type Quotas struct {
	// Revision counts the changes, starting at 1.
	Revision uint64 `json:"rev"`
	By       string `json:"by,omitempty"`
	Why      string `json:"why,omitempty"`
	AtMs     int64  `json:"at"`
	// Sum identifies the parts, PartCount is their number.
	Sum       string `json:"sum"`
	PartCount int    `json:"of"`

	Accounts []quota.Account `json:"-"`
	Version  uint64          `json:"-"`
}

// maxAccountsBytes bounds the decompressed size of all accounts.
const maxAccountsBytes = 8 << 20

func quotaKey(sum string, part int) string { return fmt.Sprintf("%s%s/%03d", quotaPrefix, sum, part) }

// quotaTimeout limits how long an operator's request waits for one request to the state service.
const quotaTimeout = 3 * time.Second

// Quotas reads the accounts from the state service, nil if none were ever set at run time.
func (s *Store) Quotas(ctx context.Context) (*Quotas, error) {
	q, version, err := get[Quotas](ctx, s, transport.Urgent, quotaTimeout, keyQuotas)
	if err != nil || q == nil {
		return nil, err
	}
	q.Version = version
	page, err := s.state.List(ctx, transport.Urgent, quotaPrefix+q.Sum+"/", "", transport.MaxPage)
	if err != nil {
		return nil, err
	}
	var parts quotaAssembler
	for _, p := range page.Pairs {
		parts.addPart(p.Key, p.Value, false)
	}
	if parts.assemble(q); q.Accounts == nil {
		return nil, fmt.Errorf("parts of the quotas of revision %d are missing", q.Revision)
	}
	return q, nil
}

// SaveQuotas replaces the accounts last seen (nil: none were ever set). ErrConflict means that they were changed
// meanwhile.
func (s *Store) SaveQuotas(ctx context.Context, seen *Quotas, next Quotas) error {
	parts, sum, err := s.splitValue(next.Accounts)
	if err != nil {
		return err
	}
	next.Revision, next.PartCount = 1, len(parts)
	cond := protocol.Condition{Key: keyQuotas}
	if seen != nil {
		next.Revision, cond.Version = seen.Revision+1, seen.Version
	}
	// The revision in the key keeps revisions from sharing parts. Parts of a former revision are dropped
	// unconditionally, and a delayed drop would destroy shared parts after the same accounts are set again.
	sum = fmt.Sprintf("%s-%d", sum, next.Revision)
	next.Sum = sum
	var then []protocol.Change
	for k, p := range parts {
		then = append(then, set(quotaKey(sum, k), p, 0))
	}
	for _, some := range s.splitChanges(then) {
		if err := s.commit(ctx, transport.Urgent, quotaTimeout, nil, some...); err != nil {
			return err
		}
	}
	if err := s.commit(ctx, transport.Urgent, quotaTimeout, []protocol.Condition{cond}, set(keyQuotas, next, 0)); err != nil {
		return err
	}
	if seen != nil && seen.Sum != sum {
		var drops []protocol.Change
		for k := range seen.PartCount { // leftover parts are harmless
			drops = append(drops, protocol.Change{Drop: quotaKey(seen.Sum, k)})
		}
		for _, some := range s.splitChanges(drops) {
			if err := s.commit(ctx, transport.Ordinary, quotaTimeout, nil, some...); err != nil {
				slog.Debug("parts of former quotas were not dropped", "err", err)
				break
			}
		}
	}
	return nil
}

// quotaAssembler assembles accounts from parts that arrive in any order.
type quotaAssembler struct {
	parts            map[string][]byte // by key
	record           *Quotas
	publishedVersion uint64 // version of the last record returned
}

// addPart adds or drops the part that is stored under a key.
func (p *quotaAssembler) addPart(key string, raw json.RawMessage, dropped bool) {
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

// assemble sets the accounts of a record if all its parts are present.
func (p *quotaAssembler) assemble(q *Quotas) {
	var parts [][]byte
	for k := range q.PartCount {
		data, ok := p.parts[quotaKey(q.Sum, k)]
		if !ok {
			return
		}
		parts = append(parts, data)
	}
	accounts, err := joinParts[[]quota.Account](parts, maxAccountsBytes)
	if err != nil {
		slog.Error("malformed quotas", "revision", q.Revision, "err", err)
		return
	}
	q.Accounts = append([]quota.Account{}, *accounts...)
}

// update takes in a changed key of the quotas, and returns the accounts when a newer revision is complete.
func (p *quotaAssembler) update(key string, raw json.RawMessage, version uint64, dropped bool) *Quotas {
	if strings.HasPrefix(key, quotaPrefix) {
		p.addPart(key, raw, dropped)
	} else if q := parse[Quotas](key, raw, dropped); q != nil {
		q.Version = version
		p.record = q
	}
	if p.record == nil || p.record.Version <= p.publishedVersion {
		return nil
	}
	if p.assemble(p.record); p.record.Accounts == nil {
		return nil
	}
	p.publishedVersion = p.record.Version
	q := *p.record
	return &q
}
