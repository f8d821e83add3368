package simulate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSeedsWithoutViolation runs a small fixed set under all faults.
func TestSeedsWithoutViolation(t *testing.T) {
	for _, deployment := range []string{"riga", "luzon"} {
		for seed := uint64(1); seed <= 6; seed++ {
			t.Run(fmt.Sprintf("%s-%d", deployment, seed), func(t *testing.T) {
				t.Parallel()
				report, err := Run(Options{Deployment: deployment, Seed: seed, Duration: 5 * time.Minute, Load: 0.2, Faults: AllFaults})
				require.NoError(t, err)
				require.Empty(t, report.Violations)
				require.Positive(t, report.Requests.Completed)
			})
		}
	}
}

// TestPairsOfFaults runs every two kinds of fault together.
func TestPairsOfFaults(t *testing.T) {
	for i, first := range AllFaults {
		t.Run(string(first), func(t *testing.T) {
			t.Parallel()
			for j, second := range AllFaults[i+1:] {
				deployment := []string{"riga", "luzon"}[(i+j)%2]
				report, err := Run(Options{
					Deployment: deployment, Seed: uint64(100*i + j), Duration: 3*time.Minute + 30*time.Second,
					Load: 0.05, Faults: []Fault{first, second},
				})
				require.NoError(t, err)
				require.Empty(t, report.Violations, "%s with %s and %s", deployment, first, second)
			}
		})
	}
}

func TestSameSeedSameDigest(t *testing.T) {
	options := Options{Deployment: "riga", Seed: 11, Duration: 4 * time.Minute, Load: 0.2, Faults: AllFaults}
	first, err := Run(options)
	require.NoError(t, err)
	second, err := Run(options)
	require.NoError(t, err)
	require.Equal(t, first, second)
	options.Seed = 12
	other, err := Run(options)
	require.NoError(t, err)
	require.NotEqual(t, first.Digest, other.Digest)
}

func TestUnknownNamesAreErrors(t *testing.T) {
	_, err := Run(Options{Deployment: "atlantis"})
	require.Error(t, err)
	_, err = ParseFaults("kill,meteor")
	require.ErrorContains(t, err, "meteor")
}
