package command

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/simulate"
)

func newRecordCommand() *cobra.Command {
	var flags simulateFlags
	var outcomesFile, why string
	command := &cobra.Command{
		Use:     "record TRACE",
		Short:   "Write the programs and faults of a simulated run as a trace",
		Example: "  swiftbank record --deployment luzon --seed 28 --duration 5m --outcomes o.json trace.jsonl",
		Args:    cobra.ExactArgs(1),
	}
	flags.add(command)
	command.Flags().StringVar(&outcomesFile, "outcomes", "", "also write the outcomes of the run to this file")
	command.Flags().StringVar(&why, "why", "", "the failure that the trace reproduces")
	command.RunE = func(_ *cobra.Command, arguments []string) error {
		options, seeds, err := flags.parse()
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		options.Seed = seeds[0]
		trace, report, err := simulate.Record(options)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		trace.Header.Why = why
		if err := writeTrace(arguments[0], trace); err != nil {
			return exitWith(ExitFailure, err)
		}
		if outcomesFile == "" {
			return nil
		}
		if err := writeOutcomes(outcomesFile, simulate.StateOutcomes(trace, report)); err != nil {
			return exitWith(ExitFailure, err)
		}
		return nil
	}
	return command
}

func writeTrace(path string, trace *simulate.Trace) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	defer file.Close()
	return trace.Write(file)
}

func writeOutcomes(path string, outcomes *simulate.Outcomes) error {
	encoded, err := json.MarshalIndent(outcomes, "", "  ")
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if err := os.WriteFile(path, append(encoded, '\n'), 0o644); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}
