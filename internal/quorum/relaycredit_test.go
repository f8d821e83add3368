package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// While a way is slow for good, requests on it must not double.
func TestFewRequestsGoASecondWayWhileTheirConnectionStands(t *testing.T) {
	const requests = 10_000
	var credit relayCredit
	second := 0
	for range requests {
		credit.sent()
		if credit.spend() {
			second++
		}
	}
	require.GreaterOrEqual(t, second, creditMost, "a moment without answers is bridged")
	require.LessOrEqual(t, second, creditMost+requests/9)
	for range creditMost * 10 {
		credit.sent()
	}
	require.Less(t, credit.spent, float64(creditMost)/2, "it comes back")
}
