//go:build cgo

package hangup

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A SIGHUP during the milliseconds in which the runtime starts used to terminate the process.
func TestHangupIsIgnoredBeforeRuntimeStarts(t *testing.T) {
	require.True(t, ignoredAtStart)
}
