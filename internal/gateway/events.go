package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 1 << 20
	// maxStreamBytes is the maximum size of a stream, in which each token comes with its event.
	maxStreamBytes = 64 << 20
)

// event is one server-sent event.
type event struct {
	// raw is the event as received, with the empty line that ends it.
	raw []byte
	id  string
	// data is the content of the data lines, joined by newlines.
	data []byte
}

// eventReader splits a stream into events at empty lines. It never returns a truncated event.
type eventReader struct {
	source *bufio.Reader
	// returned is the size of the events that were returned.
	returned int
}

func newEventReader(source *bufio.Reader) *eventReader { return &eventReader{source: source} }

// errTruncatedEvent reports that the stream ended within an event.
var errTruncatedEvent = errors.New("the stream ended within an event")

// errEventTooLong reports an event of more than maxEventBytes.
var errEventTooLong = errors.New("an event of the stream is longer than 1 MiB")

// errStreamTooLong reports a stream of more than maxStreamBytes.
var errStreamTooLong = errors.New("the stream is longer than 64 MiB")

// next returns the next complete event, or io.EOF at the end of the stream.
func (r *eventReader) next() (event, error) {
	var parsed event
	lineStart := 0
	for {
		part, err := r.source.ReadSlice('\n')
		parsed.raw = append(parsed.raw, part...)
		switch {
		case len(parsed.raw) > maxEventBytes:
			return event{}, errEventTooLong
		case r.returned+len(parsed.raw) > maxStreamBytes:
			return event{}, errStreamTooLong
		case err == bufio.ErrBufferFull:
			continue // the line goes on
		case err == io.EOF && len(parsed.raw) > 0:
			return event{}, errTruncatedEvent
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimRight(parsed.raw[lineStart:], "\r\n")
		if len(line) == 0 {
			r.returned += len(parsed.raw)
			return parsed, nil
		}
		parsed.parseLine(line)
		lineStart = len(parsed.raw)
	}
}

// parseLine adds the fields of one line to the event.
func (e *event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
}
