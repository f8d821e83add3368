// Package command is the command line: one file for each verb.
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
	// ExitFailure means that the command could not do its work, or that a run it
	// made showed a fault.
	ExitFailure = 1
	// ExitUsage means that the command line or the settings were wrong.
	ExitUsage = 2
	// ExitFaults means that declarations have faults.
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

// silentError ends a command whose output already says everything.
var errSilent = errors.New("")

// servesUntilStopped marks commands to which a SIGHUP means to read the settings again; it
// ends the others.
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
		newNodeCommand(), newGatewayCommand(), newReplicaCommand(), newExplainCommand(), newTimelineCommand(), newPressureCommand(), newDemoCommand(), newVersionCommand(),
		newValidateCommand(), newDiffCommand(), newApplyCommand(), newGetCommand(), newHistoryCommand(),
		newStatusCommand(), newDrainCommand(), newSimulateCommand(), newExperimentCommand(), newRecordCommand(), newReplayCommand(), newLoadCommand(),
	)
	return root
}

// outputFlag adds -o and returns its value.
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

// checkOutput refuses unknown output formats.
func checkOutput(format string) error {
	if format != "text" && format != "json" {
		return exitWith(ExitUsage, fmt.Errorf("--output %q: write text or json", format))
	}
	return nil
}
