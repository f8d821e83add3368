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

// The load that is replayed: programs of several turns whose prompts grow, each turn through
// another gateway, on engines whose prompt memory holds all of it.
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
	// reportsLost is the share of reports that get lost, and of those that come twice.
	reportsLost = 0.05
	slowFactor  = 3
)

// timed is something that happens at a time of the replay.
type timed struct {
	at time.Time
	do func(now time.Time)
}

type agenda []timed

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// replayedProgram is a program with what its earlier turns left at instances.
type replayedProgram struct {
	number, turn int
	cached       []CachedPrompt
}

// replayedTurn is a turn under way.
type replayedTurn struct {
	program *replayedProgram
	gateway *Directory
	choice  Choice
	sentAt  time.Time
	first   time.Duration
	parts   []PromptPart
}

// placementReplay plays the load over several gateways and counts what the engines read.
type placementReplay struct {
	agenda   agenda
	random   *rand.Rand
	gateways []*Directory
	engines  map[string]*enginemodel.Engine
	stepping map[string]bool
	turns    map[string]*replayedTurn
	aged     bool
	// stretch is how many times as long as usual the steps of an engine take.
	stretch func(id string) float64

	read, ended int
	first       time.Duration
	took        []time.Duration
}

func (p *placementReplay) at(at time.Time, do func(now time.Time)) {
	heap.Push(&p.agenda, timed{at: at, do: do})
}

// report sends one gateway's loads to its next neighbours.
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
	p.at(now.Add(reportPause), func(now time.Time) { p.report(now, from, next) })
}

// turn places the next turn of a program at any gateway.
func (p *placementReplay) turn(now time.Time, program *replayedProgram) {
	gateway := p.gateways[p.random.IntN(len(p.gateways))]
	parts := []PromptPart{{ID: "all", Tokens: 512}, {ID: fmt.Sprint("p", program.number), Tokens: firstPrompt + program.turn*(turnPrompt+answerTokens)}}
	choice, _ := gateway.Pick(now, Demand{Service: "llm", Generates: true, PromptParts: parts, CachedPrompts: program.cached, DiscountOldReports: p.aged})
	id := fmt.Sprint(program.number, "-", program.turn)
	p.turns[id] = &replayedTurn{program: program, gateway: gateway, choice: choice, sentAt: now, parts: parts}
	engine := p.engines[choice.Instance.ID]
	engine.Submit(now, enginemodel.Job{
		ID: id, Session: fmt.Sprint(program.number), OutputTokens: answerTokens, AnswerID: uint64(program.number),
		Prompt: []enginemodel.Segment{{ID: 1, Tokens: 512}, {ID: uint64(program.number) + 100, Tokens: int64(parts[1].Tokens)}},
	})
	p.await(now, choice.Instance.ID)
}

// await notes when the engine's step ends.
func (p *placementReplay) await(now time.Time, id string) {
	due, busy := p.engines[id].NextStep()
	if !busy || p.stepping[id] {
		return
	}
	due = now.Add(time.Duration(p.stretch(id) * float64(due.Sub(now))))
	p.stepping[id] = true
	p.at(due, func(now time.Time) { p.step(now, id) })
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
	p.await(now, id)
}

func (p *placementReplay) end(now time.Time, turn *replayedTurn) {
	p.ended++
	p.first += turn.first
	p.took = append(p.took, now.Sub(turn.sentAt))
	turn.gateway.End(now, turn.choice, Answered)
	turn.gateway.Observe(now, turn.choice, Observation{
		UncachedTokens: turn.choice.UncachedTokens, Load: turn.choice.Load, TimeToFirstEvent: turn.first, Duration: now.Sub(turn.sentAt), Events: answerTokens,
	})
	program := turn.program
	last := turn.parts[1]
	program.cached = append(program.cached, CachedPrompt{Instance: turn.choice.Instance.ID, PartIndex: 1, Tokens: last.Tokens + answerTokens})
	program.turn++
	if program.turn < programTurns {
		p.at(now.Add(programPause), func(now time.Time) { p.turn(now, program) })
	}
}

func (p *placementReplay) arrive(now time.Time, number int) {
	p.turn(now, &replayedProgram{number: number})
	pause := time.Duration(p.random.ExpFloat64() * float64(time.Second) / programsPerSec)
	p.at(now.Add(pause), func(now time.Time) { p.arrive(now, number+1) })
}

// placed is what a replay shows.
type placed struct {
	// read is how many tokens engines read for a turn, first the mean time to a first event.
	read  float64
	first time.Duration
	// took is the 95th percentile of a turn's time.
	took time.Duration
}

func replayPlacement(gateways int, aged bool, stretch func(id string) float64) placed {
	p := &placementReplay{
		random: rand.New(rand.NewPCG(1, uint64(gateways))), engines: map[string]*enginemodel.Engine{}, stepping: map[string]bool{},
		turns: map[string]*replayedTurn{}, aged: aged, stretch: stretch,
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
		p.at(start.Add(time.Duration(i)*time.Millisecond), func(now time.Time) { p.report(now, i, i) })
	}
	p.at(start, func(now time.Time) { p.arrive(now, 0) })
	for len(p.agenda) > 0 && p.agenda[0].at.Before(start.Add(replayLength)) {
		next := heap.Pop(&p.agenda).(timed)
		next.do(next.at)
	}
	slices.Sort(p.took)
	return placed{
		read: float64(p.read) / float64(p.ended), first: p.first / time.Duration(p.ended), took: p.took[len(p.took)*95/100],
	}
}

// equal, threeSpeeds and oneSlowed are the engines that the load is replayed on.
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

// With one gateway that sees all requests nothing is old, and both ways are the same.
func TestProgramsStayWithTheirPromptsHoweverManyGatewaysPlace(t *testing.T) {
	const mostOfOne = 1.2
	for name, stretch := range map[string]func(string) float64{"equal engines": equal, "three speeds": threeSpeeds, "one slowed": oneSlowed} {
		t.Run(name, func(t *testing.T) {
			one := replayPlacement(1, true, stretch)
			require.Equal(t, replayPlacement(1, false, stretch), one)
			for _, gateways := range []int{8, 50} {
				whole, aged := replayPlacement(gateways, false, stretch), replayPlacement(gateways, true, stretch)
				t.Logf("%d gateways: one that sees all %v, reports as they are %v, by their age %v", gateways, one, whole, aged)
				require.Less(t, aged.read, whole.read)
				require.Less(t, aged.first, whole.first)
				require.LessOrEqual(t, aged.read, mostOfOne*one.read)
				require.LessOrEqual(t, aged.first, time.Duration(mostOfOne*float64(one.first)))
			}
		})
	}
}

// What is reported of one instance is told apart from the usual load as far as its requests last.
func TestReportsCountByTheirAgeBesideTheRequests(t *testing.T) {
	for name, test := range map[string]struct {
		interval, took time.Duration
		least, most    float64
	}{
		"young reports of long requests": {10 * time.Millisecond, 10 * time.Second, 7.9, 8},
		"old reports of short requests":  {2 * time.Second, 100 * time.Millisecond, 2, 2.1},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory("z")
			d.Update(start, engines(4), false)
			d.paceOf("llm").duration.add(milliseconds(test.took), paceGain)
			now := start
			for range 3 {
				now = now.Add(test.interval)
				d.SetRemoteLoads(now, LoadSource{Gateway: "g2"}, map[string]int{"e00": 8})
			}
			expected := d.expectedLoad(now, d.members["e00"])
			require.GreaterOrEqual(t, expected, test.least)
			require.LessOrEqual(t, expected, test.most)
		})
	}
}
