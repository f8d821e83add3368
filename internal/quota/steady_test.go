package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/tenant"
)

// A steady tenant within its limit borrows more often than the resolution of expiries. New lendings
// must not extend the expiry of earlier ones.
func TestSteadyTenantWithinItsLimitIsNeverRefused(t *testing.T) {
	l := lenderOf(1, tenant.Limit{PerSecond: 100})
	for number := range 3000 {
		now := start.Add(60*second + time.Duration(number)*20*time.Millisecond) // 50 a second
		lent, _ := l.Lend(now, Borrow{Tenant: "t0", Waiting: 1})
		require.Equal(t, 1, lent.Waiting, "request %d", number)
	}
}
