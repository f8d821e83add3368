package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tally"
)

func TestPlacesByExpectedEndOnlyUnderLoadControl(t *testing.T) {
	engines, calls := route.Service{Name: "engines", Generates: true}, route.Service{Name: "calls"}
	request := func(service route.Service, attempts int) *request {
		streams := &route.Route{Kind: route.Streaming, Attempts: attempts, Targets: []route.Target{{Service: engines.Name, Weight: 1}}}
		return &request{service: service, table: route.NewTable(1, []*route.Route{streams}, []route.Service{engines, calls}, route.Limits{})}
	}
	for _, service := range []route.Service{engines, calls} {
		on := &Server{options: Options{InstanceSpeeds: true}}
		require.True(t, on.placesByExpectedEnd(request(service, 2)), "streams may run twice")
		require.False(t, on.placesByExpectedEnd(request(service, 1)), "load control does not apply")
		asked := &Server{options: Options{InstanceSpeeds: true, LoadControl: true}}
		require.True(t, asked.placesByExpectedEnd(request(service, 1)), "the operator enables it")
		off := &Server{options: Options{LoadControl: true}}
		require.False(t, off.placesByExpectedEnd(request(service, 2)), "speeds are disabled")
	}
}

func TestClassifyAppliesHysteresis(t *testing.T) {
	slow := classify(0.5, 0)
	require.NotZero(t, slow)
	require.Equal(t, slow, classify(0.2, slow))
	require.Zero(t, classify(0.05, slow))
}

// The traffic of the section must not grow with the number of gateways that report speeds.
func TestSpeedReportIntervalGrowsWithGateways(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := backend.NewDirectory("z")
	directory.ApplyChanges(now, backend.Changes{Snapshot: true, Listed: []backend.Instance{{ID: "e", Service: "s", Zone: "z", Slots: 6}}}, false)
	choice, _ := directory.Pick(now, backend.Demand{Service: "s", ByExpectedEnd: true})
	directory.Observe(now, choice, backend.Observation{Kind: "k", Duration: time.Second})
	section := NewSpeedSection(directory, nil, NewMetrics("g"))
	const gateways = 100
	for number := range gateways {
		directory.ApplySpeedReport(now, tally.Source{Gateway: string(rune('A' + number))}, tally.Version{Number: 1}, nil)
	}
	reports := 0
	for range int(time.Second / gossipInterval) {
		now = now.Add(gossipInterval)
		if section.ownFigures(now) != nil {
			reports++
		}
	}
	require.InDelta(t, time.Second/(gateways*speedReportSpacing), reports, 1)
}
