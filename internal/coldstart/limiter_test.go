package coldstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// coldStart is how long instances of the tests' service are cold after a start.
const coldStart = 3 * time.Second

// newGate returns the only gateway of a fleet. Of four places it has two: lists may differ.
func newGate(entries ...Entry) *Limiter {
	gate := NewLimiter("a", Policy{Overage: 1})
	gate.SetServices(map[string]ServiceConfig{"engines": {Limit: Limit{PerSecond: 4}, ColdPeriod: coldStart}})
	gate.SetGateways(begin.Add(-settleTime), []Gateway{{Name: "a", Zone: "z"}})
	gate.List(begin, entries)
	return gate
}

// List replaces the list of instances.
func (g *Limiter) List(now time.Time, entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	var gone []string
	for id := range g.instances {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	g.ApplyChanges(now, entries, gone)
}

func entry(coldFor time.Duration) Entry {
	return Entry{ID: "i", Service: "engines", Zone: "z", ColdFor: coldFor}
}

func TestWhenAnInstanceIsCold(t *testing.T) {
	const s = time.Second
	heard := func(coldFor time.Duration) func(*Limiter, time.Time) {
		return func(g *Limiter, now time.Time) { g.List(now, []Entry{entry(coldFor)}) }
	}
	gone := func(g *Limiter, now time.Time) { g.List(now, nil) }
	evacuated := func(zone string) func(*Limiter, time.Time) {
		return func(g *Limiter, now time.Time) { g.AssumeCold(now, zone) }
	}
	type happening struct {
		at time.Duration
		do func(*Limiter, time.Time)
	}
	for name, test := range map[string]struct {
		first      []Entry
		happenings []happening
		// until is when it is warm again.
		until time.Duration
	}{
		"in the first list":                {first: []Entry{entry(0)}},
		"in the first list, and says so":   {first: []Entry{entry(2 * s)}, until: 2 * s},
		"first appears":                    {happenings: []happening{{s, heard(0)}}, until: s + coldStart},
		"the same value again":             {happenings: []happening{{s, heard(5 * s)}, {3 * s, heard(5 * s)}}, until: 6 * s},
		"a later value replaces":           {first: []Entry{entry(9 * s)}, happenings: []happening{{s, heard(2 * s)}}, until: 3 * s},
		"says that it is warm":             {first: []Entry{entry(9 * s)}, happenings: []happening{{s, heard(0)}}},
		"new ones are cold whatever later": {happenings: []happening{{s, heard(9 * s)}, {2 * s, heard(0)}}, until: s + coldStart},
		"changes cold again":               {first: []Entry{entry(0)}, happenings: []happening{{20 * s, heard(4 * s)}}, until: 24 * s},
		"its entry lapsed":                 {first: []Entry{entry(0)}, happenings: []happening{{s, gone}, {4 * s, heard(0)}}},
		"away, and cold as before":         {first: []Entry{entry(s)}, happenings: []happening{{4 * s, gone}, {8 * s, heard(s)}}, until: 9 * s},
		"its zone was evacuated":           {first: []Entry{entry(0)}, happenings: []happening{{5 * s, evacuated("z")}}, until: 5*s + coldStart},
		"it says newer":                    {first: []Entry{entry(0)}, happenings: []happening{{5 * s, evacuated("z")}, {6 * s, heard(s)}}, until: 7 * s},
		"another zone was evacuated":       {first: []Entry{entry(0)}, happenings: []happening{{5 * s, evacuated("y")}}},
	} {
		gate, now := newGate(test.first...), begin
		for _, happening := range test.happenings {
			now = begin.Add(happening.at)
			happening.do(gate, now)
		}
		if begin.Add(test.until).After(now) {
			require.True(t, gate.Cold(begin.Add(test.until-1), "i"), name)
		}
		require.False(t, gate.Cold(begin.Add(max(test.until, now.Sub(begin))), "i"), name)
	}
}

func TestAPlaceIsFreeASecondAfterTheAnswer(t *testing.T) {
	gate := newGate(entry(time.Minute))
	gate.policy.Slack = 2 // a third place
	at := func(milliseconds int) time.Time { return begin.Add(time.Duration(milliseconds) * time.Millisecond) }
	answered, misdirected, refused := gate.Acquire(at(0), "i"), gate.Acquire(at(0), "i"), gate.Acquire(at(0), "i")
	require.False(t, gate.Admits(at(100), "i"))
	require.True(t, gate.BeginSend(at(100), answered) && gate.BeginSend(at(100), misdirected))
	gate.Release(misdirected)
	gate.Abandon(at(100), refused) // no connection came up
	require.True(t, gate.Admits(at(100), "i"))
	lost, lapsed := gate.Acquire(at(100), "i"), gate.Acquire(at(100), "i")
	gate.ResponseStarted(at(200), answered)
	require.True(t, gate.BeginSend(at(499), lost))
	gate.Abandon(at(500), lost)
	require.False(t, gate.BeginSend(at(500), lapsed), "a permit is good for a short time")
	wait, shared := gate.NextFreePlace(at(500), "engines")
	require.True(t, shared)
	require.Zero(t, wait)
	gate.Acquire(at(900), "i")
	gate.Acquire(at(900), "i")
	wait, _ = gate.NextFreePlace(at(1000), "engines")
	require.Equal(t, 300*time.Millisecond, wait, "the third send more than there are places waits for two")
	require.False(t, gate.Admits(at(1299), "i"))
	require.True(t, gate.Admits(at(1300), "i"))
	require.Len(t, gate.instances["i"].places, 1, "what was sent and has no answer may still arrive")
	require.True(t, gate.Admits(at(6500), "i"))
	require.Empty(t, gate.instances["i"].places)
}

func TestAGatewayWithoutAShareSendsNothing(t *testing.T) {
	for name, prepare := range map[string]func(*Limiter){
		"knows no list": func(g *Limiter) { g.rosters = nil },
		"just started":  func(g *Limiter) { g.rosters[0].since = begin },
		"is not listed": func(g *Limiter) { g.SetGateways(begin, []Gateway{{Name: "b", Zone: "z"}}) },
		"was not listed late": func(g *Limiter) {
			g.SetGateways(begin, []Gateway{{Name: "b", Zone: "z"}})
			g.SetGateways(begin, []Gateway{{Name: "a", Zone: "z"}})
		},
	} {
		gate := newGate(entry(time.Minute))
		require.True(t, gate.Admits(begin, "i"))
		prepare(gate)
		require.False(t, gate.Admits(begin, "i"), name)
		_, shared := gate.NextFreePlace(begin, "engines")
		require.False(t, shared, name)
	}
}

// Lists that differ by a few members give places that sum to no more than the bound, and most
// of them to the instance's zone.
func TestSharesSumToTheBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 400 {
		count, bound, instance, zones := 1+random.IntN(100), 1+random.IntN(120), fmt.Sprint(round), 1+random.IntN(4)
		smaller := bound - int(math.Ceil(ownZoneShare*float64(bound))) // the fewer places, the less may differ
		differences := disagreement(count, smaller)
		var all []Gateway
		for number := range count + differences {
			name := fmt.Sprint("gateway-", number)
			all = append(all, Gateway{Name: name, Zone: fmt.Sprint(number % zones), hash: xxhash.Sum64String(name)})
		}
		sum, near := 0, 0
		for _, gateway := range all {
			most := 0
			for first := range differences + 1 {
				most = max(most, Share(all[first:first+count], gateway.hash, instance, "0", bound))
			}
			sum += most
			if gateway.Zone == "0" {
				near += most
			}
		}
		require.LessOrEqual(t, sum, bound, "%d gateways", count)
		require.Positive(t, near)
		require.GreaterOrEqual(t, 2*near, sum)
	}
}

func TestChangesAreToldOnce(t *testing.T) {
	gate := newGate()
	gate.List(begin, []Entry{entry(0)})
	changes, cold := gate.Changes(begin)
	require.Equal(t, []Change{{Instance: "i", Service: "engines", Cold: true, Remaining: coldStart, Share: 2}}, changes)
	require.Equal(t, 1, cold)
	require.Equal(t, begin.Add(coldStart), gate.NextChange())
	changes, _ = gate.Changes(begin.Add(coldStart - 1))
	require.Empty(t, changes)
	changes, cold = gate.Changes(begin.Add(coldStart))
	require.Equal(t, []Change{{Instance: "i", Service: "engines"}}, changes)
	require.Zero(t, cold)
	require.Zero(t, gate.NextChange())
}
