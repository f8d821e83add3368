package hangup

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A SIGHUP that came while a process read its settings, or while a replica read its log,
// ended it: nothing but the initialisation of the package may be needed.
func TestAHangupIsCaughtWithoutAnyCall(t *testing.T) {
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	require.Equal(t, syscall.SIGHUP, <-Signals())
}
