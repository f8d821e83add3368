package replica

import (
	"context"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/wait"
	"swiftbank.dev/swiftbank/internal/wal"
)

// retryDelay is the pause after a failed write to the disk.
const retryDelay = 50 * time.Millisecond

// submission is a set of records to write, and a callback for when they are durable. A submission
// with a snapshot starts a new segment.
type submission struct {
	records  []ledger.Record
	snapshot []ledger.Record
	after    func()
}

// syncer makes records durable in the order in which they were submitted. It writes all that
// are queued with one sync.
type syncer struct {
	log *wal.Log[ledger.Record]
	// report is called with an error when the disk begins to fail, and with nil when it works
	// again.
	report func(err error)
	// observe is called with the duration of each sync and the number of its records.
	observe func(duration time.Duration, records int)

	mu      sync.Mutex
	waiting []submission
	wake    chan struct{}
	// queuedBytes estimates the bytes that are queued or being written.
	queuedBytes int
	// segmentBytes is the size of the current segment when the last batch was dequeued. The loop
	// reads it under the mutex, because the log belongs to the goroutine of run.
	segmentBytes int64
}

func newSyncer(log *wal.Log[ledger.Record], report func(error), observe func(time.Duration, int)) *syncer {
	return &syncer{log: log, report: report, observe: observe, wake: make(chan struct{}, 1)}
}

func (s *syncer) submit(item submission) {
	s.mu.Lock()
	s.waiting = append(s.waiting, item)
	s.queuedBytes += item.bytes()
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// bytes estimates the memory of the submission's records. A snapshot counts as nothing, because
// its records share the memory of the state.
func (i submission) bytes() int {
	size := 0
	for _, record := range i.records {
		size += record.Bytes()
	}
	return size
}

// waitingBytes estimates the bytes that wait for the disk or are being written.
func (s *syncer) waitingBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuedBytes
}

// release subtracts written submissions from the queued bytes.
func (s *syncer) release(items []submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		s.queuedBytes -= item.bytes()
	}
}

// size returns the size of the current segment in bytes.
func (s *syncer) size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.segmentBytes
}

// run writes submissions until the context ends. Records that are not durable by then were never
// acknowledged.
func (s *syncer) run(ctx context.Context) {
	failing := false
	for {
		items := s.dequeue()
		if len(items) == 0 {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		for err := s.write(items); err != nil; err = s.log.Append(nil) {
			if !failing {
				failing = true
				s.report(err)
			}
			if !wait.For(ctx, retryDelay) {
				return
			}
		}
		if failing {
			failing = false
			s.report(nil)
		}
		s.release(items)
		for _, item := range items {
			if item.after != nil {
				item.after()
			}
		}
	}
}

// dequeue removes and returns the queued submissions, up to and including the first snapshot.
func (s *syncer) dequeue() []submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segmentBytes = s.log.Size()
	for i, item := range s.waiting {
		if item.snapshot != nil {
			batch := s.waiting[:i+1]
			s.waiting = append([]submission(nil), s.waiting[i+1:]...)
			return batch
		}
	}
	batch := s.waiting
	s.waiting = nil
	return batch
}

func (s *syncer) write(items []submission) error {
	var records []ledger.Record
	for _, item := range items {
		records = append(records, item.records...)
	}
	startedAt := time.Now()
	if err := s.log.Append(records); err != nil {
		return err
	}
	if len(records) > 0 {
		s.observe(time.Since(startedAt), len(records))
	}
	if snapshot := items[len(items)-1].snapshot; snapshot != nil {
		// The old segment remains in use if the disk has no space for a new one.
		if err := s.log.Rotate(snapshot); err != nil {
			s.report(err)
		}
	}
	return nil
}
