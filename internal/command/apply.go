package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/change"
	"swiftbank.dev/swiftbank/internal/objectapi"
)

func newApplyCommand() *cobra.Command {
	var prune bool
	var message string
	command := &cobra.Command{
		Use:     "apply PATH...",
		Short:   "Put declarations in force, whole or not at all; exit code 4 on a conflict",
		Example: "  swiftbank apply -m \"raise the budget\" examples/declarations",
		Args:    cobra.MinimumNArgs(1),
	}
	format := outputFlag(command)
	platform := platformFlag(command)
	command.Flags().BoolVar(&prune, "prune", false, "also delete what is in force but not declared")
	command.Flags().StringVarP(&message, "message", "m", "", "why, for the history")
	command.RunE = func(command *cobra.Command, paths []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		out := command.OutOrStdout()
		set, err := readDeclarations(paths, *format, out)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(command.Context(), operatorTimeout)
		defer cancel()
		client := objectapi.New(*platform)
		p, err := planChanges(ctx, client, set, prune)
		if err != nil {
			return err
		}
		if len(p.edits) == 0 {
			return reportApplied(command, *format, p.current.Revision(), 0)
		}
		applied, err := change.Apply(ctx, client, p.current, p.edits, operatorName(), message, time.Now())
		if conflict, found := asConflict(err); found {
			return printConflict(out, conflict, *format)
		}
		if err != nil {
			return exitWith(ExitFailure, err)
		}
		if *format == "text" {
			p.printEdits(out)
		}
		return reportApplied(command, *format, applied.Revision, len(p.edits))
	}
	return command
}

func reportApplied(command *cobra.Command, format string, revision uint64, edits int) error {
	if format == "json" {
		return printJSON(command.OutOrStdout(), map[string]any{"revision": revision, "edits": edits})
	}
	if edits == 0 {
		fmt.Fprintf(command.OutOrStdout(), "nothing to change at revision %d\n", revision)
		return nil
	}
	fmt.Fprintf(command.OutOrStdout(), "applied %d edits as revision %d\n", edits, revision)
	return nil
}
