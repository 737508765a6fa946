package config

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"time"
)

// Validation of settings that were parsed.

// minValueBytes is the smallest supported size limit of a value, in bytes: the size of a chunk of results, the
// largest record that can't be divided.
const minValueBytes = 1536

// minTxnOps is the smallest supported number of changes in a transaction.
const minTxnOps = 4

// check returns an error that names the first invalid setting.
func (c *Config) check() error {
	for _, check := range []func() error{c.checkAddresses, c.checkPositive, c.checkSizes, c.checkTimes, c.checkTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkAddresses checks the names and addresses of this controller, its siblings and the services.
func (c *Config) checkAddresses() error {
	for name, addr := range map[string]string{"front": c.Front, "internal_addr": c.Internal,
		"services.cloud": c.Services.Cloud, "services.state": c.Services.State} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("%s is not an address: %q", name, addr)
		}
	}
	if c.Name == "" {
		return errors.New("host_name is missing")
	}
	seen := map[string]bool{c.Name: true}
	for _, s := range c.Siblings {
		if s.Name == "" || seen[s.Name] {
			return fmt.Errorf("siblings: host_name %q is missing or not unique", s.Name)
		}
		seen[s.Name] = true
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			return fmt.Errorf("siblings: peer_addr of %s is not an address: %q", s.Name, s.Addr)
		}
	}
	return nil
}

// checkPositive checks the settings that must be positive.
func (c *Config) checkPositive() error {
	d := &c.Deployment
	for name, v := range map[string]float64{
		"deployment.workers.report_s": d.Workers.ReportS, "deployment.workers.lease_s": d.Workers.LeaseS,
		"deployment.workers.gang_wait_s": d.Workers.GangWaitS, "deployment.workers.gang_peer_s": d.Workers.GangPeerS,
		"deployment.workers.cancel_s": d.Workers.CancelS, "deployment.state.rps": d.State.RPS,
		"deployment.state.write_rps": d.State.WriteRPS, "deployment.state.value_kb": d.State.ValueKB,
		"deployment.state.txn_ops": float64(d.State.TxnOps), "deployment.cloud.rps": d.Cloud.RPS,
		"deployment.machine_limits.mem_mb":   d.Limits.MemMB,
		"deployment.machine_limits.fd_limit": float64(d.Limits.FDLimit),
	} {
		if !(v > 0) || v > 1e9 {
			return fmt.Errorf("%s must be positive, not %v", name, v)
		}
	}
	return nil
}

// checkSizes checks that the largest possible records fit into the limits of the state service.
func (c *Config) checkSizes() error {
	if ops := c.Deployment.State.TxnOps; ops < minTxnOps {
		return fmt.Errorf("deployment.state: the smallest txn_ops must be at least %d, not %d: a term, slots and results go with other changes, and the largest job ends under 14 conditions", minTxnOps, ops)
	}
	if size, limit := c.windowRecordBytes(), c.ValueBytes(); size > limit {
		return fmt.Errorf("siblings: %d controllers are too many for the smallest deployment.state value_kb: a window takes about %d bytes of %d", 1+len(c.Siblings), size, limit)
	}
	if limit := c.ValueBytes(); limit < minValueBytes {
		return fmt.Errorf("deployment.state: the smallest value_kb must be at least %v: a chunk of results takes that much", float64(minValueBytes)/1024)
	}
	return nil
}

// windowRecordBytes estimates the size of a window's record, which names a controller for each of n(n-1)
// slots, and each controller as the owner of a range.
func (c *Config) windowRecordBytes() int {
	const quotes, rest = len(`"",`), 100
	controllers := 1 + len(c.Siblings)
	names := len(c.Name) + quotes
	for _, s := range c.Siblings {
		names += len(s.Name) + quotes
	}
	return names*controllers + names + rest
}

// checkTimes checks that the times of leases, reports and cancellations are compatible.
func (c *Config) checkTimes() error {
	d := &c.Deployment
	if d.Workers.LeaseS < 2*d.Workers.ReportS {
		return errors.New("deployment.workers.lease_s must be at least twice report_s")
	}
	if c.MaxRenewalStaleness() < minRenewalStaleness {
		minimum := time.Duration(float64(LocalUpperBound(c.WorkerLease())+minRenewalStaleness+clockMargin) / (1 - maxClockDrift))
		return fmt.Errorf("deployment.workers.cancel_s must be at least %.1f with a lease_s of %v, not %v: a machine that is answered runs on for a lease, whatever is cancelled meanwhile",
			math.Ceil(minimum.Seconds()*10)/10, d.Workers.LeaseS, d.Workers.CancelS)
	}
	if d.ClockOffMs < 0 || d.Cloud.ListLagS < 0 {
		return errors.New("deployment.clock_off_ms and deployment.cloud.list_lag_s must not be negative")
	}
	return nil
}

// checkTeams checks the teams' guarantees and limits.
func (c *Config) checkTeams() error {
	names := map[string]bool{}
	for _, t := range c.Deployment.Teams {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("deployment.teams: name %q is missing or not unique", t.Name)
		}
		names[t.Name] = true
		if !(t.Cores >= 0 && t.CoresMax >= 0 && t.Accels >= 0 && t.AccelsMax >= 0) {
			return fmt.Errorf("deployment.teams: amounts of %s must not be negative", t.Name)
		}
		if t.CoresMax > 0 && t.Cores > t.CoresMax || t.AccelsMax > 0 && t.Accels > t.AccelsMax {
			// Not an error: the limit applies, and the guarantee above it can't be met.
			slog.Warn("a team is guaranteed more than its limit", "team", t.Name)
		}
	}
	return nil
}
