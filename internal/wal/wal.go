// Package wal implements a replica's write-ahead log: batches of records, each with a length
// and a checksum, in numbered segments.
//
// After a power failure, a segment contains everything up to its last sync; later writes
// may be missing or torn. Reading therefore ends a segment at its first invalid batch;
// nothing after it was ever acknowledged. A segment's name is durable once its folder
// is synced, which Rotate does before it returns. A segment starts with a
// snapshot, so that all earlier segments can be removed.
package wal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	// headerBytes is the size of a batch's length and checksum.
	headerBytes = 8
	// maxBatchBytes is the largest valid length of a batch; a torn length may exceed it.
	maxBatchBytes = 64 << 20
	// snapshotRecords is how many records of a snapshot are encoded at once.
	snapshotRecords = 256
	segmentSuffix   = ".log"
	partialSuffix   = ".partial"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

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
}

// Open reads the newest complete segment of the folder and passes its records to
// replay in order. existed reports whether there was one. The caller must call Rotate before
// Append.
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
		count, err := readSegment(log.path(number, segmentSuffix), replay)
		if err != nil {
			return nil, false, err
		}
		if count > 0 {
			return log, true, nil
		}
	}
	return log, false, nil
}

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

// readSegment passes the records of the segment's valid batches to replay and returns
// their number. It holds one batch in memory at a time, because a segment may be as large as
// the memory of the machine.
func readSegment[R any](path string, replay func(R)) (int, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, fmt.Errorf("wal: %w", err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return 0, fmt.Errorf("wal: %w", err)
	}
	batches := &batchReader{source: bufio.NewReader(file), remaining: info.Size()}
	decoder := gob.NewDecoder(bufio.NewReader(batches))
	for count := 0; ; count++ {
		var record R
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return count, nil
		}
		if err != nil {
			return count, fmt.Errorf("wal: %s: record %d: %w", path, count, err)
		}
		replay(record)
	}
}

// batchReader reads the concatenated content of the batches before the first invalid one.
type batchReader struct {
	source io.Reader
	// remaining is an upper bound of the batch bytes not read yet from the segment.
	remaining int64
	// unread is the part of the current batch that was not returned yet, buffer the memory of the batch.
	unread []byte
	buffer []byte
}

// Read implements io.Reader.
func (r *batchReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 && !r.next() {
		return 0, io.EOF
	}
	size := copy(p, r.unread)
	r.unread = r.unread[size:]
	return size, nil
}

// next reads the next batch and reports whether it is valid.
func (r *batchReader) next() bool {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.source, header[:]); err != nil {
		return false
	}
	length := binary.LittleEndian.Uint32(header[:])
	sum := binary.LittleEndian.Uint32(header[4:])
	if length == 0 || length > maxBatchBytes {
		return false
	}
	if !r.readBatch(int(length)) || crc32.Checksum(r.buffer, castagnoli) != sum {
		return false
	}
	r.unread = r.buffer
	return true
}

// readBatch fills the buffer with a batch of the given length, which may be torn and exceed the
// remaining bytes.
func (r *batchReader) readBatch(length int) bool {
	if int64(length) > r.remaining {
		return false
	}
	if cap(r.buffer) < length {
		r.buffer = make([]byte, length)
	}
	r.buffer = r.buffer[:length]
	_, err := io.ReadFull(r.source, r.buffer)
	r.remaining -= int64(length)
	return err == nil
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
	fresh := Log[R]{folder: l.folder, number: next, file: file, pending: &bytes.Buffer{}}
	fresh.encoder = gob.NewEncoder(fresh.pending)
	err = fresh.writeSnapshot(snapshot)
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

// writeSnapshot writes the records in chunks, to bound the memory for encoded records, and
// syncs only once, because the segment is not used before its rename.
func (l *Log[R]) writeSnapshot(snapshot []R) error {
	for chunk := range slices.Chunk(snapshot, snapshotRecords) {
		if err := l.encode(chunk); err != nil {
			return err
		}
		if err := l.writePending(); err != nil {
			return fmt.Errorf("wal: snapshot: %w", err)
		}
	}
	return l.file.Sync()
}

// Append writes and syncs records. After an error they remain pending, and the next
// Append writes them first; that call may pass no records of its own. None of them is
// durable until an Append succeeds.
func (l *Log[R]) Append(records []R) error {
	if err := l.encode(records); err != nil {
		return err
	}
	if l.pending.Len() == 0 {
		return nil
	}
	if err := l.truncateTorn(); err != nil {
		return fmt.Errorf("wal: truncate torn bytes: %w", err)
	}
	l.torn = true
	if err := l.write(l.pending.Bytes()); err != nil {
		return fmt.Errorf("wal: append: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: append: %w", err)
	}
	l.torn = false
	l.recordWritten()
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

// writePending writes the pending records without a sync.
func (l *Log[R]) writePending() error {
	if err := l.write(l.pending.Bytes()); err != nil {
		return err
	}
	l.recordWritten()
	return nil
}

// recordWritten adds the pending bytes to the size of the segment and clears them.
func (l *Log[R]) recordWritten() {
	l.size += int64(headerBytes + l.pending.Len())
	l.pending.Reset()
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

func (l *Log[R]) removeOlder() {
	numbers, err := segments(l.folder)
	if err != nil {
		return
	}
	for _, number := range numbers {
		if number < l.number {
			_ = os.Remove(l.path(number, segmentSuffix))
		}
	}
}
