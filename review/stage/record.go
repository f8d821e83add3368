//go:build review2

package stage

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	Held = iota
	Broken
	CouldNotRun
)

// Record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, writer: bufio.NewWriter(file)}, nil
}

// Note writes a line with the time.
func (r *Record) Note(format string, args ...any) {
	line := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.writer.WriteString(line)
}

// Close ends the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
