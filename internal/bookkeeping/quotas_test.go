package bookkeeping

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"daledyke/internal/protocol"
	"daledyke/internal/quota"
	"daledyke/internal/transport"
)

// Thousands of accounts are stored in parts that arrive in any order, before or after the record that names
// them. They are published once, when complete, and leftover parts of former revisions have no effect.
func TestSplitAccounts(t *testing.T) {
	st := NewStore(transport.NewState(nil, "", 1, 1), 12, 2048)
	records := func(revision uint64, n int) (keys []string, values []any) {
		var accounts []quota.Account
		for i := range n {
			accounts = append(accounts, quota.Account{Name: fmt.Sprintf("a/%d-%d", i, i*i%97), Guarantee: protocol.Room{Cores: float64(i % 13)}})
		}
		parts, sum, err := st.splitValue(accounts)
		if err != nil || n > 1000 && len(parts) < 3 {
			t.Fatalf("%d parts, %v", len(parts), err)
		}
		for k, p := range parts {
			if !st.fits(p) {
				t.Errorf("a part has %d bytes", encodedSize(p))
			}
			keys, values = append(keys, quotaKey(sum, k)), append(values, p)
		}
		return append(keys, keyQuotas), append(values, Quotas{Revision: revision, Sum: sum, PartCount: len(parts)})
	}
	var parts quotaAssembler
	for revision, n := range []int{2000, 3, 1500} {
		keys, values := records(uint64(revision+1), n)
		published := 0
		for at, k := range rand.Perm(len(keys)) {
			raw, _ := json.Marshal(values[k])
			if q := parts.update(keys[k], raw, uint64(10*revision+10), false); q != nil {
				published++
				if at != len(keys)-1 || len(q.Accounts) != n || q.Revision != uint64(revision+1) {
					t.Errorf("published after %d of %d records: revision %d with %d accounts", at+1, len(keys), q.Revision, len(q.Accounts))
				}
			}
		}
		if published != 1 {
			t.Errorf("revision %d was published %d times", revision+1, published)
		}
	}
	if q := parts.update(keyQuotas, nil, 99, true); q != nil {
		t.Error("dropping the record published accounts")
	}
}
