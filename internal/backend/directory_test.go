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

// choiceOf returns a choice of the instance's current member.
func (d *Directory) choiceOf(id string) Choice {
	return Choice{Instance: Instance{ID: id}, member: d.members[id]}
}

// Update replaces the list of instances.
func (d *Directory) Update(now time.Time, instances []Instance, incomplete bool) (invalidated []string) {
	return d.ApplyChanges(now, Changes{Snapshot: true, Listed: instances}, incomplete)
}

func TestIncompleteListKeepsMissingInstances(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(3), false)
	require.Empty(t, d.Update(start, nil, true), "entries expired while the source was unavailable")
	_, found := d.Pick(start.Add(time.Second), Demand{Service: "llm", Generates: true})
	require.True(t, found)
	_, found = d.Pick(start.Add(unlistedGracePeriod), Demand{Service: "llm", Generates: true})
	require.False(t, found, "an instance that does not return gets no more requests")
	require.Len(t, d.Update(start.Add(unlistedGracePeriod), nil, false), 3)
}

// The source may have been healthy and only unreachable: an instance that left during that time
// must stop getting requests within two seconds of the end of its entry, of which half a second may
// pass until the list is read.
func TestIncompleteListDropsInstancesAfterGracePeriod(t *testing.T) {
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

func TestCompleteListRemovesInstancesImmediately(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(3), false)
	require.Equal(t, []string{"e02"}, d.Update(start, engines(2), false))
}

func TestLeavingInstanceGetsNoRequestsDespiteIncompleteList(t *testing.T) {
	d := NewDirectory("z")
	leaving := engines(1)
	leaving[0].Leaving = true
	d.Update(start, leaving, true)
	_, found := d.Pick(start, Demand{Service: "llm"})
	require.False(t, found)
	require.Equal(t, []string{"e00"}, d.Update(start, nil, true))
}

func TestPlacementSpreadsLoadAndPrefersCachedPrompts(t *testing.T) {
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
	require.Equal(t, first.Instance.ID, again.Instance.ID, "reading 4,500 tokens costs more than one concurrent request")
	later, _ := d.Pick(start.Add(2*cacheTTL), Demand{Service: "llm", Generates: true, PromptParts: session})
	require.NotEqual(t, first.Instance.ID, later.Instance.ID, "prompts that were not used recently are assumed to be evicted")
}

func TestSuspectedInstanceIsUsedOnlyAsLastResort(t *testing.T) {
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

func TestFrequentlyFailingInstanceIsAvoidedTemporarily(t *testing.T) {
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

func TestRemoteLoadsReplaceEarlierReportsAndExpire(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(1), false)
	d.SetRemoteLoads(start, LoadSource{Gateway: "g1"}, map[string]int{"e00": 5, "unknown": 3})
	d.SetRemoteLoads(start, LoadSource{Gateway: "g2"}, map[string]int{"e00": 2})
	d.SetRemoteLoads(start, LoadSource{Gateway: "g1"}, map[string]int{"e00": 1})
	choice, _ := d.Pick(start, Demand{Service: "llm"})
	require.Equal(t, 3, choice.Load)
	d.SetRemoteLoads(start.Add(10*baseReportTTL), LoadSource{Gateway: "g2"}, map[string]int{"e00": 4})
	choice, _ = d.Pick(start, Demand{Service: "llm"})
	require.Equal(t, 5, choice.Load, "one request of this gateway and four of the gateway that still reports")
}

func TestPlacementComparesBoundedSample(t *testing.T) {
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

func TestDirectoryPrefersIdleConnectionsUnlessLoaded(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(4), false)
	d.connected = func(instance, _ string) bool { return instance == "e02" }
	for range 3 {
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		require.Equal(t, "e02", choice.Instance.ID)
	}
	for range 4 * 12 {
		d.Pick(start, Demand{Service: "llm"})
	}
	for id, load := range d.Loads(start) {
		require.GreaterOrEqual(t, load, 10, "%s is unused although e02 is full", id)
	}
}

// Guards against a gateway with few requests opening a connection to each of many instances, which
// happened when an instance with an idle connection was rarely among the compared ones.
func TestGatewayConcentratesOnFewInstancesOfLargeService(t *testing.T) {
	d := NewDirectory("z")
	d.Update(start, engines(102), false)
	idle := map[string]bool{}
	d.connected = func(instance, _ string) bool { return idle[instance] }
	d.idle = func() []string { return slices.Sorted(maps.Keys(idle)) }
	for range 200 {
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		idle[choice.Instance.ID] = true
		d.End(start, choice, Answered)
	}
	require.Len(t, idle, 1)
	for range 20 { // concurrent requests use further instances
		choice, _ := d.Pick(start, Demand{Service: "llm"})
		idle[choice.Instance.ID] = true
	}
	require.Greater(t, len(idle), 2)
}

func TestSameZoneInstancesAreAlwaysCandidates(t *testing.T) {
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

// Guards against a skewed choice among equal instances: with 9 or 3 instances all requests went to
// the same one, with 12 to two.
func TestEqualInstancesGetEqualLoad(t *testing.T) {
	for _, count := range []int{2, 3, 4, 9, 12, 17, 18, 34} {
		firsts := map[string]bool{}
		for gateway := range 20 {
			d := NewDirectory("z")
			d.SetSeed(fmt.Sprint("gateway-", gateway))
			d.Update(start, engines(count), false)
			counts := map[string]int{}
			const perInstance = 100
			for request := range perInstance * count {
				choice, _ := d.Pick(start, Demand{Service: "llm"})
				d.End(start, choice, Answered)
				counts[choice.Instance.ID]++
				if request == 0 {
					firsts[choice.Instance.ID] = true
				}
			}
			require.Len(t, counts, count)
			for id, got := range counts {
				require.InDelta(t, perInstance, got, perInstance/2, "%d instances, %s", count, id)
			}
		}
		require.Greater(t, len(firsts), 1, "gateways must not all start with the same instance")
	}
}

func TestPinnedRequestGoesToItsInstanceOnly(t *testing.T) {
	d := NewDirectory("z")
	instances := engines(3)
	d.Update(start, instances, false)
	d.Pick(start, Demand{Service: "llm"})
	d.End(start, d.choiceOf("e01"), Unreachable)
	bound := Demand{Service: "llm", Pinned: "e01"}
	for range 20 {
		choice, found := d.Pick(start, bound)
		require.True(t, found)
		require.Equal(t, "e01", choice.Instance.ID, "regardless of load and suspicion")
	}
	bound.Exclude = []string{"e01"}
	_, found := d.Pick(start, bound)
	require.False(t, found, "it just refused the request, which waits for it")
	bound.Exclude = nil
	instances[1].Leaving = true
	d.Update(start, instances, false)
	_, found = d.Pick(start, bound)
	require.False(t, found, "a leaving instance gets no new requests and may still run this one")
	d.Update(start, append(instances[:1:1], instances[2:]...), false)
	choice, found := d.Pick(start, bound)
	require.True(t, found)
	require.NotEqual(t, "e01", choice.Instance.ID, "the pinned instance was removed")
}
