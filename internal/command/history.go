package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/change"
	"swiftbank.dev/swiftbank/internal/objectapi"
)

// maxHistory is the maximum number of change sets that one call prints.
const maxHistory = 1000

func newHistoryCommand() *cobra.Command {
	var after uint64
	command := &cobra.Command{
		Use:     "history",
		Short:   "Print the accepted change sets, oldest first",
		Example: "  swiftbank history --after 12 -o json",
		Args:    cobra.NoArgs,
	}
	format := outputFlag(command)
	platform := platformFlag(command)
	command.Flags().Uint64Var(&after, "after", 0, "leave out revisions up to this one")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(command.Context(), operatorTimeout)
		defer cancel()
		current, err := change.Load(ctx, objectapi.New(*platform))
		if err != nil {
			return exitWith(ExitFailure, err)
		}
		changes := current.Since(after, maxHistory)
		if *format == "json" {
			return printJSON(command.OutOrStdout(), changes)
		}
		for _, entry := range changes {
			fmt.Fprintf(command.OutOrStdout(), "%d\t%s\t%s\t%d edits\t%s\n",
				entry.Revision, entry.At.Format(time.RFC3339), entry.Operator, len(entry.Edits), entry.Message)
		}
		return nil
	}
	return command
}
