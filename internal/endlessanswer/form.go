// Package endlessanswer makes a server faulty for tests: it sends bytes without end where an answer is due, until its
// peer closes the connection.
package endlessanswer

import (
	"net"
	"strings"
)

// Form is one way in which the bytes come.
type Form struct {
	Name string
	// HasHead is set if a whole head comes first.
	HasHead bool
	// begin is sent once, with the given header lines in place of headerMark; repeated follows without end.
	begin, repeated string
}

const (
	headerMark = "{header}"
	// maxBytes ends the bytes if the peer never closes the connection.
	maxBytes = 4 << 30
	// writeBytes is about the size of one write.
	writeBytes = 64 << 10
)

// Heads returns the forms in which no head ever ends.
func Heads() []Form {
	return []Form{
		{Name: "no head", repeated: "\x00\x7f"},
		{Name: "status line", begin: "HTTP/1.1 200 ", repeated: "a"},
		{Name: "head field", begin: "HTTP/1.1 200 OK\r\nX-Long: ", repeated: "a"},
		{Name: "head fields", begin: "HTTP/1.1 200 OK\r\n", repeated: "X-Field: a\r\n"},
		{Name: "interim heads", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
}

// Bodies returns the forms in which a whole head comes first.
func Bodies() []Form {
	const block = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n"
	return []Form{
		{Name: "body until close", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}\r\n", repeated: block},
		{Name: "body of a huge length", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Content-Length: 1099511627776\r\n\r\n", repeated: block},
		{Name: "chunks", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Transfer-Encoding: chunked\r\n\r\n", repeated: "40\r\n" + block + "\r\n"},
		{Name: "chunk size", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Transfer-Encoding: chunked\r\n\r\n", repeated: "0"},
		{Name: "chunk extension", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Transfer-Encoding: chunked\r\n\r\n1;", repeated: "a"},
		{Name: "trailers", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Transfer-Encoding: chunked\r\nTrailer: X-Field\r\n\r\n0\r\n", repeated: "X-Field: a\r\n"},
		{Name: "line of an event", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Content-Type: text/event-stream\r\n\r\ndata: ", repeated: "a"},
		{Name: "lines of an event", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Content-Type: text/event-stream\r\n\r\n", repeated: "data: a\n"},
		{Name: "events", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Content-Type: text/event-stream\r\n\r\n", repeated: "data: " + block + "\n"},
		{Name: "body of an error", HasHead: true, begin: "HTTP/1.1 500 Internal Server Error\r\n{header}\r\n", repeated: block},
	}
}

// WithStatus returns a body without end under a status line such as "503 Service Unavailable".
func WithStatus(status string) Form {
	return Form{Name: "body of " + status, HasHead: true, begin: "HTTP/1.1 " + status + "\r\n{header}\r\n", repeated: "a\n"}
}

// Send writes the answer until the peer closes the connection, and closes it. The header consists of whole lines. It
// returns the number of bytes that were taken.
func (f Form) Send(connection net.Conn, header string) (sent int64) {
	defer connection.Close()
	count, err := connection.Write([]byte(strings.Replace(f.begin, headerMark, header, 1)))
	sent = int64(count)
	content := []byte(strings.Repeat(f.repeated, writeBytes/len(f.repeated)))
	for err == nil && sent < maxBytes {
		count, err = connection.Write(content)
		sent += int64(count)
	}
	return sent
}

// JSON returns a string in a JSON document.
func JSON() Form {
	return Form{Name: "JSON string", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}\r\n{\"at\":1,\"text\":\"", repeated: "a"}
}

// EngineEvents returns events of an engine's stream.
func EngineEvents() Form {
	return Form{
		Name: "events of a stream", HasHead: true, begin: "HTTP/1.1 200 OK\r\n{header}Content-Type: text/event-stream\r\n\r\n",
		repeated: "data: {\"choices\":[{\"delta\":{\"content\":\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"}}]}\n\n",
	}
}
