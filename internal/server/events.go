package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// readEvents reads server-sent events (WHATWG HTML, section 9.2) and calls handle
// with the data of each until the stream ends or "[DONE]" comes.
func readEvents(body io.Reader, handle func(data []byte) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return nil
		}
		if err := handle(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("server: read events: %w", err)
	}
	return nil
}
