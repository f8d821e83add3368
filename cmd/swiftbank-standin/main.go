// Command swiftbank-standin runs a stand-in for one external system: the platform, an engine,
// an application or a tool. It is meant for trials and tests.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/objectapi"
	"swiftbank.dev/swiftbank/internal/standin"
	"swiftbank.dev/swiftbank/internal/wait"
)

// registerInterval is the delay between attempts to register with the platform.
const registerInterval = 200 * time.Millisecond

func main() {
	root := &cobra.Command{
		Use: "swiftbank-standin", Short: "Stand-ins for the platform and for back ends",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newApplicationCommand("application"), newApplicationCommand("tool"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "swiftbank-standin:", err)
		os.Exit(1)
	}
}

func newPlatformCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use: "platform", Short: "Run the object API and the machine list",
		Example: "  swiftbank-standin platform --address 127.0.0.1:7000",
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), address, standin.NewPlatform().Handler())
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:7000", "address to listen on")
	return command
}

// machineFlags are the flags of every back end.
type machineFlags struct {
	platform string
	address  string
	machine  objectapi.Machine
}

func (f *machineFlags) add(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.platform, "platform", "http://127.0.0.1:7000", "base URL of the platform to register with")
	flags.StringVar(&f.address, "address", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&f.machine.Name, "name", "", "name in the machine list (required)")
	flags.StringVar(&f.machine.Service, "service", "agent-llm", "service that the instance belongs to")
	flags.StringVar(&f.machine.Zone, "zone", "", "zone of the machine")
	flags.IntVar(&f.machine.Slots, "slots", 32, "calls that run at once")
	_ = command.MarkFlagRequired("name")
}

func newEngineCommand() *cobra.Command {
	var flags machineFlags
	options := standin.EngineOptions{PrefillTokensPerSecond: 20000}
	command := &cobra.Command{
		Use: "engine", Short: "Run a model engine",
		Example: "  swiftbank-standin engine --name engine-1 --zone centrs --models assistant-8b,planner-30b",
		RunE: func(command *cobra.Command, _ []string) error {
			flags.machine.Kind = "engine"
			options.Slots = flags.machine.Slots
			flags.machine.CacheTokens = options.CacheTokens
			return flags.serve(command.Context(), standin.NewEngine(options).Handler())
		},
	}
	flags.add(command)
	command.Flags().StringSliceVar(&flags.machine.Models, "models", []string{"assistant-8b"}, "models loaded")
	command.Flags().DurationVar(&options.TokenInterval, "token-interval", 10*time.Millisecond, "time between tokens")
	command.Flags().Int64Var(&options.CacheTokens, "cache-tokens", 400000, "size of the prefix cache")
	return command
}

func newApplicationCommand(kind string) *cobra.Command {
	var flags machineFlags
	var delay time.Duration
	command := &cobra.Command{
		Use: kind, Short: "Run an instance of an ordinary " + kind,
		Example: "  swiftbank-standin " + kind + " --name billing-1 --service hire-billing --zone centrs",
		RunE: func(command *cobra.Command, _ []string) error {
			flags.machine.Kind = kind
			return flags.serve(command.Context(), standin.NewApplication(flags.machine.Name, delay))
		},
	}
	flags.add(command)
	command.Flags().DurationVar(&delay, "delay", 20*time.Millisecond, "time that a request takes")
	return command
}

// serve runs a back end. It registers the machine with the platform and, once ctx ends, marks it
// as leaving.
func (f *machineFlags) serve(ctx context.Context, handler http.Handler) error {
	address, stop, err := standin.Listen(f.address, handler)
	if err != nil {
		return err
	}
	defer stop()
	f.machine.Address = "http://" + address
	fmt.Println(address)
	for register(ctx, f.platform, f.machine) != nil {
		if !wait.For(ctx, registerInterval) {
			return nil
		}
	}
	<-ctx.Done()
	f.machine.Leaving = true
	return register(context.Background(), f.platform, f.machine)
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listening, stop, err := standin.Listen(address, handler)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Println(listening)
	<-ctx.Done()
	return nil
}

// register writes the machine's entry in the platform's machine list.
func register(ctx context.Context, platform string, machine objectapi.Machine) error {
	body, err := json.Marshal(machine)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+"/machines", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("register: status %d", response.StatusCode)
	}
	return nil
}
