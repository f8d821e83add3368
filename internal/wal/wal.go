// Package wal implements a replica's write-ahead log: batches of records, each with a length
// and a checksum, in numbered segments.
//
// After a power failure, a segment contains everything up to its last sync; later writes
// may be missing or torn. Reading therefore ends a segment at its first invalid batch.
// If that is the last one, nothing in it was ever acknowledged; otherwise the segment is
// damaged, and the caller learns what could not be read. A damaged segment is kept, under
// another name, until the next one is found.
//
// A segment's name is durable once its folder is synced, which Rotate does before it returns.
// A segment starts with a snapshot, so that all earlier segments can be removed once the
// new one was read back.
package wal

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	// maxBatchBytes is the largest batch that is written. Earlier versions take a larger one for a torn one.
	maxBatchBytes = 64 << 20
	// snapshotBatchBytes is the size from which on a batch of a snapshot is written.
	snapshotBatchBytes = 256 << 10
	segmentSuffix      = ".log"
	partialSuffix      = ".partial"
	damagedSuffix      = ".damaged"
)

// Log appends batches of records of type R.
type Log[R any] struct {
	folder string
	number int
	file   *os.File
	// size is the number of bytes that are written and synced.
	size int64
	// torn is set after a failed write, whose bytes must be truncated before the next one.
	torn bool
	// pending holds encoded records that are not durable yet.
	pending *bytes.Buffer
	encoder *gob.Encoder
	// damage is what Open could not read.
	damage *DamageError
}

// Open reads the newest segment of the folder and passes its records to replay in order. existed reports whether there was
// one with records. Damage returns what could not be read. The caller must call Rotate before Append.
func Open[R any](folder string, replay func(R)) (log *Log[R], existed bool, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, false, fmt.Errorf("wal: %w", err)
	}
	numbers, err := segments(folder)
	if err != nil {
		return nil, false, err
	}
	log = &Log[R]{folder: folder}
	for _, number := range slices.Backward(numbers) {
		log.number = max(log.number, number)
		count, err := log.replay(number, replay)
		if err != nil {
			return nil, false, err
		}
		if count > 0 {
			return log, true, nil
		}
	}
	return log, false, nil
}

// replay passes the records of a segment to replay and returns their number. It records the damage of the newest damaged
// segment.
func (l *Log[R]) replay(number int, replay func(R)) (int, error) {
	path := l.path(number, segmentSuffix)
	content, err := openSegment(path)
	if err != nil {
		return 0, err
	}
	defer content.file.Close()
	count, reason := replaySegment(content, replay)
	if reason == "" {
		if reason, err = content.damage(); err != nil {
			return count, fmt.Errorf("wal: %w", err)
		}
	}
	if reason != "" && l.damage == nil {
		l.damage = &DamageError{Path: path, Offset: content.valid, Size: content.size, Records: count, Reason: reason}
	}
	return count, nil
}

// Damage returns what could not be read of the newest segment that Open found damaged, nil if all was read.
func (l *Log[R]) Damage() *DamageError { return l.damage }

func segments(folder string) ([]int, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	var numbers []int
	for _, entry := range entries {
		name, isSegment := strings.CutSuffix(entry.Name(), segmentSuffix)
		var number int
		if _, err := fmt.Sscanf(name, "%d", &number); isSegment && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *Log[R]) path(number int, suffix string) string {
	return filepath.Join(l.folder, fmt.Sprintf("%08d%s", number, suffix))
}

// Size returns the size of the current segment in bytes.
func (l *Log[R]) Size() int64 { return l.size }

// Rotate starts a new segment with the snapshot, and removes the older
// ones once it is durable. After an error the old segment remains in use.
func (l *Log[R]) Rotate(snapshot []R) error {
	next := l.number + 1
	file, err := os.OpenFile(l.path(next, partialSuffix), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o644)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	fresh := Log[R]{folder: l.folder, number: next, file: file, pending: &bytes.Buffer{}, damage: l.damage}
	fresh.encoder = gob.NewEncoder(fresh.pending)
	err = fresh.writeSnapshot(snapshot)
	if err == nil {
		err = fresh.readBack()
	}
	if err == nil {
		err = os.Rename(l.path(next, partialSuffix), l.path(next, segmentSuffix))
	}
	if err == nil {
		err = syncFolder(l.folder)
	}
	if err != nil {
		_ = file.Close()
		_ = os.Remove(l.path(next, partialSuffix))
		return fmt.Errorf("wal: rotate: %w", err)
	}
	_ = l.Close()
	*l = fresh
	l.removeOlder()
	return nil
}

// writeSnapshot writes the records in batches of about snapshotBatchBytes, to bound the memory for encoded records, and
// syncs only once, because the segment is not used before its rename.
func (l *Log[R]) writeSnapshot(snapshot []R) error {
	for index, record := range snapshot {
		if err := l.encode([]R{record}); err != nil {
			return err
		}
		if l.pending.Len() < snapshotBatchBytes && index < len(snapshot)-1 {
			continue
		}
		for l.pending.Len() > 0 {
			if err := l.writeBatch(syncLater); err != nil {
				return fmt.Errorf("wal: snapshot: %w", err)
			}
		}
	}
	return l.file.Sync()
}

// readBack checks that all of the segment's batches can be read.
func (l *Log[R]) readBack() error {
	valid, err := validBytes(l.file, l.size)
	if err != nil {
		return err
	}
	if valid != l.size {
		return &DamageError{Path: l.file.Name(), Offset: valid, Size: l.size, Reason: "the new segment cannot be read back"}
	}
	return nil
}

// Append writes and syncs records. After an error they remain pending, and the next
// Append writes them first; that call may pass no records of its own. None of them is
// durable until an Append succeeds.
func (l *Log[R]) Append(records []R) error {
	if err := l.encode(records); err != nil {
		return err
	}
	for l.pending.Len() > 0 {
		if err := l.truncateTorn(); err != nil {
			return fmt.Errorf("wal: truncate torn bytes: %w", err)
		}
		l.torn = true
		if err := l.writeBatch(l.file.Sync); err != nil {
			return fmt.Errorf("wal: append: %w", err)
		}
		l.torn = false
	}
	return nil
}

// encode adds records to the pending ones.
func (l *Log[R]) encode(records []R) error {
	for _, record := range records {
		if err := l.encoder.Encode(record); err != nil {
			return fmt.Errorf("wal: encode: %w", err)
		}
	}
	return nil
}

// writeBatch writes a batch of pending bytes and syncs it. They remain pending after an error.
func (l *Log[R]) writeBatch(sync func() error) error {
	batch := l.nextBatch()
	if err := l.write(batch); err != nil {
		return err
	}
	if err := sync(); err != nil {
		return err
	}
	l.recordWritten(len(batch))
	return nil
}

// syncLater leaves the sync to the caller.
func syncLater() error { return nil }

// nextBatch returns the pending bytes, up to the largest batch. A batch may end within a record.
func (l *Log[R]) nextBatch() []byte {
	return l.pending.Bytes()[:min(l.pending.Len(), maxBatchBytes)]
}

// recordWritten adds a batch of the given length to the size of the segment and removes it from the pending bytes.
func (l *Log[R]) recordWritten(length int) {
	l.size += int64(headerBytes + length)
	l.pending.Next(length)
}

// truncateTorn removes bytes that a failed write may have left after the synced ones.
func (l *Log[R]) truncateTorn() error {
	if !l.torn {
		return nil
	}
	if err := l.file.Truncate(l.size); err != nil {
		return err
	}
	_, err := l.file.Seek(l.size, io.SeekStart)
	return err
}

func (l *Log[R]) write(batch []byte) error {
	framed := make([]byte, headerBytes, headerBytes+len(batch))
	binary.LittleEndian.PutUint32(framed, uint32(len(batch)))
	binary.LittleEndian.PutUint32(framed[4:], crc32.Checksum(batch, castagnoli))
	_, err := l.file.Write(append(framed, batch...))
	return err
}

// Close closes the segment. Records that were appended without an error are already durable.
func (l *Log[R]) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

func syncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer opened.Close()
	return opened.Sync()
}

// removeOlder removes the older segments, and sets a damaged one aside. An error is tolerated: what is left is older than
// the segment in use.
func (l *Log[R]) removeOlder() {
	numbers, err := segments(l.folder)
	if err != nil {
		return
	}
	for _, number := range numbers {
		path := l.path(number, segmentSuffix)
		switch {
		case number >= l.number:
		case l.damage != nil && l.damage.Path == path:
			l.setAside(path)
		default:
			_ = os.Remove(path)
		}
	}
}

// setAside keeps a damaged segment for the operator, in place of one that was kept before.
func (l *Log[R]) setAside(path string) {
	kept, _ := filepath.Glob(filepath.Join(l.folder, "*"+damagedSuffix)) // the pattern is valid
	for _, older := range kept {
		_ = os.Remove(older)
	}
	_ = os.Rename(path, path+damagedSuffix)
}
