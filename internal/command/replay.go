package command

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/simulate"
)

func newReplayCommand() *cobra.Command {
	var expect string
	command := &cobra.Command{
		Use:     "replay TRACE",
		Short:   "Replay a recorded run and compare it with the expected outcomes; exit code 1 on a difference",
		Example: "  swiftbank replay testdata/traces/stale-routing.jsonl --expect testdata/traces/stale-routing.json",
		Args:    cobra.ExactArgs(1),
	}
	format := outputFlag(command)
	command.Flags().StringVar(&expect, "expect", "", "file of expected outcomes (required)")
	_ = command.MarkFlagRequired("expect")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		differences, err := replayFile(arguments[0], expect)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		out := command.OutOrStdout()
		if *format == "json" {
			if err := printJSON(out, map[string]any{"differences": differences}); err != nil {
				return err
			}
		} else {
			for _, difference := range differences {
				fmt.Fprintln(out, difference)
			}
			fmt.Fprintf(out, "%d differences\n", len(differences))
		}
		if len(differences) > 0 {
			return exitWith(ExitFailure, errSilent)
		}
		return nil
	}
	return command
}

// replayFile replays a trace file and returns the differences from the outcomes file.
func replayFile(tracePath, outcomesPath string) ([]string, error) {
	file, err := os.Open(tracePath)
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	defer file.Close()
	trace, err := simulate.ReadTrace(file)
	if err != nil {
		return nil, err
	}
	content, err := os.ReadFile(outcomesPath)
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	var outcomes simulate.Outcomes
	if err := json.Unmarshal(content, &outcomes); err != nil {
		return nil, fmt.Errorf("replay: %s: %w", outcomesPath, err)
	}
	report, err := simulate.Replay(trace)
	if err != nil {
		return nil, err
	}
	differences := outcomes.Differences(report)
	if differences == nil {
		differences = []string{}
	}
	return differences, nil
}
