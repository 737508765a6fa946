package config

import (
	"fmt"
	"slices"

	"olympos.io/encoding/edn"

	"daledyke/internal/forms"
	"daledyke/internal/pbs"
	"daledyke/internal/protocol"
)

// pbsForm is the operators' form (pbs ...), parsed but not yet checked against the platform's settings.
type pbsForm struct {
	line   int
	queues pbs.Queues
	lines  []int
}

// parseQueues reads a form such as
//
//	(pbs
//	  (queue "train" (default true) (team "vision") (class "retrain") (image "train-7")
//	    (image-gb 6) (urgency "normal") (walltime "01:00:00") (mem-gb 16)))
//
// which begins at the given line. It returns nil without an error for any other form.
func parseQueues(raw []byte, line int) (*pbsForm, error) {
	list, ok := forms.Items(raw, "pbs", line)
	if !ok {
		return nil, nil
	}
	f := &pbsForm{line: line}
	for _, item := range list {
		itemLine := item.Line
		q, err := parseQueue(item.Raw)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", itemLine, err)
		}
		for _, other := range f.queues {
			if other.Name == q.Name {
				return nil, fmt.Errorf("line %d: queue %q is there twice", itemLine, q.Name)
			}
			if other.Default && q.Default {
				return nil, fmt.Errorf("line %d: queues %q and %q are both the default", itemLine, other.Name, q.Name)
			}
		}
		f.queues, f.lines = append(f.queues, q), append(f.lines, itemLine)
	}
	return f, nil
}

func parseQueue(raw []byte) (q pbs.Queue, err error) {
	var entries []forms.Entry
	if q.Name, entries, err = forms.Named(raw, "queue"); err != nil {
		return q, err
	}
	for _, e := range entries {
		if err := setQueue(&q, e.Name, e.Values); err != nil {
			return q, fmt.Errorf("queue %q: %s: %w", q.Name, e.Name, err)
		}
	}
	return q, nil
}

// setQueue sets one entry of a queue.
func setQueue(q *pbs.Queue, name string, values []edn.RawMessage) (err error) {
	if len(values) > 1 && name != "types" {
		return fmt.Errorf("one value is expected, not %d", len(values))
	}
	text := func(s *string) error {
		if edn.Unmarshal(values[0], s) != nil || *s == "" {
			return fmt.Errorf("not a text: %.60s", values[0])
		}
		return nil
	}
	amount := func(v *float64) error {
		n, ok := forms.Number(values[0])
		if !ok || !(n >= 0) || n > 1e9 {
			return fmt.Errorf("not an amount: %.60s", values[0])
		}
		*v = n
		return nil
	}
	boolean := func(b *bool) error {
		if edn.Unmarshal(values[0], b) != nil {
			return fmt.Errorf("not true or false: %.60s", values[0])
		}
		return nil
	}
	var v float64
	switch name {
	case "default":
		return boolean(&q.Default)
	case "team":
		return text(&q.Team)
	case "class":
		return text(&q.Class)
	case "account":
		return text(&q.Account)
	case "image":
		return text(&q.Image)
	case "zone":
		return text(&q.Zone)
	case "spot":
		return boolean(&q.Spot)
	case "image-gb":
		return amount(&q.ImageGB)
	case "mem-gb":
		return amount(&q.MemGB)
	case "most-cpus":
		return amount(&q.MaxPerTask.Cores)
	case "most-gpus":
		return amount(&q.MaxPerTask.Accels)
	case "most-mem-gb":
		return amount(&q.MaxPerTask.RAM)
	case "most-tasks":
		err = amount(&v)
		q.MaxTasks = int(v)
	case "save-every-s":
		err = amount(&v)
		q.SaveEvery = protocol.Seconds(v)
	case "save-s":
		err = amount(&v)
		q.Save = protocol.Seconds(v)
	case "urgency":
		var s string
		if err = text(&s); err == nil && !slices.Contains([]string{"idle", "normal", "high"}, s) {
			err = fmt.Errorf("it is idle, normal or high, not %q", s)
		}
		q.Priority = protocol.Priority(s)
	case "walltime":
		var s string
		if err = text(&s); err == nil {
			q.Walltime, err = pbs.ParseTime(s)
		}
	case "types":
		for _, raw := range values {
			var s string
			if edn.Unmarshal(raw, &s) != nil || s == "" {
				return fmt.Errorf("not a text: %.60s", raw)
			}
			q.Types = append(q.Types, s)
		}
	default:
		return fmt.Errorf("there is no such entry")
	}
	return err
}

// check checks the queues against the teams and accounts.
func (f *pbsForm) check(c *Config) error {
	for k, q := range f.queues {
		var err error
		switch {
		case c.Team(q.Team) == nil:
			err = fmt.Errorf("the platform knows no team %q", q.Team)
		case q.Class == "" || q.Image == "":
			err = fmt.Errorf("class and image must be named")
		case q.Priority == "":
			err = fmt.Errorf("urgency must be named: idle, normal or high")
		case q.Walltime <= 0:
			err = fmt.Errorf("walltime must be named: the estimate of jobs that say nothing")
		case q.Account != "" && c.Quotas != nil:
			if a, ok := c.Quotas.Find(q.Account); !ok || a.Team() != q.Team {
				err = fmt.Errorf("there is no account %q of team %s", q.Account, q.Team)
			}
		}
		if err != nil {
			return fmt.Errorf("line %d: queue %q: %w", f.lines[k], q.Name, err)
		}
	}
	return nil
}
