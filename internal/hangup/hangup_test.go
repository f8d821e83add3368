package hangup

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A SIGHUP while a process read its settings, or a replica its log, used to terminate the process.
// Importing the package must be enough to prevent that.
func TestHangupIsCaughtAtPackageInitialization(t *testing.T) {
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	require.Equal(t, syscall.SIGHUP, <-Signals())
}
