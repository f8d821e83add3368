// Package hangup keeps a SIGHUP from terminating a process that has just started. The signal
// makes serving processes reload their settings, and operators may send it at any time; without
// a handler it terminates the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// ignoredAtStart reports whether SIGHUP was ignored before the handler was installed.
var ignoredAtStart = signal.Ignored(syscall.SIGHUP)

// hangups receives each SIGHUP from the initialisation of this package on. The package depends on
// nothing but the runtime, so it is initialised before the program's larger packages.
var hangups = notifyHangups()

func notifyHangups() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Signals returns the channel that receives SIGHUP, for long-running processes.
func Signals() chan os.Signal { return hangups }

// RestoreDefault restores the default action of SIGHUP, termination, for commands that are not
// long-running.
func RestoreDefault() {
	signal.Reset(syscall.SIGHUP)
	endAtHangup()
}
