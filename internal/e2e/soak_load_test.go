package e2e

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// This file adds load to the soak besides its faults: lower-priority programs that run several turns
// concurrently, a tenant far above its rate limit, callers that read slowly, and engines of three
// speeds, one of which is slowed temporarily. The load has random number generators of its own, so
// that it does not change the faults that a seed selects.

const (
	fanOutCallers, burstCallers, slowCallers = 2, 1, 2
	// subAgents is the number of concurrent turns of a fan-out program.
	subAgents = 3
	// A burst caller makes burstCalls calls without a pause, then waits for burstPause.
	burstCalls, burstPause = 30, 500 * time.Millisecond
	// A slowBody reads at most slowReadBytes per slowReadPause.
	slowReadBytes, slowReadPause = 16, 10 * time.Millisecond
	// slowedGap is the pause between the events of a slowed engine.
	slowedGap = 150 * time.Millisecond
	// batchPath is the path of the lower-priority programs.
	batchPath = "/batch/s"
)

// engineGaps are the pauses between the events of the engines, which have three speeds.
var engineGaps = []time.Duration{0, 4 * time.Millisecond, 10 * time.Millisecond}

// configureLoad sets the speeds of the engines and adds the lower-priority route to the configuration.
func (s *soak) configureLoad() {
	for i, engine := range s.engines {
		engine.SetExtraEventInterval(engineGaps[i%len(engineGaps)])
	}
	s.config.Routes = append(s.config.Routes, map[string]any{
		"name": "batch", "host": agentHost, "path_prefix": "/batch/", "kind": "streaming", "timeout_ms": 8000,
		"target_latency_ms": 1000, "priority": 3, "service": "llm", "attempts": 1, "sticky": true, "resumable": true, "target_gap_ms": 500,
	})
}

// startLoadGenerators starts the load generators, which run until the context ends.
func (s *soak) startLoadGenerators(ctx context.Context, running *sync.WaitGroup) {
	number := uint64(soakCallers * *soakScale)
	add := func(count, tenant int, run func(c *soakCaller)) {
		for range count {
			number++
			caller := s.newCaller(number, tenant)
			running.Go(func() {
				for ctx.Err() == nil {
					run(caller)
				}
			})
		}
	}
	add(fanOutCallers, 0, (*soakCaller).runFanOut)
	add(burstCallers, len(soakTenants)-1, (*soakCaller).callInBursts)
	add(slowCallers, 0, func(c *soakCaller) { c.readsSlowly = true; c.turn("p-"+c.nextID(), maxTurnTokens, completedTurn{}) })
	random := rand.New(rand.NewPCG(s.seed, number+1))
	running.Go(func() {
		for ctx.Err() == nil {
			s.slowEngine(ctx, random)
		}
	})
}

// runFanOut runs one program of several rounds, each of which has subAgents concurrent turns.
func (c *soakCaller) runFanOut() {
	program := "p-" + c.nextID()
	budget := maxTurnTokens * subAgents * (1 + c.random.IntN(maxTurns))
	for range 1 + c.random.IntN(maxTurns) {
		var round sync.WaitGroup
		for range subAgents {
			agent := &soakCaller{soak: c.soak, random: rand.New(rand.NewPCG(c.random.Uint64(), 0)), tenant: c.tenant, client: c.client}
			round.Go(func() {
				request := record{kind: resumableTurn, program: program, budget: budget, maxTokens: maxTurnTokens}
				agent.send(request, agentHost, batchPath, turnHeader(program, budget))
			})
		}
		round.Wait()
	}
}

// callInBursts makes one burst of tool calls, followed by a pause.
func (c *soakCaller) callInBursts() {
	program := "p-" + c.nextID()
	for range burstCalls {
		c.call(program, safeCall)
	}
	<-time.After(burstPause)
}

// slowEngine slows a random engine for 0.5 to 2.5 seconds.
func (s *soak) slowEngine(ctx context.Context, random *rand.Rand) {
	chosen := random.IntN(len(s.engines))
	s.engines[chosen].SetExtraEventInterval(slowedGap)
	s.note("engine slowed: %s", s.engines[chosen].ID)
	select {
	case <-ctx.Done():
	case <-time.After(500*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))):
	}
	s.engines[chosen].SetExtraEventInterval(engineGaps[chosen%len(engineGaps)])
}

// slowBody is a response body that limits the read rate.
type slowBody struct{ io.Reader }

func (b slowBody) Read(buffer []byte) (int, error) {
	<-time.After(slowReadPause)
	return b.Reader.Read(buffer[:min(len(buffer), slowReadBytes)])
}

// turnHeader returns the headers of a turn of a program.
func turnHeader(program string, budget int) http.Header {
	return http.Header{
		"X-Program-Id": {program}, "X-Session-Id": {"s-" + program}, "X-Program-Deadline-Ms": {"8000"},
		"X-Token-Budget": {strconv.Itoa(budget)}, "X-Token-Count": {"100," + strconv.Itoa(maxTurnTokens)},
	}
}
