package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/faultproxy"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

// recoverySlack is added to each bound to allow for other load on the test machine.
const recoverySlack = 3 * time.Second

// TestRecoversFromBlackholedConnections drops all data on the open connections of one kind,
// without a reset, while new connections work. Requests must succeed again within the bound
// of docs/design/silent-connections.md.
func TestRecoversFromBlackholedConnections(t *testing.T) {
	f := startFleetWith(t, fleetLayout{gateways: 2, replicas: 3, engines: 2, apps: 2, proxied: true})
	plain := func(path string) func(*member) bool {
		return func(gateway *member) bool { return f.post(gateway, appsHost, path, nil, "x").status == http.StatusOK }
	}
	turn := func(path string) func(*member) bool {
		return func(gateway *member) bool {
			request := turnRequest{path: path, program: f.newID(), budget: 1000, maxTokens: 50, body: "x"}
			return f.turn(gateway, request).status == http.StatusOK
		}
	}
	var peers, stores, backEnds []*faultproxy.Proxy
	for _, m := range f.members() {
		stores = append(stores, m.storeProxy)
		if m.peerProxy != nil {
			peers = append(peers, m.peerProxy)
		}
	}
	for _, path := range f.backEndProxies {
		backEnds = append(backEnds, path)
	}
	for _, test := range []struct {
		name   string
		paths  []*faultproxy.Proxy
		bound  time.Duration
		served func(*member) bool
	}{
		{"connections to replicas", peers, 3500 * time.Millisecond, turn("/chat/t")},
		{"connections to back ends, safe call", backEnds, 1500 * time.Millisecond, plain("/start/t")},
		{"connections to back ends, resumable stream", backEnds, 3 * time.Second, turn("/plan/t")},
		{"connections to the store, configuration change", stores, 5 * time.Second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.awaitTurn()
			served := test.served
			if served == nil {
				rerouted := platformtest.NewEngine("i-moved")
				t.Cleanup(rerouted.Close)
				f.store.Put("servers", rerouted.ID, rerouted.Entry("apps-2", zones[0], "ready"))
				next := f.config.Clone(f.config.Version + 1)
				next.Services = append(next.Services, map[string]any{"name": "apps-2", "connection_limit": 100})
				next.Routes[3]["service"] = "apps-2"
				defer f.store.Put("config", "main", next)
				served = func(gateway *member) bool {
					f.store.Put("config", "main", next)
					return plain("/charge/t")(gateway) && len(rerouted.Runs()) > 0
				}
			} else {
				for _, gateway := range f.gateways {
					require.Eventually(t, func() bool { return served(gateway) }, time.Minute, 10*time.Millisecond)
				}
			}
			for _, path := range test.paths {
				path.Blackhole()
			}
			for _, gateway := range f.gateways {
				require.Eventually(t, func() bool { return served(gateway) }, test.bound+recoverySlack, 20*time.Millisecond)
			}
		})
	}
}
