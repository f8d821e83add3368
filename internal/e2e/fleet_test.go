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
	"sync"
	"syscall"
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

// fleetLayout configures the processes and stand-ins of a fleet.
type fleetLayout struct {
	gateways, replicas, engines, apps int
	// versions are the software versions of the engines; nil gives all the same one.
	versions []string
	// proxied puts a fault proxy in front of each replica and each back end, and between
	// each process and the store.
	proxied bool
	// proxiedDatagrams puts a proxy in front of what other gateways send to each gateway.
	proxiedDatagrams bool
	// settings are YAML lines added to the settings of every process.
	settings string
	// gatewaySettings are YAML lines added to the settings of every gateway.
	gatewaySettings string
	// quotaSlack is the number of requests by which a tenant may exceed its limit.
	quotaSlack int
	// regions maps zones to regions; nil configures no regions.
	regions map[string]string
}

// regionSettings returns the settings lines that map zones to regions.
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

// fleet is a deployment of gateway and replica processes with stand-ins for the store
// and the back ends.
type fleet struct {
	t *testing.T
	// folder holds the programs.
	folder   string
	layout   fleetLayout
	store    *platformtest.Store
	engines  []*platformtest.Engine
	apps     []*platformtest.Engine
	config   platformtest.Configuration
	gateways []*member
	replicas []*member
	lastID   int
	// reroutedApp serves the calls of the route that testRouteChangesService reroutes.
	reroutedApp *platformtest.Engine
	// lethal is how requests with lethalBody end instances, failing how instances fail those with failingBody.
	lethal, failing platformtest.Behaviour
	// replacements counts the instances that replaced ended ones. endedMu guards ended, which holds those, and the engines and apps while they are replaced.
	replacements int
	endedMu      sync.Mutex
	ended        []*platformtest.Engine
	// backEndProxies are the proxies in front of the back ends, by back end id.
	backEndProxies map[string]*faultproxy.Proxy
}

// member is a process of the fleet, with the state needed to restart it.
type member struct {
	name           string
	subcommand     string
	settings       string
	address        string
	readyAddress   string
	metricsAddress string
	dataFolder     string
	// copyAddress is where a replica serves its copy of the store's content.
	copyAddress string
	command     *exec.Cmd
	// starts counts how often the process was started.
	starts int
	// log is the output of all its lives, logFrom where that of the present one begins.
	log      *lockedBuffer
	logStart int
	exited   chan error
	// storeProxy and peerProxy are the proxies to the store and to this process; they are
	// nil unless the layout is proxied.
	storeProxy *faultproxy.Proxy
	peerProxy  *faultproxy.Proxy
	// datagrams is the path of datagrams to this process; nil unless the layout has proxiedDatagrams.
	datagrams *faultproxy.Datagrams
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
	return startFleetWith(t, fleetLayout{gateways: 2, replicas: 3, engines: 2, apps: 2})
}

func startFleetWith(t *testing.T, layout fleetLayout) *fleet {
	f := &fleet{t: t, folder: build(t), layout: layout, store: platformtest.NewStore(), config: baseConfiguration(), backEndProxies: map[string]*faultproxy.Proxy{}}
	t.Cleanup(f.store.Close)
	t.Cleanup(f.printLogs)
	for i := range layout.engines {
		version := platformtest.DefaultVersion
		if layout.versions != nil {
			version = layout.versions[i%len(layout.versions)]
		}
		f.engines = append(f.engines, f.newEngine(fmt.Sprintf("i-engine-%d", i+1), zones[i%len(zones)], version))
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

// members returns all processes, the replicas first.
func (f *fleet) members() []*member {
	return append(append([]*member{}, f.replicas...), f.gateways...)
}

// newBackEnd starts a stand-in back end and registers it in the store.
func (f *fleet) newBackEnd(id, service, zone string) *platformtest.Engine {
	backEnd := platformtest.NewEngine(id)
	f.t.Cleanup(backEnd.Close)
	f.register(backEnd, service, zone, "ready")
	return backEnd
}

// newEngine starts a stand-in engine of a software version and registers it in the store.
func (f *fleet) newEngine(id, zone, version string) *platformtest.Engine {
	engine := platformtest.NewEngine(id)
	engine.SetVersion(version)
	f.t.Cleanup(engine.Close)
	f.register(engine, "llm", zone, "ready")
	return engine
}

// register writes the entry of a back end to the store.
func (f *fleet) register(backEnd *platformtest.Engine, service, zone, state string) {
	entry := backEnd.Entry(service, zone, state)
	if f.layout.proxied {
		if f.backEndProxies[backEnd.ID] == nil {
			f.backEndProxies[backEnd.ID] = f.proxyTo(backEnd.Address())
		}
		entry["address"] = f.backEndProxies[backEnd.ID].Address()
	}
	f.store.Put("servers", backEnd.ID, entry)
}

func (f *fleet) proxyTo(target string) *faultproxy.Proxy {
	proxy, err := faultproxy.New(target)
	require.NoError(f.t, err)
	f.t.Cleanup(proxy.Close)
	return proxy
}

// addProxies starts the proxies of a process if the layout is proxied, and returns the
// settings with the addresses to use.
func (f *fleet) addProxies(m *member, peer string) string {
	if !f.layout.proxied {
		return "storeAddress: " + f.store.Address() + "\n"
	}
	m.storeProxy = f.proxyTo(f.store.Address())
	settings := "storeAddress: " + m.storeProxy.Address() + "\n"
	if m.subcommand == "replica" { // addDatagramProxy starts those of gateways
		m.peerProxy = f.proxyTo(peer)
		settings += "advertisedAddress: " + m.peerProxy.Address() + "\n"
	}
	return settings
}

// addDatagramProxy starts the proxies of a gateway's peer address if the layout has them, and returns the settings with the
// address that other gateways use. Connections to it are only forwarded.
func (f *fleet) addDatagramProxy(m *member, peer string) string {
	if !f.layout.proxiedDatagrams {
		return ""
	}
	m.peerProxy = f.proxyTo(peer)
	datagrams, err := faultproxy.NewDatagrams(m.peerProxy.Address(), peer, uint64(len(f.gateways)))
	require.NoError(f.t, err)
	f.t.Cleanup(datagrams.Close)
	m.datagrams = datagrams
	return "advertisedAddress: " + m.peerProxy.Address() + "\n"
}

func (f *fleet) newReplica(name, zone string, addresses []string) *member {
	peer, metrics := addresses[0], addresses[1]
	m := &member{name: name, subcommand: "replica", address: peer, metricsAddress: metrics, copyAddress: addresses[2], dataFolder: f.t.TempDir()}
	m.settings = f.write(name, fmt.Sprintf("node: %s\nzone: %s\npeerAddress: %s\nmetricsAddress: %s\nmemoryMB: 256\ngrace: 5s\ntolerateMachines: 1\ndataFolder: %s\ndiskMB: 64\ncopyAddress: %s\nquotaSlack: %d\n",
		name, zone, peer, metrics, m.dataFolder, m.copyAddress, f.layout.quotaSlack)+f.layout.settings+f.addProxies(m, peer)+f.layout.regionSettings())
	return m
}

func (f *fleet) newGateway(name, zone string, addresses []string) *member {
	m := &member{name: name, subcommand: "gateway", address: addresses[0], readyAddress: addresses[1], metricsAddress: addresses[3]}
	m.settings = f.write(name, fmt.Sprintf("node: %s\nzone: %s\ncallerAddress: %s\nreadyAddress: %s\npeerAddress: %s\nmetricsAddress: %s\nmemoryMB: 256\ngrace: 8s\ntolerateMachines: 1\n",
		name, zone, addresses[0], addresses[1], addresses[2], addresses[3])+f.layout.settings+f.layout.gatewaySettings+f.addProxies(m, addresses[2])+f.addDatagramProxy(m, addresses[2])+f.layout.regionSettings())
	return m
}

func (f *fleet) write(name, content string) string {
	path := filepath.Join(f.t.TempDir(), name+".yaml")
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func (f *fleet) start(m *member) {
	f.t.Helper()
	m.command = exec.Command(f.binaryFor(m), m.subcommand, "--settings", m.settings)
	m.starts++
	if m.log == nil {
		m.log = &lockedBuffer{}
	}
	m.logStart = len(m.log.String())
	m.command.Stdout, m.command.Stderr = m.log, m.log
	require.NoError(f.t, m.command.Start())
	m.exited = make(chan error, 1)
	command, exited := m.command, m.exited
	go func() { exited <- command.Wait() }()
	f.t.Cleanup(func() { _ = command.Process.Kill() })
}

// hasStarted reports whether the current process has logged its start event.
func (m *member) hasStarted() bool {
	return strings.Contains(m.log.String()[m.logStart:], `"event":"start"`)
}

// kill sends SIGKILL to a process and waits for its exit.
func (f *fleet) kill(m *member) {
	require.NoError(f.t, m.command.Process.Kill())
	<-m.exited
}

// suspendProcess sends SIGSTOP to a process and waits until all its threads have stopped: beside load they run on for a while.
func (f *fleet) suspendProcess(m *member) {
	f.t.Helper()
	require.NoError(f.t, m.command.Process.Signal(syscall.SIGSTOP))
	require.Eventually(f.t, func() bool { return isStopped(f.t, m.command.Process.Pid) }, time.Minute, time.Millisecond, "%s is not stopped", m.name)
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(t *testing.T, pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	require.NoError(t, err)
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			return false // the thread has just ended
		}
		_, fields, _ := strings.Cut(string(stat), ") ") // the state follows the name in brackets
		if !strings.HasPrefix(fields, "T") {
			return false
		}
	}
	return len(threads) > 0
}

// resumeProcess continues a suspended process.
func (f *fleet) resumeProcess(m *member) {
	require.NoError(f.t, m.command.Process.Signal(syscall.SIGCONT))
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
	require.Eventually(f.t, func() bool { return status("http://"+gateway.readyAddress+"/readiness") == http.StatusOK },
		time.Minute, 20*time.Millisecond, "%s did not become ready", gateway.name)
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitTurn waits until every gateway serves a turn, which requires that it knows a
// quorum of replicas.
func (f *fleet) awaitTurn() {
	f.t.Helper()
	for _, gateway := range f.gateways {
		require.Eventually(f.t, func() bool {
			return f.turn(gateway, turnRequest{path: "/chat/x", program: f.newID(), budget: 1000, maxTokens: 50, body: "warm"}).status == http.StatusOK
		}, time.Minute, 50*time.Millisecond)
	}
}

func (f *fleet) newID() string {
	f.lastID++
	return fmt.Sprintf("%016x", f.lastID)
}

// exchangeResult is the response that a caller received, or the error.
type exchangeResult struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

type turnRequest struct {
	path, program, previous, body string
	budget, maxTokens             int
}

func (f *fleet) turn(gateway *member, turn turnRequest) exchangeResult {
	header := http.Header{
		"X-Program-Id": {turn.program}, "X-Session-Id": {"s-" + turn.program}, "X-Program-Deadline-Ms": {"8000"},
		"X-Token-Budget": {fmt.Sprint(turn.budget)}, "X-Token-Count": {fmt.Sprintf("100,%d", turn.maxTokens)},
	}
	if turn.previous != "" {
		header.Set("X-Previous-Turn", turn.previous)
	}
	return f.post(gateway, agentHost, turn.path, header, turn.body)
}

func (f *fleet) post(gateway *member, host, path string, header http.Header, body string) exchangeResult {
	return exchange(gateway, f.newID(), host, path, header, body)
}

func exchange(gateway *member, id, host, path string, header http.Header, body string) exchangeResult {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return exchangeOver(client, gateway, id, host, path, header, body, nil)
}

// exchangeOver sends a request with the client and reads the response, through the given reader if it is not nil.
// An error of the reader closes the connection.
func exchangeOver(client *http.Client, gateway *member, id, host, path string, header http.Header, body string, through func(io.Reader) io.Reader) exchangeResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result := exchangeResult{id: id}
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
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	var source io.Reader = response.Body
	if through != nil {
		source = through(source)
	}
	content, err := io.ReadAll(source)
	result.status, result.header, result.body, result.err = response.StatusCode, response.Header, string(content), err
	return result
}

// runsOf returns the runs of a request on the instances.
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
