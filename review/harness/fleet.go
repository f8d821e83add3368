//go:build review

// Package harness starts gateways and replicas as processes with the commands of the deploy file, on
// loopback, with the project's stand-ins for the store and the engines. The cases under review use it.
package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/platform/platformtest"
)

const (
	// AgentHost and AppsHost are the hosts of the streaming and of the plain routes.
	AgentHost = "agents.test"
	AppsHost  = "apps.test"
	// TokensPerEvent is the number of tokens that each event of an engine stands for.
	TokensPerEvent = 9
	// addressesPerMember is the number of ports that each process listens on, at most.
	addressesPerMember = 4
	startTimeout       = 30 * time.Second
	// maxRunTime is how long a case may run before it is given up; the users' limit is 120 s.
	maxRunTime = 112 * time.Second
)

// zones are the zones of a small deployment.
var zones = []string{"pasig-hall", "taguig-hall", "clark-hall"}

// Layout is the size of a fleet.
type Layout struct{ Gateways, Replicas int }

// Fleet is a deployment of processes with stand-ins.
type Fleet struct {
	Store    *platformtest.Store
	Gateways []*Member
	Replicas []*Member
	Record   *Record

	folder  string
	program string
	// seeds are the addresses at which the first storage machines serve their copies of the store's content.
	seeds  []string
	mu     sync.Mutex
	lastID int
	// running holds the processes that have not exited.
	running map[*os.Process]bool
}

// Member is a process of the fleet.
type Member struct {
	Name    string
	Address string

	role         string
	readyAddress string
	copyAddress  string
	settings     string
	dataFolder   string
	fleet        *Fleet
	command      *exec.Cmd
	exited       chan struct{}
}

// Start starts the processes in a temporary folder. Stop must be called, also after an error.
func Start(layout Layout, record *Record) (*Fleet, error) {
	f := &Fleet{Store: platformtest.NewStore(), Record: record, running: map[*os.Process]bool{}}
	go f.endOnSignal()
	var err error
	if f.folder, err = os.MkdirTemp("", "swiftbank-review-"); err != nil {
		return f, err
	}
	if f.program, err = filepath.Abs("target/swiftbank"); err != nil {
		return f, err
	}
	if _, err := os.Stat(f.program); err != nil {
		return f, fmt.Errorf("the program is not built: %w", err)
	}
	f.Store.Put("config", "main", configuration())
	addresses, err := freeAddresses((layout.Gateways + layout.Replicas) * addressesPerMember)
	if err != nil {
		return f, err
	}
	for i := range layout.Replicas {
		replica := f.newReplica(i, addresses[i*addressesPerMember:])
		f.Replicas = append(f.Replicas, replica)
		f.seeds = append(f.seeds, replica.copyAddress)
	}
	addresses = addresses[layout.Replicas*addressesPerMember:]
	for i := range layout.Gateways {
		f.Gateways = append(f.Gateways, f.newGateway(i, addresses[i*addressesPerMember:]))
	}
	for _, member := range f.members() {
		if err := member.Start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// endOnSignal ends all processes and exits if this process is interrupted or has run for too long.
func (f *Fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	f.mu.Lock()
	for process := range f.running {
		_ = process.Kill()
	}
	f.Record.Line("cannot run: interrupted, or out of time")
	_ = os.RemoveAll(f.folder)
	os.Exit(2) // with the lock held, so that no further process starts
}

func (f *Fleet) members() []*Member { return append(append([]*Member{}, f.Replicas...), f.Gateways...) }

// Stop ends all processes and removes the temporary folder.
func (f *Fleet) Stop() {
	for _, member := range f.members() {
		member.Kill()
	}
	f.Store.Close()
	if f.folder != "" {
		_ = os.RemoveAll(f.folder)
	}
}

func (f *Fleet) newReplica(index int, addresses []string) *Member {
	return f.newReplicaIn(index, zones[index%len(zones)], addresses)
}

func (f *Fleet) newReplicaIn(index int, zone string, addresses []string) *Member {
	m := &Member{Name: fmt.Sprintf("storage-%d", index+1), role: "replica", Address: addresses[0], copyAddress: addresses[2], fleet: f}
	m.dataFolder = filepath.Join(f.folder, m.Name+"-data")
	m.settings = f.write(m.Name, fmt.Sprintf("node: %s\nzone: %s\npeerAddress: %q\nmetricsAddress: %q\nstoreAddress: %q\nmemoryMB: 304\ngrace: 8s\n"+
		"tolerateMachines: 1\ndataFolder: %q\ndiskMB: 380\ncopyAddress: %q\n",
		m.Name, zone, addresses[0], addresses[1], f.Store.Address(), m.dataFolder, m.copyAddress)+zoneSettings())
	return m
}

func (f *Fleet) newGateway(index int, addresses []string) *Member {
	m := &Member{Name: fmt.Sprintf("frontend-%d", index+1), role: "gateway", Address: addresses[0], readyAddress: addresses[1], fleet: f}
	m.settings = f.write(m.Name, fmt.Sprintf("node: %s\nzone: %s\ncallerAddress: %q\nreadyAddress: %q\npeerAddress: %q\nmetricsAddress: %q\n"+
		"storeAddress: %q\nmemoryMB: 284\ngrace: 8s\ntolerateMachines: 1\nendedInstances: 3\nrenewalInterval: 1200ms\ndrainTime: 2000ms\n"+
		"guarantees: [base, drain, config, cost, recover, agent, stream, engine, platform]\nseeds: [%s]\n",
		m.Name, zones[index%len(zones)], addresses[0], addresses[1], addresses[2], addresses[3], f.Store.Address(), strings.Join(f.seeds, ", "))+zoneSettings())
	return m
}

// zoneSettings returns the lines that map the zones to their region.
func zoneSettings() string {
	settings := "zones:\n"
	for _, zone := range zones {
		settings += "  " + zone + ": luzon\n"
	}
	return settings
}

// AddReplica starts a storage machine with an empty disk, in the zone of the replica with the index.
func (f *Fleet) AddReplica(zoneOf int) error {
	addresses, err := freeAddresses(addressesPerMember)
	if err != nil {
		return err
	}
	m := f.newReplicaIn(len(f.Replicas), zones[zoneOf%len(zones)], addresses)
	f.Replicas = append(f.Replicas, m)
	return m.Start()
}

func (f *Fleet) write(name, content string) string {
	path := filepath.Join(f.folder, name+".yaml")
	_ = os.WriteFile(path, []byte(content), 0o600) // the process fails to start without it
	return path
}

// Start starts the process, which must not run.
func (m *Member) Start() error {
	if m.dataFolder != "" {
		if err := os.MkdirAll(m.dataFolder, 0o755); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(m.fleet.program, m.role, "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.fleet.startProcess(m.command); err != nil {
		return err
	}
	m.fleet.Record.Line("%s started, process %d", m.Name, m.command.Process.Pid)
	command, exited := m.command, make(chan struct{})
	m.exited = exited
	go func() {
		_ = command.Wait()
		m.fleet.mu.Lock()
		delete(m.fleet.running, command.Process)
		m.fleet.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (f *Fleet) startProcess(command *exec.Cmd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	f.running[command.Process] = true
	return nil
}

// Kill sends SIGKILL and waits for the end of the process.
func (m *Member) Kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	_ = m.command.Process.Kill()
	<-m.exited
	m.command = nil
	m.fleet.Record.Line("%s killed", m.Name)
}

// LoseDisk removes the data of a process that does not run.
func (m *Member) LoseDisk() error {
	m.fleet.Record.Line("%s lost its disk", m.Name)
	return os.RemoveAll(m.dataFolder)
}

// KillAll kills all running processes at once and starts them again after the pause.
func (f *Fleet) KillAll(pause time.Duration) error {
	var running []*Member
	for _, member := range f.members() {
		if member.command != nil {
			running = append(running, member)
			_ = member.command.Process.Kill()
		}
	}
	for _, member := range running {
		member.Kill()
	}
	time.Sleep(pause)
	for _, member := range running {
		if err := member.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Log returns the lines of the process's log that contain the text.
func (m *Member) Log(text string) []string {
	content, _ := os.ReadFile(filepath.Join(m.fleet.folder, m.Name+".log"))
	var found []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// awaitReady waits until all gateways are ready.
func (f *Fleet) awaitReady() error {
	for _, gateway := range f.Gateways {
		if !Await(startTimeout, func() bool { return isReady(gateway.readyAddress) }) {
			return errors.New(gateway.Name + " did not become ready")
		}
	}
	f.Record.Line("all gateways are ready")
	return nil
}

func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Retire asks for the retirement of a storage machine and waits until the system reports it as completed.
func (f *Fleet) Retire(m *Member, timeout time.Duration) error {
	f.Record.Line("the operator writes retirements/%s", m.Name)
	f.Store.Put("retirements", m.Name, map[string]any{"duration_s": 8.4})
	completed := func() bool {
		object, _ := f.Store.Get("retirements", m.Name)
		var status struct {
			State string `json:"state"`
		}
		return json.Unmarshal(object.Status, &status) == nil && status.State == "completed"
	}
	if !Await(timeout, completed) {
		return errors.New("the retirement of " + m.Name + " was not completed")
	}
	f.Record.Line("retirements/%s is completed", m.Name)
	return nil
}

// NewID returns a request id that was not used before.
func (f *Fleet) NewID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return fmt.Sprintf("%016x", f.lastID)
}

// Await polls the condition until it holds, and reports whether it did within the timeout.
func Await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// freeAddresses returns loopback addresses whose ports the kernel chose.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// configuration is the operator's configuration: two streaming routes and two plain ones.
func configuration() platformtest.Configuration {
	streaming := func(name, prefix string, retained, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": AgentHost, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 4000,
			"target_latency_ms": 250, "priority": 1, "service": "agent-llm", "attempts": 1, "is_retained": retained,
			"retention_s": 60, "sticky": true, "resumable": resumable, "target_gap_ms": 200,
		}
	}
	plain := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": AppsHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
			"target_latency_ms": 500, "priority": 2, "service": "market-apps", "attempts": 1,
		}
	}
	return platformtest.Configuration{
		Version: 1,
		Routes: []map[string]any{
			streaming("review", "/review/", true, false), streaming("walk", "/walk/", false, true),
			plain("settle", "/settle/", "safe"), plain("notice", "/notice/", "unsafe"),
		},
		Services: []map[string]any{
			{"name": "agent-llm", "connection_limit": 170, "engine": map[string]any{"slots": 12, "kv_cache_tokens": 139361, "tokens_per_event": TokensPerEvent}},
			{"name": "market-apps", "connection_limit": 110},
		},
		Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
