package wal

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type record struct {
	Text string
	List []int
}

func open(t require.TestingT, folder string) (*Log[record], []record, bool) {
	var read []record
	log, existed, err := Open(folder, func(r record) { read = append(read, r) })
	require.NoError(t, err)
	return log, read, existed
}

func openRotated(t require.TestingT, folder string, snapshot ...record) *Log[record] {
	log, _, _ := open(t, folder)
	require.NoError(t, log.Rotate(snapshot))
	return log
}

func TestAppendedRecordsAreReadInOrder(t *testing.T) {
	folder := t.TempDir()
	log := openRotated(t, folder, record{Text: "snapshot"})
	require.NoError(t, log.Append([]record{{Text: "a"}, {Text: "b", List: []int{1}}}))
	require.NoError(t, log.Append([]record{{Text: "c"}}))
	require.NoError(t, log.Close())
	_, read, existed := open(t, folder)
	require.True(t, existed)
	require.Equal(t, []record{{Text: "snapshot"}, {Text: "a"}, {Text: "b", List: []int{1}}, {Text: "c"}}, read)
}

func TestRotateRemovesOlderSegments(t *testing.T) {
	folder := t.TempDir()
	log := openRotated(t, folder, record{Text: "first"})
	require.NoError(t, log.Append([]record{{Text: "dropped"}}))
	require.NoError(t, log.Rotate([]record{{Text: "second"}}))
	require.NoError(t, log.Append([]record{{Text: "kept"}}))
	_, read, _ := open(t, folder)
	require.Equal(t, []record{{Text: "second"}, {Text: "kept"}}, read)
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	require.NoError(t, err)
	require.Len(t, files, 1)
}

// A power failure may leave any part of the unsynced bytes, possibly corrupted. All synced records
// must be read, and none that was not written.
func TestTornTailKeepsSyncedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer os.RemoveAll(folder)
		log := openRotated(t, folder, record{Text: "snapshot"})
		synced := rapid.IntRange(0, 4).Draw(t, "synced batches")
		for batch := range synced {
			require.NoError(t, log.Append([]record{{Text: fmt.Sprint("synced ", batch)}}))
		}
		size := log.Size()
		for batch := range rapid.IntRange(0, 3).Draw(t, "unsynced batches") {
			require.NoError(t, log.Append([]record{{Text: fmt.Sprint("unsynced ", batch)}}))
		}
		path := log.path(log.number, segmentSuffix)
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		corrupt(t, content[size:])
		content = content[:rapid.IntRange(int(size), len(content)).Draw(t, "length")]
		require.NoError(t, os.WriteFile(path, content, 0o600))
		_, read, existed := open(t, folder)
		require.True(t, existed)
		require.GreaterOrEqual(t, len(read), synced+1)
		for index, r := range read[1:] {
			want := fmt.Sprint("synced ", index)
			if index >= synced {
				want = fmt.Sprint("unsynced ", index-synced)
			}
			require.Equal(t, want, r.Text)
		}
	})
}

// corrupt changes up to three bytes.
func corrupt(t *rapid.T, content []byte) {
	if len(content) == 0 {
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "torn bytes") {
		content[rapid.IntRange(0, len(content)-1).Draw(t, "place")] ^= 0x5a
	}
}

func TestFailedAppendStaysPending(t *testing.T) {
	folder := t.TempDir()
	log := openRotated(t, folder, record{Text: "snapshot"})
	require.NoError(t, log.Append([]record{{Text: "a"}}))
	writable := log.file
	readOnly, err := os.Open(log.path(log.number, segmentSuffix))
	require.NoError(t, err)
	log.file = readOnly // every write fails
	require.Error(t, log.Append([]record{{Text: "b"}}))
	require.Error(t, log.Append([]record{{Text: "c"}}))
	log.file = writable
	require.NoError(t, log.Append(nil))
	_, read, _ := open(t, folder)
	require.Equal(t, []record{{Text: "snapshot"}, {Text: "a"}, {Text: "b"}, {Text: "c"}}, read)
}

func TestUnfinishedSegmentDoesNotReplaceOld(t *testing.T) {
	folder := t.TempDir()
	log := openRotated(t, folder, record{Text: "snapshot"})
	require.NoError(t, os.WriteFile(log.path(log.number+1, partialSuffix), []byte("torn"), 0o600))
	require.NoError(t, os.WriteFile(log.path(log.number+2, segmentSuffix), []byte("torn"), 0o600))
	fresh, read, existed := open(t, folder)
	require.True(t, existed)
	require.Equal(t, []record{{Text: "snapshot"}}, read)
	require.NoError(t, fresh.Rotate(read))
	_, read, _ = open(t, folder)
	require.Equal(t, []record{{Text: "snapshot"}}, read)
}

// allocated returns the total bytes that work allocates.
func allocated(work func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A replica with 82 MB of memory starts with 10 MB of turns; reading or writing them must not take
// several times their size.
func TestLargeSegmentIsReadAndWrittenInChunks(t *testing.T) {
	const records, recordBytes = 4000, 2000
	const content = records * recordBytes
	folder := t.TempDir()
	log, _, err := Open(folder, func([]byte) {})
	require.NoError(t, err)
	snapshot := make([][]byte, records)
	for i := range snapshot {
		snapshot[i] = bytes.Repeat([]byte{byte(i)}, recordBytes)
	}
	allocatedByWrite := allocated(func() { require.NoError(t, log.Rotate(snapshot)) })
	require.Less(t, allocatedByWrite, uint64(content*2), "writing a snapshot of %d bytes", content)
	require.NoError(t, log.Close())
	var read [][]byte
	allocatedByRead := allocated(func() {
		_, existed, err := Open(folder, func(record []byte) { read = append(read, record) })
		require.NoError(t, err)
		require.True(t, existed)
	})
	require.Equal(t, snapshot, read)
	require.Less(t, allocatedByRead, uint64(content*5/2), "reading a segment of %d bytes", content)
}

// largeRecords returns records that take more than maxBatchBytes together.
func largeRecords() [][]byte {
	const recordBytes = 266 << 10
	records := make([][]byte, maxBatchBytes/recordBytes+8)
	for i := range records {
		records[i] = bytes.Repeat([]byte{byte(i)}, recordBytes)
	}
	return records
}

func readLarge(t *testing.T, folder string) (read [][]byte) {
	log, existed, err := Open(folder, func(record []byte) { read = append(read, record) })
	require.NoError(t, err)
	require.True(t, existed)
	require.Nil(t, log.Damage())
	return read
}

// A snapshot whose records take more than the largest batch is read as a whole after a restart, and not taken for an empty disk.
func TestSnapshotOfLargeRecordsIsRead(t *testing.T) {
	folder := t.TempDir()
	log, _, err := Open(folder, func([]byte) {})
	require.NoError(t, err)
	records := largeRecords()
	require.NoError(t, log.Rotate(records))
	require.NoError(t, log.Append([][]byte{{1}}))
	require.NoError(t, log.Close())
	require.Equal(t, append(records, []byte{1}), readLarge(t, folder))
}

// Records that are appended at once and take more than the largest batch are read after a restart.
func TestLargeAppendIsRead(t *testing.T) {
	folder := t.TempDir()
	log, _, err := Open(folder, func([]byte) {})
	require.NoError(t, err)
	records := largeRecords()
	require.NoError(t, log.Rotate(records[:1]))
	require.NoError(t, log.Append(records[1:]))
	require.NoError(t, log.Close())
	require.Equal(t, records, readLarge(t, folder))
}

// Earlier versions wrote snapshots in larger batches than they could read.
func TestLargeBatchOfAnEarlierVersionIsRead(t *testing.T) {
	folder := t.TempDir()
	log, _, err := Open(folder, func([]byte) {})
	require.NoError(t, err)
	records := largeRecords()
	require.NoError(t, log.Rotate(records[:1]))
	require.NoError(t, log.encode(records[1:]))
	require.NoError(t, log.write(log.pending.Bytes()))
	require.NoError(t, log.Close())
	require.Equal(t, records, readLarge(t, folder))
}

// changeByte changes one byte of the log's segment.
func changeByte(t require.TestingT, log *Log[record], offset int64) {
	path := log.path(log.number, segmentSuffix)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[offset] ^= 0x5a
	require.NoError(t, os.WriteFile(path, content, 0o600))
}

// A segment whose synced batches cannot be read is never taken for one that ends before them.
func TestDamageToSyncedBatchesIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer os.RemoveAll(folder)
		log := openRotated(t, folder, record{Text: "0"})
		batches := rapid.IntRange(0, 5).Draw(t, "batches")
		durable := log.Size()
		for batch := range batches {
			durable = log.Size()
			require.NoError(t, log.Append([]record{{Text: fmt.Sprint(batch + 1)}}))
		}
		changeByte(t, log, rapid.Int64Range(0, durable-1).Draw(t, "offset"))
		reopened, read, _ := open(t, folder)
		require.NotNil(t, reopened.Damage())
		require.Equal(t, len(read), reopened.Damage().Records)
		require.Less(t, len(read), batches+1)
		for index, r := range read {
			require.Equal(t, fmt.Sprint(index), r.Text)
		}
	})
}

func TestDamagedSegmentIsKeptAside(t *testing.T) {
	folder := t.TempDir()
	log := openRotated(t, folder, record{Text: "snapshot"})
	snapshotBytes := log.Size()
	require.NoError(t, log.Append([]record{{Text: "lost"}}))
	require.NoError(t, log.Append([]record{{Text: "also lost"}}))
	changeByte(t, log, snapshotBytes)
	damaged, read, existed := open(t, folder)
	require.True(t, existed)
	require.ErrorContains(t, damaged.Damage(), "00000001.log")
	require.NoError(t, damaged.Rotate(read))
	_, read, _ = open(t, folder)
	require.Equal(t, []record{{Text: "snapshot"}}, read)
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	require.NoError(t, err)
	require.Equal(t, []string{filepath.Join(folder, "00000001.log.damaged"), filepath.Join(folder, "00000002.log")}, files)
	require.Nil(t, func() *DamageError { log, _, _ := open(t, folder); return log.Damage() }())
}

// countingReader counts the reads of a file.
type countingReader struct {
	source io.ReaderAt
	reads  int
}

func (r *countingReader) ReadAt(p []byte, offset int64) (int, error) {
	r.reads++
	return r.source.ReadAt(p, offset)
}

// A segment has a batch for each sync. A call of the system for each of them takes a replica a tenth of a second at its start.
func TestSegmentOfSmallBatchesIsReadInFewReads(t *testing.T) {
	const batches = 10000
	log := openRotated(t, t.TempDir(), record{Text: "snapshot"})
	for range batches {
		require.NoError(t, log.encode([]record{{Text: "small"}}))
		require.NoError(t, log.writeBatch(syncLater))
	}
	file := &countingReader{source: log.file}
	valid, err := validBytes(file, log.size)
	require.NoError(t, err)
	require.Equal(t, log.size, valid)
	content, err := io.ReadAll(&batchReader{source: newScanReader(file, 0, valid)})
	require.NoError(t, err)
	require.Len(t, content, int(valid)-(batches+1)*headerBytes)
	require.Less(t, file.reads, batches/100)
}

// FuzzOpen reads arbitrary bytes as the newest segment. One without a record is damaged, not empty.
func FuzzOpen(f *testing.F) {
	folder := f.TempDir()
	log := openRotated(f, folder, record{Text: "snapshot"})
	require.NoError(f, log.Append([]record{{Text: "a", List: []int{1, 2}}}))
	require.NoError(f, log.Append([]record{{Text: "b"}}))
	content, err := os.ReadFile(log.path(log.number, segmentSuffix))
	require.NoError(f, err)
	f.Add(content)
	f.Add(content[:len(content)-1])
	f.Add(content[3:])
	f.Add(append(bytes.Clone(content), content...))
	f.Add([]byte{})
	f.Add(make([]byte, 64))
	f.Fuzz(func(t *testing.T, content []byte) {
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, "00000001.log"), content, 0o600))
		log, read, existed := open(t, folder)
		require.Equal(t, len(read) > 0, existed)
		require.True(t, existed || log.Damage() != nil)
		require.NoError(t, log.Rotate(append(read, record{Text: "new"})))
		_, again, _ := open(t, folder)
		require.Equal(t, append(read, record{Text: "new"}), again)
	})
}
