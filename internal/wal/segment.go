package wal

import (
	"bufio"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
)

const (
	// headerBytes is the size of a batch's length and checksum.
	headerBytes = 8
	// scanBufferBytes is the size of the buffer through which a segment is scanned.
	scanBufferBytes = 64 << 10
	// maxSoughtBytes is the largest batch that is sought behind an invalid one.
	maxSoughtBytes = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError describes a segment that lost batches that had been synced. What could be read is what precedes the damage.
type DamageError struct {
	// Path is the file, Offset the first byte that could not be read, Size the length of the file in bytes.
	Path   string
	Offset int64
	Size   int64
	// Records is the number of records that could be read.
	Records int
	Reason  string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s: %s at byte %d of %d, after %d records", e.Path, e.Reason, e.Offset, e.Size, e.Records)
}

// segment is the content of a file that is read.
type segment struct {
	file *os.File
	size int64
	// valid is the end of the valid batches from the start on.
	valid int64
}

// openSegment opens a segment and finds the end of its valid batches. The caller must close the file.
func openSegment(path string) (*segment, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	s := &segment{file: file}
	info, err := file.Stat()
	if err == nil {
		s.size = info.Size()
		s.valid, err = validBytes(file, s.size)
	}
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("wal: %w", err)
	}
	return s, nil
}

// validBytes returns the end of the valid batches at the start of a file of the given size.
func validBytes(file io.ReaderAt, size int64) (int64, error) {
	source := newScanReader(file, 0, size)
	for offset := int64(0); ; {
		length, isValid, err := checkBatch(source, size-offset)
		if err != nil || !isValid {
			return offset, err
		}
		offset += headerBytes + length
	}
}

// newScanReader returns a reader of a part of a file. It reads many batches at once.
func newScanReader(file io.ReaderAt, from, to int64) *bufio.Reader {
	return bufio.NewReaderSize(io.NewSectionReader(file, from, to-from), scanBufferBytes)
}

// checkBatch reads a batch from a source that has the given number of bytes left, and reports whether it is valid. It does
// not hold the batch in memory, because that may be as large as the segment.
func checkBatch(source *bufio.Reader, left int64) (length int64, isValid bool, err error) {
	if left < headerBytes {
		return 0, false, nil
	}
	header, err := source.Peek(headerBytes)
	if err != nil {
		return 0, false, err
	}
	length, sum := decodeHeader(header)
	if length == 0 || length > left-headerBytes {
		return 0, false, nil
	}
	checksum, err := checksumOf(source, length)
	return length, checksum == sum, err
}

// checksumOf reads a header and the content after it, and returns the content's checksum.
func checksumOf(source *bufio.Reader, length int64) (checksum uint32, err error) {
	if _, err := source.Discard(headerBytes); err != nil {
		return 0, err
	}
	for unread := length; unread > 0; {
		part, err := source.Peek(int(min(unread, scanBufferBytes)))
		if err != nil {
			return 0, err
		}
		checksum = crc32.Update(checksum, castagnoli, part)
		unread -= int64(len(part))
		if _, err := source.Discard(len(part)); err != nil {
			return 0, err
		}
	}
	return checksum, nil
}

func decodeHeader(header []byte) (length int64, sum uint32) {
	return int64(binary.LittleEndian.Uint32(header)), binary.LittleEndian.Uint32(header[4:])
}

// damage returns why batches of the segment that had been synced cannot be read, "" if none is missing. A segment gets its
// name once its snapshot is synced, and a batch is written once the one before is synced. So only the last batch may be torn,
// and never the first.
func (s *segment) damage() (reason string, err error) {
	if s.valid == 0 {
		return "the snapshot is invalid", nil
	}
	follows, err := s.hasBatchBehind(s.valid + 1)
	if err != nil || !follows {
		return "", err
	}
	return "a batch is invalid, and a valid one follows", nil
}

// hasBatchBehind reports whether a valid batch begins at an offset or behind it. The length of the invalid batch
// before it may be wrong, so every offset is tried.
func (s *segment) hasBatchBehind(offset int64) (bool, error) {
	rest := newScanReader(s.file, offset, max(offset, s.size))
	for ; s.size-offset > headerBytes; offset++ {
		header, err := rest.Peek(headerBytes)
		if err != nil {
			return false, err
		}
		if length, _ := decodeHeader(header); s.mayBeBatch(offset, length) {
			if _, isValid, err := checkBatch(newScanReader(s.file, offset, s.size), s.size-offset); err != nil || isValid {
				return isValid, err
			}
		}
		if _, err := rest.Discard(1); err != nil {
			return false, err
		}
	}
	return false, nil
}

// mayBeBatch reports whether a length may be that of a batch at the offset: the segment ends with the batch, or it goes on
// with another length that is possible. That spares nearly all checksums.
func (s *segment) mayBeBatch(offset, length int64) bool {
	end := offset + headerBytes + length
	if length == 0 || length > maxSoughtBytes || end > s.size {
		return false
	}
	if end == s.size {
		return true
	}
	var header [headerBytes]byte
	if _, err := s.file.ReadAt(header[:], end); err != nil {
		return false
	}
	next, _ := decodeHeader(header[:])
	return next > 0 && next <= s.size-end-headerBytes
}

// replaySegment passes the records of the valid batches to replay, and returns their number and why further ones
// cannot be read. A record that ends with the valid batches is torn like a batch.
func replaySegment[R any](s *segment, replay func(R)) (count int, damage string) {
	decoder := gob.NewDecoder(bufio.NewReader(&batchReader{source: newScanReader(s.file, 0, s.valid)}))
	for ; ; count++ {
		var record R
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return count, ""
		}
		if err != nil {
			return count, err.Error()
		}
		replay(record)
	}
}

// batchReader reads the concatenated content of valid batches.
type batchReader struct {
	source *bufio.Reader
	// unread is the number of bytes of the current batch that were not returned yet.
	unread int64
}

// Read implements io.Reader.
func (r *batchReader) Read(p []byte) (int, error) {
	for r.unread == 0 {
		var header [headerBytes]byte
		if _, err := io.ReadFull(r.source, header[:]); err != nil {
			return 0, err
		}
		r.unread, _ = decodeHeader(header[:])
	}
	count, err := r.source.Read(p[:min(int64(len(p)), r.unread)])
	r.unread -= int64(count)
	return count, err
}
