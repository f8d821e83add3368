package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is buffered before it is forwarded.
	maxAnswerBytes = 64 << 20
	// smallAnswerBytes is the size up to which answers are not accounted for.
	smallAnswerBytes = 64 << 10
	// answerChunkBytes is the unit in which larger answers take memory.
	answerChunkBytes = 256 << 10
	// answerMemoryShare is the part of the machine's memory that larger answers may take together, as a divisor.
	answerMemoryShare = 4
)

var (
	// errAnswerTooLong reports an answer of more than maxAnswerBytes.
	errAnswerTooLong = errors.New("the answer is longer than 64 MiB")
	// errNoAnswerMemory reports that larger answers take all the memory that they may.
	errNoAnswerMemory = errors.New("there is no memory for the rest of the answer")
)

// isAnswerTooLong reports whether the gateway gave up an answer for its length.
func isAnswerTooLong(err error) bool {
	return errors.Is(err, errAnswerTooLong) || errors.Is(err, errNoAnswerMemory) || errors.Is(err, errEventTooLong) || errors.Is(err, errStreamTooLong)
}

// answerMemory bounds the memory of answers that are larger than usual, whatever the instances send. It is safe for
// concurrent use.
type answerMemory struct {
	mu          sync.Mutex
	limit, used int64
}

// newAnswerMemory returns the account of a machine with the given memory in bytes; 0 bounds only single answers.
func newAnswerMemory(machineBytes int64) *answerMemory {
	return &answerMemory{limit: machineBytes / answerMemoryShare}
}

// take takes memory if there is enough.
func (m *answerMemory) take(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && m.used+bytes > m.limit {
		return false
	}
	m.used += bytes
	return true
}

func (m *answerMemory) giveBack(bytes int64) {
	m.mu.Lock()
	m.used -= bytes
	m.mu.Unlock()
}

// answerHolding is the memory that one answer takes.
type answerHolding struct {
	memory *answerMemory
	taken  int64
}

// growTo takes the memory of an answer of the given size.
func (h *answerHolding) growTo(size int64) error {
	if size > maxAnswerBytes+answerChunkBytes {
		return errAnswerTooLong
	}
	for smallAnswerBytes+h.taken < size {
		if !h.memory.take(answerChunkBytes) {
			return errNoAnswerMemory
		}
		h.taken += answerChunkBytes
	}
	return nil
}

func (h *answerHolding) release() {
	h.memory.giveBack(h.taken)
	h.taken = 0
}

// answerBuffer holds an answer until it is complete.
type answerBuffer struct {
	answerHolding
	chunks [][]byte
	size   int64
}

// read reads a whole body.
func (b *answerBuffer) read(response *http.Response, body io.Reader) error {
	if response.ContentLength > maxAnswerBytes {
		return errAnswerTooLong
	}
	first, err := io.ReadAll(io.LimitReader(body, smallAnswerBytes))
	b.add(first)
	ended := len(first) < smallAnswerBytes
	for err == nil && !ended {
		ended, err = b.readChunk(body)
	}
	return err
}

// readChunk reads up to answerChunkBytes, and reports whether the body ended.
func (b *answerBuffer) readChunk(body io.Reader) (ended bool, err error) {
	if err := b.growTo(b.size + answerChunkBytes); err != nil {
		return false, err
	}
	chunk := make([]byte, answerChunkBytes)
	count := 0
	for count < len(chunk) && err == nil {
		var read int
		read, err = body.Read(chunk[count:])
		count += read
	}
	b.add(chunk[:count])
	if err == io.EOF {
		return true, nil
	}
	return false, err
}

func (b *answerBuffer) add(chunk []byte) {
	b.chunks = append(b.chunks, chunk)
	b.size += int64(len(chunk))
}
