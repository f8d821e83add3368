package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/examples"
	"swiftbank.dev/swiftbank/internal/program"
)

const overheadBody = `{"messages":[{"role":"user","content":"How many bikes stand at Centrs?"}],"max_tokens":32,"stream":true}`

// direct sends a call straight to an engine stand-in.
func direct(b *testing.B, address, id string) time.Duration {
	started := time.Now()
	request, err := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", bytes.NewReader([]byte(overheadBody)))
	require.NoError(b, err)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Session-Id", id)
	response, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
	return time.Since(started)
}

// BenchmarkOverhead pairs a streamed call through a node with the same call
// straight to the engine, in turn, and reports the medians and their difference.
func BenchmarkOverhead(b *testing.B) {
	deployment, err := Start(io.Discard)
	require.NoError(b, err)
	defer deployment.Stop()
	client := program.NewClient(deployment.Addresses())
	defer client.Close()
	var straight, through []time.Duration
	tokens := int64(0)
	for i := 0; b.Loop(); i++ {
		name := fmt.Sprintf("overhead-%d", i)
		straight = append(straight, direct(b, deployment.engineAddresses[i%len(deployment.engineAddresses)], name))
		started := time.Now()
		answer, err := client.Send(context.Background(), program.Call{
			APIKey: examples.Keys["coop-riga"], Session: name, Sequence: 1, IdempotencyKey: name, Template: "rider-assistant",
			Stream: true, Path: "/v1/chat/completions", Body: []byte(overheadBody),
		})
		require.NoError(b, err)
		require.True(b, answer.Succeeded())
		through = append(through, time.Since(started))
		tokens += answer.CompletionTokens
	}
	slices.Sort(straight)
	slices.Sort(through)
	middle := len(through) / 2
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(milliseconds(straight[middle]), "ms-straight-p50")
	b.ReportMetric(milliseconds(through[middle]), "ms-through-p50")
	b.ReportMetric(milliseconds(through[middle]-straight[middle]), "ms-overhead-p50")
	b.ReportMetric(milliseconds(through[len(through)*95/100]-straight[len(straight)*95/100]), "ms-overhead-p95")
	b.ReportMetric(float64(tokens)/float64(len(through)), "tokens/call")
}
