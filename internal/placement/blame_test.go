package placement

import (
	"testing"
	"time"
)

// Jobs with a mistake fail on every machine, faulty machines fail every job.
// Once, two such jobs had a healthy machine thrown away.
func TestWhoIsToBlame(t *testing.T) {
	const sound, unknown = true, false
	for name, c := range map[string]struct {
		on        map[string]bool
		succeeded bool
		want      Opinion
	}{
		"one machine says nothing":                 {map[string]bool{"m1": sound}, false, Undecided},
		"two on which others succeed tell":         {map[string]bool{"m1": sound, "m2": sound}, false, AtFault},
		"two of which nothing is known do not":     {map[string]bool{"m1": sound, "m2": unknown}, false, Undecided},
		"three do":                                 {map[string]bool{"m1": unknown, "m2": unknown, "m3": unknown}, false, AtFault},
		"who succeeds anywhere is innocent":        {map[string]bool{"m1": sound, "m2": sound, "m3": sound}, true, Innocent},
		"also after it was thought to be at fault": {map[string]bool{"m1": sound}, true, Innocent},
	} {
		if got := JudgeJob(c.on, c.succeeded); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	for name, c := range map[string]struct {
		by             []Opinion
		doubted        time.Duration
		doubt, suspect bool
	}{
		"one failure":                    {[]Opinion{Innocent}, 0, false, false},
		"two innocent jobs":              {[]Opinion{Innocent, Innocent}, 0, true, true},
		"two that may be":                {[]Opinion{Undecided, Innocent}, 0, true, false},
		"but not for ever":               {[]Opinion{Undecided, Undecided}, 2 * time.Minute, true, true},
		"three that may be":              {[]Opinion{Undecided, Undecided, Undecided}, 0, true, true},
		"jobs that fail everywhere":      {[]Opinion{AtFault, AtFault, AtFault}, 0, false, false},
		"beside one that does not":       {[]Opinion{AtFault, AtFault, Innocent}, 0, false, false},
		"nothing failed since it worked": {nil, time.Hour, false, false},
	} {
		if doubt, suspect := JudgeMachine(c.by, c.doubted); doubt != c.doubt || suspect != c.suspect {
			t.Errorf("%s: doubt %v, suspect %v", name, doubt, suspect)
		}
	}
}
