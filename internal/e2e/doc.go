// Package e2e holds end-to-end tests: they build the binaries, run each component as a
// separate process, and kill and freeze processes under load.
package e2e
