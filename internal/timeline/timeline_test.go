package timeline_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/explain"
	"swiftbank.dev/swiftbank/internal/timeline"
)

const logLines = `
{"time":900,"node":"g1","event":"start","zone":"east"}
{"time":900,"node":"g2","event":"start","zone":"west"}
{"time":1000,"node":"g1","event":"request","route":"chat","tenant":"a","status":200,"result":"answered","events":3,"first_ms":40,"took_ms":100,"program_left_ms":900}
{"time":1900,"node":"g2","event":"request","route":"plan","tenant":"b","status":503,"result":"overloaded","program_left_ms":-5}
{"time":2999,"node":"g1","event":"request","route":"chat","tenant":"a","status":200,"result":"answered","events":3,"first_ms":60,"took_ms":300}
{"time":3000,"node":"g1","event":"request","route":"chat","tenant":"b","status":502,"result":"outcome_unknown"}
{"time":3100,"node":"g1","event":"request","route":"","status":404,"result":"not_found"}
`

func parseLog(t *testing.T) *explain.Log {
	t.Helper()
	log := &explain.Log{}
	require.NoError(t, log.Read(strings.NewReader(logLines)))
	return log
}

func TestRequestsAreSummedBySpanAndGroup(t *testing.T) {
	rows := timeline.Summarize(parseLog(t), 2*time.Second, timeline.ByRoute)
	require.Equal(t, []timeline.Row{
		{
			FromS: 0, Group: "chat", Answered: 2, Reasons: map[string]int{},
			FirstEventMS: timeline.Quantiles{Median: 40, P95: 60}, DurationMS: timeline.Quantiles{Median: 100, P95: 300},
		},
		{FromS: 0, Group: "plan", Refused: 1, LateStarts: 1, Reasons: map[string]int{"overloaded": 1}},
		{FromS: 2, Group: "chat", Failed: 1, Reasons: map[string]int{"outcome_unknown": 1}},
	}, rows)
}

func TestGroupsByZoneAndTenant(t *testing.T) {
	names := func(by timeline.Group) []string {
		var groups []string
		for _, row := range timeline.Summarize(parseLog(t), time.Minute, by) {
			groups = append(groups, row.Group)
		}
		return groups
	}
	require.Equal(t, []string{"east", "west"}, names(timeline.ByZone))
	require.Equal(t, []string{"a", "b"}, names(timeline.ByTenant))
}
