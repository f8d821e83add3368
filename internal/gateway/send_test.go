package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
)

// An instance must not be avoided because this gateway slept, or a caller left.
func TestOnlyWhatAnInstanceDidCountsAgainstIt(t *testing.T) {
	left, leave := context.WithCancel(t.Context())
	leave()
	require.Equal(t, backend.NotSent, outcomeOfFailedSend(t.Context(), &backend.Failure{NotSent: true}))
	require.Equal(t, backend.NotSent, outcomeOfFailedSend(left, &backend.Failure{}))
	require.Equal(t, backend.Unreachable, outcomeOfFailedSend(left, &backend.Failure{Unreachable: true}))
	require.Equal(t, backend.Unreachable, outcomeOfFailedSend(t.Context(), &backend.Failure{}))
}
