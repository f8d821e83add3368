package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHistoryKeepsRecentLendings(t *testing.T) {
	h := NewHistory(policy)
	require.Empty(t, h.Recent())
	h.Add(Lending{Tenant: "a", Allowances: 1, Life: "1", Uptime: 1 * second})
	h.Add(Lending{Tenant: "a", Allowances: 2, Life: "1", Uptime: 90 * second})
	h.Add(Lending{Tenant: "b", Allowances: 4, Life: "1", Uptime: 96 * second})
	require.Equal(t, map[string]int{"a": 2, "b": 4}, h.Recent())
	h.Add(Lending{Tenant: "a", Allowances: 8, Life: "1", Uptime: 97 * second})
	require.Equal(t, map[string]int{"a": 8, "b": 4}, h.Recent())
}

// Processes that crash repeatedly must not forget what earlier processes lent.
func TestHistorySpansShortProcessLives(t *testing.T) {
	h := NewHistory(policy)
	h.Add(Lending{Tenant: "a", Allowances: 1, Life: "1", Uptime: 100 * second})
	h.Add(Lending{Tenant: "a", Allowances: 2, Life: "2", Uptime: second})
	h.Add(Lending{Tenant: "a", Allowances: 4, Life: "3", Uptime: second})
	require.Equal(t, map[string]int{"a": 7}, h.Recent())
	h.Add(Lending{Tenant: "a", Allowances: 8, Life: "3", Uptime: 6*second + 1})
	require.Equal(t, map[string]int{"a": 12}, h.Recent(), "the third process ran longer than the retention")
}
