// Package config reads the settings of a controller: the settings file that the platform provides (TOML) and
// the operators' own file (an S-expression, parsed as EDN).
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

// HasLimit reports whether any limit applies to the team.
func (t *Team) HasLimit() bool { return t.CoresMax > 0 || t.AccelsMax > 0 }

// Admits reports whether a total use is within the team's limits.
func (t *Team) Admits(use protocol.Room) bool {
	const slack = 1e-6
	return (t.CoresMax <= 0 || use.Cores <= t.CoresMax+slack) && (t.AccelsMax <= 0 || use.Accels <= t.AccelsMax+slack)
}

// LimitAppliesTo reports whether work with this need takes any resource that the team is limited in.
func (t *Team) LimitAppliesTo(need protocol.Room) bool {
	return t.CoresMax > 0 && need.Cores > 0 || t.AccelsMax > 0 && need.Accels > 0
}

// HasGuarantee reports whether the team has a guarantee for any resource.
func (t *Team) HasGuarantee() bool { return t.Cores > 0 || t.Accels > 0 }

// WithinGuarantee reports whether work with this need is covered by the team's guarantee when the team's
// tasks, including that work, use the given total. The work must take at least one resource that is
// guaranteed (above 0), and the use of each guaranteed resource must be within its guarantee. Resources
// without a guarantee are not compared: otherwise a guarantee of GPUs alone would cover no work, since all
// work takes CPUs.
func (t *Team) WithinGuarantee(need, use protocol.Room) bool {
	const slack = 1e-6
	covers := t.Cores > 0 && need.Cores > 0 || t.Accels > 0 && need.Accels > 0
	return covers && (t.Cores <= 0 || use.Cores <= t.Cores+slack) && (t.Accels <= 0 || use.Accels <= t.Accels+slack)
}

// ExceedsGuarantee reports whether work with this need takes a resource of which the team, with the given
// total use, uses more than its guarantee. All work of a team without any guarantee exceeds it.
func (t *Team) ExceedsGuarantee(need, use protocol.Room) bool {
	const slack = 1e-6
	return !t.HasGuarantee() || t.Cores > 0 && need.Cores > 0 && use.Cores > t.Cores+slack || t.Accels > 0 && need.Accels > 0 && use.Accels > t.Accels+slack
}

// Objective is a service level objective stated by the users.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// PlatformSettings is the content of one controller's settings file.
type PlatformSettings struct {
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
			// Next holds limits that will apply from an unannounced time on; absent ones stay as they are.
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

// Config holds all settings of a controller.
type Config struct {
	PlatformSettings
	OperatorSettings
	// Quotas divide the teams' limits among accounts, nil if the operators set none.
	Quotas *quota.Tree
	// Queues are the queues of PBS scripts, nil if the operators set none.
	Queues           pbs.Queues
	teams            map[string]*Team
	objectiveClasses map[string]bool
}

// Load reads and checks the platform's settings, and the operators' own if operatorFile is given.
func Load(platformFile, operatorFile string) (*Config, error) {
	c := &Config{OperatorSettings: Defaults()}
	if _, err := toml.DecodeFile(platformFile, &c.PlatformSettings); err != nil {
		return nil, fmt.Errorf("settings %s: %w", platformFile, err)
	}
	err := c.applyNextLimits()
	if err == nil {
		err = c.check()
	}
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", platformFile, err)
	}
	if operatorFile != "" {
		if err := c.OperatorSettings.load(operatorFile); err != nil {
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
	c.objectiveClasses = make(map[string]bool, len(c.Deployment.Objectives))
	for _, a := range c.Deployment.Objectives {
		c.objectiveClasses[a.Class] = true
	}
	c.teams = make(map[string]*Team, len(c.Deployment.Teams))
	for i := range c.Deployment.Teams {
		c.teams[c.Deployment.Teams[i].Name] = &c.Deployment.Teams[i]
	}
}

// MaxFrontConnections is the maximum number of connections of users and workers to this controller. The
// remaining file descriptors are for its connections to others.
func (c *Config) MaxFrontConnections() int { return c.Deployment.Limits.FDLimit * 3 / 4 }

// MaxWorkerConnections is the maximum number of open connections to workers.
func (c *Config) MaxWorkerConnections() int { return max(8, c.Deployment.Limits.FDLimit/6) }

// Team returns the team with a name, nil if there is none.
func (c *Config) Team(name string) *Team { return c.teams[name] }

// Filler reports whether a job is best-effort work that runs only on idle capacity: it has the lowest priority,
// and its class has no objective.
func (c *Config) Filler(s *protocol.JobSpec) bool {
	return s.Priority.Rank() == 0 && !c.objectiveClasses[s.Class]
}

// ControllerNames lists all controllers including this one, in the same order on each controller.
func (c *Config) ControllerNames() []string {
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

// ReportEvery is the interval between a worker's reports.
func (c *Config) ReportEvery() time.Duration { return protocol.Seconds(c.Deployment.Workers.ReportS) }

// WorkerLease is for how long a worker's tasks run after its last acknowledged report.
func (c *Config) WorkerLease() time.Duration { return protocol.Seconds(c.Deployment.Workers.LeaseS) }

// GangWait is for how long a gang's task waits for the gang's other tasks.
func (c *Config) GangWait() time.Duration { return protocol.Seconds(c.Deployment.Workers.GangWaitS) }

// GangPeer is the time within which a gang's tasks detect the loss of another.
func (c *Config) GangPeer() time.Duration { return protocol.Seconds(c.Deployment.Workers.GangPeerS) }

// ListLag is the maximum age of the cloud's list of machines.
func (c *Config) ListLag() time.Duration { return protocol.Seconds(c.Deployment.Cloud.ListLagS) }

// MaxRenewalStaleness is the maximum age of a controller's knowledge of cancellations with which it may still
// answer a report. The answer renews tasks for at most a lease, so a task whose job was cancelled in the
// meantime ends within cancel_s of the cancellation.
func (c *Config) MaxRenewalStaleness() time.Duration {
	return LocalLowerBound(protocol.Seconds(c.Deployment.Workers.CancelS)) - LocalUpperBound(c.WorkerLease())
}

// CancellationAckTimeout bounds the wait for siblings to acknowledge a cancellation before the user gets the
// answer. The wait doesn't shorten the time that a cancelled job's tasks have to end, including those that an
// unaware sibling renews or starts during the wait. The bound is half of MaxRenewalStaleness, so that users
// wait for seconds, not for as long as a controller may be partitioned.
func (c *Config) CancellationAckTimeout() time.Duration { return c.MaxRenewalStaleness() / 2 }

// minRenewalStaleness is the smallest supported MaxRenewalStaleness. A watch request then lasts at most a third
// of it (WatchTimeout).
const minRenewalStaleness = 3 * time.Second

// WatchTimeout bounds one watch request for changes, and so the age of a controller's knowledge while the state
// service responds.
func (c *Config) WatchTimeout() time.Duration { return min(3*time.Second, c.MaxRenewalStaleness()/3) }

// maxClockDrift is more than twice the rate at which two healthy clocks may drift apart.
const maxClockDrift = 0.002

// LocalUpperBound converts a duration on another machine's clock to a longer local one: when the result has
// passed here, the duration has certainly passed there.
func LocalUpperBound(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxClockDrift) + 500*time.Millisecond
}

// LocalLowerBound converts a duration on another machine's clock to a shorter local one: when the duration ends
// there, the result has certainly passed here.
func LocalLowerBound(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*maxClockDrift) - clockMargin
}

const clockMargin = 300 * time.Millisecond

// SessionTTL is the duration of a controller's lease in the state service: half the workers' lease, so that a
// successor can take the workers over before their leases end.
func (c *Config) SessionTTL() time.Duration { return c.WorkerLease() / 2 }

// applyNextLimits replaces each limit of the state service by the lower of its present and next value, since
// the next ones take effect without notice.
func (c *Config) applyNextLimits() error {
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

// ValueBytes is the maximum size of a value in the state service.
func (c *Config) ValueBytes() int { return int(c.Deployment.State.ValueKB * 1024) }
