// Package e2e tests the product from outside: it builds the binaries, runs each
// part as a process of its own, and kills and freezes processes under load.
package e2e
