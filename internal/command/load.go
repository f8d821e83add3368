package command

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/program"
)

// loadFlags are the flags of load.
type loadFlags struct {
	nodes      []string
	keys       []string
	trace      string
	rate       float64
	duration   time.Duration
	tenant     string
	template   string
	turns      int
	seed       uint64
	tryTimeout time.Duration
}

func newLoadCommand() *cobra.Command {
	var flags loadFlags
	command := &cobra.Command{
		Use:   "load",
		Short: "Run programs from a trace or at a rate against live nodes; exit code 1 when one fails",
		Example: "  swiftbank load --nodes 127.0.0.1:7201,127.0.0.1:7202 --key coop-riga=demo-key-coop-riga --key lgbo=demo-key-lgbo --trace examples/demo/trace.jsonl\n" +
			"  swiftbank load --nodes 127.0.0.1:7201 --key coop-riga=demo-key-coop-riga --rate 20 --duration 30s -o json",
		Args: cobra.NoArgs,
	}
	format := outputFlag(command)
	set := command.Flags()
	set.StringSliceVar(&flags.nodes, "nodes", nil, "caller addresses of the nodes (required)")
	set.StringArrayVar(&flags.keys, "key", nil, "tenant=API key; may be repeated")
	set.StringVar(&flags.trace, "trace", "", "trace file of programs; without it programs are generated at --rate")
	set.Float64Var(&flags.rate, "rate", 10, "mean number of programs started per second, independent of when earlier ones end")
	set.DurationVar(&flags.duration, "duration", 10*time.Second, "time during which programs begin")
	set.StringVar(&flags.tenant, "tenant", "coop-riga", "tenant of generated programs")
	set.StringVar(&flags.template, "template", "rider-assistant", "template of generated programs")
	set.IntVar(&flags.turns, "turns", 3, "engine calls per generated program")
	set.Uint64Var(&flags.seed, "seed", 1, "seed of generated programs")
	set.DurationVar(&flags.tryTimeout, "try-timeout", 0, "maximum wait for one node before trying another; 0 means no limit")
	_ = command.MarkFlagRequired("nodes")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		programs, keys, err := flags.parse()
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		summary, err := flags.run(command, programs, keys)
		if err != nil {
			return exitWith(ExitFailure, err)
		}
		if *format == "json" {
			err = printJSON(command.OutOrStdout(), summary)
		} else {
			program.PrintRows(command.OutOrStdout(), summary.Rows())
		}
		if err == nil && summary.Failed > 0 {
			return exitWith(ExitFailure, fmt.Errorf("%d programs failed", summary.Failed))
		}
		return err
	}
	return command
}

func (f *loadFlags) parse() ([]program.Program, map[string]string, error) {
	keys := map[string]string{}
	for _, pair := range f.keys {
		tenant, key, found := strings.Cut(pair, "=")
		if !found {
			return nil, nil, fmt.Errorf("--key %q: write tenant=key", pair)
		}
		keys[tenant] = key
	}
	if f.trace == "" {
		programs, err := f.generatePrograms()
		return programs, keys, err
	}
	file, err := os.Open(f.trace)
	if err != nil {
		return nil, nil, fmt.Errorf("--trace: %w", err)
	}
	defer file.Close()
	programs, err := program.ReadTrace(file)
	return programs, keys, err
}

// generatePrograms returns programs that start as a Poisson process with the given rate.
func (f *loadFlags) generatePrograms() ([]program.Program, error) {
	if f.rate <= 0 || f.turns <= 0 {
		return nil, errors.New("--rate and --turns must be positive")
	}
	random := rand.New(rand.NewPCG(f.seed, 1))
	var programs []program.Program
	for start := time.Duration(0); start < f.duration; {
		name := fmt.Sprintf("load-%d-%d-%d", f.seed, time.Now().UnixNano(), len(programs))
		generated := program.Program{Name: name, Session: name, StartMs: start.Milliseconds(), Tenant: f.tenant, Template: f.template}
		for turn := range f.turns {
			generated.Steps = append(generated.Steps, program.Step{
				Kind: program.StepEngine, Prompt: fmt.Sprintf("Turn %d of %s.", turn, name), MaxTokens: 64, Stream: true,
			})
		}
		programs = append(programs, generated)
		start += time.Duration(random.ExpFloat64() / f.rate * float64(time.Second))
	}
	return programs, nil
}

func (f *loadFlags) run(command *cobra.Command, programs []program.Program, keys map[string]string) (program.Summary, error) {
	client := program.NewClient(f.nodes)
	defer client.Close()
	errOut := command.ErrOrStderr()
	runner := &program.Runner{Client: client, Keys: keys, AttemptTimeout: f.tryTimeout, Progress: func(done, total int) {
		fmt.Fprintf(errOut, "\rprograms %d of %d", done, total)
	}}
	ctx, cancel := context.WithCancel(command.Context())
	defer cancel()
	results := runner.Run(ctx, programs)
	fmt.Fprintln(errOut)
	return program.Summarise(results)
}
