package backend

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func engines(count int) []Instance {
	var all []Instance
	for i := range count {
		all = append(all, Instance{ID: fmt.Sprintf("e%02d", i), Service: "llm", Zone: "z", Slots: 12})
	}
	return all
}

// choiceOf is the choice of an instance as it is known now.
func (d *Directory) choiceOf(id string) Choice {
	return Choice{Instance: Instance{ID: id}, member: d.members[id]}
}

// Update replaces the list of instances.
func (d *Directory) Update(now time.Time, instances []Instance, incomplete bool) (ended []string) {
	return d.ApplyChanges(now, Changes{Snapshot: true, Listed: instances}, incomplete)
}

func TestAnIncompleteListTakesNoInstanceAway(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(3), false)
	require.Empty(t, d.Update(start, nil, true), "entries lapsed while the source was lost")
	_, found := d.Pick(start.Add(time.Second), Demand{Service: "llm", Generates: true})
	require.True(t, found)
	_, found = d.Pick(start.Add(unlistedLife), Demand{Service: "llm", Generates: true})
	require.False(t, found, "an instance that does not come back gets nothing more")
	require.Len(t, d.Update(start.Add(unlistedLife), nil, false), 3)
}

// The source may have been sound and only the way to it lost: an instance that left
// then must get nothing new within two seconds of its entry's end, of which half a
// second may pass until the list is read.
func TestAnIncompleteListKeepsNoInstancePastTheBound(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(2), false)
	const bound, reading = 2 * time.Second, 500 * time.Millisecond
	d.Update(start.Add(reading), engines(1), true)
	for range 4 {
		choice, found := d.Pick(start.Add(bound), Demand{Service: "llm"})
		require.True(t, found)
		require.Equal(t, "e00", choice.Instance.ID)
	}
}

func TestASoundListTakesInstancesAwayAtOnce(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(3), false)
	require.Equal(t, []string{"e02"}, d.Update(start, engines(2), false))
}

func TestALeavingInstanceGetsNothingEvenOnAnIncompleteList(t *testing.T) {
	d := NewDirectory("z")
	leaving := engines(1)
	leaving[0].Leaving = true
	d.Update(start, leaving, true)
	_, found := d.Pick(start, Demand{Service: "llm"})
	require.False(t, found)
	require.Equal(t, []string{"e00"}, d.Update(start, nil, true))
}

func TestPlacementSpreadsLoadAndKeepsToTheCache(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(4), false)
	counts := map[string]int{}
	for i := range 40 {
		choice, found := d.Pick(start, Demand{Service: "llm", Generates: true, PromptParts: []PromptPart{{ID: fmt.Sprint("own", i), Tokens: 500}}})
		require.True(t, found)
		counts[choice.Instance.ID]++
	}
	for id, count := range counts {
		require.Equal(t, 10, count, id)
	}
	session := []PromptPart{{ID: "shared", Tokens: 500}, {ID: "session", Tokens: 4000}}
	first, _ := d.Pick(start, Demand{Service: "llm", Generates: true, PromptParts: session})
	again, _ := d.Pick(start, Demand{Service: "llm", Generates: true, PromptParts: session})
	require.Equal(t, first.Instance.ID, again.Instance.ID, "4,500 tokens to read weigh more than one neighbour")
	later, _ := d.Pick(start.Add(2*cacheLife), Demand{Service: "llm", Generates: true, PromptParts: session})
	require.NotEqual(t, first.Instance.ID, later.Instance.ID, "what was not used lately is not believed to be there")
}

func TestASuspectedInstanceIsAvoidedUntilOthersAreGone(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(2), false)
	choice, _ := d.Pick(start, Demand{Service: "llm"})
	d.End(start, choice, Unreachable)
	for range 3 {
		next, _ := d.Pick(start, Demand{Service: "llm"})
		require.NotEqual(t, choice.Instance.ID, next.Instance.ID)
	}
	other, _ := d.Pick(start, Demand{Service: "llm"})
	last, found := d.Pick(start, Demand{Service: "llm", Exclude: []string{other.Instance.ID}})
	require.True(t, found)
	require.Equal(t, choice.Instance.ID, last.Instance.ID)
}

func TestAnInstanceThatFailsOftenIsLeftAloneForAWhile(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(2), false)
	for range 3 {
		d.End(start, d.choiceOf("e00"), Failed)
		d.members["e00"].inFlight++
	}
	for range 8 {
		choice, _ := d.Pick(start, Demand{Service: "llm", Generates: true})
		require.Equal(t, "e01", choice.Instance.ID)
	}
	later := start.Add(10 * failureHalfLife)
	choice, _ := d.Pick(later, Demand{Service: "llm", Generates: true})
	require.Equal(t, "e00", choice.Instance.ID)
}

func TestRemoteLoadsReplaceEachOtherAndAge(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(1), false)
	d.SetRemoteLoads(start, LoadSource{Gateway: "g1"}, map[string]int{"e00": 5, "unknown": 3})
	d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e00": 2})
	d.SetRemoteLoads(start, LoadSource{Gateway: "g1"}, map[string]int{"e00": 1})
	choice, _ := d.Pick(start, Demand{Service: "llm"})
	require.Equal(t, 3, choice.Load)
	d.SetRemoteLoads(start.Add(10*remoteLoadLimit), LoadSource{Gateway: "g2"}, map[string]int{"e00": 4})
	choice, _ = d.Pick(start, Demand{Service: "llm"})
	require.Equal(t, 5, choice.Load, "one own request and four of the gateway that still reports")
}

func TestAPlacementComparesABoundedSample(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(500), false)
	seen := map[string]bool{}
	for range 400 {
		choice, _ := d.Pick(start, Demand{Service: "llm", Generates: true})
		require.LessOrEqual(t, choice.Candidates, sampleSize)
		seen[choice.Instance.ID] = true
	}
	require.Greater(t, len(seen), 300)
	session := []PromptPart{{ID: "session", Tokens: 9000}}
	first, _ := d.Pick(start, Demand{Service: "llm", Generates: true, PromptParts: session})
	again, _ := d.Pick(start, Demand{Service: "llm", Generates: true, PromptParts: session})
	require.Equal(t, first.Instance.ID, again.Instance.ID)
}

func BenchmarkPick1000(b *testing.B) {
	d := NewDirectory("z")
	d.Update(start, engines(1000), false)
	parts := []PromptPart{{ID: "shared", Tokens: 500}, {ID: "a", Tokens: 800}, {ID: "b", Tokens: 700}}
	for b.Loop() {
		choice, _ := d.Pick(start, Demand{Service: "llm", Generates: true, PromptParts: parts})
		d.End(start, choice, Answered)
	}
}

func TestAnInstanceWithAConnectionIsPreferredUnlessItIsLoaded(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(4), false)
	d.connected = func(instance string) bool { return instance == "e02" }
	for range 3 {
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		require.Equal(t, "e02", choice.Instance.ID)
	}
	for range 4 * 12 {
		d.Pick(start, Demand{Service: "llm"})
	}
	for id, load := range d.Loads(start) {
		require.GreaterOrEqual(t, load, 10, "%s is left out although e02 is full", id)
	}
}

// A gateway with few requests among many instances once met each of them with a
// connection of its own: one that was idle was seldom among those that it compared.
func TestAGatewayKeepsToFewInstancesOfALargeService(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(102), false)
	idle := map[string]bool{}
	d.connected = func(instance string) bool { return idle[instance] }
	d.idle = func() []string { return slices.Sorted(maps.Keys(idle)) }
	for range 200 {
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		idle[choice.Instance.ID] = true
		d.End(start, choice, Answered)
	}
	require.Len(t, idle, 1)
	for range 20 { // requests at the same time take further ones
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		idle[choice.Instance.ID] = true
	}
	require.Greater(t, len(idle), 2)
}

func TestInstancesOfTheOwnZoneAreAlwaysCompared(t *testing.T) {
	d := NewDirectory("z")
	all := engines(102)
	for i := range all {
		all[i].Zone = "far"
	}
	all[77].Zone = "z"
	d.Update(start, all, false)
	for range 50 {
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		require.Equal(t, all[77].ID, choice.Instance.ID)
		d.End(start, choice, Answered)
	}
}

// With 9 or 3 instances all equal requests once went to the same one, with 12 to two.
func TestEqualInstancesGetEqualShares(t *testing.T) {
	for _, count := range []int{2, 3, 4, 9, 12, 17, 18, 34} {
		firsts := map[string]bool{}
		for gateway := range 20 {
			d := NewDirectory("z")
			d.SetSeed(fmt.Sprint("gateway-", gateway))
			d.Update(start, engines(count), false)
			counts := map[string]int{}
			const each = 100
			for request := range each * count {
				choice, _ := d.Pick(start, Demand{Service: "llm"})
				d.End(start, choice, Answered)
				counts[choice.Instance.ID]++
				if request == 0 {
					firsts[choice.Instance.ID] = true
				}
			}
			require.Len(t, counts, count)
			for id, got := range counts {
				require.InDelta(t, each, got, each/2, "%d instances, %s", count, id)
			}
		}
		require.Greater(t, len(firsts), 1, "gateways do not all begin with the same one")
	}
}

func TestARequestMayBeBoundToOneInstance(t *testing.T) {
	d := NewDirectory("z")
	instances := engines(3)
	d.Update(start, instances, false)
	d.Pick(start, Demand{Service: "llm"})
	d.End(start, d.choiceOf("e01"), Unreachable)
	bound := Demand{Service: "llm", Pinned: "e01"}
	for range 20 {
		choice, found := d.Pick(start, bound)
		require.True(t, found)
		require.Equal(t, "e01", choice.Instance.ID, "however loaded or suspected it is")
	}
	bound.Exclude = []string{"e01"}
	_, found := d.Pick(start, bound)
	require.False(t, found, "it had no room a moment ago: the request waits for it")
	bound.Exclude = nil
	instances[1].Leaving = true
	d.Update(start, instances, false)
	_, found = d.Pick(start, bound)
	require.False(t, found, "one that leaves gets nothing new, and may be at work on the request")
	d.Update(start, append(instances[:1:1], instances[2:]...), false)
	choice, found := d.Pick(start, bound)
	require.True(t, found)
	require.NotEqual(t, "e01", choice.Instance.ID, "it is gone")
}
