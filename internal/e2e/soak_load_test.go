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

// What the soak's fleet bears besides faults: programs of a less urgent rank that unfold into
// several turns at once, a tenant far beyond its limit, callers that read slowly, and engines of
// three speeds, one of which is slowed for moments. Its random numbers are its own, so that
// a seed brings the faults that it always brought.

const (
	unfoldingCallers, hotCallers, slowCallers = 2, 1, 2
	// subAgents is how many turns a program of an unfolding caller has at once.
	subAgents = 3
	// hotCalls come without a pause, then hotPause.
	hotCalls, hotPause = 30, 500 * time.Millisecond
	// slowReadBytes are read each slowReadPause.
	slowReadBytes, slowReadPause = 16, 10 * time.Millisecond
	// slowedGap is the pause between the events of an engine that is slowed.
	slowedGap = 150 * time.Millisecond
	// batchPath is that of the less urgent programs.
	batchPath = "/batch/s"
)

// engineGaps are the pauses between events at engines of three speeds.
var engineGaps = []time.Duration{0, 4 * time.Millisecond, 10 * time.Millisecond}

// addLoad gives engines their speeds and the configuration the less urgent route.
func (s *soak) addLoad() {
	for i, engine := range s.engines {
		engine.SetExtraEventInterval(engineGaps[i%len(engineGaps)])
	}
	s.config.Routes = append(s.config.Routes, map[string]any{
		"name": "batch", "host": agentHost, "path_prefix": "/batch/", "kind": "streaming", "timeout_ms": 8000,
		"target_latency_ms": 1000, "priority": 3, "service": "llm", "attempts": 1, "sticky": true, "resumable": true, "target_gap_ms": 500,
	})
}

// bringLoad runs the load until the context ends.
func (s *soak) bringLoad(ctx context.Context, running *sync.WaitGroup) {
	number := uint64(soakCallers)
	add := func(count, tenant int, run func(c *soakCaller)) {
		for range count {
			number++
			caller := &soakCaller{soak: s, random: rand.New(rand.NewPCG(s.seed, number)), tenant: tenant}
			running.Go(func() {
				for ctx.Err() == nil {
					run(caller)
				}
			})
		}
	}
	add(unfoldingCallers, 0, (*soakCaller).unfold)
	add(hotCallers, len(soakTenants)-1, (*soakCaller).callHotly)
	add(slowCallers, 0, func(c *soakCaller) { c.slowly = true; c.turn("p-"+c.nextID(), turnMost, keptTurn{}) })
	random := rand.New(rand.NewPCG(s.seed, number+1))
	running.Go(func() {
		for ctx.Err() == nil {
			s.slowOne(ctx, random)
		}
	})
}

// unfold runs one program of several rounds of turns at once.
func (c *soakCaller) unfold() {
	program := "p-" + c.nextID()
	budget := turnMost * subAgents * (1 + c.random.IntN(turnsMost))
	for range 1 + c.random.IntN(turnsMost) {
		var round sync.WaitGroup
		for range subAgents {
			agent := &soakCaller{soak: c.soak, random: rand.New(rand.NewPCG(c.random.Uint64(), 0)), tenant: c.tenant}
			round.Go(func() {
				asked := record{kind: resumableTurn, program: program, budget: budget, most: turnMost}
				agent.ask(asked, agentHost, batchPath, turnHeader(program, budget))
			})
		}
		round.Wait()
	}
}

// callHotly calls tools without a pause for a moment.
func (c *soakCaller) callHotly() {
	program := "p-" + c.nextID()
	for range hotCalls {
		c.call(program, safeCall)
	}
	<-time.After(hotPause)
}

// slowOne slows an engine for a moment.
func (s *soak) slowOne(ctx context.Context, random *rand.Rand) {
	chosen := random.IntN(len(s.engines))
	s.engines[chosen].SetExtraEventInterval(slowedGap)
	s.note("engine slowed: %s", s.engines[chosen].ID)
	select {
	case <-ctx.Done():
	case <-time.After(500*time.Millisecond + time.Duration(random.Int64N(int64(2*time.Second)))):
	}
	s.engines[chosen].SetExtraEventInterval(engineGaps[chosen%len(engineGaps)])
}

// slowBody is an answer that is read slowly.
type slowBody struct{ io.Reader }

func (b slowBody) Read(buffer []byte) (int, error) {
	<-time.After(slowReadPause)
	return b.Reader.Read(buffer[:min(len(buffer), slowReadBytes)])
}

// turnHeader returns the header of a program's turn.
func turnHeader(program string, budget int) http.Header {
	return http.Header{
		"X-Program-Id": {program}, "X-Session-Id": {"s-" + program}, "X-Program-Deadline-Ms": {"8000"},
		"X-Token-Budget": {strconv.Itoa(budget)}, "X-Token-Count": {"100," + strconv.Itoa(turnMost)},
	}
}
