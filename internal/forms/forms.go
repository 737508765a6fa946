// Package forms reads S-expressions, parsed as EDN, and keeps line numbers for error messages. It reads lists
// that begin with a symbol, and entries of a name and values.
package forms

import (
	"bytes"
	"fmt"

	"olympos.io/encoding/edn"
)

// Item is one item of a list and the line on which it begins.
type Item struct {
	Raw  edn.RawMessage
	Line int
}

// Items reads a list that begins with the symbol head; line is the line on which the list begins. ok is false
// for any other form.
func Items(raw []byte, head edn.Symbol, line int) (out []Item, ok bool) {
	var form []edn.RawMessage
	var first edn.Symbol
	if edn.Unmarshal(raw, &form) != nil || len(form) == 0 || edn.Unmarshal(form[0], &first) != nil || first != head {
		return nil, false
	}
	from := 0
	for _, item := range form[1:] {
		// Items are in the order of the text, so each is searched for after the one before it. An item that
		// isn't found as written (the EDN reader replaces invalid UTF-8, which may lengthen it) gets the line
		// where the search began.
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

// Entry is a named list of values.
type Entry struct {
	Name   string
	Values []edn.RawMessage
}

// Named reads (KIND "name" (entry value ...) ...) and rejects duplicate entries.
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
		var parts []edn.RawMessage
		var entryName edn.Symbol
		if edn.Unmarshal(item, &parts) != nil || len(parts) < 2 || edn.Unmarshal(parts[0], &entryName) != nil {
			return "", nil, fmt.Errorf("%s %q: not an entry with a value: %.60s", kind, name, item)
		}
		if seen[entryName] {
			return "", nil, fmt.Errorf("%s %q: %s is there twice", kind, name, entryName)
		}
		seen[entryName] = true
		entries = append(entries, Entry{string(entryName), parts[1:]})
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
