// Package hangup keeps a SIGHUP from ending a process that has only just started. The signal
// asks serving processes to read their settings again, and operators may send it at any
// moment; without a handler it ends the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// ignoredBefore says that a SIGHUP had no effect before the handler was there.
var ignoredBefore = signal.Ignored(syscall.SIGHUP)

// received gets each SIGHUP from the initialisation of this package on, which depends on
// nothing but the runtime and so comes before that of the program's larger packages.
var received = catch()

func catch() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Signals returns the channel of hangups, for processes that serve until they are stopped.
func Signals() chan os.Signal { return received }

// RestoreDefault gives SIGHUP its usual effect back, for commands that end by themselves.
func RestoreDefault() {
	signal.Reset(syscall.SIGHUP)
	endAtHangup()
}
