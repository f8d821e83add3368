package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/quarantine"
)

// newAdopter returns a gateway that is the only one.
func newAdopter(t *testing.T) *containedGateway {
	g := newContainedGateway(t)
	g.gatewayNames.Store(&[]string{g.options.Node})
	return g
}

// learn learns a run of a call at an instance from another gateway.
func (g *containedGateway) learn(id string, outcome quarantine.Outcome) quarantine.Key {
	key := g.keyOfCall("x")
	run := quarantine.Run{ID: quarantine.RunIDOf("other-"+id, 1), Instance: id, Life: 5, Outcome: outcome, Lost: true}
	g.learnRecords(time.Now(), "other", []quarantine.Record{{Key: key, Runs: []quarantine.Run{run}}})
	return key
}

// adopted adopts what is to be adopted, and returns the runs that are watched.
func (g *containedGateway) adopted() []*lostRun {
	g.adoptRuns(time.Now())
	g.containment.mu.Lock()
	defer g.containment.mu.Unlock()
	return append([]*lostRun(nil), g.containment.unresolved...)
}

// end ends an instance: its address refuses connections and its entry goes.
func (g *containedGateway) end(number int, server interface{ Close() }) {
	server.Close()
	g.instances = append(g.instances[:number:number], g.instances[number+1:]...)
	g.publish()
}

func TestEndAfterTheGatewayOfARunWasKilledIsCounted(t *testing.T) {
	for _, outcome := range []quarantine.Outcome{quarantine.Survived, quarantine.Running} {
		g := newAdopter(t)
		server := g.list("i-1", func(http.ResponseWriter, *http.Request) {})
		key := g.learn("i-1", outcome)
		require.Len(t, g.adopted(), 1)
		require.Len(t, g.adopted(), 1, "it is adopted once")
		g.end(0, server)
		require.Eventually(t, func() bool { return g.standingOf(key) == quarantine.Standing{Ended: 1} }, 10*time.Second, time.Millisecond, outcome.String())
	}
}

func TestInstanceThatLeftTheListAndServesOnHasNotEnded(t *testing.T) {
	g := newAdopter(t)
	g.list("i-1", func(http.ResponseWriter, *http.Request) {})
	key := g.learn("i-1", quarantine.Survived)
	lost := g.adopted()[0]
	g.instances = nil
	g.publish()
	require.Eventually(t, func() bool { return g.containment.watched() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, backend.EntryGone, g.directory.EntryStateOf(lost.instance, lost.life, lost.sentAt))
	<-time.After(100 * time.Millisecond)
	require.Equal(t, quarantine.Standing{Exposed: 1}, g.standingOf(key))
}

func TestInstanceThatLeavesDoesNotEndOfAnAdoptedRun(t *testing.T) {
	g := newAdopter(t)
	server := g.list("i-1", func(http.ResponseWriter, *http.Request) {})
	key := g.learn("i-1", quarantine.Survived)
	require.Len(t, g.adopted(), 1)
	g.leave()
	require.Eventually(t, func() bool { return g.containment.watched() == 0 }, 10*time.Second, time.Millisecond)
	g.end(0, server)
	require.Empty(t, g.adopted())
	require.Zero(t, g.standingOf(key).Ended)
}

// Whoever finds an end records it under the id of the run.
func TestEndThatSeveralGatewaysFindCountsOnce(t *testing.T) {
	g := newAdopter(t)
	server := g.list("i-1", func(http.ResponseWriter, *http.Request) {})
	key := g.learn("i-1", quarantine.Survived)
	require.Len(t, g.adopted(), 1)
	g.end(0, server)
	late := quarantine.Run{ID: quarantine.RunIDOf("other-i-1", 1), Instance: "i-1", Life: 5, Outcome: quarantine.Ended}.AsLate()
	g.learnRecords(time.Now(), "other", []quarantine.Record{{Key: key, Runs: []quarantine.Run{late}}})
	require.Eventually(t, func() bool { return g.containment.watched() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, quarantine.Standing{Ended: 1}, g.standingOf(key))
}

func TestFewGatewaysAdoptARun(t *testing.T) {
	const gateways = 50
	var names []string
	for number := range gateways {
		names = append(names, fmt.Sprintf("gateway-%d", number))
	}
	for run := range 20 {
		count := 0
		for _, name := range names {
			s := &Server{options: Options{Node: name}}
			s.gatewayNames.Store(&names)
			if s.isAdopter(quarantine.RunIDOf("id", run)) {
				count++
			}
		}
		require.Equal(t, adopters, count)
	}
}
