package e2e

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/faultproxy"
	"swiftbank.dev/swiftbank/platform/platformtest"
)

// unheardWays are the conditions of the datagrams between gateways while a request ends instances. deaf is the number of
// gateways that they affect, 0 for all.
var unheardWays = []struct {
	name      string
	condition faultproxy.DatagramCondition
	deaf      int
	kind      lethalRequest
	behaviour platformtest.Behaviour
}{
	{"lost, dropped connection, end after 300 ms", faultproxy.Lost, 0, lethalRequest{path: "/start/t"},
		platformtest.Behaviour{End: platformtest.ProcessEnds, EndAfter: 300 * time.Millisecond, DropResponse: true}},
	{"lost, end at once", faultproxy.Lost, 0, lethalRequest{path: "/start/t"}, platformtest.Behaviour{End: platformtest.ProcessEnds}},
	{"lost, stream, dropped connection, end after 300 ms", faultproxy.Lost, 0, lethalRequest{path: "/plan/t"},
		platformtest.Behaviour{End: platformtest.ProcessEnds, EndAfter: 300 * time.Millisecond, DropResponse: true}},
	{"lost on the way to half of the gateways", faultproxy.Lost, 3, lethalRequest{path: "/start/t"},
		platformtest.Behaviour{End: platformtest.ProcessEnds, EndAfter: 300 * time.Millisecond, DropResponse: true}},
	{"late, reordered, duplicated and partly lost", faultproxy.DatagramCondition{Loss: 0.3, Duplicates: 0.3, Delay: 200 * time.Millisecond, Jitter: time.Second}, 0,
		lethalRequest{path: "/start/t"}, platformtest.Behaviour{End: platformtest.ProcessEnds, EndAfter: 300 * time.Millisecond, DropResponse: true}},
}

// Each gateway that had not heard of the ends at the others sent the request once more.
func TestRequestThatEndsInstancesIsStoppedWhereGatewaysDoNotHearEachOther(t *testing.T) {
	t.Parallel()
	f := startFleetWith(t, fleetLayout{gateways: 6, replicas: 3, engines: 14, apps: 14, gatewaySettings: containmentSettings, proxiedDatagrams: true})
	for _, way := range unheardWays {
		t.Run(way.name, func(t *testing.T) {
			deaf := f.gateways
			if way.deaf > 0 {
				deaf = f.gateways[:way.deaf]
			}
			f.setDatagrams(deaf, way.condition)
			defer f.setDatagrams(f.gateways, faultproxy.DatagramCondition{})
			f.testLethalRequest(t, way.kind, way.behaviour)
		})
	}
}

// setDatagrams sets the condition of what other gateways send to the given ones.
func (f *fleet) setDatagrams(gateways []*member, condition faultproxy.DatagramCondition) {
	for _, gateway := range gateways {
		gateway.datagrams.Set(condition)
	}
}

// An instance that ended after the gateway that had sent the request to it was killed counted nowhere.
func TestRequestThatEndsInstancesIsStoppedThoughItsGatewaysAreKilled(t *testing.T) {
	t.Parallel()
	for _, moment := range []struct {
		name     string
		after    time.Duration
		path     string
		endAfter time.Duration
		// datagrams is the condition of what gateways send to each other.
		datagrams faultproxy.DatagramCondition
	}{
		{"stream, gateways killed 2.8 s after their answers, ends after 4 s", 2800 * time.Millisecond, "/plan/t", 4 * time.Second, faultproxy.DatagramCondition{}},
		{"call, gateways killed 2.8 s after their answers, ends after 4 s", 2800 * time.Millisecond, "/start/t", 4 * time.Second, faultproxy.DatagramCondition{}},
		{"stream, gateways killed 1 s after their answers, ends after 2 s", time.Second, "/plan/t", 2 * time.Second, faultproxy.DatagramCondition{}},
		{"call, gateways killed at once, ends after 700 ms", 0, "/start/t", 700 * time.Millisecond, faultproxy.DatagramCondition{}},
		{"stream, datagrams lost, gateways killed 2.8 s after their answers, ends after 4 s", 2800 * time.Millisecond, "/plan/t", 4 * time.Second, faultproxy.Lost},
		{"call, datagrams lost, gateways killed at once, ends after 700 ms", 0, "/start/t", 700 * time.Millisecond, faultproxy.Lost},
	} {
		t.Run(moment.name, func(t *testing.T) {
			t.Parallel()
			f := startFleetWith(t, fleetLayout{gateways: 3, replicas: 3, engines: 14, apps: 14, gatewaySettings: containmentSettings, proxiedDatagrams: true})
			f.setDatagrams(f.gateways, moment.datagrams)
			behaviour := platformtest.Behaviour{End: platformtest.ProcessEnds, EndAfter: moment.endAfter, DropResponse: true}
			f.testGatewaysKilledAfterAnswers(t, lethalRequest{path: moment.path}, behaviour, moment.after)
		})
	}
}

// testGatewaysKilledAfterAnswers sends one request at all gateways in turn, and kills each one after its answer.
func (f *fleet) testGatewaysKilledAfterAnswers(t *testing.T, kind lethalRequest, behaviour platformtest.Behaviour, after time.Duration) {
	kind.program = f.newID()
	f.setLethal(behaviour)
	defer runUntilStopped(f.replaceEnded)()
	var ids []string
	refused := false
	const attempts = 12
	for number := 0; number < attempts && !refused; number++ {
		gateway := f.gateways[number%len(f.gateways)]
		got := f.attempt(kind, gateway, lethalBody)
		ids = append(ids, got.id)
		refused = got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "request_quarantined") && got.header.Get("Retry-After") == ""
		<-time.After(after)
		f.kill(gateway)
		f.start(gateway)
		f.awaitReady(gateway)
		<-time.After(min(time.Second, retryAfter(got)))
	}
	<-time.After(behaviour.EndAfter) // of the last run
	ends, _ := f.endsUnder(ids)
	require.LessOrEqual(t, ends, endedInstances, "instances that ended under one request")
	require.True(t, refused, "the request must be refused for good after %d attempts; %d instances ended", attempts, ends)
	for _, gateway := range f.gateways {
		require.Eventually(t, func() bool {
			return f.attempt(lethalRequest{path: kind.path, program: f.newID()}, gateway, "harmless").status == http.StatusOK
		}, 10*time.Second, 50*time.Millisecond, "other requests must be served")
	}
}

// Requests of a gateway that was lost may have no record. One that stops as planned has ended all of its requests.
func TestGatewayThatStopsAsPlannedIsNotLost(t *testing.T) {
	t.Parallel()
	f := startFleetWith(t, fleetLayout{gateways: 2, replicas: 3, engines: 2, apps: 2, gatewaySettings: containmentSettings})
	hasLost := func() bool {
		for _, replica := range f.replicas {
			if strings.Contains(replica.log.String(), `"event":"follower_lost"`) {
				return true
			}
		}
		return false
	}
	<-time.After(2 * time.Second) // both follow the replicas, and have renewed their subscriptions
	require.NoError(t, f.gateways[0].command.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-f.gateways[0].exited)
	<-time.After(time.Second)
	require.False(t, hasLost())
	f.kill(f.gateways[1])
	require.Eventually(t, hasLost, 10*time.Second, 10*time.Millisecond)
}
