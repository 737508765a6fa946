package lab

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"olympos.io/encoding/edn"

	"daledyke/internal/config"
	"daledyke/internal/emulator"
	"daledyke/internal/forms"
	"daledyke/internal/protocol"
)

// Overrides are an experiment's replacements for settings of the example deployment. Unset fields keep the
// example's values.
type Overrides struct {
	Zones, ControlZones []string
	Types               []protocol.MachineType
	// MaxByType is the number of machines available per type; types without an entry have no limit of their
	// own.
	MaxByType  map[string]int
	Teams      []config.Team
	Objectives []config.Objective
	// The workers' intervals and timeouts.
	ReportEvery, Lease, GangWait, GangPeer, CancelWithin time.Duration
	State                                                *emulator.Limits
	CloudRPS                                             float64
	ListLag                                              time.Duration
	ClockOffset                                          time.Duration
	// Cores, MemMB and FDLimit are the resource limits of each controller.
	Cores, MemMB, FDLimit float64
}

// setEntry applies one entry of an experiment file that concerns the deployment.
func (o *Overrides) setEntry(head string, values []string, raw []byte) (err error) {
	times := map[string]*time.Duration{"report": &o.ReportEvery, "lease": &o.Lease, "gang-wait": &o.GangWait, "gang-peer": &o.GangPeer,
		"cancel-within": &o.CancelWithin, "clock-off": &o.ClockOffset}
	if target := times[head]; target != nil {
		value, err := singleValue(values)
		if err == nil {
			*target, err = parseDuration(value)
		}
		if err == nil && *target <= 0 {
			err = errors.New("it must be more than nothing")
		}
		return err
	}
	numbers := func(n int, least float64) (v []float64) {
		if len(values) != n {
			err = fmt.Errorf("%d values are needed, not %d", n, len(values))
			return make([]float64, n)
		}
		for _, s := range values {
			x, bad := parseFloat(s, least, 1e9)
			err = errors.Join(err, bad)
			v = append(v, x)
		}
		return v
	}
	switch head {
	case "zones":
		if o.Zones = values; len(values) == 0 || slices.Contains(values, "") {
			err = errors.New("names are needed")
		}
	case "control-zones":
		if o.ControlZones = values; len(values) == 0 {
			err = errors.New("names are needed")
		}
	case "state": // requests per second, writes per second, KB per value, operations per transaction
		v := numbers(4, 1)
		o.State = &emulator.Limits{RPS: v[0], WriteRPS: v[1], ValueKB: v[2], TxnOps: int(v[3])}
	case "cloud": // requests per second, lag of the machine list
		if len(values) != 2 {
			return errors.New("requests a second and the list's lag are needed")
		}
		if o.CloudRPS, err = parseFloat(values[0], 0.1, 1e6); err == nil {
			o.ListLag, err = parseDuration(values[1])
		}
	case "node": // cores, MB of memory, file descriptors
		v := numbers(3, 0.01)
		o.Cores, o.MemMB, o.FDLimit = v[0], v[1], v[2]
	case "aim": // wait|finished CLASS WITHIN SHARE
		if len(values) != 4 || values[0] != "wait" && values[0] != "finished" {
			return errors.New("wait or finished, a class, a time and a share are needed")
		}
		a := config.Objective{Kind: values[0], Class: values[1]}
		within, err := parseDuration(values[2])
		if err != nil {
			return err
		}
		a.WithinS = within.Seconds()
		if a.Share, err = parseFloat(values[3], 0, 1); err == nil {
			o.Objectives = append(o.Objectives, a)
		}
		return err
	case "team":
		return o.setTeam(raw)
	case "type":
		return o.setType(raw)
	default:
		return errors.New("there is no such entry")
	}
	return err
}

// parseAmounts reads the numeric entries of a named form into the targets in allowed and returns the form's
// name. Entries that handled consumes are skipped.
func parseAmounts(raw []byte, kind edn.Symbol, handled func(name string, values []string) bool, allowed map[string][]*float64) (name string, err error) {
	name, entries, err := forms.Named(raw, kind)
	if err != nil {
		return "", err
	}
	for _, e := range entries {
		values, err := valueTexts(e.Values)
		if err != nil || !isPlainName(name) {
			return "", fmt.Errorf("%s %q: %s: names and values must be plain: %v", kind, name, e.Name, err)
		}
		if handled(e.Name, values) {
			continue
		}
		targets, known := allowed[e.Name]
		if !known || len(values) != len(targets) {
			return "", fmt.Errorf("%s %q: %s: no such entry, or not with %d values", kind, name, e.Name, len(values))
		}
		for n, s := range values {
			if *targets[n], err = parseFloat(s, 0, 1e7); err != nil {
				return "", fmt.Errorf("%s %q: %s: %w", kind, name, e.Name, err)
			}
		}
	}
	return name, nil
}

// setTeam reads (team "x" (cpus GUARANTEE LIMIT) (gpus GUARANTEE LIMIT)).
func (o *Overrides) setTeam(raw []byte) (err error) {
	var t config.Team
	t.Name, err = parseAmounts(raw, "team", func(string, []string) bool { return false },
		map[string][]*float64{"cpus": {&t.Cores, &t.CoresMax}, "gpus": {&t.Accels, &t.AccelsMax}})
	if err == nil {
		o.Teams = append(o.Teams, t)
	}
	return err
}

// setType reads (type "x" (cores N) (accels N) (ram GB) (cache GB) (fetch GB/s) (price P SPOT) (boot S) (most
// N) (zones "a" ...)).
func (o *Overrides) setType(raw []byte) (err error) {
	var t protocol.MachineType
	most := -1.0
	t.Name, err = parseAmounts(raw, "type", func(name string, values []string) bool {
		if name == "zones" {
			t.Zones = values
		}
		return name == "zones"
	}, map[string][]*float64{"cores": {&t.Cores}, "accels": {&t.Accels}, "ram": {&t.RAM}, "cache": {&t.CacheGB}, "fetch": {&t.FetchRate},
		"price": {&t.Price, &t.SpotPrice}, "boot": {&t.BootS}, "most": {&most}})
	if err != nil {
		return err
	}
	if t.Cores <= 0 || t.RAM <= 0 || t.FetchRate <= 0 {
		return fmt.Errorf("type %q: it needs cores, ram and fetch", t.Name)
	}
	o.Types = append(o.Types, t)
	if most >= 0 {
		if o.MaxByType == nil {
			o.MaxByType = map[string]int{}
		}
		o.MaxByType[t.Name] = int(most)
	}
	return nil
}

// validate reports contradictions within the resulting deployment.
func (o *Overrides) validate(d *Deployment) error {
	for _, z := range o.ControlZones {
		if !slices.Contains(d.Zones, z) {
			return fmt.Errorf("control-zones: there is no zone %q", z)
		}
	}
	for _, t := range d.Types {
		for _, z := range t.Zones {
			if !slices.Contains(d.Zones, z) {
				return fmt.Errorf("type %q: there is no zone %q", t.Name, z)
			}
		}
	}
	if d.Lease < 2*d.ReportEvery {
		return fmt.Errorf("lease: %v must be at least twice the time between reports, %v", d.Lease, d.ReportEvery)
	}
	return nil
}

// deployment returns the example deployment with the experiment's overrides applied.
func (e *Experiment) deployment() Deployment {
	d, o := Example(e.Controllers, e.Machines), &e.Overrides
	if o.Zones != nil {
		for i := range d.Types {
			d.Types[i].Zones = o.Zones
		}
		d.Zones = o.Zones
	}
	d.ControlZones = o.ControlZones
	if o.Types != nil {
		d.Types, d.MaxByType = slices.Clone(o.Types), o.MaxByType
		for i := range d.Types {
			if d.Types[i].Zones == nil {
				d.Types[i].Zones = d.Zones
			}
		}
	}
	if o.Teams != nil {
		d.Teams = o.Teams
	}
	if o.Objectives != nil {
		d.Objectives = o.Objectives
	}
	for into, v := range map[*time.Duration]time.Duration{&d.ReportEvery: o.ReportEvery, &d.Lease: o.Lease, &d.GangWait: o.GangWait, &d.GangPeer: o.GangPeer,
		&d.CancelWithin: o.CancelWithin, &d.ClockOffset: o.ClockOffset} {
		if v > 0 {
			*into = v
		}
	}
	if o.State != nil {
		d.State = *o.State
	}
	if o.CloudRPS > 0 {
		d.CloudRPS, d.ListLag = o.CloudRPS, o.ListLag
	}
	if o.Cores > 0 {
		d.Cores, d.MemMB, d.FDLimit = o.Cores, o.MemMB, int(o.FDLimit)
	}
	return d
}

// entries formats the overrides as entries that setEntry reads.
func (o *Overrides) entries() (all []string) {
	p := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	if o.Zones != nil {
		p("(zones%s)", quoteValues(o.Zones))
	}
	if o.ControlZones != nil {
		p("(control-zones%s)", quoteValues(o.ControlZones))
	}
	for _, name := range []struct {
		name string
		d    time.Duration
	}{{"report", o.ReportEvery}, {"lease", o.Lease}, {"gang-wait", o.GangWait}, {"gang-peer", o.GangPeer}, {"cancel-within", o.CancelWithin}, {"clock-off", o.ClockOffset}} {
		if name.d > 0 {
			p("(%s %q)", name.name, name.d)
		}
	}
	if s := o.State; s != nil {
		p("(state %v %v %v %d)", s.RPS, s.WriteRPS, s.ValueKB, s.TxnOps)
	}
	if o.CloudRPS > 0 {
		p("(cloud %v %q)", o.CloudRPS, o.ListLag)
	}
	if o.Cores > 0 {
		p("(node %v %v %v)", o.Cores, o.MemMB, o.FDLimit)
	}
	for _, t := range o.Types {
		s := fmt.Sprintf("(type %q (cores %v) (accels %v) (ram %v) (cache %v) (fetch %v) (price %v %v) (boot %v)", t.Name, t.Cores, t.Accels, t.RAM,
			t.CacheGB, t.FetchRate, t.Price, t.SpotPrice, t.BootS)
		if most, bound := o.MaxByType[t.Name]; bound {
			s += fmt.Sprintf(" (most %d)", most)
		}
		if t.Zones != nil {
			s += " (zones" + quoteValues(t.Zones) + ")"
		}
		p("%s)", s)
	}
	for _, t := range o.Teams {
		p("(team %q (cpus %v %v) (gpus %v %v))", t.Name, t.Cores, t.CoresMax, t.Accels, t.AccelsMax)
	}
	for _, a := range o.Objectives {
		p("(aim %s %q %q %v)", a.Kind, a.Class, protocol.Seconds(a.WithinS), a.Share)
	}
	return all
}

func quoteValues(values []string) string {
	var b strings.Builder
	for _, v := range values {
		fmt.Fprintf(&b, " %q", v)
	}
	return b.String()
}
