//go:build cgo

package hangup

/*
#include <signal.h>

// Runs before the Go runtime starts. The start takes some milliseconds, during which a SIGHUP would
// still terminate the process. The runtime keeps an ignored signal ignored until a handler is
// installed.
__attribute__((constructor)) static void ignore_early_hangup(void) { signal(SIGHUP, SIG_IGN); }

static void end_at_hangup(void) { signal(SIGHUP, SIG_DFL); }
*/
import "C"

// endAtHangup restores the default action in C, because the runtime would restore the action
// that it found at its start, which is to ignore the signal.
func endAtHangup() { C.end_at_hangup() }
