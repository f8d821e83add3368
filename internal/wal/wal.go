// Package wal is a replica's log on disk: batches of records, each with a length
// and a checksum, in numbered segments.
//
// After a loss of power a segment holds what its last sync covered; later writes
// may be missing or torn. Reading therefore ends a segment at its first bad batch;
// nothing behind it was ever acknowledged. A segment's name lasts once its folder
// was synced, which Open and Rotate do before they return. A segment starts with a
// snapshot, so that all earlier ones may be removed.
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
	// maxBatchBytes guards against a torn length.
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
	// size is the length that is written and synced.
	size int64
	// broken is set after a failed write, whose bytes must be cut off first.
	broken bool
	// pending holds encoded records that are not durable yet.
	pending *bytes.Buffer
	encoder *gob.Encoder
}

// Open reads the newest complete segment of the folder, handing its records to
// replay in order. It reports whether there was one. The caller must Rotate before
// it appends.
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

// readSegment hands over the records of the segment's good batches and returns
// their number. It holds one batch at a time: a segment may be as large as the memory
// of the machine.
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
	batches := &batchReader{source: bufio.NewReader(file), left: info.Size()}
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

// batchReader joins the content of the batches before the first bad one.
type batchReader struct {
	source io.Reader
	// left is how many bytes of batches may still come.
	left int64
	// rest is what was not read yet of the present batch, room its memory.
	rest []byte
	room []byte
}

// Read implements io.Reader.
func (r *batchReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 && !r.next() {
		return 0, io.EOF
	}
	size := copy(p, r.rest)
	r.rest = r.rest[size:]
	return size, nil
}

// next reads the next batch and reports whether it is good.
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
	if !r.readBatch(int(length)) || crc32.Checksum(r.room, castagnoli) != sum {
		return false
	}
	r.rest = r.room
	return true
}

// readBatch fills the room with a batch. A torn length may name more than is left.
func (r *batchReader) readBatch(length int) bool {
	if int64(length) > r.left {
		return false
	}
	if cap(r.room) < length {
		r.room = make([]byte, length)
	}
	r.room = r.room[:length]
	_, err := io.ReadFull(r.source, r.room)
	r.left -= int64(length)
	return err == nil
}

// Size returns the bytes of the present segment.
func (l *Log[R]) Size() int64 { return l.size }

// Rotate starts a segment that begins with the snapshot, and removes the older
// ones once it is durable. After an error the old segment stays in use.
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

// writeSnapshot writes the records piece by piece, so that few are encoded at once, and
// syncs them once: the segment counts only after its rename.
func (l *Log[R]) writeSnapshot(snapshot []R) error {
	for piece := range slices.Chunk(snapshot, snapshotRecords) {
		if err := l.encode(piece); err != nil {
			return err
		}
		if err := l.writePending(); err != nil {
			return fmt.Errorf("wal: snapshot: %w", err)
		}
	}
	return l.file.Sync()
}

// Append writes and syncs records. After an error they stay pending and are
// written before anything else by the next Append, which may have no records of
// its own; none of them is durable until an Append succeeds.
func (l *Log[R]) Append(records []R) error {
	if err := l.encode(records); err != nil {
		return err
	}
	if l.pending.Len() == 0 {
		return nil
	}
	if err := l.cutBroken(); err != nil {
		return fmt.Errorf("wal: cut: %w", err)
	}
	l.broken = true
	if err := l.write(l.pending.Bytes()); err != nil {
		return fmt.Errorf("wal: append: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("wal: append: %w", err)
	}
	l.broken = false
	l.written()
	return nil
}

// encode adds records to those that are not durable yet.
func (l *Log[R]) encode(records []R) error {
	for _, record := range records {
		if err := l.encoder.Encode(record); err != nil {
			return fmt.Errorf("wal: encode: %w", err)
		}
	}
	return nil
}

// writePending writes what is encoded, without a sync.
func (l *Log[R]) writePending() error {
	if err := l.write(l.pending.Bytes()); err != nil {
		return err
	}
	l.written()
	return nil
}

// written notes that the pending bytes are in the file.
func (l *Log[R]) written() {
	l.size += int64(headerBytes + l.pending.Len())
	l.pending.Reset()
}

// cutBroken removes what a failed write may have left behind the synced bytes.
func (l *Log[R]) cutBroken() error {
	if !l.broken {
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

// Close closes the segment. What was appended without an error is durable already.
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
