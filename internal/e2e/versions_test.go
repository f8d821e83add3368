package e2e

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// In a rolling upgrade, builds must understand each other's messages and read each other's disks.
// These flags run any fleet test with a second build for some of the processes:
//
//	go test ./internal/e2e -run 'TestFleet|TestSoak' -other.program /path/of/older/swiftbank -other.runs alternating
var (
	otherBinary = flag.String("other.program", "", "path of the swiftbank binary of another build")
	otherRuns   = flag.String("other.runs", "alternating", "processes that run the other build: gateways, replicas, half, or alternating (each process switches builds at each start)")
)

// binaryFor returns the path of the binary for the next start of a process.
func (f *fleet) binaryFor(m *member) string {
	if *otherBinary == "" || !m.runsOtherBuild() {
		return filepath.Join(f.folder, "swiftbank")
	}
	return *otherBinary
}

// runsOtherBuild reports whether the next start of the process uses the other build.
func (m *member) runsOtherBuild() bool {
	odd := strings.HasSuffix(m.name, "1") || strings.HasSuffix(m.name, "3")
	switch *otherRuns {
	case "gateways":
		return m.subcommand == "gateway"
	case "replicas":
		return m.subcommand == "replica"
	case "half":
		return odd
	default:
		return odd == (m.starts%2 == 0)
	}
}

// checkReportsReadable checks that no process logged a report that it could not decode.
func (f *fleet) checkReportsReadable(t *testing.T) {
	for _, m := range f.members() {
		require.NotContains(t, m.log.String(), `report_unreadable"`, m.name)
	}
}
