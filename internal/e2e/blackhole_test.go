package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/faultproxy"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

// boundSlack is added to each bound for what the machine of the test does beside it.
const boundSlack = 3 * time.Second

// Open connections of each kind fall silent for good, without a reset, while new ones work:
// service goes on within the bound of docs/design/silent-connections.md.
func TestServiceGoesOnWhenConnectionsFallSilent(t *testing.T) {
	f := startFleetOf(t, fleetLayout{gateways: 2, replicas: 3, engines: 2, apps: 2, proxied: true})
	plain := func(path string) func(*member) bool {
		return func(gateway *member) bool { return f.post(gateway, appsHost, path, nil, "x").status == http.StatusOK }
	}
	turn := func(path string) func(*member) bool {
		return func(gateway *member) bool {
			request := turnRequest{path: path, program: f.newID(), budget: 1000, most: 50, body: "x"}
			return f.turn(gateway, request).status == http.StatusOK
		}
	}
	var peers, stores, backEnds []*faultproxy.Proxy
	for _, m := range f.members() {
		stores = append(stores, m.storePath)
		if m.peerPath != nil {
			peers = append(peers, m.peerPath)
		}
	}
	for _, path := range f.backEndPaths {
		backEnds = append(backEnds, path)
	}
	for _, test := range []struct {
		name   string
		paths  []*faultproxy.Proxy
		bound  time.Duration
		served func(*member) bool
	}{
		{"gateways and replicas to replicas", peers, 3500 * time.Millisecond, turn("/chat/t")},
		{"to back ends, a safe call", backEnds, 1500 * time.Millisecond, plain("/start/t")},
		{"to back ends, a stream that may be resumed", backEnds, 3 * time.Second, turn("/plan/t")},
		{"to the store, a changed configuration", stores, 5 * time.Second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			f.awaitTurn()
			served := test.served
			if served == nil {
				moved := platformtest.NewEngine("i-moved")
				t.Cleanup(moved.Close)
				f.store.Put("servers", moved.ID, moved.Entry("apps-2", zones[0], "ready"))
				next := f.config.Clone(f.config.Version + 1)
				next.Services = append(next.Services, map[string]any{"name": "apps-2", "connection_limit": 100})
				next.Routes[3]["service"] = "apps-2"
				defer f.store.Put("config", "main", next)
				served = func(gateway *member) bool {
					f.store.Put("config", "main", next)
					return plain("/charge/t")(gateway) && len(moved.Runs()) > 0
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
				require.Eventually(t, func() bool { return served(gateway) }, test.bound+boundSlack, 20*time.Millisecond)
			}
		})
	}
}
