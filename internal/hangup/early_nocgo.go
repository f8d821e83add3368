//go:build !cgo

package hangup

// endAtHangup does nothing: without cgo, SIGHUP is not ignored before the runtime starts.
func endAtHangup() {}
