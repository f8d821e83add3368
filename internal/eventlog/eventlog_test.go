package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

func (u blockedOutput) Write(p []byte) (int, error) {
	<-u.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	output := blockedOutput{release: make(chan struct{})}
	writer := NewWriter(output)
	logger := New(writer, "node")
	const lines = 4 * queueCapacity
	for range lines {
		logger.Info().Str("event", "request").Msg("")
	}
	require.Positive(t, writer.Dropped())
	require.Less(t, writer.Dropped(), uint64(lines))
	writer.Close(time.Millisecond)
	close(output.release)
}

func TestLinesAreJSONWithTimeAndNode(t *testing.T) {
	var output bytes.Buffer
	writer := NewWriter(&output)
	logger := New(writer, "node-7")
	for range 3 {
		logger.Info().Str("event", "request").Str("id", "a\"b").Msg("")
	}
	writer.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	require.Len(t, lines, 3)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
	require.Equal(t, "node-7", line["node"])
	require.Equal(t, "a\"b", line["id"])
	require.Contains(t, line, "time")
}
