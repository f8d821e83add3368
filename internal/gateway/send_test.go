package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
)

// An instance must not be avoided because this gateway was suspended or a caller disconnected.
func TestOutcomeOfFailedSend(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, backend.NotSent, outcomeOfFailedSend(t.Context(), &backend.Failure{NotSent: true}))
	require.Equal(t, backend.NotSent, outcomeOfFailedSend(canceled, &backend.Failure{}))
	require.Equal(t, backend.Unreachable, outcomeOfFailedSend(canceled, &backend.Failure{Unreachable: true}))
	require.Equal(t, backend.Unreachable, outcomeOfFailedSend(t.Context(), &backend.Failure{}))
}
