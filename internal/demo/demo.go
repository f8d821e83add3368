// Package demo runs a whole small deployment in one process on loopback and
// replays a trace of programs against it.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"swiftbank.dev/swiftbank/examples"
	"swiftbank.dev/swiftbank/internal/change"
	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/objectapi"
	"swiftbank.dev/swiftbank/internal/program"
	"swiftbank.dev/swiftbank/internal/server"
	"swiftbank.dev/swiftbank/internal/settings"
	"swiftbank.dev/swiftbank/internal/standin"
	"swiftbank.dev/swiftbank/internal/topology"
)

const (
	// readyTimeout bounds the wait for the nodes to be ready.
	readyTimeout = 20 * time.Second
	// readyPoll is how often readiness is asked for.
	readyPoll = 50 * time.Millisecond
	// releaseTimeout bounds the wait for engine memory to be released at the end.
	releaseTimeout = 8 * time.Second
	anyPort        = "127.0.0.1:0"
)

// engineOptions shape the demo's engines.
var engineOptions = standin.EngineOptions{
	Slots: 16, PrefillTokensPerSecond: 20000, TokenInterval: 5 * time.Millisecond, CacheTokens: 200000,
}

// applicationDelay is how long the demo's applications and tools take.
const applicationDelay = 10 * time.Millisecond

// zones are those of the demo's nodes and back ends.
var zones = []string{"centrs", "agenskalns", "purvciems"}

// Deployment is a running demo.
type Deployment struct {
	Platform     *standin.Platform
	Engines      []*standin.Engine
	Applications []*standin.Application
	Nodes        []*server.Server

	platformAddress string
	engineAddresses []string
	stops           []func()
	tasks           conc.WaitGroup
	logger          *log.Logger
}

// Start starts the stand-ins, applies the example declarations, and starts the nodes.
func Start(logs io.Writer) (*Deployment, error) {
	d := &Deployment{
		Platform: standin.NewPlatform(),
		logger:   &log.Logger{Level: log.InfoLevel, TimeField: "time", Writer: &log.IOWriter{Writer: logs}},
	}
	err := d.startStandIns()
	if err == nil {
		err = d.applyExamples()
	}
	if err == nil {
		err = d.startNodes()
	}
	if err == nil {
		err = d.waitReady()
	}
	if err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) serve(handler http.Handler) (string, error) {
	address, stop, err := standin.Listen(anyPort, handler)
	if err != nil {
		return "", err
	}
	d.stops = append(d.stops, stop)
	return "http://" + address, nil
}

func (d *Deployment) startStandIns() error {
	var err error
	if d.platformAddress, err = d.serve(d.Platform.Handler()); err != nil {
		return err
	}
	for i := range 2 {
		engine := standin.NewEngine(engineOptions)
		d.Engines = append(d.Engines, engine)
		machine := objectapi.Machine{
			Name: "engine-" + strconv.Itoa(i+1), Service: "agent-llm", Kind: "engine", Zone: zones[i],
			Models: []string{"assistant-8b", "planner-30b"}, Slots: engineOptions.Slots, CacheTokens: engineOptions.CacheTokens,
		}
		if err := d.register(engine.Handler(), machine); err != nil {
			return err
		}
	}
	for i, service := range []string{"hire-billing", "settlement-notices"} {
		if err := d.startApplication(service, "application", zones[i]); err != nil {
			return err
		}
	}
	for i, service := range []string{"dock-lookup", "offer-history"} {
		if err := d.startApplication(service, "tool", zones[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startApplication(service, kind, zone string) error {
	application := standin.NewApplication(service+"-1", applicationDelay)
	d.Applications = append(d.Applications, application)
	return d.register(application, objectapi.Machine{Name: service + "-1", Service: service, Kind: kind, Zone: zone, Slots: 64})
}

func (d *Deployment) register(handler http.Handler, machine objectapi.Machine) error {
	address, err := d.serve(handler)
	if err != nil {
		return err
	}
	machine.Address = address
	if machine.Kind == "engine" {
		d.engineAddresses = append(d.engineAddresses, address)
	}
	d.Platform.SetMachine(machine)
	return nil
}

func (d *Deployment) applyExamples() error {
	set := &declaration.Set{Objects: map[declaration.Reference]declaration.Object{}, Places: map[declaration.Reference]declaration.Place{}}
	for _, name := range []string{"templates.yaml", "tenants.yaml", "instances.yaml"} {
		content, err := examples.Files.ReadFile("declarations/" + name)
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		set.Parse("declarations/"+name, content)
	}
	if len(set.Faults) > 0 {
		return fmt.Errorf("demo: example declarations: %s", set.Faults[0])
	}
	ctx := context.Background()
	client := objectapi.New(d.platformAddress)
	current, err := change.Load(ctx, client)
	if err != nil {
		return err
	}
	_, err = change.Apply(ctx, client, current, change.Plan(current, set.Objects, false), "demo", "example declarations", time.Now())
	return err
}

func (d *Deployment) startNodes() error {
	addresses, err := freeAddresses(len(zones))
	if err != nil {
		return err
	}
	var nodes []topology.Node
	for i, zone := range zones {
		nodes = append(nodes, topology.Node{ID: "node-" + strconv.Itoa(i+1), Zone: zone, Address: addresses[i]})
	}
	for _, node := range nodes {
		config := settings.Default()
		config.ID = node.ID
		config.CallerAddress = anyPort
		config.OperatorAddress = anyPort
		config.PlatformAddress = d.platformAddress
		config.Nodes = nodes
		started, err := server.New(config, d.logger)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		d.tasks.Go(func() { _ = started.Run(ctx) })
		d.stops = append(d.stops, cancel)
		d.Nodes = append(d.Nodes, started)
	}
	return nil
}

// freeAddresses asks the kernel for ports that the nodes then listen on: peers must
// know them before the nodes start.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (d *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, node := range d.Nodes {
		for !ready(node.OperatorAddress()) {
			if time.Now().After(deadline) {
				return fmt.Errorf("demo: the nodes were not ready within %s", readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func ready(operatorAddress string) bool {
	response, err := http.Get("http://" + operatorAddress + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Addresses returns the nodes' caller addresses.
func (d *Deployment) Addresses() []string {
	var addresses []string
	for _, node := range d.Nodes {
		addresses = append(addresses, node.CallerAddress())
	}
	return addresses
}

// Stop drains the nodes, then stops the stand-ins.
func (d *Deployment) Stop() {
	for i := len(d.stops) - 1; i >= 0; i-- {
		if i < len(d.stops)-len(d.Nodes) {
			break
		}
		d.stops[i]()
	}
	d.tasks.Wait()
	for i := range len(d.stops) - len(d.Nodes) {
		d.stops[i]()
	}
}

// Run replays the bundled trace and reports. It returns an error when anything
// was lost, doubled or out of order, or engine memory stayed held.
func Run(ctx context.Context, out, logs io.Writer) (*Report, error) {
	deployment, err := Start(logs)
	if err != nil {
		return nil, err
	}
	defer deployment.Stop()
	file, err := examples.Files.Open("demo/trace.jsonl")
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	defer file.Close()
	programs, err := program.ReadTrace(file)
	if err != nil {
		return nil, err
	}
	client := program.NewClient(deployment.Addresses())
	defer client.Close()
	runner := &program.Runner{Client: client, Keys: examples.Keys, Progress: func(done, total int) {
		fmt.Fprintf(out, "\rprograms %d of %d", done, total)
	}}
	results := runner.Run(ctx, programs)
	fmt.Fprintln(out)
	return deployment.report(results)
}
