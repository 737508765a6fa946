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

// Writer writes a history to a compressed file, one JSON event a line. The file is called NAME.part until
// it is complete.
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

// Create opens a new history for writing.
func Create(name string) (*Writer, error) {
	f, err := os.Create(name + partSuffix)
	if err != nil {
		return nil, err
	}
	w := &Writer{name: name, file: f, buf: bufio.NewWriterSize(f, 1<<16)}
	w.zip, _ = gzip.NewWriterLevel(w.buf, gzip.BestSpeed) // the level is valid
	w.lines = json.NewEncoder(w.zip)
	return w, nil
}

// Write appends an event. Close returns any write error.
func (w *Writer) Write(e Event) {
	if w.err == nil {
		w.err = w.lines.Encode(e)
		w.count++
	}
}

// Close writes the end event and renames the file to its final name, unless a write failed.
func (w *Writer) Close(at time.Duration) error {
	count := w.count
	w.Write(Event{At: at, Kind: Ended, Code: count})
	err := errors.Join(w.err, w.zip.Close(), w.buf.Flush(), w.file.Sync(), w.file.Close())
	if err != nil {
		return fmt.Errorf("%s: %w", w.name, err)
	}
	return os.Rename(w.name+partSuffix, w.name)
}

// Discard closes the history and removes its partial file.
func (w *Writer) Discard() {
	w.file.Close()
	os.Remove(w.name + partSuffix)
}

// Read calls f for each event of a history in order. A truncated history and a malformed event are errors
// that name the line.
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

// maxLine limits the length of a line: a job's description has at most 64 KiB.
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
			return fmt.Errorf("line %d: not an event, or earlier than the previous one", n)
		}
		last = e.At
		if e.Kind == Ended {
			if e.Code != n-1 {
				return fmt.Errorf("line %d: the end event counts %d events before it", n, e.Code)
			}
			if lines.Scan() {
				return fmt.Errorf("line %d: data after the end event", n+1)
			}
			return lines.Err() // the scanner has read the gzip checksum
		}
		if err := f(e); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("truncated history: it has no end")
}
