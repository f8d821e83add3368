package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/change"
	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/objectapi"
)

// operatorTimeout bounds each call that an operator's command makes.
const operatorTimeout = 30 * time.Second

// platformFlag adds the flag --platform and returns a pointer to its value.
func platformFlag(command *cobra.Command) *string {
	return command.Flags().String("platform", "http://127.0.0.1:7000", "base URL of the platform's object API")
}

// readDeclarations reads declaration files. If they have faults, it prints them and returns an
// error with ExitFaults.
func readDeclarations(paths []string, format string, out io.Writer) (*declaration.Set, error) {
	set, err := declaration.ReadPaths(paths)
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	if len(set.Faults) == 0 {
		return set, nil
	}
	if format == "json" {
		if err := printJSON(out, map[string]any{"faults": set.Faults}); err != nil {
			return nil, err
		}
		return nil, exitWith(ExitFaults, errSilent)
	}
	for _, fault := range set.Faults {
		fmt.Fprintln(out, fault)
	}
	return nil, exitWith(ExitFaults, fmt.Errorf("%d faults", len(set.Faults)))
}

// changePlan is the difference between what is declared and what is in force.
type changePlan struct {
	current *catalogue.Catalogue
	edits   []catalogue.Edit
}

func planChanges(ctx context.Context, client *objectapi.Client, set *declaration.Set, prune bool) (changePlan, error) {
	current, err := change.Load(ctx, client)
	if err != nil {
		return changePlan{}, exitWith(ExitFailure, err)
	}
	return changePlan{current: current, edits: change.Plan(current, set.Objects, prune)}, nil
}

// printEdits prints one line for each edit.
func (p changePlan) printEdits(out io.Writer) {
	for _, edit := range p.edits {
		fmt.Fprintf(out, "%s %s\n", p.action(edit), edit.Reference)
	}
}

func (p changePlan) action(edit catalogue.Edit) string {
	switch {
	case edit.Object == nil:
		return "delete"
	case edit.Expected == 0:
		return "create"
	default:
		return "change"
	}
}

func operatorName() string {
	if name := os.Getenv("SWIFTBANK_OPERATOR"); name != "" {
		return name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// printConflict prints both versions of objects that another operator changed concurrently.
func printConflict(out io.Writer, conflict *change.Conflict, format string) error {
	if format == "json" {
		if err := printJSON(out, map[string]any{"conflict": conflict.Objects, "revision": conflict.Other.Revision, "operator": conflict.Other.Operator}); err != nil {
			return err
		}
		return exitWith(ExitConflict, errSilent)
	}
	for _, object := range conflict.Objects {
		fmt.Fprintf(out, "conflict %s\n", object.Reference)
		fmt.Fprint(out, "mine: ")
		if err := printJSON(out, object.Mine); err != nil {
			return err
		}
		fmt.Fprint(out, "theirs: ")
		if err := printJSON(out, object.Theirs); err != nil {
			return err
		}
	}
	return exitWith(ExitConflict, conflict)
}

// asConflict returns the conflict in an error, if there is one.
func asConflict(err error) (*change.Conflict, bool) {
	var conflict *change.Conflict
	found := errors.As(err, &conflict)
	return conflict, found
}

// printVersions prints the version in force and the declared version of each changed object.
func (p changePlan) printVersions(out io.Writer) error {
	for _, edit := range p.edits {
		stored, found := p.current.Get(edit.Reference)
		if !found || edit.Object == nil {
			continue
		}
		fmt.Fprintf(out, "--- %s in force: ", edit.Reference)
		if err := printJSON(out, stored.Object); err != nil {
			return err
		}
		fmt.Fprintf(out, "+++ %s declared: ", edit.Reference)
		if err := printJSON(out, edit.Object); err != nil {
			return err
		}
	}
	return nil
}
