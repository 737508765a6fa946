package placement

import (
	"testing"
	"time"
)

// Faulty jobs fail on every machine, faulty machines fail every job. Guards against returning a healthy machine
// because of two faulty jobs, which happened.
func TestFaultAttribution(t *testing.T) {
	const sound, unknown = true, false
	for name, c := range map[string]struct {
		failedOn  map[string]bool
		succeeded bool
		want      Verdict
	}{
		"failed on one machine":                    {map[string]bool{"m1": sound}, false, Undecided},
		"failed on two sound machines":             {map[string]bool{"m1": sound, "m2": sound}, false, AtFault},
		"failed on a sound and an unknown machine": {map[string]bool{"m1": sound, "m2": unknown}, false, Undecided},
		"failed on three unknown machines":         {map[string]bool{"m1": unknown, "m2": unknown, "m3": unknown}, false, AtFault},
		"succeeded elsewhere":                      {map[string]bool{"m1": sound, "m2": sound, "m3": sound}, true, NotAtFault},
		"succeeded after it was judged at fault":   {map[string]bool{"m1": sound}, true, NotAtFault},
	} {
		if got := JudgeJob(c.failedOn, c.succeeded); got != c.want {
			t.Errorf("%s: verdict %v", name, got)
		}
	}
	for name, c := range map[string]struct {
		verdicts            []Verdict
		quarantinedFor      time.Duration
		quarantine, suspect bool
	}{
		"one job not at fault":                  {[]Verdict{NotAtFault}, 0, false, false},
		"two jobs not at fault":                 {[]Verdict{NotAtFault, NotAtFault}, 0, true, true},
		"an undecided job and one not at fault": {[]Verdict{Undecided, NotAtFault}, 0, true, false},
		"two undecided jobs, quarantine over":   {[]Verdict{Undecided, Undecided}, 2 * time.Minute, true, true},
		"three undecided jobs":                  {[]Verdict{Undecided, Undecided, Undecided}, 0, true, true},
		"jobs at fault":                         {[]Verdict{AtFault, AtFault, AtFault}, 0, false, false},
		"jobs at fault and one not at fault":    {[]Verdict{AtFault, AtFault, NotAtFault}, 0, false, false},
		"nothing failed since a success":        {nil, time.Hour, false, false},
	} {
		if quarantine, suspect := JudgeMachine(c.verdicts, c.quarantinedFor); quarantine != c.quarantine || suspect != c.suspect {
			t.Errorf("%s: quarantine %v, suspect %v", name, quarantine, suspect)
		}
	}
}
