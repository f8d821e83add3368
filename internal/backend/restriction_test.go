package backend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/place"
)

// inZones returns instances of one service, distributed round-robin over the zones.
func inZones(count int, zones ...string) []Instance {
	instances := engines(count)
	for i := range instances {
		instances[i].Zone = zones[i%len(zones)]
	}
	return instances
}

// demandsOfAllKinds returns demands that reach each source of candidates: the gateway's zone, the
// instance of the previous turn, reported and recorded prompts, and the pinned instance.
func demandsOfAllKinds(instance string) []Demand {
	parts := []PromptPart{{ID: "p", Tokens: 100}}
	demands := []Demand{
		{},
		{Preferred: instance},
		{PromptParts: parts, CachedPrompts: []CachedPrompt{{Instance: instance, Tokens: 100}}},
		{PromptParts: parts},
		{Pinned: instance},
	}
	for i := range demands {
		demands[i].Service, demands[i].Generates = "llm", true
	}
	return demands
}

// Instances excluded by an evacuation or by home regions must be unreachable through every source
// of candidates, both in a service that is compared as a whole and in one that is sampled.
func TestPickHonorsZoneAndRegionRestrictions(t *testing.T) {
	regions := place.Map{"a": "north", "b": "south"}
	for _, size := range []int{4, 3 * sampleSize} {
		for rule := range 2 {
			d := NewDirectory("a")
			d.UsePlaces(regions)
			d.Update(start, inZones(size, "a", "b"), false)
			d.recordInstance("e00", []PromptPart{{ID: "p", Tokens: 100}})
			homes := place.Homes{}
			if rule == 0 {
				require.Empty(t, d.SetEvacuated(start, []string{"a"}))
			} else {
				homes = place.HomesOf([]string{"south"})
			}
			for number, demand := range demandsOfAllKinds("e00") {
				demand.Homes = homes
				for range 2 * sampleSize {
					choice, found := d.Pick(start, demand)
					require.False(t, found && choice.Instance.Zone == "a", "size %d, rule %d, demand %d", size, rule, number)
					require.True(t, found || demand.Pinned != "", "size %d, rule %d, demand %d", size, rule, number)
				}
			}
		}
	}
}

// An evacuation must also cover an instance that starts in the zone, one that is temporarily
// missing from the list, and a retry that has tried all other instances.
func TestEvacuationCoversNewAndUnlistedInstances(t *testing.T) {
	d := NewDirectory("a")
	d.SetEvacuated(start, []string{"a"})
	d.Update(start, inZones(2, "a", "b"), false)
	d.Update(start, inZones(4, "a", "b")[:3], true)
	_, found := d.Pick(start, Demand{Service: "llm", Exclude: []string{"e01"}})
	require.False(t, found)
	require.Equal(t, NotRestricted, d.Restriction(start, Demand{Service: "llm", Exclude: []string{"e01"}}), "the other instance may have capacity again")
}

func TestSetEvacuatedReturnsRestoredZones(t *testing.T) {
	d := NewDirectory("a")
	d.Update(start, inZones(3, "a", "b", "c"), false)
	require.Empty(t, d.SetEvacuated(start, []string{"a", "b"}))
	choice, found := d.Pick(start, Demand{Service: "llm"})
	require.True(t, found)
	require.Equal(t, "c", choice.Instance.Zone)
	require.Equal(t, []string{"a"}, d.SetEvacuated(start, []string{"b", "c"}), "zone c is evacuated when zone a is restored")
	choice, found = d.Pick(start, Demand{Service: "llm"})
	require.True(t, found)
	require.Equal(t, "a", choice.Instance.Zone)
	require.Equal(t, 1, d.EvacuatedInFlight(), "requests in c continue")
	d.End(start, d.choiceOf("e02"), Answered)
	require.Zero(t, d.EvacuatedInFlight())
	require.Equal(t, []string{"b", "c"}, d.SetEvacuated(start, nil))
}

func TestRestriction(t *testing.T) {
	leaving := inZones(2, "a", "b")
	leaving[1].Leaving = true
	south, north := place.HomesOf([]string{"south"}), place.HomesOf([]string{"north"})
	cases := []struct {
		instances []Instance
		evacuated []string
		demand    Demand
		expected  Restriction
	}{
		{inZones(2, "a", "b"), []string{"a"}, Demand{}, NotRestricted},
		{inZones(2, "a", "b"), []string{"a", "b"}, Demand{}, RestrictedByEvacuation},
		{leaving, []string{"a"}, Demand{}, RestrictedByEvacuation},
		{nil, []string{"a", "b"}, Demand{}, NotRestricted},
		{inZones(2, "a", "b"), nil, Demand{Homes: south}, NotRestricted},
		{inZones(2, "a"), nil, Demand{Homes: south}, RestrictedByHomes},
		{inZones(2, "unlisted"), nil, Demand{Homes: south}, RestrictedByHomes},
		{inZones(2, "a", "b"), nil, Demand{Homes: south.Intersect(north)}, RestrictedByHomes},
		{inZones(2, "a", "b"), []string{"b"}, Demand{Homes: south}, RestrictedByEvacuation},
		{inZones(2, "a", "b"), []string{"a"}, Demand{Pinned: "e00"}, RestrictedByEvacuation},
		{inZones(2, "a", "b"), []string{"a"}, Demand{Pinned: "gone"}, NotRestricted},
	}
	for number, c := range cases {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			d := NewDirectory("a")
			d.UsePlaces(place.Map{"a": "north", "b": "south"})
			d.Update(start, c.instances, false)
			d.SetEvacuated(start, c.evacuated)
			c.demand.Service = "llm"
			require.Equal(t, c.expected, d.Restriction(start, c.demand))
			_, found := d.Pick(start, c.demand)
			require.Equal(t, c.expected == NotRestricted && len(c.instances) > 0, found)
		})
	}
}
