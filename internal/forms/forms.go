// Package forms reads S-expressions (in EDN, the registry's nearest kin) with the lines for
// their faults: lists that begin with a symbol, and entries of a name and values.
package forms

import (
	"bytes"
	"fmt"

	"olympos.io/encoding/edn"
)

// Item is one item of a list, and the line at which it begins.
type Item struct {
	Raw  edn.RawMessage
	Line int
}

// Items reads a list that begins with a head, at the line given; ok is false if it is
// another one.
func Items(raw []byte, head edn.Symbol, line int) (out []Item, ok bool) {
	var form []edn.RawMessage
	var first edn.Symbol
	if edn.Unmarshal(raw, &form) != nil || len(form) == 0 || edn.Unmarshal(form[0], &first) != nil || first != head {
		return nil, false
	}
	from := 0
	for _, item := range form[1:] {
		// Items come in order: their places tell their lines. One that is not there as it was
		// written (the reader mends bytes that are no UTF-8, and it may get longer) is where the
		// one before it was.
		at, length := bytes.Index(raw[from:], item), len(item)
		if at < 0 {
			at, length = 0, 0
		}
		from += at
		out = append(out, Item{item, line + bytes.Count(raw[:from], []byte("\n"))})
		from += length
	}
	return out, true
}

// Entry is a name and its values.
type Entry struct {
	Name   string
	Values []edn.RawMessage
}

// Named reads (KIND "name" (entry value ...) ...), in which no entry is there twice.
func Named(raw []byte, kind edn.Symbol) (name string, entries []Entry, err error) {
	var form []edn.RawMessage
	var head edn.Symbol
	if edn.Unmarshal(raw, &form) != nil || len(form) < 2 || edn.Unmarshal(form[0], &head) != nil || head != kind ||
		edn.Unmarshal(form[1], &name) != nil || name == "" {
		article := "a"
		if kind == "account" {
			article = "an"
		}
		return "", nil, fmt.Errorf("not %s %s with a name: %.60s", article, kind, raw)
	}
	seen := map[edn.Symbol]bool{}
	for _, item := range form[2:] {
		var of []edn.RawMessage
		var what edn.Symbol
		if edn.Unmarshal(item, &of) != nil || len(of) < 2 || edn.Unmarshal(of[0], &what) != nil {
			return "", nil, fmt.Errorf("%s %q: not an entry with a value: %.60s", kind, name, item)
		}
		if seen[what] {
			return "", nil, fmt.Errorf("%s %q: %s is there twice", kind, name, what)
		}
		seen[what] = true
		entries = append(entries, Entry{string(what), of[1:]})
	}
	return name, entries, nil
}

// Number reads a whole or decimal number.
func Number(raw []byte) (v float64, ok bool) {
	if edn.Unmarshal(raw, &v) == nil {
		return v, true
	}
	var whole int64
	if edn.Unmarshal(raw, &whole) != nil {
		return 0, false
	}
	return float64(whole), true
}
