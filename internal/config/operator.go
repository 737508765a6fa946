package config

import (
	"daledyke/internal/forms"
	"fmt"
	"os"
	"time"

	"olympos.io/encoding/edn"
)

// Operator holds the operators' own settings; every one has a default.
type Operator struct {
	// Window is how long one division of the ring stands.
	Window time.Duration
	// PublishOffset is how far into a window the next one is published.
	PublishOffset time.Duration
	// SummaryEvery is how often holders send summaries when nothing changes.
	SummaryEvery time.Duration
	// Sample is how many machines are drawn for a best fit.
	Sample int
	// IdleAfter is how long a machine may stand idle before it is returned.
	IdleAfter time.Duration
	// Spare scales the room that is kept ready for work in a hurry.
	Spare float64
	// Moves is how many of the services' replicas are moved in a minute at most, so that
	// machines which only they keep can be given back; 0 for none.
	Moves float64
	// Patience is for which part of an image's fetch a task may wait for room where its
	// image is; 0 for not at all.
	Patience float64
	// quotas are the accounts that (quotas ...) names, nil if there is none.
	quotas *quotaForm
	// pbs are the queues that (pbs ...) names, nil if there is none.
	pbs *pbsForm
}

// Defaults are the operators' settings where they say nothing.
func Defaults() Operator {
	return Operator{Window: 10 * time.Second, PublishOffset: 5 * time.Second, SummaryEvery: 2 * time.Second,
		Sample: 6, IdleAfter: 20 * time.Second, Spare: 1, Moves: 60, Patience: 0.5}
}

// load reads a file such as
//
//	(daledyke (window-s 10) (publish-offset-s 5) (summary-s 2) (sample 6))
//
// and refuses names that it does not know.
func (o *Operator) load(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return o.parse(raw)
}

func (o *Operator) parse(raw []byte) error {
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

func (o *Operator) set(name string, v float64) error {
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
