package command

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/explain"
)

func newExplainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Show what happened to a request, from the logs of gateways and replicas",
		Long: "Reads log files of several processes, or standard input, and prints the lines that concern\n" +
			"the request in order, with the state that its nodes acted on. Exits with 1 when no line\nnames the id.",
		Example: "  swiftbank explain 9c41d07be2a35f68 gateway-*.log replica-*.log",
		Args:    cobra.MinimumNArgs(1),
	}
	output := outputFlag(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		log, err := readLogs(command.InOrStdin(), arguments[1:])
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		report := log.Explain(arguments[0])
		if *output == "json" {
			err = printJSON(command.OutOrStdout(), report)
		} else {
			printReport(command.OutOrStdout(), report)
		}
		if err == nil && !report.Found {
			return exitWith(ExitFailure, errSilent)
		}
		return err
	}
	return command
}

func readLogs(input io.Reader, files []string) (*explain.Log, error) {
	log := &explain.Log{}
	if len(files) == 0 {
		return log, log.Read(input)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = log.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return log, nil
}

func printReport(out io.Writer, report explain.Report) {
	if !report.Found {
		fmt.Fprintf(out, "request %s is not in these logs\n", report.ID)
	}
	for _, step := range report.Steps {
		fmt.Fprintf(out, "%8d ms  %-24s %-22s %s\n", step.AtMS, step.Node, step.Event, step.Description)
	}
	for _, warning := range report.Warnings {
		fmt.Fprintln(out, "note:", warning)
	}
}
