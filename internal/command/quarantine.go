package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/gateway"
)

// quarantineTimeout bounds a call to a gateway's operator address.
const quarantineTimeout = 5 * time.Second

func newQuarantineCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "quarantine",
		Short: "List or release requests that ended the instances that ran them",
		Long: "A request under which too many instances ended is refused by all gateways. Every gateway knows all of\n" +
			"these requests; the address is the one that serves its metrics. 'swiftbank explain ID' shows the key of\na request.",
		Example: "  swiftbank quarantine list 10.1.0.19:9100",
	}
	command.AddCommand(newQuarantineListCommand(), newQuarantineReleaseCommand())
	return command
}

func newQuarantineListCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "list METRICS-ADDRESS",
		Short:   "List the requests under which instances ended, those with the most ends first",
		Example: "  swiftbank quarantine list 10.1.0.19:9100",
		Args:    cobra.ExactArgs(1),
	}
	output := outputFlag(command)
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		content, err := callQuarantine(command.Context(), http.MethodGet, arguments[0], "")
		if err != nil {
			return exitWith(ExitFailure, err)
		}
		var listed []gateway.SuspectRequest
		if err := json.Unmarshal(content, &listed); err != nil {
			return exitWith(ExitFailure, fmt.Errorf("quarantine: %w", err))
		}
		if *output == "json" {
			return printJSON(command.OutOrStdout(), listed)
		}
		printSuspects(command.OutOrStdout(), listed)
		return nil
	}
	return command
}

func printSuspects(out io.Writer, listed []gateway.SuspectRequest) {
	for _, suspect := range listed {
		fmt.Fprintf(out, "%s  %-11s %d ended, changed %s ago\n", suspect.Key, suspect.Verdict, suspect.Ended, time.Duration(suspect.AgeMS)*time.Millisecond)
		for _, run := range suspect.Runs {
			fmt.Fprintf(out, "    %-10s %s, run %s\n", run.State(), run.Instance, run.ID)
		}
	}
}

func newQuarantineReleaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "release METRICS-ADDRESS KEY",
		Short:   "Let all gateways send a request again",
		Example: "  swiftbank quarantine release 10.1.0.19:9100 3fa81c77d20b40c8f1a7b3e9265d9c41",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			if _, err := callQuarantine(command.Context(), http.MethodDelete, arguments[0], "/"+arguments[1]); err != nil {
				return exitWith(ExitFailure, err)
			}
			fmt.Fprintln(command.OutOrStdout(), "released", arguments[1])
			return nil
		},
	}
}

// callQuarantine calls a gateway's operator address and returns the body of the answer.
func callQuarantine(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+gateway.QuarantinePath+path, nil)
	if err != nil {
		return nil, fmt.Errorf("quarantine: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("quarantine: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("quarantine: %w", err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("quarantine: HTTP status %d: %s", response.StatusCode, content)
	}
	return content, nil
}
