package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/change"
	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/objectapi"
)

func newGetCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "get [KIND [NAME]]",
		Short:   "Print the declarations in force",
		Example: "  swiftbank get Tenant coop-riga -o json",
		Args:    cobra.MaximumNArgs(2),
	}
	format := outputFlag(command)
	platform := platformFlag(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(command.Context(), operatorTimeout)
		defer cancel()
		current, err := change.Load(ctx, objectapi.New(*platform))
		if err != nil {
			return exitWith(ExitFailure, err)
		}
		selected := selectStored(current, arguments)
		if len(arguments) == 2 && len(selected) == 0 {
			return exitWith(ExitFailure, fmt.Errorf("%s/%s is not in force", arguments[0], arguments[1]))
		}
		if *format == "json" {
			return printJSON(command.OutOrStdout(), selected)
		}
		for _, stored := range selected {
			fmt.Fprintf(command.OutOrStdout(), "%s\trevision %d\n", stored.Object.Reference, stored.Revision)
		}
		return nil
	}
	return command
}

func selectStored(current *catalogue.Catalogue, arguments []string) []catalogue.Stored {
	selected := []catalogue.Stored{}
	for _, stored := range current.All() {
		reference := stored.Object.Reference
		if len(arguments) > 0 && reference.Kind != declaration.Kind(arguments[0]) {
			continue
		}
		if len(arguments) > 1 && reference.Name != arguments[1] {
			continue
		}
		selected = append(selected, stored)
	}
	return selected
}
