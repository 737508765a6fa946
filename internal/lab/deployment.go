// Package lab experiments with daledyke in a world that is played: an experiment says
// what the deployment is, what work comes and what fails when; the lab runs it in virtual
// time in one process or in real time on loopback, keeps all that happened, checks the
// rules over it, and compares.
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

// Deployment is the example deployment that experiments and `daledyke up` use.
type Deployment struct {
	Controllers []string
	Zones       []string
	// Control are the zones of the controllers, in turn; nil: those of the machines.
	Control    []string
	Types      []protocol.MachineType
	Teams      []config.Team
	Objectives []config.Objective
	// Machines is how many there can be at once, and Most how many of some types.
	Machines int
	Most     map[string]int
	// The workers' times.
	ReportEvery, Lease, GangWait, GangPeer, CancelWithin time.Duration
	State                                                emulator.Limits
	CloudRPS                                             float64
	ListLag                                              time.Duration
	ClockOff                                             time.Duration
	// Cores, MemMB and Files are what each controller has.
	Cores, MemMB float64
	Files        int
}

// Example is a deployment of so many controllers and machines. Its numbers are its own:
// a printer's works with three kinds of work.
func Example(controllers, machines int) Deployment {
	d := Deployment{Zones: []string{"north", "south", "west"}, Machines: machines,
		ReportEvery: 4 * time.Second, Lease: 24 * time.Second, GangWait: 40 * time.Second, GangPeer: 4 * time.Second, CancelWithin: 45 * time.Second,
		CloudRPS: 12, ListLag: 4 * time.Second, ClockOff: 200 * time.Millisecond, Cores: 0.25, MemMB: 160, Files: 1500}
	// The state service grows with the deployment, as one would rent it.
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

// Hasten has machines boot and fetch so many times faster: nobody who tries the program
// wants to wait for a machine that is none.
func (d *Deployment) Hasten(by float64) {
	for i := range d.Types {
		d.Types[i].BootS /= by
		d.Types[i].FetchRate *= by
	}
}

// Setup is the world around the deployment's controllers. A world that varies strays
// from its nominal values as far as the protocol lets it.
func (d *Deployment) Setup(seed uint64, varies bool) emulator.Setup {
	s := emulator.Setup{Controllers: d.Controllers, Types: d.Types, Teams: d.Teams, Capacity: d.Machines, MaxByType: d.Most, CloudRPS: d.CloudRPS, State: d.State,
		ReportEvery: d.ReportEvery, Lease: d.Lease, GangWait: d.GangWait, GangPeer: d.GangPeer, CancelWithin: d.CancelWithin, Seed: seed}
	if varies {
		s.Variation = emulator.Variation{Boots: true, NeverUp: 0.01, Speeds: true, Reports: true, Prices: true, ListLag: d.ListLag}
	}
	return s
}

// Addresses are where everything of a deployment listens.
type Addresses struct {
	// Front, Inner and State are by controller; State is the state service's door for it.
	Front, Inner, State map[string]string
	Cloud               string
}

// Platform is the settings file of one controller.
func (d *Deployment) Platform(name string, a Addresses) config.Platform {
	p := config.Platform{Name: name, Front: a.Front[name], Internal: a.Inner[name]}
	p.Services.Cloud, p.Services.State = a.Cloud, a.State[name]
	for n, other := range d.Controllers {
		zone := d.controlZone(n)
		if other == name {
			p.Zone = zone
			continue
		}
		p.Siblings = append(p.Siblings, config.Sibling{Name: other, Zone: zone, Addr: a.Inner[other]})
	}
	q := &p.Deployment
	q.Size, q.Zones, q.ClockOffMs, q.Teams, q.Objectives = len(d.Controllers), d.Zones, float64(d.ClockOff.Milliseconds()), d.Teams, d.Objectives
	q.Workers.ReportS, q.Workers.LeaseS = d.ReportEvery.Seconds(), d.Lease.Seconds()
	q.Workers.GangWaitS, q.Workers.GangPeerS, q.Workers.CancelS = d.GangWait.Seconds(), d.GangPeer.Seconds(), d.CancelWithin.Seconds()
	q.State.RPS, q.State.WriteRPS, q.State.ValueKB, q.State.TxnOps = d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps
	q.Cloud.RPS, q.Cloud.ListLagS = d.CloudRPS, d.ListLag.Seconds()
	q.Limits.Cores, q.Limits.MemMB, q.Limits.FDLimit = d.Cores, d.MemMB, d.Files
	return p
}

// zone is the zone of a controller.
func (d *Deployment) zone(controller string) string {
	for n, name := range d.Controllers {
		if name == controller {
			return d.controlZone(n)
		}
	}
	return ""
}

// controlZone is the zone of the controller with a number.
func (d *Deployment) controlZone(n int) string {
	if len(d.Control) > 0 {
		return d.Control[n%len(d.Control)]
	}
	return d.Zones[n%len(d.Zones)]
}

// WriteSettings writes the settings files of all controllers into a directory and gives
// their names.
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
