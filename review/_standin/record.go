package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: a line for each event, with the seconds since the run began.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { r.file.Close() }
