//go:build review

package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the account of one run of a case: what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file, which replaces that of the run before.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Line writes one line with the seconds since the start.
func (r *Record) Line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
