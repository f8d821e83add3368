package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/place"
)

// twoRegions has zones a1 and a2 in one region and b1 in another.
var twoRegions = place.Map{"a1": "a", "a2": "a", "b1": "b"}

func instancesIn(slots int, zones ...string) []Instance {
	var instances []Instance
	for index, zone := range zones {
		instances = append(instances, Instance{ID: zone + "-" + string(rune('p'+index)), Service: "s", Zone: zone, Slots: slots})
	}
	return instances
}

func TestOtherRegionIsUsedOnceOwnRegionIsFull(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory("a1")
	d.UsePlaces(twoRegions)
	d.Update(now, instancesIn(2, "a1", "a2", "b1"), false)
	var chosen []string
	for range 6 {
		choice, found := d.Pick(now, Demand{Service: "s", Generates: true})
		require.True(t, found)
		chosen = append(chosen, choice.Instance.Zone)
	}
	require.NotContains(t, chosen[:4], "b1")
	require.Equal(t, []string{"b1", "b1"}, chosen[4:])
}

func TestMeasuredRoundTripReplacesPrior(t *testing.T) {
	n := networkCosts{zone: "a1", places: twoRegions, roundTrips: map[string]*mean{}}
	require.Equal(t, zoneCost+priorRegionRoundTrip, n.cost("b1", true))
	require.Equal(t, connectCost, n.cost("a1", false))
	require.Equal(t, zoneCost, n.cost("a2", true))
	for range minDials {
		n.observeDial("b1", 12*time.Millisecond)
		n.observeDial("a2", time.Second)
	}
	require.Equal(t, connectCost+zoneCost+24, n.cost("b1", false))
	n.observeDial("b1", time.Second) // a retransmitted packet
	require.Less(t, n.roundTrip("b"), 20.0)
}

func TestLargeServiceIsSampledInOwnRegionFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory("a1")
	d.UsePlaces(twoRegions)
	var zones []string
	for range 8 {
		zones = append(zones, "a1", "a2", "b1", "b1", "b1", "b1")
	}
	d.Update(now, instancesIn(6, zones...), false)
	own := 0
	for _, candidate := range d.candidates(now, Demand{Service: "s"}) {
		if twoRegions.Region(candidate.instance.Zone) == "a" {
			own++
		}
	}
	require.Equal(t, 16, own, "all instances of the gateway's region are sampled")
}
