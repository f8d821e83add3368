package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
)

// maxMessageBytes is the maximum size of one message. The history of a program takes a tenth of it at most.
const maxMessageBytes = 32 << 20

// ErrMessageTooLong is returned for a message of more than the decoder's limit.
var ErrMessageTooLong = errors.New("peer: a message is too long")

// Decoder decodes messages of bounded size. It is not safe for concurrent use.
type Decoder struct {
	source  *limitedReader
	decoder *gob.Decoder
	limit   int
}

// NewDecoder returns a decoder of the messages that are read from a connection.
func NewDecoder(connection io.Reader) *Decoder {
	return NewDecoderWithLimit(connection, maxMessageBytes)
}

// NewDecoderWithLimit returns a decoder of messages of up to limit bytes.
func NewDecoderWithLimit(connection io.Reader, limit int) *Decoder {
	source := &limitedReader{source: bufio.NewReaderSize(connection, bufferBytes)}
	return &Decoder{source: source, decoder: gob.NewDecoder(source), limit: limit}
}

// Decode decodes the next message. After an error the connection cannot be used any more.
func (d *Decoder) Decode(message any) error {
	d.source.left = d.limit
	return d.decoder.Decode(message)
}

// limitedReader reads up to left bytes. It implements io.ByteReader, so that a gob decoder does not buffer it again.
type limitedReader struct {
	source *bufio.Reader
	left   int
}

// Read implements io.Reader.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrMessageTooLong
	}
	read, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= read
	return read, err
}

// ReadByte implements io.ByteReader.
func (r *limitedReader) ReadByte() (byte, error) {
	if r.left <= 0 {
		return 0, ErrMessageTooLong
	}
	r.left--
	return r.source.ReadByte()
}
