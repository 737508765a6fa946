package pbs

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Chunk is a number of tasks with the same resources, and the resources of each.
type Chunk struct {
	Count      int
	CPUs, GPUs float64
	// Mem is in bytes, 0 if not given.
	Mem float64
}

// maxCount bounds the counts and amounts in a script.
const maxCount = 100_000

// ParseSize reads an amount of memory, in bytes: a number and one of the units b, kb, mb, gb, tb, or w for
// words of 8 bytes (kw to tw); without a unit the number counts bytes.
func ParseSize(text string) (float64, error) {
	digits := strings.TrimRight(text, "bwkmgtBWKMGT") // before ToLower, which can change the length
	unit := strings.ToLower(text[len(digits):])
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(n >= 0) || n > 1e15 || strings.ContainsAny(digits, "eExXpPiInN_+") {
		return 0, fmt.Errorf("%q is no size, such as 4gb", text)
	}
	factor := map[string]float64{"": 1, "b": 1, "w": 8, "kb": 1 << 10, "mb": 1 << 20, "gb": 1 << 30, "tb": 1 << 40,
		"k": 1 << 10, "m": 1 << 20, "g": 1 << 30, "t": 1 << 40, "kw": 8 << 10, "mw": 8 << 20, "gw": 8 << 30, "tw": 8 << 40}[unit]
	if factor == 0 {
		return 0, fmt.Errorf("%q is no size: the units are b, kb, mb, gb, tb, and w for words", text)
	}
	return n * factor, nil
}

// ParseTime reads [[HH:]MM:]SS, where SS may have a fraction.
func ParseTime(text string) (time.Duration, error) {
	parts := strings.Split(text, ":")
	if len(parts) > 3 {
		return 0, fmt.Errorf("%q is no time, such as 02:30:00", text)
	}
	seconds := 0.0
	for k, p := range parts {
		n, err := strconv.ParseFloat(p, 64)
		if err != nil || !(n >= 0) || n > 1e8 || strings.ContainsAny(p, "eExXpPiInN_+") || k < len(parts)-1 && n != math.Trunc(n) {
			return 0, fmt.Errorf("%q is no time, such as 02:30:00", text)
		}
		seconds = seconds*60 + n
	}
	if seconds > 1e8 {
		return 0, fmt.Errorf("%q is too long", text)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// ParseSelect reads a select statement: chunks joined by +, each a number and resources, such as
// 2:ncpus=4:ngpus=1:mem=16gb. Chunks with the same resources are merged.
func ParseSelect(text string) (chunks []Chunk, err error) {
	for _, part := range strings.Split(text, "+") {
		c, err := parseChunk(part)
		if err != nil {
			return nil, err
		}
		found := false
		for k := range chunks {
			sameKind := chunks[k]
			sameKind.Count = c.Count
			if sameKind == c {
				chunks[k].Count += c.Count
				found = true
			}
		}
		if !found {
			chunks = append(chunks, c)
		}
		if chunks[0].Count > maxCount || len(chunks) > 64 {
			return nil, errors.New("too many chunks")
		}
	}
	return chunks, nil
}

func parseChunk(text string) (c Chunk, err error) {
	c.Count, c.CPUs = 1, 1
	seen := map[string]bool{}
	for k, item := range strings.Split(text, ":") {
		name, value, hasValue := strings.Cut(item, "=")
		if k == 0 && !hasValue {
			if c.Count, err = parseCount(item); err != nil {
				return c, err
			}
			continue
		}
		if seen[name] {
			return c, fmt.Errorf("%s is there twice in %q", name, text)
		}
		seen[name] = true
		switch name {
		case "ncpus":
			c.CPUs, err = parseAmount(value)
		case "ngpus":
			c.GPUs, err = parseAmount(value)
		case "mem":
			c.Mem, err = ParseSize(value)
		case "mpiprocs", "ompthreads":
			// Both describe how the chunk's CPUs are used and have no effect, but the number must be valid.
			_, err = parseCount(value)
		case "host", "vnode":
			return c, fmt.Errorf("%s: single machines can't be named: they come and go", item)
		default:
			return c, fmt.Errorf("%s: chunks know ncpus, ngpus, mem, mpiprocs and ompthreads", item)
		}
		if err != nil {
			return c, err
		}
	}
	return c, nil
}

func parseCount(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxCount {
		return 0, fmt.Errorf("%q is no number from 1 to %d", text, maxCount)
	}
	return n, nil
}

func parseAmount(text string) (float64, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxCount {
		return 0, fmt.Errorf("%q is no number from 0 to %d", text, maxCount)
	}
	return float64(n), nil
}

// ParseNodes reads the older form nodes=N:ppn=P:gpus=G.
func ParseNodes(text string) (c Chunk, err error) {
	c.Count, c.CPUs = 1, 1
	for k, item := range strings.Split(text, ":") {
		name, value, hasValue := strings.Cut(item, "=")
		switch {
		case strings.Contains(item, "+"):
			return c, errors.New("nodes of several kinds can't be had: all tasks of a job are alike")
		case k == 0 && !hasValue:
			if c.Count, err = parseCount(item); err != nil {
				return c, fmt.Errorf("%w (nodes can't be named: they come and go)", err)
			}
		case name == "ppn":
			c.CPUs, err = parseAmount(value)
		case name == "gpus":
			c.GPUs, err = parseAmount(value)
		default:
			return c, fmt.Errorf("%s: nodes know ppn and gpus", item)
		}
		if err != nil {
			return c, err
		}
	}
	return c, nil
}

// Array is the range of an array job's indices.
type Array struct{ First, Last, Step int }

// Count is the number of indices.
func (a Array) Count() int { return (a.Last-a.First)/a.Step + 1 }

// String formats the range as the value of -J.
func (a Array) String() string {
	if a.Step == 1 {
		return fmt.Sprintf("%d-%d", a.First, a.Last)
	}
	return fmt.Sprintf("%d-%d:%d", a.First, a.Last, a.Step)
}

var errConcurrencyLimit = errors.New("that no more than so many run at a time can't be promised for a job")

// ParseArray reads X-Y[:Z]. It returns errConcurrencyLimit if %M follows.
func ParseArray(text string) (a Array, err error) {
	text, _, concurrencyLimited := strings.Cut(text, "%")
	bounds, step, stepped := strings.Cut(text, ":")
	first, last, ranged := strings.Cut(bounds, "-")
	a.Step = 1
	number := func(text string) (n int) {
		if n, err = strconv.Atoi(text); err != nil || n < 0 || n > 1e9 || text[0] == '+' {
			err = fmt.Errorf("%q is no range of indices, such as 0-99 or 0-99:2", text)
		}
		return n
	}
	if a.First = number(first); err == nil && ranged {
		a.Last = number(last)
	}
	if err == nil && stepped {
		a.Step = number(step)
	}
	switch {
	case err != nil:
		return a, err
	case !ranged || a.Last <= a.First || a.Step < 1:
		return a, fmt.Errorf("%q is no range of indices, such as 0-99 or 0-99:2", text)
	case a.Count() > maxCount:
		return a, fmt.Errorf("an array has %d indices at most, not %d", maxCount, a.Count())
	case concurrencyLimited:
		return a, errConcurrencyLimit
	}
	return a, nil
}

// JobID returns the native id for a PBS job name: 412, 412.daledyke, or 412[] for an array. The digits are
// those of the native id, so that each job has one name.
func JobID(name string) (id string, err error) {
	digits, _, _ := strings.Cut(name, ".")
	digits = strings.TrimSuffix(digits, "[]")
	if digits == "" || len(digits) > 18 || strings.Trim(digits, "0123456789") != "" {
		return "", fmt.Errorf("%q is no job: they look like 412.daledyke", name)
	}
	return "wk-" + digits, nil
}

// JobName is the PBS name of the job with a native id.
func JobName(id string, array bool) string {
	digits := strings.TrimPrefix(id, "wk-")
	if array {
		digits += "[]"
	}
	return digits + ".daledyke"
}

// ParseDepend reads the value of -W depend=. It returns the native ids of the jobs that must be done before
// this one starts.
func ParseDepend(text string) (ids []string, err error) {
	unsupportedReasons := map[string]string{
		"afterany":    "a job that waits for another is cancelled with it, and can't start after its failure; write afterok",
		"afternotok":  "jobs are tried again until they are done, there is no failure to wait for; submit it when it is needed",
		"after":       "that another job has started can't be waited for; write afterok to wait for its end",
		"before":      "a job can't hold others that are there already; submit this one first, and the others with afterok",
		"beforeok":    "a job can't hold others that are there already; submit this one first, and the others with afterok",
		"beforeany":   "a job can't hold others that are there already; submit this one first, and the others with afterok",
		"beforenotok": "a job can't hold others that are there already; submit this one first, and the others with afterok",
		"on":          "a job can't wait for a number of others that name it; name them by afterok",
	}
	for _, clause := range strings.Split(text, ",") {
		kind, list, ok := strings.Cut(clause, ":")
		if reason := unsupportedReasons[kind]; reason != "" {
			return nil, fmt.Errorf("%s: %s", kind, reason)
		}
		if kind != "afterok" || !ok {
			return nil, fmt.Errorf("%q is no dependency, such as afterok:412.daledyke", clause)
		}
		for _, name := range strings.Split(list, ":") {
			id, err := JobID(name)
			if err != nil {
				return nil, err
			}
			ids = append(ids, id)
		}
	}
	if len(ids) > 1000 {
		return nil, errors.New("more than 1000 jobs are waited for")
	}
	return ids, nil
}

// ParseDate reads the value of -a: [[[[CC]YY]MM]DD]hhmm[.SS]. Parts that are left out are those of the next
// matching time after now, in the time zone of now.
func ParseDate(text string, now time.Time) (time.Time, error) {
	errInvalid := fmt.Errorf("%q is no time of day, such as 2200, 12312200 or 202612312200", text)
	digits, seconds, given := strings.Cut(text, ".")
	if given && len(seconds) != 2 || len(digits) < 4 || len(digits) > 12 || len(digits)%2 != 0 || strings.Trim(digits+seconds, "0123456789") != "" {
		return time.Time{}, errInvalid
	}
	twoDigits := func(from, fallback int) int { // from counts from the end of the digits
		if at := len(digits) - from; at >= 0 {
			return int(digits[at]-'0')*10 + int(digits[at+1]-'0')
		}
		return fallback
	}
	year := twoDigits(12, now.Year()/100)*100 + twoDigits(10, now.Year()%100)
	month, day, hour, minute, second := twoDigits(8, int(now.Month())), twoDigits(6, now.Day()), twoDigits(4, 0), twoDigits(2, 0), 0
	if given {
		second, _ = strconv.Atoi(seconds)
	}
	t := time.Date(year, time.Month(month), day, hour, minute, second, 0, now.Location())
	if t.Year() != year || int(t.Month()) != month || t.Day() != day || t.Hour() != hour || t.Minute() != minute || second > 59 {
		return time.Time{}, errInvalid
	}
	if !t.After(now) {
		switch len(digits) {
		case 4:
			t = time.Date(year, time.Month(month), day+1, hour, minute, second, 0, now.Location())
		case 6:
			t = time.Date(year, time.Month(month)+1, day, hour, minute, second, 0, now.Location())
		case 8:
			t = time.Date(year+1, time.Month(month), day, hour, minute, second, 0, now.Location())
		default:
			return time.Time{}, fmt.Errorf("%q is past", text)
		}
	}
	if t.Sub(now) > 400*24*time.Hour {
		return time.Time{}, fmt.Errorf("%q is more than a year ahead", text)
	}
	return t, nil
}
