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

// coldPeriod is the cold period of the tests' service.
const coldPeriod = 3 * time.Second

// newLimiter returns the limiter of the only gateway of a fleet. It has two of four places, because
// two are reserved for differing lists.
func newLimiter(entries ...Entry) *Limiter {
	limiter := NewLimiter("a", Policy{Overage: 1})
	limiter.SetServices(map[string]ServiceConfig{"engines": {Limit: Limit{PerSecond: 4}, ColdPeriod: coldPeriod}})
	limiter.SetGateways(begin.Add(-settlePeriod), []Gateway{{Name: "a", Zone: "z"}})
	limiter.List(begin, entries)
	return limiter
}

// List replaces the list of instances.
func (l *Limiter) List(now time.Time, entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	var removed []string
	for id := range l.instances {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	l.ApplyChanges(now, entries, removed)
}

func entry(coldFor time.Duration) Entry {
	return Entry{ID: "i", Service: "engines", Zone: "z", ColdFor: coldFor}
}

func TestColdPeriod(t *testing.T) {
	const s = time.Second
	updated := func(coldFor time.Duration) func(*Limiter, time.Time) {
		return func(l *Limiter, now time.Time) { l.List(now, []Entry{entry(coldFor)}) }
	}
	removed := func(l *Limiter, now time.Time) { l.List(now, nil) }
	evacuated := func(zone string) func(*Limiter, time.Time) {
		return func(l *Limiter, now time.Time) { l.AssumeCold(now, zone) }
	}
	type event struct {
		at time.Duration
		do func(*Limiter, time.Time)
	}
	for name, test := range map[string]struct {
		first  []Entry
		events []event
		// until is when the instance is warm again.
		until time.Duration
	}{
		"in the first list":                               {first: []Entry{entry(0)}},
		"in the first list as cold":                       {first: []Entry{entry(2 * s)}, until: 2 * s},
		"appears later":                                   {events: []event{{s, updated(0)}}, until: s + coldPeriod},
		"same value again":                                {events: []event{{s, updated(5 * s)}, {3 * s, updated(5 * s)}}, until: 6 * s},
		"new value replaces the old one":                  {first: []Entry{entry(9 * s)}, events: []event{{s, updated(2 * s)}}, until: 3 * s},
		"entry says warm":                                 {first: []Entry{entry(9 * s)}, events: []event{{s, updated(0)}}},
		"new instance stays cold whatever its entry says": {events: []event{{s, updated(9 * s)}, {2 * s, updated(0)}}, until: s + coldPeriod},
		"becomes cold again":                              {first: []Entry{entry(0)}, events: []event{{20 * s, updated(4 * s)}}, until: 24 * s},
		"entry expired":                                   {first: []Entry{entry(0)}, events: []event{{s, removed}, {4 * s, updated(0)}}},
		"entry expired and returned with the same value":  {first: []Entry{entry(s)}, events: []event{{4 * s, removed}, {8 * s, updated(s)}}, until: 9 * s},
		"zone was evacuated":                              {first: []Entry{entry(0)}, events: []event{{5 * s, evacuated("z")}}, until: 5*s + coldPeriod},
		"entry is newer than the evacuation":              {first: []Entry{entry(0)}, events: []event{{5 * s, evacuated("z")}, {6 * s, updated(s)}}, until: 7 * s},
		"another zone was evacuated":                      {first: []Entry{entry(0)}, events: []event{{5 * s, evacuated("y")}}},
	} {
		limiter, now := newLimiter(test.first...), begin
		for _, event := range test.events {
			now = begin.Add(event.at)
			event.do(limiter, now)
		}
		if begin.Add(test.until).After(now) {
			require.True(t, limiter.Cold(begin.Add(test.until-1), "i"), name)
		}
		require.False(t, limiter.Cold(begin.Add(max(test.until, now.Sub(begin))), "i"), name)
	}
}

func TestPlaceIsFreeOneSecondAfterResponse(t *testing.T) {
	limiter := newLimiter(entry(time.Minute))
	limiter.policy.Slack = 2 // a third place
	at := func(milliseconds int) time.Time { return begin.Add(time.Duration(milliseconds) * time.Millisecond) }
	answered, misdirected, refused := limiter.Acquire(at(0), "i"), limiter.Acquire(at(0), "i"), limiter.Acquire(at(0), "i")
	require.False(t, limiter.Admits(at(100), "i"))
	require.True(t, limiter.BeginSend(at(100), answered) && limiter.BeginSend(at(100), misdirected))
	limiter.Release(misdirected)
	limiter.Abandon(at(100), refused) // no connection came up
	require.True(t, limiter.Admits(at(100), "i"))
	lost, lapsed := limiter.Acquire(at(100), "i"), limiter.Acquire(at(100), "i")
	limiter.ResponseStarted(at(200), answered)
	require.True(t, limiter.BeginSend(at(499), lost))
	limiter.Abandon(at(500), lost)
	require.False(t, limiter.BeginSend(at(500), lapsed), "the permit has expired")
	wait, hasShare := limiter.NextFreePlace(at(500), "engines")
	require.True(t, hasShare)
	require.Zero(t, wait)
	limiter.Acquire(at(900), "i")
	limiter.Acquire(at(900), "i")
	wait, _ = limiter.NextFreePlace(at(1000), "engines")
	require.Equal(t, 300*time.Millisecond, wait, "with one place too many in use, the next request waits for two to become free")
	require.False(t, limiter.Admits(at(1299), "i"))
	require.True(t, limiter.Admits(at(1300), "i"))
	require.Len(t, limiter.instances["i"].places, 1, "a request without a response may still arrive")
	require.True(t, limiter.Admits(at(6500), "i"))
	require.Empty(t, limiter.instances["i"].places)
}

func TestGatewayWithoutShareSendsNothing(t *testing.T) {
	for name, prepare := range map[string]func(*Limiter){
		"no list":      func(l *Limiter) { l.memberships = nil },
		"just started": func(l *Limiter) { l.memberships[0].since = begin },
		"not listed":   func(l *Limiter) { l.SetGateways(begin, []Gateway{{Name: "b", Zone: "z"}}) },
		"listed again recently": func(l *Limiter) {
			l.SetGateways(begin, []Gateway{{Name: "b", Zone: "z"}})
			l.SetGateways(begin, []Gateway{{Name: "a", Zone: "z"}})
		},
	} {
		limiter := newLimiter(entry(time.Minute))
		require.True(t, limiter.Admits(begin, "i"))
		prepare(limiter)
		require.False(t, limiter.Admits(begin, "i"), name)
		_, hasShare := limiter.NextFreePlace(begin, "engines")
		require.False(t, hasShare, name)
	}
}

// Lists that differ by a few members must yield places whose sum does not exceed the limit, most of
// them in the instance's zone.
func TestSharesStayWithinLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for round := range 400 {
		count, bound, instance, zones := 1+random.IntN(100), 1+random.IntN(120), fmt.Sprint(round), 1+random.IntN(4)
		smaller := bound - int(math.Ceil(ownZoneShare*float64(bound))) // the permitted difference shrinks with the number of places
		differences := membershipDifference(count, smaller)
		var all []Gateway
		for number := range count + differences {
			name := fmt.Sprint("gateway-", number)
			all = append(all, Gateway{Name: name, Zone: fmt.Sprint(number % zones), hash: xxhash.Sum64String(name)})
		}
		sum, near := 0, 0
		for _, gateway := range all {
			largest := 0
			for first := range differences + 1 {
				largest = max(largest, Share(all[first:first+count], gateway.hash, instance, "0", bound))
			}
			sum += largest
			if gateway.Zone == "0" {
				near += largest
			}
		}
		require.LessOrEqual(t, sum, bound, "%d gateways", count)
		require.Positive(t, near)
		require.GreaterOrEqual(t, 2*near, sum)
	}
}

func TestChangesAreReportedOnce(t *testing.T) {
	limiter := newLimiter()
	limiter.List(begin, []Entry{entry(0)})
	changes, cold := limiter.Changes(begin)
	require.Equal(t, []Change{{Instance: "i", Service: "engines", Cold: true, Remaining: coldPeriod, Share: 2}}, changes)
	require.Equal(t, 1, cold)
	require.Equal(t, begin.Add(coldPeriod), limiter.NextChange())
	changes, _ = limiter.Changes(begin.Add(coldPeriod - 1))
	require.Empty(t, changes)
	changes, cold = limiter.Changes(begin.Add(coldPeriod))
	require.Equal(t, []Change{{Instance: "i", Service: "engines"}}, changes)
	require.Zero(t, cold)
	require.Zero(t, limiter.NextChange())
}
