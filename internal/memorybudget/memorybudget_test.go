package memorybudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever requests do, no limit is passed, and nothing stays counted once all have ended.
func TestNoLimitIsPassed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := LimitsOf(1 << 20)
		budget := New(limits)
		var open []*Reservation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, limits.Request).Draw(t, "bytes")
			switch rapid.SampledFrom([]string{"begin", "grow", "release"}).Draw(t, "step") {
			case "begin":
				tenant := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant")
				if begun, bound := budget.Reserve(tenant, bytes); bound == WithinLimits {
					open = append(open, begun)
				}
			case "grow":
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "request")].Grow(bytes)
				}
			case "release":
				if len(open) > 0 {
					open[0].Release()
					open[0].Release()
					open = open[1:]
				}
			}
			sum, byTenant := int64(0), map[string]int64{}
			for _, each := range open {
				require.LessOrEqual(t, each.bytes, limits.Request)
				sum += each.bytes
				byTenant[each.tenant] += each.bytes
			}
			require.Equal(t, sum, budget.Held())
			require.LessOrEqual(t, sum, limits.Total)
			require.LessOrEqual(t, byTenant["a"], limits.Tenant)
			require.LessOrEqual(t, byTenant["b"], limits.Tenant)
		}
		for _, each := range open {
			each.Release()
		}
		require.Zero(t, budget.Held())
		require.Empty(t, budget.byTenant)
	})
}

func TestATenantLeavesRoomForOthersAndNewRequestsForBegunOnes(t *testing.T) {
	budget := New(LimitsOf(800))
	var bound Bound
	for bound == WithinLimits {
		_, bound = budget.Reserve("hot", 50)
	}
	require.Equal(t, TenantBound, bound)
	begun, bound := budget.Reserve("other", 100)
	require.Equal(t, WithinLimits, bound)
	for bound == WithinLimits {
		_, bound = budget.Reserve("other", 10)
	}
	require.Equal(t, TotalBound, bound)
	require.Equal(t, RequestBound, begun.Grow(1))
	small, bound := budget.Reserve("third", 0)
	require.Equal(t, WithinLimits, bound)
	require.Equal(t, WithinLimits, small.Grow(100), "what has begun may grow")
}
