package history

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Writer writes a history to a file: an event a line, as JSON, compressed. The file has
// its name only once it is whole; until then it is called NAME.part.
type Writer struct {
	name  string
	file  *os.File
	buf   *bufio.Writer
	zip   *gzip.Writer
	lines *json.Encoder
	count int
	err   error
}

const partSuffix = ".part"

// Create begins a history.
func Create(name string) (*Writer, error) {
	f, err := os.Create(name + partSuffix)
	if err != nil {
		return nil, err
	}
	w := &Writer{name: name, file: f, buf: bufio.NewWriterSize(f, 1<<16)}
	w.zip, _ = gzip.NewWriterLevel(w.buf, gzip.BestSpeed) // the level is sound
	w.lines = json.NewEncoder(w.zip)
	return w, nil
}

// Write adds an event. A fault is told by Close.
func (w *Writer) Write(e Event) {
	if w.err == nil {
		w.err = w.lines.Encode(e)
		w.count++
	}
}

// Close ends the history at a time and gives the file its name, unless something could
// not be written.
func (w *Writer) Close(at time.Duration) error {
	count := w.count
	w.Write(Event{At: at, Kind: Ended, Code: count})
	err := errors.Join(w.err, w.zip.Close(), w.buf.Flush(), w.file.Sync(), w.file.Close())
	if err != nil {
		return fmt.Errorf("%s: %w", w.name, err)
	}
	return os.Rename(w.name+partSuffix, w.name)
}

// Abandon gives a history up; what was written is removed.
func (w *Writer) Abandon() {
	w.file.Close()
	os.Remove(w.name + partSuffix)
}

// Read gives the events of a history to f, in their order. One that was cut short, or
// holds what is no event, is an error with its line.
func Read(name string, f func(Event) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	zip, err := gzip.NewReader(bufio.NewReader(file))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := read(zip, f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// maxLine bounds a line: a job's description has 64 KiB at most.
const maxLine = 256 << 10

func read(r io.Reader, f func(Event) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 1<<16), maxLine)
	var last time.Duration
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if e.At < last || e.Kind == "" {
			return fmt.Errorf("line %d: no event, or earlier than the one before", n)
		}
		last = e.At
		if e.Kind == Ended {
			if e.Code != n-1 {
				return fmt.Errorf("line %d: %d events are said to come before", n, e.Code)
			}
			if lines.Scan() {
				return fmt.Errorf("line %d: it is after the end", n+1)
			}
			return lines.Err() // the sum of the file is checked by it
		}
		if err := f(e); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the history was cut short: it has no end")
}
