// Package command implements the command line, one file per subcommand.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/hangup"
)

// The exit codes of all commands.
const (
	ExitSuccess = 0
	// ExitFailure means that the command failed, or that a run it performed found a
	// violation.
	ExitFailure = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
	// ExitFaults means that declarations are invalid.
	ExitFaults = 3
	// ExitConflict means that another operator changed the same objects first.
	ExitConflict = 4
	// ExitDifferences means that diff found differences.
	ExitDifferences = 5
)

// exitError carries an exit code up to Run.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error { return &exitError{code: code, err: err} }

// errSilent sets the exit code without printing a message, for commands whose output already
// reports the failure.
var errSilent = errors.New("")

// servesUntilStopped annotates long-running commands, which reload their settings on SIGHUP. All
// other commands are terminated by it.
const servesUntilStopped = "serves until stopped"

// Run executes the command line and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return ExitSuccess
	}
	if err.Error() != "" {
		fmt.Fprintln(errOut, "swiftbank:", err)
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "swiftbank",
		Short:         "Scheduler for agent programs",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRun: func(command *cobra.Command, _ []string) {
			if command.Annotations[servesUntilStopped] == "" {
				hangup.RestoreDefault()
			}
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		newNodeCommand(), newGatewayCommand(), newReplicaCommand(), newExplainCommand(), newTimelineCommand(), newPressureCommand(), newQuarantineCommand(), newDemoCommand(), newVersionCommand(),
		newValidateCommand(), newDiffCommand(), newApplyCommand(), newGetCommand(), newHistoryCommand(),
		newStatusCommand(), newDrainCommand(), newSimulateCommand(), newExperimentCommand(), newRecordCommand(), newReplayCommand(), newLoadCommand(),
	)
	return root
}

// outputFlag adds the flag --output (-o) and returns a pointer to its value.
func outputFlag(command *cobra.Command) *string {
	return command.Flags().StringP("output", "o", "text", "output format: text or json")
}

// printJSON writes a value as one indented JSON document.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return exitWith(ExitFailure, err)
	}
	return nil
}

// checkOutput returns a usage error for an unknown output format.
func checkOutput(format string) error {
	if format != "text" && format != "json" {
		return exitWith(ExitUsage, fmt.Errorf("--output %q: write text or json", format))
	}
	return nil
}
