package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"swiftbank.dev/swiftbank/internal/timeline"
)

// defaultSpan is the span of time that one row of a timeline covers.
const defaultSpan = 2 * time.Second

func newTimelineCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "timeline [LOG...]",
		Short: "Summarize gateways' logs: which requests were answered, refused or late, and when",
		Long: "Reads log files of gateways, or standard input, and prints the outcomes of the requests\n" +
			"for each span of time, by route, zone or tenant: how many were answered, refused and failed,\n" +
			"how many arrived after their program's deadline, and the latency of answers.",
		Example: "  swiftbank timeline --by zone --span 2s gateway-*.log",
	}
	output := outputFlag(command)
	span := command.Flags().Duration("span", defaultSpan, "time that one row covers")
	by := command.Flags().String("by", string(timeline.ByRoute), "group requests by route, zone or tenant")
	command.RunE = func(command *cobra.Command, files []string) error {
		if err := checkOutput(*output); err != nil {
			return err
		}
		group := timeline.Group(*by)
		if !slices.Contains(timeline.Groups(), group) || *span <= 0 {
			return exitWith(ExitUsage, fmt.Errorf("timeline: --by %s --span %s: write route, zone or tenant and a span above 0", *by, *span))
		}
		log, err := readLogs(command.InOrStdin(), files)
		if err != nil {
			return exitWith(ExitUsage, err)
		}
		rows := timeline.Summarize(log, *span, group)
		if *output == "json" {
			return printJSON(command.OutOrStdout(), rows)
		}
		printTimeline(command.OutOrStdout(), rows)
		return nil
	}
	return command
}

func printTimeline(out io.Writer, rows []timeline.Row) {
	fmt.Fprintf(out, "%8s  %-24s %8s %8s %8s %8s %15s %15s  %s\n",
		"from s", "group", "answered", "refused", "failed", "late", "first ms 50/95", "took ms 50/95", "reasons")
	for _, row := range rows {
		fmt.Fprintf(out, "%8.1f  %-24s %8d %8d %8d %8d %7.0f/%7.0f %7.0f/%7.0f  %s\n",
			row.FromS, row.Group, row.Answered, row.Refused, row.Failed, row.LateStarts,
			row.FirstEventMS.Median, row.FirstEventMS.P95, row.DurationMS.Median, row.DurationMS.P95, reasonList(row.Reasons))
	}
}

// reasonList returns the reasons with their counts, sorted by name.
func reasonList(reasons map[string]int) string {
	var listed []string
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		listed = append(listed, fmt.Sprintf("%s=%d", name, reasons[name]))
	}
	return strings.Join(listed, " ")
}
