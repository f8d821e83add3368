package e2e

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/platform/platformtest"
)

// resumedStream is a stream that its caller resumes until it has all events.
type resumedStream struct {
	brokenStream
	// attempts are the ids of the caller's attempts; events is the number of events received.
	attempts []string
	events   int
	// refused is set if an attempt was refused for good.
	refused bool
}

// TestStreamsResumedAfterAllGatewaysWereKilledKeepTheirVersion kills all gateways at once, again and again, while streams
// run and the engines of one software version leave and others come. Callers resume their streams as soon as any gateway
// serves, with and without the name of the attempt, with and without a token budget, several in one program.
func TestStreamsResumedAfterAllGatewaysWereKilledKeepTheirVersion(t *testing.T) {
	t.Parallel()
	const rounds, streamsPerKind, events = 3, 6, 30
	f := startFleetWith(t, fleetLayout{gateways: 3, replicas: 3, engines: 6, apps: 1, versions: []string{"v1", "v2"}})
	kinds := []struct {
		name            string
		budget, unnamed bool
		ofOneProgram    bool
	}{
		{"named", true, false, false}, {"unnamed", true, true, false}, {"without a budget", false, false, false}, {"chained", true, true, true},
	}
	engines := append([]*platformtest.Engine(nil), f.engines...)
	for _, engine := range engines {
		engine.EventInterval, engine.EventCount = 30*time.Millisecond, events
	}
	continued, resumed, all := 0, 0, 0
	for round := range rounds {
		var callers sync.WaitGroup
		var streams []*resumedStream
		var begun atomic.Int32
		for _, kind := range kinds {
			chain := f.newID()
			for number := range streamsPerKind {
				stream := &resumedStream{brokenStream: brokenStream{program: f.newID(), budget: kind.budget, unnamed: kind.unnamed}}
				if kind.ofOneProgram && number < streamsPerKind/2 {
					stream.program = chain
				}
				streams = append(streams, stream)
				callers.Go(func() { f.readResumed(stream, number, events, &begun) })
			}
		}
		require.Eventually(t, func() bool { return begun.Load() >= int32(len(streams)/2) }, 10*time.Second, time.Millisecond)
		engines = append(engines, f.replaceVersion(round)...)
		for range 2 {
			for _, gateway := range f.gateways {
				require.NoError(t, gateway.command.Process.Kill())
			}
			for _, gateway := range f.gateways {
				<-gateway.exited
				f.start(gateway)
			}
			for _, gateway := range f.gateways {
				f.awaitReady(gateway)
			}
		}
		callers.Wait()
		for _, stream := range streams {
			versions := map[string]bool{}
			for _, attempt := range stream.attempts {
				for _, run := range runsOf(attempt, engines) {
					versions[run.Version] = true
				}
			}
			require.LessOrEqual(t, len(versions), 1, "%s has events of several versions, attempts %v", stream.id, stream.attempts)
			all++
			if len(stream.attempts) > 1 {
				resumed++
			}
			if stream.events == events {
				continued++
			}
		}
	}
	t.Logf("%d of %d streams were resumed, %d ended whole", resumed, all, continued)
	require.Greater(t, 2*resumed, all)
	require.Greater(t, 2*continued, all, "streams whose version serves go on")
}

// readResumed begins a stream and resumes it, at one gateway after the other, until it is whole or refused for good.
func (f *fleet) readResumed(stream *resumedStream, number, events int, begun *atomic.Int32) {
	const tries = 60
	for try := 0; try < tries && stream.events < events && !stream.refused; try++ {
		id := fmt.Sprintf("%s%02x%02x", stream.program, number, try)
		isFirst := stream.events == 0
		received, status, retry := f.readEvents(f.gateways[(number+try)%len(f.gateways)], id, stream.header(), func() {
			if isFirst {
				begun.Add(1)
			}
		})
		if received > 0 || status == http.StatusOK {
			stream.attempts = append(stream.attempts, id)
		}
		if received > 0 && stream.events == 0 {
			stream.id = id
		}
		stream.events += received
		stream.lastEvent = stream.events
		stream.refused = status == http.StatusServiceUnavailable && !retry && stream.events > 0
		if received == 0 {
			<-time.After(50 * time.Millisecond)
		}
	}
}

// readEvents sends one attempt at a stream and returns how many whole events came. retry is set if a refusal asks the
// caller to come back.
func (f *fleet) readEvents(gateway *member, id string, header http.Header, onFirst func()) (events, status int, retry bool) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.address+"/plan/t", strings.NewReader("plan"))
	if err != nil {
		return 0, 0, false
	}
	request.Host, request.Header = agentHost, header
	request.Header.Set("X-Request-Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, response.StatusCode, response.Header.Get("Retry-After") != ""
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if lines.Text() == "" {
			events++
		}
		if events == 1 && lines.Text() == "" {
			onFirst()
		}
	}
	return events, response.StatusCode, false
}

// newSlowEngine starts an engine like the others of the test.
func (f *fleet) newSlowEngine(id, zone, version string) *platformtest.Engine {
	engine := platformtest.NewEngine(id)
	engine.SetVersion(version)
	engine.EventInterval, engine.EventCount = f.engines[0].EventInterval, f.engines[0].EventCount
	f.t.Cleanup(engine.Close)
	f.register(engine, "llm", zone, "ready")
	return engine
}

// replaceVersion lets all but one engine of a version leave, which end soon, and starts engines of a newer one. It returns the
// new ones.
func (f *fleet) replaceVersion(round int) []*platformtest.Engine {
	oldest, kept := f.engines[round%2].Version(), false
	var added []*platformtest.Engine
	for index, engine := range f.engines {
		if engine.Version() != oldest {
			continue
		}
		if !kept {
			kept = true
			continue
		}
		f.register(engine, "llm", zones[index%len(zones)], "draining")
		time.AfterFunc(300*time.Millisecond, func() {
			f.store.Delete("servers", engine.ID)
			engine.End()
		})
		replacement := f.newSlowEngine(fmt.Sprintf("i-round-%d-%d", round, index), zones[index%len(zones)], fmt.Sprintf("v%d", round+3))
		f.engines[index] = replacement
		added = append(added, replacement)
	}
	return added
}
