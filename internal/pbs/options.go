// Package pbs translates batch scripts with PBS directives to jobs of daledyke. It does no input or output.
// The HTTP API and the commands share one translation. No directive is silently ignored: each is applied,
// listed in a note as having no effect, or refused with its position and a reason (docs/design-pbs.md).
package pbs

import (
	"fmt"
	"strings"
)

// Position is a line and column of a script, from 1, or an argument of the command line (line 0, the
// argument's number as the column). The zero value stands for the whole submission.
type Position struct{ Line, Column int }

// String describes the position in error messages.
func (p Position) String() string {
	if p == (Position{}) {
		return "in all"
	}
	if p.Line == 0 {
		return fmt.Sprintf("argument %d", p.Column)
	}
	return fmt.Sprintf("line %d, column %d", p.Line, p.Column)
}

// Option is one option of a directive or of the command line: a letter and its value, "" if it takes none.
type Option struct {
	Letter byte
	Value  string
	At     Position
}

// String formats the option as in a script.
func (o Option) String() string {
	if !takesValue(o.Letter) {
		return "-" + string(o.Letter)
	}
	return fmt.Sprintf("-%c %s", o.Letter, quote(o.Value))
}

// quote quotes a value so that it is read back as one word.
func quote(v string) string {
	if v != "" && !strings.ContainsAny(v, " \t'\"\\#") {
		return v
	}
	return "'" + strings.ReplaceAll(v, "'", `'\''`) + "'"
}

// Refusal is an error that says why a script is refused.
type Refusal struct {
	At Position
	// Directive is the refused option or part, Reason says why, Instead suggests a replacement.
	Directive, Reason, Instead string
}

// Error formats the refusal as one line.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("%v: %s: %s", r.At, r.Directive, r.Reason)
	if r.Instead != "" {
		s += "; " + r.Instead
	}
	return s
}

// The letters of the options with a value, and of those without one.
const (
	lettersWithValue    = "NlJtWpPArcaMmjoeSvuqCk"
	lettersWithoutValue = "hVIXz"
)

func takesValue(letter byte) bool { return strings.IndexByte(lettersWithValue, letter) >= 0 }

// defaultPrefix begins directive lines unless -C sets another prefix.
const defaultPrefix = "#PBS"

// Directives reads the options of a script's directive lines, up to the first line that is a command. Directive
// lines begin with prefix; "" means #PBS.
func Directives(script, prefix string) (out []Option, err error) {
	if prefix == "" {
		prefix = defaultPrefix
	}
	for n, line := range strings.Split(script, "\n") {
		line = strings.TrimSuffix(line, "\r")
		trimmed := strings.TrimLeft(line, " \t")
		if rest, ok := strings.CutPrefix(trimmed, prefix); ok && (rest == "" || rest[0] == ' ' || rest[0] == '\t') {
			at := len(line) - len(rest)
			words, err := split(rest, n+1, at)
			if err != nil {
				return nil, err
			}
			options, err := parse(words, false)
			if err != nil {
				return nil, err
			}
			out = append(out, options...)
			continue
		}
		if trimmed != "" && trimmed[0] != '#' && !(n == 0 && trimmed[0] == ':') {
			break // the first command
		}
	}
	return out, nil
}

// Arguments reads the options of a command line and returns the arguments after them as rest.
func Arguments(args []string) (out []Option, rest []string, err error) {
	var words []word
	for k := 0; k < len(args); k++ {
		a := args[k]
		if a == "--" || len(a) < 2 || a[0] != '-' {
			if a == "--" {
				k++
			}
			rest = args[k:]
			break
		}
		words = append(words, word{a, Position{0, k + 1}})
		if len(a) == 2 && takesValue(a[1]) && k+1 < len(args) {
			k++
			words = append(words, word{args[k], Position{0, k + 1}})
		}
	}
	out, err = parse(words, true)
	return out, rest, err
}

// CommandLine reads the options of a command line that is given as one text, split as by a shell.
func CommandLine(line string) ([]Option, error) {
	words, err := split(line, 0, 0)
	if err != nil {
		return nil, err
	}
	return parse(words, true)
}

// word is one word of a directive line.
type word struct {
	text string
	at   Position
}

// split splits the rest of a directive line into words like a shell: blanks within quotes don't end a word, and
// # begins a comment.
func split(rest string, line, from int) (words []word, err error) {
	var b strings.Builder
	quoteChar, start := byte(0), -1
	for i := 0; i < len(rest); i++ {
		c := rest[i]
		switch {
		case quoteChar != 0 && c == quoteChar:
			quoteChar = 0
		case quoteChar == '"' && c == '\\' && i+1 < len(rest) && (rest[i+1] == '"' || rest[i+1] == '\\'):
			i++
			b.WriteByte(rest[i])
		case quoteChar != 0:
			b.WriteByte(c)
		case c == '\'' || c == '"':
			quoteChar = c
			if start < 0 {
				start = i
			}
		case c == '\\' && i+1 < len(rest):
			if start < 0 {
				start = i
			}
			i++
			b.WriteByte(rest[i])
		case c == ' ' || c == '\t':
			if start >= 0 {
				words = append(words, word{b.String(), Position{line, from + start + 1}})
				b.Reset()
				start = -1
			}
		case c == '#' && start < 0:
			return words, nil
		default:
			if start < 0 {
				start = i
			}
			b.WriteByte(c)
		}
	}
	if quoteChar != 0 {
		return nil, &Refusal{Position{line, from + start + 1}, strings.TrimSpace(rest), "a quote is not closed", ""}
	}
	if start >= 0 {
		words = append(words, word{b.String(), Position{line, from + start + 1}})
	}
	return words, nil
}

// parse reads options from words; an option's value is in the same word as its letter or in the next.
func parse(words []word, command bool) (out []Option, err error) {
	for k := 0; k < len(words); k++ {
		w := words[k]
		if len(w.text) < 2 || w.text[0] != '-' {
			return nil, &Refusal{w.at, w.text, "an option is expected here, such as -N", ""}
		}
		letter := w.text[1]
		switch {
		case takesValue(letter):
			o := Option{letter, w.text[2:], w.at}
			if o.Value == "" {
				if k++; k >= len(words) {
					return nil, &Refusal{w.at, w.text, "its value is missing", ""}
				}
				o.Value = words[k].text
			}
			if letter == 'C' && !command {
				return nil, &Refusal{w.at, o.String(), "the prefix of directives can't be set by a directive", "give -C on the command line"}
			}
			out = append(out, o)
		case strings.IndexByte(lettersWithoutValue, letter) >= 0 && len(w.text) == 2:
			out = append(out, Option{letter, "", w.at})
		default:
			return nil, &Refusal{w.at, w.text, "there is no such option", ""}
		}
	}
	return out, nil
}
