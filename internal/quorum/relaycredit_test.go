package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// While a link is permanently slow, relaying must not double the number of requests.
func TestRelayCreditLimitsDuplicateRequests(t *testing.T) {
	const requests = 10_000
	var credit relayCredit
	relayed := 0
	for range requests {
		credit.refill()
		if credit.spend() {
			relayed++
		}
	}
	require.GreaterOrEqual(t, relayed, maxCredit, "the burst covers a short time without replies")
	require.LessOrEqual(t, relayed, maxCredit+requests/9)
	for range maxCredit * 10 {
		credit.refill()
	}
	require.Less(t, credit.spent, float64(maxCredit)/2, "direct requests refill the bucket")
}
