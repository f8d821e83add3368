package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

// zoneSettings puts the first zone into one region and the other zones into another.
var zoneSettings = fmt.Sprintf("evacuationLimit: 5s\nzones:\n  %s: north\n  %s: south\n  %s: south\n", zones[0], zones[1], zones[2])

// TestZones evacuates zones and restricts a route to a region. The two engines and the two
// applications of the fleet are in two zones of two regions.
func TestZones(t *testing.T) {
	f := startFleetWith(t, fleetLayout{gateways: 2, replicas: 3, engines: 2, apps: 2, settings: zoneSettings})
	f.seedGateways()
	f.evacuate(t, zones[0])
	f.requireServedBy(t, 1)
	t.Run("evacuation survives a restart of all processes while the store is down", f.testEvacuationFromCopy)
	t.Run("zone is used again after its evacuation ends", f.testEvacuationEnds)
	t.Run("requests are refused while every zone is evacuated", f.testAllEvacuated)
	t.Run("route is served only in its allowed regions", f.testAllowedRegions)
}

// evacuate makes the given zones the evacuated ones and waits until every gateway has logged it.
func (f *fleet) evacuate(t *testing.T, evacuated ...string) {
	for _, zone := range zones[:2] {
		f.store.Delete("evacuations", zone)
	}
	for _, zone := range evacuated {
		f.store.Put("evacuations", zone, map[string]any{})
	}
	for _, gateway := range f.gateways {
		require.Eventually(t, func() bool {
			log := gateway.log.String()
			last := log[max(0, strings.LastIndex(log, `"event":"evacuations_changed"`)):]
			_, named, _ := strings.Cut(last, `"zones":`)
			named, _, _ = strings.Cut(named, "]")
			return strings.Count(named, `"`) == 2*len(evacuated) && (len(evacuated) != 1 || strings.Contains(named, evacuated[0]))
		}, 20*time.Second, 20*time.Millisecond)
	}
}

// requireServedBy sends turns and calls to every gateway, and requires that the engine and the
// application with the given index ran all of them.
func (f *fleet) requireServedBy(t *testing.T, number int) {
	const requests = 4
	for _, gateway := range f.gateways {
		for range requests {
			turn := f.turn(gateway, turnRequest{path: "/chat/t", program: f.newID(), budget: 500, maxTokens: 50, body: "x"})
			require.Equal(t, http.StatusOK, turn.status, turn.body)
			require.Len(t, runsOf(turn.id, f.engines[number:number+1]), 1)
			call := f.post(gateway, appsHost, "/charge/a", nil, "x")
			require.Equal(t, http.StatusOK, call.status, call.body)
			require.Len(t, runsOf(call.id, f.apps[number:number+1]), 1)
		}
	}
}

func (f *fleet) testEvacuationFromCopy(t *testing.T) {
	for _, replica := range f.replicas {
		require.Eventually(t, func() bool { return evacuationCopied(replica) }, 20*time.Second, 20*time.Millisecond)
	}
	f.store.SetFault(func(*http.Request) platformtest.Fault {
		return platformtest.Fault{Status: http.StatusServiceUnavailable}
	})
	for _, member := range f.members() {
		f.kill(member)
	}
	for _, member := range f.members() {
		f.start(member)
	}
	for _, gateway := range f.gateways {
		f.awaitReady(gateway)
	}
	f.awaitTurn()
	f.requireServedBy(t, 1)
	f.store.SetFault(nil)
}

// evacuationCopied reports whether the copy on a replica's disk contains an evacuation.
func evacuationCopied(replica *member) bool {
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	for _, batch := range feed.NewCopyFile(replica.dataFolder, quiet).Load() {
		if batch.Kind == feed.Evacuations && len(batch.Records) > 0 {
			return true
		}
	}
	return false
}

func (f *fleet) testEvacuationEnds(t *testing.T) {
	f.evacuate(t, zones[1])
	f.requireServedBy(t, 0)
}

func (f *fleet) testAllEvacuated(t *testing.T) {
	f.evacuate(t, zones[0], zones[1])
	for _, gateway := range f.gateways {
		for _, got := range []exchangeResult{
			f.turn(gateway, turnRequest{path: "/chat/t", program: f.newID(), budget: 500, maxTokens: 50, body: "x"}),
			f.post(gateway, appsHost, "/charge/a", nil, "x"),
		} {
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Contains(t, got.body, "zones_evacuated")
			require.NotEmpty(t, got.header.Get("Retry-After"))
			require.Empty(t, runsOf(got.id, append(f.apps, f.engines...)))
		}
	}
	f.evacuate(t)
}

// testAllowedRegions restricts all routes to one region. They must be served there, even though half
// of the instances are then idle, and be refused while that region is evacuated.
func (f *fleet) testAllowedRegions(t *testing.T) {
	f.config = f.config.Clone(7)
	for _, route := range f.config.Routes {
		route["allowed_regions"] = []string{"south"}
	}
	f.putTenants(t, 8)
	f.requireServedBy(t, 1)
	f.evacuate(t, zones[1])
	for _, gateway := range f.gateways {
		refused := f.post(gateway, appsHost, "/charge/a", nil, "x")
		require.Contains(t, refused.body, "zones_evacuated")
		require.Empty(t, runsOf(refused.id, f.apps))
	}
}
