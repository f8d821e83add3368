package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
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
}

func newEventReader(source *bufio.Reader) *eventReader { return &eventReader{source: source} }

// errTruncatedEvent reports that the stream ended within an event.
var errTruncatedEvent = errors.New("the stream ended within an event")

// next returns the next complete event, or io.EOF at the end of the stream.
func (r *eventReader) next() (event, error) {
	var parsed event
	for {
		line, err := r.source.ReadBytes('\n')
		if err == io.EOF && len(line)+len(parsed.raw) > 0 {
			return event{}, errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
		parsed.raw = append(parsed.raw, line...)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return parsed, nil
		}
		parsed.parseLine(line)
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
