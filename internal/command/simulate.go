package command

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/simulate"
)

// simulateFlags are the flags of simulate.
type simulateFlags struct {
	deployment string
	seeds      string
	duration   time.Duration
	faults     string
	policy     string
	load       float64
	nodes      int
	engines    int
	programs   int
	tenants    int
	events     string
}

func newSimulateCommand() *cobra.Command {
	var flags simulateFlags
	command := &cobra.Command{
		Use:   "simulate",
		Short: "Run deployments on a virtual clock under faults; exit code 1 on a violation",
		Example: "  swiftbank simulate --deployment riga --seed 7 --duration 10m --faults all -o json\n" +
			"  swiftbank simulate --deployment luzon --seed 1-200 --faults all",
		Args: cobra.NoArgs,
	}
	format := outputFlag(command)
	flags.add(command)
	command.Flags().StringVar(&flags.events, "events", "", "write the event log of a single seed to this file")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		options, seeds, err := flags.parse()
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		closeEvents, err := flags.openEvents(&options, seeds)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		defer closeEvents()
		reports, err := runSeeds(options, seeds)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		return printReports(command.OutOrStdout(), reports, *format)
	}
	return command
}

// add registers the flags that describe a run.
func (f *simulateFlags) add(command *cobra.Command) {
	set := command.Flags()
	set.StringVar(&f.deployment, "deployment", "riga", "riga, luzon or scale")
	set.StringVar(&f.seeds, "seed", "1", "seed, or a range of seeds such as 1-200")
	set.DurationVar(&f.duration, "duration", 10*time.Minute, "virtual time of each run")
	set.StringVar(&f.faults, "faults", "all", "comma-separated faults, all or none")
	set.StringVar(&f.policy, "policy", "swiftbank", "placement policy")
	set.Float64Var(&f.load, "load", 0.2, "offered work as a share of the engines' capacity")
	set.IntVar(&f.nodes, "nodes", 0, "number of nodes, instead of the deployment's")
	set.IntVar(&f.engines, "engines", 0, "number of engines, instead of the deployment's")
	set.IntVar(&f.programs, "programs", 0, "maximum number of programs to start")
	set.IntVar(&f.tenants, "tenants", 0, "number of tenants, instead of the deployment's")
}

func (f *simulateFlags) parse() (simulate.Options, []uint64, error) {
	faults, err := simulate.ParseFaults(f.faults)
	if err != nil {
		return simulate.Options{}, nil, err
	}
	policy, err := schedule.ParsePolicy(f.policy)
	if err != nil {
		return simulate.Options{}, nil, err
	}
	seeds, err := parseSeeds(f.seeds)
	if err != nil {
		return simulate.Options{}, nil, err
	}
	return simulate.Options{
		Deployment: f.deployment, Duration: f.duration, Faults: faults, Load: f.load, Policy: policy,
		Nodes: f.nodes, Engines: f.engines, Programs: f.programs, Tenants: f.tenants,
	}, seeds, nil
}

// openEvents opens the file for the event log if --events is set, and returns a function that
// flushes and closes it.
func (f *simulateFlags) openEvents(options *simulate.Options, seeds []uint64) (func(), error) {
	if f.events == "" {
		return func() {}, nil
	}
	if len(seeds) != 1 {
		return nil, errors.New("--events: give a single seed")
	}
	file, err := os.Create(f.events)
	if err != nil {
		return nil, fmt.Errorf("--events: %w", err)
	}
	buffered := bufio.NewWriter(file)
	options.Events = buffered
	return func() {
		_ = buffered.Flush()
		_ = file.Close()
	}, nil
}

// parseSeeds parses seeds such as "7", "1-200" or "1,5,9".
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("--seed %q: write 7, 1-200 or 1,5,9", text)
		}
		to, err := strconv.ParseUint(last, 10, 64)
		if err != nil || to < from {
			return nil, fmt.Errorf("--seed %q: write 7, 1-200 or 1,5,9", text)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// runSeeds runs each seed once, in parallel on all processors. Runs are independent.
func runSeeds(options simulate.Options, seeds []uint64) ([]*simulate.Report, error) {
	reports := make([]*simulate.Report, len(seeds))
	var mu sync.Mutex
	var failure error
	workers := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		workers.Go(func() {
			seedOptions := options
			seedOptions.Seed = seed
			report, err := simulate.Run(seedOptions)
			mu.Lock()
			defer mu.Unlock()
			reports[i] = report
			if err != nil {
				failure = err
			}
		})
	}
	workers.Wait()
	return reports, failure
}

func printReports(out io.Writer, reports []*simulate.Report, format string) error {
	violated := 0
	for _, report := range reports {
		if len(report.Violations) > 0 {
			violated++
		}
	}
	switch {
	case format == "json" && len(reports) == 1:
		if err := printJSON(out, reports[0]); err != nil {
			return err
		}
	case format == "json":
		if err := printJSON(out, reports); err != nil {
			return err
		}
	default:
		printReportLines(out, reports)
		fmt.Fprintf(out, "%d of %d runs without violation\n", len(reports)-violated, len(reports))
	}
	if violated > 0 {
		return exitWith(ExitFailure, errSilent)
	}
	return nil
}

func printReportLines(out io.Writer, reports []*simulate.Report) {
	for _, r := range reports {
		fmt.Fprintf(out, "%s seed %d digest %s: %d programs, %d calls completed, %d refused, %d may have run, recovery p99 %.2f s, violations %d\n",
			r.Deployment, r.Seed, r.Digest, r.Programs.Ended, r.Requests.Completed, r.Requests.RefusedNotRun,
			r.Requests.MayHaveRun, r.Recovery.P99, len(r.Violations))
		for _, violation := range r.Violations {
			fmt.Fprintf(out, "  %8.3f s %s: %s\n", violation.AtSeconds, violation.Property, violation.What)
			for _, event := range violation.Events {
				fmt.Fprintf(out, "      %s\n", event)
			}
		}
	}
}
