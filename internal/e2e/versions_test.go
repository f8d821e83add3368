package e2e

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A fleet is upgraded one process after the other, so builds must understand each other's messages
// and read each other's disks. These flags let any test of a fleet run with a second build:
//
//	go test ./internal/e2e -run 'TestFleet|TestSoak' -other.program /path/of/older/swiftbank -other.runs alternating
var (
	otherProgram = flag.String("other.program", "", "the program of another build")
	otherRuns    = flag.String("other.runs", "alternating", "which processes run it: gateways, replicas, half, or at each start the one that did not run before (alternating)")
)

// programOf returns the program that a process runs in its next life.
func (f *fleet) programOf(m *member) string {
	if *otherProgram == "" || !m.runsOther() {
		return filepath.Join(f.folder, "swiftbank")
	}
	return *otherProgram
}

// runsOther reports whether the process runs the other build in its next life.
func (m *member) runsOther() bool {
	odd := strings.HasSuffix(m.name, "1") || strings.HasSuffix(m.name, "3")
	switch *otherRuns {
	case "gateways":
		return m.verb == "gateway"
	case "replicas":
		return m.verb == "replica"
	case "half":
		return odd
	default:
		return odd == (m.lives%2 == 0)
	}
}

// checkReports checks that no process got a report that it could not read.
func (f *fleet) checkReports(t *testing.T) {
	for _, m := range f.members() {
		require.NotContains(t, m.log.String(), `report_unreadable"`, m.name)
	}
}
