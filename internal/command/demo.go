package command

import (
	"io"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/demo"
)

func newDemoCommand() *cobra.Command {
	var verbose bool
	command := &cobra.Command{
		Use:     "demo",
		Short:   "Run a small deployment on loopback and replay a trace of programs",
		Example: "  swiftbank demo\n  swiftbank demo -o json",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(command)
	command.Flags().BoolVarP(&verbose, "verbose", "v", false, "write the nodes' logs to standard error")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		logs := io.Discard
		if verbose {
			logs = command.ErrOrStderr()
		}
		report, err := demo.Run(command.Context(), command.ErrOrStderr(), logs)
		if report != nil {
			if *format == "json" {
				if printErr := printJSON(command.OutOrStdout(), report); printErr != nil {
					return printErr
				}
			} else {
				report.Print(command.OutOrStdout())
			}
		}
		if err != nil {
			return exitWith(ExitFailure, err)
		}
		return nil
	}
	return command
}
