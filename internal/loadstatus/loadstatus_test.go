package loadstatus_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/loadstatus"
)

const firstGateway = `
# TYPE swiftbank_admission_room gauge
swiftbank_admission_room{node="g1",service="llm"} 40
# TYPE swiftbank_admission_refused_total counter
swiftbank_admission_refused_total{node="g1",service="llm",rank="1"} 3
# TYPE swiftbank_requests_total counter
swiftbank_requests_total{node="g1"} 9
`

const secondGateway = `
# TYPE swiftbank_admission_room gauge
swiftbank_admission_room{node="g2",service="llm"} 44
# TYPE swiftbank_admission_refused_total counter
swiftbank_admission_refused_total{node="g2",service="llm",rank="1"} 4
`

func TestRowsSumOverGateways(t *testing.T) {
	status := loadstatus.New([]string{"swiftbank_admission_"})
	require.NoError(t, status.Add(strings.NewReader(firstGateway)))
	require.NoError(t, status.Add(strings.NewReader(secondGateway)))
	require.Equal(t, []loadstatus.Row{
		{Metric: "swiftbank_admission_refused_total", Labels: []string{"rank=1", "service=llm"}, Sum: 7, Min: 3, Max: 4, Gateways: 2},
		{Metric: "swiftbank_admission_room", Labels: []string{"service=llm"}, Sum: 84, Min: 40, Max: 44, Gateways: 2},
	}, status.Rows())
}

func TestAddRejectsNonMetricsInput(t *testing.T) {
	require.Error(t, loadstatus.New(nil).Add(strings.NewReader("<html>")))
}
