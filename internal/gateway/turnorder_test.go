package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/overload"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/tally"
)

// fullService gives the gateway a service of engines whose only slot is in use.
func fullService(t *testing.T, s *Server, loadControl, turnOrder bool) *request {
	s.options.LoadControl, s.options.TurnOrder = loadControl, turnOrder
	stream := &route.Route{Name: "chat", Host: "chat.test", Prefix: "/", Kind: route.Streaming, Attempts: 1, Targets: []route.Target{{Service: "llm", Weight: 1}}}
	service := route.Service{Name: "llm", Generates: true}
	table := route.NewTable(2, []*route.Route{stream}, []route.Service{service}, route.Limits{})
	s.directory.Change(time.Now(), backend.Changes{All: true, Listed: []backend.Instance{{ID: "i", Service: "llm", Slots: 1}}}, false)
	_, found := s.directory.Pick(time.Now(), backend.Demand{Service: "llm"})
	require.True(t, found)
	now := time.Now()
	return &request{id: "late", arrived: now, deadline: now.Add(200 * time.Millisecond), programEnds: now.Add(-time.Second), route: stream, table: table, service: service}
}

// counted returns the sum of a counter over its labels.
func counted(t *testing.T, s *Server, name string) float64 {
	families, err := s.metrics.Registry.Gather()
	require.NoError(t, err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}

// held returns how many turns were held, and how many went.
func held(t *testing.T, s *Server) (waited, went float64) {
	return counted(t, s, "swiftbank_turns_held_total"), counted(t, s, "swiftbank_turns_released_total")
}

func TestATurnOfALateProgramWaitsAndThenGoes(t *testing.T) {
	s := gatewayOf(t)
	r := fullService(t, s, true, true)
	s.awaitTurn(t.Context(), r)
	waited, went := held(t, s)
	require.Equal(t, []float64{1, 1}, []float64{waited, went})
	require.Zero(t, s.turnsWaiting(time.Now(), r))
	require.True(t, time.Now().Before(r.deadline), "it goes with time left")
}

func TestTheOrderIsInForceOnlyWhereItIsAskedFor(t *testing.T) {
	for _, asked := range []struct{ loadControl, turnOrder bool }{{false, true}, {true, false}} {
		s := gatewayOf(t)
		s.awaitTurn(t.Context(), fullService(t, s, asked.loadControl, asked.turnOrder))
		waited, _ := held(t, s)
		require.Zero(t, waited)
	}
}

func TestATurnWhoseCallerLeftWaitsNoLonger(t *testing.T) {
	s := gatewayOf(t)
	r := fullService(t, s, true, true)
	r.deadline = r.arrived.Add(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.awaitTurn(ctx, r)
	waited, went := held(t, s)
	require.Equal(t, []float64{1, 0}, []float64{waited, went})
	require.Zero(t, s.turnsWaiting(time.Now(), r))
}

// waitingReport returns what a gateway tells while that many turns wait there for each service.
func waitingReport(now time.Time, turns int, services ...string) *turnOrders {
	orders := newTurnOrders()
	for _, service := range services {
		order := orders.of(now, service).order
		full := overload.Room{Slots: 1, Busy: 1, Bearable: 1}
		for number := range turns {
			arrived := now.Add(-time.Duration(number) * time.Millisecond)
			order.Ask(now, overload.Turn{ID: fmt.Sprint(number), RouteRank: number % 2, Late: number%2 == 0, Arrived: arrived, Longest: time.Second}, full, nil)
		}
		for number := range 5 * turns {
			program := fmt.Sprint("p", number/5)
			order.Observe(now.Add(time.Duration(number)*time.Millisecond), number/5%2, program, number%5 == 0, true, time.Duration(number%7)*time.Second/70)
			order.Took(number%5, 4, time.Duration(number)*time.Millisecond)
		}
	}
	return orders
}

func TestGatewaysHearOfTurnsThatWaitElsewhere(t *testing.T) {
	now := time.Now()
	s := gatewayOf(t)
	r := fullService(t, s, true, true)
	source := tally.Source{Gateway: "other"}
	s.orders.take(now, source, tally.Version{Started: 1, Number: 2}, waitingReport(now, 3, "llm").own(now))
	require.Equal(t, 3, s.turnsWaiting(now, r))
	s.orders.take(now, source, tally.Version{Started: 1, Number: 1}, waitingReport(now, 9, "llm").own(now))
	later := now.Add(orderSumLife)
	require.Equal(t, 3, s.turnsWaiting(later, r), "a report that was overtaken says nothing")
	require.Zero(t, s.turnsWaiting(now.Add(2*orderLife), r), "a gateway that fell silent counts no longer")
}

// A report travels up to 60 times a second.
func TestReportsOfTheOrderStaySmall(t *testing.T) {
	now := time.Now()
	services := []string{"a"}
	require.Less(t, len(waitingReport(now, 1000, services...).own(now)), 300)
	for number := range 20 {
		services = append(services, fmt.Sprint("s", number))
	}
	orders := waitingReport(now, 1000, services...)
	require.Less(t, len(orders.own(now)), 2*300)
	for number := range 20 {
		neighbour := waitingReport(now, 1000, fmt.Sprint("n", number))
		orders.take(now, tally.Source{Gateway: fmt.Sprint(number)}, tally.Version{}, neighbour.own(now))
	}
	require.Less(t, len(orders.zone(now)), 2*300, "nor does a zone's grow with the services that its gateways tell of")
}

// A new program that is more urgent than the turns that wait does not wait for them.
func TestWaitingTurnsBarOnlyNewProgramsThatAreNotMoreUrgent(t *testing.T) {
	now := time.Now()
	s := gatewayOf(t)
	r := fullService(t, s, true, true)
	s.orders.take(now, tally.Source{Gateway: "other"}, tally.Version{}, waitingReport(now, 3, "llm").own(now))
	urgent, usual := *r.route, *r.route
	urgent.Name, usual.Name, usual.Priority, usual.Prefix = "urgent", "usual", 1, "/usual"
	r.table = route.NewTable(3, []*route.Route{&urgent, &usual}, []route.Service{r.service}, route.Limits{})
	r.first, r.route = true, &urgent
	require.Equal(t, 1, s.capacity(now, r).Busy)
	r.route = &usual
	require.Equal(t, 4, s.capacity(now, r).Busy)
	r.first = false
	require.Equal(t, 1, s.capacity(now, r).Busy, "begun programs wait in the order, not for it")
}
