package command

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/experiment"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/simulate"
)

// experimentFlags are the flags of experiment.
type experimentFlags struct {
	deployment string
	policies   string
	loads      string
	seeds      string
	faults     string
	plots      string
	duration   time.Duration
	tenants    int
}

func newExperimentCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Compare placement policies in the simulator, paired by seed",
		Example: "  swiftbank experiment --deployment riga --load 0.5,0.8,1.0,1.2 --seeds 1-5 -o json\n" +
			"  swiftbank experiment --deployment luzon --policies swiftbank,session-sticky --load 0.8 --plots plots",
		Args: cobra.NoArgs,
	}
	format := outputFlag(command)
	set := command.Flags()
	set.StringVar(&flags.deployment, "deployment", "riga", "riga, luzon or scale")
	set.StringVar(&flags.policies, "policies", "swiftbank,round-robin,least-loaded,session-sticky,prefix-hash", "policies to compare")
	set.StringVar(&flags.loads, "load", "0.5,0.8,1.0,1.2", "offered work as shares of the engines' capacity")
	set.StringVar(&flags.seeds, "seeds", "1-5", "seeds, such as 1-5 or 1,3")
	set.StringVar(&flags.faults, "faults", "none", "comma-separated faults, all or none")
	set.StringVar(&flags.plots, "plots", "", "write PNG plots to this folder")
	set.DurationVar(&flags.duration, "duration", 10*time.Minute, "virtual time during which programs begin")
	set.IntVar(&flags.tenants, "tenants", 0, "number of tenants, instead of the deployment's")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		options, err := flags.parse()
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		errOut := command.ErrOrStderr()
		cells, err := experiment.Run(options, func(done, total int) { fmt.Fprintf(errOut, "\rruns %d of %d", done, total) })
		fmt.Fprintln(errOut)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		if flags.plots != "" {
			if err := experiment.Plot(flags.plots, flags.deployment, cells); err != nil {
				return exitWith(ExitFailure, err)
			}
		}
		if *format == "json" {
			return printJSON(command.OutOrStdout(), cells)
		}
		printCells(command.OutOrStdout(), cells)
		return nil
	}
	return command
}

func (f *experimentFlags) parse() (experiment.Options, error) {
	options := experiment.Options{Deployment: f.deployment, Duration: f.duration, Tenants: f.tenants}
	for _, name := range strings.Split(f.policies, ",") {
		policy, err := schedule.ParsePolicy(name)
		if err != nil {
			return options, err
		}
		options.Policies = append(options.Policies, policy)
	}
	for _, text := range strings.Split(f.loads, ",") {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil || load <= 0 {
			return options, fmt.Errorf("--load %q: write positive numbers such as 0.5,0.8", f.loads)
		}
		options.Loads = append(options.Loads, load)
	}
	var err error
	if options.Seeds, err = parseSeeds(f.seeds); err != nil {
		return options, err
	}
	options.Faults, err = simulate.ParseFaults(f.faults)
	return options, err
}

func printCells(out io.Writer, cells []experiment.Cell) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "load\tpolicy\tmean s\tp50 s\tp95 s\tp99 s\tbound mean s\tslowdown\tfirst token p95 s\twasted\trefusals\tfairness\tviolations")
	for _, c := range cells {
		fmt.Fprintf(table, "%.2f\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.2f\t%.4f\t%.1f\t%.3f\t%d\n",
			c.Load, c.Policy, c.Latency.Mean, c.Latency.P50, c.Latency.P95, c.Latency.P99, c.BoundMean,
			c.Slowdown.Mean, c.FirstToken.P95, c.Wasted, c.Refusals, c.Fairness, c.Violations)
	}
	_ = table.Flush()
	for _, c := range cells {
		if c.Policy != schedule.Swiftbank.String() {
			continue
		}
		for _, r := range c.Ratios {
			fmt.Fprintf(out, "load %.2f, ratio to %s: mean %s, p50 %s, p95 %s, wasted %s\n",
				c.Load, r.To, formatSpread(r.Mean), formatSpread(r.P50), formatSpread(r.P95), formatSpread(r.Wasted))
		}
	}
}

func formatSpread(s experiment.Spread) string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", s.Mean, s.Lowest, s.Most)
}
