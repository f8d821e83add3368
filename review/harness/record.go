//go:build review

package harness

import (
	"fmt"
	"os"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/platform/platformtest"
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

// Runs writes the requests that the engine ran, with the time at which each began.
func (r *Record) Runs(engine *platformtest.Engine) {
	for _, run := range engine.Runs() {
		r.Line("engine %s ran %s of program %s, begun at %.3f", engine.ID, run.ID, run.Header.Get("X-Program-Id"), run.StartedAt.Sub(r.started).Seconds())
	}
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
