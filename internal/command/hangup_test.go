package command

import (
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// F27: a SIGHUP that came while a replica still read its log ended it.
func TestAHangupInTheFirstMomentsIsCaught(t *testing.T) {
	hangups := catchHangups()
	defer signal.Stop(hangups)
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
	require.Equal(t, syscall.SIGHUP, <-hangups)
}
