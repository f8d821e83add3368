package command

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the product's version. CHANGELOG.md lists its changes.
const Version = "0.9.2"

func newVersionCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  swiftbank version -o json",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		if *format == "json" {
			return printJSON(command.OutOrStdout(), map[string]string{"version": Version, "go": runtime.Version()})
		}
		fmt.Fprintln(command.OutOrStdout(), "swiftbank", Version, runtime.Version())
		return nil
	}
	return command
}
