package config

import (
	"daledyke/internal/forms"
	"fmt"
	"os"
	"time"

	"olympos.io/encoding/edn"
)

// OperatorSettings holds the operators' own settings; every one has a default.
type OperatorSettings struct {
	// Window is the duration of a window, during which one division of the ring applies.
	Window time.Duration
	// PublishOffset is the time from the start of a window to the publication of the next one.
	PublishOffset time.Duration
	// SummaryEvery is the interval at which holders send summaries while nothing changes.
	SummaryEvery time.Duration
	// Sample is the number of machines that are sampled for a best fit.
	Sample int
	// IdleAfter is for how long a machine may be idle before it is returned to the cloud.
	IdleAfter time.Duration
	// Spare scales the capacity that is kept free for urgent work.
	Spare float64
	// Moves is the maximum number of service replicas moved per minute in order to free machines that run
	// nothing else, which can then be returned; 0 disables moves.
	Moves float64
	// Patience is the maximum wait of a task for capacity on a machine that has its image, as a fraction of
	// the image's fetch time; 0 disables the wait.
	Patience float64
	// quotas is the form (quotas ...), nil if there is none.
	quotas *quotaForm
	// pbs is the form (pbs ...), nil if there is none.
	pbs *pbsForm
}

// Defaults returns the operators' settings that apply where their file sets nothing.
func Defaults() OperatorSettings {
	return OperatorSettings{Window: 10 * time.Second, PublishOffset: 5 * time.Second, SummaryEvery: 2 * time.Second,
		Sample: 6, IdleAfter: 20 * time.Second, Spare: 1, Moves: 60, Patience: 0.5}
}

// load reads a file such as
//
//	(daledyke (window-s 10) (publish-offset-s 5) (summary-s 2) (sample 6))
//
// and rejects unknown names.
func (o *OperatorSettings) load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return o.parse(raw)
}

func (o *OperatorSettings) parse(raw []byte) error {
	var form []edn.RawMessage
	if err := edn.Unmarshal(raw, &form); err != nil {
		return fmt.Errorf("not one list of settings: %w", err)
	}
	list, ok := forms.Items(raw, "daledyke", 1)
	if !ok {
		return fmt.Errorf("the list must begin with daledyke")
	}
	for _, part := range list {
		item, line := part.Raw, part.Line
		if q, err := parseQuotas(item, line); q != nil || err != nil {
			if err == nil && o.quotas != nil {
				err = fmt.Errorf("line %d: quotas are there twice", q.line)
			}
			if err != nil {
				return err
			}
			o.quotas = q
			continue
		}
		if f, err := parseQueues(item, line); f != nil || err != nil {
			if err == nil && o.pbs != nil {
				err = fmt.Errorf("line %d: queues are there twice", f.line)
			}
			if err != nil {
				return err
			}
			o.pbs = f
			continue
		}
		var pair []edn.RawMessage
		var name edn.Symbol
		if err := edn.Unmarshal(item, &pair); err != nil || len(pair) != 2 || edn.Unmarshal(pair[0], &name) != nil {
			return fmt.Errorf("not a pair of name and number: %s", item)
		}
		v, ok := forms.Number(pair[1])
		if !ok {
			return fmt.Errorf("%s: not a number: %s", name, pair[1])
		}
		if err := o.set(string(name), v); err != nil {
			return err
		}
	}
	if o.PublishOffset >= o.Window {
		return fmt.Errorf("publish-offset-s must be less than window-s")
	}
	return nil
}

func (o *OperatorSettings) set(name string, v float64) error {
	seconds := func(d *time.Duration, least, most float64) error {
		if !(v >= least && v <= most) {
			return fmt.Errorf("%s must be from %v to %v, not %v", name, least, most, v)
		}
		*d = time.Duration(v * float64(time.Second))
		return nil
	}
	switch name {
	case "window-s":
		return seconds(&o.Window, 2, 600)
	case "publish-offset-s":
		return seconds(&o.PublishOffset, 0.5, 600)
	case "summary-s":
		return seconds(&o.SummaryEvery, 0.2, 30)
	case "idle-after-s":
		return seconds(&o.IdleAfter, 5, 86400)
	case "sample":
		if v < 1 || v > 1000 || v != float64(int(v)) {
			return fmt.Errorf("sample must be a whole number from 1 to 1000, not %v", v)
		}
		o.Sample = int(v)
	case "spare":
		if !(v >= 0 && v <= 10) {
			return fmt.Errorf("spare must be from 0 to 10, not %v", v)
		}
		o.Spare = v
	case "moves":
		if !(v >= 0 && v <= 10000) {
			return fmt.Errorf("moves must be from 0 to 10000 a minute, not %v", v)
		}
		o.Moves = v
	case "patience":
		if !(v >= 0 && v <= 1) {
			return fmt.Errorf("patience must be from 0 to 1, not %v", v)
		}
		o.Patience = v
	default:
		return fmt.Errorf("unknown setting %s", name)
	}
	return nil
}
