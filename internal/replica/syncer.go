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

// submission is what waits for the disk: records, and what to do once they are
// durable. A submission with a snapshot starts a new segment.
type submission struct {
	records  []ledger.Record
	snapshot []ledger.Record
	after    func()
}

// syncer makes records durable in the order in which they were submitted, many
// with one sync.
type syncer struct {
	log *wal.Log[ledger.Record]
	// report is called when the disk begins to fail and when it works again.
	report func(err error)
	// observe is called with the time of each sync and the records in it.
	observe func(took time.Duration, records int)

	mu      sync.Mutex
	waiting []submission
	wake    chan struct{}
	// held is about how many bytes are waiting or being written.
	held int
	// segmentBytes is the size of the present segment, for the owner of the state.
	segmentBytes int64
}

func newSyncer(log *wal.Log[ledger.Record], report func(error), observe func(time.Duration, int)) *syncer {
	return &syncer{log: log, report: report, observe: observe, wake: make(chan struct{}, 1)}
}

func (s *syncer) submit(item submission) {
	s.mu.Lock()
	s.waiting = append(s.waiting, item)
	s.held += item.bytes()
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// bytes is about what the submission holds. A snapshot's records are the state's own.
func (i submission) bytes() int {
	size := 0
	for _, record := range i.records {
		size += record.Bytes()
	}
	return size
}

// waitingBytes is about what waits for the disk, and what is being written.
func (s *syncer) waitingBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// written notes that submissions hold nothing any more.
func (s *syncer) written(items []submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		s.held -= item.bytes()
	}
}

// size returns the bytes of the present segment.
func (s *syncer) size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.segmentBytes
}

// run works until the context ends. What was not durable by then was never
// acknowledged.
func (s *syncer) run(ctx context.Context) {
	failing := false
	for {
		items := s.take()
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
		s.written(items)
		for _, item := range items {
			if item.after != nil {
				item.after()
			}
		}
	}
}

// take removes what waits, up to and including the first snapshot.
func (s *syncer) take() []submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segmentBytes = s.log.Size()
	for i, item := range s.waiting {
		if item.snapshot != nil {
			taken := s.waiting[:i+1]
			s.waiting = append([]submission(nil), s.waiting[i+1:]...)
			return taken
		}
	}
	taken := s.waiting
	s.waiting = nil
	return taken
}

func (s *syncer) write(items []submission) error {
	var records []ledger.Record
	for _, item := range items {
		records = append(records, item.records...)
	}
	began := time.Now()
	if err := s.log.Append(records); err != nil {
		return err
	}
	if len(records) > 0 {
		s.observe(time.Since(began), len(records))
	}
	if snapshot := items[len(items)-1].snapshot; snapshot != nil {
		// The old segment stays in use if there is no room for a new one.
		if err := s.log.Rotate(snapshot); err != nil {
			s.report(err)
		}
	}
	return nil
}
