// Package lab runs experiments with daledyke in an emulated world. An experiment describes a deployment, its
// load and the faults to inject. The lab runs it in virtual time in one process or in real time on loopback,
// records all events, checks the rules of the protocol on them, and compares the results.
package lab

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"

	"daledyke/internal/config"
	"daledyke/internal/emulator"
	"daledyke/internal/protocol"
)

// Deployment describes a deployment for experiments and `daledyke up`.
type Deployment struct {
	Controllers []string
	Zones       []string
	// ControlZones are assigned to the controllers in rotation; nil selects the zones of the machines.
	ControlZones []string
	Types        []protocol.MachineType
	Teams        []config.Team
	Objectives   []config.Objective
	// Machines is the maximum number of machines, and MaxByType the maximum for some types.
	Machines  int
	MaxByType map[string]int
	// The workers' intervals and timeouts.
	ReportEvery, Lease, GangWait, GangPeer, CancelWithin time.Duration
	State                                                emulator.Limits
	CloudRPS                                             float64
	ListLag                                              time.Duration
	ClockOffset                                          time.Duration
	// Cores, MemMB and FDLimit are the resource limits of each controller.
	Cores, MemMB float64
	FDLimit      int
}

// Example returns a deployment with the given numbers of controllers and machines. Its figures describe a
// fictional printing company with three classes of jobs.
func Example(controllers, machines int) Deployment {
	d := Deployment{Zones: []string{"north", "south", "west"}, Machines: machines,
		ReportEvery: 4 * time.Second, Lease: 24 * time.Second, GangWait: 40 * time.Second, GangPeer: 4 * time.Second, CancelWithin: 45 * time.Second,
		CloudRPS: 12, ListLag: 4 * time.Second, ClockOffset: 200 * time.Millisecond, Cores: 0.25, MemMB: 160, FDLimit: 1500}
	// The limits of the state service grow with the deployment.
	d.State = emulator.Limits{RPS: 200 + float64(machines), WriteRPS: 120 + float64(machines)/4, ValueKB: 8, TxnOps: 24}
	for n := range controllers {
		d.Controllers = append(d.Controllers, fmt.Sprintf("press-%d", n))
	}
	d.Types = []protocol.MachineType{
		{Name: "plain", Cores: 16, RAM: 64, CacheGB: 60, FetchRate: 0.8, Price: 1.6, SpotPrice: 0.6, BootS: 25, Zones: d.Zones},
		{Name: "wide", Cores: 64, RAM: 512, CacheGB: 120, FetchRate: 1, Price: 6, SpotPrice: 2.1, BootS: 35, Zones: d.Zones},
		{Name: "accel", Cores: 32, Accels: 4, RAM: 256, CacheGB: 120, FetchRate: 1, Price: 9, SpotPrice: 3.4, BootS: 45, Zones: d.Zones[:2]},
	}
	size := float64(machines)
	d.Teams = []config.Team{{Name: "desk"}, {Name: "plates", Cores: 6 * size, Accels: size / 8}, {Name: "archive", CoresMax: 8 * size}}
	d.Objectives = []config.Objective{
		{Kind: "wait", Class: "proof", WithinS: 15, Share: 0.9},
		{Kind: "finished", Class: "render", WithinS: 240, Share: 0.9},
		{Kind: "wait", Class: "learn", WithinS: 90, Share: 0.8},
	}
	return d
}

// SpeedUp makes machines boot and fetch images faster by a factor, so that a demonstration does not wait for
// emulated machines.
func (d *Deployment) SpeedUp(factor float64) {
	for i := range d.Types {
		d.Types[i].BootS /= factor
		d.Types[i].FetchRate *= factor
	}
}

// Setup returns the settings of the emulated world around the deployment's controllers. If varies is set, the
// world deviates from its nominal values as far as the protocol allows.
func (d *Deployment) Setup(seed uint64, varies bool) emulator.Setup {
	s := emulator.Setup{Controllers: d.Controllers, Types: d.Types, Teams: d.Teams, Capacity: d.Machines, MaxByType: d.MaxByType, CloudRPS: d.CloudRPS, State: d.State,
		ReportEvery: d.ReportEvery, Lease: d.Lease, GangWait: d.GangWait, GangPeer: d.GangPeer, CancelWithin: d.CancelWithin, Seed: seed}
	if varies {
		s.Variation = emulator.Variation{Boots: true, NeverUp: 0.01, Speeds: true, Reports: true, Prices: true, ListLag: d.ListLag}
	}
	return s
}

// Addresses are the listening addresses of a deployment.
type Addresses struct {
	// Front, Inner and State are keyed by controller; State is the address at which the state service serves
	// it.
	Front, Inner, State map[string]string
	Cloud               string
}

// Platform returns the contents of one controller's settings file.
func (d *Deployment) Platform(name string, a Addresses) config.PlatformSettings {
	p := config.PlatformSettings{Name: name, Front: a.Front[name], Internal: a.Inner[name]}
	p.Services.Cloud, p.Services.State = a.Cloud, a.State[name]
	for n, other := range d.Controllers {
		zone := d.controlZone(n)
		if other == name {
			p.Zone = zone
			continue
		}
		p.Siblings = append(p.Siblings, config.Sibling{Name: other, Zone: zone, Addr: a.Inner[other]})
	}
	settings := &p.Deployment
	settings.Size, settings.Zones, settings.ClockOffMs, settings.Teams, settings.Objectives = len(d.Controllers), d.Zones, float64(d.ClockOffset.Milliseconds()), d.Teams, d.Objectives
	settings.Workers.ReportS, settings.Workers.LeaseS = d.ReportEvery.Seconds(), d.Lease.Seconds()
	settings.Workers.GangWaitS, settings.Workers.GangPeerS, settings.Workers.CancelS = d.GangWait.Seconds(), d.GangPeer.Seconds(), d.CancelWithin.Seconds()
	settings.State.RPS, settings.State.WriteRPS, settings.State.ValueKB, settings.State.TxnOps = d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps
	settings.Cloud.RPS, settings.Cloud.ListLagS = d.CloudRPS, d.ListLag.Seconds()
	settings.Limits.Cores, settings.Limits.MemMB, settings.Limits.FDLimit = d.Cores, d.MemMB, d.FDLimit
	return p
}

// zone returns the zone of a controller, or "" for an unknown name.
func (d *Deployment) zone(controller string) string {
	for n, name := range d.Controllers {
		if name == controller {
			return d.controlZone(n)
		}
	}
	return ""
}

// controlZone returns the zone of the controller with an index.
func (d *Deployment) controlZone(n int) string {
	if len(d.ControlZones) > 0 {
		return d.ControlZones[n%len(d.ControlZones)]
	}
	return d.Zones[n%len(d.Zones)]
}

// WriteSettings writes the settings files of all controllers into a directory and returns their names by
// controller.
func (d *Deployment) WriteSettings(dir string, a Addresses) (files map[string]string, err error) {
	files = map[string]string{}
	for _, name := range d.Controllers {
		var b bytes.Buffer
		if err := toml.NewEncoder(&b).Encode(d.Platform(name, a)); err != nil {
			return nil, fmt.Errorf("settings of %s: %w", name, err)
		}
		files[name] = filepath.Join(dir, name+".toml")
		if err := os.WriteFile(files[name], b.Bytes(), 0o600); err != nil {
			return nil, err
		}
	}
	return files, nil
}
