package config

import (
	"strings"
	"testing"

	"daledyke/internal/protocol"
)

// Limits and guarantees of 0 mean none. Guards against two faults: a limit on one resource applied to all
// jobs of the team, and a guarantee of GPUs alone covered no work, since all work takes CPUs.
func TestLimitsAndGuarantees(t *testing.T) {
	gpus := &Team{Accels: 8, AccelsMax: 16}
	both := &Team{Cores: 10, CoresMax: 20, Accels: 8, AccelsMax: 16}
	none := &Team{}
	cpu, gpu := protocol.Room{Cores: 4, RAM: 8}, protocol.Room{Cores: 4, Accels: 2, RAM: 8}
	use := func(cores, accels float64) protocol.Room { return protocol.Room{Cores: cores, Accels: accels} }
	for name, c := range map[string]struct{ got, want bool }{
		"no GPU, GPUs limited":            {gpus.LimitAppliesTo(cpu), false},
		"a GPU, GPUs limited":             {gpus.LimitAppliesTo(gpu), true},
		"CPUs limited":                    {both.LimitAppliesTo(cpu), true},
		"nothing limited":                 {none.LimitAppliesTo(gpu), false},
		"GPUs within":                     {gpus.WithinGuarantee(gpu, use(400, 8)), true},
		"GPUs over":                       {gpus.WithinGuarantee(gpu, use(4, 10)), false},
		"takes no guaranteed resource":    {gpus.WithinGuarantee(cpu, use(4, 0)), false},
		"one of two over":                 {both.WithinGuarantee(gpu, use(12, 2)), false},
		"nothing guaranteed":              {none.WithinGuarantee(gpu, use(0, 0)), false},
		"over the guarantee of GPUs":      {gpus.ExceedsGuarantee(gpu, use(4, 10)), true},
		"GPUs over, takes none":           {gpus.ExceedsGuarantee(cpu, use(400, 10)), false},
		"within the guarantee":            {gpus.ExceedsGuarantee(gpu, use(400, 8)), false},
		"no guarantee, so all exceeds it": {none.ExceedsGuarantee(cpu, use(4, 0)), true},
		"CPUs over, takes only CPUs":      {both.ExceedsGuarantee(cpu, use(12, 0)), true},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v", name, c.got)
		}
	}
}

// Unusual but valid settings load: controllers in one zone and machines in others, zero limits beside
// positive ones, a guarantee above its limit, objectives without a class, unknown fields. Invalid amounts end
// with an error that names the setting.
func TestSettingsOfTeams(t *testing.T) {
	text := strings.Replace(validSettings, "[deployment]\n", "[deployment]\nzones = [\"outer\", \"inner\"]\n", 1)
	teams := `[[deployment.teams]]
name = "desk"
cpus = 0.0
cpus_max = 0.0
gpus = 70.0
gpus_max = 50.0
weight = 0.5
[[deployment.objectives]]
kind = "guarantee"
within_s = 15.0
share = 0.78
times = 1.0
`
	c, err := load(t, text+teams)
	if err != nil || c.Team("absent") != nil {
		t.Fatal(c, err)
	}
	desk := c.Team("desk")
	if !desk.Admits(protocol.Room{Cores: 1e6, Accels: 50}) || desk.Admits(protocol.Room{Accels: 51}) || !desk.WithinGuarantee(protocol.Room{Cores: 4, Accels: 2}, protocol.Room{Cores: 4, Accels: 2}) {
		t.Errorf("%+v", desk)
	}
	for _, bad := range []string{"gpus_max = nan", "gpus_max = -1.0"} {
		if _, err := load(t, text+strings.Replace(teams, "gpus_max = 50.0", bad, 1)); err == nil || !strings.Contains(err.Error(), "deployment.teams: amounts of desk") {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
