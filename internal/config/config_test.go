package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `host_name = "n0"
front = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
unknown = "is ignored"
[[siblings]]
host_name = "n1"
peer_addr = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
size = 2
[deployment.workers]
report_s = 3.0
lease_s = 26.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 51.0
[deployment.state]
rps = 200.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 12
[deployment.cloud]
rps = 6.0
list_lag_s = 5.0
[deployment.machine_limits]
mem_mb = 125.0
fd_limit = 1800
`

func load(t *testing.T, platform string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(platform), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file, "")
}

// loadWith returns a function that loads operators' settings together with valid platform settings with one
// team.
func loadWith(t *testing.T, team string) func(text string) (*Config, error) {
	dir := t.TempDir()
	platform, operators := filepath.Join(dir, "settings.toml"), filepath.Join(dir, "operators.edn")
	if err := os.WriteFile(platform, []byte(validSettings+"[[deployment.teams]]\nname = \""+team+"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(text string) (*Config, error) {
		if err := os.WriteFile(operators, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return Load(platform, operators)
	}
}

func TestPlatformSettings(t *testing.T) {
	c, err := load(t, validSettings)
	if err != nil || c.WorkerLease() != 26*time.Second || c.Window != 10*time.Second || len(c.ControllerNames()) != 2 {
		t.Fatalf("valid settings were read as %+v, %v", c, err)
	}
	for wantText, change := range map[string][2]string{
		"host_name":      {`host_name = "n0"`, ``},
		"services.state": {`state = "10.2.0.1:2379"`, `state = "nowhere"`},
		"lease_s":        {`lease_s = 26.0`, `lease_s = -1.0`},
		"least 30.0":     {`cancel_s = 51.0`, `cancel_s = 28.0`},
		"txn_ops":        {`txn_ops = 12`, ``},
		"at least 4":     {`txn_ops = 12`, `txn_ops = 2`},
		"too many":       {`value_kb = 8.0`, `value_kb = 0.01`},
		"least 1.5":      {`txn_ops = 12`, "txn_ops = 12\nnext = { value_kb = 1.0 }"},
		"next.value_kb":  {`txn_ops = 12`, "txn_ops = 12\nnext = { value_kb = -2.0 }"},
		"next.write_rps": {`txn_ops = 12`, "txn_ops = 12\nnext = { write_rps = 0.0 }"},
		"next.txn_ops":   {`txn_ops = 12`, "txn_ops = 12\nnext = { txn_ops = 0 }"},
		"4, not 2":       {`txn_ops = 12`, "txn_ops = 12\nnext = { txn_ops = 2 }"},
		"n0":             {`host_name = "n1"`, `host_name = "n0"`},
		"line":           {`[deployment]`, `[deployment`},
	} {
		_, err := load(t, strings.Replace(validSettings, change[0], change[1], 1))
		if err == nil || !strings.Contains(err.Error(), wantText) || strings.Contains(err.Error(), "\n\n") {
			t.Errorf("%q in place of %q: %v", change[1], change[0], err)
		}
	}
}

// The minimum cancel_s that an error names is accepted. A watch request lasts at most a third of the maximum
// staleness, and from 1 to 3 s.
func TestMinimumCancelTimeIsAccepted(t *testing.T) {
	for _, cancelS := range []string{"30.0", "40.0", "51.0"} {
		c, err := load(t, strings.Replace(validSettings, "cancel_s = 51.0", "cancel_s = "+cancelS, 1))
		if err != nil || c.WatchTimeout() > c.MaxRenewalStaleness()/3 || c.WatchTimeout() > 3*time.Second || c.WatchTimeout() < time.Second {
			t.Errorf("cancel_s %s: %v, maximum staleness %v, watch timeout %v", cancelS, err, c.MaxRenewalStaleness(), c.WatchTimeout())
		}
	}
}

// A limit that will fall applies from the start; one that will rise keeps its present value.
func TestLowerOfPresentAndNextLimitsApplies(t *testing.T) {
	c, err := load(t, strings.Replace(validSettings, "txn_ops = 12", "txn_ops = 12\nnext = { txn_ops = 4, value_kb = 2.0, write_rps = 60.0 }", 1))
	if s := &c.Deployment.State; err != nil || s.TxnOps != 4 || c.ValueBytes() != 2048 || s.WriteRPS != 40 {
		t.Errorf("read as %+v, %v", s, err)
	}
}

func TestOperatorSettings(t *testing.T) {
	o := Defaults()
	if err := o.parse([]byte("; ours\n(daledyke (window-s 20) (publish-offset-s 7.5) (sample 3) (spare 0) (moves 0) (patience 0.25))")); err != nil || o.Moves != 0 || o.Patience != 0.25 ||
		o.Window != 20*time.Second || o.PublishOffset != 7500*time.Millisecond || o.Sample != 3 || o.Spare != 0 {
		t.Fatalf("read as %+v, %v", o, err)
	}
	for text, named := range map[string]string{
		`(daledyke (windw-s 20))`:                        "windw-s",
		`(daledyke (window-s soon))`:                     "window-s",
		`(daledyke (sample 2.5))`:                        "sample",
		`(daledyke (window-s 4) (publish-offset-s 4))`:   "publish-offset-s",
		`(other (window-s 20))`:                          "daledyke",
		`(daledyke window-s 20)`:                         "window-s",
		`(daledyke (window-s 20`:                         "list",
		`(daledyke (idle-after-s -3))`:                   "idle-after-s",
		`(daledyke (window-s 1e999))`:                    "window-s",
		`(daledyke (summary-s 2) (spare "much"))`:        "spare",
		`(daledyke (moves -1))`:                          "moves",
		`(daledyke (patience 1.5))`:                      "patience",
		`(daledyke (publish-offset-s 5) (window-s 5.0))`: "publish-offset-s",
	} {
		o := Defaults()
		if err := o.parse([]byte(text)); err == nil || !strings.Contains(err.Error(), named) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func FuzzOperatorSettings(f *testing.F) {
	f.Add([]byte("(daledyke (window-s 20))"))
	f.Add([]byte("(daledyke (sample \"x\") #{1 2})"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		o := Defaults()
		if o.parse(raw) == nil && (o.Window <= 0 || o.PublishOffset >= o.Window || o.Sample < 1) {
			t.Errorf("accepted, but invalid: %q gives %+v", raw, o)
		}
	})
}

// Errors in queues name their line.
func TestQueues(t *testing.T) {
	load := loadWith(t, "vision")
	const queue = `(queue "a" (team "vision") (class "c") (image "i") (urgency "normal") (walltime "1:00"))`
	c, err := load("(daledyke (pbs\n" + queue + `(queue "b" (default true) (team "vision") (class "c") (image "i") (urgency "idle") (walltime "60") (types "x" "y") (spot true) (most-cpus 4))))`)
	if err != nil || len(c.Queues) != 2 || c.Queues[0].Walltime != time.Minute || !c.Queues[1].Default || len(c.Queues[1].Types) != 2 || c.Queues[1].MaxPerTask.Cores != 4 {
		t.Fatalf("read as %+v, %v", c, err)
	}
	for text, named := range map[string]string{
		"(daledyke (pbs\n" + queue + "\n" + queue + "))":                                                                               `line 3: queue "a" is there twice`,
		"(daledyke (pbs\n" + strings.Replace(queue, "vision", "night", 1) + "))":                                                       `line 2: queue "a": the platform knows no team "night"`,
		"(daledyke (pbs\n" + strings.Replace(queue, "normal", "critical", 1) + "))":                                                    `line 2: queue "a": urgency: it is idle, normal or high`,
		"(daledyke (pbs\n" + strings.Replace(queue, "1:00", "soon", 1) + "))":                                                          `line 2: queue "a": walltime: "soon"`,
		"(daledyke (pbs\n" + strings.Replace(queue, "(image", "(picture", 1) + "))":                                                    `line 2: queue "a": picture: there is no such entry`,
		"(daledyke (pbs\n" + strings.Replace(queue, "(class \"c\")", "", 1) + "))":                                                     `line 2: queue "a": class and image`,
		"(daledyke (pbs " + queue + ")\n(pbs " + queue + "))":                                                                          `line 2: queues are there twice`,
		"(daledyke (quotas (account \"vision\"))\n(pbs " + strings.Replace(queue, "(class", "(account \"vision/x\") (class", 1) + "))": `line 2: queue "a": there is no account "vision/x"`,
	} {
		if _, err := load(text); err == nil || !strings.Contains(err.Error(), named) {
			t.Errorf("%s\n%v", text, err)
		}
	}
}

// Errors in quotas name their line and account.
func TestQuotas(t *testing.T) {
	load := loadWith(t, "hosting")
	c, err := load("(daledyke\n  (quotas ; ours\n    (account \"hosting\" (cpus 40 60) (gpus 8))\n    (account \"hosting/songshan\" (cpus 10 30.5) (weight 2)))\n  (sample 5))")
	if err != nil || c.Sample != 5 || !c.Quotas.HasTeam("hosting") {
		t.Fatalf("read as %+v, %v", c, err)
	}
	if a, ok := c.Quotas.Find("hosting/songshan"); !ok || a.Guarantee.Cores != 10 || a.Limit.Cores != 30.5 || a.Weight != 2 {
		t.Errorf("%+v", a)
	}
	for text, named := range map[string]string{
		"(daledyke\n (quotas\n  (account \"hosting\")\n  (account \"hosting\")))":                       `line 4: account "hosting": it is there twice`,
		"(daledyke (quotas\n  (account \"hosting\" (cpus 5 9))\n\n  (account \"hosting/a\" (cpus 6))))": `line 4: account "hosting/a": with its siblings`,
		"(daledyke (quotas\n  (account \"other\")))":                                                    `line 2: account "other": the platform knows no such team`,
		"(daledyke (quotas (account \"hosting\" (cpus 9 5))))":                                          `line 1: account "hosting": its guarantee is above its limit`,
		"(daledyke (quotas (account \"hosting/a\")))":                                                   `line 1: account "hosting/a": the account above it is missing`,
		"(daledyke (quotas\n(account \"hosting\" (cpus -1))))":                                          `line 2: account "hosting": amounts`,
		"(daledyke (quotas\n(account \"hosting\" (cpus much))))":                                        `line 2: account "hosting": cpus: not a number: much`,
		"(daledyke (quotas\n(account \"hosting\" (disks 1))))":                                          `line 2: account "hosting": unknown resource disks`,
		"(daledyke (quotas\n(account \"hosting\" (cpus 1) (cpus 2))))":                                  `line 2: account "hosting": cpus is there twice`,
		"(daledyke (quotas\n(account hosting)))":                                                        `line 2: not an account`,
		"(daledyke (quotas (account \"hosting\"))\n(quotas (account \"hosting\")))":                     `line 2: quotas are there twice`,
		"(daledyke (quotas\n(account \"hosting\" (weight 0))))":                                         `line 2: account "hosting": weight`,
	} {
		if _, err := load(text); err == nil || !strings.Contains(err.Error(), named) {
			t.Errorf("%s\n%v", text, err)
		}
	}
}
