package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tally"
	"swiftbank.dev/swiftbank/internal/tenant"
)

func newTestShares() *tenantShares {
	return newTenantShares(&Metrics{Registry: prometheus.NewRegistry()})
}

// Service reported by one gateway lowers the rank of the tenant's new programs at another one. An
// older report that is received after a newer one is ignored.
func TestTenantAboveFairShareRanksBehindOthers(t *testing.T) {
	here, there := newTestShares(), newTestShares()
	now := time.Now()
	there.shares.RecordUsage(now, "hot", 900*time.Millisecond)
	there.shares.RecordUsage(now, "calm", 100*time.Millisecond)
	section := (&Server{shares: here}).ShareSection()
	source := tally.Source{Gateway: "there"}
	section.apply(now, source, tally.Version{Number: 2}, (&shareSection{shares: there}).ownFigures(now))
	section.apply(now, source, tally.Version{Number: 1}, (&shareSection{shares: newTestShares()}).ownFigures(now))
	s := &Server{shares: here, options: Options{LoadControl: true, FairShares: true}}
	excess := func(name string, first bool) float64 {
		return s.tenantExcess(&request{tenant: &tenant.Tenant{Name: name}, firstOfProgram: first, service: route.Service{Generates: true}})
	}
	require.InDelta(t, 0.8, excess("hot", true), 0.05)
	require.Zero(t, excess("hot", false), "a begun program keeps its rank")
	require.Zero(t, excess("calm", true))
	s.options.FairShares = false
	require.Zero(t, excess("hot", true))
}

func TestShareReportSizeIsBounded(t *testing.T) {
	shares := newTestShares()
	now := time.Now()
	for number := range 9700 {
		shares.shares.RecordUsage(now, fmt.Sprint("tenant-", number), time.Duration(number)*time.Millisecond)
	}
	size := len((&shareSection{shares: shares}).ownFigures(now))
	t.Logf("%d bytes", size)
	require.LessOrEqual(t, size, 300)
}
