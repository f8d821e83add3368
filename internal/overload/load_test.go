package overload_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// loadNames returns the names of all recorded load patterns.
func loadNames(t *testing.T) []string {
	files, err := filepath.Glob(filepath.Join("..", "..", "testdata", "load", "*.json"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var names []string
	for _, file := range files {
		names = append(names, strings.TrimSuffix(filepath.Base(file), ".json"))
	}
	return names
}

func TestLoadsMeetExpectations(t *testing.T) {
	for _, name := range loadNames(t) {
		t.Run(name, func(t *testing.T) {
			pattern := readLoad(t, name)
			outcomes := replay(pattern, 1, newQueuePolicy)
			require.Len(t, outcomes, len(pattern.Expect))
			for kind, expected := range pattern.Expect {
				result := outcomes[kind]
				require.GreaterOrEqual(t, result.InTime, expected.InTime, "%s in time", kind)
				require.LessOrEqual(t, result.Late, expected.Late, "%s late", kind)
				require.LessOrEqual(t, result.RefusedFirst+result.RefusedAgain, expected.Refused, "%s refused", kind)
				require.LessOrEqual(t, result.Failed, expected.Failed, "%s failed", kind)
				require.LessOrEqual(t, result.FailedSends, expected.FailedAsks, "sends of %s that failed", kind)
				require.LessOrEqual(t, int(result.WastedWait.Milliseconds()), expected.HeldMS, "ms for which %s waited before they were refused", kind)
			}
		})
	}
}

// totalInTime returns how many callers were served in time.
func totalInTime(outcomes map[string]*outcome) int {
	sum := 0
	for _, result := range outcomes {
		sum += result.InTime
	}
	return sum
}

// The alternatives serve fewer callers in time on the same arrivals. Without ranks, less urgent
// callers displace urgent ones in a burst.
func TestAlternativePoliciesServeFewerInTime(t *testing.T) {
	for _, alternative := range []struct {
		name, load string
		newPolicy  func() waitPolicy
		ranks      bool
	}{
		{"half of the deadline", "zone-gone-and-back", newHalfDeadline, false},
		{"first come first served", "zone-gone-and-back", newFIFO, false},
		{"equal ranks", "burst-of-one-kind", newRanklessPolicy, true},
	} {
		t.Run(alternative.name, func(t *testing.T) {
			pattern := readLoad(t, alternative.load)
			current, other := replay(pattern, 2, newQueuePolicy), replay(pattern, 2, alternative.newPolicy)
			require.Greater(t, current["urgent"].InTime, other["urgent"].InTime)
			if !alternative.ranks {
				require.Greater(t, totalInTime(current), totalInTime(other))
			}
		})
	}
}
