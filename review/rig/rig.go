//go:build review2

// Package rig starts gateways and replicas as processes on loopback, with stand-ins for the store and the engines, and
// writes down what happens. The cases of the review use it.
package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/loopback"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

const (
	// AgentHost and AppsHost are the hosts of the routes.
	AgentHost = "agents.example"
	AppsHost  = "apps.example"
	// TokensPerEvent is the number of tokens of each event of the engines.
	TokensPerEvent = 10

	// hostNumber is the loopback host of the processes among those that this process may use.
	hostNumber = 1

	binary         = "target/swiftbank"
	startTimeout   = 20 * time.Second
	pollInterval   = 20 * time.Millisecond
	deadlineOfCase = 115 * time.Second
)

// Bounds of the deployment, as in the sheet of velokopa-riga.
const (
	ContactTime     = 3 * time.Second
	CatchUpTime     = 4300 * time.Millisecond
	ConfigApplyTime = 2 * time.Second
	DrainTime       = 2 * time.Second
)

// Rig is a deployment under test.
type Rig struct {
	Store *platformtest.Store
	// Trouble is false if the case is to run without its disruption.
	Trouble bool

	folder  string
	record  *os.File
	began   time.Time
	network *network

	mu        sync.Mutex
	processes []*Process
	engines   []*platformtest.Engine
	seeds     []string
	nextID    int
	finished  bool
}

// Process is a gateway or a replica.
type Process struct {
	Name string
	// Callers is the address for callers, Ready the one for readiness; both are "" for replicas.
	Callers, Ready string
	// StorePath leads to the store.
	StorePath *Path

	rig        *Rig
	subcommand string
	settings   string
	dataFolder string
	command    *exec.Cmd
	exited     chan struct{}
}

// New returns a rig that writes to record.txt in the case's folder.
func New(caseFolder string) *Rig {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	folder, err := os.MkdirTemp("", "swiftbank-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Rig{
		Store: platformtest.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: record, began: time.Now(),
	}
	r.network = newNetwork(r)
	time.AfterFunc(deadlineOfCase, func() { r.Finish(NotRun, "the case took too long") })
	r.Note("trouble: %v", r.Trouble)
	return r
}

// Note writes a line to the record.
func (r *Rig) Note(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	_, _ = r.record.WriteString(line)
	r.mu.Unlock()
	fmt.Print(line)
}

// Finish ends all processes and exits with the code.
func (r *Rig) Finish(code int, format string, arguments ...any) {
	r.mu.Lock()
	if r.finished {
		r.mu.Unlock()
		select {}
	}
	r.finished = true
	processes := r.processes
	r.mu.Unlock()
	r.Note("result %d: %s", code, fmt.Sprintf(format, arguments...))
	for _, process := range processes {
		process.Kill()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
	os.Exit(code)
}

// Require ends the case as not run if the condition does not hold.
func (r *Rig) Require(holds bool, format string, arguments ...any) {
	if !holds {
		r.Finish(NotRun, format, arguments...)
	}
}

// Await waits until the condition holds, and ends the case as not run if it does not in time.
func (r *Rig) Await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		r.Require(time.Now().Before(end), "waited in vain: %s", what)
	}
}

// AddEngine starts an engine and enters it in the store.
func (r *Rig) AddEngine(id, service, zone string) *platformtest.Engine {
	engine := platformtest.NewEngine(id)
	r.Store.Put("servers", id, engine.Entry(service, zone, "ready"))
	r.engines = append(r.engines, engine)
	return engine
}

// RunsOf returns the engines that ran a request, once for each run.
func (r *Rig) RunsOf(id string) []string {
	var ran []string
	for _, engine := range r.engines {
		for _, run := range engine.Runs() {
			if run.ID == id {
				ran = append(ran, engine.ID)
			}
		}
	}
	return ran
}

// freeAddress returns a loopback address with a free port. No other process uses the host, so nothing takes the port before
// it is listened on.
func (r *Rig) freeAddress() string {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback.Host(hostNumber), "0"))
	r.Require(err == nil, "no free port: %v", err)
	defer listener.Close()
	return listener.Addr().String()
}

// common returns the settings of both kinds of process, and the path to the store.
func (r *Rig) common(name, zone, peer, advertised string) (string, *Path) {
	path := r.network.newPath(r.Store.Address(), storeName)
	return fmt.Sprintf("node: %q\nzone: %q\npeerAddress: %q\nadvertisedAddress: %q\nmetricsAddress: %q\nstoreAddress: %q\nmemoryMB: 244\ngrace: 8s\ntolerateMachines: 1\n"+
		"zones: {centrs: riga, agenskalns: riga, purvciems: riga, sarkandaugava: riga}\ntolerateZones: 0\ntolerateRegions: 0\n",
		name, zone, peer, advertised, r.freeAddress(), path.Address()), path
}

// AddReplica starts a replica.
func (r *Rig) AddReplica(name, zone string) *Process {
	peer, copies := r.freeAddress(), r.freeAddress()
	p := &Process{Name: name, rig: r, subcommand: "replica", dataFolder: filepath.Join(r.folder, name)}
	r.Require(os.MkdirAll(p.dataFolder, 0o700) == nil, "no data folder")
	settings, path := r.common(name, zone, peer, r.network.newPath(peer, name).Address())
	p.StorePath = path
	r.seeds = append(r.seeds, copies)
	p.writeSettings(settings + fmt.Sprintf("dataFolder: %q\ndiskMB: 350\ncopyAddress: %q\n", p.dataFolder, copies))
	r.add(p)
	return p
}

// AddGateway starts a gateway. The replicas must have been added before.
func (r *Rig) AddGateway(name, zone string) *Process {
	peer := r.freeAddress()
	p := &Process{Name: name, rig: r, subcommand: "gateway", Callers: r.freeAddress(), Ready: r.freeAddress()}
	settings, path := r.common(name, zone, peer, peer)
	p.StorePath = path
	p.writeSettings(settings + fmt.Sprintf("callerAddress: %q\nreadyAddress: %q\nseeds: [%s]\nfirstStart: true\n"+
		"guarantees: [base, drain, config, cost, recover, agent, stream, engine, platform]\nendedInstances: 3\nrenewalInterval: 1200ms\ndrainTime: 2000ms\n",
		p.Callers, p.Ready, strings.Join(r.seeds, ", ")))
	r.add(p)
	return p
}

func (p *Process) writeSettings(content string) {
	p.settings = filepath.Join(p.rig.folder, p.Name+".yaml")
	err := os.WriteFile(p.settings, []byte(content), 0o600)
	p.rig.Require(err == nil, "no settings: %v", err)
}

func (r *Rig) add(p *Process) {
	p.StorePath.owner = p.Name
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	p.Start()
}

// Start starts the process.
func (p *Process) Start() {
	log, err := os.OpenFile(filepath.Join(p.rig.folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.rig.Require(err == nil, "no log: %v", err)
	defer log.Close()
	command := exec.Command(binary, p.subcommand, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = command.Start()
	p.rig.Require(err == nil, "%s does not start: %v", p.Name, err)
	p.command, p.exited = command, make(chan struct{})
	exited := p.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) { _ = p.command.Process.Signal(signal) }

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.command.Process.Pid }

// WipeDisk removes all that the process keeps on its disk. The process must have ended.
func (p *Process) WipeDisk() {
	err := os.RemoveAll(p.dataFolder)
	if err == nil {
		err = os.MkdirAll(p.dataFolder, 0o700)
	}
	p.rig.Require(err == nil, "the disk of %s cannot be wiped: %v", p.Name, err)
}

// LogContains reports whether the output of the process contains a text.
func (p *Process) LogContains(text string) bool {
	content, _ := os.ReadFile(filepath.Join(p.rig.folder, p.Name+".log"))
	return strings.Contains(string(content), text)
}

// IsReady reports whether the gateway says that it is ready.
func (p *Process) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitService waits until all gateways are ready and serve a turn.
func (r *Rig) AwaitService(gateways ...*Process) {
	for _, gateway := range gateways {
		r.Await(gateway.Name+" is ready", startTimeout, gateway.IsReady)
		r.Await(gateway.Name+" serves a turn", startTimeout, func() bool {
			return r.Turn(gateway, Turn{Path: "/chat/x", Program: r.NewID(), Budget: 1000, Body: "warm"}).IsServed()
		})
	}
}

// Configuration returns a configuration with one route of each kind.
func Configuration(version int) platformtest.Configuration {
	streaming := func(name, prefix string, retained, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": AgentHost, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 4000,
			"target_latency_ms": 200, "priority": 1, "service": "llm", "attempts": 1, "is_retained": retained,
			"retention_s": 60, "sticky": true, "resumable": resumable, "target_gap_ms": 200,
		}
	}
	plain := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": AppsHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
			"target_latency_ms": 500, "priority": 2, "service": "apps", "attempts": 2,
		}
	}
	return platformtest.Configuration{
		Version: version,
		Routes: []map[string]any{
			streaming("chat", "/chat/", true, false), streaming("plan", "/plan/", false, true),
			plain("start", "/start/", "safe"), plain("charge", "/charge/", "unsafe"),
		},
		Services: []map[string]any{
			{"name": "llm", "connection_limit": 160, "engine": map[string]any{"slots": 12, "kv_cache_tokens": 127559, "tokens_per_event": TokensPerEvent}},
			{"name": "apps", "connection_limit": 110},
		},
		Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
