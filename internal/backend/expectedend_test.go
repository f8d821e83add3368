package backend_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/instancespeed"
	"swiftbank.dev/swiftbank/internal/tally"
)

// The simulated fleet: engines that each run a batch, and gateways in three zones whose reports are
// delayed, lost and duplicated.
const (
	replayedEngines = 24
	replayedSlots   = 6
	replayedZones   = 3
	replayedFor     = 9 * time.Second
	idleTurn        = 120 * time.Millisecond
	// contention is the time that each other request adds to a turn, as a fraction of an idle turn.
	contention    = 0.3
	reportEvery   = 50 * time.Millisecond
	reportEntries = 24
	replayedEpoch = 1000
)

// fleet simulates one load.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	start    time.Time
	events   fleetEvents
	ordered  int
	gateways []*backend.Directory
	running  []int
	waiting  [][]func()
	// slowness returns by what factor an engine is slower than usual at a time of the simulation.
	slowness func(engine int, at time.Duration) float64
	took     []float64
}

type fleetEvent struct {
	at    time.Time
	order int
	run   func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)   { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) after(wait time.Duration, run func()) {
	f.ordered++
	heap.Push(&f.events, fleetEvent{at: f.now.Add(wait), order: f.ordered, run: run})
}

// placer chooses an engine for a turn that arrives at a gateway. It returns callbacks for the first
// event of the response and for its end.
type placer func(f *fleet, gateway int) (engine int, begun func(), ended func(first, took time.Duration))

// newFleet returns a fleet with scheduled turns and reports.
func newFleet(seed uint64, gateways int, perSecond float64, slowness func(int, time.Duration) float64, place placer) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(replayedEpoch, 0), start: time.Unix(replayedEpoch, 0),
		running: make([]int, replayedEngines), waiting: make([][]func(), replayedEngines), slowness: slowness,
	}
	for i := range gateways {
		f.gateways = append(f.gateways, newGateway(f.now, i))
		f.after(time.Duration(f.random.Int64N(int64(reportEvery))), func() { f.report(i, 0) })
	}
	for at := 0.0; at < replayedFor.Seconds(); at += f.random.ExpFloat64() / perSecond {
		f.after(time.Duration(at*float64(time.Second)), func() { f.turn(place) })
	}
	return f
}

// newGateway returns a directory as a gateway has it at its start.
func newGateway(now time.Time, number int) *backend.Directory {
	var listed []backend.Instance
	for i := range replayedEngines {
		listed = append(listed, backend.Instance{ID: fmt.Sprint(i), Service: "s", Zone: zoneOf(i), Slots: replayedSlots, Born: 1})
	}
	directory := backend.NewDirectory(zoneOf(number))
	directory.SetSeed(fmt.Sprint("g", number))
	directory.ApplyChanges(now, backend.Changes{Snapshot: true, Listed: listed}, false)
	return directory
}

// run processes events up to a time.
func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.now.Before(f.start.Add(until)) {
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.run()
	}
}

// replayFleet simulates turns through the gateways and returns the mean and the 99th percentile of
// their durations in milliseconds.
func replayFleet(seed uint64, gateways int, perSecond float64, slowness func(int, time.Duration) float64, place placer) (mean, p99 float64) {
	f := newFleet(seed, gateways, perSecond, slowness, place)
	f.run(replayedFor)
	slices.Sort(f.took)
	for _, took := range f.took {
		mean += took / float64(len(f.took))
	}
	return mean, f.took[len(f.took)*99/100]
}

func zoneOf(number int) string { return fmt.Sprint("z", number%replayedZones) }

// report sends a gateway's reports to two gateways of its own zone and one of another zone.
func (f *fleet) report(gateway, number int) {
	version := tally.Version{Started: 1, Number: uint64(number + 1)}
	from := f.gateways[gateway]
	neighbours := len(f.gateways) / replayedZones
	for step := range 2 {
		to := gateway%replayedZones + replayedZones*((2*number+step)%neighbours)
		if to != gateway {
			f.deliver(to, fmt.Sprint(gateway), "", version, from.Loads(f.now), from.SpeedReport(f.now, false, reportEntries))
		}
	}
	if far := (gateway + 1 + number) % len(f.gateways); far%replayedZones != gateway%replayedZones {
		f.deliver(far, "", zoneOf(gateway), version, from.ZoneLoads(f.now), from.SpeedReport(f.now, true, reportEntries))
	}
	f.after(reportEvery, func() { f.report(gateway, number+1) })
}

// deliver loses one report in ten, duplicates one in ten, and delays and reorders all of them.
func (f *fleet) deliver(to int, gateway, zone string, version tally.Version, loads map[string]int, speeds []instancespeed.Entry) {
	const latest = 60 * time.Millisecond
	for range []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[f.random.IntN(10)] {
		f.after(time.Duration(f.random.Int64N(int64(latest))), func() {
			f.gateways[to].SetRemoteLoads(f.now, backend.LoadSource{Gateway: gateway, Zone: zone}, maps.Clone(loads))
			f.gateways[to].ApplySpeedReport(f.now, tally.Source{Gateway: gateway, Zone: zone}, version, speeds)
		})
	}
}

// turn sends one turn through a gateway.
func (f *fleet) turn(place placer) {
	arrived := f.now
	engine, begun, ended := place(f, f.random.IntN(len(f.gateways)))
	begin := func() {
		slower := f.slowness(engine, f.now.Sub(f.start)) * (1 + contention*float64(f.running[engine]))
		took := time.Duration(float64(idleTurn) * slower * math.Exp(0.3*f.random.NormFloat64()))
		f.running[engine]++
		queued := f.now.Sub(arrived)
		f.after(took/5, begun)
		f.after(took, func() {
			f.running[engine]--
			if len(f.waiting[engine]) > 0 {
				next := f.waiting[engine][0]
				f.waiting[engine] = f.waiting[engine][1:]
				next()
			}
			ended(queued+took/5, queued+took)
			f.took = append(f.took, float64(queued+took)/float64(time.Millisecond))
		})
	}
	if f.running[engine] < replayedSlots {
		begin()
		return
	}
	f.waiting[engine] = append(f.waiting[engine], begin)
}

// byDirectory places turns as gateways do.
func byDirectory(byExpectedEnd bool) placer {
	return func(f *fleet, gateway int) (int, func(), func(first, took time.Duration)) {
		directory := f.gateways[gateway]
		choice, _ := directory.Pick(f.now, backend.Demand{Service: "s", Generates: true, ByExpectedEnd: byExpectedEnd, DiscountOldReports: true})
		engine, _ := strconv.Atoi(choice.Instance.ID)
		noResponse := true
		if expectation := directory.ExpectResponse(f.now, choice, true); expectation.OverdueAfter > 0 {
			for _, times := range []float64{1, 2, 4} {
				f.after(time.Duration(times)*expectation.OverdueAfter, func() {
					if noResponse {
						directory.ObserveOverdue(f.now, choice, expectation, times)
					}
				})
			}
		}
		return engine, func() { noResponse = false }, func(first, took time.Duration) {
			directory.End(f.now, choice, backend.Answered)
			directory.Observe(f.now, choice, backend.Observation{Kind: "r", Load: choice.Load, TimeToFirstEvent: first, Duration: took, Events: 5})
		}
	}
}

// omniscient places turns using the true state of all engines.
func omniscient(f *fleet, _ int) (int, func(), func(first, took time.Duration)) {
	best, least := 0, math.Inf(1)
	first := f.random.IntN(replayedEngines)
	for step := range replayedEngines {
		engine := (first + step) % replayedEngines
		load := float64(f.running[engine])
		waiting := float64(len(f.waiting[engine]))
		cost := f.slowness(engine, f.now.Sub(f.start)) * (1 + 2*contention*load + waiting*(1+contention*replayedSlots)/replayedSlots)
		if load == replayedSlots {
			cost += f.slowness(engine, f.now.Sub(f.start)) * (1 + contention*replayedSlots) / replayedSlots
		}
		if cost < least {
			best, least = engine, cost
		}
	}
	return best, func() {}, func(time.Duration, time.Duration) {}
}

// unevenLoads are loads on engines of different speeds.
var unevenLoads = []struct {
	name      string
	equal     bool
	perSecond float64
	slowness  func(engine int, at time.Duration) float64
}{
	{"equal speeds", true, 240, func(int, time.Duration) float64 { return 1 }},
	{"three speeds, calm", false, 120, threeSpeeds},
	{"three speeds, under load", false, 300, threeSpeeds},
	{"one instance slowed", false, 240, func(engine int, at time.Duration) float64 {
		if engine == 3 && at > 4*time.Second {
			return 8
		}
		return 1
	}},
	{"one instance gets faster again", false, 240, func(engine int, at time.Duration) float64 {
		if engine == 3 && at < 4*time.Second {
			return 8
		}
		return 1
	}},
}

// threeSpeeds returns a slowness that takes one of three values, each for a third of the engines.
func threeSpeeds(engine int, _ time.Duration) float64 {
	return []float64{1 / 0.7, 1 / 0.7, 1 / 1.7}[engine%3]
}

// Allowed loss of gateways with delayed reports against a dispatcher with full knowledge: the
// mean duration of a turn stays within the margin over idle time that callers' objectives
// leave, and the slowest turns stay within about the square of that factor.
const (
	allowedMean = 1.6
	allowedP99  = 2.5
	// tolerance is the factor by which two equally good placements may differ in one simulation.
	tolerance = 1.05
)

func TestPlacementOnUnevenInstancesStaysNearOptimal(t *testing.T) {
	for _, gateways := range []int{8, 50} {
		for _, load := range unevenLoads {
			t.Run(fmt.Sprintf("%d gateways, %s", gateways, load.name), func(t *testing.T) {
				t.Parallel()
				bestMean, bestP99 := replayFleet(1, gateways, load.perSecond, load.slowness, omniscient)
				beforeMean, beforeP99 := replayFleet(1, gateways, load.perSecond, load.slowness, byDirectory(false))
				mean, p99 := replayFleet(1, gateways, load.perSecond, load.slowness, byDirectory(true))
				t.Logf("mean and p99 in ms: known %.0f %.0f, without speeds %.0f %.0f, with %.0f %.0f", bestMean, bestP99, beforeMean, beforeP99, mean, p99)
				require.Less(t, mean, allowedMean*bestMean, "the mean time")
				require.Less(t, p99, allowedP99*bestP99, "the slowest of a hundred")
				if load.equal {
					require.Less(t, mean, tolerance*beforeMean, "not worse than without speeds")
				} else {
					require.Less(t, mean, beforeMean, "better than without speeds")
				}
				require.Less(t, p99, tolerance*beforeP99, "the slowest are not worse than without speeds")
			})
		}
	}
}

func TestSpeedReportIsEmptyWithoutSpeedPlacement(t *testing.T) {
	f := &fleet{now: time.Unix(replayedEpoch, 0)}
	directory := backend.NewDirectory("z0")
	directory.ApplyChanges(f.now, backend.Changes{Snapshot: true, Listed: []backend.Instance{{ID: "0", Service: "s", Zone: "z0", Slots: replayedSlots}}}, false)
	f.gateways = append(f.gateways, directory)
	_, begun, ended := byDirectory(false)(f, 0)
	begun()
	ended(time.Millisecond, time.Second)
	require.Empty(t, directory.SpeedReport(f.now, false, reportEntries))
	_, begun, ended = byDirectory(true)(f, 0)
	begun()
	ended(time.Millisecond, time.Second)
	require.Len(t, directory.SpeedReport(f.now, false, reportEntries), 1)
}

// A program's prompt is cached at one of two instances. A single load report must not move the
// program; the holder's slowness must.
func TestCachedPromptOutweighsSingleLoadReport(t *testing.T) {
	now := time.Unix(replayedEpoch, 0)
	directory := backend.NewDirectory("z0")
	directory.ApplyChanges(now, backend.Changes{Snapshot: true, Listed: []backend.Instance{
		{ID: "held", Service: "s", Zone: "z0", Slots: replayedSlots}, {ID: "other", Service: "s", Zone: "z0", Slots: replayedSlots},
	}}, false)
	parts := []backend.PromptPart{{ID: "history", Tokens: 3000}}
	turn := func() string {
		choice, _ := directory.Pick(now, backend.Demand{
			Service: "s", Generates: true, ByExpectedEnd: true, DiscountOldReports: true, PromptParts: parts,
			CachedPrompts: []backend.CachedPrompt{{Instance: "held", PartIndex: 0, Tokens: 3000}},
		})
		directory.End(now, choice, backend.Answered)
		return choice.Instance.ID
	}
	report := func(held, other int) {
		now = now.Add(600 * time.Millisecond)
		directory.SetRemoteLoads(now, backend.LoadSource{Gateway: "g"}, map[string]int{"held": held, "other": other})
	}
	for range 20 {
		report(3, 3)
		require.Equal(t, "held", turn())
	}
	report(4, 1)
	require.Equal(t, "held", turn(), "one report")
	slow := instancespeed.Statistics{Stable: instancespeed.WeightedSum{Weight: 400, Sum: 600}}
	directory.ApplySpeedReport(now, tally.Source{Gateway: "g"}, tally.Version{Number: 1}, []instancespeed.Entry{{Key: instancespeed.KeyOf("held", "", 0), Statistics: slow}})
	require.Equal(t, "other", turn(), "the instance that holds the prompt is slow")
}

func TestNewGatewayLearnsSpeedsWithinOneSecond(t *testing.T) {
	const started, checked = 6 * time.Second, 7 * time.Second
	f := newFleet(1, 50, 240, threeSpeeds, byDirectory(true))
	f.run(started)
	f.gateways[0] = newGateway(f.now, 0)
	f.run(checked)
	estimated := map[string]float64{}
	for _, speed := range f.gateways[0].Speeds(f.now) {
		estimated[speed.Instance] = speed.Estimate.Slowdown()
	}
	correct := 0
	for engine := range replayedEngines {
		if slow := threeSpeeds(engine, 0) > 1; slow == (estimated[fmt.Sprint(engine)] > 1) {
			correct++
		}
	}
	require.GreaterOrEqual(t, correct, replayedEngines*9/10)
}

// withReportedSpeeds returns a gateway that received a report with the given number of observations
// and slowness of each engine.
func withReportedSpeeds(weight float64, slower func(engine int) float64) *backend.Directory {
	now := time.Unix(replayedEpoch, 0)
	directory := newGateway(now, 0)
	var entries []instancespeed.Entry
	for engine := range replayedEngines {
		seen := instancespeed.WeightedSum{Weight: weight, Sum: weight * slower(engine)}
		entries = append(entries, instancespeed.Entry{Key: instancespeed.KeyOf(fmt.Sprint(engine), "", 1), Statistics: instancespeed.Statistics{Stable: seen}})
	}
	directory.ApplySpeedReport(now, tally.Source{Gateway: "g"}, tally.Version{Number: 1}, entries)
	return directory
}

// placements returns the instances that a gateway chooses for a series of turns.
func placements(directory *backend.Directory, byExpectedEnd bool) []string {
	var ids []string
	for range replayedEngines {
		choice, _ := directory.Pick(time.Unix(replayedEpoch, 0), backend.Demand{Service: "s", Generates: true, DiscountOldReports: true, ByExpectedEnd: byExpectedEnd})
		ids = append(ids, choice.Instance.ID)
	}
	return ids
}

func TestHomogeneousInstancesArePlacedWithoutSpeeds(t *testing.T) {
	homogeneous := func(engine int) float64 { return 0.1 * float64(engine%2) }
	uneven := func(engine int) float64 { return float64(engine % 2) }
	before := placements(withReportedSpeeds(0, homogeneous), false)
	require.Equal(t, before, placements(withReportedSpeeds(100, homogeneous), true))
	require.NotEqual(t, before, placements(withReportedSpeeds(2, homogeneous), true), "too little is known")
	require.NotEqual(t, before, placements(withReportedSpeeds(100, uneven), true))
}
