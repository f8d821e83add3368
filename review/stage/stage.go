//go:build review2

// Package stage starts gateways and replicas as processes with the commands of the deploy file, beside a stand-in of
// the platform's store, for the cases of the review.
package stage

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftbank.dev/swiftbank/internal/loopback"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

// longestCase is how long a case may take.
const longestCase = 115 * time.Second

// Zones are the zones of the deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// Process is a gateway or a replica.
type Process struct {
	Name     string
	Role     string
	Caller   string
	Ready    string
	Settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Fleet is a deployment of processes.
type Fleet struct {
	Folder   string
	Store    *platformtest.Store
	Gateways []*Process
	Replicas []*Process
	// Environment is added to the environment of the processes.
	Environment []string
}

// Layout says how many processes a fleet has, and what their machines have.
type Layout struct {
	Gateways, Replicas               int
	GatewayMemoryMB, ReplicaMemoryMB int
	DiskMB                           int
}

// New creates the settings of a fleet in a temporary folder. It starts nothing but the store.
func New(layout Layout) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Folder: folder, Store: platformtest.NewStore()}
	go f.closeAtEnd()
	for i := range layout.Replicas {
		name := fmt.Sprintf("storage-%d", i+1)
		data := filepath.Join(folder, name)
		if err := os.Mkdir(data, 0o755); err != nil {
			return nil, err
		}
		addresses := freeAddresses(3)
		f.Replicas = append(f.Replicas, f.newProcess(name, "replica", fmt.Sprintf(
			"node: %s\nzone: %s\npeerAddress: %s\nmetricsAddress: %s\nstoreAddress: %s\nmemoryMB: %d\ngrace: 8s\ntolerateMachines: 1\ndataFolder: %s\ndiskMB: %d\ncopyAddress: %s\n",
			name, Zones[i%len(Zones)], addresses[0], addresses[1], f.Store.Address(), layout.ReplicaMemoryMB, data, layout.DiskMB, addresses[2])))
	}
	for i := range layout.Gateways {
		name := fmt.Sprintf("frontend-%d", i+1)
		addresses := freeAddresses(4)
		gateway := f.newProcess(name, "gateway", fmt.Sprintf(
			"node: %s\nzone: %s\ncallerAddress: %s\nreadyAddress: %s\npeerAddress: %s\nmetricsAddress: %s\nstoreAddress: %s\nmemoryMB: %d\ngrace: 8s\ntolerateMachines: 1\nendedInstances: 3\nrenewalInterval: 1200ms\ndrainTime: 2000ms\nguarantees: [base, drain, config, cost, recover, agent, stream, engine, platform]\n",
			name, Zones[i%len(Zones)], addresses[0], addresses[1], addresses[2], addresses[3], f.Store.Address(), layout.GatewayMemoryMB))
		gateway.Caller, gateway.Ready = addresses[0], addresses[1]
		f.Gateways = append(f.Gateways, gateway)
	}
	return f, nil
}

func (f *Fleet) newProcess(name, role, settings string) *Process {
	path := filepath.Join(f.Folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		panic(err)
	}
	return &Process{Name: name, Role: role, Settings: path}
}

// freeAddresses returns loopback addresses that nothing else takes.
func freeAddresses(count int) []string {
	var addresses []string
	for range count {
		listener, err := loopback.Listen()
		if err != nil {
			panic(err)
		}
		addresses = append(addresses, listener.Addr().String())
		_ = loopback.Close(listener)
	}
	return addresses
}

// Start starts a process; its output goes to a file of its name.
func (f *Fleet) Start(p *Process) error {
	output, err := os.OpenFile(filepath.Join(f.Folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/swiftbank", p.Role, "--settings", p.Settings)
	command.Env = append(os.Environ(), f.Environment...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = command.Wait(); close(exited) }()
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
	return nil
}

// StartAll starts all processes and waits until the gateways are ready.
func (f *Fleet) StartAll() error {
	for _, p := range f.Processes() {
		if err := f.Start(p); err != nil {
			return err
		}
	}
	for _, p := range f.Gateways {
		if !awaitReady(p, 20*time.Second) {
			return fmt.Errorf("%s does not become ready", p.Name)
		}
	}
	return nil
}

func awaitReady(p *Process, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + p.Ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Signal sends a signal to a process.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(signal)
}

// Kill kills a process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// closeAtEnd ends the fleet and this process when this process is to end, or the case takes too long.
func (f *Fleet) closeAtEnd() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longestCase):
	}
	f.Close()
	os.Exit(CouldNotRun)
}

// Processes returns all processes, the replicas first.
func (f *Fleet) Processes() []*Process {
	return append(append([]*Process{}, f.Replicas...), f.Gateways...)
}

// Close ends all processes and removes the folder.
func (f *Fleet) Close() {
	for _, process := range f.Processes() {
		process.Kill()
	}
	f.Store.Close()
	_ = os.RemoveAll(f.Folder)
}

// Peak returns the line of the process's largest resident memory.
func (p *Process) Peak() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "VmHWM") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
