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

func sharesOf() *tenantShares {
	return newTenantShares(&Metrics{Registry: prometheus.NewRegistry()})
}

// What one gateway served puts the tenant's new programs behind at another one, by way of a
// report; a report that comes again, later than the next one, changes nothing.
func TestATenantAboveItsShareGoesAfterOthers(t *testing.T) {
	here, there := sharesOf(), sharesOf()
	now := time.Now()
	there.shares.Served(now, "hot", 900*time.Millisecond)
	there.shares.Served(now, "calm", 100*time.Millisecond)
	section := (&Server{shares: here}).ShareSection()
	source := tally.Source{Gateway: "there"}
	section.apply(now, source, tally.Version{Number: 2}, (&shareSection{shares: there}).ownFigures(now))
	section.apply(now, source, tally.Version{Number: 1}, (&shareSection{shares: sharesOf()}).ownFigures(now))
	s := &Server{shares: here, options: Options{LoadControl: true, FairShares: true}}
	of := func(name string, first bool) float64 {
		return s.tenantExcess(&request{tenant: &tenant.Tenant{Name: name}, firstOfProgram: first, service: route.Service{Generates: true}})
	}
	require.InDelta(t, 0.8, of("hot", true), 0.05)
	require.Zero(t, of("hot", false), "a begun program is not put behind")
	require.Zero(t, of("calm", true))
	s.options.FairShares = false
	require.Zero(t, of("hot", true))
}

func TestAReportOfSharesIsSmall(t *testing.T) {
	shares := sharesOf()
	now := time.Now()
	for number := range 9700 {
		shares.shares.Served(now, fmt.Sprint("tenant-", number), time.Duration(number)*time.Millisecond)
	}
	size := len((&shareSection{shares: shares}).ownFigures(now))
	t.Logf("%d bytes", size)
	require.LessOrEqual(t, size, 300)
}
