package gateway

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readEvents(content string) (events []event, err error) {
	reader := newEventReader(bufio.NewReader(strings.NewReader(content)))
	for {
		next, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, next)
	}
}

func TestEventReaderSplitsAtEmptyLines(t *testing.T) {
	events, err := readEvents("id: 1\ndata: one\n\nx-versions: 3\nid: 2\r\ndata:two\ndata: lines\r\n\r\n")
	require.Equal(t, io.EOF, err)
	require.Len(t, events, 2)
	require.Equal(t, "id: 1\ndata: one\n\n", string(events[0].raw))
	require.Equal(t, "1", events[0].id)
	require.Equal(t, "2", events[1].id)
	require.Equal(t, "two\nlines", string(events[1].data))
}

func TestEventReaderRejectsTruncatedEvent(t *testing.T) {
	for _, tail := range []string{"i", "id: 2", "id: 2\n", "id: 2\ndata: tw"} {
		events, err := readEvents("id: 1\ndata: one\n\n" + tail)
		require.Equal(t, errTruncatedEvent, err, tail)
		require.Len(t, events, 1)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: one\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, content string) {
		events, err := readEvents(content)
		joined := ""
		for _, read := range events {
			joined += string(read.raw)
		}
		require.True(t, strings.HasPrefix(content, joined))
		if err == io.EOF {
			require.Equal(t, content, joined)
		}
	})
}
