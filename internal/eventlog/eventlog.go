// Package eventlog writes a process's log as JSON lines, one per decision. Logging never
// blocks a decision: lines go through a bounded queue, and lines that do not fit are dropped
// and counted.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// queueCapacity is the maximum number of queued lines.
	queueCapacity = 4096
	// maxBatchBytes is the size at which a batch is written.
	maxBatchBytes = 32 << 10
	// flushInterval is how long a line is held back to batch it with later ones.
	flushInterval = 100 * time.Millisecond
)

// Writer writes lines to the output through a bounded queue. It implements log.Writer.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// reportedDrops is how many of the dropped lines the log has reported so far.
	reportedDrops uint64
	node          string
	stop          chan struct{}
	done          sync.WaitGroup
}

// NewWriter starts a writer over the output.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, queueCapacity), stop: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

// New returns a logger that writes through w and adds the node's name to each line.
func New(w *Writer, node string) *log.Logger {
	w.node = node
	return &log.Logger{
		Level: log.InfoLevel, TimeField: "time", TimeFormat: log.TimeFormatUnixMs,
		Context: log.NewContext(nil).Str("node", node).Value(), Writer: w,
	}
}

// WriteEntry implements log.Writer.
func (w *Writer) WriteEntry(entry *log.Entry) (int, error) {
	line := append([]byte(nil), entry.Value()...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. If the output blocks, Close returns after
// the timeout.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	finished := make(chan struct{})
	go func() { w.done.Wait(); close(finished) }()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
	}
}

func (w *Writer) run() {
	defer w.done.Done()
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
		case <-w.stop:
			w.write(w.fill(batch[:0]))
			return
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-w.stop:
			timer.Stop()
		}
		batch = w.fill(batch)
		w.write(batch)
	}
}

// fill appends queued lines to the batch until it holds maxBatchBytes or the queue is empty.
func (w *Writer) fill(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (w *Writer) write(batch []byte) {
	if dropped := w.dropped.Load(); dropped > w.reportedDrops {
		batch = append(batch, w.droppedLine(dropped-w.reportedDrops)...)
		w.reportedDrops = dropped
	}
	if len(batch) > 0 {
		_, _ = w.output.Write(batch) // there is nowhere else to report a failure
	}
}

// droppedLine returns a log line that reports how many lines were dropped since the last report.
func (w *Writer) droppedLine(lines uint64) []byte {
	return fmt.Appendf(nil, `{"time":%d,"level":"warn","node":%q,"event":"log_dropped","lines":%d}`+"\n",
		time.Now().UnixMilli(), w.node, lines)
}
