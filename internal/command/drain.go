package command

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

func newDrainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "drain OPERATOR-ADDRESS",
		Short:   "Drain a node before a stop: withdraw readiness, transfer leadership, finish work",
		Example: "  swiftbank drain 127.0.0.1:7301",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), operatorTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+arguments[0]+"/drain", nil)
			if err != nil {
				return exitWith(ExitUsage, err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return exitWith(ExitFailure, err)
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusAccepted {
				return exitWith(ExitFailure, fmt.Errorf("drain: HTTP status %d", response.StatusCode))
			}
			fmt.Fprintln(command.OutOrStdout(), "drain started")
			return nil
		},
	}
}
