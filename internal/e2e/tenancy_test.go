package e2e

import (
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	keyOfRiga  = "rigarigarigarigariga"
	keyOfLuzon = "luzonluzonluzonluzon"
	unknownKey = "nobodynobodynobodyno"
)

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// turnWithKey sends a turn with an API key.
func (f *fleet) turnWithKey(gateway *member, key string, turn turnRequest) exchangeResult {
	header := http.Header{
		"X-Program-Id": {turn.program}, "X-Program-Deadline-Ms": {"8000"},
		"X-Token-Budget": {"5000"}, "X-Token-Count": {fmt.Sprintf("100,%d", max(turn.maxTokens, 50))}, "Authorization": {"Bearer " + key},
	}
	if turn.previous != "" {
		header.Set("X-Previous-Turn", turn.previous)
	}
	return f.post(gateway, agentHost, turn.path, header, turn.body)
}

// putTenants publishes a configuration version with the tenants and waits until every gateway
// serves a probe route that only this version has.
func (f *fleet) putTenants(t *testing.T, version int, tenants ...map[string]any) {
	config := f.config.Clone(version)
	config.Tenants = tenants
	probe := "/probe-" + f.newID() + "/"
	config.Routes = append(config.Routes, map[string]any{
		"name": probe, "host": appsHost, "path_prefix": probe, "kind": "unsafe", "timeout_ms": 5000,
		"target_latency_ms": 500, "service": "apps", "attempts": 1, "public": true,
	})
	f.store.Put("config", "main", config)
	for _, gateway := range f.gateways {
		require.Eventually(t, func() bool {
			return f.post(gateway, appsHost, probe+"x", nil, "").status == http.StatusOK
		}, 20*time.Second, 20*time.Millisecond)
	}
}

// metricsOf returns the metrics page of a process.
func (f *fleet) metricsOf(m *member) string {
	response, err := http.Get("http://" + m.metricsAddress + "/metrics")
	require.NoError(f.t, err)
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return string(page)
}

func TestTenancy(t *testing.T) {
	f := startFleet(t)
	riga := map[string]any{"name": "riga", "api_keys": []string{keyOfRiga}}
	luzon := map[string]any{"name": "luzon", "api_keys": []string{keyOfLuzon}}
	f.putTenants(t, 2, riga, luzon)
	t.Run("key selects the tenant and is not forwarded", f.testKeyAndTenant)
	t.Run("turn is not visible to other tenants", f.testForeignTurn)
	t.Run("key is moved to another tenant and then removed", func(t *testing.T) {
		f.putTenants(t, 3, map[string]any{"name": "riga", "api_keys": []string{}}, map[string]any{"name": "luzon", "api_keys": []string{keyOfLuzon, keyOfRiga}})
		moved := f.post(f.gateways[1], appsHost, "/charge/a", bearer(keyOfRiga), "x")
		require.Equal(t, "luzon", runsOf(moved.id, f.apps)[0].Header.Get("X-Tenant"))
		f.putTenants(t, 4, luzon)
		for _, gateway := range f.gateways {
			refused := f.post(gateway, appsHost, "/charge/a", bearer(keyOfRiga), "x")
			require.Equal(t, http.StatusUnauthorized, refused.status)
			require.Empty(t, runsOf(refused.id, f.apps))
		}
	})
	t.Run("tenant limit is enforced across gateways", f.testLimit)
	t.Run("logs, metrics and files contain no key", f.testNoKeyInOutput)
}

// testLimit sends far more requests than a tenant's limit allows, and compares the number that ran
// with the limit over the time that passed.
func (f *fleet) testLimit(t *testing.T) {
	const rate, burst, overage, requests = 10, 6, 0.1, 150
	f.putTenants(t, 5,
		map[string]any{"name": "riga", "api_keys": []string{keyOfRiga}, "rate_per_s": rate, "burst": burst},
		map[string]any{"name": "luzon", "api_keys": []string{keyOfLuzon}, "rate_per_s": 1000, "burst": 1000})
	require.Eventually(t, func() bool {
		return f.post(f.gateways[0], appsHost, "/charge/a", bearer(keyOfRiga), "x").status == http.StatusOK
	}, 20*time.Second, 50*time.Millisecond)
	for range requests {
		spent := f.turnWithKey(f.gateways[0], keyOfRiga, turnRequest{path: "/chat/t", program: f.newID(), body: "x", maxTokens: 6000})
		require.Equal(t, http.StatusPaymentRequired, spent.status, "a request refused for another reason must not count toward the limit")
	}
	began := time.Now()
	answers := make(chan exchangeResult, requests)
	for number := range requests {
		id := f.newID()
		go func() {
			answers <- exchange(f.gateways[number%len(f.gateways)], id, appsHost, "/charge/a", bearer(keyOfRiga), "x")
		}()
	}
	ran := 0
	for range requests {
		got := <-answers
		require.NoError(t, got.err)
		runs := runsOf(got.id, f.apps)
		if got.status == http.StatusOK {
			ran++
			continue
		}
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Empty(t, runs, "a refused request must not run")
	}
	allowed := (rate*(time.Since(began).Seconds()+5) + burst) * (1 + overage)
	require.LessOrEqual(t, float64(ran), allowed)
	require.Positive(t, ran)
	for _, gateway := range f.gateways {
		other := f.post(gateway, appsHost, "/charge/a", bearer(keyOfLuzon), "x")
		require.Equal(t, http.StatusOK, other.status, "another tenant must still be served")
		require.Eventually(t, func() bool {
			return f.post(gateway, appsHost, "/charge/a", bearer(keyOfRiga), "x").status == http.StatusOK
		}, 20*time.Second, 50*time.Millisecond, "the limit must refill")
	}
}

func (f *fleet) testKeyAndTenant(t *testing.T) {
	for _, gateway := range f.gateways {
		header := bearer(keyOfRiga)
		for _, name := range []string{"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch"} {
			header.Set(name, "luzon")
		}
		got := f.post(gateway, appsHost, "/charge/a", header, "x")
		require.Equal(t, http.StatusOK, got.status, got.body)
		forwarded := runsOf(got.id, f.apps)[0].Header
		require.Equal(t, []string{"riga"}, forwarded.Values("X-Tenant"))
		for _, name := range []string{"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch"} {
			require.Empty(t, forwarded.Values(name), name)
		}
		require.Equal(t, http.StatusUnauthorized, f.post(gateway, appsHost, "/charge/a", bearer(unknownKey), "x").status)
		require.Equal(t, http.StatusUnauthorized, f.post(gateway, appsHost, "/charge/a", nil, "x").status)
	}
}

func (f *fleet) testForeignTurn(t *testing.T) {
	for _, other := range []string{f.newID(), f.newID(), f.newID()} { // so that the programs are in several cells
		program := f.newID()
		first := f.turnWithKey(f.gateways[0], keyOfRiga, turnRequest{path: "/chat/t", program: program, body: "one|"})
		require.Equal(t, http.StatusOK, first.status, first.body)
		for _, requested := range []string{program, other} {
			foreign := f.turnWithKey(f.gateways[1], keyOfLuzon, turnRequest{path: "/chat/t", program: requested, previous: first.id, body: "two|"})
			require.Equal(t, http.StatusNotFound, foreign.status, foreign.body)
			require.Empty(t, runsOf(foreign.id, f.engines))
		}
		own := f.turnWithKey(f.gateways[1], keyOfRiga, turnRequest{path: "/chat/t", program: program, previous: first.id, body: "two|"})
		require.Equal(t, http.StatusOK, own.status, own.body)
	}
}

// testNoKeyInOutput searches logs, metrics and all files of the replicas for API keys.
func (f *fleet) testNoKeyInOutput(t *testing.T) {
	requireNoKey := func(where, text string) {
		for _, key := range []string{keyOfRiga, keyOfLuzon, unknownKey} {
			require.NotContains(t, text, key, where)
		}
	}
	for _, m := range f.members() {
		requireNoKey("log of "+m.name, m.log.String())
		requireNoKey("metrics of "+m.name, f.metricsOf(m))
		if m.dataFolder == "" {
			continue
		}
		require.Eventually(t, func() bool { _, err := os.Stat(filepath.Join(m.dataFolder, "store-copy")); return err == nil }, 20*time.Second, 50*time.Millisecond)
		require.NoError(t, filepath.WalkDir(m.dataFolder, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			content, err := os.ReadFile(path)
			requireNoKey(path, string(content))
			return err
		}))
		info, err := os.Stat(filepath.Join(m.dataFolder, "store-copy"))
		require.NoError(t, err)
		require.Zero(t, info.Mode().Perm()&0o077, "the copy must be readable only by its owner")
	}
	require.True(t, strings.Contains(f.gateways[0].log.String(), `"key_fingerprint"`))
}
