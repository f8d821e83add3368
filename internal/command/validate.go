package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newValidateCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "validate PATH...",
		Short:   "Check declaration files and name every fault with file, line and field",
		Example: "  swiftbank validate examples/declarations",
		Args:    cobra.MinimumNArgs(1),
	}
	format := outputFlag(command)
	command.RunE = func(command *cobra.Command, paths []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		set, err := readDeclarations(paths, *format, command.OutOrStdout())
		if err != nil {
			return err
		}
		if *format == "json" {
			return printJSON(command.OutOrStdout(), map[string]any{"faults": []string{}, "declarations": len(set.Objects)})
		}
		fmt.Fprintf(command.OutOrStdout(), "%d declarations, no faults\n", len(set.Objects))
		return nil
	}
	return command
}
