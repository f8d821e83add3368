// Package server is the live node: it owns the sockets, goroutines and clock
// around package core. One goroutine steps the core; everything else hands it
// events and carries out its actions.
package server
