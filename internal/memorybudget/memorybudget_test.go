package memorybudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// No sequence of operations exceeds a limit, and nothing is held once all requests are released.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := LimitsOf(1 << 20)
		budget := New(limits)
		var open []*Reservation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, limits.Request).Draw(t, "bytes")
			switch rapid.SampledFrom([]string{"begin", "grow", "release"}).Draw(t, "step") {
			case "begin":
				tenant := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant")
				if reservation, bound := budget.Reserve(tenant, bytes); bound == WithinLimits {
					open = append(open, reservation)
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
			for _, reservation := range open {
				require.LessOrEqual(t, reservation.bytes, limits.Request)
				sum += reservation.bytes
				byTenant[reservation.tenant] += reservation.bytes
			}
			require.Equal(t, sum, budget.Held())
			require.LessOrEqual(t, sum, limits.Total)
			require.LessOrEqual(t, byTenant["a"], limits.Tenant)
			require.LessOrEqual(t, byTenant["b"], limits.Tenant)
		}
		for _, reservation := range open {
			reservation.Release()
		}
		require.Zero(t, budget.Held())
		require.Empty(t, budget.byTenant)
	})
}

func TestLimitsLeaveHeadroomForOtherTenantsAndOpenRequests(t *testing.T) {
	budget := New(LimitsOf(800))
	var bound Bound
	for bound == WithinLimits {
		_, bound = budget.Reserve("hot", 50)
	}
	require.Equal(t, TenantBound, bound)
	reservation, bound := budget.Reserve("other", 100)
	require.Equal(t, WithinLimits, bound)
	for bound == WithinLimits {
		_, bound = budget.Reserve("other", 10)
	}
	require.Equal(t, TotalBound, bound)
	require.Equal(t, RequestBound, reservation.Grow(1))
	small, bound := budget.Reserve("third", 0)
	require.Equal(t, WithinLimits, bound)
	require.Equal(t, WithinLimits, small.Grow(100), "open requests may grow")
}
