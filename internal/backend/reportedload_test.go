package backend

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/enginemodel"
)

// The simulated load: programs of several turns with growing prompts, each turn through another
// gateway, on engines whose prompt caches hold all of it.
const (
	replayEngines  = 24
	replaySlots    = 6
	replayMemory   = 200_000
	replayLength   = 6 * time.Second
	programTurns   = 8
	firstPrompt    = 700
	turnPrompt     = 200
	answerTokens   = 16
	programPause   = 60 * time.Millisecond
	programsPerSec = 42
	reportPause    = 50 * time.Millisecond
	reportFanout   = 2
	// reportsLost is the fraction of reports that are lost, and of those that are duplicated.
	reportsLost = 0.05
	slowFactor  = 3
)

// event is an event of the simulation.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// replayedProgram is a program with the prompts that its earlier turns left at instances.
type replayedProgram struct {
	number, turn int
	cached       []CachedPrompt
}

// replayedTurn is a turn in progress.
type replayedTurn struct {
	program *replayedProgram
	gateway *Directory
	choice  Choice
	sentAt  time.Time
	first   time.Duration
	parts   []PromptPart
}

// placementReplay simulates the load over several gateways and counts the tokens that engines read.
type placementReplay struct {
	agenda             eventQueue
	random             *rand.Rand
	gateways           []*Directory
	engines            map[string]*enginemodel.Engine
	stepping           map[string]bool
	turns              map[string]*replayedTurn
	discountOldReports bool
	// stretch returns the factor by which an engine's steps are slowed down.
	stretch func(id string) float64

	read, ended int
	first       time.Duration
	durations   []time.Duration
}

func (p *placementReplay) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&p.agenda, event{at: at, run: do})
}

// report sends one gateway's loads to its next neighbors.
func (p *placementReplay) report(now time.Time, from, next int) {
	loads := p.gateways[from].Loads(now)
	for range min(reportFanout, len(p.gateways)-1) {
		next = (next + 1) % len(p.gateways)
		if next == from {
			next = (next + 1) % len(p.gateways)
		}
		source := LoadSource{Gateway: fmt.Sprint(from)}
		if p.random.Float64() >= reportsLost {
			p.gateways[next].SetRemoteLoads(now, source, loads)
		}
		if p.random.Float64() < reportsLost {
			p.gateways[next].SetRemoteLoads(now, source, loads)
		}
	}
	p.schedule(now.Add(reportPause), func(now time.Time) { p.report(now, from, next) })
}

// turn places the next turn of a program through a random gateway.
func (p *placementReplay) turn(now time.Time, program *replayedProgram) {
	gateway := p.gateways[p.random.IntN(len(p.gateways))]
	parts := []PromptPart{{ID: "all", Tokens: 512}, {ID: fmt.Sprint("p", program.number), Tokens: firstPrompt + program.turn*(turnPrompt+answerTokens)}}
	choice, _ := gateway.Pick(now, Demand{Service: "llm", Generates: true, PromptParts: parts, CachedPrompts: program.cached, DiscountOldReports: p.discountOldReports})
	id := fmt.Sprint(program.number, "-", program.turn)
	p.turns[id] = &replayedTurn{program: program, gateway: gateway, choice: choice, sentAt: now, parts: parts}
	engine := p.engines[choice.Instance.ID]
	engine.Submit(now, enginemodel.Job{
		ID: id, Session: fmt.Sprint(program.number), OutputTokens: answerTokens, AnswerID: uint64(program.number),
		Prompt: []enginemodel.Segment{{ID: 1, Tokens: 512}, {ID: uint64(program.number) + 100, Tokens: int64(parts[1].Tokens)}},
	})
	p.scheduleStep(now, choice.Instance.ID)
}

// scheduleStep schedules the end of the engine's step.
func (p *placementReplay) scheduleStep(now time.Time, id string) {
	due, busy := p.engines[id].NextStep()
	if !busy || p.stepping[id] {
		return
	}
	due = now.Add(time.Duration(p.stretch(id) * float64(due.Sub(now))))
	p.stepping[id] = true
	p.schedule(due, func(now time.Time) { p.step(now, id) })
}

func (p *placementReplay) step(now time.Time, id string) {
	p.stepping[id] = false
	for _, progress := range p.engines[id].Step(now) {
		turn := p.turns[progress.ID]
		if progress.FirstToken {
			turn.first = now.Sub(turn.sentAt)
		}
		if progress.Done {
			p.read += int(progress.PromptTokens - progress.CachedTokens)
			p.end(now, turn)
		}
	}
	p.scheduleStep(now, id)
}

func (p *placementReplay) end(now time.Time, turn *replayedTurn) {
	p.ended++
	p.first += turn.first
	p.durations = append(p.durations, now.Sub(turn.sentAt))
	turn.gateway.End(now, turn.choice, Answered)
	turn.gateway.Observe(now, turn.choice, Observation{
		UncachedTokens: turn.choice.UncachedTokens, Load: turn.choice.Load, TimeToFirstEvent: turn.first, Duration: now.Sub(turn.sentAt), Events: answerTokens,
	})
	program := turn.program
	last := turn.parts[1]
	program.cached = append(program.cached, CachedPrompt{Instance: turn.choice.Instance.ID, PartIndex: 1, Tokens: last.Tokens + answerTokens})
	program.turn++
	if program.turn < programTurns {
		p.schedule(now.Add(programPause), func(now time.Time) { p.turn(now, program) })
	}
}

func (p *placementReplay) arrive(now time.Time, number int) {
	p.turn(now, &replayedProgram{number: number})
	pause := time.Duration(p.random.ExpFloat64() * float64(time.Second) / programsPerSec)
	p.schedule(now.Add(pause), func(now time.Time) { p.arrive(now, number+1) })
}

// replayResult is the result of a simulation.
type replayResult struct {
	// read is the mean number of tokens that engines read for a turn, first the mean time to the
	// first event.
	read  float64
	first time.Duration
	// took is the 95th percentile of the turn durations.
	took time.Duration
}

func replayPlacement(gateways int, aged bool, stretch func(id string) float64) replayResult {
	p := &placementReplay{
		random: rand.New(rand.NewPCG(1, uint64(gateways))), engines: map[string]*enginemodel.Engine{}, stepping: map[string]bool{},
		turns: map[string]*replayedTurn{}, discountOldReports: aged, stretch: stretch,
	}
	var listed []Instance
	for i := range replayEngines {
		listed = append(listed, Instance{ID: fmt.Sprintf("e%02d", i), Service: "llm", Zone: "z", Slots: replaySlots})
		p.engines[listed[i].ID] = enginemodel.New(replaySlots, replayMemory)
	}
	for i := range gateways {
		gateway := NewDirectory("z")
		gateway.SetSeed(fmt.Sprint("g", i))
		gateway.ApplyChanges(start, Changes{Snapshot: true, Listed: listed}, false)
		p.gateways = append(p.gateways, gateway)
		p.schedule(start.Add(time.Duration(i)*time.Millisecond), func(now time.Time) { p.report(now, i, i) })
	}
	p.schedule(start, func(now time.Time) { p.arrive(now, 0) })
	for len(p.agenda) > 0 && p.agenda[0].at.Before(start.Add(replayLength)) {
		next := heap.Pop(&p.agenda).(event)
		next.run(next.at)
	}
	slices.Sort(p.durations)
	return replayResult{
		read: float64(p.read) / float64(p.ended), first: p.first / time.Duration(p.ended), took: p.durations[len(p.durations)*95/100],
	}
}

// equal, threeSpeeds and oneSlowed are the engine speeds of the simulations.
func equal(string) float64 { return 1 }

func threeSpeeds(id string) float64 {
	return []float64{1 / 0.7, 1 / 0.7, 1 / 1.7}[int(id[len(id)-1]-'0')%3]
}

func oneSlowed(id string) float64 {
	if id == "e05" {
		return slowFactor
	}
	return 1
}

// With a single gateway there are no reports, so discounting them by age must make no difference.
func TestProgramsStayWithCachedPromptsForAnyGatewayCount(t *testing.T) {
	const maxRatio = 1.2
	for name, stretch := range map[string]func(string) float64{"equal engines": equal, "three speeds": threeSpeeds, "one slowed": oneSlowed} {
		t.Run(name, func(t *testing.T) {
			one := replayPlacement(1, true, stretch)
			require.Equal(t, replayPlacement(1, false, stretch), one)
			for _, gateways := range []int{8, 50} {
				undiscounted, discounted := replayPlacement(gateways, false, stretch), replayPlacement(gateways, true, stretch)
				t.Logf("%d gateways: single gateway %v, reports undiscounted %v, discounted by age %v", gateways, one, undiscounted, discounted)
				require.Less(t, discounted.read, undiscounted.read)
				require.Less(t, discounted.first, undiscounted.first)
				require.LessOrEqual(t, discounted.read, maxRatio*one.read)
				require.LessOrEqual(t, discounted.first, time.Duration(maxRatio*float64(one.first)))
			}
		})
	}
}

// A reported load counts fully while its requests last and is replaced by the mean load of the
// service as it ages.
func TestReportedLoadIsDiscountedByAge(t *testing.T) {
	for name, test := range map[string]struct {
		interval, took  time.Duration
		atLeast, atMost float64
	}{
		"young reports of long requests": {10 * time.Millisecond, 10 * time.Second, 7.9, 8},
		"old reports of short requests":  {2 * time.Second, 100 * time.Millisecond, 2, 2.1},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory("z")
			d.Update(start, engines(4), false)
			d.serviceSpeedOf("llm").duration.add(milliseconds(test.took), serviceGain)
			now := start
			for range 3 {
				now = now.Add(test.interval)
				d.SetRemoteLoads(now, LoadSource{Gateway: "g2"}, map[string]int{"e00": 8})
			}
			expected := d.expectedLoad(now, d.members["e00"])
			require.GreaterOrEqual(t, expected, test.atLeast)
			require.LessOrEqual(t, expected, test.atMost)
		})
	}
}
