// Package config reads what daledyke is told at its start: the settings file
// that the platform hands over (TOML) and the operators' own (an S-expression
// in EDN, the registry's nearest kin).
package config

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
	"daledyke/internal/quota"
)

// Sibling is another controller.
type Sibling struct {
	Name string `toml:"host_name"`
	Zone string `toml:"zone"`
	Addr string `toml:"peer_addr"`
}

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct {
	Name      string  `toml:"name"`
	Cores     float64 `toml:"cpus"`
	CoresMax  float64 `toml:"cpus_max"`
	Accels    float64 `toml:"gpus"`
	AccelsMax float64 `toml:"gpus_max"`
}

// Limited tells whether anything bounds what the team's tasks may use.
func (t *Team) Limited() bool { return t.CoresMax > 0 || t.AccelsMax > 0 }

// Admits tells whether the team may use as much as this at once.
func (t *Team) Admits(use protocol.Room) bool {
	const slack = 1e-6
	return (t.CoresMax <= 0 || use.Cores <= t.CoresMax+slack) && (t.AccelsMax <= 0 || use.Accels <= t.AccelsMax+slack)
}

// Limits tells whether work that takes so much takes of what the team is limited in.
func (t *Team) Limits(need protocol.Room) bool {
	return t.CoresMax > 0 && need.Cores > 0 || t.AccelsMax > 0 && need.Accels > 0
}

// Guaranteed tells whether anything is guaranteed to the team.
func (t *Team) Guaranteed() bool { return t.Cores > 0 || t.Accels > 0 }

// Guarantees tells whether work that takes so much lies within the team's guarantee while its
// tasks, that work included, use as much as given. A guarantee of 0 is none: it neither covers
// work that takes the resource nor bars work that takes it beside what is guaranteed. Once
// teams with a guarantee of GPUs alone were guaranteed nothing, since all work takes CPUs.
func (t *Team) Guarantees(need, use protocol.Room) bool {
	const slack = 1e-6
	covers := t.Cores > 0 && need.Cores > 0 || t.Accels > 0 && need.Accels > 0
	return covers && (t.Cores <= 0 || use.Cores <= t.Cores+slack) && (t.Accels <= 0 || use.Accels <= t.Accels+slack)
}

// Beyond tells whether work that takes so much is run beyond the team's guarantee while its
// tasks use as much as given: it takes what the team has more of than it is guaranteed.
// Nothing is guaranteed to a team without a guarantee, and all that it runs is beyond it.
func (t *Team) Beyond(need, use protocol.Room) bool {
	const slack = 1e-6
	return !t.Guaranteed() || t.Cores > 0 && need.Cores > 0 && use.Cores > t.Cores+slack || t.Accels > 0 && need.Accels > 0 && use.Accels > t.Accels+slack
}

// Objective is one of the aims that the users stated.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Platform is the settings file of one controller.
type Platform struct {
	Name     string    `toml:"host_name"`
	Zone     string    `toml:"zone"`
	Front    string    `toml:"front"`
	Internal string    `toml:"internal_addr"`
	Siblings []Sibling `toml:"siblings"`
	Services struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	Deployment struct {
		Size       int         `toml:"size"`
		Zones      []string    `toml:"zones"`
		ClockOffMs float64     `toml:"clock_off_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			// Next are limits that will hold from some moment on, without
			// notice; what is absent stays as it is.
			Next struct {
				WriteRPS *float64 `toml:"write_rps"`
				ValueKB  *float64 `toml:"value_kb"`
				TxnOps   *int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			Cores   float64 `toml:"cores"`
			MemMB   float64 `toml:"mem_mb"`
			FDLimit int     `toml:"fd_limit"`
		} `toml:"machine_limits"`
	} `toml:"deployment"`
}

// Config is all that a controller is told.
type Config struct {
	Platform
	Operator
	// Quotas divide what teams may use among accounts, nil if the operators don't
	// say so.
	Quotas *quota.Tree
	// Queues are those of PBS scripts, nil if the operators name none.
	Queues pbs.Queues
	teams  map[string]*Team
	aimed  map[string]bool
}

// Load reads and checks the platform's settings, and the operators' own if
// operatorFile is not empty.
func Load(platformFile, operatorFile string) (*Config, error) {
	c := &Config{Operator: Defaults()}
	if _, err := toml.DecodeFile(platformFile, &c.Platform); err != nil {
		return nil, fmt.Errorf("settings %s: %w", platformFile, err)
	}
	err := c.lower()
	if err == nil {
		err = c.check()
	}
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", platformFile, err)
	}
	if operatorFile != "" {
		if err := c.Operator.load(operatorFile); err != nil {
			return nil, fmt.Errorf("operators' settings %s: %w", operatorFile, err)
		}
	}
	c.index()
	if c.quotas != nil {
		var err error
		if c.Quotas, err = c.quotas.tree(c); err != nil {
			return nil, fmt.Errorf("operators' settings %s: %w", operatorFile, err)
		}
	}
	if c.pbs != nil {
		if err := c.pbs.check(c); err != nil {
			return nil, fmt.Errorf("operators' settings %s: %w", operatorFile, err)
		}
		c.Queues = c.pbs.queues
	}
	return c, nil
}

func (c *Config) index() {
	c.aimed = make(map[string]bool, len(c.Deployment.Objectives))
	for _, a := range c.Deployment.Objectives {
		c.aimed[a.Class] = true
	}
	c.teams = make(map[string]*Team, len(c.Deployment.Teams))
	for i := range c.Deployment.Teams {
		c.teams[c.Deployment.Teams[i].Name] = &c.Deployment.Teams[i]
	}
}

// Connections is how many the front door may have open: the rest of the files is for the
// others that a controller speaks to.
func (c *Config) Connections() int { return c.Deployment.Limits.FDLimit * 3 / 4 }

// ToWorkers is how many connections to workers may be open.
func (c *Config) ToWorkers() int { return max(8, c.Deployment.Limits.FDLimit/6) }

// Team finds a team by its name, nil if there is none.
func (c *Config) Team(name string) *Team { return c.teams[name] }

// Filler tells whether a job is work that nobody waits for: of the lowest
// priority, and without an aim for its class. It takes what is idle.
func (c *Config) Filler(s *protocol.JobSpec) bool { return s.Priority.Rank() == 0 && !c.aimed[s.Class] }

// Names lists all controllers, this one among them, in one order everywhere.
func (c *Config) Names() []string {
	names := []string{c.Name}
	for _, s := range c.Siblings {
		names = append(names, s.Name)
	}
	for i := range names {
		for j := i; j > 0 && names[j] < names[j-1]; j-- {
			names[j], names[j-1] = names[j-1], names[j]
		}
	}
	return names
}

// ReportEvery is how often a worker reports.
func (c *Config) ReportEvery() time.Duration { return protocol.Seconds(c.Deployment.Workers.ReportS) }

// WorkerLease is for how long a worker's tasks live after the last report that was answered.
func (c *Config) WorkerLease() time.Duration { return protocol.Seconds(c.Deployment.Workers.LeaseS) }

// GangWait is for how long a gang's task waits for the others.
func (c *Config) GangWait() time.Duration { return protocol.Seconds(c.Deployment.Workers.GangWaitS) }

// GangPeer is within what time a gang's tasks notice that another is gone.
func (c *Config) GangPeer() time.Duration { return protocol.Seconds(c.Deployment.Workers.GangPeerS) }

// ListLag is by how much the cloud's list of machines lags.
func (c *Config) ListLag() time.Duration { return protocol.Seconds(c.Deployment.Cloud.ListLagS) }

// RenewFor is for how long after a moment a report may still be answered without knowing
// whether a job was cancelled since: what the answer renews lives for a lease at most, and ends
// within cancel_s of that moment.
func (c *Config) RenewFor() time.Duration {
	return SurelyWithin(protocol.Seconds(c.Deployment.Workers.CancelS)) - Surely(c.WorkerLease())
}

// AnnounceFor is for how long, from when a cancellation is known, siblings that don't acknowledge it
// are waited for before its user is told: what one that has not heard of it renews or starts in that
// time takes nothing from the time that tasks may remain. It is half of RenewFor, so that users are
// held up for seconds and not for as long as a controller may be cut off.
func (c *Config) AnnounceFor() time.Duration { return c.RenewFor() / 2 }

// leastRenew is the least of that with which daledyke can serve: it is told of changes within
// a third of it.
const leastRenew = 3 * time.Second

// WatchFor bounds one wait for changes, and so how old what a controller knows grows while all
// is well.
func (c *Config) WatchFor() time.Duration { return min(3*time.Second, c.RenewFor()/3) }

// drift is more than twice what two steady clocks may drift apart.
const drift = 0.002

// Surely stretches a duration that ran on another machine's clock to one that
// has passed there for certain once it has passed here.
func Surely(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*drift) + 500*time.Millisecond
}

// SurelyWithin shortens a duration to one that ends here for certain before
// it ends on another machine's clock.
func SurelyWithin(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*drift) - surelyMargin
}

const surelyMargin = 300 * time.Millisecond

// SessionTTL is the life of a controller's lease in the state service: half
// the workers' lease, so that a successor can take them over before it ends.
func (c *Config) SessionTTL() time.Duration { return c.WorkerLease() / 2 }

// lower plans for the smaller of the present and the coming limits of the state
// service from the start: they come without notice.
func (c *Config) lower() error {
	s := &c.Deployment.State
	for name, v := range map[string]*float64{"write_rps": s.Next.WriteRPS, "value_kb": s.Next.ValueKB} {
		if v != nil && !(*v > 0) {
			return fmt.Errorf("deployment.state.next.%s must be positive, not %v", name, *v)
		}
	}
	if v := s.Next.WriteRPS; v != nil {
		s.WriteRPS = min(s.WriteRPS, *v)
	}
	if v := s.Next.ValueKB; v != nil {
		s.ValueKB = min(s.ValueKB, *v)
	}
	if v := s.Next.TxnOps; v != nil {
		if *v <= 0 {
			return fmt.Errorf("deployment.state.next.txn_ops must be positive, not %d", *v)
		}
		s.TxnOps = min(s.TxnOps, *v)
	}
	return nil
}

// ValueBytes is the size that no value in the state service may exceed.
func (c *Config) ValueBytes() int { return int(c.Deployment.State.ValueKB * 1024) }
