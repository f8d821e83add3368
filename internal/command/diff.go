package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/objectapi"
)

func newDiffCommand() *cobra.Command {
	var prune bool
	command := &cobra.Command{
		Use:   "diff PATH...",
		Short: "Show what apply would change; exit code 5 when there are differences",
		Example: "  swiftbank diff --platform http://127.0.0.1:7000 examples/declarations\n" +
			"  swiftbank diff --prune -o json examples/declarations",
		Args: cobra.MinimumNArgs(1),
	}
	format := outputFlag(command)
	platform := platformFlag(command)
	command.Flags().BoolVar(&prune, "prune", false, "also delete what is in force but not declared")
	command.RunE = func(command *cobra.Command, paths []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		set, err := readDeclarations(paths, *format, command.OutOrStdout())
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(command.Context(), operatorTimeout)
		defer cancel()
		p, err := planChanges(ctx, objectapi.New(*platform), set, prune)
		if err != nil {
			return err
		}
		return showDifferences(command, p, *format)
	}
	return command
}

// difference is one edit and the version of the object in force.
type difference struct {
	Action  string         `json:"action"`
	InForce any            `json:"inForce"`
	Edit    catalogue.Edit `json:"edit"`
}

func showDifferences(command *cobra.Command, p changePlan, format string) error {
	out := command.OutOrStdout()
	if format == "json" {
		differences := []difference{}
		for _, edit := range p.edits {
			entry := difference{Action: p.action(edit), Edit: edit}
			if stored, found := p.current.Get(edit.Reference); found {
				entry.InForce = stored.Object
			}
			differences = append(differences, entry)
		}
		if err := printJSON(out, map[string]any{"revision": p.current.Revision(), "differences": differences}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "in force: revision %d\n", p.current.Revision())
		p.printEdits(out)
		if err := p.printVersions(out); err != nil {
			return err
		}
	}
	if len(p.edits) > 0 {
		return exitWith(ExitDifferences, errSilent)
	}
	return nil
}
