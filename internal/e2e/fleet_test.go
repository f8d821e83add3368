package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/faultproxy"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

const (
	agentHost = "agents.test"
	appsHost  = "apps.test"
)

// fleetLayout says how many processes and stand-ins a fleet has.
type fleetLayout struct {
	gateways, replicas, engines, apps int
	// proxied puts a proxy before each replica, each back end, and each process's way
	// to the store.
	proxied bool
	// settings are lines that are added to the settings of every process.
	settings string
	// gatewaySettings are lines that are added to the settings of gateways.
	gatewaySettings string
	// quotaSlack is how many requests a tenant's count may exceed its limit by.
	quotaSlack int
	// regions maps the zones to regions; nil names none.
	regions map[string]string
}

// regionSettings returns the settings that name the regions.
func (l fleetLayout) regionSettings() string {
	if l.regions == nil {
		return ""
	}
	settings := "zones:\n"
	for zone, region := range l.regions {
		settings += fmt.Sprintf("  %s: %s\n", zone, region)
	}
	return settings
}

// fleet is gateways and replicas as processes before the platform's stand-ins.
type fleet struct {
	t        *testing.T
	folder   string
	layout   fleetLayout
	store    *platformtest.Store
	engines  []*platformtest.Engine
	apps     []*platformtest.Engine
	config   platformtest.Configuration
	gateways []*member
	replicas []*member
	number   int
	// moved runs the calls of the route that was moved.
	moved *platformtest.Engine
	// backEndPaths are the proxies before the back ends, by their ids.
	backEndPaths map[string]*faultproxy.Proxy
}

// member is one process with what is needed to start it again.
type member struct {
	name     string
	verb     string
	settings string
	address  string
	ready    string
	metrics  string
	data     string
	// copies is where a replica hands out its copy of what the store last said.
	copies  string
	command *exec.Cmd
	// lives is how often the process was started.
	lives int
	// log is the output of all its lives, logFrom where that of the present one begins.
	log     *lockedBuffer
	logFrom int
	exited  chan error
	// storePath and peerPath are the proxies on its ways, where the fleet is proxied.
	storePath *faultproxy.Proxy
	peerPath  *faultproxy.Proxy
}

func baseConfiguration() platformtest.Configuration {
	streaming := func(name, prefix string, retained, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": agentHost, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 8000,
			"target_latency_ms": 500, "priority": 1, "service": "llm", "attempts": 1, "is_retained": retained,
			"retention_s": 60, "sticky": true, "resumable": resumable, "target_gap_ms": 500,
		}
	}
	plain := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": appsHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
			"target_latency_ms": 500, "priority": 2, "service": "apps", "attempts": 2,
		}
	}
	return platformtest.Configuration{
		Version: 1,
		Routes: []map[string]any{
			streaming("chat", "/chat/", true, false), streaming("plan", "/plan/", false, true),
			plain("start", "/start/", "safe"), plain("charge", "/charge/", "unsafe"),
		},
		Services: []map[string]any{
			{"name": "llm", "connection_limit": 100, "engine": map[string]any{"slots": 12, "kv_cache_tokens": 100000, "tokens_per_event": 10}},
			{"name": "apps", "connection_limit": 100},
		},
		Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func startFleet(t *testing.T) *fleet {
	return startFleetOf(t, fleetLayout{gateways: 2, replicas: 3, engines: 2, apps: 2})
}

func startFleetOf(t *testing.T, layout fleetLayout) *fleet {
	f := &fleet{t: t, folder: build(t), layout: layout, store: platformtest.NewStore(), config: baseConfiguration(), backEndPaths: map[string]*faultproxy.Proxy{}}
	t.Cleanup(f.store.Close)
	t.Cleanup(f.printLogs)
	for i := range layout.engines {
		f.engines = append(f.engines, f.newBackEnd(fmt.Sprintf("i-engine-%d", i+1), "llm", zones[i%len(zones)]))
	}
	for i := range layout.apps {
		f.apps = append(f.apps, f.newBackEnd(fmt.Sprintf("i-app-%d", i+1), "apps", zones[i%len(zones)]))
	}
	f.store.Put("config", "main", f.config)
	const replicaAddresses, gatewayAddresses = 3, 4
	addresses := reserve(t, layout.replicas*replicaAddresses+layout.gateways*gatewayAddresses)
	for i := range layout.replicas {
		own := addresses[replicaAddresses*i:]
		f.replicas = append(f.replicas, f.newReplica(fmt.Sprintf("replica-%d", i+1), zones[i%len(zones)], own))
	}
	addresses = addresses[layout.replicas*replicaAddresses:]
	for i := range layout.gateways {
		own := addresses[gatewayAddresses*i:]
		f.gateways = append(f.gateways, f.newGateway(fmt.Sprintf("gateway-%d", i+1), zones[i%len(zones)], own))
	}
	for _, member := range f.members() {
		f.start(member)
	}
	for _, gateway := range f.gateways {
		f.awaitReady(gateway)
	}
	f.awaitTurn()
	return f
}

// members returns all processes.
func (f *fleet) members() []*member {
	return append(append([]*member{}, f.replicas...), f.gateways...)
}

// newBackEnd starts a stand-in and enters it in the store.
func (f *fleet) newBackEnd(id, service, zone string) *platformtest.Engine {
	backEnd := platformtest.NewEngine(id)
	f.t.Cleanup(backEnd.Close)
	entry := backEnd.Entry(service, zone, "ready")
	if f.layout.proxied {
		f.backEndPaths[id] = f.proxyTo(backEnd.Address())
		entry["address"] = f.backEndPaths[id].Address()
	}
	f.store.Put("servers", id, entry)
	return backEnd
}

func (f *fleet) proxyTo(target string) *faultproxy.Proxy {
	proxy, err := faultproxy.New(target)
	require.NoError(f.t, err)
	f.t.Cleanup(proxy.Close)
	return proxy
}

// throughProxies puts proxies on the ways of a process where the fleet has them, and
// returns the settings that say so.
func (f *fleet) throughProxies(m *member, peer string) string {
	if !f.layout.proxied {
		return "storeAddress: " + f.store.Address() + "\n"
	}
	m.storePath = f.proxyTo(f.store.Address())
	settings := "storeAddress: " + m.storePath.Address() + "\n"
	if m.verb == "replica" { // gateways tell each other by datagrams, which no proxy passes
		m.peerPath = f.proxyTo(peer)
		settings += "advertisedAddress: " + m.peerPath.Address() + "\n"
	}
	return settings
}

func (f *fleet) newReplica(name, zone string, addresses []string) *member {
	peer, metrics := addresses[0], addresses[1]
	m := &member{name: name, verb: "replica", address: peer, metrics: metrics, copies: addresses[2], data: f.t.TempDir()}
	m.settings = f.write(name, fmt.Sprintf("node: %s\nzone: %s\npeerAddress: %s\nmetricsAddress: %s\nmemoryMB: 256\ngrace: 5s\ntolerateMachines: 1\ndataFolder: %s\ndiskMB: 64\ncopyAddress: %s\nquotaSlack: %d\n",
		name, zone, peer, metrics, m.data, m.copies, f.layout.quotaSlack)+f.layout.settings+f.throughProxies(m, peer)+f.layout.regionSettings())
	return m
}

func (f *fleet) newGateway(name, zone string, addresses []string) *member {
	m := &member{name: name, verb: "gateway", address: addresses[0], ready: addresses[1], metrics: addresses[3]}
	m.settings = f.write(name, fmt.Sprintf("node: %s\nzone: %s\ncallerAddress: %s\nreadyAddress: %s\npeerAddress: %s\nmetricsAddress: %s\nmemoryMB: 256\ngrace: 8s\ntolerateMachines: 1\n",
		name, zone, addresses[0], addresses[1], addresses[2], addresses[3])+f.layout.settings+f.layout.gatewaySettings+f.throughProxies(m, addresses[2])+f.layout.regionSettings())
	return m
}

func (f *fleet) write(name, content string) string {
	path := filepath.Join(f.t.TempDir(), name+".yaml")
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func (f *fleet) start(m *member) {
	f.t.Helper()
	m.command = exec.Command(f.programOf(m), m.verb, "--settings", m.settings)
	m.lives++
	if m.log == nil {
		m.log = &lockedBuffer{}
	}
	m.logFrom = len(m.log.String())
	m.command.Stdout, m.command.Stderr = m.log, m.log
	require.NoError(f.t, m.command.Start())
	m.exited = make(chan error, 1)
	command, exited := m.command, m.exited
	go func() { exited <- command.Wait() }()
	f.t.Cleanup(func() { _ = command.Process.Kill() })
}

// hasStarted reports whether the program of the present process has begun.
func (m *member) hasStarted() bool {
	return strings.Contains(m.log.String()[m.logFrom:], `"event":"start"`)
}

// kill ends a process without warning and waits for its end.
func (f *fleet) kill(m *member) {
	require.NoError(f.t, m.command.Process.Kill())
	<-m.exited
}

func (f *fleet) printLogs() {
	if !f.t.Failed() {
		return
	}
	for _, m := range f.members() {
		f.t.Logf("log of %s:\n%s", m.name, m.log.String())
	}
}

func (f *fleet) awaitReady(gateway *member) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return status("http://"+gateway.ready+"/readiness") == http.StatusOK },
		time.Minute, 20*time.Millisecond, "%s is never ready", gateway.name)
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitTurn waits until every gateway serves a turn, which takes a quorum of replicas
// that it knows.
func (f *fleet) awaitTurn() {
	f.t.Helper()
	for _, gateway := range f.gateways {
		require.Eventually(f.t, func() bool {
			return f.turn(gateway, turnRequest{path: "/chat/x", program: f.newID(), budget: 1000, most: 50, body: "warm"}).status == http.StatusOK
		}, time.Minute, 50*time.Millisecond)
	}
}

func (f *fleet) newID() string {
	f.number++
	return fmt.Sprintf("%016x", f.number)
}

// answered is what a caller got.
type answered struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

type turnRequest struct {
	path, program, previous, body string
	budget, most                  int
}

func (f *fleet) turn(gateway *member, turn turnRequest) answered {
	header := http.Header{
		"X-Program-Id": {turn.program}, "X-Session-Id": {"s-" + turn.program}, "X-Program-Deadline-Ms": {"8000"},
		"X-Token-Budget": {fmt.Sprint(turn.budget)}, "X-Token-Count": {fmt.Sprintf("100,%d", turn.most)},
	}
	if turn.previous != "" {
		header.Set("X-Previous-Turn", turn.previous)
	}
	return f.post(gateway, agentHost, turn.path, header, turn.body)
}

func (f *fleet) post(gateway *member, host, path string, header http.Header, body string) answered {
	return exchange(gateway, f.newID(), host, path, header, body)
}

func exchange(gateway *member, id, host, path string, header http.Header, body string) answered {
	return exchangeAt(gateway, id, host, path, header, body, false)
}

// exchangeAt sends a request and reads its answer at once or slowly.
func exchangeAt(gateway *member, id, host, path string, header http.Header, body string, slowly bool) answered {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result := answered{id: id}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.address+path, strings.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", result.id)
	if request.Header.Get("X-Deadline-Ms") == "" {
		request.Header.Set("X-Deadline-Ms", "8000")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	var source io.Reader = response.Body
	if slowly {
		source = slowBody{source}
	}
	content, err := io.ReadAll(source)
	result.status, result.header, result.body, result.err = response.StatusCode, response.Header, string(content), err
	return result
}

// runsOf returns the runs of a request on the given instances.
func runsOf(id string, instances []*platformtest.Engine) []platformtest.Run {
	var runs []platformtest.Run
	for _, instance := range instances {
		for _, run := range instance.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}
