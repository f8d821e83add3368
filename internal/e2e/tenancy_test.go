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
	keyOfRiga   = "rigarigarigarigariga"
	keyOfLuzon  = "luzonluzonluzonluzon"
	keyOfNobody = "nobodynobodynobodyno"
)

func as(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// turnAs sends a turn that shows a key.
func (f *fleet) turnAs(gateway *member, key string, turn turnRequest) answered {
	header := http.Header{
		"X-Program-Id": {turn.program}, "X-Program-Deadline-Ms": {"8000"},
		"X-Token-Budget": {"5000"}, "X-Token-Count": {fmt.Sprintf("100,%d", max(turn.most, 50))}, "Authorization": {"Bearer " + key},
	}
	if turn.previous != "" {
		header.Set("X-Previous-Turn", turn.previous)
	}
	return f.post(gateway, agentHost, turn.path, header, turn.body)
}

// putTenants puts a version with tenants in force and waits until every gateway knows it:
// a route that each version adds is served then.
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
	response, err := http.Get("http://" + m.metrics + "/metrics")
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
	t.Run("the key says the tenant and goes no further", f.testKeyAndTenant)
	t.Run("a turn belongs to its tenant", f.testForeignTurn)
	t.Run("a key moves and is taken away", func(t *testing.T) {
		f.putTenants(t, 3, map[string]any{"name": "riga", "api_keys": []string{}}, map[string]any{"name": "luzon", "api_keys": []string{keyOfLuzon, keyOfRiga}})
		moved := f.post(f.gateways[1], appsHost, "/charge/a", as(keyOfRiga), "x")
		require.Equal(t, "luzon", runsOf(moved.id, f.apps)[0].Header.Get("X-Tenant"))
		f.putTenants(t, 4, luzon)
		for _, gateway := range f.gateways {
			refused := f.post(gateway, appsHost, "/charge/a", as(keyOfRiga), "x")
			require.Equal(t, http.StatusUnauthorized, refused.status)
			require.Empty(t, runsOf(refused.id, f.apps))
		}
	})
	t.Run("a tenant's limit holds over all gateways", f.testLimit)
	t.Run("no output holds a key", f.testNoKeyInOutput)
}

// testLimit sends far more than a tenant's limit, and counts what ran over the time that this
// took.
func (f *fleet) testLimit(t *testing.T) {
	const rate, burst, overage, requests = 10, 6, 0.1, 150
	f.putTenants(t, 5,
		map[string]any{"name": "riga", "api_keys": []string{keyOfRiga}, "rate_per_s": rate, "burst": burst},
		map[string]any{"name": "luzon", "api_keys": []string{keyOfLuzon}, "rate_per_s": 1000, "burst": 1000})
	require.Eventually(t, func() bool {
		return f.post(f.gateways[0], appsHost, "/charge/a", as(keyOfRiga), "x").status == http.StatusOK
	}, 20*time.Second, 50*time.Millisecond)
	for range requests {
		spent := f.turnAs(f.gateways[0], keyOfRiga, turnRequest{path: "/chat/t", program: f.newID(), body: "x", most: 6000})
		require.Equal(t, http.StatusPaymentRequired, spent.status, "what is refused for another reason uses nothing of the limit")
	}
	began := time.Now()
	answers := make(chan answered, requests)
	for number := range requests {
		id := f.newID()
		go func() {
			answers <- exchange(f.gateways[number%len(f.gateways)], id, appsHost, "/charge/a", as(keyOfRiga), "x")
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
		require.Empty(t, runs, "a refused request has not run")
	}
	allowed := (rate*(time.Since(began).Seconds()+5) + burst) * (1 + overage)
	require.LessOrEqual(t, float64(ran), allowed)
	require.Positive(t, ran)
	for _, gateway := range f.gateways {
		other := f.post(gateway, appsHost, "/charge/a", as(keyOfLuzon), "x")
		require.Equal(t, http.StatusOK, other.status, "another tenant's requests go on")
		require.Eventually(t, func() bool {
			return f.post(gateway, appsHost, "/charge/a", as(keyOfRiga), "x").status == http.StatusOK
		}, 20*time.Second, 50*time.Millisecond, "there is credit again")
	}
}

func (f *fleet) testKeyAndTenant(t *testing.T) {
	for _, gateway := range f.gateways {
		header := as(keyOfRiga)
		for _, name := range []string{"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch"} {
			header.Set(name, "luzon")
		}
		got := f.post(gateway, appsHost, "/charge/a", header, "x")
		require.Equal(t, http.StatusOK, got.status, got.body)
		seen := runsOf(got.id, f.apps)[0].Header
		require.Equal(t, []string{"riga"}, seen.Values("X-Tenant"))
		for _, name := range []string{"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch"} {
			require.Empty(t, seen.Values(name), name)
		}
		require.Equal(t, http.StatusUnauthorized, f.post(gateway, appsHost, "/charge/a", as(keyOfNobody), "x").status)
		require.Equal(t, http.StatusUnauthorized, f.post(gateway, appsHost, "/charge/a", nil, "x").status)
	}
}

func (f *fleet) testForeignTurn(t *testing.T) {
	for _, other := range []string{f.newID(), f.newID(), f.newID()} { // programs of several cells
		program := f.newID()
		first := f.turnAs(f.gateways[0], keyOfRiga, turnRequest{path: "/chat/t", program: program, body: "one|"})
		require.Equal(t, http.StatusOK, first.status, first.body)
		for _, asking := range []string{program, other} {
			foreign := f.turnAs(f.gateways[1], keyOfLuzon, turnRequest{path: "/chat/t", program: asking, previous: first.id, body: "two|"})
			require.Equal(t, http.StatusNotFound, foreign.status, foreign.body)
			require.Empty(t, runsOf(foreign.id, f.engines))
		}
		own := f.turnAs(f.gateways[1], keyOfRiga, turnRequest{path: "/chat/t", program: program, previous: first.id, body: "two|"})
		require.Equal(t, http.StatusOK, own.status, own.body)
	}
}

// testNoKeyInOutput looks for keys in logs, metrics, and all files of the replicas.
func (f *fleet) testNoKeyInOutput(t *testing.T) {
	hunt := func(where, text string) {
		for _, key := range []string{keyOfRiga, keyOfLuzon, keyOfNobody} {
			require.NotContains(t, text, key, where)
		}
	}
	for _, m := range f.members() {
		hunt("log of "+m.name, m.log.String())
		hunt("metrics of "+m.name, f.metricsOf(m))
		if m.data == "" {
			continue
		}
		require.Eventually(t, func() bool { _, err := os.Stat(filepath.Join(m.data, "store-copy")); return err == nil }, 20*time.Second, 50*time.Millisecond)
		require.NoError(t, filepath.WalkDir(m.data, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			content, err := os.ReadFile(path)
			hunt(path, string(content))
			return err
		}))
		info, err := os.Stat(filepath.Join(m.data, "store-copy"))
		require.NoError(t, err)
		require.Zero(t, info.Mode().Perm()&0o077, "others may not read the copy")
	}
	require.True(t, strings.Contains(f.gateways[0].log.String(), `"key_fingerprint"`))
}
