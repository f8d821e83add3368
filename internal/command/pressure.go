package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/loadstatus"
)

// loadControlMetrics are the name prefixes of the load control metrics.
var loadControlMetrics = []string{
	"swiftbank_program_", "swiftbank_limit_", "swiftbank_tenant_", "swiftbank_instance_", "swiftbank_missing_prompt_",
	"swiftbank_held_", "swiftbank_memory_",
}

var errNoGatewayAnswered = errors.New("no gateway answered")

func newPressureCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "pressure METRICS-ADDRESS...",
		Short: "Print capacity, waiting requests and refusals, with reasons, from gateways' metrics",
		Long: "Reads the metrics of gateways and prints each load control metric summed over them, with the\n" +
			"minimum and maximum of single gateways; histograms are left out. Exits with 1 when a gateway did not answer.",
		Example: "  swiftbank pressure 10.1.0.19:9100 10.1.0.20:9100",
		Args:    cobra.MinimumNArgs(1),
	}
	output := outputFlag(command)
	command.RunE = func(command *cobra.Command, addresses []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		status := loadstatus.New(loadControlMetrics)
		failedGateways := 0
		for _, address := range addresses {
			if err := readMetrics(command.Context(), status, address); err != nil {
				fmt.Fprintf(command.ErrOrStderr(), "%s: %s\n", address, err)
				failedGateways++
			}
		}
		if failedGateways == len(addresses) {
			return exitWith(ExitFailure, errNoGatewayAnswered)
		}
		if err := printPressure(command.OutOrStdout(), status.Rows(), *output); err != nil {
			return err
		}
		if failedGateways > 0 {
			return exitWith(ExitFailure, errSilent)
		}
		return nil
	}
	return command
}

// readMetrics adds one gateway's metrics to the status.
func readMetrics(ctx context.Context, status *loadstatus.Status, address string) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return fmt.Errorf("pressure: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("pressure: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("pressure: HTTP status %d", response.StatusCode)
	}
	return status.Add(response.Body)
}

func printPressure(out io.Writer, rows []loadstatus.Row, format string) error {
	if format == "json" {
		return printJSON(out, rows)
	}
	fmt.Fprintf(out, "%-44s %-40s %12s %10s %10s %9s\n", "metric", "of", "sum", "least", "most", "gateways")
	for _, row := range rows {
		fmt.Fprintf(out, "%-44s %-40s %12.1f %10.1f %10.1f %9d\n",
			row.Metric, strings.Join(row.Labels, " "), row.Sum, row.Min, row.Max, row.Gateways)
	}
	return nil
}
