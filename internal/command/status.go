package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/server"
)

// maxAnswerBytes is the maximum size of an answer that a command reads.
const maxAnswerBytes = 16 << 20

func newStatusCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "status OPERATOR-ADDRESS...",
		Short:   "Print the state of nodes; exit code 1 when one is not ready",
		Example: "  swiftbank status 127.0.0.1:7301 127.0.0.1:7302",
		Args:    cobra.MinimumNArgs(1),
	}
	format := outputFlag(command)
	command.RunE = func(command *cobra.Command, addresses []string) error {
		if err := checkOutput(*format); err != nil {
			return err
		}
		var list []server.OperatorStatus
		ready := true
		for _, address := range addresses {
			status, err := fetchStatus(command.Context(), address)
			if err != nil {
				fmt.Fprintf(command.ErrOrStderr(), "%s: %s\n", address, err)
				ready = false
				continue
			}
			ready = ready && status.Ready
			list = append(list, status)
		}
		if err := printStatus(command, list, *format); err != nil {
			return err
		}
		if !ready {
			return exitWith(ExitFailure, fmt.Errorf("not all nodes are ready"))
		}
		return nil
	}
	return command
}

func fetchStatus(ctx context.Context, address string) (server.OperatorStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var status server.OperatorStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return status, fmt.Errorf("status: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, fmt.Errorf("status: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("status: HTTP status %d", response.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxAnswerBytes)).Decode(&status); err != nil {
		return status, fmt.Errorf("status: %w", err)
	}
	return status, nil
}

func printStatus(command *cobra.Command, list []server.OperatorStatus, format string) error {
	if format == "json" {
		return printJSON(command.OutOrStdout(), list)
	}
	for _, status := range list {
		fmt.Fprintf(command.OutOrStdout(), "%s\tready=%t draining=%t revision=%d shards=%d leading=%d sessions=%d waiting=%d attempts=%d back-ends=%d\n",
			status.Node, status.Ready, status.Draining, status.ConfigRevision, status.Shards, status.Leading,
			status.Sessions, status.Waiting, status.Attempts, status.LiveBackEnds)
	}
	return nil
}
