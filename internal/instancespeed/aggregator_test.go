package instancespeed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"swiftbank.dev/swiftbank/internal/tally"
)

var start = time.Unix(1000, 0)

// aggregatorWith returns an aggregator with count observations of one instance.
func aggregatorWith(key Key, count int, logSlowdown float64) *Aggregator {
	b := NewAggregator()
	for range count {
		b.Observe(start, key, logSlowdown, 1)
	}
	return b
}

// Once the newest report of each source has arrived, the estimate depends only on those reports,
// whatever earlier ones were lost, duplicated or reordered.
func TestLostDuplicatedAndReorderedReportsLeaveNoError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const sources = 3
		entry := func(number int) []Entry {
			return []Entry{{Key: 1, Statistics: Statistics{Stable: WeightedSum{Weight: float64(number + 1), Sum: float64(number%5) - 2}}}}
		}
		noisy, clean := NewAggregator(), NewAggregator()
		newest := make([]int, sources)
		for _, sent := range rapid.SliceOfN(rapid.IntRange(0, sources*20-1), 1, 60).Draw(t, "reports") {
			source, number := sent%sources, sent/sources
			newest[source] = max(newest[source], number)
			noisy.ApplyReport(start, tally.Source{Gateway: fmt.Sprint(source)}, tally.Version{Number: uint64(number)}, entry(number))
		}
		for source, number := range newest {
			version := tally.Version{Number: uint64(number)}
			noisy.ApplyReport(start, tally.Source{Gateway: fmt.Sprint(source)}, version, entry(number))
			clean.ApplyReport(start, tally.Source{Gateway: fmt.Sprint(source)}, version, entry(number))
		}
		require.InDelta(t, clean.Estimate(start, 1).Stable, noisy.Estimate(start, 1).Stable, 1e-9)
	})
}

func TestSilentSourceExpires(t *testing.T) {
	b := NewAggregator()
	b.ApplyReport(start, tally.Source{Gateway: "a"}, tally.Version{Number: 1}, aggregatorWith(1, 50, 1).LocalEntries(start, 24))
	require.Greater(t, b.Estimate(start, 1).Stable, 0.5)
	later := start.Add(sourceTTL + time.Second)
	b.ApplyReport(later, tally.Source{Gateway: "b"}, tally.Version{Number: 1}, nil)
	require.InDelta(t, 0, b.Estimate(later, 1).Stable, 1e-9)
}

func TestRestartedInstanceHasNewKey(t *testing.T) {
	b := aggregatorWith(KeyOf("e1", "a:1", 5), 100, 1.5)
	require.Zero(t, b.Estimate(start, KeyOf("e1", "a:1", 6)))
	require.NotEqual(t, KeyOf("e1", "a:1", 0), KeyOf("e1", "a:2", 0), "without a start time the key depends on the address")
}

func TestTransientSlowdownIsSeparateFromStableSpeed(t *testing.T) {
	b := aggregatorWith(1, 200, 0.5)
	now := start.Add(10 * time.Second)
	for range 60 {
		b.Observe(now, 1, 2, 1)
	}
	slow := b.Estimate(now, 1)
	require.Greater(t, slow.Transient, 0.7)
	later := b.Estimate(now.Add(8*time.Second), 1)
	require.Less(t, later.Transient, slow.Transient/4, "the slowdown decays, so the instance is tried again")
	require.InDelta(t, slow.Stable, later.Stable, 0.1, "the stable speed is kept")
}

func TestReportSizeIsBounded(t *testing.T) {
	const limit, maxBytes = 24, 300
	b := NewAggregator()
	for key := range Key(10_000) {
		b.Observe(start, key, float64(key%5)-2, 1)
	}
	require.LessOrEqual(t, len(Encode(b.LocalEntries(start, limit))), maxBytes)
	require.LessOrEqual(t, len(Encode(b.ZoneEntries(start, limit))), maxBytes)
}

func TestReportsPrioritizeChangesAndRotateOthers(t *testing.T) {
	const instances, limit = 90, 24
	b := NewAggregator()
	for key := range Key(instances) {
		b.Observe(start, key, 0, 1)
	}
	for range 20 {
		b.Observe(start, 70, 2, 1)
	}
	now := start.Add(time.Second)
	reported := map[Key]bool{}
	for range 1 + instances/(limit-limit/prioritizedDivisor) {
		entries := b.LocalEntries(now, limit)
		require.Equal(t, Key(70), entries[0].Key)
		for _, entry := range entries {
			reported[entry.Key] = true
		}
	}
	require.Len(t, reported, instances)
}

// A zone's report contains only its own gateways' observations. Observations of other zones would
// be counted twice there.
func TestZoneReportExcludesOtherZones(t *testing.T) {
	b := aggregatorWith(1, 4, 1)
	b.ApplyReport(start, tally.Source{Gateway: "a"}, tally.Version{Number: 1}, aggregatorWith(1, 4, 1).LocalEntries(start, 24))
	b.ApplyReport(start, tally.Source{Zone: "z"}, tally.Version{Number: 1}, aggregatorWith(1, 50, 1).LocalEntries(start, 24))
	require.InDelta(t, 8, b.ZoneEntries(start, 24)[0].Statistics.Stable.Weight, 0.3)
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	sent := []Entry{{Key: KeyOf("e1", "a:1", 7), Statistics: Statistics{
		Stable: WeightedSum{Weight: 300, Sum: -150}, Recent: WeightedSum{Weight: 7, Sum: 14}, Failed: 2, Refused: 0.1,
	}}}
	read, err := Decode(Encode(sent))
	require.NoError(t, err)
	require.Equal(t, sent[0].Key, read[0].Key)
	require.InEpsilon(t, 300, read[0].Statistics.Stable.Weight, 0.05)
	require.InEpsilon(t, -0.5, read[0].Statistics.Stable.mean(0, 0), 0.05)
	require.InEpsilon(t, 2, read[0].Statistics.Recent.mean(0, 0), 0.05)
	require.InEpsilon(t, 2, read[0].Statistics.Failed, 0.05)
	_, err = Decode(Encode(sent)[1:])
	require.ErrorIs(t, err, errTruncated)
}

// A gateway without CPU time measures long times at all instances, which must not be attributed to
// the instances.
func TestSlowGatewayDoesNotAffectInstanceSpeeds(t *testing.T) {
	m := NewModel()
	b := NewAggregator()
	now := start
	send := func(count int, delay float64) {
		for i := range count {
			now = now.Add(20 * time.Millisecond)
			key := Key(i % 12)
			speed := 1.0
			if key == 3 {
				speed = 4
			}
			logSlowdown := m.Observe(now, Sample{Kind: "k", UnitTime: time.Duration(delay * speed * float64(10*time.Millisecond)), Duration: time.Second, Slots: 6, Estimate: b.Estimate(now, key)})
			b.Observe(now, key, logSlowdown, 1)
		}
	}
	send(400, 1)
	require.Greater(t, b.Estimate(now, 3).LogSlowdown()-b.Estimate(now, 4).LogSlowdown(), math.Log(2), "one instance is slow")
	send(60, 5)
	require.Less(t, math.Abs(b.Estimate(now, 4).LogSlowdown()), math.Log(2), "the gateway is slow, not the instance")
}
